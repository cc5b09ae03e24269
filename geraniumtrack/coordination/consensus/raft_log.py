"""In-memory suffix of the Raft log: the entries after a snapshot position."""

from __future__ import annotations

from geraniumtrack.protocol.codec import encode
from geraniumtrack.state.journal import LogEntry

__all__ = ["RaftLog"]


class RaftLog:
    """Log entries with consecutive indexes, starting after the snapshot position.

    Args:
        snapshot_index: Index of the last compacted entry; 0 if there is none.
        snapshot_term: Term of the entry at `snapshot_index`.
        entries: Entries after `snapshot_index`.
    """

    def __init__(
        self,
        *,
        snapshot_index: int = 0,
        snapshot_term: int = 0,
        entries: list[LogEntry] | None = None,
    ) -> None:
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self._entries = list(entries or [])
        self._sizes = [len(encode(entry)) for entry in self._entries]

    @property
    def last_index(self) -> int:
        """Index of the last entry, or `snapshot_index` if the log is empty."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or `snapshot_term` if the log is empty."""
        return self._entries[-1].term if self._entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at an index, None if it is before `snapshot_index` or beyond the end."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self._entries[index - self.snapshot_index - 1].term
        return None

    def slice(self, first: int, count: int) -> list[LogEntry]:
        """Returns up to `count` entries, starting at index `first`."""
        start = first - self.snapshot_index - 1
        return self._entries[max(start, 0) : max(start, 0) + count]

    def batch(self, first: int, count: int, max_bytes: int) -> list[LogEntry]:
        """Returns up to `count` entries starting at `first`, limited to `max_bytes` when encoded.

        At least one entry is returned if there is one, even if it exceeds `max_bytes`.
        """
        start = max(first - self.snapshot_index - 1, 0)
        end = start
        total = 0
        for size in self._sizes[start : start + count]:
            total += size
            if total > max_bytes and end > start:
                break
            end += 1
        return self._entries[start:end]

    def append(self, entry: LogEntry) -> None:
        """Appends an entry, whose index must be `last_index + 1`.

        Raises:
            CodecError: If the entry cannot be encoded.
        """
        self._sizes.append(len(encode(entry)))
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all later ones."""
        start = index - self.snapshot_index - 1
        del self._entries[start:]
        del self._sizes[start:]

    def compact(self, index: int) -> None:
        """Moves the snapshot position to `index` and drops the entries up to and including it.

        Has no effect if `index` is not in the log or already compacted.
        """
        term = self.term_at(index)
        if term is None or index <= self.snapshot_index:
            return
        del self._entries[: index - self.snapshot_index]
        del self._sizes[: index - self.snapshot_index]
        self.snapshot_index, self.snapshot_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drops all entries and sets a new snapshot position."""
        self._entries.clear()
        self._sizes.clear()
        self.snapshot_index, self.snapshot_term = index, term
