"""One exchange with a target: the task that is sent, and what its response amounts to.

A response is a TargetAnswer only if it carries the id of its task and is complete. Any other
response becomes a TargetFailure and never reaches the caller.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

__all__ = [
    "BodyProducer",
    "TargetAnswer",
    "TargetFailure",
    "TaskRequest",
    "check_response",
    "read_body",
]

MAX_ANSWER_BYTES = 3 * 1024 * 1024


class TaskRequest(NamedTuple):
    """A task to send to a target.

    Attributes:
        task_id: Id of this sending of the task, which the target must repeat in its response. It is
            not `Submit.task_id`, because a task may be sent more than once; `Execution` calls it
            the sent id.
        method: HTTP method of the caller's request.
        path: Path of the caller's request.
        content_type: Content type of the body.
        body: Body of the caller's request.
        lease_s: Time after which the target stops the task unless its lease is renewed.
        timeout_s: Time to wait for the response.
    """

    task_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    lease_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """The complete response to a task."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """A task that got no usable response.

    Attributes:
        reason: Reason code: `refused` (no connection), `not_started` (no free slot or connection),
            `silent` (the target does not answer on a new connection either), `connection_silent`
            (it answers on a new connection but does not run the task), `broken` (incomplete
            response or lost connection), `mismatched` (response to another task), `deadline`
            (timeout) or `cancelled`.
        started: Whether the task may have started.
    """

    reason: str
    started: bool


@implementer(IBodyProducer)
class BodyProducer:
    """Writes a request body from memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred:  # noqa: N802 - Twisted's name
        """Writes the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Does nothing, since the whole body is written at the start."""

    resumeProducing = stopProducing = pauseProducing  # noqa: N815 - Twisted's names


class _BodyCollector(Protocol):
    """Collects a response body of at most `MAX_ANSWER_BYTES`.

    Args:
        on_progress: Called whenever data arrives.

    Attributes:
        fut: Deferred of the body, which fails if the body is too large or incomplete. Cancelling
            it aborts the connection.
    """

    def __init__(self, on_progress: Callable[[], None]) -> None:
        self.fut: Deferred = Deferred(lambda _: self._abort())
        self._on_progress = on_progress
        self._chunks: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        self._on_progress()
        self._chunks.append(data)
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self._abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 - Twisted's name
        fut, self.fut = self.fut, None
        if fut is None or fut.called:
            return
        if reason.check(ResponseDone) and self._size <= MAX_ANSWER_BYTES:
            fut.callback(b"".join(self._chunks))
        else:
            fut.errback(reason if not reason.check(ResponseDone) else CancelledError())

    def _abort(self) -> None:
        abort = getattr(self.transport, "abortConnection", None)
        if abort is not None:
            abort()


def read_body(response: Any, on_progress: Callable[[], None] = lambda: None) -> Deferred:
    """Returns a Deferred of a response's body.

    Args:
        response: The response.
        on_progress: Called whenever data arrives.

    Returns:
        A Deferred that fails if the body is larger than `MAX_ANSWER_BYTES` or incomplete.
        Cancelling it aborts the connection.
    """
    body = _BodyCollector(on_progress)
    fut = body.fut
    response.deliverBody(body)
    return fut


def check_response(
    response: Any, body: bytes, request: TaskRequest
) -> TargetAnswer | TargetFailure:
    """Returns the answer in a response, or a failure if it is not the whole answer to the task.

    Args:
        response: The response.
        body: Its body.
        request: The task.
    """
    headers = response.headers
    if headers.getRawHeaders("Task-Id", [""])[0] != request.task_id:
        return TargetFailure("mismatched", started=True)
    if response.code == 503 and headers.hasHeader("Task-Not-Started"):
        return TargetFailure("not_started", started=False)
    if response.length is not UNKNOWN_LENGTH and response.length != len(body):
        return TargetFailure("broken", started=True)
    # A Content-Length that is too small truncates the body without an HTTP error. Targets may
    # therefore state the length in Task-Length, too.
    stated_length = headers.getRawHeaders("Task-Length", [""])[0]
    if stated_length and stated_length != str(len(body)):
        return TargetFailure("broken", started=True)
    content_type = headers.getRawHeaders("Content-Type", ["application/octet-stream"])[0]
    return TargetAnswer(response.code, content_type, body)
