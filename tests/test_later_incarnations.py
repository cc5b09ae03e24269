"""Orders for an incarnation of a worker that a later one with the same id executes."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.testing import MemoryReactorClock

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.runs.worker_port import HoldOrder, StartOutcome, WorkerRestarted
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import TaskPhase
from geraniumtrack.jobs.state.model import TaskId
from geraniumtrack.platform.worker_client import WorkerClient
from tests.jobs_support import (
    JOB_ID,
    FakeWorkers,
    OwnerHarness,
    SlowCommits,
    config,
    job,
    queue,
    step,
    worker,
)
from tests.test_end_evidence import restart, run_with_reports, runs_started

FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)
BORN, LATER, EARLIER = 100, 200, 50


class SameIdWorkers(FakeWorkers):
    """Workers whose later incarnation executes holds for the former one, as the id is the same."""

    def hold(self, worker, order, *, may_send) -> Deferred:
        present = self.present.get(worker.address)
        others = present is not None and present[0] == worker.id and present[1] != worker.born
        if others and worker.id not in self.unreachable and may_send():
            self.last_acked[worker.id] = order.last_acked
            ends = self.ends.get(worker.id, [])
            self.ends[worker.id] = [end for end in ends if end.number > order.last_acked]
            return fail(WorkerRestarted())
        return super().hold(worker, order, may_send=may_send)


class HeldUpStarts(FakeWorkers):
    """Workers that receive the second copy of each start at once, and the first one late."""

    def __init__(self) -> None:
        super().__init__()
        self.held_up: set = set()

    def start(self, worker, order, *, may_send) -> Deferred:
        key = (order.task, order.run)
        if key in self.held_up or not may_send():
            return super().start(worker, order, may_send=may_send)
        self.held_up.add(key)
        self.starts.append((worker.id, order))
        return succeed(StartOutcome.UNKNOWN)


def start_harness(workers: FakeWorkers, **fields) -> OwnerHarness:
    """Returns an owner whose only worker `w1` has reported for 12 s."""
    harness = OwnerHarness(workers=workers, **fields)
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker(born=BORN)))
    workers.present[worker().address] = ("w1", BORN)
    harness.owner.start()
    run_with_reports(harness, 12.0, "w1")
    return harness


def add_spare(harness: OwnerHarness) -> None:
    """Adds a worker that has room for the tasks of `w1`."""
    harness.commit(cmds.PutWorker(worker("spare")))
    harness.run(0.1)


def silence(harness: OwnerHarness) -> None:
    """Cuts `w1` off; it was heard of just before, so it isn't forgotten."""
    sequence = round(harness.clock.seconds() * 10)
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(born=BORN), sequence))
    harness.workers.unreachable.add("w1")
    harness.workers.holds.pop("w1", None)


@pytest.mark.parametrize("new_owner", [False, True])
def test_no_hold_acknowledges_ends_that_a_later_incarnation_has_not_reported(new_owner):
    """Guards against a done task that runs again: a hold for its predecessor discards the end."""
    harness = start_harness(SameIdWorkers())
    harness.commit(cmds.SubmitJob(job(step(3), job_id="0" * 16)))
    harness.run(0.1)
    for index in range(3):
        harness.workers.end("w1", TaskId("0" * 16, 0, 0, index))
        harness.run(0.1)
    assert harness.state.last_committed_end["w1", BORN] == 3
    # The worker restarts; its former connection stays silent, so the owner doesn't notice.
    lost_hold = harness.workers.holds.pop("w1")
    harness.workers.present[worker().address] = ("w1", LATER)
    harness.workers.last_acked["w1"] = 0
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    assert runs_started(harness)[-1] == ("w1", 1)
    harness.workers.end("w1", FIRST_TASK)
    if new_owner:
        harness.owner.stop()
        harness = OwnerHarness(
            workers=harness.workers, state=harness.state, term=8, clock=harness.clock
        )
        harness.owner.start()
    else:
        lost_hold.errback(CallFailed("no response in time", sent=True))
    harness.run(0.3)
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(born=LATER), 1))
    run_with_reports(harness, 2.0, "w1")
    starts = [order.run for _, order in harness.workers.starts if order.task == FIRST_TASK]
    assert starts == [1]
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.DONE


def test_a_restarted_worker_refuses_a_start_with_an_unanswered_copy_before_it_is_repeated():
    """Guards against two runs at once: the later incarnation executes the unanswered copy late."""
    harness = start_harness(HeldUpStarts())
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    add_spare(harness)
    assert [order.run for _, order in harness.workers.starts] == [1, 1]
    harness.workers.acknowledges_stops = False
    harness.workers.present[worker().address] = ("w1", BORN + 1)
    restart(harness, "w1")
    run_with_reports(harness, 3.0, "w1", "spare")
    assert runs_started(harness) == [("w1", 1)]
    harness.workers.acknowledges_stops = True
    run_with_reports(harness, 1.5, "w1", "spare")
    assert [run for _, run in runs_started(harness)] == [1, 2]


def test_a_start_with_an_unanswered_copy_is_given_up_after_the_longest_lease():
    """Guards against two runs at once: a later incarnation, unnoticed, executes that copy late."""
    harness = start_harness(HeldUpStarts())
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    add_spare(harness)
    run_with_reports(harness, 0.5, "w1", "spare")
    silence(harness)
    run_with_reports(harness, 9.0, "spare")
    assert runs_started(harness) == [("w1", 1)]
    run_with_reports(harness, 2.0, "spare")
    assert runs_started(harness) == [("w1", 1), ("spare", 2)]


def test_a_later_start_extends_the_longest_lease_of_a_run_that_no_report_shows():
    """Guards against two runs at once: a deadline applies to everything that runs on a worker."""
    harness = start_harness(FakeWorkers())
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(1.0)
    harness.commit(cmds.SubmitJob(job(step(), job_id="0" * 16)))
    harness.run(0.1)
    assert [name for name, _ in harness.workers.starts] == ["w1", "w1"]
    left_at = harness.clock.seconds()
    add_spare(harness)
    silence(harness)
    run_with_reports(harness, left_at + 9.9 - harness.clock.seconds(), "spare")
    assert [name for name, _ in harness.workers.starts] == ["w1", "w1"]
    run_with_reports(harness, 1.0, "spare")
    assert [name for name, _ in harness.workers.starts] == ["w1", "w1", "spare", "spare"]


def test_a_service_task_of_a_worker_whose_clock_was_set_back_runs_again_within_nine_seconds():
    """Guards against a service task that is missing for long while its restarted worker answers."""
    harness = start_harness(FakeWorkers(), policy=PolicySettings(longest_lease_s=6.0))
    harness.commit(cmds.SubmitJob(job(step(lasting=True))))
    run_with_reports(harness, 1.0, "w1")
    add_spare(harness)
    harness.workers.present[worker().address] = ("w1", EARLIER)
    harness.workers.running.pop("w1")
    harness.workers.holds.pop("w1").errback(CallFailed("lost", sent=True, closed=True))
    for sequence in range(1, 10):
        harness.owner.registry.handle_heartbeat(Heartbeat(worker(born=EARLIER), sequence))
        run_with_reports(harness, 1.0, "w1", "spare")
    assert [order.run for _, order in harness.workers.starts] == [1, 2]


def test_a_call_goes_to_the_address_that_the_worker_has_then():
    """Guards against a sound worker that is called elsewhere for good: a check used its client."""
    reactor = MemoryReactorClock()
    client = WorkerClient(reactor)
    order = HoldOrder(7, last_acked=0, wait_s=0.0)
    for address in ("10.9.9.9:80", worker().address):
        client.hold(worker(address=address), order, may_send=lambda: True).addErrback(
            lambda _: None
        )
    hosts = [f"{host}:{port}" for host, port, *_ in reactor.tcpClients]
    assert hosts == ["10.9.9.9:80", worker().address]


def test_a_lost_run_is_logged_once_while_its_loss_is_being_committed(monkeypatch):
    """Guards against operators that see a run lost twice, and count it twice."""
    lines: list[tuple[str, dict]] = []
    monkeypatch.setattr(logs, "event", lambda name, **pairs: lines.append((name, pairs)))
    harness = SlowCommits()
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    harness.owner.start()
    harness.run(0.2)
    harness.commit(cmds.SubmitJob(job(step())))
    for _ in range(4):
        harness.flush()
        harness.run(0.1)
    harness.workers.report("w1")
    harness.workers.unreachable.add("w1")
    harness.workers.holds.pop("w1")
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(), 1))
    for _ in range(60):
        harness.run(0.1)
    assert [name for name, _ in lines].count("run_lost") == 1


def acknowledged(harness: OwnerHarness, sequence: int, **fields) -> bool:
    """Delivers a heartbeat; returns whether it is acknowledged."""
    results: list = []
    fut = harness.owner.registry.handle_heartbeat(Heartbeat(worker(**fields), sequence))
    fut.addCallbacks(lambda _: results.append(True), lambda _: results.append(False))
    harness.run()
    return results == [True]


def test_no_heartbeat_is_acknowledged_unchecked_once_the_lease_is_lost():
    """Guards against a worker that calls no other node, though this one ignored its heartbeat."""
    harness = start_harness(FakeWorkers())
    harness.may_act = False
    assert not acknowledged(harness, 1, born=LATER)


def test_no_end_is_acknowledged_and_ignored_as_the_first_heartbeat_was_of_another_writer():
    """Guards against tasks that are started on a worker whose announced end was acknowledged."""
    harness = start_harness(FakeWorkers())
    acknowledged(harness, 1, name="new", born=5, instance="m-other")
    run_with_reports(harness, 1.0, "w1", "new")
    if acknowledged(harness, 2, name="new", born=5, draining=True):
        assert not harness.owner.sessions["new"].usable
