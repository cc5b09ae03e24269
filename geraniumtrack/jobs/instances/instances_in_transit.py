"""The instances on their way to each pool, and when they are expected there."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

from geraniumtrack.jobs.capacity.maintenance_pace import ObservedTimes
from geraniumtrack.jobs.instances.change import Change, ChangePhase
from geraniumtrack.jobs.instances.machine_port import Instance
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.rack_slots import Arrival
from geraniumtrack.jobs.state.model import Resources

__all__ = ["InstancesInTransit"]


class InstancesInTransit:
    """The instances that this owner moves, or expects back from maintenance.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        changes: The changes in progress, by instance id.
        instances: Returns the platform's instance list, by instance id.
        times: Observed durations of maintenance.
        policy: Settings of the scheduling policy.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        changes: Mapping[str, Change],
        instances: Callable[[], Mapping[str, Instance]],
        times: ObservedTimes,
        policy: PolicySettings,
    ) -> None:
        self._seconds = seconds
        self._changes = changes
        self._instances = instances
        self._times = times
        self._policy = policy

    def by_pool(self) -> dict[str, set[str]]:
        """Returns the ids of the instances on their way to each pool, also of those that drain."""
        found: dict[str, set[str]] = defaultdict(set)
        for change in self._changes.values():
            found[change.pool].add(change.instance)
            listed = self._instances().get(change.instance)
            if change.campaign and change.phase is ChangePhase.RETURNING and listed is not None:
                found[listed.pool].add(change.instance)
        return found

    def arrivals(self, pool: str) -> list[Arrival]:
        """Returns the instances that were moved to a pool, or are expected back there.

        An instance that is overdue is expected to take as long again as it is overdue. Instances
        that still drain are left out, as their move may be dropped. The instance list has no
        accelerators, so that tasks with some expect no slot on these instances.
        """
        now, found = self._seconds(), []
        for change in self._changes.values():
            listed = self._instances().get(change.instance)
            if change.phase is not ChangePhase.RETURNING or listed is None:
                continue
            if pool != (change.pool or listed.pool):
                continue
            whole_s = self._policy.move_s if change.pool else self._times.maintenance_s
            left_s = whole_s - (now - change.ordered_at)
            size = Resources(listed.cpu, listed.memory_mb)
            found.append(Arrival(listed.rack, abs(left_s), size, listed.labels))
        return found
