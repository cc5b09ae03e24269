"""Authenticated links between processes, over WebSocket connections.

Each process dials its peers by name, and reconnects when a link is lost. Links carry one-way
messages, and requests with replies.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import Any

from automat import NoTransition
from twisted.internet.defer import Deferred, fail
from twisted.internet.endpoints import HostnameEndpoint, TCP4ServerEndpoint
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import Factory

from geraniumtrack import logs, tracing
from geraniumtrack.errors import (
    CodecError,
    HandshakeFailed,
    LinkUnavailable,
    RequestTimeout,
)
from geraniumtrack.protocol.address import Address, Identity
from geraniumtrack.protocol.envelope import Envelope, Hello, Proof, decode_frame, encode_frame
from geraniumtrack.protocol.handshake import HANDSHAKE_TIMEOUT_S, start_handshake
from geraniumtrack.transport.websocket import (
    WebSocketConnection,
    client_builder,
    server_factory,
)

__all__ = ["Address", "Identity", "Link", "LinkHub"]

RECONNECT_FIRST_S = 0.1
# Short: a data centre must be back within seconds after a network partition has ended.
RECONNECT_MAX_S = 1.0
# A lost SYN must not delay a connection until the later retransmissions of TCP.
CONNECT_TIMEOUT_S = 1.0
# Beyond the transport's buffer. Requests that a slow peer doesn't read are repeated by their
# senders, and would pile up.
MAX_UNSENT_BYTES = 2 * 1024 * 1024


# Arguments: the link, the message, a function that sends the reply, and the trace context.
MessageHandler = Callable[["Link", Any, Callable[[Any], None], str], None]


class Link:
    """One connection to a peer. Implements `FrameReceiver`.

    Messages are sent and handled only after the peer is authenticated.

    Args:
        hub: Links of this process.
        on_closed: Called with this link after its connection has been lost.

    Attributes:
        peer: Identity of the peer, or None until it is authenticated.
    """

    def __init__(self, hub: LinkHub, *, on_closed: Callable[[Link], None]) -> None:
        self.peer: Identity | None = None
        self._hub = hub
        self._on_closed = on_closed
        self._conn: WebSocketConnection | None = None
        self._handshake, self._handshake_core = start_handshake(
            hub.identity,
            hub.secret,
            lambda body: self._conn.send_frame(encode_frame(Envelope(body))),
        )
        self._handshake_timer: IDelayedCall | None = None
        self._pending_requests: dict[int, tuple[Deferred, IDelayedCall]] = {}
        self._request_ids = itertools.count(1)

    @property
    def ready(self) -> bool:
        """Whether the peer is authenticated and the connection is open."""
        return self.peer is not None and self._conn is not None

    @property
    def heard_at(self) -> float:
        """Clock value in seconds when bytes last arrived, or minus infinity if not ready."""
        return self._conn.heard_at if self.ready else float("-inf")

    def send(self, body: Any, *, trace: str = "") -> bool:
        """Sends a message that needs no reply; returns whether the link was ready."""
        trace = trace or tracing.current_traceparent()
        return self.ready and self._conn.send_frame(encode_frame(Envelope(body, trace=trace)))

    def send_encoded(self, frame: bytes) -> bool:
        """Sends a frame that is already encoded; returns whether the link was ready."""
        return self.ready and self._conn.send_frame(frame)

    def request(self, body: Any, *, timeout_s: float, trace: str = "") -> Deferred:
        """Sends a message and waits for its reply.

        Returns:
            A Deferred that fires with the reply body. It fails with LinkUnavailable or
            RequestTimeout. If the `sent` attribute of the exception is false, the peer has not
            acted on the request; otherwise it may have.
        """
        request_id = next(self._request_ids)
        trace = trace or tracing.current_traceparent()
        if self.ready and self._conn.unsent_bytes > MAX_UNSENT_BYTES:
            return _not_sent("the peer doesn't read what was sent before")
        if not self.ready or not self._conn.send_frame(
            encode_frame(Envelope(body, request_id, 0, trace))
        ):
            return _not_sent("the link is not ready")
        fut: Deferred = Deferred()
        timer = self._hub.reactor.callLater(
            timeout_s, self._request_timed_out, request_id, timeout_s
        )
        self._pending_requests[request_id] = (fut, timer)
        return fut

    def close(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()

    def opened(self, conn: WebSocketConnection) -> None:
        """Starts the handshake."""
        self._conn = conn
        self._handshake_timer = self._hub.reactor.callLater(
            HANDSHAKE_TIMEOUT_S, self._handshake_timed_out
        )
        self._handshake.opened()

    def frame_received(self, data: bytes) -> None:
        """Handles one frame; closes the link if the frame is invalid or the handshake fails."""
        try:
            envelope = decode_frame(data)
            if self.peer is None:
                self._handle_handshake_message(envelope.body)
            else:
                self._handle_message(envelope)
        except (CodecError, HandshakeFailed) as exc:
            hello = self._handshake_core.peer_hello
            logs.warn("link_refused", peer=hello.name if hello else "unknown", detail=exc)
            if self._conn is not None:
                self._conn.abort()

    def closed(self, reason: str) -> None:
        """Fails all requests that still wait for a reply."""
        self._conn = None
        if self._handshake_timer is not None and self._handshake_timer.active():
            self._handshake_timer.cancel()
        requests, self._pending_requests = self._pending_requests, {}
        for fut, timer in requests.values():
            timer.cancel()
            exc = LinkUnavailable(f"the link closed: {reason}", remedy="retry on another link")
            exc.sent = True
            fut.errback(exc)
        self._on_closed(self)

    def _handle_handshake_message(self, body: Any) -> None:
        try:
            if isinstance(body, Hello):
                _check_hello(body)
                self._handshake.hello_received(body)
            elif isinstance(body, Proof):
                self._handshake.proof_received(body)
            else:
                raise HandshakeFailed(
                    "message before authentication", remedy="check the peer's version"
                )
        except (TypeError, ValueError, AttributeError) as exc:
            raise HandshakeFailed(
                f"{type(body).__name__} has a malformed field", remedy="check the peer's version"
            ) from exc
        except NoTransition as exc:
            raise HandshakeFailed(
                f"{type(body).__name__} received out of order", remedy="check the peer's version"
            ) from exc
        if self._handshake.finished():
            self._handshake_completed()

    def _handshake_completed(self) -> None:
        self._handshake_timer.cancel()
        hello = self._handshake_core.peer_hello
        self.peer = Identity(hello.name, hello.role, hello.data_centre)
        self._conn.peer_authenticated()
        self._hub.link_ready(self)

    def _handshake_timed_out(self) -> None:
        logs.warn("link_refused", peer="unknown", detail="handshake timed out")
        if self._conn is not None:
            self._conn.abort()

    def _handle_message(self, envelope: Envelope) -> None:
        if envelope.reply_to:
            fut, timer = self._pending_requests.pop(envelope.reply_to, (None, None))
            if fut is not None:
                timer.cancel()
                fut.callback(envelope.body)
            return
        reply = self._reply_function(envelope.request)
        try:
            self._hub.handler(self, envelope.body, reply, envelope.trace)
        except Exception as exc:  # noqa: BLE001 - the link carries other requests too
            message = type(envelope.body).__name__
            logs.warn("message_failed", peer=self.peer.name, message=message, detail=repr(exc))

    def _reply_function(self, request_id: int) -> Callable[[Any], None]:
        def reply(body: Any) -> None:
            if request_id and self._conn is not None:
                self._conn.send_frame(encode_frame(Envelope(body, reply_to=request_id)))

        return reply

    def _request_timed_out(self, request_id: int, timeout_s: float) -> None:
        fut, _ = self._pending_requests.pop(request_id)
        exc = RequestTimeout(f"no reply within {timeout_s} s", remedy="retry if it is idempotent")
        exc.sent = True
        fut.errback(exc)


class _Dialer:
    """Maintains the outgoing link to one peer, and reconnects it after a loss.

    Args:
        hub: Links of this process.
        name: Name of the peer.
        address: Address of the peer.
    """

    def __init__(self, hub: LinkHub, name: str, address: Address) -> None:
        self.link: Link | None = None
        self._hub = hub
        self._name = name
        self._address = address
        self._reconnect_delay = RECONNECT_FIRST_S
        self._stopped = False
        self._timer: IDelayedCall | None = None

    def dial(self) -> None:
        """Opens a connection, and reconnects whenever it is lost."""
        self._timer = None
        if self._stopped:
            return
        link = Link(self._hub, on_closed=self._closed)
        build_protocol = client_builder(*self._address, link, self._hub.reactor)
        factory = Factory.forProtocol(build_protocol)
        factory.noisy = False
        factory.protocol = build_protocol
        endpoint = HostnameEndpoint(
            self._hub.reactor, self._address.host, self._address.port, timeout=CONNECT_TIMEOUT_S
        )
        self.link = link
        endpoint.connect(factory).addErrback(lambda _failure: self._closed(link))

    def connected(self) -> None:
        """Resets the reconnection delay, after the peer has been authenticated."""
        self._reconnect_delay = RECONNECT_FIRST_S

    def stop(self) -> None:
        """Closes the link and stops reconnecting."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self.link is not None:
            self.link.close()

    def _closed(self, link: Link) -> None:
        if self._stopped or link is not self.link:
            return
        self.link = None
        self._timer = self._hub.reactor.callLater(self._reconnect_delay, self.dial)
        self._reconnect_delay = min(self._reconnect_delay * 2, RECONNECT_MAX_S)


class LinkHub:
    """The outgoing and accepted links of one process.

    Args:
        reactor: Twisted reactor.
        identity: Identity of this process.
        secret: Cluster secret.
        handler: Called with the link, the message, a function that sends the reply, and the trace
            context of the sender.
        on_ready: Called with each outgoing or accepted link whose peer has been authenticated.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        identity: Identity,
        secret: bytes,
        handler: MessageHandler,
        on_ready: Callable[[Link], None] | None = None,
    ) -> None:
        self.reactor = reactor
        self.identity = identity
        self.secret = secret
        self.handler = handler
        self._on_ready = on_ready
        self._dialers: dict[str, _Dialer] = {}
        self.accepted_links: set[Link] = set()
        self._port: Any = None

    def listen(self, address: Address) -> Deferred:
        """Starts to accept links; the Deferred fires when the port is open."""
        endpoint = TCP4ServerEndpoint(self.reactor, address.port, interface=address.host)
        factory = server_factory(self._accept, self.reactor)
        return endpoint.listen(factory).addCallback(self._port_opened)

    def dial(self, name: str, address: Address) -> None:
        """Opens and maintains a link to a peer, unless it is dialled already."""
        if name not in self._dialers:
            self._dialers[name] = _Dialer(self, name, address)
            self._dialers[name].dial()

    @property
    def peer_names(self) -> tuple[str, ...]:
        """Names of the peers that are dialled."""
        return tuple(self._dialers)

    def link(self, name: str) -> Link | None:
        """Returns the outgoing link to a peer if it is ready."""
        dialer = self._dialers.get(name)
        if dialer is None or dialer.link is None or not dialer.link.ready:
            return None
        return dialer.link

    def send_to(self, names: Iterable[str], body: Any) -> None:
        """Sends a message, encoded only once, to those of the named peers whose link is ready."""
        frame = encode_frame(Envelope(body))
        for name in names:
            link = self.link(name)
            if link is not None:
                link.send_encoded(frame)

    def link_ready(self, link: Link) -> None:
        """Called by a link whose peer has been authenticated."""
        for dialer in self._dialers.values():
            if dialer.link is link:
                dialer.connected()
        logs.event("link_ready", peer=link.peer.name, role=link.peer.role)
        if self._on_ready is not None:
            self._on_ready(link)

    def stop(self) -> None:
        """Closes all links and the listening port."""
        for dialer in self._dialers.values():
            dialer.stop()
        for link in list(self.accepted_links):
            link.close()
        if self._port is not None:
            self._port.stopListening()

    def _accept(self) -> Link:
        link = Link(self, on_closed=self.accepted_links.discard)
        self.accepted_links.add(link)
        return link

    def _port_opened(self, port: Any) -> None:
        self._port = port


def _not_sent(message: str) -> Deferred:
    exc = LinkUnavailable(message, remedy="retry on another link")
    exc.sent = False
    return fail(exc)


def _check_hello(hello: Hello) -> None:
    for value in (hello.name, hello.role, hello.data_centre):
        if not isinstance(value, str):
            raise TypeError(f"{value!r} is no name")
    if not isinstance(hello.nonce, bytes):
        raise TypeError(f"{hello.nonce!r} is no nonce")


def was_sent(exc: BaseException) -> bool:
    """Returns whether a request that failed with this exception may have reached the peer."""
    return getattr(exc, "sent", True)
