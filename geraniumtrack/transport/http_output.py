"""Sends the replies of one connection as its client reads them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from geraniumtrack.transport.http_message import Reply, encode_reply

__all__ = ["MAX_TRANSPORT_BYTES", "ReplyOutput"]

MAX_TRANSPORT_BYTES = 16 * 1024  # unsent bytes that the transport buffers


class ReplyOutput:
    """The encoded replies that are not sent yet. Implements IPushProducer.

    Only a part is handed to the transport at a time: it copies what it buffers, and frees nothing
    of it when the connection is aborted, until its loss has been handled.

    Args:
        transport: Transport of the connection.
        on_drained: Called when the client has read all that the transport buffered.

    Attributes:
        paused: Whether the transport's buffer is full.
        buffered_bytes: Size of what has not been handed to the transport.
    """

    def __init__(self, transport: Any, on_drained: Callable[[], None]) -> None:
        self.paused = False
        self.buffered_bytes = 0
        self._transport = transport
        self._on_drained = on_drained
        self._parts: deque[memoryview] = deque()
        self._on_sent: Callable[[], None] | None = None
        transport.bufferSize = MAX_TRANSPORT_BYTES
        transport.registerProducer(self, True)

    def write(self, reply: Reply, close: bool) -> None:
        """Adds a reply.

        Args:
            reply: The reply.
            close: Whether its client is told that the connection is closed.
        """
        for part in encode_reply(reply, close):
            self._parts.append(memoryview(part))
            self.buffered_bytes += len(part)
        self._send()

    def end(self, on_sent: Callable[[], None]) -> None:
        """Calls a function once all replies have been handed to the transport."""
        self._on_sent = on_sent
        self._send()

    def clear(self) -> None:
        """Drops all replies."""
        self._parts.clear()
        self.buffered_bytes = 0
        self._on_sent = None

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when the transport's buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when the transport's buffer is empty."""
        self.paused = False
        self._send()
        self._on_drained()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called when the connection is lost."""

    def _send(self) -> None:
        while self._parts and not self.paused:
            part = self._parts.popleft()
            if len(part) > MAX_TRANSPORT_BYTES:
                self._parts.appendleft(part[MAX_TRANSPORT_BYTES:])
            data = bytes(part[:MAX_TRANSPORT_BYTES])
            self.buffered_bytes -= len(data)
            self._transport.write(data)
        if self._on_sent is not None and not self.paused:
            on_sent, self._on_sent = self._on_sent, None
            self._transport.unregisterProducer()
            on_sent()
