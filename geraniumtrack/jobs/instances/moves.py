"""Starts the moves that the capacity planner asks for, and reports the load of the pools.

The reports answer, second by second, how many instances each pool has, for which demand, and how
much of them its tasks use.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from geraniumtrack import logs
from geraniumtrack.jobs.capacity.planner import (
    CapacityPlanner,
    MovableInstance,
    PlannedMove,
    PoolLoad,
)
from geraniumtrack.jobs.instances.change import Change, drain_timeout_s
from geraniumtrack.jobs.instances.instances_in_transit import InstancesInTransit
from geraniumtrack.jobs.instances.machine_port import Instance, InstanceState
from geraniumtrack.jobs.instances.maintenance import MaintenanceStarter
from geraniumtrack.jobs.instances.pool_loads import pool_loads, used_cpu
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.estimates import DurationEstimates
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import WorkerInfo
from geraniumtrack.metrics import metrics

__all__ = ["MoveStarter"]

REPORT_INTERVAL_S = 1.0  # between two reports of the loads of the pools


class MoveStarter:
    """Plans moves of instances and starts them.

    Args:
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        changes: Changes in progress by instance.
        instances: Returns the platform's instance list, by instance id.
        worker_on: Returns the newest worker of an instance, or None.
        maintenance: Knows which instances await maintenance.
        in_transit: The instances on their way to a pool.
        standby_pool_for: Returns the standby pool to which an instance may move, or an empty
            string.
        rejected: Instance and pool of the moves that the platform has rejected.
        start_change: Starts a change.
        wall_clock: Returns the wall-clock time in seconds.
        durations: Estimates by which the declared durations are corrected.
        policy: Settings of the scheduling policy.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        changes: Mapping[str, Change],
        instances: Callable[[], Mapping[str, Instance]],
        worker_on: Callable[[str], WorkerInfo | None],
        maintenance: MaintenanceStarter,
        in_transit: InstancesInTransit,
        standby_pool_for: Callable[[str], str],
        rejected: Collection[tuple[str, str]],
        start_change: Callable[[Change], None],
        wall_clock: Callable[[], float],
        durations: DurationEstimates,
        policy: PolicySettings,
    ) -> None:
        self._planner = CapacityPlanner(policy)
        self._state = state
        self._sessions = sessions
        self._changes = changes
        self._instances = instances
        self._worker_on = worker_on
        self._maintenance = maintenance
        self._in_transit = in_transit
        self._standby_pool_for = standby_pool_for
        self._rejected = rejected
        self._start_change = start_change
        self._wall_clock = wall_clock
        self._durations = durations
        self._next_report_at = 0.0

    def start(self, now: float) -> None:
        """Starts the moves that are planned now.

        Args:
            now: Clock value in seconds.
        """
        standby_pools = self._state().standby_pools
        loads = self._pool_loads()
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._report(loads)
        spare = self._spare_instances(standby_pools)
        standby_pool = min(standby_pools, default="")
        refused = self._refused(standby_pool)
        for move in self._planner.plan(loads, spare, standby_pool, now, refused):
            to_standby = move.pool in standby_pools
            pool = self._standby_pool_for(move.instance) if to_standby else move.pool
            if pool:
                self._log(move, pool, now)
                timeout_s = drain_timeout_s(move.reason)
                self._start_change(Change(move.instance, now, pool=pool, drain_timeout_s=timeout_s))

    def _refused(self, standby_pool: str) -> set[tuple[str, str]]:
        """Returns the refused moves; `standby_pool` stands for all standby pools together."""
        refused = set(self._rejected)
        for instance in {instance for instance, _ in refused}:
            if self._standby_pool_for(instance):
                refused.discard((instance, standby_pool))
            else:
                refused.add((instance, standby_pool))
        return refused

    def _spare_instances(self, standby_pools: Collection[str]) -> list[MovableInstance]:
        """Returns the movable instances in standby; those to be maintained are moved last."""
        spare = [
            MovableInstance(instance.id, instance.labels, instance.rack)
            for instance in self._instances().values()
            if instance.pool in standby_pools and self._is_movable(instance)
        ]
        awaiting = {
            i for c in self._state().campaigns.values() for i in self._maintenance.awaiting(c)
        }
        return sorted(spare, key=lambda instance: instance.id in awaiting)

    def _is_movable(self, instance: Instance) -> bool:
        return (
            instance.state is InstanceState.UP
            and instance.id not in self._changes
            and instance.data_centre not in self._state().evacuated
        )

    def _pool_loads(self) -> list[PoolLoad]:
        return pool_loads(
            self._state(),
            sessions=self._sessions(),
            instances=self._instances(),
            changing=self._changes.keys(),
            arriving=self._in_transit.by_pool(),
            now=self._wall_clock(),
            durations=self._durations,
        )

    def _log(self, move: PlannedMove, pool: str, now: float) -> None:
        stayed = {}
        worker = self._worker_on(move.instance)
        session = self._sessions().get(worker.id) if worker is not None else None
        if session is not None:
            stayed["stayed_s"] = now - session.opened_at
            metrics.observe("instance_stay", now - session.opened_at, pool=worker.pool)
        logs.event(
            "move_planned",
            instance=move.instance,
            pool=pool,
            have=move.instance_count,
            target=move.target_count,
            reason=move.reason,
            **stayed,
        )

    def _report(self, loads: list[PoolLoad]) -> None:
        used = used_cpu(self._state())
        for load in loads:
            logs.event(
                "pool_load",
                pool=load.name,
                instances=load.instance_count,
                in_service=len(load.in_service),
                idle=len(load.idle),
                cpu=sum(capacity.cpu for capacity in load.in_service),
                used_cpu=used[load.name],
                service_cpu=load.demand.lasting,
                on_time_cpu=load.demand.on_time,
                late_cpu=load.demand.late,
                memory_mb=load.demand.memory_mb,
            )
