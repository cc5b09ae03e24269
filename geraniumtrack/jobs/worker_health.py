"""Tells workers that fail what they start from workers that met jobs which can't be done."""

from __future__ import annotations

__all__ = ["WorkerHealth"]

FAILED_JOBS_LIMIT = 3  # different jobs that failed in a row before a worker is set aside
SET_ASIDE_S = 3.0
SET_ASIDE_MAX_S = 12.0


class WorkerHealth:
    """What one worker's ends say about it."""

    def __init__(self) -> None:
        self.set_aside_until = 0.0
        self._failed_jobs: set[str] = set()
        self._set_aside_s = SET_ASIDE_S

    @property
    def suspect(self) -> bool:
        """Whether its last run failed."""
        return bool(self._failed_jobs)

    def done(self) -> None:
        """Notes a run that ended well."""
        self._failed_jobs.clear()
        self._set_aside_s = SET_ASIDE_S

    def failed(self, job_id: str, now: float) -> bool:
        """Notes a failed run; returns whether the worker is set aside from now on.

        The pause doubles with each time, and a single failure after it starts the next one.
        """
        self._failed_jobs.add(job_id)
        if len(self._failed_jobs) < FAILED_JOBS_LIMIT or now < self.set_aside_until:
            return False
        self.set_aside_until = now + self._set_aside_s
        self._set_aside_s = min(self._set_aside_s * 2, SET_ASIDE_MAX_S)
        return True
