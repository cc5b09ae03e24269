"""A stream for log lines that never blocks and limits their rate.

A line is dropped when the buffer for a slow reader is full, or when its event is over its limit: a
rate in the long run, with bursts above it. The event `log_lines_left_out` reports the number of
dropped lines for each event.
"""

from __future__ import annotations

import os
import re
import time
from collections import Counter
from collections.abc import Callable

__all__ = ["LogStream", "format_time"]

LINES_PER_S = 200  # limit for each event in the long run
# Lines of an event that may come at once. Starts and ends of runs come in such bursts, and tell
# what happened when a fault is investigated.
BURST_LINES = 5 * LINES_PER_S
# Size of the buffer for a slow reader. It holds bursts of several events with lines of 200 bytes.
MAX_PENDING_BYTES = 1024 * 1024
_EVENT = re.compile(r"event=([\w.]+)")


def format_time(at: float) -> str:
    """Formats a time in seconds since the epoch as log lines have it, in UTC with milliseconds."""
    whole, milliseconds = divmod(int(at * 1000), 1000)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole))}.{milliseconds:03d}Z"


class LogStream:
    """Writes lines to a file descriptor, in place of the text stream of a logging handler.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        seconds: Returns a monotonic clock value in seconds.
        wall_clock: Returns the time in seconds since the epoch.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        seconds: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._seconds = seconds
        self._wall_clock = wall_clock
        self._pending = bytearray()
        self._second = 0
        # For each event with a recent line: the time up to which its lines use its rate. Times are
        # in units of one line at LINES_PER_S.
        self._used_until: dict[str, float] = {}
        self._dropped: Counter[str] = Counter()

    def write(self, text: str) -> int:
        """Buffers or drops a line, and writes as much of the buffer as possible.

        The line may lack its line feed. Blank text is ignored.
        """
        if text.strip():
            self._buffer_or_drop(text.rstrip("\n") + "\n")
        return len(text)

    def flush(self) -> None:
        """Writes as much of the buffer as the reader accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # For example, the reader is gone or the disk is full. The buffered lines are lost,
                # because a log that cannot be written must not end the process.
                self._pending.clear()
                return
            del self._pending[:written]

    def close(self) -> None:
        """Flushes; the descriptor stays open, because this stream did not open it."""
        self.flush()

    def admits(self, event: str) -> bool:
        """Whether lines of an event are below their limit; counts a dropped line if not."""
        now = self._start_second()
        if self._used_until.get(event, 0.0) <= now + BURST_LINES - 1:
            return True
        self._dropped[event] += 1
        return False

    def _start_second(self) -> float:
        """Returns the time in units of one line; begins a new second if it is due."""
        seconds = self._seconds()
        now = seconds * LINES_PER_S
        if int(seconds) != self._second:
            self._second = int(seconds)
            self._used_until = {e: until for e, until in self._used_until.items() if until > now}
            self._report_dropped()
        return now

    def _buffer_or_drop(self, line: str) -> None:
        now = self._start_second()
        match = _EVENT.search(line)
        event = match.group(1) if match else "other"
        data = line.encode("utf-8", "replace")
        used_until = max(self._used_until.get(event, 0.0), now)
        buffer_full = len(self._pending) + len(data) > MAX_PENDING_BYTES
        if buffer_full or used_until > now + BURST_LINES - 1:
            self._dropped[event] += 1
            return
        self._used_until[event] = used_until + 1
        self._pending += data
        self.flush()

    def _report_dropped(self) -> None:
        if not self._dropped or len(self._pending) > MAX_PENDING_BYTES // 2:
            return
        counts = ",".join(f"{event}:{number}" for event, number in sorted(self._dropped.items()))
        self._dropped.clear()
        head = f"time={format_time(self._wall_clock())} level=warning"
        self._pending += f"{head} event=log_lines_left_out counts={counts}\n".encode()
