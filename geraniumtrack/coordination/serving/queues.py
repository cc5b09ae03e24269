"""Bounded task queues of one entry, by pool, urgency and team.

They do no I/O; time is passed in.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

from geraniumtrack.protocol.messages import Submit

__all__ = ["URGENCIES", "PoolQueue", "QueueBound", "Task", "TaskQueues"]

URGENCIES = ("urgent", "normal", "long")
# Fraction of a queue's length that is reserved for teams in proportion to their shares. All teams
# share the rest.
RESERVED_FRACTION = 0.5


@dataclass(eq=False, slots=True)
class Task:
    """A request that waits in a queue or runs on a target.

    Attributes:
        submit: The request.
        pool: Pool whose targets may run it.
        deadline: Time on the local clock, in seconds, after which its caller no longer waits.
        queued_at: Time on the local clock, in seconds, at which it was first queued.
        tried: Targets that failed it or did not start it; it is placed on other targets first.
        failed_targets: Targets on which it failed.
        failure_reasons: Reason of each failure.
        attempt: Id of the attempt that holds its claim; empty before it is claimed.
        placements: Number of times it was placed on a target.
        may_have_run: Whether an earlier placement may have run it.
        queued: Whether it is in a queue.
        in_shared_part: Whether it occupies the shared part of its queue, not its team's reserve.
    """

    submit: Submit
    pool: str
    deadline: float
    queued_at: float
    tried: list[str] = field(default_factory=list)
    failed_targets: list[str] = field(default_factory=list)
    failure_reasons: list[str] = field(default_factory=list)
    attempt: str = ""
    placements: int = 0
    may_have_run: bool = False
    queued: bool = False
    in_shared_part: bool = False


class QueueBound:
    """Limits the number of tasks in one declared queue.

    Each team has a reserved part, so that a large team cannot crowd out a small one. The shared
    part is open to all teams. Together the parts are at most the declared length.
    """

    def __init__(self) -> None:
        self.by_team: dict[str, int] = {}
        self.shared_used = 0

    def find_part(self, team: str, *, length: int, fraction: float) -> bool | None:
        """Finds the part of the queue that has room for a task of a team.

        Args:
            team: The task's team.
            length: Declared length of the queue.
            fraction: The team's share as a fraction of all shares.

        Returns:
            False if the team's reserved part has room, else True if the shared part has room, else
            None: the task is not admitted.
        """
        if self.by_team.get(team, 0) < int(length * RESERVED_FRACTION * fraction):
            return False
        shared = length - int(length * RESERVED_FRACTION)
        return True if self.shared_used < shared else None

    def count_added(self, task: Task) -> None:
        """Counts a task that joined the queue."""
        team = task.submit.team
        self.by_team[team] = self.by_team.get(team, 0) + 1
        self.shared_used += task.in_shared_part

    def count_removed(self, task: Task) -> None:
        """Counts a task that left the queue."""
        self.by_team[task.submit.team] -= 1
        self.shared_used -= task.in_shared_part


class PoolQueue:
    """Tasks that wait for one pool, in FIFO order within an urgency and team.

    Attributes:
        lanes: Tasks by urgency and team, oldest first.
        lengths: Number of tasks by urgency.
        by_team: Number of tasks by team.
    """

    def __init__(self) -> None:
        self.lanes: dict[str, dict[str, OrderedDict[Task, None]]] = {u: {} for u in URGENCIES}
        self.lengths = dict.fromkeys(URGENCIES, 0)
        self.by_team: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(self.lengths.values())

    def add(self, task: Task, *, at_front: bool) -> None:
        """Adds a task at the end of its lane, or at the front if it was in the queue before."""
        submit = task.submit
        lane = self.lanes[submit.urgency].setdefault(submit.team, OrderedDict())
        lane[task] = None
        if at_front:
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
        """Returns the first task in a team's lane."""
        return next(iter(self.lanes[urgency][team]))


class TaskQueues:
    """All queues of one entry, with their length limits and deadlines.

    Attributes:
        pools: Queue of each pool.
        by_team: Number of queued tasks by team.
    """

    def __init__(self) -> None:
        self.pools: dict[str, PoolQueue] = {}
        self.by_team: dict[str, int] = {}
        self._bounds: dict[str, QueueBound] = {}
        self._deadlines: list[tuple[float, int, Task]] = []
        self._insertion_numbers = itertools.count()

    def __len__(self) -> int:
        return sum(self.by_team.values())

    def add(self, task: Task, *, length: int, fraction: float, requeued: bool = False) -> bool:
        """Queues a task.

        Args:
            task: The task.
            length: Declared length of its queue.
            fraction: Its team's share as a fraction of all shares.
            requeued: Whether it was queued before. Such a task goes to the front and is admitted
                even if the queue is full.

        Returns:
            Whether the task was queued.
        """
        submit = task.submit
        bound = self._bounds.setdefault(submit.queue, QueueBound())
        in_shared_part = bound.find_part(submit.team, length=length, fraction=fraction)
        if in_shared_part is None and not requeued:
            return False
        task.in_shared_part = bool(in_shared_part)
        task.queued = True
        bound.count_added(task)
        self.pools.setdefault(task.pool, PoolQueue()).add(task, at_front=requeued)
        self.by_team[submit.team] = self.by_team.get(submit.team, 0) + 1
        heapq.heappush(self._deadlines, (task.deadline, next(self._insertion_numbers), task))
        return True

    def remove(self, task: Task) -> bool:
        """Removes a task; returns whether it was queued."""
        if not task.queued:
            return False
        task.queued = False
        self.pools[task.pool].remove(task)
        self._bounds[task.submit.queue].count_removed(task)
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

    def pop_pool(self, pool: str) -> list[Task]:
        """Removes and returns all tasks of a pool, in order of urgency."""
        queue = self.pools.get(pool)
        if queue is None:
            return []
        tasks = [task for lanes in queue.lanes.values() for lane in lanes.values() for task in lane]
        for task in tasks:
            self.remove(task)
        return tasks
