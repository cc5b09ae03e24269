"""HTTP interface for callers: one request in, its whole answer or a typed refusal out."""

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
from geraniumtrack.protocol.http import bearer_token, close_after, header, reply_json, type_errors
from geraniumtrack.protocol.messages import Answer, Submit
from geraniumtrack.sentinels import Absent, is_absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.records import Queue
from geraniumtrack.state.view import ConfigView

__all__ = ["CallerApi", "fingerprint"]

URGENCIES = ("urgent", "normal", "long")
IDEMPOTENT_METHODS = ("GET", "PUT", "DELETE")
REFUSAL_HEADER = b"Geraniumtrack-Refusal"  # set on refusals, never on a target's answer
REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
RETENTION_S = 24 * 3600  # how long a claim answers a repeated request
MAX_TIMEOUT_S = 24 * 3600.0

_REFUSAL_STATUS = {"missing_key": 401, "unknown_key": 401, "no_authority": 503}


@dataclass(slots=True)
class _Exchange:
    """What the metrics say of one request: labels that callers cannot choose freely."""

    started: float
    queue: str = "unknown"
    team: str = ""


class CallerApi:
    """Routes of the caller interface.

    Args:
        entry: The entry; `submit(Submit)` gives a Deferred of an Answer, `key_team(key)` a team.
        cfg: Its settings.
        view: Configuration view.
    """

    app = type_errors(Klein())

    def __init__(self, entry: Any, *, cfg: EntrySettings, view: ConfigView) -> None:
        self._entry = entry
        self._cfg = cfg
        self._view = view

    @app.route("/healthz")
    def healthz(self, req: Request) -> bytes:
        """Answers whether the process runs."""
        return reply_json(req, 200, {"ok": True})

    @app.route("/readyz")
    def readyz(self, req: Request) -> bytes:
        """Answers whether the balancer may send requests here."""
        ready = self._entry.ready()
        return reply_json(req, 200 if ready else 503, {"ready": ready})

    @app.route("/v1/queues/<queue>", methods=["GET", "POST", "PUT", "DELETE"])
    def queue(self, req: Request, queue: str) -> Any:
        """Takes a request without a further path."""
        return self.queue_path(req, queue, "")

    @app.route("/v1/queues/<queue>/<path:path>", methods=["GET", "POST", "PUT", "DELETE"])
    @tracing.hop("caller")
    def queue_path(self, req: Request, queue: str, path: str) -> Any:
        """Takes a request for a queue."""
        exchange = _Exchange(time.monotonic())
        fut = maybeDeferred(self._serve, req, queue, path, exchange)
        return fut.addCallback(_measure, req, exchange)

    def _serve(self, req: Request, queue: str, path: str, exchange: _Exchange) -> Any:
        if not self._entry.accepts():
            close_after(req)
            return _refuse(req, 503, Absent("not_ready", "this entry is starting or stopping"))
        if not self._entry.ready():
            close_after(req)
        found = self._view.queue(queue)
        if is_absent(found):
            return _refuse(req, 404, found)
        exchange.queue = found.name
        team = self._team(req, found)
        if is_absent(team):
            return _refuse(req, _REFUSAL_STATUS.get(team.reason, 403), team)
        exchange.team = team
        submit = self._read(req, found, team, path)
        if is_absent(submit):
            return _refuse(req, 413 if submit.reason == "too_large" else 400, submit)
        fut: Deferred = self._entry.submit(submit)
        disconnected = req.notifyFinish()
        disconnected.addErrback(lambda _: self._entry.cancel(submit.task_id))
        fut.addCallback(_send_answer, req, submit)
        return fut

    def _team(self, req: Request, queue: Queue) -> Any:
        key = bearer_token(req)
        if queue.open and not key:
            return ""
        team = self._entry.key_team(key)
        return team if is_absent(team) else team.name

    def _read(self, req: Request, queue: Queue, team: str, path: str) -> Submit | Absent:
        body = req.content.read(self._cfg.max_body_bytes + 1)
        if len(body) > self._cfg.max_body_bytes:
            detail = f"send at most {self._cfg.max_body_bytes} bytes"
            return Absent("too_large", detail)
        urgency = header(req, "geraniumtrack-urgency") or queue.urgency
        if urgency not in URGENCIES:
            return Absent("bad_urgency", f"Geraniumtrack-Urgency is one of {', '.join(URGENCIES)}")
        timeout_s = self._timeout(req)
        if is_absent(timeout_s):
            return timeout_s
        given_id = header(req, "idempotency-key")
        request_id = given_id or uuid.uuid4().hex
        if not REQUEST_ID.fullmatch(request_id):
            return Absent("bad_request_id", "Idempotency-Key is 1 to 128 printable characters")
        if not path.isprintable():
            return Absent("bad_path", "the path has control characters; remove them")
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
            generated=not given_id,
        )

    def _timeout(self, req: Request) -> float | Absent:
        text = header(req, "request-timeout")
        if text is None:
            return self._cfg.default_timeout_s
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not 0 < value <= MAX_TIMEOUT_S:
            return Absent("bad_timeout", "Request-Timeout is a positive number of seconds")
        return value


def fingerprint(queue: str, method: str, path: str, body: bytes) -> bytes:
    """Returns a digest that tells whether two requests with one id are the same request."""
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
        req.setHeader(b"Idempotency-Retention", str(RETENTION_S).encode())
    if answer.error:
        absent = Absent(answer.error, answer.message)
        return _refuse(req, answer.status, absent, answer.run, answer.retry_after_s)
    req.setResponseCode(answer.status)
    req.setHeader(b"Content-Type", answer.content_type.encode())
    req.setHeader(b"Content-Length", str(len(answer.body)).encode())
    return answer.body


def _refuse(
    req: Request, status: int, reason: Absent, run: str = "not_run", retry_after_s: float = 0.0
) -> bytes:
    body: dict[str, Any] = {"error": reason.reason, "message": reason.detail, "run": run}
    if retry_after_s:
        body["retry_after_s"] = retry_after_s
        req.setHeader(b"Retry-After", str(math.ceil(retry_after_s)).encode())
    req.setHeader(REFUSAL_HEADER, reason.reason.encode())
    return reply_json(req, status, body)


def _measure(answer: bytes, req: Request, exchange: _Exchange) -> bytes:
    refusal = req.responseHeaders.getRawHeaders(REFUSAL_HEADER, [b"answered"])[0]
    labels = {"queue": exchange.queue, "team": exchange.team, "outcome": refusal.decode()}
    metrics.count("requests", **labels)
    metrics.observe("request", time.monotonic() - exchange.started, **labels)
    return answer
