"""The capacity planner: how many instances a pool needs, and which instances move."""

from __future__ import annotations

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs.capacity.allocation import PoolNeed, joint_targets
from geraniumtrack.jobs.capacity.demand import Demand, demand_by_pool
from geraniumtrack.jobs.capacity.planner import (
    CapacityPlanner,
    MovableInstance,
    MoveReason,
    PoolLoad,
)
from geraniumtrack.jobs.instances.machine_port import Instance, InstanceState
from geraniumtrack.jobs.instances.pool_loads import pool_loads
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Resources
from tests.jobs_support import WORKER_CPU, config, job, queue, step, worker

MEMORY_MB = 128_000


def count_moves(load: PoolLoad, spare: int = 20) -> int:
    """Returns how many of `spare` standby instances the planner moves to a pool."""
    load.instance_cpu, load.instance_memory_mb = WORKER_CPU, MEMORY_MB
    instances = [MovableInstance(f"m{number}") for number in range(spare)]
    return len(CapacityPlanner().plan([load], instances, "standby", 0.0))


def demand_of(*steps) -> Demand:
    """Returns the demand of a pool with one job of these steps."""
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    state.apply(cmds.SubmitJob(job(*steps)))
    return demand_by_pool(state, 0.0)["p"]


def test_a_pool_gets_a_worker_for_each_task_that_must_run_alone():
    """Guards against service tasks that never start because `max_per_worker` keeps them apart."""
    demand = demand_of(step(17, cpu=1000, lasting=True, max_per_worker=1))
    assert count_moves(PoolLoad("p", 3, demand)) == 14


def test_tasks_that_share_a_worker_need_fewer_workers():
    """Guards against planning one worker for each task although `max_per_worker` allows two."""
    demand = demand_of(step(24, cpu=1000, lasting=True, max_per_worker=2))
    assert demand.min_workers == 12


def test_a_pool_gets_enough_instances_for_the_memory_of_its_tasks():
    """Guards against tasks that wait for memory because the planner counted only CPU."""
    demand = Demand(lasting=1000, memory_mb=6 * MEMORY_MB)
    assert count_moves(PoolLoad("p", 3, demand)) >= 4


def growth_after(*, before: int, recent: int, cpu: int = 1000) -> float:
    """Returns the expected growth of a pool by the jobs that arrived in two trend windows."""
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    for number in range(before + recent):
        submitted = 0.1 if number < before else 1.0
        new_job = job(step(cpu=cpu), job_id=f"{number:016x}", submitted=submitted)
        state.apply(cmds.SubmitJob(new_job))
    return demand_by_pool(state, 1.5)["p"].growth


def test_growth_of_the_arrival_rate_is_extrapolated_over_the_lead_time_of_a_move():
    """Guards against a pool that lags behind a peak by the time that a move of instances takes."""
    assert growth_after(before=10, recent=40) > 30_000


def test_neither_a_steady_rate_nor_a_few_large_jobs_count_as_growth():
    """Guards against moving instances because of random variations of the arrivals."""
    assert growth_after(before=40, recent=40) == 0.0
    assert growth_after(before=0, recent=3, cpu=60_000) == 0.0


def test_a_pool_gets_an_instance_with_the_label_that_a_task_needs():
    """Guards against tasks that never start because no instance of a large pool has their label."""
    load = PoolLoad("p", 5, demand_of(step(2, label="b")), WORKER_CPU, MEMORY_MB)
    load.labels["a"] = 5
    spare = [MovableInstance("m1", ("a",)), MovableInstance("m2", ("b",))]
    moves = CapacityPlanner().plan([load], spare, "standby", 0.0)
    assert [(move.instance, move.pool) for move in moves] == [("m2", "p")]


def test_the_only_instance_with_a_needed_label_is_not_moved_away():
    """Guards against shrinking a pool by the only instance on which some of its tasks can run."""
    load = PoolLoad("p", 5, demand_of(step(2, label="b")), WORKER_CPU, MEMORY_MB)
    load.labels.update({"a": 4, "b": 1})
    load.idle = [MovableInstance("m2", ("b",)), MovableInstance("m1", ("a",))]
    planner = CapacityPlanner()
    planner.plan([load], [], "standby", 0.0)
    moves = planner.plan([load], [], "standby", 9.0)
    assert [move.instance for move in moves] == ["m1"]


def test_instances_near_the_data_of_tasks_are_moved_first():
    """Guards against tasks that read their input from another rack although this can be avoided."""
    load = PoolLoad("p", 3, demand_of(step(2, cpu=60_000, data_rack="r2")), WORKER_CPU, MEMORY_MB)
    spare = [MovableInstance("m1", ("a", "r1")), MovableInstance("m2", ("a", "r2"))]
    moves = CapacityPlanner().plan([load], spare, "standby", 0.0)
    assert moves[0].instance == "m2"


def pool_with_small_workers(*, large: int, small: int) -> PoolLoad:
    """Returns a pool that needs 3.75 large instances and has workers of two sizes, all idle."""
    load = PoolLoad("p", 0, Demand(lasting=3 * WORKER_CPU))
    for number in range(large + small):
        capacity = Resources(WORKER_CPU if number < large else WORKER_CPU // 2, MEMORY_MB)
        load.add_worker(capacity)
        load.add_instance(MovableInstance(f"m{number}"))
    load.idle = [MovableInstance(f"m{number}") for number in range(large + small)]
    return load


def test_a_pool_with_workers_of_two_sizes_does_not_grow_and_shrink_in_turn():
    """Guards against moves without end: a pool at its target stays as it is in the next pass."""
    spare = [MovableInstance("s1")]
    for large, small, moved in ((1, 5, 2), (3, 5, 0), (4, 5, -1)):
        planner = CapacityPlanner()
        grown = planner.plan([pool_with_small_workers(large=large, small=small)], spare * 9, "", 0)
        load = pool_with_small_workers(large=large, small=small)
        planner.plan([load], [], "standby", 0.0)
        shrunk = planner.plan([load], [], "standby", 9.0)
        assert len(grown) - len(shrunk) == moved


POOL_NEEDS = st.dictionaries(
    st.text("abc", min_size=1, max_size=3),
    st.tuples(st.integers(0, 20), st.integers(0, 500)).map(
        lambda pair: PoolNeed(pair[0], sum(pair))
    ),
    min_size=1,
)


@given(POOL_NEEDS, st.integers(0, 400))
def test_pools_share_the_fleet_max_min_fair(needs, fleet_size):
    """Guards against targets beyond the fleet, and against a backlog that starves small needs."""
    targets = joint_targets(needs, fleet_size)
    given_out = sum(targets.values())
    assert all(need.minimum <= targets[name] <= need.wanted for name, need in needs.items())
    minimum = sum(need.minimum for need in needs.values())
    assert given_out == max(min(fleet_size, sum(n.wanted for n in needs.values())), minimum)
    extra = {name: targets[name] - need.minimum for name, need in needs.items()}
    for name, need in needs.items():
        if targets[name] < need.wanted:
            assert extra[name] >= max(extra.values()) - 1


def loads_with_backlog() -> list[PoolLoad]:
    """Returns a pool whose backlog needs ten times the fleet, and one that needs ten instances."""
    backlog = PoolLoad("backlog", 0, Demand(on_time=400 * WORKER_CPU), WORKER_CPU, MEMORY_MB)
    for number in range(40):
        instance = MovableInstance(f"b{number}")
        backlog.add_instance(instance)
        backlog.drainable.append(instance)
    peak = PoolLoad("peak", 0, Demand(on_time=7 * WORKER_CPU), WORKER_CPU, MEMORY_MB)
    return [backlog, peak]


def test_a_backlog_does_not_keep_a_pool_from_the_instances_of_its_peak():
    """Guards against a queue whose peak waits for seconds behind the backlog of another queue."""
    moves = CapacityPlanner().plan(loads_with_backlog(), [], "standby", 0.0)
    assert [move.pool for move in moves] == ["peak"] * 10
    assert {move.reason for move in moves} == {MoveReason.REBALANCE}


def test_without_joint_planning_a_backlog_keeps_its_instances():
    """Shows what the switch changes: busy instances stay where they are."""
    planner = CapacityPlanner(PolicySettings(joint_capacity=False))
    assert planner.plan(loads_with_backlog(), [], "standby", 0.0) == []


def test_a_pool_is_spread_over_racks():
    """Guards against the loss of one rack that takes most of a pool."""
    load = PoolLoad("p", 0, Demand(on_time=4 * WORKER_CPU), WORKER_CPU, MEMORY_MB)
    spare = [
        MovableInstance(f"m{rack}{number}", ("a", f"r{rack}"), f"r{rack}")
        for rack in range(3)
        for number in range(12)
    ]
    CapacityPlanner().plan([load], spare, "standby", 0.0)
    assert [load.labels[f"r{rack}"] for rack in range(3)] == [2, 2, 2]


def test_an_instance_that_would_go_to_standby_goes_to_the_next_pool_instead():
    """Guards against two moves, one to standby and one from it, where pools peak in turn."""
    over, under = PoolLoad("over", 8, Demand()), PoolLoad(
        "under", 3, Demand(on_time=4 * WORKER_CPU)
    )
    over.idle = [MovableInstance(f"m{number}") for number in range(5)]
    over.instance_cpu = under.instance_cpu = WORKER_CPU
    spare = [MovableInstance(f"s{number}") for number in range(9)]
    planner = CapacityPlanner()
    planner.plan([over], [], "standby", 0.0)
    assert {m.instance[0] for m in planner.plan([over, under], spare, "standby", 0.4)} == {"s"}
    under.instance_count = 3
    moves = planner.plan([over, under], spare, "standby", 0.5)
    assert {(m.instance[0], m.pool, m.reason) for m in moves} == {("m", "under", "transfer")}


def test_a_pool_that_is_served_again_is_not_oversized_since_before():
    """Guards against instances that leave at once a pool that a queue has just been given."""
    planner, other = CapacityPlanner(), PoolLoad("other", 3, Demand())
    planner.plan([PoolLoad("p", 5, Demand()), other], [], "standby", 0.0)
    planner.plan([other], [], "standby", 5.0)
    back = PoolLoad("p", 5, Demand(), idle=[MovableInstance("m1")])
    assert planner.plan([back, other], [], "standby", 10.0) == []


def test_an_instance_that_is_back_is_counted_once():
    """Guards against shrinking a pool by the instances that have just arrived.

    The instance list is up to a second old and still shows them as moving.
    """
    state = JobsState()
    state.apply(cmds.Configure(config(queue())))
    state.apply(cmds.PutWorker(worker()))
    info = state.workers["w1"]
    session = SimpleNamespace(worker=info, leaving=False, silent=False, reported=True)
    listed = Instance(
        info.instance, info.pool, InstanceState.MOVING, info.data_centre, "r1", 1, 1, (), "w1"
    )
    loads = pool_loads(
        state,
        sessions={"w1": session},
        instances={info.instance: listed},
        changing=(),
        arriving={},
        now=0.0,
    )
    assert loads[0].instance_count == 1


def refused_moves(load: PoolLoad, other: PoolLoad, *spare: str) -> list[tuple[str, str]]:
    """Returns the moves planned if the pools `p` and `standby` have refused the instance `m1`."""
    refused = {("m1", "p"), ("m1", "standby")}
    planner = CapacityPlanner()
    instances = [MovableInstance(name) for name in spare]
    moves = []
    for now in (0.0, 10.0):  # a pool must be oversized for a while before others get its instances
        load.instance_count, other.instance_count = 2, 4
        other.idle = other.idle and [MovableInstance("m1"), MovableInstance("m2")]
        other.drainable = other.drainable and [MovableInstance("m1"), MovableInstance("m2")]
        moves = planner.plan([load, other], instances, "standby", now, refused)
    return [(move.instance, move.pool) for move in moves]


def test_a_pool_gets_another_instance_in_place_of_one_that_it_refused():
    """Guards against a pool that stays short, as the same instance is planned in each tick."""
    size = {"instance_cpu": WORKER_CPU, "instance_memory_mb": MEMORY_MB}
    short = PoolLoad("p", 2, Demand(), **size)
    spacious = PoolLoad("q", 4, Demand(), **size)
    assert refused_moves(short, spacious, "m1", "m2") == [("m2", "p")]
    spacious.idle = [MovableInstance("m1")]
    assert refused_moves(short, spacious) == [("m2", "p")]
    spacious.idle, spacious.drainable = [], [MovableInstance("m1")]
    assert refused_moves(short, spacious) == [("m2", "p")]


def test_another_instance_goes_to_standby_in_place_of_one_that_is_refused():
    """Guards against an oversized pool that keeps an idle instance, as another can't leave."""
    size = {"instance_cpu": WORKER_CPU, "instance_memory_mb": MEMORY_MB}
    planner = CapacityPlanner()
    for now in (0.0, 10.0):
        load = PoolLoad("q", 4, Demand(), **size)
        load.idle = [MovableInstance("m1"), MovableInstance("m2")]
        moves = planner.plan([load], [], "standby", now, {("m1", "standby")})
    assert [(move.instance, move.pool) for move in moves] == [("m2", "standby")]
