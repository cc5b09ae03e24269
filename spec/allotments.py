"""Allotments of one team: the limit holds although renewals, decisions and replies arrive late.

Entry A is modelled in full. Entry B stands for all others and runs as much as it is granted. Any
leader, even one that was frozen, may decide at any time on any renewal that A ever sent, and on any
allotment that A ever held; A may see any allotment that was ever committed for it.

A decision is a function of a renewal and of the allotment that it replaces, so one that is
committed late needs no state of its own: it is made again when it is committed.
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
    """Amounts are tasks; a pair is an amount and the sequence of the renewal that it rests on.

    Attributes:
        held: A's committed allotment.
        others: B's committed allotment.
        seen: The allotment that A last took from a reply.
        ceiling: The ceiling that A keeps to.
        running: A's running tasks.
        sent: A's renewals so far.
        offers: Renewals in which A lowered its ceiling.
        committed: Allotments of A that were committed so far.
    """

    held: tuple[int, int] = (0, 0)
    others: int = 0
    seen: tuple[int, int] = (0, 0)
    ceiling: tuple[int, int] = NO_CEILING
    running: int = 0
    sent: int = 0
    offers: frozenset = frozenset()
    committed: frozenset = frozenset({(0, 0)})


@dataclass(frozen=True)
class Rules:
    """Bounds, and the mechanisms of the protocol."""

    limit: int = 2
    renewals: int = 4
    refuses_old_renewals: bool = True
    keeps_ceiling: bool = True
    awaits_acknowledgement: bool = True
    shrinks_to_ceiling: bool = True
    compares_held: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    bound = _bound(rules, state)
    if state.sent < rules.renewals:
        yield from _renewals(state, bound)
    for decision in _decisions(rules, state):
        if _accepts(rules, state, decision):
            committed = state.committed | {decision}
            yield f"commit {decision}", state._replace(held=decision, committed=committed)
    for allotment in state.committed:
        if _is_newer(allotment, state.seen):
            yield f"see {allotment}", _see(rules, state, allotment)
    if state.running < bound:
        yield "start", state._replace(running=state.running + 1)
    if state.running:
        yield "finish", state._replace(running=state.running - 1)
    if state.held[0] + state.others < rules.limit:
        yield "others grow", state._replace(others=state.others + 1)
    if state.others:
        yield "others shrink", state._replace(others=state.others - 1)


def _bound(rules: Rules, state: State) -> int:
    if state.ceiling == NO_CEILING or not rules.keeps_ceiling:
        return state.seen[0]
    return min(state.seen[0], state.ceiling[0])


def _renewals(state: State, bound: int) -> Iterator[tuple[str, State]]:
    sequence = state.sent + 1
    pending = state.ceiling != NO_CEILING and state.ceiling[0] < state.seen[0]
    if not pending:
        yield "renew", state._replace(sent=sequence)
    for ceiling in range(state.running, bound + 1 if pending else bound):
        offer = (ceiling, sequence)
        offers = state.offers | {offer}
        yield f"offer {offer}", state._replace(sent=sequence, ceiling=offer, offers=offers)


def _decisions(rules: Rules, state: State) -> set[tuple[int, int]]:
    """Returns every allotment that a leader may decide on, now or late."""
    replaced = {state.held[0]}
    if not rules.compares_held:
        replaced |= {amount for amount, _ in state.committed}
    renewals = range(1, state.sent + 1)
    kept_or_grown = {
        (amount, sequence)
        for sequence in renewals
        for amount in range(min(replaced), rules.limit + 1)
    }
    if not rules.shrinks_to_ceiling:
        return kept_or_grown | {(0, sequence) for sequence in renewals}
    return kept_or_grown | {offer for offer in state.offers if offer[0] < max(replaced)}


def _accepts(rules: Rules, state: State, decision: tuple[int, int]) -> bool:
    amount, sequence = decision
    held, last = state.held
    if decision == state.held or (amount > held and amount + state.others > rules.limit):
        return False
    if not rules.refuses_old_renewals:
        return True
    return sequence > last or (sequence == last and amount > held)


def _see(rules: Rules, state: State, allotment: tuple[int, int]) -> State:
    acknowledged = allotment[1] >= state.ceiling[1] or not rules.awaits_acknowledgement
    ceiling = NO_CEILING if acknowledged else state.ceiling
    return state._replace(seen=allotment, ceiling=ceiling)


def _without_dead(rules: Rules, state: State) -> State:
    """Leaves out what no step can use any more, so that fewer states differ."""
    offers = state.offers
    if rules.refuses_old_renewals:
        offers = frozenset(offer for offer in offers if offer[1] > state.held[1])
    committed = state.committed
    if rules.compares_held:
        committed = frozenset(
            allotment for allotment in committed if _is_newer(allotment, state.seen)
        )
    return state._replace(offers=offers, committed=committed)


def _is_newer(allotment: tuple[int, int], seen: tuple[int, int]) -> bool:
    # Under one sequence an allotment only grows.
    return (allotment[1], allotment[0]) > (seen[1], seen[0])


def limit_holds(state: dict) -> bool:
    """What A runs and what the others may run is within the limit."""
    return state["running"] + state["others"] <= RULES.limit


def runs_within_allotment(state: dict) -> bool:
    """A runs no more than its committed allotment."""
    return state["running"] <= state["held"][0]


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the division of the limit under some rules."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: [
            (label, _without_dead(rules, after))
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
    _mutant("decision on an old renewal accepted", replace(RULES, refuses_old_renewals=False)),
    _mutant("decision on another allotment accepted", replace(RULES, compares_held=False)),
    _mutant("ceiling raised before acknowledgement", replace(RULES, awaits_acknowledgement=False)),
    _mutant("lowered ceiling not kept", replace(RULES, keeps_ceiling=False)),
    _mutant("shrunk without an offer", replace(RULES, shrinks_to_ceiling=False)),
]
