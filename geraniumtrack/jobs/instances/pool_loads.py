"""Collects the instances and the demand of each pool for the capacity planner."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from geraniumtrack.jobs.capacity.demand import demand_by_pool
from geraniumtrack.jobs.capacity.planner import MovableInstance, PoolLoad
from geraniumtrack.jobs.instances.machine_port import Instance, InstanceState
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.estimates import DECLARED, DurationEstimates
from geraniumtrack.jobs.state.jobs_state import JobsState

__all__ = ["pool_loads", "used_cpu"]

# A busy instance is drained for a move only if its tasks are declared to be this short.
MAX_DRAIN_ESTIMATE_S = 2.0


def pool_loads(
    state: JobsState,
    *,
    sessions: Mapping[str, WorkerSession],
    instances: Mapping[str, Instance],
    changing: Collection[str],
    arriving: Mapping[str, Collection[str]],
    now: float,
    durations: DurationEstimates = DECLARED,
) -> list[PoolLoad]:
    """Returns the load of each pool that a queue uses, except standby pools.

    Args:
        state: The replicated state, with a configuration.
        sessions: The owner's sessions by worker id.
        instances: The platform's instance list, by instance id.
        changing: Ids of the instances that this owner is moving, maintaining or evacuating.
        arriving: Ids of the instances on their way to each pool, see `InstancesInTransit`.
        now: Wall-clock time in seconds.
        durations: Estimates by which the declared durations are corrected.
    """
    served = {queue.pool for queue in state.config.queues} - state.standby_pools
    demands = demand_by_pool(state, now, durations)
    loads = {name: PoolLoad(name, 0, demands[name]) for name in sorted(served)}
    for pool, instance_ids in arriving.items():
        for instance_id in instance_ids:
            if pool in loads and instance_id in instances:
                loads[pool].add_instance(_movable(instances[instance_id]))
    task_counts: dict[str, int] = {}
    in_service: set[str] = set()
    for session in sessions.values():
        worker = session.worker
        load = loads.get(worker.pool)
        if load is None or worker.instance in changing or not _in_service(session, state):
            continue
        instance = MovableInstance(worker.instance, worker.labels, worker.rack)
        load.add_instance(instance)
        load.add_worker(worker.capacity)
        in_service.add(instance.id)
        if worker.instance not in instances:
            continue
        if not state.assigned.get(worker.id):
            load.idle.append(instance)
        elif _drains_by_itself(worker.id, state):
            load.drainable.append(instance)
            task_counts[instance.id] = len(state.assigned[worker.id])
    for instance in instances.values():
        # An earlier owner may have ordered the move or the maintenance; the instance will come back
        # in the pool that the instance list names. The list may be older than the worker's report
        # that the instance is back.
        returning = instance.state in (InstanceState.MOVING, InstanceState.MAINTENANCE)
        known = instance.id in changing or instance.id in in_service
        if returning and instance.pool in loads and not known:
            loads[instance.pool].add_instance(_movable(instance))
    # Pools without a usable worker are planned with the size of the largest instance.
    default_cpu = max((instance.cpu for instance in instances.values()), default=1)
    default_memory_mb = max((instance.memory_mb for instance in instances.values()), default=1)
    for load in loads.values():
        load.drainable.sort(key=lambda instance: task_counts[instance.id])
        load.instance_cpu = load.instance_cpu or default_cpu
        load.instance_memory_mb = load.instance_memory_mb or default_memory_mb
    return list(loads.values())


def used_cpu(state: JobsState) -> Counter[str]:
    """Returns the CPU that the assigned tasks of each pool reserve, in thousandths of a core."""
    used: Counter[str] = Counter()
    for worker_id, tasks in state.assigned.items():
        worker = state.workers.get(worker_id)
        if worker is not None:
            used[worker.pool] += sum(state.step_of(task).reserved.cpu for task in tasks.values())
    return used


def _movable(instance: Instance) -> MovableInstance:
    return MovableInstance(instance.id, instance.labels, instance.rack)


def _in_service(session: WorkerSession, state: JobsState) -> bool:
    """Whether a worker is reachable, not about to leave and not in an evacuated data centre."""
    worker = session.worker
    out = worker.draining or session.leaving or session.silent or not session.reported
    return not out and worker.data_centre not in state.evacuated


def _drains_by_itself(worker_id: str, state: JobsState) -> bool:
    """Whether all tasks of a worker soon end by themselves, so that it can be drained."""
    steps = [state.step_of(task) for task in state.assigned[worker_id].values()]
    return not any(
        step.lasting or step.gang or step.estimate_s > MAX_DRAIN_ESTIMATE_S for step in steps
    )
