"""Learned durations: their error and bounds, and what the scheduler and the owner do with them."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from bench.estimates import NewLoad
from geraniumtrack import logs
from geraniumtrack.jobs.capacity.demand import demand_by_pool
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.estimates import (
    HALF_LIFE_S,
    MAX_JOBS,
    MAX_KINDS,
    DurationEstimates,
    ObservedRun,
)
from geraniumtrack.jobs.scheduling.worker_speed import SpeedTracker, WorkerSpeed
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.metrics import metrics
from tests.jobs_support import (
    OwnerHarness,
    PoolSimulation,
    TimedWorkers,
    config,
    job,
    queue,
    step,
    worker,
)

ON, OFF = PolicySettings(), PolicySettings(learned_durations=False)
QUANTILES = (0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 1.0)


def run(ratio: float, name: str = "j", *, tasks: int = 4, declared_s: float = 1.0, **fields):
    """Returns a run of queue `q` that takes `ratio` times its declared duration."""
    row = ObservedRun("q", "", "t", name, tasks, declared_s, ratio * declared_s)
    return row._replace(**fields)


def estimates_of(*ended: ObservedRun, active: tuple[ObservedRun, ...] = (), policy=ON):
    """Returns the estimates after these runs, all of the same time."""
    estimates = DurationEstimates(policy)
    for row in ended:
        estimates.observe(row, 0.0)
    estimates.refresh(active, 0.0)
    return estimates


def factors(estimates: DurationEstimates) -> list[float]:
    """Returns quantiles and mean of queue `q`."""
    return [*(estimates.factor("q", "", q) for q in QUANTILES), estimates.mean("q", "")]


@pytest.mark.parametrize("spread", [0.2, 0.55, 0.9])
@pytest.mark.parametrize("common", [1 / 3, 1.0, 3.0])
def test_the_error_that_the_jobs_of_a_queue_share_is_learned(spread, common):
    """Guards against durations that stay wrong by the factor common to a queue."""
    error, work, *below = NewLoad(spread, common, 20.0).errors()
    assert error < 1.1 * math.exp(0.67 * spread) + 0.05  # what the differences of jobs leave
    assert 0.7 < work < 1.45
    assert all(abs(part - q) < 0.12 for part, q in zip(below, (0.25, 0.75, 0.9), strict=True))


def test_overdue_runs_count_before_the_first_of_them_ends():
    """Guards against a new load of which only the short tasks count."""
    ended = [run(0.5, f"short{n}") for n in range(30)]
    active = tuple(run(3.0, f"long{n}") for n in range(90))
    assert (
        estimates_of(*ended).mean("q", "")
        < 1
        < 2
        < estimates_of(*ended, active=active).mean("q", "")
    )
    started = tuple(run(0.1, f"new{n}") for n in range(90))
    assert factors(estimates_of(active=started)) == [1.0] * 8


ratios = st.floats(0.0, 20.0)


@given(st.lists(st.tuples(ratios, st.floats(0.1, 1e4), st.integers(0, 40)), max_size=60))
def test_one_job_moves_no_quantile_that_orders_jobs(rows):
    """Guards against a job that changes the estimates of all others, whatever it declares."""
    runs = [run(ratio, declared_s=s, tasks=tasks) for ratio, s, tasks in rows]
    found = factors(estimates_of(*runs))
    assert found[2:5] == [1.0] * 3
    assert 0.3 < found[-1] < 6.0


@given(st.integers(0, 600), ratios)
def test_one_team_counts_no_more_than_each_other_one(jobs, ratio):
    """Guards against a team in a burst whose wrong declarations decide for all teams."""
    runs = [run(1.0, f"{team}{n}", team=team) for team in "abc" for n in range(300) for _ in "1234"]
    found = factors(
        estimates_of(*runs, *(run(ratio, f"t{n}") for n in range(jobs) for _ in "1234"))
    )
    assert found[3] == 1.0
    assert 0.7 < found[-1] < 3.0


durations = st.one_of(st.sampled_from([0.0, math.inf, math.nan]), st.floats(-1.0, 1e9))


@given(st.lists(st.tuples(durations, durations), max_size=30), st.booleans())
def test_any_durations_give_usable_ratios(rows, ended):
    """Guards against a division by zero, and against ratios beyond 1/8 and 8."""
    runs = [run(1.0, f"{n}", declared_s=d, observed_s=o) for n, (d, o) in enumerate(rows)]
    estimates = estimates_of(*runs) if ended else estimates_of(active=tuple(runs))
    assert all(1 / 8 - 1e-9 <= factor <= 8 + 1e-9 for factor in factors(estimates))


@given(st.lists(ratios, max_size=20), st.lists(ratios, max_size=10), ratios, ratios)
def test_longer_runs_never_lower_an_estimate(ended, active, shorter, longer):
    """Guards against evidence that has the opposite effect, for ended and for overdue runs."""
    shorter, longer = sorted((shorter, longer))
    ended = [run(ratio, f"e{n}") for n, ratio in enumerate(ended)]
    active = tuple(run(ratio, f"a{n}") for n, ratio in enumerate(active))
    for low, high in (
        (estimates_of(*ended, run(shorter)), estimates_of(*ended, run(longer))),
        (
            estimates_of(*ended, active=(*active, run(shorter))),
            estimates_of(*ended, active=(*active, run(longer))),
        ),
    ):
        pairs = zip(factors(low), factors(high), strict=True)
        assert all(below <= above + 1e-9 for below, above in pairs)


def test_estimates_follow_a_change_and_fade_to_the_prior():
    """Guards against callers that are judged for ever by what they declared once."""
    estimates = estimates_of(*(run(4.0, f"{n}") for n in range(400)))
    assert estimates.factor("q", "", 0.5) > 3.8
    for n in range(400):
        estimates.observe(run(0.5, f"new{n}"), 2 * HALF_LIFE_S)
    estimates.refresh((), 2 * HALF_LIFE_S)
    assert estimates.factor("q", "", 0.5) < 0.55
    estimates.refresh((), 100 * HALF_LIFE_S)  # beyond the range of the stored weights
    assert factors(estimates) == [1.0] * 8
    assert estimates.ratios == {}


def test_the_mean_withstands_a_team_that_declares_absurd_durations():
    """Guards against pools that are sized by one team: the other runs counted for nothing."""
    estimates = DurationEstimates(ON)
    for number in range(3000):
        row = run(2.0, f"{number}", tasks=1, team=f"t{number % 19}")
        if number % 6 == 0:
            row = row._replace(team="absurd", declared_s=1e6)
        estimates.observe(row, number / 50)
    estimates.refresh((), 60.0)
    assert 1.5 < estimates.mean("q", "") < 2.5


def test_memory_is_bounded_and_nothing_is_learned_with_the_switch_off():
    """Guards against callers that invent images, and against a switch without effect."""
    off = estimates_of(*(run(4.0, f"{n}") for n in range(99)), policy=OFF)
    assert factors(off) == [1.0] * 8
    rows = [run(4.0, f"{n}", image=f"{n}", team=f"t{n % 9}") for n in range(MAX_JOBS + 9)]
    many = estimates_of(*rows)
    assert len(many._runs) == MAX_KINDS
    assert len(many._weight_of_job) <= MAX_JOBS


@pytest.mark.parametrize("ended", [True, False])
def test_a_team_that_invents_images_leaves_room_for_those_of_others(ended):
    """Guards against a team whose many images keep those of all others from being learned."""
    invented = [run(4.0, f"{n}", image=f"{n}", team="inventor") for n in range(MAX_KINDS + 9)]
    estimates = estimates_of(*invented) if ended else estimates_of(active=tuple(invented))
    for n in range(99):
        estimates.observe(run(4.0, f"{n}", image="new"), 0.0)
    estimates.refresh((), 0.0)
    assert estimates.factor("q", "new", 0.5) > 3.0
    estimates.refresh((), 100 * HALF_LIFE_S)
    assert not estimates._runs
    again = [run(4.0, f"{n}", image="again", team="inventor") for n in range(99)]
    for row in again:
        estimates.observe(row, 100 * HALF_LIFE_S)
    estimates.refresh((), 100 * HALF_LIFE_S)
    assert estimates.factor("q", "again", 0.5) > 3.0


@pytest.mark.parametrize(("policy", "slowdown"), [(ON, 1.0), (ON, 2.0), (OFF, 1.0)])
def test_the_owner_learns_from_ended_runs_and_a_new_owner_starts_from_the_prior(
    monkeypatch, policy, slowdown
):
    """Guards against runs that teach nothing, and against those of slow workers that do."""
    monkeypatch.setattr(SpeedTracker, "speed", lambda *_: WorkerSpeed(slowdown))
    lines = []
    monkeypatch.setattr(logs, "event", lambda event, **pairs: lines.append((event, pairs)))
    clock = Clock()
    harness = OwnerHarness(policy=policy, clock=clock, workers=TimedWorkers(clock, run_s=3.0))
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    harness.owner.start()
    for number in range(12):
        harness.commit(cmds.SubmitJob(job(step(4), job_id=f"{number:016x}")))
    harness.run(8.0)
    ratio = harness.owner._durations.factor("proofs", "", 0.5)
    changes = [pairs for event, pairs in lines if event == "duration_ratio_changed"]
    if policy is OFF or slowdown > 1.0:
        assert (ratio, changes) == (1.0, [])
        return
    assert 2.7 < ratio < 3.4
    assert changes[-1]["queue"] == "proofs"
    assert 'duration_ratio{queue="proofs"} 2.9' in metrics.render()
    assert OwnerHarness(state=harness.state).owner._durations.factor("proofs", "", 0.5) == 1.0


def served_in_time(common: dict[str, float], policy: PolicySettings) -> float:
    """Returns the part of the jobs done in time by their real durations, in bursts beyond a pool.

    Args:
        common: Ratio of real to declared durations by queue, as learned before.
        policy: Settings of the scheduling policy.
    """
    rng, real = random.Random(2), {}
    simulation = PoolSimulation(
        {"t": 1.0},
        workers=6,
        policy=policy,
        queues=tuple(queue(name) for name in common),
        run_s=lambda task, _: real[task.job],
    )
    for name, n in itertools.product(common, range(200)):
        simulation.durations.observe(run(common[name], f"before{n}", queue=name), 0.0)
    for tick in range(240):
        for _ in range(rng.choices((0, 1, 2), (3, 5, 2) if tick % 90 < 45 else (9, 1, 0))[0]):
            name, real_s = rng.choice(list(common)), rng.uniform(0.7, 1.4)
            spec = step(8, 2000, estimate_s=real_s / common[name] / math.exp(rng.gauss(0, 0.2)))
            real[f"{len(real):016x}"] = real_s
            simulation.submit("t", spec, replace(spec, after=(0,)), queue=name)
        simulation.run_pass()
    records = [simulation.state.jobs[job_id] for job_id in real]
    limits = [r.job.submitted + 3.2 * real[r.job.id] + 0.7 for r in records]  # one pass late
    return sum(0 < r.ended <= limit for r, limit in zip(records, limits, strict=True)) / len(real)


def test_learned_durations_put_queues_with_wrong_declarations_in_order():
    """Guards against queues that are served first, or given up as late, as they declare wrongly."""
    mixed, right, short = {"a": 1 / 3, "b": 1.0, "c": 3.0}, {"a": 1.0}, {"a": 3.0}
    assert served_in_time(mixed, ON) > 1.2 * served_in_time(mixed, OFF)
    assert served_in_time(short, ON) > 0.95 * served_in_time(right, ON)
    assert served_in_time(right, ON) > 0.97 * served_in_time(right, OFF)


def test_work_that_takes_longer_than_declared_is_demand_for_as_long():
    """Guards against a pool that is sized by declarations that are a third of the durations."""
    state = JobsState()
    state.apply(cmds.Configure(config(queue("q"))))
    state.apply(cmds.SubmitJob(job(step(4), queue="q")))
    estimates = estimates_of(*(run(3.0, f"{n}") for n in range(400)))
    assert demand_by_pool(state, 2.0)["p"].arrival_cpu == 0
    assert demand_by_pool(state, 2.0, estimates)["p"].arrival_cpu == pytest.approx(4000, rel=0.1)
