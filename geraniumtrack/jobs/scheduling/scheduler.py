"""Decides which waiting tasks start on which workers.

The scheduler only reads the replicated state and returns the starts; the owner commits them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial

from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.scheduling.estimates import DECLARED, DurationEstimates
from geraniumtrack.jobs.scheduling.full_pools import FullPools
from geraniumtrack.jobs.scheduling.isolation import (
    may_start_alone,
    needs_own_worker,
    reserve_workers,
)
from geraniumtrack.jobs.scheduling.locality import LocalityWaits, StepLocality, assigned_racks
from geraniumtrack.jobs.scheduling.occupancy import Occupancy
from geraniumtrack.jobs.scheduling.ordering import JobOrder
from geraniumtrack.jobs.scheduling.placement import AvailableWorker, choose_worker
from geraniumtrack.jobs.scheduling.rack_slots import CapacityForecast, NoForecast
from geraniumtrack.jobs.scheduling.shares import TeamShares
from geraniumtrack.jobs.scheduling.suspicion import Suspicion, suspicion_of
from geraniumtrack.jobs.scheduling.worker_speed import NORMAL_SPEED, WorkerSpeed
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState, Task, TaskPhase
from geraniumtrack.jobs.state.model import JobQueue, Resources, StepSpec, TaskId, WorkerInfo

__all__ = ["PlannedStart", "ReadyStep", "Scheduler"]


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


class Scheduler:
    """Plans starts for all pools.

    Args:
        state: Returns the replicated state.
        tickets: Returns the valid tickets of a step by worker id.
        settled: Whether a task runs long enough that a crash of its worker says nothing about it.
        policy: Settings of the scheduling policy.
        worker_speed: Returns the speed of a worker by its id.
        durations: Estimates by which the declared durations are corrected.
        forecast: What is known about capacity that becomes free.

    Attributes:
        locality: Decides which tasks wait for a slot near their data.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        tickets: Callable[[ReadyStep, list[AvailableWorker]], Mapping[str, str]],
        settled: Callable[[Task], bool],
        policy: PolicySettings = DEFAULT_POLICY,
        worker_speed: Callable[[str], WorkerSpeed] = lambda _worker_id: NORMAL_SPEED,
        durations: DurationEstimates = DECLARED,
        forecast: CapacityForecast | None = None,
    ) -> None:
        self._state = state
        self._tickets = tickets
        self._settled = settled
        self._policy = policy
        self._worker_speed = worker_speed
        self._occupancy = Occupancy()
        self._durations = durations
        self.locality = LocalityWaits(state, forecast or NoForecast(), policy)

    def available_workers_by_pool(
        self, workers: Iterable[tuple[WorkerInfo, Resources, bool]]
    ) -> dict[str, list[AvailableWorker]]:
        """Returns the given workers with their free resources, by pool.

        Args:
            workers: One row for each worker that accepts tasks: the worker, the resources used by
                runs that are not in the replicated state, and whether its last run failed.
        """
        state = self._state()
        self._occupancy.refresh(state)
        by_pool: dict[str, list[AvailableWorker]] = defaultdict(list)
        for worker, untracked, last_run_failed in workers:
            occupied = self._occupancy.of_worker(worker.id)
            suspicions = [suspicion_of(t) for t in occupied.crashed if not self._settled(t)]
            available = AvailableWorker(
                worker,
                worker.capacity.minus(untracked).minus(occupied.reserved),
                tasks=Counter(occupied.tasks),
                last_run_failed=last_run_failed,
                lasting=occupied.lasting,
                lasting_size=occupied.lasting_size,
                suspects=len(suspicions),
                isolated=suspicions.count(Suspicion.ISOLATED),
                speed=self._worker_speed(worker.id),
            )
            by_pool[worker.pool].append(available)
        return by_pool

    def ready_steps(self, now: float) -> list[ReadyStep]:
        """Returns the steps whose tasks may start, sorted by their keys; see `JobOrder`.

        Args:
            now: Wall-clock time in seconds.
        """
        found: list[ReadyStep] = []
        state = self._state()
        order = JobOrder(state, now, self._policy, self._durations)
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
        self._occupancy.refresh(self._state())
        quota = _TeamQuota(self._state(), self._occupancy)
        starts: list[PlannedStart] = []
        ready_steps = self.ready_steps(now)
        hosts = self._reserve_hosts(ready_steps, workers, quota)
        self.locality.begin_pass(ready_steps, workers, now)
        shares = TeamShares(self._state(), self._occupancy, now, self._policy, self._durations)
        full = FullPools()
        for ready_step in shares.turns(ready_steps):
            pool = workers.get(ready_step.queue.pool)
            if not pool or full.excludes(ready_step):
                continue
            waiting = len(ready_step.waiting)
            planned = self._plan_step(ready_step, pool, quota, hosts)
            if len(planned) < waiting and quota.allows(ready_step.record.job.team, ready_step.step):
                full.record_unplaced(ready_step)
            shares.charge(ready_step, len(planned))
            starts += planned
        return starts

    def _reserve_hosts(
        self,
        ready_steps: list[ReadyStep],
        workers: dict[str, list[AvailableWorker]],
        quota: _TeamQuota,
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
        quota: _TeamQuota,
        hosts: Mapping[TaskId, AvailableWorker],
    ) -> list[PlannedStart]:
        step = ready_step.step
        waiting = ready_step.waiting
        if step.gang and len(waiting) < len(ready_step.tasks):
            return []
        pool, tickets = self._permitted(ready_step, pool)
        if not pool:
            return []
        locality = self.locality.step(ready_step, pool)
        starts = self._place(ready_step, waiting, pool, tickets, quota, hosts, locality)
        if step.gang:
            return self._gang_starts(starts, ready_step, pool, quota, locality)
        return starts

    def _gang_starts(
        self,
        starts: list[PlannedStart],
        ready_step: ReadyStep,
        pool: list[AvailableWorker],
        quota: _TeamQuota,
        locality: StepLocality | None,
    ) -> list[PlannedStart]:
        """Returns the starts of a gang: none if not all have room, or if it waits for one rack."""
        complete = len(starts) == len(ready_step.waiting)
        together = locality is None or locality.is_together(starts)
        if not (complete and together):
            _release_gang(starts, ready_step, pool, quota)
            if not complete or locality.gang_waits(starts):
                return []
            _reserve_gang(starts, ready_step, pool, quota)
        for start in starts:
            self.locality.record_start(ready_step, start, local=together)
        return starts

    def _place(
        self,
        ready_step: ReadyStep,
        waiting: list[Task],
        pool: list[AvailableWorker],
        tickets: Mapping[str, str],
        quota: _TeamQuota,
        hosts: Mapping[TaskId, AvailableWorker],
        locality: StepLocality | None,
    ) -> list[PlannedStart]:
        """Places the tasks of a step one by one.

        It stops at the first task that no worker can run or that would exceed the team's limit.
        Tasks that must run alone start only on their reserved worker. They come first, as other
        tasks can't use these workers and may find no room.
        """
        step, team = ready_step.step, ready_step.record.job.team
        racks = locality.racks if locality is not None else _rack_counts(ready_step, pool)
        # All members of a gang get the same run number.
        gang_run = max(task.run for task in waiting) + 1
        starts: list[PlannedStart] = []
        for task in sorted(waiting, key=lambda task: task.id not in hosts):
            alone = needs_own_worker(task, step)
            if alone and not may_start_alone(hosts.get(task.id)):
                continue
            workers = [hosts[task.id]] if alone else pool
            choose = partial(
                choose_worker, task, step, racks=racks, spread_factor=self._policy.spread_factor
            )
            chosen = None
            if quota.allows(team, step):
                known = locality.choose(task, choose) if locality is not None else None
                chosen = known or choose(workers)
            if chosen is None and alone:
                continue
            if chosen is None:
                break
            if locality is not None and locality.waits(task, chosen):
                continue
            chosen.reserve(step, task.id[:3], suspicion_of(task))
            racks[chosen.worker.rack] += 1
            quota.charge(team, step)
            run = gang_run if step.gang else task.run + 1
            ticket = tickets.get(chosen.worker.id, "")
            start = PlannedStart(task.id, run, chosen.worker, ticket)
            starts.append(start)
            if not step.gang:
                self.locality.record_start(
                    ready_step, start, local=locality is None or locality.place(chosen)
                )
        return starts


class _TeamQuota:
    """Tracks the resources that each team uses, to keep them within its limits."""

    def __init__(self, state: JobsState, occupancy: Occupancy) -> None:
        teams = state.config.teams if state.config is not None else ()
        self._caps = {team.name: team.cap for team in teams}
        self._used = defaultdict(Resources, occupancy.size_by_team())

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
    quota: _TeamQuota,
) -> None:
    """Releases the reservations of a gang of which only some members could be placed."""
    available = {item.worker.id: item for item in pool}
    for start in starts:
        suspicion = suspicion_of(ready_step.record.task(start.task))
        available[start.worker.id].release(ready_step.step, start.task[:3], suspicion)
        quota.refund(ready_step.record.job.team, ready_step.step)


def _reserve_gang(
    starts: list[PlannedStart],
    ready_step: ReadyStep,
    pool: list[AvailableWorker],
    quota: _TeamQuota,
) -> None:
    """Reserves again what `_release_gang` released."""
    available = {item.worker.id: item for item in pool}
    for start in starts:
        suspicion = suspicion_of(ready_step.record.task(start.task))
        available[start.worker.id].reserve(ready_step.step, start.task[:3], suspicion)
        quota.charge(ready_step.record.job.team, ready_step.step)


def _rack_counts(ready_step: ReadyStep, pool: list[AvailableWorker]) -> Counter[str]:
    """Returns the number of a step's assigned tasks by rack, if placement depends on it."""
    step = ready_step.step
    return assigned_racks(ready_step, pool) if step.lasting or step.same_rack else Counter()
