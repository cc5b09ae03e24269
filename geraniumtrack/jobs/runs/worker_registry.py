"""Registers workers by their heartbeats and distinguishes their incarnations."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred, succeed

from geraniumtrack import logs
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.runs.commit import commit_in_background
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import WorkerInfo

__all__ = ["WorkerRegistry", "same_address_or_instance"]


class WorkerRegistry:
    """Commits the registration and removal of worker incarnations.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        sessions: Returns the owner's sessions by worker id.
        on_new_incarnation: Called with an incarnation before it replaces earlier ones.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        on_new_incarnation: Callable[[WorkerInfo], None],
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._propose = propose
        self._sessions = sessions
        self._on_new_incarnation = on_new_incarnation

    def handle_heartbeat(self, heartbeat: Heartbeat) -> Deferred:
        """Handles a heartbeat; the Deferred fires once the resulting change is committed."""
        worker = heartbeat.worker
        known = self._state().workers.get(worker.id)
        if not self._names_pool(worker, known):
            logs.event("heartbeat_of_unknown_pool", worker=worker.id, pool=worker.pool)
            return succeed(None)
        if self._is_outdated(worker, known):
            logs.event("heartbeat_outdated", worker=worker.id, born=worker.born)
            return succeed(None)
        session = self._sessions().get(worker.id)
        newest = known
        if session is not None and session.worker.born == worker.born:
            session.last_heartbeat_at = self._seconds()
            # A new owner learns from the state which heartbeat its predecessors handled last.
            committed = self._state().heartbeat_sequences.get(session.key, -1)
            if heartbeat.sequence <= max(session.sequence, committed):
                return self._commit_newest(session, known)
            # The session uses the information at once; a commit may take long.
            session.sequence = heartbeat.sequence
            newest, session.worker = session.worker, worker
        if known == newest == worker:
            return succeed(None)
        self._on_new_incarnation(worker)
        self._forget_replaced(worker)
        logs.event(
            "worker_reported",
            worker=worker.id,
            born=worker.born,
            pool=worker.pool,
            address=worker.address,
            instance=worker.instance,
            labels=",".join(worker.labels),
            draining=worker.draining,
            sequence=heartbeat.sequence,
        )
        restarted = known is not None and known.born < worker.born
        command = cmds.RestartWorker if restarted else cmds.ReportWorker
        return self._propose(command(worker, heartbeat.sequence))

    def _commit_newest(self, session: WorkerSession, known: WorkerInfo | None) -> Deferred:
        """Returns a Deferred that fires once what the session knows of its worker is committed."""
        if known == session.worker:
            return succeed(None)
        return self._propose(cmds.ReportWorker(session.worker, session.sequence))

    def handle_leave(self, worker_id: str, born: int) -> Deferred:
        """Handles the announcement of a worker that it shuts down.

        From then on nothing is started on it. It may run on for seconds, at least until it receives
        the answer, so it stays registered until its session shows that it has ended.

        Args:
            worker_id: Id of the worker.
            born: Its incarnation; 0 if the announcement does not contain it.

        Returns:
            A Deferred that has fired.
        """
        known = self._state().workers.get(worker_id)
        if known is None or (born and born != known.born):
            return succeed(None)
        if not (known.draining or born):
            return succeed(None)  # may be a delayed announcement of an earlier incarnation
        session = self._sessions().get(worker_id)
        if session is not None and not session.leaving:
            session.leaving = True
            logs.event("worker_left", worker=worker_id, born=known.born)
        return succeed(None)

    def _names_pool(self, worker: WorkerInfo, known: WorkerInfo | None) -> bool:
        """Whether a worker is in a configured pool, or was registered in its pool before."""
        config = self._state().config
        if config is None or (known is not None and known.pool == worker.pool):
            return True
        return any(pool.name == worker.pool for pool in config.pools)

    def _is_outdated(self, worker: WorkerInfo, known: WorkerInfo | None) -> bool:
        """Whether a later incarnation with the same id, address or instance is known."""
        if known is not None and known.born > worker.born:
            return True
        return any(
            other.born > worker.born and same_address_or_instance(other, worker)
            for other in self._state().workers.values()
        )

    def _forget_replaced(self, worker: WorkerInfo) -> None:
        """Removes workers that started earlier on the same instance or address: they have ended."""
        for other in list(self._state().workers.values()):
            earlier = other.id != worker.id and other.born < worker.born
            if earlier and same_address_or_instance(other, worker):
                logs.event("worker_replaced", worker=other.id, born=other.born, by=worker.id)
                forget = cmds.ForgetWorker(other.id, other.born)
                commit_in_background(self._propose, forget)


def same_address_or_instance(first: WorkerInfo, second: WorkerInfo) -> bool:
    """Whether two incarnations can't exist at once, for they share an address or an instance."""
    same_instance = bool(first.instance) and first.instance == second.instance
    return same_instance or first.address == second.address
