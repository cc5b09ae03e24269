"""Reads trace files and formats the spans of one request as a tree."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

__all__ = ["find_trace", "read_spans", "render_tree"]

NS_PER_MS = 1e6


def read_spans(files: Iterable[str | Path]) -> Iterator[dict[str, Any]]:
    """Yields the spans of trace files; skips lines that a crash truncated."""
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    span = json.loads(line)
                except ValueError:
                    continue
                if isinstance(span, dict) and "trace" in span:
                    yield span


def find_trace(spans: Iterable[dict[str, Any]], identifier: str) -> list[dict[str, Any]]:
    """Returns the spans of the traces with this trace id or request id, by start time."""
    spans = list(spans)
    traces = {
        span["trace"]
        for span in spans
        if identifier in (span["trace"], span["attributes"].get("request_id"))
    }
    return sorted((s for s in spans if s["trace"] in traces), key=lambda s: s["start_ns"])


def render_tree(spans: list[dict[str, Any]]) -> str:
    """Formats spans as an indented tree for each trace, with offset and duration in milliseconds.

    Offsets of spans from different instances include the difference between their clocks.
    """
    known = {span["span"] for span in spans}
    children: dict[str, list[dict[str, Any]]] = {}
    for span in spans:
        parent_id = span["parent"] if span["parent"] in known else span["trace"]
        children.setdefault(parent_id, []).append(span)
    lines: list[str] = []
    for trace in dict.fromkeys(span["trace"] for span in spans):
        lines.append(f"trace {trace}")
        origin_ns = children[trace][0]["start_ns"]
        _render(children, trace, origin_ns, 1, lines)
    return "\n".join(lines)


def _render(
    children: dict[str, list[dict[str, Any]]],
    parent_id: str,
    origin_ns: int,
    depth: int,
    lines: list[str],
) -> None:
    """Appends the lines of a subtree.

    Args:
        children: Spans by the id of their parent span, or by the trace id for a span whose parent
            is unknown.
        parent_id: Span id or trace id whose children are formatted.
        origin_ns: Start time of the trace, from which offsets are counted.
        depth: Depth of the children in the tree.
        lines: Receives the lines.
    """
    for span in children.get(parent_id, ()):
        offset_ms = (span["start_ns"] - origin_ns) / NS_PER_MS
        duration_ms = (span["end_ns"] - span["start_ns"]) / NS_PER_MS
        pairs = " ".join(f"{key}={value}" for key, value in span["attributes"].items())
        place = f"{span.get('process', '?')}/{span.get('data_centre', '?')}"
        lines.append(
            f"{'  ' * depth}{span['hop']} {place} +{offset_ms:.2f} ms {duration_ms:.2f} ms {pairs}"
        )
        _render(children, span["span"], origin_ns, depth + 1, lines)


if __name__ == "__main__":
    example = {"trace": "t", "span": "s", "parent": "", "hop": "caller", "attributes": {}}
    print(render_tree([{**example, "start_ns": 0, "end_ns": 2_000_000}]))
