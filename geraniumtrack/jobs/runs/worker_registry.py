"""Registers workers by their heartbeats and distinguishes their incarnations.

A heartbeat alone proves no end: it may arrive after its sender has ended, clocks are set, and ids,
addresses and instances are used again. Incarnations that can't exist at once are rivals. One with a
registered rival is registered only once it has answered a hold itself, whatever the clocks say.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred, succeed

from geraniumtrack import logs
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.runs.commit import commit_in_background
from geraniumtrack.jobs.runs.incarnation_check import IncarnationCheck
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
        check: Checks whether an incarnation answers.
        on_ended: Called with an incarnation that has certainly ended, before it is replaced.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        check: IncarnationCheck,
        on_ended: Callable[[WorkerInfo], None],
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._propose = propose
        self._sessions = sessions
        self._check = check
        self._on_ended = on_ended

    def handle_heartbeat(self, heartbeat: Heartbeat) -> Deferred:
        """Handles a heartbeat; the Deferred fires once the resulting change is committed."""
        worker = heartbeat.worker
        known = self._state().workers.get(worker.id)
        if not self._names_pool(worker, known):
            logs.event("heartbeat_of_unknown_pool", worker=worker.id, pool=worker.pool)
            return succeed(None)
        if known is not None and _contradicts(worker, known):
            logs.event("heartbeat_contradicts", worker=worker.id, born=worker.born)
            return succeed(None)
        rivals = self._rivals(worker, known)
        if rivals:
            fut = self._check.answers(worker)
            return fut.addCallback(self._handle_check, heartbeat, rivals)
        return self._register(heartbeat)

    def _handle_check(
        self, answers: bool, heartbeat: Heartbeat, rivals: list[WorkerInfo]
    ) -> Deferred | None:
        """Registers an incarnation that answers; then its rivals have ended."""
        worker = heartbeat.worker
        known = self._state().workers.get(worker.id)
        checked = {(rival.id, rival.born) for rival in rivals}
        rivals = self._rivals(worker, known)
        # A rival that was registered meanwhile may be later than the answer.
        if not answers or any((rival.id, rival.born) not in checked for rival in rivals):
            logs.event("heartbeat_unconfirmed", worker=worker.id, born=worker.born)
            registered = known is not None and known.born == worker.born
            if not registered or known.address != worker.address:
                self._check.disconnect(worker)
            return None
        if known is not None and known.born > worker.born and self._has_runs(known):
            # Orders for the former incarnation may have reached this one. Its runs wait for the
            # end of the longest lease.
            return None
        for rival in rivals:
            self._on_ended(rival)
            if rival.id != worker.id or rival.born > worker.born:
                self._forget(rival, worker)
        return self._register(heartbeat)

    def _register(self, heartbeat: Heartbeat) -> Deferred:
        """Commits what the heartbeat of an incarnation without rivals says."""
        worker = heartbeat.worker
        known = self._state().workers.get(worker.id)
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

    def _rivals(self, worker: WorkerInfo, known: WorkerInfo | None) -> list[WorkerInfo]:
        """Returns the registered incarnations that can't exist beside one that isn't registered."""
        if known is not None and known.born == worker.born:
            return []
        return [
            other
            for other in self._state().workers.values()
            if other.id == worker.id or same_address_or_instance(other, worker)
        ]

    def _has_runs(self, worker: WorkerInfo) -> bool:
        tasks = self._state().assigned.get(worker.id, {}).values()
        return any(task.worker_born == worker.born for task in tasks)

    def _forget(self, ended: WorkerInfo, successor: WorkerInfo) -> None:
        """Removes an incarnation that has ended, since another one has its place."""
        logs.event("worker_replaced", worker=ended.id, born=ended.born, by=successor.id)
        session = self._sessions().get(ended.id)
        if session is not None and session.worker.born == ended.born:
            session.close()  # no order may reach the successor
        commit_in_background(self._propose, cmds.ForgetWorker(ended.id, ended.born))


def same_address_or_instance(first: WorkerInfo, second: WorkerInfo) -> bool:
    """Whether two incarnations can't exist at once, for they share an address or an instance."""
    same_instance = bool(first.instance) and first.instance == second.instance
    return same_instance or first.address == second.address


def _contradicts(worker: WorkerInfo, known: WorkerInfo) -> bool:
    """Whether a heartbeat moves an incarnation, as only one of another writer does."""
    if not worker.born or worker.born != known.born:
        return False
    return worker.address != known.address or known.instance not in ("", worker.instance)
