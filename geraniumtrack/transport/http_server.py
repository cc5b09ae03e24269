"""An HTTP/1.1 server on Twisted with the httptools parser, for the addresses that carry load.

Requests of one connection are answered in order. A handler returns a `Reply` or a Deferred of one.
A draining server answers what it has read and then closes each connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol

from geraniumtrack import logs
from geraniumtrack.protocol.address import Address

__all__ = ["HttpLimits", "HttpServer", "Reply", "Request"]

REASONS = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
MAX_PIPELINED = 16  # requests read ahead on one connection


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of what a peer may send."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(slots=True)
class Request:
    """A whole request."""

    method: str
    path: str  # with the query
    headers: dict[str, str]  # names in lower case
    body: bytes
    at: float  # clock value in seconds when its last byte was read


@dataclass(slots=True)
class Reply:
    """A whole reply."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


Handler = Callable[[Request], "Reply | Deferred"]


class HttpServer:
    """Listens on one address.

    Args:
        reactor: Twisted reactor.
        handler: Answers a request.
        limits: Returns the limits in force.
    """

    def __init__(
        self, reactor: Any, handler: Handler, *, limits: Callable[[], HttpLimits] = HttpLimits
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.connections: set[_ServerConnection] = set()
        self._port: Any = None

    def listen(self, address: Address) -> Deferred:
        """Opens the port."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _ServerConnection(self)
        endpoint = TCP4ServerEndpoint(
            self.reactor, address.port, backlog=512, interface=address.host
        )
        return endpoint.listen(factory).addCallback(self._listening)

    @property
    def busy(self) -> int:
        """Requests that are read but not answered."""
        return sum(conn.pending for conn in self.connections)

    def drain(self) -> None:
        """Closes each connection after its next answer."""
        self.draining = True

    def close_idle(self) -> None:
        """Closes the connections on which no request waits or is being read."""
        for conn in list(self.connections):
            conn.close_if_idle()

    def stop_listening(self) -> None:
        """Closes the port; open connections go on."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def _listening(self, port: Any) -> None:
        self._port = port


class _ServerConnection(Protocol):
    """One accepted connection."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._answers: deque[_Answer] = deque()
        self._timer: Any = None
        self._reset()

    @property
    def pending(self) -> int:
        """Requests without an answer."""
        return len(self._answers)

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Starts the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._server.connections.add(self)
        self._expect(self._limits.idle_timeout_s)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        """Forgets the answers that nobody waits for."""
        self._server.connections.discard(self)
        self._answers.clear()
        self._cancel_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Feeds the parser."""
        if not self._reading and not self._answers:
            self._expect(self._limits.header_timeout_s)
        self._reading = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            if not self._refused:
                self._refuse(400)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request waits or is being read."""
        if not self._answers and not self._reading:
            self.transport.loseConnection()

    def on_url(self, url: bytes) -> None:
        """Parser callback."""
        self._url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._count(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Parser callback."""
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self._limits.max_body_bytes:
            self._refuse(413)

    def on_body(self, data: bytes) -> None:
        """Parser callback."""
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Parser callback."""
        if self._refused:
            return
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body),
            at=self._server.reactor.seconds(),
        )
        keep = self._parser.should_keep_alive()
        self._reset()
        self._cancel_timer()
        answer = _Answer(keep)
        self._answers.append(answer)
        if len(self._answers) >= MAX_PIPELINED:
            self.transport.pauseProducing()
        self._handle(request, answer)

    def _handle(self, request: Request, answer: _Answer) -> None:
        try:
            result = self._server.handler(request)
        except Exception as exc:  # noqa: BLE001 - a fault in one request must not end the process
            logs.warn("request_failed", method=request.method, detail=repr(exc))
            result = Reply(500, b'{"error":"internal"}')
        if isinstance(result, Deferred):
            result.addErrback(self._failed, request)
            result.addCallback(self._answered, answer)
        else:
            self._answered(result, answer)

    def _failed(self, failure: Any, request: Request) -> Reply:
        logs.warn("request_failed", method=request.method, detail=failure.getErrorMessage())
        return Reply(500, b'{"error":"internal"}')

    def _answered(self, reply: Reply, answer: _Answer) -> None:
        answer.reply = reply
        while self._answers and self._answers[0].reply is not None:
            done = self._answers.popleft()
            close = self._server.draining or not done.keep
            self.transport.write(_encode(done.reply, close))
            if close:
                self._answers.clear()
                self.transport.loseConnection()
                return
        if not self._answers:
            self.transport.resumeProducing()
            self._expect(self._limits.idle_timeout_s)

    def _refuse(self, status: int) -> None:
        self._refused = True
        self.transport.write(_encode(Reply(status, b'{"error":"bad_request"}'), True))
        self.transport.loseConnection()

    def _count(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes and not self._refused:
            self._refuse(431)

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._reading = False
        self._refused = False

    def _expect(self, timeout_s: float) -> None:
        self._cancel_timer()
        self._timer = self._server.reactor.callLater(timeout_s, self._silent)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _silent(self) -> None:
        if self._reading:
            self._refuse(408)
        else:
            self.transport.loseConnection()


class _Answer:
    """The place of one answer in the order of its connection."""

    __slots__ = ("keep", "reply")

    def __init__(self, keep: bool) -> None:
        self.keep = keep
        self.reply: Reply | None = None


def _encode(reply: Reply, close: bool) -> bytes:
    lines = [f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    if reply.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(reply.body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + reply.body
