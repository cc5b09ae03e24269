"""Reserves workers for tasks that must run alone, because workers crashed under them twice."""

from __future__ import annotations

from collections.abc import Iterable

from geraniumtrack.jobs.scheduling.placement import AvailableWorker, choose_worker
from geraniumtrack.jobs.scheduling.suspicion import Suspicion, suspicion_of
from geraniumtrack.jobs.state.jobs_state import Task
from geraniumtrack.jobs.state.model import StepSpec, TaskId

__all__ = ["may_start_alone", "needs_own_worker", "reserve_workers"]

MAX_EMPTYING_SHARE = 0.25  # of a pool's workers that take no new tasks until they are empty


def needs_own_worker(task: Task, step: StepSpec) -> bool:
    """Whether a task may only start on a worker of its own.

    Members of gangs are placed apart where possible only, as a gang can start nowhere if each
    member waits for an empty worker.
    """
    return suspicion_of(task) is Suspicion.ISOLATED and not step.gang


def may_start_alone(host: AvailableWorker | None) -> bool:
    """Whether an isolated task may start on the worker that is reserved for it, if any."""
    return host is not None and host.only_service_tasks


def reserve_workers(
    tasks: Iterable[Task], step: StepSpec, pool: list[AvailableWorker]
) -> dict[TaskId, AvailableWorker]:
    """Reserves a worker for each isolated task of a step, as far as there are any.

    A reserved worker takes no other tasks in this scheduling pass. It is an empty one, else the one
    with the fewest tasks, which becomes empty as it takes no new ones. Service tasks never end, so
    if all workers have some, the task waits only for the other tasks of such a worker.

    Args:
        tasks: Waiting tasks that need a worker of their own.
        step: The step of the tasks.
        pool: Available workers that may run the step.

    Returns:
        The reserved workers by task.
    """
    max_emptying = max(1, int(len(pool) * MAX_EMPTYING_SHARE))
    emptying = sum(item.reserved_for is not None and not item.only_service_tasks for item in pool)
    hosts: dict[TaskId, AvailableWorker] = {}
    for task in tasks:
        host = _choose_host(task, step, pool)
        waits = host is not None and not host.only_service_tasks
        if host is None or (waits and emptying >= max_emptying):
            continue
        emptying += waits
        host.reserved_for = task.id
        hosts[task.id] = host
    return hosts


def _choose_host(task: Task, step: StepSpec, pool: list[AvailableWorker]) -> AvailableWorker | None:
    able = [item for item in pool if _could_host(step, item)]
    empty = choose_worker(task, step, [item for item in able if item.empty])
    if empty is not None:
        return empty
    return min(able, key=_by_other_tasks, default=None)


def _could_host(step: StepSpec, item: AvailableWorker) -> bool:
    """Whether a task of the step could run beside nothing but the worker's service tasks."""
    if item.reserved_for is not None or item.isolated:
        return False
    if step.label and step.label not in item.worker.labels:
        return False
    return step.reserved.fits(item.worker.capacity.minus(item.lasting_size))


def _by_other_tasks(item: AvailableWorker) -> tuple[bool, int, int, str]:
    """Sorts workers without service tasks first, then those with the fewest tasks that end."""
    others = item.tasks.total() - item.lasting
    return item.lasting > 0, others, item.lasting, item.worker.id
