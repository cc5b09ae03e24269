"""Claims of one request that arrives twice: at most one run, and a "not run" that stays true.

Two entries have a copy each. Commands reach the controllers late, in any order, and may be applied
again. An entry may die at any point; the controllers close its session at some later time.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

OPEN, CLOSE, FINISH = "open", "close", "finish"


class State(NamedTuple):
    """The request and its copies.

    Attributes:
        claim: Phase of the claim, and the entry that holds it.
        steps: What each entry has done with its copy: `idle`, `asked` for the claim, `granted`,
            `sent`, `done`, `leaving` (asked to close it), `refused` or `dead`.
        commands: Commands proposed so far; each may still be applied, or be applied again.
        runs: How many times the request ran.
        said_not_run: Whether a caller was told that it did not run.
        closed: Sessions that the controllers have closed.
    """

    claim: tuple[str, int] = ("none", -1)
    steps: tuple[str, str] = ("idle", "idle")
    commands: frozenset = frozenset()
    runs: int = 0
    said_not_run: bool = False
    closed: frozenset = frozenset()


@dataclass(frozen=True)
class Rules:
    """The mechanisms of the protocol."""

    claims_first: bool = True
    closes_before_refusing: bool = True
    only_holder_closes: bool = True
    keeps_claims_of_the_dead: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    for entry in (0, 1):
        yield from _entry_steps(rules, state, entry)
    for command in state.commands:
        changed = _apply(rules, state, command)
        if changed != state:
            yield f"apply {command}", changed


def _entry_steps(rules: Rules, state: State, entry: int) -> Iterator[tuple[str, State]]:
    step = state.steps[entry]
    if step == "idle":
        yield f"{entry} asks for the claim", _propose(state, OPEN, entry, "asked")
        if rules.closes_before_refusing:
            yield f"{entry} asks to close", _propose(state, CLOSE, entry, "leaving")
        else:
            yield f"{entry} says not run", _step(state, entry, "refused")._replace(
                said_not_run=True
            )
    if step == "granted" or (step == "asked" and not rules.claims_first):
        yield f"{entry} sends", _step(state, entry, "sent")._replace(runs=min(2, state.runs + 1))
    if step in ("asked", "granted"):
        yield f"{entry} gives up before sending", _propose(state, CLOSE, entry, "leaving")
    if step == "sent":
        yield f"{entry} has the answer", _propose(state, FINISH, entry, "done")
    if step != "dead":
        yield f"{entry} dies", _step(state, entry, "dead")
    elif entry not in state.closed:
        yield f"session of {entry} is closed", state._replace(closed=state.closed | {entry})


def _apply(rules: Rules, state: State, command: tuple[str, int]) -> State:
    kind, entry = command
    phase, holder = state.claim
    if phase == "open" and holder in state.closed:
        phase = "unknown" if rules.keeps_claims_of_the_dead else "none"
        state = state._replace(claim=(phase, holder))
    if kind == OPEN:
        if phase == "none":
            state = state._replace(claim=("open", entry))
        granted = state.claim == ("open", entry) and state.steps[entry] == "asked"
        return _step(state, entry, "granted") if granted else state
    if kind == FINISH:
        held = holder == entry and phase in ("open", "unknown")
        return state._replace(claim=("finished", entry)) if held else state
    own = holder == entry or not rules.only_holder_closes
    if phase == "none" or (phase == "open" and own):
        state = state._replace(claim=("not run", -1))
    if state.claim[0] == "not run" and state.steps[entry] == "leaving":
        return _step(state, entry, "refused")._replace(said_not_run=True)
    return state


def _propose(state: State, kind: str, entry: int, step: str) -> State:
    return _step(state, entry, step)._replace(commands=state.commands | {(kind, entry)})


def _step(state: State, entry: int, step: str) -> State:
    steps = list(state.steps)
    steps[entry] = step
    return state._replace(steps=tuple(steps))


def runs_at_most_once(state: dict) -> bool:
    """The request never runs a second time."""
    return state["runs"] <= 1


def not_run_is_true(state: dict) -> bool:
    """A request that was reported as not run never ran and never will."""
    return not (state["said_not_run"] and state["runs"])


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the claim of one request under some rules."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(transitions(rules, State(*state))),
        invariants={
            "runs_at_most_once": runs_at_most_once,
            "not_run_is_true": not_run_is_true,
        },
    )


RULES = Rules()

MODELS = [
    Model(protocol("claims", RULES), "2 copies at 2 entries, commands late and repeated"),
    Model(
        protocol("claim after dispatch", replace(RULES, claims_first=False)),
        "as claims",
        refutes="runs_at_most_once",
    ),
    Model(
        protocol("not run said without closing", replace(RULES, closes_before_refusing=False)),
        "as claims",
        refutes="not_run_is_true",
    ),
    Model(
        protocol("any copy closes the claim", replace(RULES, only_holder_closes=False)),
        "as claims",
        refutes="not_run_is_true",
    ),
    Model(
        protocol("claim of a dead entry freed", replace(RULES, keeps_claims_of_the_dead=False)),
        "as claims",
        refutes="runs_at_most_once",
    ),
]
