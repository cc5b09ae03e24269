"""Jobs are refused before they take more memory than the controllers have."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from geraniumtrack.errors import NotLeader
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.job_steps import MAX_LOGGED_STEPS, step_summary, steps_summary
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.messages import AnswerKind
from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.scheduling import ordering
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state import retention
from geraniumtrack.jobs.state.job_size import TASK_BYTES, job_bytes
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.retention import ENDED_JOB_RETENTION_S
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import JOB_ID, config, job, queue, step

MAX_JOB_BYTES = 1000 * TASK_BYTES


class Owner:
    """A service whose commits are carried out when the test says so."""

    def __init__(self) -> None:
        self.state = JobsState()
        self.state.apply(cmds.Configure(config(queue(public=True))))
        self.proposed: list = []
        self._service = JobService(
            state=lambda: self.state,
            propose=self._propose,
            owner=lambda: None,
            wall_clock=lambda: 0.0,
            max_job_bytes=MAX_JOB_BYTES,
        )

    def submit(self, number: int, tasks: int) -> list:
        """Submits a job; returns a list that gets the kind of the answer."""
        kinds: list = []
        request = msgs.JobRequest("h", f"/proofs/{number:016x}", "")
        call = msgs.SubmitCall(request, "x", (step(tasks),), 0, 0.0, 0.0)
        self._service.answer(call).addCallback(lambda answer: kinds.append(answer.kind))
        return kinds

    def commit(self) -> None:
        """Commits what has been proposed."""
        proposed, self.proposed = self.proposed, []
        for command, fut in proposed:
            fut.callback(self.state.apply(command))

    def _propose(self, command) -> Deferred:
        self.proposed.append((command, Deferred()))
        return self.proposed[-1][1]


def test_jobs_of_many_tasks_are_refused_before_ordinary_ones():
    """Guards against small requests for many tasks that end all controllers for lack of memory."""
    owner = Owner()
    kinds = []
    for number in range(20):
        kinds += owner.submit(number, 400)
        owner.commit()
    assert kinds.count(AnswerKind.REFUSED) == 19
    assert owner.submit(100, 8) == []
    owner.commit()
    assert owner.state.job_bytes <= MAX_JOB_BYTES


def test_jobs_that_are_being_committed_take_room():
    """Guards against many large jobs that are accepted before the first one is committed."""
    owner = Owner()
    kinds = [owner.submit(number, 400) for number in range(20)]
    assert kinds.count([AnswerKind.REFUSED]) == 19
    assert len(owner.proposed) == 1


def test_a_job_that_is_being_committed_is_not_refused_when_it_is_resent():
    """Guards against "not run" for a job that runs."""
    owner = Owner()
    first, resent = owner.submit(1, 400), owner.submit(1, 400)
    assert first == resent == []
    owner.commit()
    assert first == resent == [AnswerKind.OK]


def test_the_room_of_a_job_that_was_not_committed_is_free_again():
    """Guards against room that is lost with each change of the owner."""
    owner = Owner()
    for number in range(5):
        kinds = owner.submit(number, 400)
        _, fut = owner.proposed.pop()
        fut.errback(NotLeader(""))
        assert kinds == [AnswerKind.UNKNOWN]


def test_ended_jobs_are_deleted_when_they_take_too_much_memory(monkeypatch):
    """Guards against large jobs that keep others out for long after their end."""
    monkeypatch.setattr(retention, "MAX_RETAINED_BYTES", 2 * job_bytes(job(step(100))))
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    for number in range(6):
        at = number * 2 * ENDED_JOB_RETENTION_S
        state.apply(cmds.SubmitJob(job(step(100), job_id=f"{number:016x}", submitted=at)))
        state.apply(cmds.CancelJob(f"{number:016x}", at))
    assert len(state.jobs) == 2
    assert state.job_bytes == sum(job_bytes(record.job) for record in state.jobs.values())


@pytest.mark.parametrize("count", [0, 3])
def test_the_size_of_the_jobs_is_restored_from_a_snapshot(count):
    """Guards against a restarted controller that accepts more than it can hold."""
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    for number in range(count):
        state.apply(cmds.SubmitJob(job(step(100), job_id=f"{number:016x}")))
    assert JobsState.load(encode(state.capture())).job_bytes == state.job_bytes
    assert (state.job_bytes > 0) is bool(count)


def test_the_critical_path_of_a_job_is_computed_once_a_pass(monkeypatch):
    """Guards against an owner that stands still for a job of thousands of steps."""
    computed = []

    def count_path(steps, *_args, **_kwargs):
        computed.append(len(steps))
        return 1.0

    monkeypatch.setattr(ordering, "critical_path_s", count_path)
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    state.apply(cmds.SubmitJob(job(*[step(1)] * 100)))
    order = ordering.JobOrder(state, 0.0, DEFAULT_POLICY)
    record = state.jobs[JOB_ID]
    keys = {order.key(record, state.queues["proofs"], 0, one) for one in record.job.steps}
    assert len(keys) == 1
    assert computed == [100]


def test_a_log_line_shows_only_some_steps_of_a_large_job():
    """Guards against log lines of megabytes, which keep an owner from its calls."""
    text = steps_summary((step(1),) * 20_000)
    assert len(text) < 2000
    assert text.endswith(f";... {20_000 - MAX_LOGGED_STEPS} more")
    assert steps_summary((step(1),) * 2) == ";".join([step_summary(step(1))] * 2)
