"""Parses the requests of one connection, with the httptools parser.

The memory of a request doesn't depend on how it is divided into lines, chunks or packets: a body is
kept in one buffer, and of the headers only those that the handler reads.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import httptools

from geraniumtrack.transport.http_message import Request

__all__ = ["LENGTH_HEADER", "HttpLimits", "RequestParser", "RequestReceiver"]

LENGTH_HEADER = "content-length"
# Input is parsed in slices, so that parsing can stop between requests of the same read.
SLICE_BYTES = 256
# The limit of header bytes counts names and values. A line with a name of one character and no
# value takes five bytes.
MAX_RAW_HEADER_RATIO = 5


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits for one request or connection.

    Attributes:
        max_header_bytes: Maximum size of URL, header names and values; more is rejected with status
            431.
        max_body_bytes: Maximum size of the body; more is rejected with status 413.
        header_timeout_s: Time for a request to arrive in full, from its first byte; then it is
            rejected with status 408. It does not run while earlier replies keep the server from
            reading.
        idle_timeout_s: Time after which a connection without requests, or one whose replies are not
            read, is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RequestReceiver(Protocol):
    """Callbacks of a parser, which its owner implements."""

    def request_begun(self) -> None:
        """Called with the first byte of a request."""

    def request_complete(self, request: Request, keep_alive: bool) -> None:
        """Called with each complete request, and whether its client keeps the connection."""

    def request_rejected(self, status: int) -> None:
        """Called once, when input is invalid or too large; the parser has stopped."""


class RequestParser:
    """Parses requests until it is stopped.

    Args:
        receiver: Gets the callbacks.
        limits: Limits for one request.
        kept_headers: Names of the headers to keep, by the name in lower case as bytes.
        seconds: Returns the time in seconds of a monotonic clock.

    Attributes:
        receiving: Whether a request has begun and is not complete.
    """

    def __init__(
        self,
        receiver: RequestReceiver,
        limits: HttpLimits,
        kept_headers: Mapping[bytes, str],
        seconds: Callable[[], float],
    ) -> None:
        self._receiver = receiver
        self._limits = limits
        self._kept_headers = kept_headers
        self._seconds = seconds
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._raw_bytes = 0  # parsed since the last part of a body or the last complete request
        self._reset()

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete request."""
        return len(self._body) + self._header_bytes + self._raw_bytes

    def feed(self, data: bytes, may_go_on: Callable[[], bool]) -> bytes:
        """Parses data.

        Args:
            data: What has been read from the connection.
            may_go_on: Whether to parse more; called before each slice.

        Returns:
            The rest, which was not parsed; empty once the parser has stopped.
        """
        view, position = memoryview(data), 0
        while position < len(view) and self._parser is not None and may_go_on():
            end = position + max(SLICE_BYTES, self._length - len(self._body))
            self._feed_slice(view[position:end])
            position = end
        return bytes(view[position:]) if self._parser is not None else b""

    def stop(self) -> None:
        """Drops the incomplete request; nothing more is parsed."""
        # The httptools parser refers to this object. Without the cycle, both are freed at once.
        self._parser = None
        self._raw_bytes = 0
        self._reset()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Called with the first byte of a request."""
        self.receiving = True
        self._receiver.request_begun()

    def on_url(self, url: bytes) -> None:
        """Called with a part of the URL."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with a header, or with a trailer, which is not kept."""
        self._count_header_bytes(len(name) + len(value))
        kept_name = self._kept_headers.get(name.lower())
        if kept_name is not None and not self._headers_complete:
            self._headers[kept_name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Called before the body."""
        self._headers_complete = True
        length = self._headers.pop(LENGTH_HEADER, "0")
        self._length = int(length) if length.isascii() and length.isdigit() else 0
        if self._length > self._limits.max_body_bytes:
            self._reject(413)

    def on_body(self, data: bytes) -> None:
        """Called with a part of the body."""
        if self._parser is None:
            return
        self._body += data
        self._progress = True
        if len(self._body) > self._limits.max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Called at the end of a request."""
        parser = self._parser
        if parser is None:
            return
        if parser.should_upgrade():
            self._reject(400)
            return
        request = Request(
            method=parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            at=self._seconds(),
        )
        self._reset()
        self._receiver.request_complete(request, parser.should_keep_alive())

    def _feed_slice(self, data: memoryview) -> None:
        self._progress = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)
        # httptools keeps a header or trailer line until its end, however long it is.
        self._raw_bytes = 0 if self._progress else self._raw_bytes + len(data)
        if self._raw_bytes > MAX_RAW_HEADER_RATIO * self._limits.max_header_bytes:
            self._reject(431)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes:
            self._reject(431)

    def _reject(self, status: int) -> None:
        if self._parser is not None:
            self.stop()
            self._receiver.request_rejected(status)

    def _reset(self) -> None:
        self.receiving = False
        self._url = bytearray()
        self._headers: dict[str, str] = {}
        self._headers_complete = False
        self._body = bytearray()
        self._length = 0
        self._header_bytes = 0
        self._progress = True
