"""Finds the owner among the controllers and brings calls to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from geraniumtrack import logs
from geraniumtrack.errors import ConnectionLost, RequestTimeout
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, OwnerHint
from geraniumtrack.protocol.address import Address
from geraniumtrack.protocol.links import LinkHub, was_sent

__all__ = ["OwnerClient"]

ATTEMPT_TIMEOUT_S = 1.0  # a commit takes milliseconds; a longer silence is a lost owner
RETRY_PAUSE_S = 0.05
RETRY_AFTER_S = 1.0


class OwnerClient:
    """Keeps links to all known controllers and asks the one that is the owner.

    Args:
        hub: Links of this process.
        seeds: Names of the first controllers to ask.
        address_of: Returns the address of a controller's links.
    """

    def __init__(
        self, hub: LinkHub, *, seeds: tuple[str, ...], address_of: Callable[[str], Address]
    ) -> None:
        self.owner = ""
        self.term = 0
        self._hub = hub
        self._address_of = address_of
        self.meet(seeds)

    @property
    def connected(self) -> bool:
        """Whether there is a link to the owner."""
        return bool(self.owner) and self._hub.link(self.owner) is not None

    def meet(self, names: tuple[str, ...]) -> None:
        """Keeps links to controllers from now on."""
        for name in names:
            if name != self._hub.identity.name:
                self._hub.dial(name, self._address_of(name))

    def hint(self, hint: OwnerHint) -> None:
        """Takes a controller's word on who is the owner."""
        self.meet(hint.members)
        if hint.owner and hint.term >= self.term:
            if hint.owner != self.owner:
                logs.event("owner_known", owner=hint.owner, term=hint.term, before=self.owner)
            self.owner, self.term = hint.owner, hint.term

    @inlineCallbacks
    def call(self, body: Any, *, timeout_s: float) -> Any:
        """Brings an idempotent call to the owner, again after a change of owner.

        Returns:
            A Deferred of the JobAnswer. It is NOT_READY only if no attempt can have had an effect,
            and UNKNOWN if one may have had.
        """
        reactor = self._hub.reactor
        due = reactor.seconds() + timeout_s
        unclear = False
        while (left := due - reactor.seconds()) > 0:
            answer = yield self._attempt(body, min(left, ATTEMPT_TIMEOUT_S))
            if answer.kind not in (AnswerKind.NOT_OWNER, AnswerKind.UNKNOWN):
                return answer
            unclear = unclear or answer.kind == AnswerKind.UNKNOWN
            yield deferLater(reactor, RETRY_PAUSE_S, lambda: None)
        kind = AnswerKind.UNKNOWN if unclear else AnswerKind.NOT_READY
        return JobAnswer(kind, detail="no owner answered in time", retry_after_s=RETRY_AFTER_S)

    def _attempt(self, body: Any, timeout_s: float) -> Deferred:
        fut: Deferred = Deferred()
        link = self._hub.link(self.owner) if self.owner else None
        if link is None:
            fut.callback(JobAnswer(AnswerKind.NOT_OWNER))
            return fut
        return link.request(body, timeout_s=timeout_s).addCallbacks(_as_answer, _attempt_failed)


def _as_answer(reply: Any) -> JobAnswer:
    if isinstance(reply, JobAnswer):
        return reply
    return JobAnswer(AnswerKind.UNKNOWN, detail=f"unexpected reply {type(reply).__name__}")


def _attempt_failed(failure: Any) -> JobAnswer:
    failure.trap(ConnectionLost, RequestTimeout)
    kind = AnswerKind.UNKNOWN if was_sent(failure.value) else AnswerKind.NOT_OWNER
    return JobAnswer(kind, detail=failure.getErrorMessage())
