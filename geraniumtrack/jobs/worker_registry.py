"""Takes what workers say of themselves, and tells their lives apart."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred, succeed

from geraniumtrack import logs
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.commit import commit_unwatched
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.model import WorkerInfo
from geraniumtrack.jobs.state import JobsState
from geraniumtrack.jobs.worker_session import WorkerSession

__all__ = ["WorkerRegistry"]


class WorkerRegistry:
    """Commits new lives of workers and their ends.

    Args:
        seconds: Returns the clock value in s.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        sessions: Returns the owner's sessions by worker id.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        sessions: Callable[[], Mapping[str, WorkerSession]],
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._propose = propose
        self._sessions = sessions

    def beat(self, report: Heartbeat) -> Deferred:
        """Takes a worker's report; fires once what it changes is committed."""
        worker = report.worker
        known = self._state().workers.get(worker.id)
        if self._outdated(worker, known):
            logs.event("heartbeat_outdated", worker=worker.id, born=worker.born)
            return succeed(None)
        session = self._sessions().get(worker.id)
        if session is not None and session.worker.born == worker.born:
            session.beat_at = self._seconds()
            if report.sequence <= session.sequence:
                return succeed(None)
            session.sequence = report.sequence
        if known == worker:
            return succeed(None)
        self._forget_earlier(worker)
        logs.event(
            "worker_reported",
            worker=worker.id,
            born=worker.born,
            pool=worker.pool,
            address=worker.address,
            instance=worker.instance,
            labels=",".join(worker.labels),
            draining=worker.draining,
            sequence=report.sequence,
        )
        return self._propose(cmds.PutWorker(worker))

    def leave(self, worker_id: str, born: int) -> Deferred:
        """Takes a worker's word that it ends now; `born` is 0 if it doesn't say which life."""
        known = self._state().workers.get(worker_id)
        if known is None or (born and born != known.born):
            return succeed(None)
        session = self._sessions().get(worker_id)
        if session is not None:
            session.leaving = True
        if not (known.draining or born):
            return succeed(None)  # it may be a late word of an earlier life
        logs.event("worker_left", worker=worker_id, born=known.born)
        return self._propose(cmds.ForgetWorker(worker_id, known.born))

    def _outdated(self, worker: WorkerInfo, known: WorkerInfo | None) -> bool:
        """Whether a later life is known under the same id, address or instance."""
        if known is not None and known.born > worker.born:
            return True
        return any(
            other.born > worker.born and _same_place(other, worker)
            for other in self._state().workers.values()
        )

    def _forget_earlier(self, worker: WorkerInfo) -> None:
        """Forgets other lives of the same instance or address that began earlier: they are over."""
        for other in list(self._state().workers.values()):
            earlier = other.id != worker.id and other.born < worker.born
            if earlier and _same_place(other, worker):
                logs.event("worker_replaced", worker=other.id, born=other.born, by=worker.id)
                forget = cmds.ForgetWorker(other.id, other.born)
                commit_unwatched(self._propose, forget)


def _same_place(one: WorkerInfo, other: WorkerInfo) -> bool:
    """Whether two lives exclude each other: one address or one instance."""
    same_instance = bool(one.instance) and one.instance == other.instance
    return same_instance or one.address == other.address
