"""Carries out orders of operators only while their callers may still wait for the answer.

An operator that gets no answer sends its order to another controller, and may withdraw it there. A
copy that was left in a buffer, of a process that was frozen or of a network that was partitioned,
must not take effect after that. Configurations need no such check, since they have versions.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from geraniumtrack import logs
from geraniumtrack.jobs.messages import AnswerKind, EvacuationCall, JobAnswer

__all__ = ["CallOrigin", "OperatorOrders"]

# Operators send an order to another controller after a second without an answer.
ORDER_LIFETIME_S = 0.9
# The end of a connection may be read a round trip later than the request before it.
END_OF_CONNECTION_DELAY_S = 0.05
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class CallOrigin:
    """Where a call comes from.

    Attributes:
        arrived_after: Clock value in seconds before which the call can't have arrived.
        is_abandoned: Returns whether its caller has closed the connection.
    """

    arrived_after: float
    is_abandoned: Callable[[], bool]


class OperatorOrders:
    """Checks orders of operators, and passes on those whose callers may still wait.

    Args:
        reactor: Twisted reactor.
        call: Sends a call to the owner; takes the call and the keyword `timeout_s`, and returns a
            Deferred of the JobAnswer.
        evacuation_revision: Returns that of the state as this controller knows it.
    """

    def __init__(
        self, reactor: Any, call: Callable[..., Deferred], evacuation_revision: Callable[[], int]
    ) -> None:
        self._reactor = reactor
        self._call = call
        self._evacuation_revision = evacuation_revision

    @inlineCallbacks
    def carry_out(self, order: Any, origin: CallOrigin) -> Any:
        """Passes an order on to the owner.

        Returns:
            A Deferred of the JobAnswer. Its kind is NOT_READY, and the order has no effect, if the
            caller has given up or may have.
        """
        yield deferLater(self._reactor, END_OF_CONNECTION_DELAY_S, lambda: None)
        revision = self._evacuation_revision()
        while True:
            left_s = origin.arrived_after + ORDER_LIFETIME_S - self._reactor.seconds()
            if left_s <= 0 or origin.is_abandoned():
                return self._drop(order, origin)
            answer = yield self._call(self._based_on(order, revision), timeout_s=left_s)
            if answer.kind != AnswerKind.OUTDATED:
                return answer
            # The caller is known to wait after that revision, unless the checks above say no.
            revision = answer.value

    @singledispatchmethod
    def _based_on(self, order: Any, _revision: int) -> Any:
        """Returns an order that has an effect only at a revision of the state, if it needs one."""
        return order

    @_based_on.register
    def _(self, order: EvacuationCall, revision: int) -> EvacuationCall:
        return dataclasses.replace(order, revision=revision)

    def _drop(self, order: Any, origin: CallOrigin) -> JobAnswer:
        logs.event(
            "order_dropped",
            order=type(order).__name__,
            max_age_s=round(self._reactor.seconds() - origin.arrived_after, 3),
            abandoned=origin.is_abandoned(),
        )
        return JobAnswer(
            AnswerKind.NOT_READY,
            detail="the order may be older than a newer one; it had no effect; repeat it",
            retry_after_s=RETRY_AFTER_S,
        )
