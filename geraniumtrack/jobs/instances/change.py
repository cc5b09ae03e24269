"""A change of one instance that is in progress."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

__all__ = ["Change", "ChangePhase"]

# Pause before an order is repeated: one for maintenance or evacuation that was not executed, or any
# order with an unclear outcome. Another move that was not executed is dropped and may be planned
# again.
ORDER_RETRY_DELAY_S = 0.5


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
        campaign: Campaign that maintains the instance; 0 without maintenance.
        evacuating: Whether the instance is drained because its data centre is evacuated. It moves
            to the standby pool if there is one.
        phase: Current phase.
        has_service_tasks: Whether it ran service tasks when draining for maintenance began.
        ordered_at: Clock value in seconds at which the last order was sent.
        retry_at: Clock value in seconds before which the order is not repeated.
        retry_delay_s: Pause in seconds before the order is repeated, if it has to be.
        order_unclear: Whether an unanswered order may still be executed.
        ended_worker: Id and `born` of the worker that the order ended.
    """

    instance: str
    phase_started_at: float
    pool: str = ""
    campaign: int = 0
    evacuating: bool = False
    phase: ChangePhase = ChangePhase.DRAINING
    has_service_tasks: bool = False
    ordered_at: float = 0.0
    retry_at: float = 0.0
    retry_delay_s: float = ORDER_RETRY_DELAY_S
    order_unclear: bool = False
    ended_worker: tuple[str, int] | None = None
