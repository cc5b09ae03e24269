"""HTTP interface for callers, who get the complete response of a target or a refusal.

Refusals are described in `protocol.http`.
"""

from __future__ import annotations

import hashlib
import math
import re
import time
import uuid
from dataclasses import dataclass
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.web.http import Request

from geraniumtrack import tracing
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.http import (
    REFUSAL_HEADER,
    bearer_token,
    close_after_reply,
    header,
    reply_json,
    with_json_errors,
)
from geraniumtrack.protocol.messages import Answer, Submit
from geraniumtrack.sentinels import Absent, is_absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.records import Queue
from geraniumtrack.state.view import ConfigView

__all__ = ["CallerApi", "fingerprint"]

URGENCIES = ("urgent", "normal", "long")
IDEMPOTENT_METHODS = ("GET", "PUT", "DELETE")
REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
CLAIM_RETENTION_S = 24 * 3600  # a repeated request is answered from its claim for this time
MAX_TIMEOUT_S = 24 * 3600.0

_AUTHENTICATION_ERROR_STATUS = {"missing_key": 401, "unknown_key": 401, "no_authority": 503}


@dataclass(slots=True)
class _RequestMetrics:
    """Start time and metric labels of one request.

    The labels are set only to names from the configuration, so that callers cannot create new ones.

    Attributes:
        started_at: Monotonic clock value in seconds when the request arrived.
        queue: Name of the queue, once it is known to exist.
        team: Name of the team, once the key has been checked.
    """

    started_at: float
    queue: str = "unknown"
    team: str = ""


class CallerApi:
    """Routes of the caller interface.

    Args:
        entry: The entry. `submit(Submit)` returns a Deferred of an Answer, and `key_team(key)`
            the team of a key or an `Absent`.
        cfg: Settings of the entry.
        view: Configuration view.
    """

    app = with_json_errors(Klein())

    def __init__(self, entry: Any, *, cfg: EntrySettings, view: ConfigView) -> None:
        self._entry = entry
        self._cfg = cfg
        self._view = view

    @app.route("/healthz")
    def healthz(self, req: Request) -> bytes:
        """Liveness probe: replies 200 while the process runs."""
        return reply_json(req, 200, {"ok": True})

    @app.route("/readyz")
    def readyz(self, req: Request) -> bytes:
        """Readiness probe: replies 200 if the load balancer may send requests here, else 503."""
        ready = self._entry.ready()
        return reply_json(req, 200 if ready else 503, {"ready": ready})

    @app.route("/v1/queues/<queue>", methods=["GET", "POST", "PUT", "DELETE"])
    def queue(self, req: Request, queue: str) -> Any:
        """Handles a request to a queue without a further path."""
        return self.queue_path(req, queue, "")

    @app.route("/v1/queues/<queue>/<path:path>", methods=["GET", "POST", "PUT", "DELETE"])
    @tracing.hop("caller")
    def queue_path(self, req: Request, queue: str, path: str) -> Any:
        """Handles a request to a queue and records its metrics."""
        request_metrics = _RequestMetrics(time.monotonic())
        fut = maybeDeferred(self._handle, req, queue, path, request_metrics)
        return fut.addCallback(_record_metrics, req, request_metrics)

    def _handle(self, req: Request, queue: str, path: str, request_metrics: _RequestMetrics) -> Any:
        if not self._entry.accepts_requests():
            close_after_reply(req)
            return _refuse(
                req,
                503,
                Absent("not_ready", "this entry is starting or stopping; retry on another one"),
            )
        if not self._entry.ready():
            close_after_reply(req)
        queue_record = self._view.queue(queue)
        if is_absent(queue_record):
            return _refuse(req, 404, queue_record)
        request_metrics.queue = queue_record.name
        team = self._authenticate(req, queue_record)
        if is_absent(team):
            return _refuse(req, _AUTHENTICATION_ERROR_STATUS.get(team.reason, 403), team)
        request_metrics.team = team
        submit = self._parse_request(req, queue_record, team, path)
        if is_absent(submit):
            return _refuse(req, 413 if submit.reason == "too_large" else 400, submit)
        fut: Deferred = self._entry.submit(submit)
        disconnected = req.notifyFinish()
        disconnected.addErrback(lambda _: self._entry.cancel(submit.task_id))
        fut.addCallback(_send_answer, req, submit)
        return fut

    def _authenticate(self, req: Request, queue: Queue) -> Any:
        key = bearer_token(req)
        if queue.open and not key:
            return ""
        team = self._entry.key_team(key)
        return team if is_absent(team) else team.name

    def _parse_request(self, req: Request, queue: Queue, team: str, path: str) -> Submit | Absent:
        body = req.content.read(self._cfg.max_body_bytes + 1)
        if len(body) > self._cfg.max_body_bytes:
            detail = f"request body too large; send at most {self._cfg.max_body_bytes} bytes"
            return Absent("too_large", detail)
        urgency = header(req, "geraniumtrack-urgency") or queue.urgency
        if urgency not in URGENCIES:
            return Absent(
                "bad_urgency", f"Geraniumtrack-Urgency must be one of {', '.join(URGENCIES)}"
            )
        timeout_s = self._parse_timeout(req)
        if is_absent(timeout_s):
            return timeout_s
        idempotency_key = header(req, "idempotency-key")
        request_id = idempotency_key or uuid.uuid4().hex
        if not REQUEST_ID.fullmatch(request_id):
            return Absent(
                "bad_request_id",
                "Idempotency-Key must be 1 to 128 printable ASCII characters without spaces",
            )
        if not path.isprintable():
            return Absent("bad_path", "the path contains unprintable characters; remove them")
        method = req.method.decode()
        content_type = header(req, "content-type") or "application/octet-stream"
        return Submit(
            task_id=uuid.uuid4().hex,
            request_id=request_id,
            team=team,
            queue=queue.name,
            urgency=urgency,
            idempotent=queue.idempotent or method in IDEMPOTENT_METHODS,
            timeout_s=timeout_s,
            method=method,
            path=path,
            content_type=content_type,
            body=body,
            fingerprint=fingerprint(queue.name, method, path, body),
            generated=not idempotency_key,
        )

    def _parse_timeout(self, req: Request) -> float | Absent:
        header_value = header(req, "request-timeout")
        if header_value is None:
            return self._cfg.default_timeout_s
        try:
            value = float(header_value)
        except ValueError:
            value = math.nan
        if not 0 < value <= MAX_TIMEOUT_S:
            return Absent(
                "bad_timeout",
                "Request-Timeout must be a positive number of seconds, up to 24 hours",
            )
        return value


def fingerprint(queue: str, method: str, path: str, body: bytes) -> bytes:
    """Returns a digest that shows whether two requests with the same id have the same content."""
    digest = hashlib.sha256()
    for part in (queue.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _send_answer(answer: Answer, req: Request, submit: Submit) -> bytes:
    if req._disconnected:
        return b""
    req.setHeader(b"Idempotency-Key", submit.request_id.encode())
    if not submit.idempotent:
        req.setHeader(b"Idempotency-Retention", str(CLAIM_RETENTION_S).encode())
    if answer.error:
        absent = Absent(answer.error, answer.message)
        return _refuse(req, answer.status, absent, answer.run, answer.retry_after_s)
    req.setResponseCode(answer.status)
    req.setHeader(b"Content-Type", answer.content_type.encode())
    req.setHeader(b"Content-Length", str(len(answer.body)).encode())
    return answer.body


def _refuse(
    req: Request, status: int, absent: Absent, run: str = "not_run", retry_after_s: float = 0.0
) -> bytes:
    body: dict[str, Any] = {"error": absent.reason, "message": absent.detail, "run": run}
    if retry_after_s:
        body["retry_after_s"] = retry_after_s
        req.setHeader(b"Retry-After", str(math.ceil(retry_after_s)).encode())
    req.setHeader(REFUSAL_HEADER, absent.reason.encode())
    return reply_json(req, status, body)


def _record_metrics(answer: bytes, req: Request, request_metrics: _RequestMetrics) -> bytes:
    refusal = req.responseHeaders.getRawHeaders(REFUSAL_HEADER, [b"answered"])[0]
    labels = {
        "queue": request_metrics.queue,
        "team": request_metrics.team,
        "outcome": refusal.decode(),
    }
    metrics.count("requests", **labels)
    metrics.observe("request", time.monotonic() - request_metrics.started_at, **labels)
    return answer
