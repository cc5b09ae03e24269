"""Shared parts of the HTTP interfaces: limits on requests, refusals, JSON bodies and listening.

A refusal is a JSON object with a reason code in `error` and a text in `message`; `not_leader` has
the name of the leader in `leader` instead of a text. Refusals of callers' requests, and those that
`BoundedRequest` and `with_json_errors` send on any interface, also have `run`, which says whether
the task ran.
"""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.http import Request
from twisted.web.server import Request as SiteRequest
from twisted.web.server import Site
from werkzeug.exceptions import HTTPException

from geraniumtrack import logs
from geraniumtrack.protocol.address import Address, operator_token

__all__ = [
    "REFUSAL_HEADER",
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

# A connection on which no bytes arrive for this time is closed, unless a request is being handled.
IDLE_TIMEOUT_S = 30.0
# Limit for receiving the rest of a request after its headers, even if bytes keep arriving.
RECEIVE_TIMEOUT_S = 60.0
REFUSAL_LINGER_S = 1.0  # time for the client to read a refusal before the connection is closed
MAX_BODY_BYTES = 4 * 1024 * 1024

REFUSAL_HEADER = b"Geraniumtrack-Refusal"  # set on refusals, never on the response of a target
_REASON_CODES = {404: "unknown_path", 405: "wrong_method", 408: "too_slow", 413: "too_large"}
_STATUS_PHRASES = {408: "Request Timeout", 413: "Request Entity Too Large"}


class BoundedRequest(SiteRequest):
    """A request that is refused while its body arrives if the body is too large or too slow.

    No more than `limit` bytes of a body are buffered. `bounded_site` sets the attributes in a
    subclass.

    Attributes:
        limit: Largest body in bytes.
        clock: Reactor that runs the timers.
    """

    limit = MAX_BODY_BYTES
    clock: Any = None
    _received_bytes = 0
    _refused = False
    _timer: Any = None
    _saved_content_type: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802 - Twisted's name
        """Refuses a Content-Length over the limit before the body arrives."""
        super().gotLength(length)
        self._timer = self.clock.callLater(RECEIVE_TIMEOUT_S, self._refuse_too_slow)
        if length is not None and length > self.limit:
            self._refuse_too_large()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Refuses a body without a Content-Length once it exceeds the limit."""
        if self._refused:
            return
        self._received_bytes += len(data)
        if self._received_bytes > self.limit:
            self._refuse_too_large()
        else:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Hides the Content-Type header from Twisted, which would otherwise parse form data.

        No interface uses form data. Parsing took 0.2 ms for each announcement, and a malformed form
        closed the connection without a refusal. `process` restores the header.
        """
        self._saved_content_type = self.requestHeaders.getRawHeaders(b"content-type")
        self.requestHeaders.removeHeader(b"content-type")
        super().requestReceived(command, path, version)

    def process(self) -> None:
        """Handles the request, unless it was refused while it arrived."""
        self._cancel_timer()
        if self._saved_content_type:
            self.requestHeaders.setRawHeaders(b"content-type", self._saved_content_type)
        if self._refused:
            self.channel.loseConnection()
        else:
            super().process()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 - Twisted's name
        """Cancels the timer of a request that did not arrive completely."""
        self._cancel_timer()
        super().connectionLost(reason)

    def _refuse_too_large(self) -> None:
        self._refuse(413, f"request body too large; send at most {self.limit} bytes")

    def _refuse_too_slow(self) -> None:
        self._timer = None
        self._refuse(
            408,
            f"request received too slowly; send the whole request within {RECEIVE_TIMEOUT_S:g} s",
        )

    def _refuse(self, status: int, message: str) -> None:
        # Written to the transport: a Twisted request cannot reply before its body is complete.
        self._refused = True
        self._cancel_timer()
        body = json.dumps({"error": _REASON_CODES[status], "message": message, "run": "not_run"})
        head = (
            f"HTTP/1.1 {status} {_STATUS_PHRASES[status]}\r\nContent-Type: application/json\r\n"
            f"{REFUSAL_HEADER.decode()}: {_REASON_CODES[status]}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write((head + body).encode())
        self._timer = self.clock.callLater(REFUSAL_LINGER_S, self._close_connection)

    def _close_connection(self) -> None:
        self._timer = None
        self.channel.loseConnection()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


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
            "error": _REASON_CODES.get(status, "bad_request"),
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


def bounded_site(reactor: Any, app: Klein, max_body_bytes: int = MAX_BODY_BYTES) -> Site:
    """Returns a site that serves an application and refuses larger bodies while they arrive."""
    class_attributes = {"limit": max_body_bytes, "clock": reactor}
    request_factory: Callable[..., Any] = type(
        "_BoundedRequest", (BoundedRequest,), class_attributes
    )
    site = Site(app.resource(), requestFactory=request_factory, timeout=IDLE_TIMEOUT_S)
    site.noisy = False
    return site


def listen_app(
    reactor: Any, app: Klein, address: Address, *, max_body_bytes: int = MAX_BODY_BYTES
) -> Deferred:
    """Serves a Klein application; the Deferred fires with the listening port."""
    site = bounded_site(reactor, app, max_body_bytes)
    endpoint = TCP4ServerEndpoint(reactor, address.port, interface=address.host, backlog=512)
    return endpoint.listen(site)


def _to_json_type(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | set):
        return list(value)
    raise TypeError(f"{type(value).__name__} cannot be encoded as JSON")
