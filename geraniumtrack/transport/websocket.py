"""Websocket connections on Twisted TCP, through the Sans-I/O layer of `websockets`.

A connection carries whole binary frames. It pings while idle and closes itself when nothing has
arrived for `SILENCE_S`, because a connection can go silent for good while new ones work.
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

__all__ = ["FrameReceiver", "WebSocketConnection", "client_factory", "server_factory"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
PING_INTERVAL_S = 1.0
SILENCE_S = 3.5  # two missed pings and a margin


class FrameReceiver(Interface):
    """What the owner of a connection implements."""

    def opened(self, conn: WebSocketConnection) -> None:
        """The websocket handshake is complete."""

    def frame_received(self, data: bytes) -> None:
        """A whole binary frame arrived."""

    def closed(self, reason: str) -> None:
        """The connection is gone."""


class WebSocketConnection(Protocol):
    """One end of a connection.

    Args:
        machine: Sans-I/O client or server protocol.
        receiver: Owner of the connection.
        clock: Reactor, for pings and the silence check.
    """

    def __init__(
        self,
        machine: ClientProtocol | ServerProtocol,
        receiver: FrameReceiver,
        clock: IReactorTime,
    ) -> None:
        self._machine = machine
        self._receiver = receiver
        self._clock = clock
        self._heard_at = clock.seconds()
        self._parts: list[bytes] = []
        self._opened = False
        self._pings = LoopingCall(self._ping)
        self._pings.clock = clock

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Starts the handshake on a client."""
        self.transport.setTcpNoDelay(True)
        self._heard_at = self._clock.seconds()
        self._pings.start(PING_INTERVAL_S, now=False)
        if isinstance(self._machine, ClientProtocol):
            self._machine.send_request(self._machine.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Feeds bytes to the Sans-I/O machine and handles what comes out."""
        self._heard_at = self._clock.seconds()
        self._machine.receive_data(data)
        self._handle_events()
        self._flush()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802 - Twisted's name
        """Tells the owner."""
        if self._pings.running:
            self._pings.stop()
        self._receiver.closed(str(getattr(reason, "value", reason)))

    @property
    def heard_at(self) -> float:
        """Clock value in s when bytes last arrived."""
        return self._heard_at

    def send_frame(self, data: bytes) -> bool:
        """Sends one binary frame.

        Returns:
            Whether the connection was open.
        """
        if self._machine.state is not State.OPEN:
            return False
        try:
            self._machine.send_binary(data)
        except InvalidState:
            return False
        self._flush()
        return True

    def close(self) -> None:
        """Closes the connection after sending what is buffered."""
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Closes the connection at once, even if the other end is silent."""
        if self.transport is not None:
            self.transport.abortConnection()

    def _handle_events(self) -> None:
        for event in self._machine.events_received():
            if isinstance(event, Request):
                self._machine.send_response(self._machine.accept(event))
                self._open_if_ready()
            elif isinstance(event, Response):
                self._open_if_ready()
            elif isinstance(event, Frame):
                self._handle_frame(event)

    def _open_if_ready(self) -> None:
        if self._machine.state is State.OPEN and not self._opened:
            self._flush()
            self._opened = True
            self._receiver.opened(self)

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode not in (Opcode.BINARY, Opcode.CONT):
            return
        self._parts.append(bytes(frame.data))
        if frame.fin:
            data, self._parts = b"".join(self._parts), []
            self._receiver.frame_received(data)

    def _ping(self) -> None:
        silent_s = self._clock.seconds() - self._heard_at
        if silent_s > SILENCE_S:
            self.abort()
        elif silent_s < PING_INTERVAL_S:
            return  # what arrived shows that the connection lives
        elif self._machine.state is State.OPEN:
            self._machine.send_ping(b"")
            self._flush()

    def _flush(self) -> None:
        for data in self._machine.data_to_send():
            if data:
                self.transport.write(data)
            else:
                self.transport.loseConnection()


def client_factory(
    host: str, port: int, receiver: FrameReceiver, clock: IReactorTime
) -> Callable[[], WebSocketConnection]:
    """Returns a function that builds the client end of a new connection."""
    uri = parse_uri(f"ws://{host}:{port}/")

    def build() -> WebSocketConnection:
        machine = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
        return WebSocketConnection(machine, receiver, clock)

    return build


def server_factory(make_receiver: Callable[[], FrameReceiver], clock: IReactorTime) -> Factory:
    """Returns a Twisted factory that gives each accepted connection its own receiver."""

    class _ServerFactory(Factory):
        noisy = False

        def buildProtocol(self, addr: object) -> WebSocketConnection:  # noqa: N802
            machine = ServerProtocol(max_size=MAX_FRAME_BYTES)
            return WebSocketConnection(machine, make_receiver(), clock)

    return _ServerFactory()
