"""When a task may be started again: only once its last run has certainly ended."""

from __future__ import annotations

import dataclasses

import pytest

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.instances.machine_port import ChangeOutcome, InstanceState
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.runs.worker_port import RunningTask, StartOutcome, WorkerRestarted
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import TaskPhase
from geraniumtrack.jobs.state.model import EndKind, JobState, RunEnd, TaskId
from tests.jobs_support import (
    JOB_ID,
    OwnerHarness,
    config,
    instance,
    job,
    queue,
    step,
    worker,
)

FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)


def start_harness(*names: str, outcome: StartOutcome = StartOutcome.STARTED, **fields):
    """Returns an owner that has ordered one task, the worker that got it, and the other ones."""
    harness = OwnerHarness(*(instance(name) for name in names))
    harness.apply(cmds.Configure(config(queue())))
    harness.apply(*(cmds.PutWorker(worker(name)) for name in names))
    harness.owner.start()
    harness.run(0.2)
    harness.workers.outcome = outcome
    harness.commit(cmds.SubmitJob(job(step(**fields))))
    harness.run(0.1)
    first = harness.workers.starts[0][0]
    return harness, first, [name for name in names if name != first]


def run_with_reports(harness: OwnerHarness, seconds: float, *names: str) -> None:
    """Runs the clock while the workers `names` report every 0.1 s."""
    for _ in range(round(seconds * 10)):
        harness.run(0.1)
        for name in names:
            harness.workers.report(name)


def restart(harness: OwnerHarness, name: str, *, run: int = 0) -> None:
    """Registers the next incarnation of a worker, which runs the first task if `run` is given."""
    row = RunningTask(FIRST_TASK, run, "", 100, 0)
    harness.workers.running[name] = {FIRST_TASK: row} if run else {}
    harness.workers.holds.pop(name, None)
    born = harness.state.workers[name].born + 1
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(name, born=born), 1))


def runs_started(harness: OwnerHarness) -> list[tuple[str, int]]:
    """Returns worker and run of each start order; copies of an order count once."""
    return list(dict.fromkeys((name, order.run) for name, order in harness.workers.starts))


# A worker that restarts under its id.


def test_a_start_that_reached_a_restarted_worker_is_not_repeated_elsewhere():
    """Guards against two runs at once: a copy of the order reaches the later incarnation."""
    harness, first, others = start_harness("w1", "w2", outcome=StartOutcome.UNKNOWN)
    harness.workers.outcome = StartOutcome.STARTED
    restart(harness, first, run=1)
    run_with_reports(harness, 3.0, first, *others)
    assert runs_started(harness) == [(first, 1)]
    task = harness.state.task(FIRST_TASK)
    assert (task.phase, task.worker_born) == (TaskPhase.ASSIGNED, 2)
    harness.workers.end(first, FIRST_TASK)
    harness.run(0.1)
    assert task.phase is TaskPhase.DONE


def test_a_restarted_worker_refuses_an_unclear_start_before_the_task_starts_elsewhere():
    """Guards against two runs at once: the later incarnation executes the order late."""
    harness, first, others = start_harness("w1", "w2", outcome=StartOutcome.UNKNOWN)
    harness.workers.outcome = StartOutcome.STARTED
    harness.workers.acknowledges_stops = False
    restart(harness, first)
    run_with_reports(harness, 3.0, first, *others)
    assert runs_started(harness) == [(first, 1)]
    harness.workers.acknowledges_stops = True
    run_with_reports(harness, 1.5, first, *others)
    assert [run for _, run in runs_started(harness)] == [1, 2]


def test_a_stop_that_the_former_incarnation_acknowledged_does_not_count():
    """Guards against two runs at once: only the one that acknowledged a stop refuses the run."""
    harness, first, others = start_harness("w1", "w2", outcome=StartOutcome.UNKNOWN)
    run_with_reports(harness, 0.2, first)
    assert [order.run for _, order in harness.workers.stops] == [1]
    harness.workers.outcome = StartOutcome.STARTED
    harness.workers.acknowledges_stops = False
    restart(harness, first)
    run_with_reports(harness, 3.0, first, *others)
    assert runs_started(harness) == [(first, 1)]


def test_the_tasks_of_a_restarted_worker_start_again_once_it_has_reported():
    """Guards against tasks that wait for a lease although their worker shows that they ended."""
    harness, first, others = start_harness("w1", "w2")
    restart(harness, first)
    run_with_reports(harness, 0.5, first, *others)
    assert [run for _, run in runs_started(harness)] == [1, 2]


@pytest.mark.parametrize("registers", [True, False])
def test_the_answer_of_a_later_incarnation_frees_no_task_before_it_is_registered(registers):
    """Guards against two runs at once: the one that answers may have received the orders."""
    harness, first, others = start_harness("w1", "w2")
    harness.workers.holds.pop(first).errback(WorkerRestarted())
    harness.workers.unreachable.add(first)
    run_with_reports(harness, 2.0, *others)
    assert runs_started(harness) == [(first, 1)]
    if registers:
        harness.workers.unreachable.clear()
        restart(harness, first)
        run_with_reports(harness, 0.5, first, *others)
    else:
        run_with_reports(harness, 7.8, *others)
        assert runs_started(harness) == [(first, 1)]
        run_with_reports(harness, 0.8, *others)
    assert [run for _, run in runs_started(harness)] == [1, 2]


def test_a_task_of_a_restarted_worker_keeps_the_checkpoint_that_was_reported_last():
    """Guards against lost work: the later incarnation knows no checkpoint of the former run."""
    harness, first, others = start_harness("w1", "w2", checkpoints=True)
    rows = harness.workers.running[first]
    rows[FIRST_TASK] = rows[FIRST_TASK]._replace(checkpoint="c5")
    harness.workers.report(first)
    restart(harness, first)
    run_with_reports(harness, 0.5, first, *others)
    assert [(order.run, order.checkpoint) for _, order in harness.workers.starts] == [
        (1, ""),
        (2, "c5"),
    ]


# Reports that may be incomplete.


@pytest.mark.parametrize("new_owner", [False, True])
def test_a_run_whose_end_is_in_a_later_report_is_not_started_again(new_owner):
    """Guards against tasks that are done and run again: a report lists only some of the ends."""
    harness, first, _ = start_harness("w1", count=5)
    if new_owner:
        harness.owner.stop()
        harness = OwnerHarness(
            workers=harness.workers, state=harness.state, term=8, clock=harness.clock
        )
    harness.workers.ends_per_report = 2
    tasks = list(harness.workers.running[first])
    harness.workers.ends[first] = [
        RunEnd(number, task, 1, EndKind.DONE, "") for number, task in enumerate(tasks, 1)
    ]
    harness.workers.running[first].clear()
    if new_owner:
        harness.owner.start()
    else:
        harness.workers.report(first)
    harness.run(0.5)
    assert harness.state.jobs[JOB_ID].state is JobState.COMPLETED
    assert len(harness.workers.starts) == 5


# Orders for the instance of a worker.


@pytest.mark.parametrize("name", ["w1", "w2"])
def test_a_repeated_order_ends_no_worker_that_joined_after_the_first_one(name):
    """Guards against a worker that is taken for ended: the answer 200 may mean the first order."""
    harness = OwnerHarness(instance("w1"))
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker("w1")))
    harness.owner.start()
    harness.run(1.2)
    harness.machines.outcome = ChangeOutcome.UNCLEAR
    harness.commit(cmds.StartMaintenance(1, ("m-w1",), harness.clock.seconds() + 5.0, 1))
    harness.run(0.2)
    harness.machines.outcome = ChangeOutcome.DONE
    joined = worker(name, born=2, instance="m-w1")
    command = cmds.RestartWorker if name == "w1" else cmds.ReportWorker
    harness.commit(command(joined, 1))
    harness.run(1.0)
    assert len(harness.machines.orders) == 2
    assert harness.state.workers == {name: joined}


# The platform's instance list.


def lose(harness: OwnerHarness, name: str) -> None:
    """Resets the connections to a worker and refuses new ones."""
    harness.workers.ended.add(name)
    harness.workers.holds.pop(name).errback(CallFailed("connection lost", sent=True, closed=True))


def list_instance(harness: OwnerHarness, name: str, **fields) -> None:
    """Changes the entry of a worker's instance in the instance list; removes it without fields."""
    rows = [row for row in harness.machines.listed if row.worker != name]
    if fields:
        rows.append(dataclasses.replace(instance(name), **fields))
    harness.machines.listed = rows


@pytest.mark.parametrize(
    "case", ["listed", "unknown state", "no worker named", "incomplete", "twice", "answers"]
)
def test_an_instance_list_that_may_have_the_worker_proves_no_end(case):
    """Guards against two runs at once: a worker that is cut off runs on and stays listed."""
    harness, first, others = start_harness("w1", "w2")
    if case == "unknown state":
        list_instance(harness, first, state=InstanceState.UNKNOWN, worker="")
    elif case == "no worker named":
        list_instance(harness, first, worker="")
    elif case == "incomplete":
        list_instance(harness, first)
        harness.machines.complete = False
    elif case == "twice":
        down = dataclasses.replace(instance(first), state=InstanceState.DOWN, worker="")
        harness.machines.listed.append(down)
    elif case == "answers":
        list_instance(harness, first)
    if case == "answers":
        run_with_reports(harness, 4.0, first, *others)
    else:
        lose(harness, first)
        run_with_reports(harness, 4.0, *others)
    assert runs_started(harness) == [(first, 1)]


def test_a_worker_that_no_list_has_shown_is_not_taken_for_ended():
    """Guards against two runs at once: a worker that has just started may not be listed yet."""
    harness, first, others = start_harness("w1", "w2")
    new = "w2" if first == "w1" else "w1"
    harness.machines.listed = [row for row in harness.machines.listed if row.worker == first]
    harness.owner.stop()
    following = OwnerHarness(
        workers=harness.workers,
        machines=harness.machines,
        state=harness.state,
        term=8,
        clock=harness.clock,
    )
    list_instance(following, first)
    following.owner.start()
    following.run(0.2)
    lose(following, first)
    run_with_reports(following, 4.0, new)
    assert runs_started(following) == [(first, 1)]
    assert others == [new]


def test_no_copy_of_a_start_leaves_once_a_report_shows_the_run():
    """Guards against a second run: the copy's connection opens after its worker has restarted."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker("w1")))
    harness.owner.start()
    harness.run(0.2)
    harness.workers.outcome = StartOutcome.UNKNOWN

    def report_run_before_the_copy():
        if harness.workers.starts:
            row = RunningTask(FIRST_TASK, 1, "", 100, 0)
            harness.workers.running["w1"] = {FIRST_TASK: row}
            harness.workers.report("w1")

    harness.workers.on_connected = report_run_before_the_copy
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    assert len(harness.workers.starts) == 1
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.ASSIGNED
