"""Which jobs have begun, as callers see it: only on the evidence of a worker."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.runs.begun_jobs import MAX_DELAY_S
from geraniumtrack.jobs.runs.worker_port import RunningTask, StartOutcome
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import EndKind, JobState, RunEnd, TaskId
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import (
    JOB_ID,
    OwnerHarness,
    config,
    job,
    queue,
    record_ends,
    record_start,
    step,
    weighted_config,
    worker,
)

FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)
VISIBLE_S = 2.0  # a count may be that old


class System:
    """A service with one worker whose starts have an outcome, and a job of one task.

    Args:
        outcome: Outcome of its starts.
        lasting: Whether the task is a service task.
    """

    def __init__(self, outcome: StartOutcome, *, lasting: bool = False) -> None:
        self.harness = OwnerHarness()
        self.workers = self.harness.workers
        self.workers.outcome = outcome
        self.harness.apply(
            cmds.Configure(config(queue(public=True))),
            cmds.PutWorker(worker()),
            cmds.SubmitJob(job(step(lasting=lasting))),
        )
        self.harness.owner.start()
        self.harness.run(VISIBLE_S)

    def shown(self) -> tuple[int, str]:
        """Returns the number of queued jobs, and the state of the job."""
        return shown(self.harness)


def shown(harness: OwnerHarness) -> tuple[int, str]:
    """Returns what callers are shown: the number of queued jobs, and the state of the job."""
    service = JobService(
        state=lambda: harness.state,
        propose=harness.commit,
        owner=lambda: harness.owner,
        wall_clock=harness.clock.seconds,
    )
    values = []
    for path in ("/proofs/", f"/proofs/{JOB_ID}"):
        query = msgs.JobQuery(msgs.JobRequest("h", path, ""))
        service.answer(query).addCallback(lambda answer: values.append(answer.value))
    return tuple(values)


@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize(
    "outcome", [StartOutcome.UNHEALTHY, StartOutcome.NO_ROOM, StartOutcome.UNKNOWN]
)
def test_a_job_whose_start_is_refused_or_unanswered_is_queued(outcome, lasting):
    """Guards against a queue that says nothing waits, as its only worker refuses all starts."""
    system = System(outcome, lasting=lasting)
    assert system.workers.starts
    assert system.harness.state.jobs[JOB_ID].started  # its place in the order is kept
    assert system.shown() == (1, JobState.QUEUED)


def test_a_job_whose_start_is_not_answered_yet_is_queued():
    """Guards against a queue that says nothing waits, while its worker holds back its answers."""
    system = System(StartOutcome.UNKNOWN)
    system.workers.start = lambda *_args, **_options: Deferred()
    system.harness.run(VISIBLE_S)
    assert system.shown() == (1, JobState.QUEUED)


def test_a_job_whose_start_is_acknowledged_is_running():
    """Guards against jobs that seem to wait while they run."""
    assert System(StartOutcome.STARTED).shown() == (0, JobState.RUNNING)


def test_a_job_that_a_report_shows_is_running_though_its_start_got_no_answer():
    """Guards against a job that seems to wait until its first task has ended."""
    system = System(StartOutcome.UNKNOWN)
    order = system.workers.starts[-1][1]
    row = RunningTask(FIRST_TASK, order.run, "", 100, 0)
    system.workers.running["w1"] = {FIRST_TASK: row}
    system.workers.report("w1")
    system.harness.run(VISIBLE_S)
    assert system.shown() == (0, JobState.RUNNING)


def test_a_repeated_start_that_is_outdated_proves_nothing():
    """Guards against a stop that overtook the start and is taken for a run."""
    system = System(StartOutcome.UNHEALTHY)
    outcomes = iter([StartOutcome.UNKNOWN])
    start = system.workers.start

    def start_once_unclear(*args, **options):
        system.workers.outcome = next(outcomes, StartOutcome.OUTDATED)
        return start(*args, **options)

    system.workers.start = start_once_unclear
    system.harness.run(0.5)
    assert len({order.run for _, order in system.workers.starts}) > 1
    assert system.shown() == (1, JobState.QUEUED)


def test_a_job_that_has_begun_stays_so_while_its_task_waits_again():
    """Guards against a count of jobs that rises with each worker that ends."""
    system = System(StartOutcome.STARTED)
    system.workers.outcome = StartOutcome.UNHEALTHY
    system.workers.end("w1", FIRST_TASK, EndKind.FAILED)
    system.harness.run(VISIBLE_S)
    assert system.shown() == (0, JobState.RUNNING)


def test_the_next_owner_knows_what_has_begun():
    """Guards against a running job that is queued again after a change of owner."""
    former = System(StartOutcome.STARTED).harness
    assert former.owner.begun_jobs.take(with_others=True) == ()  # all are committed
    former.owner.stop()
    following = OwnerHarness(state=JobsState.load(encode(former.state.capture())), term=8)
    following.workers.silent = {"w1"}
    following.owner.start()
    following.run(0.1)
    assert shown(following) == (0, JobState.RUNNING)


@pytest.mark.parametrize("begun", [False, True])
def test_the_next_owner_finds_out_what_had_begun_when_its_predecessor_ended(begun):
    """Guards against a start committed by a former owner that counts as begun, or never does."""
    state = JobsState()
    for command in (
        cmds.Configure(config(queue(public=True))),
        cmds.PutWorker(worker()),
        cmds.SubmitJob(job(step())),
        record_start(FIRST_TASK, 1, "w1"),
    ):
        state.apply(command)
    following = OwnerHarness(state=state, term=8)
    following.workers.outcome = StartOutcome.UNHEALTHY
    if begun:
        following.workers.running["w1"] = {FIRST_TASK: RunningTask(FIRST_TASK, 1, "", 100, 0)}
    assert shown(following) == (1, JobState.QUEUED)
    following.owner.start()
    following.run(VISIBLE_S)
    assert shown(following) == ((0, JobState.RUNNING) if begun else (1, JobState.QUEUED))


def test_a_committed_end_shows_that_a_job_has_begun():
    """Guards against a job that waits for its second task and seems not to have begun."""
    state = JobsState()
    state.apply(cmds.Configure(config(queue(public=True))))
    state.apply(cmds.PutWorker(worker()))
    state.apply(cmds.SubmitJob(job(step(2))))
    state.apply(record_start(FIRST_TASK, 1, "w1"))
    assert state.jobs[JOB_ID].queued
    state.apply(record_ends("w1", 1, RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")))
    assert not state.jobs[JOB_ID].queued


def test_begun_jobs_are_committed_with_what_else_is():
    """Guards against a commit of their own, which delays the next starts while the disk is slow."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue(public=True))), cmds.PutWorker(worker()))
    harness.owner.start()
    harness.run(1.0)
    for number in range(10):
        harness.commit(cmds.SubmitJob(job(step(), job_id=f"{number:016x}")))
        harness.run(0.1)
    harness.run(MAX_DELAY_S + 0.2)
    rows = [item for item in harness.commands if isinstance(item, cmds.RecordProgress)]
    begun = [job_id for item in rows for job_id in item.begun]
    assert sorted(begun) == sorted(harness.state.jobs)
    alone = [item for item in rows if not (item.ends or item.lost or item.starts)]
    assert [item.begun for item in alone] == [(f"{9:016x}",)]


def test_a_job_that_ended_does_not_begin():
    """Guards against a cancelled job that is shown as running, as its start was answered late."""
    state = JobsState()
    state.apply(cmds.SubmitJob(job(step())))
    state.apply(cmds.CancelJob(JOB_ID, 1.0))
    state.apply(cmds.RecordProgress(1.0, begun=(JOB_ID, "0" * 16)))
    assert state.jobs[JOB_ID].state is JobState.CANCELLED


def test_operators_see_the_jobs_that_wait_though_their_starts_were_refused():
    """Guards against a gauge of waiting jobs that is 0 while the only worker refuses starts."""
    harness = OwnerHarness()
    harness.workers.outcome = StartOutcome.UNHEALTHY
    harness.apply(weighted_config(queue(public=True), a=1.0), cmds.PutWorker(worker()))
    harness.apply(cmds.SubmitJob(job(step(), team="a")))
    harness.owner.start()
    harness.run(VISIBLE_S)
    assert 'team_waiting_jobs{rate="within",team="a"} 1' in metrics.render()
    harness.owner.stop()
