"""Claims: at most one run, true refusals, and an end for claims of dead entries."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from geraniumtrack.coordination.claim_committer import ClaimCommitter
from geraniumtrack.coordination.controller_client import NO_CONTROLLER
from geraniumtrack.coordination.execution import claim_answer
from geraniumtrack.protocol.messages import Submit
from geraniumtrack.state import commands as cmd
from geraniumtrack.state import replicated
from geraniumtrack.state.records import Outcome
from geraniumtrack.state.replicated import ReplicatedState

ENTRIES = ("e1", "e2")
OUTCOME = Outcome(200, b"printed")
SUBMIT = Submit("t", "order", "acme", "q", "normal", False, 9.0, "POST", "", "", b"", b"f")


def open_claim(entry, attempt, at=100.0, request_id="order"):
    return cmd.OpenClaim("acme", request_id, b"f", entry, f"s-{entry}", at, attempt)


def state_with_sessions():
    state = ReplicatedState()
    for name in ENTRIES:
        assert state.apply(cmd.OpenSession(name, f"s-{name}", "dc1")).ok
    return state


class Resends(RuleBasedStateMachine):
    """Copies of one request through two entries; commands are committed late and repeatedly.

    Guards against a second run, and against a "not run" for a request that runs or will run.
    """

    def __init__(self):
        super().__init__()
        self.state = state_with_sessions()
        self.proposed = []
        self.attempts = []
        self.sent = set()
        self.abandoned = set()
        self.said_not_run = False

    @rule(name=st.sampled_from(ENTRIES))
    def propose_claim(self, name):
        attempt = f"{name}-{len(self.attempts)}"
        self.attempts.append(attempt)
        self.proposed.append(open_claim(name, attempt))

    @rule()
    def propose_close(self):
        """The refusal of a copy that was never claimed by its entry."""
        self.proposed.append(cmd.CloseClaim("acme", "order", b"f", 100.0, ""))

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def abandon(self, data):
        """An entry whose claim got no answer in time gives up, unless it has sent the request."""
        attempt = data.draw(st.sampled_from(self.attempts))
        if attempt not in self.sent:
            self.abandoned.add(attempt)
            self.proposed.append(cmd.CloseClaim("acme", "order", b"f", 100.0, attempt))

    @precondition(lambda self: self.proposed)
    @rule(data=st.data())
    def commit(self, data):
        command = data.draw(st.sampled_from(self.proposed))
        result = self.state.apply(command)
        if isinstance(command, cmd.OpenClaim) and result.ok:
            if command.attempt not in self.abandoned:
                self.sent.add(command.attempt)
        elif isinstance(command, cmd.CloseClaim) and result.ok:
            self.said_not_run = True

    @precondition(lambda self: self.sent)
    @rule(lost=st.booleans())
    def finish(self, lost):
        attempt = sorted(self.sent)[0]
        self.proposed.append(cmd.FinishClaim("acme", "order", None if lost else OUTCOME, attempt))

    @rule(name=st.sampled_from(ENTRIES))
    def entry_dies(self, name):
        self.state.apply(cmd.CloseSession(name, f"s-{name}"))

    @invariant()
    def runs_at_most_once(self):
        assert len(self.sent) <= 1
        assert not (self.sent and self.said_not_run)


Resends.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestResends = Resends.TestCase


@pytest.mark.parametrize(("alive", "status"), [(True, 409), (False, 502)])
def test_repeat_of_a_dead_entrys_request_gets_outcome_unknown(alive, status):
    """Guards against "still running" for ever after the entry that sent the request died."""
    state = state_with_sessions()
    assert state.apply(open_claim("e1", "a1")).ok
    if not alive:
        state.apply(cmd.CloseSession("e1", "s-e1"))
    answer = claim_answer(SUBMIT, state.apply(open_claim("e2", "a2")))
    assert answer.status == status
    assert answer.run == ("running" if alive else "unknown")


def test_answer_recorded_after_the_session_ended_is_still_stored():
    state = state_with_sessions()
    state.apply(open_claim("e1", "a1"))
    state.apply(cmd.CloseSession("e1", "s-e1"))
    state.apply(open_claim("e2", "a2"))
    assert not state.apply(cmd.FinishClaim("acme", "order", OUTCOME, "a2")).ok
    assert state.apply(cmd.FinishClaim("acme", "order", OUTCOME, "a1")).ok
    answer = claim_answer(SUBMIT, state.apply(open_claim("e2", "a3")))
    assert (answer.status, answer.body) == (200, b"printed")


def test_full_claim_table_refuses_and_evicts_nothing(monkeypatch):
    """Guards against early eviction, after which a repeat would run a second time."""
    monkeypatch.setattr(replicated, "MAX_CLAIMS", 3)
    state = state_with_sessions()
    for number in range(3):
        assert state.apply(open_claim("e1", "a", request_id=f"r{number}")).ok
    refused = state.apply(open_claim("e1", "a", request_id="r9"))
    assert (refused.error, claim_answer(SUBMIT, refused).run) == ("claims_full", "not_run")
    assert state.apply(open_claim("e2", "b", request_id="r0")).error == "claim_exists"


def test_expiry_keeps_what_may_still_run():
    """Guards against a long task whose claim expires while it runs."""
    state = state_with_sessions()
    state.apply(open_claim("e1", "a", at=1.0, request_id="running"))
    state.apply(open_claim("e1", "b", at=1.0, request_id="done"))
    state.apply(cmd.FinishClaim("acme", "done", OUTCOME, "b"))
    state.apply(cmd.ExpireClaims(50.0))
    assert [request_id for _, request_id in state.claims] == ["running"]


def test_lost_finish_is_committed_later():
    """Guards against an outcome that is dropped because no controller could be reached."""
    clock, tries = Clock(), []

    def propose(command, timeout_s):
        tries.append(command)
        return succeed(NO_CONTROLLER if len(tries) < 4 else cmd.Result(True))

    committer = ClaimCommitter(clock, propose)
    committer.commit(cmd.FinishClaim("acme", "order", OUTCOME, "a"), timeout_s=1.0)
    assert committer.pending_count == 1
    clock.pump([0.5] * 8)
    assert (committer.pending_count, len(tries)) == (0, 4)
