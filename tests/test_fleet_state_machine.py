"""Hypothesis drives the real state, planner and reporter through races and failures.

The invariants: no accepted planned step leaves a pool over its availability budget, a target never
runs tasks of two pools, and no reboot interrupts a task.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from geraniumtrack.coordination.fleet_manager import FleetPlanner
from geraniumtrack.coordination.maintenance import reboot_orders
from geraniumtrack.coordination.membership import Announcement, TargetTable
from geraniumtrack.coordination.target_reports import TargetReporter
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.view import ConfigView

DATA_CENTRES = ("dc1", "dc2")
POOLS = {"proofs": 1, "mockups": 2, "spare": 3}
PER_POOL = 4
SESSION_LEASE_S = 5.0
SESSION_CLOSED_S = 15.2
NAMES = ("e0a", "e0b", "e1a", "e1b")
DISTURBANCES = (
    "leader changes",
    "target fails",
    "operator drains",
    "set aside",
    "data centre out",
    "maintenance",
)
DRAINING_STEPS = (cmd.BeginMove, cmd.SetAside)


class Target:
    """A target and the tasks on it, by task id: the pool for which each was started."""

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
    """One run of an entry: its view, targets, tasks in progress and the real reporter."""

    def __init__(self, name, data_centre, run):
        self.name, self.data_centre, self.run = name, data_centre, run
        self.session = f"{name}/{run}"
        self.view = ConfigView()
        self.targets = TargetTable()
        self.busy = {}
        self.loads = {}
        self.renewed_at = -100.0
        self.reporter = TargetReporter(view=self.view, targets=self.targets, dispatcher=self)

    def slots_in_use(self, target):
        return sum(on == target for on in self.busy.values())

    def demand(self):
        return self.loads


class FleetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.counter = 0
        self.state = ReplicatedState()
        self.targets = {}
        self.proposed = []
        self.renewals = {}
        self.rebooted = {}
        self.entries = {
            f"e{i}{c}": Entry(f"e{i}{c}", dc, 1)
            for i, dc in enumerate(DATA_CENTRES)
            for c in ("a", "b")
        }
        self._declare()
        self.planner = FleetPlanner(self.now)
        self.entries["e0a"].loads = {"proofs": (60, 0)}
        for entry in self.entries.values():
            self._fetch(entry)
        for _ in range(5):
            self._second()

    @initialize(maintenance=st.booleans(), busy=st.sets(st.sampled_from(NAMES)))
    def begin(self, maintenance, busy):
        """Tasks run before the first drain, since most races are between the two."""
        for name in sorted(busy):
            self._start_tasks(self.entries[name])
        if maintenance:
            self._control_maintenance(0)

    def _declare(self):
        body = {
            "data_centres": [{"name": name} for name in DATA_CENTRES],
            "pools": [
                {"name": name, "max_unavailable": most, "spare": name == "spare"}
                for name, most in POOLS.items()
            ],
        }
        assert self.state.apply(cmd.ApplyFleet("fleet", 0, body)).ok
        for pool in POOLS:
            for i in range(PER_POOL):
                data_centre = DATA_CENTRES[i % 2]
                target = Target(f"{pool}-{i}", data_centre)
                self.targets[target.name] = target
                rack = f"{data_centre}-r1"
                self.state.apply(cmd.AdmitInstance(target.name, pool, data_centre, rack))

    def _next(self):
        self.counter += 1
        return f"id{self.counter}"

    def _apply(self, command):
        before = self.state.version
        result = self.state.apply(command)
        drains = isinstance(command, cmd.AdvanceMaintenance) and command.phase == "draining"
        # A repeated step that changes nothing takes no further instance out.
        taken = result.ok and self.state.version > before
        if taken and (drains or isinstance(command, DRAINING_STEPS)):
            pool = self.state.view["instances"][command.instance].pool
            assert self._away(pool) <= POOLS[pool], (command, "exceeds the budget")
        if result.ok and isinstance(command, cmd.CompleteMove):
            tasks = self.targets[command.instance].tasks
            assert not tasks, "the instance changed its pool while it ran tasks"
        return result

    def _away(self, pool):
        out = [d.name for d in self.state.view["data_centres"].values() if not d.in_service]
        away = 0
        for i in self.state.view["instances"].values():
            health = self.state.health.get(i.name)
            planned = i.drained or i.moving_to or i.set_aside or i.data_centre in out
            unwell = health is not None and health.state != "alive"
            busy = i.maintenance in ("draining", "rebooting")
            away += i.pool == pool and bool(planned or unwell or busy)
        return away

    def _fetch(self, entry):
        delta = self.state.delta(entry.view.version)
        entry.view.install(since=entry.view.version, version=self.state.version, delta=delta)

    def _renew(self, entry):
        held = self.state.sessions.get(entry.name)
        if held is None:
            self._apply(cmd.OpenSession(entry.name, entry.session, entry.data_centre))
        elif held.session != entry.session:
            return
        entry.renewed_at = self.renewals[entry.session] = self.now
        self.planner.reports.record_report(
            entry=entry.name,
            session=entry.session,
            data_centre=entry.data_centre,
            version=entry.view.version,
            reports=entry.reporter.build_full(self.now),
            now=self.now,
        )

    def _second(self):
        self.now += 1.0
        for target in self.targets.values():
            if target.up:
                self._announce(target)
        for entry in self.entries.values():
            self._renew(entry)
        for session in list(self.state.sessions.values()):
            if self.now - self.renewals.get(session.session, self.now) > SESSION_CLOSED_S:
                self._apply(cmd.CloseSession(session.entry, session.session))

    def _announce(self, target):
        for entry in self.entries.values():
            if entry.data_centre == target.data_centre:
                entry.targets.announce(target.announcement(), self.now)

    def _decide(self):
        keys = frozenset(order.key for order in reboot_orders(self.state))
        done = frozenset(key for key in self.rebooted.values() if key in keys)
        return self.planner.decide(self.state, now=self.now, at=self.now, rebooted=done)

    @rule(behind=st.sampled_from(["", "", *NAMES]), seconds=st.integers(2, 5))
    def pass_time(self, behind, seconds):
        """Time passes with decisions committed at once; one entry may not get the new view."""
        for _ in range(seconds):
            for entry in self.entries.values():
                if entry.name != behind:
                    self._fetch(entry)
            self._second()
            for command in self._decide():
                self._apply(command)

    @rule(answered=st.booleans())
    def all_goes_on(self, answered):
        """Tasks end, failed targets return, the platform reboots, and nothing is late."""
        self._end_tasks(answered)
        self._return_targets()
        self._platform_reboots()
        self.pass_time("", 5)

    @rule()
    def leader_proposes(self):
        """Decides without committing yet; the commands may be applied late and after others."""
        self.proposed += self._decide()

    @precondition(lambda self: self.proposed)
    @rule(data=st.data())
    def late_command_is_committed(self, data):
        at = data.draw(st.integers(0, len(self.proposed) - 1))
        self._apply(self.proposed.pop(at))

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def entries_start_tasks(self, names):
        """Starts a task on every target that these entries may use under their views."""
        for entry in (self.entries[name] for name in sorted(names)):
            if self.now - entry.renewed_at <= SESSION_LEASE_S:
                self._start_tasks(entry)

    @rule(answered=st.booleans())
    def tasks_end(self, answered):
        """Tasks finish; without an answer the entry gives up and the target goes on."""
        self._end_tasks(answered)

    @rule(name=st.sampled_from(NAMES))
    def entry_restarts(self, name):
        """Its tasks go on running; the new run must wait for the old session to close."""
        old = self.entries[name]
        self.entries[name] = Entry(name, old.data_centre, old.run + 1)
        self.entries[name].loads = old.loads
        self._fetch(self.entries[name])

    @rule(queued=st.sampled_from([0, 60]))
    def load_changes(self, queued):
        self.entries["e0a"].loads = {"proofs": (queued, 0)}

    @rule()
    def platform_reboots(self):
        self._platform_reboots()

    @rule(kind=st.sampled_from(DISTURBANCES), number=st.integers(0, 11))
    def disturb(self, kind, number):
        """One of the rarer events; most of them are undone by their second occurrence."""
        name = list(self.targets)[number]
        instance = self.state.view["instances"][name]
        if kind == "leader changes":
            self.planner = FleetPlanner(self.now)
        elif kind == "target fails":
            self.targets[name].stop()
        elif kind == "operator drains":
            self._apply(cmd.DrainTarget(self._next(), name, not instance.drained, self.now))
        elif kind == "set aside":
            build = cmd.ReturnInstance if instance.set_aside else cmd.SetAside
            self._apply(build(name, "fails everything", self.now))
        elif kind == "data centre out":
            back = not self.state.view["data_centres"]["dc2"].in_service
            self._apply(cmd.SetDataCentre(self._next(), "dc2", back))
        elif kind == "maintenance":
            self._control_maintenance(number)

    def _control_maintenance(self, number):
        campaign = self.state.campaign
        if campaign is None or campaign.phase in ("finished", "cancelled"):
            self._apply(cmd.PlanMaintenance(self._next(), (), self.now))
            return
        action = "resume" if campaign.phase == "paused" else ("pause", "cancel")[number % 2]
        self._apply(cmd.ControlMaintenance(self._next(), action, "by hand", "operator", self.now))

    def _start_tasks(self, entry):
        for target in self.targets.values():
            instance = entry.view.instance(target.name)
            known = entry.targets.get(target.name) is not None
            if known and target.up and instance.accepts_tasks:
                accepted = self.state.view["instances"][target.name].pool
                assert instance.pool == accepted, "the target serves two pools"
                task = self._next()
                target.tasks[task] = instance.pool
                entry.busy[task] = target.name

    def _end_tasks(self, answered):
        for entry in self.entries.values():
            entry.busy.clear()
        if answered:
            for target in self.targets.values():
                target.tasks.clear()

    def _return_targets(self):
        rebooting = {order.instance for order in reboot_orders(self.state)}
        for target in self.targets.values():
            if not target.up and target.name not in rebooting:
                target.start()

    def _platform_reboots(self):
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
