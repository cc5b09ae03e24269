"""The room of a pool while runs to stop are chosen: changes on trial, and expected room."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Container, Iterable
from itertools import accumulate

from geraniumtrack.jobs.scheduling.placement import AvailableWorker
from geraniumtrack.jobs.scheduling.victims import PoolRun, PreemptionReason, Victim
from geraniumtrack.jobs.state.jobs_state import Task
from geraniumtrack.jobs.state.model import Resources, StepSpec

__all__ = ["ExpectedRoom", "Rooms", "Trial"]

Amounts = tuple[int, int, int]  # processors, memory and accelerators
TrialRow = tuple[PoolRun, tuple[Victim, PreemptionReason]]


class Rooms:
    """Changes the room of workers so that the changes can be undone.

    Attributes:
        changed: The workers whose room was changed.
    """

    def __init__(self) -> None:
        self.changed: list[AvailableWorker] = []
        self._changed_ids: set[str] = set()
        self._log: list[tuple[AvailableWorker, StepSpec, tuple, bool]] = []

    def release(self, run: PoolRun) -> None:
        """Releases the room of a run."""
        self._apply(run.available, run.step, run.task.id[:3], reserve=False)

    def reserve(self, available: AvailableWorker, step: StepSpec, task: Task) -> None:
        """Reserves room for a task."""
        self._apply(available, step, task.id[:3], reserve=True)

    def mark(self) -> int:
        """Returns a mark of the changes so far."""
        return len(self._log)

    def undo(self, mark: int) -> None:
        """Undoes the changes since a mark."""
        while len(self._log) > mark:
            available, step, key, reserved = self._log.pop()
            (available.release if reserved else available.reserve)(step, key)

    def _apply(
        self, available: AvailableWorker, step: StepSpec, key: tuple, *, reserve: bool
    ) -> None:
        (available.reserve if reserve else available.release)(step, key)
        self._log.append((available, step, key, reserve))
        if available.worker.id not in self._changed_ids:
            self._changed_ids.add(available.worker.id)
            self.changed.append(available)


class Trial:
    """The room of a worker as it would be without some victims.

    Args:
        available: The worker.

    Attributes:
        available: The worker.
    """

    __slots__ = ("_accelerators", "_cpu", "_memory_mb", "_rows", "available")

    def __init__(self, available: AvailableWorker) -> None:
        self.available = available
        self.reset(())

    def reset(self, rows: Iterable[TrialRow]) -> None:
        """Starts again from the room that the worker has now, without the victims of some rows."""
        free = self.available.free
        self._cpu, self._memory_mb, self._accelerators = (
            free.cpu,
            free.memory_mb,
            free.accelerators,
        )
        self._rows: list[TrialRow] = []
        for run, chosen in rows:
            self.add(run, chosen)

    def refresh(self, taken: Container[int]) -> None:
        """Starts again from the room that the worker has now, with the victims not taken yet.

        Args:
            taken: Ids of the victims that are taken already, whose room is free.
        """
        self.reset([row for row in self._rows if id(row[1][0]) not in taken])

    def add(self, run: PoolRun, chosen: tuple[Victim, PreemptionReason]) -> None:
        """Adds the room of a run of a victim."""
        self._rows.append((run, chosen))
        self._change(run.step.reserved, 1)

    def fits(self, size: Resources) -> bool:
        """Whether a task of the given size fits."""
        return (
            size.cpu <= self._cpu
            and size.memory_mb <= self._memory_mb
            and size.accelerators <= self._accelerators
        )

    def divide(
        self, size: Resources, taken: Container[int]
    ) -> tuple[list[tuple[Victim, PreemptionReason]], list[TrialRow]]:
        """Returns the victims without which a task does not fit, and the rows of the others.

        Those that come last in their order are spared first.

        Args:
            size: Size of the task.
            taken: Ids of the victims that are taken already, whose room is free.
        """
        needed: dict[int, tuple[Victim, PreemptionReason]] = {}
        spare: list[TrialRow] = []
        for run, chosen in reversed(self._rows):
            if id(chosen[0]) in taken:
                continue
            self._change(run.step.reserved, -1)
            if self.fits(size):
                spare.append((run, chosen))
            else:
                self._change(run.step.reserved, 1)
                needed[id(chosen[0])] = chosen
        return list(needed.values()), spare[::-1]

    def _change(self, size: Resources, sign: int) -> None:
        self._cpu += sign * size.cpu
        self._memory_mb += sign * size.memory_mb
        self._accelerators += sign * size.accelerators


class ExpectedRoom:
    """The room that the runs of a pool are expected to leave by themselves.

    It is given to steps in their order and is a sum over workers, so it rather overestimates the
    room for large tasks, and fewer runs are stopped.
    """

    def __init__(self, runs: list[PoolRun]) -> None:
        staying = (run for run in runs if not run.leaving)
        self._runs = sorted(staying, key=lambda run: run.remaining_s)
        self._by_label: dict[str, _Room] = {}
        self._taken: dict[str, Amounts] = defaultdict(lambda: (0, 0, 0))

    def take(self, step: StepSpec, count: int) -> None:
        """Gives room that is left at any time to tasks of a step."""
        size = step.reserved
        needed = (size.cpu * count, size.memory_mb * count, size.accelerators * count)
        for label in {step.label, ""}:
            taken = self._taken[label]
            self._taken[label] = tuple(map(sum, zip(taken, needed, strict=True)))

    def take_in_time(self, step: StepSpec, count: int, within_s: float) -> int:
        """Gives room that is left in time to tasks of a step.

        Args:
            step: The step.
            count: Number of tasks.
            within_s: Time in seconds in which the room must be left.

        Returns:
            The number of tasks that get room in this time.
        """
        left = self._room(step.label).left(within_s)
        size = (step.reserved.cpu, step.reserved.memory_mb, step.reserved.accelerators)
        parts = zip(left, self._taken[step.label], size, strict=True)
        fitting = min(((there - used) // part for there, used, part in parts if part), default=0)
        count = max(0, min(count, fitting))
        self.take(step, count)
        return count

    def _room(self, label: str) -> _Room:
        if label not in self._by_label:
            runs = self._runs
            if label:
                runs = [run for run in runs if label in run.available.worker.labels]
            self._by_label[label] = _Room(runs)
        return self._by_label[label]


class _Room:
    """Sums of what runs leave, by time.

    Args:
        runs: The runs, sorted by their remaining time.
    """

    def __init__(self, runs: list[PoolRun]) -> None:
        sizes = [run.step.reserved for run in runs]
        self._times = [run.remaining_s for run in runs]
        self._cpu = list(accumulate((size.cpu for size in sizes), initial=0))
        self._memory = list(accumulate((size.memory_mb for size in sizes), initial=0))
        self._accelerators = list(accumulate((size.accelerators for size in sizes), initial=0))

    def left(self, within_s: float) -> Amounts:
        """Returns the sum of what the runs leave in a time in seconds."""
        number = bisect_right(self._times, within_s)
        return self._cpu[number], self._memory[number], self._accelerators[number]
