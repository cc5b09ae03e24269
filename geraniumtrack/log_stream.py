"""A standard output that never blocks and keeps the volume of log lines bounded.

A line that the reader doesn't take, or that is beyond its kind's share of the second, is left out
and counted; a line of its own says how many of which kind were left out.
"""

from __future__ import annotations

import os
import re
import time
from collections import Counter
from collections.abc import Callable

__all__ = ["LogStream"]

LINES_PER_S = 200  # of one kind of event
MAX_PENDING_BYTES = 256 * 1024  # kept for a reader that is slow
_EVENT = re.compile(r"event=([\w.]+)")


class LogStream:
    """Writes lines to a file descriptor; it stands in place of a text stream.

    Args:
        descriptor: Where the lines go; it is made non-blocking.
        seconds: Returns a clock value in s.
    """

    def __init__(self, descriptor: int, *, seconds: Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._seconds = seconds
        self._pending = bytearray()
        self._second = 0
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def write(self, text: str) -> int:
        """Takes one line or a part of one."""
        if text.strip():
            self._take(text.rstrip("\n") + "\n")
        return len(text)

    def flush(self) -> None:
        """Writes what the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; a log that can't be written must not end the process.
                self._pending.clear()
                return
            del self._pending[:written]

    def close(self) -> None:
        """Writes what can be written; the descriptor stays open, as it isn't this stream's own."""
        self.flush()

    def _take(self, line: str) -> None:
        second = int(self._seconds())
        if second != self._second:
            self._second = second
            self._written.clear()
            self._report_left_out()
        found = _EVENT.search(line)
        kind = found.group(1) if found else "other"
        data = line.encode("utf-8", "replace")
        full = len(self._pending) + len(data) > MAX_PENDING_BYTES
        if full or self._written[kind] >= LINES_PER_S:
            self._left_out[kind] += 1
            return
        self._written[kind] += 1
        self._pending += data
        self.flush()

    def _report_left_out(self) -> None:
        if not self._left_out or len(self._pending) > MAX_PENDING_BYTES // 2:
            return
        counts = ",".join(f"{kind}:{number}" for kind, number in sorted(self._left_out.items()))
        self._left_out.clear()
        self._pending += f"level=warning event=log_lines_left_out counts={counts}\n".encode()
