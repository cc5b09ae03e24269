"""Sends the orders of committed starts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from geraniumtrack.jobs.runs.run_tracker import RunTracker
from geraniumtrack.jobs.runs.start_check import StartBlock, blocked_starts
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart
from geraniumtrack.jobs.state.jobs_state import JobsState, TaskPhase
from geraniumtrack.jobs.state.model import WorkerInfo
from geraniumtrack.metrics import metrics

__all__ = ["StartSender"]


class StartSender:
    """Sends start orders, except those that something has overtaken since they were planned.

    Args:
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        runs: Follows the runs.
        accepts_starts: Whether a worker may be given tasks.
        wall_clock: Returns the wall-clock time in seconds.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        runs: RunTracker,
        accepts_starts: Callable[[WorkerSession], bool],
        wall_clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._runs = runs
        self._accepts_starts = accepts_starts
        self._wall_clock = wall_clock

    def send(self, starts: Iterable[PlannedStart]) -> None:
        """Sends the orders of starts whose commit was just applied."""
        blocked = blocked_starts(
            starts,
            self._state(),
            is_overtaken=self._is_overtaken,
            worker_info=self._worker_info,
            untracked=self._runs.untracked,
        )
        for planned in starts:
            self._send_start(planned, blocked.get(planned.task))

    def _worker_info(self, worker_id: str) -> WorkerInfo | None:
        session = self._sessions().get(worker_id)
        return session.worker if session is not None else None

    def _is_overtaken(self, planned: PlannedStart) -> bool:
        """Whether a job has ended, or its worker has ended, is about to or takes no more tasks."""
        session = self._sessions().get(planned.worker.id)
        if session is None or session.worker.born != planned.worker.born:
            return True
        if not self._is_assigned(planned):
            return True
        ending = session.worker.draining or session.leaving or session.closed
        active = self._state().jobs[planned.task.job].active
        return not (active and session.reachable and self._accepts_starts(session)) or ending

    def _is_assigned(self, planned: PlannedStart) -> bool:
        """Whether the replicated state assigns a run as planned."""
        task = self._state().task(planned.task)
        if task is None or task.phase is not TaskPhase.ASSIGNED:
            return False
        return (task.run, task.worker) == (planned.run, planned.worker.id)

    def _send_start(self, planned: PlannedStart, blocked: StartBlock | None) -> None:
        if not self._is_assigned(planned):
            return
        task = self._state().task(planned.task)
        if blocked is not None:
            self._runs.mark_lost(task, blocked)
            return
        record = self._state().jobs[planned.task.job]
        session = self._sessions()[planned.worker.id]
        if planned.run == 1 and planned.task[1:] == (0, 0, 0):
            waited_s = self._wall_clock() - record.job.submitted
            metrics.observe("first_start", waited_s, queue=record.job.queue)
        session.start(
            planned.task, planned.run, record.job.payload, task.checkpoint, planned.ticket
        )
