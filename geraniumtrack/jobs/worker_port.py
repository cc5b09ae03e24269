"""What the owner asks of one worker, as an interface that an adapter implements."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from geraniumtrack.jobs.model import TaskEnd, TaskId, WorkerInfo

__all__ = [
    "HoldOrder",
    "RunningTask",
    "StartOrder",
    "StartOutcome",
    "StopOrder",
    "WorkerGone",
    "WorkerPort",
    "WorkerReport",
]


class StartOutcome(StrEnum):
    """What a worker answers to a start."""

    STARTED = "started"
    FENCED = "fenced"  # another owner used a higher fencing token
    OUTDATED = "outdated"  # that run or a higher one was stopped or has ended there
    LATE = "late"  # the deadline of the order has passed
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"  # the worker did nothing
    REFUSED = "refused"  # the order was malformed
    UNKNOWN = "unknown"  # no answer; the order may still be carried out


class WorkerGone(Exception):  # noqa: N818 - it is an outcome, not a fault
    """The address belongs to another life of a worker."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts one run. `deadline_ms` is on the worker's clock."""

    task: TaskId
    run: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops one run."""

    task: TaskId
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Extends the lease of all runs, takes note of ends, and waits for the next one."""

    fence: int
    last_seen: int
    wait_s: float
    deadline_ms: int = 0  # 0 leaves the lease as it is


class RunningTask(NamedTuple):
    """A run that a worker lists.

    `figure` is the response time tail in ms of a serving task, else the processor in use.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    figure: float


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a hold; `born` is 0 if it does not say whose lists these are."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ends: tuple[TaskEnd, ...]
    fenced: bool = False
    born: int = 0


class WorkerPort(Protocol):
    """Calls to one worker's life. Deferreds fail with CallFailed or WorkerGone."""

    def start(self, worker: WorkerInfo, order: StartOrder) -> Deferred:
        """Returns a Deferred of a StartOutcome, which does not fail."""

    def stop(self, worker: WorkerInfo, order: StopOrder) -> Deferred:
        """Returns a Deferred of whether the worker acknowledged the stop."""

    def hold(self, worker: WorkerInfo, order: HoldOrder) -> Deferred:
        """Returns a Deferred of a WorkerReport."""

    def pace(self, worker: WorkerInfo, order: StopOrder, percent: int) -> Deferred:
        """Returns a Deferred of whether the worker took the new share."""

    def forget(self, worker: WorkerInfo) -> None:
        """Closes the connections to a worker."""
