"""The owner stops runs for urgent jobs: with lost answers, partitions and changes of owner."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from twisted.internet.task import Clock

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import TaskPhase
from geraniumtrack.jobs.state.model import EndKind, JobState, Resources, TaskId
from geraniumtrack.jobs.state.records import tasks_of
from geraniumtrack.metrics import metrics
from tests.jobs_support import OwnerHarness, TimedWorkers, config, job, queue, step, worker

POLICY = replace(DEFAULT_POLICY, stop_grace_s=0.4)
BULK = "b" * 16


def start_owner(*cores: int, bulk: int, policy=POLICY) -> OwnerHarness:
    """Starts an owner whose workers are full with `bulk` runs of a long job of low priority."""
    clock = Clock()
    harness = OwnerHarness(clock=clock, workers=TimedWorkers(clock), policy=policy)
    queues = [queue(name, priority=n) for n, name in enumerate(("high", "proofs", "bulk"))]
    harness.apply(cmds.Configure(config(*queues)))
    for number, count in enumerate(cores):
        fields = {"capacity": Resources(count * 1000, 64_000), "address": f"w{number}:1"}
        harness.apply(cmds.PutWorker(worker(f"w{number}", **fields)))
    spec = step(bulk, estimate_s=20.0, checkpoints=True)
    harness.apply(cmds.SubmitJob(job(spec, job_id=BULK, queue="bulk", payload="stays")))
    harness.owner.start()
    advance(harness, 0.5)
    return harness


def advance(harness: OwnerHarness, seconds: float = 0.0) -> None:
    """Lets time pass while the workers answer their holds every 0.1 s, also at the beginning."""
    harness.run()
    for part in range(round(seconds * 10) + 1):
        harness.run(0.1 if part else 0.0)
        for name in list(harness.workers.holds):
            if name not in harness.workers.silent:
                harness.workers.report(name)
        harness.run()


def succeed_owner(harness: OwnerHarness) -> OwnerHarness:
    """Returns the next owner of the same workers, which has not started."""
    fields = {"state": harness.state, "workers": harness.workers, "clock": harness.clock}
    return OwnerHarness(**fields, term=8, policy=POLICY)


def submit(harness: OwnerHarness, number: int = 0, *steps, **fields) -> str:
    """Submits a job with a path of 1 s, which must start within 1 s; returns its id."""
    job_id = f"{number:016x}"
    fields["submitted"] = harness.clock.seconds()
    harness.commit(cmds.SubmitJob(job(*(steps or (step(),)), job_id=job_id, **fields)))
    return job_id


def stopped(harness: OwnerHarness) -> Counter:
    return Counter((order.task, order.run) for _, order in harness.workers.stops)


def assert_started_once(harness: OwnerHarness) -> None:
    orders = Counter((order.task, order.run) for _, order in harness.workers.starts)
    running = Counter(task for rows in harness.workers.running.values() for task in rows)
    assert set(orders.values()) == set(running.values()) == {1}


def test_an_urgent_job_takes_the_place_of_a_run_that_resumes_later():
    """Guards against a stop that costs an attempt or the checkpoint, or that helps nobody."""
    harness = start_owner(2, bulk=2)
    rows = harness.workers.running["w0"]
    for task, row in rows.items():
        rows[task] = row._replace(checkpoint="c7")
    job_id = submit(harness)
    advance(harness, 2.0)
    assert harness.state.jobs[job_id].state is JobState.COMPLETED
    assert harness.state.jobs[job_id].ended <= 0.5 + 1.6 + 0.6
    ((task_id, run),) = stopped(harness)
    advance(harness, 0.5)
    task = harness.state.task(task_id)
    assert (task.phase, task.run, task.failures) == (TaskPhase.ASSIGNED, run + 1, 0)
    assert harness.workers.starts[-1][1].checkpoint == "c7"
    assert 'runs_preempted_total{reason="lower_priority",team=""}' in metrics.render()
    assert_started_once(harness)


def test_a_task_is_not_preempted_in_two_runs_in_a_row():
    """Guards against a task that never gets on, as each of its runs is stopped."""
    harness = start_owner(1, bulk=1)
    for number in range(3):
        submit(harness, number)
        advance(harness, 4.0)
    victim = TaskId(BULK, 0, 0, 0)
    assert list(stopped(harness)) == [(victim, 1)]
    assert harness.state.task(victim).run == 2


def test_a_lost_answer_to_a_stop_is_followed_by_the_same_stop():
    """Guards against a second run that is stopped for the same need, and a stop that is lost."""
    harness = start_owner(20, bulk=20)  # two runs may be stopped in a second
    harness.workers.acknowledges_stops = False
    job_id = submit(harness)
    advance(harness, 0.4)
    assert list(stopped(harness).values()) == [1]
    harness.workers.acknowledges_stops = True
    advance(harness, 3.0)
    assert list(stopped(harness).values()) == [2]
    assert harness.state.jobs[job_id].state is JobState.COMPLETED
    assert_started_once(harness)


def test_no_run_is_stopped_on_a_worker_that_does_not_answer():
    """Guards against stops that make no room: a slot there counts until the lease has expired."""
    harness = start_owner(1, 20, bulk=21)
    harness.workers.unreachable = {"w1"}
    harness.workers.holds.pop("w1").errback(CallFailed("no response in time", sent=True))
    advance(harness, 0.5)
    for number in range(3):
        submit(harness, number)
    advance(harness, 1.0)
    assert {name for name, _ in harness.workers.stops} == {"w0"}
    assert len(stopped(harness)) == 1


def test_a_stop_is_forgotten_when_its_worker_is_partitioned():
    """Guards against a run that is stopped after the partition, when its place helps nobody."""
    harness = start_owner(1, 1, bulk=2)
    harness.workers.acknowledges_stops = False
    submit(harness)
    advance(harness, 0.3)
    ((name, order),) = harness.workers.stops
    harness.workers.unreachable = {name}
    harness.workers.holds.pop(name).errback(CallFailed("no response in time", sent=True))
    advance(harness, 1.5)
    harness.workers.unreachable = set()
    harness.workers.acknowledges_stops = True
    advance(harness, 2.0)
    assert [order.task for _, order in harness.workers.stops].count(order.task) == 1
    assert harness.state.task(order.task).run == 1
    assert_started_once(harness)


def test_a_new_owner_finishes_what_the_lost_one_began():
    """Guards against a task that runs twice, or an end that is missed, when the owner is lost."""
    harness = start_owner(2, bulk=2)
    job_id = submit(harness)
    advance(harness, 0.3)
    ((victim, run),) = stopped(harness)
    harness.owner.stop()  # between the stop and the start
    advance(harness, 0.1)
    heir = succeed_owner(harness)
    heir.owner.start()
    advance(heir, 0.2)
    advance(heir, 3.0)
    assert heir.state.jobs[job_id].state is JobState.COMPLETED
    assert (heir.state.task(victim).run, heir.state.task(victim).failures) == (run + 1, 0)
    assert list(stopped(heir)) == [(victim, run)]
    assert_started_once(heir)


def test_a_new_owner_stops_nothing_before_most_workers_have_reported():
    """Guards against runs stopped for room that other workers, not known yet, have."""
    harness = start_owner(1, 0, bulk=1)
    harness.workers.silent = {"w2"}
    heir = succeed_owner(harness)
    heir.apply(cmds.PutWorker(worker("w2", capacity=Resources(0, 0), address="w2:1")))
    harness.owner.stop()
    heir.owner.start()
    # The runs of the former owner are known no better, so one of the heir's own has to be there.
    harness.workers.end("w0", TaskId(BULK, 0, 0, 0), EndKind.STOPPED)
    advance(heir, 0.5)
    submit(heir)
    advance(heir, 1.0)
    assert not stopped(heir)
    harness.workers.silent = set()
    advance(heir, 2.0)
    submit(heir, 1)
    advance(heir, 1.0)
    assert len(stopped(heir)) == 1


def test_the_runs_stopped_in_a_second_are_a_tenth_of_the_pool():
    """Guards against a burst of urgent jobs that empties the pool of all other work."""
    harness = start_owner(30, bulk=30)
    for number in range(10):
        submit(harness, number)
    advance(harness, 1.0)
    assert len(stopped(harness)) == 3


def test_the_room_goes_to_the_job_for_which_the_run_was_stopped():
    """Guards against a stop whose room a job takes that is first in order but can wait."""
    harness = start_owner(1, bulk=1)
    patient = submit(harness, 1, step(estimate_s=10.0), queue="high")
    urgent = submit(harness, 2)
    advance(harness, 1.0)
    started = [order.task.job for _, order in harness.workers.starts]
    assert started == [BULK, urgent]
    advance(harness, 2.0)
    assert harness.workers.starts[2][1].task.job == patient


def test_the_room_of_a_gang_is_kept_until_all_its_members_can_start():
    """Guards against room for a gang that other jobs take piece by piece."""
    harness = start_owner(10, 10, bulk=20)
    harness.workers.grace_s = 60.0  # the test ends the runs
    gang = submit(harness, 1, step(2, gang=True))
    submit(harness, 2, step(4, estimate_s=10.0), queue="high")
    advance(harness, 0.2)
    victims = [(name, order.task) for name, order in harness.workers.stops]
    assert len(victims) == 2
    for name, task in victims:
        assert len(harness.workers.starts) == 20
        harness.workers.end(name, task, EndKind.STOPPED)
        advance(harness, 0.1)
    assert [order.task.job for _, order in harness.workers.starts[20:]] == [gang, gang]


def test_without_lower_standing_or_with_the_switch_off_nothing_is_stopped():
    """Guards against a change for deployments without priorities, weights or late jobs."""
    for fields, policy in (({"queue": "bulk"}, POLICY), ({}, replace(POLICY, preemption=False))):
        harness = start_owner(1, bulk=1, policy=policy)
        submit(harness, **fields)
        advance(harness, 3.0)
        assert not harness.workers.stops
        assert all(task.run == 1 for task in tasks_of(harness.state.jobs[BULK]))


def test_the_stop_of_a_gang_reaches_a_member_whose_worker_did_not_answer():
    """Guards against a gang of which one member runs on while the others wait for it for ever."""
    harness = start_owner(9, 9, bulk=18)
    for name in ("w0", "w1"):
        fields = {"capacity": Resources(10_000, 64_000), "address": f"{name}:1"}
        harness.commit(cmds.PutWorker(worker(name, **fields)))
    members = step(2, gang=True, max_per_worker=1, estimate_s=20.0)
    gang = submit(harness, 1, members, queue="bulk", payload="stays")
    advance(harness, 0.1)
    harness.workers.acknowledges_stops = False
    submit(harness, 2, step(2))
    advance(harness, 0.1)
    assert {order.task.job for _, order in harness.workers.stops} == {gang}
    harness.workers.acknowledges_stops = True
    harness.workers.unreachable = {"w1"}
    harness.workers.holds.pop("w1").errback(CallFailed("no response in time", sent=True))
    advance(harness, 1.5)
    tasks = list(tasks_of(harness.state.jobs[gang]))
    assert {task.phase for task in tasks} == {TaskPhase.WAITING, TaskPhase.ASSIGNED}
    harness.workers.unreachable = set()
    advance(harness, 3.0)
    assert [(task.phase, task.run) for task in tasks] == [(TaskPhase.ASSIGNED, 2)] * 2
    assert_started_once(harness)


def test_a_run_that_is_done_in_spite_of_its_stop_teaches_its_whole_duration():
    """Guards against durations that are measured from the stop, and so are far too short."""
    harness = start_owner(2, bulk=2)
    learned = []
    harness.owner._durations.observe = lambda run, _now: learned.append(run.observed_s)
    submit(harness)
    advance(harness, 0.2)
    ((victim, _run),) = stopped(harness)
    harness.workers.end("w0", victim, EndKind.DONE)
    advance(harness, 0.1)
    assert learned == [pytest.approx(0.8, abs=0.15)]
