"""Claims: requests run at most once, "not run" is never wrong, and outcomes are not lost."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from geraniumtrack.coordination.entries.controller_client import NO_CONTROLLER
from geraniumtrack.coordination.serving.claim_committer import ClaimCommitter
from geraniumtrack.coordination.serving.execution import claim_answer
from geraniumtrack.protocol.messages import Submit
from geraniumtrack.state import claim_section
from geraniumtrack.state import commands as cmd
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
    """Copies of one request sent through two entries, with commands committed late or repeatedly.

    Guards against a second run of the request, and against a "not run" answer for a request that
    runs or will run.
    """

    def __init__(self):
        super().__init__()
        self.state = state_with_sessions()
        self.proposed = []
        self.attempts = []
        self.sent = set()
        self.abandoned = set()
        self.reported_not_run = False

    @rule(name=st.sampled_from(ENTRIES))
    def propose_claim(self, name):
        attempt = f"{name}-{len(self.attempts)}"
        self.attempts.append(attempt)
        self.proposed.append(open_claim(name, attempt))

    @rule()
    def propose_close(self):
        """An entry refuses a copy that it has not claimed, and closes the claim first."""
        self.proposed.append(cmd.CloseClaim("acme", "order", b"f", 100.0, ""))

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def abandon(self, data):
        """An entry whose claim times out closes it, unless it has already sent the request."""
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
            self.reported_not_run = True

    @precondition(lambda self: self.sent)
    @rule(lost=st.booleans())
    def finish(self, lost):
        attempt = sorted(self.sent)[0]
        self.proposed.append(cmd.FinishClaim("acme", "order", None if lost else OUTCOME, attempt))

    @rule(name=st.sampled_from(ENTRIES))
    def end_session(self, name):
        self.state.apply(cmd.CloseSession(name, f"s-{name}"))

    @invariant()
    def runs_at_most_once(self):
        assert len(self.sent) <= 1
        assert not (self.sent and self.reported_not_run)


Resends.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestResends = Resends.TestCase


@pytest.mark.parametrize(("alive", "status"), [(True, 409), (False, 502)])
def test_repeated_request_gets_outcome_unknown_once_the_session_has_ended(alive, status):
    """Guards against answering "still running" indefinitely.

    The entry that sent the request has stopped, so its outcome may never be recorded.
    """
    state = state_with_sessions()
    assert state.apply(open_claim("e1", "a1")).ok
    if not alive:
        state.apply(cmd.CloseSession("e1", "s-e1"))
    answer = claim_answer(SUBMIT, state.apply(open_claim("e2", "a2")))
    assert answer.status == status
    assert answer.run == ("running" if alive else "unknown")


def test_answer_recorded_after_the_session_ended_is_still_stored():
    """Guards against losing an answer that was delayed until its entry's session had ended.

    Only the attempt that opened the claim may record it, not a later copy of the request.
    """
    state = state_with_sessions()
    state.apply(open_claim("e1", "a1"))
    state.apply(cmd.CloseSession("e1", "s-e1"))
    state.apply(open_claim("e2", "a2"))
    assert not state.apply(cmd.FinishClaim("acme", "order", OUTCOME, "a2")).ok
    assert state.apply(cmd.FinishClaim("acme", "order", OUTCOME, "a1")).ok
    answer = claim_answer(SUBMIT, state.apply(open_claim("e2", "a3")))
    assert (answer.status, answer.body) == (200, b"printed")


def test_full_claim_table_refuses_new_claims_and_evicts_none(monkeypatch):
    """Guards against the eviction of a claim, after which its request could run a second time."""
    monkeypatch.setattr(claim_section, "MAX_CLAIMS", 3)
    state = state_with_sessions()
    for number in range(3):
        assert state.apply(open_claim("e1", "a", request_id=f"r{number}")).ok
    refused = state.apply(open_claim("e1", "a", request_id="r9"))
    assert (refused.error, claim_answer(SUBMIT, refused).run) == ("claims_full", "not_run")
    assert state.apply(open_claim("e2", "b", request_id="r0")).error == "claim_exists"


def test_expiry_keeps_claims_of_running_requests():
    """Guards against a second run of a long task whose claim expired while it was running."""
    state = state_with_sessions()
    state.apply(open_claim("e1", "a", at=1.0, request_id="running"))
    state.apply(open_claim("e1", "b", at=1.0, request_id="done"))
    state.apply(cmd.FinishClaim("acme", "done", OUTCOME, "b"))
    state.apply(cmd.ExpireClaims(50.0))
    assert [request_id for _, request_id in state.claims] == ["running"]


def test_outcome_is_retried_until_a_controller_commits_it():
    """Guards against losing an outcome because no controller answered at first."""
    clock, proposals = Clock(), []

    def propose(command, timeout_s):
        proposals.append(command)
        return succeed(NO_CONTROLLER if len(proposals) < 4 else cmd.Result(True))

    committer = ClaimCommitter(clock, propose)
    committer.commit(cmd.FinishClaim("acme", "order", OUTCOME, "a"), timeout_s=1.0)
    assert committer.pending_count == 1
    clock.pump([0.5] * 8)
    assert (committer.pending_count, len(proposals)) == (0, 4)
