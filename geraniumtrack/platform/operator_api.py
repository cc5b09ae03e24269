"""Metrics, and queries of operators, on the internal port of a controller.

The control interface is open to all workers, so queries are answered here, where requests need the
operator token as on the product's own controllers.
"""

from __future__ import annotations

import hmac
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.internet.defer import Deferred

from geraniumtrack.jobs.calls.job_steps import parse_steps
from geraniumtrack.jobs.core import Core
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, PlacementCall
from geraniumtrack.metrics import metrics
from geraniumtrack.platform.answers import error_reply
from geraniumtrack.protocol.address import operator_token
from geraniumtrack.transport.http_server import Reply, Request

__all__ = ["AUTHORIZATION_HEADER", "OperatorApi", "PLACEMENT_PATH"]

AUTHORIZATION_HEADER = "authorization"
PLACEMENT_PATH = "/v1/placement"
TIMEOUT_S = 2.0
MAX_TEXT_CHARS = 4096


class _PlacementBody(BaseModel):
    """A query: the id of a job, or a queue, a team and steps as text."""

    model_config = ConfigDict(extra="ignore", strict=True)

    job: str = Field("", max_length=MAX_TEXT_CHARS)
    queue: str = Field("", max_length=MAX_TEXT_CHARS)
    team: str = Field("", max_length=MAX_TEXT_CHARS)
    steps: str = Field("", max_length=MAX_TEXT_CHARS)

    def to_call(self) -> PlacementCall:
        """Returns the call; raises ValueError if the steps can't be read."""
        if self.job:
            return PlacementCall(job_id=self.job)
        return PlacementCall("", self.queue, self.team, parse_steps(self.steps))


class OperatorApi:
    """Handles requests on the internal port.

    Args:
        core: Answers calls, or forwards them to the owner.
        secret: Cluster secret, from which the operator token is derived.
    """

    def __init__(self, core: Core, secret: bytes) -> None:
        self._core = core
        self._token = operator_token(secret)

    def handle(self, request: Request) -> Reply | Deferred:
        """Returns the reply to a request, or a Deferred of it."""
        if request.path.partition("?")[0] != PLACEMENT_PATH:
            return Reply(200, metrics.render().encode())
        if request.method != "POST":
            return _refusal(405, "method", "send POST")
        given = request.headers.get(AUTHORIZATION_HEADER, "").removeprefix("Bearer ")
        if not hmac.compare_digest(given.encode(), self._token.encode()):
            message = "operator token missing or wrong; send the token derived from secret_file"
            return _refusal(401, "not_operator", message)
        try:
            call = _PlacementBody.model_validate_json(request.body).to_call()
        except ValidationError as exc:
            first = exc.errors(include_input=False, include_url=False)[0]
            field = ".".join(str(part) for part in first["loc"]) or "body"
            return _refusal(400, AnswerKind.INVALID, f"{field}: {first['msg']}")
        except ValueError as exc:
            return _refusal(400, AnswerKind.INVALID, str(exc))
        return self._core.call(call, timeout_s=TIMEOUT_S).addCallback(_to_reply)


def _to_reply(answer: JobAnswer) -> Reply:
    if answer.kind == AnswerKind.OK:
        # A forwarded answer has immutable mappings, which orjson does not know.
        return Reply(200, orjson.dumps(answer.value, default=dict))
    if answer.kind == AnswerKind.UNKNOWN:  # a query has no effect, so it may be repeated
        answer = JobAnswer(AnswerKind.NOT_READY, detail=answer.detail)
    reply = error_reply(answer)
    return _refusal(reply.status, answer.kind, answer.detail, reply.headers)


def _refusal(status: int, error: str, message: str, headers: Any = None) -> Reply:
    return Reply(status, orjson.dumps({"error": str(error), "message": message}), headers or {})
