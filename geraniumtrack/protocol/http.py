"""Shared pieces of the HTTP interfaces: JSON replies, bounded bodies, listening."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.http import Request
from twisted.web.server import Site

from geraniumtrack.protocol.links import Address

__all__ = ["bearer_token", "json_body", "listen_app", "operator_token", "reply_json"]


def reply_json(req: Request, status: int, body: Any) -> bytes:
    """Sets status and type, and returns the encoded body."""
    req.setResponseCode(status)
    req.setHeader(b"Content-Type", b"application/json")
    return json.dumps(body, default=_plain).encode() + b"\n"


def json_body(req: Request, limit: int) -> dict[str, Any] | None:
    """Reads a JSON object from a request, or None if it is too large or not an object."""
    data = req.content.read(limit + 1)
    if len(data) > limit:
        return None
    try:
        body = json.loads(data)
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


def bearer_token(req: Request) -> str:
    """Returns the bearer token of a request, or an empty string."""
    scheme, _, token = (req.getHeader("authorization") or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def operator_token(secret: bytes) -> str:
    """Derives the operators' token, so that the cluster secret itself never travels."""
    return hmac.new(secret, b"geraniumtrack operator", hashlib.sha256).hexdigest()


def listen_app(reactor: Any, app: Klein, address: Address) -> Deferred:
    """Serves a klein application; the Deferred gives the listening port."""
    site = Site(app.resource())
    site.noisy = False
    endpoint = TCP4ServerEndpoint(reactor, address.port, interface=address.host, backlog=512)
    return endpoint.listen(site)


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | set):
        return list(value)
    raise TypeError(f"{type(value).__name__} has no JSON form")
