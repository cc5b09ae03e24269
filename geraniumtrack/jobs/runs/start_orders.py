"""The start orders that the owner sends to one worker; an unanswered one is sent again."""

from __future__ import annotations

import math
from collections.abc import Callable, Container
from typing import Any

from geraniumtrack.jobs.runs.sent_orders import SentStart, outcome_after_resend
from geraniumtrack.jobs.runs.worker_port import (
    StartOrder,
    StartOutcome,
    WorkerPort,
    WorkerReport,
)
from geraniumtrack.jobs.state.model import TaskId, WorkerInfo

__all__ = ["StartOrders"]

MAX_START_SENDS = 3  # of one start order; workers answer in milliseconds or not at all


class StartOrders:
    """Sends start orders, and remembers them with their results.

    Args:
        reactor: Twisted reactor.
        worker: Returns the worker.
        port: Interface to the workers.
        may_send: Returns whether orders may leave. It is asked again just before one leaves.
        is_reachable: Returns whether the worker answers.
        on_answer: Called with the task and the order once it has an outcome, also if it could not
            be sent.

    Attributes:
        sent: Newest start order of this owner by task.
        last_left_at: Clock value in s at which the last order left, negative infinity if none did.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        worker: Callable[[], WorkerInfo],
        port: WorkerPort,
        may_send: Callable[[], bool],
        is_reachable: Callable[[], bool],
        on_answer: Callable[[TaskId, SentStart], None],
    ) -> None:
        self.sent: dict[TaskId, SentStart] = {}
        self.last_left_at = -math.inf
        self._reactor = reactor
        self._worker = worker
        self._port = port
        self._may_send = may_send
        self._is_reachable = is_reachable
        self._on_answer = on_answer

    def take_over(self, former: StartOrders) -> None:
        """Takes over the orders for the former incarnation, which may reach the present one."""
        self.sent, self.last_left_at = former.sent, former.last_left_at
        for sent in self.sent.values():
            sent.stop_acknowledged_at = None  # the former incarnation acknowledged it
            if sent.send_count > 1 and sent.outcome is StartOutcome.STARTED:
                # One copy was executed; the present incarnation may still execute another one.
                sent.outcome = StartOutcome.UNKNOWN

    def send(self, order: StartOrder) -> None:
        """Sends an order."""
        sent = SentStart(order.run, self._reactor.seconds(), order.checkpoint)
        self.sent[order.task] = sent
        self._send(order, sent)

    def reject(self, task: TaskId, run: int, checkpoint: str) -> None:
        """Records an order that can't be sent as one without effect."""
        now = self._reactor.seconds()
        sent = SentStart(run, now, checkpoint, answered_at=now, outcome=StartOutcome.UNHEALTHY)
        self.sent[task] = sent
        self._on_answer(task, sent)

    def forget(self, assigned: Container[TaskId]) -> None:
        """Forgets the answered orders of tasks that are not assigned to the worker any more.

        Args:
            assigned: The tasks that are.
        """
        self.sent = {
            task: sent
            for task, sent in self.sent.items()
            if sent.settled_at is None or task in assigned
        }

    def note_report(self, report: WorkerReport) -> None:
        """Notes the orders whose runs a report shows, so that no copy is sent any more."""
        for row in (*report.running, *report.ends):
            sent = self.sent.get(row.task)
            if sent is not None and sent.run == row.run:
                sent.seen = True

    def note_stop(self, task: TaskId, run: int) -> None:
        """Notes that the worker acknowledged a stop of a run."""
        sent = self.sent.get(task)
        if sent is None or sent.run != run or sent.stop_acknowledged:
            return
        # Later stops must not move the time after which a report is conclusive.
        sent.stop_acknowledged_at = self._reactor.seconds()

    def _send(self, order: StartOrder, sent: SentStart) -> None:
        sent.send_count += 1
        fut = self._port.start(self._worker(), order, may_send=lambda: self._leaves(sent))
        fut.addCallback(self._answered, order, sent)

    def _answered(self, outcome: StartOutcome, order: StartOrder, sent: SentStart) -> None:
        unclear = outcome is StartOutcome.UNKNOWN
        if unclear and sent.send_count < MAX_START_SENDS and self._may_resend(sent):
            # A worker starts the same run only once, so sending the order again is safe.
            self._send(order, sent)
            return
        sent.answered_at = self._reactor.seconds()
        sent.outcome = outcome_after_resend(outcome) if sent.send_count > 1 else outcome
        self._on_answer(order.task, sent)

    def _leaves(self, sent: SentStart) -> bool:
        """Whether an order leaves now; notes when it does."""
        if not self._may_leave(sent):
            return False
        sent.left_at = self.last_left_at = self._reactor.seconds()
        return True

    def _may_leave(self, sent: SentStart) -> bool:
        """Whether an order may leave, on a connection that may have taken long to open."""
        return not (sent.seen or sent.stop_acknowledged) and self._may_send()

    def _may_resend(self, sent: SentStart) -> bool:
        # While the worker is unreachable, another incarnation may have its address.
        return self._is_reachable() and self._may_leave(sent)
