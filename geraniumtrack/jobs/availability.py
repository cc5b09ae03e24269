"""The availability budget of steps that last: how many tasks may be away through our orders."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from geraniumtrack.jobs.model import TaskId
from geraniumtrack.jobs.state import JobRecord, Task, TaskPhase
from geraniumtrack.jobs.worker_session import WorkerSession

__all__ = ["AvailabilityBudget"]

FULL_PERCENT = 100


class AvailabilityBudget:
    """Accounts for all orders that end lasting tasks.

    A task counts as away from the moment its end is ordered until a later run of it is listed as
    working, because the order takes a while to show in a listing.

    Args:
        sessions: Returns the owner's sessions by worker id.
    """

    def __init__(self, sessions: Callable[[], Mapping[str, WorkerSession]]) -> None:
        self._sessions = sessions
        self._ordered: dict[TaskId, int] = {}

    def take(self, record: JobRecord, task: Task) -> bool:
        """Asks to end a task; returns whether the budget allows it, and then counts it."""
        if not record.active:
            return True
        step = record.job.steps[task.id.step]
        members = record.occurrences[task.id.occurrence][task.id.step].tasks
        away = sum(1 for other in members if other is not task and self._away(other))
        if away >= max(step.may_miss, 1):
            return False
        self._ordered[task.id] = task.run
        return True

    def _away(self, task: Task) -> bool:
        if self._ordered.get(task.id) == task.run:
            return True
        session = self._sessions().get(task.worker)
        if task.phase is not TaskPhase.ASSIGNED or session is None or session.silent:
            return True
        row = session.running.get(task.id)
        return row is None or row.run != task.run or row.percent < FULL_PERCENT
