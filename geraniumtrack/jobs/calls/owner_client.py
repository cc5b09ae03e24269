"""Finds the owner among the controllers and sends calls to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from geraniumtrack import logs
from geraniumtrack.errors import LinkUnavailable, RequestTimeout
from geraniumtrack.jobs.messages import (
    AnswerKind,
    CampaignQuery,
    JobAnswer,
    JobQuery,
    OwnerHint,
    PlacementCall,
    ReadConfig,
)
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.address import Address
from geraniumtrack.protocol.links import Link, LinkHub, was_sent

__all__ = ["OwnerClient"]

# A commit takes milliseconds, so an owner that does not answer by then counts as unreachable.
ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
RETRY_AFTER_S = 1.0
LINK_SILENCE_LIMIT_S = 1.1  # a controller sends an entry more than two hints in this time
ELECTION_WAIT_S = 2.2  # the longest election and the first commit after it
ISOLATED_WAIT_S = 0.3  # without a live link; the caller has a better chance at another entry

# Calls that change nothing.
_QUERIES = (CampaignQuery, JobQuery, PlacementCall, ReadConfig)
# Answers that say nothing about earlier attempts of the call: it has been executed, there is no
# such job now, or the state has changed since the last attempt was sent.
_CONCLUSIVE = (AnswerKind.OK, AnswerKind.NO_JOB, AnswerKind.OUTDATED)


class OwnerClient:
    """Keeps links to all known controllers and sends calls to the owner.

    Args:
        hub: Links of this process.
        seeds: Names of the controllers to connect to first.
        address_of: Returns the address on which a controller accepts links.

    Attributes:
        owner: Name of the controller believed to be the owner, or an empty string.
        term: Term of its leadership.
    """

    def __init__(
        self, hub: LinkHub, *, seeds: tuple[str, ...], address_of: Callable[[str], Address]
    ) -> None:
        self.owner = ""
        self.term = 0
        self._hub = hub
        self._address_of = address_of
        self._attempts: set[Deferred] = set()  # results of the attempts without an answer
        self.add_controllers(seeds)

    @property
    def connected(self) -> bool:
        """Whether an owner is known, and there is a live link to it or to a relaying controller."""
        return bool(self.owner) and self._route() is not None

    def add_controllers(self, names: tuple[str, ...]) -> None:
        """Connects to controllers and keeps the links open."""
        for name in names:
            if name != self._hub.identity.name:
                self._hub.dial(name, self._address_of(name))

    def handle_hint(self, hint: OwnerHint) -> None:
        """Updates the owner from a controller's hint, unless its term is older."""
        self.add_controllers(hint.members)
        if hint.owner and hint.term >= self.term:
            if hint.owner != self.owner:
                logs.event("owner_known", owner=hint.owner, term=hint.term, before=self.owner)
                self._abandon_attempts()
            self.owner, self.term = hint.owner, hint.term

    def _abandon_attempts(self) -> None:
        """Ends the wait for a former owner, so that the calls go to the new one without delay."""
        attempts, self._attempts = self._attempts, set()
        for result in attempts:
            result.callback(
                JobAnswer(AnswerKind.UNKNOWN, detail="the owner changed before it answered")
            )

    @inlineCallbacks
    def call(self, body: Any, *, timeout_s: float) -> Any:
        """Sends an idempotent call to the owner.

        The call is repeated after an unanswered attempt, and at once if the owner changes.

        Returns:
            A Deferred of the JobAnswer. If no attempt succeeded, its kind is UNKNOWN if one of them
            may have had an effect, else NOT_READY. A call that may change something is refused, for
            any reason, only if no attempt can have had an effect.
        """
        reactor = self._hub.reactor
        started = reactor.seconds()
        may_have_effect = False
        while (remaining_s := started + timeout_s - reactor.seconds()) > 0:
            link = self._route()
            waited = reactor.seconds() - started
            if waited > (ISOLATED_WAIT_S if link is None else ELECTION_WAIT_S):
                break
            if link is not None:
                answer = yield self._attempt(link, body, min(remaining_s, ATTEMPT_TIMEOUT_S))
                if answer.kind not in (AnswerKind.NOT_OWNER, AnswerKind.UNKNOWN):
                    if may_have_effect and not _is_conclusive(answer, body):
                        answer = _refused_after_unclear_attempt(answer)
                    self._record_metrics(body, answer, started)
                    return answer
                may_have_effect = may_have_effect or answer.kind == AnswerKind.UNKNOWN
            yield deferLater(reactor, RETRY_DELAY_S, lambda: None)
        kind = AnswerKind.UNKNOWN if may_have_effect else AnswerKind.NOT_READY
        answer = JobAnswer(kind, detail="no owner answered in time", retry_after_s=RETRY_AFTER_S)
        self._record_metrics(body, answer, started)
        return answer

    def _attempt(self, link: Link, body: Any, timeout_s: float) -> Deferred:
        """Sends a call; returns a Deferred of its answer, or of UNKNOWN if the owner changes."""
        result: Deferred = Deferred()
        self._attempts.add(result)

        def answered(answer: JobAnswer) -> None:
            if result in self._attempts:
                self._attempts.remove(result)
                result.callback(answer)

        self.send(link, body, timeout_s=timeout_s).addCallback(answered)
        return result

    def _record_metrics(self, body: Any, answer: JobAnswer, started: float) -> None:
        labels = {"call": type(body).__name__, "outcome": str(answer.kind)}
        metrics.count("owner_calls", **labels)
        metrics.observe("owner_call", self._hub.reactor.seconds() - started, **labels)

    def forward(self, body: Any) -> Deferred:
        """Sends a call to the owner once; used by a controller that relays the call."""
        link = self._live_link(self.owner)
        if link is None:
            return succeed(JobAnswer(AnswerKind.NOT_OWNER))
        return self.send(link, body, timeout_s=ATTEMPT_TIMEOUT_S)

    def send(self, link: Link, body: Any, *, timeout_s: float) -> Deferred:
        """Sends a call on a link; returns a Deferred of the JobAnswer, which does not fail."""
        return link.request(body, timeout_s=timeout_s).addCallbacks(_to_answer, _attempt_failed)

    def _route(self) -> Link | None:
        """Returns a live link to the owner, else to a controller that can relay, else None."""
        link = self._live_link(self.owner)
        if link is not None:
            return link
        links = (self._live_link(name) for name in self._hub.peer_names)
        return next((link for link in links if link is not None), None)

    def _live_link(self, name: str) -> Link | None:
        link = self._hub.link(name) if name else None
        if link is None or link.heard_at + LINK_SILENCE_LIMIT_S < self._hub.reactor.seconds():
            return None
        return link


def _to_answer(reply: Any) -> JobAnswer:
    if isinstance(reply, JobAnswer):
        return reply
    return JobAnswer(AnswerKind.UNKNOWN, detail=f"unexpected reply {type(reply).__name__}")


def _is_conclusive(answer: JobAnswer, body: Any) -> bool:
    """Whether an answer holds whatever became of earlier attempts of the call."""
    return isinstance(body, _QUERIES) or answer.kind in _CONCLUSIVE


def _refused_after_unclear_attempt(answer: JobAnswer) -> JobAnswer:
    """Returns the answer to a call that is refused after an attempt without an answer.

    The caller would take the refusal for that of its call, but the earlier attempt may still reach
    an owner, or may have been executed by one. The configuration may have changed in between.
    """
    logs.event("refusal_unclear", kind=answer.kind, detail=answer.detail)
    reason = answer.detail or answer.kind
    return JobAnswer(
        AnswerKind.UNKNOWN,
        detail=f"an earlier attempt was not answered; the last one was refused: {reason}",
        retry_after_s=answer.retry_after_s,
    )


def _attempt_failed(failure: Any) -> JobAnswer:
    failure.trap(LinkUnavailable, RequestTimeout)
    kind = AnswerKind.UNKNOWN if was_sent(failure.value) else AnswerKind.NOT_OWNER
    return JobAnswer(kind, detail=failure.getErrorMessage())
