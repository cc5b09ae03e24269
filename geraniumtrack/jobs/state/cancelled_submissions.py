"""Remembers cancellations that arrive before the submission of their job.

A submission may be under way for seconds, since entries and callers repeat it. If its cancellation
overtakes it, the job must not run when the submission arrives.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

__all__ = ["CancelledSubmissions"]

RETENTION_S = 300.0  # far longer than a submission can be under way
MAX_RETAINED = 20_000  # limits the memory that callers can occupy on the controllers

SubmissionKey = tuple[str, str, str]  # job id, host and path prefix of the queue


class CancelledSubmissions:
    """The cancelled submissions that have not arrived, oldest first.

    Args:
        rows: Rows of job id, host and path prefix of the queue, and wall-clock time in seconds, as
            from `capture`.
    """

    def __init__(self, rows: Iterable[tuple[str, str, str, float]] = ()) -> None:
        self._cancelled_at = {(job_id, host, prefix): at for job_id, host, prefix, at in rows}

    def __iter__(self) -> Iterator[SubmissionKey]:
        return iter(self._cancelled_at)

    def __contains__(self, key: SubmissionKey) -> bool:
        return key in self._cancelled_at

    def add(self, key: SubmissionKey, at: float) -> None:
        """Adds a cancellation at a wall-clock time in seconds, and forgets old ones."""
        self._cancelled_at.pop(key, None)
        self._cancelled_at[key] = at
        while self._oldest_is_dispensable(at):
            del self._cancelled_at[next(iter(self._cancelled_at))]

    def take(self, key: SubmissionKey) -> bool:
        """Removes a submission; returns whether it was cancelled."""
        return self._cancelled_at.pop(key, None) is not None

    def capture(self) -> list[list]:
        """Returns the rows for a snapshot."""
        return [[*key, at] for key, at in self._cancelled_at.items()]

    def _oldest_is_dispensable(self, now: float) -> bool:
        oldest_at = next(iter(self._cancelled_at.values()))
        return len(self._cancelled_at) > MAX_RETAINED or oldest_at + RETENTION_S < now
