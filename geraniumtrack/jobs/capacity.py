"""How many instances each pool should have. Pure.

A pool gets what its running and waiting work asks for, and a reserve for the work that comes while
an instance moves. What no pool needs goes to standby, where it costs nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from geraniumtrack.jobs.demand import Demand

__all__ = ["CapacityPlanner", "MoveWish", "PoolLoad", "paced"]

FILL = 0.8  # share of an instance that tasks of mixed sizes fill
RESERVE_INSTANCES = 1  # for what arrives during a move
FLOOR_INSTANCES = 3
MAINTENANCE_SPAN_S = 4.0  # to empty an instance, maintain it and see it back
MAINTENANCE_MARGIN_S = 6.0  # for what goes wrong before a campaign's deadline
SHRINK_AFTER_S = 1.5  # a pool must have had too many for this long


@dataclass(slots=True)
class PoolLoad:
    """A pool as the planner sees it.

    Attributes:
        name: The pool.
        have: Instances that work there or are on their way.
        demand: What its jobs ask for.
        instance_cpu: Processor of one instance, in thousandths of a core.
        instance_memory_mb: Memory of one instance.
        idle: Instances without any task, those to give away first in front.
    """

    name: str
    have: int
    demand: Demand
    instance_cpu: int = 0
    instance_memory_mb: int = 0
    idle: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class MoveWish:
    """An instance that should be in another pool, with the figures that decided it."""

    instance: str
    pool: str
    have: int
    target: int


def paced(left: int, time_left_s: float) -> int:
    """Returns how many instances should be in maintenance at once so that `left` are in time."""
    usable_s = max(time_left_s - MAINTENANCE_MARGIN_S, MAINTENANCE_SPAN_S)
    return math.ceil(left * MAINTENANCE_SPAN_S / usable_s)


class CapacityPlanner:
    """Plans moves between pools and standby."""

    def __init__(self) -> None:
        self._over_since: dict[str, float] = {}

    def plan(
        self, loads: list[PoolLoad], spare: list[str], standby: str, now: float
    ) -> list[MoveWish]:
        """Returns the moves to start now.

        Args:
            loads: The pools that serve queues.
            spare: Instances in standby that may be used.
            standby: Name of the standby pool, or an empty string without one.
            now: Clock value in s.
        """
        targets = {load.name: self._target(load) for load in loads}
        wishes: list[MoveWish] = []
        spare = list(spare)
        for load in sorted(loads, key=lambda item: item.have - targets[item.name]):
            target = targets[load.name]
            while load.have < target and spare:
                wishes.append(MoveWish(spare.pop(0), load.name, load.have, target))
                load.have += 1
            if load.have < target:
                wishes += self._borrow(load, target, loads, targets)
        if standby:
            for load in loads:
                wishes += self._shrink(load, targets[load.name], standby, now)
        return wishes

    def _target(self, load: PoolLoad) -> int:
        by_cpu = load.demand.cpu / max(load.instance_cpu * FILL, 1)
        by_memory = load.demand.memory_mb / max(load.instance_memory_mb * FILL, 1)
        wanted = math.ceil(max(by_cpu, by_memory)) + RESERVE_INSTANCES
        return max(wanted, load.demand.hosts, FLOOR_INSTANCES)

    def _borrow(
        self, load: PoolLoad, target: int, loads: list[PoolLoad], targets: dict[str, int]
    ) -> list[MoveWish]:
        """Takes idle instances from pools that have more than they need."""
        wishes = []
        for other in loads:
            while other.idle and other.have > targets[other.name] and load.have < target:
                wishes.append(MoveWish(other.idle.pop(0), load.name, load.have, target))
                other.have -= 1
                load.have += 1
        return wishes

    def _shrink(self, load: PoolLoad, target: int, standby: str, now: float) -> list[MoveWish]:
        if load.have <= target:
            self._over_since.pop(load.name, None)
            return []
        since = self._over_since.setdefault(load.name, now)
        if now < since + SHRINK_AFTER_S:
            return []
        wishes = []
        while load.idle and load.have > target:
            wishes.append(MoveWish(load.idle.pop(0), standby, load.have, target))
            load.have -= 1
        return wishes
