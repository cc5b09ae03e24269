"""The leader's lease with bounded clock drift: no second leader while a lease is valid.

Replica 0 is the leader, and replicas 1 and 2 are its followers. Time advances in steps of the
leader's clock; the clock of a follower may gain a bounded number of steps on it within one election
timeout. A follower that receives a heartbeat refuses votes for one election timeout of its own
clock. The lease begins when the leader sent the heartbeat that was answered. A frozen leader is
modelled as one that takes no steps.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

IDLE = -1  # no heartbeat or answer in transit


class Follower(NamedTuple):
    """State of one follower; times are in steps of a clock.

    Attributes:
        refuses: Remaining time for which it refuses votes, by its own clock.
        gained: Steps that its clock has gained since its last heartbeat or restart.
        sent: Age of the heartbeat in transit to it, or IDLE.
        answered: Age of the heartbeat whose answer is in transit to the leader, or IDLE.
        lease: Remaining time of the lease from its answers, by the leader's clock.
        next_term: Whether it has learned of a newer term that has no leader yet.
    """

    refuses: int
    gained: int = 0
    sent: int = IDLE
    answered: int = IDLE
    lease: int = 0
    next_term: bool = False


class State(NamedTuple):
    """State of both followers.

    Attributes:
        first: One follower.
        second: The other follower.
        replaced: Whether one of the followers has become the leader of a newer term.
    """

    first: Follower
    second: Follower
    replaced: bool = False


@dataclass(frozen=True)
class Rules:
    """Durations in clock steps, and the mechanisms of the protocol.

    Attributes:
        timeout: Election timeout.
        lease: Duration of the leader's lease.
        gain: Most steps that a follower's clock gains within one election timeout.
        refuses_in_any_term: Whether a follower refuses votes also in a newer term that it knows.
        waits_after_restart: Whether a follower refuses votes for one timeout after a restart.
    """

    timeout: int = 4
    lease: int = 3
    gain: int = 1
    refuses_in_any_term: bool = True
    waits_after_restart: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    followers = (state.first, state.second)
    for gains in ((0, 0), (0, 1), (1, 0), (1, 1)):
        later = [_advance(rules, f, gain) for f, gain in zip(followers, gains, strict=True)]
        if None not in later:
            yield f"time passes, clocks gain {gains}", state._replace(
                first=later[0], second=later[1]
            )
    for name, follower in zip(("first", "second"), followers, strict=True):
        for label, changed in _follower_steps(rules, follower, state.replaced):
            yield f"{name} {label}", state._replace(**{name: changed})
    if all(_may_vote(rules, follower) for follower in followers):
        yield "a follower becomes the leader of a newer term", state._replace(replaced=True)


def _normalize(state: State) -> State:
    """Sorts the followers, because states that differ only in their order are equivalent."""
    first, second = sorted((state.first, state.second))
    return State(first, second, state.replaced)


def _advance(rules: Rules, follower: Follower, gain: int) -> Follower | None:
    if follower.gained + gain > rules.gain:
        return None
    return follower._replace(
        refuses=max(0, follower.refuses - 1 - gain),
        gained=follower.gained + gain,
        sent=_increase_age(rules, follower.sent),
        answered=_increase_age(rules, follower.answered),
        lease=max(0, follower.lease - 1),
    )


def _increase_age(rules: Rules, age: int) -> int:
    # A heartbeat as old as the lease no longer extends it. Dropping it hides no violation.
    return IDLE if age == IDLE or age + 1 >= rules.lease else age + 1


def _follower_steps(
    rules: Rules, follower: Follower, replaced: bool
) -> Iterator[tuple[str, Follower]]:
    if follower.sent == IDLE:
        yield "is sent a heartbeat", follower._replace(sent=0)
    elif not replaced and not follower.next_term:
        received = follower._replace(
            refuses=rules.timeout, gained=0, sent=IDLE, answered=follower.sent
        )
        yield "receives a heartbeat", received
    if follower.answered != IDLE:
        lease = max(follower.lease, rules.lease - follower.answered)
        yield "has its answer delivered", follower._replace(answered=IDLE, lease=lease)
    if not follower.next_term:
        yield "learns of a newer term", follower._replace(next_term=True)
    refuses = rules.timeout if rules.waits_after_restart else 0
    yield "restarts", follower._replace(refuses=refuses, gained=0)


def _may_vote(rules: Rules, follower: Follower) -> bool:
    return follower.refuses == 0 or (follower.next_term and not rules.refuses_in_any_term)


def one_leader_in_a_lease(state: dict) -> bool:
    """No other replica leads while replica 0 holds a valid lease from one of its followers."""
    return not state["replaced"] or max(state["first"].lease, state["second"].lease) == 0


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of the leader's lease with the given mechanisms."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(Follower(rules.timeout), Follower(rules.timeout)),
        transitions=lambda state: [
            (label, _normalize(s)) for label, s in transitions(rules, state)
        ],
        invariants={"one_leader_in_a_lease": one_leader_in_a_lease},
    )


RULES = Rules()
BOUNDS = "3 voters, timeout 4 steps, lease 3, a clock gains at most 1 step in a timeout"

MODELS = [
    Model(protocol("leader lease", RULES), BOUNDS),
    Model(
        protocol("lease as long as the timeout", replace(RULES, lease=4)),
        "as leader lease",
        refutes="one_leader_in_a_lease",
    ),
    Model(
        protocol("vote in a term already known", replace(RULES, refuses_in_any_term=False)),
        "as leader lease",
        refutes="one_leader_in_a_lease",
    ),
    Model(
        protocol("vote right after a restart", replace(RULES, waits_after_restart=False)),
        "as leader lease",
        refutes="one_leader_in_a_lease",
    ),
]
