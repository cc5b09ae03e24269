"""Statuses of the platform for the product's answers."""

from __future__ import annotations

import math

from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.platform.wire import encode_json
from geraniumtrack.transport.http_server import Reply

__all__ = ["refusal"]

_STATUS = {
    AnswerKind.INVALID: 400,
    AnswerKind.UNAUTHORIZED: 401,
    AnswerKind.NO_QUEUE: 404,
    AnswerKind.NO_JOB: 410,
    AnswerKind.NOT_READY: 503,
    AnswerKind.NOT_OWNER: 503,
    AnswerKind.REFUSED: 503,
    AnswerKind.UNKNOWN: 504,  # unlike 503 it leaves open whether the call took effect
}


def refusal(answer: JobAnswer) -> Reply:
    """Returns the reply for an answer other than OK."""
    headers = {}
    if answer.retry_after_s:
        headers["Retry-After"] = str(math.ceil(answer.retry_after_s))
    body = encode_json({"error": answer.kind, "detail": answer.detail})
    return Reply(_STATUS[AnswerKind(answer.kind)], body, headers)
