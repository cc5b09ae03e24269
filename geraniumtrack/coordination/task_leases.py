"""Leases of the tasks that an entry has running at targets.

A target stops a task whose lease was not renewed. The leases of a team's tasks are renewed only
under the session in which they were started, so that no task outlives its allotment: the leader
frees a session's allotments when session lease and task lease have passed. Open work belongs to no
team, and its leases are renewed without a session.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from geraniumtrack.settings import EntrySettings

__all__ = ["LeasedTask", "TaskLeases"]


class LeasedTask(NamedTuple):
    """A task at a target, and the entry's session in which it was started."""

    task_id: str
    address: str
    team: str
    session: str


class _LeasePort(Protocol):
    def renew_leases(self, address: str, task_ids: list[str], lease_s: float) -> Deferred:
        """Renews leases at a target; failures are left to the next round."""


class TaskLeases:
    """Renews leases each third of their length.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        targets: Client of targets.
        session: Returns the session whose lease is valid now, or an empty string.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: EntrySettings,
        targets: _LeasePort,
        session: Callable[[], str],
    ) -> None:
        self._cfg = cfg
        self._targets = targets
        self._session = session
        self._tasks: dict[str, LeasedTask] = {}
        self._rounds = LoopingCall(self.renew_all)
        self._rounds.clock = reactor

    def started(self, task: LeasedTask) -> None:
        """Takes a task that is about to be sent."""
        self._tasks[task.task_id] = task
        if not self._rounds.running:
            self._rounds.start(self._cfg.task_lease_s / 3, now=False)

    def ended(self, task_id: str) -> None:
        """Forgets a task; its lease is not renewed any more."""
        self._tasks.pop(task_id, None)
        if not self._tasks and self._rounds.running:
            self._rounds.stop()

    def renew_all(self) -> None:
        """Renews what may be renewed, with one request for each target."""
        for address, task_ids in self.due().items():
            self._targets.renew_leases(address, task_ids, self._cfg.task_lease_s)

    def due(self) -> dict[str, list[str]]:
        """Returns the tasks whose leases may be renewed now, by address of their target."""
        session = self._session()
        due: dict[str, list[str]] = {}
        for task in self._tasks.values():
            if not task.team or (session and task.session == session):
                due.setdefault(task.address, []).append(task.task_id)
        return due
