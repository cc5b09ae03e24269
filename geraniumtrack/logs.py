"""Structured logs: one line of key=value pairs for each event, through absl.logging."""

from __future__ import annotations

import json
import logging as std_logging
import time
from typing import Any

from absl import flags, logging

from geraniumtrack.log_stream import LogStream

__all__ = ["event", "setup", "warn"]

STANDARD_OUTPUT = 1  # file descriptor
_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/@%+-")
_context: dict[str, Any] = {}


def setup(*, process: str, data_centre: str, level: str = "info") -> None:
    """Sends lines to standard output; sets the level and the pairs that every line carries.

    Args:
        process: Name of the process.
        data_centre: Data centre of the process.
        level: One of debug, info, warning and error.
    """
    _context.update(process=process, dc=data_centre)
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()  # the daemons take their settings from a file
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.set_stderrthreshold("fatal")
    logging.get_absl_handler().python_handler.stream = LogStream(STANDARD_OUTPUT)
    logging.get_absl_handler().setFormatter(_KeyValueFormatter())
    std_logging.getLogger("websockets").setLevel(std_logging.WARNING)


def event(name: str, **pairs: Any) -> None:
    """Logs an event at level info."""
    logging.info("%s", _Line(name, pairs))


def warn(name: str, **pairs: Any) -> None:
    """Logs an event at level warning."""
    logging.warning("%s", _Line(name, pairs))


class _KeyValueFormatter(std_logging.Formatter):
    """Puts time and level in front, as pairs too."""

    def format(self, record: std_logging.LogRecord) -> str:
        at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        return f"time={at}.{int(record.msecs):03d}Z level={record.levelname.lower()} " + (
            record.getMessage() if record.name == "absl" else self._foreign(record)
        )

    def _foreign(self, record: std_logging.LogRecord) -> str:
        return f"event=library_message logger={record.name} detail={_quote(record.getMessage())}"


class _Line:
    """Formats the pairs only if the level is enabled."""

    def __init__(self, name: str, pairs: dict[str, Any]) -> None:
        self._pairs = {"event": name, **_context, **pairs}

    def __str__(self) -> str:
        return " ".join(f"{key}={_quote(value)}" for key, value in self._pairs.items())


def _quote(value: Any) -> str:
    if isinstance(value, float):
        value = round(value, 6)
    text = str(value)
    if text and set(text) <= _PLAIN:
        return text
    return json.dumps(text)


if __name__ == "__main__":
    setup(process="e1", data_centre="dc1")
    event("request_refused", team="acme", reason="over_limit", detail="retry after 1 s")
