"""Calls to the owner, made for callers, workers and operators, and the answers to them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from geraniumtrack.jobs.state.model import FleetConfig, StepSpec, WorkerInfo
from geraniumtrack.protocol.codec import message

__all__ = [
    "JobAnswer",
    "AnswerKind",
    "CampaignQuery",
    "CancelCall",
    "ConfigureCall",
    "EvacuationCall",
    "Heartbeat",
    "JobQuery",
    "JobRequest",
    "LeaveCall",
    "MaintenanceCall",
    "OwnerHint",
    "PlacementCall",
    "ReadConfig",
    "SubmitCall",
]


class AnswerKind(StrEnum):
    """Outcome of a call to the owner."""

    OK = "ok"
    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"  # the key is unknown
    NO_QUEUE = "no_queue"
    NO_JOB = "no_job"  # the job, or the campaign of a CampaignQuery, is unknown
    NOT_READY = "not_ready"  # no configuration, or no owner found in time; no effect
    NOT_OWNER = "not_owner"  # the controller that received the call is not the owner; no effect
    BUSY = "busy"  # too many calls; no effect
    OUTDATED = "outdated"  # based on a state that has changed since; no effect
    REFUSED = "refused"  # the job can't be done in time; it has not run and does not run
    UNKNOWN = "unknown"  # the call may or may not have been executed


@message
@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to any call.

    Attributes:
        kind: An `AnswerKind`.
        value: Result, whose type depends on the call.
        detail: Human-readable explanation.
        retry_after_s: Time in seconds after which the caller should retry; 0 for none.
    """

    kind: str
    value: Any = None
    detail: str = ""
    retry_after_s: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class JobRequest:
    """Host header, path and key of a caller's request; `path` is without the query string."""

    host: str
    path: str
    key: str


@message
@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Submits a job; `first_due` is a wall-clock time in seconds."""

    request: JobRequest
    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int
    first_due: float
    interval_s: float


@message
@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancels a job."""

    request: JobRequest


@message
@dataclass(frozen=True, slots=True)
class JobQuery:
    """Requests a job's state, or if the path has no job id the number of queued jobs."""

    request: JobRequest


@message
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's report about itself; `sequence` rises with each report of an incarnation."""

    worker: WorkerInfo
    sequence: int


@message
@dataclass(frozen=True, slots=True)
class LeaveCall:
    """Announces that a worker shuts down; `born` is 0 if the incarnation is not given."""

    worker_id: str
    born: int


@message
@dataclass(frozen=True, slots=True)
class ConfigureCall:
    """Replaces the whole configuration; sent for an operator.

    If the version is not higher than that of the current configuration, the call is answered OK and
    has no effect.
    """

    config: FleetConfig


@message
@dataclass(frozen=True, slots=True)
class ReadConfig:
    """Reads the document of the newest configuration that a quorum has committed."""


@message
@dataclass(frozen=True, slots=True)
class EvacuationCall:
    """Evacuates a data centre, or returns it to service if `out` is false.

    A copy that was delayed must not undo a newer order. So the call has an effect only as long as
    no other evacuation order has been committed since its sender knew that the caller still waits.
    Otherwise its answer is OUTDATED, with the present revision as its value.

    Attributes:
        data_centre: Name of the data centre.
        out: Whether it is evacuated.
        revision: The `evacuation_revision` of the state that the sender then knew.
    """

    data_centre: str
    out: bool
    revision: int = 0


@message
@dataclass(frozen=True, slots=True)
class MaintenanceCall:
    """Requests maintenance of instances within `duration_s`, at most `cap` at the same time."""

    campaign: int
    instances: tuple[str, ...]
    duration_s: float
    cap: int


@message
@dataclass(frozen=True, slots=True)
class CampaignQuery:
    """Asks whether a campaign is completed.

    It is once the maintenance of each of its instances has begun or was refused by the platform.
    """

    campaign: int


@message
@dataclass(frozen=True, slots=True)
class PlacementCall:
    """Asks where a job would go now, and why; it is neither submitted nor changed.

    Attributes:
        job_id: Id of a waiting job, or an empty string if the other fields describe a job.
        queue: Name of the queue.
        team: Name of the team, or an empty string for callers without a key.
        steps: The steps.
    """

    job_id: str = ""
    queue: str = ""
    team: str = ""
    steps: tuple[StepSpec, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class OwnerHint:
    """Tells which controllers are known and which of them is believed to be the owner.

    `owner` is empty if none is known; `term` is the term of its leadership.
    """

    owner: str
    term: int
    members: tuple[str, ...]
