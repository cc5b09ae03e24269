"""Places queued tasks on free slots of targets. It does no I/O; time is passed in.

`DispatchOrder` chooses the next task of a pool, and `TargetSlots` its target.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.limits.shares import ShareTable
from geraniumtrack.coordination.serving.dispatch_order import DispatchOrder, DispatchPolicy
from geraniumtrack.coordination.serving.quarantine import Quarantine
from geraniumtrack.coordination.serving.queues import URGENCIES, PoolQueue, Task, TaskQueues
from geraniumtrack.coordination.serving.target_slots import PoolState, TargetSlots
from geraniumtrack.protocol.messages import PoolLoad
from geraniumtrack.sentinels import Absent
from geraniumtrack.state.view import ConfigView

__all__ = ["Dispatcher", "Placement", "Task"]

RUN_TIME_WEIGHT = 0.05  # weight of a new sample in the moving average of a pool's run time
MIN_RUN_TIME_SAMPLES = 20  # finished tasks before the average is used to refuse requests early
MAX_REPORTED_WAIT_S = 24 * 3600.0  # reported for a pool without slots


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
        self._policy = policy or DispatchPolicy()
        self._queues = TaskQueues()
        self.shares = shares or ShareTable()
        self.quarantine = Quarantine(view=view, targets=targets)
        self.running: dict[str, int] = {}
        self._slots = TargetSlots(
            data_centre=data_centre, view=view, targets=targets, quarantine=self.quarantine
        )
        self._order = DispatchOrder(
            view=view, policy=self._policy, shares=self.shares, running=self.running
        )

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
        state = self._slots.pool(task.pool)
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
        return self._slots.has_untried(task, now)

    def has_targets(self, pool: str, now: float) -> bool:
        """Whether this data centre has usable targets of a pool."""
        return self._slots.refreshed(pool, now).slots > 0

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
        state = self._slots.pools[task.pool]
        state.running -= 1
        state.running_long -= task.submit.urgency == "long"
        ran_s = max(0.0, now - placement.at)
        state.run_time += RUN_TIME_WEIGHT * (ran_s - state.run_time)
        state.finished += 1
        self.shares.record_end(task.pool, team, now, ran_s)
        if not self._queued_count(task.pool):
            self.shares.set_contended(task.pool, False, now)
        self._slots.change_in_use(state, placement.target, -1)

    def pause(self, target: str, now: float) -> None:
        """Pauses placements on a target that refused a task for lack of a slot."""
        self._slots.pause(target, now)

    def wanted(self) -> dict[str, int]:
        """Returns the number of tasks that each team could run here, for its allotment.

        These are its running tasks and its queued ones, in each pool up to the number of slots.
        Tasks without a team need no allotment and are left out.
        """
        wanted = {team: count for team, count in self.running.items() if count and team}
        for pool, queue in self._queues.pools.items():
            slots = self._slots.pool(pool).slots
            for team, count in queue.by_team.items():
                if team:
                    wanted[team] = wanted.get(team, 0) + min(count, slots)
        return wanted

    def slots_in_use(self, target: str) -> int:
        """Returns the number of slots in use on a target."""
        return self._slots.in_use(target)

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of queued and running tasks of each pool, over all teams.

        Unlike `wanted`, it counts all queued tasks, whatever the number of slots.
        """
        return {
            pool: (self._queued_count(pool), state.running)
            for pool, state in self._slots.pools.items()
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
            state = self._slots.refreshed(pool, now)
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
        state = self._slots.refreshed(pool, now)
        if not state.slots:
            return float("inf")
        ahead = state.running + self._queued_count(pool) - state.slots + 1
        return max(0, ahead) * state.run_time / state.slots

    def _add(self, task: Task, *, requeued: bool) -> Absent | None:
        submit = task.submit
        queue = self._view.sections["queues"].get(submit.queue)
        length = queue.max_length if queue is not None else 0
        self._order.refresh_shares()
        fraction = self._order.team_shares.get(submit.team, 1.0) / self._order.share_sum
        if self._queues.add(task, length=length, fraction=fraction, requeued=requeued):
            return None
        return Absent("queue_full", f"the queue holds at most {length} requests; retry later")

    def _check_deadline(
        self, task: Task, state: PoolState, now: float, allotment: int | None
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

    def _optimistic_wait(self, task: Task, state: PoolState, allotment: int | None) -> float:
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
        team_shares = self._order.team_shares
        shares = sum(team_shares.get(team, 1.0) for team in lanes if team != submit.team)
        own_share = team_shares.get(submit.team, 1.0)
        ahead += min(queue.lengths[submit.urgency], own * (own_share + shares) / own_share)
        wait = ahead * state.run_time / state.slots
        if allotment:
            wait = max(wait, own * state.run_time / min(allotment, state.slots))
        return wait

    def _place_from_queue(
        self, pool: str, queue: PoolQueue, now: float, allotments: dict[str, int], ramp: float
    ) -> list[Placement]:
        state = self._slots.refreshed(pool, now)
        limit = state.slots if ramp >= 1 else max(1, int(state.slots * ramp))
        placed: list[Placement] = []
        skipped: list[Task] = []
        full = False
        while len(queue):
            task = self._order.next_task(state, queue, allotments, now)
            if task is None:
                break
            target = self._slots.choose(state, task, now) if state.running < limit else None
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

    def _place(self, state: PoolState, task: Task, target: str, now: float) -> Placement:
        self._queues.remove(task)
        submit = task.submit
        team = submit.team
        self.running[team] = self.running.get(team, 0) + 1
        state.running += 1
        state.running_long += submit.urgency == "long"
        task.placements += 1
        self.shares.record_start(task.pool, team, now)
        self._slots.change_in_use(state, target, 1)
        self.quarantine.record_start(target)
        return Placement(task, target, state.targets[target].address, now)

    def _queued_count(self, pool: str) -> int:
        queue = self._queues.pools.get(pool)
        return len(queue) if queue is not None else 0
