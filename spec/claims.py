"""Claims of one request that arrives twice: it runs at most once, and "not run" is final.

Each of two entries has one copy of the request. Commands reach the controllers with any delay and
in any order, and may be applied more than once. An entry may crash at any point; the controllers
close its session at some later time.
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
    """State of the request and its copies.

    Attributes:
        claim: Phase of the claim (`none`, `open`, `unknown`, `finished` or `not run`), and the
            entry that holds it, or -1.
        steps: Last step of each entry with its copy: `idle`, `opening` (has proposed to open the
            claim), `granted`, `sent` (to a target), `done`, `closing` (has proposed to close the
            claim), `refused` (has reported to its caller that the request did not run) or `dead`.
        commands: Commands proposed so far; each may still be applied, also repeatedly.
        runs: Number of times that the request ran, up to 2.
        reported_not_run: Whether a caller was told that the request did not run.
        closed: Entries whose session the controllers have closed.
    """

    claim: tuple[str, int] = ("none", -1)
    steps: tuple[str, str] = ("idle", "idle")
    commands: frozenset = frozenset()
    runs: int = 0
    reported_not_run: bool = False
    closed: frozenset = frozenset()


@dataclass(frozen=True)
class Rules:
    """The mechanisms of the protocol.

    Attributes:
        claims_first: Whether an entry sends the request only after its claim was granted.
        closes_before_refusing: Whether an entry reports "not run" only after the claim was closed.
        only_holder_closes: Whether an open claim can be closed only by the entry that holds it.
        keeps_claims_of_dead_entries: Whether the open claim of an entry whose session was closed
            becomes `unknown`, rather than free for another entry.
    """

    claims_first: bool = True
    closes_before_refusing: bool = True
    only_holder_closes: bool = True
    keeps_claims_of_dead_entries: bool = True


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
        yield f"{entry} proposes to open", _propose(state, OPEN, entry, "opening")
        if rules.closes_before_refusing:
            yield f"{entry} proposes to close", _propose(state, CLOSE, entry, "closing")
        else:
            yield f"{entry} reports not run", _set_step(state, entry, "refused")._replace(
                reported_not_run=True
            )
    if step == "granted" or (step == "opening" and not rules.claims_first):
        yield f"{entry} sends", _set_step(state, entry, "sent")._replace(
            runs=min(2, state.runs + 1)
        )
    if step in ("opening", "granted"):
        yield f"{entry} cancels before sending", _propose(state, CLOSE, entry, "closing")
    if step == "sent":
        yield f"{entry} receives the answer", _propose(state, FINISH, entry, "done")
    if step != "dead":
        yield f"{entry} crashes", _set_step(state, entry, "dead")
    elif entry not in state.closed:
        yield f"session of {entry} is closed", state._replace(closed=state.closed | {entry})


def _apply(rules: Rules, state: State, command: tuple[str, int]) -> State:
    kind, entry = command
    phase, holder = state.claim
    if phase == "open" and holder in state.closed:
        phase = "unknown" if rules.keeps_claims_of_dead_entries else "none"
        state = state._replace(claim=(phase, holder))
    if kind == OPEN:
        if phase == "none":
            state = state._replace(claim=("open", entry))
        granted = state.claim == ("open", entry) and state.steps[entry] == "opening"
        return _set_step(state, entry, "granted") if granted else state
    if kind == FINISH:
        is_holder = holder == entry and phase in ("open", "unknown")
        return state._replace(claim=("finished", entry)) if is_holder else state
    may_close = holder == entry or not rules.only_holder_closes
    if phase == "none" or (phase == "open" and may_close):
        state = state._replace(claim=("not run", -1))
    if state.claim[0] == "not run" and state.steps[entry] == "closing":
        return _set_step(state, entry, "refused")._replace(reported_not_run=True)
    return state


def _propose(state: State, kind: str, entry: int, step: str) -> State:
    return _set_step(state, entry, step)._replace(commands=state.commands | {(kind, entry)})


def _set_step(state: State, entry: int, step: str) -> State:
    steps = list(state.steps)
    steps[entry] = step
    return state._replace(steps=tuple(steps))


def runs_at_most_once(state: dict) -> bool:
    """The request never runs a second time."""
    return state["runs"] <= 1


def not_run_is_true(state: dict) -> bool:
    """A request that was reported as not run never ran and never runs later."""
    return not (state["reported_not_run"] and state["runs"])


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of the claims with the given mechanisms."""
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
        protocol(
            "not run reported without closing the claim",
            replace(RULES, closes_before_refusing=False),
        ),
        "as claims",
        refutes="not_run_is_true",
    ),
    Model(
        protocol("any copy closes the claim", replace(RULES, only_holder_closes=False)),
        "as claims",
        refutes="not_run_is_true",
    ),
    Model(
        protocol("claim of a dead entry freed", replace(RULES, keeps_claims_of_dead_entries=False)),
        "as claims",
        refutes="runs_at_most_once",
    ),
]
