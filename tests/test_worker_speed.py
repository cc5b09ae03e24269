"""Slow workers and workers that fail a part of their runs are recognised by their runs."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.runs.worker_health import FailureShares, QuarantineReason, WorkerHealth
from geraniumtrack.jobs.scheduling.placement import AvailableWorker, choose_worker
from geraniumtrack.jobs.scheduling.worker_speed import (
    MAX_SET_ASIDE_SHARE,
    SET_ASIDE_RATIO,
    ActiveRun,
    SpeedTracker,
    WorkerSpeed,
)
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import Task
from geraniumtrack.jobs.state.model import TaskId
from tests.jobs_support import OwnerHarness, SpeedTrial, config, job, queue, step, worker

STEP = step(cpu=1000)
TASK = Task(TaskId("a" * 16, 0, 0, 0))


def choose(*speeds: WorkerSpeed, of_step=STEP, racks=("r1",) * 3, busy=()) -> str | None:
    """Returns the worker chosen among w0, w1, ... with these speeds."""
    pool = []
    for number, speed in enumerate(speeds):
        info = worker(f"w{number}", rack=racks[number])
        pool.append(AvailableWorker(info, info.capacity, speed=speed))
        if number in busy:
            pool[-1].reserve(STEP, ("b" * 16, 0, 0))
    chosen = choose_worker(TASK, of_step, pool)
    return chosen.worker.id if chosen is not None else None


def test_workers_that_become_slow_are_found_within_three_task_durations_and_return():
    """Load: a tenth of the workers are six times slower for 6 s, and 8 tasks of 1 s run on each."""
    trial = SpeedTrial(workers=20)
    trial.run(3.0)
    assert trial.set_aside == set()
    trial.slow = {"w3": 6.0, "w11": 6.0}
    trial.run(3.0)
    assert trial.set_aside == {"w3", "w11"}
    assert trial.tracker.speed("w3").slowdown > SET_ASIDE_RATIO / 1.25
    trial.run(3.0)
    trial.slow = {}
    trial.run(9.0)
    assert trial.set_aside == set()


@pytest.mark.parametrize("error", [0.3, 3.0])
def test_wrong_declarations_of_all_jobs_set_no_worker_aside(error):
    """Load: all callers declare durations that are wrong by a factor of three."""
    trial = SpeedTrial(workers=12, error=lambda _job: error)
    trial.run(6.0)
    assert trial.set_aside == set()


def test_a_team_with_wrong_declarations_sets_no_worker_aside():
    """Load: every fourth job takes five times as long as its team declares."""
    trial = SpeedTrial(workers=12, error=lambda number: 5.0 if number % 4 == 0 else 1.0)
    trial.run(8.0)
    assert trial.set_aside == set()


def test_a_whole_rack_that_is_slow_is_one_incident():
    """Failure: the switch of a rack is overloaded, so that its workers are slow together."""
    trial = SpeedTrial(workers=20, racks=5)
    trial.slow = {name: 6.0 for name in trial.names_of_rack("r0")}
    trial.run(4.0)
    assert trial.set_aside == set()
    assert ("rack", "r0", True) in {(c.scope, c.subject, c.slow) for c in trial.changes}


@given(st.integers(0, 20))
def test_at_most_a_third_of_a_pool_is_set_aside(slow_count):
    """Guards against a pool that loses its capacity because many of its workers are slow."""
    trial = SpeedTrial(workers=20, racks=20)
    trial.slow = {f"w{number}": 6.0 for number in range(slow_count)}
    trial.run(4.0)
    assert len(trial.set_aside) <= 20 * MAX_SET_ASIDE_SHARE
    assert trial.set_aside <= set(trial.slow)


durations = st.one_of(st.sampled_from([0.0, float("inf"), float("nan")]), st.floats(-1, 1e9))


@given(st.lists(st.tuples(durations, durations), max_size=40))
def test_one_job_can_set_no_worker_aside_whatever_it_declares(runs):
    """Load: a job declares 0 or nonsense; guards against divisions by zero as well."""
    tracker = SpeedTracker()
    workers = [worker(f"w{number}") for number in range(9)]
    for number in range(9):
        tracker.observe(f"w{number}", f"good{number}", 1.0, 1.0, 0.9)
    for expected_s, observed_s in runs:
        tracker.observe("w0", "bad", expected_s, observed_s, 0.9)
    active = {"w0": [ActiveRun("bad", expected_s, elapsed_s) for expected_s, elapsed_s in runs]}
    tracker.assess(workers, active, 1.0)
    assert not any(tracker.speed(item.id).probe_only for item in workers)
    assert tracker.speed("w1") == WorkerSpeed()


@given(st.integers(1, 12), st.floats(1.3, 8.0))
def test_more_evidence_of_slowness_never_lowers_the_estimate(jobs, ratio):
    """Guards against an estimate that improves the more jobs are slow on a worker."""
    estimates = []
    for count in (jobs, jobs + 1):
        tracker = SpeedTracker()
        for number in range(1, 9):
            tracker.observe(f"w{number}", "other", 1.0, 1.0, 0.9)
        active = {"w0": [ActiveRun(f"job{number}", 1.0, ratio) for number in range(count)]}
        tracker.assess([worker(f"w{number}") for number in range(9)], active, 1.0)
        estimates.append(tracker.speed("w0").slowdown)
    assert 1.0 <= estimates[0] <= estimates[1]


def test_placement_weighs_speed_against_remote_data_and_gives_probes_one_task():
    """Guards against slow workers that fill up first, and fast ones that draw tasks off data."""
    normal, slow, probe = WorkerSpeed(), WorkerSpeed(3.0), WorkerSpeed(3.0, True)
    assert choose(slow, normal, busy=(0,)) == "w1"  # without speeds, the fuller one is chosen
    near_r1 = step(data_rack="r1")
    assert choose(slow, normal, of_step=near_r1, racks=("r1", "r2")) == "w1"
    assert choose(WorkerSpeed(1.25), normal, of_step=near_r1, racks=("r1", "r2")) == "w0"
    assert choose(probe) == "w0"
    assert choose(probe, busy=(0,)) is None
    assert choose(probe, normal, of_step=step(lasting=True), busy=(0,)) == "w1"


@pytest.mark.parametrize("enabled", [True, False])
def test_the_owner_avoids_a_worker_whose_runs_take_too_long(enabled):
    """Failure: one worker of six stops making progress; with the switch off, as before."""
    harness = OwnerHarness(policy=PolicySettings(worker_speed=enabled))
    harness.apply(cmds.Configure(config(queue())))
    harness.apply(*(cmds.PutWorker(worker(f"w{number}")) for number in range(6)))
    harness.owner.start()
    for number in range(60):
        harness.commit(cmds.SubmitJob(job(step(6, max_per_worker=1), job_id=f"{number:016x}")))
        for name in [f"w{number}" for number in range(1, 6)]:
            for task in list(harness.workers.running.get(name, {})):
                harness.workers.end(name, task)
        harness.workers.report("w0")
        harness.run(1.0, step_s=0.1)
    stuck = len(harness.workers.running["w0"])
    assert stuck < 20 if enabled else stuck == 60


def run_failures(fails, *, runs: int, shares: FailureShares, kind=("q", "t", "")) -> set[int]:
    """Lets 10 workers end runs of different jobs; returns those that were quarantined."""
    workers = [WorkerHealth(shares) for _ in range(10)]
    reasons = {}
    for number in range(runs):
        for index, health in enumerate(workers):
            job_id = f"{number}-{index}"
            if not fails(number, index):
                health.record_success(job_id, kind)
            elif reason := health.record_failure(job_id, number * 0.1, kind):
                reasons[index] = reason
    assert set(reasons.values()) <= {QuarantineReason.FAILURE_SHARE}
    return set(reasons)


def test_a_worker_that_fails_every_second_run_is_quarantined():
    """Failure: a worker fails half of its runs while its health checks pass."""

    def fails(number, index):
        return index == 4 and number % 2 == 1

    assert run_failures(fails, runs=8, shares=FailureShares()) == {4}


def test_tasks_that_fail_everywhere_quarantine_no_worker():
    """Load: a team's image fails half of its runs on every worker; the others' runs complete."""

    def fails(number, index):
        return (number + index) % 2 == 1

    shares = FailureShares()
    run_failures(lambda *_: False, runs=20, shares=shares, kind=("q", "sound", ""))
    assert run_failures(fails, runs=60, shares=shares) == set()
