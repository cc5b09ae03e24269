"""The order in which waiting steps are considered for placement.

Steps of service tasks come first, then the steps of jobs that can still meet their deadline, then
those of late jobs, then those of expired ones. A job should be done within `stretch` times its
critical path plus a fixed latency. A job that misses this deadline is worth only a fraction, so it
comes after the jobs that can meet theirs. After EXPIRY_FACTOR times that duration it is worth
nothing.

Where teams have weights, jobs within their team's rate come before those beyond it. The order
between teams whose jobs have not started is in `shares`.
"""

from __future__ import annotations

import math
from collections.abc import Container

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.estimates import DECLARED, MEDIAN, DurationEstimates
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState
from geraniumtrack.jobs.state.model import FleetConfig, Job, JobQueue, StepSpec

__all__ = [
    "ESTIMATE_MARGIN",
    "EXPIRED",
    "LASTING",
    "LATE",
    "DEFAULT_WEIGHT",
    "ON_TIME",
    "JobOrder",
    "can_meet_deadline",
    "deadline_outlook",
    "completion_deadline",
    "critical_path_s",
    "expiry",
    "is_due",
    "remaining_critical_path_s",
    "weights_in_use",
]

LASTING, ON_TIME, LATE, EXPIRED = range(4)  # first element of a scheduling key
# A job is worth nothing to its caller after this multiple of its target duration.
EXPIRY_FACTOR = 3.0
# Once at most this part of its slack is left, a job beyond its team's rate may count as within it,
# and the first job of a team comes before shares. Half leaves it time to start.
PROMOTION_SLACK = 0.5
DUE_QUANTILE = 0.25  # of the durations of tasks, by which a job's slack is computed
DEFAULT_WEIGHT = 1.0  # of a team; weights are in use if any team has another one
# Estimates are rough: most jobs that would finish just in time by their estimates finish late.
ESTIMATE_MARGIN = 0.2


def critical_path_s(
    steps: tuple[StepSpec, ...],
    done: frozenset[int] = frozenset(),
    *,
    queue: str = "",
    durations: DurationEstimates = DECLARED,
    quantile: float = MEDIAN,
) -> float:
    """Returns the estimated length in seconds of the critical path.

    Args:
        steps: Steps of a job; a step depends only on steps before it.
        done: Numbers of the steps that are done and count as 0 s.
        queue: Name of the job's queue.
        durations: Estimates by which the declared durations are corrected.
        quantile: Quantile of the duration of a task.
    """
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = 0.0
        if step.after:
            start = max((ends[earlier] for earlier in step.after if earlier < number), default=0.0)
        if number not in done:
            start += step.estimate_s * durations.factor(queue, step.image, quantile)
        ends.append(start)
    return max(ends, default=0.0)


def completion_deadline(
    job: Job, queue: JobQueue, occurrence: int, durations: DurationEstimates = DECLARED
) -> float:
    """Returns the wall-clock time in seconds by which an occurrence should be done.

    Callers judge a job by the real durations of its tasks, so the declared ones are corrected.
    """
    path_s = critical_path_s(job.steps, queue=job.queue, durations=durations)
    return _deadline(job, queue, occurrence, path_s)


def _deadline(job: Job, queue: JobQueue, occurrence: int, path_s: float) -> float:
    return _start(job, occurrence) + queue.stretch * path_s + queue.latency_s


def expiry(
    job: Job, queue: JobQueue, occurrence: int, durations: DurationEstimates = DECLARED
) -> float:
    """Returns the wall-clock time in seconds after which an occurrence has no value."""
    return _expiry(job, occurrence, completion_deadline(job, queue, occurrence, durations))


def _expiry(job: Job, occurrence: int, deadline: float) -> float:
    start = _start(job, occurrence)
    return start + EXPIRY_FACTOR * (deadline - start)


def _start(job: Job, occurrence: int) -> float:
    """Returns the wall-clock time in seconds from which the target duration counts."""
    return job.due(occurrence) if job.repetitions else job.submitted


def remaining_critical_path_s(
    record: JobRecord,
    occurrence: int,
    durations: DurationEstimates = DECLARED,
    quantile: float = MEDIAN,
) -> float:
    """Returns the critical path of an occurrence in seconds, without its completed steps."""
    return _critical_paths_s(record, occurrence, durations, quantile)[1]


def _critical_paths_s(
    record: JobRecord, occurrence: int, durations: DurationEstimates, quantile: float
) -> tuple[float, float]:
    """Returns the critical path of an occurrence in seconds, with and without completed steps."""
    job = record.job
    path_s = critical_path_s(job.steps, queue=job.queue, durations=durations, quantile=quantile)
    progress = enumerate(record.occurrences[occurrence])
    done = frozenset(number for number, step in progress if step.done == len(step.tasks))
    if not done:
        return path_s, path_s
    return path_s, critical_path_s(
        job.steps, done, queue=job.queue, durations=durations, quantile=quantile
    )


def can_meet_deadline(
    record: JobRecord,
    queue: JobQueue,
    occurrence: int,
    now: float,
    durations: DurationEstimates = DECLARED,
) -> bool:
    """Whether an occurrence can be done by its deadline, with a margin for rough estimates.

    The median corrects both the deadline and the remaining time, as the same tasks decide both. An
    optimistic quantile made fewer jobs end in time, see docs/design/estimates.md.
    """
    return deadline_outlook(record, queue, occurrence, now, durations)[0]


def deadline_outlook(
    record: JobRecord,
    queue: JobQueue,
    occurrence: int,
    now: float,
    durations: DurationEstimates = DECLARED,
) -> tuple[bool, float]:
    """Returns whether an occurrence can be done by its deadline, and its critical path in s."""
    path_s, remaining_s = _critical_paths_s(record, occurrence, durations, MEDIAN)
    deadline = _deadline(record.job, queue, occurrence, path_s)
    return _is_in_time(now, remaining_s, deadline), path_s


def _is_in_time(now: float, remaining_s: float, deadline: float) -> bool:
    return now + remaining_s * (1 + ESTIMATE_MARGIN) <= deadline


def weights_in_use(config: FleetConfig | None) -> bool:
    """Whether the configuration gives any team a weight other than the default."""
    return config is not None and any(team.weight != DEFAULT_WEIGHT for team in config.teams)


class JobOrder:
    """The order of steps at one time, for one scheduling pass.

    Args:
        state: The replicated state.
        now: Wall-clock time in seconds.
        policy: Settings of the scheduling policy.
        durations: Estimates by which the declared durations are corrected.
        claims: Ids of the jobs for which runs were stopped. While they are on time, they come
            before the other on-time jobs.
    """

    def __init__(
        self,
        state: JobsState,
        now: float,
        policy: PolicySettings,
        durations: DurationEstimates = DECLARED,
        claims: Container[str] = frozenset(),
    ) -> None:
        self._now = now
        self._durations = durations
        self._claims = claims
        self._rates = policy.team_rates and weights_in_use(state.config)
        self._promoted = _promoted_jobs(state, now, durations) if self._rates else set()
        # By job id and occurrence. A job of thousands of steps would otherwise take seconds a pass,
        # as each path looks at all steps.
        self._paths_s: dict[tuple[str, int], tuple[float, float]] = {}

    def key(
        self, record: JobRecord, queue: JobQueue, occurrence: int, step: StepSpec
    ) -> tuple[float, ...]:
        """Returns the sort key of a step; the lowest key is placed first.

        The elements are class, queue priority, whether the job counts as beyond its team's rate,
        whether it has not started, and its deadline; for service tasks class, priority and time of
        submission. Jobs that have started come before those that have not, since a job has no value
        until all its tasks are done.
        """
        job = record.job
        if step.lasting:
            return LASTING, queue.priority, job.submitted
        path_s, remaining_s = self._critical_paths_s(record, occurrence)
        deadline = _deadline(job, queue, occurrence, path_s)
        if _is_in_time(self._now, remaining_s, deadline):
            if job.id in self._claims:
                return ON_TIME, -math.inf, False, False, deadline
            beyond = self._rates and not self.counts_within_rate(record)
            return ON_TIME, queue.priority, beyond, not record.started, deadline
        expired = self._rates and self._now > _expiry(job, occurrence, deadline)
        return EXPIRED if expired else LATE, queue.priority, False, not record.started, deadline

    def _critical_paths_s(self, record: JobRecord, occurrence: int) -> tuple[float, float]:
        key = (record.job.id, occurrence)
        found = self._paths_s.get(key)
        if found is None:
            found = _critical_paths_s(record, occurrence, self._durations, MEDIAN)
            self._paths_s[key] = found
        return found

    def counts_within_rate(self, record: JobRecord) -> bool:
        """Whether a job is within its team's rate, or is due although it is beyond it."""
        return not self._rates or record.within_rate or record.job.id in self._promoted


def _promoted_jobs(state: JobsState, now: float, durations: DurationEstimates) -> set[str]:
    """Returns the ids of the jobs beyond their team's rate that count as within it.

    In each pool this is at most one job of a team: the running one if it is the only one beyond
    the rate, or else the one with the earliest deadline. So a team that keeps exceeding its rate is
    served, but its surplus takes no more than one job's room from the others.
    """
    surplus: dict[tuple[str, str], list[JobRecord]] = {}
    for record in state.active.values():
        queue = state.queues.get(record.job.queue)
        if not record.within_rate and queue is not None:
            surplus.setdefault((record.job.team, queue.pool), []).append(record)
    promoted = set()
    for records in surplus.values():
        jobs = [r for r in records if not any(step.lasting for step in r.job.steps)]
        running = [record for record in jobs if record.assigned]
        if len(running) > 1:
            continue
        due = [
            (completion_deadline(record.job, queue, occurrence, durations), record.job.id)
            for record in running or jobs
            for queue in [state.queues[record.job.queue]]
            for occurrence in record.open_occurrences
            if is_due(record, queue, occurrence, now, durations)
        ]
        if due:
            promoted.add(min(due)[1])
    return promoted


def is_due(
    record: JobRecord,
    queue: JobQueue,
    occurrence: int,
    now: float,
    durations: DurationEstimates = DECLARED,
) -> bool:
    """Whether an occurrence is on time with at most PROMOTION_SLACK of its slack left.

    The slack grows with the real durations, so the low quantile of them is the cautious one.
    """
    job = record.job
    start = _start(job, occurrence)
    if start > now or not can_meet_deadline(record, queue, occurrence, now, durations):
        return False
    path_s, remaining_s = _critical_paths_s(record, occurrence, durations, DUE_QUANTILE)
    deadline = _deadline(job, queue, occurrence, path_s)
    return deadline - now - remaining_s <= PROMOTION_SLACK * (deadline - start - path_s)
