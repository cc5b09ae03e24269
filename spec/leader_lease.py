"""The leader's lease against the clock bound: no second leader while a lease is valid.

Replica 0 leads, and 1 and 2 follow it. Time advances in steps of the leader's clock; the clock of
a follower may gain a bounded number of steps on it within one election timeout. A follower that
hears a heartbeat refuses votes for one election timeout of its own clock. The leader counts the
lease from the moment it sent the heartbeat that was answered. A frozen leader only takes no step.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

IDLE = -1  # no heartbeat under way


class Follower(NamedTuple):
    """What concerns one follower, in steps of a clock.

    Attributes:
        refuses: Time for which it still refuses votes, by its own clock.
        gained: Steps that its clock has gained since it last heard the leader.
        sent: Age of the heartbeat that is on its way to it, or IDLE.
        answered: Age of the heartbeat whose answer is on its way back, or IDLE.
        lease: What is left of the lease that its last answer gave, by the leader's clock.
        next_term: Whether it has learned of a newer term, in which no one leads yet.
    """

    refuses: int
    gained: int = 0
    sent: int = IDLE
    answered: int = IDLE
    lease: int = 0
    next_term: bool = False


class State(NamedTuple):
    """Both followers, and whether one of them leads in a newer term."""

    first: Follower
    second: Follower
    replaced: bool = False


@dataclass(frozen=True)
class Rules:
    """Lengths in clock steps, and the mechanisms of the protocol."""

    timeout: int = 4
    lease: int = 3
    gain: int = 1
    refuses_in_any_term: bool = True
    waits_after_restart: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    followers = (state.first, state.second)
    for gains in ((0, 0), (0, 1), (1, 0), (1, 1)):
        later = [_later(rules, f, gain) for f, gain in zip(followers, gains, strict=True)]
        if None not in later:
            yield f"time passes, clocks gain {gains}", state._replace(
                first=later[0], second=later[1]
            )
    for name, follower in zip(("first", "second"), followers, strict=True):
        for label, changed in _follower_steps(rules, follower, state.replaced):
            yield f"{name} {label}", state._replace(**{name: changed})
    if all(_votes(rules, follower) for follower in followers):
        yield "a follower leads in a newer term", state._replace(replaced=True)


def _ordered(state: State) -> State:
    """Puts the followers in a fixed order: which is which makes no difference."""
    first, second = sorted((state.first, state.second))
    return State(first, second, state.replaced)


def _later(rules: Rules, follower: Follower, gain: int) -> Follower | None:
    if follower.gained + gain > rules.gain:
        return None
    return follower._replace(
        refuses=max(0, follower.refuses - 1 - gain),
        gained=follower.gained + gain,
        sent=_older(rules, follower.sent),
        answered=_older(rules, follower.answered),
        lease=max(0, follower.lease - 1),
    )


def _older(rules: Rules, age: int) -> int:
    # A heartbeat as old as the lease gives none; dropping it leaves out no violation.
    return IDLE if age == IDLE or age + 1 >= rules.lease else age + 1


def _follower_steps(
    rules: Rules, follower: Follower, replaced: bool
) -> Iterator[tuple[str, Follower]]:
    if follower.sent == IDLE:
        yield "is sent a heartbeat", follower._replace(sent=0)
    elif not replaced and not follower.next_term:
        heard = follower._replace(
            refuses=rules.timeout, gained=0, sent=IDLE, answered=follower.sent
        )
        yield "hears a heartbeat", heard
    if follower.answered != IDLE:
        lease = max(follower.lease, rules.lease - follower.answered)
        yield "answer arrives", follower._replace(answered=IDLE, lease=lease)
    if not follower.next_term:
        yield "learns of a newer term", follower._replace(next_term=True)
    refuses = rules.timeout if rules.waits_after_restart else 0
    yield "restarts", follower._replace(refuses=refuses, gained=0)


def _votes(rules: Rules, follower: Follower) -> bool:
    return follower.refuses == 0 or (follower.next_term and not rules.refuses_in_any_term)


def one_leader_in_a_lease(state: dict) -> bool:
    """No other replica leads while replica 0 and one more voter make a valid lease."""
    return not state["replaced"] or max(state["first"].lease, state["second"].lease) == 0


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the lease under some rules."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(Follower(rules.timeout), Follower(rules.timeout)),
        transitions=lambda state: [(label, _ordered(s)) for label, s in transitions(rules, state)],
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
