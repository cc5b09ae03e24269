"""Calls to workers: starts, stops, holds and shares."""

from __future__ import annotations

from typing import Any

import orjson
from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.model import WorkerInfo
from geraniumtrack.jobs.worker_port import (
    HoldOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
    WorkerGone,
    WorkerReport,
)
from geraniumtrack.platform.boot import parse_address
from geraniumtrack.platform.wire import (
    InvalidBody,
    decode_worker_report,
    encode_json,
    task_name,
)
from geraniumtrack.transport.http_client import HttpClient, Response

__all__ = ["WorkerClient"]

ORDER_TIMEOUT_S = 0.35  # workers answer orders in milliseconds; a slow one is asked again
HOLD_MARGIN_S = 0.4  # on top of the time that a hold waits
MS_PER_S = 1000
WRONG_LIFE = 421  # another incarnation answers at this address
CONFLICT = 409

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
        self._clients: dict[tuple[str, int], HttpClient] = {}

    def start(self, worker: WorkerInfo, order: StartOrder) -> Deferred:
        """Orders a run; the Deferred of the StartOutcome does not fail."""
        body = {
            "task": task_name(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        fut = self._call(worker, "/run-start", body, ORDER_TIMEOUT_S)
        return fut.addCallbacks(_start_outcome, _start_failed)

    def stop(self, worker: WorkerInfo, order: StopOrder) -> Deferred:
        """Orders the end of a run; fires with whether that was acknowledged."""
        body = {"task": task_name(order.task), "run": order.run, "fencingToken": order.fence}
        return self._acknowledged(worker, "/run-stop", body)

    def pace(self, worker: WorkerInfo, order: StopOrder, percent: int) -> Deferred:
        """Sets the share at which a run works; fires with whether that was acknowledged."""
        body = {
            "task": task_name(order.task),
            "run": order.run,
            "percent": percent,
            "fencingToken": order.fence,
        }
        return self._acknowledged(worker, "/pace", body)

    def hold(self, worker: WorkerInfo, order: HoldOrder) -> Deferred:
        """Extends the lease and waits for an end; fires with a WorkerReport."""
        body = {"fencingToken": order.fence, "lastSeen": order.last_acked}
        if order.deadline_ms:
            body["deadlineMs"] = order.deadline_ms
        if order.wait_s:
            body["waitMs"] = round(order.wait_s * MS_PER_S)
        fut = self._call(worker, "/hold", body, order.wait_s + HOLD_MARGIN_S)
        return fut.addCallback(_worker_report, worker)

    def forget(self, worker: WorkerInfo) -> None:
        """Closes the connections to a worker's life."""
        client = self._clients.pop((worker.id, worker.born), None)
        if client is not None:
            client.close()

    def _acknowledged(self, worker: WorkerInfo, path: str, body: dict) -> Deferred:
        fut = self._call(worker, path, body, ORDER_TIMEOUT_S)
        return fut.addCallbacks(
            lambda response: response.status == 200, _not_acknowledged, errbackArgs=(path,)
        )

    def _call(self, worker: WorkerInfo, path: str, body: dict, timeout_s: float) -> Deferred:
        key = (worker.id, worker.born)
        client = self._clients.get(key)
        if client is None:
            client = HttpClient(self._reactor, parse_address(worker.address))
            self._clients[key] = client
        headers = {"Geraniumtrack-Expect-Instance": worker.id}
        return client.call(
            "POST", path, body=encode_json(body), headers=headers, timeout_s=timeout_s
        )


def _start_outcome(response: Response) -> StartOutcome:
    if response.status == 200:
        return StartOutcome.STARTED
    if response.status == CONFLICT:
        return _CONFLICTS.get(_reason(response), StartOutcome.REFUSED)
    if response.status in (429, 503, WRONG_LIFE):
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


def _worker_report(response: Response, worker: WorkerInfo) -> WorkerReport:
    if response.status == WRONG_LIFE:
        raise WorkerGone
    if response.status == CONFLICT and _reason(response) == "fence":
        return WorkerReport(0, (), (), fenced=True)
    if response.status != 200:
        raise CallFailed(f"the hold was answered with status {response.status}", sent=True)
    try:
        report = decode_worker_report(response.body)
    except InvalidBody as exc:
        raise CallFailed(exc.message, sent=True) from exc
    if report.born not in (0, worker.born):
        # The platform's guard names the worker's id only, and a worker may start again under it.
        raise WorkerGone
    return report


def _reason(response: Response) -> str:
    try:
        return str(orjson.loads(response.body).get("reason", ""))
    except (orjson.JSONDecodeError, AttributeError):
        return "unreadable"
