"""Shared parts of the HTTP interfaces: refusals, JSON bodies and listening.

A refusal is a JSON object with a reason code in `error` and a text in `message`; `not_leader` has
the name of the leader in `leader` instead of a text. Refusals of callers' requests, and those that
`BoundedRequest` and `with_json_errors` send on any interface, also have `run`, which says whether
the task ran. `protocol.bounded_http` limits what clients can occupy.
"""

from __future__ import annotations

import hmac
import json
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.http import Request
from werkzeug.exceptions import HTTPException

from geraniumtrack import logs
from geraniumtrack.protocol.address import Address, operator_token
from geraniumtrack.protocol.bounded_http import (
    REASON_CODES,
    RECEIVE_TIMEOUT_S,
    REFUSAL_HEADER,
    HttpBounds,
    bounded_site,
)

__all__ = [
    "RECEIVE_TIMEOUT_S",
    "REFUSAL_HEADER",
    "HttpBounds",
    "bearer_token",
    "bounded_site",
    "check_operator_token",
    "close_after_reply",
    "header",
    "json_body",
    "listen_app",
    "operator_token",
    "reply_json",
    "with_json_errors",
]


def reply_json(req: Request, status: int, body: Any) -> bytes:
    """Sets the status and the headers of a JSON reply, and returns its encoded body."""
    req.setResponseCode(status)
    req.setHeader(b"Content-Type", b"application/json")
    data = json.dumps(body, default=_to_json_type).encode() + b"\n"
    req.setHeader(b"Content-Length", str(len(data)).encode())
    return data


def json_body(req: Request, limit: int) -> dict[str, Any] | None:
    """Returns the JSON object in a request body, or None if it is too large or not an object."""
    data = req.content.read(limit + 1)
    if len(data) > limit:
        return None
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return body if isinstance(body, dict) else None


def header(req: Request, name: str) -> str | None:
    """Returns a request header decoded as Latin-1, which accepts any bytes, or None."""
    value = req.getHeader(name.encode())
    return None if value is None else value.decode("latin-1")


def check_operator_token(req: Request, secret: bytes) -> bytes | None:
    """Returns None if a request has the operator token, and otherwise the body of a 401 refusal."""
    token = bearer_token(req).encode("utf-8", "replace")
    if hmac.compare_digest(token, operator_token(secret).encode()):
        return None
    message = "operator token missing or wrong; send the token derived from secret_file"
    return reply_json(req, 401, {"error": "not_operator", "message": message})


def bearer_token(req: Request) -> str:
    """Returns the bearer token of a request, or an empty string if there is none."""
    scheme, _, token = (header(req, "authorization") or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def close_after_reply(req: Request) -> None:
    """Closes the connection after this reply, so that the caller connects to another entry."""
    req.setHeader(b"Connection", b"close")
    req.channel.persistent = False


def with_json_errors(app: Klein) -> Klein:
    """Makes an application reply with refusals to unknown paths, wrong methods and exceptions."""

    def handle_http_error(*args: Any) -> bytes:
        req, failure = args[-2:]
        status = failure.value.code or 500
        message = f"{req.method.decode('latin-1')} {req.path.decode('latin-1')} is not served here"
        body = {
            "error": REASON_CODES.get(status, "bad_request"),
            "message": message,
            "run": "not_run",
        }
        return _reply_refusal(req, status, body)

    def handle_internal_error(*args: Any) -> bytes:
        req, failure = args[-2:]
        logs.warn("request_failed", detail=failure.getErrorMessage(), kind=failure.type.__name__)
        message = "internal error while handling the request; see the log of the process"
        return _reply_refusal(req, 500, {"error": "internal", "message": message, "run": "unknown"})

    app.handle_errors(HTTPException)(handle_http_error)
    app.handle_errors(Exception)(handle_internal_error)
    return app


def _reply_refusal(req: Request, status: int, body: dict[str, Any]) -> bytes:
    req.setHeader(REFUSAL_HEADER, body["error"].encode())
    return reply_json(req, status, body)


def listen_app(
    reactor: Any, app: Klein, address: Address, *, bounds: HttpBounds | None = None
) -> Deferred:
    """Serves a Klein application; the Deferred fires with the listening port."""
    site = bounded_site(reactor, app, bounds or HttpBounds())
    endpoint = TCP4ServerEndpoint(reactor, address.port, interface=address.host, backlog=512)
    return endpoint.listen(site)


def _to_json_type(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | set):
        return list(value)
    raise TypeError(f"{type(value).__name__} cannot be encoded as JSON")
