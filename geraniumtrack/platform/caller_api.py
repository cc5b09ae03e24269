"""Serves callers: jobs handed in, asked for and cancelled."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.gateway import Gateway
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.platform.answers import refusal
from geraniumtrack.platform.wire import InvalidBody, decode_job, encode_json
from geraniumtrack.transport.http_server import Reply, Request

__all__ = ["CallerApi"]

DEFAULT_DEADLINE_S = 3.0  # for callers that do not say how long they wait
DEADLINE_MARGIN_S = 0.1  # for the answer's way back
MS_PER_S = 1000


class CallerApi:
    """Answers callers' requests.

    Args:
        gateway: Brings calls to the owner.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def handle(self, request: Request) -> Reply | Deferred:
        """Answers one request."""
        path = request.path.partition("?")[0]
        place = msgs.JobRequest(
            host=request.headers.get("host", "").partition(":")[0],
            path=path,
            key=request.headers.get("geraniumtrack-credential", ""),
        )
        if request.method == "POST":
            try:
                call: Any = decode_job(place, request.body)
            except InvalidBody as exc:
                logs.event("job_unreadable", path=path, detail=exc.message)
                call = msgs.SubmitCall(place, "", (), 0, 0.0, 0.0)
        elif request.method == "GET":
            call = msgs.JobQuery(place)
        elif request.method == "DELETE":
            call = msgs.CancelCall(place)
        else:
            return Reply(405, b'{"error":"method"}')
        timeout_s = _deadline_s(request) - DEADLINE_MARGIN_S
        return self._gateway.call(call, timeout_s=timeout_s).addCallback(_reply, path)


def _deadline_s(request: Request) -> float:
    text = request.headers.get("geraniumtrack-deadline-ms", "")
    try:
        return max(float(text) / MS_PER_S, 2 * DEADLINE_MARGIN_S)
    except ValueError:
        return DEFAULT_DEADLINE_S


def _reply(answer: JobAnswer, path: str) -> Reply:
    if answer.kind != AnswerKind.OK:
        if answer.kind not in (AnswerKind.NO_JOB, AnswerKind.NO_QUEUE):
            logs.event("call_refused", path=path, kind=answer.kind, detail=answer.detail)
        return refusal(answer)
    if isinstance(answer.value, str):
        return Reply(200, encode_json({"state": answer.value}))
    if isinstance(answer.value, int):
        return Reply(200, encode_json({"pending": answer.value}))
    return Reply(200, b"{}")
