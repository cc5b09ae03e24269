"""Decides which waiting tasks start on which workers.

The scheduler only reads the replicated state and returns the starts; the owner commits them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Container, Iterable, Mapping
from functools import partial

from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.scheduling.estimates import DECLARED, DurationEstimates
from geraniumtrack.jobs.scheduling.full_pools import FullPools
from geraniumtrack.jobs.scheduling.gang_room import release_gang, reserve_gang
from geraniumtrack.jobs.scheduling.isolation import (
    may_start_alone,
    needs_own_worker,
    reserve_workers,
)
from geraniumtrack.jobs.scheduling.locality import LocalityWaits, StepLocality, assigned_racks
from geraniumtrack.jobs.scheduling.occupancy import Occupancy
from geraniumtrack.jobs.scheduling.ordering import ON_TIME, JobOrder
from geraniumtrack.jobs.scheduling.pass_steps import (
    PassOutcome,
    PlannedStart,
    ReadyStep,
    UnplacedStep,
)
from geraniumtrack.jobs.scheduling.placement import AvailableWorker, WorkerRanking, choose_worker
from geraniumtrack.jobs.scheduling.placement_trace import PlacementTrace
from geraniumtrack.jobs.scheduling.rack_slots import CapacityForecast, NoForecast
from geraniumtrack.jobs.scheduling.shares import TeamShares
from geraniumtrack.jobs.scheduling.suspicion import Suspicion, suspicion_of
from geraniumtrack.jobs.scheduling.team_quota import TeamQuota
from geraniumtrack.jobs.scheduling.worker_speed import NORMAL_SPEED, WorkerSpeed
from geraniumtrack.jobs.state.jobs_state import JobsState, Task
from geraniumtrack.jobs.state.model import Resources, TaskId, WorkerInfo

__all__ = ["Scheduler"]


class Scheduler:
    """Plans starts for all pools.

    Args:
        state: Returns the replicated state.
        tickets: Returns the valid tickets of a step by worker id.
        settled: Whether a task runs long enough that a crash of its worker says nothing about it.
        may_restart: Whether a waiting task may be started now, as far as its crashes decide.
        policy: Settings of the scheduling policy.
        worker_speed: Returns the speed of a worker by its id.
        durations: Estimates by which the declared durations are corrected.
        forecast: What is known about capacity that becomes free.
        claims: Returns the ids of the jobs for which runs were stopped. While they are on time,
            they come before the other on-time jobs.
        trace: Is told what a pass considers, for a query; None in the owner's own passes.

    Attributes:
        last_pass: What the last pass left unplaced, or None before the first.
        locality: Decides which tasks wait for a slot near their data.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        tickets: Callable[[ReadyStep, list[AvailableWorker]], Mapping[str, str]],
        settled: Callable[[Task], bool],
        may_restart: Callable[[Task], bool] = lambda _task: True,
        policy: PolicySettings = DEFAULT_POLICY,
        worker_speed: Callable[[str], WorkerSpeed] = lambda _worker_id: NORMAL_SPEED,
        durations: DurationEstimates = DECLARED,
        forecast: CapacityForecast | None = None,
        claims: Callable[[], Container[str]] = frozenset,
        trace: PlacementTrace | None = None,
    ) -> None:
        self.last_pass: PassOutcome | None = None
        self._state = state
        self._tickets = tickets
        self._settled = settled
        self._may_restart = may_restart
        self._policy = policy
        self._worker_speed = worker_speed
        self._occupancy = Occupancy()
        self._durations = durations
        self.locality = LocalityWaits(state, forecast or NoForecast(), policy, durations)
        self._claims = claims
        self._trace = trace

    def read_only_copy(
        self,
        state: JobsState,
        *,
        tickets: Callable[[ReadyStep, list[AvailableWorker]], Mapping[str, str]],
        worker_speed: Callable[[str], WorkerSpeed],
        forecast: CapacityForecast,
        trace: PlacementTrace,
    ) -> Scheduler:
        """Returns a scheduler that decides as this one does and leaves this one as it is.

        Args:
            state: The state on which it decides.
            tickets: Returns the valid tickets of a step by worker id, and requests none.
            worker_speed: Returns the speed of a worker by its id, and assesses none.
            forecast: What is known about capacity that becomes free, by these speeds.
            trace: Is told what its passes consider.
        """
        copy = Scheduler(
            state=lambda: state,
            tickets=tickets,
            settled=self._settled,
            may_restart=self._may_restart,
            policy=self._policy,
            worker_speed=worker_speed,
            durations=self._durations,
            forecast=forecast,
            claims=self._claims,
            trace=trace,
        )
        copy._occupancy = self._occupancy.copy_for(state)
        copy.locality.adopt_waits(self.locality)
        return copy

    def usage(self, now: float) -> tuple[TeamQuota, TeamShares]:
        """Returns what the teams use, before anything is planned.

        Args:
            now: Wall-clock time in seconds.
        """
        state = self._state()
        self._occupancy.refresh(state)
        quota = TeamQuota(state, self._occupancy)
        return quota, TeamShares(state, self._occupancy, now, self._policy, self._durations)

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
        return self._ready_steps(now, self._order(now))

    def _order(self, now: float) -> JobOrder:
        return JobOrder(self._state(), now, self._policy, self._durations, self._claims())

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
        quota, shares = self.usage(now)
        starts: list[PlannedStart] = []
        order = self._order(now)
        self.last_pass = PassOutcome(order, quota)
        ready_steps = self._ready_steps(now, order)
        hosts = self._reserve_hosts(ready_steps, workers, quota)
        self.locality.begin_pass(ready_steps, workers, now)
        full = FullPools()
        for ready_step in shares.turns(ready_steps):
            pool = workers.get(ready_step.queue.pool)
            if self._trace is not None:
                self._trace.begin_step(ready_step, pool or [], quota)
            if not pool:
                continue
            if full.excludes(ready_step):
                self._note_unplaced(ready_step, [], pool)
                continue
            waiting = len(ready_step.waiting)
            planned = self._plan_step(ready_step, pool, quota, hosts)
            if len(planned) < waiting and quota.allows(ready_step.record.job.team, ready_step.step):
                full.record_unplaced(ready_step, pool)
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
        unplaced = len(planned) < steps[ready_step.step_number].waiting
        if unplaced and self.last_pass.examines(ready_step):
            workers, _ = self._permitted(ready_step, pool)
            placed = {start.task for start in planned}
            held, local = self.last_pass.held, self.locality.waiting
            if held or local:
                tasks = (task.id for task in ready_step.waiting)
                placed.update(task for task in tasks if task in held or task in local)
            self.last_pass.unplaced.append(UnplacedStep(ready_step, placed, workers))

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
            tasks = [
                task
                for task in ready_step.waiting
                if needs_own_worker(task, step) and self._may_restart(task)
            ]
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
        quota: TeamQuota,
        locality: StepLocality | None,
    ) -> list[PlannedStart]:
        """Returns the starts of a gang: none if not all have room, or if it waits for one rack."""
        complete = len(starts) == len(ready_step.waiting)
        together = locality is None or locality.is_together(starts)
        if not (complete and together):
            # Room of a gang for which runs were stopped is kept until the last of them has ended.
            if not complete and ready_step.record.job.id in self._claims():
                self.last_pass.held.update(start.task for start in starts)
                return []
            release_gang(starts, ready_step, pool, quota)
            if not complete or locality.gang_waits(starts):
                return []
            reserve_gang(starts, ready_step, pool, quota)
        for start in starts:
            self.locality.record_start(ready_step, start, local=together)
        return starts

    def _place(
        self,
        ready_step: ReadyStep,
        waiting: list[Task],
        pool: list[AvailableWorker],
        tickets: Mapping[str, str],
        quota: TeamQuota,
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
        ranking: WorkerRanking | None = None
        for task in sorted(waiting, key=lambda task: task.id not in hosts):
            if not self._may_restart(task):
                continue
            alone = needs_own_worker(task, step)
            if alone and not may_start_alone(hosts.get(task.id)):
                continue
            workers = [hosts[task.id]] if alone else pool
            alike = locality is None and not alone and WorkerRanking.suits(task, step)
            choose = partial(
                choose_worker, task, step, racks=racks, spread_factor=self._policy.spread_factor
            )
            chosen = None
            if quota.allows(team, step) and alike:
                factor = self._policy.spread_factor
                ranking = ranking or WorkerRanking(task, step, pool, spread_factor=factor)
                chosen = ranking.best()
            elif quota.allows(team, step):
                known = locality.choose(task, choose) if locality is not None else None
                chosen = known or choose(workers)
            if self._trace is not None:
                self._trace.choose(task, step, workers, chosen, racks)
            if chosen is None and alone:
                continue
            if chosen is None:
                break
            if locality is not None and locality.waits(task, chosen):
                continue
            chosen.reserve(step, task.id[:3], suspicion_of(task))
            if alike:
                ranking.refresh_best()
            else:
                ranking = None
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


def _rack_counts(ready_step: ReadyStep, pool: list[AvailableWorker]) -> Counter[str]:
    """Returns the number of a step's assigned tasks by rack, if placement depends on it."""
    step = ready_step.step
    return assigned_racks(ready_step, pool) if step.lasting or step.same_rack else Counter()
