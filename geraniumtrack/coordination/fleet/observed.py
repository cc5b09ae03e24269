"""Observations of targets and queues, merged by the leading controller from entries' reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from geraniumtrack.coordination.fleet.membership import DEAD_AFTER_S, SUSPECT_AFTER_S
from geraniumtrack.protocol.fleet_reports import LoadReport, TargetReport
from geraniumtrack.state.records import Instance, Session

__all__ = ["FleetObservation", "FleetReports", "ObservedTarget"]

REPORT_INTERVAL_S = 1.0
# Reports older than this neither confirm that a target is idle nor count towards the load.
REPORT_VALID_S = 3.0


class _EntryReport(NamedTuple):
    """The state reported by one entry.

    Attributes:
        session: Session of the entry.
        data_centre: Its data centre.
        version: View version that it held.
        received_at: Clock value in seconds.
        targets: All its targets, with the latest changes.
        loads: Queued and running tasks by pool.
        full_number: Number of the full report that the next changes must refer to.
        full: Targets of that full report.
    """

    session: str
    data_centre: str
    version: int
    received_at: float
    targets: dict[str, TargetReport]
    loads: dict[str, LoadReport]
    full_number: int
    full: dict[str, TargetReport]


class ObservedTarget(NamedTuple):
    """A target according to the reports of all entries.

    Attributes:
        state: `alive`, `leaving`, `suspect` or `failed`; empty if no entry has reported the target
            and this controller has not led long enough to suspect it.
        incarnation: Highest incarnation reported.
        data_centre: Where that incarnation announced itself from.
        rack: Its rack.
        slots: Tasks that it can run at once.
        running: Tasks that run on it.
        duplicated: Whether an older incarnation announces itself too.
    """

    state: str
    incarnation: int
    data_centre: str
    rack: str
    slots: int
    running: int
    duplicated: bool


@dataclass(frozen=True, slots=True)
class FleetObservation:
    """The fleet as the entries report it; with the replicated state, the input of all decisions.

    Attributes:
        at: Seconds since the epoch, by the leader's clock.
        targets: Targets by instance name.
        pool_loads: Queued and running tasks by pool, over all entries.
        idle: Idle instances, each with the lowest view version held by the entries of its data
            centre. All these entries have reported recently; at least one confirms the instance as
            idle, and the others either confirm it too or do not report the instance.
    """

    at: float
    targets: dict[str, ObservedTarget] = field(default_factory=dict)
    pool_loads: dict[str, LoadReport] = field(default_factory=dict)
    idle: dict[str, int] = field(default_factory=dict)


class FleetReports:
    """Stores the last report of each entry and merges them.

    It does no I/O; time is passed in.

    Args:
        now: Clock value in seconds when this controller became leader. Targets that no entry has
            reported count as last seen then.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._entries: dict[str, _EntryReport] = {}

    def record_report(
        self,
        *,
        entry: str,
        session: str,
        data_centre: str,
        version: int,
        reports: dict[str, Any],
        now: float,
    ) -> None:
        """Replaces the stored report of an entry.

        A report of changes is dropped unless the full report that it refers to is stored. The entry
        sends a full report at least every 20 s.

        Args:
            entry: Name of the entry.
            session: Its session.
            data_centre: Its data centre.
            version: View version that it holds.
            reports: Content of `RenewSession.reports`; nothing is stored if it is empty.
            now: Clock value in seconds.
        """
        if not reports:
            return
        targets = {name: TargetReport(*r) for name, r in reports["targets"].items()}
        loads = {pool: LoadReport(*load) for pool, load in reports["loads"].items()}
        full = targets
        if "since" in reports:
            last = self._entries.get(entry)
            if last is None or (last.session, last.full_number) != (session, reports["since"]):
                return
            full = last.full
            targets = {n: r for n, r in full.items() if n not in reports["gone"]} | targets
        self._entries[entry] = _EntryReport(
            session, data_centre, version, now, targets, loads, reports.get("full", 0), full
        )

    def observe(
        self,
        *,
        instances: dict[str, Instance],
        sessions: dict[str, Session],
        now: float,
        at: float,
    ) -> FleetObservation:
        """Merges the stored reports.

        Args:
            instances: Admitted instances.
            sessions: Open sessions. An instance is idle only while each session of its data centre
                has a recent report.
            now: Clock value in seconds.
            at: Seconds since the epoch.
        """
        sightings = self._sightings()
        return FleetObservation(
            at=at,
            targets={name: self._merge_target(sightings.get(name, []), now) for name in instances},
            pool_loads=self._loads(now),
            idle=self._idle(instances, sessions, now),
        )

    def _sightings(self) -> dict[str, list[tuple[float, TargetReport]]]:
        """Returns the reports of each target with the time at which the entry last heard it."""
        sightings: dict[str, list[tuple[float, TargetReport]]] = {}
        for report in self._entries.values():
            for name, target in report.targets.items():
                sightings.setdefault(name, []).append((report.received_at - target.age_s, target))
        return sightings

    def _merge_target(
        self, sightings: list[tuple[float, TargetReport]], now: float
    ) -> ObservedTarget:
        if not sightings:
            state = self._state(self._started_at, now, leaving=False)
            # Without a report, a target may become suspect but is not known to be alive.
            return ObservedTarget("" if state == "alive" else state, 0, "", "", 0, 0, False)
        incarnation = max(target.incarnation for _, target in sightings)
        newest = [(at, target) for at, target in sightings if target.incarnation == incarnation]
        last_heard, target = max(newest, key=lambda pair: pair[0])
        older = any(
            report.incarnation < incarnation and now - at <= REPORT_VALID_S
            for at, report in sightings
        )
        return ObservedTarget(
            state=self._state(last_heard, now, leaving=target.leaving),
            incarnation=incarnation,
            data_centre=target.data_centre,
            rack=target.rack,
            slots=target.slots,
            running=target.running,
            duplicated=older or any(report.older_incarnation for _, report in sightings),
        )

    def _state(self, last_heard: float, now: float, *, leaving: bool) -> str:
        age = now - last_heard - REPORT_INTERVAL_S
        if age > DEAD_AFTER_S:
            return "failed"
        if age > SUSPECT_AFTER_S:
            return "suspect"
        return "leaving" if leaving else "alive"

    def _loads(self, now: float) -> dict[str, LoadReport]:
        loads: dict[str, LoadReport] = {}
        for report in self._valid_reports(now):
            for pool, load in report.loads.items():
                total = loads.get(pool, LoadReport(0, 0))
                loads[pool] = LoadReport(total.queued + load.queued, total.running + load.running)
        return loads

    def _idle(
        self, instances: dict[str, Instance], sessions: dict[str, Session], now: float
    ) -> dict[str, int]:
        by_session = {report.session: report for report in self._valid_reports(now)}
        idle = {}
        for instance in instances.values():
            if instance.accepts_tasks:
                continue
            local = [s for s in sessions.values() if s.data_centre == instance.data_centre]
            reports = [by_session.get(session.session) for session in local]
            if _confirm_idle(reports, instance.name):
                idle[instance.name] = min(report.version for report in reports)
        return idle

    def _valid_reports(self, now: float) -> list[_EntryReport]:
        return [r for r in self._entries.values() if now - r.received_at <= REPORT_VALID_S]


def _confirm_idle(reports: list[_EntryReport | None], name: str) -> bool:
    """Whether all reports are present and those that contain the target confirm it as idle.

    At least one has to contain it.
    """
    if any(report is None for report in reports):
        return False
    # An entry that does not know the target starts no tasks on it and need not confirm.
    confirmations = [report.targets[name].idle for report in reports if name in report.targets]
    return bool(confirmations) and all(confirmations)
