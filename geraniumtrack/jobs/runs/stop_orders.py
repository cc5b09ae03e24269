"""The stop orders that the owner sends to one worker, which are repeated until acknowledged."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from geraniumtrack import logs
from geraniumtrack.jobs.runs.sent_orders import SentStop, StopReason
from geraniumtrack.jobs.runs.worker_port import RunOrder, WorkerPort
from geraniumtrack.jobs.state.model import TaskId, WorkerInfo

__all__ = ["StopOrders"]

MAX_STOP_SENDS = 8  # of one stop order that is repeated; then the next report decides
STOP_RESEND_DELAY_S = 0.1  # after a stop order without an acknowledgement


class StopOrders:
    """Sends stop orders; the final ones again until they are acknowledged.

    Args:
        reactor: Twisted reactor.
        worker: Returns the worker.
        port: Interface to the workers.
        fence: Fencing token of the owner.
        is_open: Returns whether the session with the worker is open.
        may_act: Returns whether the owner holds the leadership lease.
        on_acknowledged: Called with the task and the run of each acknowledged order.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        worker: Callable[[], WorkerInfo],
        port: WorkerPort,
        fence: int,
        is_open: Callable[[], bool],
        may_act: Callable[[], bool],
        on_acknowledged: Callable[[TaskId, int], None],
    ) -> None:
        self._reactor = reactor
        self._worker = worker
        self._port = port
        self._fence = fence
        self._is_open = is_open
        self._may_act = may_act
        self._on_acknowledged = on_acknowledged
        self._newest: dict[tuple[TaskId, int], SentStop] = {}  # by task and run

    def send(self, task: TaskId, run: int, reason: StopReason, *, again_after_s: float) -> bool:
        """Orders a run to stop, unless such an order was sent less than `again_after_s` ago.

        If the reason is final, the order is sent again until it is acknowledged, at most
        MAX_STOP_SENDS times; an earlier order for another reason doesn't hold it back.

        Returns:
            Whether an order was sent.
        """
        now = self._reactor.seconds()
        last = self._newest.get((task, run))
        replaces_last = last is not None and reason.is_final and not last.reason.is_final
        if last is not None and now < last.sent_at + again_after_s and not replaces_last:
            return False
        if not self._is_open() or not self._may_act():
            return False
        self._log_stop("run_stopping", task, run, reason=reason)
        sent = SentStop(reason, now, MAX_STOP_SENDS if reason.is_final else 1)
        self._newest[task, run] = sent
        self._send(RunOrder(task, run, self._fence), sent)
        return True

    def forget_before(self, at: float) -> None:
        """Forgets the orders that were last sent before the clock value `at` in seconds."""
        self._newest = {key: stop for key, stop in self._newest.items() if stop.sent_at > at}

    def _send(self, order: RunOrder, sent: SentStop) -> None:
        replaced = self._newest.get((order.task, order.run)) is not sent
        if not self._is_open() or replaced:
            return
        sent.sent_at = self._reactor.seconds()
        if not self._may_act():
            self._resend(order, sent)
            return
        sent.sends_left -= 1
        fut = self._port.stop(self._worker(), order, may_send=self._may_act)
        fut.addCallback(self._answered, order, sent)

    def _resend(self, order: RunOrder, sent: SentStop) -> None:
        self._reactor.callLater(STOP_RESEND_DELAY_S, self._send, order, sent)

    def _answered(self, acknowledged: bool, order: RunOrder, sent: SentStop) -> None:
        if acknowledged:
            self._on_acknowledged(order.task, order.run)
            return
        self._log_stop("stop_unanswered", order.task, order.run)
        if sent.sends_left:
            self._resend(order, sent)

    def _log_stop(self, event: str, task: TaskId, run: int, **pairs: Any) -> None:
        logs.event(
            event,
            job=task.job,
            task=".".join(map(str, task[1:])),
            run=run,
            worker=self._worker().id,
            **pairs,
        )
