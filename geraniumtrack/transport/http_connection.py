"""One accepted connection of the HTTP server.

Parsing stops as soon as the connection has to wait for its replies to be computed or read, or has
been refused, so that a client can't make the server keep more by sending more.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from geraniumtrack import logs
from geraniumtrack.transport.arrival_clock import ArrivalClock, InputAge
from geraniumtrack.transport.connection_table import ConnectionTable
from geraniumtrack.transport.http_message import Reply, Request
from geraniumtrack.transport.http_output import ReplyOutput
from geraniumtrack.transport.http_parser import HttpLimits, RequestParser
from geraniumtrack.transport.memory_limiter import MemoryLimiter
from geraniumtrack.transport.parse_turns import ParseTurns

__all__ = ["MAX_PIPELINED", "ServerConnection", "ServerContext"]

PARSE_BYTES = 4096  # of a connection in a turn
MAX_PIPELINED = 16  # requests of a connection without a reply; at this number, reading pauses
LINGER_S = 1.0  # for the client to read a refusal, before its unread bytes reset the connection
RETRY_AFTER_S = 1

INTERNAL_ERROR = b'{"error":"internal"}'
OVERLOAD_ERROR = b'{"error":"overloaded"}'
REQUEST_ERROR = b'{"error":"bad_request"}'


@dataclass(slots=True)
class ServerContext:
    """What the connections of a server share.

    Attributes:
        reactor: Twisted reactor.
        handler: Returns the reply to a request, or a Deferred of it.
        table: The open connections.
        turns: Divides the time between the connections.
        in_progress: Limits the bodies of the requests that the handler has not answered.
        kept_headers: Names of the headers that the handler reads, by the name in lower case as
            bytes.
        arrivals: Bounds the age of what is read; None if the handler doesn't need it.
        draining: Whether each connection is closed once no complete request awaits its reply.
    """

    reactor: Any
    handler: Callable[[Request], Reply | Deferred]
    table: ConnectionTable
    turns: ParseTurns
    in_progress: MemoryLimiter
    kept_headers: Mapping[bytes, str]
    arrivals: ArrivalClock | None = None
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
    """An accepted connection. Implements `BoundedConnection`, `RequestReceiver`, `TurnTaker`.

    Args:
        context: What the connections of the server share.
        limits: Limits of this connection.
    """

    def __init__(self, context: ServerContext, limits: HttpLimits) -> None:
        self._context = context
        self._table = context.table
        self._limits = limits
        self._parser = RequestParser(self, limits, context.kept_headers, context.reactor.seconds)
        self._output: ReplyOutput | None = None
        self._slots: deque[_ReplySlot] = deque()
        self._unparsed = b""
        self._parsing = False
        self._reading_paused = False
        self._input_age = InputAge(context.arrivals) if context.arrivals is not None else None
        self._closing = False  # nothing more is parsed
        self._closed = False  # the last reply has been written
        self._refused = False  # the last reply is a refusal
        self._kept_bytes = 0  # bodies of requests that aren't handled yet, and replies not sent yet
        self._timer: Any = None
        self._activity: _Activity | None = None

    @property
    def awaits_reply(self) -> bool:
        """Whether a complete request has no reply yet."""
        return bool(self._slots)

    @property
    def pending(self) -> int:
        """Number of complete requests without a reply."""
        return len(self._slots)

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Takes a place in the table and starts the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._output = ReplyOutput(self.transport, self._output_drained)
        if self._table.add(self):
            self._update()
        else:
            self._abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        """Drops the replies that can no longer be sent."""
        self._release()
        self._table.remove(self)
        # It refers to this object, which would keep the transport's buffers until the garbage
        # collector finds the cycle.
        self._output = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parses data; what follows a refused request is dropped."""
        if not self._closing:
            if self._input_age is not None:
                self._input_age.note_read(len(data))
            self._unparsed = self._unparsed + data if self._unparsed else data
            self._parse()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request has no reply yet or is being read."""
        reading = self._parser.receiving or self._unparsed
        if not self._slots and not reading and not self._closing:
            self._close()

    # Limits on all connections.

    def free_buffers(self) -> None:
        """Refuses what has not been handled, or aborts if the client doesn't read its replies."""
        if self._output.paused or self._closing:
            self._abort()
            return
        for slot in self._slots:
            if slot.request is not None:
                self._take_request(slot)
                self._keep_reply(slot, _overload_reply())
        if self._parser.receiving or self._unparsed:
            self._refuse(_overload_reply())
        elif self._slots:
            self._closing = True
            self._slots[-1].keep_alive = False
            self._send_ready_replies()

    def free_descriptor(self) -> None:
        """Closes the connection at once; an incomplete request is refused if possible."""
        if self._output.paused or self._closing:
            self._abort()
            return
        if self._parser.receiving:
            self._output.write(_overload_reply(), close=True)
        self._close()

    # Input.

    def request_begun(self) -> None:
        """Starts the timeout of a request."""
        self._activity = None

    def request_complete(self, request: Request, keep_alive: bool) -> None:
        """Passes a request to the handler in its turn."""
        if self._input_age is not None:
            request.max_waited_s = request.at - self._input_age.arrived_after
        request.is_abandoned = lambda: self._closed
        self._slots.append(_ReplySlot(request, keep_alive))
        self._kept_bytes += len(request.body)
        self._activity = None
        self._table.mark_active(self)
        self._handle_requests()

    def request_rejected(self, status: int) -> None:
        """Refuses a request that is invalid or too large."""
        self._refuse(Reply(status, REQUEST_ERROR))

    def parse_some(self) -> bool:
        """Parses a part of what has been read, until the connection has to wait or is closed."""
        part, later = self._unparsed[:PARSE_BYTES], self._unparsed[PARSE_BYTES:]
        self._parsing = True
        rest = self._parser.feed(part, lambda: not self._must_wait())
        self._parsing = False
        self._unparsed = b"" if self._closing else rest + later
        self._update()
        return bool(self._unparsed) and not self._must_wait()

    def _parse(self) -> None:
        """Parses what has been read, as far as there is time now; goes on in a later turn."""
        if self._unparsed and not self._parsing:
            self._context.turns.parse(self)
            if not self._unparsed:
                return
        self._update()

    def _must_wait(self) -> bool:
        return self._output.paused or len(self._slots) >= MAX_PIPELINED

    # Requests and replies.

    def _handle_requests(self) -> None:
        """Passes waiting requests to the handler, as many at a time as the load allows."""
        while (slot := self._next_slot_to_handle()) is not None:
            self._handle(slot)

    def _next_slot_to_handle(self) -> _ReplySlot | None:
        if self._output.paused:
            return None
        in_progress = sum(slot.request is None and slot.reply is None for slot in self._slots)
        if in_progress >= (1 if self._table.busy else MAX_PIPELINED):
            return None
        return next((slot for slot in self._slots if slot.request is not None), None)

    def _handle(self, slot: _ReplySlot) -> None:
        request = self._take_request(slot)
        size = len(request.body)
        if not self._context.in_progress.try_start(size):
            self._keep_reply(slot, _overload_reply())
            self._send_ready_replies()
            return
        self._table.pending_requests += 1
        try:
            result = self._context.handler(request)
        except Exception as exc:  # noqa: BLE001 - an error in one request must not end the process
            logs.warn("request_failed", method=request.method, detail=repr(exc))
            result = Reply(500, INTERNAL_ERROR)
        if isinstance(result, Deferred):
            # Without the request, whose body isn't needed while the handler works.
            result.addErrback(_failed_reply, request.method)
            result.addCallback(self._reply_ready, slot, size)
        else:
            self._reply_ready(result, slot, size)

    def _take_request(self, slot: _ReplySlot) -> Request:
        request, slot.request = slot.request, None
        self._kept_bytes -= len(request.body)
        return request

    def _keep_reply(self, slot: _ReplySlot, reply: Reply) -> None:
        slot.reply = reply
        self._kept_bytes += len(reply.body)

    def _reply_ready(self, reply: Reply, slot: _ReplySlot, size: int) -> None:
        self._table.pending_requests -= 1
        self._context.in_progress.finish(size)
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
            self._output.write(done.reply, close)
            if close:
                self._close()
                return
            self._activity = None
        self._table.mark_active(self)

    def _refuse(self, reply: Reply) -> None:
        """Refuses the request that is being read and reads no further; its reply is the last."""
        if self._closing:
            return
        self._closing = self._refused = True
        self._parser.stop()
        self._unparsed = b""
        slot = _ReplySlot(None, keep_alive=False)
        self._keep_reply(slot, reply)
        self._slots.append(slot)
        self._send_ready_replies()
        self._update()

    def _output_drained(self) -> None:
        self._activity = None  # the timeout starts anew, as the client has read something
        if not self._closed:
            self._handle_requests()
            self._parse()

    # Closing, timeouts and accounting.

    def _close(self) -> None:
        """Closes the connection once the replies that have been written are sent."""
        self._release()
        self._table.mark_closing(self)
        self._table.set_buffered(self, self._output.buffered_bytes)
        timeout_s = LINGER_S if self._refused else self._limits.idle_timeout_s
        self._timer = self._context.reactor.callLater(timeout_s, self._abort)
        self._output.end(self._half_close if self._refused else self.transport.loseConnection)

    def _half_close(self) -> None:
        # Reading goes on, since bytes that the client sends meanwhile would reset the connection
        # before it has read the refusal.
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()

    def _abort(self) -> None:
        self._release()
        self._output.clear()
        self._table.remove(self)
        self.transport.abortConnection()

    def _release(self) -> None:
        """Frees what this connection holds of requests."""
        self._closing = self._closed = True
        self._parser.stop()
        self._slots.clear()
        self._unparsed = b""
        self._cancel_timer()

    def _update(self) -> None:
        """Reads on or pauses, starts the timeout of a new activity, and records the buffers."""
        if self._closed or self._parsing:
            return
        if self._reading_paused != (self._must_wait() or bool(self._unparsed)):
            self._reading_paused = not self._reading_paused
            if self._reading_paused:
                if self._input_age is not None:
                    self._input_age.note_pause(self._context.reactor.seconds())
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()
        activity = self._current_activity()
        if activity is not self._activity:
            self._activity = activity
            self._start_timer(activity)
        received = self._parser.buffered_bytes + len(self._unparsed)
        self._table.set_buffered(self, received + self._kept_bytes + self._output.buffered_bytes)

    def _current_activity(self) -> _Activity:
        if self._output.paused:
            return _Activity.SENDING
        if self._parser.receiving and not self._must_wait():
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
            self._refuse(Reply(408, REQUEST_ERROR))
        elif self._activity is _Activity.IDLE:
            self._close()
        else:
            self._abort()


def _overload_reply() -> Reply:
    return Reply(503, OVERLOAD_ERROR, {"Retry-After": str(RETRY_AFTER_S)})


def _failed_reply(failure: Any, method: str) -> Reply:
    logs.warn("request_failed", method=method, detail=failure.getErrorMessage())
    return Reply(500, INTERNAL_ERROR)
