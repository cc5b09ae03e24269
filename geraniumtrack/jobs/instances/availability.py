"""Limits how many service tasks of a step the owner makes unavailable at once."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state.jobs_state import JobRecord, Task, TaskPhase
from geraniumtrack.jobs.state.model import TaskId

__all__ = ["AvailabilityBudget"]

FULL_PERCENT = 100


class AvailabilityBudget:
    """Allows the owner to stop a service task only within the `may_miss` of its step.

    A task is unavailable, whatever the cause, while it waits, while its worker is silent or has no
    session, and until its worker reports the current run at full speed. A task whose stop was
    granted counts as unavailable at once, since a stop takes a while to show in the worker's
    reports.

    Args:
        sessions: Returns the owner's sessions by worker id.
    """

    def __init__(self, sessions: Callable[[], Mapping[str, WorkerSession]]) -> None:
        self._sessions = sessions
        self._stopped_runs: dict[TaskId, int] = {}

    def try_acquire(self, record: JobRecord, task: Task) -> bool:
        """Requests permission to stop a task.

        It is granted if at most `may_miss` tasks of the step are unavailable afterwards; 0 counts
        as 1. A granted task counts as unavailable from now on. Tasks of ended jobs are always
        granted and don't count.

        Args:
            record: The job of the task.
            task: The task to stop.

        Returns:
            Whether the task may be stopped now.
        """
        if not record.active:
            return True
        step = record.job.steps[task.id.step]
        members = record.occurrences[task.id.occurrence][task.id.step].tasks
        unavailable = sum(1 for other in members if other is not task and self._unavailable(other))
        if unavailable >= max(step.may_miss, 1):
            return False
        self._stopped_runs[task.id] = task.run
        return True

    def _unavailable(self, task: Task) -> bool:
        if self._stopped_runs.get(task.id) == task.run:
            return True
        session = self._sessions().get(task.worker)
        if task.phase is not TaskPhase.ASSIGNED or session is None or session.silent:
            return True
        row = session.running.get(task.id)
        return row is None or row.run != task.run or row.percent < FULL_PERCENT
