"""Messages between the processes that serve callers, workers and operators, and the owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from geraniumtrack.jobs.model import FleetConfig, StepSpec, WorkerInfo
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
    "ReadConfig",
    "SubmitCall",
]


class AnswerKind(StrEnum):
    """What became of a call."""

    OK = "ok"
    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"  # the key is unknown
    NO_QUEUE = "no_queue"
    NO_JOB = "no_job"
    NOT_READY = "not_ready"  # no configuration, or no owner in time; nothing was done
    NOT_OWNER = "not_owner"  # the controller asked does not lead; nothing was done
    REFUSED = "refused"  # it has not run and never will
    UNKNOWN = "unknown"  # it may have been done


@message
@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answers every call; `value` depends on the call, `detail` is for a person."""

    kind: str
    value: Any = None
    detail: str = ""
    retry_after_s: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class JobRequest:
    """Which queue and job a caller names, with its key; `path` has no query."""

    host: str
    path: str
    key: str


@message
@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Hands in a job; `first_due` and `interval_s` are in seconds."""

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
    """Asks for a job's state, or for the number of jobs not begun if the path names no job."""

    request: JobRequest


@message
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's report about itself; `sequence` rises with each report of one life."""

    worker: WorkerInfo
    sequence: int


@message
@dataclass(frozen=True, slots=True)
class LeaveCall:
    """A worker says that it ends now; `born` is 0 if it does not say which life."""

    worker_id: str
    born: int


@message
@dataclass(frozen=True, slots=True)
class ConfigureCall:
    """An operator sends a whole configuration."""

    config: FleetConfig


@message
@dataclass(frozen=True, slots=True)
class ReadConfig:
    """Asks for the newest configuration, from a quorum."""


@message
@dataclass(frozen=True, slots=True)
class EvacuationCall:
    """Takes a data centre out, or back."""

    data_centre: str
    out: bool


@message
@dataclass(frozen=True, slots=True)
class MaintenanceCall:
    """Asks that instances have their maintenance within `duration_s`, `cap` at once."""

    campaign: int
    instances: tuple[str, ...]
    duration_s: float
    cap: int


@message
@dataclass(frozen=True, slots=True)
class CampaignQuery:
    """Asks how far a campaign is."""

    campaign: int


@message
@dataclass(frozen=True, slots=True)
class OwnerHint:
    """Tells which controller is the owner, as far as known, and which controllers there are."""

    owner: str
    term: int
    members: tuple[str, ...]
