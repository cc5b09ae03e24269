"""A site for Klein applications that limits what clients can occupy.

Bodies are kept in memory, which is counted, and never in temporary files, which would take a
descriptor each. The limits of all connections together are those of `transport.connection_table`.
"""

from __future__ import annotations

import io
import json
from dataclasses import dataclass
from typing import Any

from klein import Klein
from twisted.web.http import HTTPChannel
from twisted.web.server import Request as SiteRequest
from twisted.web.server import Site

from geraniumtrack.transport.connection_table import ConnectionLimits, ConnectionTable
from geraniumtrack.transport.memory_limiter import MemoryLimiter

__all__ = [
    "MAX_BODY_BYTES",
    "REASON_CODES",
    "RECEIVE_TIMEOUT_S",
    "REFUSAL_HEADER",
    "HttpBounds",
    "bounded_site",
]

# A connection on which no bytes arrive for this time is closed, unless a request is being handled.
IDLE_TIMEOUT_S = 30.0
# Limit for receiving the rest of a request after its headers, even if bytes keep arriving.
RECEIVE_TIMEOUT_S = 60.0
REFUSAL_LINGER_S = 1.0  # time for the client to read a refusal before the connection is closed
MAX_BODY_BYTES = 4 * 1024 * 1024
RETRY_AFTER_S = 1

REQUEST_BYTES = 8 * 1024  # of a request in progress, without its body
BODY_COPIES = 2  # as received, and as read by the handler
# A request that is being handled may take half of the limit, and its body is kept twice.
MIN_BUFFERED_BODIES = 8
HEADER_BYTES = 300  # of a header, without its text

REFUSAL_HEADER = b"Geraniumtrack-Refusal"  # set on refusals, never on the response of a target
REASON_CODES = {
    404: "unknown_path",
    405: "wrong_method",
    408: "too_slow",
    413: "too_large",
    503: "overloaded",
}
_STATUS_PHRASES = {
    408: "Request Timeout",
    413: "Request Entity Too Large",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class HttpBounds:
    """Limits of a site.

    Attributes:
        max_body_bytes: Largest body.
        max_connections: Maximum number of open connections.
        max_buffered_bytes: Maximum size of all requests that are being received and all responses
            that clients have not read, and of all requests that are being handled.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_connections: int = 1000
    max_buffered_bytes: int = 64 * 1024 * 1024

    @property
    def buffered_bytes(self) -> int:
        """The maximum size of requests, in which some of the largest ones find room together."""
        return max(self.max_buffered_bytes, MIN_BUFFERED_BODIES * self.max_body_bytes)


class BoundedSite(Site):
    """A site whose connections and requests in progress are limited.

    Args:
        reactor: Twisted reactor.
        app: The application.
        bounds: Limits of the site.
    """

    noisy = False

    def __init__(self, reactor: Any, app: Klein, bounds: HttpBounds) -> None:
        super().__init__(app.resource(), requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT_S)
        limits = ConnectionLimits(bounds.max_connections, bounds.buffered_bytes)
        self.clock = reactor
        self.max_body_bytes = bounds.max_body_bytes
        self.table = ConnectionTable("http", limits, reactor.seconds)
        self.in_progress = MemoryLimiter(bounds.max_connections, bounds.buffered_bytes)
        self.protocol = BoundedChannel

    @staticmethod
    def getContentFile(_length: int | None) -> io.BytesIO:  # noqa: N802 - Twisted's name
        """Returns where a body is kept."""
        return io.BytesIO()


class BoundedChannel(HTTPChannel):
    """A connection of a `BoundedSite`. Implements `BoundedConnection`."""

    handling = False
    _received_bytes = 0
    _unread_bytes = 0
    _sending_paused = False
    _closed = False

    @property
    def awaits_reply(self) -> bool:
        """Whether a complete request has no response yet."""
        return self.handling

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Takes a place in the table."""
        super().connectionMade()
        if not self.site.table.add(self):
            self._abort()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 - Twisted's name
        """Leaves the table."""
        self._closed = True
        self.site.table.remove(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Drops what arrives on a connection that is being aborted."""
        if not self._closed:
            super().dataReceived(data)

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802 - Twisted's name
        """Counts a header line."""
        self.count_received(len(line) + HEADER_BYTES)
        return super().headerReceived(line)

    def count_received(self, size: int) -> None:
        """Counts bytes of a request that is being received."""
        self._received_bytes += size
        self._record()

    def handling_started(self) -> None:
        """Records that a request is complete; its body is counted by `BoundedSite.in_progress`."""
        self.handling = True
        self._received_bytes = 0
        self._record()
        self.site.table.mark_active(self)

    def requestDone(self, request: BoundedRequest) -> None:  # noqa: N802 - Twisted's name
        """Records that a response has been written."""
        self.handling = False
        self.site.table.mark_active(self)
        super().requestDone(request)

    def refused(self) -> None:
        """Records that the connection only waits for its client to read a refusal."""
        self._received_bytes = 0
        self._record()
        self.site.table.mark_closing(self)

    def write(self, data: bytes) -> None:
        """Writes a part of a response."""
        super().write(data)
        self._count_unread(len(data))

    def writeSequence(self, iovec: list[bytes]) -> None:  # noqa: N802 - Twisted's name
        """Writes parts of a response."""
        super().writeSequence(iovec)
        self._count_unread(sum(map(len, iovec)))

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when more bytes are unsent than the transport buffers."""
        self._sending_paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when all bytes have been sent."""
        self._sending_paused = False
        self._unread_bytes = 0
        self._record()
        super().resumeProducing()

    def free_buffers(self) -> None:
        """Refuses the request that is being received, or aborts if a response is unread."""
        if self._sending_paused or self.handling or not self.requests:
            self._abort()
        else:
            self.requests[-1].refuse_overloaded()

    def free_descriptor(self) -> None:
        """Aborts the connection."""
        self._abort()

    def _abort(self) -> None:
        self._closed = True
        self.site.table.remove(self)
        self.transport.abortConnection()

    def _count_unread(self, size: int) -> None:
        if self._sending_paused:
            self._unread_bytes += size
            self._record()

    def _record(self) -> None:
        self.site.table.set_buffered(self, self._received_bytes + self._unread_bytes)


class BoundedRequest(SiteRequest):
    """A request that is refused while its body arrives if it is too large, too slow or too much."""

    _body_bytes = 0
    _size_in_progress = 0
    _refused = False
    _timer: Any = None
    _saved_content_type: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802 - Twisted's name
        """Refuses a Content-Length over the limit before the body arrives."""
        super().gotLength(length)
        self._timer = self._clock.callLater(RECEIVE_TIMEOUT_S, self._refuse_too_slow)
        if length is not None and length > self.channel.site.max_body_bytes:
            self._refuse_too_large()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Refuses a body without a Content-Length once it exceeds the limit."""
        if self._refused:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self.channel.site.max_body_bytes:
            self._refuse_too_large()
            return
        super().handleContentChunk(data)
        self.channel.count_received(len(data))

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Hides the Content-Type header from Twisted, which would otherwise parse form data.

        No interface uses form data. Parsing took 0.2 ms for each announcement, and a malformed form
        closed the connection without a refusal. `process` restores the header.
        """
        self._saved_content_type = self.requestHeaders.getRawHeaders(b"content-type")
        self.requestHeaders.removeHeader(b"content-type")
        super().requestReceived(command, path, version)

    def process(self) -> None:
        """Handles the request, unless it was refused while it arrived."""
        self._cancel_timer()
        if self._refused:
            self.channel.loseConnection()
            return
        if self._saved_content_type:
            self.requestHeaders.setRawHeaders(b"content-type", self._saved_content_type)
        size = REQUEST_BYTES + BODY_COPIES * self._body_bytes
        if not self.channel.site.in_progress.try_start(size):
            self.refuse_overloaded()
            return
        self._size_in_progress = size
        self._in_progress = self.channel.site.in_progress
        self.channel.handling_started()
        super().process()

    def finish(self) -> None:
        """Ends the response."""
        self._leave()
        super().finish()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 - Twisted's name
        """Cancels the timer of a request that did not arrive completely."""
        self._cancel_timer()
        self._leave()
        super().connectionLost(reason)

    def refuse_overloaded(self) -> None:
        """Refuses a request that has not been handled, for lack of memory."""
        self._refuse(503, "too many requests are in progress; send it again or to another process")

    @property
    def _clock(self) -> Any:
        return self.channel.site.clock

    def _leave(self) -> None:
        if self._size_in_progress:
            self._in_progress.finish(self._size_in_progress)
            self._size_in_progress = 0

    def _refuse_too_large(self) -> None:
        limit = self.channel.site.max_body_bytes
        self._refuse(413, f"request body too large; send at most {limit} bytes")

    def _refuse_too_slow(self) -> None:
        self._timer = None
        self._refuse(
            408,
            f"request received too slowly; send the whole request within {RECEIVE_TIMEOUT_S:g} s",
        )

    def _refuse(self, status: int, message: str) -> None:
        # Written to the transport: a Twisted request cannot reply before its body is complete.
        if self._refused:
            return
        self._refused = True
        self._cancel_timer()
        self.content = io.BytesIO()
        body = json.dumps({"error": REASON_CODES[status], "message": message, "run": "not_run"})
        retry = f"Retry-After: {RETRY_AFTER_S}\r\n" if status == 503 else ""
        head = (
            f"HTTP/1.1 {status} {_STATUS_PHRASES[status]}\r\nContent-Type: application/json\r\n"
            f"{REFUSAL_HEADER.decode()}: {REASON_CODES[status]}\r\n{retry}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write((head + body).encode())
        self._timer = self._clock.callLater(REFUSAL_LINGER_S, self._close_connection)
        self.channel.refused()

    def _close_connection(self) -> None:
        self._timer = None
        self.channel.loseConnection()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def bounded_site(reactor: Any, app: Klein, bounds: HttpBounds) -> Site:
    """Returns a site that serves an application within its limits."""
    return BoundedSite(reactor, app, bounds)
