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
INTERVAL_S = 0.9  # between reports; renewals may be more frequent
FULL_S = 20.0  # between full reports
FRESH_AGE_S = 1.5  # announcements arrive each second, so a smaller age says nothing
RUNNING_WEIGHT = 0.2  # of the present number of running tasks in their average
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
        dispatcher: The entry's dispatcher, which may also be set before the first report.
    """

    def __init__(
        self, *, view: ConfigView, targets: TargetTable, dispatcher: DispatcherPort | None = None
    ) -> None:
        self.dispatcher = dispatcher
        self._view = view
        self._targets = targets
        self._sent_at = float("-inf")
        self._full_at = float("-inf")
        self._full_number = 0
        self._full: dict[str, TargetReport] = {}
        self._leader = ""
        self._unconfirmed = True
        self._mean_running: dict[str, float] = {}
        self._quiet_since: dict[str, float] = {}
        self._older: dict[str, list[float]] = {}

    def rejected(self, announcement: Announcement, now: float) -> None:
        """Notes an announcement of an older incarnation."""
        times = self._older.setdefault(announcement.name, [])
        times.append(now)
        del times[:-OLDER_COUNT]

    def next(self, now: float, *, leader: str) -> dict[str, Any]:
        """Returns the reports for a renewal, or an empty map if the last ones are recent.

        Most reports hold only what changed since the last full one. A full one of 69 targets has
        3.3 KB, and the leader hears 16 entries within a control budget of 9 KB/s.

        Args:
            now: Clock value in seconds.
            leader: The controller that it is sent to; another one needs a full report.
        """
        if leader == self._leader and not self._unconfirmed and now - self._sent_at < INTERVAL_S:
            return {}
        reports = self.build(now)
        targets = reports["targets"]
        aged = now - self._full_at >= FULL_S
        if aged or leader != self._leader or self._unconfirmed:
            self._full, self._full_at = targets, now
            self._full_number += 1
            self._leader = leader
        else:
            held = self._full
            changed = {n: r for n, r in targets.items() if n not in held or _differ(r, held[n])}
            gone = [name for name in held if name not in targets]
            reports = {**reports, "targets": changed, "gone": gone, "since": self._full_number}
        self._sent_at = now
        self._unconfirmed = True
        return {**reports, "full": self._full_number}

    def confirmed(self) -> None:
        """Notes that the leader has taken the last reports."""
        self._unconfirmed = False

    def build(self, now: float) -> dict[str, Any]:
        """Returns a full report, made under the view as it is now."""
        targets = {}
        for known in self._targets.all():
            if now - known.heard_at <= FORGET_AFTER_S:
                targets[known.announcement.name] = self._report(known, now)
        loads = {pool: LoadReport(*load) for pool, load in self.dispatcher.demand().items()}
        return {"targets": targets, "loads": loads}

    def _report(self, known: KnownTarget, now: float) -> TargetReport:
        said = known.announcement
        return TargetReport(
            age=round(now - known.heard_at, 1) if now - known.heard_at > FRESH_AGE_S else 0.0,
            incarnation=said.incarnation,
            slots=said.slots,
            running=self._running(known),
            idle=self._idle(known, now),
            leaving=said.leaving,
            data_centre=said.data_centre,
            rack=said.rack,
            older=self._older_announces(said.name, now),
        )

    def _running(self, known: KnownTarget) -> int:
        """Returns a moving average, since each change of it is reported."""
        said = known.announcement
        running = max(len(said.running), self.dispatcher.busy_on(said.name))
        mean = self._mean_running.get(said.name, float(running))
        mean += RUNNING_WEIGHT * (running - mean)
        self._mean_running[said.name] = mean
        return round(mean)

    def _idle(self, known: KnownTarget, now: float) -> bool:
        name = known.announcement.name
        instance = self._view.instance(name)
        accepts_tasks = instance is None or instance.accepts_tasks
        if accepts_tasks or known.announcement.running or self.dispatcher.busy_on(name):
            self._quiet_since.pop(name, None)
            return False
        since = self._quiet_since.setdefault(name, now)
        return now - since >= QUIET_S and known.heard_at - since >= ANNOUNCED_AFTER_S

    def _older_announces(self, name: str, now: float) -> bool:
        recent = [at for at in self._older.get(name, []) if now - at <= OLDER_WINDOW_S]
        return len(recent) >= OLDER_COUNT


def _differ(report: TargetReport, held: TargetReport) -> bool:
    """Whether a change matters; running tasks only break ties between instances to move."""
    if abs(report.running - held.running) > max(1, report.slots // 4):
        return True
    return report._replace(running=0) != held._replace(running=0)
