"""Checks committed starts once more before their orders are sent."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import StrEnum

from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import NO_RESOURCES, Resources, TaskId, WorkerInfo

__all__ = ["StartBlock", "blocked_starts"]


class StartBlock(StrEnum):
    """Why a committed start must not be sent."""

    OVERTAKEN = "overtaken"  # the job has ended, or the worker takes no more tasks
    NO_ROOM_LEFT = "no_room_left"  # the worker's capacity has shrunk


def blocked_starts(
    starts: list[PlannedStart],
    state: JobsState,
    *,
    is_overtaken: Callable[[PlannedStart], bool],
    worker_info: Callable[[str], WorkerInfo | None],
    untracked: Mapping[str, Resources],
) -> dict[TaskId, StartBlock]:
    """Returns the tasks of committed starts that must not be sent any more, and why.

    If one member of a gang must not start, neither do the others, which would wait for it.

    Args:
        starts: Committed starts whose orders have not been sent.
        state: The replicated state, which assigns their tasks.
        is_overtaken: Returns whether a start has become pointless or its worker unavailable.
        worker_info: Returns the newest information about a worker, or None.
        untracked: Resources of runs that the state does not assign to the worker, by worker id.
    """
    blocked = {start.task: StartBlock.OVERTAKEN for start in starts if is_overtaken(start)}
    for task in _without_room(starts, state, worker_info, untracked):
        blocked.setdefault(task, StartBlock.NO_ROOM_LEFT)
    by_gang = {task[:3]: reason for task, reason in blocked.items() if _is_in_gang(task, state)}
    for start in starts:
        if start.task[:3] in by_gang:
            blocked.setdefault(start.task, by_gang[start.task[:3]])
    return blocked


def _is_in_gang(task: TaskId, state: JobsState) -> bool:
    record = state.jobs.get(task.job)
    return record is not None and record.job.steps[task.step].gang


def _without_room(
    starts: list[PlannedStart],
    state: JobsState,
    worker_info: Callable[[str], WorkerInfo | None],
    untracked: Mapping[str, Resources],
) -> set[TaskId]:
    """Returns the tasks that no longer fit on their workers, whose capacity may have shrunk."""
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
    return without_room


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
