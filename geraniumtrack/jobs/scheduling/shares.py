"""Divides the room of a pool between teams by weight, among jobs that have not started.

The load: together the teams ask for more than a pool has. The next step placed is the one whose
team has the lowest dominant share divided by its weight once the step runs. The dominant share is
the largest of the team's shares of the processors, memory and accelerators of the pool. Counting
the step itself keeps every team with waiting work within one step of its weighted share. A team
whose share is less than one step would never get one, so a job that is due comes first if its team
uses nothing of the pool.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.estimates import DECLARED, DurationEstimates
from geraniumtrack.jobs.scheduling.occupancy import Occupancy
from geraniumtrack.jobs.scheduling.ordering import DEFAULT_WEIGHT, LASTING, is_due, weights_in_use
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Resources

if TYPE_CHECKING:
    from geraniumtrack.jobs.scheduling.pass_steps import ReadyStep

__all__ = ["TeamShares"]

PoolTeam = tuple[str, str]


class TeamShares:
    """What each team uses of each pool in one scheduling pass.

    Without weights in the configuration, or with `fair_shares` off, `turns` keeps the given order.

    Args:
        state: The replicated state.
        occupancy: What its assigned tasks occupy.
        now: Wall-clock time in seconds.
        policy: Settings of the scheduling policy.
        durations: Estimates by which the declared durations are corrected.

    Attributes:
        enabled: Whether shares decide.
    """

    def __init__(
        self,
        state: JobsState,
        occupancy: Occupancy,
        now: float,
        policy: PolicySettings,
        durations: DurationEstimates = DECLARED,
    ) -> None:
        self._now = now
        self._occupancy = occupancy
        self._durations = durations
        self.enabled = policy.fair_shares and weights_in_use(state.config)
        self._weights: dict[str, float] = {"": DEFAULT_WEIGHT}  # "" stands for public callers
        # Amounts of processors, memory and accelerators.
        self._capacity: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        self._planned: dict[PoolTeam, list[int]] = {}  # used, with what this pass has planned
        if self.enabled:
            self._weights |= {team.name: team.weight for team in state.config.teams}
            for worker in state.workers.values():
                _add(self._capacity[worker.pool], worker.capacity, 1)

    def _used(self, key: PoolTeam) -> list[int]:
        used = self._planned.get(key)
        if used is None:
            used = [0, 0, 0]
            _add(used, self._occupancy.reserved(*key), 1)
            self._planned[key] = used
        return used

    def share(self, pool: str, team: str) -> float:
        """Returns the dominant share of a team in a pool, from 0 to 1."""
        return self._dominant_share(pool, self._used((pool, team)))

    def charge(self, ready_step: ReadyStep, count: int) -> None:
        """Adds planned tasks of a step to the usage of its team."""
        if self.enabled and count:
            key = (ready_step.queue.pool, ready_step.record.job.team)
            _add(self._used(key), ready_step.step.reserved, count)

    def turns(self, ready_steps: Iterable[ReadyStep]) -> Iterator[ReadyStep]:
        """Yields sorted steps in the order in which they are placed.

        Steps of jobs that have not started and whose sort keys differ only in the deadline are
        ordered by share, each team's own by deadline. The caller charges the planned tasks of a
        step before it takes the next one.
        """
        if not self.enabled:
            yield from ready_steps
            return
        groups = itertools.groupby(ready_steps, key=lambda ready_step: ready_step.sort_key[:-1])
        for (order_class, *_, not_started), group in groups:
            if order_class != LASTING and not_started:
                yield from self._by_share(group)
            else:
                yield from group

    def _by_share(self, ready_steps: Iterable[ReadyStep]) -> Iterator[ReadyStep]:
        pending: dict[PoolTeam, deque[ReadyStep]] = defaultdict(deque)
        for ready_step in ready_steps:
            key = (ready_step.queue.pool, ready_step.record.job.team)
            pending[key].append(ready_step)
        heap = [(self._rank(key, items[0]), key) for key, items in pending.items()]
        heapq.heapify(heap)
        while heap:
            _, key = heap[0]
            items = pending[key]
            yield items.popleft()
            if items:
                heapq.heapreplace(heap, (self._rank(key, items[0]), key))
            else:
                heapq.heappop(heap)

    def _rank(self, key: PoolTeam, ready_step: ReadyStep) -> tuple[float, float]:
        """Returns the weighted share of a team with a step of it, and the deadline for ties."""
        pool, team = key
        record, number = ready_step.record, ready_step.occurrence
        deadline = ready_step.sort_key[-1]
        used = list(self._used(key))
        due = not any(used) and is_due(record, ready_step.queue, number, self._now, self._durations)
        if due:
            return 0.0, deadline
        waiting = record.occurrences[number][ready_step.step_number].waiting
        _add(used, ready_step.step.reserved, waiting)
        weight = self._weights.get(team, 0.0)
        share = self._dominant_share(pool, used)
        return share / weight if weight > 0 else math.inf, deadline

    def _dominant_share(self, pool: str, used: list[int]) -> float:
        capacity = self._capacity[pool]
        return max(
            (part / all_ for part, all_ in zip(used, capacity, strict=True) if all_), default=0.0
        )


def _add(amounts: list[int], resources: Resources, count: int) -> None:
    amounts[0] += resources.cpu * count
    amounts[1] += resources.memory_mb * count
    amounts[2] += resources.accelerators * count
