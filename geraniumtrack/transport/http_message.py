"""Requests and replies of the HTTP server."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

__all__ = ["Reply", "Request", "encode_reply"]

SMALL_BODY_BYTES = 4096

REASON_PHRASES = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(slots=True)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        path: Path with the query string.
        headers: The headers that the server keeps, with names in lower case.
        body: Body, or empty bytes.
        at: Clock value in seconds at which its last byte was read.
        max_waited_s: Longest time in seconds that its last byte may have waited to be read; see
            `ArrivalClock`.
        is_abandoned: Returns whether the connection has been closed, so that no reply can be sent.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float
    max_waited_s: float = 0.0
    is_abandoned: Callable[[], bool] = lambda: False

    @property
    def arrived_after(self) -> float:
        """Clock value in seconds before which its last byte can't have arrived."""
        return self.at - self.max_waited_s


@dataclass(slots=True)
class Reply:
    """A complete reply.

    Attributes:
        status: HTTP status.
        body: JSON body, or empty bytes.
        headers: Headers besides those about the body and the connection.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


def encode_reply(reply: Reply, close: bool) -> tuple[bytes, ...]:
    """Returns the parts of an encoded reply; a large body is a part of its own and not copied.

    Args:
        reply: The reply.
        close: Whether the connection is closed after it.
    """
    lines = [f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    if reply.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(reply.body)}")
    if close:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    if len(reply.body) <= SMALL_BODY_BYTES:
        return (head + reply.body,)
    return head, reply.body
