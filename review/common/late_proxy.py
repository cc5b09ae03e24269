"""A proxy that delivers what one side sends a fixed time later, in order."""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol

from geraniumtrack.protocol.address import Address

__all__ = ["LateProxy"]


class LateProxy:
    """Forwards connections; what the connecting process sends arrives `delay_s` later.

    Args:
        listen: Address on which it listens.
        target: Address to which it forwards.

    Attributes:
        delay_s: Delay of what arrives from now on, in seconds.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.delay_s = 0.0
        self.target = target
        self._listen = listen

    def open(self) -> Deferred:
        """Opens the listening port."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _Side(self, None)
        endpoint = TCP4ServerEndpoint(reactor, self._listen.port, interface=self._listen.host)
        return endpoint.listen(factory)


class _Side(Protocol):
    """One side of a connection; the side of the connecting process has no peer at first."""

    def __init__(self, proxy: LateProxy, peer: _Side | None) -> None:
        self.peer = peer
        self._proxy = proxy
        self._connects = peer is None
        self._waiting: list[bytes] = []  # until the target is connected
        self._due = 0.0

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self.transport.setTcpNoDelay(True)
        if self.peer is None:
            factory = Factory()
            factory.noisy = False
            factory.buildProtocol = lambda _addr: _Side(self._proxy, self)
            target = self._proxy.target
            endpoint = TCP4ClientEndpoint(reactor, target.host, target.port, timeout=2.0)
            endpoint.connect(factory).addErrback(lambda _: self.transport.abortConnection())
            return
        self.peer.peer = self
        waiting, self.peer._waiting = self.peer._waiting, []
        self.transport.write(b"".join(waiting))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        if self.peer is not None:
            self.peer.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        now = reactor.seconds()
        self._due = max(self._due, now + (self._proxy.delay_s if self._connects else 0.0))
        if self._due > now:
            reactor.callLater(self._due - now, self._deliver, data)
        else:
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self.peer is None:
            self._waiting.append(data)
        else:
            self.peer.transport.write(data)
