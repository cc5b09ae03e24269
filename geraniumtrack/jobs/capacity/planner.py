"""Plans how many instances each pool should have and which instances change their pool.

A pool gets enough instances for its running and waiting work, and a reserve for the work that
arrives while an instance moves. Instances that no pool needs go to standby, where they cost
nothing.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from geraniumtrack.jobs.capacity.allocation import PoolNeed, joint_targets
from geraniumtrack.jobs.capacity.demand import Demand
from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.state.model import Resources

__all__ = [
    "CapacityPlanner",
    "MovableInstance",
    "MoveReason",
    "PlannedMove",
    "PoolLoad",
]

USABLE_SHARE = 0.8  # share of an instance that tasks of mixed sizes can fill
RESERVE_INSTANCES = 1  # for work that arrives during a move
MIN_INSTANCES = 3  # of a pool
# A pool that lacks instances gets busy ones of another pool only if that pool exceeds its target by
# this share: an instance does no work while it is drained and moved.
DRAIN_MARGIN = 0.15
SHRINK_DELAY_S = 1.5  # a pool must be oversized for this long before instances go to standby
# After this time its idle instances go to pools that lack some, before instances in standby do. The
# demand of a pool varies by a few instances within shorter times.
TRANSFER_DELAY_S = 0.5


Refused = Collection[tuple[str, str]]  # instance and pool of moves that the platform refuses


class MoveReason(StrEnum):
    """Why an instance is moved to another pool."""

    SHORTAGE = "shortage"  # the pool has fewer instances than its target
    REBALANCE = "rebalance"  # the same, and the instance has tasks, which end before it moves
    TRANSFER = "transfer"  # the same as a shortage, with an instance that would go to standby
    SURPLUS = "surplus"  # no pool needs the instance, so it goes to standby


@dataclass(frozen=True, slots=True)
class MovableInstance:
    """An instance that the planner counts or may move; `labels` include its rack."""

    id: str
    labels: tuple[str, ...] = ()
    rack: str = ""


@dataclass(slots=True)
class PoolLoad:
    """The instances and the demand of one pool, as input of the planner.

    Attributes:
        name: Name of the pool.
        instance_count: Number of instances that are in the pool or on their way to it.
        demand: Resources that the pool's jobs need.
        instance_cpu: CPU of the pool's largest instance in service, or of the largest instance of
            the fleet if the pool has none in service; in thousandths of a core.
        instance_memory_mb: Memory, chosen in the same way.
        in_service: Capacities that the workers in service report; they may be smaller than the
            largest one, and change. Other instances count as large as the largest one.
        labels: Number of the counted instances with each label.
        idle: Instances without tasks; the first ones are moved away first.
        drainable: Instances whose tasks all end soon by themselves, those with the fewest tasks
            first.
    """

    name: str
    instance_count: int
    demand: Demand
    instance_cpu: int = 0
    instance_memory_mb: int = 0
    in_service: list[Resources] = field(default_factory=list)
    labels: Counter[str] = field(default_factory=Counter)
    idle: list[MovableInstance] = field(default_factory=list)
    drainable: list[MovableInstance] = field(default_factory=list)

    @property
    def missing_cpu(self) -> int:
        """CPU by which the workers in service are smaller than the largest instance."""
        return sum(self.instance_cpu - capacity.cpu for capacity in self.in_service)

    @property
    def missing_memory_mb(self) -> int:
        """Memory by which the workers in service are smaller than the largest instance."""
        return sum(self.instance_memory_mb - capacity.memory_mb for capacity in self.in_service)

    def add_worker(self, capacity: Resources) -> None:
        """Takes the capacity of a worker in service into account."""
        self.in_service.append(capacity)
        self.instance_cpu = max(self.instance_cpu, capacity.cpu)
        self.instance_memory_mb = max(self.instance_memory_mb, capacity.memory_mb)

    def required_with_label(self, label: str) -> int:
        """Returns how many instances with a label the pool's jobs need."""
        return math.ceil(self.demand.cpu_by_label[label] / max(self.instance_cpu * USABLE_SHARE, 1))

    def needs_any_label(self, labels: tuple[str, ...]) -> bool:
        """Whether the pool has too few instances with one of these labels, whatever its size."""
        return any(self.labels[label] < self.required_with_label(label) for label in labels)

    def can_spare(self, instance: MovableInstance) -> bool:
        """Whether enough instances with each label remain if an instance is moved away."""
        return all(
            self.labels[label] > self.required_with_label(label) for label in instance.labels
        )

    def add_instance(self, instance: MovableInstance) -> None:
        """Counts an instance that is in the pool or on its way to it."""
        self.instance_count += 1
        self.labels.update(instance.labels)

    def remove(self, instance: MovableInstance) -> None:
        """Stops counting an idle or drainable instance, which is moved away."""
        (self.idle if instance in self.idle else self.drainable).remove(instance)
        self.instance_count -= 1
        self.labels.subtract(instance.labels)


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A move of an instance to a pool.

    Attributes:
        instance: Id of the instance.
        pool: The pool that it moves to.
        instance_count: Number of instances, before the move, of the pool for which it is planned.
            For a move to standby that is the pool that the instance leaves.
        target_count: Number of instances that this pool should have.
        reason: Why it is planned.
    """

    instance: str
    pool: str
    instance_count: int
    target_count: int
    reason: MoveReason = MoveReason.SHORTAGE


class CapacityPlanner:
    """Plans moves of instances between pools, and to and from standby.

    Args:
        policy: Settings of the scheduling policy.
    """

    def __init__(self, policy: PolicySettings = DEFAULT_POLICY) -> None:
        self._policy = policy
        self._oversized_since: dict[str, float] = {}

    def plan(
        self,
        loads: list[PoolLoad],
        spare: list[MovableInstance],
        standby_pool: str,
        now: float,
        refused: Refused = frozenset(),
    ) -> list[PlannedMove]:
        """Returns the moves to start now.

        Args:
            loads: Pools that serve queues; they are updated by the planned moves.
            spare: Instances in standby that may be moved, the preferred ones first.
            standby_pool: Name of the pool given for moves to standby; an empty string if there is
                none.
            now: Clock value in seconds.
            refused: Instance and pool of the moves that are not planned, as the platform refuses
                them. For moves to standby the pool is `standby_pool`.
        """
        targets = self._targets(loads, len(spare))
        self._note_oversized(loads, targets, now)
        moves: list[PlannedMove] = []
        spare = list(spare)
        for load in sorted(loads, key=lambda item: item.instance_count - targets[item.name]):
            target = targets[load.name]
            if self._policy.joint_capacity and not load.demand.data_racks:
                for other in loads:
                    if self._oversized_for(other, now) >= TRANSFER_DELAY_S:
                        moves += _plan_idle_moves(
                            load, target, other, targets[other.name], refused, MoveReason.TRANSFER
                        )
            usable = [i for i in spare if (i.id, load.name) not in refused] if refused else spare
            while instance := _next_from_standby(
                load, target, usable, spread=self._policy.joint_capacity
            ):
                spare.remove(instance)
                if usable is not spare:
                    usable.remove(instance)
                moves.append(PlannedMove(instance.id, load.name, load.instance_count, target))
                load.add_instance(instance)
            for other in loads:
                moves += _plan_idle_moves(load, target, other, targets[other.name], refused)
        if self._policy.joint_capacity:
            moves += _plan_drains(loads, targets, refused)
        if standby_pool:
            for load in loads:
                moves += self._shrink(load, targets[load.name], standby_pool, now, refused)
        return moves

    def _targets(self, loads: list[PoolLoad], spare_count: int) -> dict[str, int]:
        if not self._policy.joint_capacity:
            return {load.name: self._target_count(load) for load in loads}
        needs = {
            load.name: PoolNeed(_minimum_count(load), self._target_count(load)) for load in loads
        }
        fleet_size = sum(load.instance_count for load in loads) + spare_count
        return joint_targets(needs, fleet_size)

    def _target_count(self, load: PoolLoad) -> int:
        by_cpu = _instances_for(load.demand.cpu, load.instance_cpu, load.missing_cpu)
        by_memory = _instances_for(
            load.demand.memory_mb, load.instance_memory_mb, load.missing_memory_mb
        )
        wanted = math.ceil(max(by_cpu, by_memory)) + RESERVE_INSTANCES
        return max(wanted, load.demand.min_workers, MIN_INSTANCES)

    def _note_oversized(
        self, loads: list[PoolLoad], targets: Mapping[str, int], now: float
    ) -> None:
        for name in self._oversized_since.keys() - targets.keys():
            del self._oversized_since[name]  # no queue uses the pool any more
        for load in loads:
            if load.instance_count <= targets[load.name]:
                self._oversized_since.pop(load.name, None)
            else:
                self._oversized_since.setdefault(load.name, now)

    def _oversized_for(self, load: PoolLoad, now: float) -> float:
        """Returns for how many seconds a pool has had more instances than its target."""
        return now - self._oversized_since.get(load.name, now)

    def _shrink(
        self, load: PoolLoad, target: int, standby_pool: str, now: float, refused: Refused
    ) -> list[PlannedMove]:
        """Plans moves of idle instances to standby from a pool oversized for SHRINK_DELAY_S."""
        if self._oversized_for(load, now) < SHRINK_DELAY_S:
            return []
        moves = []
        for instance in list(load.idle):
            if (instance.id, standby_pool) in refused:
                continue
            if load.instance_count > target and load.can_spare(instance):
                have, reason = load.instance_count, MoveReason.SURPLUS
                moves.append(PlannedMove(instance.id, standby_pool, have, target, reason))
                load.remove(instance)
        return moves


def _minimum_count(load: PoolLoad) -> int:
    """Returns how many instances a pool keeps for its service tasks, whatever others need."""
    by_cpu = _instances_for(load.demand.lasting, load.instance_cpu, load.missing_cpu)
    by_memory = _instances_for(
        load.demand.lasting_memory_mb, load.instance_memory_mb, load.missing_memory_mb
    )
    return max(math.ceil(max(by_cpu, by_memory)), load.demand.lasting_workers, MIN_INSTANCES)


def _instances_for(demand: float, size: int, missing: int) -> float:
    """Returns how many instances a demand needs if the pool's are together `missing` too small.

    Measured in the largest size, the result stays the same when an instance of that size comes or
    goes, so that a pool with workers of several sizes does not grow and shrink in turn.
    """
    return demand / max(size * USABLE_SHARE, 1) + missing / max(size, 1)


def _next_from_standby(
    load: PoolLoad, target: int, spare: list[MovableInstance], *, spread: bool
) -> MovableInstance | None:
    """Returns the standby instance that a pool should get next, or None if it needs none.

    Instances with a label that the pool lacks come first, then instances near its jobs' data.

    Args:
        load: The pool.
        target: Number of instances that it should have.
        spare: The standby instances, the preferred ones first.
        spread: Whether an instance is taken from the rack of which the pool has the fewest, so that
            the loss of a rack takes a small part of it.
    """
    wanted = next((instance for instance in spare if load.needs_any_label(instance.labels)), None)
    if wanted is not None or load.instance_count >= target:
        return wanted
    near_data = [i for i in spare if not load.demand.data_racks.isdisjoint(i.labels)]
    if near_data or not spread:
        return next(iter(near_data or spare), None)
    return min(spare, key=lambda instance: load.labels[instance.rack], default=None)


def _plan_idle_moves(
    load: PoolLoad,
    target: int,
    other: PoolLoad,
    other_target: int,
    refused: Refused,
    reason: MoveReason = MoveReason.SHORTAGE,
) -> list[PlannedMove]:
    """Plans moves of idle instances to a pool that needs them from one that exceeds its target."""
    moves: list[PlannedMove] = []
    if other is load:
        return moves
    for instance in list(other.idle):
        if (instance.id, load.name) in refused:
            continue
        needed = load.instance_count < target or load.needs_any_label(instance.labels)
        if needed and other.instance_count > other_target and other.can_spare(instance):
            have = load.instance_count
            moves.append(PlannedMove(instance.id, load.name, have, target, reason))
            other.remove(instance)
            load.add_instance(instance)
    return moves


def _plan_drains(
    loads: list[PoolLoad], targets: Mapping[str, int], refused: Refused
) -> list[PlannedMove]:
    """Plans moves of busy instances from pools far above their target to pools below theirs.

    A pool with a backlog has no idle instances, so it would keep all that it has until the backlog
    is gone.
    """
    moves: list[PlannedMove] = []
    donors = [
        load for load in loads if load.instance_count > targets[load.name] * (1 + DRAIN_MARGIN)
    ]
    for load in sorted(loads, key=lambda item: item.instance_count - targets[item.name]):
        target = targets[load.name]
        for donor in donors:
            while (
                load.instance_count < target
                and donor.instance_count > targets[donor.name]
                and (instance := _next_to_drain(donor, load.name, refused)) is not None
            ):
                have, reason = load.instance_count, MoveReason.REBALANCE
                moves.append(PlannedMove(instance.id, load.name, have, target, reason))
                donor.remove(instance)
                load.add_instance(instance)
    return moves


def _next_to_drain(donor: PoolLoad, pool: str, refused: Refused) -> MovableInstance | None:
    """Returns the busy instance that a pool can best give to another one, or None."""
    for instance in donor.drainable:
        if donor.can_spare(instance) and (instance.id, pool) not in refused:
            return instance
    return None
