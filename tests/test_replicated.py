"""The replicated state: races of operators, and bounds on what it stores."""

from geraniumtrack.state import commands as cmd
from geraniumtrack.state import replicated
from geraniumtrack.state.records import Outcome
from geraniumtrack.state.replicated import ReplicatedState

FLEET = {
    "data_centres": [{"name": "dc1"}],
    "pools": [{"name": "proofs", "max_unavailable": 1, "spare": True}],
    "teams": [{"name": "acme", "limit": 8}],
}


def declared():
    state = ReplicatedState()
    assert state.apply(cmd.ApplyFleet("first", 0, FLEET, "ana")).ok
    return state


def test_the_loser_of_a_race_is_told_the_winner_whatever_it_changed():
    """Guards against a conflict that names nobody when a key or a data centre was changed."""
    state = declared()
    read = state.version
    assert state.apply(cmd.IssueKey("winner", "k1", "acme", b"d")).ok
    lost = state.apply(cmd.ApplyFleet("loser", read, FLEET, "bo"))
    assert lost.error == "version_conflict"
    assert (lost.details["operation_id"], lost.details["command"]) == ("winner", "IssueKey")


def test_an_automatic_change_does_not_refuse_an_operators_fleet():
    """Guards against conflicts with admissions and moves, which a fleet does not depend on."""
    state = declared()
    read = state.version
    assert state.apply(cmd.AdmitInstance("w1", "proofs", "dc1", "r1")).ok
    assert state.version > read
    assert state.apply(cmd.ApplyFleet("second", read, FLEET, "ana")).ok


def test_a_fleet_built_on_a_version_not_yet_reached_is_refused():
    state = declared()
    assert not state.apply(cmd.ApplyFleet("early", state.version + 1, FLEET)).ok


def finish(state, number, size):
    request_id = f"r{number}"
    state.apply(cmd.OpenClaim("acme", request_id, b"f", "e1", "s1", 1.0, f"a{number}"))
    outcome = Outcome(200, b"x" * size)
    state.apply(cmd.FinishClaim("acme", request_id, outcome, f"a{number}"))


def test_stored_answers_are_bounded_in_bytes(monkeypatch):
    """Guards against a full claim table whose answers need gigabytes of memory."""
    monkeypatch.setattr(replicated, "MAX_STORED_ANSWER_BYTES", 1000)
    state = declared()
    state.apply(cmd.OpenSession("e1", "s1", "dc1"))
    for number in (2, 1, 3):
        finish(state, number, 400)
    held = {key[1]: claim.outcome.held for key, claim in state.claims.items()}
    assert held == {"r2": False, "r1": True, "r3": True}


def test_a_replica_restored_from_a_snapshot_forgets_the_same_answers(monkeypatch):
    """Guards against replicas that differ after a snapshot, because the order was not stored."""
    monkeypatch.setattr(replicated, "MAX_STORED_ANSWER_BYTES", 1000)
    state = declared()
    state.apply(cmd.OpenSession("e1", "s1", "dc1"))
    for number in (1, 2):
        state.apply(cmd.OpenClaim("acme", f"r{number}", b"f", "e1", "s1", 1.0, f"a{number}"))
    for number in (2, 1):
        outcome = Outcome(200, b"x" * 400)
        state.apply(cmd.FinishClaim("acme", f"r{number}", outcome, f"a{number}"))
    restored = ReplicatedState.load(state.dump())
    for replica in (state, restored):
        finish(replica, 3, 400)
    assert restored.dump() == state.dump()
    assert not state.claims[("acme", "r2")].outcome.held
