"""Tells the run ends that this owner handles for the first time from those listed again.

A worker lists the end of a run until a hold acknowledges it, so several reports may show the same
end.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import RunEnd

__all__ = ["HandledEnds"]

MAX_REMEMBERED_WORKERS = 4096  # several times the workers of the largest fleet


class HandledEnds:
    """Remembers the number of the last handled run end of each worker's newest incarnation.

    A worker that was forgotten may be registered again as the same incarnation and list the same
    ends. So its number is kept when its session closes.

    Args:
        state: Returns the replicated state.
    """

    def __init__(self, state: Callable[[], JobsState]) -> None:
        self._state = state
        # Incarnation and number by worker id; the worker whose ends came last is the last one.
        self._last: dict[str, tuple[int, int]] = {}

    def take_new(self, worker_id: str, born: int, ends: Iterable[RunEnd]) -> tuple[RunEnd, ...]:
        """Returns the ends that are neither handled nor committed, and remembers them as handled.

        Args:
            worker_id: Id of the worker.
            born: Its incarnation; each numbers its ends anew.
            ends: The run ends that it reports.
        """
        last = self._state().last_committed_end.get((worker_id, born), 0)
        remembered_born, number = self._last.pop(worker_id, (born, 0))
        if remembered_born == born:
            last = max(last, number)
        new = []
        for end in ends:
            if end.number > last:  # the replicated state decides by the same rule
                new.append(end)
                last = end.number
        self._last[worker_id] = (born, last)
        if len(self._last) > MAX_REMEMBERED_WORKERS:
            del self._last[next(iter(self._last))]
        return tuple(new)
