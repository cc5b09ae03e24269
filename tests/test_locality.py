"""Waits for a slot near a task's data or near its step's other tasks.

The load: tasks that take up to three times as long away from their rack, on a pool where a slot on
that rack is free within a fraction of a second.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import replace
from functools import partial
from statistics import mean
from typing import Any

import pytest
from twisted.internet.task import Clock

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.capacity.maintenance_pace import ObservedTimes
from geraniumtrack.jobs.instances.change import Change, ChangePhase
from geraniumtrack.jobs.instances.instances_in_transit import InstancesInTransit
from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.scheduling.estimates import ObservedRun
from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart
from geraniumtrack.jobs.scheduling.rack_slots import Arrival, ExpectedEnd, NoForecast
from geraniumtrack.jobs.scheduling.worker_speed import WorkerSpeed
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import TaskPhase
from geraniumtrack.jobs.state.model import Resources, TaskId
from geraniumtrack.jobs.state.records import tasks_of
from tests.jobs_support import (
    WORKER_CPU,
    OwnerHarness,
    PoolSimulation,
    config,
    instance,
    job,
    queue,
    step,
    worker,
)


class RackSimulation(PoolSimulation, NoForecast):
    """A pool whose tasks take `factor` times as long away from their data or their step's rack.

    Args:
        factor: The factor.
        waits: Whether tasks may wait.
        error: Standard deviation of the logarithm of actual to declared durations.
        fields: Arguments of PoolSimulation.
    """

    PASS_INTERVAL_S = 0.05

    def __init__(
        self, factor: float, *, waits: bool = True, error: float = 0.0, **fields: Any
    ) -> None:
        self.factor, self.error = factor, error
        self.ends: dict[TaskId, float] = {}  # expected ones in s
        self.home: dict[tuple, str] = {}  # rack of the first task, by step
        self.arriving: list[Arrival] = []
        self._random = random.Random(5)
        policy = replace(DEFAULT_POLICY, spread_factor=factor, locality_wait=waits)
        super().__init__({}, policy=policy, **fields)

    def forecast(self) -> NoForecast:
        return self

    def seconds(self) -> float:
        return self.now

    def run_ends(self, worker_id: str) -> list[ExpectedEnd]:
        tasks = self.state.assigned.get(worker_id, {}).values()
        return [
            ExpectedEnd(abs(self.ends[task.id] - self.now), self.state.step_of(task).reserved)
            for task in tasks
        ]

    def arrivals(self, pool: str) -> list[Arrival]:
        return self.arriving

    def racks_of(self, job_id: str) -> list[str]:
        """Returns the racks that run tasks of a job, sorted."""
        record, workers = self.state.jobs[job_id], self.state.workers
        tasks = [task for task in tasks_of(record) if task.phase is TaskPhase.ASSIGNED]
        return sorted({workers[task.worker].rack for task in tasks})

    def run_s(self, start: PlannedStart) -> float:
        wanted = self.state.step_of(self.state.task(start.task))
        rack = start.worker.rack
        home = wanted.data_rack or rack
        if wanted.same_rack:
            home = self.home.setdefault(start.task[:3], rack)
        if wanted.gang and len(self.racks_of(start.task.job)) > 1:
            home = ""
        expected_s = wanted.estimate_s * (1.0 if rack == home else self.factor)
        self.ends[start.task] = self.now + expected_s
        return expected_s * self._random.lognormvariate(0.0, self.error)

    def fill(self, rack: str, left_s: float) -> None:
        """Starts a task that leaves no room on a one-worker rack for `left_s` s from now on."""
        estimate_s = left_s + self.PASS_INTERVAL_S
        job_id = self.submit("", step(1, 16_000, data_rack=rack, estimate_s=estimate_s))
        assert [task.job for task in self.run_pass()] == [job_id]


def filled(factor: float, left_s: float, *, workers: int = 3, **fields: Any) -> RackSimulation:
    """Returns a pool of one-worker racks, of which `r1` has no room for `left_s` seconds."""
    simulation = RackSimulation(factor, workers=workers, racks=workers, **fields)
    simulation.fill("r1", left_s)
    return simulation


@pytest.mark.parametrize(
    ("factor", "left_s", "estimate_s", "waits"),
    [(3.0, 0.05, 0.7, True), (1.5, 2.0, 0.7, False), (1.5, 0.3, 0.7, True), (1.5, 0.4, 0.7, False)],
)
def test_a_task_waits_if_the_slot_is_free_before_the_gain_is_lost(
    factor, left_s, estimate_s, waits
):
    """Guards against a remote start just before a local slot, and a wait that costs more."""
    simulation = filled(factor, left_s)
    job_id = simulation.submit("", step(1, data_rack="r1", estimate_s=estimate_s))
    started = simulation.run_pass()
    assert len(started) == (not waits)
    while simulation.state.jobs[job_id].assigned == 0:
        simulation.run_pass()
    assert simulation.racks_of(job_id) == (["r1"] if waits else ["r2"])


@pytest.mark.parametrize(("latency_s", "waits"), [(1.2, False), (2.4, True)])
def test_a_task_waits_only_if_its_job_is_on_time_by_the_learned_durations(latency_s, waits):
    """Guards against waits that make jobs late whose tasks take longer than declared.

    By the declared durations, the job of the first row is late whether its task waits or not.
    """
    simulation = filled(1.5, 1.0, queues=(queue(latency_s=latency_s),))
    for number in range(400):
        run = ObservedRun("proofs", "", "", f"{number:016x}", 1, 1.0, 3.0)
        simulation.durations.observe(run, simulation.now)
    simulation.duration_s = lambda _queue, wanted: 3.0 * wanted.estimate_s
    simulation.submit("", step(1, data_rack="r1"))
    assert len(simulation.run_pass()) == (not waits)


def test_a_slow_local_worker_is_waited_for_only_if_it_is_sooner_all_the_same():
    """Guards against a wait for a worker that takes longer than a start elsewhere."""
    for slowdown, waits in ((1.5, True), (2.4, False)):
        simulation = filled(3.0, 1.0)
        speeds = defaultdict(WorkerSpeed, w0=WorkerSpeed(slowdown))
        simulation.scheduler._worker_speed = speeds.__getitem__
        simulation.submit("", step(1, data_rack="r1"))
        assert len(simulation.run_pass()) == (not waits)


def test_only_as_many_tasks_wait_as_the_queue_is_shorter_than_the_gain():
    """Guards against a hundred tasks that all wait for one slot."""
    simulation = filled(3.0, 0.2, workers=12)
    simulation.submit("", step(100, 4000, data_rack="r1", estimate_s=0.5))
    # The gain is 1 s; slots for four tasks are free after 0.2 s, 0.7 s, 1.2 s ...
    assert len(simulation.run_pass()) == 11 * 4
    assert len(simulation.scheduler.locality.waiting) == 100 - 11 * 4 - 48
    assert len(simulation.scheduler.locality.waiting) == 8


def test_an_overdue_run_or_taken_slots_do_not_starve_a_task():
    """Guards against a task that waits for a slot that never comes."""
    for takes_slots in (False, True):
        simulation = filled(3.0, 0.1 if takes_slots else 0.3, workers=12)
        if not takes_slots:
            simulation._runs[0] = (99.0, *simulation._runs[0][1:])
        job_id = simulation.submit("", step(1, 2000, data_rack="r1", estimate_s=0.5))
        began = simulation.now
        while not simulation.state.jobs[job_id].started:
            if takes_slots:  # by more urgent work, each time
                urgent = step(1, 16_000, estimate_s=0.1, data_rack="r1")
                simulation.state.queues["urgent"] = queue("urgent", priority=-1)
                simulation.submit("", urgent, queue="urgent")
            simulation.run_pass()
        assert simulation.now - began <= 1.0 + 2 * simulation.PASS_INTERVAL_S


def test_a_wait_holds_back_no_other_team():
    """Guards against free slots that are kept for a task that waits."""
    simulation = filled(3.0, 0.5)
    waiting = simulation.submit("", step(1, 16_000, data_rack="r1"))
    others = [simulation.submit("b", step(2, 8000)), simulation.submit("c", step(2, 8000))]
    started = {task.job for task in simulation.run_pass()}
    assert started == set(others)
    assert {task.job for task in simulation.scheduler.locality.waiting} == {waiting}


def test_a_wait_ends_when_a_start_elsewhere_is_just_in_time():
    """Guards against a job that is late since it waited in vain."""
    for latency_s, waits in ((1.5, False), (9.0, True)):
        simulation = filled(3.0, 0.6)
        simulation.state.queues["proofs"] = queue(stretch=2.3, latency_s=latency_s)
        simulation.submit("", step(1, data_rack="r1"))
        assert len(simulation.run_pass()) == (not waits)


def test_instances_in_transit_count_unless_their_rack_is_lost():
    """Guards against a remote start while an instance near the data arrives, or a wait in vain."""
    arrival = Arrival("r9", 0.2, Resources(16_000, 64_000), ())
    for lost in (False, True):
        simulation = filled(3.0, 0.1)
        simulation.arriving = [arrival]
        if lost:  # a worker of another pool, which doesn't answer
            simulation.state.apply(cmds.PutWorker(worker("w9", rack="r9", pool="q")))
        simulation.submit("", step(1, data_rack="r9"))
        simulation.scheduler.plan = partial(plan_own_pool, simulation.scheduler.plan)
        assert len(simulation.run_pass()) == lost


def plan_own_pool(plan: Any, workers: dict, now: float) -> list[PlannedStart]:
    return plan({"p": workers["p"]}, now)


def test_moved_instances_are_expected_after_the_time_of_a_move():
    """Guards against waits for instances that still drain, are in another pool or long overdue."""
    changes = {
        name: Change(f"m-{name}", 0.0, pool=pool, phase=phase, ordered_at=10.0)
        for name, pool, phase in (
            ("w1", "p", ChangePhase.RETURNING),
            ("w2", "p", ChangePhase.DRAINING),
            ("w3", "q", ChangePhase.RETURNING),
        )
    }
    clock = Clock()
    transit = InstancesInTransit(
        clock.seconds,
        changes=changes,
        instances=lambda: {f"m-{name}": instance(name, "standby") for name in changes},
        times=ObservedTimes(),
        policy=DEFAULT_POLICY,
    )
    for now, left_s in ((10.5, 1.0), (13.5, 2.0)):
        clock.advance(now - clock.seconds())
        assert [(row.rack, row.in_s) for row in transit.arrivals("p")] == [("r1", left_s)]


def test_a_gang_waits_for_one_rack_or_starts_across_several():
    """Guards against a gang across racks just before one has room, and one that waits forever."""
    for left_s, racks in ((0.3, ["r1"]), (2.5, ["r2", "r3"])):
        simulation = filled(3.0, left_s)
        for rack in ("r2", "r3"):  # half of each for long
            simulation.submit("", step(1, 8000, data_rack=rack, estimate_s=9.0))
        simulation.run_pass()
        job_id = simulation.submit("", step(4, 4000, gang=True, same_rack=True))
        simulation.run_pass()
        assert bool(simulation.state.jobs[job_id].assigned) == (racks != ["r1"])
        while not simulation.state.jobs[job_id].assigned:
            simulation.run_pass()
        assert simulation.racks_of(job_id) == racks


def test_a_gang_that_no_rack_can_hold_does_not_wait():
    """Guards against members that are to follow one another on the slots of one rack."""
    simulation = filled(3.0, 0.1)
    simulation.submit("", step(5, 4000, gang=True, same_rack=True))
    assert len(simulation.run_pass()) == 5


@pytest.mark.parametrize("gang", [False, True])
def test_a_step_kept_on_one_rack_starts_where_it_fits_whole(gang):
    """Guards against a step whose first task takes the fullest rack and the others have no room."""
    for waits, racks in ((True, ["r3"]), (False, ["r2", "r3"])):
        simulation = filled(1.5, 9.0, workers=4, waits=waits)
        simulation.submit("", step(1, 8000, data_rack="r2", estimate_s=9.0))
        simulation.submit("", step(1, 4000, data_rack="r3", estimate_s=9.0))
        simulation.run_pass()
        job_id = simulation.submit("", step(3, 4000, same_rack=True, gang=gang))
        simulation.run_pass()
        assert simulation.racks_of(job_id) == racks


def test_steps_that_name_no_rack_start_as_without_waits():
    """Guards against a change for deployments whose steps name no rack."""
    rows = []
    for waits in (False, True):
        simulation = RackSimulation(3.0, waits=waits, workers=6, racks=3)
        for number in range(20):
            simulation.submit("", step(number % 5 + 1, 3000, lasting=number % 7 == 0))
        rows.append([simulation.run_pass() for _ in range(60)])
    assert rows[0] == rows[1]


def start_owner(factor: float = 3.0) -> OwnerHarness:
    """Starts an owner with a rack full of a task of 1 s and a further task for this rack."""
    harness = OwnerHarness(policy=replace(DEFAULT_POLICY, spread_factor=factor))
    harness.apply(cmds.Configure(config(queue())))
    harness.apply(*(cmds.PutWorker(worker(f"w{n}", rack=f"r{n}")) for n in (1, 2)))
    for job_id in ("a", "b"):
        harness.apply(cmds.SubmitJob(job(step(1, WORKER_CPU, data_rack="r1"), job_id=job_id)))
    harness.owner.start()
    harness.run(0.3)
    return harness


def started(harness: OwnerHarness) -> list[tuple[str, str, int]]:
    return [(name, order.task.job, order.run) for name, order in harness.workers.starts]


def test_the_owner_starts_the_task_elsewhere_as_soon_as_the_rack_is_lost(monkeypatch):
    """Guards against a wait for a rack that has no usable worker, and a line for each pass."""
    events = []
    monkeypatch.setattr(logs, "event", lambda name, **pairs: events.append((name, pairs)))
    harness = start_owner()
    assert started(harness) == [("w1", "a", 1)]
    [waits] = [pairs for name, pairs in events if name == "locality_wait"]
    assert (waits["job"], waits["rack"], waits["gain_s"]) == ("b", "r1", 2.0)
    assert waits["expected_s"] == pytest.approx(1.0, abs=0.1)
    harness.workers.holds.pop("w1").errback(CallFailed("connection reset", sent=True))
    harness.run(0.1)
    assert started(harness)[1:] == [("w2", "b", 1)]


def test_the_owner_ends_a_wait_by_time():
    """Guards against a task that waits for an overdue run until some event starts a pass."""
    harness = start_owner()
    harness.run(1.0)
    assert started(harness) == [("w1", "a", 1)]
    harness.run(0.5)  # the run is overdue by 0.5 s at 1.5 s, and the gain is 2 s
    assert started(harness)[1:] == [("w2", "b", 1)]


def test_a_new_owner_decides_again_and_starts_nothing_twice():
    """Guards against a second run after a change of owner in the middle of a wait."""
    former = start_owner()
    former.owner.stop()
    new = OwnerHarness(
        state=former.state,
        workers=former.workers,
        clock=former.clock,
        term=8,
        policy=replace(DEFAULT_POLICY, spread_factor=3.0),
    )
    new.workers.holds.clear()
    new.owner.start()
    new.run(0.4)
    assert started(new) == [("w1", "a", 1)]
    new.workers.end("w1", TaskId("a", 0, 0, 0))
    new.run(0.2)
    assert started(new) == [("w1", "a", 1), ("w1", "b", 1)]


def mean_completion_s(factor: float, fields: dict[str, Any], *, waits: bool, error: float) -> float:
    """Returns the mean time from submission to the end of jobs with 8 tasks, in seconds."""
    simulation = RackSimulation(factor, waits=waits, error=error, workers=24, racks=6)
    numbers = random.Random(1)
    for number in range(160):
        if number % 4 == 0:
            data = fields or {"data_rack": f"r{numbers.randint(1, 6)}"}
            estimate_s = numbers.uniform(0.68, 1.4)
            simulation.submit("", step(8, 5000, estimate_s=estimate_s, **data))
        simulation.run_pass()
    while simulation.state.active:
        simulation.run_pass()
    return mean(r.ended - r.job.submitted for r in simulation.state.jobs.values())


@pytest.mark.parametrize("fields", [{}, {"same_rack": True}, {"same_rack": True, "gang": True}])
@pytest.mark.parametrize(("factor", "error"), [(1.5, 0.0), (1.5, 0.5), (3.0, 0.0), (3.0, 0.5)])
def test_waits_shorten_the_mean_time_to_completion(factor, error, fields):
    """Guards against waits that cost the callers more than they save."""
    means = [mean_completion_s(factor, fields, waits=w, error=error) for w in (False, True)]
    assert means[1] < means[0], means
