"""Applies admission control to the jobs that are submitted to this owner."""

from __future__ import annotations

import copy
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

from geraniumtrack.jobs.calls.team_metrics import clear_team_gauges, update_team_gauges
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.admission import (
    PoolOutlook,
    PoolSupply,
    Refusal,
    check_admission,
    refusal_in_use,
    team_weights,
)
from geraniumtrack.jobs.scheduling.occupancy import Occupancy
from geraniumtrack.jobs.scheduling.offered_load import OfferedLoad
from geraniumtrack.jobs.scheduling.shares import TeamShares
from geraniumtrack.jobs.scheduling.work_ahead import Group, PoolWork, WorkSummary, job_work
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Job, JobQueue

__all__ = ["AdmissionControl"]

OUTLOOK_INTERVAL_S = 0.1  # up to 300 jobs per second are submitted
METRICS_INTERVAL_S = 1.0
# A new owner refuses nothing until it has had reports from most of a pool's workers, and for a
# while after that, in which tasks that wait since the takeover start on them.
REPORTED_SHARE = 0.8
REPORTED_DELAY_S = 2.0


class AdmissionControl:
    """Checks submitted jobs while this controller is the owner. It keeps nothing that must survive.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        supplies: Returns the processors of each pool by its name.
        wall_clock: Returns the wall-clock time in seconds.
        policy: Settings of the scheduling policy.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        supplies: Callable[[], Mapping[str, PoolSupply]],
        wall_clock: Callable[[], float],
        policy: PolicySettings,
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._sessions = sessions
        self._supplies = supplies
        self._wall_clock = wall_clock
        self._policy = policy
        self._work = WorkSummary(policy)
        self._load = OfferedLoad()
        self._committing: dict[str, tuple[Job, str, Group]] = {}  # job, pool and group by job id
        self._ready_at: dict[str, float] = {}
        self._retry_at: dict[str, dict[str, float]] = defaultdict(dict)  # latest, by pool and team
        self._outlooks: dict[str, PoolOutlook] = {}
        self._weights: dict[str, float] = {}
        self._outlooks_at = float("-inf")
        self._outlooks_version = 0  # of the configuration
        self._occupancy = Occupancy()
        self._shares: TeamShares | None = None
        self._metrics_at = float("-inf")

    def tick(self) -> None:
        """Notes which pools have reported, and updates the metrics of the teams."""
        now = self._seconds()
        if self._state().config is None:
            return
        self._forget_committed()
        self._note_reports(now)
        if now >= self._metrics_at + METRICS_INTERVAL_S:
            self._metrics_at = now
            self._shares = update_team_gauges(
                self._state(), self._occupancy, self._wall_clock(), self._policy
            )

    def stop(self) -> None:
        """Removes the metrics that only the owner can keep up to date."""
        clear_team_gauges()

    def used_share(self, pool: str, team: str) -> float:
        """Returns the share of a pool that a team used at the last update of the metrics."""
        return self._shares.share(pool, team) if self._shares is not None else 0.0

    def check(self, job: Job, queue: JobQueue) -> Refusal | None:
        """Returns the refusal of a job whose id is not known, or None if it must be committed."""
        if job.id in self._committing:
            return None
        state, now = self._state(), self._seconds()
        beyond = self._policy.team_rates and not state.team_rates.allows(job.team, job.submitted)
        group = (queue.priority, beyond)
        in_use = refusal_in_use(state.config, self._policy)
        refusal = self._decide(job, queue, group, now) if in_use else None
        if in_use and not job.repetitions:
            self._load.record(queue.pool, group, job.team, job_work(job), now)
        if refusal is None:
            self._committing[job.id] = (job, queue.pool, group)
            if queue.pool in self._outlooks:
                self._outlooks[queue.pool].work.add_job(job, group)
        else:
            self._retry_at[queue.pool][job.team] = now + refusal.retry_after_s
        return refusal

    def preview(self, job: Job, queue: JobQueue) -> Refusal | None:
        """Returns what `check` would return for a job now, and records nothing.

        Args:
            job: A job that has not been submitted.
            queue: Its queue.
        """
        state, now = self._state(), self._seconds()
        if not refusal_in_use(state.config, self._policy):
            return None
        beyond = self._policy.team_rates and not state.team_rates.allows(job.team, job.submitted)
        outlooks, weights = self._outlooks, self._weights
        if self._outlooks_outdated(now):
            outlooks, weights = self._new_outlooks(copy.copy(self._work), now)
        return self._check_outlook(job, queue, (queue.priority, beyond), now, outlooks, weights)

    def _decide(self, job: Job, queue: JobQueue, group: Group, now: float) -> Refusal | None:
        if now < self._ready_at.get(queue.pool, float("inf")):
            return None
        if self._outlooks_outdated(now):
            self._forget_committed()
            self._forget_past_turns(now)
            self._outlooks, self._weights = self._new_outlooks(self._work, now)
            self._outlooks_at, self._outlooks_version = now, self._state().version
        return self._check_outlook(job, queue, group, now, self._outlooks, self._weights)

    def _outlooks_outdated(self, now: float) -> bool:
        # A team that was added since has no weight in the former outlooks.
        changed = self._state().version != self._outlooks_version
        return changed or now >= self._outlooks_at + OUTLOOK_INTERVAL_S

    def _forget_past_turns(self, now: float) -> None:
        for retries in self._retry_at.values():
            for team in [team for team, at in retries.items() if at <= now]:
                del retries[team]

    def _check_outlook(
        self,
        job: Job,
        queue: JobQueue,
        group: Group,
        now: float,
        outlooks: Mapping[str, PoolOutlook],
        weights: dict[str, float],
    ) -> Refusal | None:
        known = outlooks.get(queue.pool)
        if known is None or now < self._ready_at.get(queue.pool, float("inf")):
            return None
        retries = self._retry_at.get(queue.pool, {}).items()
        retries_s = {team: at - now for team, at in retries if at > now}
        return check_admission(
            job,
            queue,
            group,
            PoolOutlook(known.work, known.rates, known.supply, retries_s),
            weights=weights,
            now=self._wall_clock(),
            policy=self._policy,
        )

    def _new_outlooks(
        self, summary: WorkSummary, now: float
    ) -> tuple[dict[str, PoolOutlook], dict[str, float]]:
        """Returns the outlooks by pool and the weights by team as of now."""
        state = self._state()
        work = summary.by_pool(state, self._wall_clock())
        for job, pool, group in self._committing.values():
            if job.id not in state.jobs:
                work.setdefault(pool, PoolWork()).add_job(job, group)
        outlooks = {
            pool: PoolOutlook(work[pool], self._load.rates(pool, now), supply)
            for pool, supply in self._supplies().items()
            if pool in work
        }
        return outlooks, team_weights(state.config)

    def _forget_committed(self) -> None:
        known = self._state().jobs
        self._committing = {k: row for k, row in self._committing.items() if k not in known}

    def _note_reports(self, now: float) -> None:
        """Notes the pools from most of whose registered workers this owner has had a report."""
        workers = Counter(worker.pool for worker in self._state().workers.values())
        if not workers.keys() - self._ready_at.keys():
            return
        reported = Counter(
            session.worker.pool for session in self._sessions().values() if session.reported
        )
        for pool, count in workers.items():
            if reported[pool] >= REPORTED_SHARE * count:
                self._ready_at.setdefault(pool, now + REPORTED_DELAY_S)
