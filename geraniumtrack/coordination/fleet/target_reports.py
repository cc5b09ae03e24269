"""An entry's reports about targets: last announcement, running tasks, and whether they are idle.

The leader moves or reboots a target only after every entry of its data centre that reports the
target has confirmed that it is idle. A confirmation counts only from the moment at which the
entry's view contains the drain of the target.
"""

from __future__ import annotations

from typing import Any, Protocol

from geraniumtrack.coordination.fleet.membership import Announcement, KnownTarget, TargetTable
from geraniumtrack.protocol.fleet_reports import LoadReport, TargetReport
from geraniumtrack.state.view import ConfigView

__all__ = ["TargetReporter"]

# Time without tasks after which a target counts as idle; a little longer than the interval between
# announcements.
MIN_IDLE_S = 1.2
# An announcement that arrives this long after a target became idle was sent after the last task had
# arrived there.
MIN_ANNOUNCEMENT_DELAY_S = 0.5
# A second instance is reported after OLDER_ANNOUNCEMENTS announcements of an older incarnation
# within the window. A single one may be a late announcement of the process before a restart.
OLDER_WINDOW_S = 5.0
OLDER_ANNOUNCEMENTS = 3
REPORT_INTERVAL_S = 0.9  # between reports; renewals may be more frequent
FULL_REPORT_INTERVAL_S = 20.0
MIN_REPORTED_AGE_S = 1.5  # announcements arrive each second, so a smaller age tells nothing
RUNNING_WEIGHT = 0.2  # weight of a new sample in the moving average of the running tasks
FORGET_AFTER_S = 30.0  # a target without announcements for longer is no longer reported


class DispatcherPort(Protocol):
    """Interface of the dispatcher that the reports use."""

    def slots_in_use(self, target: str) -> int:
        """Returns the number of slots in use on a target."""

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of queued and running tasks of each pool, over all teams."""


class TargetReporter:
    """Builds the reports of one entry. It does no I/O; time is passed in.

    Args:
        view: Configuration view.
        targets: Table of the known targets.
        dispatcher: The entry's dispatcher; may be set later, but before the first report.
    """

    def __init__(
        self, *, view: ConfigView, targets: TargetTable, dispatcher: DispatcherPort | None = None
    ) -> None:
        self.dispatcher = dispatcher
        self._view = view
        self._targets = targets
        self._last_report_at = float("-inf")
        self._last_full_at = float("-inf")
        self._full_number = 0
        self._last_full: dict[str, TargetReport] = {}
        self._leader = ""
        self._report_unconfirmed = True
        self._mean_running: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}
        self._older_announcement_times: dict[str, list[float]] = {}

    def record_older_incarnation(self, announcement: Announcement, now: float) -> None:
        """Records a rejected announcement, which came from an older incarnation."""
        times = self._older_announcement_times.setdefault(announcement.name, [])
        times.append(now)
        del times[:-OLDER_ANNOUNCEMENTS]

    def next_report(self, now: float, *, leader: str) -> dict[str, Any]:
        """Returns the reports for a renewal, or an empty dictionary if the last ones are recent.

        Most reports contain only the changes since the last full report. A full report on 69
        targets takes 3.3 KB, and the leader receives reports of 16 entries within a limit of
        9 KB/s for control traffic.

        Args:
            now: Clock value in seconds.
            leader: Controller that receives the reports; a new one needs a full report.
        """
        if (
            leader == self._leader
            and not self._report_unconfirmed
            and now - self._last_report_at < REPORT_INTERVAL_S
        ):
            return {}
        reports = self.build_full(now)
        targets = reports["targets"]
        full_due = now - self._last_full_at >= FULL_REPORT_INTERVAL_S
        if full_due or leader != self._leader or self._report_unconfirmed:
            self._last_full, self._last_full_at = targets, now
            self._full_number += 1
            self._leader = leader
        else:
            last = self._last_full
            changed = {
                n: r for n, r in targets.items() if n not in last or _is_relevant_change(r, last[n])
            }
            gone = [name for name in last if name not in targets]
            reports = {**reports, "targets": changed, "gone": gone, "since": self._full_number}
        self._last_report_at = now
        self._report_unconfirmed = True
        return {**reports, "full": self._full_number}

    def confirmed(self) -> None:
        """Records that the leader has received the last reports."""
        self._report_unconfirmed = False

    def build_full(self, now: float) -> dict[str, Any]:
        """Returns a full report, under the present view.

        Targets that have been silent for longer than FORGET_AFTER_S are left out.
        """
        targets = {}
        for known in self._targets.all():
            if now - known.heard_at <= FORGET_AFTER_S:
                targets[known.announcement.name] = self._report(known, now)
        loads = {pool: LoadReport(*load) for pool, load in self.dispatcher.demand().items()}
        return {"targets": targets, "loads": loads}

    def _report(self, known: KnownTarget, now: float) -> TargetReport:
        announced = known.announcement
        return TargetReport(
            age_s=(
                round(now - known.heard_at, 1) if now - known.heard_at > MIN_REPORTED_AGE_S else 0.0
            ),
            incarnation=announced.incarnation,
            slots=announced.slots,
            running=self._running(known),
            idle=self._idle(known, now),
            leaving=announced.leaving,
            data_centre=announced.data_centre,
            rack=announced.rack,
            older_incarnation=self._has_older_incarnation(announced.name, now),
        )

    def _running(self, known: KnownTarget) -> int:
        """Returns a moving average of the running tasks.

        An average changes less often by enough to be reported again.
        """
        announced = known.announcement
        running = max(len(announced.running), self.dispatcher.slots_in_use(announced.name))
        mean = self._mean_running.get(announced.name, float(running))
        mean += RUNNING_WEIGHT * (running - mean)
        self._mean_running[announced.name] = mean
        return round(mean)

    def _idle(self, known: KnownTarget, now: float) -> bool:
        name = known.announcement.name
        instance = self._view.instance(name)
        accepts_tasks = instance is None or instance.accepts_tasks
        if accepts_tasks or known.announcement.running or self.dispatcher.slots_in_use(name):
            self._idle_since.pop(name, None)
            return False
        since = self._idle_since.setdefault(name, now)
        return now - since >= MIN_IDLE_S and known.heard_at - since >= MIN_ANNOUNCEMENT_DELAY_S

    def _has_older_incarnation(self, name: str, now: float) -> bool:
        recent = [
            at for at in self._older_announcement_times.get(name, []) if now - at <= OLDER_WINDOW_S
        ]
        return len(recent) >= OLDER_ANNOUNCEMENTS


def _is_relevant_change(report: TargetReport, last: TargetReport) -> bool:
    """Whether a report differs enough from the last full one to be sent.

    Small changes of the running tasks are ignored, because they only influence the order in which
    instances are lent and returned.
    """
    if abs(report.running - last.running) > max(1, report.slots // 4):
        return True
    return report._replace(running=0) != last._replace(running=0)
