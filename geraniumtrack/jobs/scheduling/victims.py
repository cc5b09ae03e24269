"""Which runs of a pool may be stopped for other jobs, and in which order.

A run may be stopped only for a job of a higher standing. The standing of a job is its class (on
time, late, expired), the priority of its queue, and whether it is beyond its team's rate. Unlike
`JobOrder`, which decides about waiting tasks, it takes the progress of running tasks into account:
a job whose last task ends in time is not late.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.ordering import (
    EXPIRED,
    LATE,
    ON_TIME,
    JobOrder,
    completion_deadline,
    expiry,
)
from geraniumtrack.jobs.scheduling.placement import AvailableWorker
from geraniumtrack.jobs.state.jobs_state import JobRecord, StepProgress, Task
from geraniumtrack.jobs.state.model import JobQueue, StepSpec

__all__ = [
    "PoolRun",
    "PreemptionReason",
    "Standing",
    "Victim",
    "find_victims",
    "in_order",
    "run_times",
    "standing_of_waiting",
]

Standing = tuple[int, int, bool]  # class, queue priority, whether beyond the rate; lowest first
OccurrenceKey = tuple[str, int]
StepKey = tuple[str, int, int]


class PreemptionReason(StrEnum):
    """Why a run is stopped rather than another one; the first ones come first."""

    EXPIRED = "expired"
    LATE = "late"
    BEYOND_RATE = "beyond_rate"
    LOWER_PRIORITY = "lower_priority"


RANKS = {reason: rank for rank, reason in enumerate(PreemptionReason)}


@dataclass(slots=True, eq=False)
class PoolRun:
    """A run on a worker that accepts tasks.

    Attributes:
        task: The task, in phase ASSIGNED.
        step: The specification of its step.
        record: Its job.
        queue: The queue of the job.
        available: The worker with its room in this pass.
        remaining_s: Expected time in seconds until it ends.
        lost_s: Time in seconds that it worked since its last checkpoint, or its start.
        may_stop: Whether its start time is known and neither it nor the task's run before was
            preempted.
        leaving: Whether its end is being committed or a stop is under way.
    """

    task: Task
    step: StepSpec
    record: JobRecord
    queue: JobQueue
    available: AvailableWorker
    remaining_s: float
    lost_s: float
    may_stop: bool
    leaving: bool


@dataclass(slots=True, eq=False)
class Victim:
    """Runs that can only be stopped together: one run, or all runs of a gang.

    Attributes:
        runs: The runs.
        standing: Standing of their job.
        lost_s: Longest time in seconds that one of the runs worked in vain if stopped now.
    """

    runs: tuple[PoolRun, ...]
    standing: Standing
    lost_s: float

    @property
    def job_id(self) -> str:
        """Id of the job of the runs."""
        return self.runs[0].task.id.job

    def reason_for(self, standing: Standing) -> PreemptionReason | None:
        """Returns why the runs may be stopped for a job, None if they may not.

        Args:
            standing: Standing of that job.
        """
        if self.standing <= standing:
            return None
        order_class, _, beyond = self.standing
        if order_class == EXPIRED:
            return PreemptionReason.EXPIRED
        if order_class == LATE:
            return PreemptionReason.LATE
        if beyond and not standing[2]:
            return PreemptionReason.BEYOND_RATE
        return PreemptionReason.LOWER_PRIORITY


def in_order(chosen: Iterable[tuple[Victim, PreemptionReason]]) -> list:
    """Returns victims with their reasons in the order in which they are stopped.

    The reason comes first, then the work that is lost, which is least after a checkpoint. The runs
    of one job follow each other, since each further job that loses a run may miss its deadline.
    """
    chosen = list(chosen)
    least_lost_s: dict[tuple[int, str], float] = {}
    for victim, reason in chosen:
        key = (RANKS[reason], victim.job_id)
        least_lost_s[key] = min(victim.lost_s, least_lost_s.get(key, victim.lost_s))

    def sort_key(pair: tuple[Victim, PreemptionReason]) -> tuple:
        victim, reason = pair
        rank, job_id = RANKS[reason], victim.job_id
        return rank, least_lost_s[rank, job_id], job_id, victim.lost_s, victim.runs[0].task.id

    return sorted(chosen, key=sort_key)


def standing_of_waiting(order: JobOrder, record: JobRecord, queue: JobQueue) -> Standing:
    """Returns the standing of an on-time job with waiting tasks."""
    return ON_TIME, queue.priority, not order.counts_within_rate(record)


def run_times(
    step: StepSpec,
    available: AvailableWorker,
    *,
    elapsed_s: float,
    resumed: bool,
    policy: PolicySettings,
) -> tuple[float, float]:
    """Returns `remaining_s` and `lost_s` of a run.

    A run that has exceeded its expected duration is expected to exceed it by as much again, since
    durations vary by a factor rather than by an amount.

    Args:
        step: The step of its task.
        available: Its worker.
        elapsed_s: Time in seconds since it started.
        resumed: Whether it resumed from a checkpoint.
        policy: Settings of the scheduling policy.
    """
    slowdown = available.speed.slowdown
    remote = bool(step.data_rack) and available.worker.rack != step.data_rack
    factor = slowdown * (policy.spread_factor if remote else 1.0)
    work_s, interval_s = step.estimate_s, policy.checkpoint_interval_s
    if resumed:
        # The checkpoint saved at least one interval of work.
        work_s = max(work_s - interval_s, 0.0) + policy.restore_s
    remaining_s = abs(work_s * factor - elapsed_s)
    if not step.checkpoints or interval_s <= 0:
        return remaining_s, elapsed_s
    since_restore_s = elapsed_s - policy.restore_s if resumed else elapsed_s
    return remaining_s, max(since_restore_s, 0.0) % (interval_s * factor)


def find_victims(
    runs: Sequence[PoolRun], order: JobOrder, policy: PolicySettings, now: float
) -> list[Victim]:
    """Returns the runs of a pool that may be stopped for jobs of a higher standing.

    Args:
        runs: All runs on the available workers of the pool.
        order: The order of jobs in the pass.
        policy: Settings of the scheduling policy.
        now: Wall-clock time in seconds.
    """
    standings = _Standings(runs, order, now)
    victims: list[Victim] = []
    gangs: dict[StepKey, list[PoolRun]] = defaultdict(list)
    for run in runs:
        if run.step.gang:
            gangs[run.task.id[:3]].append(run)
        elif _may_be_victim(run, policy):
            victims.append(Victim((run,), standings.of(run), run.lost_s))
    for (_, occurrence, step), members in gangs.items():
        record = members[0].record
        whole = len(members) == len(record.occurrences[occurrence][step].tasks)
        if whole and all(_may_be_victim(run, policy) for run in members):
            lost = max(run.lost_s for run in members)
            victims.append(Victim(tuple(members), standings.of(members[0]), lost))
    return victims


def _may_be_victim(run: PoolRun, policy: PolicySettings) -> bool:
    """Whether a run may be stopped and would take longer than its stop and what that loses."""
    step, available = run.step, run.available
    loss_s = run.lost_s + (policy.restore_s if step.checkpoints else 0.0)
    if run.leaving or not run.may_stop or run.remaining_s <= policy.stop_grace_s + loss_s:
        return False
    if available.reserved_for is not None or available.isolated or available.speed.probe_only:
        return False
    # Best-effort tasks use no processors that others need. A task under which a worker crashed may
    # have waited long for an empty worker.
    return not (step.lasting or step.filler or run.task.crashes)


class _Standings:
    """The standing of the jobs that have runs."""

    def __init__(self, runs: Iterable[PoolRun], order: JobOrder, now: float) -> None:
        self._order = order
        self._now = now
        self._by_occurrence: dict[OccurrenceKey, Standing] = {}
        self._left_s: dict[StepKey, float] = defaultdict(float)
        for run in runs:
            key = run.task.id[:3]
            if run.remaining_s > self._left_s[key]:
                self._left_s[key] = run.remaining_s

    def of(self, run: PoolRun) -> Standing:
        """Returns the standing of the job of a run."""
        key = run.task.id[:2]
        standing = self._by_occurrence.get(key)
        if standing is None:
            standing = self._by_occurrence[key] = self._standing(run)
        return standing

    def _standing(self, run: PoolRun) -> Standing:
        record, queue, occurrence = run.record, run.queue, run.task.id.occurrence
        if self._now > expiry(record.job, queue, occurrence):
            return EXPIRED, queue.priority, False
        end = self._now + self._path_left_s(record, occurrence)
        if end > completion_deadline(record.job, queue, occurrence):
            return LATE, queue.priority, False
        return ON_TIME, queue.priority, not self._order.counts_within_rate(record)

    def _path_left_s(self, record: JobRecord, occurrence: int) -> float:
        """Returns the critical path of an occurrence in seconds, less what its runs have done."""
        ends: list[float] = []
        for number, progress in enumerate(record.occurrences[occurrence]):
            step = record.job.steps[number]
            start = max((ends[earlier] for earlier in step.after if earlier < number), default=0.0)
            key = (record.job.id, occurrence, number)
            ends.append(start + self._step_left_s(key, step, progress))
        return max(ends, default=0.0)

    def _step_left_s(self, key: StepKey, step: StepSpec, progress: StepProgress) -> float:
        if progress.done == len(progress.tasks):
            return 0.0
        return step.estimate_s if progress.waiting else self._left_s.get(key, 0.0)
