"""The order in which waiting steps are considered for placement.

Steps of service tasks come first, then the steps of jobs that can still meet their deadline, then
the rest. A job should be done within `stretch` times its critical path plus a fixed latency. A job
that misses this deadline is worth only a fraction, so it comes after the jobs that can meet theirs.
"""

from __future__ import annotations

from geraniumtrack.jobs.state.jobs_state import JobRecord
from geraniumtrack.jobs.state.model import Job, JobQueue, StepSpec

__all__ = [
    "can_meet_deadline",
    "completion_deadline",
    "critical_path_s",
    "remaining_critical_path_s",
    "scheduling_key",
]

LASTING, IN_TIME, LATE = range(3)  # first element of a scheduling key
# Estimates are rough: most jobs that would finish just in time by their estimates finish late.
ESTIMATE_MARGIN = 0.2


def critical_path_s(steps: tuple[StepSpec, ...], done: frozenset[int] = frozenset()) -> float:
    """Returns the estimated length in seconds of the critical path.

    Args:
        steps: Steps of a job; a step depends only on steps before it.
        done: Numbers of the steps that are done and count as 0 s.
    """
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = max((ends[earlier] for earlier in step.after if earlier < number), default=0.0)
        ends.append(start + (0.0 if number in done else step.estimate_s))
    return max(ends, default=0.0)


def completion_deadline(job: Job, queue: JobQueue, occurrence: int) -> float:
    """Returns the wall-clock time in seconds by which an occurrence should be done."""
    start = job.due(occurrence) if job.repetitions else job.submitted
    return start + queue.stretch * critical_path_s(job.steps) + queue.latency_s


def remaining_critical_path_s(record: JobRecord, occurrence: int) -> float:
    """Returns the critical path of an occurrence in seconds, without its completed steps."""
    done = frozenset(
        number
        for number, step in enumerate(record.occurrences[occurrence])
        if step.done == len(step.tasks)
    )
    return critical_path_s(record.job.steps, done)


def can_meet_deadline(record: JobRecord, queue: JobQueue, occurrence: int, now: float) -> bool:
    """Whether an occurrence can be done by its deadline, with a margin for rough estimates."""
    remaining_s = remaining_critical_path_s(record, occurrence) * (1 + ESTIMATE_MARGIN)
    return now + remaining_s <= completion_deadline(record.job, queue, occurrence)


def scheduling_key(
    record: JobRecord, queue: JobQueue, occurrence: int, step: StepSpec, now: float
) -> tuple[float, ...]:
    """Returns the sort key of a step; the lowest key is placed first.

    Within the same class and queue priority, jobs that have started come before jobs that have
    not, since a job has no value until all its tasks are done.
    """
    if step.lasting:
        return LASTING, queue.priority, record.job.submitted
    deadline = completion_deadline(record.job, queue, occurrence)
    if can_meet_deadline(record, queue, occurrence, now):
        return IN_TIME, queue.priority, not record.started, deadline
    return LATE, queue.priority, not record.started, deadline
