"""Cancelled jobs: nothing of them starts or keeps running, whatever is lost or late on the way."""

from __future__ import annotations

from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.jobs.model import JobState
from geraniumtrack.jobs.service import JobService
from geraniumtrack.jobs.state import JobsState
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import JOB_ID, OwnerHarness, config, job, queue, step, worker


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
    state.apply(cmds.CancelSubmission(JOB_ID, "proofs", 1.0))
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
    state.apply(cmds.CancelSubmission(JOB_ID, "proofs", 1.0))
    state.apply(cmds.CancelSubmission("0" * 16, "proofs", 1000.0))
    assert list(state.cancelled_submissions) == [("0" * 16, "proofs")]


def test_a_snapshot_keeps_cancelled_submissions():
    """Guards against a cancellation that a restart forgets."""
    state = Caller().harness.state
    state.apply(cmds.CancelSubmission(JOB_ID, "proofs", 1.0))
    loaded = JobsState.load(encode(state.capture()))
    loaded.apply(cmds.SubmitJob(job(step())))
    assert loaded.jobs[JOB_ID].state is JobState.CANCELLED
