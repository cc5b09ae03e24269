"""Records which jobs have begun, on the evidence of their workers.

A committed start proves nothing: its order may be refused, may get no answer, or may never leave.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.jobs.runs.commit import commit_in_background
from geraniumtrack.jobs.runs.sent_orders import SentStart
from geraniumtrack.jobs.runs.worker_port import StartOutcome, WorkerReport
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState

__all__ = ["BegunJobs"]

COMMIT_INTERVAL_S = 0.3  # callers may see a count that is 2 s old


class BegunJobs:
    """Collects the queued jobs of which a task has begun, and commits them together.

    What is not committed when the owner changes is found again in the reports to the next owner.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._propose = propose
        self._noted: set[str] = set()
        self._committed_at = float("-inf")

    def handle_start_answer(self, job_id: str, order: SentStart) -> None:
        """Notes a job if the answer to a start proves that its task has begun.

        The outcome of an order that was sent more than once does not: see `outcome_after_resend`.
        """
        if order.outcome is StartOutcome.STARTED and order.send_count == 1:
            self._note(job_id)

    def handle_report(self, report: WorkerReport) -> None:
        """Notes the jobs of the runs that a worker reports as active or ended."""
        for row in (*report.running, *report.ends):
            self._note(row.task.job)

    def tick(self) -> None:
        """Commits the noted jobs, a few times per second."""
        now = self._seconds()
        if not self._noted or now < self._committed_at + COMMIT_INTERVAL_S:
            return
        noted, self._noted = self._noted, set()
        begun = tuple(sorted(job_id for job_id in noted if self._is_queued(job_id)))
        if begun:
            self._committed_at = now
            commit_in_background(self._propose, cmds.JobsBegun(begun))

    def _note(self, job_id: str) -> None:
        if self._is_queued(job_id):
            self._noted.add(job_id)

    def _is_queued(self, job_id: str) -> bool:
        record = self._state().jobs.get(job_id)
        return record is not None and record.queued
