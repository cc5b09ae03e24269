"""When slots on the workers of a rack become free, for tasks that may wait for one.

A worker's free resources over time are what is free now, plus what its runs release at their
expected ends, less the slots that waiting tasks expect to take. The estimates hold for one pass.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple, Protocol

from geraniumtrack.jobs.scheduling.placement import AvailableWorker, StepKey
from geraniumtrack.jobs.state.model import NO_RESOURCES, Resources, StepSpec

__all__ = [
    "Arrival",
    "CapacityForecast",
    "ExpectedEnd",
    "ExpectedSlot",
    "NoForecast",
    "SlotRequest",
    "WorkerSlots",
    "expected_slots",
]

_RELEASE, _CLAIM = range(2)  # at the same time, releases come before claims


class ExpectedEnd(NamedTuple):
    """The expected end of a run: in how many seconds, and the resources that it releases."""

    in_s: float
    freed: Resources


class Arrival(NamedTuple):
    """An instance in transit to a pool, and in how many seconds it is expected there."""

    rack: str
    in_s: float
    capacity: Resources
    labels: tuple[str, ...]


class CapacityForecast(Protocol):
    """What the owner knows about capacity that becomes free."""

    def seconds(self) -> float:
        """Returns the time in seconds of a monotonic clock."""

    def run_ends(self, worker_id: str) -> list[ExpectedEnd]:
        """Returns the expected ends of a worker's runs; runs that don't end are left out."""

    def arrivals(self, pool: str) -> list[Arrival]:
        """Returns the instances in transit to a pool."""

    def duration_s(self, queue: str, step: StepSpec) -> float:
        """Returns the expected duration in seconds of a task of a queue, where its data is."""


class NoForecast:
    """Knows the declared durations only, so that nothing waits."""

    def seconds(self) -> float:
        """Returns 0.0; without expected slots there are no waits to measure."""
        return 0.0

    def run_ends(self, worker_id: str) -> list[ExpectedEnd]:
        """Returns no ends."""
        return []

    def arrivals(self, pool: str) -> list[Arrival]:
        """Returns no instances."""
        return []

    def duration_s(self, queue: str, step: StepSpec) -> float:
        """Returns the declared duration in seconds."""
        return step.estimate_s


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A slot for one task of a step.

    Attributes:
        step: The step.
        key: Job, occurrence and number of the step.
        duration_s: Expected duration of the task in seconds on a worker of normal speed.
        max_slowdown: Workers that are slower by this factor offer no slot.
        hold_s: Time in seconds for which the slot is taken. It is infinite while slots for a gang
            are looked for, as its members need them all at the same time.
    """

    step: StepSpec
    key: StepKey
    duration_s: float
    max_slowdown: float
    hold_s: float


class WorkerSlots:
    """The free resources of a worker, or of an instance in transit, over the next seconds.

    Args:
        available: The worker with what is free now, or None for an instance in transit.
        ends: Returns the expected ends of its runs; for an instance in transit, its arrival. It is
            called when the first slot is looked for.
        labels: Its labels.
    """

    def __init__(
        self,
        available: AvailableWorker | None,
        ends: Callable[[], Iterable[ExpectedEnd]],
        labels: tuple[str, ...],
    ) -> None:
        self.available = available
        self._labels = labels
        self._ends = ends
        self._claimed: Counter[StepKey] = Counter()
        self._cache: dict[tuple[Resources, float], tuple[Resources, float]] = {}

    @cached_property
    def _changes(self) -> list[tuple[float, int, int, int, int]]:
        """Rows of time in seconds, kind, and the changes of the three resources, sorted."""
        return sorted(_release(end) for end in self._ends())

    @property
    def slowdown(self) -> float:
        """How many times as long as normal the worker takes."""
        return self.available.speed.slowdown if self.available is not None else 1.0

    @property
    def free(self) -> Resources:
        """Resources that are free now."""
        return self.available.free if self.available is not None else NO_RESOURCES

    def freed_cpu(self, within_s: float) -> int:
        """Returns the thousandths of a core that are free now or released in time."""
        released = (row[2] for row in self._changes if row[0] <= within_s) if within_s else ()
        return self.free.cpu + sum(released)

    def suits(self, request: SlotRequest) -> bool:
        """Whether a task that waits may expect a slot here at all."""
        step, available = request.step, self.available
        if step.label and step.label not in self._labels:
            return False
        tasks = self._claimed[request.key]
        if available is not None:
            tasks += available.tasks[request.key]
            if available.reserved_for is not None or available.isolated:
                return False
            # Placement uses these only where no other worker has room.
            if available.last_run_failed or available.speed.probe_only:
                return False
        return self.slowdown < request.max_slowdown and not 0 < step.max_per_worker <= tasks

    def places_now(self, request: SlotRequest) -> int:
        """Returns how many tasks could start here now."""
        size, free = request.step.reserved, self.free
        if self.available is None or not size.fits(free) or not self.suits(request):
            return 0
        pairs = (
            (free.cpu, size.cpu),
            (free.memory_mb, size.memory_mb),
            (free.accelerators, size.accelerators),
        )
        places = min((have // need for have, need in pairs if need), default=request.step.count)
        if request.step.max_per_worker:
            left = request.step.max_per_worker - self.available.tasks[request.key]
            places = min(places, left)
        return places

    def wait_s(self, request: SlotRequest) -> float:
        """Returns in how many seconds a slot is free for the whole task, infinity if never."""
        if not self.suits(request):
            return math.inf
        key = (request.step.reserved, request.hold_s)
        cached = self._cache.get(key)
        if cached is None or cached[0] is not self.free:
            cached = (self.free, self._first_fit(*key))
            self._cache[key] = cached
        return cached[1]

    def _first_fit(self, size: Resources, hold_s: float) -> float:
        cpu, memory, accelerators = size.cpu, size.memory_mb, size.accelerators
        free = self.free
        has_cpu, has_memory, has_accelerators = free.cpu, free.memory_mb, free.accelerators
        fits = size.fits(free)
        found, needed_until = 0.0, hold_s * self.slowdown
        for at, _, more_cpu, more_memory, more_accelerators in self._changes:
            if fits and at >= needed_until:
                break
            has_cpu += more_cpu
            has_memory += more_memory
            has_accelerators += more_accelerators
            now_fits = cpu <= has_cpu and memory <= has_memory and accelerators <= has_accelerators
            if now_fits and not fits:
                found, needed_until = at, at + hold_s * self.slowdown
            fits = now_fits
        return found if fits else math.inf

    def claim(self, request: SlotRequest, at_s: float) -> None:
        """Takes the slot that is free in `at_s` seconds for a task that waits for it."""
        size = request.step.reserved
        insort(
            self._changes, (at_s, _CLAIM, -size.cpu, -size.memory_mb, -size.accelerators), key=_time
        )
        self.add_end(ExpectedEnd(at_s + request.hold_s * self.slowdown, size))
        self._claimed[request.key] += 1

    def add_end(self, end: ExpectedEnd) -> None:
        """Adds the expected end of a run that is planned in this pass."""
        insort(self._changes, _release(end), key=_time)
        self._cache.clear()

    def unclaim(self, request: SlotRequest, at_s: float) -> None:
        """Undoes a claim of the same request and time."""
        size = request.step.reserved
        self._changes.remove((at_s, _CLAIM, -size.cpu, -size.memory_mb, -size.accelerators))
        end = ExpectedEnd(at_s + request.hold_s * self.slowdown, size)
        self._changes.remove(_release(end))
        self._claimed[request.key] -= 1
        self._cache.clear()


def _release(end: ExpectedEnd) -> tuple[float, int, int, int, int]:
    freed = end.freed
    return end.in_s, _RELEASE, freed.cpu, freed.memory_mb, freed.accelerators


def _time(row: tuple) -> tuple[float, int]:
    return row[0], row[1]


@dataclass(frozen=True, slots=True)
class ExpectedSlot:
    """A slot that is claimed for a waiting task.

    Attributes:
        wait_s: Time in seconds until it is free.
        done_s: Time in seconds until the task is done there.
        slots: Where it is.
        request: The claim.
    """

    wait_s: float
    done_s: float
    slots: WorkerSlots = field(repr=False)
    request: SlotRequest = field(repr=False)

    def claim(self) -> None:
        """Takes the slot."""
        self.slots.claim(self.request, self.wait_s)

    def unclaim(self) -> None:
        """Gives the slot back."""
        self.slots.unclaim(self.request, self.wait_s)


def expected_slots(
    rack: Iterable[WorkerSlots], request: SlotRequest, count: int
) -> list[ExpectedSlot]:
    """Returns the first slots on a rack for some tasks of a step, at most `count`, in their order.

    The slots are not claimed.

    Args:
        rack: The workers of the rack.
        request: What each task needs.
        count: Number of tasks.
    """
    found: list[ExpectedSlot] = []
    workers = list(rack)
    for _ in range(count):
        waits = [slots.wait_s(request) for slots in workers]
        rows = (
            (wait_s + request.duration_s * workers[number].slowdown, number)
            for number, wait_s in enumerate(waits)
            if wait_s < math.inf
        )
        done_s, number = min(rows, default=(math.inf, 0))
        if done_s == math.inf:
            break
        best = ExpectedSlot(waits[number], done_s, workers[number], request)
        found.append(best)
        if len(found) < count:
            best.claim()
    for slot in found[: count - 1]:
        slot.unclaim()
    return found
