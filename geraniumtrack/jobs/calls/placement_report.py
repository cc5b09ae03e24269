"""The answer to a placement query, as plain types for a message and for JSON."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from geraniumtrack.jobs.scheduling.admission import Refusal
from geraniumtrack.jobs.scheduling.ordering import EXPIRED, LASTING, LATE, ON_TIME
from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart, ReadyStep
from geraniumtrack.jobs.scheduling.placement_trace import Candidate, StepTrace
from geraniumtrack.jobs.scheduling.trial_pass import StepOutcome, TrialPass
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import NO_RESOURCES, Job, JobQueue, Resources

__all__ = ["placement_report"]

MAX_AHEAD = 50  # steps ahead that are named; a backlog has thousands
CLASSES = {LASTING: "service", ON_TIME: "on_time", LATE: "late", EXPIRED: "expired"}


def placement_report(
    job: Job,
    queue: JobQueue,
    state: JobsState,
    *,
    refusal: Refusal | None,
    trial: TrialPass,
    excluded: Mapping[str, tuple[str, str]],
    now: float,
    seen: dict[str, Any],
) -> dict[str, Any]:
    """Returns the report.

    Args:
        job: The job.
        queue: Its queue.
        state: The state on which the trial pass decided.
        refusal: The refusal of the job, None if it is admitted.
        trial: The result of the trial pass.
        excluded: Rack, and the reason for accepting no tasks, of the pool's other workers by id.
        now: Wall-clock time in seconds.
        seen: What the owner knew, and how old it was.
    """
    teams = {team.name: team for team in state.config.teams}
    team = teams.get(job.team)
    steps = [_step(outcome, excluded) for outcome in trial.steps]
    return {
        "queue": queue.name,
        "team": job.team,
        "pool": queue.pool,
        "as_of": now,
        "seen": seen,
        "admitted": refusal is None,
        "refusal": asdict(refusal) if refusal is not None else None,
        "within_rate": state.jobs[job.id].within_rate,
        "order": _order(trial),
        "quota": {
            "used": _amounts(trial.used),
            "cap": _amounts(team.cap) if team is not None and team.cap != NO_RESOURCES else None,
        },
        "share": {"used": trial.share, "weight": team.weight if team is not None else None},
        "steps": steps + _other_steps(job, state, trial, now),
    }


def _order(trial: TrialPass) -> dict[str, Any]:
    ahead = trial.trace.ahead
    first = trial.steps[0].trace.ready_step if trial.steps else None
    return {
        "position": len(ahead) + 1 if first is not None else None,
        "class": CLASSES[first.sort_key[0]] if first is not None else None,
        "ahead": [_step_ahead(ready_step) for ready_step in ahead[:MAX_AHEAD]],
    }


def _step_ahead(ready_step: ReadyStep) -> dict[str, Any]:
    return {
        "job": ready_step.record.job.id,
        "step": ready_step.step_number,
        "team": ready_step.record.job.team,
        "queue": ready_step.queue.name,
        "class": CLASSES[ready_step.sort_key[0]],
        "waiting": len(ready_step.waiting),
    }


def _step(outcome: StepOutcome, excluded: Mapping[str, tuple[str, str]]) -> dict[str, Any]:
    trace = outcome.trace
    ready_step = trace.ready_step
    rejected = [_rejected(item) for item in trace.candidates.values() if item.rejected]
    rejected += [
        {"worker": worker, "rack": rack, "reason": why} for worker, (rack, why) in excluded.items()
    ]
    able = [item for item in trace.candidates.values() if not item.rejected]
    able.sort(key=lambda item: tuple(item.cost.values()))
    return {
        "occurrence": ready_step.occurrence,
        "step": ready_step.step_number,
        "waiting": len(ready_step.waiting),
        "starts": [_start(start, trace) for start in outcome.starts],
        "waits_for": outcome.waits_for,
        "rack": outcome.rack,
        "expected_s": round(outcome.expected_s, 3) if outcome.expected_s is not None else None,
        "candidates": [
            {
                "worker": item.worker,
                "rack": item.rack,
                "free": _amounts(item.free),
                "cost": item.cost,
            }
            for item in able
        ],
        "rejected": rejected,
    }


def _rejected(item: Candidate) -> dict[str, Any]:
    free = _amounts(item.free)
    return {"worker": item.worker, "rack": item.rack, "reason": item.rejected, "free": free}


def _amounts(resources: Resources) -> dict[str, int]:
    return {
        "cpu": resources.cpu,
        "memory_mb": resources.memory_mb,
        "accelerators": resources.accelerators,
    }


def _start(start: PlannedStart, trace: StepTrace) -> dict[str, Any]:
    worker = start.worker
    cost = trace.costs.get(start.task, {})
    return {"task": start.task.index, "worker": worker.id, "rack": worker.rack, "cost": cost}


def _other_steps(job: Job, state: JobsState, trial: TrialPass, now: float) -> list[dict[str, Any]]:
    """Returns the steps with waiting tasks that the pass did not consider, of one occurrence."""
    record = state.jobs[job.id]
    considered = {
        (outcome.trace.ready_step.occurrence, outcome.trace.ready_step.step_number)
        for outcome in trial.steps
    }
    if not record.open_occurrences:
        return []
    occurrence = min(record.open_occurrences)
    wait_s = max(job.due(occurrence) - now, 0.0)
    return [
        {
            "occurrence": occurrence,
            "step": number,
            "waiting": progress.waiting,
            "starts": [],
            "waits_for": "due_time" if wait_s else "earlier_steps",
            "rack": "",
            "expected_s": round(wait_s, 3) if wait_s else None,
            "candidates": [],
            "rejected": [],
        }
        for number, progress in enumerate(record.occurrences[occurrence])
        if progress.waiting and (occurrence, number) not in considered
    ]
