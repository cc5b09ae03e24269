"""Moves of instances between pools, and lending of spare instances to pools at their peak.

A move drains an instance, waits until the entries confirm that it is idle and then changes its
pool. Instances of a spare pool are lent to other pools and returned to it after the peak. The
functions are pure: they derive commands from the replicated state and the observations.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from geraniumtrack.coordination.fleet.losses import Decision, Losses, loss_reserve
from geraniumtrack.coordination.fleet.observed import FleetObservation
from geraniumtrack.protocol.fleet_reports import LoadReport
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import Budgets
from geraniumtrack.state.records import Instance, Move
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["LendingRule", "LendingSettings", "PoolDemand", "ThresholdRule", "decide_moves"]

# Longest drain of a move. The session of a killed entry, which can no longer confirm that an
# instance is idle, delays a drain by 15.2 s.
MOVE_TIMEOUT_S = 60.0
MIN_LOAN_S = 20.0
LEND_ABOVE = 1.0  # tasks per slot above which instances are lent
RETURN_BELOW = 0.6  # tasks per slot, after the return, below which lent instances are returned


class PoolDemand(NamedTuple):
    """Demand and capacity of a pool.

    Attributes:
        demand: Queued and running tasks.
        slots: Slots of its available instances and of those moving to it.
        per_instance: Slots of its largest available instance.
        lent: Available instances lent to it, plus all instances moving to it.
    """

    demand: int
    slots: int
    per_instance: int
    lent: int


class LendingRule(Protocol):
    """Policy for the number of instances lent to a pool."""

    def wanted(self, pool: str, load: PoolDemand, at: float) -> int:
        """Returns how many lent instances the pool should have.

        Args:
            pool: Name of the pool.
            load: Its demand and capacity.
            at: Seconds since the epoch.
        """


class ThresholdRule:
    """Lends above one threshold and returns instances below a lower one.

    A PID controller did worse in the measurements of `bench/moves.py`.
    """

    def wanted(self, pool: str, load: PoolDemand, at: float) -> int:
        """Returns how many lent instances the pool should have.

        Args:
            pool: Name of the pool.
            load: Its demand and capacity.
            at: Seconds since the epoch.
        """
        missing = load.demand - LEND_ABOVE * load.slots
        if missing > 0:
            return load.lent + math.ceil(missing / load.per_instance)
        wanted = load.lent
        while wanted and load.demand < RETURN_BELOW * self._slots_with(load, wanted - 1):
            wanted -= 1
        return wanted

    def _slots_with(self, load: PoolDemand, lent: int) -> int:
        """Returns the slots of the pool with another number of lent instances."""
        return load.slots - (load.lent - lent) * load.per_instance


@dataclass
class LendingSettings:
    """Settings of lending.

    Attributes:
        rule: Decides how many instances are lent to each pool.
        min_loan_s: Minimum duration of a loan in seconds.
        reserve: Spare instances kept for losses; None derives the number from the fleet.
    """

    rule: LendingRule = field(default_factory=ThresholdRule)
    min_loan_s: float = MIN_LOAN_S
    reserve: int | None = None


def decide_moves(
    state: ReplicatedState, observed: FleetObservation, losses: Losses, lending: LendingSettings
) -> Decision:
    """Returns the next steps of moves in progress, and new moves for lending and returning.

    Args:
        state: The replicated state.
        observed: What the entries report.
        losses: Recent losses. While they are correlated, instances are lent only to pools that
            lost some, and none are returned.
        lending: Settings of lending.
    """
    steps: list = []
    for move in state.moves.values():
        steps += _advance_move(state, observed, move)
    plan = _LendingPlan(state, observed, losses, lending)
    steps += plan.build()
    return Decision(steps, plan.wait_reasons)


def _advance_move(state: ReplicatedState, observed: FleetObservation, move: Move) -> list:
    """Cancels or completes a move if either is due."""
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
    state: ReplicatedState, observed: FleetObservation, instance: Instance, move: Move
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


class _LendingPlan:
    """Plans the moves that lend and return instances, within the budgets of the pools."""

    def __init__(
        self,
        state: ReplicatedState,
        observed: FleetObservation,
        losses: Losses,
        lending: LendingSettings,
    ) -> None:
        self._state = state
        self._observed = observed
        self._losses = losses
        self._lending = lending
        self._budgets = Budgets(state)
        self._reserve = lending.reserve if lending.reserve is not None else loss_reserve(state)
        self._steps: list[cmd.BeginMove] = []
        self._planned: list[str] = []
        self.wait_reasons: dict[str, str] = {}
        self._pools: dict[str, list[Instance]] = {name: [] for name in state.view["pools"]}
        for instance in state.view["instances"].values():
            self._pools.setdefault(instance.pool, []).append(instance)

    def build(self) -> list[cmd.BeginMove]:
        """Returns the moves to begin, those to the pool that lacks the most instances first."""
        spares = [name for name, pool in sorted(self._state.view["pools"].items()) if pool.spare]
        if not spares:
            return []
        serving = [name for name in sorted(self._state.view["pools"]) if name not in spares]
        loads = {pool: self._load_and_wanted(pool) for pool in serving}
        surplus = {pool: load.lent - wanted for pool, (load, wanted) in loads.items()}
        for pool in sorted(surplus, key=surplus.get):
            missing = -surplus[pool]
            if missing > 0:
                missing -= self._transfer(spares[0], surplus, pool, missing)
                self._lend(spares[0], pool, missing)
        for pool, count in surplus.items():
            self._return_surplus(pool, count)
        return self._steps

    def _load_and_wanted(self, pool: str) -> tuple[PoolDemand, int]:
        load = self._load(pool)
        return load, self._lending.rule.wanted(pool, load, self._observed.at)

    def _load(self, pool: str) -> PoolDemand:
        report = self._observed.pool_loads.get(pool, LoadReport(0, 0))
        available = [i for i in self._pools[pool] if not self._budgets.reason(i)]
        arriving = [m for m in self._state.moves.values() if m.to_pool == pool]
        per_instance = max([self._slots(i) for i in available], default=8)
        lent_here = [i for i in available if i.name in self._state.loans]
        return PoolDemand(
            demand=report.queued + report.running,
            slots=sum(self._slots(i) for i in available) + per_instance * len(arriving),
            per_instance=per_instance,
            lent=len(lent_here) + len(arriving),
        )

    def _slots(self, instance: Instance) -> int:
        """Returns the reported slots of an instance, or 8 if none are reported."""
        target = self._observed.targets.get(instance.name)
        return target.slots if target is not None and target.slots else 8

    def _lend(self, spare: str, pool: str, count: int) -> None:
        """Lends up to `count` instances of a spare pool, and stops at the first obstacle."""
        available = [i for i in self._pools[spare] if not self._budgets.reason(i)]
        candidates = self._lending_order(available, pool)[:count]
        for left, instance in zip(range(len(available) - 1, -1, -1), candidates, strict=False):
            for_loss = self._lost_count(pool) > self._lent_count(pool)
            obstacle = self._lending_obstacle(spare, left, for_loss)
            if obstacle:
                self.wait_reasons[pool] = obstacle
                return
            reason = "replaces a lost instance" if for_loss else "the pool is at its peak"
            if not self._plan_move(instance, pool, reason, wait_subject=pool):
                return

    def _lending_obstacle(self, spare: str, left: int, for_loss: bool) -> str:
        """Returns why an instance may not be lent, or an empty string.

        Args:
            spare: Name of the spare pool.
            left: Available instances that the spare pool would keep.
            for_loss: Whether the loan replaces a lost instance.
        """
        if self._losses.correlated and not for_loss:
            return f"lending waits: correlated losses in {self._losses.correlated}"
        own = self._load(spare)
        if left < math.ceil(own.demand / own.per_instance):
            return f"lending waits: pool {spare} needs its instances itself"
        if not for_loss and left < self._reserve:
            return f"lending waits: pool {spare} keeps {self._reserve} instances for losses"
        return ""

    def _transfer(self, spare: str, surplus: dict[str, int], pool: str, count: int) -> int:
        """Moves lent instances directly from pools with a surplus; returns their number."""
        own = self._load(spare)
        if own.demand > LEND_ABOVE * own.slots:
            return 0  # the spare pool is overloaded, so the surplus returns to it
        transferred = 0
        for source in [name for name, over in surplus.items() if over > 0]:
            for instance in self._returnable(source)[: surplus[source]]:
                if transferred == count or not self._plan_move(
                    instance, pool, "the pool is at its peak", wait_subject=instance.name
                ):
                    break
                transferred += 1
                surplus[source] -= 1
        return transferred

    def _return_surplus(self, pool: str, count: int) -> None:
        for instance in self._returnable(pool)[: max(count, 0)]:
            home = self._state.loans[instance.name].home
            self._plan_move(instance, home, "the peak is over", wait_subject=instance.name)

    def _returnable(self, pool: str) -> list[Instance]:
        """Returns the instances whose loan may end, those with the fewest running tasks first.

        Instances lent for less than the minimum time are left out.
        """
        if self._losses.correlated:
            return []
        loans = self._state.loans
        due = [
            i
            for i in self._pools[pool]
            if i.name in loans and i.accepts_tasks and i.name not in self._planned
            if self._observed.at - loans[i.name].at >= self._lending.min_loan_s
        ]
        return sorted(due, key=lambda i: (self._running(i), i.name))

    def _plan_move(
        self, instance: Instance, to_pool: str, reason: str, *, wait_subject: str
    ) -> bool:
        """Adds a move to the plan if it keeps the instance's pool within its availability budget.

        The moves planned so far count against the budget.

        Args:
            instance: The instance to move.
            to_pool: Name of the pool to move it to.
            reason: Why it is moved.
            wait_subject: Pool or instance for which the obstacle is recorded if there is one.

        Returns:
            Whether the move was added.
        """
        over = self._budgets.check(instance)
        if over is not None:
            self.wait_reasons[wait_subject] = f"move to {to_pool} waits: {over.detail}"
            return False
        self._planned.append(instance.name)
        self._budgets.mark_unavailable(instance, reason)
        self._steps.append(
            cmd.BeginMove(instance.name, instance.pool, to_pool, reason, self._observed.at)
        )
        return True

    def _lending_order(self, spares: list[Instance], pool: str) -> list[Instance]:
        """Sorts spare instances in the order in which they are lent to a pool."""
        in_pool = Counter(i.data_centre for i in self._pools[pool] if not self._budgets.reason(i))
        spare_count = Counter(instance.data_centre for instance in spares)

        def sort_key(instance: Instance) -> tuple:
            # The only spare instance of a data centre is lent last, so that the spare pool keeps
            # one in each data centre if possible.
            is_last = spare_count[instance.data_centre] == 1
            return is_last, self._running(instance), in_pool[instance.data_centre], instance.name

        return sorted(spares, key=sort_key)

    def _running(self, instance: Instance) -> int:
        target = self._observed.targets.get(instance.name)
        return target.running if target is not None else 0

    def _lost_count(self, pool: str) -> int:
        lost_states = ("suspect", "failed")
        return sum(self._budgets.reason(i) in lost_states for i in self._pools[pool])

    def _lent_count(self, pool: str) -> int:
        lent = sum(i.name in self._state.loans for i in self._pools[pool])
        arriving = sum(m.to_pool == pool for m in self._state.moves.values())
        return lent + arriving + sum(step.to_pool == pool for step in self._steps)
