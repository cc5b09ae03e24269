"""Chooses a worker for a task."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.scheduling.occupancy import StepKey
from geraniumtrack.jobs.scheduling.suspicion import Suspicion, crowding_cost, suspicion_of
from geraniumtrack.jobs.scheduling.worker_speed import NORMAL_SPEED, WorkerSpeed
from geraniumtrack.jobs.state.jobs_state import Task
from geraniumtrack.jobs.state.model import NO_RESOURCES, Resources, StepSpec, TaskId, WorkerInfo

__all__ = [
    "AvailableWorker",
    "Rejection",
    "WorkerRanking",
    "choose_worker",
    "placement_cost",
    "rejection",
]


class Rejection(StrEnum):
    """Why a worker that accepts tasks can't run a task."""

    FULL = "full"
    RESERVED = "reserved"  # for a task that must run alone
    ISOLATED = "isolated"  # it runs a task that must run alone
    LABEL = "label"
    SET_ASIDE = "set_aside"  # it is slow and gets one task at a time
    WORKER_LIMIT = "limit_on_one_worker"


_FULL = Rejection.FULL  # a constant, as the check is made for each task and worker


@dataclass(slots=True)
class AvailableWorker:
    """A worker that accepts tasks, with its free resources.

    Attributes:
        worker: The worker.
        free: Resources that no task occupies.
        tasks: Number of tasks on the worker, by step.
        last_run_failed: Whether the worker's last recorded run failed.
        lasting: Number of service tasks on the worker.
        lasting_size: Resources that they occupy.
        suspects: Number of suspect and isolated tasks on the worker.
        isolated: Number of isolated tasks on the worker.
        reserved_for: Isolated task for which the worker is kept, or None.
        speed: How fast the worker runs tasks.
    """

    worker: WorkerInfo
    free: Resources
    tasks: Counter[StepKey] = field(default_factory=Counter)
    last_run_failed: bool = False
    lasting: int = 0
    lasting_size: Resources = NO_RESOURCES
    suspects: int = 0
    isolated: int = 0
    reserved_for: TaskId | None = None
    speed: WorkerSpeed = NORMAL_SPEED

    @property
    def empty(self) -> bool:
        """Whether nothing runs on the worker."""
        return not self.lasting and self.only_service_tasks

    @property
    def only_service_tasks(self) -> bool:
        """Whether nothing but service tasks, if any, runs on the worker."""
        unused = self.worker.capacity.minus(self.lasting_size)
        return self.tasks.total() == self.lasting and self.free == unused

    def reserve(self, step: StepSpec, key: StepKey, suspicion: Suspicion = Suspicion.NONE) -> None:
        """Reserves the resources of one task of a step."""
        self.free = self.free.minus(step.reserved)
        self._count(step, key, suspicion, 1)

    def release(self, step: StepSpec, key: StepKey, suspicion: Suspicion = Suspicion.NONE) -> None:
        """Releases the resources that `reserve` took for one task."""
        self.free = self.free.plus(step.reserved)
        self._count(step, key, suspicion, -1)

    def _count(self, step: StepSpec, key: StepKey, suspicion: Suspicion, number: int) -> None:
        self.tasks[key] += number
        if step.lasting:
            self.lasting += number
            change = self.lasting_size.plus if number > 0 else self.lasting_size.minus
            self.lasting_size = change(step.reserved)
        self.suspects += number * (suspicion is not Suspicion.NONE)
        self.isolated += number * (suspicion is Suspicion.ISOLATED)


def choose_worker(
    task: Task,
    step: StepSpec,
    workers: list[AvailableWorker],
    *,
    racks: Counter[str] | None = None,
    spread_factor: float = DEFAULT_POLICY.spread_factor,
) -> AvailableWorker | None:
    """Returns the best worker for a task, or None if no worker can run it.

    Args:
        task: A waiting task.
        step: The step of the task.
        workers: Available workers of the task's pool.
        racks: Number of the step's tasks by rack, for steps whose tasks are spread over racks or
            kept on one rack.
        spread_factor: How many times as long a task takes away from its data or its step's rack.
    """
    suspicion = suspicion_of(task)
    best, best_cost = None, ()
    for available in workers:
        if rejection(task, step, available) is not None:
            continue
        cost = _cost(task, step, available, racks or Counter(), suspicion, spread_factor)
        if best is None or cost < best_cost:
            best, best_cost = available, cost
    return best


class WorkerRanking:
    """The workers for the tasks of one step that are alike, the best one first.

    The load: a thousand starts a second, of steps with some eight tasks. Asking each worker for
    each task took a fifth of the owner's processor time. The choice is that of `choose_worker`.

    Args:
        task: One of the tasks, for which `suits` is true.
        step: The step of the tasks.
        workers: Available workers of the tasks' pool.
        spread_factor: How many times as long a task takes away from its data.
    """

    def __init__(
        self, task: Task, step: StepSpec, workers: list[AvailableWorker], *, spread_factor: float
    ) -> None:
        self._task = task
        self._step = step
        self._workers = workers
        self._spread_factor = spread_factor
        costs = ((self._cost_of(available), n) for n, available in enumerate(workers))
        self._heap = [(cost, number) for cost, number in costs if cost is not None]
        heapq.heapify(self._heap)

    @staticmethod
    def suits(task: Task, step: StepSpec) -> bool:
        """Whether a placement of the task changes the cost of no worker but the chosen one."""
        return not (step.lasting or step.same_rack or task.avoid or task.crashes)

    def best(self) -> AvailableWorker | None:
        """Returns the best worker, or None if no worker can run a further task."""
        return self._workers[self._heap[0][1]] if self._heap else None

    def refresh_best(self) -> None:
        """Ranks the best worker anew, after a task was reserved on it."""
        number = self._heap[0][1]
        cost = self._cost_of(self._workers[number])
        if cost is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, (cost, number))

    def _cost_of(self, available: AvailableWorker) -> tuple[float, ...] | None:
        if rejection(self._task, self._step, available) is not None:
            return None
        none, factor = Suspicion.NONE, self._spread_factor
        return _cost(self._task, self._step, available, Counter(), none, factor)


def rejection(task: Task, step: StepSpec, available: AvailableWorker) -> Rejection | None:
    """Returns why a worker can't run a task, or None if it can.

    Args:
        task: A waiting task.
        step: The step of the task.
        available: The worker.
    """
    if not step.reserved.fits(available.free):
        return _FULL
    if available.reserved_for not in (None, task.id):
        return Rejection.RESERVED
    # Members of one gang may share a worker; a crash under one of them ends the others anyway.
    if available.isolated and not (step.gang and _only_of_step(task, available)):
        return Rejection.ISOLATED
    if step.label and step.label not in available.worker.labels:
        return Rejection.LABEL
    if available.speed.probe_only and available.tasks.total() > available.lasting:
        return Rejection.SET_ASIDE
    if step.max_per_worker and available.tasks[task.id[:3]] >= step.max_per_worker:
        return Rejection.WORKER_LIMIT
    return None


def _only_of_step(task: Task, available: AvailableWorker) -> bool:
    return available.tasks[task.id[:3]] == available.tasks.total()


def placement_cost(
    task: Task,
    step: StepSpec,
    available: AvailableWorker,
    racks: Counter[str],
    spread_factor: float,
) -> dict[str, float]:
    """Returns the components of the cost by which `choose_worker` compares workers, in order.

    Negative numbers of tasks mean that more of them are better. The arguments are those of
    `choose_worker`.
    """
    cost = _cost(task, step, available, racks, suspicion_of(task), spread_factor)
    return {name: float(value) for name, value in zip(_cost_names(step), cost, strict=True)}


def _cost_names(step: StepSpec) -> tuple[str, ...]:
    crowding = ("suspects", "tasks")
    if step.lasting:
        names = (*crowding, "step_tasks_here", "step_tasks_on_rack")
        return ("failed_recently", "set_aside", *names, "free_cpu")
    if step.same_rack:
        names = ("remote_data", "too_slow", "step_tasks_on_rack", *crowding)
        return ("failed_recently", *names, "slowdown", "free_cpu")
    return ("failed_recently", *crowding, "duration", "remote_data", "free_cpu")


def _cost(
    task: Task,
    step: StepSpec,
    available: AvailableWorker,
    racks: Counter[str],
    suspicion: Suspicion,
    spread_factor: float,
) -> tuple[float, ...]:
    """Returns the cost of running a task on a worker; tuples are compared element by element.

    A slow worker and remote data both multiply the duration, so their product is compared.
    """
    worker = available.worker
    failed_recently = worker.id == task.avoid or available.last_run_failed
    crowding = crowding_cost(suspicion, available.suspects, available.tasks.total())
    if step.lasting:
        # The service tasks of a step are packed on few workers, so that the instances of the others
        # can move to another pool. A further worker is taken from the rack with the fewest tasks of
        # the step.
        return (
            failed_recently,
            available.speed.probe_only,
            *crowding,
            -available.tasks[task.id[:3]],
            racks[worker.rack],
            available.free.cpu,
        )
    slowdown = available.speed.slowdown
    remote_data = bool(step.data_rack) and worker.rack != step.data_rack
    if step.same_rack:
        # Tasks that are slow on several racks stay together even if they are suspect.
        rack_affinity = -racks[worker.rack]
        # The other racks are the smaller loss if the worker is slower than they make the task.
        too_slow = slowdown > spread_factor
        return (
            failed_recently,
            remote_data,
            too_slow,
            rack_affinity,
            *crowding,
            slowdown,
            available.free.cpu,
        )
    duration = slowdown * (spread_factor if remote_data else 1.0)
    return failed_recently, *crowding, duration, remote_data, available.free.cpu
