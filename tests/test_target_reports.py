"""What entries confirm about targets, and how the leader merges it."""

import pytest

from geraniumtrack.coordination.fleet_manager import FleetPlanner
from geraniumtrack.coordination.health import decide_health
from geraniumtrack.coordination.membership import Announcement, TargetTable
from geraniumtrack.coordination.observed import FleetObservation, FleetReports, ObservedTarget
from geraniumtrack.coordination.target_reports import TargetReporter
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Session
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.view import ConfigView


class Dispatcher:
    """Slots taken, by target."""

    def __init__(self):
        self.busy = {}

    def slots_in_use(self, target):
        return self.busy.get(target, 0)

    def demand(self):
        return {}


class Entry:
    """An entry's reporter with its view, over a state with one instance."""

    def __init__(self, state):
        self.view, self.targets, self.dispatcher = ConfigView(), TargetTable(), Dispatcher()
        self.reporter = TargetReporter(
            view=self.view, targets=self.targets, dispatcher=self.dispatcher
        )
        self.fetch(state)

    def fetch(self, state):
        delta = state.delta(self.view.version)
        self.view.install(since=self.view.version, version=state.version, delta=delta)

    def announce(self, now, **changes):
        said = {"incarnation": 1, "running": ()} | changes
        announcement = Announcement(
            name="t1",
            data_centre="dc1",
            rack="r1",
            address="127.0.0.1:1",
            pool="proofs",
            slots=8,
            connections=64,
            **said,
        )
        if not self.targets.announce(announcement, now):
            self.reporter.record_older_incarnation(announcement, now)

    def idle(self, now):
        return self.reporter.build_full(now)["targets"]["t1"].idle


@pytest.fixture
def state():
    state = ReplicatedState()
    pools = [{"name": "proofs"}, {"name": "mockups"}]
    state.apply(cmd.ApplyFleet("f", 0, {"data_centres": [{"name": "dc1"}], "pools": pools}))
    state.apply(cmd.AdmitInstance("t1", "proofs", "dc1", "r1"))
    return state


def drain(state):
    assert state.apply(cmd.BeginMove("t1", "proofs", "mockups", "peak", 1.0)).ok


def test_target_is_idle_only_after_the_entry_saw_its_drain(state):
    entry = Entry(state)
    drain(state)
    for now in (1.0, 2.0, 3.0):
        entry.announce(now)
        assert not entry.idle(now)
    entry.fetch(state)
    assert not entry.idle(3.5), "an announcement sent before a last start proves nothing"
    entry.announce(4.5)
    assert entry.idle(5.0)


def test_target_that_runs_a_task_of_a_former_dispatcher_is_not_idle(state):
    entry = Entry(state)
    drain(state)
    entry.fetch(state)
    for now in (1.0, 2.0, 3.0):
        entry.announce(now, running=("of-a-dead-entry",))
        assert not entry.idle(now + 0.5)
    entry.announce(4.0)
    assert not entry.idle(4.0)
    entry.announce(5.0)
    assert entry.idle(5.5)


def test_target_that_this_entry_uses_is_not_idle(state):
    """A task on its way is not yet in the target's announcements."""
    entry = Entry(state)
    drain(state)
    entry.fetch(state)
    entry.dispatcher.busy["t1"] = 1
    for now in (1.0, 2.0, 3.0):
        entry.announce(now)
        assert not entry.idle(now)


def reports_of(state, entries, now):
    reports = FleetReports(0.0)
    for name, entry in entries.items():
        reports.record_report(
            entry=name,
            session=f"s-{name}",
            data_centre="dc1",
            version=entry.view.version,
            reports=entry.reporter.build_full(now),
            now=now,
        )
    return reports


def idle_version(state, reports, now, *names):
    sessions = {name: Session(name, f"s-{name}", "dc1") for name in names}
    seen = reports.observe(instances=state.view["instances"], sessions=sessions, now=now, at=now)
    return seen.idle.get("t1")


def test_every_open_session_of_the_data_centre_must_confirm(state):
    """Guards against a silent entry that still has tasks, or an old view, within its lease."""
    drain(state)
    entries = {"e1": Entry(state), "e2": Entry(state)}
    for now in (1.0, 2.0, 3.0):
        for entry in entries.values():
            entry.announce(now)
            entry.reporter.build_full(now)
    both = reports_of(state, entries, 3.0)
    assert idle_version(state, both, 3.0, "e1", "e2") == state.version
    one = reports_of(state, {"e1": entries["e1"]}, 3.0)
    assert idle_version(state, one, 3.0, "e1", "e2") is None
    assert idle_version(state, one, 3.0, "e1") == state.version
    assert idle_version(state, one, 9.0, "e1") is None, "the report is old"


def seen(state, target):
    return decide_health(state, FleetObservation(20.0, {"t1": target}))


def test_silence_makes_an_instance_suspect_and_then_failed_and_an_announcement_returns_it(state):
    entry = Entry(state)
    entry.announce(1.0)
    states = []
    for now in (1.5, 4.0, 6.0, 13.0):
        reports = reports_of(state, {"e1": entry}, now)
        observed = reports.observe(instances=state.view["instances"], sessions={}, now=now, at=now)
        states += [c.state for c in decide_health(state, observed) if state.apply(c).ok]
    assert states == ["alive", "suspect", "failed"]
    entry.announce(14.0, incarnation=2)
    reports = reports_of(state, {"e1": entry}, 14.0)
    observed = reports.observe(instances=state.view["instances"], sessions={}, now=14.0, at=14.0)
    assert [(c.state, c.incarnation) for c in decide_health(state, observed)] == [("alive", 2)]


def test_new_leader_without_reports_does_not_declare_a_failed_instance_alive(state):
    state.apply(cmd.RecordHealth("t1", "failed", 1, "dc1", "r1", "silent", 1.0))
    observed = FleetReports(100.0).observe(
        instances=state.view["instances"], sessions={}, now=101.0, at=101.0
    )
    assert decide_health(state, observed) == []


def test_older_instance_of_the_same_name_does_not_stand_in_for_the_newer(state):
    state.apply(cmd.RecordHealth("t1", "alive", 5, "dc1", "r1", "announced", 1.0))
    older = ObservedTarget("alive", 4, "dc2", "r9", 8, 0, False)
    command = seen(state, older)[0]
    assert (command.state, command.incarnation, command.data_centre) == ("suspect", 5, "")
    assert "older incarnation" in command.reason


def test_operator_is_told_once_of_two_instances_with_one_name(state):
    entry = Entry(state)
    planner = FleetPlanner(0.0)
    told = []
    for now in range(1, 20):
        entry.announce(float(now), incarnation=5)
        entry.announce(now + 0.1, incarnation=4)
        planner.reports.record_report(
            entry="e1",
            session="s-e1",
            data_centre="dc1",
            version=state.version,
            reports=entry.reporter.build_full(now + 0.2),
            now=now + 0.2,
        )
        for command in planner.decide(state, now=now + 0.3, at=now + 0.3, rebooted=frozenset()):
            state.apply(command)
        told = [event for event in state.events if event.kind == "two_instances"]
    assert len(told) == 1
    assert state.health["t1"].incarnation == 5


def send(reports, entry, now, *, leader="c1"):
    body = entry.reporter.next_report(now, leader=leader)
    reports.record_report(
        entry="e1", session="s1", data_centre="dc1", version=1, reports=body, now=now
    )
    return body


def test_changes_since_the_last_full_report_give_what_a_full_one_would(state):
    entry, reports = Entry(state), FleetReports(0.0)
    drain(state)
    for now in (1.0, 2.0, 3.0, 4.0, 5.0):
        entry.announce(now, leaving=now > 3)
        body = send(reports, entry, now)
        assert ("since" in body) == (now > 1.0)
        entry.reporter.confirmed()
        entry.fetch(state)
        seen = reports.observe(
            instances=state.view["instances"],
            sessions={"e1": Session("e1", "s1", "dc1")},
            now=now,
            at=now,
        )
        assert seen.targets["t1"].state == ("leaving" if now > 3 else "alive")
    assert "t1" in seen.idle


def test_unchanged_targets_are_left_out_and_an_unconfirmed_report_is_sent_in_full(state):
    entry, reports = Entry(state), FleetReports(0.0)
    entry.announce(1.0)
    send(reports, entry, 1.0)
    entry.announce(2.0)
    assert "since" not in send(reports, entry, 2.0), "the first one was not confirmed"
    entry.reporter.confirmed()
    assert send(reports, entry, 2.1) == {}
    entry.announce(3.0)
    assert send(reports, entry, 3.0)["targets"] == {}
    entry.reporter.confirmed()
    assert "since" not in send(reports, entry, 4.0, leader="c2")


def test_changes_without_their_full_report_are_ignored(state):
    entry = Entry(state)
    entry.announce(1.0)
    send(FleetReports(0.0), entry, 1.0)
    entry.reporter.confirmed()
    entry.announce(2.0)
    reports = FleetReports(0.0)
    send(reports, entry, 2.0)
    observed = reports.observe(instances=state.view["instances"], sessions={}, now=2.0, at=2.0)
    assert observed.targets["t1"].incarnation == 0


def test_changes_since_another_full_report_are_ignored(state):
    """Guards against a late report of changes that is merged into a newer full one."""
    entry, reports = Entry(state), FleetReports(0.0)
    entry.announce(1.0)
    send(reports, entry, 1.0)
    entry.reporter.confirmed()
    entry.announce(2.0, leaving=True)
    late = entry.reporter.next_report(2.0, leader="c1")
    entry.announce(3.0)
    send(reports, entry, 3.0)
    reports.record_report(
        entry="e1", session="s1", data_centre="dc1", version=1, reports=late, now=3.5
    )
    observed = reports.observe(instances=state.view["instances"], sessions={}, now=3.5, at=3.5)
    assert observed.targets["t1"].state == "alive"
