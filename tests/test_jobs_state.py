"""The replicated state of jobs: the effect of each command, and snapshots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state import jobs_state, retention
from geraniumtrack.jobs.state.jobs_state import JobsState, TaskPhase
from geraniumtrack.jobs.state.model import EndKind, JobState, RunEnd, TaskId
from geraniumtrack.jobs.state.retention import ENDED_JOB_RETENTION_S, MAX_DELETIONS
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import JOB_ID, config, job, queue, record_ends, record_start, step, worker

# Tasks of occurrence 0 and step 0 of the job; the last value is the index of the task in its step.
FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)
SECOND_TASK = TaskId(JOB_ID, 0, 0, 1)


def state_with(*steps, **fields) -> JobsState:
    """Returns a state with one queue, one worker and a job of `steps`; `fields` are job fields."""
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    state.apply(cmds.PutWorker(worker()))
    state.apply(cmds.SubmitJob(job(*steps, **fields)))
    return state


def test_a_resent_submission_does_not_restart_the_job():
    """Guards against a second run of a job whose caller resends it after a lost answer."""
    state = state_with(step())
    state.apply(record_start(FIRST_TASK, 1, "w1"))
    state.apply(cmds.SubmitJob(job(step())))
    assert state.task(FIRST_TASK).phase is TaskPhase.ASSIGNED


def test_a_job_completes_only_when_all_tasks_are_done():
    """Guards against a job that is reported as completed while a task still runs."""
    state = state_with(step(2))
    state.apply(record_start(FIRST_TASK, 1, "w1"))
    state.apply(record_start(SECOND_TASK, 1, "w1"))
    state.apply(record_ends("w1", 1, RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.RUNNING
    state.apply(record_ends("w1", 1, RunEnd(2, SECOND_TASK, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.COMPLETED
    assert not state.assigned


@pytest.mark.parametrize("steps", [(step(0),), (step(0), step(0, gang=True))])
def test_a_job_without_tasks_completes_when_it_is_submitted(steps):
    """Guards against a job that stays queued for good, and against one that a snapshot changes."""
    state = state_with(*steps, repetitions=2)
    assert state.jobs[JOB_ID].state is JobState.COMPLETED
    assert not state.active
    assert JobsState.load(encode(state.capture())).jobs == state.jobs


def test_a_repeated_run_end_is_ignored():
    """Guards against counting a failure twice: workers repeat run ends until acknowledged."""
    state = state_with(step())
    for _ in range(3):
        state.apply(record_start(FIRST_TASK, state.task(FIRST_TASK).run + 1, "w1"))
        state.apply(record_ends("w1", 1, RunEnd(1, FIRST_TASK, 1, EndKind.FAILED, "")))
    assert state.task(FIRST_TASK).failures == 1


def test_a_run_end_of_another_incarnation_of_the_worker_is_ignored():
    """Guards against a task that counts as done although its run has not ended."""
    state = state_with(step())
    state.apply(record_start(FIRST_TASK, 1, "w1", born=1))
    state.apply(record_ends("w1", 2, RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")))
    assert state.task(FIRST_TASK).phase is TaskPhase.ASSIGNED


def test_an_end_of_an_incarnation_that_is_not_registered_leaves_nothing_behind():
    """Guards against a state that grows with each worker forgotten while its ends are committed."""
    state = state_with(step())
    state.apply(cmds.ForgetWorker("w1", 1))
    state.apply(record_ends("w1", 1, RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")))
    assert state.last_committed_end == {}


def test_a_new_incarnation_of_a_worker_requeues_the_tasks_of_the_former_one():
    """Guards against tasks that stay assigned to a worker that has restarted."""
    state = state_with(step())
    state.apply(record_start(FIRST_TASK, 1, "w1"))
    state.apply(cmds.PutWorker(worker(born=2)))
    assert state.task(FIRST_TASK).phase is TaskPhase.WAITING
    assert state.task(FIRST_TASK).run == 1


def test_a_late_registration_of_a_former_incarnation_is_ignored():
    """Guards against replacing a worker by its former incarnation, whose heartbeat arrived late."""
    state = state_with(step())
    state.apply(cmds.PutWorker(worker(born=2)))
    state.apply(cmds.PutWorker(worker(born=1)))
    assert state.workers["w1"].born == 2


@pytest.mark.parametrize(
    "change",
    [cmds.ForgetWorker("w1", 1), cmds.PutWorker(worker(born=2))],
    ids=["gone", "restarted"],
)
def test_a_start_on_an_incarnation_that_is_not_registered_leaves_the_task_waiting(change):
    """Guards against a task that stays assigned for good: no session sends or ends its run."""
    state = state_with(step())
    state.apply(change)
    state.apply(record_start(FIRST_TASK, 1, "w1", born=1))
    assert state.task(FIRST_TASK).phase is TaskPhase.WAITING
    assert state.jobs[JOB_ID].occurrences[0][0].waiting == 1
    assert not state.assigned
    assert state.jobs[JOB_ID].state is JobState.QUEUED


def test_a_job_fails_after_the_last_allowed_attempt_of_a_task():
    """Guards against a task that fails on every run and is restarted without end."""
    state = state_with(step())
    for attempt in range(1, 4):
        state.apply(record_start(FIRST_TASK, attempt, "w1"))
        state.apply(record_ends("w1", 1, RunEnd(attempt, FIRST_TASK, attempt, EndKind.FAILED, "")))
    assert state.jobs[JOB_ID].state is JobState.FAILED
    assert JOB_ID not in state.active


@pytest.mark.parametrize("kind", [EndKind.STOPPED, EndKind.LEASE_LAPSED, EndKind.GANG_BROKEN])
def test_run_ends_other_than_failures_do_not_count_as_attempts(kind):
    """Guards against failing a job because its tasks were stopped or lost their lease."""
    state = state_with(step())
    for attempt in range(1, 9):
        state.apply(record_start(FIRST_TASK, attempt, "w1"))
        state.apply(record_ends("w1", 1, RunEnd(attempt, FIRST_TASK, attempt, kind, f"c{attempt}")))
    assert state.jobs[JOB_ID].active
    assert state.task(FIRST_TASK).checkpoint == "c8"


def test_a_service_task_is_requeued_after_any_number_of_failures():
    """Guards against a service that stops for good: the limit of attempts does not apply to it."""
    state = state_with(step(lasting=True))
    for attempt in range(1, 9):
        state.apply(record_start(FIRST_TASK, attempt, "w1"))
        state.apply(record_ends("w1", 1, RunEnd(attempt, FIRST_TASK, attempt, EndKind.FAILED, "")))
    assert state.jobs[JOB_ID].active
    assert state.task(FIRST_TASK).phase is TaskPhase.WAITING


def test_a_gang_is_done_when_one_member_is_done():
    """A gang completes as a unit, so the other members are done as well."""
    state = state_with(step(2, gang=True))
    state.apply(record_start(FIRST_TASK, 1, "w1"))
    state.apply(record_start(SECOND_TASK, 1, "w1"))
    state.apply(record_ends("w1", 1, RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.COMPLETED


def test_all_members_of_a_gang_resume_from_the_same_checkpoint():
    """Guards against a gang that can't resume because its members carry different checkpoints."""
    state = state_with(step(2, gang=True, checkpoints=True))
    for task in (FIRST_TASK, SECOND_TASK):
        state.apply(record_start(task, 1, "w1"))
    for number, task in enumerate((FIRST_TASK, SECOND_TASK), 1):
        end = RunEnd(number, task, 1, EndKind.STOPPED, f"c{number}")
        state.apply(record_ends("w1", 1, end))
    assert {state.task(task).checkpoint for task in (FIRST_TASK, SECOND_TASK)} == {"c2"}


def test_a_cancelled_job_starts_no_more_tasks():
    """The run that is assigned at the cancellation stays assigned until its end is reported."""
    state = state_with(step(2))
    state.apply(record_start(FIRST_TASK, 1, "w1"))
    state.apply(cmds.CancelJob(JOB_ID, 5.0))
    state.apply(record_start(SECOND_TASK, 1, "w1"))
    assert state.jobs[JOB_ID].state is JobState.CANCELLED
    assert state.task(SECOND_TASK).phase is TaskPhase.WAITING
    assert FIRST_TASK in state.assigned["w1"]


def test_a_configuration_that_is_not_newer_changes_nothing():
    """Guards against a late or resent configuration that replaces the current one."""
    state = state_with(step())
    state.apply(cmds.Configure(config(queue(pool="other"), version=1)))
    assert state.config.queues[0].pool == "p"


def test_a_scheduled_job_completes_when_all_its_occurrences_are_done():
    """The occurrences may end in any order; here the second one ends first."""
    state = state_with(step(), repetitions=2, first_due=10.0, interval_s=5.0)
    for occurrence in (1, 0):
        task = TaskId(JOB_ID, occurrence, 0, 0)
        state.apply(record_start(task, 1, "w1"))
        number = 2 - occurrence
        state.apply(record_ends("w1", 1, RunEnd(number, task, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.COMPLETED


def submit_and_end(state: JobsState, numbers, *, at: float) -> None:
    """Submits jobs of one task with the ids `numbers` at a time and cancels them at once."""
    for number in numbers:
        state.apply(cmds.SubmitJob(job(step(), job_id=f"{number:016x}", submitted=at)))
        state.apply(cmds.CancelJob(f"{number:016x}", at))


def test_an_old_active_job_does_not_keep_later_ended_jobs(monkeypatch):
    """Guards against a state that grows without bound behind a service, which runs for weeks."""
    monkeypatch.setattr(retention, "MAX_RETAINED_JOBS", 10)
    state = state_with(step(lasting=True))
    submit_and_end(state, range(50), at=10.0)
    submit_and_end(state, range(50, 100), at=10.0 + ENDED_JOB_RETENTION_S)
    assert set(state.jobs) == {JOB_ID, *(f"{number:016x}" for number in range(50, 100))}
    submit_and_end(state, range(100, 150), at=20.0 + 2 * ENDED_JOB_RETENTION_S)
    assert set(state.jobs) == {JOB_ID, *(f"{number:016x}" for number in range(100, 150))}


def test_an_ended_job_whose_run_may_be_active_is_kept_and_does_not_keep_others(monkeypatch):
    """Guards against a run that no report or stop can name, and against a growing state."""
    monkeypatch.setattr(retention, "MAX_RETAINED_JOBS", 10)
    state = state_with(step())
    state.apply(record_start(FIRST_TASK, 1, "w1"))
    state.apply(cmds.CancelJob(JOB_ID, 5.0))
    submit_and_end(state, range(50), at=10.0)
    submit_and_end(state, range(50, 100), at=10.0 + ENDED_JOB_RETENTION_S)
    assert JOB_ID in state.jobs
    assert len(state.jobs) == 51
    state.apply(record_ends("w1", 1, RunEnd(1, FIRST_TASK, 1, EndKind.STOPPED, "")))
    submit_and_end(state, range(100, 150), at=20.0 + ENDED_JOB_RETENTION_S)
    assert JOB_ID not in state.jobs


def test_a_submission_deletes_few_jobs_and_looks_at_no_tasks(monkeypatch):
    """Guards against submissions that take longer the more jobs have ended."""
    monkeypatch.setattr(retention, "MAX_RETAINED_JOBS", 10)
    state = JobsState()
    state.apply(cmds.PutWorker(worker()))
    for number in range(200):
        job_id = f"{number:016x}"
        state.apply(cmds.SubmitJob(job(step(), job_id=job_id)))
        if number % 2:
            state.apply(record_start(TaskId(job_id, 0, 0, 0), 1, "w1"))
        state.apply(cmds.CancelJob(job_id, 5.0))
    # Neither module uses it today; a later use must not walk all tasks of all jobs.
    monkeypatch.setattr(jobs_state, "tasks_of", None, raising=False)
    monkeypatch.setattr(retention, "tasks_of", None, raising=False)
    state.apply(cmds.SubmitJob(job(step(), submitted=10.0 + ENDED_JOB_RETENTION_S)))
    assert len(state.jobs) == 201 - MAX_DELETIONS


def test_jobs_are_deleted_alike_after_a_snapshot(monkeypatch):
    """Guards against controllers whose states differ after one of them loaded a snapshot."""
    monkeypatch.setattr(retention, "MAX_RETAINED_JOBS", 5)
    state = JobsState()
    for number in range(12):
        state.apply(cmds.SubmitJob(job(step(), job_id=f"{number:016x}")))
    # The clock of the owner went back between the ends.
    for number, at in ((7, 30.0), (2, 20.0), (9, 10.0), (0, 40.0)):
        state.apply(cmds.CancelJob(f"{number:016x}", at))
    loaded = JobsState.load(encode(state.capture()))
    for at in (15.0, 25.0, 35.0, 45.0):
        submission = cmds.SubmitJob(job(step(), job_id=f"{at}", submitted=at + 300.0))
        for replica in (state, loaded):
            replica.apply(submission)
        assert list(loaded.jobs) == list(state.jobs)
    assert "0000000000000002" not in state.jobs


def fail_for_good(state: JobsState, task: TaskId) -> None:
    """Fails as many runs of a task as its queue allows."""
    born = state.workers["w1"].born
    for _ in range(state.queues["proofs"].max_attempts):
        run = state.task(task).run + 1
        state.apply(record_start(task, run, "w1", born))
        number = state.last_committed_end["w1", born] + 1
        state.apply(record_ends("w1", born, RunEnd(number, task, run, EndKind.FAILED, "")))


def test_a_task_that_failed_for_good_does_not_count_as_waiting():
    """Guards against a count that differs from the one of a loaded snapshot."""
    state = state_with(step(2))
    fail_for_good(state, FIRST_TASK)
    assert state.task(FIRST_TASK).phase is TaskPhase.FAILED
    assert state.jobs[JOB_ID].occurrences[0][0].waiting == 1


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "start",
                "done",
                "failed",
                "stopped",
                "lost",
                "restarted",
                "reported",
                "crashed",
                "cancel",
                "tried_in_vain",
            ]
        ),
        st.integers(0, 3),
    ),
    max_size=30,
)


@given(EVENTS)
def test_a_snapshot_restores_the_complete_state(events):
    """Guards against a field that the snapshot omits or that loading computes differently."""
    state = state_with(step(2), step(2, after=(0,), lasting=False))
    for number, (event, index) in enumerate(events, 1):
        task = TaskId(JOB_ID, 0, index // 2, index % 2)
        current = state.task(task)
        if event == "tried_in_vain":
            fail_for_good(state, task)
        elif event == "start":
            state.apply(record_start(task, current.run + 1, "w1", state.workers["w1"].born))
        elif event == "restarted":
            state.apply(cmds.PutWorker(worker(born=number + 1)))
        elif event == "reported":
            info = worker(born=state.workers["w1"].born, draining=bool(index % 2))
            state.apply(cmds.ReportWorker(info, number))
        elif event == "crashed":
            born = state.workers["w1"].born
            row = (tuple(task), current.run)
            state.apply(cmds.WorkerCrashed("w1", born, float(number), (row,)))
        elif event == "cancel":
            state.apply(cmds.CancelJob(JOB_ID, float(number)))
        elif event == "lost":
            state.apply(cmds.RecordRuns(0.0, lost=((tuple(task), current.run, ""),)))
        else:
            born = state.workers["w1"].born
            end_number = state.last_committed_end["w1", born] + 1
            end = RunEnd(end_number, task, current.run, EndKind(event), "c")
            state.apply(record_ends("w1", born, end))
    loaded = JobsState.load(encode(state.capture()))
    assert loaded.capture() == state.capture()
    assert loaded.jobs == state.jobs
    assert loaded.assigned == state.assigned
    assert loaded.heartbeat_sequences == state.heartbeat_sequences
    assert set(loaded.active) == set(state.active)


def test_a_snapshot_without_heartbeat_sequences_can_be_loaded():
    """Guards against a controller that cannot read the snapshot of an earlier version."""
    body = state_with(step()).capture()
    del body["sequences"]
    assert JobsState.load(encode(body)).workers == {"w1": worker()}


def test_a_worker_that_was_forgotten_is_registered_again_whatever_its_sequence():
    """Guards against a worker that stays out because its heartbeats are compared with old ones."""
    state = state_with(step())
    state.apply(cmds.ReportWorker(worker(), 9))
    state.apply(cmds.ForgetWorker("w1", 1))
    state.apply(cmds.ReportWorker(worker(draining=True), 3))
    assert state.workers["w1"].draining
