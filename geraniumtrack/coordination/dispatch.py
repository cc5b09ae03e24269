"""Dispatch of queued requests to the slots of targets. Pure: time is passed in."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from geraniumtrack.coordination.membership import TargetTable
from geraniumtrack.protocol.messages import Submit
from geraniumtrack.sentinels import Absent
from geraniumtrack.state.view import ConfigView

__all__ = ["Dispatcher", "Start", "Task"]

URGENCIES = ("urgent", "normal", "long")


@dataclass(eq=False, slots=True)
class Task:
    """A request in a queue or on a target."""

    submit: Submit
    pool: str
    deadline: float
    queued_at: float
    tried: list[str] = field(default_factory=list)
    attempt: str = ""  # of its claim, once it is claimed


class Start(NamedTuple):
    """A task is to start on a target, whose slot is now taken."""

    task: Task
    target: str
    address: str


class Dispatcher:
    """Queues and slots of the targets that one entry dispatches to.

    Args:
        data_centre: The entry's data centre; only its targets are used.
        view: Configuration view.
        targets: Membership of targets.
    """

    def __init__(self, *, data_centre: str, view: ConfigView, targets: TargetTable) -> None:
        self._data_centre = data_centre
        self._view = view
        self._targets = targets
        self._queues: dict[tuple[str, str], deque[Task]] = {}
        self._busy: dict[str, int] = {}
        self._running_in: Counter[str] = Counter()
        self.running: dict[str, int] = {}

    def enqueue(self, task: Task) -> Absent | None:
        """Queues a task, or returns a sentinel with reason `queue_full`."""
        queue = self._queues.setdefault((task.pool, task.submit.urgency), deque())
        limit = self._view.sections["queues"][task.submit.queue].max_length
        if len(queue) >= limit:
            return Absent("queue_full", f"{limit} requests wait already; retry later")
        queue.append(task)
        return None

    def expire(self, now: float) -> list[Task]:
        """Removes and returns the queued tasks whose deadline has passed."""
        expired = []
        for key, queue in self._queues.items():
            late = [task for task in queue if task.deadline <= now]
            if late:
                expired += late
                self._queues[key] = deque(task for task in queue if task.deadline > now)
        return expired

    def cancel(self, task: Task) -> bool:
        """Removes a queued task; returns whether it was queued."""
        queue = self._queues.get((task.pool, task.submit.urgency))
        if queue is None or task not in queue:
            return False
        queue.remove(task)
        return True

    def starts(self, now: float, *, allotments: dict[str, int]) -> list[Start]:
        """Takes slots for as many tasks as may start now.

        Args:
            now: Clock value in seconds.
            allotments: Tasks that each team may run through this entry; empty without a session.
        """
        if not self._view.in_service(self._data_centre):
            return []
        started = []
        for urgency in URGENCIES:
            for (pool, key_urgency), queue in self._queues.items():
                if key_urgency == urgency:
                    started += self._drain_queue(pool, queue, now, allotments)
        return started

    def finished(self, start: Start) -> None:
        """Frees the slot of a task that ended."""
        self._busy[start.target] -= 1
        self._running_in[start.task.pool] -= 1
        team = start.task.submit.team
        self.running[team] = self.running.get(team, 0) - 1

    def wanted(self) -> dict[str, int]:
        """Returns the tasks that each team runs or has queued here."""
        wanted = {team: count for team, count in self.running.items() if count and team}
        for queue in self._queues.values():
            for task in queue:
                team = task.submit.team
                if team:
                    wanted[team] = wanted.get(team, 0) + 1
        return wanted

    def busy_on(self, target: str) -> int:
        """Returns the slots taken on a target."""
        return self._busy.get(target, 0)

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns queued and running tasks by pool."""
        queued: Counter[str] = Counter()
        for (pool, _), queue in self._queues.items():
            queued[pool] += len(queue)
        pools = {*queued, *self._running_in}
        return {pool: (queued[pool], self._running_in[pool]) for pool in pools}

    def _drain_queue(
        self, pool: str, queue: deque[Task], now: float, allotments: dict[str, int]
    ) -> list[Start]:
        started: list[Start] = []
        kept: deque[Task] = deque()
        while queue:
            task = queue.popleft()
            start = self._try_start(task, pool, now, allotments)
            if start is None:
                kept.append(task)
            else:
                started.append(start)
        queue.extend(kept)
        return started

    def _try_start(
        self, task: Task, pool: str, now: float, allotments: dict[str, int]
    ) -> Start | None:
        team = task.submit.team
        if team and self.running.get(team, 0) >= allotments.get(team, 0):
            return None
        target = self._free_target(pool, now, task.tried)
        if target is None:
            return None
        name, address = target
        self._busy[name] = self._busy.get(name, 0) + 1
        self.running[team] = self.running.get(team, 0) + 1
        self._running_in[pool] += 1
        return Start(task, name, address)

    def _free_target(self, pool: str, now: float, tried: list[str]) -> tuple[str, str] | None:
        best = None
        for known in self._targets.all():
            said = known.announcement
            instance = self._view.instance(said.name)
            if instance is None or instance.pool != pool or said.data_centre != self._data_centre:
                continue
            # A target that announces from elsewhere than recorded may be a second instance.
            if not instance.takes_work or instance.data_centre != said.data_centre:
                continue
            if known.state(now) != "alive" or said.name in tried:
                continue
            free = said.slots - self._busy.get(said.name, 0)
            if free > 0 and (best is None or free > best[0]):
                best = (free, said.name, said.address)
        return best[1:] if best is not None else None
