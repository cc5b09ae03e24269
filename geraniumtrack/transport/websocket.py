"""WebSocket connections over Twisted TCP, with the Sans-I/O layer of `websockets`.

A connection carries complete binary messages. It sends pings while it receives nothing, and closes
when nothing has arrived for more than `SILENCE_LIMIT_S`, because an established connection can stop
delivering data for good while new connections work.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol as Interface

from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

__all__ = ["FrameReceiver", "WebSocketConnection", "client_builder", "server_factory"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
# From a peer before it is authenticated; the handshake takes 1 KB.
MAX_UNAUTHENTICATED_BYTES = 16 * 1024
# Accepted connections whose peer is not authenticated; beyond it the oldest is closed. All
# processes of the largest deployment may connect at the same time.
MAX_UNAUTHENTICATED = 256
OPEN_TIMEOUT_S = 3.0  # for the request that opens the WebSocket connection
PING_INTERVAL_S = 1.0
SILENCE_LIMIT_S = 3.5  # at least two unanswered pings and a margin


class FrameReceiver(Interface):
    """Callbacks of a connection, which its owner implements."""

    def opened(self, conn: WebSocketConnection) -> None:
        """Called when the WebSocket handshake is complete."""

    def frame_received(self, data: bytes) -> None:
        """Called with each complete binary message."""

    def closed(self, reason: str) -> None:
        """Called when the connection has closed."""


class WebSocketConnection(Protocol):
    """One end of a WebSocket connection.

    Args:
        protocol: Sans-I/O client or server protocol.
        receiver: Owner of the connection, which gets the callbacks.
        clock: Reactor, for pings and for the check of `SILENCE_LIMIT_S`.
        unauthenticated: The accepted connections whose peers are not authenticated, oldest first.
    """

    def __init__(
        self,
        protocol: ClientProtocol | ServerProtocol,
        receiver: FrameReceiver,
        clock: IReactorTime,
        unauthenticated: dict[WebSocketConnection, None] | None = None,
    ) -> None:
        self._unauthenticated = {} if unauthenticated is None else unauthenticated
        self._protocol = protocol
        self._receiver = receiver
        self._clock = clock
        self._heard_at = clock.seconds()
        self._connected_at = clock.seconds()
        self._fragments = bytearray()
        self._opened = False
        self._authenticated = False
        self._unauthenticated_bytes = 0
        self._sending_paused = False
        self._unsent_bytes = 0
        self._ping_loop = LoopingCall(self._ping)
        self._ping_loop.clock = clock

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Starts the pings and, on a client, the handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._heard_at = self._clock.seconds()
        self._ping_loop.start(PING_INTERVAL_S, now=False)
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Feeds data to the Sans-I/O protocol and handles the resulting events."""
        self._heard_at = self._clock.seconds()
        self._protocol.receive_data(data)
        self._handle_events()
        self._flush()
        # Counted afterwards, since messages may follow the end of the handshake in the same read.
        self._unauthenticated_bytes += len(data)
        if not self._authenticated and self._unauthenticated_bytes > MAX_UNAUTHENTICATED_BYTES:
            self.abort()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802 - Twisted's name
        """Stops the pings and calls `closed` of the receiver."""
        if self._ping_loop.running:
            self._ping_loop.stop()
        self._unauthenticated.pop(self, None)
        self._receiver.closed(str(getattr(reason, "value", reason)))

    # Output, as the transport's producer.

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when more bytes are unsent than the transport buffers."""
        self._sending_paused = True

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when all bytes have been sent."""
        self._sending_paused = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when the connection is lost; `connectionLost` follows."""

    @property
    def unsent_bytes(self) -> int:
        """Upper bound of the bytes beyond the transport's buffer that wait for the peer to read."""
        return self._unsent_bytes

    @property
    def heard_at(self) -> float:
        """Clock value in seconds at which data last arrived."""
        return self._heard_at

    def send_frame(self, data: bytes) -> bool:
        """Sends one binary message.

        Returns:
            Whether the connection was open.
        """
        if self._protocol.state is not State.OPEN:
            return False
        try:
            self._protocol.send_binary(data)
        except InvalidState:
            return False
        self._flush()
        return True

    def peer_authenticated(self) -> None:
        """Accepts any number of bytes from now on."""
        self._authenticated = True
        self._unauthenticated.pop(self, None)

    def close(self) -> None:
        """Closes the connection after sending the buffered data."""
        if self.transport is not None:
            self._end_output()

    def abort(self) -> None:
        """Closes the connection at once, even if the peer does not respond."""
        if self.transport is not None:
            self.transport.abortConnection()

    def _handle_events(self) -> None:
        for event in self._protocol.events_received():
            if isinstance(event, Request):
                self._protocol.send_response(self._protocol.accept(event))
                self._open_if_ready()
            elif isinstance(event, Response):
                self._open_if_ready()
            elif isinstance(event, Frame):
                self._handle_frame(event)

    def _open_if_ready(self) -> None:
        if self._protocol.state is State.OPEN and not self._opened:
            self._flush()
            self._opened = True
            self._receiver.opened(self)

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode not in (Opcode.BINARY, Opcode.CONT):
            return
        self._fragments += frame.data
        if frame.fin:
            data, self._fragments = bytes(self._fragments), bytearray()
            self._receiver.frame_received(data)

    def _ping(self) -> None:
        now = self._clock.seconds()
        silent_s = now - self._heard_at
        late = not self._opened and now - self._connected_at > OPEN_TIMEOUT_S
        if late or silent_s > SILENCE_LIMIT_S:
            self.abort()
        elif silent_s < PING_INTERVAL_S:
            return  # recent data shows that the connection works
        elif self._protocol.state is State.OPEN:
            self._protocol.send_ping(b"")
            self._flush()

    def _flush(self) -> None:
        for data in self._protocol.data_to_send():
            if not data:
                self._end_output()
                return
            self.transport.write(data)
            if self._sending_paused:
                self._unsent_bytes += len(data)

    def _end_output(self) -> None:
        self.transport.loseConnection()
        self.transport.unregisterProducer()  # otherwise the transport waits for its end


def client_builder(
    host: str, port: int, receiver: FrameReceiver, clock: IReactorTime
) -> Callable[[], WebSocketConnection]:
    """Returns a function that builds the client end of a new connection."""
    uri = parse_uri(f"ws://{host}:{port}/")

    def build() -> WebSocketConnection:
        protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
        return WebSocketConnection(protocol, receiver, clock)

    return build


def server_factory(make_receiver: Callable[[], FrameReceiver], clock: IReactorTime) -> Factory:
    """Returns a Twisted factory that creates a receiver for each accepted connection."""

    unauthenticated: dict[WebSocketConnection, None] = {}

    class _ServerFactory(Factory):
        noisy = False

        def buildProtocol(self, addr: object) -> WebSocketConnection:  # noqa: N802
            if len(unauthenticated) >= MAX_UNAUTHENTICATED:
                oldest = next(iter(unauthenticated))
                del unauthenticated[oldest]
                oldest.abort()
            protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
            conn = WebSocketConnection(protocol, make_receiver(), clock, unauthenticated)
            unauthenticated[conn] = None
            return conn

    return _ServerFactory()
