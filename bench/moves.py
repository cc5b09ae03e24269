"""Compares rules for lending from the spare pool: fixed pools, thresholds, and a PID controller.

A small discrete-time driver of the real state and decisions; tasks are only counted. Run as
`python -m bench.moves`; the seed is fixed.

Five pools of 8 instances with 8 slots, the fifth the spare pool. Queues peak in turn at five times
their mean and fall to a twentieth of it in between. A drain takes as long as the rest of the task
that runs, plus 3 s until the entries have confirmed it.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from geraniumtrack.coordination.losses import find_losses
from geraniumtrack.coordination.moves import (
    LendingRule,
    LendingSettings,
    PoolLoad,
    ThresholdRule,
    decide_moves,
)
from geraniumtrack.coordination.observed import FleetObservation, ObservedTarget
from geraniumtrack.protocol.fleet_reports import LoadReport
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import unavailable, unavailable_reason
from geraniumtrack.state.replicated import ReplicatedState

SEED = 20261
STEP_S = 0.5
RUN_S = 900.0
SLOTS = 8
PER_POOL = 8
POOLS = ("proofs", "mockups", "retail", "wholesale", "back-office")
SPARE = "back-office"
TASK_STEPS = (1, 2, 3)  # lengths of tasks, in steps
TASK_S = STEP_S * sum(TASK_STEPS) / len(TASK_STEPS)
CONFIRM_S = 3.0
MAX_UNAVAILABLE = 2


@dataclass(frozen=True)
class Workload:
    """Peaks in turn. `mean` is the demand of a queue in slots, `peak_s` the length of a peak.

    With `noise`, each queue's demand varies by this factor around its course.
    """

    name: str
    mean: float
    peak_s: float
    noise: float = 0.1
    lost_rack: bool = False

    def demand(self, pool: int, at: float) -> float:
        """Returns the slots that a pool's arrivals ask for."""
        turn = int(at / self.peak_s) % len(POOLS)
        return self.mean * (5.0 if turn == pool else 0.05)


WORKLOADS = (
    Workload("short peaks", 18.0, 8.0),
    Workload("long peaks", 18.0, 45.0),
    Workload("long peaks, noisy", 18.0, 45.0, noise=0.6),
    Workload("long peaks, rack lost", 18.0, 45.0, lost_rack=True),
)


class FixedPools:
    """Baseline: lends nothing."""

    def wanted(self, pool: str, load: PoolLoad, at: float) -> int:
        """Returns zero."""
        return 0


@dataclass
class PidRule:
    """A PID controller of the number of lent instances; the error is the missing instances."""

    kp: float = 0.8
    ki: float = 0.05
    kd: float = 0.5
    target: float = 0.9
    limit: float = 8.0
    _last: dict[str, tuple[float, float, float]] = field(default_factory=dict)

    def wanted(self, pool: str, load: PoolLoad, at: float) -> int:
        """Returns the controller's output, rounded."""
        error = (load.demand / self.target - load.slots) / load.per_instance
        last_at, last_error, integral = self._last.get(pool, (at - STEP_S, error, 0.0))
        passed = max(at - last_at, 1e-6)
        integral = min(max(integral + error * passed, 0.0), self.limit / self.ki)
        slope = (error - last_error) / passed
        self._last[pool] = (at, error, integral)
        output = self.kp * error + self.ki * integral + self.kd * slope
        return min(max(round(output + load.lent * 0.5), 0), PER_POOL)


class Run:
    """One workload under one rule."""

    def __init__(
        self, workload: Workload, rule: LendingRule, *, reserve: int | None = None
    ) -> None:
        self.workload = workload
        self.lending = LendingSettings(rule=rule, reserve=reserve)
        self.rng = random.Random(SEED)
        self.state = _fleet()
        self.now = 0.0
        self.queued = dict.fromkeys(POOLS, 0)
        self.running: dict[str, list[int]] = {n: [] for n in self.state.view["instances"]}
        self.drained_at: dict[str, float] = {}
        self.figures: Counter[str] = Counter()

    def run(self) -> Counter[str]:
        """Runs the workload; returns the figures."""
        while self.now < RUN_S:
            self.now += STEP_S
            if self.workload.lost_rack and abs(self.now - RUN_S / 3) < STEP_S / 2:
                self._lose_rack()
            self._arrivals()
            self._serve()
            self._decide()
            self._measure()
        return self.figures

    def _lose_rack(self) -> None:
        for instance in list(self.state.view["instances"].values()):
            if instance.pool == "proofs" and instance.rack == "proofs-r1":
                self.running[instance.name] = []
                command = cmd.RecordHealth(
                    instance.name, "failed", 1, instance.data_centre, instance.rack, "", self.now
                )
                self.state.apply(command)

    def _arrivals(self) -> None:
        for number, pool in enumerate(POOLS):
            noise = 1 + self.workload.noise * self.rng.uniform(-1, 1)
            rate = self.workload.demand(number, self.now) * noise / TASK_S
            expected = rate * STEP_S
            whole = math.floor(expected)
            self.queued[pool] += whole + (self.rng.random() < expected - whole)

    def _serve(self) -> None:
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
            done = self.state.apply(command).ok
            if done and isinstance(command, cmd.CompleteMove):
                self.figures["moves"] += 1

    def _idle(self) -> dict[str, int]:
        idle = {}
        for name in list(self.drained_at):
            if name not in self.state.moves:
                del self.drained_at[name]
        for name in self.state.moves:
            since = self.drained_at.setdefault(name, self.now)
            if self.running[name]:
                self.drained_at[name] = self.now
            elif self.now - since >= CONFIRM_S:
                idle[name] = self.state.version
        return idle

    def _measure(self) -> None:
        waiting = sum(self.queued.values())
        self.figures["waiting, serving pools"] += (waiting - self.queued[SPARE]) * STEP_S
        self.figures["waiting, spare pool"] += self.queued[SPARE] * STEP_S
        spare = [i for i in self.state.view["instances"].values() if i.pool == SPARE]
        unused = sum(not self.running[i.name] for i in spare)
        self.figures["buffer instance-seconds"] += unused * STEP_S
        draining = len(self.state.moves)
        self.figures["draining instance-seconds"] += draining * STEP_S
        over = any(len(unavailable(self.state, pool)) > MAX_UNAVAILABLE for pool in POOLS)
        self.figures["over budget s"] += over * STEP_S


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
        for i in range(PER_POOL):
            name, rack = f"{pool}-{i}", f"{pool}-r{i // 4 + 1}"
            data_centre = f"dc{(POOLS.index(pool) + i // 4) % 4 + 1}"
            state.apply(cmd.AdmitInstance(name, pool, data_centre, rack))
            state.apply(cmd.RecordHealth(name, "alive", 1, data_centre, rack, "", 0.0))
    return state


def main() -> None:
    print(f"seed {SEED}, {RUN_S:g} s, {len(POOLS)} pools of {PER_POOL} instances, reserve 4")
    columns = ("moves", "buffer instance-seconds", "draining instance-seconds")
    columns += ("waiting, serving pools", "waiting, spare pool", "over budget s")
    print("workload | rule | " + " | ".join(columns))
    rules = (("fixed", FixedPools), ("threshold", ThresholdRule), ("pid", PidRule))
    for workload in WORKLOADS:
        for name, rule in rules:
            figures = Run(workload, rule()).run()
            print(
                f"{workload.name} | {name} | "
                + " | ".join(f"{figures[column]:.0f}" for column in columns)
            )


if __name__ == "__main__":
    main()
