"""How many instances the planner wants for a pool, and which moves it makes."""

from __future__ import annotations

from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.capacity import CapacityPlanner, MovableInstance, PoolLoad
from geraniumtrack.jobs.demand import Demand, demand_by_pool
from geraniumtrack.jobs.state import JobsState
from tests.jobs_support import WORKER_CPU, config, job, queue, step

MEMORY_MB = 128_000


def moves_to(load: PoolLoad, spare: int = 20) -> int:
    """Returns how many instances the planner brings to a pool."""
    load.instance_cpu, load.instance_memory_mb = WORKER_CPU, MEMORY_MB
    names = [MovableInstance(f"m{number}") for number in range(spare)]
    return len(CapacityPlanner().plan([load], names, "standby", 0.0))


def demand_of(*steps) -> Demand:
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    state.apply(cmds.SubmitJob(job(*steps)))
    return demand_by_pool(state, 0.0)["p"]


def test_a_pool_has_a_worker_for_each_task_that_must_run_alone():
    """Guards against lasting tasks that wait for good, since a limit keeps them apart."""
    demand = demand_of(step(17, cpu=1000, lasting=True, max_per_worker=1))
    assert moves_to(PoolLoad("p", 3, demand)) == 14


def test_tasks_that_share_a_worker_need_fewer():
    demand = demand_of(step(24, cpu=1000, lasting=True, max_per_worker=2))
    assert demand.min_workers == 12


def test_a_pool_has_room_for_the_memory_of_its_tasks():
    """Guards against tasks that wait because only processor was counted."""
    demand = Demand(lasting=1000, memory_mb=6 * MEMORY_MB)
    assert moves_to(PoolLoad("p", 3, demand)) >= 4


def growth_after(*, before: int, recent: int, cpu: int = 1000) -> float:
    """Returns the growth seen after so many jobs in one span and in the next."""
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    for number in range(before + recent):
        submitted = 0.1 if number < before else 1.0
        new = job(step(cpu=cpu), job_id=f"{number:016x}", submitted=submitted)
        state.apply(cmds.SubmitJob(new))
    return demand_by_pool(state, 1.5)["p"].growth


def test_a_rise_of_many_arrivals_is_carried_on_over_the_time_of_a_move():
    """Guards against a pool that lags behind a peak for as long as instances move."""
    assert growth_after(before=10, recent=40) > 30_000


def test_neither_a_steady_rate_nor_a_few_large_jobs_count_as_growth():
    """Guards against instances sent for because of chance."""
    assert growth_after(before=40, recent=40) == 0.0
    assert growth_after(before=0, recent=3, cpu=60_000) == 0.0


def test_a_pool_gets_an_instance_with_the_label_that_a_task_needs():
    """Guards against jobs that wait for good while the pool has many instances of other kinds."""
    load = PoolLoad("p", 5, demand_of(step(2, label="b")), WORKER_CPU, MEMORY_MB)
    load.labels["a"] = 5
    spare = [MovableInstance("m1", ("a",)), MovableInstance("m2", ("b",))]
    wishes = CapacityPlanner().plan([load], spare, "standby", 0.0)
    assert [(wish.instance, wish.pool) for wish in wishes] == [("m2", "p")]


def test_the_only_instance_with_a_needed_label_stays():
    load = PoolLoad("p", 5, demand_of(step(2, label="b")), WORKER_CPU, MEMORY_MB)
    load.labels.update({"a": 4, "b": 1})
    load.idle = [MovableInstance("m2", ("b",)), MovableInstance("m1", ("a",))]
    planner = CapacityPlanner()
    planner.plan([load], [], "standby", 0.0)
    wishes = planner.plan([load], [], "standby", 9.0)
    assert [wish.instance for wish in wishes] == ["m1"]


def test_instances_near_the_data_of_tasks_come_first():
    load = PoolLoad("p", 3, demand_of(step(2, cpu=60_000, data_rack="r2")), WORKER_CPU, MEMORY_MB)
    spare = [MovableInstance("m1", ("a", "r1")), MovableInstance("m2", ("a", "r2"))]
    wishes = CapacityPlanner().plan([load], spare, "standby", 0.0)
    assert wishes[0].instance == "m2"
