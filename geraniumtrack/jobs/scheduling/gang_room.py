"""Gives back and takes again the room of a gang that was placed but may not start."""

from __future__ import annotations

from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart, ReadyStep
from geraniumtrack.jobs.scheduling.placement import AvailableWorker
from geraniumtrack.jobs.scheduling.suspicion import suspicion_of
from geraniumtrack.jobs.scheduling.team_quota import TeamQuota

__all__ = ["release_gang", "reserve_gang"]


def release_gang(
    starts: list[PlannedStart],
    ready_step: ReadyStep,
    pool: list[AvailableWorker],
    quota: TeamQuota,
) -> None:
    """Releases the reservations of a gang of which only some members could be placed."""
    available = {item.worker.id: item for item in pool}
    for start in starts:
        suspicion = suspicion_of(ready_step.record.task(start.task))
        available[start.worker.id].release(ready_step.step, start.task[:3], suspicion)
        quota.refund(ready_step.record.job.team, ready_step.step)


def reserve_gang(
    starts: list[PlannedStart],
    ready_step: ReadyStep,
    pool: list[AvailableWorker],
    quota: TeamQuota,
) -> None:
    """Reserves again what `release_gang` released."""
    available = {item.worker.id: item for item in pool}
    for start in starts:
        suspicion = suspicion_of(ready_step.record.task(start.task))
        available[start.worker.id].reserve(ready_step.step, start.task[:3], suspicion)
        quota.charge(ready_step.record.job.team, ready_step.step)
