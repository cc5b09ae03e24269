"""Reads the logs of all processes and tells the story of one job in order."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

__all__ = ["LogLine", "find_story", "read_lines", "render_story"]

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
CONTEXT_S = 2.0  # before the first and after the last line of a job
# What a process believes about the workers of the job, and about who leads.
WORKER_EVENTS = frozenset(
    {
        "instance_evacuating",
        "worker_fenced_us",
        "worker_forgotten",
        "worker_gone",
        "worker_left",
        "worker_lost",
        "worker_regained",
        "worker_replaced",
        "worker_reported",
        "worker_set_aside",
    }
)
OWNER_EVENTS = frozenset(
    {
        "commit_unclear",
        "evacuation",
        "owner_commit_lost",
        "owner_known",
        "owner_started",
        "owner_stopped",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line: its time in s since 1970 and its pairs."""

    at: float
    pairs: dict[str, str]

    @property
    def event(self) -> str:
        """Kind of the event."""
        return self.pairs.get("event", "")

    def names(self, job_id: str) -> bool:
        """Whether the line is about a job."""
        return self.pairs.get("job") == job_id or self.pairs.get("path", "").endswith(f"/{job_id}")


def read_lines(files: Iterable[str | Path]) -> Iterator[LogLine]:
    """Yields the lines of log files; what is no log line is passed over."""
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse(text)
                if line is not None:
                    yield line


def find_story(lines: Iterable[LogLine], job_id: str) -> list[LogLine]:
    """Returns the lines of a job, and what changed about its workers and the owner meanwhile."""
    lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in lines if line.names(job_id)]
    if not own:
        return []
    workers = {line.pairs["worker"] for line in own if "worker" in line.pairs}
    first, last = own[0].at - CONTEXT_S, own[-1].at + CONTEXT_S
    return [
        line
        for line in lines
        if line.names(job_id)
        or (
            first <= line.at <= last
            and (
                line.event in OWNER_EVENTS
                or (line.event in WORKER_EVENTS and line.pairs.get("worker") in workers)
            )
        )
    ]


def render_story(story: list[LogLine], job_id: str) -> str:
    """Lays out a story, with times in s after the first line of the job.

    Clocks of different instances may differ, which shows in the times.
    """
    origin = next(line.at for line in story if line.names(job_id))
    hidden = ("time", "level", "event", "process", "dc", "job")
    rows = []
    for line in story:
        pairs = " ".join(f"{k}={v}" for k, v in line.pairs.items() if k not in hidden)
        mark = " " if line.names(job_id) else "|"
        process = line.pairs.get("process", "?")
        rows.append(f"{line.at - origin:+9.3f} {mark} {process} {line.event} {pairs}".rstrip())
    return "\n".join(rows)


def _parse(text: str) -> LogLine | None:
    pairs = {key: _unquote(value) for key, value in PAIR.findall(text)}
    try:
        at = datetime.fromisoformat(pairs["time"]).timestamp()
    except (KeyError, ValueError):
        return None
    return LogLine(at, pairs)


def _unquote(value: str) -> str:
    return json.loads(value) if value.startswith('"') else value
