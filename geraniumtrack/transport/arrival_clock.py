"""Bounds how long input has waited in the buffers of the operating system before it is read.

A process that was frozen or busy reads at once what has arrived meanwhile. Its callers may have
given up long before, and may have replaced their requests by newer ones.
"""

from __future__ import annotations

import math
from typing import Any

__all__ = ["READ_BYTES", "ArrivalClock", "InputAge"]

TICK_S = 0.1
READ_BYTES = 65_536  # that Twisted reads at once; a read of fewer leaves nothing unread


class ArrivalClock:
    """Records when the event loop has looked for input.

    Input that is read now was not there when the loop looked last, unless reading was paused. The
    loop looks between any two ticks, so input can't have arrived before the last tick but one. The
    last tick alone proves nothing: it may run after a freeze and before the loop looks again.

    Args:
        reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._last_tick = self._tick_before = reactor.seconds()
        reactor.callLater(TICK_S, self._tick)

    @property
    def arrived_after(self) -> float:
        """Clock value in seconds before which input that is read now can't have arrived."""
        return self._tick_before

    def _tick(self) -> None:
        self._tick_before, self._last_tick = self._last_tick, self._reactor.seconds()
        self._reactor.callLater(TICK_S, self._tick)


class InputAge:
    """Bounds the age of the input of one connection.

    Args:
        arrivals: Records when the event loop has looked for input.

    Attributes:
        arrived_after: Clock value in seconds before which the last bytes that were read can't have
            arrived.
    """

    def __init__(self, arrivals: ArrivalClock) -> None:
        self.arrived_after = arrivals.arrived_after
        self._arrivals = arrivals
        self._unread_since = math.inf  # clock value in s; infinity if nothing was left unread

    def note_read(self, size: int) -> None:
        """Notes that bytes were read just now."""
        self.arrived_after = min(self._arrivals.arrived_after, self._unread_since)
        self._unread_since = self.arrived_after if size >= READ_BYTES else math.inf

    def note_pause(self, now: float) -> None:
        """Notes that nothing is read from now on, until the next read."""
        self._unread_since = min(self._unread_since, now)
