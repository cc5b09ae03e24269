"""Deletes ended jobs when too many are retained."""

from __future__ import annotations

import heapq

from geraniumtrack.jobs.state.job_size import job_bytes
from geraniumtrack.jobs.state.records import JobRecord

__all__ = ["EndedJobs"]

# Above MAX_RETAINED_JOBS or MAX_RETAINED_BYTES, jobs that ended more than ENDED_JOB_RETENTION_S ago
# are deleted, oldest first. These numbers are the same on all controllers, whose states must agree.
ENDED_JOB_RETENTION_S = 300.0  # over twice the time for which callers may query an ended job
MAX_RETAINED_JOBS = 20_000
MAX_RETAINED_BYTES = 32 * 1024 * 1024
MAX_DELETIONS = 16  # for each submission, which must stay short


class EndedJobs:
    """The ended jobs of which no run can be active, by the time of their end."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []

    def note(self, record: JobRecord) -> None:
        """Notes that a job may be deleted some time, once it has ended and none of its tasks runs.

        That state is reached once, since no task of an ended job is started.
        """
        if not record.active and not record.assigned:
            heapq.heappush(self._heap, (record.ended, record.job.id))

    def delete_old(self, jobs: dict[str, JobRecord], size: int, now: float) -> int:
        """Deletes the jobs that ended first, as long as too many are retained.

        A job is kept while it is active, for ENDED_JOB_RETENTION_S after its end, and while a run
        of it may be active.

        Args:
            jobs: All jobs by id.
            size: About how many bytes they occupy.
            now: Wall-clock time in seconds.

        Returns:
            About how many bytes the remaining jobs occupy.
        """
        for _ in range(MAX_DELETIONS):
            if len(jobs) <= MAX_RETAINED_JOBS and size <= MAX_RETAINED_BYTES:
                break
            if not self._heap or self._heap[0][0] + ENDED_JOB_RETENTION_S > now:
                break
            _, job_id = heapq.heappop(self._heap)
            record = jobs.pop(job_id, None)
            if record is not None:
                size -= job_bytes(record.job)
        return size
