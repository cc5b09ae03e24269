"""A change of one instance that is in progress."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from geraniumtrack.jobs.capacity.planner import MoveReason

__all__ = ["Change", "ChangePhase", "drain_timeout_s"]

# Pause before an order is repeated: one for maintenance or evacuation that was not executed, or any
# order with an unclear outcome. Another move that was not executed is dropped and may be planned
# again.
ORDER_RETRY_DELAY_S = 0.5
# Mostly, instances without tasks are moved between pools, but the start of a task may have been in
# the middle of its commit when the move was planned. If such a task does not end within this time,
# the move is dropped.
MOVE_DRAIN_TIMEOUT_S = 1.0
BUSY_DRAIN_TIMEOUT_S = 3.0  # the same for an instance that had tasks when its move was planned


class ChangePhase(Enum):
    """Phase of a change."""

    DRAINING = auto()  # tasks are ending or being stopped
    ORDERED = auto()  # the platform has not answered the order yet
    RETURNING = auto()  # the order was executed; the instance is not back yet


@dataclass(slots=True)
class Change:
    """A move, maintenance or evacuation of one instance that is in progress.

    Attributes:
        instance: Id of the instance.
        phase_started_at: Clock value in seconds at which draining began or, in the phase RETURNING,
            at which the order was executed.
        pool: Pool that the instance moves to; empty if it does not move.
        drain_timeout_s: Time in seconds after which a move is dropped if tasks still run.
        campaign: Campaign that maintains the instance; 0 without maintenance.
        evacuating: Whether the instance is drained because its data centre is evacuated. It moves
            to the standby pool if there is one.
        phase: Current phase.
        has_service_tasks: Whether it ran service tasks when draining for maintenance began.
        ordered_at: Clock value in seconds at which the last order was sent.
        retry_at: Clock value in seconds before which the order is not repeated.
        retry_delay_s: Pause in seconds before the order is repeated, if it has to be.
        order_unclear: Whether an unanswered order may still be executed.
        ordered_worker: Id and `born` of the worker that the order ends: the one that was on the
            instance when the order was first sent that may have been executed.
    """

    instance: str
    phase_started_at: float
    pool: str = ""
    drain_timeout_s: float = MOVE_DRAIN_TIMEOUT_S
    campaign: int = 0
    evacuating: bool = False
    phase: ChangePhase = ChangePhase.DRAINING
    has_service_tasks: bool = False
    ordered_at: float = 0.0
    retry_at: float = 0.0
    retry_delay_s: float = ORDER_RETRY_DELAY_S
    order_unclear: bool = False
    ordered_worker: tuple[str, int] | None = None


def drain_timeout_s(reason: MoveReason) -> float:
    """Returns the time in seconds after which a move is dropped if tasks still run."""
    return BUSY_DRAIN_TIMEOUT_S if reason is MoveReason.REBALANCE else MOVE_DRAIN_TIMEOUT_S
