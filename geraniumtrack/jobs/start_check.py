"""Checks committed starts against the capacity that their workers have by then."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from geraniumtrack.jobs.model import NO_RESOURCES, Resources, TaskId, WorkerInfo
from geraniumtrack.jobs.scheduler import PlannedStart
from geraniumtrack.jobs.state import JobsState

__all__ = ["starts_without_room"]


def starts_without_room(
    starts: list[PlannedStart],
    state: JobsState,
    worker_info: Callable[[str], WorkerInfo | None],
    untracked: Mapping[str, Resources],
) -> set[TaskId]:
    """Returns the tasks of committed starts that no longer fit on their workers.

    While a start is being committed, its worker's capacity may shrink. If one member of a gang does
    not fit, the others are returned too.

    Args:
        starts: Committed starts whose orders have not been sent.
        state: The replicated state, which assigns their tasks.
        worker_info: Returns the newest information about a worker, or None.
        untracked: Resources of runs that the state does not assign to the worker, by worker id.
    """
    unsent = {start.task for start in starts}
    free: dict[str, Resources] = {}
    without_room: set[TaskId] = set()
    for start in starts:
        worker = worker_info(start.worker.id)
        task = state.task(start.task)
        occupied = untracked.get(start.worker.id, NO_RESOURCES)
        if worker is None or task is None or _as_planned(start, worker, occupied):
            continue
        if worker.id not in free:
            free[worker.id] = _free_without(unsent, worker, state, occupied)
        reserved = state.step_of(task).reserved
        if reserved.fits(free[worker.id]):
            free[worker.id] = free[worker.id].minus(reserved)
        else:
            without_room.add(start.task)
    return without_room | _gang_members(without_room, unsent, state)


def _as_planned(start: PlannedStart, worker: WorkerInfo, occupied: Resources) -> bool:
    """Whether nothing has changed that could take the room for a start since it was planned."""
    return worker.capacity == start.worker.capacity and occupied == NO_RESOURCES


def _free_without(
    unsent: set[TaskId], worker: WorkerInfo, state: JobsState, occupied: Resources
) -> Resources:
    """Returns the free resources of a worker without the starts that have not been sent."""
    free = worker.capacity.minus(occupied)
    for task in state.assigned.get(worker.id, {}).values():
        if task.id not in unsent:
            free = free.minus(state.step_of(task).reserved)
    return free


def _gang_members(tasks: set[TaskId], unsent: set[TaskId], state: JobsState) -> set[TaskId]:
    """Returns the unsent starts of the gangs of some tasks."""
    gangs = {task[:3] for task in tasks if state.jobs[task.job].job.steps[task.step].gang}
    return {task for task in unsent if task[:3] in gangs}
