"""Interface of the owner's calls to the platform's machine API, which an adapter implements."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred

__all__ = [
    "ORDER_TIMEOUT_S",
    "ChangeOutcome",
    "Instance",
    "InstanceList",
    "InstanceState",
    "MachinePort",
]

# The machine API may be slow, but a longer timeout delays the next order. An order without an
# answer is aborted with its connection, so that nothing of it is sent later.
ORDER_TIMEOUT_S = 1.5


class InstanceState(StrEnum):
    """State of an instance as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"  # a state that isn't named in the protocol; it offers no worker


class ChangeOutcome(StrEnum):
    """Result of an order to move or to maintain an instance."""

    DONE = "done"  # also if it had been done before
    FENCED = "fenced"  # another owner used a higher fencing token
    BUSY = "busy"  # the instance is not up, or its worker is leaving
    NOT_IN_CAMPAIGN = "not_in_campaign"
    IMPOSSIBLE = "impossible"  # unknown instance, or the pool does not accept this instance
    LIMITED = "limited"  # rate limit of the platform exceeded, or the order was not sent
    # No answer or an unexpected one; the order may have been or may still be executed.
    UNCLEAR = "unclear"


@dataclass(frozen=True, slots=True)
class Instance:
    """A machine of the fleet; `worker` is the id of its worker, or an empty string."""

    id: str
    pool: str
    state: InstanceState
    data_centre: str
    rack: str
    cpu: int  # thousandths of a core
    memory_mb: int
    labels: tuple[str, ...]
    worker: str

    @property
    def is_out_of_service(self) -> bool:
        """Whether the instance is down, or in a state in which it offers no worker."""
        return self.state in (InstanceState.DOWN, InstanceState.UNKNOWN)


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The instance list of the machine API.

    Attributes:
        instances: The instances.
        complete: Whether it certainly has all instances: each entry could be read, and no entry
            could be moved to a page that was read before.
    """

    instances: tuple[Instance, ...]
    complete: bool


class MachinePort(Protocol):
    """Calls to the machine API; the Deferreds do not fail.

    `may_send` is asked just before an order leaves: a call may wait for its connection while the
    leadership lease expires.
    """

    def instances(self) -> Deferred:
        """Returns a Deferred of an InstanceList, or of None if the call failed."""

    def move(
        self, instance: str, pool: str, *, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        """Moves an instance to a pool; returns a Deferred of a ChangeOutcome."""

    def maintain(
        self, instance: str, campaign: int, *, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        """Starts the maintenance of an instance; returns a Deferred of a ChangeOutcome."""
