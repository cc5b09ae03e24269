"""The owner's session with one worker: leases, listings, orders, and what is known of it.

The session always has one hold under way. A lease is surely over when the worker's clock has
passed the last deadline sent to it, even if that clock is 2% slow.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.model import TaskId, WorkerInfo
from geraniumtrack.jobs.worker_port import (
    HoldOrder,
    RunningTask,
    StartOrder,
    StartOutcome,
    StopOrder,
    WorkerGone,
    WorkerPort,
    WorkerReport,
)

__all__ = ["LEASE_S", "Order", "WorkerSession"]

LEASE_S = 4.5  # covers a change of the owner, and stays under the longest lease a worker takes
CLOCK_SLOWNESS = 0.02
LEASE_MARGIN_S = 0.1
HOLD_WAIT_S = 1.2
ATTENTIVE_WAIT_S = 0.5  # the span that a reported figure covers
START_TRIES = 3  # of one order; workers answer in milliseconds or not at all
FULL_PERCENT = 100
HOLD_RETRY_S = 0.25
SILENT_S = 2.5  # a hold's wait and its timeout margin, without an answer


@dataclass(slots=True)
class Order:
    """A start of this owner.

    `answered_at` is the clock value of its answer; None while it is under way.
    """

    run: int
    sent_at: float
    tries: int = 0
    answered_at: float | None = None
    outcome: StartOutcome | None = None
    stop_acknowledged: bool = False


@dataclass(slots=True)
class _Clock:
    """A reading of the worker's clock: at `at` of our clock it showed at least `ms`."""

    ms: int
    at: float


class WorkerSession:
    """One worker's life, as its owner sees it.

    Args:
        reactor: Twisted reactor.
        worker: The life.
        port: Calls to it.
        fence: Fencing token of the owner.
        may_act: Whether the owner still holds its lease.
        last_seen: Returns the number of the last end that is committed.
        on_report: Called with the session, each report and when its hold was sent.
        on_start: Called with the session, a task and its order after the answer.
        on_gone: Called when the address belongs to another life.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        worker: WorkerInfo,
        port: WorkerPort,
        fence: int,
        may_act: Callable[[], bool],
        last_seen: Callable[[], int],
        on_report: Callable[[WorkerSession, WorkerReport, float], None],
        on_start: Callable[[WorkerSession, TaskId, Order], None],
        on_gone: Callable[[WorkerSession], None],
    ) -> None:
        now = reactor.seconds()
        self.worker = worker
        self.orders: dict[TaskId, Order] = {}
        self.running: dict[TaskId, RunningTask] = {}
        self.leaving = False
        self.sequence = -1
        self.beat_at = now
        self.heard_at = now
        self.reported = False
        self.fenced = False
        self.stopped = False
        self.room_closed_until = 0.0
        self.set_aside_until = 0.0
        self.attentive = False  # whether its figures are wanted more often
        self._percents: dict[tuple[TaskId, int], int] = {}
        self._reactor = reactor
        self._port = port
        self._fence = fence
        self._may_act = may_act
        self._last_seen = last_seen
        self._on_report = on_report
        self._on_start = on_start
        self._on_gone = on_gone
        self._clock: _Clock | None = None
        # An earlier owner may have extended the lease just before this one took over.
        self._lease_over_at = now + _on_slow_clock(LEASE_S)
        self._stops: dict[tuple[TaskId, int], float] = {}
        self._waiting = False
        self._idle_timer: Any = None
        self._out_of_touch = False

    @property
    def key(self) -> tuple[str, int]:
        """The worker's id and life."""
        return self.worker.id, self.worker.born

    @property
    def silent(self) -> bool:
        """Whether the worker has not answered for longer than a hold takes."""
        return self._reactor.seconds() > self.heard_at + SILENT_S

    @property
    def lease_over(self) -> bool:
        """Whether everything on a silent worker has surely ended."""
        return self._reactor.seconds() > self._lease_over_at + LEASE_MARGIN_S

    @property
    def usable(self) -> bool:
        """Whether tasks may be started there."""
        now = self._reactor.seconds()
        return (
            self.reported
            and not (self.worker.draining or self.leaving or self.fenced or self.stopped)
            and not self.silent
            # Another life may answer at this address, which the next list will tell.
            and not self._out_of_touch
            and self._clock is not None
            and now >= self.room_closed_until
            and now >= self.set_aside_until
        )

    def open(self) -> None:
        """Starts holding."""
        self._hold()

    def close(self) -> None:
        """Stops; a hold under way is left to end."""
        self.stopped = True
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()
        self._port.forget(self.worker)

    def start(self, task: TaskId, run: int, payload: str, checkpoint: str, ticket: str) -> None:
        """Orders a run whose intent is committed."""
        now = self._reactor.seconds()
        order = Order(run, now)
        self.orders[task] = order
        if not self._may_act() or self._clock is None:
            order.answered_at, order.outcome = now, StartOutcome.UNHEALTHY
            self._on_start(self, task, order)
            return
        command = StartOrder(task, run, payload, self._extend(now), self._fence, checkpoint, ticket)
        self._send_start(command, order)

    def _send_start(self, command: StartOrder, order: Order) -> None:
        order.tries += 1
        fut = self._port.start(self.worker, command)
        fut.addCallback(self._start_answered, command, order)

    def stop(self, task: TaskId, run: int, *, again_after_s: float) -> bool:
        """Orders the end of a run, unless that was ordered less than `again_after_s` ago.

        Returns:
            Whether an order was sent.
        """
        now = self._reactor.seconds()
        if now < self._stops.get((task, run), float("-inf")) + again_after_s:
            return False
        if not self._may_act():
            return False
        self._stops[task, run] = now
        order = StopOrder(task, run, self._fence)
        self._port.stop(self.worker, order).addCallback(self._stop_answered, task, run)
        return True

    def percent_of(self, task: TaskId) -> int:
        """Returns the share at which a run works, as ordered."""
        row = self.running.get(task)
        return self._percents.get((task, row.run), FULL_PERCENT) if row is not None else 0

    def pace(self, task: TaskId, run: int, percent: int) -> None:
        """Sets the share at which a filling task works."""
        if self.percent_of(task) == percent or not self._may_act():
            return
        before = self._percents.get((task, run), FULL_PERCENT)
        self._percents[task, run] = percent
        order = StopOrder(task, run, self._fence)
        fut = self._port.pace(self.worker, order, percent)
        fut.addCallback(self._paced, (task, run), before)

    def _paced(self, taken: bool, key: tuple[TaskId, int], before: int) -> None:
        if not taken:
            self._percents[key] = before

    def _hold(self) -> None:
        self._idle_timer = None
        if self.stopped or self._waiting or self.fenced:
            return
        if not self._may_act():
            self._idle_timer = self._reactor.callLater(HOLD_RETRY_S, self._hold)
            return
        now = self._reactor.seconds()
        self._waiting = True
        # Without a reading of the worker's clock there is nothing to count a deadline from. While
        # the worker is out of touch its lease must run out, as an attempt may reach it unanswered.
        in_touch = self._clock is not None and not self._out_of_touch
        wait_s = (ATTENTIVE_WAIT_S if self.attentive else HOLD_WAIT_S) if in_touch else 0.0
        deadline_ms = self._extend(now) if in_touch else 0
        order = HoldOrder(self._fence, self._last_seen(), wait_s, deadline_ms)
        fut = self._port.hold(self.worker, order)
        fut.addCallbacks(self._hold_answered, self._hold_failed, callbackArgs=(now,))

    def hold_again(self) -> None:
        """Sends the next hold, once the ends of the last one are committed."""
        self._hold()

    def _hold_answered(self, report: WorkerReport, sent_at: float) -> None:
        self._waiting = False
        if self.stopped:
            return
        if report.fenced:
            self._mark_fenced()
            return
        now = self._reactor.seconds()
        self.heard_at = now
        self._clock = _Clock(report.clock_ms, now)
        self._note_contact(True)
        first, self.reported = not self.reported, True
        self.running = {row.task: row for row in report.running}
        self._stops = {k: at for k, at in self._stops.items() if at > now - LEASE_S}
        self._on_report(self, report, sent_at)
        # Ends are acknowledged with the next hold, so that one waits for their commit.
        if first or not report.ends:
            self._hold()

    def _hold_failed(self, failure: Any) -> None:
        self._waiting = False
        if self.stopped:
            return
        if failure.check(WorkerGone):
            self._on_gone(self)
            return
        failure.trap(CallFailed)
        self._note_contact(False, failure.getErrorMessage())
        self._idle_timer = self._reactor.callLater(HOLD_RETRY_S, self._hold)

    def _note_contact(self, heard: bool, detail: str = "") -> None:
        if heard and self._out_of_touch:
            logs.event("worker_regained", worker=self.worker.id, born=self.worker.born)
        elif not heard and not self._out_of_touch:
            logs.warn("worker_lost", worker=self.worker.id, born=self.worker.born, detail=detail)
        self._out_of_touch = not heard

    def _start_answered(self, outcome: StartOutcome, command: StartOrder, order: Order) -> None:
        if (
            outcome is StartOutcome.UNKNOWN
            and order.tries < START_TRIES
            and self._may_resend(order)
        ):
            # The worker takes the same run once only, so the order may be sent again.
            self._send_start(command, order)
            return
        order.answered_at = self._reactor.seconds()
        order.outcome = _after_resend(outcome) if order.tries > 1 else outcome
        if outcome is StartOutcome.FENCED:
            self._mark_fenced()
        if not self.stopped:
            self._on_start(self, command.task, order)

    def _may_resend(self, order: Order) -> bool:
        return not (self.stopped or self.fenced or order.stop_acknowledged) and self._may_act()

    def _stop_answered(self, acknowledged: bool, task: TaskId, run: int) -> None:
        order = self.orders.get(task)
        if not acknowledged or order is None or order.run != run or order.stop_acknowledged:
            return
        # A list that was asked for after the first acknowledged stop is final; later stops must
        # not put that off.
        order.stop_acknowledged = True
        order.answered_at = self._reactor.seconds()

    def _mark_fenced(self) -> None:
        if not self.fenced:
            logs.warn("worker_fenced_us", worker=self.worker.id, fence=self._fence)
        self.fenced = True

    def _extend(self, now: float) -> int:
        """Returns the next deadline on the worker's clock and remembers how long it may last."""
        clock = self._clock
        deadline_ms = clock.ms + round((now - clock.at + LEASE_S) * 1000)
        length_s = (deadline_ms - clock.ms) / 1000
        self._lease_over_at = max(self._lease_over_at, clock.at + _on_slow_clock(length_s))
        return deadline_ms


def _after_resend(outcome: StartOutcome) -> StartOutcome:
    """Returns what is known of a run after one of several copies of its order was answered."""
    if outcome in (StartOutcome.STARTED, StartOutcome.OUTDATED):
        # An outdated run was begun by an earlier copy and has ended; its end will be listed.
        return StartOutcome.STARTED
    if outcome is StartOutcome.FENCED:
        return outcome
    # This copy did nothing, but an earlier one may still be carried out.
    return StartOutcome.UNKNOWN


def _on_slow_clock(seconds: float) -> float:
    """Returns how long a span on the worker's clock may take on ours."""
    return seconds / (1 - CLOCK_SLOWNESS)
