"""HTTP client for targets: runs tasks on them and probes tasks that take long.

Tasks are sent with Twisted's Agent and not with treq, whose handling of URLs and cookies took a
third of an entry's time. Probes and cancellations use treq.

An established connection can stop delivering data for good while new connections work. Tasks
without a response are therefore probed on a new connection: the probe asks the target which tasks
it runs and renews their leases. If the target does not run a task, the connection of that task is
considered dead, and all connections kept open to the target are replaced.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from treq.client import HTTPClient
from twisted.internet import error
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from geraniumtrack import tracing
from geraniumtrack.transport.target_exchange import (
    BodyProducer,
    TargetFailure,
    TaskRequest,
    check_response,
    read_body,
)

__all__ = ["TargetClient"]

CONNECT_TIMEOUT_S = 2.0
# Well below the idle timeouts of HTTP servers, so that the client closes idle connections first.
IDLE_TIMEOUT_S = 20.0
# Delay from sending a task to its first probe. It is also the time for which a task is considered
# alive after response data arrived, even if the target does not list the task as running.
PROBE_DELAY_S = 1.0
PROBE_INTERVAL_S = 2.5  # a quarter of a task lease of 10 s; shorter leases are probed more often
# Delay after a probe that failed or did not list the task. Tasks of one target that are due within
# this time of each other share a probe.
PROBE_RETRY_DELAY_S = 0.5
PROBE_TIMEOUT_S = 1.5
# Successive probes that must fail, or not list a task, before the task is aborted. One is not
# enough, because a response may be in transit while the target is probed.
PROBE_FAILURE_THRESHOLD = 2
CANCEL_TIMEOUT_S = 1.0
CANCEL_GRACE_S = 0.3  # for the response to a cancelled task, so that its connection can be reused
RESERVED_CONNECTIONS = 9  # of the connections to a target, for probes and cancellations


@dataclass(slots=True)
class _InFlightTask:
    """A task that was sent and has no complete response.

    Attributes:
        request: The task.
        probe_at: Clock value in seconds at which the task is to be probed.
        pending: Deferred that `_send_task` waits for; cancelling it closes the connection.
        end_reason: Reason code if this client aborted the task, or an empty string.
        missed_probes: Number of successive probe replies that did not list the task as running,
            while no response data arrived.
        last_data_at: Clock value in seconds at which response data last arrived.
    """

    request: TaskRequest
    probe_at: float
    pending: Deferred | None = None
    end_reason: str = ""
    missed_probes: int = 0
    last_data_at: float = float("-inf")

    def abort(self, end_reason: str) -> None:
        """Closes the connection of the task and records the reason unless there is one already."""
        if not self.end_reason:
            self.end_reason = end_reason
            if self.pending is not None:
                self.pending.cancel()


@dataclass(slots=True)
class _Target:
    """Connections and tasks of one target.

    Attributes:
        address: Host and port.
        pool: Connections that are kept open.
        agent: Agent that uses the pool.
        in_flight: Tasks without a complete response, by `TaskRequest.task_id`.
        timer: Call that sends the next probe; None if no probe is scheduled or in progress.
        failed_probes: Number of successive probes without a usable reply.
    """

    address: str
    pool: HTTPConnectionPool
    agent: Agent
    in_flight: dict[str, _InFlightTask] = field(default_factory=dict)
    timer: Any = None
    failed_probes: int = 0


class TargetClient:
    """Runs tasks on targets.

    Args:
        reactor: Twisted reactor.
        connections: Maximum number of connections to one target.
        may_renew: Returns whether the lease of a task may be renewed, given `TaskRequest.task_id`.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        connections: int = 64,
        may_renew: Callable[[str], bool] = lambda task_id: True,
    ) -> None:
        self._reactor = reactor
        self._connections = connections
        self._may_renew = may_renew
        self._targets: dict[str, _Target] = {}
        # Probes detect dead connections in the pool of a target, so they use new connections.
        probe_pool = HTTPConnectionPool(reactor, persistent=False)
        self._probe_client = HTTPClient(
            Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=probe_pool)
        )

    @tracing.hop("target")
    @inlineCallbacks
    def run(self, address: str, request: TaskRequest) -> Any:
        """Sends a task to a target and waits for the response.

        Returns:
            A Deferred of a TargetAnswer or a TargetFailure.
        """
        target = self._get_target(address)
        if len(target.in_flight) >= self._connections - RESERVED_CONNECTIONS:
            return TargetFailure("not_started", started=False)
        task = _InFlightTask(request, self._reactor.seconds() + PROBE_DELAY_S)
        target.in_flight[request.task_id] = task
        deadline = self._reactor.callLater(request.timeout_s, task.abort, "deadline")
        self._schedule_probe(target)
        try:
            outcome = yield from self._send_task(target, task)
        finally:
            del target.in_flight[request.task_id]
            if deadline.active():
                deadline.cancel()
        if isinstance(outcome, TargetFailure) and outcome.reason in ("mismatched", "broken"):
            self._replace_connections(target)
        return outcome

    @inlineCallbacks
    def cancel(self, address: str, task_id: str) -> Any:
        """Asks a target to stop a task, given its `TaskRequest.task_id`.

        The task fails with the reason `cancelled` at once if this request fails, else if its
        response does not arrive within `CANCEL_GRACE_S`.
        """
        target = self._get_target(address)
        task = target.in_flight.get(task_id)
        url = f"http://{address}/tasks/{task_id}"
        try:
            http = HTTPClient(target.agent)
            response = yield http.delete(url, timeout=CANCEL_TIMEOUT_S, unbuffered=True)
            yield read_body(response).addTimeout(CANCEL_TIMEOUT_S, self._reactor)
        except Exception:  # noqa: BLE001 - if the request was lost, the lease ends the task
            if task is not None:
                task.abort("cancelled")
            return
        if task is not None and target.in_flight.get(task_id) is task:
            self._reactor.callLater(CANCEL_GRACE_S, task.abort, "cancelled")

    @inlineCallbacks
    def close(self) -> Any:
        """Stops the probes and closes idle connections."""
        for target in self._targets.values():
            if target.timer is not None and target.timer.active():
                target.timer.cancel()
            yield target.pool.closeCachedConnections()

    def _send_task(self, target: _Target, task: _InFlightTask) -> Any:
        request = task.request
        headers = Headers(
            {
                b"Task-Id": [request.task_id.encode()],
                b"Task-Lease": [b"%g" % request.lease_s],
                b"Task-Path": [request.path.encode()],
                b"Task-Method": [request.method.encode()],
                b"Content-Type": [request.content_type.encode()],
                b"traceparent": [tracing.current_traceparent().encode()],
            }
        )
        url = f"http://{target.address}/tasks/{request.task_id}".encode()
        try:
            task.pending = target.agent.request(b"POST", url, headers, BodyProducer(request.body))
            response = yield task.pending
            task.pending = read_body(response, lambda: self._record_progress(task))
            body = yield task.pending
        except (error.ConnectError, error.NoRouteError):
            if task.end_reason:
                return TargetFailure(task.end_reason, started=True)
            return TargetFailure("refused", started=False)
        except Exception:  # noqa: BLE001 - after any other error the task may have started
            return TargetFailure(task.end_reason or "broken", started=True)
        return check_response(response, body, request)

    def _record_progress(self, task: _InFlightTask) -> None:
        task.last_data_at = self._reactor.seconds()

    def _get_target(self, address: str) -> _Target:
        target = self._targets.get(address)
        if target is None:
            target = self._targets[address] = _Target(address, *self._make_pool())
        return target

    def _make_pool(self) -> tuple[HTTPConnectionPool, Agent]:
        pool = HTTPConnectionPool(self._reactor, persistent=True)
        pool.maxPersistentPerHost = self._connections
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        # A retry by the pool could run a task twice that is not idempotent.
        pool.retryAutomatically = False
        return pool, Agent(self._reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)

    def _replace_connections(self, target: _Target) -> None:
        old = target.pool
        target.pool, target.agent = self._make_pool()
        old.closeCachedConnections().addErrback(lambda _: None)

    def _schedule_probe(self, target: _Target) -> None:
        if not target.in_flight:
            return
        due = min(task.probe_at for task in target.in_flight.values())
        delay = max(0.0, due - self._reactor.seconds())
        if target.timer is None:
            target.timer = self._reactor.callLater(delay, self._probe, target)
        elif target.timer.active() and target.timer.getTime() > due + PROBE_RETRY_DELAY_S:
            target.timer.reset(delay)

    def _probe(self, target: _Target) -> None:
        """Asks a target which of the due tasks it runs, and renews their leases."""
        now = self._reactor.seconds()
        due = [
            task for task in target.in_flight.values() if task.probe_at <= now + PROBE_RETRY_DELAY_S
        ]
        if not due:
            target.timer = None
            self._schedule_probe(target)
            return
        ids = [task.request.task_id for task in due]
        renew = [task_id for task_id in ids if self._may_renew(task_id)]
        lease_s = min(task.request.lease_s for task in due)
        data = json.dumps({"tasks": ids, "renew": renew, "lease_s": lease_s}).encode()
        headers = {"Content-Type": "application/json"}
        url = f"http://{target.address}/leases"
        fut = self._probe_client.post(
            url, data=data, headers=headers, timeout=PROBE_TIMEOUT_S, unbuffered=True
        )
        fut.addCallback(read_body)
        fut.addTimeout(PROBE_TIMEOUT_S, self._reactor)
        fut.addCallback(lambda body: set(json.loads(body)["running"]))
        fut.addCallbacks(
            self._handle_probe_reply,
            lambda _failure: self._handle_probe_failure(target, due),
            callbackArgs=(target, due),
        )
        fut.addCallback(lambda _: self._finish_probe(target))

    def _handle_probe_reply(
        self, running: set[str], target: _Target, probed: list[_InFlightTask]
    ) -> None:
        target.failed_probes = 0
        now = self._reactor.seconds()
        for task in probed:
            listed = task.request.task_id in running or now - task.last_data_at < PROBE_DELAY_S
            task.missed_probes = 0 if listed else task.missed_probes + 1
            interval_s = min(PROBE_INTERVAL_S, task.request.lease_s / 4)
            task.probe_at = now + (interval_s if listed else PROBE_RETRY_DELAY_S)
        lost = [task for task in probed if task.missed_probes >= PROBE_FAILURE_THRESHOLD]
        lost = [task for task in lost if target.in_flight.get(task.request.task_id) is task]
        if lost:
            self._replace_connections(target)
        for task in lost:
            task.abort("connection_silent")

    def _handle_probe_failure(self, target: _Target, probed: list[_InFlightTask]) -> None:
        target.failed_probes += 1
        now = self._reactor.seconds()
        for task in probed:
            task.probe_at = now + PROBE_RETRY_DELAY_S
        if target.failed_probes >= PROBE_FAILURE_THRESHOLD:
            self._replace_connections(target)
            for task in probed:
                task.abort("silent")

    def _finish_probe(self, target: _Target) -> None:
        target.timer = None
        self._schedule_probe(target)
