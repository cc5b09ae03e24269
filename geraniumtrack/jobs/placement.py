"""Chooses a worker for a task."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from geraniumtrack.jobs.model import Resources, StepSpec, WorkerInfo
from geraniumtrack.jobs.state import Task

__all__ = ["AvailableWorker", "choose_worker"]

StepKey = tuple[str, int, int]  # job, occurrence, step


@dataclass(slots=True)
class AvailableWorker:
    """A worker that accepts tasks, with its free resources.

    Attributes:
        worker: The worker.
        free: Resources that no task occupies.
        tasks: Number of tasks on the worker, by step.
        last_run_failed: Whether the worker's last recorded run failed.
    """

    worker: WorkerInfo
    free: Resources
    tasks: Counter[StepKey] = field(default_factory=Counter)
    last_run_failed: bool = False

    def reserve(self, step: StepSpec, key: StepKey) -> None:
        """Reserves the resources of one task of a step."""
        self.free = self.free.minus(step.reserved)
        self.tasks[key] += 1

    def release(self, step: StepSpec, key: StepKey) -> None:
        """Releases the resources that `reserve` took for one task."""
        self.free = self.free.plus(step.reserved)
        self.tasks[key] -= 1


def choose_worker(
    task: Task,
    step: StepSpec,
    workers: list[AvailableWorker],
    *,
    racks: Counter[str] | None = None,
) -> AvailableWorker | None:
    """Returns the best worker for a task, or None if no worker can run it.

    Args:
        task: A waiting task.
        step: The step of the task.
        workers: Available workers of the task's pool.
        racks: Number of the step's tasks by rack, for steps whose tasks are spread over racks or
            kept on one rack.
    """
    key = task.id[:3]
    best, best_cost = None, ()
    for available in workers:
        if not _can_run(task, step, available, key):
            continue
        cost = _cost(task, step, available, racks or Counter())
        if best is None or cost < best_cost:
            best, best_cost = available, cost
    return best


def _can_run(task: Task, step: StepSpec, available: AvailableWorker, key: StepKey) -> bool:
    if not step.reserved.fits(available.free):
        return False
    if step.label and step.label not in available.worker.labels:
        return False
    return not step.max_per_worker or available.tasks[key] < step.max_per_worker


def _cost(
    task: Task, step: StepSpec, available: AvailableWorker, racks: Counter[str]
) -> tuple[float, ...]:
    """Returns the cost of running a task on a worker; tuples are compared element by element."""
    worker = available.worker
    failed_recently = worker.id == task.avoid or available.last_run_failed
    if step.lasting:
        # The service tasks of a step are packed on few workers, so that the instances of the others
        # can move to another pool. A further worker is taken from the rack with the fewest tasks of
        # the step.
        return (
            failed_recently,
            -available.tasks[task.id[:3]],
            racks[worker.rack],
            available.free.cpu,
        )
    remote_data = bool(step.data_rack) and worker.rack != step.data_rack
    rack_affinity = -racks[worker.rack] if step.same_rack else 0
    return failed_recently, remote_data, rack_affinity, available.free.cpu
