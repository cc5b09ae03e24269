"""The order of steps and the division of a pool between teams.

The load: one team at eight times its rate beside nineteen others, and teams that together ask for
more than the pool has.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.state.jobs_state import JobsState, TaskPhase
from geraniumtrack.jobs.state.model import JobState
from geraniumtrack.jobs.state.records import tasks_of
from geraniumtrack.protocol.codec import encode
from tests.jobs_support import PoolSimulation, queue, step, weighted_config

OFF = replace(DEFAULT_POLICY, team_rates=False, fair_shares=False)
TARGET_S = 1.6 * 1.0 + 0.6  # target duration of a job with a critical path of 1 s
CORES = 16  # of one worker


def on_time_by_team(factor: int, policy=DEFAULT_POLICY) -> Counter[str]:
    """Returns the jobs done on time over 15 s while team 0 submits `factor` times its rate."""
    rate = 1.7  # of each team; the pool completes 36 jobs/s
    simulation = PoolSimulation({f"t{i}": rate for i in range(20)}, workers=18, policy=policy)
    owed = {f"t{i}": i / 20 for i in range(20)}
    for _ in range(150):
        for team in owed:
            owed[team] += rate * simulation.PASS_INTERVAL_S * (factor if team == "t0" else 1)
            while owed[team] >= 1:
                owed[team] -= 1
                simulation.submit(team, step(4, 2000))
        simulation.run_pass()
    for _ in range(30):
        simulation.run_pass()
    records = simulation.state.jobs.values()
    in_time = [r for r in records if 0 < r.ended <= r.job.submitted + TARGET_S + 1e-6]
    return Counter(record.job.team for record in in_time)


def test_a_team_at_eight_times_its_rate_does_not_delay_the_others():
    """Guards against a peak of one team that makes the jobs of nineteen others late."""
    usual, peak, unguarded = on_time_by_team(1), on_time_by_team(8), on_time_by_team(8, OFF)
    others = [team for team in usual if team != "t0"]
    assert all(peak[team] >= 0.95 * usual[team] for team in others)
    assert sum(unguarded[team] for team in others) < 0.9 * sum(usual[team] for team in others)
    assert peak["t0"] > usual["t0"]  # the room that the others leave is used


def waiting_cores(simulation: PoolSimulation, team: str) -> list[int]:
    """Returns the waiting tasks, of one core each, of a team's jobs that wait."""
    records = (r for r in simulation.state.jobs.values() if r.job.team == team)
    counts = [sum(t.phase is TaskPhase.WAITING for t in tasks_of(record)) for record in records]
    return [count for count in counts if count]


@given(
    st.lists(st.integers(1, 50).map(lambda n: n / 5), min_size=2, max_size=6),
    st.lists(st.tuples(st.integers(0, 5), st.integers(1, 8)), min_size=1, max_size=60),
    st.booleans(),
)
def test_no_team_with_waiting_work_is_below_its_share_by_more_than_a_job(weights, jobs, rates):
    """Guards against a team that gets less than its weight while its jobs wait."""
    teams = [f"t{i}" for i in range(len(weights))]
    policy = replace(DEFAULT_POLICY, team_rates=rates)
    simulation = PoolSimulation(dict(zip(teams, weights, strict=True)), workers=3, policy=policy)
    for number, tasks in jobs:
        simulation.submit(teams[number % len(teams)], step(tasks, 1000))
    used = Counter(simulation.state.jobs[t.job].job.team for t in simulation.run_pass())
    assert used.total() == min(sum(tasks for _, tasks in jobs), 3 * CORES)  # work-conserving
    if any(not record.within_rate for record in simulation.state.jobs.values()) and rates:
        return  # then the rate comes first
    if all(weight == 1.0 for weight in weights):
        return  # then the configuration calls for no shares
    for team, weight in zip(teams, weights, strict=True):
        if waiting_cores(simulation, team):
            entitled = weight / sum(weights) * used.total()
            assert used[team] + 8 >= entitled


def first_started(simulation: PoolSimulation) -> list[str]:
    """Returns the ids of the jobs in the order in which a pass starts them."""
    return list(dict.fromkeys(task.job for task in simulation.run_pass()))


def test_classes_priority_rate_started_and_deadline_decide_in_this_order():
    """Guards against late or expired work, or work beyond a rate, before work that can be done."""
    simulation = PoolSimulation({"a": 2.0, "none": 0.0}, workers=1)
    slow = queue("slow", priority=1)
    simulation.state.apply(weighted_config(queue(), slow, version=2, a=2.0, none=0.0))
    full = step(1, 16_000)
    expired = simulation.submit("a", full)
    simulation.now = 3.0 * TARGET_S - 2.0
    late = simulation.submit("a", full)
    simulation.now += 2.5
    low = simulation.submit("a", full, queue="slow")
    beyond = simulation.submit("none", full)
    simulation.now += 0.1
    within = simulation.submit("a", full)
    service = simulation.submit("a", step(1, 16_000, lasting=True))
    keys = {r.record.job.id: r.sort_key for r in simulation.scheduler.ready_steps(simulation.now)}
    assert sorted(keys, key=keys.get) == [service, within, beyond, low, late, expired]


def test_without_weights_or_with_the_switches_off_the_order_is_by_deadline():
    """Guards against a change for deployments whose teams have no weights."""
    for weights, policy in (({"a": 1.0, "b": 1.0}, DEFAULT_POLICY), ({"a": 9.0, "b": 0.1}, OFF)):
        simulation = PoolSimulation(weights, workers=1, policy=policy)
        expected = []
        for number in range(40):
            simulation.now += 0.001
            expected.append(simulation.submit("ab"[number % 8 == 7], step(1, 500)))
        assert first_started(simulation) == expected[:32]


def test_one_job_of_a_team_beyond_its_rate_counts_as_within_it_once_it_is_due():
    """Guards against a team beyond its rate that is starved, and against its whole surplus."""
    simulation = PoolSimulation({"a": 5.0, "none": 0.0}, workers=1)
    surplus = [simulation.submit("none", step(1, 16_000)) for _ in range(3)]
    simulation.now = 0.7  # of a slack of 1.2 s
    simulation.submit("a", step(1, 16_000))
    keys = {r.record.job.id: r.sort_key for r in simulation.scheduler.ready_steps(simulation.now)}
    assert [keys[name][2] for name in surplus] == [False, True, True]
    assert first_started(simulation) == surplus[:1]
    keys = {r.record.job.id: r.sort_key for r in simulation.scheduler.ready_steps(simulation.now)}
    assert [keys[name][2] for name in surplus[1:]] == [True, True]


def test_a_team_with_a_share_below_one_job_gets_its_turn():
    """Guards against a small team that a pool of few slots never serves within the deadline."""
    simulation = PoolSimulation({"big": 20.0, "small": 0.5}, workers=2)
    small = simulation.submit("small", step(1, 16_000))
    for _ in range(20):
        simulation.submit("big", step(1, 16_000))
        simulation.run_pass()
    assert simulation.state.jobs[small].started


def test_a_changed_weight_counts_from_the_next_pass_and_a_removed_team_comes_last():
    """Guards against waiting jobs that keep an old weight, and against jobs that never run."""
    simulation = PoolSimulation({"a": 9.0, "b": 1.0}, workers=1)
    for _ in range(10):
        for team in ("a", "b"):
            simulation.submit(team, step(1, 2000))
    assert Counter(simulation.state.jobs[j].job.team for j in first_started(simulation))["a"] == 8
    simulation.now += 1.0
    simulation.state.apply(weighted_config(version=2, b=2.0))
    simulation.run_pass()
    state = simulation.state
    running = Counter(
        state.jobs[task.job].job.team for tasks in state.assigned.values() for task in tasks
    )
    assert running == {"b": 8}
    for _ in range(40):
        simulation.run_pass()
    assert {record.state for record in state.jobs.values()} == {JobState.COMPLETED}


def test_the_dominant_share_counts_what_is_scarce_for_a_team():
    """Guards against a team that takes a pool's memory because it uses few processors."""
    simulation = PoolSimulation({"cpu": 2.0, "memory": 2.0}, workers=1)
    big = replace(step(1, 100).size, memory_mb=8000)
    for _ in range(20):
        simulation.submit("memory", replace(step(1, 100), size=big))
        simulation.submit("cpu", replace(step(1, 100), size=replace(big, cpu=1000, memory_mb=4000)))
    started = Counter(simulation.state.jobs[j].job.team for j in first_started(simulation))
    assert started == {"memory": 4, "cpu": 8}


def test_a_new_owner_ranks_jobs_as_the_one_before_it():
    """Guards against an order that a takeover from a snapshot changes."""
    simulation = PoolSimulation({"a": 0.5, "b": 0.5}, workers=1)
    for number in range(60):
        simulation.submit("ab"[number % 2], step(1, 2000))
    before = [r.sort_key for r in simulation.scheduler.ready_steps(0.0)]
    assert {key[2] for key in before} == {False, True}
    simulation.state = JobsState.load(encode(simulation.state.capture()))
    assert [r.sort_key for r in simulation.scheduler.ready_steps(0.0)] == before
