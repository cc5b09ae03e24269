"""Detects workers on which every job fails, as opposed to jobs that fail on every worker.

Such a worker is quarantined: it gets no new tasks for a while.
"""

from __future__ import annotations

__all__ = ["WorkerHealth"]

FAILED_JOBS_LIMIT = 3  # different jobs that fail in a row until their worker is quarantined
MIN_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 12.0


class WorkerHealth:
    """Health of one worker, judged by the ends of its runs.

    Attributes:
        quarantined_until: Clock value in s at which the worker's last quarantine ends.
    """

    def __init__(self) -> None:
        self.quarantined_until = 0.0
        self._failed_jobs: set[str] = set()
        self._quarantine_s = MIN_QUARANTINE_S

    @property
    def suspect(self) -> bool:
        """Whether the worker's last recorded run failed."""
        return bool(self._failed_jobs)

    def record_success(self) -> None:
        """Records a successful run."""
        self._failed_jobs.clear()
        self._quarantine_s = MIN_QUARANTINE_S

    def record_failure(self, job_id: str, now: float) -> bool:
        """Records a failed run; returns whether that starts a quarantine.

        The length of the quarantine doubles each time up to a maximum. Until a run succeeds, a
        single failure after a quarantine starts the next one.
        """
        self._failed_jobs.add(job_id)
        if len(self._failed_jobs) < FAILED_JOBS_LIMIT or now < self.quarantined_until:
            return False
        self.quarantined_until = now + self._quarantine_s
        self._quarantine_s = min(self._quarantine_s * 2, MAX_QUARANTINE_S)
        return True
