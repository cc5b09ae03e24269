"""The order in which waiting steps get room: lasting work, then what can still be in time.

A job should be done within `stretch` times its longest chain of work plus a fixed time. A job that
can't be in time any more is worth a fraction, so it goes behind those that can.
"""

from __future__ import annotations

from geraniumtrack.jobs.model import Job, JobQueue, StepSpec
from geraniumtrack.jobs.state import JobRecord

__all__ = ["chain_s", "in_time", "objective", "remaining_s", "urgency"]

LASTING, IN_TIME, LATE = range(3)
ESTIMATE_MARGIN = 0.2  # estimates are rough; a job that would be just in time mostly isn't


def chain_s(steps: tuple[StepSpec, ...], done: frozenset[int] = frozenset()) -> float:
    """Returns the longest chain of estimated work in s, without the steps that are done."""
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = max((ends[earlier] for earlier in step.after if earlier < number), default=0.0)
        ends.append(start + (0.0 if number in done else step.estimate_s))
    return max(ends, default=0.0)


def objective(job: Job, queue: JobQueue, occurrence: int) -> float:
    """Returns the wall-clock time in s by which an occurrence should be done."""
    start = job.due(occurrence) if job.repetitions else job.submitted
    return start + queue.stretch * chain_s(job.steps) + queue.latency_s


def remaining_s(record: JobRecord, occurrence: int) -> float:
    """Returns the longest chain of estimated work in s that is not done."""
    done = frozenset(
        number
        for number, step in enumerate(record.occurrences[occurrence])
        if step.done == len(step.tasks)
    )
    return chain_s(record.job.steps, done)


def in_time(record: JobRecord, queue: JobQueue, occurrence: int, now: float) -> bool:
    """Whether an occurrence can still be done in time if it runs from now on."""
    left = remaining_s(record, occurrence) * (1 + ESTIMATE_MARGIN)
    return now + left <= objective(record.job, queue, occurrence)


def urgency(
    record: JobRecord, queue: JobQueue, occurrence: int, step: StepSpec, now: float
) -> tuple[float, ...]:
    """Returns a sort key; lower comes first.

    Among jobs that can be in time, those that have begun come first, since all of a job's tasks
    must be done before it is worth anything.
    """
    if step.lasting:
        return LASTING, queue.priority, record.job.submitted
    due = objective(record.job, queue, occurrence)
    if in_time(record, queue, occurrence, now):
        return IN_TIME, queue.priority, not record.started, due
    return LATE, queue.priority, not record.started, due
