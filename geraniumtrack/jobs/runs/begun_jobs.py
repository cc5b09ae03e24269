"""Collects which jobs have begun, on the evidence of their workers.

A committed start proves nothing: its order may be refused, may get no answer, or may never leave.
"""

from __future__ import annotations

from collections.abc import Callable

from geraniumtrack.jobs.runs.sent_orders import SentStart
from geraniumtrack.jobs.runs.worker_port import StartOutcome, WorkerReport
from geraniumtrack.jobs.state.jobs_state import JobsState

__all__ = ["BegunJobs"]

MAX_DELAY_S = 1.0  # callers may see a count that is 2 s old


class BegunJobs:
    """Collects the queued jobs of which a task has begun, until they are committed.

    What is not committed when the owner changes is found again in the reports to the next owner.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
    """

    def __init__(self, seconds: Callable[[], float], state: Callable[[], JobsState]) -> None:
        self._seconds = seconds
        self._state = state
        self._noted_at: dict[str, float] = {}  # clock value in s by job id, oldest first

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._noted_at

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

    def take(self, *, with_others: bool) -> tuple[str, ...]:
        """Returns the ids of the jobs to commit now.

        Args:
            with_others: Whether something else is committed too. Otherwise the jobs wait for a
                while, since a commit of their own delays what comes after it.
        """
        # They stay noted until their commit is applied, so that callers see them all the while.
        self._noted_at = {
            job_id: at for job_id, at in self._noted_at.items() if self._is_queued(job_id)
        }
        oldest_at = next(iter(self._noted_at.values()), None)
        if oldest_at is None:
            return ()
        if not with_others and self._seconds() < oldest_at + MAX_DELAY_S:
            return ()
        return tuple(self._noted_at)

    def _note(self, job_id: str) -> None:
        if job_id not in self._noted_at and self._is_queued(job_id):
            self._noted_at[job_id] = self._seconds()

    def _is_queued(self, job_id: str) -> bool:
        record = self._state().jobs.get(job_id)
        return record is not None and record.queued
