"""Configuration changes: compare-and-set of the version, and operations that are resent.

Two operators each read the version, send one change that builds on it, and may send the same change
again after a lost answer. Messages are kept for ever, so that a late copy can arrive at any time.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

UNREAD = -1
CHANGES = ("a1", "a2", "b1", "b2")  # two changes of each of two operators


class State(NamedTuple):
    """The accepted changes in order, and the version that each change was built on.

    `copies` counts how often each change has arrived; `results` holds the first answer of each.
    """

    accepted: tuple[str, ...] = ()
    based_on: tuple[int, ...] = (UNREAD,) * len(CHANGES)
    copies: tuple[int, ...] = (0,) * len(CHANGES)
    results: tuple[str, ...] = ("",) * len(CHANGES)


@dataclass(frozen=True)
class Rules:
    """Bounds and mechanisms."""

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
            yield f"{change} arrives", _arrive(rules, state, number)


def _arrive(rules: Rules, state: State, number: int) -> State:
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
    """No accepted change overwrites one that its operator had not read."""
    return all(
        state["based_on"][CHANGES.index(change)] == position
        for position, change in enumerate(state["accepted"])
    )


def applied_once(state: dict) -> bool:
    """A change that is sent again is not applied again."""
    return len(state["accepted"]) == len(set(state["accepted"]))


def answers_are_true(state: dict) -> bool:
    """A change is in force if and only if its first answer said so."""
    return all(
        (result == "accepted") == (change in state["accepted"])
        for change, result in zip(CHANGES, state["results"], strict=True)
    )


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the configuration changes under some rules."""
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
