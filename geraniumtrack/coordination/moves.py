"""Moves between pools: progress of those under way, and lending from the spare pool.

Pure decisions: replicated state and observations in, commands out.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from geraniumtrack.coordination.budgets import Decision, Losses, buffer_size
from geraniumtrack.coordination.observed import Observed
from geraniumtrack.protocol.fleet_reports import LoadReport
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import Budgets
from geraniumtrack.state.records import Instance, Move
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["Lending", "LendingRule", "PoolLoad", "ThresholdRule", "decide_moves"]

MOVE_TIMEOUT_S = 60.0  # the longest drain; an entry that was killed is waited for 15.2 s
MIN_STAY_S = 20.0
LEND_ABOVE = 1.0  # demand per slot
RETURN_BELOW = 0.6  # demand per slot that would remain


class PoolLoad(NamedTuple):
    """Demand and capacity of a pool.

    Attributes:
        demand: Queued and running tasks.
        slots: Slots of its available instances.
        per_instance: Slots of one instance.
        lent: Instances lent to it, or on their way to it.
    """

    demand: int
    slots: int
    per_instance: int
    lent: int


class LendingRule(Protocol):
    """Decides how many lent instances a pool is to have."""

    def wanted(self, pool: str, load: PoolLoad, at: float) -> int:
        """Returns the number of lent instances wanted."""


class ThresholdRule:
    """Lends above one threshold and takes back below a lower one.

    A PID controller was measured against it and lost; see `bench/moves.py`.
    """

    def wanted(self, pool: str, load: PoolLoad, at: float) -> int:
        """Returns the number of lent instances wanted."""
        missing = load.demand - LEND_ABOVE * load.slots
        if missing > 0:
            return load.lent + math.ceil(missing / load.per_instance)
        wanted = load.lent
        while wanted and load.demand < RETURN_BELOW * self._left(load, wanted - 1):
            wanted -= 1
        return wanted

    def _left(self, load: PoolLoad, lent: int) -> int:
        return load.slots - (load.lent - lent) * load.per_instance


@dataclass
class Lending:
    """Settings and memory of lending.

    Attributes:
        rule: Decides how many instances each pool is lent.
        min_stay_s: Shortest time that a lent instance stays.
        reserve: Spare instances kept for losses; None derives them from the fleet.
    """

    rule: LendingRule = field(default_factory=ThresholdRule)
    min_stay_s: float = MIN_STAY_S
    reserve: int | None = None


def decide_moves(
    state: ReplicatedState, observed: Observed, losses: Losses, lending: Lending
) -> Decision:
    """Decides the next steps of all moves.

    Args:
        state: The replicated state.
        observed: What the entries report.
        losses: Recent losses. While they are correlated, only pools that lost instances are lent
            any, and nothing is taken back.
        lending: Settings and memory of lending.
    """
    steps: list = []
    for move in state.moves.values():
        steps += _progress(state, observed, move)
    lender = _Lender(state, observed, losses, lending)
    steps += lender.steps()
    return Decision(steps, lender.holds)


def _progress(state: ReplicatedState, observed: Observed, move: Move) -> list:
    instance = state.view["instances"][move.instance]
    reason = _cancel_reason(state, observed, instance, move)
    if reason:
        return [cmd.CancelMove(move.instance, reason, observed.at)]
    idle_version = observed.idle.get(move.instance, -1)
    health = state.health.get(move.instance)
    alive = health is None or health.state == "alive"
    if alive and idle_version >= move.version:
        return [cmd.CompleteMove(move.instance, move.to_pool, move.version, observed.at)]
    return []


def _cancel_reason(
    state: ReplicatedState, observed: Observed, instance: Instance, move: Move
) -> str:
    health = state.health.get(instance.name)
    if health is not None and health.state == "failed":
        return "the instance failed"
    if instance.drained:
        return "the operator drained the instance"
    if instance.set_aside:
        return "the instance was set aside"
    if move.to_pool not in state.view["pools"]:
        return f"pool {move.to_pool} is no longer declared"
    if observed.at - move.at > MOVE_TIMEOUT_S:
        return f"not idle within {MOVE_TIMEOUT_S:g} s"
    return ""


class _Lender:
    """One decision about lending; collects the steps that it takes."""

    def __init__(
        self, state: ReplicatedState, observed: Observed, losses: Losses, lending: Lending
    ) -> None:
        self._state = state
        self._observed = observed
        self._losses = losses
        self._lending = lending
        self._budgets = Budgets(state)
        self._reserve = lending.reserve if lending.reserve is not None else buffer_size(state)
        self._steps: list[cmd.BeginMove] = []
        self._planned: list[str] = []
        self.holds: dict[str, str] = {}
        self._pools: dict[str, list[Instance]] = {name: [] for name in state.view["pools"]}
        for instance in state.view["instances"].values():
            self._pools.setdefault(instance.pool, []).append(instance)

    def steps(self) -> list[cmd.BeginMove]:
        spares = [name for name, pool in sorted(self._state.view["pools"].items()) if pool.spare]
        if not spares:
            return []
        serving = [name for name in sorted(self._state.view["pools"]) if name not in spares]
        wanted = {pool: self._load_and_want(pool) for pool in serving}
        surplus = {pool: load.lent - want for pool, (load, want) in wanted.items()}
        for pool in sorted(surplus, key=surplus.get):
            missing = -surplus[pool]
            if missing > 0:
                missing -= self._pass_on(spares[0], surplus, pool, missing)
                self._lend(spares[0], pool, missing)
        for pool, count in surplus.items():
            self._take_back(pool, count)
        return self._steps

    def _load_and_want(self, pool: str) -> tuple[PoolLoad, int]:
        load = self._load(pool)
        return load, self._lending.rule.wanted(pool, load, self._observed.at)

    def _load(self, pool: str) -> PoolLoad:
        said = self._observed.loads.get(pool, LoadReport(0, 0))
        serving = [i for i in self._pools[pool] if not self._budgets.reason(i)]
        coming = [m for m in self._state.moves.values() if m.to_pool == pool]
        per_instance = max([self._slots(i) for i in serving], default=8)
        lent_here = [i for i in serving if i.name in self._state.loans]
        return PoolLoad(
            demand=said.queued + said.running,
            slots=sum(self._slots(i) for i in serving) + per_instance * len(coming),
            per_instance=per_instance,
            lent=len(lent_here) + len(coming),
        )

    def _slots(self, instance: Instance) -> int:
        target = self._observed.targets.get(instance.name)
        return target.slots if target is not None and target.slots else 8

    def _lend(self, spare: str, pool: str, count: int) -> None:
        serving = [i for i in self._pools[spare] if not self._budgets.reason(i)]
        order = self._lending_order(serving, pool)[:count]
        for left, instance in zip(range(len(serving) - 1, -1, -1), order, strict=False):
            for_loss = self._lost(pool) > self._lent(pool)
            obstacle = self._lending_obstacle(spare, left, for_loss)
            if obstacle:
                self.holds[pool] = obstacle
                return
            reason = "replaces a lost instance" if for_loss else "the pool is at its peak"
            if not self._begin(instance, pool, reason, waiting=pool):
                return

    def _lending_obstacle(self, spare: str, left: int, for_loss: bool) -> str:
        if self._losses.correlated and not for_loss:
            return f"lending waits: correlated losses in {self._losses.correlated}"
        own = self._load(spare)
        if left < math.ceil(own.demand / own.per_instance):
            return f"lending waits: pool {spare} needs its instances itself"
        if not for_loss and left < self._reserve:
            return f"lending waits: pool {spare} keeps {self._reserve} instances for losses"
        return ""

    def _pass_on(self, spare: str, surplus: dict[str, int], pool: str, count: int) -> int:
        """Moves lent instances straight from pools whose peak is over; returns how many."""
        own = self._load(spare)
        if own.demand > LEND_ABOVE * own.slots:
            return 0  # the spare pool needs them back itself
        passed = 0
        for source in [name for name, over in surplus.items() if over > 0]:
            for instance in self._returnable(source)[: surplus[source]]:
                if passed == count or not self._begin(
                    instance, pool, "the pool is at its peak", waiting=instance.name
                ):
                    break
                passed += 1
                surplus[source] -= 1
        return passed

    def _take_back(self, pool: str, count: int) -> None:
        for instance in self._returnable(pool)[: max(count, 0)]:
            home = self._state.loans[instance.name].home
            self._begin(instance, home, "the peak is over", waiting=instance.name)

    def _returnable(self, pool: str) -> list[Instance]:
        """Returns the lent instances that stayed long enough, those with the least work first."""
        if self._losses.correlated:
            return []
        loans = self._state.loans
        stayed = [
            i
            for i in self._pools[pool]
            if i.name in loans and i.takes_work and i.name not in self._planned
            if self._observed.at - loans[i.name].at >= self._lending.min_stay_s
        ]
        return sorted(stayed, key=lambda i: (self._running(i), i.name))

    def _begin(self, instance: Instance, to_pool: str, reason: str, *, waiting: str) -> bool:
        """Adds a step if the budget of the pool holds after all steps of this decision."""
        over = self._budgets.check(instance)
        if over is not None:
            self.holds[waiting] = f"move to {to_pool} waits: {over.detail}"
            return False
        self._planned.append(instance.name)
        self._budgets.take(instance, reason)
        self._steps.append(
            cmd.BeginMove(instance.name, instance.pool, to_pool, reason, self._observed.at)
        )
        return True

    def _lending_order(self, spares: list[Instance], pool: str) -> list[Instance]:
        here = Counter(i.data_centre for i in self._pools[pool] if not self._budgets.reason(i))
        spare = Counter(instance.data_centre for instance in spares)

        def order(instance: Instance) -> tuple:
            # The spare pool keeps an instance in each data centre for as long as it can.
            last = spare[instance.data_centre] == 1
            return last, self._running(instance), here[instance.data_centre], instance.name

        return sorted(spares, key=order)

    def _running(self, instance: Instance) -> int:
        target = self._observed.targets.get(instance.name)
        return target.running if target is not None else 0

    def _lost(self, pool: str) -> int:
        lost = ("suspect", "failed")
        return sum(self._budgets.reason(i) in lost for i in self._pools[pool])

    def _lent(self, pool: str) -> int:
        lent = sum(i.name in self._state.loans for i in self._pools[pool])
        coming = sum(m.to_pool == pool for m in self._state.moves.values())
        return lent + coming + sum(step.to_pool == pool for step in self._steps)
