"""An entry's reports about targets: last heard, running tasks, and whether they are idle.

The leader moves or reboots a target only after every entry of its data centre has confirmed that
it is idle. A confirmation counts from the moment at which the entry saw the drain in its view.
"""

from __future__ import annotations

from typing import Any, Protocol

from geraniumtrack.coordination.membership import Announcement, KnownTarget, TargetTable
from geraniumtrack.protocol.fleet_reports import LoadReport, TargetReport
from geraniumtrack.state.view import ConfigView

__all__ = ["TargetReporter"]

QUIET_S = 1.2  # a little longer than the interval of announcements
ANNOUNCED_AFTER_S = 0.5  # an announcement this much later was sent after the last task arrived
OLDER_WINDOW_S = 5.0
OLDER_COUNT = 3  # one late announcement of the process before a restart is not a second instance
FORGET_AFTER_S = 30.0  # targets not heard for longer are no longer reported


class DispatcherPort(Protocol):
    """What reports need of the dispatcher."""

    def busy_on(self, target: str) -> int:
        """Returns the slots taken on a target."""

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns queued and running tasks by pool."""


class TargetReporter:
    """Builds the reports of one entry. Pure: time is passed in.

    Args:
        view: Configuration view.
        targets: Membership of targets.
        dispatcher: The entry's dispatcher.
    """

    def __init__(
        self, *, view: ConfigView, targets: TargetTable, dispatcher: DispatcherPort
    ) -> None:
        self._view = view
        self._targets = targets
        self._dispatcher = dispatcher
        self._quiet_since: dict[str, float] = {}
        self._older: dict[str, list[float]] = {}

    def rejected(self, announcement: Announcement, now: float) -> None:
        """Notes an announcement of an older incarnation."""
        times = self._older.setdefault(announcement.name, [])
        times.append(now)
        del times[:-OLDER_COUNT]

    def build(self, now: float) -> dict[str, Any]:
        """Returns the reports for the next renewal, made under the view as it is now."""
        targets = {}
        for known in self._targets.all():
            if now - known.heard_at <= FORGET_AFTER_S:
                targets[known.announcement.name] = self._report(known, now)
        loads = {pool: LoadReport(*load) for pool, load in self._dispatcher.demand().items()}
        return {"targets": targets, "loads": loads}

    def _report(self, known: KnownTarget, now: float) -> TargetReport:
        said = known.announcement
        return TargetReport(
            age=round(now - known.heard_at, 1),
            incarnation=said.incarnation,
            slots=said.slots,
            running=max(len(said.running), self._dispatcher.busy_on(said.name)),
            idle=self._idle(known, now),
            leaving=said.leaving,
            data_centre=said.data_centre,
            rack=said.rack,
            older=self._older_announces(said.name, now),
        )

    def _idle(self, known: KnownTarget, now: float) -> bool:
        name = known.announcement.name
        instance = self._view.instance(name)
        takes_work = instance is None or instance.takes_work
        if takes_work or known.announcement.running or self._dispatcher.busy_on(name):
            self._quiet_since.pop(name, None)
            return False
        since = self._quiet_since.setdefault(name, now)
        return now - since >= QUIET_S and known.heard_at - since >= ANNOUNCED_AFTER_S

    def _older_announces(self, name: str, now: float) -> bool:
        recent = [at for at in self._older.get(name, []) if now - at <= OLDER_WINDOW_S]
        return len(recent) >= OLDER_COUNT
