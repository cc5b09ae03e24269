"""Handles workers that are silent and whose leases have expired."""

from __future__ import annotations

from collections.abc import Callable

from geraniumtrack import logs
from geraniumtrack.jobs.runs.crashes import CrashDetector
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state.jobs_state import JobsState, Task

__all__ = ["ExpiredLeases"]

FORGET_TIMEOUT_S = 10.0  # a silent worker whose last heartbeat is older than this is forgotten


class ExpiredLeases:
    """Decides what becomes of the runs of a silent worker, and of the worker.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        crashes: Detects crashes of workers.
        mark_lost: Makes the next scheduling pass commit that a run can't exist any more; takes the
            task and the reason.
        forget: Removes an incarnation of a worker; takes its id, its incarnation and the reason.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        crashes: CrashDetector,
        mark_lost: Callable[[Task, str], None],
        forget: Callable[[str, int, str], None],
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._crashes = crashes
        self._mark_lost = mark_lost
        self._forget = forget

    def check(self, session: WorkerSession) -> None:
        """Marks the runs of a silent worker as lost whose lease has expired.

        Forgets the worker instead if this holds for all its runs, and it announced its end or its
        last heartbeat is old.
        """
        if not session.lease_expired:
            return
        runs = self._runs_of(session)
        expired = [task for task in runs if session.run_expired(task.id, task.run)]
        heartbeat_age_s = self._seconds() - session.last_heartbeat_at
        ending = session.leaving or heartbeat_age_s > FORGET_TIMEOUT_S
        if ending and len(expired) == len(runs):
            logs.event("worker_forgotten", worker=session.worker.id, born=session.worker.born)
            session.close()
            self._forget(*session.key, "lease_over")
            return
        self._crashes.handle_lease_expired(session)
        for task in expired:
            self._mark_lost(task, "lease_over")

    def _runs_of(self, session: WorkerSession) -> list[Task]:
        tasks = self._state().assigned.get(session.worker.id, {}).values()
        return [task for task in tasks if task.worker_born == session.worker.born]
