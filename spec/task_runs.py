"""Runs of one task on two workers, over a change of the owner: one run at a time, done once.

Orders reach their worker late, any number of times and in any order. An owner commits to the log;
what it has not committed is lost when the next one takes over. A worker keeps the highest term that
it has seen and the highest run that was stopped or has ended there.
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
WORKERS = (0, 1)


class Worker(NamedTuple):
    """A worker.

    Attributes:
        fence: Highest term seen.
        running: Run that it runs, or 0.
        highest: Highest run stopped or ended there.
        done: Run that ended done and is still listed, or 0.
    """

    fence: int = 0
    running: int = 0
    highest: int = 0
    done: int = 0


class State(NamedTuple):
    """The task.

    Attributes:
        phase: What the log says: `waiting`, `assigned` or `done`.
        worker: Worker of the assigned run.
        run: Number of the last run in the log.
        term: Term of the owner.
        ordered: Run that this owner has ordered, or 0.
        stopped: Run whose stop was acknowledged to this owner, or 0.
        noted: Run whose end this owner has seen and not committed yet, or 0.
        starts: Orders under way: worker, run and term.
        workers: The workers.
        forgotten_end: Whether a worker was told to forget an end that no log has.
        again_after_done: Whether a run began after one that was done.
    """

    phase: str = "waiting"
    worker: int = 0
    run: int = 0
    term: int = 1
    ordered: int = 0
    stopped: int = 0
    noted: int = 0
    starts: frozenset = frozenset()
    workers: tuple[Worker, Worker] = (Worker(), Worker())
    forgotten_end: bool = False
    again_after_done: bool = False


@dataclass(frozen=True)
class Rules:
    """The mechanisms of the protocol."""

    commits_before_ordering: bool = True
    fences: bool = True
    stops_unclear_starts: bool = True
    remembers_stops: bool = True
    awaits_leases: bool = True
    acknowledges_after_commit: bool = True
    looks_for_ends: bool = True


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
            yield f"worker {number} ends its run", _put(state, number, ended)
        yield f"lease of worker {number} is over", _lapse(state, number)


def _owner_steps(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    if state.phase == "waiting" and state.run < MAX_RUN:
        for number in WORKERS:
            order = (number, state.run + 1, state.term)
            if not rules.commits_before_ordering:
                yield f"order {order} before its commit", _order(state, order)
            assigned = state._replace(phase="assigned", worker=number, run=state.run + 1)
            yield f"commit run {assigned.run} on worker {number}", assigned
    if state.phase == "assigned":
        if state.ordered != state.run:
            order = (state.worker, state.run, state.term)
            yield f"order {order}", _order(state, order)
        yield from _look(rules, state)
        yield "stop the run", _stop(rules, state)
        yield "give up the silent worker", _give_up_silent(rules, state)
    if state.noted:
        # The end of a run that the log no longer names changes nothing.
        current = state.phase == "assigned" and state.noted == state.run
        phase = "done" if current else state.phase
        yield "commit the end", state._replace(phase=phase, noted=0)
    if state.term < LAST_TERM:
        # What was not committed is lost with the owner.
        yield "the next owner takes over", state._replace(
            term=state.term + 1, ordered=0, stopped=0, noted=0
        )


def _order(state: State, order: tuple[int, int, int]) -> State:
    return state._replace(ordered=order[1], starts=state.starts | {order})


def _look(rules: Rules, state: State) -> Iterator[tuple[str, State]]:
    """The owner asks the worker for its lists, which also shows the worker its term."""
    worker = state.workers[state.worker]
    if rules.fences and state.term < worker.fence:
        return
    worker = worker._replace(fence=max(worker.fence, state.term))
    seen = _put(state, state.worker, worker)
    if worker.done == state.run:
        if rules.acknowledges_after_commit:
            yield "see the end", seen._replace(noted=state.run)
        else:
            forgets = _put(seen, state.worker, worker._replace(done=0))
            yield "see the end and let it be forgotten", forgets._replace(
                noted=state.run, forgotten_end=True
            )
        if rules.looks_for_ends:
            return
    if worker.running == state.run or state.noted:
        return
    unclear = state.ordered == state.run and state.stopped != state.run
    if unclear and rules.stops_unclear_starts and rules.looks_for_ends:
        return
    yield "give up a run that is not listed", seen._replace(phase="waiting", ordered=0)


def _stop(rules: Rules, state: State) -> State:
    worker = state.workers[state.worker]
    if rules.fences and state.term < worker.fence:
        return state
    worker = worker._replace(fence=max(worker.fence, state.term))
    if worker.running == state.run:
        worker = worker._replace(running=0)
    if rules.remembers_stops:
        worker = worker._replace(highest=max(worker.highest, state.run))
    return _put(state, state.worker, worker)._replace(stopped=state.run)


def _give_up_silent(rules: Rules, state: State) -> State:
    """The owner can't reach the worker; it must know that everything there is over."""
    worker = state.workers[state.worker]
    pending = any(number == state.worker for number, _, _ in state.starts)
    over = not (worker.running or worker.done or pending)
    if rules.awaits_leases and not over:
        return state
    return state._replace(phase="waiting", ordered=0)


def _lapse(state: State, number: int) -> State:
    """The deadline of all that was sent to a worker has passed: runs end, orders are too late.

    An end that was not acknowledged before does not count any more.
    """
    worker = state.workers[number]._replace(running=0, done=0)
    late = frozenset(order for order in state.starts if order[0] == number)
    return _put(state, number, worker)._replace(starts=state.starts - late)


def _deliver(rules: Rules, state: State, number: int, run: int, term: int) -> State:
    worker = state.workers[number]
    if rules.fences and term < worker.fence:
        return state
    if worker.running or run <= worker.highest:
        return state
    after = any(other.done for other in state.workers) or state.phase == "done"
    worker = worker._replace(fence=max(worker.fence, term), running=run)
    return _put(state, number, worker)._replace(again_after_done=state.again_after_done or after)


def _put(state: State, number: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[number] = worker
    return state._replace(workers=tuple(workers))


def one_run_at_a_time(state: dict) -> bool:
    """The task never runs on two workers at once."""
    return sum(bool(worker[1]) for worker in state["workers"]) <= 1


def done_once(state: dict) -> bool:
    """No run begins after one that was done."""
    return not state["again_after_done"]


def ends_are_kept(state: dict) -> bool:
    """An end that a worker has forgotten is in the log, or with the owner that will commit it."""
    return not state["forgotten_end"] or bool(state["noted"]) or state["phase"] == "done"


def protocol(name: str, rules: Rules) -> Protocol:
    """Returns the runs of one task under some rules."""
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
BOUNDS = "1 task, 2 workers, 2 owners, 2 runs"


def _mutant(name: str, refutes: str, **rules: bool) -> Model:
    return Model(protocol(name, replace(RULES, **rules)), BOUNDS, refutes=refutes)


MODELS = [
    Model(protocol("task runs", RULES), BOUNDS),
    _mutant("order before its commit", "one_run_at_a_time", commits_before_ordering=False),
    _mutant("no fence", "one_run_at_a_time", fences=False),
    _mutant("unclear start not stopped", "one_run_at_a_time", stops_unclear_starts=False),
    _mutant("stop not remembered", "one_run_at_a_time", remembers_stops=False),
    _mutant("lease not awaited", "one_run_at_a_time", awaits_leases=False),
    _mutant("end forgotten before its commit", "ends_are_kept", acknowledges_after_commit=False),
    _mutant("ended run taken for one that never began", "done_once", looks_for_ends=False),
]
