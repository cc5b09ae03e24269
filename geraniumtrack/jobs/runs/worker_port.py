"""Interface of the calls from the owner to a worker, which an adapter implements.

A hold is a long poll: it extends the lease of the worker's runs, acknowledges run ends, and is
answered when the next run ends or its wait is over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from geraniumtrack.jobs.state.model import RunEnd, TaskId, WorkerInfo

__all__ = [
    "HoldOrder",
    "RunOrder",
    "RunningTask",
    "StartOrder",
    "StartOutcome",
    "WorkerMismatch",
    "WorkerPort",
    "WorkerReport",
    "WorkerRestarted",
]


class StartOutcome(StrEnum):
    """Result of a start order."""

    STARTED = "started"
    FENCED = "fenced"  # another owner used a higher fencing token
    OUTDATED = "outdated"  # this run or a later one of the task has ended or was stopped there
    LATE = "late"  # the deadline of the order has passed
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    # Nothing was started: the worker cannot run tasks at present, another worker or incarnation
    # answered, or the order was not sent.
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"  # the order was malformed, or it was refused for an unknown reason
    # No answer or an unexpected one; the order may have been or may still be executed.
    UNKNOWN = "unknown"


class WorkerMismatch(Exception):  # noqa: N818 - it is an outcome, not a fault
    """A worker with another id answered at the address, and refuses orders for the one meant."""


class WorkerRestarted(Exception):  # noqa: N818 - it is an outcome, not a fault
    """Another incarnation of the worker answered, with the same id.

    The one that was meant has ended, but orders for it may have been executed by the other one.
    """


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    `deadline_ms` is on the worker's clock: the order is refused after it, and the lease is extended
    to it.
    """

    task: TaskId
    run: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Names the run that an order to stop it, or to set its pace, applies to."""

    task: TaskId
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Parameters of one hold; see the module docstring.

    Attributes:
        fence: Fencing token of the owner.
        last_acked: Acknowledges run ends up to this number.
        wait_s: Time for which the worker may wait for the next run end before it answers.
        deadline_ms: End of the lease of all runs, on the worker's clock; 0 does not extend it.
    """

    fence: int
    last_acked: int
    wait_s: float
    deadline_ms: int = 0


class RunningTask(NamedTuple):
    """A run that a worker reports as running.

    Attributes:
        task: Id of the task.
        run: Number of the run.
        checkpoint: The newest checkpoint, or an empty string.
        percent: Pace of the run in percent of full speed.
        metric: Tail latency in ms for a task with a latency target, else its CPU use.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    metric: float


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a hold.

    Attributes:
        clock_ms: Reading of the worker's clock.
        running: Runs in progress.
        ends: Run ends that are not acknowledged.
        fenced: Whether the worker refused the hold because of a higher fencing token.
        born: Incarnation that answers; 0 if the answer does not contain it.
        complete: Whether each run that the worker knows is in the report. Otherwise a run that is
            missing may be active, or have an end that a later report lists.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ends: tuple[RunEnd, ...]
    fenced: bool = False
    born: int = 0
    complete: bool = True


class WorkerPort(Protocol):
    """Calls to workers. Only the Deferred of `hold` can fail.

    `may_send` is asked just before an order leaves: a call may wait for its connection while the
    leadership lease expires. If the answer is false, the order is not sent.
    """

    def start(
        self, worker: WorkerInfo, order: StartOrder, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Orders the start of a run; returns a Deferred of a StartOutcome."""

    def stop(
        self, worker: WorkerInfo, order: RunOrder, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Orders a run to stop; returns a Deferred of whether the worker acknowledged it."""

    def hold(
        self, worker: WorkerInfo, order: HoldOrder, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Sends a hold.

        Returns:
            A Deferred of a WorkerReport. It fails with CallFailed if the call failed, with
            WorkerMismatch if another worker answered, and with WorkerRestarted if another
            incarnation of this worker did.
        """

    def pace(
        self, worker: WorkerInfo, order: RunOrder, percent: int, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Sets the pace of a run; returns a Deferred of whether the worker acknowledged it."""

    def disconnect(self, worker: WorkerInfo) -> None:
        """Closes the connections to an incarnation of a worker."""
