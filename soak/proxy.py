"""A proxy for the connections from one process to another, which can delay, hold or break them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol

from geraniumtrack.protocol.address import Address

__all__ = ["LinkFaults", "Proxy"]

CONNECT_TIMEOUT_S = 2.0


@dataclass(slots=True)
class LinkFaults:
    """Faults of the connections through a proxy.

    Attributes:
        hold_to_target: Whether data to the target is held back, as in a one-way partition.
        hold_from_target: Whether data from the target is held back.
        delay_s: Longest delay of a chunk in each direction, in seconds. The timer of a chunk sends
            everything that is held, so chunks that closely follow others are delayed less.
    """

    hold_to_target: bool = False
    hold_from_target: bool = False
    delay_s: float = 0.0


class Proxy:
    """Listens on one address and forwards each connection to another.

    Args:
        reactor: Twisted reactor.
        listen: Address on which it listens.
        target: Address to which it forwards.

    Attributes:
        faults: Faults of its connections at present.
    """

    def __init__(self, reactor: Any, listen: Address, target: Address) -> None:
        self.reactor = reactor
        self.faults = LinkFaults()
        self.target = target
        self._listen = listen
        self._sides: set[_Side] = set()

    def open(self) -> Deferred:
        """Opens the listening port."""
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _ClientSide(self)
        endpoint = TCP4ServerEndpoint(
            self.reactor, self._listen.port, backlog=512, interface=self._listen.host
        )
        return endpoint.listen(factory)

    def set_faults(self, faults: LinkFaults) -> None:
        """Replaces the current faults, and delivers held data that is no longer to be held."""
        self.faults = faults
        for side in list(self._sides):
            side.flush()

    def reset(self) -> None:
        """Aborts the open connections."""
        for side in list(self._sides):
            side.transport.abortConnection()

    def silence(self) -> None:
        """Stops delivery of data on the open connections for good; new connections work."""
        for side in self._sides:
            side.silenced = True

    def add_side(self, side: _Side) -> None:
        """Adds one side of an open connection."""
        self._sides.add(side)

    def remove_side(self, side: _Side) -> None:
        """Removes one side of a connection that was closed."""
        self._sides.discard(side)


class _Side(Protocol):
    """One side of a forwarded connection.

    Attributes:
        silenced: Whether it never again passes on data or the close of the connection.
        peer: The other side; None until the proxy has connected to the target.
    """

    def __init__(self, proxy: Proxy) -> None:
        self.silenced = False
        self.peer: _Side | None = None
        self._proxy = proxy
        self._held: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self.transport.setTcpNoDelay(True)
        self._proxy.add_side(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        self._proxy.remove_side(self)
        if self.peer is not None and not self.silenced and not self._is_held():
            self.peer.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        self._held.append(data)
        if self._proxy.faults.delay_s:
            self._proxy.reactor.callLater(self._proxy.faults.delay_s, self.flush)
        else:
            self.flush()

    def flush(self) -> None:
        """Sends the held data to the peer, unless a fault holds it."""
        if self.silenced or self._is_held() or self.peer is None or not self._held:
            return
        held, self._held = self._held, []
        self.peer.transport.write(b"".join(held))

    def _is_held(self) -> bool:
        raise NotImplementedError


class _ClientSide(_Side):
    """The side of the process that connected to the proxy."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        super().connectionMade()
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: _TargetSide(self._proxy, self)
        target = self._proxy.target
        endpoint = TCP4ClientEndpoint(
            self._proxy.reactor, target.host, target.port, timeout=CONNECT_TIMEOUT_S
        )
        endpoint.connect(factory).addErrback(lambda _: self.transport.abortConnection())

    def _is_held(self) -> bool:
        return self._proxy.faults.hold_to_target


class _TargetSide(_Side):
    """The side of the connection that the proxy opened to the target."""

    def __init__(self, proxy: Proxy, client_side: _ClientSide) -> None:
        super().__init__(proxy)
        self.peer = client_side

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        super().connectionMade()
        self.silenced = self.peer.silenced
        self.peer.peer = self
        self.peer.flush()

    def _is_held(self) -> bool:
        return self._proxy.faults.hold_from_target
