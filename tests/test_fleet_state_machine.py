"""Random sequences of races and failures against the real state, planner and reporters.

Hypothesis chooses the sequences. The invariants are: no accepted planned step makes a pool exceed
its availability budget, no target runs tasks of two pools, and no reboot interrupts a task.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from geraniumtrack.coordination.fleet.fleet_manager import FleetPlanner
from geraniumtrack.coordination.fleet.maintenance import reboot_orders
from geraniumtrack.coordination.fleet.membership import Announcement, TargetTable
from geraniumtrack.coordination.fleet.target_reports import TargetReporter
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.view import ConfigView

DATA_CENTRES = ("dc1", "dc2")
POOLS = {"proofs": 1, "mockups": 2, "spare": 3}  # availability budget of each pool
INSTANCES_PER_POOL = 4
SESSION_LEASE_S = 5.0
CLOSE_SESSION_AFTER_S = 15.2  # without a renewal
ENTRY_NAMES = ("e0a", "e0b", "e1a", "e1b")
INJECTED_EVENTS = (
    "leader changes",
    "target fails",
    "operator drains",
    "set aside",
    "data centre out",
    "maintenance",
)
# Commands that must keep to the availability budget, besides `AdvanceMaintenance` to phase
# "draining". Drains and evacuations by operators may exceed it.
PLANNED_STEPS = (cmd.BeginMove, cmd.SetAside)


class Target:
    """A simulated target.

    Attributes:
        incarnation: Number of its starts.
        up: Whether it runs and announces itself.
        tasks: Pool for which each running task was started, by task id.
    """

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 1
        self.up = True
        self.tasks = {}

    def announcement(self):
        return Announcement(
            name=self.name,
            data_centre=self.data_centre,
            rack=f"{self.data_centre}-r1",
            address="127.0.0.1:1",
            pool=self.name.split("-")[0],
            slots=8,
            connections=64,
            incarnation=self.incarnation,
            running=tuple(self.tasks),
        )

    def stop(self):
        self.up = False
        self.tasks = {}

    def start(self):
        self.up = True
        self.incarnation += 1


class Entry:
    """A simulated entry until its restart; it is also the dispatcher that its reporter queries.

    Attributes:
        start_number: Number of its starts, including this one.
        session: Its session, which differs after each start.
        target_by_task: Target of each task whose end it waits for, by task id.
        loads: Numbers of queued and running tasks, by pool.
        renewed_at: Time of the last accepted renewal of its session, in seconds.
    """

    def __init__(self, name, data_centre, start_number):
        self.name, self.data_centre, self.start_number = name, data_centre, start_number
        self.session = f"{name}/{start_number}"
        self.view = ConfigView()
        self.targets = TargetTable()
        self.target_by_task = {}
        self.loads = {}
        self.renewed_at = -100.0
        self.reporter = TargetReporter(view=self.view, targets=self.targets, dispatcher=self)

    def slots_in_use(self, target):
        return sum(used == target for used in self.target_by_task.values())

    def demand(self):
        return self.loads


class FleetMachine(RuleBasedStateMachine):
    """Two data centres with two entries each, three pools, and a leader that plans steps.

    Attributes:
        now: Time in seconds.
        last_id: Number in the last generated id of a task or an operation.
        state: The replicated state.
        targets: Targets by name.
        uncommitted: Commands that the leader decided and that are not applied yet.
        last_renewals: Time of the last renewal of each session.
        rebooted: Key of the last reboot of each instance.
        entries: Entries by name.
        planner: Planner of the present leader.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.last_id = 0
        self.state = ReplicatedState()
        self.targets = {}
        self.uncommitted = []
        self.last_renewals = {}
        self.rebooted = {}
        self.entries = {
            f"e{i}{c}": Entry(f"e{i}{c}", dc, 1)
            for i, dc in enumerate(DATA_CENTRES)
            for c in ("a", "b")
        }
        self._declare_fleet()
        self.planner = FleetPlanner(self.now)
        self.entries["e0a"].loads = {"proofs": (60, 0)}
        for entry in self.entries.values():
            self._fetch_view(entry)
        for _ in range(5):
            self._advance_second()

    @initialize(maintenance=st.booleans(), active_entries=st.sets(st.sampled_from(ENTRY_NAMES)))
    def start_fleet(self, maintenance, active_entries):
        """Starts tasks before the first drain, since most races are between tasks and drains."""
        for name in sorted(active_entries):
            self._start_tasks(self.entries[name])
        if maintenance:
            self._control_maintenance(0)

    def _declare_fleet(self):
        body = {
            "data_centres": [{"name": name} for name in DATA_CENTRES],
            "pools": [
                {"name": name, "max_unavailable": max_unavailable, "spare": name == "spare"}
                for name, max_unavailable in POOLS.items()
            ],
        }
        assert self.state.apply(cmd.ApplyFleet("fleet", 0, body)).ok
        for pool in POOLS:
            for i in range(INSTANCES_PER_POOL):
                data_centre = DATA_CENTRES[i % 2]
                target = Target(f"{pool}-{i}", data_centre)
                self.targets[target.name] = target
                rack = f"{data_centre}-r1"
                self.state.apply(cmd.AdmitInstance(target.name, pool, data_centre, rack))

    def _next_id(self):
        self.last_id += 1
        return f"id{self.last_id}"

    def _apply(self, command):
        """Applies a command and checks the invariants of planned steps."""
        before = self.state.version
        result = self.state.apply(command)
        starts_drain = isinstance(command, cmd.AdvanceMaintenance) and command.phase == "draining"
        # A repeated step that changes nothing makes no further instance unavailable.
        changed = result.ok and self.state.version > before
        if changed and (starts_drain or isinstance(command, PLANNED_STEPS)):
            pool = self.state.view["instances"][command.instance].pool
            assert self._count_unavailable(pool) <= POOLS[pool], (command, "exceeds the budget")
        if result.ok and isinstance(command, cmd.CompleteMove):
            tasks = self.targets[command.instance].tasks
            assert not tasks, "the instance changed its pool while it ran tasks"
        return result

    def _count_unavailable(self, pool):
        """Counts the unavailable instances of a pool, independently of `state.availability`."""
        evacuated = [d.name for d in self.state.view["data_centres"].values() if not d.in_service]
        count = 0
        for i in self.state.view["instances"].values():
            health = self.state.health.get(i.name)
            planned = i.drained or i.moving_to or i.set_aside or i.data_centre in evacuated
            unhealthy = health is not None and health.state != "alive"
            in_maintenance = i.maintenance in ("draining", "rebooting")
            count += i.pool == pool and bool(planned or unhealthy or in_maintenance)
        return count

    def _fetch_view(self, entry):
        delta = self.state.delta(entry.view.version)
        entry.view.install(since=entry.view.version, version=self.state.version, delta=delta)

    def _renew_session(self, entry):
        """Renews or opens an entry's session and sends its report.

        Does nothing while the session of the entry's former start is open.
        """
        stored = self.state.sessions.get(entry.name)
        if stored is None:
            self._apply(cmd.OpenSession(entry.name, entry.session, entry.data_centre))
        elif stored.session != entry.session:
            return
        entry.renewed_at = self.last_renewals[entry.session] = self.now
        self.planner.reports.record_report(
            entry=entry.name,
            session=entry.session,
            data_centre=entry.data_centre,
            version=entry.view.version,
            reports=entry.reporter.build_full(self.now),
            now=self.now,
        )

    def _advance_second(self):
        """Advances time by a second, with announcements, renewals and the end of old sessions."""
        self.now += 1.0
        for target in self.targets.values():
            if target.up:
                self._announce(target)
        for entry in self.entries.values():
            self._renew_session(entry)
        for session in list(self.state.sessions.values()):
            if self.now - self.last_renewals.get(session.session, self.now) > CLOSE_SESSION_AFTER_S:
                self._apply(cmd.CloseSession(session.entry, session.session))

    def _announce(self, target):
        for entry in self.entries.values():
            if entry.data_centre == target.data_centre:
                entry.targets.announce(target.announcement(), self.now)

    def _decide(self):
        """Returns the commands of the leader, which knows the reboots that are done."""
        keys = frozenset(order.key for order in reboot_orders(self.state))
        rebooted = frozenset(key for key in self.rebooted.values() if key in keys)
        return self.planner.decide(self.state, now=self.now, at=self.now, rebooted=rebooted)

    @rule(outdated_entry=st.sampled_from(["", "", *ENTRY_NAMES]), seconds=st.integers(2, 5))
    def pass_time(self, outdated_entry, seconds):
        """Advances time; decisions are committed at once, and one entry may miss the new view."""
        for _ in range(seconds):
            for entry in self.entries.values():
                if entry.name != outdated_entry:
                    self._fetch_view(entry)
            self._advance_second()
            for command in self._decide():
                self._apply(command)

    @rule(answered=st.booleans())
    def continue_without_faults(self, answered):
        """Ends tasks, returns failed targets, performs ordered reboots and advances time.

        Args:
            answered: Whether the targets end the tasks and answer, as in `_end_tasks`.
        """
        self._end_tasks(answered)
        self._return_targets()
        self._platform_reboots()
        self.pass_time("", 5)

    @rule()
    def leader_proposes(self):
        """Decides without committing; the commands may be committed late and after others."""
        self.uncommitted += self._decide()

    @precondition(lambda self: self.uncommitted)
    @rule(data=st.data())
    def late_command_is_committed(self, data):
        """Commits one of the commands that the leader decided earlier."""
        index = data.draw(st.integers(0, len(self.uncommitted) - 1))
        self._apply(self.uncommitted.pop(index))

    @rule(names=st.sets(st.sampled_from(ENTRY_NAMES), min_size=1))
    def entries_start_tasks(self, names):
        """Starts tasks through these entries, unless their session lease has expired."""
        for entry in (self.entries[name] for name in sorted(names)):
            if self.now - entry.renewed_at <= SESSION_LEASE_S:
                self._start_tasks(entry)

    @rule(answered=st.booleans())
    def tasks_end(self, answered):
        """Ends all tasks for the entries; if not `answered`, the targets go on running them."""
        self._end_tasks(answered)

    @rule(name=st.sampled_from(ENTRY_NAMES))
    def entry_restarts(self, name):
        """Restarts an entry; its tasks go on, and its new session waits for the old to close."""
        old = self.entries[name]
        self.entries[name] = Entry(name, old.data_centre, old.start_number + 1)
        self.entries[name].loads = old.loads
        self._fetch_view(self.entries[name])

    @rule(queued=st.sampled_from([0, 60]))
    def load_changes(self, queued):
        """Changes the number of queued tasks that e0a reports for pool proofs."""
        self.entries["e0a"].loads = {"proofs": (queued, 0)}

    @rule()
    def platform_reboots(self):
        """Performs the ordered reboots."""
        self._platform_reboots()

    @rule(kind=st.sampled_from(INJECTED_EVENTS), target_index=st.integers(0, 11))
    def inject_event(self, kind, target_index):
        """Injects a rarer event.

        A second drain or set-aside of the same target, or a second change of dc2, undoes the first.
        """
        name = list(self.targets)[target_index]
        instance = self.state.view["instances"][name]
        if kind == "leader changes":
            self.planner = FleetPlanner(self.now)
        elif kind == "target fails":
            self.targets[name].stop()
        elif kind == "operator drains":
            self._apply(cmd.DrainTarget(self._next_id(), name, not instance.drained, self.now))
        elif kind == "set aside":
            command_type = cmd.ReturnInstance if instance.set_aside else cmd.SetAside
            self._apply(command_type(name, "fails everything", self.now))
        elif kind == "data centre out":
            in_service = not self.state.view["data_centres"]["dc2"].in_service
            self._apply(cmd.SetDataCentre(self._next_id(), "dc2", in_service))
        elif kind == "maintenance":
            self._control_maintenance(target_index)

    def _control_maintenance(self, number):
        """Plans or resumes a campaign; pauses a running one, or cancels it if the number is odd."""
        campaign = self.state.campaign
        if campaign is None or campaign.phase in ("finished", "cancelled"):
            self._apply(cmd.PlanMaintenance(self._next_id(), (), self.now))
            return
        action = "resume" if campaign.phase == "paused" else ("pause", "cancel")[number % 2]
        self._apply(
            cmd.ControlMaintenance(self._next_id(), action, "by hand", "operator", self.now)
        )

    def _start_tasks(self, entry):
        """Starts a task on each target that the entry may use under its view."""
        for target in self.targets.values():
            instance = entry.view.instance(target.name)
            known = entry.targets.get(target.name) is not None
            if known and target.up and instance.accepts_tasks:
                pool = self.state.view["instances"][target.name].pool
                assert instance.pool == pool, "the target serves two pools"
                task = self._next_id()
                target.tasks[task] = instance.pool
                entry.target_by_task[task] = target.name

    def _end_tasks(self, answered):
        """Ends the wait of the entries for all tasks.

        Args:
            answered: Whether the targets ended the tasks and answered. Otherwise the entries no
                longer wait for them, but the targets still run them.
        """
        for entry in self.entries.values():
            entry.target_by_task.clear()
        if answered:
            for target in self.targets.values():
                target.tasks.clear()

    def _return_targets(self):
        rebooting = {order.instance for order in reboot_orders(self.state)}
        for target in self.targets.values():
            if not target.up and target.name not in rebooting:
                target.start()

    def _platform_reboots(self):
        """Performs each ordered reboot once and checks that it interrupts no task."""
        for order in reboot_orders(self.state):
            if self.rebooted.get(order.instance) != order.key:
                target = self.targets[order.instance]
                assert not target.tasks, "the reboot interrupts a task"
                self.rebooted[order.instance] = order.key
                target.stop()
                target.start()


EXAMPLES, STEPS = (100, 30) if os.environ.get("HYPOTHESIS_PROFILE", "ci") == "ci" else (1000, 80)
FleetMachine.TestCase.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None
)
TestFleetMachine = FleetMachine.TestCase
