"""Commits the outcomes of claims, and retries in the background while no controller answers.

An entry can answer a caller before the outcome is stored. Without the retries, a repetition of the
request would be answered as still running indefinitely.
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

__all__ = ["ClaimCommitter"]

RETRY_INTERVAL_S = 0.5
# With this many pending commands or more, further outcomes are queued without their answers, which
# take up to 64 KiB each. Such a claim then records only that the request was sent and that its
# answer is unknown.
MAX_PENDING_BODIES = 1000


class ClaimCommitter:
    """Commits `FinishClaim` and `CloseClaim` commands, retrying each until it has a result.

    Args:
        clock: Reactor.
        propose: Commits a command; returns a Deferred of the Result, or of a sentinel if no
            controller answered.
    """

    def __init__(self, clock: Any, propose: Callable[..., Deferred]) -> None:
        self._clock = clock
        self._propose = propose
        self._pending: OrderedDict[tuple[str, str], Any] = OrderedDict()
        self._retrying = False

    @property
    def pending_count(self) -> int:
        """Number of commands that are not committed yet and will be retried."""
        return len(self._pending)

    @inlineCallbacks
    def commit(self, command: Any, *, timeout_s: float) -> Any:
        """Commits a command; after the timeout, continues to retry it in the background.

        Returns:
            A Deferred of the Result, or of the sentinel if the timeout expired first.
        """
        result = yield self._propose(command, timeout_s=timeout_s)
        if is_absent(result):
            self._enqueue(command)
        return result

    def _enqueue(self, command: Any) -> None:
        if isinstance(command, cmd.FinishClaim) and len(self._pending) >= MAX_PENDING_BODIES:
            command = replace(command, outcome=None)
        self._pending[(command.team, command.request_id)] = command
        if not self._retrying:
            self._retrying = True
            self._retry_all().addErrback(self._retry_failed)

    @inlineCallbacks
    def _retry_all(self) -> Any:
        while self._pending:
            yield deferLater(self._clock, RETRY_INTERVAL_S)
            key, command = next(iter(self._pending.items()))
            result = yield self._propose(command, timeout_s=RETRY_INTERVAL_S)
            if not is_absent(result) and self._pending.get(key) is command:
                del self._pending[key]
                logs.event("claim_recorded_late", request=command.request_id)
        self._retrying = False

    def _retry_failed(self, failure: Any) -> None:
        self._retrying = False
        logs.warn("claim_records_failed", detail=failure.getErrorMessage())
