"""Structured logs: one line of key=value pairs for each event, written with absl.logging."""

from __future__ import annotations

import json
import logging as std_logging
import re
from typing import Any

from absl import flags, logging

from geraniumtrack.log_stream import LogStream, format_time

__all__ = ["event", "setup", "warn"]

STDOUT_DESCRIPTOR = 1
# Values of only these characters are written without quotes.
_SAFE_TEXT = re.compile(r"[A-Za-z0-9._:/@%+-]+")
_stream: LogStream | None = None  # set by `setup`
_common_pairs: dict[str, Any] = {}  # pairs that `event` and `warn` add after the event's name


def setup(*, process: str, data_centre: str, level: str = "info") -> None:
    """Sends log lines to standard output; sets the level and the common pairs.

    The common pairs, process and data centre, are in every line of `event` and `warn`. Messages of
    libraries and the event `log_lines_left_out` lack them.

    Args:
        process: Name of the process.
        data_centre: Data centre of the process.
        level: One of debug, info, warning and error.
    """
    _common_pairs.update(process=process, dc=data_centre)
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()  # daemons read settings from a file, not flags
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.set_stderrthreshold("fatal")
    global _stream
    _stream = LogStream(STDOUT_DESCRIPTOR)
    logging.get_absl_handler().python_handler.stream = _stream
    logging.get_absl_handler().setFormatter(_KeyValueFormatter())
    _skip_unused_record_fields()
    std_logging.getLogger("websockets").setLevel(std_logging.WARNING)


def _skip_unused_record_fields() -> None:
    """Keeps `logging` from collecting what no line contains, as its manual recommends."""
    std_logging._srcfile = None  # otherwise the stack is searched for the caller of each event
    std_logging.logThreads = False
    std_logging.logProcesses = False
    std_logging.logMultiprocessing = False


def event(name: str, **pairs: Any) -> None:
    """Logs an event at level info."""
    # At peaks most lines of some events are left out; these need not be formatted.
    if _stream is None or _stream.admits(name):
        logging.info("%s", _Line(name, pairs))


def warn(name: str, **pairs: Any) -> None:
    """Logs an event at level warning."""
    logging.warning("%s", _Line(name, pairs))


class _KeyValueFormatter(std_logging.Formatter):
    """Prepends the time and the level as pairs; wraps messages of libraries in an event."""

    def format(self, record: std_logging.LogRecord) -> str:
        return f"time={format_time(record.created)} level={record.levelname.lower()} " + (
            record.getMessage() if record.name == "absl" else self._library_message(record)
        )

    def _library_message(self, record: std_logging.LogRecord) -> str:
        return f"event=library_message logger={record.name} detail={_quote(record.getMessage())}"


class _Line:
    """An event whose pairs are formatted only if its level is enabled."""

    def __init__(self, name: str, pairs: dict[str, Any]) -> None:
        self._pairs = {"event": name, **_common_pairs, **pairs}

    def __str__(self) -> str:
        return " ".join(f"{key}={_quote(value)}" for key, value in self._pairs.items())


def _quote(value: Any) -> str:
    if isinstance(value, float):
        value = round(value, 6)
    text = str(value)
    if _SAFE_TEXT.fullmatch(text):
        return text
    return json.dumps(text)


if __name__ == "__main__":
    setup(process="e1", data_centre="dc1")
    event("request_refused", team="acme", reason="queue_full", detail="retry after 1 s")
