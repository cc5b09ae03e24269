"""Handles costly requests one at a time, so that others are served between them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred

__all__ = ["Turns"]

MAX_WAITING = 16


class Turns:
    """A queue of work of which one piece is done at a time.

    After each piece the queue rests for as long as the piece took, so that at least half of the
    time is left to other work in this process.

    Args:
        reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: deque[tuple[Callable[[], Deferred], Deferred, float]] = deque()
        self._busy = False

    def run(self, work: Callable[[], Deferred], *, timeout_s: float) -> Deferred | None:
        """Does a piece of work in its turn.

        Args:
            work: Called in its turn; returns a Deferred.
            timeout_s: Time after which the turn is too late.

        Returns:
            A Deferred of the result, or of None if its turn came too late; None if too much work
            waits already.
        """
        if len(self._waiting) >= MAX_WAITING:
            return None
        result: Deferred = Deferred()
        self._waiting.append((work, result, self._reactor.seconds() + timeout_s))
        if not self._busy:
            self._start_next()
        return result

    def _start_next(self) -> None:
        self._busy = bool(self._waiting)
        if not self._waiting:
            return
        work, result, latest = self._waiting.popleft()
        started = self._reactor.seconds()
        if started > latest:
            result.callback(None)
            self._rest(started)
            return
        fut = maybeDeferred(work)
        fut.addBoth(self._finished, started)
        fut.chainDeferred(result)

    def _finished(self, outcome: Any, started: float) -> Any:
        self._rest(started)
        return outcome

    def _rest(self, started: float) -> None:
        self._reactor.callLater(self._reactor.seconds() - started, self._start_next)
