"""Remembers within one scheduling pass which sizes of tasks find no room in a pool.

The load: with a backlog, hundreds of steps wait for a full pool of 150 workers. Asking each worker
for each of them took a third of the owner's processor time, for nothing.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from geraniumtrack.jobs.state.model import Resources

if TYPE_CHECKING:
    from geraniumtrack.jobs.scheduling.pass_steps import ReadyStep
    from geraniumtrack.jobs.scheduling.placement import AvailableWorker

__all__ = ["FullPools"]


class FullPools:
    """The sizes for which no worker of a pool has room, as of one pass.

    Room only shrinks during a pass, except for gangs that don't start; these leave what they found.
    """

    def __init__(self) -> None:
        self._sizes: dict[str, list[Resources]] = defaultdict(list)

    def excludes(self, ready_step: ReadyStep) -> bool:
        """Whether the tasks of a step are at least as large as one that found no room."""
        if ready_step.record.crashed_workers:
            return False  # workers may be reserved for its tasks
        size = ready_step.step.reserved
        return any(full.fits(size) for full in self._sizes[ready_step.queue.pool])

    def record_unplaced(self, ready_step: ReadyStep, pool: list[AvailableWorker]) -> None:
        """Notes a step of which a task was not placed although its team may run it.

        A step that only some workers may run, or that may wait, is noted only if none of the pool's
        workers has that much free. Otherwise it says nothing about other steps.

        Args:
            ready_step: The step.
            pool: Available workers of its pool.
        """
        step = ready_step.step
        restricted = step.label or step.max_per_worker or step.data_rack or step.same_rack
        special = step.gang or ready_step.queue.advised or ready_step.record.crashed_workers
        size = step.reserved
        if (restricted or special) and any(size.fits(available.free) for available in pool):
            return
        self._sizes[ready_step.queue.pool].append(size)
