"""An HTTP/1.1 server on Twisted with the httptools parser, for high request rates.

Pipelined requests of a connection are answered in order. A handler returns a `Reply` or a Deferred
of one. A request that is invalid, too large or too slow to arrive is rejected after the replies to
earlier requests, and its connection is closed. A draining server closes each connection after the
replies to all requests that it has read in full.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol

from geraniumtrack import logs
from geraniumtrack.protocol.address import Address

__all__ = ["HttpLimits", "HttpServer", "Reply", "Request"]

REASON_PHRASES = {
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
MAX_PIPELINED = 16  # requests of a connection without a reply; at this number, reading pauses
PARSE_SLICE_BYTES = 256
# The limit of header bytes counts names and values. A line with a name of one character and no
# value takes five bytes.
MAX_RAW_HEADER_RATIO = 5
_LENGTH_HEADER = "content-length"  # read by the server itself


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits for requests.

    Attributes:
        max_header_bytes: Maximum size of URL and headers; more is rejected with status 431.
        max_body_bytes: Maximum size of the body; more is rejected with status 413.
        header_timeout_s: Time for a request on an idle connection to arrive in full, from its
            first byte; then it is rejected with status 408.
        idle_timeout_s: Time after which a connection without requests is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(slots=True)
class Request:
    """A complete request."""

    method: str
    path: str  # with the query string
    headers: dict[str, str]  # those that the server keeps, with names in lower case
    body: bytes
    at: float  # clock value in seconds at which its last byte was read


@dataclass(slots=True)
class Reply:
    """A complete reply."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


Handler = Callable[[Request], "Reply | Deferred"]


class HttpServer:
    """An HTTP server that listens on one address.

    Args:
        reactor: Twisted reactor.
        handler: Returns the reply to a request.
        limits: Returns the current limits; called for each new connection.
        headers: Names in lower case of the headers that the handler reads; others are not kept.

    Attributes:
        draining: Whether each connection is closed once no complete request awaits its reply.
        connections: Open connections.
    """

    def __init__(
        self,
        reactor: Any,
        handler: Handler,
        *,
        limits: Callable[[], HttpLimits] = HttpLimits,
        headers: Collection[str] = (),
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.kept_headers = {header.encode(): header for header in (*headers, _LENGTH_HEADER)}
        self.draining = False
        self.connections: set[_ServerConnection] = set()
        self._port: Any = None

    def listen(self, address: Address) -> Deferred:
        """Opens the port; the returned Deferred fires when it is open."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _ServerConnection(self)
        endpoint = TCP4ServerEndpoint(
            self.reactor, address.port, backlog=512, interface=address.host
        )
        return endpoint.listen(factory).addCallback(self._listening)

    @property
    def pending_requests(self) -> int:
        """Number of requests without a reply."""
        return sum(conn.pending for conn in self.connections)

    def drain(self) -> None:
        """From now on, closes each connection once no complete request awaits its reply."""
        self.draining = True

    def close_idle(self) -> None:
        """Closes the connections on which no request is being received or awaits its reply."""
        for conn in list(self.connections):
            conn.close_if_idle()

    def stop_listening(self) -> None:
        """Closes the port; open connections stay open."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def _listening(self, port: Any) -> None:
        self._port = port


class _ServerConnection(Protocol):
    """An accepted connection.

    Args:
        server: Server that accepted it.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._slots: deque[_ReplySlot] = deque()
        self._timer: Any = None
        self._raw_bytes = 0  # parsed since the last part of a body or the last complete request
        self._reset_request()

    @property
    def pending(self) -> int:
        """Number of requests without a reply."""
        return len(self._slots)

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Registers with the server and starts the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._server.connections.add(self)
        self._start_timer(self._limits.idle_timeout_s)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        """Drops the replies that can no longer be sent."""
        self._server.connections.discard(self)
        self._slots.clear()
        self._cancel_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Feeds the parser; malformed data and protocol upgrades are rejected with status 400."""
        if self._rejected:
            return
        if not self._reading and not self._slots:
            self._start_timer(self._limits.header_timeout_s)
        self._reading = True
        view, position = memoryview(data), 0
        while position < len(view) and not self._rejected:
            end = position + max(PARSE_SLICE_BYTES, self._length - len(self._body))
            self._feed(view[position:end])
            position = end

    def _feed(self, data: memoryview) -> None:
        self._progress = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)
        # The parser keeps a header or trailer line until its end, however long it is.
        self._raw_bytes = 0 if self._progress else self._raw_bytes + len(data)
        if self._raw_bytes > MAX_RAW_HEADER_RATIO * self._limits.max_header_bytes:
            self._reject(431)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request has no reply yet or is being read."""
        if not self._slots and not self._reading:
            self.transport.loseConnection()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the URL; called by the parser."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header that the handler reads; called by the parser, also for trailers."""
        self._count_header_bytes(len(name) + len(value))
        kept_name = self._server.kept_headers.get(name.lower())
        if kept_name is not None and not self._headers_complete:
            self._headers[kept_name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Rejects a request whose stated length exceeds the limit; called by the parser."""
        self._headers_complete = True
        length = self._headers.pop(_LENGTH_HEADER, "0")
        self._length = int(length) if length.isascii() and length.isdigit() else 0
        if self._length > self._limits.max_body_bytes:
            self._reject(413)

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        if self._rejected:
            return
        self._body += data
        self._progress = True
        if len(self._body) > self._limits.max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Passes the request to the handler; called by the parser."""
        if self._parser.should_upgrade():
            self._reject(400)
        if self._rejected:
            return
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            at=self._server.reactor.seconds(),
        )
        keep_alive = self._parser.should_keep_alive()
        self._reset_request()
        self._cancel_timer()
        slot = _ReplySlot(keep_alive)
        self._slots.append(slot)
        if len(self._slots) >= MAX_PIPELINED:
            self.transport.pauseProducing()
        self._handle(request, slot)

    def _handle(self, request: Request, slot: _ReplySlot) -> None:
        try:
            result = self._server.handler(request)
        except Exception as exc:  # noqa: BLE001 - an error in one request must not end the process
            logs.warn("request_failed", method=request.method, detail=repr(exc))
            result = Reply(500, b'{"error":"internal"}')
        if isinstance(result, Deferred):
            result.addErrback(self._handler_failed, request)
            result.addCallback(self._send_reply, slot)
        else:
            self._send_reply(result, slot)

    def _handler_failed(self, failure: Any, request: Request) -> Reply:
        logs.warn("request_failed", method=request.method, detail=failure.getErrorMessage())
        return Reply(500, b'{"error":"internal"}')

    def _send_reply(self, reply: Reply, slot: _ReplySlot) -> None:
        slot.reply = reply
        self._send_ready_replies()

    def _send_ready_replies(self) -> None:
        """Sends the replies that are complete, up to the first that is not."""
        if not self._slots:
            return
        while self._slots and self._slots[0].reply is not None:
            done = self._slots.popleft()
            close = not done.keep_alive or (self._server.draining and not self._slots)
            self.transport.write(_encode_reply(done.reply, close))
            if close:
                self._slots.clear()
                self.transport.loseConnection()
                return
        if not self._slots:
            self.transport.resumeProducing()
            self._start_timer(self._limits.idle_timeout_s)

    def _reject(self, status: int) -> None:
        """Rejects the request that is being read and reads no further; its reply is the last."""
        if self._rejected:
            return
        self._reset_request()
        self._rejected = True
        self._cancel_timer()
        slot = _ReplySlot(keep_alive=False)
        self._slots.append(slot)
        self._send_reply(Reply(status, b'{"error":"bad_request"}'), slot)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes:
            self._reject(431)

    def _reset_request(self) -> None:
        self._url = bytearray()
        self._headers: dict[str, str] = {}
        self._headers_complete = False
        self._body = bytearray()
        self._length = 0
        self._progress = True
        self._header_bytes = 0
        self._reading = False
        self._rejected = False

    def _start_timer(self, timeout_s: float) -> None:
        self._cancel_timer()
        self._timer = self._server.reactor.callLater(timeout_s, self._timed_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _timed_out(self) -> None:
        if self._reading:
            self._reject(408)
        else:
            self.transport.loseConnection()


class _ReplySlot:
    """Place of a reply in the order of its connection.

    Args:
        keep_alive: Whether the connection stays open after the reply.

    Attributes:
        reply: The reply; None until the handler has returned it.
    """

    __slots__ = ("keep_alive", "reply")

    def __init__(self, keep_alive: bool) -> None:
        self.keep_alive = keep_alive
        self.reply: Reply | None = None


def _encode_reply(reply: Reply, close: bool) -> bytes:
    lines = [f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    if reply.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(reply.body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + reply.body
