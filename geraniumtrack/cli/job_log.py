"""Collects the log lines about one job from the logs of all processes, ordered by time."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

__all__ = ["LogLine", "find_job_lines", "read_lines", "render_job_lines"]

# The second alternative is a quoted value that was cut off.
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|"(?:[^"\\]|\\.)*\\?$|\S*)')
CONTEXT_S = 2.0  # time before the first and after the last line of a job that is included
# Events about the workers of a job, and about the owner (the leading controller).
WORKER_EVENTS = frozenset(
    {
        "instance_evacuating",
        "slow_together",
        "slow_together_ended",
        "worker_fast_again",
        "worker_fenced_us",
        "worker_forgotten",
        "worker_gone",
        "worker_left",
        "worker_lost",
        "worker_regained",
        "worker_replaced",
        "worker_reported",
        "worker_set_aside",
        "worker_slow",
    }
)
OWNER_EVENTS = frozenset(
    {
        "commit_unclear",
        "evacuation",
        "evacuation_outdated",
        "order_dropped",
        "owner_commit_lost",
        "owner_known",
        "owner_started",
        "owner_stopped",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line: its time in seconds since the epoch, and its key-value pairs."""

    at: float
    pairs: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.pairs.get("event", "")

    def concerns(self, job_id: str) -> bool:
        """Whether the line is about a job."""
        return self.pairs.get("job") == job_id or self.pairs.get("path", "").endswith(f"/{job_id}")


def read_lines(files: Iterable[str | Path]) -> Iterator[LogLine]:
    """Yields the log lines of files; skips text that is not a log line."""
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse(text)
                if line is not None:
                    yield line


def find_job_lines(lines: Iterable[LogLine], job_id: str) -> list[LogLine]:
    """Returns the lines about a job, and those about its workers and the owner around that time."""
    lines = sorted(lines, key=lambda line: line.at)
    job_lines = [line for line in lines if line.concerns(job_id)]
    if not job_lines:
        return []
    workers = {line.pairs["worker"] for line in job_lines if "worker" in line.pairs}
    first, last = job_lines[0].at - CONTEXT_S, job_lines[-1].at + CONTEXT_S
    return [
        line
        for line in lines
        if line.concerns(job_id)
        or (
            first <= line.at <= last
            and (
                line.event in OWNER_EVENTS
                or (line.event in WORKER_EVENTS and line.pairs.get("worker") in workers)
            )
        )
    ]


def render_job_lines(lines: list[LogLine], job_id: str) -> str:
    """Formats the result of `find_job_lines`, with seconds since the first line about the job.

    Lines that are not about the job itself are marked with `|`. Times from different instances
    include the difference between their clocks.
    """
    origin = next(line.at for line in lines if line.concerns(job_id))
    hidden = ("time", "level", "event", "process", "dc", "job")
    rows = []
    for line in lines:
        pairs = " ".join(f"{k}={v}" for k, v in line.pairs.items() if k not in hidden)
        mark = " " if line.concerns(job_id) else "|"
        process = line.pairs.get("process", "?")
        rows.append(f"{line.at - origin:+9.3f} {mark} {process} {line.event} {pairs}".rstrip())
    return "\n".join(rows)


def _parse(text: str) -> LogLine | None:
    pairs = {key: _unquote(value) for key, value in PAIR.findall(text.rstrip())}
    try:
        at = datetime.fromisoformat(pairs["time"]).timestamp()
    except (KeyError, ValueError):
        return None
    return LogLine(at, pairs)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:  # the line was cut off, for instance when the process was killed
        return value[1:]
