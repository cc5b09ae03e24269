"""What the leading controller knows of targets and queues, merged from the entries' reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from geraniumtrack.coordination.membership import DEAD_AFTER_S, SUSPECT_AFTER_S
from geraniumtrack.protocol.fleet_reports import LoadReport, TargetReport
from geraniumtrack.state.records import Instance, Session

__all__ = ["FleetReports", "Observed", "ObservedTarget"]

REPORT_INTERVAL_S = 1.0
FRESH_S = 3.0  # older reports of an entry neither confirm idleness nor add load


class _EntryReport(NamedTuple):
    session: str
    data_centre: str
    version: int
    received_at: float
    targets: dict[str, TargetReport]
    loads: dict[str, LoadReport]
    full_number: int
    full: dict[str, TargetReport]


class ObservedTarget(NamedTuple):
    """A target as all entries together see it."""

    state: str
    incarnation: int
    data_centre: str
    rack: str
    slots: int
    running: int
    duplicated: bool


@dataclass(frozen=True, slots=True)
class Observed:
    """The input of decisions besides the replicated state.

    Attributes:
        at: Time in seconds since the epoch, by the leader's clock.
        targets: Targets by instance name.
        loads: Queued and running tasks by pool, over all entries.
        idle: View version up to which each target is confirmed idle by all of its entries.
    """

    at: float
    targets: dict[str, ObservedTarget] = field(default_factory=dict)
    loads: dict[str, LoadReport] = field(default_factory=dict)
    idle: dict[str, int] = field(default_factory=dict)


class FleetReports:
    """The last report of each entry. Pure: time is passed in, in seconds of the leader's clock.

    Args:
        now: When this controller began to lead; targets count as heard until then.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._entries: dict[str, _EntryReport] = {}

    def received(
        self,
        *,
        entry: str,
        session: str,
        data_centre: str,
        version: int,
        reports: dict[str, Any],
        now: float,
    ) -> None:
        """Takes the report of an entry, which replaces its former one.

        A report of changes is of use only with the full report that it builds on; the entry sends
        a full one again within 20 s.
        """
        if not reports:
            return
        targets = {name: TargetReport(*r) for name, r in reports["targets"].items()}
        loads = {pool: LoadReport(*load) for pool, load in reports["loads"].items()}
        full = targets
        if "since" in reports:
            held = self._entries.get(entry)
            if held is None or (held.session, held.full_number) != (session, reports["since"]):
                return
            full = held.full
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
    ) -> Observed:
        """Merges all reports.

        Args:
            instances: Admitted instances.
            sessions: Open sessions; all sessions of a data centre must confirm idleness.
            now: Clock value in seconds.
            at: Seconds since the epoch.
        """
        heard = self._heard()
        return Observed(
            at=at,
            targets={name: self._target(heard.get(name, []), now) for name in instances},
            loads=self._loads(now),
            idle=self._idle(instances, sessions, now),
        )

    def _heard(self) -> dict[str, list[tuple[float, TargetReport]]]:
        heard: dict[str, list[tuple[float, TargetReport]]] = {}
        for report in self._entries.values():
            for name, target in report.targets.items():
                heard.setdefault(name, []).append((report.received_at - target.age, target))
        return heard

    def _target(self, heard: list[tuple[float, TargetReport]], now: float) -> ObservedTarget:
        if not heard:
            state = self._state(self._started_at, now, leaving=False)
            # Silence since this controller began to lead says nothing good about the target.
            return ObservedTarget("" if state == "alive" else state, 0, "", "", 0, 0, False)
        incarnation = max(target.incarnation for _, target in heard)
        newest = [(at, target) for at, target in heard if target.incarnation == incarnation]
        last_heard, target = max(newest, key=lambda pair: pair[0])
        older = any(
            report.incarnation < incarnation and now - at <= FRESH_S for at, report in heard
        )
        return ObservedTarget(
            state=self._state(last_heard, now, leaving=target.leaving),
            incarnation=incarnation,
            data_centre=target.data_centre,
            rack=target.rack,
            slots=target.slots,
            running=target.running,
            duplicated=older or any(report.older for _, report in heard),
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
        for report in self._fresh(now):
            for pool, load in report.loads.items():
                held = loads.get(pool, LoadReport(0, 0))
                loads[pool] = LoadReport(held.queued + load.queued, held.running + load.running)
        return loads

    def _idle(
        self, instances: dict[str, Instance], sessions: dict[str, Session], now: float
    ) -> dict[str, int]:
        fresh = {report.session: report for report in self._fresh(now)}
        idle = {}
        for instance in instances.values():
            if instance.takes_work:
                continue
            here = [s for s in sessions.values() if s.data_centre == instance.data_centre]
            reports = [fresh.get(session.session) for session in here]
            if _all_confirm(reports, instance.name):
                idle[instance.name] = min(report.version for report in reports)
        return idle

    def _fresh(self, now: float) -> list[_EntryReport]:
        return [r for r in self._entries.values() if now - r.received_at <= FRESH_S]


def _all_confirm(reports: list[_EntryReport | None], name: str) -> bool:
    if any(report is None for report in reports):
        return False
    # An entry that never heard of the target starts nothing on it and has nothing to confirm.
    said = [report.targets[name].idle for report in reports if name in report.targets]
    return bool(said) and all(said)
