"""Tells the crash of one worker from an outage of its rack or data centre.

An outage ends many workers at once, whatever they run, so it says nothing about their tasks.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from geraniumtrack.jobs.runs.worker_session import HOLD_WAIT_S, WorkerSession
from geraniumtrack.jobs.state.model import WorkerInfo

__all__ = ["OutageDetector"]

MIN_OUTAGE_WORKERS = 3  # fewer may have crashed at once by chance
MIN_OUTAGE_SHARE = 0.8  # of the workers of a rack or data centre; some may have ended before
MAX_LAST_ANSWER_SPREAD_S = HOLD_WAIT_S + 0.3  # workers answer at least this often
ENDED_RETENTION_S = 600.0  # workers of an outage are back within this time


@dataclass(frozen=True, slots=True)
class _Ended:
    """A worker that has ended, and the clock value in s of its last answer."""

    worker: WorkerInfo
    last_answer_at: float


class OutageDetector:
    """Remembers which workers ended when.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        sessions: Returns the owner's sessions by worker id.
        announced: Whether the end of a worker was announced or ordered.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        sessions: Callable[[], Mapping[str, WorkerSession]],
        announced: Callable[[WorkerInfo], bool],
    ) -> None:
        self._seconds = seconds
        self._sessions = sessions
        self._announced = announced
        self._ended: dict[tuple[str, int], _Ended] = {}

    def record_end(self, session: WorkerSession) -> None:
        """Notes that the incarnation of a session has ended."""
        oldest = self._seconds() - ENDED_RETENTION_S
        self._ended = {key: row for key, row in self._ended.items() if row.last_answer_at > oldest}
        self._ended[session.key] = _Ended(session.worker, session.last_answer_at)

    def is_part_of_outage(self, session: WorkerSession) -> bool:
        """Whether nearly all workers of its rack or data centre went silent with this one."""
        gone = [row.worker for row in self._ended.values() if _at_once(row, session)]
        gone += [
            other.worker
            for other in self._sessions().values()
            if other.down and _at_once(other, session) and not self._announced(other.worker)
        ]
        gone.append(session.worker)
        known = [other.worker for other in self._sessions().values()] + gone
        return any(
            _mostly_gone(_instances(known, domain), _instances(gone, domain))
            for domain in _domains(session.worker)
        )


def _at_once(other: _Ended | WorkerSession, session: WorkerSession) -> bool:
    """Whether two workers may have ended at the same time."""
    return abs(other.last_answer_at - session.last_answer_at) <= MAX_LAST_ANSWER_SPREAD_S


def _domains(worker: WorkerInfo) -> tuple[tuple[str, ...], ...]:
    """Returns the data centre and the rack of a worker."""
    return (worker.data_centre,), (worker.data_centre, worker.rack)


def _instances(workers: list[WorkerInfo], domain: tuple[str, ...]) -> set[str]:
    """Returns the instances of the workers in a data centre or rack."""
    return {worker.instance or worker.id for worker in workers if domain in _domains(worker)}


def _mostly_gone(known: set[str], gone: set[str]) -> bool:
    return len(gone) >= MIN_OUTAGE_WORKERS and len(gone) >= MIN_OUTAGE_SHARE * len(known)
