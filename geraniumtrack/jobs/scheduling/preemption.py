"""Chooses runs to stop for jobs that would otherwise miss their deadline.

The load: a pool is full of runs of late jobs, of jobs beyond their team's rate or of queues of a
lower priority, while tasks of an on-time job find no room. Runs are stopped only if all waiting
tasks of the job then start early enough for its deadline, and if the room that runs leave by
themselves comes too late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.isolation import needs_own_worker
from geraniumtrack.jobs.scheduling.ordering import (
    ESTIMATE_MARGIN,
    completion_deadline,
    remaining_critical_path_s,
)
from geraniumtrack.jobs.scheduling.pass_steps import PassOutcome, UnplacedStep
from geraniumtrack.jobs.scheduling.placement import AvailableWorker, choose_worker
from geraniumtrack.jobs.scheduling.pool_room import ExpectedRoom, Rooms, Trial
from geraniumtrack.jobs.scheduling.victims import (
    PoolRun,
    PreemptionReason,
    Standing,
    Victim,
    find_victims,
    in_order,
    standing_of_waiting,
)
from geraniumtrack.jobs.state.jobs_state import JobRecord, Task
from geraniumtrack.jobs.state.model import Resources, StepSpec

__all__ = ["Preemption", "choose_preemptions"]

# Runs are stopped only when a job has to start within the stop grace plus this time, since room may
# be left earlier than expected. It covers a stop that is repeated once, after 0.5 s, and the passes
# until then.
LAST_MOMENT_S = 0.7
MAX_TRIED_VICTIMS = 500  # for one pool in one pass, which bounds the cost of a pass

Chosen = tuple[Victim, PreemptionReason]
Need = tuple[Standing, Resources, str]  # standing of the job, size and label of its tasks


@dataclass(frozen=True, slots=True)
class Preemption:
    """A run to stop.

    Attributes:
        run: The run.
        reason: Why it is stopped rather than another one.
        beneficiary: The job that gets the room.
    """

    run: PoolRun
    reason: PreemptionReason
    beneficiary: JobRecord


@dataclass(slots=True)
class _WaitingJob:
    """The unplaced steps of an occurrence of a job.

    Attributes:
        items: The steps.
        slack_s: Time in seconds after which they would start too late.
    """

    items: list[UnplacedStep]
    slack_s: float

    @property
    def team(self) -> str:
        """Team of the job."""
        return self.items[0].ready_step.record.job.team

    def is_urgent(self, policy: PolicySettings) -> bool:
        """Whether it is time to stop runs for the job, and not too late."""
        return 0.0 <= self.slack_s - policy.stop_grace_s <= LAST_MOMENT_S


def choose_preemptions(
    unplaced: Iterable[UnplacedStep],
    runs: Callable[[], list[PoolRun]],
    *,
    last_pass: PassOutcome,
    policy: PolicySettings,
    now: float,
    limit: int,
) -> list[Preemption]:
    """Returns the runs of one pool to stop.

    The room of the available workers and the quota are changed, so they can't be used afterwards.

    Args:
        unplaced: Unplaced steps of the pool's on-time jobs, in their order.
        runs: Returns all runs on the available workers of the pool. It is called only if a job is
            urgent.
        last_pass: The pass that left the steps unplaced.
        policy: Settings of the scheduling policy.
        now: Wall-clock time in seconds.
        limit: Largest number of runs to stop.
    """
    jobs = _waiting_jobs(unplaced, now) if limit > 0 else []
    if not any(job.is_urgent(policy) for job in jobs):
        return []
    pool_runs = runs()
    victims = find_victims(pool_runs, last_pass.order, policy, now)
    if not victims:
        return []
    pool = _PoolPreemption(pool_runs, victims, last_pass, policy, limit)
    while not jobs[-1].is_urgent(policy):
        jobs.pop()
    for job in jobs:
        if len(pool.preemptions) >= limit:
            break
        pool.consider(job)
    return pool.preemptions


def _waiting_jobs(unplaced: Iterable[UnplacedStep], now: float) -> list[_WaitingJob]:
    groups: dict[tuple[str, int], list[UnplacedStep]] = {}
    for item in unplaced:
        ready_step = item.ready_step
        groups.setdefault((ready_step.record.job.id, ready_step.occurrence), []).append(item)
    return [_WaitingJob(items, _slack_s(items[0], now)) for items in groups.values()]


def _slack_s(item: UnplacedStep, now: float) -> float:
    ready_step = item.ready_step
    record, occurrence = ready_step.record, ready_step.occurrence
    path_s = remaining_critical_path_s(record, occurrence) * (1 + ESTIMATE_MARGIN)
    return completion_deadline(record.job, ready_step.queue, occurrence) - now - path_s


class _PoolPreemption:
    """Chooses the runs to stop in one pool.

    Attributes:
        preemptions: The chosen runs.
    """

    def __init__(
        self,
        runs: list[PoolRun],
        victims: list[Victim],
        last_pass: PassOutcome,
        policy: PolicySettings,
        limit: int,
    ) -> None:
        self.preemptions: list[Preemption] = []
        self._last_pass = last_pass
        self._policy = policy
        self._limit = limit
        self._victims = victims
        self._sorted: dict[Standing, list[Chosen]] = {}
        self._taken: set[int] = set()  # ids of the chosen `Victim` objects
        self._tries_left = MAX_TRIED_VICTIMS
        self._failed: dict[Need, int] = {}  # smallest number of tasks without enough victims
        self._rooms = Rooms()
        self._expected = ExpectedRoom(runs)
        for run in runs:
            if run.leaving:
                self._rooms.release(run)

    def consider(self, job: _WaitingJob) -> None:
        """Chooses runs to stop for a job, if it meets its deadline then and not otherwise.

        Whether its tasks get room from runs that leave, from victims or later, the jobs after it
        can't count on this room.
        """
        if not self._has_quota(job.items[0]):
            return
        urgent = job.is_urgent(self._policy)
        missing: list[tuple[UnplacedStep, list[Task]]] = []
        for item in job.items:
            step = item.ready_step.step
            tasks = self._without_room(item)
            in_time = 0
            # The members of a gang start together, so room that is left early is of no use.
            if urgent and not step.gang:
                in_time = self._expected.take_in_time(step, len(tasks), job.slack_s)
            self._expected.take(step, len(tasks) - in_time)
            missing.append((item, tasks[in_time:]))
        if urgent and any(tasks for _, tasks in missing) and self._may_help(missing):
            charged = self._charge(missing)
            if charged is not None and not self._preempt(missing, job.slack_s):
                self._refund(job.team, charged)

    def _may_help(self, missing: list[tuple[UnplacedStep, list[Task]]]) -> bool:
        """Whether victims could let the missing tasks of a job start."""
        for item, tasks in missing:
            if len(tasks) >= self._failed.get(self._need(item), len(tasks) + 1):
                return False
        return all(_may_benefit(item) for item, _ in missing)

    def _has_quota(self, item: UnplacedStep) -> bool:
        ready_step = item.ready_step
        return self._last_pass.quota.allows(ready_step.record.job.team, ready_step.step)

    def _charge(self, missing: list[tuple[UnplacedStep, list[Task]]]) -> list[StepSpec] | None:
        """Charges the tasks of a job to its team; returns their steps, None if over its cap."""
        quota = self._last_pass.quota
        charged: list[StepSpec] = []
        for item, tasks in missing:
            team, step = item.ready_step.record.job.team, item.ready_step.step
            for _ in tasks:
                if not quota.allows(team, step):
                    self._refund(team, charged)
                    return None
                quota.charge(team, step)
                charged.append(step)
        return charged

    def _refund(self, team: str, charged: list[StepSpec]) -> None:
        for step in charged:
            self._last_pass.quota.refund(team, step)

    def _without_room(self, item: UnplacedStep) -> list[Task]:
        """Gives the tasks of a step the room of runs that leave; returns those without any."""
        tasks, workers = item.tasks, self._rooms.changed
        if not workers:
            return tasks
        if item.ready_step.queue.advised:
            permitted = {available.worker.id for available in item.workers}
            workers = [available for available in workers if available.worker.id in permitted]
        return self._place(item.ready_step.step, tasks, workers)

    def _place(
        self, step: StepSpec, tasks: list[Task], workers: list[AvailableWorker]
    ) -> list[Task]:
        workers = [available for available in workers if step.reserved.fits(available.free)]
        for number, task in enumerate(tasks):
            chosen = choose_worker(task, step, workers) if workers else None
            if chosen is None:
                return tasks[number:]
            self._rooms.reserve(chosen, step, task)
        return []

    def _preempt(self, missing: list[tuple[UnplacedStep, list[Task]]], slack_s: float) -> bool:
        """Chooses victims for all missing tasks of a job; returns False if there are too few."""
        mark = self._rooms.mark()
        chosen: list[Chosen] = []
        for item, tasks in missing:
            # A task that waits although there is room, for example near its data, needs no victim.
            tasks = self._place(item.ready_step.step, tasks, item.workers)
            if not self._take(item, tasks, slack_s, chosen):
                self._rooms.undo(mark)
                self._taken.difference_update(id(victim) for victim, _ in chosen)
                return False
        record = missing[0][0].ready_step.record
        self.preemptions += [
            Preemption(run, reason, record) for victim, reason in chosen for run in victim.runs
        ]
        return True

    def _take(
        self, item: UnplacedStep, tasks: list[Task], slack_s: float, chosen: list[Chosen]
    ) -> bool:
        """Adds victims whose room suffices for tasks of a step; returns False if there are too few.

        The victims are tried in their order: the room of each is added to that of its worker, until
        a task fits there. Of the victims on this worker, those that the task needs are taken.
        """
        need = self._need(item)
        step = item.ready_step.step
        pending = deque(tasks)
        fit = _Fit(item, self._policy, slack_s - self._policy.stop_grace_s)
        trials: dict[str, Trial | None] = {}
        for victim, reason in self._candidates(need[0]) if pending else ():
            if not pending or not self._tries_left or self._over_limit(chosen):
                break
            if id(victim) in self._taken:
                continue
            self._tries_left -= 1
            for run in victim.runs:
                available = run.available
                if available.worker.id not in trials:
                    usable = fit.may_use(available)
                    trials[available.worker.id] = Trial(available) if usable else None
                trial = trials[available.worker.id]
                if trial is None:
                    continue
                if id(victim) in self._taken:
                    trial.refresh(self._taken)  # for an earlier run of the same gang
                else:
                    trial.add(run, (victim, reason))
                while pending and trial.fits(step.reserved):
                    if not self._settle(trial, pending[0], fit, chosen):
                        trials[available.worker.id] = None
                        break
                    pending.popleft()
        if not pending and not self._over_limit(chosen):
            return True
        self._failed[need] = len(tasks)
        return False

    def _over_limit(self, chosen: list[Chosen]) -> bool:
        runs = sum(len(victim.runs) for victim, _ in chosen)
        return len(self.preemptions) + runs > self._limit

    def _settle(self, trial: Trial, task: Task, fit: _Fit, chosen: list[Chosen]) -> bool:
        """Places a task on a worker, in the room of the victims that it needs there.

        Returns False if the worker can't run the task, for example another one of its step.
        """
        needed, spare = trial.divide(fit.step.reserved, self._taken)
        mark = self._rooms.mark()
        for victim, _ in needed:
            for run in victim.runs:
                self._rooms.release(run)
        if not fit.accepts(task, trial.available):
            self._rooms.undo(mark)
            return False
        self._rooms.reserve(trial.available, fit.step, task)
        chosen += needed
        self._taken.update(id(victim) for victim, _ in needed)
        trial.reset(row for row in spare if id(row[1][0]) not in self._taken)
        return True

    def _need(self, item: UnplacedStep) -> Need:
        ready_step = item.ready_step
        order, step = self._last_pass.order, ready_step.step
        standing = standing_of_waiting(order, ready_step.record, ready_step.queue)
        return standing, step.reserved, step.label

    def _candidates(self, standing: Standing) -> list[Chosen]:
        found = self._sorted.get(standing)
        if found is None:
            pairs = ((victim, victim.reason_for(standing)) for victim in self._victims)
            found = [(victim, reason) for victim, reason in pairs if reason is not None]
            self._sorted[standing] = found = in_order(found)
        return found


def _may_benefit(item: UnplacedStep) -> bool:
    """Whether room for the waiting tasks of a step lets them start."""
    ready_step = item.ready_step
    step, record = ready_step.step, ready_step.record
    if step.gang and len(ready_step.waiting) < step.count:
        return False
    return not (record.crashed_workers and any(needs_own_worker(task, step) for task in item.tasks))


class _Fit:
    """Whether tasks of a step may take room on a worker and meet the deadline there.

    Args:
        item: The step.
        policy: Settings of the scheduling policy.
        slack_s: Time in seconds by which tasks may take longer than estimated.

    Attributes:
        step: The specification of the step.
    """

    def __init__(self, item: UnplacedStep, policy: PolicySettings, slack_s: float) -> None:
        self.step = item.ready_step.step
        self._policy = policy
        self._slack_s = slack_s
        self._workers: set[str] | None = None
        if item.ready_step.queue.advised:
            self._workers = {available.worker.id for available in item.workers}
        self._racks: set[str] = set()
        if self.step.same_rack:
            racks = {available.worker.id: available.worker.rack for available in item.workers}
            self._racks = {racks[t.worker] for t in item.ready_step.tasks if t.worker in racks}

    def may_use(self, available: AvailableWorker) -> bool:
        """Whether the step may run on a worker and would be done in time there."""
        worker = available.worker
        if self._workers is not None and worker.id not in self._workers:
            return False
        if self.step.label and self.step.label not in worker.labels:
            return False
        remote = bool(self.step.data_rack) and worker.rack != self.step.data_rack
        if self.step.same_rack and self._racks:
            remote |= self._racks != {worker.rack}
        factor = available.speed.slowdown * (self._policy.spread_factor if remote else 1.0)
        return (factor - 1.0) * self.step.estimate_s * (1 + ESTIMATE_MARGIN) <= self._slack_s

    def accepts(self, task: Task, available: AvailableWorker) -> bool:
        """Whether a task can be placed on a worker; counts its rack if so."""
        # The rack of an earlier task of the step may have changed what is in time.
        if not self.may_use(available) or choose_worker(task, self.step, [available]) is None:
            return False
        self._racks.add(available.worker.rack)
        return True
