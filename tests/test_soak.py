"""The soak: its checker finds each kind of violation, and a short soak has none."""

from __future__ import annotations

import random
import subprocess
import sys
from pathlib import Path

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from soak.checker import find_violations
from soak.clients import Operator
from soak.history import Cancellation, ConfigRead, History, JobHistory, KeyCall, ObservedEvacuation
from soak.programs import Layout
from soak.scenario import make_scenario
from standins.worker import RunHistory, WorkerRun

ROOT = Path(__file__).resolve().parent.parent
JOB = "5c0e7a21d94b36f8"
STEP = {"count": 1, "cpu": 1000}
LIMITS = {"t0": 0, "t1": 1000}
SOAK_TIMEOUT_S = 120  # a soak with 10 s of load takes half a minute
# Seeds that failed once, with the cause of each.
REGRESSIONS: dict[int, str] = {
    20261537: "an evacuation counted as in force although the end of an earlier one had lifted it",
    20261432: "ends listed only after the lease of their worker had lapsed counted as noted",
}


def started_run(at: float, run: int = 1, *, task: str = f"{JOB}.0.0.0", **fields) -> WorkerRun:
    """Returns a run that has not ended; `fields` replaces default values."""
    values = {"worker": "w", "born": 1, "zone": "z1", "spec": "{}", "fence": 1, "late": False}
    return WorkerRun(at, task=task, run=run, **{**values, **fields})


def done_run(at: float, run: int = 1, *, takes: float = 1.0, **fields) -> WorkerRun:
    """Returns a run that is done and whose end the owner has acknowledged."""
    return started_run(at, run, end_kind="done", ended_at=at + takes, acknowledged=True, **fields)


def job_with(**fields) -> JobHistory:
    """Returns a job shown as completed to its caller; `fields` replaces default values."""
    values = {"statuses": [200], "accepted_at": 0.0, "states": [(90.0, "completed")]}
    values["steps"] = [STEP]
    return JobHistory(JOB, "proofs", fields.pop("team", "t0"), "{}", **{**values, **fields})


def violations_of(*starts: WorkerRun, job: JobHistory | None = None, **fields) -> str:
    """Returns what the checker finds in a soak with these runs and one job, as one text."""
    history = History(jobs={JOB: job or job_with()}, **fields)
    return "\n".join(find_violations(history, RunHistory(list(starts)), LIMITS))


def test_a_history_without_violations_passes():
    """Guards against a checker that reports violations which did not happen."""
    assert violations_of(done_run(1.0)) == ""


def test_the_end_of_an_evacuation_ends_an_overlapping_one_of_the_data_centre(monkeypatch):
    """Guards against violations in a data centre that was returned to service."""
    clock, history = Clock(), History(jobs={})
    operator = Operator(clock, ["10.0.0.1:80"], history=history, rng=random.Random(1))
    monkeypatch.setattr(operator, "_send_with_retries", lambda *_: succeed(True))
    operator.evacuate("z4", 7.5)
    clock.advance(0.4)
    operator.evacuate("z4", 8.7)
    operator.evacuate("z1", 8.7)
    clock.advance(7.1)
    assert [evacuation.lifted_at for evacuation in history.evacuations] == [7.5, 7.5, None]


def test_a_task_may_start_again_once_the_lease_lapsed_before_its_end_was_acknowledged():
    """Guards against a violation where a partition outlasts the lease of a worker."""
    assert violations_of(done_run(1.0, lapsed_at=4.0), done_run(6.0, 2)) == ""


@pytest.mark.parametrize(
    ("starts", "violation"),
    [
        ([started_run(1.0, ended_at=3.0, end_kind="lapsed"), done_run(2.0, 2)], "overlap"),
        ([done_run(1.0), done_run(3.0, 2)], "was done"),
        ([done_run(1.0, lapsed_at=4.0), done_run(3.0, 2)], "was done"),
        ([done_run(1.0, task="0000000000000000.0.0.0")], "no client submitted its job"),
        ([done_run(1.0, spec="other")], "another specification"),
        ([done_run(1.0, over_capacity=True)], "over its capacity"),
        (
            [
                started_run(n, n, end_kind="failed", ended_at=n + 0.5, acknowledged=True)
                for n in (1, 2, 3, 4)
            ],
            "failed",
        ),
    ],
)
def test_violations_of_a_task_are_found(starts, violation):
    assert violation in violations_of(*starts)


@pytest.mark.parametrize(
    ("job", "starts", "violation"),
    [
        (job_with(statuses=[503], accepted_at=None), [done_run(1.0)], "was rejected"),
        (job_with(states=[(1.5, "completed")]), [done_run(1.0)], "before all tasks were done"),
        (job_with(states=[(5.0, "failed")]), [done_run(1.0)], "without 3 failed runs"),
        (job_with(states=[(5.0, "cancelled")]), [done_run(1.0)], "nobody cancelled"),
        (job_with(states=[(5.0, "running")]), [done_run(1.0)], "running at the end"),
        (job_with(unknown_at=[8.0]), [done_run(1.0)], "unknown at"),
        (
            job_with(cancellation=Cancellation(1.0, 1.2)),
            [started_run(9.0)],
            "after the cancellation",
        ),
        (
            job_with(steps=[STEP, {**STEP, "dependsOn": [0]}]),
            [done_run(1.0), done_run(1.5, task=f"{JOB}.0.1.0")],
            "before step 0 was done",
        ),
    ],
)
def test_violations_of_a_job_are_found(job, starts, violation):
    assert violation in violations_of(*starts, job=job)


def test_a_team_over_its_limit_is_found():
    """The limit of t1 is 1000; its three concurrent runs use 1000 each."""
    steps = [{"count": 3, "cpu": 1000}]
    starts = [started_run(1.0, task=f"{JOB}.0.0.{index}") for index in range(3)]
    assert "team t1 runs 3000" in violations_of(*starts, job=job_with(team="t1", steps=steps))


def test_violations_of_guarantees_to_operators_are_found():
    violations = violations_of(
        done_run(20.0),
        versions={3: 1.0, 5: 10.0},
        reads=[ConfigRead(15.0, 3)],
        withdrawn={"k": 1.0},
        key_calls=[KeyCall("k", 9.0, 200)],
        evacuations=[ObservedEvacuation("z1", 10.0)],
        unread_config=True,
    )
    for violation in (
        "version 3 was read",
        "key k worked",
        "which was evacuated",
        "could not be read",
    ):
        assert violation in violations


def test_a_seed_always_gives_the_same_faults():
    """Guards against a failed seed that cannot be reproduced."""
    assert make_scenario(7, 30.0) == make_scenario(7, 30.0)
    assert make_scenario(7, 30.0).faults != make_scenario(8, 30.0).faults


def test_concurrent_soaks_have_different_addresses():
    """Guards against two soaks with one seed, as when CI runs twice, that share addresses."""
    first, second = Layout.reserve(150), Layout.reserve(150)
    assert first.ip(1, 0) != second.ip(1, 0)
    first.reservation.close()
    second.reservation.close()


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_a_short_soak_has_no_violations(seed):
    command = [sys.executable, "-m", "soak", "run", f"--seed={seed}", "--seconds=10"]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=SOAK_TIMEOUT_S, check=False
    )
    assert result.returncode == 0, result.stdout + result.stderr
