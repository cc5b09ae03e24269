"""Claim records that must reach the controllers even if none can be reached now.

An entry that answered a caller without having stored the outcome tries again in the background, so
that a repeat of the request is not told for ever that it is still running.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from geraniumtrack import logs
from geraniumtrack.sentinels import is_absent
from geraniumtrack.state import commands as cmd

__all__ = ["ClaimRecords"]

RETRY_S = 0.5
MAX_BODIES = 1000  # answers of up to 64 KiB that wait; of further ones only the fact is kept


class ClaimRecords:
    """Commits `FinishClaim` and `CloseClaim`, each until it is decided.

    Args:
        clock: Reactor.
        propose: Commits a command; gives a Result, or a sentinel if no controller answered.
    """

    def __init__(self, clock: Any, propose: Callable[..., Deferred]) -> None:
        self._clock = clock
        self._propose = propose
        self._waiting: OrderedDict[tuple[str, str], Any] = OrderedDict()
        self._retrying = False

    @property
    def waiting(self) -> int:
        """Number of records that no controller has taken yet."""
        return len(self._waiting)

    @inlineCallbacks
    def commit(self, command: Any, *, timeout_s: float) -> Any:
        """Commits a command, and goes on in the background when the time is up.

        Returns:
            A Deferred of the Result, or of the sentinel of the first tries.
        """
        result = yield self._propose(command, timeout_s=timeout_s)
        if is_absent(result):
            self._keep(command)
        return result

    def _keep(self, command: Any) -> None:
        if isinstance(command, cmd.FinishClaim) and len(self._waiting) >= MAX_BODIES:
            command = replace(command, outcome=None)
        self._waiting[(command.team, command.request_id)] = command
        if not self._retrying:
            self._retrying = True
            self._retry_all().addErrback(self._broke)

    @inlineCallbacks
    def _retry_all(self) -> Any:
        while self._waiting:
            yield deferLater(self._clock, RETRY_S)
            key, command = next(iter(self._waiting.items()))
            result = yield self._propose(command, timeout_s=RETRY_S)
            if not is_absent(result) and self._waiting.get(key) is command:
                del self._waiting[key]
                logs.event("claim_recorded_late", request=command.request_id)
        self._retrying = False

    def _broke(self, failure: Any) -> None:
        self._retrying = False
        logs.warn("claim_records_failed", detail=failure.getErrorMessage())
