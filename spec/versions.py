"""Configuration changes: compare-and-set of the version, and operations that are resent.

Each of two operators makes two changes. For each change the operator reads the version, sends the
change based on it, and may resend it after a lost answer. Messages are never dropped, so that a
delayed copy can arrive at any time.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

UNREAD = -1  # the operator has not read the version for this change
CHANGES = ("a1", "a2", "b1", "b2")  # two changes of each of two operators


class State(NamedTuple):
    """State of the configuration and of the changes.

    Attributes:
        accepted: The accepted changes in order; their number is the version.
        based_on: Version on which each change is based, or UNREAD.
        copies: Number of times that each change has arrived.
        results: First answer to each change: `accepted`, `conflict`, or empty before the answer.
    """

    accepted: tuple[str, ...] = ()
    based_on: tuple[int, ...] = (UNREAD,) * len(CHANGES)
    copies: tuple[int, ...] = (0,) * len(CHANGES)
    results: tuple[str, ...] = ("",) * len(CHANGES)


@dataclass(frozen=True)
class Rules:
    """Bounds of the exploration and the mechanisms of the protocol.

    Attributes:
        max_copies: Number of times that a change may arrive.
        version_compared: Whether a change is accepted only if the version on which it is based is
            current.
        results_kept: Whether the result of a change is kept, and a copy has no further effect.
    """

    max_copies: int = 3
    version_compared: bool = True
    results_kept: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    for number, change in enumerate(CHANGES):
        if state.based_on[number] == UNREAD:
            based_on = _set(state.based_on, number, len(state.accepted))
            yield f"{change} reads the version", state._replace(based_on=based_on)
        elif state.copies[number] < rules.max_copies:
            yield f"{change} arrives", _handle_arrival(rules, state, number)


def _handle_arrival(rules: Rules, state: State, number: int) -> State:
    copies = _set(state.copies, number, state.copies[number] + 1)
    state = state._replace(copies=copies)
    if rules.results_kept and state.results[number]:
        return state
    current = state.based_on[number] == len(state.accepted)
    if rules.version_compared and not current:
        return state._replace(results=_set(state.results, number, "conflict"))
    return state._replace(
        accepted=(*state.accepted, CHANGES[number]),
        results=_set(state.results, number, "accepted"),
    )


def _set(values: tuple, number: int, value: object) -> tuple:
    return (*values[:number], value, *values[number + 1 :])


def changes_build_on_what_was_read(state: dict) -> bool:
    """No accepted change overwrites a change that its operator had not read."""
    return all(
        state["based_on"][CHANGES.index(change)] == position
        for position, change in enumerate(state["accepted"])
    )


def applied_once(state: dict) -> bool:
    """A change that is resent is not applied again."""
    return len(state["accepted"]) == len(set(state["accepted"]))


def answers_are_true(state: dict) -> bool:
    """A change is in effect if and only if its first answer was `accepted`."""
    return all(
        (result == "accepted") == (change in state["accepted"])
        for change, result in zip(CHANGES, state["results"], strict=True)
    )


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of the configuration changes with the given mechanisms."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(transitions(rules, state)),
        invariants={
            "changes_build_on_what_was_read": changes_build_on_what_was_read,
            "applied_once": applied_once,
            "answers_are_true": answers_are_true,
        },
    )


RULES = Rules()

MODELS = [
    Model(protocol("configuration changes", RULES), "2 operators, 4 changes, 3 copies of each"),
    Model(
        protocol("version not compared", replace(RULES, version_compared=False)),
        "as configuration changes",
        refutes="changes_build_on_what_was_read",
    ),
    Model(
        protocol("results not kept", replace(RULES, results_kept=False)),
        "as configuration changes",
        refutes="answers_are_true",
    ),
]
