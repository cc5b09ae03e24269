"""HTTP API for callers, who submit, query and cancel jobs."""

from __future__ import annotations

import functools
import math
from typing import Any

from twisted.internet.defer import Deferred, succeed

from geraniumtrack import logs
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.gateway import Gateway, busy_answer
from geraniumtrack.jobs.calls.turns import Turns
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.platform.answers import error_reply
from geraniumtrack.platform.wire import InvalidBody, decode_job, encode_json
from geraniumtrack.transport.http_server import Reply, Request

__all__ = ["CALLER_HEADERS", "CallerApi"]

KEY_HEADER = "geraniumtrack-credential"
TIMEOUT_HEADER = "geraniumtrack-deadline-ms"
CALLER_HEADERS = ("host", KEY_HEADER, TIMEOUT_HEADER)
DEFAULT_TIMEOUT_S = 3.0  # for callers without a valid `geraniumtrack-deadline-ms` header
REPLY_MARGIN_S = 0.1  # part of the caller's timeout that is left for sending the reply
MAX_TIMEOUT_S = 60.0
# An event loop that stands still for longer was frozen, and its callers may have given up.
MIN_STANDSTILL_S = 0.5
# A body of 256 KB with many small steps takes half a second to decode and encode.
LARGE_BODY_BYTES = 16 * 1024
MS_PER_S = 1000


class CallerApi:
    """Handles requests of callers.

    Args:
        reactor: Twisted reactor.
        gateway: Forwards calls to the owner.
    """

    def __init__(self, reactor: Any, gateway: Gateway) -> None:
        self._reactor = reactor
        self._gateway = gateway
        self._large_bodies = Turns(reactor)

    def handle(self, request: Request) -> Reply | Deferred:
        """Returns the reply to a request, or a Deferred of it."""
        path = request.path.partition("?")[0]
        job_request = msgs.JobRequest(
            host=request.headers.get("host", "").partition(":")[0],
            path=path,
            key=request.headers.get(KEY_HEADER, ""),
        )
        timeout_s = _caller_timeout_s(request) - _standstill_s(request) - REPLY_MARGIN_S
        if request.method == "POST":
            fut = self._submit(job_request, request.body, timeout_s)
        elif request.method == "GET":
            fut = self._gateway.call(msgs.JobQuery(job_request), timeout_s=timeout_s)
        elif request.method == "DELETE":
            fut = self._gateway.call(msgs.CancelCall(job_request), timeout_s=timeout_s)
        else:
            return Reply(405, b'{"error":"method"}')
        return fut.addCallback(_to_reply, path)

    def _submit(self, job_request: msgs.JobRequest, body: bytes, timeout_s: float) -> Deferred:
        deadline = self._reactor.seconds() + timeout_s
        if len(body) <= LARGE_BODY_BYTES:
            return self._decode_and_submit(job_request, body, deadline)
        work = functools.partial(self._decode_and_submit, job_request, body, deadline)
        fut = self._large_bodies.run(work, timeout_s=timeout_s)
        if fut is None:
            return succeed(busy_answer())
        return fut.addCallback(lambda answer: answer or busy_answer())

    def _decode_and_submit(
        self, job_request: msgs.JobRequest, body: bytes, deadline: float
    ) -> Deferred:
        try:
            call = decode_job(job_request, body)
        except InvalidBody as exc:
            logs.event("job_unreadable", path=job_request.path, detail=exc.message)
            # A job without steps is invalid, but the owner first checks queue, key and job id.
            call = msgs.SubmitCall(job_request, "", (), 0, 0.0, 0.0)
        return self._gateway.call(call, timeout_s=deadline - self._reactor.seconds())


def _caller_timeout_s(request: Request) -> float:
    """Returns how long the caller waits for the reply; the header holds a duration in ms.

    The result is at most `MAX_TIMEOUT_S`.
    """
    text = request.headers.get(TIMEOUT_HEADER, "")
    try:
        timeout_s = float(text) / MS_PER_S
    except ValueError:
        return DEFAULT_TIMEOUT_S
    if not math.isfinite(timeout_s):
        return DEFAULT_TIMEOUT_S
    return min(max(timeout_s, 2 * REPLY_MARGIN_S), MAX_TIMEOUT_S)


def _standstill_s(request: Request) -> float:
    """Returns how long a request may have waited to be read, 0 for an ordinary delay."""
    return request.max_waited_s if request.max_waited_s >= MIN_STANDSTILL_S else 0.0


def _to_reply(answer: JobAnswer, path: str) -> Reply:
    if answer.kind != AnswerKind.OK:
        if answer.kind not in (AnswerKind.NO_JOB, AnswerKind.NO_QUEUE):
            logs.event("call_refused", path=path, kind=answer.kind, detail=answer.detail)
        return error_reply(answer)
    if isinstance(answer.value, str):
        return Reply(200, encode_json({"state": answer.value}))
    if isinstance(answer.value, int):
        return Reply(200, encode_json({"pending": answer.value}))
    return Reply(200, b"{}")
