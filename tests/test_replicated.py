"""The replicated state: concurrent changes by operators, and the limit on stored answers."""

from geraniumtrack.state import claim_section
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Outcome
from geraniumtrack.state.replicated import ReplicatedState

FLEET = {
    "data_centres": [{"name": "dc1"}],
    "pools": [{"name": "proofs", "max_unavailable": 1, "spare": True}],
    "teams": [{"name": "acme", "limit": 8}],
}


def declared_state():
    state = ReplicatedState()
    assert state.apply(cmd.ApplyFleet("first", 0, FLEET, "ana")).ok
    return state


def test_version_conflict_names_the_change_that_caused_it():
    """Guards against a version conflict that does not name the operation it conflicts with.

    The conflicting change can be of any kind, here the issue of a key.
    """
    state = declared_state()
    version_read = state.version
    assert state.apply(cmd.IssueKey("winner", "k1", "acme", b"d")).ok
    conflict = state.apply(cmd.ApplyFleet("loser", version_read, FLEET, "bo"))
    assert conflict.error == "version_conflict"
    assert (conflict.details["operation_id"], conflict.details["command"]) == ("winner", "IssueKey")


def test_automatic_change_does_not_conflict_with_a_fleet():
    """Guards against version conflicts with changes that a declared fleet does not depend on.

    Instances are admitted and moved automatically at any time, which also increases the version.
    """
    state = declared_state()
    version_read = state.version
    assert state.apply(cmd.AdmitInstance("w1", "proofs", "dc1", "r1")).ok
    assert state.version > version_read
    assert state.apply(cmd.ApplyFleet("second", version_read, FLEET, "ana")).ok


def test_fleet_based_on_a_future_version_is_refused():
    """Guards against applying a fleet that cannot have been based on the current state."""
    state = declared_state()
    assert not state.apply(cmd.ApplyFleet("early", state.version + 1, FLEET)).ok


def run_claimed_request(state, number, size):
    """Opens and finishes a claim whose answer has `size` bytes."""
    request_id = f"r{number}"
    state.apply(cmd.OpenClaim("acme", request_id, b"f", "e1", "s1", 1.0, f"a{number}"))
    outcome = Outcome(200, b"x" * size)
    state.apply(cmd.FinishClaim("acme", request_id, outcome, f"a{number}"))


def test_stored_answers_are_bounded_in_bytes(monkeypatch):
    """Guards against a claim table whose answers need gigabytes of memory.

    Once the limit is exceeded, the bodies that were stored first are dropped.
    """
    monkeypatch.setattr(claim_section, "MAX_TOTAL_ANSWER_BYTES", 1000)
    state = declared_state()
    state.apply(cmd.OpenSession("e1", "s1", "dc1"))
    for number in (2, 1, 3):
        run_claimed_request(state, number, 400)
    stored = {key[1]: claim.outcome.held for key, claim in state.claims.items()}
    assert stored == {"r2": False, "r1": True, "r3": True}


def test_replica_restored_from_a_snapshot_evicts_the_same_answers(monkeypatch):
    """Guards against replicas that evict different answers after a snapshot.

    Answers are evicted in the order in which they were stored, so the snapshot must contain it.
    """
    monkeypatch.setattr(claim_section, "MAX_TOTAL_ANSWER_BYTES", 1000)
    state = declared_state()
    state.apply(cmd.OpenSession("e1", "s1", "dc1"))
    for number in (1, 2):
        state.apply(cmd.OpenClaim("acme", f"r{number}", b"f", "e1", "s1", 1.0, f"a{number}"))
    for number in (2, 1):
        outcome = Outcome(200, b"x" * 400)
        state.apply(cmd.FinishClaim("acme", f"r{number}", outcome, f"a{number}"))
    restored = ReplicatedState.load(state.dump())
    for replica in (state, restored):
        run_claimed_request(replica, 3, 400)
    assert restored.dump() == state.dump()
    assert not state.claims[("acme", "r2")].outcome.held
