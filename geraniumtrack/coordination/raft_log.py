"""The in-memory part of the replicated log: a snapshot position and the entries after it."""

from __future__ import annotations

from geraniumtrack.protocol.codec import encode
from geraniumtrack.state.journal import LogEntry

__all__ = ["RaftLog"]


class RaftLog:
    """Entries with consecutive indexes after the snapshot.

    Args:
        snapshot_index: Index of the last entry in the snapshot; 0 without one.
        snapshot_term: Term of that entry.
        entries: The entries after it.
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
        """Index of the last entry."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not held."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self._entries[index - self.snapshot_index - 1].term
        return None

    def slice(self, first: int, count: int) -> list[LogEntry]:
        """Returns up to `count` entries from index `first` on."""
        start = first - self.snapshot_index - 1
        return self._entries[max(start, 0) : max(start, 0) + count]

    def batch(self, first: int, count: int, max_bytes: int) -> list[LogEntry]:
        """Returns entries from `first` on within a size in bytes, but one in any case."""
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
        """Appends the entry with the next index.

        Raises:
            CodecError: If its command cannot be encoded.
        """
        self._sizes.append(len(encode(entry)))
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        start = index - self.snapshot_index - 1
        del self._entries[start:]
        del self._sizes[start:]

    def compact(self, index: int) -> None:
        """Makes `index` the snapshot position and forgets the entries up to it."""
        term = self.term_at(index)
        if term is None or index <= self.snapshot_index:
            return
        del self._entries[: index - self.snapshot_index]
        del self._sizes[: index - self.snapshot_index]
        self.snapshot_index, self.snapshot_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Replaces the whole log by a snapshot position."""
        self._entries.clear()
        self._sizes.clear()
        self.snapshot_index, self.snapshot_term = index, term
