"""The soak: its judge sees each kind of broken promise, and a short seeded run holds them all."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from soak.checker import find_violations
from soak.history import Cancellation, ConfigRead, History, JobHistory, KeyCall, ObservedEvacuation
from soak.programs import Layout
from soak.scenario import make_scenario
from standins.worker import RunHistory, WorkerRun

ROOT = Path(__file__).resolve().parent.parent
JOB = "5c0e7a21d94b36f8"
STEP = {"count": 1, "cpu": 1000}
LIMITS = {"t0": 0, "t1": 1000}
RUN_S = 120  # a short run takes half a minute
# Seeds that once failed, each with its cause.
REGRESSIONS: dict[int, str] = {}


def start(at: float, run: int = 1, *, task: str = f"{JOB}.0.0.0", **fields) -> WorkerRun:
    values = {"worker": "w", "born": 1, "zone": "z1", "spec": "{}", "fence": 1, "late": False}
    return WorkerRun(at, task=task, run=run, **{**values, **fields})


def done(at: float, run: int = 1, *, takes: float = 1.0, **fields) -> WorkerRun:
    return start(at, run, end_kind="done", ended_at=at + takes, acknowledged=True, **fields)


def entry(**fields) -> JobHistory:
    values = {"statuses": [200], "accepted_at": 0.0, "states": [(90.0, "completed")]}
    values["steps"] = [STEP]
    return JobHistory(JOB, "proofs", fields.pop("team", "t0"), "{}", **{**values, **fields})


def verdict(*starts: WorkerRun, job: JobHistory | None = None, **fields) -> str:
    history = History(jobs={JOB: job or entry()}, **fields)
    return "\n".join(find_violations(history, RunHistory(list(starts)), LIMITS))


def test_a_run_that_keeps_all_promises_passes():
    assert verdict(done(1.0)) == ""


@pytest.mark.parametrize(
    ("starts", "found"),
    [
        ([start(1.0, ended_at=3.0, end_kind="lapsed"), done(2.0, 2)], "overlap"),
        ([done(1.0), done(3.0, 2)], "was done"),
        ([done(1.0, task="0000000000000000.0.0.0")], "no client submitted its job"),
        ([done(1.0, spec="other")], "another specification"),
        (
            [
                start(n, n, end_kind="failed", ended_at=n + 0.5, acknowledged=True)
                for n in (1, 2, 3, 4)
            ],
            "failed",
        ),
    ],
)
def test_broken_promises_of_a_task_are_seen(starts, found):
    assert found in verdict(*starts)


@pytest.mark.parametrize(
    ("job", "starts", "found"),
    [
        (entry(statuses=[503], accepted_at=None), [done(1.0)], "was rejected"),
        (entry(states=[(1.5, "completed")]), [done(1.0)], "before all tasks were done"),
        (entry(states=[(5.0, "failed")]), [done(1.0)], "without 3 failed runs"),
        (entry(states=[(5.0, "cancelled")]), [done(1.0)], "nobody cancelled"),
        (entry(states=[(5.0, "running")]), [done(1.0)], "running at the end"),
        (entry(unknown_at=[8.0]), [done(1.0)], "unknown at"),
        (entry(cancellation=Cancellation(1.0, 1.2)), [start(9.0)], "after the cancellation"),
        (
            entry(steps=[STEP, {**STEP, "dependsOn": [0]}]),
            [done(1.0), done(1.5, task=f"{JOB}.0.1.0")],
            "before step 0 was done",
        ),
    ],
)
def test_broken_promises_of_a_job_are_seen(job, starts, found):
    assert found in verdict(*starts, job=job)


def test_a_team_over_its_limit_is_seen():
    steps = [{"count": 3, "cpu": 1000}]
    starts = [start(1.0, task=f"{JOB}.0.0.{index}") for index in range(3)]
    assert "team t1 runs 3000" in verdict(*starts, job=entry(team="t1", steps=steps))


def test_broken_promises_to_operators_are_seen():
    found = verdict(
        done(20.0),
        versions={3: 1.0, 5: 10.0},
        reads=[ConfigRead(15.0, 3)],
        withdrawn={"k": 1.0},
        key_calls=[KeyCall("k", 9.0, 200)],
        evacuations=[ObservedEvacuation("z1", 10.0)],
        unread_config=True,
    )
    for part in ("version 3 was read", "key k worked", "which was evacuated", "could not be read"):
        assert part in found


def test_a_seed_always_plans_the_same_faults():
    assert make_scenario(7, 30.0) == make_scenario(7, 30.0)
    assert make_scenario(7, 30.0).faults != make_scenario(8, 30.0).faults


def test_soaks_side_by_side_have_different_addresses():
    """Guards against two runs of one seed, as when CI runs twice, that take each other's ports."""
    one, other = Layout.reserve(150), Layout.reserve(150)
    assert one.ip(1, 0) != other.ip(1, 0)
    one.reservation.close()
    other.reservation.close()


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_a_short_soak_breaks_no_promise(seed):
    command = [sys.executable, "-m", "soak", "run", f"--seed={seed}", "--seconds=10"]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_S, check=False
    )
    assert result.returncode == 0, result.stdout + result.stderr
