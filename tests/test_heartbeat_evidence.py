"""What heartbeats prove: one may be delayed, from another writer, or sent after a clock was set."""

from __future__ import annotations

import pytest

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import TaskPhase
from geraniumtrack.jobs.state.model import Resources, TaskId
from tests.jobs_support import JOB_ID, OwnerHarness, config, job, queue, step, worker

FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)
BORN = 100
LATER, EARLIER = 900, 50  # born of incarnations whose clocks had been ahead, or were set back


def start_harness(*, tasks: int = 1, busy: bool = True) -> OwnerHarness:
    """Returns an owner with the workers `w1`, which has room and runs the tasks, and `spare`."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker(born=BORN)))
    harness.workers.present[worker().address] = ("w1", BORN)
    harness.owner.start()
    harness.run(0.2)
    if busy:
        harness.commit(cmds.SubmitJob(job(step(tasks))))
        harness.run(0.1)
    harness.commit(cmds.PutWorker(worker("spare")))
    harness.run(0.1)
    return harness


def run_with_reports(harness: OwnerHarness, seconds: float) -> None:
    """Runs the clock while all workers report every 0.1 s."""
    for _ in range(round(seconds * 10)):
        harness.run(0.1)
        for name in list(harness.workers.holds):
            harness.workers.report(name)


def beat(harness: OwnerHarness, name: str, sequence: int = 1, **fields) -> None:
    """Delivers a heartbeat."""
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(name, **fields), sequence))
    harness.run()


def become(harness: OwnerHarness, name: str, born: int) -> None:
    """Ends the worker `w1` with its runs and starts another incarnation at its address."""
    harness.workers.present[worker().address] = (name, born)
    harness.workers.running.pop("w1", None)
    hold = harness.workers.holds.pop("w1", None)
    if hold is not None:
        hold.errback(CallFailed("connection lost", sent=True, closed=True))


def runs(harness: OwnerHarness) -> list[tuple[str, int]]:
    """Returns worker and run of each start order."""
    return [(name, order.run) for name, order in harness.workers.starts]


def assert_undisturbed(harness: OwnerHarness) -> None:
    """Checks that `w1` runs its task as before and that it alone is used at its address."""
    run_with_reports(harness, 12.0)
    assert runs(harness) == [("w1", 1)]
    assert harness.state.workers["w1"].born == BORN
    assert set(harness.state.workers) == {"w1", "spare"}
    assert harness.state.task(FIRST_TASK).crashes == ()
    harness.workers.end("w1", FIRST_TASK)
    harness.run(0.2)
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.DONE


# Delayed heartbeats of workers that have ended.


@pytest.mark.parametrize("born", [LATER, EARLIER, BORN])
def test_a_delayed_heartbeat_of_a_former_worker_at_an_address_ends_no_run(born):
    """Guards against a second run: the clock of a crashed worker had been ahead."""
    harness = start_harness()
    beat(harness, "old", born=born, address=worker().address)
    assert_undisturbed(harness)


@pytest.mark.parametrize("born", [LATER, EARLIER])
def test_a_delayed_heartbeat_of_a_former_worker_on_an_instance_ends_no_run(born):
    """Guards against a second run: the clock of a crashed worker had been ahead."""
    harness = start_harness()
    harness.workers.ended.add("old")
    beat(harness, "old", born=born, instance="m-w1")
    assert_undisturbed(harness)


@pytest.mark.parametrize("born", [LATER, EARLIER, 0])
def test_a_delayed_heartbeat_of_a_former_incarnation_ends_no_run(born):
    """Guards against a worker that is lost as its former incarnation seems to be the later one.

    Also guards against a heartbeat of another writer, which lacks `born`.
    """
    harness = start_harness()
    beat(harness, "w1", 10**9, born=born)
    assert_undisturbed(harness)


def test_a_worker_that_no_answer_shows_proves_no_end_behind_a_cut():
    """Guards against a second run: the worker that was there runs on until its lease is over."""
    harness = start_harness()
    harness.workers.report("w1")
    harness.workers.unreachable.update({"w1", "new"})
    harness.workers.holds.pop("w1").errback(CallFailed("connection lost", sent=True, closed=True))
    beat(harness, "new", born=LATER, address=worker().address)
    run_with_reports(harness, 3.0)
    assert runs(harness) == [("w1", 1)]
    run_with_reports(harness, 3.0)
    assert runs(harness) == [("w1", 1), ("spare", 2)]


def test_a_sequence_of_another_incarnation_outdates_no_heartbeat():
    """Guards against a worker whose own heartbeats are ignored from then on."""
    harness = start_harness()
    beat(harness, "w1", 10**9, born=LATER)
    beat(harness, "w1", 10**9, born=0)
    small = Resources(500, 500)
    beat(harness, "w1", 7, born=BORN, capacity=small)
    assert harness.state.workers["w1"].capacity == small


def test_an_incarnation_that_answers_is_registered_without_a_crash_counted_twice():
    """Guards against crashes that a heartbeat alone, or each of several heartbeats, counts."""
    harness = start_harness()
    for sequence in (1, 2):
        beat(harness, "new", sequence, born=LATER, instance="m-w1", address=worker().address)
    assert harness.state.task(FIRST_TASK).crashes == ()
    become(harness, "new", LATER)
    for sequence in (3, 4):
        beat(harness, "new", sequence, born=LATER, instance="m-w1", address=worker().address)
    assert set(harness.state.workers) == {"new", "spare"}
    assert len(harness.state.task(FIRST_TASK).crashes) == 1


def test_the_connections_of_a_check_that_fails_are_closed():
    """Guards against clients that add up, one for each heartbeat of an incarnation that ended."""
    harness = start_harness()
    closed: list = []
    harness.workers.disconnect = closed.append
    for born in (LATER, EARLIER):
        beat(harness, "w1", born=born)
    assert [item.born for item in closed] == [LATER, EARLIER]
    beat(harness, "w1", 2, born=BORN, draining=True)
    assert len(closed) == 2


def test_a_lost_run_is_no_crash_before_the_next_worker_answers():
    """Guards against a job that is ended by crashes of a worker that was only cut off."""
    harness = start_harness()
    harness.workers.report("w1")
    harness.workers.unreachable.update({"w1", "new"})
    harness.workers.holds.pop("w1").errback(CallFailed("no response in time", sent=True))
    run_with_reports(harness, 14.0)
    assert "w1" not in harness.state.workers
    beat(harness, "new", born=LATER, instance="m-w1")
    assert harness.state.task(FIRST_TASK).crashes == ()


# Clocks that were set back.


@pytest.mark.parametrize("shared", ["address", "instance"])
def test_a_worker_whose_clock_was_set_back_replaces_the_former_one_under_a_new_id(shared):
    """Guards against a sound worker that is of no use until the former one is forgotten."""
    harness = start_harness()
    fields = {shared: getattr(worker(), shared)}
    if shared == "address":
        become(harness, "new", EARLIER)
    else:
        harness.workers.ended.add("w1")
    beat(harness, "new", born=EARLIER, **fields)
    run_with_reports(harness, 0.5)
    assert set(harness.state.workers) == {"new", "spare"}
    assert [run for _, run in runs(harness)] == [1, 2]


@pytest.mark.parametrize("busy", [False, True])
def test_a_worker_whose_clock_was_set_back_is_used_again_under_its_id(busy):
    """Guards against a worker that is of no use for good, as its answers extend its lease.

    Orders may have reached the new incarnation, so tasks wait for the longest lease.
    """
    harness = start_harness(busy=busy)
    become(harness, "w1", EARLIER)
    for sequence in range(1, 25):
        beat(harness, "w1", sequence, born=EARLIER)
        if busy and sequence < 20:
            assert runs(harness) == [("w1", 1)]
        if not busy:
            assert harness.state.workers["w1"].born == EARLIER
        run_with_reports(harness, 1.0)
    assert harness.state.workers["w1"].born == EARLIER
    assert harness.owner.sessions["w1"].usable
    assert [run for _, run in runs(harness)] == ([1, 2] if busy else [])


# Other writers.


@pytest.mark.parametrize(
    "fields",
    [
        {"address": "10.9.9.9:80"},
        {"address": "10.9.9.9:80", "instance": "m-other"},
        {"instance": "m-other"},
        {"instance": ""},
        {"pool": "nowhere"},
    ],
)
def test_a_heartbeat_that_contradicts_its_incarnation_is_ignored(fields):
    """Guards against a sound worker that is called at another address and taken for ended.

    Also guards against its own heartbeats being ignored from then on.
    """
    harness = start_harness()
    harness.workers.present["10.9.9.9:80"] = ("w8", 7)
    beat(harness, "w1", 10**9, born=BORN, **fields)
    run_with_reports(harness, 0.5)
    beat(harness, "w1", 7, born=BORN, labels=("a", "r1", "new"))
    assert harness.state.workers["w1"].labels == ("a", "r1", "new")
    assert harness.state.workers["w1"].address == worker().address
    assert_undisturbed(harness)


@pytest.mark.parametrize("draining", [False, True])
def test_an_announced_end_frees_no_task_while_the_worker_answers(draining):
    """Guards against a second run: the announcement is delayed, or is another writer's."""
    harness = start_harness()
    if draining:
        beat(harness, "w1", 7, born=BORN, draining=True)
    harness.owner.registry.handle_leave("w1", 0)
    assert_undisturbed(harness)
