"""Decides which waiting tasks start on which workers.

The scheduler only reads the replicated state and returns the starts; the owner commits them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, field

from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.scheduling.isolation import (
    may_start_alone,
    needs_own_worker,
    reserve_workers,
)
from geraniumtrack.jobs.scheduling.ordering import ON_TIME, JobOrder
from geraniumtrack.jobs.scheduling.placement import AvailableWorker, choose_worker
from geraniumtrack.jobs.scheduling.shares import TeamShares
from geraniumtrack.jobs.scheduling.suspicion import Suspicion, suspicion_of
from geraniumtrack.jobs.scheduling.worker_speed import NORMAL_SPEED, WorkerSpeed
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState, Task, TaskPhase
from geraniumtrack.jobs.state.model import JobQueue, Resources, StepSpec, TaskId, WorkerInfo

__all__ = ["Leftovers", "PlannedStart", "ReadyStep", "Scheduler", "TeamQuota", "UnplacedStep"]


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A run to start on a worker; the start order is sent only after the start is committed."""

    task: TaskId
    run: int
    worker: WorkerInfo
    ticket: str = ""


@dataclass(slots=True)
class ReadyStep:
    """A step of an occurrence that has waiting tasks and whose dependencies are done."""

    record: JobRecord
    queue: JobQueue
    occurrence: int
    step_number: int
    sort_key: tuple[float, ...]

    @property
    def step(self) -> StepSpec:
        """The step's specification."""
        return self.record.job.steps[self.step_number]

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step."""
        return self.record.occurrences[self.occurrence][self.step_number].tasks

    @property
    def waiting(self) -> list[Task]:
        """The waiting tasks of the step."""
        return [task for task in self.tasks if task.phase is TaskPhase.WAITING]


@dataclass(frozen=True, slots=True)
class UnplacedStep:
    """A step of an on-time job of which a scheduling pass could not start all waiting tasks.

    Attributes:
        ready_step: The step.
        placed: The tasks of the step that have room: the pass starts them, or keeps the room for
            the other members of their gang.
        workers: The available workers that may run the step.
    """

    ready_step: ReadyStep
    placed: frozenset[TaskId]
    workers: list[AvailableWorker]

    @property
    def tasks(self) -> list[Task]:
        """The waiting tasks without room."""
        return [task for task in self.ready_step.waiting if task.id not in self.placed]


@dataclass(slots=True)
class Leftovers:
    """What a scheduling pass left unplaced.

    Attributes:
        order: The order of jobs in the pass.
        quota: Usage of the teams, including the planned starts.
        unplaced: Unplaced steps of on-time jobs, in the order in which they were considered; empty
            if preemption is switched off.
        held: Members of gangs that can't start yet and whose room is kept.
    """

    order: JobOrder
    quota: TeamQuota
    unplaced: list[UnplacedStep] = field(default_factory=list)
    held: set[TaskId] = field(default_factory=set)


class Scheduler:
    """Plans starts for all pools.

    Args:
        state: Returns the replicated state.
        tickets: Returns the valid tickets of a step by worker id.
        settled: Whether a task runs long enough that a crash of its worker says nothing about it.
        policy: Settings of the scheduling policy.
        worker_speed: Returns the speed of a worker by its id.
        claims: Returns the ids of the jobs for which runs were stopped. While they are on time,
            they come before the other on-time jobs.

    Attributes:
        leftovers: What the last pass left unplaced, or None before the first.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        tickets: Callable[[ReadyStep, list[AvailableWorker]], Mapping[str, str]],
        settled: Callable[[Task], bool],
        policy: PolicySettings = DEFAULT_POLICY,
        worker_speed: Callable[[str], WorkerSpeed] = lambda _worker_id: NORMAL_SPEED,
        claims: Callable[[], Container[str]] = frozenset,
    ) -> None:
        self.leftovers: Leftovers | None = None
        self._state = state
        self._tickets = tickets
        self._settled = settled
        self._policy = policy
        self._worker_speed = worker_speed
        self._claims = claims

    def available_workers_by_pool(
        self, workers: Iterable[tuple[WorkerInfo, Resources, bool]]
    ) -> dict[str, list[AvailableWorker]]:
        """Returns the given workers with their free resources, by pool.

        Args:
            workers: One row for each worker that accepts tasks: the worker, the resources used by
                runs that are not in the replicated state, and whether its last run failed.
        """
        state = self._state()
        by_pool: dict[str, list[AvailableWorker]] = defaultdict(list)
        for worker, untracked, last_run_failed in workers:
            available = AvailableWorker(
                worker,
                worker.capacity.minus(untracked),
                last_run_failed=last_run_failed,
                speed=self._worker_speed(worker.id),
            )
            for task in state.assigned.get(worker.id, {}).values():
                suspicion = Suspicion.NONE if self._settled(task) else suspicion_of(task)
                available.reserve(state.step_of(task), task.id[:3], suspicion)
            by_pool[worker.pool].append(available)
        return by_pool

    def ready_steps(self, now: float) -> list[ReadyStep]:
        """Returns the steps whose tasks may start, sorted by their keys; see `JobOrder`.

        Args:
            now: Wall-clock time in seconds.
        """
        return self._ready_steps(now, self._order(now))

    def _order(self, now: float) -> JobOrder:
        return JobOrder(self._state(), now, self._policy, self._claims())

    def _ready_steps(self, now: float, order: JobOrder) -> list[ReadyStep]:
        found: list[ReadyStep] = []
        state = self._state()
        for record in state.active.values():
            queue = state.queues.get(record.job.queue)
            if queue is None:
                continue
            for occurrence in record.open_occurrences:
                if record.job.due(occurrence) > now:
                    continue
                for number, progress in enumerate(record.occurrences[occurrence]):
                    if progress.waiting and record.ready(occurrence, number):
                        step = record.job.steps[number]
                        key = order.key(record, queue, occurrence, step)
                        found.append(ReadyStep(record, queue, occurrence, number, key))
        found.sort(key=lambda ready_step: ready_step.sort_key)
        return found

    def plan(self, workers: dict[str, list[AvailableWorker]], now: float) -> list[PlannedStart]:
        """Returns the starts of one scheduling pass.

        Args:
            workers: Available workers by pool; the resources of the planned tasks are reserved
                on them.
            now: Wall-clock time in seconds.
        """
        quota = TeamQuota(self._state())
        starts: list[PlannedStart] = []
        order = self._order(now)
        self.leftovers = Leftovers(order, quota)
        ready_steps = self._ready_steps(now, order)
        hosts = self._reserve_hosts(ready_steps, workers, quota)
        shares = TeamShares(self._state(), now, self._policy)
        for ready_step in shares.turns(ready_steps):
            pool = workers.get(ready_step.queue.pool)
            if not pool:
                continue
            planned = self._plan_step(ready_step, pool, quota, hosts)
            shares.charge(ready_step, len(planned))
            starts += planned
            self._note_unplaced(ready_step, planned, pool)
        return starts

    def _note_unplaced(
        self, ready_step: ReadyStep, planned: list[PlannedStart], pool: list[AvailableWorker]
    ) -> None:
        """Keeps a step of an on-time job for preemption if some of its tasks found no place."""
        if not self._policy.preemption or ready_step.sort_key[0] != ON_TIME:
            return
        steps = ready_step.record.occurrences[ready_step.occurrence]
        if len(planned) < steps[ready_step.step_number].waiting:
            workers, _ = self._permitted(ready_step, pool)
            held = (task.id for task in ready_step.waiting if task.id in self.leftovers.held)
            placed = frozenset((*(start.task for start in planned), *held))
            self.leftovers.unplaced.append(UnplacedStep(ready_step, placed, workers))

    def _reserve_hosts(
        self,
        ready_steps: list[ReadyStep],
        workers: dict[str, list[AvailableWorker]],
        quota: TeamQuota,
    ) -> dict[TaskId, AvailableWorker]:
        """Reserves workers for the waiting tasks that must run alone, before others take them."""
        hosts: dict[TaskId, AvailableWorker] = {}
        for ready_step in ready_steps:
            pool = workers.get(ready_step.queue.pool)
            if not pool or not ready_step.record.crashed_workers:
                continue
            step = ready_step.step
            tasks = [task for task in ready_step.waiting if needs_own_worker(task, step)]
            if tasks and quota.allows(ready_step.record.job.team, step):
                pool, _ = self._permitted(ready_step, pool)
                hosts.update(reserve_workers(tasks, step, pool))
        return hosts

    def _permitted(
        self, ready_step: ReadyStep, pool: list[AvailableWorker]
    ) -> tuple[list[AvailableWorker], Mapping[str, str]]:
        """Returns the workers that may run a step, and the tickets by worker id."""
        if not ready_step.queue.advised:
            return pool, {}
        tickets = self._tickets(ready_step, pool)
        return [available for available in pool if available.worker.id in tickets], tickets

    def _plan_step(
        self,
        ready_step: ReadyStep,
        pool: list[AvailableWorker],
        quota: TeamQuota,
        hosts: Mapping[TaskId, AvailableWorker],
    ) -> list[PlannedStart]:
        step = ready_step.step
        waiting = ready_step.waiting
        if step.gang and len(waiting) < len(ready_step.tasks):
            return []
        pool, tickets = self._permitted(ready_step, pool)
        if not pool:
            return []
        starts = self._place(ready_step, waiting, pool, tickets, quota, hosts)
        if step.gang and len(starts) < len(waiting):
            # Room of a gang for which runs were stopped is kept until the last of them has ended.
            if ready_step.record.job.id in self._claims():
                self.leftovers.held.update(start.task for start in starts)
            else:
                _release_gang(starts, ready_step, pool, quota)
            return []
        return starts

    def _place(
        self,
        ready_step: ReadyStep,
        waiting: list[Task],
        pool: list[AvailableWorker],
        tickets: Mapping[str, str],
        quota: TeamQuota,
        hosts: Mapping[TaskId, AvailableWorker],
    ) -> list[PlannedStart]:
        """Places the tasks of a step one by one.

        It stops at the first task that no worker can run or that would exceed the team's limit.
        Tasks that must run alone start only on their reserved worker. They come first, as other
        tasks can't use these workers and may find no room.
        """
        step, team = ready_step.step, ready_step.record.job.team
        racks = _tasks_by_rack(ready_step, pool) if step.lasting or step.same_rack else Counter()
        # All members of a gang get the same run number.
        gang_run = max(task.run for task in waiting) + 1
        starts: list[PlannedStart] = []
        for task in sorted(waiting, key=lambda task: task.id not in hosts):
            alone = needs_own_worker(task, step)
            if alone and not may_start_alone(hosts.get(task.id)):
                continue
            workers = [hosts[task.id]] if alone else pool
            chosen = (
                choose_worker(
                    task, step, workers, racks=racks, spread_factor=self._policy.spread_factor
                )
                if quota.allows(team, step)
                else None
            )
            if chosen is None and alone:
                continue
            if chosen is None:
                break
            chosen.reserve(step, task.id[:3], suspicion_of(task))
            racks[chosen.worker.rack] += 1
            quota.charge(team, step)
            run = gang_run if step.gang else task.run + 1
            ticket = tickets.get(chosen.worker.id, "")
            starts.append(PlannedStart(task.id, run, chosen.worker, ticket))
        return starts


class TeamQuota:
    """Tracks the resources that each team uses, to keep them within its limits."""

    def __init__(self, state: JobsState) -> None:
        teams = state.config.teams if state.config is not None else ()
        self._caps = {team.name: team.cap for team in teams}
        self._used: dict[str, Resources] = defaultdict(Resources)
        for tasks in state.assigned.values():
            for task in tasks.values():
                record = state.jobs[task.id.job]
                self.charge(record.job.team, record.job.steps[task.id.step])

    def allows(self, team: str, step: StepSpec) -> bool:
        """Whether the team stays within its limits with one more task of a step."""
        cap = self._caps.get(team)
        if cap is None:
            return True
        after = self._used[team].plus(step.size)
        return all(
            not limit or used <= limit
            for used, limit in (
                (after.cpu, cap.cpu),
                (after.memory_mb, cap.memory_mb),
                (after.accelerators, cap.accelerators),
            )
        )

    def charge(self, team: str, step: StepSpec) -> None:
        """Adds the resources of one task of a step to the team's usage."""
        self._used[team] = self._used[team].plus(step.size)

    def refund(self, team: str, step: StepSpec) -> None:
        """Removes the resources of one task of a step from the team's usage."""
        self._used[team] = self._used[team].minus(step.size)


def _release_gang(
    starts: list[PlannedStart],
    ready_step: ReadyStep,
    pool: list[AvailableWorker],
    quota: TeamQuota,
) -> None:
    """Releases the reservations of a gang of which only some members could be placed."""
    available = {item.worker.id: item for item in pool}
    for start in starts:
        suspicion = suspicion_of(ready_step.record.task(start.task))
        available[start.worker.id].release(ready_step.step, start.task[:3], suspicion)
        quota.refund(ready_step.record.job.team, ready_step.step)


def _tasks_by_rack(ready_step: ReadyStep, pool: list[AvailableWorker]) -> Counter[str]:
    rack_of = {available.worker.id: available.worker.rack for available in pool}
    return Counter(
        rack_of.get(task.worker, "")
        for task in ready_step.tasks
        if task.phase is TaskPhase.ASSIGNED
    )
