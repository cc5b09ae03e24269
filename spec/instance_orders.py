"""Orders for one instance where the machine API compares no fencing tokens.

The former owner's order must not arrive after an order of its successor. Time advances in steps.
The former owner may freeze for any time; when it wakes, its pending events run in any order. A
freeze does not coincide with bytes that the network holds up, since then no mechanism of the
sender can recall them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

LEASE = 2  # steps of the former owner's lease that remain at the start
TIMEOUT = 2  # steps after which a call is aborted
NOT_STARTED = -1
LAST_AGE = TIMEOUT + 2  # ages of a call above the timeout need not be told apart


class State(NamedTuple):
    """State of both owners.

    Attributes:
        lease: Remaining steps of the former owner's lease.
        frozen: Whether the former owner is frozen.
        phase: Its order: `none`, `connecting`, `sent` or `ended`.
        age: Steps since the call of its order began.
        successor: Steps since the successor took over, or NOT_STARTED.
        successor_ordered: Whether an order of the successor has arrived.
        late: Whether the order of the former owner arrived after that.
    """

    lease: int = LEASE
    frozen: bool = False
    phase: str = "none"
    age: int = 0
    successor: int = NOT_STARTED
    successor_ordered: bool = False
    late: bool = False


@dataclass(frozen=True)
class Rules:
    """The mechanisms of the protocol.

    Attributes:
        checks_before_sending: Whether the lease is checked when the connection is open, just before
            the order is written to it.
        aborts: Whether a call is aborted with its connection when it times out.
        waits: Whether the successor waits for one timeout before its first order.
    """

    checks_before_sending: bool = True
    aborts: bool = True
    waits: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    yield from _former_owner_steps(rules, state)
    if state.phase == "sent":
        yield "the order arrives", state._replace(phase="ended", late=state.successor_ordered)
    yield from _successor_steps(rules, state)
    if not _must_abort(rules, state):
        yield "time advances", _advance(state)


def _former_owner_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.frozen:
        yield "the former owner wakes", state._replace(frozen=False)
        return
    if state.phase != "sent":
        yield "the former owner freezes", state._replace(frozen=True)
    if state.phase == "none" and state.lease:
        yield "the call of an order begins", state._replace(phase="connecting", age=0)
    if state.phase == "connecting" and (state.lease or not rules.checks_before_sending):
        yield "the connection opens and the order is sent", state._replace(phase="sent")
    if _timed_out(state) and rules.aborts:
        yield "the call is aborted", state._replace(phase="ended")


def _successor_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.successor == NOT_STARTED and not state.lease:
        yield "the successor takes over", state._replace(successor=0)
    has_waited = state.successor > TIMEOUT or not rules.waits
    if state.successor != NOT_STARTED and has_waited and not state.successor_ordered:
        yield "an order of the successor arrives", state._replace(successor_ordered=True)


def _timed_out(state: State) -> bool:
    return state.phase in ("connecting", "sent") and state.age >= TIMEOUT


def _must_abort(rules: Rules, state: State) -> bool:
    """Whether the timer of the call has fired, so that time does not advance before the abort."""
    return rules.aborts and not state.frozen and _timed_out(state)


def _advance(state: State) -> State:
    started = state.successor != NOT_STARTED
    return state._replace(
        lease=max(state.lease - 1, 0),
        age=min(state.age + 1, LAST_AGE),
        successor=min(state.successor + 1, LAST_AGE) if started else NOT_STARTED,
    )


def no_late_order(state: dict) -> bool:
    """No order of the former owner arrives after one of its successor."""
    return not state["late"]


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of the orders with the given mechanisms."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(transitions(rules, State(*state))),
        invariants={"no_late_order": no_late_order},
    )


RULES = Rules()
BOUNDS = "1 order of each of 2 owners, a lease and a timeout of 2 steps"


def _mutant(name: str, **rules: bool) -> Model:
    return Model(protocol(name, replace(RULES, **rules)), BOUNDS, refutes="no_late_order")


MODELS = [
    Model(protocol("instance orders without fencing", RULES), BOUNDS),
    _mutant("lease not checked before sending", checks_before_sending=False),
    _mutant("call not aborted at its timeout", aborts=False),
    _mutant("successor orders at once", waits=False),
]
