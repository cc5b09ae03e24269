"""Measures how long a new owner takes until work goes on."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from geraniumtrack import logs
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.metrics import metrics

__all__ = ["TakeoverTimer"]

MOST_WORKERS = 0.9  # share of the workers known at the takeover


class TakeoverTimer:
    """Logs one `takeover` line once most workers have reported and the first run has started.

    Without registered workers there is nothing to take over, and nothing is logged.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        sessions: Returns the owner's sessions by worker id.
        workers: Number of registered workers when the owner was elected.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        sessions: Callable[[], Mapping[str, WorkerSession]],
        workers: int,
    ) -> None:
        self._seconds = seconds
        self._sessions = sessions
        self._workers = workers
        self._elected_at = seconds()
        self._first_report_s: float | None = None
        self._most_reports_s: float | None = None
        self._first_start_s: float | None = None
        self._done = not workers

    def record_report(self) -> None:
        """Notes that a worker has reported."""
        if self._done or self._most_reports_s is not None:
            return
        elapsed_s = self._seconds() - self._elected_at
        if self._first_report_s is None:
            self._first_report_s = elapsed_s
        reported = sum(session.reported for session in self._sessions().values())
        if reported >= MOST_WORKERS * self._workers:
            self._most_reports_s = elapsed_s
            self._log_if_done()

    def record_start(self) -> None:
        """Notes that a worker has started a run."""
        if not self._done and self._first_start_s is None:
            self._first_start_s = self._seconds() - self._elected_at
            self._log_if_done()

    def _log_if_done(self) -> None:
        if self._most_reports_s is None or self._first_start_s is None:
            return
        self._done = True
        metrics.observe("takeover_first_start", self._first_start_s)
        logs.event(
            "takeover",
            workers=self._workers,
            first_report_s=self._first_report_s,
            most_reports_s=self._most_reports_s,
            first_start_s=self._first_start_s,
        )
