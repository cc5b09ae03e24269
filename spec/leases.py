"""Sessions and task leases: an allotment is free only when nothing can run under it any more.

Time advances in steps of the leader's clock. The clocks of the entry and of the target may each
lose one step on it while a lease runs. The entry counts its lease from the moment it sent the
renewal. A frozen entry takes no step, but its clock goes on. A task and a renewal of its lease
reach the target without delay; what a delayed one could do is not covered here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

IDLE = -1  # no message under way


class State(NamedTuple):
    """One session.

    Attributes:
        sent: Age of the renewal on its way to the leader, or IDLE.
        reply: Age of the renewal whose confirmation is on its way back, or IDLE.
        unheard: Time since the leader confirmed a renewal, by its clock.
        lease: What is left of the session's lease, by the entry's clock.
        entry_lost: Steps that the entry's clock lost since the lease began.
        taken: Whether the entry has taken a slot for a task and not sent it yet.
        task: What is left of the task's lease, by the target's clock.
        target_lost: Steps that the target's clock lost since the task's lease began.
        closing: 0 open, 1 the close is proposed, 2 it is committed and the allotment is reused.
    """

    sent: int = IDLE
    reply: int = IDLE
    unheard: int = 0
    lease: int = 0
    entry_lost: int = 0
    taken: bool = False
    task: int = 0
    target_lost: int = 0
    closing: int = 0


@dataclass(frozen=True)
class Rules:
    """Lengths in steps, and the mechanisms of the protocol."""

    session_lease: int = 3
    task_lease: int = 4
    lost: int = 1
    wait: int = 9  # both leases, each widened by what a clock may lose
    checks_before_send: bool = True
    counts_from_send: bool = True
    renews_tasks_under_lease: bool = True
    confirms_while_closing: bool = False


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    yield from _time(rules, state)
    if state.sent == IDLE:
        yield "send renewal", state._replace(sent=0)
    if state.sent != IDLE and (state.closing == 0 or _confirms_late(rules, state)):
        yield "confirm", state._replace(sent=IDLE, reply=state.sent, unheard=0)
    if state.reply != IDLE:
        age = state.reply if rules.counts_from_send else 0
        left = rules.session_lease - age
        if left > state.lease:
            yield "reply arrives", state._replace(reply=IDLE, lease=left, entry_lost=0)
        else:
            yield "reply arrives", state._replace(reply=IDLE)
    yield from _task_steps(rules, state)
    if state.closing == 0 and state.unheard >= rules.wait:
        yield "propose close", state._replace(closing=1)
    if state.closing == 1:
        yield "commit close", state._replace(closing=2)


def _confirms_late(rules: Rules, state: State) -> bool:
    return rules.confirms_while_closing and state.closing == 1


def _time(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    for entry_loses in range(0, rules.lost - state.entry_lost + 1):
        for target_loses in range(0, rules.lost - state.target_lost + 1):
            yield f"time passes, entry loses {entry_loses}, target {target_loses}", state._replace(
                sent=_older(rules, state.sent),
                reply=_older(rules, state.reply),
                unheard=min(state.unheard + 1, rules.wait),
                lease=max(0, state.lease - 1 + entry_loses),
                entry_lost=state.entry_lost + entry_loses if state.lease else 0,
                task=max(0, state.task - 1 + target_loses),
                target_lost=state.target_lost + target_loses if state.task else 0,
            )


def _older(rules: Rules, age: int) -> int:
    # A renewal as old as the lease gives none; its exact age makes no difference.
    return IDLE if age == IDLE else min(age + 1, rules.session_lease)


def _task_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.lease and not state.taken:
        yield "take a slot", state._replace(taken=True)
    if state.taken and (state.lease or not rules.checks_before_send):
        yield "send task", state._replace(taken=False, task=rules.task_lease, target_lost=0)
    if state.task and (state.lease or not rules.renews_tasks_under_lease):
        yield "renew task lease", state._replace(task=rules.task_lease, target_lost=0)
    if state.task:
        yield "task ends", state._replace(task=0, target_lost=0)


def reused_only_when_unused(state: dict) -> bool:
    """No task runs under an allotment that was given to others."""
    return state["closing"] != 2 or not state["task"]


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the life of a session under some rules."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(transitions(rules, State(*state))),
        invariants={"reused_only_when_unused": reused_only_when_unused},
    )


def _mutant(name: str, rules: Rules) -> Model:
    return Model(protocol(name, rules), "as session leases", refutes="reused_only_when_unused")


RULES = Rules()
BOUNDS = "session lease 3 steps, task lease 4, a clock loses at most 1 step in a lease"

MODELS = [
    Model(protocol("session leases", RULES), BOUNDS),
    _mutant("lease not checked after a freeze", replace(RULES, checks_before_send=False)),
    _mutant("allotment reused before the task leases end", replace(RULES, wait=4)),
    _mutant("allotment reused without the drift bound", replace(RULES, wait=7)),
    _mutant("lease counted from the reply", replace(RULES, counts_from_send=False)),
    _mutant(
        "task leases renewed without a session", replace(RULES, renews_tasks_under_lease=False)
    ),
    _mutant("renewal confirmed while closing", replace(RULES, confirms_while_closing=True)),
]
