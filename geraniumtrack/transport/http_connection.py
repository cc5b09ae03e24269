"""One accepted connection of the HTTP server.

The memory of a connection doesn't depend on how a request is divided into lines, chunks or packets:
a body is kept in one buffer, and of the headers only those that the handler reads. What has been
read is parsed in small slices, so that parsing stops as soon as the connection has to wait for its
replies to be computed or read, or has been refused.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from geraniumtrack import logs
from geraniumtrack.transport.connection_table import ConnectionTable
from geraniumtrack.transport.http_message import Reply, Request, encode_reply

__all__ = ["HttpLimits", "ServerConnection", "ServerContext"]

MAX_PIPELINED = 16  # requests of a connection without a reply; at this number, reading pauses
READ_BYTES = 16 * 1024  # also the size of unsent replies at which reading pauses
PARSE_SLICE_BYTES = 256
# The limit of header bytes counts names and values. A line with a name of one character and no
# value takes five bytes.
MAX_RAW_HEADER_RATIO = 5
LINGER_S = 1.0  # for the client to read a refusal, before its unread bytes reset the connection
RETRY_AFTER_S = 1

REQUEST_ERROR = b'{"error":"bad_request"}'
INTERNAL_ERROR = b'{"error":"internal"}'
OVERLOAD_ERROR = b'{"error":"overloaded"}'


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits for one request or connection.

    Attributes:
        max_header_bytes: Maximum size of URL, header names and values; more is rejected with status
            431.
        max_body_bytes: Maximum size of the body; more is rejected with status 413.
        header_timeout_s: Time for a request to arrive in full, from its first byte; then it is
            rejected with status 408. It does not run while earlier replies keep the server from
            reading.
        idle_timeout_s: Time after which a connection without requests, or one whose replies are not
            read, is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(slots=True)
class ServerContext:
    """What the connections of a server share.

    Attributes:
        reactor: Twisted reactor.
        handler: Returns the reply to a request, or a Deferred of it.
        table: The open connections.
        kept_headers: Names of the headers that the handler reads, by the name in lower case as
            bytes.
        draining: Whether each connection is closed once no complete request awaits its reply.
    """

    reactor: Any
    handler: Callable[[Request], Reply | Deferred]
    table: ConnectionTable
    kept_headers: Mapping[bytes, str]
    draining: bool = False


class _Activity(enum.Enum):
    """What a connection waits for, which determines its timeout."""

    IDLE = enum.auto()
    RECEIVING = enum.auto()
    HANDLING = enum.auto()
    SENDING = enum.auto()  # more replies than the transport buffers are unread


class _ReplySlot:
    """Place of a request and its reply in the order of its connection.

    Args:
        request: The request; None once it has been passed to the handler.
        keep_alive: Whether the connection stays open after the reply.

    Attributes:
        reply: The reply; None until the handler has returned it.
    """

    __slots__ = ("keep_alive", "reply", "request")

    def __init__(self, request: Request | None, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.reply: Reply | None = None


class ServerConnection(Protocol):
    """An accepted connection. Implements `BoundedConnection`, and IPushProducer for its replies.

    Args:
        context: What the connections of the server share.
        limits: Limits of this connection.
    """

    def __init__(self, context: ServerContext, limits: HttpLimits) -> None:
        self._context = context
        self._table = context.table
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._slots: deque[_ReplySlot] = deque()
        self._unparsed: bytes = b""
        self._parsing = False
        self._reading_paused = False
        self._sending_paused = False
        self._closing = False  # nothing more is parsed
        self._closed = False  # the last reply has been written
        self._refused = False  # the last reply is a refusal
        self._kept_bytes = 0  # bodies of requests that aren't handled yet, and replies not sent yet
        # Written to the transport as the client reads, since the transport frees nothing early.
        self._output: deque[memoryview] = deque()
        self._output_bytes = 0
        self._raw_bytes = 0  # parsed since the last part of a body or the last complete request
        self._timer: Any = None
        self._activity: _Activity | None = None
        self._reset_request()

    @property
    def awaits_reply(self) -> bool:
        """Whether a complete request has no reply yet."""
        return bool(self._slots)

    @property
    def pending(self) -> int:
        """Number of complete requests without a reply."""
        return len(self._slots)

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Registers with the table and starts the idle timeout."""
        if not self._table.add(self):
            self._abort()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.transport.registerProducer(self, True)
        self._update()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        """Drops the replies that can no longer be sent."""
        self._closing = self._closed = True
        self._release_input()
        self._output.clear()
        self._table.remove(self)
        # The parser refers to this object, which would keep the transport's buffers until the
        # garbage collector finds the cycle.
        self._parser = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parses data; malformed data and protocol upgrades are rejected with status 400."""
        if self._closing:
            return
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._parse()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request has no reply yet or is being read."""
        if not self._slots and not self._receiving and not self._closing:
            self._close()

    # Limits on all connections.

    def free_buffers(self) -> None:
        """Refuses what has not been handled, or aborts if the client doesn't read its replies."""
        if self._sending_paused or self._closing:
            self._abort()
            return
        for slot in self._slots:
            if slot.request is not None:
                self._take_request(slot)
                self._keep_reply(slot, _overload_reply())
        if self._receiving or self._unparsed:
            self._reject(_overload_reply())
        elif self._slots:
            self._closing = True
            self._slots[-1].keep_alive = False
            self._send_ready_replies()

    def free_descriptor(self) -> None:
        """Closes the connection at once; an incomplete request is refused if possible."""
        if self._sending_paused or self._closing:
            self._abort()
            return
        if self._receiving:
            self._write(_overload_reply(), close=True)
        self._close()

    # Output, as the transport's producer.

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when more replies are unsent than the transport buffers."""
        self._sending_paused = True

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when all that the transport buffered has been sent."""
        self._sending_paused = False
        self._activity = None  # the timeout starts anew, as the client has read something
        self._send_output()
        if not self._closed:
            self._handle_requests()
            self._parse()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when the connection is lost; `connectionLost` follows."""

    # Input, as the parser's protocol.

    def on_message_begin(self) -> None:
        """Starts the timeout of a request; called by the parser."""
        self._receiving = True
        self._activity = None

    def on_url(self, url: bytes) -> None:
        """Appends a part of the URL; called by the parser."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header that the handler reads; called by the parser, also for trailers."""
        self._count_header_bytes(len(name) + len(value))
        kept_name = self._context.kept_headers.get(name.lower())
        if kept_name is not None and not self._headers_complete:
            self._headers[kept_name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Rejects a request whose stated length exceeds the limit; called by the parser."""
        self._headers_complete = True
        length = self._headers.pop("content-length", "0")
        self._length = int(length) if length.isascii() and length.isdigit() else 0
        if self._length > self._limits.max_body_bytes:
            self._reject(Reply(413, REQUEST_ERROR))

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        if self._closing:
            return
        self._body += data
        self._progress = True
        if len(self._body) > self._limits.max_body_bytes:
            self._reject(Reply(413, REQUEST_ERROR))

    def on_message_complete(self) -> None:
        """Passes the request to the handler in its turn; called by the parser."""
        if self._parser.should_upgrade():
            self._reject(Reply(400, REQUEST_ERROR))
        if self._closing:
            return
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            at=self._context.reactor.seconds(),
        )
        self._slots.append(_ReplySlot(request, self._parser.should_keep_alive()))
        self._kept_bytes += len(request.body)
        self._reset_request()
        self._activity = None
        self._table.mark_active(self)
        self._handle_requests()

    def _parse(self) -> None:
        """Parses what has been read, until the connection has to wait or is closed."""
        if self._parsing:
            return
        self._parsing = True
        data, self._unparsed = memoryview(self._unparsed), b""
        position = 0
        while position < len(data) and not self._closing and not self._must_wait():
            end = position + max(PARSE_SLICE_BYTES, self._length - len(self._body))
            self._feed(data[position:end])
            position = end
        self._parsing = False
        if not self._closing:
            self._unparsed = bytes(data[position:])
        self._update()

    def _feed(self, data: memoryview) -> None:
        self._progress = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(Reply(400, REQUEST_ERROR))
        # The parser keeps a header or trailer line until its end, however long it is.
        self._raw_bytes = 0 if self._progress else self._raw_bytes + len(data)
        if self._raw_bytes > MAX_RAW_HEADER_RATIO * self._limits.max_header_bytes:
            self._reject(Reply(431, REQUEST_ERROR))

    def _must_wait(self) -> bool:
        return self._sending_paused or len(self._slots) >= MAX_PIPELINED

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes:
            self._reject(Reply(431, REQUEST_ERROR))

    def _reset_request(self) -> None:
        self._url = bytearray()
        self._headers: dict[str, str] = {}
        self._headers_complete = False
        self._body = bytearray()
        self._length = 0
        self._header_bytes = 0
        self._receiving = False
        self._progress = True

    # Requests and replies.

    def _handle_requests(self) -> None:
        """Passes waiting requests to the handler, as many at a time as the load allows."""
        while (slot := self._next_slot_to_handle()) is not None:
            self._handle(slot)

    def _next_slot_to_handle(self) -> _ReplySlot | None:
        if self._sending_paused:
            return None
        in_progress = sum(slot.request is None and slot.reply is None for slot in self._slots)
        if in_progress >= (1 if self._table.busy else MAX_PIPELINED):
            return None
        return next((slot for slot in self._slots if slot.request is not None), None)

    def _handle(self, slot: _ReplySlot) -> None:
        request = self._take_request(slot)
        self._table.pending_requests += 1
        try:
            result = self._context.handler(request)
        except Exception as exc:  # noqa: BLE001 - an error in one request must not end the process
            logs.warn("request_failed", method=request.method, detail=repr(exc))
            result = Reply(500, INTERNAL_ERROR)
        if isinstance(result, Deferred):
            # Without the request, whose body isn't needed while the handler works.
            result.addErrback(_failed_reply, request.method)
            result.addCallback(self._reply_ready, slot)
        else:
            self._reply_ready(result, slot)

    def _take_request(self, slot: _ReplySlot) -> Request:
        request, slot.request = slot.request, None
        self._kept_bytes -= len(request.body)
        return request

    def _keep_reply(self, slot: _ReplySlot, reply: Reply) -> None:
        slot.reply = reply
        self._kept_bytes += len(reply.body)

    def _reply_ready(self, reply: Reply, slot: _ReplySlot) -> None:
        self._table.pending_requests -= 1
        if self._closed:
            return
        self._keep_reply(slot, reply)
        self._send_ready_replies()
        self._handle_requests()
        self._parse()

    def _send_ready_replies(self) -> None:
        """Sends the replies that are complete, up to the first that is not."""
        while self._slots and self._slots[0].reply is not None:
            done = self._slots.popleft()
            close = not done.keep_alive or (self._context.draining and not self._slots)
            self._kept_bytes -= len(done.reply.body)
            self._write(done.reply, close)
            if close:
                self._close()
                return
            self._activity = None
        self._table.mark_active(self)

    def _write(self, reply: Reply, close: bool) -> None:
        for part in encode_reply(reply, close):
            self._output.append(memoryview(part))
            self._output_bytes += len(part)
        self._send_output()

    def _send_output(self) -> None:
        """Writes output until the transport's buffer is full; ends it after the last reply."""
        while self._output and not self._sending_paused:
            part = self._output.popleft()
            if len(part) > READ_BYTES:
                self._output.appendleft(part[READ_BYTES:])
            self._output_bytes -= len(part[:READ_BYTES])
            self.transport.write(bytes(part[:READ_BYTES]))
        if self._closed and not self._sending_paused:
            self._end_output()

    def _reject(self, reply: Reply) -> None:
        """Rejects the request that is being read and reads no further; its reply is the last."""
        if self._closing:
            return
        self._closing = self._refused = True
        self._unparsed = b""
        self._reset_request()
        slot = _ReplySlot(None, keep_alive=False)
        self._keep_reply(slot, reply)
        self._slots.append(slot)
        self._send_ready_replies()
        self._update()

    # Closing, timeouts and accounting.

    def _close(self) -> None:
        """Closes the connection once the replies that have been written are sent."""
        self._closing = self._closed = True
        self._release_input()
        self._table.mark_closing(self)
        self._table.set_buffered(self, self._output_bytes)
        timeout_s = LINGER_S if self._refused else self._limits.idle_timeout_s
        self._timer = self._context.reactor.callLater(timeout_s, self._abort)
        if not self._sending_paused:
            self._end_output()

    def _end_output(self) -> None:
        self.transport.unregisterProducer()
        if not self._refused:
            self.transport.loseConnection()
            return
        # Reading goes on, since bytes that the client sends meanwhile would reset the connection
        # before it has read the refusal.
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()

    def _abort(self) -> None:
        self._closing = self._closed = True
        self._release_input()
        self._output.clear()
        self._table.remove(self)
        self.transport.abortConnection()

    def _release_input(self) -> None:
        self._slots.clear()
        self._unparsed = b""
        self._reset_request()
        self._cancel_timer()

    def _update(self) -> None:
        """Reads on or pauses, starts the timeout of a new activity, and records the buffers."""
        if self._closed:
            return
        if self._reading_paused != self._must_wait():
            self._reading_paused = not self._reading_paused
            if self._reading_paused:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()
        activity = self._current_activity()
        if activity is not self._activity:
            self._activity = activity
            self._start_timer(activity)
        received = len(self._body) + len(self._unparsed) + self._header_bytes + self._raw_bytes
        self._table.set_buffered(self, received + self._kept_bytes + self._output_bytes)

    def _current_activity(self) -> _Activity:
        if self._sending_paused:
            return _Activity.SENDING
        if self._receiving and not self._reading_paused:
            return _Activity.RECEIVING
        return _Activity.HANDLING if self._slots else _Activity.IDLE

    def _start_timer(self, activity: _Activity) -> None:
        self._cancel_timer()
        if activity is _Activity.HANDLING:
            return
        receiving = activity is _Activity.RECEIVING
        timeout_s = self._limits.header_timeout_s if receiving else self._limits.idle_timeout_s
        self._timer = self._context.reactor.callLater(timeout_s, self._timed_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _timed_out(self) -> None:
        if self._activity is _Activity.RECEIVING:
            self._reject(Reply(408, REQUEST_ERROR))
        elif self._activity is _Activity.IDLE:
            self._close()
        else:
            self._abort()


def _overload_reply() -> Reply:
    return Reply(503, OVERLOAD_ERROR, {"Retry-After": str(RETRY_AFTER_S)})


def _failed_reply(failure: Any, method: str) -> Reply:
    logs.warn("request_failed", method=method, detail=failure.getErrorMessage())
    return Reply(500, INTERNAL_ERROR)
