"""An order to evacuate a data centre, of which a late copy must not undo its withdrawal.

The operator sends the order to a controller. It may get no answer, give up and send it to another
one; in the end it withdraws the order. The first controller may take any time for each of its
steps, and so may the messages between it and the owner.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]


class State(NamedTuple):
    """State of the owner, of the first copy of the order, and of the operator.

    Attributes:
        evacuated: Whether the data centre is evacuated.
        revision: Number of the evacuation orders that have taken effect.
        known: Revision that the first controller knows.
        copy: The first copy: `unread`, `read` (with a revision), `checked` (its caller waited),
            `sent` to the owner, `accepted` by the owner and not committed, or `ended`.
        base: Revision that the copy names.
        operator: `waits` for the answer to the first copy, has `left`, has sent a `second` copy, or
            `withdrew` the order.
    """

    evacuated: bool = False
    revision: int = 0
    known: int = 0
    copy: str = "unread"
    base: int = 0
    operator: str = "waits"


@dataclass(frozen=True)
class Rules:
    """The mechanisms of the protocol.

    Attributes:
        checks_caller: Whether the controller checks that the caller waits before it sends the copy.
        reads_first: Whether it reads the revision before that check, not after it.
        compares: Whether the owner compares revisions as the copy arrives.
        compares_at_commit: Whether they are compared as the copy is committed.
        counts_unchanged: Whether an order that changes nothing raises the revision.
    """

    checks_caller: bool = True
    reads_first: bool = True
    compares: bool = True
    compares_at_commit: bool = True
    counts_unchanged: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    yield from _controller_steps(rules, state)
    yield from _owner_steps(rules, state)
    yield from _operator_steps(rules, state)


def _controller_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.known < state.revision:
        yield "the controller learns the revision", state._replace(known=state.revision)
    if state.copy == "unread":
        yield "the copy is read", state._replace(copy="read", base=state.known)
    if state.copy == "read":
        waits = state.operator == "waits" or not rules.checks_caller
        yield "the caller is checked", state._replace(copy="checked" if waits else "ended")
    if state.copy == "checked":
        base = state.base if rules.reads_first else state.known
        yield "the copy is sent", state._replace(copy="sent", base=base)


def _owner_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    outdated = state.base != state.revision
    repeated = state._replace(copy="read", base=state.revision)
    if state.copy == "sent":
        arrived = repeated if outdated and rules.compares else state._replace(copy="accepted")
        yield "the copy arrives", arrived
    if state.copy == "accepted":
        done = _set_evacuated(rules, state, True)._replace(copy="ended")
        yield "the copy is committed", repeated if outdated and rules.compares_at_commit else done


def _operator_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.operator == "waits":
        yield "the operator gives up", state._replace(operator="left")
    if state.operator == "left":
        sent = _set_evacuated(rules, state, True)
        yield "another copy is acknowledged", sent._replace(operator="second")
    if state.operator in ("left", "second"):
        withdrawn = _set_evacuated(rules, state, False)
        yield "the withdrawal is acknowledged", withdrawn._replace(operator="withdrew")


def _set_evacuated(rules: Rules, state: State, evacuated: bool) -> State:
    counts = rules.counts_unchanged or evacuated != state.evacuated
    return state._replace(evacuated=evacuated, revision=state.revision + counts)


def withdrawal_stands(state: dict) -> bool:
    """The data centre is not evacuated after the withdrawal was acknowledged."""
    return state["operator"] != "withdrew" or not state["evacuated"]


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of the order with the given mechanisms."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(transitions(rules, State(*state))),
        invariants={"withdrawal_stands": withdrawal_stands},
    )


RULES = Rules()
BOUNDS = "1 order, 2 copies, 1 withdrawal"


def _mutant(name: str, **rules: bool) -> Model:
    return Model(protocol(name, replace(RULES, **rules)), BOUNDS, refutes="withdrawal_stands")


MODELS = [
    Model(protocol("evacuation orders", RULES), BOUNDS),
    _mutant("caller not checked", checks_caller=False),
    _mutant("revision read after the check of the caller", reads_first=False),
    _mutant("revisions not compared", compares=False, compares_at_commit=False),
    _mutant("revisions compared before the commit only", compares_at_commit=False),
    _mutant("order without a change not counted", counts_unchanged=False),
]
