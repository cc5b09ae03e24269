"""All commands of the job state in any order.

A command that raises in `apply` stays in the log, and every controller fails on it again at each
start. A count that differs from the tasks makes replicas differ after one has loaded a snapshot.
"""

from __future__ import annotations

import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state import retention
from geraniumtrack.jobs.state.jobs_state import JobsState, TaskPhase
from geraniumtrack.jobs.state.model import EndKind
from geraniumtrack.jobs.state.records import tasks_of
from geraniumtrack.jobs.state.retention import ENDED_JOB_RETENTION_S
from geraniumtrack.protocol.codec import encode
from geraniumtrack.state.commands import Noop
from tests.jobs_support import config, job, queue, step, worker

IDS = st.sampled_from(["a", "b"])
SMALL = st.integers(-1, 3)
BORN = st.integers(1, 2)
RUN = st.integers(1, 2)
# Mostly numbers that exist.
POSITION = st.sampled_from([0, 0, 0, 0, 1, 1, 1, 2, -1])
TIMES = st.integers(0, 3).map(lambda number: number * ENDED_JOB_RETENTION_S)
TASKS = st.tuples(IDS, POSITION, POSITION, POSITION)
CHECKPOINTS = st.sampled_from(["", "c1", "c2"])
STEPS = st.builds(
    step,
    st.sampled_from([0, 1, 1, 2]),
    gang=st.booleans(),
    lasting=st.booleans(),
    after=st.just(()),
)
JOBS = st.builds(
    lambda steps, **fields: job(*steps, **fields),
    st.lists(STEPS, min_size=1, max_size=2),
    job_id=st.sampled_from("abcd"),
    queue=IDS,
    submitted=TIMES,
    repetitions=st.integers(0, 2),
)
WORKERS = st.builds(worker, IDS, born=BORN, draining=st.booleans())
CONFIGS = st.builds(
    lambda names, version, attempts: config(
        *(queue(name, max_attempts=attempts) for name in names), version=version
    ),
    st.sets(IDS),
    st.integers(1, 3),
    st.integers(0, 2),
)
RUN_ENDS = st.tuples(
    SMALL, TASKS, RUN, st.sampled_from([str(kind) for kind in EndKind]), CHECKPOINTS
)
RECORDS = st.builds(
    cmds.RecordRuns,
    TIMES,
    ends=st.lists(st.tuples(IDS, BORN, st.lists(RUN_ENDS, max_size=4)), max_size=2),
    lost=st.lists(st.tuples(TASKS, RUN, CHECKPOINTS), max_size=2),
    starts=st.lists(st.tuples(TASKS, RUN, IDS, BORN), max_size=6),
)
RUN_ROWS = st.lists(st.tuples(TASKS, RUN), max_size=3).map(tuple)
COMMANDS = {
    Noop: st.just(Noop()),
    cmds.CancelJob: st.builds(cmds.CancelJob, IDS, TIMES),
    cmds.CancelSubmission: st.builds(
        cmds.CancelSubmission, IDS, st.just("h"), IDS.map("/{}/".format), TIMES
    ),
    cmds.Configure: st.builds(cmds.Configure, CONFIGS),
    cmds.ForgetWorker: st.builds(cmds.ForgetWorker, IDS, BORN),
    cmds.OrderEvacuation: st.builds(cmds.OrderEvacuation, IDS, st.booleans(), SMALL),
    cmds.PutWorker: st.builds(cmds.PutWorker, WORKERS),
    cmds.RecordProgress: st.builds(
        lambda runs, begun: cmds.RecordProgress(runs.at, runs.ends, runs.lost, runs.starts, begun),
        RECORDS,
        st.lists(IDS, max_size=3).map(tuple),
    ),
    cmds.RecordRuns: RECORDS,
    cmds.ReportWorker: st.builds(cmds.ReportWorker, WORKERS, SMALL),
    cmds.RestartWorker: st.builds(
        cmds.RestartWorker,
        WORKERS,
        SMALL,
        st.lists(st.tuples(TASKS, RUN, CHECKPOINTS), max_size=2).map(tuple),
    ),
    cmds.ServiceRunsCrashed: st.builds(cmds.ServiceRunsCrashed, IDS, RUN_ROWS),
    cmds.ServiceRunsSettled: st.builds(cmds.ServiceRunsSettled, RUN_ROWS),
    cmds.SetEvacuation: st.builds(cmds.SetEvacuation, IDS, st.booleans()),
    cmds.StartMaintenance: st.builds(
        cmds.StartMaintenance, SMALL, st.lists(IDS).map(tuple), TIMES, SMALL
    ),
    cmds.SubmitJob: st.builds(cmds.SubmitJob, JOBS),
    cmds.UpkeepBegun: st.builds(cmds.UpkeepBegun, SMALL, IDS),
    cmds.WorkerCrashed: st.builds(cmds.WorkerCrashed, IDS, BORN, TIMES, RUN_ROWS),
}


def check_bookkeeping(state: JobsState) -> None:
    """Checks what the state keeps in more than one place, and that nothing outlives its owner."""
    for record in state.jobs.values():
        assert record.open_occurrences == {
            number
            for number, steps in record.occurrences.items()
            if any(task.phase is not TaskPhase.DONE for item in steps for task in item.tasks)
        }
        tasks = list(tasks_of(record))
        assigned = [task for task in tasks if task.phase is TaskPhase.ASSIGNED]
        assert record.assigned == len(assigned)
        for task in assigned:
            assert state.assigned[task.worker][task.id] is task
            assert state.workers[task.worker].born == task.worker_born
        for progress in (item for steps in record.occurrences.values() for item in steps):
            phases = [task.phase for task in progress.tasks]
            assert progress.waiting == phases.count(TaskPhase.WAITING)
            assert progress.done == phases.count(TaskPhase.DONE)
    assert sum(map(len, state.assigned.values())) == sum(r.assigned for r in state.jobs.values())
    assert {key for key, record in state.jobs.items() if record.active} == set(state.active)
    incarnations = {(item.id, item.born) for item in state.workers.values()}
    assert set(state.last_committed_end) == incarnations


def test_every_command_is_drawn():
    """Guards against a command that the machine does not apply."""
    assert {kind.__name__ for kind in COMMANDS} == {"Noop", *cmds.__all__}


FIRST_COMMANDS = (
    cmds.Configure(config(queue("a", max_attempts=1), queue("b", max_attempts=2))),
    cmds.PutWorker(worker("a", born=1)),
    cmds.PutWorker(worker("b", born=1)),
    cmds.SubmitJob(job(step(2), step(1, after=(0,)), job_id="a", queue="a", repetitions=2)),
    cmds.SubmitJob(job(step(2, gang=True), step(1, lasting=True), job_id="b", queue="b")),
)
# What an owner records about a task, given by its number among the candidates.
RUN_EVENTS = st.tuples(
    st.sampled_from(["start", "start", "start", EndKind.FAILED, EndKind.DONE, "lost", *EndKind]),
    st.integers(0, 9),
    TIMES,
)


def record_event(state: JobsState, event: str, number: int, at: float) -> cmds.RecordRuns:
    """Returns what an owner records when a waiting task starts, or an assigned one is lost or ends.

    It records nothing if there is no such task or no worker.
    """
    phase = TaskPhase.WAITING if event == "start" else TaskPhase.ASSIGNED
    records = state.jobs.values()
    tasks = [task for r in records for task in tasks_of(r) if task.phase is phase]
    workers = list(state.workers.values())
    if not tasks or not workers:
        return cmds.RecordRuns(at)
    task = tasks[number % len(tasks)]
    if event == "start":
        chosen = workers[number % len(workers)]
        row = (tuple(task.id), task.run + 1, chosen.id, chosen.born)
        return cmds.RecordRuns(at, starts=(row,))
    if event == "lost":
        return cmds.RecordRuns(at, lost=((tuple(task.id), task.run, ""),))
    last = state.last_committed_end[task.worker, task.worker_born]
    end = (last + 1, tuple(task.id), task.run, str(event), "")
    return cmds.RecordRuns(at, ends=((task.worker, task.worker_born, (end,)),))


class JobsMachine(RuleBasedStateMachine):
    """A state to which commands are applied, mostly what an owner records about runs."""

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(retention, "MAX_RETAINED_JOBS", 1)
        self.state = JobsState()

    def teardown(self):
        self.patch.undo()

    @initialize(is_empty=st.sampled_from([False, False, True]))
    def start(self, is_empty):
        for command in () if is_empty else FIRST_COMMANDS:
            self.state.apply(command)

    @rule(command=st.one_of(*COMMANDS.values()))
    def apply_command(self, command):
        outdated = (
            isinstance(command, cmds.OrderEvacuation)
            and command.revision != self.state.evacuation_revision
        )
        assert self.state.apply(command).ok != outdated

    @rule(events=st.lists(RUN_EVENTS, min_size=1, max_size=8))
    def record_runs(self, events):
        for event in events:
            self.state.apply(record_event(self.state, *event))
            check_bookkeeping(self.state)

    @invariant()
    def bookkeeping_agrees_with_the_tasks(self):
        check_bookkeeping(self.state)

    @invariant()
    def a_snapshot_gives_an_equal_state(self):
        loaded = JobsState.load(encode(self.state.capture()))
        assert loaded.capture() == self.state.capture()
        check_bookkeeping(loaded)
        for name in ("jobs", "active", "assigned", "campaigns", "workers", "queues"):
            assert getattr(loaded, name) == getattr(self.state, name), name


EXAMPLES, STEPS = (100, 30) if os.environ.get("HYPOTHESIS_PROFILE", "ci") == "ci" else (1000, 80)
JobsMachine.TestCase.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None
)
TestJobsMachine = JobsMachine.TestCase
