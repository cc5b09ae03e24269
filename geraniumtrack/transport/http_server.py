"""An HTTP/1.1 server on Twisted with the httptools parser, for high request rates.

Pipelined requests of a connection are answered in order. A handler returns a `Reply` or a Deferred
of one. A request that is invalid, too large or too slow to arrive is rejected after the replies to
earlier requests, and its connection is closed. A draining server closes each connection after the
replies to all requests that it has read in full. What all connections hold is limited; see
`transport.connection_table`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory

from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.arrival_clock import ArrivalClock
from geraniumtrack.transport.connection_table import ConnectionLimits, ConnectionTable
from geraniumtrack.transport.http_connection import (
    MAX_PIPELINED,
    ServerConnection,
    ServerContext,
)
from geraniumtrack.transport.http_message import Reply, Request
from geraniumtrack.transport.http_parser import LENGTH_HEADER, HttpLimits
from geraniumtrack.transport.memory_limiter import MemoryLimiter
from geraniumtrack.transport.parse_turns import ParseTurns

__all__ = ["ConnectionLimits", "Handler", "HttpLimits", "HttpServer", "Reply", "Request"]

Handler = Callable[[Request], "Reply | Deferred"]


class HttpServer:
    """An HTTP server that listens on one address.

    Args:
        reactor: Twisted reactor.
        handler: Returns the reply to a request.
        limits: Returns the current limits; called for each new connection.
        connections: Limits for all connections together.
        headers: Names in lower case of the headers that the handler reads; others are not kept.
        name: Name of the port in logs and metrics.
        arrivals: Bounds the age of requests; None if the handler doesn't need it.
    """

    def __init__(
        self,
        reactor: Any,
        handler: Handler,
        *,
        limits: Callable[[], HttpLimits] = HttpLimits,
        connections: ConnectionLimits | None = None,
        headers: Collection[str] = (),
        name: str = "http",
        arrivals: ArrivalClock | None = None,
    ) -> None:
        self.reactor = reactor
        self.limits = limits
        limit = connections or ConnectionLimits()
        self._table = ConnectionTable(name, limit, reactor.seconds)
        self._context = ServerContext(
            reactor=reactor,
            handler=handler,
            table=self._table,
            turns=ParseTurns(reactor),
            in_progress=MemoryLimiter(
                limit.max_connections * MAX_PIPELINED, limit.max_buffered_bytes
            ),
            kept_headers={header.encode(): header for header in (*headers, LENGTH_HEADER)},
            arrivals=arrivals,
        )
        self._port: Any = None

    def listen(self, address: Address) -> Deferred:
        """Opens the port; the returned Deferred fires when it is open."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: ServerConnection(self._context, self.limits())
        endpoint = TCP4ServerEndpoint(
            self.reactor, address.port, backlog=512, interface=address.host
        )
        return endpoint.listen(factory).addCallback(self._listening)

    @property
    def connections(self) -> tuple[ServerConnection, ...]:
        """Open connections."""
        return tuple(self._table)

    @property
    def pending_requests(self) -> int:
        """Number of requests without a reply."""
        return sum(conn.pending for conn in self._table)

    def drain(self) -> None:
        """From now on, closes each connection once no complete request awaits its reply."""
        self._context.draining = True

    def close_idle(self) -> None:
        """Closes the connections on which no request is being received or awaits its reply."""
        for conn in self._table:
            conn.close_if_idle()

    def stop_listening(self) -> None:
        """Closes the port; open connections stay open."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def _listening(self, port: Any) -> None:
        self._port = port
