"""HTTP requests to targets, through treq.

An answer is passed on only if it carries the task's own id and its full length; anything else is
reported as an unusable answer, never as the caller's.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import treq
from treq.client import HTTPClient
from twisted.internet import error
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool, ResponseNeverReceived

from geraniumtrack import tracing

__all__ = ["TargetAnswer", "TargetClient", "TargetFailure", "TaskRequest"]

CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 3 * 1024 * 1024


class TaskRequest(NamedTuple):
    """A task as a target receives it."""

    task_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    lease_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A whole answer to the task's own request."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """No usable answer.

    Attributes:
        reason: Reason code: `refused`, `not_started`, `silent`, `broken` or `mismatched`.
        started: Whether the task may have started.
    """

    reason: str
    started: bool


class TargetClient:
    """Sends tasks to targets.

    Args:
        reactor: Twisted reactor.
        connections: Most idle connections kept for one target.
    """

    def __init__(self, reactor: Any, *, connections: int = 64) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections
        # A retry below this layer could run a non-idempotent task twice.
        self._pool.retryAutomatically = False
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._http = HTTPClient(agent)

    @tracing.hop("target")
    @inlineCallbacks
    def run(self, address: str, request: TaskRequest) -> Any:
        """Runs a task.

        Returns:
            A Deferred of a TargetAnswer or a TargetFailure.
        """
        headers = {
            "Task-Id": request.task_id,
            "Task-Lease": f"{request.lease_s:g}",
            "Task-Path": request.path,
            "Task-Method": request.method,
            "Content-Type": request.content_type,
            "traceparent": tracing.current(),
        }
        url = f"http://{address}/tasks/{request.task_id}"
        try:
            response = yield self._http.post(
                url, headers=headers, data=request.body, timeout=request.timeout_s, unbuffered=True
            )
            body = yield self._read(response, request.timeout_s)
        except (error.ConnectionRefusedError, error.TimeoutError, error.NoRouteError):
            return TargetFailure("refused", started=False)
        except ResponseNeverReceived:
            return TargetFailure("silent", started=True)
        except Exception:  # noqa: BLE001 - whatever broke, the task may have started
            return TargetFailure("broken", started=True)
        return _check(response, body, request)

    def renew_leases(self, address: str, task_ids: list[str], lease_s: float) -> Deferred:
        """Renews the leases of tasks; a failure is left to the next round."""
        body = {"tasks": task_ids, "lease_s": lease_s}
        fut = self._http.post(f"http://{address}/leases", json=body, timeout=CONNECT_TIMEOUT_S)
        fut.addCallback(treq.content)
        return fut.addErrback(lambda failure: None)

    def close(self) -> Deferred:
        """Closes idle connections."""
        return self._pool.closeCachedConnections()

    def _read(self, response: Any, timeout_s: float) -> Deferred:
        fut = treq.content(response)
        return fut.addTimeout(timeout_s, self._reactor)


def _check(response: Any, body: bytes, request: TaskRequest) -> TargetAnswer | TargetFailure:
    headers = response.headers
    if headers.getRawHeaders("Task-Id", [""])[0] != request.task_id:
        return TargetFailure("mismatched", started=True)
    if response.code == 503 and headers.hasHeader("Task-Not-Started"):
        return TargetFailure("not_started", started=False)
    length = headers.getRawHeaders("Content-Length", [""])[0]
    if length and int(length) != len(body):
        return TargetFailure("broken", started=True)
    content_type = headers.getRawHeaders("Content-Type", ["application/octet-stream"])[0]
    return TargetAnswer(response.code, content_type, body)
