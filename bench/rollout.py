"""Determines the duration of a maintenance campaign at the design size.

A discrete-time simulation around the real state and decisions, with 550 instances in 63 pools. Run
as `python -m bench.rollout`; the seed is fixed.

At most one instance of each pool may be unavailable. Racks hold 4 instances of one pool where
possible. This is the slowest layout, because a wave is limited to one rack, of which the pool
allows only one instance to be unavailable.
"""

from __future__ import annotations

import random
import statistics
import time

from geraniumtrack.coordination.fleet.fleet_manager import FleetPlanner
from geraniumtrack.coordination.fleet.losses import find_losses
from geraniumtrack.coordination.fleet.maintenance import decide_maintenance, reboot_orders
from geraniumtrack.coordination.fleet.observed import FleetObservation
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import unavailable
from geraniumtrack.state.replicated import ReplicatedState

SEED = 20262
STEP_S = 60.0
DAY_S = 86_400.0
INSTANCES, POOLS, DATA_CENTRES = 550, 63, 8
FAILURES_A_DAY = 7
REPAIR_RANGE_S = (4 * 3600.0, 48 * 3600.0)
DRAIN_RANGE_S = (60.0, 1800.0)
REBOOT_S = 600.0
MAX_DURATION_S = 42 * DAY_S
MAX_UNAVAILABLE = 1


class Rollout:
    """Simulation of one campaign, during which instances fail."""

    def __init__(self) -> None:
        self.rng = random.Random(SEED)
        self.state = _fleet()
        self.now = 0.0
        self.drain_ends: dict[str, float] = {}
        self.reboot_ends: dict[str, float] = {}
        self.repair_ends: dict[str, float] = {}
        # STEP_S for each drain that exceeded its pool's budget when it began.
        self.excess_drains_s = 0.0
        self.pauses = 0

    def run(self) -> float:
        """Runs until the campaign has finished; returns its duration in seconds."""
        self.state.apply(cmd.PlanMaintenance("rollout", (), 0.0))
        while self.state.campaign.phase in ("running", "paused") and self.now < MAX_DURATION_S:
            self.now += STEP_S
            self._fail_and_repair()
            self._reboot()
            self._decide()
        return self.now

    def _fail_and_repair(self) -> None:
        if self.rng.random() < FAILURES_A_DAY * STEP_S / DAY_S:
            instance = self.rng.choice(list(self.state.view["instances"].values()))
            if self.state.health[instance.name].state != "failed":
                self._record_health(instance.name, "failed")
                self.repair_ends[instance.name] = self.now + self.rng.uniform(*REPAIR_RANGE_S)
        for name in [name for name, at in self.repair_ends.items() if self.now >= at]:
            del self.repair_ends[name]
            self._record_health(name, "alive")

    def _reboot(self) -> None:
        for order in reboot_orders(self.state):
            reboot_end = self.reboot_ends.setdefault(order.key, self.now + REBOOT_S)
            if self.now >= reboot_end and order.instance not in self.repair_ends:
                step = self.state.maintenance[order.instance]
                if self.state.health[order.instance].incarnation <= step.incarnation:
                    self._record_health(order.instance, "alive")

    def _record_health(self, name: str, health: str) -> None:
        instance = self.state.view["instances"][name]
        incarnation = self.state.health[name].incarnation + (health == "alive")
        location = (instance.data_centre, instance.rack)
        self.state.apply(cmd.RecordHealth(name, health, incarnation, *location, "driver", self.now))

    def _decide(self) -> None:
        observed = FleetObservation(self.now, {}, {}, self._idle())
        rebooted = frozenset(order.key for order in reboot_orders(self.state))
        losses = find_losses(self.state, self.now)
        decision = decide_maintenance(self.state, observed, losses, rebooted)
        for command in decision.commands:
            applied = self.state.apply(command).ok
            is_pause = isinstance(command, cmd.ControlMaintenance) and command.action == "pause"
            self.pauses += applied and is_pause
            if applied and getattr(command, "phase", "") == "draining":
                self._check_budget(command.instance)

    def _check_budget(self, name: str) -> None:
        pool = self.state.view["instances"][name].pool
        if len(unavailable(self.state, pool)) > MAX_UNAVAILABLE:
            self.excess_drains_s += STEP_S

    def _idle(self) -> dict[str, int]:
        """Returns drained instances and the view version under which each was confirmed idle."""
        idle = {}
        draining = [
            i.name for i in self.state.view["instances"].values() if i.maintenance == "draining"
        ]
        for name in draining:
            drain_end = self.drain_ends.setdefault(
                name, self.now + self.rng.uniform(*DRAIN_RANGE_S)
            )
            if self.now >= drain_end:
                idle[name] = self.state.version
                del self.drain_ends[name]
        return idle


def _fleet() -> ReplicatedState:
    state = ReplicatedState()
    pools = [{"name": f"pool-{i}", "max_unavailable": MAX_UNAVAILABLE} for i in range(POOLS)]
    data_centres = [{"name": f"dc{i}"} for i in range(DATA_CENTRES)]
    state.apply(cmd.ApplyFleet("bench", 0, {"data_centres": data_centres, "pools": pools}))
    for i in range(INSTANCES):
        pool, member = i % POOLS, i // POOLS
        data_centre = f"dc{(pool + member // 4) % DATA_CENTRES}"
        rack = f"p{pool}-r{member // 4}"
        state.apply(cmd.AdmitInstance(f"w{i}", f"pool-{pool}", data_centre, rack))
        state.apply(cmd.RecordHealth(f"w{i}", "alive", 1, data_centre, rack, "", 0.0))
    return state


def planner_cost() -> list[float]:
    """Measures complete decisions of the leader, with reports of two entries per data centre.

    Returns:
        Durations of the decisions in seconds, sorted.
    """
    state = _fleet()
    planner = FleetPlanner(0.0)
    for number in range(2 * DATA_CENTRES):
        data_centre = f"dc{number % DATA_CENTRES}"
        state.apply(cmd.OpenSession(f"e{number}", f"s{number}", data_centre))
        targets = {
            i.name: (0.5, 1, 8, 4, False, False, i.data_centre, i.rack, False)
            for i in state.view["instances"].values()
            if i.data_centre == data_centre
        }
        planner.reports.record_report(
            entry=f"e{number}",
            session=f"s{number}",
            data_centre=data_centre,
            version=state.version,
            reports={"targets": targets, "loads": {"pool-1": (0, 30)}},
            now=10.0,
        )
    state.apply(cmd.PlanMaintenance("cost", (), 10.0))
    costs = []
    for _ in range(200):
        started = time.perf_counter()
        planner.decide(state, now=10.5, at=10.5, rebooted=frozenset())
        costs.append(time.perf_counter() - started)
    return sorted(costs)


def main() -> None:
    rollout = Rollout()
    duration = rollout.run()
    costs = planner_cost()
    print(f"seed {SEED}, {INSTANCES} instances, {POOLS} pools, budget {MAX_UNAVAILABLE} a pool")
    print(f"campaign {rollout.state.campaign.phase} after {duration / DAY_S:.1f} days, limit 42")
    print(f"pauses {rollout.pauses}, steps over the budget {rollout.excess_drains_s / STEP_S:.0f}")
    print(
        f"whole decision of the leader: median {statistics.median(costs) * 1e3:.2f} ms, "
        f"p99 {costs[int(len(costs) * 0.99)] * 1e3:.2f} ms"
    )


if __name__ == "__main__":
    main()
