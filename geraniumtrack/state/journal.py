"""The controller's journal: an append-only file of checksummed batches.

A batch is one header (body length, CRC32 of the body, CRC32 of the header) and one CBOR body, and
is synced as a whole. A batch that was cut short by a crash is removed at recovery. A batch that
does not match its checksum but is followed by a valid one was damaged after it was synced; the
journal is then refused rather than silently shortened.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from geraniumtrack.errors import CodecError, JournalCorrupt
from geraniumtrack.protocol.codec import decode, encode, message

__all__ = ["REJOIN", "AppendEntry", "HardState", "Journal", "LogEntry", "TruncateFrom"]

_HEADER = struct.Struct("<III")
REJOIN = "empty the data folder and start the controller again to rejoin"


@message
@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log."""

    index: int
    term: int
    command: Any


@message
@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, which must be on disk before they are answered."""

    term: int
    voted_for: str


@message
@dataclass(frozen=True, slots=True)
class AppendEntry:
    """Journal record: an entry was appended."""

    entry: LogEntry


@message
@dataclass(frozen=True, slots=True)
class TruncateFrom:
    """Journal record: entries from this index on were removed."""

    index: int


class Journal:
    """Appends batches to one file and reads them back.

    Args:
        path: File of the journal; created if missing.
        sync: Whether to call fsync; tests that measure its cost turn it off.
    """

    def __init__(self, path: Path, *, sync: bool = True) -> None:
        self.path = path
        self._sync = sync
        self._file: Any = None

    def recover(self) -> list[Any]:
        """Reads all records, cuts a torn tail and opens the file for appending.

        Raises:
            JournalCorrupt: If a batch before the last one is damaged.
        """
        data = self.path.read_bytes() if self.path.exists() else b""
        records: list[Any] = []
        end = 0
        for offset, body in _batches(data):
            records.extend(_decode_batch(self.path, offset, body))
            end = offset + _HEADER.size + len(body)
        if end < len(data):
            self._check_torn(data, end)
        self._file = open(self.path, "ab")  # noqa: SIM115 - kept open for the life of the journal
        self._file.truncate(end)
        self._flush()
        sync_folder(self.path.parent)
        return records

    def append(self, records: list[Any]) -> None:
        """Writes one batch and returns once it is synced."""
        body = encode(records)
        self._file.write(frame(body))
        self._flush()

    def replace(self, records: list[Any]) -> None:
        """Replaces the whole journal atomically, after a snapshot."""
        temporary = self.path.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(frame(encode(records)))
            file.flush()
            os.fsync(file.fileno())
        self._file.close()
        os.replace(temporary, self.path)
        sync_folder(self.path.parent)
        self._file = open(self.path, "ab")  # noqa: SIM115

    def read_single(self) -> bytes:
        """Reads a file that holds exactly one framed body.

        Raises:
            JournalCorrupt: If it does not match its checksum.
        """
        data = self.path.read_bytes()
        body = _body_at(data, 0)
        if body is None or len(body) + _HEADER.size != len(data):
            raise JournalCorrupt(
                f"{self.path} does not match its checksum",
                remedy=REJOIN,
            )
        return body

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()

    def _flush(self) -> None:
        self._file.flush()
        if self._sync:
            os.fdatasync(self._file.fileno())

    def _check_torn(self, data: bytes, end: int) -> None:
        for offset in range(end + 1, len(data) - _HEADER.size):
            if _body_at(data, offset) is not None:
                raise JournalCorrupt(
                    f"{self.path} is damaged at byte {end}, before its last record",
                    remedy=REJOIN,
                )


def frame(body: bytes) -> bytes:
    """Returns a body with its checked header."""
    lengths = struct.pack("<II", len(body), zlib.crc32(body))
    return lengths + struct.pack("<I", zlib.crc32(lengths)) + body


def sync_folder(path: Path) -> None:
    """Makes created and renamed files of a folder durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _batches(data: bytes) -> Iterator[tuple[int, bytes]]:
    offset = 0
    while (body := _body_at(data, offset)) is not None:
        yield offset, body
        offset += _HEADER.size + len(body)


def _body_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    length, body_crc, header_crc = _HEADER.unpack_from(data, offset)
    if length == 0 or zlib.crc32(data[offset : offset + 8]) != header_crc:
        return None
    start = offset + _HEADER.size
    body = data[start : start + length]
    if len(body) < length or zlib.crc32(body) != body_crc:
        return None
    return body


def _decode_batch(path: Path, offset: int, body: bytes) -> list[Any]:
    try:
        return list(decode(body))
    except CodecError as exc:
        raise JournalCorrupt(
            f"{path} holds an unknown record at byte {offset}: {exc.message}",
            remedy="run the version that wrote it, or empty the data folder to rejoin",
        ) from exc
