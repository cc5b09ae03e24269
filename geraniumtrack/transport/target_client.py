"""HTTP requests to targets: tasks through Twisted's agent, the rest through treq.

Tasks pass by treq because its handling of URLs and cookies took a third of an entry's time.

An answer is passed on only if it carries the task's own id and its full length; anything else is
reported as an unusable answer, never as the caller's.

A connection can go silent for good while new ones work. A task that has not been answered for a
while is therefore asked after on a fresh connection, which also renews its lease. If the target
does not run it, its connection is dead, and all connections kept for the target are replaced.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from treq.client import HTTPClient
from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks, succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from geraniumtrack import tracing

__all__ = ["TargetAnswer", "TargetClient", "TargetFailure", "TaskRequest"]

CONNECT_TIMEOUT_S = 2.0
IDLE_S = 20.0  # well below the idle timeouts of HTTP servers, so that they do not close first
MAX_ANSWER_BYTES = 3 * 1024 * 1024
ASK_AFTER_S = 1.0  # without an answer
ASK_INTERVAL_S = 2.5  # a quarter of the task lease of 10 s
ASK_AGAIN_S = 0.5  # after a reply that does not settle the matter
ASK_TIMEOUT_S = 1.5
ASKS_TO_SETTLE = 2  # in a row, since an answer may be on its way while the target is asked
CANCEL_TIMEOUT_S = 1.0
CANCEL_GRACE_S = 0.3  # for the answer to a stopped task, so that its connection can be kept
SPARE_CONNECTIONS = 9  # of a target's connections, for asking and for cancelling


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
        reason: Reason code: `refused`, `not_started`, `silent` (the target does not answer on a
            fresh connection either), `connection_silent`, `broken`, `mismatched`, `deadline` or
            `cancelled`.
        started: Whether the task may have started.
    """

    reason: str
    started: bool


@dataclass(slots=True)
class _Live:
    """A request under way.

    Attributes:
        request: The task.
        ask_at: When to ask the target about it.
        waiting: What its coroutine waits for; cancelling it closes the connection.
        verdict: Why it was ended from here.
        missing: Replies in a row that did not list it.
        heard_at: When a part of its answer last arrived.
    """

    request: TaskRequest
    ask_at: float
    waiting: Deferred | None = None
    verdict: str = ""
    missing: int = 0
    heard_at: float = float("-inf")

    def end(self, verdict: str) -> None:
        if not self.verdict:
            self.verdict = verdict
            if self.waiting is not None:
                self.waiting.cancel()


@dataclass(slots=True)
class _Host:
    """Connections and requests of one target."""

    address: str
    pool: HTTPConnectionPool
    agent: Agent
    live: dict[str, _Live] = field(default_factory=dict)
    timer: Any = None
    unanswered: int = 0


class TargetClient:
    """Sends tasks to targets.

    Args:
        reactor: Twisted reactor.
        connections: Most connections to one target.
        may_renew: Whether the lease of a task, given its id, may still be renewed.
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
        self._hosts: dict[str, _Host] = {}
        # Asking must not use a kept connection, whose silence is what it is to find.
        fresh = HTTPConnectionPool(reactor, persistent=False)
        self._fresh = HTTPClient(Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=fresh))

    @tracing.hop("target")
    @inlineCallbacks
    def run(self, address: str, request: TaskRequest) -> Any:
        """Runs a task.

        Returns:
            A Deferred of a TargetAnswer or a TargetFailure.
        """
        host = self._host(address)
        if len(host.live) >= self._connections - SPARE_CONNECTIONS:
            return TargetFailure("not_started", started=False)
        live = _Live(request, self._reactor.seconds() + ASK_AFTER_S)
        host.live[request.task_id] = live
        deadline = self._reactor.callLater(request.timeout_s, live.end, "deadline")
        self._schedule(host)
        try:
            outcome = yield from self._exchange(host, live)
        finally:
            del host.live[request.task_id]
            if deadline.active():
                deadline.cancel()
        if isinstance(outcome, TargetFailure) and outcome.reason in ("mismatched", "broken"):
            self._replace_connections(host)
        return outcome

    @inlineCallbacks
    def cancel(self, address: str, task_id: str) -> Any:
        """Asks a target to stop a task, and then waits no longer than a moment for its answer."""
        host = self._host(address)
        live = host.live.get(task_id)
        url = f"http://{address}/tasks/{task_id}"
        try:
            http = HTTPClient(host.agent)
            response = yield http.delete(url, timeout=CANCEL_TIMEOUT_S, unbuffered=True)
            yield _read_body(response).addTimeout(CANCEL_TIMEOUT_S, self._reactor)
        except Exception:  # noqa: BLE001 - the lease ends the task if the target did not hear
            if live is not None:
                live.end("cancelled")
            return
        if live is not None and host.live.get(task_id) is live:
            self._reactor.callLater(CANCEL_GRACE_S, live.end, "cancelled")

    @inlineCallbacks
    def close(self) -> Any:
        """Closes idle connections."""
        for host in self._hosts.values():
            if host.timer is not None and host.timer.active():
                host.timer.cancel()
            yield host.pool.closeCachedConnections()

    def _exchange(self, host: _Host, live: _Live) -> Any:
        request = live.request
        headers = Headers(
            {
                b"Task-Id": [request.task_id.encode()],
                b"Task-Lease": [b"%g" % request.lease_s],
                b"Task-Path": [request.path.encode()],
                b"Task-Method": [request.method.encode()],
                b"Content-Type": [request.content_type.encode()],
                b"traceparent": [tracing.current().encode()],
            }
        )
        url = f"http://{host.address}/tasks/{request.task_id}".encode()
        try:
            live.waiting = host.agent.request(b"POST", url, headers, _BodyProducer(request.body))
            response = yield live.waiting
            live.waiting = _read_body(response, lambda: self._note_progress(live))
            body = yield live.waiting
        except (error.ConnectError, error.NoRouteError):
            if live.verdict:
                return TargetFailure(live.verdict, started=True)
            return TargetFailure("refused", started=False)
        except Exception:  # noqa: BLE001 - whatever broke, the task may have started
            return TargetFailure(live.verdict or "broken", started=True)
        return _check(response, body, request)

    def _note_progress(self, live: _Live) -> None:
        live.heard_at = self._reactor.seconds()

    def _host(self, address: str) -> _Host:
        host = self._hosts.get(address)
        if host is None:
            host = self._hosts[address] = _Host(address, *self._connect())
        return host

    def _connect(self) -> tuple[HTTPConnectionPool, Agent]:
        pool = HTTPConnectionPool(self._reactor, persistent=True)
        pool.maxPersistentPerHost = self._connections
        pool.cachedConnectionTimeout = IDLE_S
        # A retry below this layer could run a non-idempotent task twice.
        pool.retryAutomatically = False
        return pool, Agent(self._reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)

    def _replace_connections(self, host: _Host) -> None:
        old = host.pool
        host.pool, host.agent = self._connect()
        old.closeCachedConnections().addErrback(lambda _: None)

    def _schedule(self, host: _Host) -> None:
        if not host.live:
            return
        due = min(live.ask_at for live in host.live.values())
        delay = max(0.0, due - self._reactor.seconds())
        if host.timer is None:
            host.timer = self._reactor.callLater(delay, self._ask, host)
        elif host.timer.active() and host.timer.getTime() > due + ASK_AGAIN_S:
            host.timer.reset(delay)

    def _ask(self, host: _Host) -> None:
        """Asks a target which tasks it runs, and renews their leases."""
        now = self._reactor.seconds()
        due = [live for live in host.live.values() if live.ask_at <= now + ASK_AGAIN_S]
        if not due:
            host.timer = None
            self._schedule(host)
            return
        ids = [live.request.task_id for live in due]
        renew = [task_id for task_id in ids if self._may_renew(task_id)]
        lease_s = min(live.request.lease_s for live in due)
        data = json.dumps({"tasks": ids, "renew": renew, "lease_s": lease_s}).encode()
        headers = {"Content-Type": "application/json"}
        url = f"http://{host.address}/leases"
        fut = self._fresh.post(
            url, data=data, headers=headers, timeout=ASK_TIMEOUT_S, unbuffered=True
        )
        fut.addCallback(_read_body)
        fut.addTimeout(ASK_TIMEOUT_S, self._reactor)
        fut.addCallback(lambda body: set(json.loads(body)["running"]))
        fut.addCallbacks(
            self._told,
            lambda _failure: self._not_told(host, due),
            callbackArgs=(host, due),
        )
        fut.addCallback(lambda _: self._asked(host))

    def _told(self, running: set[str], host: _Host, asked: list[_Live]) -> None:
        host.unanswered = 0
        now = self._reactor.seconds()
        for live in asked:
            listed = live.request.task_id in running or now - live.heard_at < ASK_AFTER_S
            live.missing = 0 if listed else live.missing + 1
            interval_s = min(ASK_INTERVAL_S, live.request.lease_s / 4)
            live.ask_at = now + (interval_s if listed else ASK_AGAIN_S)
        lost = [live for live in asked if live.missing >= ASKS_TO_SETTLE]
        lost = [live for live in lost if host.live.get(live.request.task_id) is live]
        if lost:
            self._replace_connections(host)
        for live in lost:
            live.end("connection_silent")

    def _not_told(self, host: _Host, asked: list[_Live]) -> None:
        host.unanswered += 1
        now = self._reactor.seconds()
        for live in asked:
            live.ask_at = now + ASK_AGAIN_S
        if host.unanswered >= ASKS_TO_SETTLE:
            self._replace_connections(host)
            for live in asked:
                live.end("silent")

    def _asked(self, host: _Host) -> None:
        host.timer = None
        self._schedule(host)


@implementer(IBodyProducer)
class _BodyProducer:
    """Writes a body that is in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred:  # noqa: N802 - Twisted's name
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Nothing is left to write."""

    resumeProducing = stopProducing = pauseProducing  # noqa: N815 - Twisted's names


class _Body(Protocol):
    """Collects a body of bounded size; only a body that ended properly counts."""

    def __init__(self, on_progress: Callable[[], None]) -> None:
        self.fut: Deferred = Deferred(lambda _: self._abort())
        self._on_progress = on_progress
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        self._on_progress()
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self._abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        fut, self.fut = self.fut, None
        if fut is None or fut.called:
            return
        if reason.check(ResponseDone) and self._size <= MAX_ANSWER_BYTES:
            fut.callback(b"".join(self._parts))
        else:
            fut.errback(reason if not reason.check(ResponseDone) else CancelledError())

    def _abort(self) -> None:
        abort = getattr(self.transport, "abortConnection", None)
        if abort is not None:
            abort()


def _read_body(response: Any, on_progress: Callable[[], None] = lambda: None) -> Deferred:
    body = _Body(on_progress)
    fut = body.fut
    response.deliverBody(body)
    return fut


def _check(response: Any, body: bytes, request: TaskRequest) -> TargetAnswer | TargetFailure:
    headers = response.headers
    if headers.getRawHeaders("Task-Id", [""])[0] != request.task_id:
        return TargetFailure("mismatched", started=True)
    if response.code == 503 and headers.hasHeader("Task-Not-Started"):
        return TargetFailure("not_started", started=False)
    if response.length is not UNKNOWN_LENGTH and response.length != len(body):
        return TargetFailure("broken", started=True)
    # A wrong Content-Length cuts a body without a trace in HTTP.
    stated = headers.getRawHeaders("Task-Length", [""])[0]
    if stated and stated != str(len(body)):
        return TargetFailure("broken", started=True)
    content_type = headers.getRawHeaders("Content-Type", ["application/octet-stream"])[0]
    return TargetAnswer(response.code, content_type, body)
