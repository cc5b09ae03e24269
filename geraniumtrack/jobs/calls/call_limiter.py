"""Limits the memory of the calls that an entry forwards at the same time.

A call occupies memory until the owner has answered, many times that of its encoded form if it has
many small steps. A call may take at most half of the memory that is left, so that large calls are
refused first and callers with ordinary ones find room beside them.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.state.model import StepSpec

__all__ = ["CallLimiter", "call_bytes"]

CALL_BYTES = 8 * 1024  # of a call without its content: timers, Deferreds, the request's connection
STEP_BYTES = 600  # of a decoded step and its encoded form, without its texts
REFERENCE_BYTES = 8
# A step refers to earlier steps by number; each number is an object of its own.
STEP_NUMBER_BYTES = REFERENCE_BYTES + 32


class CallLimiter:
    """Counts the calls in progress and the memory that they occupy.

    Args:
        max_calls: Maximum number of calls in progress.
        max_bytes: Maximum size of all calls in progress.
    """

    def __init__(self, max_calls: int, max_bytes: int) -> None:
        self._max_calls = max_calls
        self._max_bytes = max_bytes
        self._calls = 0
        self._bytes = 0

    def try_start(self, size: int) -> bool:
        """Returns whether a call of a size in bytes may start; `finish` must follow if it may."""
        if self._calls >= self._max_calls or size > (self._max_bytes - self._bytes) / 2:
            return False
        self._calls += 1
        self._bytes += size
        return True

    def finish(self, size: int) -> None:
        """Records the end of a call that `try_start` has let start with this size."""
        self._calls -= 1
        self._bytes -= size


@singledispatch
def call_bytes(call: Any) -> int:
    """Returns about how many bytes a call occupies until it is answered."""
    return CALL_BYTES + _request_bytes(call.request)


@call_bytes.register
def _(call: msgs.SubmitCall) -> int:
    steps = sum(map(_step_bytes, call.steps))
    return CALL_BYTES + _request_bytes(call.request) + 2 * len(call.payload) + steps


def _request_bytes(request: msgs.JobRequest) -> int:
    return len(request.host) + len(request.path) + len(request.key)


def _step_bytes(step: StepSpec) -> int:
    texts = len(step.label) + len(step.data_rack) + len(step.image)
    return STEP_BYTES + 2 * texts + STEP_NUMBER_BYTES * len(step.after)
