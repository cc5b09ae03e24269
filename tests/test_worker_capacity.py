"""No start brings a worker over its capacity, which may shrink and grow while the worker runs."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.model import Resources, TaskId, WorkerInfo
from geraniumtrack.jobs.state import JobsState
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import JOB_ID, OwnerHarness, config, job, queue, step, worker

MEMORY_MB = 128_000
LARGE = Resources(64_000, MEMORY_MB)
SMALL = Resources(20_000, MEMORY_MB)
OTHER_JOB_ID = "0" * 16

# The task with index 0 in step 0 of occurrence 0 of each job.
FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)
OTHER_TASK = TaskId(OTHER_JOB_ID, 0, 0, 0)


class StalledCommits(OwnerHarness):
    """A harness whose commands are committed only on `release` while `stalled` is true."""

    def __init__(self, *args: Any, **fields: Any) -> None:
        super().__init__(*args, **fields)
        self.stalled = False
        self._proposed: list[tuple[Any, Deferred]] = []

    def commit(self, command: Any) -> Deferred:
        """Commits a command, at once or on `release`."""
        if not self.stalled:
            return super().commit(command)
        fut: Deferred = Deferred()
        self._proposed.append((command, fut))
        return fut

    def release(self) -> None:
        """Commits what was proposed, in the order of the proposals."""
        self.stalled = False
        proposed, self._proposed = self._proposed, []
        for command, fut in proposed:
            super().commit(command).chainDeferred(fut)


def start_harness(*workers: WorkerInfo) -> StalledCommits:
    """Starts an owner over one queue and these workers, or a worker `w1` with 64 cores."""
    harness = StalledCommits()
    harness.apply(cmds.Configure(config(queue())))
    for info in workers or (worker(),):
        harness.apply(cmds.PutWorker(info))
    harness.owner.start()
    harness.run()
    return harness


def send_heartbeat(harness: OwnerHarness, sequence: int, capacity: Resources, **fields) -> None:
    """Delivers a heartbeat of the worker `w1` to the owner."""
    info = worker(capacity=capacity, **fields)
    harness.owner.registry.handle_heartbeat(Heartbeat(info, sequence))


def submit(harness: StalledCommits, *steps, job_id: str = JOB_ID, stall: bool = False) -> None:
    """Submits a job and runs the scheduling pass that follows, whose commit may stall."""
    harness.commit(cmds.SubmitJob(job(*steps, job_id=job_id)))
    harness.stalled = stall
    harness.run(0.1)


def started_tasks(harness: OwnerHarness) -> list[TaskId]:
    """Returns the tasks of all start orders, first to last."""
    return [order.task for _, order in harness.workers.starts]


# Capacity that changes while the worker runs.


def take_over(harness: StalledCommits) -> StalledCommits:
    """Returns the harness of a new owner with the committed state and the runs of the workers."""
    successor = StalledCommits()
    successor.state = JobsState.load(encode(harness.state.capture()))
    successor.workers.running = harness.workers.running
    successor.workers.ends = harness.workers.ends
    harness.owner.stop()
    successor.owner.start()
    successor.run()
    return successor


def test_a_late_heartbeat_does_not_bring_a_former_capacity_back_after_a_change_of_owner():
    """Guards against starts over a capacity that has shrunk, until the next heartbeat."""
    harness = start_harness()
    send_heartbeat(harness, 4, LARGE)
    send_heartbeat(harness, 6, SMALL)
    successor = take_over(harness)
    send_heartbeat(successor, 5, LARGE)
    submit(successor, step(3, cpu=15_000))
    assert len(started_tasks(successor)) == 1


def test_heartbeats_that_arrive_in_reverse_order_leave_the_capacity_of_the_later_one():
    """Guards against a former capacity also when the first heartbeats of a worker change places."""
    harness = StalledCommits()
    harness.apply(cmds.Configure(config(queue())))
    harness.owner.start()
    harness.stalled = True
    send_heartbeat(harness, 2, SMALL)
    send_heartbeat(harness, 1, LARGE)
    harness.release()
    harness.run()
    submit(harness, step(3, cpu=15_000))
    assert len(started_tasks(harness)) == 1


def test_a_shrunk_capacity_counts_as_soon_as_its_heartbeat_arrives():
    """Guards against starts over a capacity that the worker has reported as shrunk."""
    harness = start_harness()
    send_heartbeat(harness, 1, SMALL)
    submit(harness, step(3, cpu=15_000))
    assert len(started_tasks(harness)) == 1


def test_a_new_owner_uses_the_capacity_that_its_predecessor_learnt():
    """Guards against a new owner that fills a worker up to its capacity before it shrank."""
    harness = start_harness()
    send_heartbeat(harness, 1, SMALL)
    successor = take_over(harness)
    submit(successor, step(3, cpu=15_000))
    assert len(started_tasks(successor)) == 1


def test_a_start_that_is_being_committed_is_not_sent_if_the_capacity_shrinks():
    """Guards against a start over the capacity: it was planned before the worker shrank."""
    harness = start_harness()
    submit(harness, step(2, cpu=15_000), stall=True)
    send_heartbeat(harness, 1, SMALL)
    harness.release()
    harness.run(0.2)
    assert started_tasks(harness) == [FIRST_TASK]
    send_heartbeat(harness, 2, LARGE)
    harness.run(0.2)
    assert len(started_tasks(harness)) == 2


def test_no_member_of_a_gang_starts_if_one_does_not_fit_any_more():
    """Guards against members of a gang that wait in vain for the one that was not started."""
    harness = start_harness()
    submit(harness, step(2, cpu=15_000, gang=True), stall=True)
    send_heartbeat(harness, 1, SMALL)
    harness.release()
    harness.run(0.2)
    assert started_tasks(harness) == []
    send_heartbeat(harness, 2, LARGE)
    harness.run(0.2)
    assert {order.run for _, order in harness.workers.starts} == {2}


def test_a_heartbeat_counts_while_the_commit_of_an_earlier_one_is_in_progress():
    """Guards against a larger capacity that stays because it was committed after a smaller one."""
    harness = start_harness(worker(capacity=SMALL))
    harness.stalled = True
    send_heartbeat(harness, 1, LARGE)
    send_heartbeat(harness, 2, SMALL)
    harness.release()
    submit(harness, step(3, cpu=15_000))
    assert len(started_tasks(harness)) == 1
    assert harness.state.workers["w1"].capacity == SMALL
