"""The choice of a worker for a task."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from geraniumtrack.jobs.model import Resources, StepSpec, WorkerInfo
from geraniumtrack.jobs.state import Task

__all__ = ["Room", "choose"]

StepKey = tuple[str, int, int]  # job, occurrence, step


@dataclass(slots=True)
class Room:
    """A usable worker and what is free on it.

    Attributes:
        worker: The worker.
        free: What is not taken.
        tasks: Tasks there by step.
        suspect: Whether its last run failed.
    """

    worker: WorkerInfo
    free: Resources
    tasks: Counter[StepKey] = field(default_factory=Counter)
    suspect: bool = False

    def take(self, step: StepSpec, key: StepKey) -> None:
        """Counts a task that is placed here."""
        self.free = self.free.minus(step.counted)
        self.tasks[key] += 1

    def give_back(self, step: StepSpec, key: StepKey) -> None:
        """Uncounts a task."""
        self.free = self.free.plus(step.counted)
        self.tasks[key] -= 1


def choose(
    task: Task, step: StepSpec, rooms: list[Room], *, racks: Counter[str] | None = None
) -> Room | None:
    """Returns the best room for a task, or None.

    Args:
        task: A waiting task.
        step: Its step.
        rooms: Usable workers of its pool.
        racks: Tasks of the step by rack, for steps that should be spread or kept together.
    """
    key = task.id[:3]
    best, best_cost = None, ()
    for room in rooms:
        if not _allowed(task, step, room, key):
            continue
        cost = _cost(task, step, room, racks or Counter())
        if best is None or cost < best_cost:
            best, best_cost = room, cost
    return best


def _allowed(task: Task, step: StepSpec, room: Room, key: StepKey) -> bool:
    if not step.counted.fits(room.free):
        return False
    if step.label and step.label not in room.worker.labels:
        return False
    return not step.max_per_worker or room.tasks[key] < step.max_per_worker


def _cost(task: Task, step: StepSpec, room: Room, racks: Counter[str]) -> tuple[float, ...]:
    worker = room.worker
    unlucky = worker.id == task.avoid or room.suspect
    if step.lasting:
        # What lasts is packed on few workers of different racks, so that the others can be moved.
        return unlucky, -room.tasks[task.id[:3]], racks[worker.rack], room.free.cpu
    far = bool(step.data_rack) and worker.rack != step.data_rack
    apart = -racks[worker.rack] if step.same_rack else 0
    return unlucky, far, apart, room.free.cpu
