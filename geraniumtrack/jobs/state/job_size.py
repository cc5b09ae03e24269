"""Estimates the memory that a job occupies on each controller until it is deleted."""

from __future__ import annotations

from geraniumtrack.jobs.state.model import Job, StepSpec

__all__ = ["job_bytes"]

JOB_BYTES = 1024  # of a job without steps
STEP_BYTES = 640  # of a step without its texts and tasks, and of its row in the log
TASK_BYTES = 256
STEP_NUMBER_BYTES = 40  # of a reference to an earlier step


def job_bytes(job: Job) -> int:
    """Returns about how many bytes a job occupies, with its tasks and its entry in the log."""
    tasks = job.occurrences * sum(step.count for step in job.steps)
    texts = 2 * len(job.payload)
    return JOB_BYTES + texts + sum(map(_step_bytes, job.steps)) + TASK_BYTES * tasks


def _step_bytes(step: StepSpec) -> int:
    texts = len(step.label) + len(step.data_rack) + len(step.image)
    return STEP_BYTES + 2 * texts + STEP_NUMBER_BYTES * len(step.after)
