"""Which failed tasks are placed again, and how often. Pure.

Only work that may be repeated, or that did not start, is placed again. Repeated work draws on a
budget in proportion to the starts, so that failures cannot multiply an overload.
"""

from __future__ import annotations

from typing import NamedTuple

from geraniumtrack.coordination.queues import Task

__all__ = ["MAX_FAILURES", "RetryBudget", "Verdict", "judge"]

MAX_FAILURES = 3  # targets that a task fails on before it is given up
MAX_PLACEMENTS = 12  # of a task in all, with those that did not start
BUDGET_PART = 0.1  # repeated starts for each first start
FLOOR_PER_S = 1.0  # repeated starts a second that are allowed without any load
BUDGET_MAX = 64.0  # the tasks that run on a rack: two hours of load do not pay for a flood


class RetryBudget:
    """Repeated starts that are allowed now. Times are in seconds.

    Args:
        now: Clock value.
        part: Repeated starts for each first start.
        floor_per_s: Repeated starts a second that are always allowed.
    """

    def __init__(
        self, *, now: float, part: float = BUDGET_PART, floor_per_s: float = FLOOR_PER_S
    ) -> None:
        self._part = part
        self._floor_per_s = floor_per_s
        self._tokens = BUDGET_MAX / 4
        self._at = now

    def started(self) -> None:
        """Counts a first start."""
        self._tokens = min(BUDGET_MAX, self._tokens + self._part)

    def take(self, now: float) -> bool:
        """Takes one repeated start; returns whether it was allowed."""
        floor = (now - self._at) * self._floor_per_s
        self._tokens = min(BUDGET_MAX, self._tokens + max(0.0, floor))
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Verdict(NamedTuple):
    """What becomes of a failed task: `again`, or given up with an error code and a message."""

    again: bool
    error: str = ""
    message: str = ""


def judge(task: Task, *, started: bool, budget: RetryBudget, now: float) -> Verdict:
    """Decides what becomes of a task that a target gave no usable answer to.

    Args:
        task: The task; its failures include the last one.
        started: Whether the target may have started it.
        budget: Repeated starts allowed.
        now: Clock value in seconds.
    """
    reasons = ", ".join(task.failures)
    if started and not task.submit.idempotent:
        message = "the target was lost after the request was sent to it"
        return Verdict(False, "outcome_unknown", message)
    if len(task.failures) >= MAX_FAILURES:
        message = f"it failed on {len(task.failures)} targets ({reasons}); check the request"
        return Verdict(False, "task_failed", message)
    if task.placements >= MAX_PLACEMENTS:
        message = f"{task.placements} targets were full or gone; retry later"
        return Verdict(False, "no_capacity", message)
    if started and not budget.take(now):
        message = f"a target failed ({reasons}) and too many requests are repeated; retry later"
        return Verdict(False, "retries_exhausted", message)
    return Verdict(True)
