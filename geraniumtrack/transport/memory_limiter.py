"""Limits the number and the memory of requests in progress."""

from __future__ import annotations

__all__ = ["MemoryLimiter"]


class MemoryLimiter:
    """Counts the requests in progress and the memory that they occupy.

    A request may take at most half of the memory that is left, so that large requests are refused
    first and ordinary ones find room beside them.

    Args:
        max_requests: Maximum number of requests in progress.
        max_bytes: Maximum size of all requests in progress.
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._requests = 0
        self._bytes = 0

    def try_start(self, size: int) -> bool:
        """Returns whether a request of a size in bytes may start; `finish` must follow if so."""
        if self._requests >= self._max_requests or size > (self._max_bytes - self._bytes) / 2:
            return False
        self._requests += 1
        self._bytes += size
        return True

    def finish(self, size: int) -> None:
        """Records the end of a request that `try_start` has let start with this size."""
        self._requests -= 1
        self._bytes -= size
