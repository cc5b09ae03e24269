"""Limits what the connections of one port hold together, and decides which one is closed first.

Addresses don't tell clients apart, because the platform forwards connections. The decisions
therefore look at what a connection does. A full table makes room for a new connection by dropping
the one that has gone without a complete request or a reply for longest, so that callers who send
complete requests displace clients who don't. Full buffers drop the connection with the highest
product of size and of that time, so that a new client, or one with a small request, is served
beside clients who leave large requests unfinished or large replies unread.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from geraniumtrack import logs
from geraniumtrack.metrics import metrics

__all__ = ["BoundedConnection", "ConnectionLimits", "ConnectionTable"]

REPORT_INTERVAL_S = 1.0  # of log lines about dropped connections
MIN_AGE_S = 0.01  # added to ages, so that new connections are compared by size


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits for the connections of one port.

    Attributes:
        max_connections: Maximum number of open connections.
        max_buffered_bytes: Maximum size of all requests that are being received and all replies
            that clients have not read, and of the bodies of all requests that are being handled. It
            has to hold the largest request twice, and the largest reply.
        busy_requests: Number of requests without a reply from which on only one request of each
            connection is handled at a time.
    """

    max_connections: int = 1000
    max_buffered_bytes: int = 16 * 1024 * 1024
    busy_requests: int = 128


class BoundedConnection(Protocol):
    """A connection, as the table sees it."""

    @property
    def awaits_reply(self) -> bool:
        """Whether a complete request has no reply yet; such a connection makes no room."""

    def free_buffers(self) -> None:
        """Frees what the connection buffers, and closes it once its client has read a refusal."""

    def free_descriptor(self) -> None:
        """Closes the connection without waiting for its client."""


@dataclass(slots=True)
class _Entry:
    """What the table knows about a connection.

    Attributes:
        active_at: Clock value in seconds of the last complete request or reply, or of the start.
        buffered_bytes: Size of what the connection buffers.
    """

    active_at: float
    buffered_bytes: int = 0

    def cost(self, now: float) -> float:
        """Returns the product of size and time by which connections are compared."""
        return self.buffered_bytes * (now - self.active_at + MIN_AGE_S)


class ConnectionTable:
    """The open connections of one port.

    Args:
        name: Name of the port in logs and metrics.
        limits: Limits for all connections together.
        seconds: Returns the time in seconds of a monotonic clock.

    Attributes:
        pending_requests: Number of complete requests without a reply.
        buffered_bytes: Size of what all connections buffer.
    """

    def __init__(self, name: str, limits: ConnectionLimits, seconds: Callable[[], float]) -> None:
        self.pending_requests = 0
        self.buffered_bytes = 0
        self._name = name
        self._limits = limits
        self._seconds = seconds
        # In the order in which connections make room.
        self._entries: OrderedDict[BoundedConnection, _Entry] = OrderedDict()
        self._dropped = 0
        self._report_at = float("-inf")

    def __iter__(self):
        return iter(tuple(self._entries))

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def busy(self) -> bool:
        """Whether only one request of each connection is handled at a time."""
        return self.pending_requests >= self._limits.busy_requests

    def add(self, conn: BoundedConnection) -> bool:
        """Adds a new connection, for which a full table drops another one.

        Returns:
            Whether there was room; there is none if all connections wait for replies.
        """
        if len(self._entries) >= self._limits.max_connections:
            victim = next((other for other in self._entries if not other.awaits_reply), None)
            self._count_drop("connections")
            if victim is None:
                return False
            victim.free_descriptor()
            self.remove(victim)
        self._entries[conn] = _Entry(self._seconds())
        return True

    def remove(self, conn: BoundedConnection) -> None:
        """Removes a connection that is closed or being closed."""
        entry = self._entries.pop(conn, None)
        if entry is not None:
            self.buffered_bytes -= entry.buffered_bytes

    def mark_active(self, conn: BoundedConnection) -> None:
        """Records that a connection has sent a complete request or was sent a reply."""
        entry = self._entries.get(conn)
        if entry is not None:
            entry.active_at = self._seconds()
            self._entries.move_to_end(conn)

    def mark_closing(self, conn: BoundedConnection) -> None:
        """Records that a connection only waits for its client to read a refusal."""
        if conn in self._entries:
            self._entries.move_to_end(conn, last=False)

    def set_buffered(self, conn: BoundedConnection, size: int) -> None:
        """Records how many bytes a connection buffers; drops connections beyond the limit."""
        entry = self._entries.get(conn)
        if entry is None or entry.buffered_bytes == size:
            return
        growth = size - entry.buffered_bytes
        entry.buffered_bytes = size
        self.buffered_bytes += growth
        while growth > 0 and self.buffered_bytes > self._limits.max_buffered_bytes:
            self._free_most_expensive()

    def _free_most_expensive(self) -> None:
        now = self._seconds()
        conn = max(self._entries, key=lambda other: self._entries[other].cost(now))
        entry = self._entries[conn]
        self._count_drop("bytes")
        # Set first, as `free_buffers` may record what is left.
        self.buffered_bytes -= entry.buffered_bytes
        entry.buffered_bytes = 0
        conn.free_buffers()

    def _count_drop(self, limit: str) -> None:
        metrics.count("connections_dropped", port=self._name, limit=limit)
        self._dropped += 1
        now = self._seconds()
        if now < self._report_at:
            return
        self._report_at = now + REPORT_INTERVAL_S
        logs.event(
            "connections_dropped",
            port=self._name,
            limit=limit,
            count=self._dropped,
            connections=len(self._entries),
            buffered_bytes=self.buffered_bytes,
            pending=self.pending_requests,
        )
        self._dropped = 0
