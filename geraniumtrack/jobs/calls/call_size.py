"""Estimates the memory of a call that an entry forwards.

A call occupies memory until the owner has answered, many times that of its encoded form if it has
many small steps.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.state.model import StepSpec

__all__ = ["call_bytes"]

CALL_BYTES = 8 * 1024  # of a call without its content: timers, Deferreds, the request's connection
STEP_BYTES = 600  # of a decoded step and its encoded form, without its texts
REFERENCE_BYTES = 8
# A step refers to earlier steps by number; each number is an object of its own.
STEP_NUMBER_BYTES = REFERENCE_BYTES + 32


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
