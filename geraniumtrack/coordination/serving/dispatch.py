"""Places queued tasks on free slots of targets. It does no I/O; time is passed in.

Urgent tasks are placed before normal ones, and normal ones before long ones. Within an urgency, the
team with the lowest usage per share comes next. A task loses the precedence of its urgency to that
of a team with much lower usage per share, since otherwise a team could occupy a full pool by
marking all its work as urgent. While long tasks use less than a fraction of the slots they are
placed first, unless their team has used much more than others.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.limits.shares import ShareTable
from geraniumtrack.coordination.serving.quarantine import Quarantine
from geraniumtrack.coordination.serving.queues import URGENCIES, PoolQueue, Task, TaskQueues
from geraniumtrack.protocol.messages import PoolLoad
from geraniumtrack.sentinels import Absent
from geraniumtrack.state.records import Instance
from geraniumtrack.state.view import ConfigView

__all__ = ["DispatchPolicy", "Dispatcher", "Placement", "Task"]

RUN_TIME_WEIGHT = 0.05  # weight of a new sample in the moving average of a pool's run time
MIN_RUN_TIME_SAMPLES = 20  # finished tasks before the average is used to refuse requests early
REBUILD_INTERVAL_S = 1.0  # after this time, targets that a placement skipped are considered again
MAX_REPORTED_WAIT_S = 24 * 3600.0  # reported for a pool without slots
# A target that refused a task for lack of a slot gets no placement for this time.
FULL_PAUSE_S = 0.2


@dataclass(frozen=True)
class DispatchPolicy:
    """Parameters of the dispatch order; `bench.policy` changes them for its baselines.

    Attributes:
        min_long_fraction: Fraction of a pool's slots, at least one slot unless 0. While running
            long tasks use less, queued ones are placed before other tasks.
        max_urgent_excess: Fraction by which a team's usage per share may exceed that of a team
            whose tasks would be placed later by urgency, before its own tasks lose their
            precedence.
        fair: Whether teams are ordered by usage per share; otherwise by time of arrival.
        early_refusal: Whether to refuse requests that are not expected to start before their
            deadline.
    """

    min_long_fraction: float = 0.1
    max_urgent_excess: float = 0.5
    fair: bool = True
    early_refusal: bool = True


class Placement(NamedTuple):
    """A task and the target on which a slot is reserved for it.

    Attributes:
        task: The task.
        target: Name of the target.
        address: Address of the target.
        at: Time of the placement, in seconds of the local clock.
    """

    task: Task
    target: str
    address: str
    at: float = 0.0


@dataclass(slots=True)
class _PoolState:
    """Usable targets of one pool, and the tasks that run on them.

    Attributes:
        targets: Announcement of each target.
        by_free_slots: Names of the targets by number of free slots.
        slots: Number of slots, without those of targets that are set aside for failures.
        revision: Result of `Dispatcher._revision` at the last rebuild.
        built_at: Time of the last rebuild.
        running: Number of running tasks.
        running_long: Number of running tasks of urgency "long".
        run_time: Moving average of the run time of a task, in seconds.
        finished: Number of tasks that have finished.
    """

    targets: dict[str, Any] = field(default_factory=dict)
    by_free_slots: dict[int, OrderedDict[str, None]] = field(default_factory=dict)
    slots: int = 0
    revision: tuple[int, int] = (-1, -1, -1)
    built_at: float = float("-inf")
    running: int = 0
    running_long: int = 0
    run_time: float = 0.1
    finished: int = 0


class Dispatcher:
    """Queues the tasks of one entry and places them on the targets of its data centre.

    Args:
        data_centre: The entry's data centre; only its targets are used.
        view: Configuration view.
        targets: Table of the known targets.
        policy: Parameters of the dispatch order.
        shares: Usage of each team.
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
        self._slots_in_use: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._by_pool: dict[str, list[str]] = {}
        self._by_pool_revision = (-1, -1, -1)
        self._shares_version = -1
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
            now: Clock value in seconds; if None, the deadline is not checked.
            allotment: Number of tasks that its team may run here, if known.

        Returns:
            None, or a sentinel with reason `queue_full` or `deadline`.
        """
        state = self._pool(task.pool)
        if now is not None:
            refusal = self._check_deadline(task, state, now, allotment)
            if refusal is not None:
                return refusal
        return self._add(task, requeued=False)

    def requeue(self, task: Task) -> None:
        """Puts a task that no target has completed back at the front of its queue."""
        self._add(task, requeued=True)

    def expire(self, now: float) -> list[Task]:
        """Removes and returns the queued tasks whose deadline has passed."""
        return self._queues.expire(now)

    def cancel(self, task: Task) -> bool:
        """Removes a queued task; returns whether it was queued."""
        return self._queues.remove(task)

    def pop_pool(self, pool: str) -> list[Task]:
        """Removes and returns all queued tasks of a pool, to move them elsewhere."""
        return self._queues.pop_pool(pool)

    def queued_pools(self) -> list[str]:
        """Returns the pools that have queued tasks."""
        return [pool for pool, queue in self._queues.pools.items() if len(queue)]

    def has_untried_target(self, task: Task, now: float) -> bool:
        """Whether the pool of a task has a usable target here that is not in `task.tried`."""
        names = self._refreshed(task.pool, now).targets
        return any(
            name not in task.tried
            and not self.quarantine.is_quarantined(name)
            and self._usable(task.pool, name, now)
            for name in names
        )

    def has_targets(self, pool: str, now: float) -> bool:
        """Whether this data centre has usable targets of a pool."""
        return self._refreshed(pool, now).slots > 0

    def place_tasks(
        self,
        now: float,
        *,
        allotments: dict[str, int],
        may_dispatch: Callable[[str], bool] = lambda pool: True,
        ramp: float = 1.0,
    ) -> list[Placement]:
        """Places all queued tasks that may start now, and reserves their slots.

        Args:
            now: Clock value in seconds.
            allotments: Number of tasks that each team may run through this entry; empty without a
                session.
            may_dispatch: Whether this entry dispatches to a pool.
            ramp: Fraction of the slots that may be used; below 1 for a time after the data centre
                has returned to service.
        """
        if not self._view.in_service(self._data_centre):
            return []
        placed: list[Placement] = []
        for pool, queue in self._queues.pools.items():
            if len(queue) and may_dispatch(pool):
                placed += self._place_from_queue(pool, queue, now, allotments, ramp)
        return placed

    def release_slot(self, placement: Placement, now: float | None = None) -> None:
        """Frees the slot of a task that finished, whatever its outcome."""
        now = placement.at if now is None else now
        task = placement.task
        team = task.submit.team
        self.running[team] -= 1
        state = self._pools[task.pool]
        state.running -= 1
        state.running_long -= task.submit.urgency == "long"
        ran_s = max(0.0, now - placement.at)
        state.run_time += RUN_TIME_WEIGHT * (ran_s - state.run_time)
        state.finished += 1
        self.shares.record_end(task.pool, team, now, ran_s)
        if not self._queued_count(task.pool):
            self.shares.set_contended(task.pool, False, now)
        self._set_slots_in_use(state, placement.target, self._slots_in_use[placement.target] - 1)

    def pause(self, target: str, now: float) -> None:
        """Pauses placements on a target that refused a task for lack of a slot."""
        self._paused_until[target] = now + FULL_PAUSE_S

    def wanted(self) -> dict[str, int]:
        """Returns the number of tasks that each team could run here, for its allotment.

        These are its running tasks and its queued ones, in each pool up to the number of slots.
        Tasks without a team need no allotment and are left out.
        """
        wanted = {team: count for team, count in self.running.items() if count and team}
        for pool, queue in self._queues.pools.items():
            slots = self._pool(pool).slots
            for team, count in queue.by_team.items():
                if team:
                    wanted[team] = wanted.get(team, 0) + min(count, slots)
        return wanted

    def slots_in_use(self, target: str) -> int:
        """Returns the number of slots in use on a target."""
        return self._slots_in_use.get(target, 0)

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of queued and running tasks of each pool, over all teams.

        Unlike `wanted`, it counts all queued tasks, whatever the number of slots.
        """
        return {
            pool: (self._queued_count(pool), state.running) for pool, state in self._pools.items()
        }

    def loads(self, now: float, pools: list[str], *, keyed: bool = True) -> dict[str, PoolLoad]:
        """Returns the load of each of the given pools that has slots or queued tasks here.

        Args:
            now: Clock value in seconds.
            pools: Names of the pools.
            keyed: Whether this entry has a valid session, which the tasks of teams need; copied
                to each load.
        """
        loads = {}
        for pool in pools:
            state = self._refreshed(pool, now)
            if state.slots or self._queued_count(pool):
                wait_s = min(self.expected_wait(pool, now), MAX_REPORTED_WAIT_S)
                loads[pool] = PoolLoad(
                    slots=state.slots,
                    running=state.running,
                    queued=self._queued_count(pool),
                    wait_ms=round(wait_s * 1000),
                    run_time_ms=round(state.run_time * 1000),
                    keyed=keyed,
                )
        return loads

    def expected_wait(self, pool: str, now: float) -> float:
        """Returns the expected time in seconds until a task that arrives now starts."""
        state = self._refreshed(pool, now)
        if not state.slots:
            return float("inf")
        ahead = state.running + self._queued_count(pool) - state.slots + 1
        return max(0, ahead) * state.run_time / state.slots

    def _add(self, task: Task, *, requeued: bool) -> Absent | None:
        submit = task.submit
        queue = self._view.sections["queues"].get(submit.queue)
        length = queue.max_length if queue is not None else 0
        self._refresh_shares()
        fraction = self._team_shares.get(submit.team, 1.0) / self._share_sum
        if self._queues.add(task, length=length, fraction=fraction, requeued=requeued):
            return None
        return Absent("queue_full", f"the queue holds at most {length} requests; retry later")

    def _check_deadline(
        self, task: Task, state: _PoolState, now: float, allotment: int | None
    ) -> Absent | None:
        if (
            not self._policy.early_refusal
            or state.finished < MIN_RUN_TIME_SAMPLES
            or not state.slots
        ):
            return None
        wait = self._optimistic_wait(task, state, allotment)
        if now + wait <= task.deadline:
            return None
        return Absent(
            "deadline", f"no slot is expected before the deadline; expected wait: {wait:.1f} s"
        )

    def _optimistic_wait(self, task: Task, state: _PoolState, allotment: int | None) -> float:
        """Returns an optimistic estimate of the wait in seconds.

        It counts the queued tasks that are placed before this one, at the average run time of the
        pool, and ignores the running ones. If the team's allotment is known and not 0, the wait is
        at least that of the team's own queued tasks of this urgency on that many slots.
        """
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

    def _place_from_queue(
        self, pool: str, queue: PoolQueue, now: float, allotments: dict[str, int], ramp: float
    ) -> list[Placement]:
        state = self._refreshed(pool, now)
        limit = state.slots if ramp >= 1 else max(1, int(state.slots * ramp))
        placed: list[Placement] = []
        skipped: list[Task] = []
        full = False
        while len(queue):
            task = self._next_task(state, queue, allotments, now)
            if task is None:
                break
            target = self._choose_target(state, task, now) if state.running < limit else None
            if target is not None:
                placed.append(self._place(state, task, target, now))
            elif task.tried and state.running < limit:
                # This task waits for a target that it has not tried. Tasks behind it may be placed.
                self._queues.remove(task)
                skipped.append(task)
            else:
                full = True
                break
        for task in reversed(skipped):
            self.requeue(task)
        self.shares.set_contended(pool, full and self._several_teams(pool, queue), now)
        return placed

    def _several_teams(self, pool: str, queue: PoolQueue) -> bool:
        first = next(iter(queue.by_team))
        return len(queue.by_team) > 1 or self.shares.other_teams_run(pool, first)

    def _next_task(
        self, state: _PoolState, queue: PoolQueue, allotments: dict[str, int], now: float
    ) -> Task | None:
        chosen: tuple[str, str] | None = None
        for urgency in self._urgency_order(state, queue):
            teams = self._eligible_teams(queue, urgency, allotments)
            if not teams:
                continue
            team = self._next_team(queue, urgency, teams, now)
            if chosen is None:
                chosen = (urgency, team)
                if not self._policy.fair or self._policy.max_urgent_excess == math.inf:
                    break
            elif self._loses_precedence(chosen[1], team, now):
                chosen = (urgency, team)
        return queue.head(*chosen) if chosen is not None else None

    def _eligible_teams(
        self, queue: PoolQueue, urgency: str, allotments: dict[str, int]
    ) -> list[str]:
        running = self.running
        return [
            team
            for team in queue.lanes[urgency]
            if not team or running.get(team, 0) < allotments.get(team, 0)
        ]

    def _loses_precedence(self, team: str, other: str, now: float) -> bool:
        """Whether a team's usage per share exceeds another's by more than the policy allows.

        The other team's task is then placed first although it comes later by urgency.
        """
        shares = self._team_shares
        used = self.shares.rank(team, shares.get(team, 1.0), now)
        return used > (1 + self._policy.max_urgent_excess) * self.shares.rank(
            other, shares.get(other, 1.0), now
        )

    def _urgency_order(self, state: _PoolState, queue: PoolQueue) -> tuple[str, ...]:
        if not queue.lengths["long"]:
            return URGENCIES
        policy = self._policy
        min_long = (
            max(1, int(state.slots * policy.min_long_fraction)) if policy.min_long_fraction else 0
        )
        if state.running_long < min_long:
            return ("long", "urgent", "normal")
        return URGENCIES

    def _next_team(self, queue: PoolQueue, urgency: str, teams: list[str], now: float) -> str:
        if len(teams) == 1:
            return teams[0]
        if not self._policy.fair:
            return min(teams, key=lambda team: queue.head(urgency, team).queued_at)
        self._refresh_shares()
        return self.shares.lowest_usage_team(teams, self._team_shares, now)

    def _place(self, state: _PoolState, task: Task, target: str, now: float) -> Placement:
        self._queues.remove(task)
        submit = task.submit
        team = submit.team
        self.running[team] = self.running.get(team, 0) + 1
        state.running += 1
        state.running_long += submit.urgency == "long"
        task.placements += 1
        self.shares.record_start(task.pool, team, now)
        self._set_slots_in_use(state, target, self._slots_in_use.get(target, 0) + 1)
        self.quarantine.record_start(target)
        return Placement(task, target, state.targets[target].address, now)

    def _choose_target(self, state: _PoolState, task: Task, now: float) -> str | None:
        probe = self.quarantine.choose_probe_target(task, state.targets, now)
        if (
            probe is not None
            and not self._slots_in_use.get(probe)
            and self._usable(task.pool, probe, now)
        ):
            return probe
        if task.tried:
            return self._choose_untried_target(state, task, now)
        for count in range(max(state.by_free_slots, default=0), 0, -1):
            names = state.by_free_slots.get(count, ())
            while names:
                name = next(iter(names))
                if self._usable(task.pool, name, now) and not self.quarantine.is_quarantined(name):
                    return name
                del names[name]
        return None

    def _choose_untried_target(self, state: _PoolState, task: Task, now: float) -> str | None:
        """Returns a target for a task that was placed before, or None if it has to wait for one.

        Among untried targets with a free slot, those in a rack without a tried target come first.
        A tried target is used again only if the pool has no other usable one.
        """
        racks = {state.targets[name].rack for name in task.tried if name in state.targets}
        best = None
        for count, names in state.by_free_slots.items():
            for name in names:
                if self._usable(task.pool, name, now) and not self.quarantine.is_quarantined(name):
                    known = state.targets[name]
                    preference = (name not in task.tried, count > 0, known.rack not in racks, count)
                    if best is None or preference > best[0]:
                        best = (preference, name)
        return best[1] if best is not None and best[0][1] else None

    def _usable(self, pool: str, name: str, now: float) -> bool:
        known = self._targets.get(name)
        instance = self._view.instance(name)
        if known is None or instance is None or known.state(now) != "alive":
            return False
        if instance.pool != pool or not self._may_run_tasks(instance):
            return False
        # An announcement from another data centre than the recorded one may come from a second
        # instance of the same name.
        if instance.data_centre != known.announcement.data_centre:
            return False
        return self._paused_until.get(name, now) <= now

    def _may_run_tasks(self, instance: Instance) -> bool:
        """Whether an instance may run tasks, or at least probes while set aside for failures."""
        if instance.accepts_tasks:
            return True
        return (
            self.quarantine.is_quarantined(instance.name)
            and replace(instance, set_aside="").accepts_tasks
        )

    def _set_slots_in_use(self, state: _PoolState, target: str, in_use: int) -> None:
        known = state.targets.get(target)
        if known is not None:
            state.by_free_slots.get(known.slots - self._slots_in_use.get(target, 0), {}).pop(
                target, None
            )
            state.by_free_slots.setdefault(known.slots - in_use, OrderedDict())[target] = None
        self._slots_in_use[target] = in_use

    def _pool(self, pool: str) -> _PoolState:
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = _PoolState()
        return state

    def _revision(self) -> tuple[int, int, int]:
        """Returns a value that changes with the view, its restrictions and targets' announcements.

        A target that becomes suspect or dead through silence or `TargetTable.mark_suspect` does not
        change it; `_usable` checks the state at each placement.
        """
        return (self._targets.revision, self._view.version, self._view.restrictions.revision)

    def _refreshed(self, pool: str, now: float) -> _PoolState:
        state = self._pool(pool)
        revision = self._revision()
        if state.revision != revision or now - state.built_at >= REBUILD_INTERVAL_S:
            self._rebuild(pool, state, now)
            state.revision = revision
        return state

    def _rebuild(self, pool: str, state: _PoolState, now: float) -> None:
        state.targets = {}
        state.by_free_slots = {}
        state.slots = 0
        state.built_at = now
        for name in self._target_names(pool):
            self.quarantine.update_from_view(self._view.instance(name), now)
            if not self._usable(pool, name, now):
                continue
            announced = self._targets.get(name).announcement
            state.targets[announced.name] = announced
            free = announced.slots - self._slots_in_use.get(announced.name, 0)
            state.by_free_slots.setdefault(free, OrderedDict())[announced.name] = None
            state.slots += 0 if self.quarantine.is_quarantined(announced.name) else announced.slots

    def _target_names(self, pool: str) -> list[str]:
        """Returns the names of a pool's targets in this data centre."""
        revision = self._revision()
        if self._by_pool_revision != revision:
            self._by_pool = {}
            for known in self._targets.all():
                announced = known.announcement
                instance = self._view.instance(announced.name)
                if instance is not None and announced.data_centre == self._data_centre:
                    self._by_pool.setdefault(instance.pool, []).append(announced.name)
            self._by_pool_revision = revision
        return self._by_pool.get(pool, [])

    def _refresh_shares(self) -> None:
        if self._shares_version != self._view.version:
            teams = self._view.sections["teams"].values()
            self._team_shares = {team.name: team.share for team in teams}
            self._share_sum = sum(self._team_shares.values()) or 1.0
            self._shares_version = self._view.version

    def _queued_count(self, pool: str) -> int:
        queue = self._queues.pools.get(pool)
        return len(queue) if queue is not None else 0
