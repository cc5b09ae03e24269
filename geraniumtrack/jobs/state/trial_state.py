"""A view of the replicated state with one more job, for queries that commit nothing."""

from __future__ import annotations

import copy

from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Job
from geraniumtrack.jobs.state.records import new_record, queue_address

__all__ = ["state_with_job"]


def state_with_job(state: JobsState, job: Job) -> JobsState:
    """Returns a view in which a job is submitted; it takes no token of its team's rate.

    The view shares everything else with the state and must not be changed.

    Args:
        state: The replicated state.
        job: A job whose id the state doesn't have.
    """
    record = new_record(job, queue_address(state.queues, job))
    record.within_rate = state.team_rates.allows(job.team, job.submitted)
    view = copy.copy(state)
    view.jobs = {**state.jobs, job.id: record}
    view.active = {**state.active, job.id: record}
    return view
