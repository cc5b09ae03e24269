"""Checks what was recorded in a soak against the guarantees in the product's documentation.

The functions have no side effects.
"""

from __future__ import annotations

from collections import defaultdict

from soak.ledger import JobEntry, Ledger
from standins.worker import Record, Started

__all__ = ["judge"]

# Time within which an acknowledged command or job takes effect in the whole system.
CANCELLATION_EFFECT_S = 3.0
EVACUATION_EFFECT_S = 5.0
WITHDRAWAL_EFFECT_S = 5.0
CONFIG_EFFECT_S = 2.0
JOB_VISIBLE_S = 3.0
LIMIT_OVERSHOOT = 0.1  # fraction of its limit that a team may use beyond it, besides one task
MAX_ATTEMPTS = 3  # failed runs after which a task fails, as `maxAttempts` in `clients.py`


def judge(ledger: Ledger, run_history: Record, limits: dict[str, int]) -> list[str]:
    """Returns a description of each violation of a guarantee, one line each.

    Args:
        ledger: Observations of the clients and the operator.
        run_history: Runs of all workers.
        limits: CPU limits by team in thousandths of a core; 0 is no limit.
    """
    runs: dict[str, list[Started]] = defaultdict(list)
    for started in run_history.runs:
        runs[started.task].append(started)
    violations: list[str] = []
    for task, starts in runs.items():
        violations += _check_task(task, starts, ledger)
    for job in ledger.jobs.values():
        violations += _check_job(job, runs)
    violations += _check_limits(run_history, ledger, limits)
    violations += _check_operator_commands(ledger, run_history)
    return violations


def _check_task(task: str, starts: list[Started], ledger: Ledger) -> list[str]:
    violations = []
    job = ledger.jobs.get(task.partition(".")[0])
    if job is None:
        return [f"{task}: started, but no client submitted its job"]
    if job.rejected:
        violations.append(f"{task}: started, though every attempt to submit its job was rejected")
    if any(started.spec != job.spec for started in starts):
        violations.append(f"{task}: started with another specification")
    failed = 0
    for earlier, later in zip(starts, starts[1:], strict=False):
        if earlier.ended_at is None or later.at < earlier.ended_at:
            until = (
                f"{earlier.how} {earlier.ended_at - later.at:.3f} s later"
                if earlier.how
                else "none"
            )
            violations.append(
                f"{task}: runs {earlier.run} and {later.run} overlap on {earlier.worker} and "
                f"{later.worker} at {later.at:.3f}; end of the first: {until}"
            )
        if earlier.how == "done" and earlier.noted and not job.is_service:
            after_s = later.at - earlier.ended_at
            violations.append(
                f"{task}: run {later.run} started on {later.worker} {after_s:.3f} s after "
                f"{earlier.run} was done on {earlier.worker}, born {earlier.born}"
            )
        failed += earlier.how == "failed" and earlier.noted
        if failed >= MAX_ATTEMPTS and not job.is_service:
            violations.append(f"{task}: run {later.run} started after {failed} failed runs")
    violations += [
        f"{task}: run {started.run} started {started.at - cancelled:.3f} s after the cancellation"
        for started in starts
        if (cancelled := _cancelled_at(job)) is not None
        and started.at > cancelled + CANCELLATION_EFFECT_S
        and not started.late
    ]
    return violations


def _cancelled_at(job: JobEntry) -> float | None:
    return job.cancelling.acknowledged_at if job.cancelling is not None else None


def _check_job(job: JobEntry, runs: dict[str, list[Started]]) -> list[str]:
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
        if state == "cancelled" and job.cancelling is None:
            violations.append(f"{job.id}: reported as cancelled, but nobody cancelled it")
        if state == "failed" and not _has_failed_task(job, runs):
            violations.append(f"{job.id}: reported as failed without {MAX_ATTEMPTS} failed runs")
    if job.accepted_at is None:
        return violations
    violations += [
        f"{job.id}: reported as unknown at {at:.3f}, though accepted at {job.accepted_at:.3f}"
        for at in job.unknown_at
        if at > job.accepted_at + JOB_VISIBLE_S and job.cancelling is None
    ]
    last = job.states[-1][1] if job.states else "never reported"
    if job.cancelling is None and not job.is_service and last not in ("completed", "failed"):
        violations.append(f"{job.id}: accepted, but {last} at the end")
    return violations


def _step_done_at(job: JobEntry, number: int, runs: dict[str, list[Started]]) -> float | None:
    """Returns when the last task of a step was done, or None."""
    latest = 0.0
    for index in range(job.steps[number]["count"]):
        starts = runs.get(f"{job.id}.0.{number}.{index}", [])
        ends = [s.ended_at for s in starts if s.how == "done" and s.ended_at is not None]
        if not ends:
            return None
        latest = max(latest, min(ends))
    return latest


def _has_failed_task(job: JobEntry, runs: dict[str, list[Started]]) -> bool:
    return any(
        sum(started.how == "failed" for started in starts) >= MAX_ATTEMPTS
        for task, starts in runs.items()
        if task.startswith(job.id)
    )


def _check_limits(run_history: Record, ledger: Ledger, limits: dict[str, int]) -> list[str]:
    violations = []
    events: list[tuple[float, int, int, str]] = []
    for started in run_history.runs:
        job = ledger.jobs.get(started.task.partition(".")[0])
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


def _check_operator_commands(ledger: Ledger, run_history: Record) -> list[str]:
    violations = []
    for read in ledger.reads:
        known = [v for v, at in ledger.versions.items() if at + CONFIG_EFFECT_S < read.sent_at]
        if known and read.version < max(known):
            violations.append(
                f"version {read.version} was read at {read.sent_at:.3f}, not {max(known)}"
            )
    if ledger.unread_config:
        violations.append("the configuration could not be read at the end")
    for call in ledger.key_calls:
        since = ledger.withdrawn.get(call.key)
        if since is not None and call.sent_at > since + WITHDRAWAL_EFFECT_S and call.status == 200:
            violations.append(
                f"key {call.key} worked {call.sent_at - since:.3f} s after its withdrawal"
            )
    for outage in ledger.outages:
        until = outage.lifted_at if outage.lifted_at is not None else float("inf")
        for started in run_history.runs:
            inside = outage.acknowledged_at + EVACUATION_EFFECT_S < started.at < until
            if started.zone == outage.zone and inside and not started.late:
                violations.append(f"{started.task}: started in {outage.zone}, which was evacuated")
    return violations
