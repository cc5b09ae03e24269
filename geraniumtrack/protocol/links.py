"""Authenticated links between processes: named, reconnecting, with request and reply."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import Any

from automat import NoTransition
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint, TCP4ServerEndpoint
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import Factory

from geraniumtrack import logs, tracing
from geraniumtrack.errors import (
    CodecError,
    ConnectionLost,
    HandshakeFailed,
    RequestTimeout,
)
from geraniumtrack.protocol.address import Address, Identity
from geraniumtrack.protocol.envelope import Envelope, Hello, Proof, open_frame, seal
from geraniumtrack.protocol.handshake import HANDSHAKE_TIMEOUT_S, start_handshake
from geraniumtrack.transport.websocket import (
    WebSocketConnection,
    client_factory,
    server_factory,
)

__all__ = ["Address", "Identity", "Link", "LinkHub"]

RECONNECT_FIRST_S = 0.1
RECONNECT_MAX_S = 1.0  # short, because a cut data centre must be back within seconds
CONNECT_TIMEOUT_S = 1.0  # a lost opening packet is sent again sooner by a new connection


Handler = Callable[["Link", Any, Callable[[Any], None], str], None]


class Link:
    """One authenticated connection. Implements `FrameReceiver`."""

    def __init__(self, hub: LinkHub, *, on_closed: Callable[[Link], None]) -> None:
        self.peer: Identity | None = None
        self._hub = hub
        self._on_closed = on_closed
        self._conn: WebSocketConnection | None = None
        self._handshake, self._core = start_handshake(
            hub.identity, hub.secret, lambda body: self._conn.send_frame(seal(Envelope(body)))
        )
        self._timer: IDelayedCall | None = None
        self._waiting: dict[int, tuple[Deferred, IDelayedCall]] = {}
        self._ids = itertools.count(1)

    @property
    def ready(self) -> bool:
        """Whether the peer has proved itself and the connection is open."""
        return self.peer is not None and self._conn is not None

    @property
    def heard_at(self) -> float:
        """Clock value in s when the peer was last heard; minus infinity on a closed link."""
        return self._conn.heard_at if self.ready else float("-inf")

    def send(self, body: Any, *, trace: str = "") -> bool:
        """Sends a message that wants no reply; returns whether the link was open."""
        trace = trace or tracing.current()
        return self.ready and self._conn.send_frame(seal(Envelope(body, trace=trace)))

    def send_sealed(self, frame: bytes) -> bool:
        """Sends a frame that was sealed before; returns whether the link was open."""
        return self.ready and self._conn.send_frame(frame)

    def request(self, body: Any, *, timeout_s: float, trace: str = "") -> Deferred:
        """Sends a message and waits for its reply.

        Returns:
            A Deferred of the reply body. It fails with ConnectionLost or RequestTimeout, and then
            the peer may or may not have acted; if its `sent` attribute is false it has not.
        """
        fut: Deferred = Deferred()
        number = next(self._ids)
        trace = trace or tracing.current()
        if not self.ready or not self._conn.send_frame(seal(Envelope(body, number, 0, trace))):
            exc = ConnectionLost("the link is down", remedy="retry on another link")
            exc.sent = False
            fut.errback(exc)
            return fut
        timer = self._hub.reactor.callLater(timeout_s, self._timed_out, number, timeout_s)
        self._waiting[number] = (fut, timer)
        return fut

    def close(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()

    def opened(self, conn: WebSocketConnection) -> None:
        """Starts the mutual proof."""
        self._conn = conn
        self._timer = self._hub.reactor.callLater(HANDSHAKE_TIMEOUT_S, self._handshake_timed_out)
        self._handshake.opened()

    def frame_received(self, data: bytes) -> None:
        """Handles one frame; a frame that cannot be read closes the link."""
        try:
            envelope = open_frame(data)
            if self.peer is None:
                self._advance(envelope.body)
            else:
                self._dispatch(envelope)
        except (CodecError, HandshakeFailed) as exc:
            theirs = self._core.theirs
            logs.warn("link_refused", peer=theirs.name if theirs else "unknown", detail=exc)
            if self._conn is not None:
                self._conn.abort()

    def closed(self, reason: str) -> None:
        """Fails what still waits for a reply."""
        self._conn = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        waiting, self._waiting = self._waiting, {}
        for fut, timer in waiting.values():
            timer.cancel()
            exc = ConnectionLost(f"the link closed: {reason}", remedy="retry on another link")
            exc.sent = True
            fut.errback(exc)
        self._on_closed(self)

    def _advance(self, body: Any) -> None:
        try:
            if isinstance(body, Hello):
                self._handshake.hello_received(body)
            elif isinstance(body, Proof):
                self._handshake.proof_received(body)
            else:
                raise HandshakeFailed("message before the proof", remedy="check the peer's version")
        except NoTransition as exc:
            raise HandshakeFailed(
                f"{type(body).__name__} out of order", remedy="check the peer's version"
            ) from exc
        if self._handshake.finished():
            self._proved()

    def _proved(self) -> None:
        self._timer.cancel()
        theirs = self._core.theirs
        self.peer = Identity(theirs.name, theirs.role, theirs.data_centre)
        self._hub.link_ready(self)

    def _handshake_timed_out(self) -> None:
        logs.warn("link_refused", peer="unknown", detail="no proof in time")
        if self._conn is not None:
            self._conn.abort()

    def _dispatch(self, envelope: Envelope) -> None:
        if envelope.reply_to:
            fut, timer = self._waiting.pop(envelope.reply_to, (None, None))
            if fut is not None:
                timer.cancel()
                fut.callback(envelope.body)
            return
        self._hub.handler(self, envelope.body, self._replier(envelope.request), envelope.trace)

    def _replier(self, number: int) -> Callable[[Any], None]:
        def reply(body: Any) -> None:
            if number and self._conn is not None:
                self._conn.send_frame(seal(Envelope(body, reply_to=number)))

        return reply

    def _timed_out(self, number: int, timeout_s: float) -> None:
        fut, _ = self._waiting.pop(number)
        exc = RequestTimeout(f"no reply within {timeout_s} s", remedy="retry if it is idempotent")
        exc.sent = True
        fut.errback(exc)


class _Dialer:
    """Keeps one outgoing link to a named peer."""

    def __init__(self, hub: LinkHub, name: str, address: Address) -> None:
        self.link: Link | None = None
        self._hub = hub
        self._name = name
        self._address = address
        self._delay = RECONNECT_FIRST_S
        self._stopped = False
        self._timer: IDelayedCall | None = None

    def dial(self) -> None:
        """Opens a connection and reconnects whenever it is lost."""
        self._timer = None
        if self._stopped:
            return
        link = Link(self._hub, on_closed=self._closed)
        build = client_factory(*self._address, link, self._hub.reactor)
        factory = Factory.forProtocol(build)
        factory.noisy = False
        factory.protocol = build
        endpoint = HostnameEndpoint(
            self._hub.reactor, self._address.host, self._address.port, timeout=CONNECT_TIMEOUT_S
        )
        self.link = link
        endpoint.connect(factory).addErrback(lambda _failure: self._closed(link))

    def connected(self) -> None:
        """Resets the reconnection delay."""
        self._delay = RECONNECT_FIRST_S

    def stop(self) -> None:
        """Closes the link for good."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self.link is not None:
            self.link.close()

    def _closed(self, link: Link) -> None:
        if self._stopped or link is not self.link:
            return
        self.link = None
        self._timer = self._hub.reactor.callLater(self._delay, self.dial)
        self._delay = min(self._delay * 2, RECONNECT_MAX_S)


class LinkHub:
    """All links of one process.

    Args:
        reactor: Twisted reactor.
        identity: Who this process is.
        secret: Cluster secret.
        handler: Called with the link, the message, a reply function and the trace context.
        on_ready: Called when a link in either direction has been proved.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        identity: Identity,
        secret: bytes,
        handler: Handler,
        on_ready: Callable[[Link], None] | None = None,
    ) -> None:
        self.reactor = reactor
        self.identity = identity
        self.secret = secret
        self.handler = handler
        self._on_ready = on_ready
        self._dialers: dict[str, _Dialer] = {}
        self.accepted: set[Link] = set()
        self._port: Any = None

    def listen(self, address: Address) -> Deferred:
        """Starts accepting links; the Deferred fires when the port is open."""
        endpoint = TCP4ServerEndpoint(self.reactor, address.port, interface=address.host)
        factory = server_factory(self._accept, self.reactor)
        return endpoint.listen(factory).addCallback(self._listening)

    def dial(self, name: str, address: Address) -> None:
        """Keeps a link to a peer from now on."""
        if name not in self._dialers:
            self._dialers[name] = _Dialer(self, name, address)
            self._dialers[name].dial()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the peers that are dialled."""
        return tuple(self._dialers)

    def link(self, name: str) -> Link | None:
        """Returns the outgoing link to a peer if it is ready."""
        dialer = self._dialers.get(name)
        if dialer is None or dialer.link is None or not dialer.link.ready:
            return None
        return dialer.link

    def send_all(self, names: Iterable[str], body: Any) -> None:
        """Sends one message to several peers; it is encoded once."""
        frame = seal(Envelope(body))
        for name in names:
            link = self.link(name)
            if link is not None:
                link.send_sealed(frame)

    def link_ready(self, link: Link) -> None:
        """Notes that a link's peer has been proved."""
        for dialer in self._dialers.values():
            if dialer.link is link:
                dialer.connected()
        logs.event("link_ready", peer=link.peer.name, role=link.peer.role)
        if self._on_ready is not None:
            self._on_ready(link)

    def stop(self) -> None:
        """Closes all links and the port."""
        for dialer in self._dialers.values():
            dialer.stop()
        for link in list(self.accepted):
            link.close()
        if self._port is not None:
            self._port.stopListening()

    def _accept(self) -> Link:
        link = Link(self, on_closed=self.accepted.discard)
        self.accepted.add(link)
        return link

    def _listening(self, port: Any) -> None:
        self._port = port


def was_sent(exc: BaseException) -> bool:
    """Whether a failed request may have reached the peer."""
    return getattr(exc, "sent", True)
