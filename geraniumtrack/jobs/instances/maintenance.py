"""Starts the maintenance of instances so that campaigns end by their deadlines."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from geraniumtrack.jobs.capacity.planner import required_concurrency
from geraniumtrack.jobs.instances.change import Change, ChangePhase
from geraniumtrack.jobs.instances.machine_port import Instance, InstanceState
from geraniumtrack.jobs.state.jobs_state import Campaign, JobsState, Task
from geraniumtrack.jobs.state.model import WorkerInfo

__all__ = ["MaintenanceStarter"]

# Maintenance of an instance with service tasks starts only while fewer than this many instances
# with service tasks are draining in its pool.
MAX_DRAINING_PER_POOL = 2


class MaintenanceStarter:
    """Chooses the instances whose maintenance starts now.

    Args:
        state: Returns the replicated state.
        changes: The changes in progress, by instance id.
        instances: Returns the platform's instance list, by instance id.
        worker_on: Returns the newest worker on an instance, or None.
        start_change: Starts a change.
        wall_clock: Returns the wall-clock time in seconds.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        changes: Mapping[str, Change],
        instances: Callable[[], Mapping[str, Instance]],
        worker_on: Callable[[str], WorkerInfo | None],
        start_change: Callable[[Change], None],
        wall_clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._changes = changes
        self._instances = instances
        self._worker_on = worker_on
        self._start_change = start_change
        self._wall_clock = wall_clock

    def start(self, now: float) -> None:
        """Starts the maintenance that is due; `now` is a clock value in seconds."""
        for number, campaign in self._state().campaigns.items():
            if campaign.completed:
                continue
            in_maintenance = self._count_in_maintenance(number, campaign)
            time_left_s = campaign.deadline - self._wall_clock()
            required = required_concurrency(
                len(campaign.instances) - len(campaign.begun), time_left_s
            )
            waiting = self.awaiting(campaign)
            waiting.sort(key=self._maintenance_sort_key)
            for instance in waiting:
                if in_maintenance >= campaign.cap:
                    break
                # Instances in standby run no tasks, so they are maintained as early as the cap
                # allows; the others only as fast as the deadline requires.
                if in_maintenance >= required and not self._in_standby(instance):
                    continue
                if not self._may_drain(instance):
                    continue
                self._start_change(Change(instance, now, campaign=number))
                in_maintenance += 1

    def awaiting(self, campaign: Campaign) -> list[str]:
        """Returns the instances of a campaign whose maintenance could start now."""
        return [
            instance
            for instance in campaign.instances
            if instance not in campaign.begun and self._can_change(instance)
        ]

    def _in_standby(self, instance: str) -> bool:
        known = self._instances().get(instance)
        return known is not None and known.pool in self._state().standby_pools

    def _count_in_maintenance(self, number: int, campaign: Campaign) -> int:
        """Counts the instances of a campaign that are draining for maintenance or may be in it.

        This includes instances whose maintenance an earlier owner ordered, as soon as the instance
        list shows them in maintenance.
        """
        under_change = {c.instance for c in self._changes.values() if c.campaign == number}
        listed = {
            instance
            for instance in campaign.instances
            if (known := self._instances().get(instance)) is not None
            and known.state is InstanceState.MAINTENANCE
        }
        return len(under_change | listed)

    def _maintenance_sort_key(self, instance: str) -> tuple[int, int]:
        """Returns a sort key: more service tasks first, then fewer tasks.

        Instances with service tasks take longest to drain, since these tasks are stopped one by one
        within the availability budget of their step.
        """
        tasks = self._tasks_on(self._worker_on(instance))
        return -self._count_service_tasks(instance), len(tasks)

    def _count_service_tasks(self, instance: str) -> int:
        tasks = self._tasks_on(self._worker_on(instance))
        return sum(self._state().step_of(task).lasting for task in tasks)

    def _may_drain(self, instance: str) -> bool:
        """Whether an instance may start draining without exceeding MAX_DRAINING_PER_POOL."""
        if not self._count_service_tasks(instance):
            return True
        pool = self._worker_on(instance).pool
        draining = sum(
            1
            for change in self._changes.values()
            if change.phase is ChangePhase.DRAINING
            and self._count_service_tasks(change.instance)
            and self._worker_on(change.instance).pool == pool
        )
        return draining < MAX_DRAINING_PER_POOL

    def _can_change(self, instance: str) -> bool:
        known = self._instances().get(instance)
        up = known is None or known.state is InstanceState.UP
        return up and instance not in self._changes

    def _tasks_on(self, worker: WorkerInfo | None) -> list[Task]:
        if worker is None:
            return []
        return list(self._state().assigned.get(worker.id, {}).values())
