"""Bringing calls to the owner: lost owners, relays, and what an answer promises."""

from __future__ import annotations

from types import SimpleNamespace

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from geraniumtrack.errors import ConnectionLost
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, JobQuery, JobRequest, OwnerHint
from geraniumtrack.jobs.owner_client import ISOLATED_WAIT_S, OwnerClient
from geraniumtrack.protocol.address import Address

CALL = JobQuery(JobRequest("h", "/q/1", "k"))


class FakeLink:
    """A link that answers with `answers` in turn, then not at all."""

    def __init__(self, clock: Clock, *answers: object) -> None:
        self.heard_at = clock.seconds()
        self.answers = list(answers)
        self.asked = 0

    def request(self, body: object, *, timeout_s: float) -> Deferred:
        self.asked += 1
        if not self.answers:
            return Deferred()
        answer = self.answers.pop(0)
        return fail(answer) if isinstance(answer, Exception) else succeed(answer)


class FakeHub:
    """Links by name."""

    def __init__(self, clock: Clock) -> None:
        self.reactor = clock
        self.identity = SimpleNamespace(name="e1")
        self.links: dict[str, FakeLink] = {}

    @property
    def peer_names(self) -> tuple[str, ...]:
        return tuple(self.links)

    def dial(self, name: str, address: Address) -> None:
        """Links are set by the test."""

    def link(self, name: str) -> FakeLink | None:
        return self.links.get(name)


def client_with(**links: FakeLink) -> tuple[OwnerClient, Clock, FakeHub]:
    clock = Clock()
    hub = FakeHub(clock)
    hub.links = links
    client = OwnerClient(hub, seeds=(), address_of=lambda name: Address(name, 1))
    client.handle_hint(OwnerHint("c1", 3, ("c1", "c2")))
    return client, clock, hub


def result_of(client: OwnerClient, clock: Clock, seconds: float) -> JobAnswer | None:
    found: list[JobAnswer] = []
    client.call(CALL, timeout_s=3.0).addCallback(found.append)
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)
    return found[0] if found else None


def lost(*, sent: bool) -> ConnectionLost:
    exc = ConnectionLost("gone", remedy="retry")
    exc.sent = sent
    return exc


def test_a_call_goes_to_the_owner():
    clock = Clock()
    client, clock, _ = client_with(c1=FakeLink(clock, JobAnswer(AnswerKind.OK, "running")))
    assert result_of(client, clock, 0.1).value == "running"


def test_an_owner_that_is_out_of_reach_is_asked_through_another_controller():
    clock = Clock()
    silent, relay = FakeLink(clock), FakeLink(clock, JobAnswer(AnswerKind.OK, "x"))
    client, clock, _ = client_with(c1=silent, c2=relay)
    clock.advance(2.0)
    relay.heard_at = clock.seconds()
    assert result_of(client, clock, 0.1).value == "x"
    assert silent.asked == 0


def test_an_isolated_entry_refuses_soon_and_says_that_nothing_was_done():
    """Guards against callers that are held until their deadline at a cut off entry."""
    clock = Clock()
    client, clock, _ = client_with(c1=FakeLink(clock))
    clock.advance(2.0)
    assert not client.connected
    answer = result_of(client, clock, ISOLATED_WAIT_S + 0.2)
    assert answer.kind == AnswerKind.NOT_READY
    assert answer.retry_after_s > 0


def test_after_an_unanswered_attempt_the_answer_leaves_open_whether_it_was_done():
    clock = Clock()
    link = FakeLink(clock, lost(sent=True), *[lost(sent=False)] * 99)
    client, clock, _ = client_with(c1=link)
    link.heard_at = 1e9
    assert result_of(client, clock, 3.0).kind == AnswerKind.UNKNOWN


def test_an_attempt_that_never_left_counts_as_not_done():
    clock = Clock()
    link = FakeLink(clock, *[lost(sent=False)] * 99)
    client, clock, _ = client_with(c1=link)
    link.heard_at = 1e9
    assert result_of(client, clock, 3.0).kind == AnswerKind.NOT_READY


def test_a_call_follows_a_change_of_owner():
    clock = Clock()
    former = FakeLink(clock, JobAnswer(AnswerKind.NOT_OWNER), lost(sent=True))
    successor = FakeLink(clock, JobAnswer(AnswerKind.OK, "done"))
    client, clock, _ = client_with(c1=former, c2=successor)
    former.heard_at = successor.heard_at = 1e9
    found: list[JobAnswer] = []
    client.call(CALL, timeout_s=3.0).addCallback(found.append)
    clock.advance(0.05)
    client.handle_hint(OwnerHint("c2", 4, ()))
    for _ in range(4):
        clock.advance(0.05)
    assert found[0].value == "done"


def test_an_older_hint_does_not_replace_a_newer_owner():
    client, _, _ = client_with()
    client.handle_hint(OwnerHint("c2", 4, ()))
    client.handle_hint(OwnerHint("c1", 3, ()))
    assert client.owner == "c2"
