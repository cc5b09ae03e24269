"""Decides whether a failed task is retried. It does no I/O; time is passed in.

A task is retried only if it is idempotent or did not start. Retries of tasks that may have started
consume a token of a budget, which grows with the number of first starts, so that failures cannot
amplify an overload.
"""

from __future__ import annotations

from typing import NamedTuple

from geraniumtrack.coordination.serving.queues import Task

__all__ = ["MAX_FAILURES", "RetryBudget", "RetryDecision", "decide_retry"]

MAX_FAILURES = 3  # failures of a task before it is given up
MAX_PLACEMENTS = 12  # placements of a task in total, including those that did not start
RETRIES_PER_START = 0.1  # tokens that each first start adds to the budget
MIN_RETRIES_PER_S = 1.0  # tokens that the budget gains per second, even without load
# Limit of the budget: the number of tasks that run on one rack. Without a limit, two hours of load
# would save up enough tokens for a flood of retries.
MAX_BUDGET_TOKENS = 64.0


class RetryBudget:
    """Token bucket that limits retries in proportion to first starts.

    Args:
        now: Clock value in seconds.
        per_start: Tokens added for each first start.
        floor_per_s: Tokens added per second, even without any start.
    """

    def __init__(
        self,
        *,
        now: float,
        per_start: float = RETRIES_PER_START,
        floor_per_s: float = MIN_RETRIES_PER_S,
    ) -> None:
        self._per_start = per_start
        self._floor_per_s = floor_per_s
        self._tokens = MAX_BUDGET_TOKENS / 4
        self._refilled_at = now

    def record_first_start(self) -> None:
        """Adds tokens for a first start of a task."""
        self._tokens = min(MAX_BUDGET_TOKENS, self._tokens + self._per_start)

    def try_acquire(self, now: float) -> bool:
        """Takes a token for one retry; returns whether there was one."""
        refill = (now - self._refilled_at) * self._floor_per_s
        self._tokens = min(MAX_BUDGET_TOKENS, self._tokens + max(0.0, refill))
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryDecision(NamedTuple):
    """Whether a failed task is retried.

    Attributes:
        retry: Whether to retry it.
        error: Error code for the caller if it is not retried.
        message: Message for the caller if it is not retried.
    """

    retry: bool
    error: str = ""
    message: str = ""


def decide_retry(task: Task, *, started: bool, budget: RetryBudget, now: float) -> RetryDecision:
    """Decides whether to retry a task for which a target returned no usable answer.

    Args:
        task: The task; `task.failure_reasons` already includes the latest failure.
        started: Whether the target may have started it.
        budget: Budget for retries.
        now: Clock value in seconds.
    """
    reasons = ", ".join(task.failure_reasons)
    if started and not task.submit.idempotent:
        message = "the target was lost after the request was sent to it"
        return RetryDecision(False, "outcome_unknown", message)
    if len(task.failure_reasons) >= MAX_FAILURES:
        message = (
            f"the task failed {len(task.failure_reasons)} times ({reasons}); check the request"
        )
        return RetryDecision(False, "task_failed", message)
    if task.placements >= MAX_PLACEMENTS:
        message = f"none of {task.placements} placements completed the task; retry later"
        return RetryDecision(False, "no_capacity", message)
    if started and not budget.try_acquire(now):
        message = f"a target failed ({reasons}) and the retry budget is exhausted; retry later"
        return RetryDecision(False, "retries_exhausted", message)
    return RetryDecision(True)
