"""Shared pieces of the HTTP interfaces: bounded requests, typed refusals, JSON, listening."""

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
    "bearer_token",
    "bounded_site",
    "close_after",
    "header",
    "json_body",
    "listen_app",
    "operator_token",
    "refuse_stranger",
    "reply_json",
    "type_errors",
]

IDLE_S = 30.0  # without a byte of a request under way
RECEIVE_S = 60.0  # for a whole request, however slowly its bytes arrive
LINGER_S = 1.0  # for a refusal to be read before the connection is closed
MAX_BODY_BYTES = 4 * 1024 * 1024

_REASONS = {404: "unknown_path", 405: "wrong_method", 408: "too_slow", 413: "too_large"}
_PHRASES = {408: "Request Timeout", 413: "Request Entity Too Large"}


class BoundedRequest(SiteRequest):
    """A request whose body is refused before it is buffered if it is too large or too slow."""

    limit = MAX_BODY_BYTES
    clock: Any = None
    _received = 0
    _ended = False
    _timer: Any = None
    _content_type: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802 - Twisted's name
        """Refuses a declared length over the limit, before the body arrives."""
        super().gotLength(length)
        self._timer = self.clock.callLater(RECEIVE_S, self._too_slow)
        if length is not None and length > self.limit:
            self._too_large()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Refuses a body without a declared length once it is over the limit."""
        if self._ended:
            return
        self._received += len(data)
        if self._received > self.limit:
            self._too_large()
        else:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Hides the content type while Twisted looks for a form; bodies are opaque here.

        Parsing it took 0.2 ms of each announcement, and a malformed form ended the connection
        without a typed refusal.
        """
        self._content_type = self.requestHeaders.getRawHeaders(b"content-type")
        self.requestHeaders.removeHeader(b"content-type")
        super().requestReceived(command, path, version)

    def process(self) -> None:
        """Handles the request unless it was refused while it arrived."""
        self._cancel_timer()
        if self._content_type:
            self.requestHeaders.setRawHeaders(b"content-type", self._content_type)
        if self._ended:
            self.channel.loseConnection()
        else:
            super().process()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 - Twisted's name
        """Ends the timer of a request that never arrived whole."""
        self._cancel_timer()
        super().connectionLost(reason)

    def _too_large(self) -> None:
        self._refuse(413, f"send at most {self.limit} bytes")

    def _too_slow(self) -> None:
        self._timer = None
        self._refuse(408, f"send the whole request within {RECEIVE_S:g} s")

    def _refuse(self, status: int, message: str) -> None:
        # Written past the request object, which cannot answer before its body has arrived.
        self._ended = True
        self._cancel_timer()
        body = json.dumps({"error": _REASONS[status], "message": message, "run": "not_run"})
        head = (
            f"HTTP/1.1 {status} {_PHRASES[status]}\r\nContent-Type: application/json\r\n"
            f"Geraniumtrack-Refusal: {_REASONS[status]}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write((head + body).encode())
        self._timer = self.clock.callLater(LINGER_S, self._abort)

    def _abort(self) -> None:
        self._timer = None
        self.channel.loseConnection()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def reply_json(req: Request, status: int, body: Any) -> bytes:
    """Sets status and type, and returns the encoded body."""
    req.setResponseCode(status)
    req.setHeader(b"Content-Type", b"application/json")
    data = json.dumps(body, default=_plain).encode() + b"\n"
    req.setHeader(b"Content-Length", str(len(data)).encode())
    return data


def json_body(req: Request, limit: int) -> dict[str, Any] | None:
    """Reads a JSON object from a request, or None if it is too large or not an object."""
    data = req.content.read(limit + 1)
    if len(data) > limit:
        return None
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return body if isinstance(body, dict) else None


def header(req: Request, name: str) -> str | None:
    """Returns a request header, or None. Any bytes are read, as Latin-1."""
    value = req.getHeader(name.encode())
    return None if value is None else value.decode("latin-1")


def refuse_stranger(req: Request, secret: bytes) -> bytes | None:
    """Refuses a request without the operators' token; returns None if it carries it."""
    token = bearer_token(req).encode("utf-8", "replace")
    if hmac.compare_digest(token, operator_token(secret).encode()):
        return None
    message = "send the operators' token, derived from secret_file"
    return reply_json(req, 401, {"error": "not_operator", "message": message})


def bearer_token(req: Request) -> str:
    """Returns the bearer token of a request, or an empty string."""
    scheme, _, token = (header(req, "authorization") or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def close_after(req: Request) -> None:
    """Closes the caller's connection after this answer, so that it connects elsewhere."""
    req.setHeader(b"Connection", b"close")
    req.channel.persistent = False


def type_errors(app: Klein) -> Klein:
    """Makes an application answer unknown paths, wrong methods and faults with typed JSON."""

    def refused(*args: Any) -> bytes:
        req, failure = args[-2:]
        status = failure.value.code or 500
        message = f"{req.method.decode('latin-1')} {req.path.decode('latin-1')} is not served here"
        body = {"error": _REASONS.get(status, "bad_request"), "message": message, "run": "not_run"}
        return reply_json(req, status, body)

    def failed(*args: Any) -> bytes:
        req, failure = args[-2:]
        logs.warn("request_failed", detail=failure.getErrorMessage(), kind=failure.type.__name__)
        message = "the process failed to handle the request; see its log"
        return reply_json(req, 500, {"error": "internal", "message": message, "run": "unknown"})

    app.handle_errors(HTTPException)(refused)
    app.handle_errors(Exception)(failed)
    return app


def bounded_site(reactor: Any, app: Klein, max_body_bytes: int = MAX_BODY_BYTES) -> Site:
    """Returns a site for an application that refuses larger bodies while they arrive."""
    bounds = {"limit": max_body_bytes, "clock": reactor}
    factory: Callable[..., Any] = type("_BoundedRequest", (BoundedRequest,), bounds)
    site = Site(app.resource(), requestFactory=factory, timeout=IDLE_S)
    site.noisy = False
    return site


def listen_app(
    reactor: Any, app: Klein, address: Address, *, max_body_bytes: int = MAX_BODY_BYTES
) -> Deferred:
    """Serves a klein application; the Deferred gives the listening port."""
    site = bounded_site(reactor, app, max_body_bytes)
    endpoint = TCP4ServerEndpoint(reactor, address.port, interface=address.host, backlog=512)
    return endpoint.listen(site)


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | set):
        return list(value)
    raise TypeError(f"{type(value).__name__} has no JSON form")
