"""The replicated state of jobs: what each command changes, and that snapshots keep it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.model import EndKind, JobState, RunEnd, TaskId
from geraniumtrack.jobs.state import JobsState, TaskPhase
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import JOB_ID, config, ended, job, queue, started, step, worker

T0 = TaskId(JOB_ID, 0, 0, 0)
T1 = TaskId(JOB_ID, 0, 0, 1)


def state_with(*steps, **fields) -> JobsState:
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    state.apply(cmds.PutWorker(worker()))
    state.apply(cmds.SubmitJob(job(*steps, **fields)))
    return state


def test_a_resent_submission_does_not_restart_the_job():
    state = state_with(step())
    state.apply(started(T0, 1, "w1"))
    state.apply(cmds.SubmitJob(job(step())))
    assert state.task(T0).phase is TaskPhase.ASSIGNED


def test_a_job_completes_only_when_all_tasks_are_done():
    state = state_with(step(2))
    state.apply(started(T0, 1, "w1"))
    state.apply(started(T1, 1, "w1"))
    state.apply(ended("w1", 1, RunEnd(1, T0, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.RUNNING
    state.apply(ended("w1", 1, RunEnd(2, T1, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.COMPLETED
    assert not state.assigned


def test_an_end_that_was_noted_counts_once():
    state = state_with(step())
    for _ in range(3):
        state.apply(started(T0, state.task(T0).run + 1, "w1"))
        state.apply(ended("w1", 1, RunEnd(1, T0, 1, EndKind.FAILED, "")))
    assert state.task(T0).failures == 1


def test_an_end_of_another_life_of_the_worker_is_ignored():
    state = state_with(step())
    state.apply(started(T0, 1, "w1", born=1))
    state.apply(ended("w1", 2, RunEnd(1, T0, 1, EndKind.DONE, "")))
    assert state.task(T0).phase is TaskPhase.ASSIGNED


def test_a_new_life_of_a_worker_frees_what_the_former_one_ran():
    state = state_with(step())
    state.apply(started(T0, 1, "w1"))
    state.apply(cmds.PutWorker(worker(born=2)))
    assert state.task(T0).phase is TaskPhase.WAITING
    assert state.task(T0).run == 1


def test_a_late_report_of_a_former_life_is_ignored():
    state = state_with(step())
    state.apply(cmds.PutWorker(worker(born=2)))
    state.apply(cmds.PutWorker(worker(born=1)))
    assert state.workers["w1"].born == 2


def test_a_task_is_given_up_after_its_attempts():
    state = state_with(step())
    for attempt in range(1, 4):
        state.apply(started(T0, attempt, "w1"))
        state.apply(ended("w1", 1, RunEnd(attempt, T0, attempt, EndKind.FAILED, "")))
    assert state.jobs[JOB_ID].state is JobState.FAILED
    assert JOB_ID not in state.active


@pytest.mark.parametrize("kind", [EndKind.STOPPED, EndKind.LEASE_LAPSED, EndKind.GANG_BROKEN])
def test_ends_that_are_not_the_tasks_fault_do_not_count_as_attempts(kind):
    state = state_with(step())
    for attempt in range(1, 9):
        state.apply(started(T0, attempt, "w1"))
        state.apply(ended("w1", 1, RunEnd(attempt, T0, attempt, kind, f"c{attempt}")))
    assert state.jobs[JOB_ID].active
    assert state.task(T0).checkpoint == "c8"


def test_a_lasting_task_is_placed_again_however_it_ends():
    state = state_with(step(lasting=True))
    for attempt in range(1, 9):
        state.apply(started(T0, attempt, "w1"))
        state.apply(ended("w1", 1, RunEnd(attempt, T0, attempt, EndKind.FAILED, "")))
    assert state.jobs[JOB_ID].active
    assert state.task(T0).phase is TaskPhase.WAITING


def test_the_end_of_one_member_ends_a_gang():
    state = state_with(step(2, gang=True))
    state.apply(started(T0, 1, "w1"))
    state.apply(started(T1, 1, "w1"))
    state.apply(ended("w1", 1, RunEnd(1, T0, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.COMPLETED


def test_a_cancelled_job_starts_nothing_more():
    state = state_with(step(2))
    state.apply(started(T0, 1, "w1"))
    state.apply(cmds.CancelJob(JOB_ID, 5.0))
    state.apply(started(T1, 1, "w1"))
    assert state.jobs[JOB_ID].state is JobState.CANCELLED
    assert state.task(T1).phase is TaskPhase.WAITING
    assert T0 in state.assigned["w1"]


def test_a_configuration_that_is_not_newer_changes_nothing():
    state = state_with(step())
    state.apply(cmds.Configure(config(queue(pool="other"), version=1)))
    assert state.config.queues[0].pool == "p"


def test_occurrences_end_one_by_one():
    state = state_with(step(), repetitions=2, first_due=10.0, interval_s=5.0)
    for occurrence in (1, 0):
        task = TaskId(JOB_ID, occurrence, 0, 0)
        state.apply(started(task, 1, "w1"))
        number = 2 - occurrence
        state.apply(ended("w1", 1, RunEnd(number, task, 1, EndKind.DONE, "")))
    assert state.jobs[JOB_ID].state is JobState.COMPLETED


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["start", "done", "failed", "stopped", "lost", "reborn", "cancel"]),
        st.integers(0, 3),
    ),
    max_size=30,
)


@given(EVENTS)
def test_a_snapshot_keeps_everything(events):
    """Guards against a field that a capture leaves out or that loading computes differently."""
    state = state_with(step(2), step(2, after=(0,), lasting=False))
    for number, (event, index) in enumerate(events, 1):
        task = TaskId(JOB_ID, 0, index // 2, index % 2)
        held = state.task(task)
        if event == "start":
            state.apply(started(task, held.run + 1, "w1", state.workers["w1"].born))
        elif event == "reborn":
            state.apply(cmds.PutWorker(worker(born=number + 1)))
        elif event == "cancel":
            state.apply(cmds.CancelJob(JOB_ID, float(number)))
        elif event == "lost":
            state.apply(cmds.RecordRuns(0.0, lost=((tuple(task), held.run, ""),)))
        else:
            end = RunEnd(number, task, held.run, EndKind(event), "c")
            state.apply(ended("w1", state.workers["w1"].born, end))
    loaded = JobsState.load(encode(state.capture()))
    assert loaded.capture() == state.capture()
    assert loaded.jobs == state.jobs
    assert loaded.assigned == state.assigned
    assert set(loaded.active) == set(state.active)
