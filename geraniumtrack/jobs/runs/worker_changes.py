"""Commits commands about workers, with the checkpoints of the runs that they end.

Each run that a command releases or carries over is logged.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.jobs.runs.commit import commit_in_background
from geraniumtrack.jobs.runs.released_runs import ReleasedRuns, RunKey
from geraniumtrack.jobs.runs.run_checkpoints import unsaved_checkpoints
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState

__all__ = ["WorkerChanges"]


class WorkerChanges:
    """Commits commands about workers.

    Args:
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        propose: Commits a command; returns a Deferred.
        wall_clock: Returns the wall-clock time in seconds.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        propose: Callable[[Any], Deferred],
        wall_clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._propose = propose
        self._wall_clock = wall_clock
        self._released = ReleasedRuns(state)

    def propose(
        self,
        command: cmds.ReportWorker | cmds.RestartWorker | cmds.ForgetWorker,
        reason: str = "replaced",
    ) -> Deferred:
        """Commits a command about a worker.

        If the command ends an incarnation, the checkpoints that its runs reported are committed
        with it or before it, so that the tasks resume from them.

        Args:
            command: The command.
            reason: What proves that the incarnation of a ForgetWorker has ended.
        """
        logged: list[RunKey] = []
        if isinstance(command, cmds.RestartWorker):
            logged = self._released.log_carried_over(command)
            session = self._sessions().get(command.worker.id)
            if session is not None and session.worker.born < command.worker.born:
                checkpoints = unsaved_checkpoints(self._state(), session)
                command = dataclasses.replace(command, checkpoints=checkpoints)
        elif isinstance(command, cmds.ForgetWorker):
            logged = self._released.log_lost(command.worker_id, command.born, reason)
            session = self._sessions().get(command.worker_id)
            ends = session is not None and session.worker.born == command.born
            lost = unsaved_checkpoints(self._state(), session) if ends else ()
            if lost:
                commit_in_background(self._propose, cmds.RecordRuns(self._wall_clock(), lost=lost))
        return self._propose(command).addBoth(self._handle_outcome, logged)

    def _handle_outcome(self, outcome: Any, logged: list[RunKey]) -> Any:
        self._released.forget(logged)
        return outcome

    def forget(self, worker_id: str, born: int, reason: str) -> None:
        """Commits that an incarnation has ended for a reason; its tasks are requeued."""
        forget = cmds.ForgetWorker(worker_id, born)
        commit_in_background(lambda command: self.propose(command, reason), forget)
