"""Reads JSON lists of which single entries may be unreadable.

Entries may come from another writer. One that the JSON decoder rejects (nested too deeply, with a
number beyond the range of a float, or with bytes that are not UTF-8) must not hide the others.
"""

from __future__ import annotations

import re
import reprlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import orjson

__all__ = ["JsonList", "describe_row", "read_json_list"]

MAX_DETAIL_CHARS = 200  # of an unreadable row and of its error, in a log line

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
# Shortens deeply nested values, whose `repr` would exceed the recursion limit.
_short_repr = reprlib.Repr()
_short_repr.maxlevel = 4
_short_repr.maxstring = _short_repr.maxother = MAX_DETAIL_CHARS


@dataclass(frozen=True, slots=True)
class JsonList:
    """A JSON object with a list.

    Attributes:
        fields: The fields of the object. If there are unreadable entries, the list is empty here.
        rows: The entries that could be decoded, in order.
        unreadable: A short text for each entry that could not be decoded, with the error.
    """

    fields: dict[str, Any]
    rows: list[Any]
    unreadable: tuple[str, ...] = ()


def read_json_list(body: bytes, field: str) -> JsonList:
    """Decodes an object with a list; an entry that cannot be decoded is left out.

    Args:
        body: The encoded object.
        field: Name of its field with the list.

    Raises:
        ValueError: If the object cannot be decoded apart from single entries.
        LookupError: If it has no such field.
        TypeError: If it is no object, or the field is no list.
    """
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _read_entries(body, field)
    if not isinstance(fields[field], list):
        raise TypeError(f"{type(fields[field]).__name__} instead of a list of {field}")
    return JsonList(fields, fields[field])


def describe_row(row: Any, error: str) -> str:
    """Returns a short text with a row that cannot be read and the error."""
    return f"{error[:MAX_DETAIL_CHARS]} in {_short_repr.repr(row)[:MAX_DETAIL_CHARS]}"


def _read_entries(body: bytes, field: str) -> JsonList:
    """Decodes the entries of the list one by one."""
    start, end, separators = _find_list(body, field)
    fields = orjson.loads(body[:start] + body[end:])
    rows: list[Any] = []
    unreadable: list[str] = []
    for entry in _split(body, start, end, separators):
        try:
            rows.append(orjson.loads(entry))
        except orjson.JSONDecodeError as exc:
            unreadable.append(describe_row(entry[:MAX_DETAIL_CHARS], str(exc)))
    return JsonList(fields, rows, tuple(unreadable))


def _find_list(body: bytes, field: str) -> tuple[int, int, list[int]]:
    """Returns where the list of a top-level field starts and ends, and where its commas are.

    Raises:
        ValueError: If there is no such list, or it does not end.
    """
    name, previous = orjson.dumps(field), b""
    start, depth = -1, 0
    separators: list[int] = []
    for match in _TOKEN.finditer(body):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            if start < 0 and depth == 2 and token == b"[" and previous == name:
                start = match.end()
        elif token in (b"]", b"}"):
            depth -= 1
            if start >= 0 and depth == 1:
                return start, match.start(), separators
        elif token == b"," and start >= 0 and depth == 2:
            separators.append(match.start())
        previous = token
    raise ValueError(f"no complete list of {field}")


def _split(body: bytes, start: int, end: int, separators: list[int]) -> Iterator[bytes]:
    """Yields the texts of a list's entries."""
    if not body[start:end].strip():
        return
    for position in [*separators, end]:
        yield body[start:position]
        start = position + 1
