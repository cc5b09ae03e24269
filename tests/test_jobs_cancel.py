"""Cancelled jobs: nothing of them starts or keeps running, whatever is lost or late on the way."""

from __future__ import annotations

import pytest

from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.jobs.runs.sent_orders import StopReason
from geraniumtrack.jobs.runs.worker_port import StartOutcome
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import EndKind, JobState, TaskId
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import JOB_ID, OwnerHarness, config, job, queue, step, worker

# The task with index 0 in step 0 of occurrence 0 of the job.
FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)


class Caller:
    """Calls the service of a harness whose pool has one worker."""

    def __init__(self, *queues) -> None:
        self.harness = OwnerHarness()
        self.harness.apply(cmds.Configure(config(*(queues or (queue(public=True),)))))
        self.harness.apply(cmds.PutWorker(worker()))
        self.harness.owner.start()
        self.harness.run()
        self._service = JobService(
            state=lambda: self.harness.state,
            propose=self.harness.commit,
            owner=lambda: self.harness.owner,
            wall_clock=self.harness.clock.seconds,
        )

    def submit(self, prefix: str = "/proofs/") -> JobAnswer:
        """Submits the job."""
        call = msgs.SubmitCall(self._request(prefix), "x", (step(),), 0, 0.0, 0.0)
        return self._answer(call)

    def cancel(self, prefix: str = "/proofs/") -> JobAnswer:
        """Cancels the job."""
        return self._answer(msgs.CancelCall(self._request(prefix)))

    def query(self, prefix: str = "/proofs/") -> JobAnswer:
        """Asks for the state of the job."""
        return self._answer(msgs.JobQuery(self._request(prefix)))

    def _request(self, prefix: str) -> msgs.JobRequest:
        return msgs.JobRequest("h", prefix + JOB_ID, "")

    def _answer(self, call) -> JobAnswer:
        answers = []
        self._service.answer(call).addCallback(answers.append)
        self.harness.run(0.1)
        return answers[0]


def test_a_submission_that_arrives_after_its_cancellation_starts_nothing():
    """Guards against work that nobody waits for: an entry repeats a call whose caller has left."""
    caller = Caller()
    assert caller.cancel().kind == AnswerKind.NO_JOB
    assert caller.submit().kind == AnswerKind.OK
    assert caller.harness.workers.starts == []
    assert caller.query().value == JobState.CANCELLED


def test_a_cancellation_that_arrives_while_its_submission_is_committed_is_effective():
    """Guards against a job that runs on because its cancellation came a moment too early."""
    caller = Caller()
    state = caller.harness.state
    state.apply(cmds.SubmitJob(job(step())))
    state.apply(cmds.CancelSubmission(JOB_ID, "h", "/proofs/", 1.0))
    assert state.jobs[JOB_ID].state is JobState.CANCELLED


def test_a_cancelled_submission_is_unknown_until_it_arrives():
    """Guards against showing a job that nobody submitted."""
    caller = Caller()
    caller.cancel()
    assert caller.query().kind == AnswerKind.NO_JOB


def test_a_cancellation_in_one_queue_does_not_affect_a_job_of_another():
    """Guards against callers of an open queue who cancel jobs that they could not submit."""
    caller = Caller(queue(public=True), queue("mockups", public=True))
    caller.submit()
    assert caller.cancel("/mockups/").kind == AnswerKind.NO_JOB
    assert caller.query().value == JobState.RUNNING


def test_cancelled_submissions_are_forgotten_after_a_while():
    """Guards against a state that grows with each cancellation of an unknown job."""
    state = Caller().harness.state
    state.apply(cmds.CancelSubmission(JOB_ID, "h", "/proofs/", 1.0))
    state.apply(cmds.CancelSubmission("0" * 16, "h", "/proofs/", 1000.0))
    assert list(state.cancelled_submissions) == [("0" * 16, "h", "/proofs/")]


def test_a_snapshot_keeps_cancelled_submissions():
    """Guards against a cancellation that a restart forgets."""
    state = Caller().harness.state
    state.apply(cmds.CancelSubmission(JOB_ID, "h", "/proofs/", 1.0))
    loaded = JobsState.load(encode(state.capture()))
    loaded.apply(cmds.SubmitJob(job(step())))
    assert loaded.jobs[JOB_ID].state is JobState.CANCELLED


def test_a_lost_stop_of_a_cancelled_run_is_repeated_before_its_worker_reports():
    """Guards against a run that goes on for seconds after the cancellation of its job."""
    caller = Caller()
    caller.submit()
    workers = caller.harness.workers
    workers.acknowledges_stops = False
    caller.cancel()
    caller.harness.run(0.9)
    assert {order.run for _, order in workers.stops} == {1}
    assert len(workers.stops) >= 3


def test_an_acknowledged_stop_is_not_repeated():
    """Guards against needless orders."""
    caller = Caller()
    caller.submit()
    caller.cancel()
    caller.harness.run(1.0)
    assert len(caller.harness.workers.stops) == 1


def test_a_stop_is_not_repeated_without_the_leadership_lease():
    """Guards against orders of a former owner."""
    caller = Caller()
    caller.submit()
    caller.harness.workers.acknowledges_stops = False
    caller.cancel()
    sent = len(caller.harness.workers.stops)
    caller.harness.may_act = False
    caller.harness.run(1.0)
    assert len(caller.harness.workers.stops) == sent


def test_a_lost_stop_of_an_unclear_start_is_repeated_only_if_a_report_still_lacks_the_run():
    """Guards against ending a service task that began after the first stop was sent."""
    caller = Caller()
    unclear_start(caller)
    caller.harness.run(1.0)
    assert len(caller.harness.workers.stops) == 1


def test_a_job_of_a_renamed_queue_can_be_cancelled():
    """Guards against a job that runs on after its cancellation was answered as done."""
    caller = Caller()
    caller.submit()
    renamed = queue("sheets", prefix="/proofs/", public=True)
    caller.harness.commit(cmds.Configure(config(renamed, version=2)))
    assert caller.query().value == JobState.RUNNING
    assert caller.cancel().kind == AnswerKind.OK
    assert len(caller.harness.workers.stops) == 1


def unclear_start(caller: Caller) -> None:
    """Submits the job; its start stays unclear, and reports make the owner send a stop of it."""
    workers = caller.harness.workers
    workers.outcome = StartOutcome.UNKNOWN
    workers.acknowledges_stops = False
    caller.submit()
    for _ in range(2):  # only a report that was requested after the start is conclusive
        workers.report("w1")
        caller.harness.run(0.1)
    assert len(workers.stops) == 1


def test_a_cancel_just_after_the_lost_stop_of_an_unclear_start_is_repeated():
    """The start may still be executed late; its run must not go on until the next reports."""
    caller = Caller()
    unclear_start(caller)
    sent = len(caller.harness.workers.stops)
    caller.cancel()
    caller.harness.run(1.0)
    assert len(caller.harness.workers.stops) - sent >= 2


def test_the_stop_of_an_unclear_start_of_a_cancelled_job_is_repeated():
    """The next report still lacks the run; its stop is as final as that of a run it lists."""
    caller = Caller()
    unclear_start(caller)
    workers = caller.harness.workers
    caller.cancel()  # its stop is left out, see the test above
    caller.harness.run(0.5)
    sent = len(workers.stops)
    workers.report("w1")
    caller.harness.run(1.0)  # the next report would be due 1.2 s after this one
    assert len(workers.stops) - sent >= 2


def test_a_cancel_just_after_a_lost_stop_for_a_drain_is_repeated():
    """A stop that is not final must not take the place of one that is."""
    caller = Caller()
    caller.submit()
    workers = caller.harness.workers
    workers.acknowledges_stops = False
    session = caller.harness.owner.sessions["w1"]
    session.stop(FIRST_TASK, 1, StopReason.DRAIN, again_after_s=0.5)
    caller.cancel()
    caller.harness.run(1.0)
    assert len(workers.stops) >= 3


def test_a_final_stop_goes_on_after_a_moment_without_the_leadership_lease():
    """The lease may lapse for a moment without a change of owner."""
    caller = Caller()
    caller.submit()
    workers = caller.harness.workers
    workers.acknowledges_stops = False
    caller.cancel()
    caller.harness.may_act = False
    caller.harness.run(0.2)
    caller.harness.may_act = True
    sent = len(workers.stops)
    caller.harness.run(0.8)  # the next report is due after 1.2 s
    assert len(workers.stops) > sent


def test_a_cancellation_that_is_repeated_after_a_long_time_is_kept():
    """Guards against an error, and a lost cancellation, when the only one is repeated."""
    state = Caller().harness.state
    for at in (1.0, 1000.0):
        state.apply(cmds.CancelSubmission(JOB_ID, "h", "/proofs/", at))
    assert (JOB_ID, "h", "/proofs/") in state.cancelled_submissions


def test_a_cancellation_in_advance_holds_after_its_queue_was_renamed():
    """Guards against work that nobody waits for: callers know the address of a queue only."""
    caller = Caller()
    caller.cancel()
    renamed = queue("sheets", prefix="/proofs/", public=True)
    caller.harness.commit(cmds.Configure(config(renamed, version=2)))
    caller.submit()
    assert caller.harness.workers.starts == []


def test_a_job_whose_cancellation_overtook_its_commit_is_stopped_at_once():
    """Guards against a run that goes on until its worker's next report."""
    caller = Caller()
    caller.submit()
    caller.harness.commit(cmds.CancelSubmission(JOB_ID, "h", "/proofs/", 1.0))
    assert len(caller.harness.workers.stops) == 1


def test_the_other_runs_of_a_failed_job_are_stopped_at_once():
    """Guards against runs that nobody needs, and that a cancellation of the job doesn't end."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue(public=True, max_attempts=1))))
    harness.apply(cmds.PutWorker(worker("w1")), cmds.PutWorker(worker("w2")))
    harness.apply(cmds.SubmitJob(job(step(2, cpu=40_000))))
    harness.owner.start()
    harness.run()
    places = {worker_id: order.task for worker_id, order in harness.workers.starts}
    assert set(places) == {"w1", "w2"}
    harness.workers.end("w1", places["w1"], EndKind.FAILED)
    harness.run(0.1)
    assert harness.state.jobs[JOB_ID].state is JobState.FAILED
    assert [worker_id for worker_id, _ in harness.workers.stops] == ["w2"]


def test_a_cancellation_below_a_queue_is_not_answered_as_done():
    """Guards against a job of a removed queue that runs on, cancelled in the queue around it."""
    outer, inner = queue("a", public=True), queue("b", prefix="/a/x/", public=True)
    caller = Caller(outer, inner)
    caller.submit("/a/x/")
    caller.harness.commit(cmds.Configure(config(outer, version=2)))
    assert caller.cancel("/a/x/").kind == AnswerKind.NO_QUEUE
    assert caller.query("/a/x/").kind == AnswerKind.NO_QUEUE


def queues_a_and_b(prefix_of_a: str, prefix_of_b: str) -> tuple:
    """Returns two queues with these path prefixes."""
    prefixes = {"a": prefix_of_a, "b": prefix_of_b}
    return tuple(queue(name, prefix=prefix, public=True) for name, prefix in prefixes.items())


SWAP = cmds.Configure(config(*queues_a_and_b("/b/", "/a/"), version=2))


def test_a_job_can_be_cancelled_after_its_queue_has_swapped_addresses_with_another():
    """Guards against a job that runs on, since callers know addresses only."""
    caller = Caller(*queues_a_and_b("/a/", "/b/"))
    caller.submit("/a/")
    caller.harness.commit(SWAP)
    answer = caller.cancel("/a/")
    assert answer.kind == AnswerKind.OK
    assert len(caller.harness.workers.stops) == 1


def test_a_job_is_not_found_at_the_new_address_of_its_queue():
    """Guards against callers of an open queue who cancel jobs that they could not submit."""
    caller = Caller(*queues_a_and_b("/a/", "/b/"))
    caller.submit("/a/")
    caller.harness.commit(SWAP)
    assert caller.query("/b/").kind == AnswerKind.NO_JOB
    assert caller.cancel("/b/").kind == AnswerKind.NO_JOB
    caller.harness.commit(cmds.CancelSubmission(JOB_ID, "h", "/b/", 1.0))
    assert caller.query("/a/").value == JobState.RUNNING


@pytest.mark.parametrize("is_earlier_version", [False, True])
def test_a_snapshot_keeps_the_address_of_a_job(is_earlier_version):
    """Guards against a restart that moves jobs, and against an unreadable earlier snapshot.

    Snapshots of earlier versions have no addresses of jobs, only the queues at that time.
    """
    state = JobsState()
    state.apply(cmds.Configure(config(*queues_a_and_b("/a/", "/b/"))))
    state.apply(cmds.SubmitJob(job(step(), queue="a")))
    if not is_earlier_version:
        state.apply(SWAP)
    body = state.capture()
    if is_earlier_version:
        del body["addresses"]
    loaded = JobsState.load(encode(body))
    loaded.apply(SWAP)
    assert loaded.jobs == state.jobs
    loaded.apply(cmds.CancelSubmission(JOB_ID, "h", "/a/", 1.0))
    assert loaded.jobs[JOB_ID].state is JobState.CANCELLED
