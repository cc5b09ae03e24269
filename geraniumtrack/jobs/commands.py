"""Commands of the replicated log that change jobs, workers and configuration."""

from __future__ import annotations

from dataclasses import dataclass

from geraniumtrack.jobs.model import FleetConfig, Job, WorkerInfo
from geraniumtrack.protocol.codec import message

__all__ = [
    "CancelJob",
    "Configure",
    "ForgetWorker",
    "PutWorker",
    "RecordRuns",
    "SetEvacuation",
    "StartMaintenance",
    "SubmitJob",
    "UpkeepBegun",
]


@message
@dataclass(frozen=True, slots=True)
class Configure:
    """Puts a configuration in force if its version is higher than the stored one."""

    config: FleetConfig


@message
@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accepts a job; one with a known id changes nothing."""

    job: Job


@message
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job at a wall-clock time in seconds."""

    job_id: str
    at: float


@message
@dataclass(frozen=True, slots=True)
class PutWorker:
    """Registers a worker's life or replaces what is known of it."""

    worker: WorkerInfo


@message
@dataclass(frozen=True, slots=True)
class ForgetWorker:
    """Removes a worker's life; what it ran is placed again."""

    worker_id: str
    born: int


@message
@dataclass(frozen=True, slots=True)
class RecordRuns:
    """What one pass of the owner changes, in one command.

    Attributes:
        at: Wall-clock time in seconds.
        ends: Rows of worker id, born, and the ends that it listed, each a tuple of a `TaskEnd`'s
            values.
        lost: Rows of task and run that surely do not run any more, with the newest checkpoint.
        starts: Rows of task, run, worker id and born. Committed before the order leaves, so that
            another owner knows where a run may be.
    """

    at: float
    ends: tuple = ()
    lost: tuple = ()
    starts: tuple = ()


@message
@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Takes a data centre out, or back."""

    data_centre: str
    out: bool


@message
@dataclass(frozen=True, slots=True)
class StartMaintenance:
    """Starts a campaign that maintains each instance by a time, `cap` at once."""

    campaign: int
    instances: tuple[str, ...]
    deadline: float
    cap: int


@message
@dataclass(frozen=True, slots=True)
class UpkeepBegun:
    """An instance's maintenance has begun, or the instance is gone."""

    campaign: int
    instance: str
