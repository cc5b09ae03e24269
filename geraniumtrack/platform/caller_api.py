"""HTTP API for callers, who submit, query and cancel jobs."""

from __future__ import annotations

import math
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.gateway import Gateway
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
MS_PER_S = 1000


class CallerApi:
    """Handles requests of callers.

    Args:
        gateway: Forwards calls to the owner.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def handle(self, request: Request) -> Reply | Deferred:
        """Returns the reply to a request, or a Deferred of it."""
        path = request.path.partition("?")[0]
        job_request = msgs.JobRequest(
            host=request.headers.get("host", "").partition(":")[0],
            path=path,
            key=request.headers.get(KEY_HEADER, ""),
        )
        if request.method == "POST":
            try:
                call: Any = decode_job(job_request, request.body)
            except InvalidBody as exc:
                logs.event("job_unreadable", path=path, detail=exc.message)
                # A job without steps is invalid, but the owner first checks queue, key and job id.
                call = msgs.SubmitCall(job_request, "", (), 0, 0.0, 0.0)
        elif request.method == "GET":
            call = msgs.JobQuery(job_request)
        elif request.method == "DELETE":
            call = msgs.CancelCall(job_request)
        else:
            return Reply(405, b'{"error":"method"}')
        timeout_s = _caller_timeout_s(request) - REPLY_MARGIN_S
        return self._gateway.call(call, timeout_s=timeout_s).addCallback(_to_reply, path)


def _caller_timeout_s(request: Request) -> float:
    """Returns how long the caller waits for the reply; the header holds a duration in ms."""
    text = request.headers.get(TIMEOUT_HEADER, "")
    try:
        timeout_s = float(text) / MS_PER_S
    except ValueError:
        return DEFAULT_TIMEOUT_S
    return max(timeout_s, 2 * REPLY_MARGIN_S) if math.isfinite(timeout_s) else DEFAULT_TIMEOUT_S


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
