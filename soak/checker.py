"""Checks what was recorded in a soak against the guarantees in the product's documentation.

The functions have no side effects.
"""

from __future__ import annotations

from collections import defaultdict

from soak.history import History, JobHistory
from standins.worker import RunHistory, WorkerRun

__all__ = ["find_violations"]

# Time within which an acknowledged command or job takes effect in the whole system.
CANCELLATION_EFFECT_S = 3.0
EVACUATION_EFFECT_S = 5.0
WITHDRAWAL_EFFECT_S = 5.0
CONFIG_EFFECT_S = 2.0
JOB_VISIBLE_S = 3.0
LIMIT_OVERSHOOT = 0.1  # fraction of its limit that a team may use beyond it, besides one task
MAX_FAILED_RUNS = 3  # after which a task fails, as `maxAttempts` in `clients.py`


def find_violations(history: History, run_history: RunHistory, limits: dict[str, int]) -> list[str]:
    """Returns a description of each violation of a guarantee, one line each.

    Args:
        history: Observations of the clients and the operator.
        run_history: Runs of all workers.
        limits: CPU limits by team in thousandths of a core; 0 is no limit.
    """
    runs: dict[str, list[WorkerRun]] = defaultdict(list)
    for started in run_history.runs:
        runs[started.task].append(started)
    violations: list[str] = []
    for task, starts in runs.items():
        violations += _check_task(task, starts, history)
    for job in history.jobs.values():
        violations += _check_job(job, runs)
    violations += _check_limits(run_history, history, limits)
    violations += _check_operator_commands(history, run_history)
    return violations


def _check_task(task: str, starts: list[WorkerRun], history: History) -> list[str]:
    violations = []
    job = history.jobs.get(task.partition(".")[0])
    if job is None:
        return [f"{task}: started, but no client submitted its job"]
    if job.rejected:
        violations.append(f"{task}: started, though every attempt to submit its job was rejected")
    if any(started.spec != job.spec for started in starts):
        violations.append(f"{task}: started with another specification")
    violations += [
        f"{task}: run {started.run} brought {started.worker} over its capacity at {started.at:.3f}"
        for started in starts
        if started.over_capacity
    ]
    failed = 0
    for earlier, later in zip(starts, starts[1:], strict=False):
        if earlier.ended_at is None or later.at < earlier.ended_at:
            until = (
                f"{earlier.end_kind} {earlier.ended_at - later.at:.3f} s later"
                if earlier.end_kind
                else "none"
            )
            violations.append(
                f"{task}: runs {earlier.run} and {later.run} overlap on {earlier.worker} and "
                f"{later.worker} at {later.at:.3f}; end of the first: {until}"
            )
        # Once the lease has lapsed before the end was acknowledged, the task may start again.
        may_repeat = earlier.lapsed_at is not None and earlier.lapsed_at <= later.at
        is_noted = earlier.acknowledged and not may_repeat
        if earlier.end_kind == "done" and is_noted and not job.is_service:
            after_s = later.at - earlier.ended_at
            violations.append(
                f"{task}: run {later.run} started on {later.worker} {after_s:.3f} s after "
                f"{earlier.run} was done on {earlier.worker}, born {earlier.born}"
            )
        failed += earlier.end_kind == "failed" and earlier.acknowledged
        if failed >= MAX_FAILED_RUNS and not job.is_service:
            violations.append(f"{task}: run {later.run} started after {failed} failed runs")
    violations += [
        f"{task}: run {started.run} started {started.at - acknowledged_at:.3f} s "
        "after the cancellation was acknowledged"
        for started in starts
        if (acknowledged_at := _cancellation_acknowledged_at(job)) is not None
        and started.at > acknowledged_at + CANCELLATION_EFFECT_S
        and not started.late
    ]
    return violations


def _cancellation_acknowledged_at(job: JobHistory) -> float | None:
    return job.cancellation.acknowledged_at if job.cancellation is not None else None


def _check_job(job: JobHistory, runs: dict[str, list[WorkerRun]]) -> list[str]:
    violations = []
    steps_done_at = [_step_done_at(job, number, runs) for number in range(len(job.steps))]
    for number, step in enumerate(job.steps):
        for earlier in step.get("dependsOn", ()):
            for index in range(step["count"]):
                first = runs.get(f"{job.id}.0.{number}.{index}")
                if first and (
                    steps_done_at[earlier] is None or first[0].at < steps_done_at[earlier]
                ):
                    violations.append(
                        f"{job.id}: step {number} started before step {earlier} was done"
                    )
    for at, state in job.states:
        if state == "completed" and any(done is None or done > at for done in steps_done_at):
            violations.append(
                f"{job.id}: reported as completed at {at:.3f} before all tasks were done"
            )
        if state == "cancelled" and job.cancellation is None:
            violations.append(f"{job.id}: reported as cancelled, but nobody cancelled it")
        if state == "failed" and not _has_failed_task(job, runs):
            violations.append(f"{job.id}: reported as failed without {MAX_FAILED_RUNS} failed runs")
    if job.accepted_at is None:
        return violations
    violations += [
        f"{job.id}: reported as unknown at {at:.3f}, though accepted at {job.accepted_at:.3f}"
        for at in job.unknown_at
        if at > job.accepted_at + JOB_VISIBLE_S and job.cancellation is None
    ]
    last = job.states[-1][1] if job.states else "never reported"
    if job.cancellation is None and not job.is_service and last not in ("completed", "failed"):
        violations.append(f"{job.id}: accepted, but {last} at the end")
    return violations


def _step_done_at(job: JobHistory, number: int, runs: dict[str, list[WorkerRun]]) -> float | None:
    """Returns when the last task of a step was done, or None."""
    latest = 0.0
    for index in range(job.steps[number]["count"]):
        starts = runs.get(f"{job.id}.0.{number}.{index}", [])
        ends = [s.ended_at for s in starts if s.end_kind == "done" and s.ended_at is not None]
        if not ends:
            return None
        latest = max(latest, min(ends))
    return latest


def _has_failed_task(job: JobHistory, runs: dict[str, list[WorkerRun]]) -> bool:
    return any(
        sum(started.end_kind == "failed" for started in starts) >= MAX_FAILED_RUNS
        for task, starts in runs.items()
        if task.startswith(job.id)
    )


def _check_limits(run_history: RunHistory, history: History, limits: dict[str, int]) -> list[str]:
    violations = []
    events: list[tuple[float, int, int, str]] = []
    for started in run_history.runs:
        job = history.jobs.get(started.task.partition(".")[0])
        if job is None:
            continue
        cpu = job.steps[int(started.task.split(".")[2])]["cpu"]
        events.append((started.at, 1, cpu, job.team))
        if started.ended_at is not None:
            events.append((started.ended_at, 0, -cpu, job.team))
    used: dict[str, int] = defaultdict(int)
    for at, _, cpu, team in sorted(events):
        used[team] += cpu
        limit = limits.get(team, 0)
        if limit and cpu > 0 and used[team] > limit * (1 + LIMIT_OVERSHOOT) + cpu:
            violations.append(
                f"team {team} runs {used[team]} of {limit} thousandths of a core at {at:.3f}"
            )
    return violations


def _check_operator_commands(history: History, run_history: RunHistory) -> list[str]:
    violations = []
    for read in history.reads:
        known = [v for v, at in history.versions.items() if at + CONFIG_EFFECT_S < read.sent_at]
        if known and read.version < max(known):
            violations.append(
                f"version {read.version} was read at {read.sent_at:.3f}, not {max(known)}"
            )
    if history.unread_config:
        violations.append("the configuration could not be read at the end")
    for call in history.key_calls:
        since = history.withdrawn.get(call.key)
        if since is not None and call.sent_at > since + WITHDRAWAL_EFFECT_S and call.status == 200:
            violations.append(
                f"key {call.key} worked {call.sent_at - since:.3f} s after its withdrawal"
            )
    for evacuation in history.evacuations:
        until = evacuation.lifted_at if evacuation.lifted_at is not None else float("inf")
        for started in run_history.runs:
            inside = evacuation.acknowledged_at + EVACUATION_EFFECT_S < started.at < until
            if started.zone == evacuation.zone and inside and not started.late:
                violations.append(
                    f"{started.task}: started in {evacuation.zone}, which was evacuated"
                )
    return violations
