"""Dispatch of queued requests to the slots of targets. Pure: time is passed in.

Urgent work goes before normal and normal before long work; within an urgency the team with the
lowest usage per share is next. A team that used much more than its share gives way with its urgent
work too, since otherwise it could take a full pool by calling all its work urgent. Long work has a
guaranteed part of the slots.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from geraniumtrack.coordination.membership import TargetTable
from geraniumtrack.coordination.quarantine import Quarantine
from geraniumtrack.coordination.queues import URGENCIES, PoolQueue, Task, TaskQueues
from geraniumtrack.coordination.shares import ShareTable
from geraniumtrack.protocol.messages import PoolLoad
from geraniumtrack.sentinels import Absent
from geraniumtrack.state.records import Instance
from geraniumtrack.state.view import ConfigView

__all__ = ["DispatchPolicy", "Dispatcher", "Start", "Task"]

RUN_TIME_WEIGHT = 0.05  # of a new observation in a pool's mean run time
KNOWN_AFTER = 20  # ended tasks before a pool's mean run time is trusted
REBUILD_S = 1.0  # targets skipped at a start are looked at again after this time
MAX_WAIT_S = 24 * 3600.0  # reported for a pool without slots
FULL_PAUSE_S = 0.2  # a target that refused a task for lack of a slot gets nothing for this time


@dataclass(frozen=True)
class DispatchPolicy:
    """Parts of the slots, and what `bench.policy` turns off for its baselines.

    Attributes:
        long_min: Part of a pool's slots that waiting long work gets before other work.
        excess: How far, as a part, a team's usage per share may exceed that of a team with less
            urgent work before its urgent work no longer goes first.
        fair: Whether teams are ordered by shares, or else by arrival.
        early_refusal: Whether requests that cannot start before their deadline are refused.
    """

    long_min: float = 0.1
    excess: float = 0.5
    fair: bool = True
    early_refusal: bool = True


class Start(NamedTuple):
    """A task is to start on a target, whose slot is now taken."""

    task: Task
    target: str
    address: str
    at: float = 0.0


@dataclass(slots=True)
class _PoolState:
    """Targets of one pool by number of free slots, and what runs on them."""

    targets: dict[str, Any] = field(default_factory=dict)
    free: dict[int, OrderedDict[str, None]] = field(default_factory=dict)
    slots: int = 0
    stamp: tuple[int, int] = (-1, -1, -1)
    built_at: float = float("-inf")
    running: int = 0
    running_long: int = 0
    run_time: float = 0.1
    ended: int = 0


class Dispatcher:
    """Queues and slots of the targets that one entry dispatches to.

    Args:
        data_centre: The entry's data centre; only its targets are used.
        view: Configuration view.
        targets: Membership of targets.
        policy: Parts of the slots.
        shares: Usage of teams.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        view: ConfigView,
        targets: TargetTable,
        policy: DispatchPolicy | None = None,
        shares: ShareTable | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._view = view
        self._targets = targets
        self._policy = policy or DispatchPolicy()
        self._queues = TaskQueues()
        self._pools: dict[str, _PoolState] = {}
        self._busy: dict[str, int] = {}
        self._paused: dict[str, float] = {}
        self._by_pool: dict[str, list[str]] = {}
        self._by_pool_stamp = (-1, -1, -1)
        self._shares_stamp = -1
        self._team_shares: dict[str, float] = {}
        self._share_sum = 1.0
        self.shares = shares or ShareTable()
        self.quarantine = Quarantine(view=view, targets=targets)
        self.running: dict[str, int] = {}

    def enqueue(
        self, task: Task, *, now: float | None = None, allotment: int | None = None
    ) -> Absent | None:
        """Queues a task.

        Args:
            task: The task.
            now: Clock value in seconds; without it the deadline is not checked.
            allotment: Tasks that its team may run here, if known.

        Returns:
            None, or a sentinel with reason `queue_full` or `deadline`.
        """
        state = self._pool(task.pool)
        if now is not None:
            late = self._too_late(task, state, now, allotment)
            if late is not None:
                return late
        return self._add(task, again=False)

    def requeue(self, task: Task) -> None:
        """Puts a task that a target did not run back to the front of its queue."""
        self._add(task, again=True)

    def expire(self, now: float) -> list[Task]:
        """Removes and returns the queued tasks whose deadline has passed."""
        return self._queues.expire(now)

    def cancel(self, task: Task) -> bool:
        """Removes a queued task; returns whether it was queued."""
        return self._queues.remove(task)

    def take_pool(self, pool: str) -> list[Task]:
        """Removes and returns all queued tasks of a pool, to move them elsewhere."""
        return self._queues.take_pool(pool)

    def queued_pools(self) -> list[str]:
        """Returns the pools that tasks wait for."""
        return [pool for pool, queue in self._queues.pools.items() if len(queue)]

    def has_untried(self, task: Task, now: float) -> bool:
        """Whether the pool of a task has a usable target here that it has not been on."""
        names = self._refreshed(task.pool, now).targets
        return any(
            name not in task.tried
            and not self.quarantine.held(name)
            and self._usable(task.pool, name, now)
            for name in names
        )

    def has_targets(self, pool: str, now: float) -> bool:
        """Whether this data centre has usable targets of a pool."""
        return self._refreshed(pool, now).slots > 0

    def starts(
        self,
        now: float,
        *,
        allotments: dict[str, int],
        may_dispatch: Callable[[str], bool] = lambda pool: True,
        ramp: float = 1.0,
    ) -> list[Start]:
        """Takes slots for as many tasks as may start now.

        Args:
            now: Clock value in seconds.
            allotments: Tasks that each team may run through this entry; empty without a session.
            may_dispatch: Whether this entry dispatches to a pool.
            ramp: Part of the slots that may be used, while the data centre returns to service.
        """
        if not self._view.in_service(self._data_centre):
            return []
        started: list[Start] = []
        for pool, queue in self._queues.pools.items():
            if len(queue) and may_dispatch(pool):
                started += self._start_pool(pool, queue, now, allotments, ramp)
        return started

    def finished(self, start: Start, now: float | None = None) -> None:
        """Frees the slot of a task that ended."""
        now = start.at if now is None else now
        task = start.task
        team = task.submit.team
        self.running[team] -= 1
        state = self._pools[task.pool]
        state.running -= 1
        state.running_long -= task.submit.urgency == "long"
        ran_s = max(0.0, now - start.at)
        state.run_time += RUN_TIME_WEIGHT * (ran_s - state.run_time)
        state.ended += 1
        self.shares.ended(task.pool, team, now, ran_s)
        if not self._waiting(task.pool):
            self.shares.set_contended(task.pool, False, now)
        self._set_busy(state, start.target, self._busy[start.target] - 1)

    def pause(self, target: str, now: float) -> None:
        """Starts nothing for a moment on a target that refused a task for lack of a slot."""
        self._paused[target] = now + FULL_PAUSE_S

    def wanted(self) -> dict[str, int]:
        """Returns the tasks that each team could run here: running, and queued up to the slots."""
        wanted = {team: count for team, count in self.running.items() if count and team}
        for pool, queue in self._queues.pools.items():
            slots = self._pool(pool).slots
            for team, count in queue.by_team.items():
                if team:
                    wanted[team] = wanted.get(team, 0) + min(count, slots)
        return wanted

    def busy_on(self, target: str) -> int:
        """Returns the slots taken on a target."""
        return self._busy.get(target, 0)

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns queued and running tasks by pool."""
        return {pool: (self._waiting(pool), state.running) for pool, state in self._pools.items()}

    def loads(self, now: float, pools: list[str], *, keyed: bool = True) -> dict[str, PoolLoad]:
        """Returns the load of each pool that has slots or queued tasks here."""
        found = {}
        for pool in pools:
            state = self._refreshed(pool, now)
            if state.slots or self._waiting(pool):
                wait_s = min(self.expected_wait(pool, now), MAX_WAIT_S)
                found[pool] = PoolLoad(
                    slots=state.slots,
                    running=state.running,
                    queued=self._waiting(pool),
                    wait_ms=round(wait_s * 1000),
                    run_time_ms=round(state.run_time * 1000),
                    keyed=keyed,
                )
        return found

    def expected_wait(self, pool: str, now: float) -> float:
        """Returns the time in seconds until a task that arrives now would start."""
        state = self._refreshed(pool, now)
        if not state.slots:
            return float("inf")
        ahead = state.running + self._waiting(pool) - state.slots + 1
        return max(0, ahead) * state.run_time / state.slots

    def _add(self, task: Task, *, again: bool) -> Absent | None:
        submit = task.submit
        queue = self._view.sections["queues"].get(submit.queue)
        length = queue.max_length if queue is not None else 0
        self._refresh_shares()
        fraction = self._team_shares.get(submit.team, 1.0) / self._share_sum
        if self._queues.add(task, length=length, fraction=fraction, again=again):
            return None
        return Absent("queue_full", f"{length} requests may wait; retry later")

    def _too_late(
        self, task: Task, state: _PoolState, now: float, allotment: int | None
    ) -> Absent | None:
        if not self._policy.early_refusal or state.ended < KNOWN_AFTER or not state.slots:
            return None
        wait = self._wait_of(task, state, allotment)
        if now + wait <= task.deadline:
            return None
        return Absent("deadline", f"a slot is expected in {wait:.1f} s, after the deadline")

    def _wait_of(self, task: Task, state: _PoolState, allotment: int | None) -> float:
        """Least wait that a task can expect: only work that goes before it counts."""
        queue = self._queues.pools.get(task.pool)
        if queue is None or not len(queue):
            return 0.0
        submit = task.submit
        ahead = sum(queue.lengths[u] for u in URGENCIES[: URGENCIES.index(submit.urgency)])
        lanes = queue.lanes[submit.urgency]
        own = len(lanes.get(submit.team, ()))
        shares = sum(self._team_shares.get(team, 1.0) for team in lanes if team != submit.team)
        own_share = self._team_shares.get(submit.team, 1.0)
        ahead += min(queue.lengths[submit.urgency], own * (own_share + shares) / own_share)
        wait = ahead * state.run_time / state.slots
        if allotment:
            wait = max(wait, own * state.run_time / min(allotment, state.slots))
        return wait

    def _start_pool(
        self, pool: str, queue: PoolQueue, now: float, allotments: dict[str, int], ramp: float
    ) -> list[Start]:
        state = self._refreshed(pool, now)
        limit = state.slots if ramp >= 1 else max(1, int(state.slots * ramp))
        started: list[Start] = []
        passed_over: list[Task] = []
        full = False
        while len(queue):
            task = self._next_task(state, queue, allotments, now)
            if task is None:
                break
            target = self._choose_target(state, task, now) if state.running < limit else None
            if target is not None:
                started.append(self._start(state, task, target, now))
            elif task.tried and state.running < limit:
                # It waits for a target that it has not failed on; others need not wait with it.
                self._queues.remove(task)
                passed_over.append(task)
            else:
                full = True
                break
        for task in reversed(passed_over):
            self.requeue(task)
        self.shares.set_contended(pool, full and self._several_teams(pool, queue), now)
        return started

    def _several_teams(self, pool: str, queue: PoolQueue) -> bool:
        first = next(iter(queue.by_team))
        return len(queue.by_team) > 1 or self.shares.others_run(pool, first)

    def _next_task(
        self, state: _PoolState, queue: PoolQueue, allotments: dict[str, int], now: float
    ) -> Task | None:
        first: tuple[str, str] | None = None
        for urgency in self._order(state, queue):
            teams = self._startable(queue, urgency, allotments)
            if not teams:
                continue
            team = self._next_team(queue, urgency, teams, now)
            if first is None:
                first = (urgency, team)
                if not self._policy.fair or self._policy.excess == math.inf:
                    break
            elif self._exceeds(first[1], team, now):
                first = (urgency, team)
        return queue.head(*first) if first is not None else None

    def _startable(self, queue: PoolQueue, urgency: str, allotments: dict[str, int]) -> list[str]:
        running = self.running
        return [
            team
            for team in queue.lanes[urgency]
            if not team or running.get(team, 0) < allotments.get(team, 0)
        ]

    def _exceeds(self, team: str, other: str, now: float) -> bool:
        """Whether a team has used so much more that its urgent work must wait for the other's."""
        shares = self._team_shares
        used = self.shares.rank(team, shares.get(team, 1.0), now)
        return used > (1 + self._policy.excess) * self.shares.rank(
            other, shares.get(other, 1.0), now
        )

    def _order(self, state: _PoolState, queue: PoolQueue) -> tuple[str, ...]:
        if not queue.lengths["long"]:
            return URGENCIES
        policy = self._policy
        least = max(1, int(state.slots * policy.long_min)) if policy.long_min else 0
        if state.running_long < least:
            return ("long", "urgent", "normal")
        return URGENCIES

    def _next_team(self, queue: PoolQueue, urgency: str, teams: list[str], now: float) -> str:
        if len(teams) == 1:
            return teams[0]
        if not self._policy.fair:
            return min(teams, key=lambda team: queue.head(urgency, team).queued_at)
        self._refresh_shares()
        return self.shares.lowest(teams, self._team_shares, now)

    def _start(self, state: _PoolState, task: Task, target: str, now: float) -> Start:
        self._queues.remove(task)
        submit = task.submit
        team = submit.team
        self.running[team] = self.running.get(team, 0) + 1
        state.running += 1
        state.running_long += submit.urgency == "long"
        task.placements += 1
        self.shares.started(task.pool, team, now)
        self._set_busy(state, target, self._busy.get(target, 0) + 1)
        self.quarantine.started(target)
        return Start(task, target, state.targets[target].address, now)

    def _choose_target(self, state: _PoolState, task: Task, now: float) -> str | None:
        probe = self.quarantine.probe(task, state.targets, now)
        if probe is not None and not self._busy.get(probe) and self._usable(task.pool, probe, now):
            return probe
        if task.tried:
            return self._other_target(state, task, now)
        for count in range(max(state.free, default=0), 0, -1):
            names = state.free.get(count, ())
            while names:
                name = next(iter(names))
                if self._usable(task.pool, name, now) and not self.quarantine.held(name):
                    return name
                del names[name]
        return None

    def _other_target(self, state: _PoolState, task: Task, now: float) -> str | None:
        """Prefers a rack that the task has not failed on.

        A target that it has failed on is used again only if the pool has no other one.
        """
        racks = {state.targets[name].rack for name in task.tried if name in state.targets}
        best = None
        for count, names in state.free.items():
            for name in names:
                if self._usable(task.pool, name, now) and not self.quarantine.held(name):
                    known = state.targets[name]
                    merit = (name not in task.tried, count > 0, known.rack not in racks, count)
                    if best is None or merit > best[0]:
                        best = (merit, name)
        return best[1] if best is not None and best[0][1] else None

    def _usable(self, pool: str, name: str, now: float) -> bool:
        known = self._targets.get(name)
        instance = self._view.instance(name)
        if known is None or instance is None or known.state(now) != "alive":
            return False
        if instance.pool != pool or not self._accepts_tasks(instance):
            return False
        # A target that announces from elsewhere than recorded may be a second instance.
        if instance.data_centre != known.announcement.data_centre:
            return False
        return self._paused.get(name, now) <= now

    def _accepts_tasks(self, instance: Instance) -> bool:
        """Whether tasks may start on an instance, or probes if it is set aside for failures."""
        if instance.accepts_tasks:
            return True
        return self.quarantine.held(instance.name) and replace(instance, set_aside="").accepts_tasks

    def _set_busy(self, state: _PoolState, target: str, busy: int) -> None:
        known = state.targets.get(target)
        if known is not None:
            state.free.get(known.slots - self._busy.get(target, 0), {}).pop(target, None)
            state.free.setdefault(known.slots - busy, OrderedDict())[target] = None
        self._busy[target] = busy

    def _pool(self, pool: str) -> _PoolState:
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = _PoolState()
        return state

    def _stamp(self) -> tuple[int, int, int]:
        """Returns what changes whenever a target may have become usable or unusable."""
        return (self._targets.revision, self._view.version, self._view.restrictions.revision)

    def _refreshed(self, pool: str, now: float) -> _PoolState:
        state = self._pool(pool)
        stamp = self._stamp()
        if state.stamp != stamp or now - state.built_at >= REBUILD_S:
            self._rebuild(pool, state, now)
            state.stamp = stamp
        return state

    def _rebuild(self, pool: str, state: _PoolState, now: float) -> None:
        state.targets = {}
        state.free = {}
        state.slots = 0
        state.built_at = now
        for name in self._names(pool):
            self.quarantine.follow(self._view.instance(name), now)
            if not self._usable(pool, name, now):
                continue
            said = self._targets.get(name).announcement
            state.targets[said.name] = said
            free = said.slots - self._busy.get(said.name, 0)
            state.free.setdefault(free, OrderedDict())[said.name] = None
            state.slots += 0 if self.quarantine.held(said.name) else said.slots

    def _names(self, pool: str) -> list[str]:
        """Returns the targets of a pool in this data centre."""
        stamp = self._stamp()
        if self._by_pool_stamp != stamp:
            self._by_pool = {}
            for known in self._targets.all():
                said = known.announcement
                instance = self._view.instance(said.name)
                if instance is not None and said.data_centre == self._data_centre:
                    self._by_pool.setdefault(instance.pool, []).append(said.name)
            self._by_pool_stamp = stamp
        return self._by_pool.get(pool, [])

    def _refresh_shares(self) -> None:
        if self._shares_stamp != self._view.version:
            teams = self._view.sections["teams"].values()
            self._team_shares = {team.name: team.share for team in teams}
            self._share_sum = sum(self._team_shares.values()) or 1.0
            self._shares_stamp = self._view.version

    def _waiting(self, pool: str) -> int:
        queue = self._queues.pools.get(pool)
        return len(queue) if queue is not None else 0
