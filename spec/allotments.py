"""Allotments of one team: the limit holds under any delay and order of messages.

Entry A is modelled in full. Entry B stands for all other entries and runs as many tasks as its
allotment permits. Any leader, even one that was frozen, may decide at any time on any renewal that
A has ever sent, to replace any allotment that A has ever had. A may receive any allotment that was
ever committed for it.

With a renewal A may send a ceiling: a number of running tasks, below its allotment, that it does
not exceed until it receives an allotment based on that renewal or a later one. An allotment is
reduced only to a ceiling that A has sent.

A decision depends only on a renewal and on the allotment that it replaces. One that is committed
late therefore needs no state of its own: the model computes it at the commit.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

NO_CEILING = (-1, 0)


class State(NamedTuple):
    """State of the team's allotments.

    Amounts are numbers of tasks. A pair is an amount and the sequence of the renewal on which it
    is based.

    Attributes:
        current: A's current allotment in the replicated state.
        others: B's allotment in the replicated state.
        received: The newest allotment that A has received in a reply.
        ceiling: The ceiling that A observes, or NO_CEILING.
        running: Number of A's running tasks.
        sent: Number of renewals that A has sent; also the sequence of the last one.
        lowered: Ceilings that A has sent, with the sequence of their renewals.
        committed: Allotments that were ever committed for A.
    """

    current: tuple[int, int] = (0, 0)
    others: int = 0
    received: tuple[int, int] = (0, 0)
    ceiling: tuple[int, int] = NO_CEILING
    running: int = 0
    sent: int = 0
    lowered: frozenset = frozenset()
    committed: frozenset = frozenset({(0, 0)})


@dataclass(frozen=True)
class Rules:
    """Bounds of the exploration, and the mechanisms of the protocol.

    Attributes:
        limit: The team's limit on running tasks.
        renewals: Number of renewals that A sends.
        rejects_old_renewals: Whether a decision based on an older renewal than that of the current
            allotment is rejected.
        observes_ceiling: Whether A observes the ceilings that it sends.
        awaits_acknowledgement: Whether A observes a ceiling until it receives an allotment based on
            the same or a later renewal.
        reduces_to_ceiling: Whether an allotment is reduced only to a ceiling that A has sent.
        compares_current: Whether a decision is committed only if the allotment that it replaces is
            still current.
    """

    limit: int = 2
    renewals: int = 4
    rejects_old_renewals: bool = True
    observes_ceiling: bool = True
    awaits_acknowledgement: bool = True
    reduces_to_ceiling: bool = True
    compares_current: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    run_limit = _run_limit(rules, state)
    if state.sent < rules.renewals:
        yield from _renewals(state, run_limit)
    for decision in _decisions(rules, state):
        if _is_accepted(rules, state, decision):
            committed = state.committed | {decision}
            yield f"commit {decision}", state._replace(current=decision, committed=committed)
    for allotment in state.committed:
        if _is_newer(allotment, state.received):
            yield f"receive {allotment}", _receive(rules, state, allotment)
    if state.running < run_limit:
        yield "start", state._replace(running=state.running + 1)
    if state.running:
        yield "finish", state._replace(running=state.running - 1)
    if state.current[0] + state.others < rules.limit:
        yield "increase others", state._replace(others=state.others + 1)
    if state.others:
        yield "reduce others", state._replace(others=state.others - 1)


def _run_limit(rules: Rules, state: State) -> int:
    if state.ceiling == NO_CEILING or not rules.observes_ceiling:
        return state.received[0]
    return min(state.received[0], state.ceiling[0])


def _renewals(state: State, run_limit: int) -> Iterator[tuple[str, State]]:
    sequence = state.sent + 1
    reduction_pending = state.ceiling != NO_CEILING and state.ceiling[0] < state.received[0]
    if not reduction_pending:
        yield "renew", state._replace(sent=sequence)
    for ceiling in range(state.running, run_limit + 1 if reduction_pending else run_limit):
        sent_ceiling = (ceiling, sequence)
        lowered = state.lowered | {sent_ceiling}
        yield f"renew with ceiling {sent_ceiling}", state._replace(
            sent=sequence, ceiling=sent_ceiling, lowered=lowered
        )


def _decisions(rules: Rules, state: State) -> set[tuple[int, int]]:
    """Returns every allotment that a leader may commit, immediately or after a delay."""
    replaced = {state.current[0]}
    if not rules.compares_current:
        replaced |= {amount for amount, _ in state.committed}
    renewals = range(1, state.sent + 1)
    unchanged_or_increased = {
        (amount, sequence)
        for sequence in renewals
        for amount in range(min(replaced), rules.limit + 1)
    }
    if not rules.reduces_to_ceiling:
        return unchanged_or_increased | {(0, sequence) for sequence in renewals}
    return unchanged_or_increased | {
        ceiling for ceiling in state.lowered if ceiling[0] < max(replaced)
    }


def _is_accepted(rules: Rules, state: State, decision: tuple[int, int]) -> bool:
    amount, sequence = decision
    current, last_sequence = state.current
    if decision == state.current or (amount > current and amount + state.others > rules.limit):
        return False
    if not rules.rejects_old_renewals:
        return True
    return sequence > last_sequence or (sequence == last_sequence and amount > current)


def _receive(rules: Rules, state: State, allotment: tuple[int, int]) -> State:
    acknowledged = allotment[1] >= state.ceiling[1] or not rules.awaits_acknowledgement
    ceiling = NO_CEILING if acknowledged else state.ceiling
    return state._replace(received=allotment, ceiling=ceiling)


def _drop_unusable(rules: Rules, state: State) -> State:
    """Removes values that no later step can use, to reduce the number of distinct states."""
    lowered = state.lowered
    if rules.rejects_old_renewals:
        lowered = frozenset(ceiling for ceiling in lowered if ceiling[1] > state.current[1])
    committed = state.committed
    if rules.compares_current:
        committed = frozenset(
            allotment for allotment in committed if _is_newer(allotment, state.received)
        )
    return state._replace(lowered=lowered, committed=committed)


def _is_newer(allotment: tuple[int, int], received: tuple[int, int]) -> bool:
    # With the same sequence an allotment can only increase, so the larger one is newer.
    return (allotment[1], allotment[0]) > (received[1], received[0])


def limit_holds(state: dict) -> bool:
    """The tasks that A runs and those that the others may run are within the limit."""
    return state["running"] + state["others"] <= RULES.limit


def runs_within_allotment(state: dict) -> bool:
    """A runs no more tasks than its committed allotment."""
    return state["running"] <= state["current"][0]


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of the allotments with the given mechanisms."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: [
            (label, _drop_unusable(rules, after))
            for label, after in transitions(rules, State(*state))
        ],
        invariants={
            "limit_holds": limit_holds,
            "runs_within_allotment": runs_within_allotment,
        },
    )


RULES = Rules()
BOUNDS = "limit 2, 4 renewals of one entry, any delay and order"


def _mutant(name: str, rules: Rules) -> Model:
    return Model(protocol(name, rules), "as allotments", refutes="limit_holds")


MODELS = [
    Model(protocol("allotments", RULES), BOUNDS),
    _mutant("decision on an old renewal accepted", replace(RULES, rejects_old_renewals=False)),
    _mutant("decision on an outdated allotment accepted", replace(RULES, compares_current=False)),
    _mutant("ceiling raised before acknowledgement", replace(RULES, awaits_acknowledgement=False)),
    _mutant("lowered ceiling not observed", replace(RULES, observes_ceiling=False)),
    _mutant(
        "allotment reduced without a lowered ceiling", replace(RULES, reduces_to_ceiling=False)
    ),
]
