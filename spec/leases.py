"""Sessions and task leases: an allotment is reused only when no task can run under it any more.

Time advances in steps of the leader's clock. The clocks of the entry and of the target may each
lose one step on it during a lease. The entry's lease begins when the renewal was sent. A frozen
entry takes no steps, but its clock continues. A task and a renewal of its lease reach the target
without delay; the effects of delayed ones are not covered here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

IDLE = -1  # no message in transit


class State(NamedTuple):
    """State of one session; times are in steps of a clock.

    Attributes:
        sent: Age of the renewal in transit to the leader, or IDLE.
        reply: Age of the renewal whose confirmation is in transit to the entry, or IDLE.
        unconfirmed: Time since the leader last confirmed a renewal, by the leader's clock.
        lease: Remaining time of the session's lease, by the entry's clock.
        entry_lost: Steps that the entry's clock has lost since the lease began.
        reserved: Whether the entry has reserved a slot for a task that it has not sent yet.
        task: Remaining time of the task's lease, by the target's clock.
        target_lost: Steps that the target's clock has lost since the task's lease began.
        closing: 0 if the session is open, 1 if its close is proposed, 2 if the close is committed
            and the allotment is reused.
    """

    sent: int = IDLE
    reply: int = IDLE
    unconfirmed: int = 0
    lease: int = 0
    entry_lost: int = 0
    reserved: bool = False
    task: int = 0
    target_lost: int = 0
    closing: int = 0


@dataclass(frozen=True)
class Rules:
    """Durations in clock steps, and the mechanisms of the protocol.

    Attributes:
        session_lease: Duration of a session's lease.
        task_lease: Duration of a task's lease.
        lost: Most steps that a clock loses during a lease.
        close_after: Time without a confirmed renewal after which the leader closes the session.
        checks_before_send: Whether the entry checks its lease right before it sends a task, since
            it may have been frozen after it reserved the slot.
        counts_from_send: Whether the entry's lease begins when it sent the renewal, rather than
            when it received the reply.
        renews_tasks_under_lease: Whether task leases are renewed only while the session's lease is
            valid.
        confirms_while_closing: Whether the leader confirms a renewal after it has proposed to close
            the session.
    """

    session_lease: int = 3
    task_lease: int = 4
    lost: int = 1
    close_after: int = 9  # both leases (3 + 4), and for each the step that a clock may lose
    checks_before_send: bool = True
    counts_from_send: bool = True
    renews_tasks_under_lease: bool = True
    confirms_while_closing: bool = False


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    yield from _advance(rules, state)
    if state.sent == IDLE:
        yield "send renewal", state._replace(sent=0)
    if state.sent != IDLE and (state.closing == 0 or _confirms_during_close(rules, state)):
        yield "confirm", state._replace(sent=IDLE, reply=state.sent, unconfirmed=0)
    if state.reply != IDLE:
        age = state.reply if rules.counts_from_send else 0
        remaining = rules.session_lease - age
        if remaining > state.lease:
            yield "reply arrives", state._replace(reply=IDLE, lease=remaining, entry_lost=0)
        else:
            yield "reply arrives", state._replace(reply=IDLE)
    yield from _task_steps(rules, state)
    if state.closing == 0 and state.unconfirmed >= rules.close_after:
        yield "propose close", state._replace(closing=1)
    if state.closing == 1:
        yield "commit close", state._replace(closing=2)


def _confirms_during_close(rules: Rules, state: State) -> bool:
    return rules.confirms_while_closing and state.closing == 1


def _advance(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    for entry_loses in range(0, rules.lost - state.entry_lost + 1):
        for target_loses in range(0, rules.lost - state.target_lost + 1):
            yield f"time passes, entry loses {entry_loses}, target {target_loses}", state._replace(
                sent=_increase_age(rules, state.sent),
                reply=_increase_age(rules, state.reply),
                unconfirmed=min(state.unconfirmed + 1, rules.close_after),
                lease=max(0, state.lease - 1 + entry_loses),
                entry_lost=state.entry_lost + entry_loses if state.lease else 0,
                task=max(0, state.task - 1 + target_loses),
                target_lost=state.target_lost + target_loses if state.task else 0,
            )


def _increase_age(rules: Rules, age: int) -> int:
    # A renewal as old as the lease no longer extends it, so its exact age makes no difference.
    return IDLE if age == IDLE else min(age + 1, rules.session_lease)


def _task_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.lease and not state.reserved:
        yield "reserve a slot", state._replace(reserved=True)
    if state.reserved and (state.lease or not rules.checks_before_send):
        yield "send task", state._replace(reserved=False, task=rules.task_lease, target_lost=0)
    if state.task and (state.lease or not rules.renews_tasks_under_lease):
        yield "renew task lease", state._replace(task=rules.task_lease, target_lost=0)
    if state.task:
        yield "task ends", state._replace(task=0, target_lost=0)


def reused_only_when_unused(state: dict) -> bool:
    """No task runs under an allotment that other entries may already use."""
    return state["closing"] != 2 or not state["task"]


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of sessions and task leases with the given mechanisms."""
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
    _mutant("allotment reused before the task leases end", replace(RULES, close_after=4)),
    _mutant("allotment reused without the drift bound", replace(RULES, close_after=7)),
    _mutant("lease counted from the reply", replace(RULES, counts_from_send=False)),
    _mutant(
        "task leases renewed without a session", replace(RULES, renews_tasks_under_lease=False)
    ),
    _mutant("renewal confirmed while closing", replace(RULES, confirms_while_closing=True)),
]
