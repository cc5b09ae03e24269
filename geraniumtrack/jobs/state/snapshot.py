"""Snapshots of the replicated state of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumtrack.jobs.state.cancelled_submissions import CancelledSubmissions
from geraniumtrack.jobs.state.job_size import job_bytes
from geraniumtrack.jobs.state.records import (
    Campaign,
    TaskPhase,
    capture_record,
    load_record,
    tasks_of,
)
from geraniumtrack.jobs.state.team_rates import TeamRates

if TYPE_CHECKING:
    from geraniumtrack.jobs.state.jobs_state import JobsState

__all__ = ["capture_state", "fill_state"]


def capture_state(state: JobsState) -> dict[str, Any]:
    """Returns a snapshot of the state, a copy that another thread can encode safely."""
    return {
        "config": state.config,
        "queues": dict(state.queues),
        "evacuated": sorted(state.evacuated),
        "evacuation_revision": state.evacuation_revision,
        "workers": list(state.workers.values()),
        "last_seen": [[*key, number] for key, number in state.last_committed_end.items()],
        "sequences": [[*key, number] for key, number in state.heartbeat_sequences.items()],
        "team_rates": state.team_rates.capture(),
        # Not in the rows of the jobs, so that earlier versions can read them during an upgrade.
        "beyond_rate": [job_id for job_id, item in state.jobs.items() if not item.within_rate],
        "addresses": {job_id: list(item.address) for job_id, item in state.jobs.items()},
        "jobs": [capture_record(record) for record in state.jobs.values()],
        "cancelled_submissions": state.cancelled_submissions.capture(),
        "campaigns": [
            [number, c.instances, c.deadline, c.cap, sorted(c.begun)]
            for number, c in state.campaigns.items()
        ],
    }


def fill_state(state: JobsState, body: dict[str, Any]) -> None:
    """Fills an empty state from the decoded body of a snapshot."""
    state.config = body["config"]
    state.queues = dict(body["queues"])
    state.evacuated = set(body["evacuated"])
    # Snapshots of earlier versions have no revision.
    state.evacuation_revision = body.get("evacuation_revision", 0)
    state.workers = {worker.id: worker for worker in body["workers"]}
    state.last_committed_end = {(row[0], row[1]): row[2] for row in body["last_seen"]}
    # Snapshots of earlier versions have no sequences.
    state.heartbeat_sequences = {(row[0], row[1]): row[2] for row in body.get("sequences", ())}
    # Snapshots of earlier versions have no rates; their jobs count as within the rate.
    beyond_rate = set(body.get("beyond_rate", ()))
    state.team_rates = TeamRates(body.get("team_rates", ()))
    addresses = body.get("addresses", {})
    state.team_rates.configure(state.config.teams if state.config is not None else ())
    for row in body["jobs"]:
        address = addresses.get(row[0].id)
        record = load_record(row, tuple(address) if address is not None else None, state.queues)
        record.within_rate = record.job.id not in beyond_rate
        state.jobs[record.job.id] = record
        state.job_bytes += job_bytes(record.job)
        if record.active:
            state.active[record.job.id] = record
        state.ended_jobs.note(record)
        for task in tasks_of(record):
            if task.phase is TaskPhase.ASSIGNED:
                state.assigned.add(task)
    # Snapshots of earlier versions have no cancelled submissions.
    state.cancelled_submissions = CancelledSubmissions(body.get("cancelled_submissions", ()))
    for number, instances, deadline, cap, begun in body["campaigns"]:
        state.campaigns[number] = Campaign(tuple(instances), deadline, cap, set(begun))
