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
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState
from geraniumtrack.jobs.state.model import FleetConfig, Job, JobQueue, StepSpec

__all__ = [
    "EXPIRED",
    "LASTING",
    "LATE",
    "DEFAULT_WEIGHT",
    "ON_TIME",
    "JobOrder",
    "can_meet_deadline",
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
DEFAULT_WEIGHT = 1.0  # of a team; weights are in use if any team has another one
# Estimates are rough: most jobs that would finish just in time by their estimates finish late.
ESTIMATE_MARGIN = 0.2


def critical_path_s(steps: tuple[StepSpec, ...], done: frozenset[int] = frozenset()) -> float:
    """Returns the estimated length in seconds of the critical path.

    Args:
        steps: Steps of a job; a step depends only on steps before it.
        done: Numbers of the steps that are done and count as 0 s.
    """
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = max((ends[earlier] for earlier in step.after if earlier < number), default=0.0)
        ends.append(start + (0.0 if number in done else step.estimate_s))
    return max(ends, default=0.0)


def completion_deadline(job: Job, queue: JobQueue, occurrence: int) -> float:
    """Returns the wall-clock time in seconds by which an occurrence should be done."""
    return _start(job, occurrence) + queue.stretch * critical_path_s(job.steps) + queue.latency_s


def expiry(job: Job, queue: JobQueue, occurrence: int) -> float:
    """Returns the wall-clock time in seconds after which an occurrence has no value."""
    start = _start(job, occurrence)
    return start + EXPIRY_FACTOR * (completion_deadline(job, queue, occurrence) - start)


def _start(job: Job, occurrence: int) -> float:
    """Returns the wall-clock time in seconds from which the target duration counts."""
    return job.due(occurrence) if job.repetitions else job.submitted


def remaining_critical_path_s(record: JobRecord, occurrence: int) -> float:
    """Returns the critical path of an occurrence in seconds, without its completed steps."""
    done = frozenset(
        number
        for number, step in enumerate(record.occurrences[occurrence])
        if step.done == len(step.tasks)
    )
    return critical_path_s(record.job.steps, done)


def can_meet_deadline(record: JobRecord, queue: JobQueue, occurrence: int, now: float) -> bool:
    """Whether an occurrence can be done by its deadline, with a margin for rough estimates."""
    remaining_s = remaining_critical_path_s(record, occurrence) * (1 + ESTIMATE_MARGIN)
    return now + remaining_s <= completion_deadline(record.job, queue, occurrence)


def weights_in_use(config: FleetConfig | None) -> bool:
    """Whether the configuration gives any team a weight other than the default."""
    return config is not None and any(team.weight != DEFAULT_WEIGHT for team in config.teams)


class JobOrder:
    """The order of steps at one time, for one scheduling pass.

    Args:
        state: The replicated state.
        now: Wall-clock time in seconds.
        policy: Settings of the scheduling policy.
        claims: Ids of the jobs for which runs were stopped. While they are on time, they come
            before the other on-time jobs.
    """

    def __init__(
        self,
        state: JobsState,
        now: float,
        policy: PolicySettings,
        claims: Container[str] = frozenset(),
    ) -> None:
        self._now = now
        self._claims = claims
        self._rates = policy.team_rates and weights_in_use(state.config)
        self._promoted = _promoted_jobs(state, now) if self._rates else set()

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
        deadline = completion_deadline(job, queue, occurrence)
        if can_meet_deadline(record, queue, occurrence, self._now):
            if job.id in self._claims:
                return ON_TIME, -math.inf, False, False, deadline
            beyond = self._rates and not self.counts_within_rate(record)
            return ON_TIME, queue.priority, beyond, not record.started, deadline
        expired = self._rates and self._now > expiry(job, queue, occurrence)
        return EXPIRED if expired else LATE, queue.priority, False, not record.started, deadline

    def counts_within_rate(self, record: JobRecord) -> bool:
        """Whether a job is within its team's rate, or is due although it is beyond it."""
        return not self._rates or record.within_rate or record.job.id in self._promoted


def _promoted_jobs(state: JobsState, now: float) -> set[str]:
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
            (completion_deadline(record.job, queue, occurrence), record.job.id)
            for record in running or jobs
            for queue in [state.queues[record.job.queue]]
            for occurrence in record.open_occurrences
            if is_due(record, queue, occurrence, now)
        ]
        if due:
            promoted.add(min(due)[1])
    return promoted


def is_due(record: JobRecord, queue: JobQueue, occurrence: int, now: float) -> bool:
    """Whether an occurrence is on time with at most PROMOTION_SLACK of its slack left."""
    start = _start(record.job, occurrence)
    if start > now or not can_meet_deadline(record, queue, occurrence, now):
        return False
    deadline = completion_deadline(record.job, queue, occurrence)
    slack_s = deadline - start - critical_path_s(record.job.steps)
    left_s = deadline - now - remaining_critical_path_s(record, occurrence)
    return left_s <= PROMOTION_SLACK * slack_s
