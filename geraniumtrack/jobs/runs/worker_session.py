"""The owner's session with one worker: its leases, its reports and the orders sent to it.

At most one hold is in flight. The next one is sent after the answer, but only once the run ends in
that answer are committed; the hold after the first answer does not wait for them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Mapping
from typing import Any

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.runs.end_evidence import unproven_start_at
from geraniumtrack.jobs.runs.sent_orders import SentStart, StopReason
from geraniumtrack.jobs.runs.start_orders import StartOrders
from geraniumtrack.jobs.runs.stop_orders import StopOrders
from geraniumtrack.jobs.runs.worker_lease import LEASE_S, MAX_ORDER_DELAY_S, WorkerLease
from geraniumtrack.jobs.runs.worker_port import (
    HoldOrder,
    RunningTask,
    RunOrder,
    StartOrder,
    StartOutcome,
    WorkerMismatch,
    WorkerPort,
    WorkerReport,
    WorkerRestarted,
)
from geraniumtrack.jobs.state.model import TaskId, WorkerInfo

__all__ = ["WorkerSession"]

HOLD_WAIT_S = 1.2
FREQUENT_HOLD_WAIT_S = 0.5  # the period that a reported `metric` covers
FULL_PERCENT = 100
HOLD_RETRY_DELAY_S = 0.25
MAX_SILENCE_S = 2.5  # longer than a hold takes: its wait and the timeout margin of the call


class WorkerSession:
    """The owner's session with one incarnation of a worker.

    Args:
        reactor: Twisted reactor.
        worker: The incarnation of the worker.
        port: Interface to the workers.
        fence: Fencing token of the owner.
        longest_lease_s: Longest lease in s that workers grant their runs.
        may_act: Returns whether the owner holds the leadership lease. It is asked again just before
            an order leaves.
        last_committed_end: Returns the number of the worker's last committed run end, 0 if none.
        on_report: Called with the session, a report and the clock value at which its hold was sent.
        on_start_answer: Called with the session, the task id and the SentStart once a start order
            has an outcome, also if it could not be sent.
        on_ended: Called when the worker has certainly ended: one with another id answered at its
            address.
        predecessor: The session with the incarnation before, if it had the same id.

    Attributes:
        worker: The incarnation of the worker.
        running: Runs in the worker's last report, by task.
        leaving: Whether the worker announced that it shuts down.
        sequence: Sequence number of its last heartbeat.
        last_heartbeat_at: Clock value in s of its last heartbeat.
        last_answer_at: Clock value in s of its last answer to a hold.
        opened_at: Clock value in s at which the session was created.
        reported: Whether it has answered a hold of this session.
        unreachable_since: Clock value in s at which the first hold failed after an answered one,
            infinite while the worker is reachable.
        closed_by_worker_at: Clock value in s at which the worker was lost because it closed or
            refused the connection of a hold, negative infinity if it was only silent or never lost.
        first_answer_at: Clock value in s of its first answer to a hold, infinite before.
        fenced: Whether it has answered that another owner used a higher fencing token.
        closed: Whether the session is closed.
        backoff_until: Clock value in s until which it gets no starts, after a start order whose
            outcome was NO_ROOM or UNHEALTHY.
        quarantined_until: Clock value in s until which it is quarantined.
        pace_percents: Ordered pace in percent of full speed by task and run, if it was changed.
        frequent_reports: Whether holds wait for a shorter time, so that reports come more often.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        worker: WorkerInfo,
        port: WorkerPort,
        fence: int,
        longest_lease_s: float,
        may_act: Callable[[], bool],
        last_committed_end: Callable[[], int],
        on_report: Callable[[WorkerSession, WorkerReport, float], None],
        on_start_answer: Callable[[WorkerSession, TaskId, SentStart], None],
        on_ended: Callable[[WorkerSession], None],
        predecessor: WorkerSession | None = None,
    ) -> None:
        now = reactor.seconds()
        self.worker = worker
        self.running: dict[TaskId, RunningTask] = {}
        self.leaving = False
        self.sequence = -1
        self.last_heartbeat_at = now
        self.last_answer_at = now
        self.opened_at = now
        self.reported = False
        self.first_answer_at = math.inf
        self.unreachable_since = math.inf
        self.closed_by_worker_at = -math.inf
        self.fenced = False
        self.closed = False
        self.backoff_until = 0.0
        self.quarantined_until = 0.0
        self.frequent_reports = False
        self.pace_percents: dict[tuple[TaskId, int], int] = {}
        self._reactor = reactor
        self._port = port
        self._fence = fence
        self._may_act = may_act
        self._last_committed_end = last_committed_end
        self._on_report = on_report
        self._on_start_answer = on_start_answer
        self._on_ended = on_ended
        self._lease = WorkerLease(now, longest_s=longest_lease_s)
        self._starts = StartOrders(
            reactor,
            worker=lambda: self.worker,
            port=port,
            may_send=lambda: self._is_open() and may_act(),
            is_reachable=lambda: self.reachable,
            on_answer=self._start_answered,
        )
        self._stops = StopOrders(
            reactor,
            worker=lambda: self.worker,
            port=port,
            fence=fence,
            is_open=self._is_open,
            may_act=may_act,
            on_acknowledged=self._stop_acknowledged,
        )
        self._hold_in_flight = False
        self._hold_timer: Any = None
        self._report_requested_at = -math.inf
        self._hold_left_at = -math.inf  # the last one with a deadline
        if predecessor is not None:
            self._starts.take_over(predecessor._starts)
            self._lease.extend_to_longest(now)

    @property
    def sent_starts(self) -> Mapping[TaskId, SentStart]:
        """Newest start order of this owner by task."""
        return self._starts.sent

    @property
    def key(self) -> tuple[str, int]:
        """Id and incarnation of the worker."""
        return self.worker.id, self.worker.born

    @property
    def silent(self) -> bool:
        """Whether the worker has not answered for longer than a hold takes."""
        return self._reactor.seconds() > self.last_answer_at + MAX_SILENCE_S

    @property
    def down(self) -> bool:
        """Whether the worker is silent or its last hold failed."""
        return self.silent or not self.reachable

    @property
    def lease_expired(self) -> bool:
        """Whether the lease of the incarnation has certainly expired; see also `run_expired`."""
        return self._lease.expired(self._reactor.seconds())

    @property
    def reachable(self) -> bool:
        """Whether the last hold was answered by this incarnation, or is the first one."""
        return self.unreachable_since == math.inf

    @property
    def usable(self) -> bool:
        """Whether tasks may be started on the worker."""
        now = self._reactor.seconds()
        return (
            self.reported
            and not (self.worker.draining or self.leaving or self.fenced or self.closed)
            and not self.silent
            # Another incarnation may have this address by now; the next answer to a hold shows it.
            and self.reachable
            and self._lease.has_reading
            and now >= self.backoff_until
            and now >= self.quarantined_until
        )

    def run_expired(self, task: TaskId, run: int) -> bool:
        """Whether the lease of an assigned run on a silent worker has certainly expired.

        A run that the last report doesn't show may be on a later incarnation with the same id.
        """
        row, order = self.running.get(task), self.sent_starts.get(task)
        start_left_at = unproven_start_at(
            order if order is not None and order.run == run else None,
            reported=row is not None and row.run == run,
            requested_at=self._report_requested_at,
            opened_at=self.opened_at,
        )
        if start_left_at > -math.inf:
            # Later orders with a deadline extend the lease of all runs on that incarnation.
            start_left_at = max(start_left_at, self._starts.last_left_at, self._hold_left_at)
        return self._lease.expired(self._reactor.seconds(), start_left_at=start_left_at)

    def open(self) -> None:
        """Sends the first hold."""
        self._send_hold()

    def close(self) -> None:
        """Closes the session; an answer to a hold in flight is ignored."""
        self.closed = True
        if self._hold_timer is not None and self._hold_timer.active():
            self._hold_timer.cancel()
        self._port.disconnect(self.worker)

    def start(self, task: TaskId, run: int, payload: str, checkpoint: str, ticket: str) -> None:
        """Sends the order for a run whose start is already committed."""
        if not self._may_act() or not self._lease.has_reading:
            self._starts.reject(task, run, checkpoint)
            return
        deadline_ms = self._lease.extend(self._reactor.seconds())
        self._starts.send(
            StartOrder(task, run, payload, deadline_ms, self._fence, checkpoint, ticket)
        )

    def forget_starts(self, assigned: Container[TaskId]) -> None:
        """Forgets the answered start orders of tasks that are not assigned to the worker any more.

        Args:
            assigned: The tasks that are.
        """
        self._starts.forget(assigned)

    def stop(self, task: TaskId, run: int, reason: StopReason, *, again_after_s: float) -> bool:
        """Orders a run to stop, see `StopOrders.send`; returns whether an order was sent."""
        return self._stops.send(task, run, reason, again_after_s=again_after_s)

    def pace_percent(self, task: TaskId) -> int:
        """Returns the ordered pace of a task in percent of full speed; 0 if it is not running."""
        row = self.running.get(task)
        return self.pace_percents.get((task, row.run), FULL_PERCENT) if row is not None else 0

    def pace(self, task: TaskId, run: int, percent: int) -> None:
        """Orders the pace of a best-effort task, in percent of full speed."""
        # An order that was executed late may have changed the pace since.
        as_reported = self.running[task].percent == percent
        if (self.pace_percent(task) == percent and as_reported) or not self._may_act():
            return
        before = self.pace_percents.get((task, run), FULL_PERCENT)
        self.pace_percents[task, run] = percent
        order = RunOrder(task, run, self._fence)
        fut = self._port.pace(self.worker, order, percent, may_send=self._may_act)
        fut.addCallback(self._pace_answered, (task, run), before)

    def _pace_answered(self, acknowledged: bool, key: tuple[TaskId, int], before: int) -> None:
        if not acknowledged:
            self.pace_percents[key] = before

    def _send_hold(self) -> None:
        self._hold_timer = None
        if self.closed or self._hold_in_flight or self.fenced:
            return
        if not self._may_act():
            self._hold_timer = self._reactor.callLater(HOLD_RETRY_DELAY_S, self._send_hold)
            return
        now = self._reactor.seconds()
        self._hold_in_flight = True
        # Without a reading of the worker's clock no deadline can be computed. While the worker is
        # unreachable, a hold does not extend the lease: even an unanswered hold may have reached
        # the worker, and its runs count as lost only after the lease has expired.
        reachable = self._lease.has_reading and self.reachable
        wait_s = (
            (FREQUENT_HOLD_WAIT_S if self.frequent_reports else HOLD_WAIT_S) if reachable else 0.0
        )
        deadline_ms = self._lease.extend(now) if reachable else 0
        # A later incarnation, which numbers its ends anew, may receive the first hold and those
        # sent while the worker is unreachable. It would forget ends that it hasn't reported.
        known_incarnation = self.reported and self.reachable
        last_acked = self._last_committed_end() if known_incarnation else 0
        order = HoldOrder(self._fence, last_acked, wait_s, deadline_ms)
        fut = self._port.hold(self.worker, order, may_send=lambda: self._hold_leaves(order))
        fut.addCallbacks(self._hold_answered, self._hold_failed, callbackArgs=(now,))

    def _hold_leaves(self, order: HoldOrder) -> bool:
        """Whether a hold may leave now; notes when one with a deadline does."""
        if not self._may_act():
            return False
        if order.deadline_ms:
            self._hold_left_at = self._reactor.seconds()
        return True

    def send_next_hold(self) -> None:
        """Sends the next hold, once the run ends of the last report are committed."""
        self._send_hold()

    def _hold_answered(self, report: WorkerReport, sent_at: float) -> None:
        self._hold_in_flight = False
        if self.closed:
            return
        if report.fenced:
            self._mark_fenced()
            return
        now = self._reactor.seconds()
        self.last_answer_at = now
        self._lease.set_reading(report.clock_ms, now)
        self._set_reachable(True)
        first, self.reported = not self.reported, True
        if first:
            self.first_answer_at = now
        self.running = {row.task: row for row in report.running}
        self._report_requested_at = sent_at
        self._starts.note_report(report)
        self._stops.forget_before(now - LEASE_S)
        self.pace_percents = {
            key: percent for key, percent in self.pace_percents.items() if key[0] in self.running
        }
        self._on_report(self, report, sent_at)
        # The next hold is to acknowledge these run ends, so it waits until they are committed. The
        # hold after the first answer is sent at once even so, since it is the first that can extend
        # the lease.
        if first or not report.ends:
            self._send_hold()

    def _hold_failed(self, failure: Any) -> None:
        self._hold_in_flight = False
        if self.closed:
            return
        if failure.check(WorkerMismatch):
            self._on_ended(self)
            return
        if failure.check(WorkerRestarted):
            self._extend_lease_of_successor()
            self._retry_hold("another incarnation answered")
            return
        failure.trap(CallFailed)
        if failure.value.closed and self.reachable:
            self.closed_by_worker_at = self._reactor.seconds()
        # A refused connection is no proof of an end, also not after an announcement: a partition
        # that resets connections refuses them too, and the worker runs on behind it.
        self._retry_hold(failure.getErrorMessage())

    def _extend_lease_of_successor(self) -> None:
        """Extends the lease, as another incarnation may run what was ordered here.

        Orders with a deadline leave only while the worker is reachable, so later answers of that
        incarnation extend nothing. Otherwise the lease would never end if it can't be registered.
        """
        now = self._reactor.seconds()
        if now <= min(self.unreachable_since, now) + MAX_ORDER_DELAY_S:
            self._lease.extend_to_longest(now)

    def _retry_hold(self, detail: str) -> None:
        self._set_reachable(False, detail)
        self._hold_timer = self._reactor.callLater(HOLD_RETRY_DELAY_S, self._send_hold)

    def _set_reachable(self, reachable: bool, detail: str = "") -> None:
        if reachable == self.reachable:
            return
        if reachable:
            self.unreachable_since = math.inf
            logs.event("worker_regained", worker=self.worker.id, born=self.worker.born)
        else:
            self.unreachable_since = self._reactor.seconds()
            logs.warn("worker_lost", worker=self.worker.id, born=self.worker.born, detail=detail)

    def _start_answered(self, task: TaskId, sent: SentStart) -> None:
        if sent.outcome is StartOutcome.FENCED:
            self._mark_fenced()
        if not self.closed:
            self._on_start_answer(self, task, sent)

    def _stop_acknowledged(self, task: TaskId, run: int) -> None:
        # A later incarnation, which takes over the start orders, has not acknowledged the stop.
        if not self.closed:
            self._starts.note_stop(task, run)

    def _is_open(self) -> bool:
        return not (self.closed or self.fenced)

    def _mark_fenced(self) -> None:
        if not self.fenced:
            logs.warn("worker_fenced_us", worker=self.worker.id, fence=self._fence)
        self.fenced = True
