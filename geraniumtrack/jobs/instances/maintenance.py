"""Starts the maintenance of instances so that campaigns end by their deadlines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial

from geraniumtrack import logs
from geraniumtrack.jobs.capacity.maintenance_pace import (
    ObservedTimes,
    RemainingWork,
    drains_per_pool,
    required_in_progress,
)
from geraniumtrack.jobs.instances.change import Change, ChangePhase
from geraniumtrack.jobs.instances.machine_port import Instance, InstanceState
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state.jobs_state import Campaign, JobsState, Task
from geraniumtrack.jobs.state.model import WorkerInfo

__all__ = ["MaintenanceStarter"]

# An instance that was ordered into maintenance and is listed as down keeps its slot of the cap for
# this long, twice the time that maintenance takes: the list may show it in maintenance again.
MAX_MAINTENANCE_S = 4.0
UTILISATION_STEPS = 10  # pools whose utilisation differs by less than a tenth count as equally busy


class MaintenanceStarter:
    """Chooses the instances whose maintenance starts now, and when it may be ordered.

    An instance is first drained, then ordered into maintenance. It holds a slot of the campaign's
    cap from its order until the instance list shows that the maintenance is over.

    Args:
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        changes: The changes in progress, by instance id.
        instances: Returns the platform's instance list, by instance id.
        list_requested_at: Returns the clock value in seconds at which this list was requested.
        worker_on: Returns the newest worker on an instance, or None.
        start_change: Starts a change.
        wall_clock: Returns the wall-clock time in seconds.

    Attributes:
        times: Observed durations of drains and maintenance.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        changes: Mapping[str, Change],
        instances: Callable[[], Mapping[str, Instance]],
        list_requested_at: Callable[[], float],
        worker_on: Callable[[str], WorkerInfo | None],
        start_change: Callable[[Change], None],
        wall_clock: Callable[[], float],
    ) -> None:
        self.times = ObservedTimes()
        self._state = state
        self._sessions = sessions
        self._changes = changes
        self._instances = instances
        self._list_requested_at = list_requested_at
        self._worker_on = worker_on
        self._start_change = start_change
        self._wall_clock = wall_clock

    def start(self, now: float) -> None:
        """Starts the maintenance that is due; `now` is a clock value in seconds."""
        utilisation: dict[str, int] | None = None
        for number, campaign in self._state().campaigns.items():
            if campaign.completed:
                continue
            waiting = [i for i in self.awaiting(campaign) if not self._is_stuck(i)]
            if not waiting:
                continue
            utilisation = self._utilisation_by_pool() if utilisation is None else utilisation
            waiting.sort(key=partial(self._sort_key, utilisation=utilisation))
            self._start_waiting(number, campaign, waiting, now)

    def _start_waiting(
        self, number: int, campaign: Campaign, waiting: list[str], now: float
    ) -> None:
        work = self._remaining_work(campaign)
        required = required_in_progress(work, campaign.cap, self.times)
        remaining_by_pool = self._service_instances_by_pool(campaign)
        for instance in waiting:
            in_progress = self._count_in_progress(number, campaign)
            # Instances in standby run no tasks, so they are maintained as early as the cap allows;
            # the others only as fast as the deadline requires.
            if in_progress >= required and not self._in_standby(instance):
                continue
            # Without tasks it is ordered at once, so it would only be idle without a free slot.
            if not self._tasks_on(instance) and not self._has_slot(number, campaign):
                continue
            if not self._may_drain(instance, remaining_by_pool, work.time_left_s):
                continue
            logs.event(
                "maintenance_planned",
                instance=instance,
                campaign=number,
                remaining=work.plain + work.service,
                left_s=work.time_left_s,
                in_progress=in_progress,
                required=required,
                service_tasks=self._count_service_tasks(instance),
            )
            self._start_change(
                Change(
                    instance,
                    now,
                    campaign=number,
                    has_service_tasks=self._count_service_tasks(instance) > 0,
                )
            )

    def may_order(self, change: Change) -> bool:
        """Whether a drained instance may be ordered into maintenance now.

        The platform refuses the order while the instance is down. The order may be repeated
        without a further slot if an earlier one may have been executed.
        """
        known = self._instances().get(change.instance)
        if known is not None and known.is_out_of_service:
            return False
        campaign = self._state().campaigns.get(change.campaign)
        if campaign is None or change.instance in self._slot_holders(change.campaign, campaign):
            return True
        return self._has_slot(change.campaign, campaign)

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

    def _has_slot(self, number: int, campaign: Campaign) -> bool:
        return len(self._slot_holders(number, campaign)) < campaign.cap

    def _slot_holders(self, number: int, campaign: Campaign) -> set[str]:
        """Returns the instances of a campaign that are or may be in maintenance.

        This includes instances whose maintenance an earlier owner ordered, as soon as the instance
        list shows them in maintenance.
        """
        ordered = {
            change.instance
            for change in self._changes.values()
            if change.campaign == number and self._holds_slot(change)
        }
        listed = {
            instance
            for instance in campaign.instances
            if (known := self._instances().get(instance)) is not None
            and known.state is InstanceState.MAINTENANCE
        }
        return ordered | listed

    def _holds_slot(self, change: Change) -> bool:
        if change.phase is ChangePhase.DRAINING and not change.order_unclear:
            return False
        known = self._instances().get(change.instance)
        gone = known is None or known.is_out_of_service
        list_is_newer = self._list_requested_at() > change.ordered_at + MAX_MAINTENANCE_S
        return change.phase is ChangePhase.ORDERED or not (gone and list_is_newer)

    def _count_in_progress(self, number: int, campaign: Campaign) -> int:
        """Counts the instances in maintenance and those that are drained for it.

        An instance that can't be drained at present takes no place of one that can.
        """
        draining = {
            change.instance
            for change in self._changes.values()
            if change.campaign == number
            and change.phase is ChangePhase.DRAINING
            and not self._is_stuck(change.instance)
        }
        return len(draining | self._slot_holders(number, campaign))

    def _is_stuck(self, instance: str) -> bool:
        """Whether an instance is down, or its worker doesn't answer."""
        known = self._instances().get(instance)
        if known is not None and known.is_out_of_service:
            return True
        worker = self._worker_on(instance)
        session = self._sessions().get(worker.id) if worker is not None else None
        return session is not None and session.down

    def _remaining_work(self, campaign: Campaign) -> RemainingWork:
        remaining = [i for i in campaign.instances if i not in campaign.begun]
        service = sum(self._has_service_tasks(instance) for instance in remaining)
        time_left_s = campaign.deadline - self._wall_clock()
        return RemainingWork(len(remaining) - service, service, time_left_s)

    def _service_instances_by_pool(self, campaign: Campaign) -> Counter[str]:
        return Counter(
            self._worker_on(instance).pool
            for instance in campaign.instances
            if instance not in campaign.begun and self._has_service_tasks(instance)
        )

    def _utilisation_by_pool(self) -> dict[str, int]:
        """Returns the share of each pool's CPU that is in use, in UTILISATION_STEPS."""
        state = self._state()
        used: Counter[str] = Counter()
        total: Counter[str] = Counter()
        for worker in state.workers.values():
            total[worker.pool] += worker.capacity.cpu
            for task in state.assigned.get(worker.id, {}).values():
                used[worker.pool] += state.step_of(task).reserved.cpu
        return {
            pool: round(UTILISATION_STEPS * used[pool] / max(cpu, 1)) for pool, cpu in total.items()
        }

    def _sort_key(self, instance: str, *, utilisation: Mapping[str, int]) -> tuple[int, ...]:
        """Returns a sort key: standby, then service tasks, then pools in a trough, then few tasks.

        Instances with service tasks take longest to drain, since these tasks are stopped one by one
        within the availability budget of their step. Instances that the list doesn't show come
        last, as the platform refuses most orders for them.
        """
        known = self._instances().get(instance)
        service_tasks = self._count_service_tasks(instance)
        return (
            known is None,
            not self._in_standby(instance),
            not service_tasks,
            utilisation.get(known.pool, 0) if known is not None else 0,
            -service_tasks,
            len(self._tasks_on(instance)),
        )

    def _count_service_tasks(self, instance: str) -> int:
        return sum(self._state().step_of(task).lasting for task in self._tasks_on(instance))

    def _has_service_tasks(self, instance: str) -> bool:
        return self._count_service_tasks(instance) > 0

    def _may_drain(
        self, instance: str, remaining_by_pool: Counter[str], time_left_s: float
    ) -> bool:
        """Whether an instance may start draining beside the others with service tasks."""
        if not self._has_service_tasks(instance):
            return True
        pool = self._worker_on(instance).pool
        draining = sum(
            1
            for change in self._changes.values()
            if change.phase is ChangePhase.DRAINING
            and not self._is_stuck(change.instance)
            and self._has_service_tasks(change.instance)
            and self._worker_on(change.instance).pool == pool
        )
        return draining < drains_per_pool(remaining_by_pool[pool], time_left_s, self.times)

    def _can_change(self, instance: str) -> bool:
        known = self._instances().get(instance)
        up = known is None or known.state is InstanceState.UP
        return up and instance not in self._changes

    def _tasks_on(self, instance: str) -> list[Task]:
        worker = self._worker_on(instance)
        if worker is None:
            return []
        return list(self._state().assigned.get(worker.id, {}).values())
