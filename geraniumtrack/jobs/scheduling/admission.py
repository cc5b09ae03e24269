"""Decides whether a submitted job can still be done, or is refused.

The load: several teams submit more than a pool can do, for longer than their jobs keep their value.
A job is refused if it can be done neither in time nor by its expiry, so that its caller learns at
once that it has to retry. Anything that is not known counts in favour of the job.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.offered_load import GroupRates
from geraniumtrack.jobs.scheduling.ordering import (
    DEFAULT_WEIGHT,
    ESTIMATE_MARGIN,
    completion_deadline,
    critical_path_s,
    expiry,
    weights_in_use,
)
from geraniumtrack.jobs.scheduling.work_ahead import Group, PoolWork, fair_work, job_work
from geraniumtrack.jobs.state.model import FleetConfig, Job, JobQueue, Resources

__all__ = [
    "NO_ROOM",
    "PoolOutlook",
    "PoolSupply",
    "Refusal",
    "check_admission",
    "refusal_in_use",
    "team_weights",
]

NO_ROOM = "no_room"  # reason of a refusal: the pool can't do the job in time
# A caller that waits longer than this would miss the end of a peak that is shorter than expected.
MAX_RETRY_S = 30.0


@dataclass(frozen=True, slots=True)
class PoolSupply:
    """The processors that a pool has or can obtain, in cores.

    Attributes:
        in_service: Cores of its workers.
        arriving: Cores of the instances on their way to it.
        standby: Cores of the standby instances.
        room: Labels and free resources of each worker that accepts tasks.
        known: Whether the workers and the instances are known.
    """

    in_service: float
    arriving: float = 0.0
    standby: float = 0.0
    room: tuple[tuple[tuple[str, ...], Resources], ...] = ()
    known: bool = True


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a job.

    Attributes:
        reason: Why it is refused.
        work_ahead: Work in core-seconds that is done before it, including work that is expected
            to arrive by its expiry.
        capacity: Cores of the pool, with those on their way and without those of service tasks.
        share: Share of the pool to which its team is entitled beside the waiting teams, 0 to 1.
        retry_after_s: Time in seconds after which the caller should retry.
    """

    reason: str
    work_ahead: float
    capacity: float
    share: float
    retry_after_s: float


def refusal_in_use(config: FleetConfig | None, policy: PolicySettings) -> bool:
    """Whether jobs may be refused: only where the configuration has weights."""
    return policy.refusal and weights_in_use(config)


def team_weights(config: FleetConfig) -> dict[str, float]:
    """Returns the weights by team; "" stands for public callers."""
    return {"": DEFAULT_WEIGHT} | {team.name: team.weight for team in config.teams}


@dataclass(frozen=True, slots=True)
class PoolOutlook:
    """What is known about a pool when a job is submitted.

    Attributes:
        work: The work of the pool.
        rates: Work that is submitted to the pool, in cores.
        supply: The processors of the pool.
        retries_s: Time in seconds until the latest retry that was granted to each team with
            refused jobs.
    """

    work: PoolWork
    rates: GroupRates
    supply: PoolSupply
    retries_s: dict[str, float] = field(default_factory=dict)

    @property
    def cores(self) -> float:
        """Cores for jobs other than service tasks, without standby instances."""
        cores = self.supply.in_service + self.supply.arriving - self.work.service_cores
        return max(cores, 0.0)

    def core_seconds(self, within_s: float, move_s: float) -> float:
        """Returns the work in core-seconds that can be done within a time.

        Args:
            within_s: The time in seconds.
            move_s: Time in seconds until a standby instance is in service.
        """
        later = self.supply.standby * max(within_s - move_s, 0.0)
        return self.cores * max(within_s, 0.0) + later


def check_admission(
    job: Job,
    queue: JobQueue,
    group: Group,
    pool: PoolOutlook,
    *,
    weights: dict[str, float],
    now: float,
    policy: PolicySettings,
) -> Refusal | None:
    """Returns the refusal of a submitted job, or None if it is accepted.

    A job is accepted if the work ahead of it in its order leaves time to do it by its deadline. If
    not, it becomes late, and then all on-time work comes before it, also work that arrives later.
    It is accepted if that work, expected to arrive at the present rate, and the late work leave
    time to do it by its expiry.

    Args:
        job: The job, whose id is not known yet.
        queue: Its queue.
        group: Queue priority, and whether the job is beyond its team's rate.
        pool: The pool of the queue.
        weights: Weights by team.
        now: Wall-clock time in seconds.
        policy: Settings of the scheduling policy.
    """
    exempt = job.repetitions or any(step.lasting for step in job.steps)
    if exempt or not pool.supply.known or not pool.cores or _has_room(job, pool.supply):
        return None
    path_s = critical_path_s(job.steps)
    in_time_s = completion_deadline(job, queue, 0) - now - path_s * (1 + ESTIMATE_MARGIN)
    ahead_in_time = _ahead_in_time(job, group, pool, weights, in_time_s)
    excess = ahead_in_time - pool.core_seconds(in_time_s, policy.move_s)
    if excess <= 0:
        return None
    late_s = expiry(job, queue, 0) - now - path_s
    if late_s <= 0:
        return None  # neither a duration nor a latency is declared, so the expiry is unknown
    ahead = _ahead_when_late(job, pool, weights, late_s)
    if ahead <= pool.core_seconds(late_s, policy.move_s):
        return None
    teams = pool.work.teams | pool.retries_s.keys()
    share = _entitled_share(job.team, teams, weights)
    retry_s = _retry_s(job, pool, share, wait_s=excess / pool.cores)
    return Refusal(NO_ROOM, ahead, pool.cores, share, retry_s)


def _ahead_in_time(
    job: Job, group: Group, pool: PoolOutlook, weights: dict[str, float], in_time_s: float
) -> float:
    """Returns the work in core-seconds that starts before a job that is on time.

    It includes the work of other teams and of earlier groups that arrives until the job has to
    start. Work of its own team and group that arrives later has a later deadline.
    """
    window_s = max(in_time_s, 0.0)
    earlier = sum(sum(teams.values()) for other, teams in pool.rates.items() if other < group)
    by_team = dict(pool.work.waiting.get(group, {}))
    for team, rate in pool.rates.get(group, {}).items():
        if team != job.team:
            by_team[team] = by_team.get(team, 0.0) + rate * window_s
    fair = fair_work(by_team, job.team, job_work(job), weights)
    return pool.work.before_group(group) + earlier * window_s + fair


def _ahead_when_late(
    job: Job, pool: PoolOutlook, weights: dict[str, float], late_s: float
) -> float:
    """Returns the work in core-seconds that is done before a job that becomes late.

    That is all on-time work, with what arrives in `late_s` at the present rate, and late work.
    """
    inflow = sum(sum(by_team.values()) for by_team in pool.rates.values())
    late = fair_work(pool.work.late, job.team, job_work(job), weights)
    return pool.work.on_time + inflow * late_s + late


def _entitled_share(team: str, others: Set[str], weights: dict[str, float]) -> float:
    """Returns the share of a pool to which a team is entitled beside other teams, 0 to 1."""
    total = sum(weights.get(name, 0.0) for name in others | {team})
    return weights.get(team, 0.0) / total if total > 0 else 0.0


def _retry_s(job: Job, pool: PoolOutlook, share: float, *, wait_s: float) -> float:
    """Returns the time in seconds after which a refused job should be retried.

    Each refused job of a team takes the turn after the one refused before it, so that the retries
    are spread over the time in which the team's share does them.

    Args:
        job: The job.
        pool: The pool.
        share: Share of the pool to which its team is entitled.
        wait_s: Time in seconds until the pool has done enough of the work ahead.
    """
    if share <= 0:
        return MAX_RETRY_S
    turn_s = max(wait_s, pool.retries_s.get(job.team, 0.0))
    return min(turn_s + job_work(job) / (pool.cores * share), MAX_RETRY_S)


def _has_room(job: Job, supply: PoolSupply) -> bool:
    """Whether a worker has room for a task of one of the job's first steps."""
    first = [step for step in job.steps if not step.after]
    return any(
        step.reserved.fits(free) and (not step.label or step.label in labels)
        for labels, free in supply.room
        for step in first
    )
