"""How many instances each pool should have. Pure.

A pool gets what its running and waiting work asks for, and a reserve for the work that comes while
an instance moves. What no pool needs goes to standby, where it costs nothing.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from geraniumtrack.jobs.demand import Demand

__all__ = ["CapacityPlanner", "Movable", "MoveWish", "PoolLoad", "paced"]

FILL = 0.8  # share of an instance that tasks of mixed sizes fill
RESERVE_INSTANCES = 1  # for what arrives during a move
FLOOR_INSTANCES = 3
MAINTENANCE_SPAN_S = 4.0  # to empty an instance, maintain it and see it back
MAINTENANCE_MARGIN_S = 6.0  # for what goes wrong before a campaign's deadline
SHRINK_AFTER_S = 1.5  # a pool must have had too many for this long


@dataclass(frozen=True, slots=True)
class Movable:
    """An instance that may change its pool now."""

    id: str
    labels: tuple[str, ...] = ()


@dataclass(slots=True)
class PoolLoad:
    """A pool as the planner sees it.

    Attributes:
        name: The pool.
        have: Instances that work there or are on their way.
        demand: What its jobs ask for.
        instance_cpu: Processor of one instance, in thousandths of a core.
        instance_memory_mb: Memory of one instance.
        labels: How many of `have` carry each label.
        idle: Instances without any task, those to give away first in front.
    """

    name: str
    have: int
    demand: Demand
    instance_cpu: int = 0
    instance_memory_mb: int = 0
    labels: Counter[str] = field(default_factory=Counter)
    idle: list[Movable] = field(default_factory=list)

    def needed(self, label: str) -> int:
        """Returns how many instances with a label its jobs need."""
        return math.ceil(self.demand.by_label[label] / max(self.instance_cpu * FILL, 1))

    def lacks(self, labels: tuple[str, ...]) -> bool:
        """Whether an instance with these labels is needed, however many the pool has."""
        return any(self.labels[label] < self.needed(label) for label in labels)

    def spares(self, instance: Movable) -> bool:
        """Whether the pool has enough for its labels without an instance."""
        return all(self.labels[label] > self.needed(label) for label in instance.labels)

    def gain(self, instance: Movable) -> None:
        """Counts an instance that is sent there."""
        self.have += 1
        self.labels.update(instance.labels)

    def give(self, instance: Movable) -> None:
        """Uncounts an instance that is sent away."""
        self.idle.remove(instance)
        self.have -= 1
        self.labels.subtract(instance.labels)


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
        self, loads: list[PoolLoad], spare: list[Movable], standby: str, now: float
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
            while (instance := _pick(load, target, spare)) is not None:
                spare.remove(instance)
                wishes.append(MoveWish(instance.id, load.name, load.have, target))
                load.gain(instance)
            for other in loads:
                wishes += _borrow(load, target, other, targets[other.name])
        if standby:
            for load in loads:
                wishes += self._shrink(load, targets[load.name], standby, now)
        return wishes

    def _target(self, load: PoolLoad) -> int:
        by_cpu = load.demand.cpu / max(load.instance_cpu * FILL, 1)
        by_memory = load.demand.memory_mb / max(load.instance_memory_mb * FILL, 1)
        wanted = math.ceil(max(by_cpu, by_memory)) + RESERVE_INSTANCES
        return max(wanted, load.demand.hosts, FLOOR_INSTANCES)

    def _shrink(self, load: PoolLoad, target: int, standby: str, now: float) -> list[MoveWish]:
        if load.have <= target:
            self._over_since.pop(load.name, None)
            return []
        since = self._over_since.setdefault(load.name, now)
        if now < since + SHRINK_AFTER_S:
            return []
        wishes = []
        for instance in list(load.idle):
            if load.have > target and load.spares(instance):
                wishes.append(MoveWish(instance.id, standby, load.have, target))
                load.give(instance)
        return wishes


def _pick(load: PoolLoad, target: int, spare: list[Movable]) -> Movable | None:
    """Returns the instance that a pool should get next, or None if it needs none."""
    wanted = next((instance for instance in spare if load.lacks(instance.labels)), None)
    if wanted is not None or load.have >= target:
        return wanted
    near = (i for i in spare if not load.demand.racks.isdisjoint(i.labels))
    return next(near, spare[0] if spare else None)


def _borrow(load: PoolLoad, target: int, other: PoolLoad, other_target: int) -> list[MoveWish]:
    """Takes idle instances from a pool that has more than it needs."""
    wishes: list[MoveWish] = []
    if other is load:
        return wishes
    for instance in list(other.idle):
        needed = load.have < target or load.lacks(instance.labels)
        if needed and other.have > other_target and other.spares(instance):
            wishes.append(MoveWish(instance.id, load.name, load.have, target))
            other.give(instance)
            load.gain(instance)
    return wishes
