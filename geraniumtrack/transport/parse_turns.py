"""Divides the time of the event loop between the input of many connections and other work.

A read can hold thousands of header lines or chunks. If those of hundreds of connections were parsed
in one iteration of the event loop, its timers and links would stand still for seconds, and peers
that are heard late would seem to be lost.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

__all__ = ["ParseTurns", "TurnTaker"]

TURN_S = 0.02  # of parsing, in one iteration of the event loop
# Parsing that takes less of the time than this is not interrupted.
UNDIVIDED_SHARE = 0.5
MAX_UNDIVIDED_S = 0.05


class TurnTaker(Protocol):
    """A connection with input to parse."""

    def parse_some(self) -> bool:
        """Parses a part of the input; returns whether there is more that can be parsed now."""


class ParseTurns:
    """Lets connections parse their input, in turns while they need much time.

    Args:
        reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: deque[TurnTaker] = deque()
        self._credit_s = MAX_UNDIVIDED_S
        self._credited_at = reactor.seconds()

    def parse(self, conn: TurnTaker) -> None:
        """Lets a connection parse its input now, or in its turn."""
        if conn in self._waiting:
            return
        while not self._waiting and self._has_credit():
            if not self._parse_some(conn):
                return
        self._waiting.append(conn)
        if len(self._waiting) == 1:
            self._reactor.callLater(0, self._take_turns)

    def _take_turns(self) -> None:
        ends_at = self._reactor.seconds() + TURN_S
        while self._waiting and self._reactor.seconds() < ends_at:
            # It stays in the queue meanwhile, so that no other turn is scheduled.
            more = self._parse_some(self._waiting[0])
            conn = self._waiting.popleft()
            if more:
                self._waiting.append(conn)
        if self._waiting:
            self._reactor.callLater(0, self._take_turns)

    def _parse_some(self, conn: TurnTaker) -> bool:
        started = self._reactor.seconds()
        more = conn.parse_some()
        self._credit_s -= self._reactor.seconds() - started
        return more

    def _has_credit(self) -> bool:
        now = self._reactor.seconds()
        earned_s = (now - self._credited_at) * UNDIVIDED_SHARE
        self._credit_s = min(self._credit_s + earned_s, MAX_UNDIVIDED_S)
        self._credited_at = now
        return self._credit_s > 0
