"""Limits how many service tasks of a step the owner makes unavailable at once.

Every stop of a service task is recorded here, also one that can't wait for the budget.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from geraniumtrack import logs
from geraniumtrack.jobs.runs.sent_orders import StopReason
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState, Task, TaskPhase
from geraniumtrack.jobs.state.model import TaskId

__all__ = ["AvailabilityBudget"]

FULL_PERCENT = 100
MAX_STOPPED_RUNS = 4096  # kept before those of ended jobs are dropped


class AvailabilityBudget:
    """Allows the owner to stop a service task only within the `may_miss` of its step.

    A task is unavailable, whatever the cause, while it waits, while its worker is silent or has no
    session, and until its worker reports the current run at full speed. A task whose stop was
    granted counts as unavailable at once, since a stop takes a while to show in the worker's
    reports. For the same reason all tasks of a worker are unavailable for that while after its
    first report: a former owner may have stopped them.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        stop_grace_s: Longest time in seconds that a run takes to stop.
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        stop_grace_s: float,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
    ) -> None:
        self._seconds = seconds
        self._stop_grace_s = stop_grace_s
        self._state = state
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
        if self._unavailable_others(record, task) >= max(step.may_miss, 1):
            return False
        self._note_stopped(task)
        return True

    def record_stop(self, task_id: TaskId, run: int, reason: StopReason) -> None:
        """Logs that a run is being stopped if it is one of a service task, and counts it.

        Args:
            task_id: Id of the task; an unknown one is ignored.
            run: Number of the run.
            reason: Why it is stopped.
        """
        task = self._state().task(task_id)
        if task is None or not self._state().step_of(task).lasting:
            return
        record = self._state().jobs[task_id.job]
        logs.event(
            "service_task_stopping",
            job=task.id.job,
            task=".".join(map(str, task.id[1:])),
            run=run,
            reason=reason,
            unavailable=self._unavailable_others(record, task),
            may_miss=record.job.steps[task.id.step].may_miss,
        )
        if run == task.run:
            self._note_stopped(task)

    def _note_stopped(self, task: Task) -> None:
        if len(self._stopped_runs) >= MAX_STOPPED_RUNS:
            active = self._state().active
            self._stopped_runs = {
                task_id: run for task_id, run in self._stopped_runs.items() if task_id.job in active
            }
        self._stopped_runs[task.id] = task.run

    def _unavailable_others(self, record: JobRecord, task: Task) -> int:
        """Returns how many other tasks of a task's step are unavailable."""
        members = record.occurrences[task.id.occurrence][task.id.step].tasks
        return sum(1 for other in members if other is not task and self._unavailable(other))

    def _unavailable(self, task: Task) -> bool:
        if self._stopped_runs.get(task.id) == task.run:
            return True
        session = self._sessions().get(task.worker)
        if task.phase is not TaskPhase.ASSIGNED or session is None or session.silent:
            return True
        if self._seconds() < session.first_answer_at + self._stop_grace_s:
            return True
        row = session.running.get(task.id)
        return row is None or row.run != task.run or row.percent < FULL_PERCENT
