"""Bounded queues of one entry: by pool, urgency and team. Pure: time is passed in."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

from geraniumtrack.protocol.messages import Submit

__all__ = ["URGENCIES", "PoolQueue", "QueueBound", "Task", "TaskQueues"]

URGENCIES = ("urgent", "normal", "long")
RESERVED_PART = 0.5  # of a queue's length, divided among teams by share; the rest is lent to all


@dataclass(eq=False, slots=True)
class Task:
    """A request in a queue or on a target. Times are in seconds of the local clock.

    Attributes:
        submit: The request.
        pool: Pool that runs it.
        deadline: When its caller no longer waits.
        queued_at: When it was first queued.
        tried: Targets that another one is preferred to.
        blamed: Targets that it failed on.
        failures: Reason of each failure.
        attempt: Attempt of its claim, once it is claimed.
        placements: How often it was started.
        may_have_run: Whether an earlier placement of it may have run.
        queued: Whether it waits in a queue.
        borrowed: Whether it waits in the lent part of its queue.
    """

    submit: Submit
    pool: str
    deadline: float
    queued_at: float
    tried: list[str] = field(default_factory=list)
    blamed: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    attempt: str = ""
    placements: int = 0
    may_have_run: bool = False
    queued: bool = False
    borrowed: bool = False


class QueueBound:
    """Bound of one declared queue.

    Each team has a reserved part, so that a large team cannot keep a small one out; the lent part
    is open to all. Together they are the declared length.
    """

    def __init__(self) -> None:
        self.by_team: dict[str, int] = {}
        self.borrowed = 0

    def admits(self, team: str, *, length: int, fraction: float) -> bool | None:
        """Tells where a task of a team fits.

        Args:
            team: The task's team.
            length: Declared length of the queue.
            fraction: The team's share as a fraction of all shares.

        Returns:
            False for the reserved part, True for the lent part, None if the queue is full.
        """
        if self.by_team.get(team, 0) < int(length * RESERVED_PART * fraction):
            return False
        lent = length - int(length * RESERVED_PART)
        return True if self.borrowed < lent else None

    def added(self, task: Task) -> None:
        """Counts a task that was queued."""
        team = task.submit.team
        self.by_team[team] = self.by_team.get(team, 0) + 1
        self.borrowed += task.borrowed

    def removed(self, task: Task) -> None:
        """Counts a task that left the queue."""
        self.by_team[task.submit.team] -= 1
        self.borrowed -= task.borrowed


class PoolQueue:
    """Tasks that wait for one pool, first come first served within an urgency and team."""

    def __init__(self) -> None:
        self.lanes: dict[str, dict[str, OrderedDict[Task, None]]] = {u: {} for u in URGENCIES}
        self.lengths = dict.fromkeys(URGENCIES, 0)
        self.by_team: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(self.lengths.values())

    def add(self, task: Task, *, first: bool) -> None:
        """Adds a task at the end, or at the front if it was started before."""
        submit = task.submit
        lane = self.lanes[submit.urgency].setdefault(submit.team, OrderedDict())
        lane[task] = None
        if first:
            lane.move_to_end(task, last=False)
        self.lengths[submit.urgency] += 1
        self.by_team[submit.team] = self.by_team.get(submit.team, 0) + 1

    def remove(self, task: Task) -> None:
        """Removes a task."""
        submit = task.submit
        lanes = self.lanes[submit.urgency]
        del lanes[submit.team][task]
        if not lanes[submit.team]:
            del lanes[submit.team]
        self.lengths[submit.urgency] -= 1
        self.by_team[submit.team] -= 1
        if not self.by_team[submit.team]:
            del self.by_team[submit.team]

    def head(self, urgency: str, team: str) -> Task:
        """Returns the task of a team that has waited longest."""
        return next(iter(self.lanes[urgency][team]))


class TaskQueues:
    """All queues of one entry, with their bounds and deadlines."""

    def __init__(self) -> None:
        self.pools: dict[str, PoolQueue] = {}
        self.by_team: dict[str, int] = {}
        self._bounds: dict[str, QueueBound] = {}
        self._deadlines: list[tuple[float, int, Task]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(self.by_team.values())

    def add(self, task: Task, *, length: int, fraction: float, again: bool = False) -> bool:
        """Queues a task.

        Args:
            task: The task.
            length: Declared length of its queue.
            fraction: Its team's share as a fraction of all shares.
            again: Whether it was queued before; then it goes to the front and is always taken.

        Returns:
            Whether there was room.
        """
        submit = task.submit
        bound = self._bounds.setdefault(submit.queue, QueueBound())
        borrowed = bound.admits(submit.team, length=length, fraction=fraction)
        if borrowed is None and not again:
            return False
        task.borrowed = bool(borrowed)
        task.queued = True
        bound.added(task)
        self.pools.setdefault(task.pool, PoolQueue()).add(task, first=again)
        self.by_team[submit.team] = self.by_team.get(submit.team, 0) + 1
        heapq.heappush(self._deadlines, (task.deadline, next(self._numbers), task))
        return True

    def remove(self, task: Task) -> bool:
        """Removes a task; returns whether it was queued."""
        if not task.queued:
            return False
        task.queued = False
        self.pools[task.pool].remove(task)
        self._bounds[task.submit.queue].removed(task)
        self.by_team[task.submit.team] -= 1
        return True

    def expire(self, now: float) -> list[Task]:
        """Removes and returns the queued tasks whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            task = heapq.heappop(self._deadlines)[2]
            if self.remove(task):
                expired.append(task)
        return expired

    def take_pool(self, pool: str) -> list[Task]:
        """Removes and returns all tasks of a pool, by urgency."""
        queue = self.pools.get(pool)
        if queue is None:
            return []
        found = [task for lanes in queue.lanes.values() for lane in lanes.values() for task in lane]
        for task in found:
            self.remove(task)
        return found
