"""What the owner asks of the platform's machine interface, as an interface for an adapter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred

__all__ = ["ChangeOutcome", "Instance", "InstanceState", "MachinePort"]


class InstanceState(StrEnum):
    """What the platform says of an instance."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class ChangeOutcome(StrEnum):
    """What the platform answers to a move or a maintenance order."""

    DONE = "done"  # also if it was done before
    FENCED = "fenced"  # another owner used a higher fencing token
    BUSY = "busy"  # the instance is not up, or its worker leaves
    NOT_IN_CAMPAIGN = "not_in_campaign"
    IMPOSSIBLE = "impossible"  # no such instance, or the pool is for other instances
    LIMITED = "limited"  # too many calls
    UNCLEAR = "unclear"  # no answer; it may have been done or may be done later


@dataclass(frozen=True, slots=True)
class Instance:
    """One machine of the fleet; `worker` is the id of its worker, if it has one."""

    id: str
    pool: str
    state: InstanceState
    data_centre: str
    rack: str
    cpu: int  # thousandths of a core
    memory_mb: int
    labels: tuple[str, ...]
    worker: str


class MachinePort(Protocol):
    """Calls to the machine interface; the Deferreds do not fail."""

    def instances(self) -> Deferred:
        """Returns a Deferred of a list of Instance, or of None if it can't be had."""

    def move(self, instance: str, pool: str, *, fence: int) -> Deferred:
        """Returns a Deferred of a ChangeOutcome."""

    def maintain(self, instance: str, campaign: int, *, fence: int) -> Deferred:
        """Returns a Deferred of a ChangeOutcome."""
