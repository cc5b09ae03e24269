"""Maps error answers of the owner to HTTP replies."""

from __future__ import annotations

import math

from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.platform.wire import encode_json
from geraniumtrack.transport.http_server import Reply

__all__ = ["error_reply"]

_STATUS_CODES = {
    AnswerKind.INVALID: 400,
    AnswerKind.UNAUTHORIZED: 401,
    AnswerKind.NO_QUEUE: 404,
    AnswerKind.NO_JOB: 410,
    AnswerKind.NOT_READY: 503,
    AnswerKind.NOT_OWNER: 503,
    AnswerKind.BUSY: 429,
    AnswerKind.OUTDATED: 503,
    AnswerKind.REFUSED: 503,
    AnswerKind.UNKNOWN: 504,  # unlike after a 503, the call may have taken effect
}


def error_reply(answer: JobAnswer) -> Reply:
    """Returns the HTTP reply for an answer whose kind is not OK."""
    headers = {}
    if answer.retry_after_s:
        headers["Retry-After"] = str(math.ceil(answer.retry_after_s))
    body = encode_json({"error": answer.kind, "detail": answer.detail})
    return Reply(_STATUS_CODES[AnswerKind(answer.kind)], body, headers)
