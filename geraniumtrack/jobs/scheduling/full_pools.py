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
    """The sizes for which no worker of a pool has room, or none with a certain label, in one pass.

    Room only shrinks during a pass, except for gangs that don't start; these leave what they found.
    """

    def __init__(self) -> None:
        # By pool and label; an empty label stands for all workers of the pool.
        self._sizes: dict[tuple[str, str], list[Resources]] = defaultdict(list)

    def excludes(self, ready_step: ReadyStep) -> bool:
        """Whether the tasks of a step are at least as large as one that found no room."""
        if ready_step.record.crashed_workers:
            return False  # workers may be reserved for its tasks
        step, pool = ready_step.step, ready_step.queue.pool
        return any(
            full.fits(step.reserved)
            for label in {"", step.label}
            for full in self._sizes.get((pool, label), ())
        )

    def record_unplaced(self, ready_step: ReadyStep, pool: list[AvailableWorker]) -> None:
        """Notes a step of which a task was not placed although its team may run it.

        A step that may find no place for another reason than room is noted only if none of the
        workers with its label has that much free. Otherwise it says nothing about other steps.

        Args:
            ready_step: The step.
            pool: Available workers of its pool.
        """
        step = ready_step.step
        restricted = step.max_per_worker or step.data_rack or step.same_rack or step.gang
        special = ready_step.queue.advised or ready_step.record.crashed_workers
        size, label = step.reserved, step.label
        if restricted or special:
            able = (item for item in pool if not label or label in item.worker.labels)
            if any(size.fits(item.free) for item in able):
                return
        self._sizes[ready_step.queue.pool, label].append(size)
