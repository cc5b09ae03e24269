"""The replicated state of jobs: the effect of each command, and snapshots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.model import EndKind, JobState, RunEnd, TaskId
from geraniumtrack.jobs.state import JobsState, TaskPhase
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


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["start", "done", "failed", "stopped", "lost", "restarted", "crashed", "cancel"]
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
        if event == "start":
            state.apply(record_start(task, current.run + 1, "w1", state.workers["w1"].born))
        elif event == "restarted":
            state.apply(cmds.PutWorker(worker(born=number + 1)))
        elif event == "crashed":
            born = state.workers["w1"].born
            row = (tuple(task), current.run)
            state.apply(cmds.WorkerCrashed("w1", born, float(number), (row,)))
        elif event == "cancel":
            state.apply(cmds.CancelJob(JOB_ID, float(number)))
        elif event == "lost":
            state.apply(cmds.RecordRuns(0.0, lost=((tuple(task), current.run, ""),)))
        else:
            end = RunEnd(number, task, current.run, EndKind(event), "c")
            state.apply(record_ends("w1", state.workers["w1"].born, end))
    loaded = JobsState.load(encode(state.capture()))
    assert loaded.capture() == state.capture()
    assert loaded.jobs == state.jobs
    assert loaded.assigned == state.assigned
    assert set(loaded.active) == set(state.active)
