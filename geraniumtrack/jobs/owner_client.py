"""Finds the owner among the controllers and brings calls to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from geraniumtrack import logs
from geraniumtrack.errors import ConnectionLost, RequestTimeout
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, OwnerHint
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.address import Address
from geraniumtrack.protocol.links import Link, LinkHub, was_sent

__all__ = ["OwnerClient"]

ATTEMPT_TIMEOUT_S = 1.0  # a commit takes milliseconds; a longer silence is a lost owner
RETRY_PAUSE_S = 0.05
RETRY_AFTER_S = 1.0
FRESH_S = 1.1  # controllers send a hint more than twice in this time
ELECTION_WAIT_S = 2.2  # the longest election and its first commit
ISOLATED_WAIT_S = 0.3  # a caller is better off at another entry than waiting here


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
        """Whether an owner is known and it, or a controller that can relay, was heard lately."""
        return bool(self.owner) and self._way() is not None

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
        started = reactor.seconds()
        unclear = False
        while (left := started + timeout_s - reactor.seconds()) > 0:
            link = self._way()
            waited = reactor.seconds() - started
            if waited > (ISOLATED_WAIT_S if link is None else ELECTION_WAIT_S):
                break
            if link is not None:
                answer = yield self.ask(link, body, timeout_s=min(left, ATTEMPT_TIMEOUT_S))
                if answer.kind not in (AnswerKind.NOT_OWNER, AnswerKind.UNKNOWN):
                    self._measure(body, answer, started)
                    return answer
                unclear = unclear or answer.kind == AnswerKind.UNKNOWN
            yield deferLater(reactor, RETRY_PAUSE_S, lambda: None)
        kind = AnswerKind.UNKNOWN if unclear else AnswerKind.NOT_READY
        answer = JobAnswer(kind, detail="no owner answered in time", retry_after_s=RETRY_AFTER_S)
        self._measure(body, answer, started)
        return answer

    def _measure(self, body: Any, answer: JobAnswer, started: float) -> None:
        labels = {"call": type(body).__name__, "outcome": str(answer.kind)}
        metrics.count("owner_calls", **labels)
        metrics.observe("owner_call", self._hub.reactor.seconds() - started, **labels)

    def direct(self, body: Any) -> Deferred:
        """Brings a call to the owner itself, once; for a controller that relays."""
        link = self._fresh(self.owner)
        if link is None:
            return succeed(JobAnswer(AnswerKind.NOT_OWNER))
        return self.ask(link, body, timeout_s=ATTEMPT_TIMEOUT_S)

    def ask(self, link: Link, body: Any, *, timeout_s: float) -> Deferred:
        """Sends a call on a link; the Deferred of the JobAnswer does not fail."""
        return link.request(body, timeout_s=timeout_s).addCallbacks(_as_answer, _attempt_failed)

    def _way(self) -> Link | None:
        """Returns a link to the owner, or to a controller that was heard lately and can relay."""
        link = self._fresh(self.owner)
        if link is not None:
            return link
        links = (self._fresh(name) for name in self._hub.names)
        return next((link for link in links if link is not None), None)

    def _fresh(self, name: str) -> Link | None:
        link = self._hub.link(name) if name else None
        if link is None or link.heard_at + FRESH_S < self._hub.reactor.seconds():
            return None
        return link


def _as_answer(reply: Any) -> JobAnswer:
    if isinstance(reply, JobAnswer):
        return reply
    return JobAnswer(AnswerKind.UNKNOWN, detail=f"unexpected reply {type(reply).__name__}")


def _attempt_failed(failure: Any) -> JobAnswer:
    failure.trap(ConnectionLost, RequestTimeout)
    kind = AnswerKind.UNKNOWN if was_sent(failure.value) else AnswerKind.NOT_OWNER
    return JobAnswer(kind, detail=failure.getErrorMessage())
