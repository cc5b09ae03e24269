"""An HTTP/1.1 client with persistent connections, for hundreds of calls per second.

Responses are parsed by httptools; this module manages the connections. A call that gets no valid
response fails with `CallFailed`, whose `sent` attribute tells whether the peer may have received
the request.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import httptools
from twisted.internet.abstract import isIPAddress
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError as ConnectionRefused
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import Factory, Protocol

from geraniumtrack.errors import CallFailed
from geraniumtrack.protocol.address import Address

__all__ = ["HttpClient", "Response"]

CONNECT_TIMEOUT_S = 1.0
# Kept open to one address. A scheduling pass often starts this many tasks on one worker at once;
# with 550 workers they stay below the 4,096 descriptors of a process.
MAX_IDLE_CONNECTIONS = 6


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case


class HttpClient:
    """Sends requests to one address; each connection carries one call at a time.

    Args:
        reactor: Twisted reactor.
        address: Host and port.
    """

    def __init__(self, reactor: Any, address: Address) -> None:
        self._reactor = reactor
        self._address = address
        self._idle: list[_ClientConnection] = []
        self._open: set[_ClientConnection] = set()
        self._closed = False

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Deferred:
        """Sends a request; a body is sent as JSON.

        Args:
            method: HTTP method.
            path: Path with the query string.
            body: Encoded body.
            headers: Further headers.
            timeout_s: Time limit for connecting and for the whole response.
            may_send: Asked once a connection is open, just before the request is written to it. The
                call fails as not sent if the answer is false.

        Returns:
            A Deferred of the Response. It fails with CallFailed.
        """
        request = _encode_request(method, path, self._address, body, headers or {})
        fut: Deferred = Deferred()
        call = _Call(request, fut, may_send)
        call.timer = self._reactor.callLater(timeout_s, call.handle_timeout)
        self._send(call)
        return fut

    def close(self) -> None:
        """Closes all connections; calls in progress fail."""
        self._closed = True
        for conn in list(self._open):
            conn.transport.abortConnection()

    def _send(self, call: _Call) -> None:
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                self._send_on(conn, call)
                return
        # HostnameEndpoint reports a refused connection only after 0.3 s.
        endpoint_type = TCP4ClientEndpoint if isIPAddress(self._address.host) else HostnameEndpoint
        endpoint = endpoint_type(
            self._reactor, self._address.host, self._address.port, timeout=CONNECT_TIMEOUT_S
        )
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _ClientConnection(self)
        endpoint.connect(factory).addCallbacks(
            lambda conn: self._handle_connected(conn, call),
            lambda failure: call.fail(
                f"cannot connect: {failure.getErrorMessage()}",
                sent=False,
                refused=failure.check(ConnectionRefused) is not None,
            ),
        )

    def _handle_connected(self, conn: _ClientConnection, call: _Call) -> None:
        if call.done or self._closed:
            self.release(conn)
            call.fail("the client is closed", sent=False)
            return
        self._send_on(conn, call)

    def _send_on(self, conn: _ClientConnection, call: _Call) -> None:
        if call.may_send():
            conn.send(call)
            return
        self.release(conn)
        call.fail("the sender's permission ended before the request was sent", sent=False)

    def add_connection(self, conn: _ClientConnection) -> None:
        """Registers a new connection."""
        self._open.add(conn)

    def remove_connection(self, conn: _ClientConnection) -> None:
        """Removes a connection that has closed."""
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)

    def release(self, conn: _ClientConnection) -> None:
        """Keeps a connection for the next call, or closes it if enough are idle."""
        if self._closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            conn.transport.loseConnection()
        else:
            self._idle.append(conn)


class _Call:
    """A request that has no response yet.

    Args:
        request: The encoded request.
        fut: Deferred of the Response.
        may_send: Returns whether the request may still be sent.

    Attributes:
        timer: Call of `handle_timeout` when the time of the call is over.
        conn: Connection on which the request was sent.
        done: Whether `fut` has fired.
    """

    def __init__(self, request: bytes, fut: Deferred, may_send: Callable[[], bool]) -> None:
        self.request = request
        self.fut = fut
        self.may_send = may_send
        self.timer: IDelayedCall | None = None
        self.conn: _ClientConnection | None = None
        self.done = False

    def finish(self, response: Response) -> None:
        if not self.done:
            self._end()
            self.fut.callback(response)

    def fail(self, reason: str, *, sent: bool, refused: bool = False, closed: bool = False) -> None:
        if not self.done:
            self._end()
            self.fut.errback(CallFailed(reason, sent=sent, refused=refused, closed=closed))

    def handle_timeout(self) -> None:
        conn = self.conn
        self.fail("no response in time", sent=conn is not None)
        if conn is not None:
            conn.transport.abortConnection()

    def _end(self) -> None:
        self.done = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class _ClientConnection(Protocol):
    """A connection that carries one call at a time.

    Args:
        client: Client that owns the connection.

    Attributes:
        usable: Whether further calls can be sent; false once the connection is closing.
    """

    def __init__(self, client: HttpClient) -> None:
        self.usable = False
        self._client = client
        self._call: _Call | None = None
        self._parser: Any = None
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Registers the connection with the client."""
        self.usable = True
        self.transport.setTcpNoDelay(True)
        self._client.add_connection(self)

    def send(self, call: _Call) -> None:
        """Sends a request; the connection is busy until its response is complete."""
        self._call = call
        call.conn = self
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self._headers = {}
        self.transport.write(call.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Feeds the parser; data that belongs to no call closes the connection."""
        if self._parser is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"malformed HTTP response: {exc!r}")
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        """Fails the call in progress."""
        self.usable = False
        self._client.remove_connection(self)
        self._fail(f"connection lost: {getattr(reason, 'value', reason)}", closed=True)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Completes the call and frees the connection; called by the parser."""
        parser, self._parser = self._parser, None
        call, self._call = self._call, None
        response = Response(parser.get_status_code(), b"".join(self._body), self._headers)
        if parser.should_keep_alive():
            self._client.release(self)
        else:
            self.usable = False
            self.transport.loseConnection()
        if call is not None:
            call.conn = None
            call.finish(response)

    def _fail(self, reason: str, *, closed: bool = False) -> None:
        call, self._call = self._call, None
        self._parser = None
        if call is not None:
            call.conn = None
            call.fail(reason, sent=True, closed=closed)


def _encode_request(
    method: str, path: str, address: Address, body: bytes, headers: Mapping[str, str]
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1"]
    if "Host" not in headers:
        lines.append(f"Host: {address.host}:{address.port}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
