"""Client of the workers: sends orders to start, stop and pace runs, and hold orders.

A hold order may extend the lease of the runs on the worker, and waits for the next run end; see
`jobs.worker_port.HoldOrder`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import deferLater

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.runs.worker_port import (
    HoldOrder,
    RunOrder,
    StartOrder,
    StartOutcome,
    WorkerMismatch,
    WorkerReport,
    WorkerRestarted,
)
from geraniumtrack.jobs.state.model import WorkerInfo
from geraniumtrack.platform.boot import parse_address
from geraniumtrack.platform.wire import InvalidBody, encode_json
from geraniumtrack.platform.worker_reports import (
    UnreadableRow,
    decode_worker_report,
    encode_task_id,
)
from geraniumtrack.transport.http_client import HttpClient, Response

__all__ = ["WorkerClient"]

# Workers answer orders in milliseconds. A start order without an answer may be sent again, with at
# most `jobs.runs.start_orders.MAX_START_SENDS` sends in all.
ORDER_TIMEOUT_S = 0.35
HOLD_TIMEOUT_MARGIN_S = 0.4  # timeout of a hold, beyond the wait that the order allows
# A worker answers holds at once while it has run ends that are not acknowledged. A report without
# readable ones is passed on after this delay, because the next hold follows at once.
UNREADABLE_ENDS_DELAY_S = 0.25
MS_PER_S = 1000
MISDIRECTED_REQUEST = 421  # HTTP status: a worker with another id has this address
CONFLICT = 409  # HTTP status

# Outcomes of a start order by the reason in a reply with status 409.
_CONFLICTS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OUTDATED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class WorkerClient:
    """Implements `WorkerPort`.

    Args:
        reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        # By worker id, incarnation and address: a heartbeat of another writer may name another one.
        self._clients: dict[tuple[str, int, str], HttpClient] = {}
        # Numbers of the run ends left out of the last report, by worker id and incarnation.
        self._left_out_ends: dict[tuple[str, int], set[int]] = {}

    def start(
        self, worker: WorkerInfo, order: StartOrder, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Orders the start of a run.

        Returns:
            A Deferred of a StartOutcome; the Deferred does not fail.
        """
        body = {
            "task": encode_task_id(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        fut = self._call(worker, "/run-start", body, ORDER_TIMEOUT_S, may_send)
        return fut.addCallbacks(_start_outcome, _start_failed)

    def stop(
        self, worker: WorkerInfo, order: RunOrder, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Orders the stop of a run; returns a Deferred of whether the worker acknowledged it."""
        body = {"task": encode_task_id(order.task), "run": order.run, "fencingToken": order.fence}
        return self._send_order(worker, "/run-stop", body, may_send)

    def pace(
        self, worker: WorkerInfo, order: RunOrder, percent: int, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Sets the pace of a run; returns a Deferred of whether the worker acknowledged it."""
        body = {
            "task": encode_task_id(order.task),
            "run": order.run,
            "percent": percent,
            "fencingToken": order.fence,
        }
        return self._send_order(worker, "/pace", body, may_send)

    def hold(
        self, worker: WorkerInfo, order: HoldOrder, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Sends a hold order, a long poll for the next run end on the worker.

        The order extends the lease of the worker's runs if it has a deadline.

        Returns:
            A Deferred of a WorkerReport. It fails with CallFailed, WorkerMismatch or
            WorkerRestarted.
        """
        body = {"fencingToken": order.fence, "lastSeen": self._last_acked(worker, order)}
        if order.deadline_ms:
            body["deadlineMs"] = order.deadline_ms
        if order.wait_s:
            body["waitMs"] = round(order.wait_s * MS_PER_S)
        fut = self._call(worker, "/hold", body, order.wait_s + HOLD_TIMEOUT_MARGIN_S, may_send)
        return fut.addCallback(self._hold_answered, worker)

    def disconnect(self, worker: WorkerInfo) -> None:
        """Closes the connections to an incarnation of a worker."""
        self._left_out_ends.pop((worker.id, worker.born), None)
        client = self._clients.pop((worker.id, worker.born, worker.address), None)
        if client is not None:
            client.close()

    def _last_acked(self, worker: WorkerInfo, order: HoldOrder) -> int:
        """Returns the number up to which a hold acknowledges run ends.

        Ends that were left out and directly follow the last committed one are acknowledged too, or
        the worker would list them for good, and with 500 of them no later end. Their runs are also
        missing among the running ones, so a task that was assigned to the worker is requeued.
        """
        left_out = self._left_out_ends.get((worker.id, worker.born), ())
        number = order.last_acked
        while number + 1 in left_out:
            number += 1
        return number

    def _hold_answered(self, response: Response, worker: WorkerInfo) -> WorkerReport | Deferred:
        unreadable: list[UnreadableRow] = []
        report = _worker_report(response, worker, unreadable.append)
        for row in unreadable:
            logs.warn("report_row_unreadable", worker=worker.id, detail=row.detail)
        left_out = [row for row in unreadable if row.left_out_end]
        self._left_out_ends.pop((worker.id, worker.born), None)
        if left_out:
            self._left_out_ends[worker.id, worker.born] = {row.end_number for row in left_out}
        if left_out and not report.ends:
            return deferLater(self._reactor, UNREADABLE_ENDS_DELAY_S, lambda: report)
        return report

    def _send_order(
        self, worker: WorkerInfo, path: str, body: dict, may_send: Callable[[], bool]
    ) -> Deferred:
        fut = self._call(worker, path, body, ORDER_TIMEOUT_S, may_send)
        return fut.addCallbacks(
            lambda response: response.status == 200, _not_acknowledged, errbackArgs=(path,)
        )

    def _call(
        self,
        worker: WorkerInfo,
        path: str,
        body: dict,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> Deferred:
        key = (worker.id, worker.born, worker.address)
        try:
            client = self._clients.get(key)
            if client is None:
                client = HttpClient(self._reactor, parse_address(worker.address))
                self._clients[key] = client
            headers = {"Geraniumtrack-Expect-Instance": worker.id}
            return client.call(
                "POST",
                path,
                body=encode_json(body),
                headers=headers,
                timeout_s=timeout_s,
                may_send=may_send,
            )
        except (ValueError, orjson.JSONEncodeError) as exc:  # of id, address or body
            return fail(CallFailed(f"the order cannot be encoded: {exc!r}", sent=False))


def _start_outcome(response: Response) -> StartOutcome:
    if response.status == 200:
        return StartOutcome.STARTED
    if response.status == CONFLICT:
        return _CONFLICTS.get(_conflict_reason(response), StartOutcome.REFUSED)
    if response.status in (429, 503, MISDIRECTED_REQUEST):
        return StartOutcome.UNHEALTHY
    logs.warn("start_answer", status=response.status, body=response.body[:200])
    return StartOutcome.REFUSED if response.status == 400 else StartOutcome.UNKNOWN


def _start_failed(failure: Any) -> StartOutcome:
    failure.trap(CallFailed)
    return StartOutcome.UNKNOWN if failure.value.sent else StartOutcome.UNHEALTHY


def _not_acknowledged(failure: Any, path: str) -> bool:
    failure.trap(CallFailed)
    logs.event("order_unanswered", path=path, detail=failure.getErrorMessage())
    return False


def _worker_report(
    response: Response, worker: WorkerInfo, on_unreadable: Callable[[UnreadableRow], None]
) -> WorkerReport:
    if response.status == MISDIRECTED_REQUEST:
        raise WorkerMismatch
    if response.status == CONFLICT and _conflict_reason(response) == "fence":
        return WorkerReport(0, (), (), fenced=True)
    if response.status != 200:
        raise CallFailed(f"the worker answered the hold with status {response.status}", sent=True)
    try:
        report = decode_worker_report(response.body, on_unreadable)
    except InvalidBody as exc:
        raise CallFailed(exc.message, sent=True) from exc
    if report.born not in (0, worker.born):
        # The header Geraniumtrack-Expect-Instance contains only the worker's id, and a worker may
        # restart with the same id.
        raise WorkerRestarted
    return report


def _conflict_reason(response: Response) -> str:
    try:
        return str(orjson.loads(response.body).get("reason", ""))
    except (orjson.JSONDecodeError, AttributeError):
        return "unreadable"
