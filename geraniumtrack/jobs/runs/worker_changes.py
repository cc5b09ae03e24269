"""Commits commands about workers, with the checkpoints of the runs that they end."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.jobs.runs.commit import commit_in_background
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

    def propose(
        self, command: cmds.ReportWorker | cmds.RestartWorker | cmds.ForgetWorker
    ) -> Deferred:
        """Commits a command about a worker.

        If the command ends an incarnation, the checkpoints that its runs reported are committed
        with it or before it, so that the tasks resume from them.
        """
        if isinstance(command, cmds.RestartWorker):
            session = self._sessions().get(command.worker.id)
            if session is not None and session.worker.born < command.worker.born:
                checkpoints = unsaved_checkpoints(self._state(), session)
                command = dataclasses.replace(command, checkpoints=checkpoints)
        elif isinstance(command, cmds.ForgetWorker):
            session = self._sessions().get(command.worker_id)
            ends = session is not None and session.worker.born == command.born
            lost = unsaved_checkpoints(self._state(), session) if ends else ()
            if lost:
                commit_in_background(self._propose, cmds.RecordRuns(self._wall_clock(), lost=lost))
        return self._propose(command)

    def forget(self, worker_id: str, born: int) -> None:
        """Commits that an incarnation has ended; its tasks are requeued."""
        commit_in_background(self.propose, cmds.ForgetWorker(worker_id, born))
