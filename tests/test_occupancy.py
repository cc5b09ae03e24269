"""The sums over assigned tasks that are kept between scheduling passes."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs.scheduling import scheduler
from geraniumtrack.jobs.scheduling.full_pools import FullPools
from geraniumtrack.jobs.scheduling.occupancy import Occupancy
from geraniumtrack.jobs.scheduling.placement import WorkerRanking, choose_worker
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.model import NO_RESOURCES, EndKind, RunEnd, TaskId
from tests.jobs_support import PoolSimulation, job, record_ends, record_start, step, worker

WORKERS = ("w0", "w1", "w2")


@given(st.lists(st.tuples(st.sampled_from("slfmcr"), st.integers(0, 11)), max_size=60))
def test_the_sums_are_those_of_the_assigned_tasks_whatever_happens_to_them(events):
    """Guards against capacity that is given out twice, or never again, after a change."""
    simulation = PoolSimulation({"a": 2.0, "b": 1.0}, workers=3)
    state, occupancy, ends = simulation.state, Occupancy(), 0
    for number in range(4):
        simulation.submit("ab"[number % 2], step(3, 1000 + number, lasting=number == 3))
    for kind, number in events:
        task = TaskId(f"{number % 4:016x}", 0, 0, number % 3)
        name = WORKERS[number % 3]
        known = state.task(task)
        if kind == "s":
            state.apply(record_start(task, known.run + 1, name))
        elif kind == "l":
            row = (tuple(task), known.run, "")
            state.apply(cmds.RecordRuns(0.0, lost=(row,)))
        elif kind == "f" and known.worker:
            ends += 1
            end = RunEnd(ends, task, known.run, EndKind.FAILED, "")
            state.apply(record_ends(known.worker, 1, end))
        elif kind == "m":
            state.apply(cmds.PutWorker(worker(name, born=1, pool="pq"[number % 2])))
        elif kind == "c":
            state.apply(cmds.WorkerCrashed(name, 1, 0.0, ((tuple(task), known.run),)))
        elif kind == "r":
            state.apply(cmds.ForgetWorker(name, 1))
            state.apply(cmds.PutWorker(worker(name)))
        occupancy.refresh(state)
        assert_sums(state, occupancy)


def assert_sums(state, occupancy: Occupancy) -> None:
    by_team = defaultdict(lambda: NO_RESOURCES)
    for name in WORKERS:
        tasks = state.assigned.get(name, {}).values()
        reserved, occupied = NO_RESOURCES, occupancy.of_worker(name)
        for task in tasks:
            size = state.step_of(task).reserved
            reserved = reserved.plus(size)
            key = (state.workers[name].pool, state.jobs[task.id.job].job.team)
            by_team[key] = by_team[key].plus(size)
        assert (occupied.reserved, occupied.tasks.total()) == (reserved, len(tasks))
        assert occupied.lasting == sum(state.step_of(task).lasting for task in tasks)
        assert set(map(id, occupied.crashed)) == {id(task) for task in tasks if task.crashes}
    for pool in "pq":
        for team in "ab":
            assert occupancy.reserved(pool, team) == by_team[pool, team]


RESTRICTIONS = (
    {},
    {"label": "a"},
    {"label": "none"},
    {"label": "r1"},
    {"label": "r2", "max_per_worker": 1},
    {"max_per_worker": 1},
    {"data_rack": "r1"},
    {"same_rack": True},
    {"gang": True},
)


@given(
    st.lists(
        st.tuples(st.integers(1, 8), st.integers(1, 6), st.sampled_from(RESTRICTIONS)),
        min_size=1,
        max_size=30,
    )
)
def test_steps_are_placed_as_if_each_worker_were_asked(steps):
    """Guards against a smaller task that is passed over since a larger one found no room."""
    starts = []
    for exclude in (True, False):
        simulation = PoolSimulation({"a": 2.0, "b": 1.0}, workers=2, racks=2)
        for known in list(simulation.state.workers.values()):
            labelled = replace(known, labels=("a", known.rack))
            simulation.state.apply(cmds.PutWorker(labelled))
        for number, (count, cores, fields) in enumerate(steps):
            simulation.submit("ab"[number % 2], step(count, cores * 1000, **fields))
        with pytest.MonkeyPatch.context() as patch:
            if not exclude:
                patch.setattr(FullPools, "excludes", lambda *_: False)
            starts.append(simulation.run_pass())
    assert starts[0] == starts[1]


def test_full_workers_with_a_label_are_searched_once_while_others_have_room():
    """Guards against a pass that takes long since many steps wait for few workers with a label."""
    simulation = PoolSimulation({"a": 2.0, "b": 1.0}, workers=1)
    simulation.submit("a", step(1, 16_000))
    assert len(simulation.run_pass()) == 1
    simulation.state.apply(cmds.PutWorker(worker("free", labels=("other",))))
    for number in range(10):
        fields = {"max_per_worker": 1} if number % 2 else {}
        simulation.submit("ab"[number % 2], step(2, 1000, label="a", **fields))
    simulation.submit("b", step(2, 1000, label="other"))
    simulation.submit("b", step(2, 1000))
    searches = []

    def choose(task, *args, **options):
        searches.append(task.id)
        return choose_worker(task, *args, **options)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(scheduler, "choose_worker", choose)
        assert len(simulation.run_pass()) == 4
    assert len(searches) <= 4 + 2


STEPS = st.tuples(
    st.integers(1, 8),
    st.integers(1, 6),
    st.sampled_from(["", "a"]),
    st.integers(0, 2),
    st.booleans(),
)


@given(st.lists(STEPS, min_size=1, max_size=12), st.integers(0, 5))
def test_a_ranking_places_tasks_as_if_each_worker_were_asked_for_each_task(steps, failed):
    """Guards against a worse worker, or one without room, that an old ranking still names."""
    starts = []
    for ranked in (True, False):
        simulation = PoolSimulation({"a": 2.0, "b": 1.0}, workers=4, racks=2)
        for number, (count, cores, label, limit, near) in enumerate(steps):
            fields = {"label": label, "max_per_worker": limit, "data_rack": "r1" if near else ""}
            job_id = simulation.submit("ab"[number % 2], step(count, cores * 1000, **fields))
            task = simulation.state.task(TaskId(job_id, 0, 0, 0))
            task.avoid = "w1" if number == failed else ""
        with pytest.MonkeyPatch.context() as patch:
            if not ranked:
                patch.setattr(WorkerRanking, "suits", lambda *_: False)
            started = simulation.run_pass()
        starts.append({item: simulation.state.task(item).worker for item in started})
    assert starts[0] == starts[1]


def test_another_state_is_counted_anew():
    """Guards against sums of the state before a snapshot was loaded."""
    first, second = PoolSimulation({"a": 2.0}), PoolSimulation({"a": 2.0})
    occupancy = Occupancy()
    first.state.apply(cmds.SubmitJob(job(step(4), team="a")))
    first.run_pass()
    occupancy.refresh(first.state)
    assert occupancy.size_by_team()["a"].cpu == 4000
    occupancy.refresh(second.state)
    assert not occupancy.size_by_team()


@pytest.mark.parametrize(
    "fields",
    [
        {"max_per_worker": 1},
        {"label": "a"},
        {"data_rack": "r1"},
        {"same_rack": True},
        {"gang": True},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_a_full_pool_is_searched_once_for_steps_that_only_some_workers_may_run(fields):
    """Guards against a pass that takes a second, as each of 3,000 steps asks all 550 workers."""
    simulation = PoolSimulation({"a": 2.0, "b": 1.0}, workers=2)
    simulation.submit("a", step(2, 16_000))
    assert len(simulation.run_pass()) == 2
    for number in range(10):
        simulation.submit("ab"[number % 2], step(2, 1000, **fields))
    with pytest.MonkeyPatch.context() as patch:
        searches = []
        patch.setattr(scheduler, "choose_worker", lambda *args, **_: searches.append(args))
        assert simulation.run_pass() == []
    assert len(searches) <= 2


def test_nothing_is_kept_of_teams_without_tasks():
    """Guards against sums that pile up as teams are added and removed for months."""
    simulation = PoolSimulation({"a": 2.0})
    occupancy = Occupancy()
    simulation.state.apply(cmds.SubmitJob(job(step(4, cpu=0), step(2), team="a")))
    simulation.run_pass()
    occupancy.refresh(simulation.state)
    assert list(occupancy.size_by_team()) == ["a"]
    for name in list(simulation.state.workers):
        simulation.state.apply(cmds.ForgetWorker(name, 1))
    occupancy.refresh(simulation.state)
    assert not occupancy.size_by_team() and not occupancy._reserved


def test_unplaced_steps_do_not_copy_the_tasks_that_wait_for_local_slots():
    """Guards against a pass whose time grows with the unplaced steps times the waiting tasks."""

    class Waiting(set):
        def __or__(self, other):
            raise AssertionError("the waiting tasks are copied")

        __ror__ = __or__

    simulation = PoolSimulation({"a": 2.0}, workers=1)
    simulation.submit("a", step(40, 1000))
    ready_step = simulation.scheduler.ready_steps(0.0)[0]
    simulation.run_pass()
    waiting = ready_step.waiting
    locality = simulation.scheduler.locality
    locality.waiting = Waiting({waiting[0].id})
    simulation.scheduler.last_pass.unplaced.clear()
    simulation.scheduler._note_unplaced(ready_step, [], [])
    [unplaced] = simulation.scheduler.last_pass.unplaced
    assert unplaced.tasks == waiting[1:]
