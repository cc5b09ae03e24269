"""The expected slots of all pools in one scheduling pass, computed only where a step asks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import cached_property, partial
from typing import TYPE_CHECKING

from geraniumtrack.jobs.scheduling.placement import AvailableWorker
from geraniumtrack.jobs.scheduling.rack_slots import CapacityForecast, ExpectedEnd, WorkerSlots
from geraniumtrack.jobs.state.jobs_state import JobsState

if TYPE_CHECKING:
    from geraniumtrack.jobs.scheduling.pass_steps import ReadyStep

__all__ = ["PassSlots"]

SlotsByRack = Mapping[str, list[WorkerSlots]]


class PassSlots:
    """The expected slots of one scheduling pass.

    Args:
        state: Returns the replicated state.
        forecast: What is known about capacity that becomes free.
        workers: Available workers by pool.
    """

    def __init__(
        self,
        state: Callable[[], JobsState],
        forecast: CapacityForecast,
        workers: Mapping[str, list[AvailableWorker]],
    ) -> None:
        self._state = state
        self._forecast = forecast
        self._workers = workers
        self._slots: dict[str, WorkerSlots] = {}
        self._planned: dict[str, list[ExpectedEnd]] = defaultdict(list)
        self._pools: dict[str, SlotsByRack] = {}

    @cached_property
    def least_slowdown(self) -> float:
        """Slowdown of the fastest worker."""
        items = (item for pool in self._workers.values() for item in pool)
        return min((item.speed.slowdown for item in items), default=1.0)

    def by_rack(self, ready_step: ReadyStep, pool: list[AvailableWorker]) -> SlotsByRack:
        """Returns the slots for a step by rack, with instances in transit last.

        Args:
            ready_step: The step.
            pool: Available workers that may run it.
        """
        queue = ready_step.queue
        if queue.advised:  # the policy service has allowed some workers, and none in transit
            return self._group(pool)
        if queue.pool not in self._pools:
            found = self._group(pool)
            for rack, slots in self._arrivals(queue.pool):
                found[rack].append(slots)
            self._pools[queue.pool] = found
        return self._pools[queue.pool]

    def add_end(self, worker_id: str, end: ExpectedEnd) -> None:
        """Adds the expected end of a run that is planned in this pass."""
        if worker_id in self._slots:
            self._slots[worker_id].add_end(end)
        self._planned[worker_id].append(end)

    def _group(self, pool: list[AvailableWorker]) -> dict[str, list[WorkerSlots]]:
        found: dict[str, list[WorkerSlots]] = defaultdict(list)
        for available in pool:
            worker = available.worker
            slots = self._slots.get(worker.id)
            if slots is None:
                slots = WorkerSlots(available, partial(self._ends, worker.id), worker.labels)
                self._slots[worker.id] = slots
            found[worker.rack].append(slots)
        return found

    def _ends(self, worker_id: str) -> list[ExpectedEnd]:
        return [*self._forecast.run_ends(worker_id), *self._planned[worker_id]]

    def _arrivals(self, pool: str) -> list[tuple[str, WorkerSlots]]:
        """Returns rack and slots of the instances in transit to a pool.

        Those to a lost rack are left out: it has workers, and none of them is usable.
        """
        usable = {item.worker.rack for items in self._workers.values() for item in items}
        lost = {worker.rack for worker in self._state().workers.values()} - usable
        return [
            (
                arrival.rack,
                WorkerSlots(
                    None,
                    partial(list, [ExpectedEnd(arrival.in_s, arrival.capacity)]),
                    arrival.labels,
                ),
            )
            for arrival in self._forecast.arrivals(pool)
            if arrival.rack not in lost
        ]
