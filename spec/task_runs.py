"""Runs of one task on two workers, with a change of the owner: one run at a time, done once.

The owner is the controller that leads. Its start orders reach a worker with any delay, any number
of times and in any order. An owner commits its decisions to the log; decisions that are not
committed are lost when the next owner takes over. A worker keeps the highest term that it has seen
and the highest run that was stopped or has ended there, until it restarts under its id. A report
may leave out an end.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from spec import Model

__all__ = ["MODELS"]

MAX_RUN = 2
LAST_TERM = 2
LAST_LIFE = 1
WORKERS = (0, 1)


class Worker(NamedTuple):
    """State of one worker.

    Attributes:
        fence: Highest term that it has seen; orders of lower terms are refused.
        running: Run that it executes, or 0.
        highest: Highest run that was stopped or has ended on it.
        done: Completed run that it still reports, or 0.
        life: Number of its restarts.
    """

    fence: int = 0
    running: int = 0
    highest: int = 0
    done: int = 0
    life: int = 0


class State(NamedTuple):
    """State of the task.

    Attributes:
        phase: Phase of the task in the log: `waiting`, `assigned` or `done`.
        worker: Worker of the last run in the log.
        life: Incarnation of that worker in the log.
        run: Number of the last run in the log.
        term: Term of the current owner.
        ordered: Run that the current owner has ordered, or 0.
        stopped: Run whose stop the worker acknowledged to the current owner, or 0.
        uncommitted_end: Run whose end the current owner has seen but not committed, or 0.
        starts: Start orders in transit: worker, run and term.
        workers: The workers, by number.
        end_acknowledged_early: Whether an end was acknowledged before it was committed.
        run_after_done: Whether a run began after another one was done.
    """

    phase: str = "waiting"
    worker: int = 0
    life: int = 0
    run: int = 0
    term: int = 1
    ordered: int = 0
    stopped: int = 0
    uncommitted_end: int = 0
    starts: frozenset = frozenset()
    workers: tuple[Worker, Worker] = (Worker(), Worker())
    end_acknowledged_early: bool = False
    run_after_done: bool = False


@dataclass(frozen=True)
class Rules:
    """The mechanisms of the protocol.

    Attributes:
        commits_before_ordering: Whether a run is committed before its worker is ordered to start
            it.
        fences: Whether a worker refuses orders and queries of terms lower than the highest it has
            seen.
        stops_unclear_starts: Whether a run that the owner ordered and the worker does not report is
            stopped before it is marked as lost.
        remembers_stops: Whether a worker refuses a start order for a run that was stopped before
            the order arrived.
        awaits_leases: Whether the runs of an unreachable worker are marked as lost only after its
            lease has expired.
        awaits_later_incarnations: Whether the lease of a later incarnation of an unreachable worker
            is awaited too, though the owner doesn't know of it.
        acknowledges_after_commit: Whether an end is acknowledged, and so discarded by its worker,
            only after it was committed.
        checks_for_ends: Whether the owner checks for a reported end before it marks a run as lost.
        waits_for_complete_reports: Whether the owner marks no run as lost by a report that may
            leave out its end.
        carries_over: Whether a run is assigned to the later incarnation of its worker, instead of
            being marked as lost when that one is registered.
    """

    commits_before_ordering: bool = True
    fences: bool = True
    stops_unclear_starts: bool = True
    remembers_stops: bool = True
    awaits_leases: bool = True
    awaits_later_incarnations: bool = True
    acknowledges_after_commit: bool = True
    checks_for_ends: bool = True
    waits_for_complete_reports: bool = True
    carries_over: bool = True


def transitions(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields every step that the rules allow."""
    yield from _owner_steps(rules, state)
    for order in state.starts:
        changed = _deliver(rules, state, *order)
        if changed != state:
            yield f"start {order} arrives", changed
    for number in WORKERS:
        worker = state.workers[number]
        if worker.running:
            ended = worker._replace(running=0, highest=worker.running, done=worker.running)
            yield f"worker {number} ends its run", _replace_worker(state, number, ended)
        yield f"lease of worker {number} expires", _expire_lease(state, number)
        if worker.life < LAST_LIFE:
            yield f"worker {number} restarts under its id", _restart(state, number)


def _owner_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.phase == "waiting" and state.run < MAX_RUN:
        for number in WORKERS:
            order = (number, state.run + 1, state.term)
            if not rules.commits_before_ordering:
                yield f"order {order} before its commit", _order(state, order)
            life = state.workers[number].life
            assigned = state._replace(phase="assigned", worker=number, life=life, run=state.run + 1)
            yield f"commit run {assigned.run} on worker {number}", assigned
    if state.phase == "assigned":
        if state.run not in (state.stopped, state.uncommitted_end):
            order = (state.worker, state.run, state.term)
            yield f"order {order}, perhaps again", _order(state, order)
        if state.workers[state.worker].life > state.life:
            yield "register the later incarnation", _register(rules, state)
        yield from _query_worker(rules, state)
        yield "stop the run", _stop(rules, state)
        yield "mark the run of the unreachable worker as lost", _mark_unreachable_lost(rules, state)
    if state.uncommitted_end:
        # The end of a run that is no longer the last one in the log has no effect.
        current = state.phase == "assigned" and state.uncommitted_end == state.run
        phase = "done" if current else state.phase
        yield "commit the end", state._replace(phase=phase, uncommitted_end=0)
    if state.term < LAST_TERM:
        # Everything that the owner has not committed is lost.
        yield "the next owner takes over", state._replace(
            term=state.term + 1, ordered=0, stopped=0, uncommitted_end=0
        )


def _order(state: State, order: tuple[int, int, int]) -> State:
    return state._replace(ordered=order[1], starts=state.starts | {order})


def _query_worker(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """Yields the owner's steps after a query to the worker, which also carries the owner's term."""
    worker = state.workers[state.worker]
    if rules.fences and state.term < worker.fence:
        return
    worker = worker._replace(fence=max(worker.fence, state.term))
    answered = _replace_worker(state, state.worker, worker)
    if worker.life != state.life:
        yield "another incarnation answers", answered
        return
    if worker.done == state.run and not rules.waits_for_complete_reports:
        yield "mark a run as lost whose end is left out", answered._replace(
            phase="waiting", ordered=0
        )
    if worker.done == state.run:
        if rules.acknowledges_after_commit:
            yield "receive the end", answered._replace(uncommitted_end=state.run)
        else:
            discarded = _replace_worker(answered, state.worker, worker._replace(done=0))
            yield "receive the end and acknowledge it", discarded._replace(
                uncommitted_end=state.run, end_acknowledged_early=True
            )
        if rules.checks_for_ends:
            return
    if worker.running == state.run or state.uncommitted_end:
        return
    unclear = state.ordered == state.run and state.stopped != state.run
    if unclear and rules.stops_unclear_starts and rules.checks_for_ends:
        return
    yield "mark an unreported run as lost", answered._replace(phase="waiting", ordered=0)


def _register(rules: Rules, state: State) -> State:
    """Registers the later incarnation of the run's worker; a stop of the former one is void."""
    registered = state._replace(life=state.workers[state.worker].life, stopped=0)
    return registered if rules.carries_over else registered._replace(phase="waiting", ordered=0)


def _restart(state: State, number: int) -> State:
    """Ends a worker and starts it again under its id, without what it knew.

    Orders that were sent end with their connections. One of the current owner may wait for its
    connection and reach the later incarnation, unless its run was stopped, or a report showed its
    end.
    """
    worker = Worker(life=state.workers[number].life + 1)
    current = (number, state.run, state.term)
    waiting = state.phase == "assigned" and state.run not in (state.stopped, state.uncommitted_end)
    starts = (order for order in state.starts if order[0] != number)
    kept = frozenset(starts) | (state.starts & {current} if waiting else frozenset())
    return _replace_worker(state, number, worker)._replace(starts=kept)


def _stop(rules: Rules, state: State) -> State:
    worker = state.workers[state.worker]
    if rules.fences and state.term < worker.fence:
        return state
    worker = worker._replace(fence=max(worker.fence, state.term))
    if worker.running == state.run:
        worker = worker._replace(running=0)
    if rules.remembers_stops:
        worker = worker._replace(highest=max(worker.highest, state.run))
    return _replace_worker(state, state.worker, worker)._replace(stopped=state.run)


def _mark_unreachable_lost(rules: Rules, state: State) -> State:
    """Marks the run of an unreachable worker as lost.

    With `awaits_leases`, this has an effect only if the worker has no run, no unacknowledged end
    and no order in transit, as after the expiry of its lease.
    """
    worker = state.workers[state.worker]
    pending = any(number == state.worker for number, _, _ in state.starts)
    has_ended = not (worker.running or worker.done or pending)
    if not rules.awaits_later_incarnations:
        has_ended = has_ended or worker.life != state.life
    if rules.awaits_leases and not has_ended:
        return state
    return state._replace(phase="waiting", ordered=0)


def _expire_lease(state: State, number: int) -> State:
    """Ends the worker's runs and drops the orders in transit to it, as the worker's lease expires.

    Ends that were not acknowledged before are discarded.
    """
    worker = state.workers[number]._replace(running=0, done=0)
    expired = frozenset(order for order in state.starts if order[0] == number)
    return _replace_worker(state, number, worker)._replace(starts=state.starts - expired)


def _deliver(rules: Rules, state: State, number: int, run: int, term: int) -> State:
    worker = state.workers[number]
    if rules.fences and term < worker.fence:
        return state
    if worker.running or run <= worker.highest:
        return state
    after_done = any(other.done for other in state.workers) or state.phase == "done"
    worker = worker._replace(fence=max(worker.fence, term), running=run)
    return _replace_worker(state, number, worker)._replace(
        run_after_done=state.run_after_done or after_done
    )


def _replace_worker(state: State, number: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[number] = worker
    return state._replace(workers=tuple(workers))


def one_run_at_a_time(state: dict) -> bool:
    """The task never runs on two workers at once."""
    return sum(bool(worker[1]) for worker in state["workers"]) <= 1


def done_once(state: dict) -> bool:
    """No run begins after one that was done."""
    return not state["run_after_done"]


def ends_are_kept(state: dict) -> bool:
    """An end acknowledged early is in the log, or the current owner can still commit it."""
    return (
        not state["end_acknowledged_early"]
        or bool(state["uncommitted_end"])
        or state["phase"] == "done"
    )


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the protocol of the task runs with the given mechanisms."""
    return Protocol(
        name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(transitions(rules, _typed(state))),
        invariants={
            "one_run_at_a_time": one_run_at_a_time,
            "done_once": done_once,
            "ends_are_kept": ends_are_kept,
        },
    )


def _typed(state: tuple) -> State:
    typed = State(*state)
    return typed._replace(workers=tuple(Worker(*worker) for worker in typed.workers))


RULES = Rules()
BOUNDS = "1 task, 2 workers with 1 restart each, 2 owners, 2 runs"


def _mutant(name: str, refutes: str, **rules: bool) -> Model:
    return Model(protocol(name, replace(RULES, **rules)), BOUNDS, refutes=refutes)


MODELS = [
    Model(protocol("task runs", RULES), BOUNDS),
    _mutant("order before its commit", "one_run_at_a_time", commits_before_ordering=False),
    _mutant("no fence", "one_run_at_a_time", fences=False),
    _mutant("unclear start not stopped", "one_run_at_a_time", stops_unclear_starts=False),
    _mutant("stop not remembered", "one_run_at_a_time", remembers_stops=False),
    _mutant("lease not awaited", "one_run_at_a_time", awaits_leases=False),
    _mutant("later incarnation forgotten", "one_run_at_a_time", awaits_later_incarnations=False),
    _mutant("end acknowledged before its commit", "ends_are_kept", acknowledges_after_commit=False),
    _mutant("ended run taken for one that never began", "done_once", checks_for_ends=False),
    _mutant("incomplete report believed", "done_once", waits_for_complete_reports=False),
    _mutant("run requeued when its worker restarts", "one_run_at_a_time", carries_over=False),
]
