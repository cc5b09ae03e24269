"""Metrics of the teams: what each uses of the pools, and which of its jobs wait."""

from __future__ import annotations

from collections import Counter

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.occupancy import Occupancy
from geraniumtrack.jobs.scheduling.shares import TeamShares
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Job
from geraniumtrack.metrics import metrics

__all__ = ["clear_team_gauges", "count_submission", "update_team_gauges"]

GAUGES = ("team_share", "team_waiting_jobs")


def update_team_gauges(
    state: JobsState, occupancy: Occupancy, now: float, policy: PolicySettings
) -> TeamShares:
    """Sets the gauges of all teams; returns their shares.

    Without weights in the configuration, or with `fair_shares` off, shares are not measured.

    Args:
        state: The replicated state, with a configuration.
        occupancy: What its assigned tasks occupy.
        now: Wall-clock time in seconds.
        policy: Settings of the scheduling policy.
    """
    clear_team_gauges()
    occupancy.refresh(state)
    shares = TeamShares(state, occupancy, now, policy)
    waiting = Counter(
        (record.job.team, record.within_rate) for record in state.active.values() if record.queued
    )
    for team in state.config.teams:
        for pool in sorted({queue.pool for queue in state.config.queues}):
            share = shares.share(pool, team.name) if shares.enabled else 0.0
            if share:
                metrics.set_gauge("team_share", round(share, 4), pool=pool, team=team.name)
        for within in (True, False):
            count = waiting[team.name, within]
            metrics.set_gauge("team_waiting_jobs", count, team=team.name, rate=_rate(within))
    return shares


def clear_team_gauges() -> None:
    """Removes the gauges, which only the owner can keep up to date."""
    metrics.remove_gauges(*GAUGES)


def count_submission(state: JobsState, job: Job) -> None:
    """Counts a committed job by its team and rate, unless it was submitted before."""
    record = state.jobs.get(job.id)
    if record is not None and record.job.submitted == job.submitted:
        metrics.count("team_jobs", team=job.team, rate=_rate(record.within_rate))


def _rate(within: bool) -> str:
    return "within" if within else "beyond"
