"""Reports of the entries about targets, and how the leader merges them."""

import pytest

from geraniumtrack.coordination.fleet.fleet_manager import FleetPlanner
from geraniumtrack.coordination.fleet.health import decide_health
from geraniumtrack.coordination.fleet.membership import Announcement, TargetTable
from geraniumtrack.coordination.fleet.observed import FleetObservation, FleetReports, ObservedTarget
from geraniumtrack.coordination.fleet.target_reports import TargetReporter
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Session
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.view import ConfigView


class StubDispatcher:
    """Dispatcher without tasks that reports the given slots in use on each target."""

    def __init__(self):
        self.in_use = {}

    def slots_in_use(self, target):
        return self.in_use.get(target, 0)

    def demand(self):
        return {}


class Entry:
    """The reporter of an entry, with the entry's view and targets."""

    def __init__(self, state):
        self.view, self.targets, self.dispatcher = ConfigView(), TargetTable(), StubDispatcher()
        self.reporter = TargetReporter(
            view=self.view, targets=self.targets, dispatcher=self.dispatcher
        )
        self.fetch_view(state)

    def fetch_view(self, state):
        delta = state.delta(self.view.version)
        self.view.install(since=self.view.version, version=state.version, delta=delta)

    def announce(self, now, **changes):
        fields = {"incarnation": 1, "running": ()} | changes
        announcement = Announcement(
            name="t1",
            data_centre="dc1",
            rack="r1",
            address="127.0.0.1:1",
            pool="proofs",
            slots=8,
            connections=64,
            **fields,
        )
        if not self.targets.announce(announcement, now):
            self.reporter.record_older_incarnation(announcement, now)

    def reports_idle(self, now):
        return self.reporter.build_full(now)["targets"]["t1"].idle


@pytest.fixture
def state():
    state = ReplicatedState()
    pools = [{"name": "proofs"}, {"name": "mockups"}]
    state.apply(cmd.ApplyFleet("f", 0, {"data_centres": [{"name": "dc1"}], "pools": pools}))
    state.apply(cmd.AdmitInstance("t1", "proofs", "dc1", "r1"))
    return state


def drain(state):
    """Begins a move of t1, which drains it."""
    assert state.apply(cmd.BeginMove("t1", "proofs", "mockups", "peak", 1.0)).ok


def test_target_is_reported_idle_only_after_the_entry_received_its_drain(state):
    """Guards against a move or reboot of a target on which the entry may still start tasks.

    It may do so until its view contains the drain.
    """
    entry = Entry(state)
    drain(state)
    for now in (1.0, 2.0, 3.0):
        entry.announce(now)
        assert not entry.reports_idle(now)
    entry.fetch_view(state)
    assert not entry.reports_idle(3.5), "the announcement may have been sent before the last start"
    entry.announce(4.5)
    assert entry.reports_idle(5.0)


def test_target_that_runs_a_task_of_a_former_dispatcher_is_not_idle(state):
    """Guards against a move or reboot that interrupts a task of an entry that was killed.

    Only the target's announcements list such a task.
    """
    entry = Entry(state)
    drain(state)
    entry.fetch_view(state)
    for now in (1.0, 2.0, 3.0):
        entry.announce(now, running=("of-a-dead-entry",))
        assert not entry.reports_idle(now + 0.5)
    entry.announce(4.0)
    assert not entry.reports_idle(4.0)
    entry.announce(5.0)
    assert entry.reports_idle(5.5)


def test_target_with_a_slot_in_use_by_this_entry_is_not_idle(state):
    """Guards against a move or reboot while a task is in transit.

    The target's announcements do not list it yet.
    """
    entry = Entry(state)
    drain(state)
    entry.fetch_view(state)
    entry.dispatcher.in_use["t1"] = 1
    for now in (1.0, 2.0, 3.0):
        entry.announce(now)
        assert not entry.reports_idle(now)


def collect_reports(state, entries, now):
    """Returns the leader's reports after each entry sent a full one."""
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
    """Returns the lowest view version at which these entries confirm that t1 is idle, or None."""
    sessions = {name: Session(name, f"s-{name}", "dc1") for name in names}
    observed = reports.observe(
        instances=state.view["instances"], sessions=sessions, now=now, at=now
    )
    return observed.idle.get("t1")


def test_target_is_idle_only_if_every_open_session_of_its_data_centre_confirms_it(state):
    """Guards against a move or reboot while an entry that cannot reach the leader uses the target.

    Within its session lease, it may still run tasks there or start them under an old view.
    """
    drain(state)
    entries = {"e1": Entry(state), "e2": Entry(state)}
    for now in (1.0, 2.0, 3.0):
        for entry in entries.values():
            entry.announce(now)
            entry.reporter.build_full(now)
    from_both = collect_reports(state, entries, 3.0)
    assert idle_version(state, from_both, 3.0, "e1", "e2") == state.version
    from_e1 = collect_reports(state, {"e1": entries["e1"]}, 3.0)
    assert idle_version(state, from_e1, 3.0, "e1", "e2") is None
    assert idle_version(state, from_e1, 3.0, "e1") == state.version
    assert idle_version(state, from_e1, 9.0, "e1") is None, "the report is too old to count"


def decide_health_of(state, target):
    """Returns the health commands for t1 if the entries report it as given."""
    return decide_health(state, FleetObservation(20.0, {"t1": target}))


def test_silent_instance_becomes_suspect_then_failed_and_returns_when_announced(state):
    """Guards against a lost instance that stays alive, and a restarted one that stays failed."""
    entry = Entry(state)
    entry.announce(1.0)
    states = []
    for now in (1.5, 4.0, 6.0, 13.0):
        reports = collect_reports(state, {"e1": entry}, now)
        observed = reports.observe(instances=state.view["instances"], sessions={}, now=now, at=now)
        states += [c.state for c in decide_health(state, observed) if state.apply(c).ok]
    assert states == ["alive", "suspect", "failed"]
    entry.announce(14.0, incarnation=2)
    reports = collect_reports(state, {"e1": entry}, 14.0)
    observed = reports.observe(instances=state.view["instances"], sessions={}, now=14.0, at=14.0)
    assert [(c.state, c.incarnation) for c in decide_health(state, observed)] == [("alive", 2)]


def test_new_leader_without_reports_does_not_declare_a_failed_instance_alive(state):
    """Guards against a change of leader that returns a failed instance to service.

    To a new leader, targets without reports count as last seen when its leadership began.
    """
    state.apply(cmd.RecordHealth("t1", "failed", 1, "dc1", "r1", "silent", 1.0))
    observed = FleetReports(100.0).observe(
        instances=state.view["instances"], sessions={}, now=101.0, at=101.0
    )
    assert decide_health(state, observed) == []


def test_announcements_of_an_older_incarnation_do_not_keep_an_instance_alive(state):
    """Guards against a lost instance that counts as alive because of another process.

    An older incarnation of the same name still announces itself.
    """
    state.apply(cmd.RecordHealth("t1", "alive", 5, "dc1", "r1", "announced", 1.0))
    older = ObservedTarget("alive", 4, "dc2", "r9", 8, 0, False)
    command = decide_health_of(state, older)[0]
    assert (command.state, command.incarnation, command.data_centre) == ("suspect", 5, "")
    assert "older incarnation" in command.reason


def test_two_instances_with_one_name_are_recorded_as_one_event(state):
    """Guards against two processes with one name that remain unnoticed by operators.

    Also guards against an event for each of their announcements.
    """
    entry = Entry(state)
    planner = FleetPlanner(0.0)
    events = []
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
        events = [event for event in state.events if event.kind == "two_instances"]
    assert len(events) == 1
    assert state.health["t1"].incarnation == 5


def send_report(reports, entry, now, *, leader="c1"):
    """Sends the next report of an entry to the leader; returns its content."""
    body = entry.reporter.next_report(now, leader=leader)
    reports.record_report(
        entry="e1", session="s1", data_centre="dc1", version=1, reports=body, now=now
    )
    return body


def test_report_of_changes_gives_the_same_observation_as_a_full_report(state):
    """Guards against changes that the leader misses because they come between two full reports."""
    entry, reports = Entry(state), FleetReports(0.0)
    drain(state)
    for now in (1.0, 2.0, 3.0, 4.0, 5.0):
        entry.announce(now, leaving=now > 3)
        body = send_report(reports, entry, now)
        assert ("since" in body) == (now > 1.0)
        entry.reporter.confirmed()
        entry.fetch_view(state)
        observed = reports.observe(
            instances=state.view["instances"],
            sessions={"e1": Session("e1", "s1", "dc1")},
            now=now,
            at=now,
        )
        assert observed.targets["t1"].state == ("leaving" if now > 3 else "alive")
    assert "t1" in observed.idle


def test_reports_omit_unchanged_targets_unless_the_leader_lacks_the_full_report(state):
    """Guards against full reports at each renewal, which exceed the limit for control traffic.

    Also guards against changes that a leader cannot use because it lacks the full report.
    """
    entry, reports = Entry(state), FleetReports(0.0)
    entry.announce(1.0)
    send_report(reports, entry, 1.0)
    entry.announce(2.0)
    assert "since" not in send_report(reports, entry, 2.0), "the first report was not confirmed"
    entry.reporter.confirmed()
    assert send_report(reports, entry, 2.1) == {}
    entry.announce(3.0)
    assert send_report(reports, entry, 3.0)["targets"] == {}
    entry.reporter.confirmed()
    assert "since" not in send_report(reports, entry, 4.0, leader="c2")


def test_changes_without_their_full_report_are_ignored(state):
    """Guards against a leader that takes changed targets for all targets.

    A new leader has not received the full report to which the changes refer.
    """
    entry = Entry(state)
    entry.announce(1.0)
    send_report(FleetReports(0.0), entry, 1.0)
    entry.reporter.confirmed()
    entry.announce(2.0)
    reports = FleetReports(0.0)
    send_report(reports, entry, 2.0)
    observed = reports.observe(instances=state.view["instances"], sessions={}, now=2.0, at=2.0)
    assert observed.targets["t1"].incarnation == 0


def test_changes_since_another_full_report_are_ignored(state):
    """Guards against a late report of changes that is merged into a newer full report."""
    entry, reports = Entry(state), FleetReports(0.0)
    entry.announce(1.0)
    send_report(reports, entry, 1.0)
    entry.reporter.confirmed()
    entry.announce(2.0, leaving=True)
    late_report = entry.reporter.next_report(2.0, leader="c1")
    entry.announce(3.0)
    send_report(reports, entry, 3.0)
    reports.record_report(
        entry="e1", session="s1", data_centre="dc1", version=1, reports=late_report, now=3.5
    )
    observed = reports.observe(instances=state.view["instances"], sessions={}, now=3.5, at=3.5)
    assert observed.targets["t1"].state == "alive"
