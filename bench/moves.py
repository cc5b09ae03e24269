"""Compares rules for lending from the spare pool: fixed pools, thresholds, and a PID controller.

A discrete-time simulation around the real state and decisions; tasks are only counted. Run as
`python -m bench.moves`; the seed is fixed.

There are five pools of 8 instances with 8 slots each; the fifth is the spare pool. The queues peak
in turn at five times their mean and fall to a twentieth of it in between. A drain takes until the
running tasks end, plus 3 s until the entries have confirmed it.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from geraniumtrack.coordination.fleet.losses import find_losses
from geraniumtrack.coordination.fleet.moves import (
    LendingRule,
    LendingSettings,
    PoolDemand,
    ThresholdRule,
    decide_moves,
)
from geraniumtrack.coordination.fleet.observed import FleetObservation, ObservedTarget
from geraniumtrack.protocol.fleet_reports import LoadReport
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import unavailable, unavailable_reason
from geraniumtrack.state.replicated import ReplicatedState

SEED = 20261
STEP_S = 0.5
DURATION_S = 900.0
SLOTS = 8  # per instance
INSTANCES_PER_POOL = 8
POOLS = ("proofs", "mockups", "retail", "wholesale", "back-office")
SPARE = "back-office"
TASK_STEPS = (1, 2, 3)  # run times of tasks, in steps
MEAN_TASK_S = STEP_S * sum(TASK_STEPS) / len(TASK_STEPS)
CONFIRM_S = 3.0  # from the end of an instance's last task until the entries confirm the drain
MAX_UNAVAILABLE = 2


@dataclass(frozen=True)
class Workload:
    """Demand of queues that peak in turn.

    Attributes:
        name: Name for the output.
        mean: Mean demand of a queue, in slots.
        peak_s: Duration of a peak, in seconds.
        noise: Largest random deviation of the demand, as a fraction of it.
        lost_rack: Whether a rack fails after a third of the run.
    """

    name: str
    mean: float
    peak_s: float
    noise: float = 0.1
    lost_rack: bool = False

    def demand(self, pool: int, at: float) -> float:
        """Returns the demand of a pool, in slots."""
        peaking_pool = int(at / self.peak_s) % len(POOLS)
        return self.mean * (5.0 if peaking_pool == pool else 0.05)


WORKLOADS = (
    Workload("short peaks", 18.0, 8.0),
    Workload("long peaks", 18.0, 45.0),
    Workload("long peaks, noisy", 18.0, 45.0, noise=0.6),
    Workload("long peaks, rack lost", 18.0, 45.0, lost_rack=True),
)


class FixedPools:
    """Baseline: lends nothing."""

    def wanted(self, pool: str, load: PoolDemand, at: float) -> int:
        """Returns zero."""
        return 0


@dataclass
class PidRule:
    """A PID controller of the number of lent instances.

    Attributes:
        kp: Gain of the error, which is the number of missing instances.
        ki: Gain of the integral.
        kd: Gain of the derivative.
        target_load: Tasks per slot at which no instance is missing.
        limit: Bound of the integral term, in instances.
    """

    kp: float = 0.8
    ki: float = 0.05
    kd: float = 0.5
    target_load: float = 0.9
    limit: float = 8.0
    # Time, error and integral of the previous call, by pool.
    _last: dict[str, tuple[float, float, float]] = field(default_factory=dict)

    def wanted(self, pool: str, load: PoolDemand, at: float) -> int:
        """Returns how many lent instances the pool should have."""
        error = (load.demand / self.target_load - load.slots) / load.per_instance
        last_at, last_error, integral = self._last.get(pool, (at - STEP_S, error, 0.0))
        elapsed_s = max(at - last_at, 1e-6)
        integral = min(max(integral + error * elapsed_s, 0.0), self.limit / self.ki)
        derivative = (error - last_error) / elapsed_s
        self._last[pool] = (at, error, integral)
        output = self.kp * error + self.ki * integral + self.kd * derivative
        return min(max(round(output + load.lent * 0.5), 0), INSTANCES_PER_POOL)


class Run:
    """Simulation of one workload under one rule.

    Args:
        workload: Demand of the queues.
        rule: Rule for lending.
        reserve: Spare instances kept for losses; None derives the number from the fleet.
    """

    def __init__(
        self, workload: Workload, rule: LendingRule, *, reserve: int | None = None
    ) -> None:
        self.workload = workload
        self.lending = LendingSettings(rule=rule, reserve=reserve)
        self.rng = random.Random(SEED)
        self.state = _fleet()
        self.now = 0.0
        self.queued = dict.fromkeys(POOLS, 0)
        # Remaining steps of the running tasks, by instance.
        self.running: dict[str, list[int]] = {n: [] for n in self.state.view["instances"]}
        self.idle_since: dict[str, float] = {}  # for draining instances
        self.results: Counter[str] = Counter()

    def run(self) -> Counter[str]:
        """Runs the workload; returns the results by column."""
        while self.now < DURATION_S:
            self.now += STEP_S
            if self.workload.lost_rack and abs(self.now - DURATION_S / 3) < STEP_S / 2:
                self._lose_rack()
            self._add_arrivals()
            self._run_tasks()
            self._decide()
            self._measure()
        return self.results

    def _lose_rack(self) -> None:
        for instance in list(self.state.view["instances"].values()):
            if instance.pool == "proofs" and instance.rack == "proofs-r1":
                self.running[instance.name] = []
                command = cmd.RecordHealth(
                    instance.name, "failed", 1, instance.data_centre, instance.rack, "", self.now
                )
                self.state.apply(command)

    def _add_arrivals(self) -> None:
        for number, pool in enumerate(POOLS):
            noise = 1 + self.workload.noise * self.rng.uniform(-1, 1)
            rate = self.workload.demand(number, self.now) * noise / MEAN_TASK_S
            expected = rate * STEP_S
            minimum = math.floor(expected)
            self.queued[pool] += minimum + (self.rng.random() < expected - minimum)

    def _run_tasks(self) -> None:
        for name, instance in self.state.view["instances"].items():
            tasks = [steps - 1 for steps in self.running[name] if steps > 1]
            self.running[name] = tasks
            while not unavailable_reason(self.state, instance) and self.queued[instance.pool]:
                if len(tasks) >= SLOTS:
                    break
                self.queued[instance.pool] -= 1
                tasks.append(self.rng.choice(TASK_STEPS))

    def _decide(self) -> None:
        instances = self.state.view["instances"].values()
        loads = {
            pool: LoadReport(
                self.queued[pool],
                sum(len(self.running[i.name]) for i in instances if i.pool == pool),
            )
            for pool in POOLS
        }
        targets = {
            i.name: ObservedTarget(
                "alive", 1, i.data_centre, i.rack, SLOTS, len(self.running[i.name]), False
            )
            for i in instances
        }
        observed = FleetObservation(self.now, targets, loads, self._idle())
        losses = find_losses(self.state, self.now)
        for command in decide_moves(self.state, observed, losses, self.lending).commands:
            applied = self.state.apply(command).ok
            if applied and isinstance(command, cmd.CompleteMove):
                self.results["moves"] += 1

    def _idle(self) -> dict[str, int]:
        """Returns drained instances and the view version under which each was confirmed idle."""
        idle = {}
        for name in list(self.idle_since):
            if name not in self.state.moves:
                del self.idle_since[name]
        for name in self.state.moves:
            since = self.idle_since.setdefault(name, self.now)
            if self.running[name]:
                self.idle_since[name] = self.now
            elif self.now - since >= CONFIRM_S:
                idle[name] = self.state.version
        return idle

    def _measure(self) -> None:
        waiting = sum(self.queued.values())
        self.results["waiting, serving pools"] += (waiting - self.queued[SPARE]) * STEP_S
        self.results["waiting, spare pool"] += self.queued[SPARE] * STEP_S
        spare = [i for i in self.state.view["instances"].values() if i.pool == SPARE]
        idle_count = sum(not self.running[i.name] for i in spare)
        self.results["buffer instance-seconds"] += idle_count * STEP_S
        draining = len(self.state.moves)
        self.results["draining instance-seconds"] += draining * STEP_S
        over_budget = any(len(unavailable(self.state, pool)) > MAX_UNAVAILABLE for pool in POOLS)
        self.results["over budget s"] += over_budget * STEP_S


def _fleet() -> ReplicatedState:
    state = ReplicatedState()
    body = {
        "data_centres": [{"name": f"dc{i}"} for i in range(1, 5)],
        "pools": [
            {"name": pool, "max_unavailable": MAX_UNAVAILABLE, "spare": pool == SPARE}
            for pool in POOLS
        ],
    }
    state.apply(cmd.ApplyFleet("bench", 0, body))
    for pool in POOLS:
        for i in range(INSTANCES_PER_POOL):
            name, rack = f"{pool}-{i}", f"{pool}-r{i // 4 + 1}"
            data_centre = f"dc{(POOLS.index(pool) + i // 4) % 4 + 1}"
            state.apply(cmd.AdmitInstance(name, pool, data_centre, rack))
            state.apply(cmd.RecordHealth(name, "alive", 1, data_centre, rack, "", 0.0))
    return state


def main() -> None:
    print(
        f"seed {SEED}, {DURATION_S:g} s, "
        f"{len(POOLS)} pools of {INSTANCES_PER_POOL} instances, reserve 4"
    )
    columns = ("moves", "buffer instance-seconds", "draining instance-seconds")
    columns += ("waiting, serving pools", "waiting, spare pool", "over budget s")
    print("workload | rule | " + " | ".join(columns))
    rules = (("fixed", FixedPools), ("threshold", ThresholdRule), ("pid", PidRule))
    for workload in WORKLOADS:
        for name, rule in rules:
            results = Run(workload, rule()).run()
            print(
                f"{workload.name} | {name} | "
                + " | ".join(f"{results[column]:.0f}" for column in columns)
            )


if __name__ == "__main__":
    main()
