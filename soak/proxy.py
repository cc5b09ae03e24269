"""A loopback proxy for one way between two processes, which delays, resets, cuts or silences it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol

from geraniumtrack.protocol.address import Address

__all__ = ["Proxy", "Way"]

CONNECT_TIMEOUT_S = 2.0


@dataclass(slots=True)
class Way:
    """What a proxy does to bytes.

    Attributes:
        to_held: Bytes to the target are held back, as in a partition one way.
        from_held: Bytes from the target are held back.
        delay_s: Added to each chunk, in both directions.
    """

    to_held: bool = False
    from_held: bool = False
    delay_s: float = 0.0


class Proxy:
    """Listens on one address and forwards each connection to another.

    Args:
        reactor: Twisted reactor.
        listen: Where it listens.
        target: Where it forwards to.
    """

    def __init__(self, reactor: Any, listen: Address, target: Address) -> None:
        self.reactor = reactor
        self.way = Way()
        self.target = target
        self._listen = listen
        self._pairs: set[_Side] = set()

    def open(self) -> Deferred:
        """Opens the port."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _Near(self)
        endpoint = TCP4ServerEndpoint(
            self.reactor, self._listen.port, backlog=512, interface=self._listen.host
        )
        return endpoint.listen(factory)

    def set(self, way: Way) -> None:
        """Changes what happens from now on; what was held is delivered when it may pass."""
        self.way = way
        for side in list(self._pairs):
            side.flush()

    def reset(self) -> None:
        """Resets the open connections."""
        for side in list(self._pairs):
            side.transport.abortConnection()

    def silence(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        for side in self._pairs:
            side.dead = True

    def joined(self, side: _Side) -> None:
        """Notes an open connection."""
        self._pairs.add(side)

    def left(self, side: _Side) -> None:
        """Forgets a connection."""
        self._pairs.discard(side)


class _Side(Protocol):
    """One end of a forwarded connection; `peer` is the other one."""

    def __init__(self, proxy: Proxy) -> None:
        self.dead = False
        self.peer: _Side | None = None
        self._proxy = proxy
        self._held: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self.transport.setTcpNoDelay(True)
        self._proxy.joined(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        self._proxy.left(self)
        if self.peer is not None and not self.dead and not self._blocked():
            self.peer.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        self._held.append(data)
        if self._proxy.way.delay_s:
            self._proxy.reactor.callLater(self._proxy.way.delay_s, self.flush)
        else:
            self.flush()

    def flush(self) -> None:
        """Passes on what may pass."""
        if self.dead or self._blocked() or self.peer is None or not self._held:
            return
        held, self._held = self._held, []
        self.peer.transport.write(b"".join(held))

    def _blocked(self) -> bool:
        raise NotImplementedError


class _Near(_Side):
    """The side of the process that connected."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        super().connectionMade()
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _Far(self._proxy, self)
        target = self._proxy.target
        endpoint = TCP4ClientEndpoint(
            self._proxy.reactor, target.host, target.port, timeout=CONNECT_TIMEOUT_S
        )
        endpoint.connect(factory).addErrback(lambda _: self.transport.abortConnection())

    def _blocked(self) -> bool:
        return self._proxy.way.to_held


class _Far(_Side):
    """The side of the target."""

    def __init__(self, proxy: Proxy, near: _Near) -> None:
        super().__init__(proxy)
        self.peer = near

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        super().connectionMade()
        self.dead = self.peer.dead
        self.peer.peer = self
        self.peer.flush()

    def _blocked(self) -> bool:
        return self._proxy.way.from_held
