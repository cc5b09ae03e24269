"""The controller's journal: an append-only file of checksummed batches.

A batch consists of a header (body length, CRC32 of the body, CRC32 of the header) and a CBOR body,
and is synced as a whole. Recovery removes a last batch that was cut short by a crash. An
invalid batch that is followed by a valid one was damaged after it was synced. Recovery then fails,
because truncating the journal would silently drop synced records.
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

__all__ = [
    "OTHER_VERSION_REMEDY",
    "REJOIN_REMEDY",
    "AppendEntry",
    "HardState",
    "Journal",
    "LogEntry",
    "TruncateFrom",
]

_HEADER = struct.Struct("<III")
REJOIN_REMEDY = "empty the data folder and start the controller again to rejoin"
OTHER_VERSION_REMEDY = "run the version that wrote it, or empty the data folder to rejoin"


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
    """Raft term and vote, which must be on disk before any message that reveals them is sent."""

    term: int
    voted_for: str


@message
@dataclass(frozen=True, slots=True)
class AppendEntry:
    """Journal record: a log entry was appended."""

    entry: LogEntry


@message
@dataclass(frozen=True, slots=True)
class TruncateFrom:
    """Journal record: the log entries from this index on were removed."""

    index: int


class Journal:
    """Appends batches to one file and reads them back.

    Args:
        path: Path of the journal file; created if missing.
        sync: Whether to call fdatasync after each batch; False only to measure its cost.
    """

    def __init__(self, path: Path, *, sync: bool = True) -> None:
        self.path = path
        self._sync = sync
        self._file: Any = None

    def recover(self) -> list[Any]:
        """Reads all records, truncates an incomplete last batch and opens the file for appending.

        Raises:
            JournalCorrupt: If the journal is damaged before its last batch, or a batch contains a
                record that cannot be decoded.
        """
        data = self.path.read_bytes() if self.path.exists() else b""
        records: list[Any] = []
        end = 0
        for offset, body in _batches(data):
            records.extend(_decode_batch(self.path, offset, body))
            end = offset + _HEADER.size + len(body)
        if end < len(data):
            self._require_no_later_batch(data, end)
        self._file = self._open()
        if end < len(data):
            self._file.truncate(end)
        self._flush()
        sync_folder(self.path.parent)
        return records

    def append(self, records: list[Any]) -> None:
        """Writes one batch and returns once it is synced."""
        body = encode(records)
        self._write(frame(body))
        self._flush()

    def replace(self, records: list[Any]) -> None:
        """Atomically replaces the journal with a single batch, after a snapshot."""
        temporary = self.path.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(frame(encode(records)))
            file.flush()
            os.fsync(file.fileno())
        self._file.close()
        os.replace(temporary, self.path)
        sync_folder(self.path.parent)
        self._file = self._open()

    def read_single(self) -> bytes:
        """Reads a file that contains exactly one framed body, such as a snapshot.

        Raises:
            JournalCorrupt: If the file does not match its checksum.
        """
        data = self.path.read_bytes()
        body = _body_at(data, 0)
        if body is None or len(body) + _HEADER.size != len(data):
            raise JournalCorrupt(
                f"{self.path} does not match its checksum",
                remedy=REJOIN_REMEDY,
            )
        return body

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()

    def _open(self) -> Any:
        # Unbuffered, so that no part of a batch that a full disk refused is written later, when the
        # file is closed.
        return open(self.path, "ab", buffering=0)

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[self._file.write(rest) :]

    def _flush(self) -> None:
        if self._sync:
            os.fdatasync(self._file.fileno())

    def _require_no_later_batch(self, data: bytes, end: int) -> None:
        """Raises JournalCorrupt if a valid batch follows the invalid one at `end`."""
        for offset in range(end + 1, len(data) - _HEADER.size):
            if _body_at(data, offset) is not None:
                raise JournalCorrupt(
                    f"{self.path} is damaged at byte {end}, before its last batch",
                    remedy=REJOIN_REMEDY,
                )


def frame(body: bytes) -> bytes:
    """Returns a body preceded by its header."""
    prefix = struct.pack("<II", len(body), zlib.crc32(body))
    return prefix + struct.pack("<I", zlib.crc32(prefix)) + body


def sync_folder(path: Path) -> None:
    """Syncs a folder, so that files created or renamed in it survive a crash."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _batches(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields offset and body of each batch, up to the first invalid one."""
    offset = 0
    while (body := _body_at(data, offset)) is not None:
        yield offset, body
        offset += _HEADER.size + len(body)


def _body_at(data: bytes, offset: int) -> bytes | None:
    """Returns the body of the batch at an offset, or None if there is no valid batch."""
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
            f"{path} contains an unknown record at byte {offset}: {exc.message}",
            remedy=OTHER_VERSION_REMEDY,
        ) from exc
