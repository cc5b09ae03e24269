"""Carries out moves and maintenance of instances: empty it, order it, wait for its return.

An instance under change gets no new tasks. Lasting tasks on it are stopped one by one, within the
availability budget of their step, and start elsewhere.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.availability import AvailabilityBudget
from geraniumtrack.jobs.capacity import CapacityPlanner, Movable, PoolLoad, paced
from geraniumtrack.jobs.commit import commit_unwatched
from geraniumtrack.jobs.machine_port import ChangeOutcome, Instance, InstanceState, MachinePort
from geraniumtrack.jobs.model import WorkerInfo
from geraniumtrack.jobs.pool_loads import pool_loads
from geraniumtrack.jobs.state import Campaign, JobsState, Task
from geraniumtrack.jobs.worker_session import WorkerSession
from geraniumtrack.metrics import metrics

__all__ = ["FleetChanges"]

LIST_S = 1.0  # how often the platform's list is read
LIST_MAINTAINING_S = 0.4  # the next instance of a campaign waits for the list
MAX_EMPTYING = 2  # instances of a pool whose lasting tasks are relocated at once
RETRY_S = 0.5  # pause before an order that was not carried out is repeated
DRAIN_LIMIT_S = 3.0  # after it, maintenance stops tasks that can go on elsewhere
MOVE_DRAIN_LIMIT_S = 1.0  # a move waits no longer for an instance that got a task meanwhile
WARMUP_S = 3.0  # the first owner lets workers report before it moves instances
RETURN_LIMIT_S = 8.0  # an instance that has not come back by then is left to the list
STOP_AGAIN_S = 0.5


class _Phase(Enum):
    DRAINING = auto()
    ORDERED = auto()
    RETURNING = auto()


@dataclass(slots=True)
class _Change:
    """One instance under change.

    `pool` is set for a move and `campaign` for maintenance. An instance of a data centre that is
    out is emptied; it is moved too if there is a standby pool.
    """

    instance: str
    since: float
    pool: str = ""
    campaign: int = 0
    evacuating: bool = False
    phase: _Phase = _Phase.DRAINING
    retry_at: float = 0.0
    unclear: bool = False  # an order without an answer may still be carried out
    ended_life: tuple[str, int] | None = None  # the worker that the order ended


class FleetChanges:
    """Moves and maintenance while this controller is the owner.

    Args:
        reactor: Twisted reactor.
        term: Fencing token of the orders.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        may_act: Whether the leadership lease is held.
        sessions: Returns the owner's sessions by worker id.
        port: The machine interface.
        wall_clock: Returns the time of day in s.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        term: int,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        may_act: Callable[[], bool],
        sessions: Callable[[], dict[str, WorkerSession]],
        port: MachinePort,
        wall_clock: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._term = term
        self._state = state
        self._propose = propose
        self._may_act = may_act
        self._sessions = sessions
        self._port = port
        self._wall_clock = wall_clock
        self._planner = CapacityPlanner()
        self._budget = AvailabilityBudget(sessions)
        self._started_at = reactor.seconds()
        self._first = not state().workers
        self._changes: dict[str, _Change] = {}
        self._instances: dict[str, Instance] = {}
        self._workers: dict[str, WorkerInfo] = {}  # by instance, as of this tick
        self._listed_at = float("-inf")
        self._list_due = 0.0
        self._listing = False
        self._impossible: set[tuple[str, str]] = set()
        self._fenced = False

    def blocked(self, instance: str) -> bool:
        """Whether an instance gets no new tasks."""
        return instance in self._changes

    def tick(self) -> None:
        """Reads the list when it is due, drives the changes and starts new ones."""
        if self._fenced or not self._may_act() or self._state().config is None:
            return
        now = self._reactor.seconds()
        lives = sorted(self._state().workers.values(), key=lambda worker: worker.born)
        self._workers = {worker.instance: worker for worker in lives}
        if now >= self._list_due and not self._listing:
            self._read_list(now)
        for change in list(self._changes.values()):
            self._drive(change, now)
        if self._instances:
            if now > self._started_at + (WARMUP_S if self._first else 0.0):
                self._start_moves(now)
            self._start_maintenance(now)
            self._start_evacuating(now)

    # The list.

    def _read_list(self, now: float) -> None:
        self._listing = True
        maintaining = any(change.campaign for change in self._changes.values())
        self._list_due = now + (LIST_MAINTAINING_S if maintaining else LIST_S)
        self._port.instances().addCallback(self._listed, now)

    def _listed(self, instances: list[Instance] | None, asked_at: float) -> None:
        self._listing = False
        if instances is None:
            return
        self._listed_at = asked_at
        self._instances = {instance.id: instance for instance in instances}

    # Changes under way.

    def _drive(self, change: _Change, now: float) -> None:
        if change.phase is _Phase.DRAINING:
            self._drain(change, now)
        elif change.phase is _Phase.RETURNING:
            self._await_return(change, now)

    def _drain(self, change: _Change, now: float) -> None:
        worker = self._workers.get(change.instance)
        tasks = self._tasks_on(worker)
        if change.evacuating and not change.unclear and not self._is_out(worker):
            del self._changes[change.instance]
            return
        if not tasks:
            if now >= change.retry_at:
                self._order(change, worker, now)
            return
        if change.unclear:
            return
        waited = now - change.since
        if change.pool and not change.evacuating and waited > MOVE_DRAIN_LIMIT_S:
            del self._changes[change.instance]
            return
        session = self._sessions().get(worker.id)
        if session is None:
            return
        for task in tasks:
            self._empty(task, session, overdue=waited > DRAIN_LIMIT_S)

    def _empty(self, task: Task, session: WorkerSession, *, overdue: bool) -> None:
        """Ends a lasting task within its step's budget, and others only when they take long."""
        record = self._state().jobs[task.id.job]
        step = record.job.steps[task.id.step]
        if step.lasting:
            if self._budget.take(record, task) and session.stop(
                task.id, task.run, again_after_s=STOP_AGAIN_S
            ):
                logs.event("task_relocating", job=task.id.job, task=task.id.index, run=task.run)
        elif overdue and step.checkpoints:
            session.stop(task.id, task.run, again_after_s=STOP_AGAIN_S)

    def _order(self, change: _Change, worker: WorkerInfo | None, now: float) -> None:
        session = self._sessions().get(worker.id) if worker is not None else None
        if session is not None and (session.running or session.silent):
            return  # the next listing shows it empty
        if not change.pool and not change.campaign:
            del self._changes[change.instance]
            return
        change.phase = _Phase.ORDERED
        if change.pool:
            fut = self._port.move(change.instance, change.pool, fence=self._term)
        else:
            fut = self._port.maintain(change.instance, change.campaign, fence=self._term)
        fut.addCallback(self._ordered, change, worker)

    def _ordered(self, outcome: ChangeOutcome, change: _Change, worker: WorkerInfo | None) -> None:
        now = self._reactor.seconds()
        kind = "move" if change.pool else "maintenance"
        metrics.count("instance_orders", kind=kind, outcome=str(outcome))
        logs.event(
            "instance_ordered",
            instance=change.instance,
            pool=change.pool,
            campaign=change.campaign,
            outcome=outcome,
            drained_s=now - change.since,
        )
        if outcome is ChangeOutcome.DONE:
            change.phase, change.since = _Phase.RETURNING, now
            if worker is not None:
                change.ended_life = (worker.id, worker.born)
                commit_unwatched(self._propose, cmds.ForgetWorker(worker.id, worker.born))
            self._note_begun(change)
            return
        if outcome is ChangeOutcome.FENCED:
            self._fenced = True
            return
        if outcome in (ChangeOutcome.NOT_IN_CAMPAIGN, ChangeOutcome.IMPOSSIBLE):
            self._impossible.add((change.instance, change.pool))
            self._note_begun(change)
            del self._changes[change.instance]
            return
        change.unclear = change.unclear or outcome is ChangeOutcome.UNCLEAR
        if change.pool and not change.unclear:
            del self._changes[change.instance]
            return
        change.phase, change.retry_at = _Phase.DRAINING, now + RETRY_S

    def _note_begun(self, change: _Change) -> None:
        if change.campaign:
            commit_unwatched(self._propose, cmds.UpkeepBegun(change.campaign, change.instance))

    def _await_return(self, change: _Change, now: float) -> None:
        listed = self._instances.get(change.instance)
        fresh = self._listed_at > change.since
        back = fresh and listed is not None and listed.state is InstanceState.UP
        if change.pool and not back:
            worker = self._workers.get(change.instance)
            back = worker is not None and (worker.id, worker.born) != change.ended_life
        # Maintenance is over only when the list says so: a report of the life that the order ended
        # may still be on its way, and the campaign's cap holds at every moment.
        if back or (change.pool and now > change.since + RETURN_LIMIT_S):
            del self._changes[change.instance]

    # New changes.

    def _start_maintenance(self, now: float) -> None:
        for number, campaign in self._state().campaigns.items():
            if campaign.completed:
                continue
            under_way = self._under_maintenance(number, campaign)
            time_left_s = campaign.deadline - self._wall_clock()
            pace = paced(len(campaign.instances) - len(campaign.begun), time_left_s)
            waiting = self._awaiting_maintenance(campaign)
            waiting.sort(key=self._maintenance_cost)
            for instance in waiting:
                if under_way >= campaign.cap:
                    break
                # Instances in standby serve nobody; the others wait for their turn.
                if under_way >= pace and not self._in_standby(instance):
                    continue
                if not self._may_empty(instance):
                    continue
                self._begin(_Change(instance, now, campaign=number))
                under_way += 1

    def _awaiting_maintenance(self, campaign: Campaign) -> list[str]:
        return [
            instance
            for instance in campaign.instances
            if instance not in campaign.begun and self._may_change(instance)
        ]

    def _in_standby(self, instance: str) -> bool:
        known = self._instances.get(instance)
        return known is not None and known.pool in self._standby_pools()

    def _under_maintenance(self, number: int, campaign: Campaign) -> int:
        """Counts the instances of a campaign that are or may be down, for an earlier owner too."""
        ours = {c.instance for c in self._changes.values() if c.campaign == number}
        listed = {
            instance
            for instance in campaign.instances
            if (known := self._instances.get(instance)) is not None
            and known.state is InstanceState.MAINTENANCE
        }
        return len(ours | listed)

    def _may_change(self, instance: str) -> bool:
        known = self._instances.get(instance)
        up = known is None or known.state is InstanceState.UP
        return up and instance not in self._changes

    def _maintenance_cost(self, instance: str) -> tuple[int, int]:
        """Sorts those first that take longest to empty, then those with the fewest other tasks."""
        tasks = self._tasks_on(self._workers.get(instance))
        return -self._lasting_on(instance), len(tasks)

    def _lasting_on(self, instance: str) -> int:
        tasks = self._tasks_on(self._workers.get(instance))
        return sum(self._state().step_of(task).lasting for task in tasks)

    def _may_empty(self, instance: str) -> bool:
        """Whether lasting tasks may leave an instance; few instances of a pool at once."""
        if not self._lasting_on(instance):
            return True
        pool = self._workers.get(instance).pool
        emptying = sum(
            1
            for change in self._changes.values()
            if change.phase is _Phase.DRAINING
            and self._lasting_on(change.instance)
            and self._workers.get(change.instance).pool == pool
        )
        return emptying < MAX_EMPTYING

    def _start_moves(self, now: float) -> None:
        standby_pools = self._standby_pools()
        standby = next(iter(standby_pools), "")
        loads = self._pool_loads()
        spare = [
            Movable(instance.id, instance.labels)
            for instance in self._instances.values()
            if instance.pool in standby_pools and self._movable(instance)
        ]
        due = {i for c in self._state().campaigns.values() for i in self._awaiting_maintenance(c)}
        spare.sort(key=lambda instance: instance.id in due)
        for wish in self._planner.plan(loads, spare, standby, now):
            if (wish.instance, wish.pool) not in self._impossible:
                logs.event(
                    "move_planned",
                    instance=wish.instance,
                    pool=wish.pool,
                    have=wish.have,
                    target=wish.target,
                )
                self._begin(_Change(wish.instance, now, pool=wish.pool))

    def _start_evacuating(self, now: float) -> None:
        """Empties the instances of data centres that are out, and turns them off."""
        standby = next(iter(self._standby_pools()), "")
        for worker in self._workers.values():
            if not self._is_out(worker) or worker.draining or not self._may_change(worker.instance):
                continue
            if worker.instance not in self._instances or self._in_standby(worker.instance):
                continue
            if standby or self._tasks_on(worker):
                logs.event("instance_evacuating", instance=worker.instance, worker=worker.id)
                self._begin(_Change(worker.instance, now, pool=standby, evacuating=True))

    def _is_out(self, worker: WorkerInfo | None) -> bool:
        return worker is not None and worker.data_centre in self._state().evacuated

    def _begin(self, change: _Change) -> None:
        self._changes[change.instance] = change
        self._drive(change, change.since)

    def _movable(self, instance: Instance) -> bool:
        return (
            instance.state is InstanceState.UP
            and instance.id not in self._changes
            and instance.data_centre not in self._state().evacuated
        )

    def _pool_loads(self) -> list[PoolLoad]:
        arriving: dict[str, set[str]] = defaultdict(set)
        for change in self._changes.values():
            arriving[change.pool].add(change.instance)
            listed = self._instances.get(change.instance)
            if change.campaign and change.phase is _Phase.RETURNING and listed is not None:
                arriving[listed.pool].add(change.instance)
        return pool_loads(
            self._state(),
            sessions=self._sessions(),
            instances=self._instances,
            changing=self._changes.keys(),
            arriving=arriving,
            now=self._wall_clock(),
        )

    def _standby_pools(self) -> set[str]:
        return self._state().standby_pools

    def _tasks_on(self, worker: WorkerInfo | None) -> list[Task]:
        if worker is None:
            return []
        return list(self._state().assigned.get(worker.id, {}).values())
