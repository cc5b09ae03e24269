"""Collects the processors that each pool has or can obtain, for admission control."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping

from geraniumtrack.jobs.instances.change import Change
from geraniumtrack.jobs.instances.machine_port import Instance, InstanceState
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.admission import PoolSupply
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Resources, WorkerInfo

__all__ = ["pool_supplies"]

MILLI = 1000  # thousandths of a core in a core
# The instance list is requested every second. An older one says too little about what arrives.
MAX_LIST_AGE_S = 5.0


def pool_supplies(
    state: JobsState,
    *,
    sessions: Mapping[str, WorkerSession],
    instances: Mapping[str, Instance],
    changes: Mapping[str, Change],
    arriving: Mapping[str, Collection[str]],
    list_age_s: float,
) -> dict[str, PoolSupply]:
    """Returns the processors of each pool that a queue uses.

    Workers that do not answer count, since they may be back before a job that waits expires.
    Standby instances count for each pool.

    Args:
        state: The replicated state, with a configuration.
        sessions: The owner's sessions by worker id.
        instances: The platform's instance list, by instance id.
        changes: The changes in progress, by instance id.
        arriving: Ids of the instances on their way to each pool.
        list_age_s: Age of the instance list in seconds.
    """
    in_service: dict[str, list[WorkerSession]] = {queue.pool: [] for queue in state.config.queues}
    for session in sessions.values():
        if session.worker.pool in in_service and _stays(session, state, changes):
            in_service[session.worker.pool].append(session)
    present = {s.worker.instance for group in in_service.values() for s in group}
    standby = sum(
        instance.cpu
        for instance in instances.values()
        if _can_be_moved_in(instance, state) and instance.id not in changes
    )
    known = bool(instances) and list_age_s <= MAX_LIST_AGE_S
    arriving_cpu = _arriving_cpu(instances, arriving, {*changes, *present})
    return {
        pool: PoolSupply(
            in_service=sum(s.worker.capacity.cpu for s in group) / MILLI,
            arriving=arriving_cpu.get(pool, 0) / MILLI,
            standby=standby / MILLI,
            room=tuple(_room(s.worker, state) for s in group if s.usable),
            known=known,
        )
        for pool, group in in_service.items()
    }


def _stays(session: WorkerSession, state: JobsState, changing: Collection[str]) -> bool:
    """Whether a worker stays in service, also if it does not answer at present."""
    worker = session.worker
    leaves = worker.draining or session.leaving or worker.instance in changing
    return not leaves and worker.data_centre not in state.evacuated


def _can_be_moved_in(instance: Instance, state: JobsState) -> bool:
    return (
        instance.pool in state.standby_pools
        and instance.state is InstanceState.UP
        and instance.data_centre not in state.evacuated
    )


def _arriving_cpu(
    instances: Mapping[str, Instance],
    arriving: Mapping[str, Collection[str]],
    known: Collection[str],
) -> dict[str, int]:
    """Returns the CPU on its way to each pool in thousandths of a core.

    Args:
        instances: The platform's instance list, by instance id.
        arriving: Ids of the instances that this owner has on their way to each pool.
        known: Ids of these instances and of those in service. Others that the list shows as moving
            or in maintenance were ordered by an earlier owner.
    """
    returning = (InstanceState.MOVING, InstanceState.MAINTENANCE)
    by_pool: dict[str, set[str]] = defaultdict(set)
    for instance in instances.values():
        if instance.state in returning and instance.id not in known:
            by_pool[instance.pool].add(instance.id)
    for pool, instance_ids in arriving.items():
        by_pool[pool].update(name for name in instance_ids if name in instances)
    return {pool: sum(instances[name].cpu for name in names) for pool, names in by_pool.items()}


def _room(worker: WorkerInfo, state: JobsState) -> tuple[tuple[str, ...], Resources]:
    """Returns the labels of a worker, and its resources that no task occupies."""
    cpu, memory_mb, accelerators = 0, 0, 0
    for task in state.assigned.get(worker.id, {}).values():
        used = state.step_of(task).reserved
        cpu += used.cpu
        memory_mb += used.memory_mb
        accelerators += used.accelerators
    return worker.labels, worker.capacity.minus(Resources(cpu, memory_mb, accelerators))
