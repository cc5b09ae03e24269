"""Summarises the work of each pool, as the input of admission control.

The load: up to 300 submissions per second, each of which needs to know the work ahead of it. The
summary is computed from the state a few times per second; jobs accepted since then are added to it.
Work is in core-seconds by the declared durations.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.ordering import (
    ESTIMATE_MARGIN,
    completion_deadline,
    critical_path_s,
    expiry,
    remaining_critical_path_s,
)
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState
from geraniumtrack.jobs.state.model import Job, JobQueue, StepSpec

__all__ = ["Group", "PoolWork", "WorkSummary", "fair_work", "job_work"]

MILLI = 1000  # thousandths of a core in a core
# Mean remainder of a run; when it started is not part of the replicated state.
RUNNING_REMAINDER = 0.5

Group = tuple[int, bool]  # queue priority, and whether the job counts as beyond its team's rate


def _floats() -> defaultdict[str, float]:
    return defaultdict(float)


@dataclass(slots=True)
class PoolWork:
    """The work of one pool in core-seconds, without that of expired jobs.

    Attributes:
        service_cores: Cores that service tasks use or wait for.
        running: Estimated remainder of the running tasks, except service tasks.
        started: Waiting work of on-time jobs that have started, by group.
        waiting: Work of on-time jobs that have not started, by group and team.
        late: Waiting work of late jobs, by team.
    """

    service_cores: float = 0.0
    running: float = 0.0
    started: defaultdict[Group, float] = field(default_factory=lambda: defaultdict(float))
    waiting: defaultdict[Group, defaultdict[str, float]] = field(
        default_factory=lambda: defaultdict(_floats)
    )
    late: defaultdict[str, float] = field(default_factory=_floats)

    @property
    def teams(self) -> set[str]:
        """Teams with jobs that wait for their first start or are late."""
        return set(self.late).union(*self.waiting.values())

    @property
    def on_time(self) -> float:
        """Work that is done before that of late jobs: running work and that of on-time jobs."""
        unstarted = sum(sum(by_team.values()) for by_team in self.waiting.values())
        return self.running + sum(self.started.values()) + unstarted

    def before_group(self, group: Group) -> float:
        """Returns the work that is done before jobs of a group that have not started."""
        started = sum(work for other, work in self.started.items() if other <= group)
        unstarted = sum(sum(teams.values()) for g, teams in self.waiting.items() if g < group)
        return self.running + started + unstarted

    def add_job(self, job: Job, group: Group) -> None:
        """Adds a job that was accepted after the summary was computed."""
        self.waiting[group][job.team] += job_work(job)


def job_work(job: Job) -> float:
    """Returns the work of one occurrence of a job in core-seconds, without service tasks."""
    return sum(step.count * _task_work(step) for step in job.steps if not step.lasting)


def fair_work(
    work: dict[str, float], team: str, own_work: float, weights: dict[str, float]
) -> float:
    """Returns the work that shares by weight place before a new job of a team.

    Until the new job's turn, each other team receives what the team receives, multiplied by the
    ratio of their weights, or all of its work if that is less. Half of the new job counts as
    received: a team's next job is placed by its share with that job, and jobs are placed whole.

    Args:
        work: Work by team in core-seconds.
        team: The team; all work of the others comes before that of a team without a weight.
        own_work: Work of the team's new job in core-seconds, which is not part of the result.
        weights: Weights by team.
    """
    weight = weights.get(team, 0.0)
    before = work.get(team, 0.0)
    turn = (before + own_work / 2) / weight if weight > 0 else float("inf")
    for other, amount in work.items():
        if other != team:
            other_weight = weights.get(other, 0.0)
            before += min(amount, other_weight * turn) if other_weight > 0 else 0.0
    return before


class WorkSummary:
    """Computes the work of each pool; keeps what does not change about a job that waits.

    Args:
        policy: Settings of the scheduling policy.
    """

    def __init__(self, policy: PolicySettings) -> None:
        self._policy = policy
        self._version = 0
        self._facts: dict[tuple[str, int], _OccurrenceFacts] = {}

    def by_pool(self, state: JobsState, now: float) -> dict[str, PoolWork]:
        """Returns the work of each pool that a queue names.

        Jobs are ordered as by `JobOrder`, except that no job beyond its team's rate counts as
        within it.

        Args:
            state: The replicated state.
            now: Wall-clock time in seconds.
        """
        known = self._facts if state.version == self._version else {}
        self._version, self._facts = state.version, {}
        found = {queue.pool: PoolWork() for queue in state.queues.values()}
        for record in state.active.values():
            queue = state.queues.get(record.job.queue)
            if queue is None:
                continue
            for occurrence in record.open_occurrences:
                if record.job.due(occurrence) <= now:
                    key = (record.job.id, occurrence)
                    facts = known.get(key) or self._new_facts(record, queue, occurrence)
                    self._facts[key] = facts
                    _add_occurrence(found[queue.pool], record, occurrence, facts, now)
        return found

    def _new_facts(self, record: JobRecord, queue: JobQueue, occurrence: int) -> _OccurrenceFacts:
        job = record.job
        return _OccurrenceFacts(
            group=(queue.priority, self._policy.team_rates and not record.within_rate),
            work=job_work(job),
            path_s=critical_path_s(job.steps),
            deadline=completion_deadline(job, queue, occurrence),
            expires_at=expiry(job, queue, occurrence),
            has_service_tasks=any(step.lasting for step in job.steps),
        )


@dataclass(frozen=True, slots=True)
class _OccurrenceFacts:
    """What does not change about an occurrence of a job under one configuration."""

    group: Group
    work: float
    path_s: float
    deadline: float
    expires_at: float
    has_service_tasks: bool


def _add_occurrence(
    work: PoolWork, record: JobRecord, occurrence: int, facts: _OccurrenceFacts, now: float
) -> None:
    team = record.job.team
    if record.started or facts.has_service_tasks:
        waiting = _add_running(work, record, occurrence)
        path_s = remaining_critical_path_s(record, occurrence)
    else:
        waiting, path_s = facts.work, facts.path_s
    if now + path_s * (1 + ESTIMATE_MARGIN) > facts.deadline:
        if now <= facts.expires_at:
            work.late[team] += waiting
    elif record.started:
        work.started[facts.group] += waiting
    else:
        work.waiting[facts.group][team] += waiting


def _add_running(work: PoolWork, record: JobRecord, occurrence: int) -> float:
    """Adds the running tasks and the service tasks; returns the work of the waiting ones."""
    waiting = 0.0
    for step, progress in zip(record.job.steps, record.occurrences[occurrence], strict=True):
        unfinished = len(progress.tasks) - progress.done
        if step.lasting:
            work.service_cores += unfinished * step.reserved.cpu / MILLI
        elif unfinished:
            running = unfinished - progress.waiting
            work.running += running * _task_work(step) * RUNNING_REMAINDER
            waiting += progress.waiting * _task_work(step)
    return waiting


def _task_work(step: StepSpec) -> float:
    return step.reserved.cpu * step.estimate_s / MILLI
