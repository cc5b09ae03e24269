"""The owner client: unreachable owners, relays, changes of owner, and kinds of answers."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from geraniumtrack.errors import LinkUnavailable
from geraniumtrack.jobs.calls.owner_client import ISOLATED_WAIT_S, RETRY_DELAY_S, OwnerClient
from geraniumtrack.jobs.messages import (
    AnswerKind,
    CancelCall,
    ConfigureCall,
    EvacuationCall,
    JobAnswer,
    JobQuery,
    JobRequest,
    MaintenanceCall,
    OwnerHint,
    ReadConfig,
    SubmitCall,
)
from geraniumtrack.protocol.address import Address

REQUEST = JobRequest("h", "/q/1", "k")
CALL = JobQuery(REQUEST)
SUBMISSION = SubmitCall(REQUEST, "x", (), 0, 0.0, 0.0)
CHANGES = [
    SUBMISSION,
    CancelCall(REQUEST),
    ConfigureCall(None),
    EvacuationCall("dc1", True),
    MaintenanceCall(1, (), 1.0, 1),
]


class FakeLink:
    """A link that answers requests with `answers` in order; later requests get no answer."""

    def __init__(self, clock: Clock, *answers: object) -> None:
        self.heard_at = clock.seconds()
        self.answers = list(answers)
        self.request_count = 0

    def request(self, body: object, *, timeout_s: float) -> Deferred:
        self.request_count += 1
        if not self.answers:
            return Deferred()
        answer = self.answers.pop(0)
        return fail(answer) if isinstance(answer, Exception) else succeed(answer)


class FakeHub:
    """A hub whose links are set by the test."""

    def __init__(self, clock: Clock) -> None:
        self.reactor = clock
        self.identity = SimpleNamespace(name="e1")
        self.links: dict[str, FakeLink] = {}

    @property
    def peer_names(self) -> tuple[str, ...]:
        return tuple(self.links)

    def dial(self, name: str, address: Address) -> None:
        """Does nothing, because the test sets the links."""

    def link(self, name: str) -> FakeLink | None:
        return self.links.get(name)


def client_with(**links: FakeLink) -> tuple[OwnerClient, Clock, FakeHub]:
    """Returns a client that has these links and knows c1 as the owner, its clock and its hub."""
    clock = Clock()
    hub = FakeHub(clock)
    hub.links = links
    client = OwnerClient(hub, seeds=(), address_of=lambda name: Address(name, 1))
    client.handle_hint(OwnerHint("c1", 3, ("c1", "c2")))
    return client, clock, hub


def call_result(
    client: OwnerClient, clock: Clock, seconds: float, call: object = CALL
) -> JobAnswer | None:
    """Sends a call and returns its answer, or None if there is none within `seconds`."""
    results: list[JobAnswer] = []
    client.call(call, timeout_s=3.0).addCallback(results.append)
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)
    return results[0] if results else None


def link_unavailable(*, sent: bool) -> LinkUnavailable:
    exc = LinkUnavailable("gone", remedy="retry")
    exc.sent = sent
    return exc


def test_a_call_goes_to_the_owner():
    clock = Clock()
    client, clock, _ = client_with(c1=FakeLink(clock, JobAnswer(AnswerKind.OK, "running")))
    assert call_result(client, clock, 0.1).value == "running"


def test_a_call_to_an_unreachable_owner_is_relayed_by_another_controller():
    """Guards against calls that fail at an entry whose link to the owner is silent."""
    clock = Clock()
    silent, relay = FakeLink(clock), FakeLink(clock, JobAnswer(AnswerKind.OK, "x"))
    client, clock, _ = client_with(c1=silent, c2=relay)
    clock.advance(2.0)
    relay.heard_at = clock.seconds()
    assert call_result(client, clock, 0.1).value == "x"
    assert silent.request_count == 0


def test_a_call_without_a_live_link_is_soon_answered_with_not_ready():
    """Guards against callers that wait until their deadline at an entry without controllers."""
    clock = Clock()
    client, clock, _ = client_with(c1=FakeLink(clock))
    clock.advance(2.0)
    assert not client.connected
    answer = call_result(client, clock, ISOLATED_WAIT_S + 0.2)
    assert answer.kind == AnswerKind.NOT_READY
    assert answer.retry_after_s > 0


def test_a_call_with_an_unanswered_attempt_is_answered_with_unknown():
    """Guards against reporting a call as not executed although an owner may have executed it."""
    clock = Clock()
    link = FakeLink(clock, link_unavailable(sent=True), *[link_unavailable(sent=False)] * 99)
    client, clock, _ = client_with(c1=link)
    link.heard_at = 1e9
    assert call_result(client, clock, 3.0).kind == AnswerKind.UNKNOWN


def test_a_call_that_was_never_sent_is_answered_with_not_ready():
    """Guards against reporting a call as possibly executed although no owner received it."""
    clock = Clock()
    link = FakeLink(clock, *[link_unavailable(sent=False)] * 99)
    client, clock, _ = client_with(c1=link)
    link.heard_at = 1e9
    assert call_result(client, clock, 3.0).kind == AnswerKind.NOT_READY


def test_a_call_is_sent_again_to_a_new_owner():
    """Guards against failed calls during a change of owner: the former owner did not run it."""
    clock = Clock()
    former = FakeLink(clock, JobAnswer(AnswerKind.NOT_OWNER), link_unavailable(sent=True))
    successor = FakeLink(clock, JobAnswer(AnswerKind.OK, "done"))
    client, clock, _ = client_with(c1=former, c2=successor)
    former.heard_at = successor.heard_at = 1e9
    results: list[JobAnswer] = []
    client.call(CALL, timeout_s=3.0).addCallback(results.append)
    clock.advance(0.05)
    client.handle_hint(OwnerHint("c2", 4, ()))
    for _ in range(4):
        clock.advance(0.05)
    assert results[0].value == "done"


def test_a_call_to_an_owner_that_does_not_answer_goes_to_the_new_one_at_once():
    """Guards against callers that wait for a suspended owner after another one took over."""
    clock = Clock()
    suspended, successor = FakeLink(clock), FakeLink(clock, JobAnswer(AnswerKind.OK, "done"))
    client, clock, _ = client_with(c1=suspended, c2=successor)
    results: list[JobAnswer] = []
    client.call(CALL, timeout_s=3.0).addCallback(results.append)
    clock.advance(0.5)
    client.handle_hint(OwnerHint("c2", 4, ()))
    clock.advance(RETRY_DELAY_S)
    assert results[0].value == "done"
    assert (suspended.request_count, successor.request_count) == (1, 1)


def test_a_call_abandoned_at_a_change_of_owner_may_have_had_an_effect():
    """Guards against reporting a call as not executed that the former owner may have executed."""
    clock = Clock()
    client, clock, hub = client_with(c1=FakeLink(clock))
    results: list[JobAnswer] = []
    client.call(CALL, timeout_s=3.0).addCallback(results.append)
    client.handle_hint(OwnerHint("c2", 4, ()))
    hub.links.clear()
    for _ in range(20):
        clock.advance(0.05)
    assert results[0].kind == AnswerKind.UNKNOWN


def test_a_refusal_after_an_unanswered_attempt_is_answered_with_unknown():
    """Guards against "not run" for a job that an earlier attempt of the call may have submitted."""
    refused = JobAnswer(AnswerKind.REFUSED, detail="no room", retry_after_s=3.0)
    for attempts, expected in (
        ([link_unavailable(sent=True), refused], AnswerKind.UNKNOWN),
        (
            [JobAnswer(AnswerKind.UNKNOWN), link_unavailable(sent=False), refused],
            AnswerKind.UNKNOWN,
        ),
        ([link_unavailable(sent=False), JobAnswer(AnswerKind.NOT_OWNER), refused], refused.kind),
        ([refused], AnswerKind.REFUSED),
    ):
        clock = Clock()
        link = FakeLink(clock, *attempts)
        client, clock, _ = client_with(c1=link)
        link.heard_at = 1e9
        answer = call_result(client, clock, 1.0, SUBMISSION)
        assert (answer.kind, answer.retry_after_s) == (expected, 3.0)


@pytest.mark.parametrize("call", CHANGES, ids=lambda call: type(call).__name__)
@pytest.mark.parametrize(
    "kind",
    [
        AnswerKind.UNAUTHORIZED,
        AnswerKind.NO_QUEUE,
        AnswerKind.INVALID,
        AnswerKind.NOT_READY,
        AnswerKind.BUSY,
        AnswerKind.REFUSED,
    ],
)
def test_no_refusal_after_an_unanswered_attempt_is_final(call, kind):
    """Guards against "not accepted" for a job that runs, as its key or queue was removed since.

    The configuration in force at the last attempt says nothing about the attempt before.
    """
    for first in (link_unavailable(sent=True), JobAnswer(AnswerKind.UNKNOWN)):
        clock = Clock()
        link = FakeLink(clock, first, JobAnswer(kind))
        client, clock, _ = client_with(c1=link)
        link.heard_at = 1e9
        assert call_result(client, clock, 1.0, call).kind == AnswerKind.UNKNOWN


@pytest.mark.parametrize(
    ("call", "kind"),
    [
        (SUBMISSION, AnswerKind.OK),
        (CancelCall(REQUEST), AnswerKind.NO_JOB),
        (EvacuationCall("dc1", True), AnswerKind.OUTDATED),
        (CALL, AnswerKind.UNAUTHORIZED),
        (CALL, AnswerKind.NO_JOB),
        (ReadConfig(), AnswerKind.NOT_READY),
    ],
)
def test_an_answer_that_holds_whatever_became_of_earlier_attempts_is_passed_on(call, kind):
    """Guards against callers who repeat a call in vain that has been answered."""
    clock = Clock()
    link = FakeLink(clock, link_unavailable(sent=True), JobAnswer(kind))
    client, clock, _ = client_with(c1=link)
    link.heard_at = 1e9
    assert call_result(client, clock, 1.0, call).kind == kind


def test_an_older_hint_does_not_replace_a_newer_owner():
    """Guards against calls to a former owner because of a hint that was delayed."""
    client, _, _ = client_with()
    client.handle_hint(OwnerHint("c2", 4, ()))
    client.handle_hint(OwnerHint("c1", 3, ()))
    assert client.owner == "c2"
