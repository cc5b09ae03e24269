"""Refusal of jobs that can't be done by their expiry, and the metrics of teams.

The load: several teams submit five times what a pool can do, for longer than a job keeps its value.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.admission_control import AdmissionControl
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.instances.machine_port import InstanceState
from geraniumtrack.jobs.messages import AnswerKind
from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.scheduling.admission import PoolOutlook, PoolSupply, check_admission
from geraniumtrack.jobs.scheduling.ordering import expiry
from geraniumtrack.jobs.scheduling.work_ahead import PoolWork
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.model import JobTeam, Resources
from geraniumtrack.jobs.state.team_rates import TeamRates
from geraniumtrack.metrics import metrics
from geraniumtrack.platform.answers import error_reply
from tests.jobs_support import (
    OwnerHarness,
    PoolSimulation,
    config,
    instance,
    job,
    queue,
    step,
    weighted_config,
    worker,
)

WORKERS, CORES = 18, 18 * 16
STEP = step(4, 2000)  # 8 core-seconds, so the pool does 36 jobs per second
QUEUE = queue()
TARGET_S = 1.6 * 1.0 + 0.6
FEW = {"a": 20.0, "b": 10.0, "c": 6.0}
MANY = {f"t{n}": 1.5 + n % 5 * 0.3 for n in range(20)}


class AdmittingPool(PoolSimulation):
    """A pool whose submissions pass through admission control.

    Attributes:
        refusals: Time, team and refusal of each refused job, first to last.
        room_at_refusals: Whether a worker had room for a task, for each refusal.
    """

    def __init__(self, weights=FEW, policy=DEFAULT_POLICY) -> None:
        super().__init__(weights, workers=WORKERS, policy=policy)
        self.policy = policy
        self.refusals: list = []
        self.room_at_refusals: list[bool] = []
        self._random = random.Random(7)
        self._offered = 0
        self.take_over(reported=WORKERS)
        self.now += 60.0

    def take_over(self, reported: int) -> None:
        """Replaces the owner by one to which this number of workers have reported."""
        infos = self.state.workers.values()
        rows = [SimpleNamespace(worker=info, reported=n < reported) for n, info in enumerate(infos)]
        self.sessions = {row.worker.id: row for row in rows}
        self.control = AdmissionControl(
            lambda: 1.001 * self.now,  # so that passes are further apart than the updates
            state=lambda: self.state,
            sessions=lambda: self.sessions,
            supplies=lambda: {"p": PoolSupply(CORES, room=self.room())},
            wall_clock=lambda: self.now,
            policy=self.policy,
        )
        self.control.tick()

    def room(self) -> tuple:
        """Returns labels and free resources of the workers."""
        rows = [(row.worker, Resources(), False) for row in self.sessions.values()]
        found = self.scheduler.available_workers_by_pool(rows)["p"]
        return tuple((item.worker.labels, item.free) for item in found)

    def offer(self, team: str, *steps, **fields) -> bool:
        """Submits a job now; returns whether it is accepted."""
        self._offered += 1
        fields = {"job_id": f"{self._offered:016x}", "submitted": self.now} | fields
        new = job(*(steps or (STEP,)), team=team, **fields)
        refusal = self.control.check(new, self.state.queues[new.queue])
        if refusal is None:
            self.state.apply(cmds.SubmitJob(new))
        else:
            self.refusals.append((self.now, team, refusal))
            room = any(new.steps[0].reserved.fits(free) for _, free in self.room())
            self.room_at_refusals.append(room)
        return refusal is None

    def run(self, seconds: float, rates: dict[str, float]) -> None:
        """Runs the pool while the teams submit jobs at these rates per second."""
        owed = {team: self._random.random() for team in rates}
        for _ in range(round(seconds / self.PASS_INTERVAL_S)):
            for team, rate in rates.items():
                owed[team] += rate * self.PASS_INTERVAL_S
                while owed[team] >= 1:
                    owed[team] -= 1
                    self.offer(team)
            self.control.tick()
            self.run_pass()

    def missed(self) -> list:
        """Returns the accepted jobs that did not end by their expiry."""
        jobs = self.state.jobs.values()
        return [r for r in jobs if not 0 < r.ended <= expiry(r.job, QUEUE, 0) + 1e-6]


def rates(weights: dict[str, float], load: float) -> dict[str, float]:
    """Returns the jobs per second of each team at a multiple of the pool's capacity."""
    return {team: load * 36 * weight / sum(weights.values()) for team, weight in weights.items()}


@pytest.fixture(scope="module")
def peak() -> AdmittingPool:
    """Returns a pool after 20 s of five times its capacity, which began at 62 s."""
    pool = AdmittingPool()
    pool.run(2.0, rates(FEW, 0.5))
    pool.run(20.0, rates(FEW, 5.0))
    pool.run(10.0, {})
    return pool


def test_a_peak_of_five_times_the_capacity_is_refused_in_time(peak):
    """Guards against accepted jobs that are never done, and against capacity left unused."""
    hopeless_after_s = (3 * TARGET_S - 1.0) / 4  # then the backlog exceeds what can be done
    assert 62.0 <= peak.refusals[0][0] <= 62.0 + hopeless_after_s + 1.0
    assert peak.missed() == []
    in_time = [r for r in peak.state.jobs.values() if r.ended <= r.job.submitted + TARGET_S + 1e-6]
    assert len(in_time) >= 0.95 * 36 * 21
    by_team = Counter(record.job.team for record in in_time)
    for team, weight in FEW.items():
        assert by_team[team] / len(in_time) == pytest.approx(weight / 36, rel=0.15)


def test_nothing_is_refused_while_a_worker_has_room(peak):
    """Guards against refusals of jobs that would start at once."""
    assert len(peak.refusals) > 1000
    assert not any(peak.room_at_refusals)


@settings(max_examples=12)
@given(st.floats(0.1, 0.8), st.floats(0.0, 0.8), st.booleans())
def test_no_load_below_the_capacity_and_no_burst_is_refused(load, burst, many):
    """Guards against refusals of jobs that the pool can do by their expiry.

    The burst is the given part of what the load, and running work of at most 1 s of the pool,
    leave until its jobs expire.
    """
    weights = MANY if many else FEW
    pool = AdmittingPool(weights)
    pool.run(2.0, rates(weights, load))
    left_s = max((1 - load) * (3 * TARGET_S - 1.0) - 1.0, 0.0)
    for number in range(int(burst * left_s * 36)):
        pool.offer(list(weights)[number % len(weights)])
    pool.run(1.0, rates(weights, load))
    assert pool.refusals == []


def test_a_team_at_many_times_its_rate_is_refused_and_the_others_are_not():
    """Guards against refusals of teams within their share because of another team's work."""
    pool = AdmittingPool(MANY)
    pool.run(2.0, rates(MANY, 0.7))
    pool.run(6.0, rates(MANY, 0.7) | {"t0": 150.0})
    refused = Counter(team for _, team, _ in pool.refusals)
    assert refused["t0"] > 600
    assert refused.total() - refused["t0"] <= 0.02 * 0.7 * 36 * 6


def test_retries_are_spread_and_those_refused_first_retry_first(peak):
    """Guards against refused jobs that all return at once, and against overtaking."""
    work: Counter[int] = Counter()
    turns = defaultdict(list)
    for at, team, refusal in peak.refusals:
        if refusal.retry_after_s < 30.0:  # the limit
            turns[team].append(at + refusal.retry_after_s)
            work[int(at + refusal.retry_after_s)] += 8
    for times in turns.values():
        assert times == sorted(set(times))
    assert len(work) > 20
    assert max(work.values()) <= 1.5 * CORES
    assert max(refusal.retry_after_s for _, _, refusal in peak.refusals) == 30.0


def test_a_new_owner_refuses_nothing_until_most_workers_have_reported():
    """Guards against refusals by an owner that does not know its workers yet."""
    pool = AdmittingPool()
    pool.run(5.0, rates(FEW, 5.0))
    refused = len(pool.refusals)
    assert refused
    pool.take_over(reported=14)  # 78%
    pool.run(3.0, rates(FEW, 5.0))
    assert len(pool.refusals) == refused
    for session in list(pool.sessions.values())[:15]:
        session.reported = True
    pool.run(1.9, rates(FEW, 5.0))
    assert len(pool.refusals) == refused
    pool.run(1.0, rates(FEW, 5.0))
    assert len(pool.refusals) > refused


def test_a_known_or_committing_id_is_not_refused_and_a_refused_one_is_not_committed():
    """Guards against "not run" for a job that runs, and against a refused job that runs."""
    harness = OwnerHarness(instance("w1"))
    harness.apply(weighted_config(a=20.0), cmds.PutWorker(worker()))
    harness.owner.start()
    harness.run(2.0)
    proposed: list = []

    def propose(command) -> Deferred:
        proposed.append((command, Deferred()))
        return proposed[-1][1]

    service = JobService(
        state=lambda: harness.state,
        propose=propose,
        owner=lambda: harness.owner,
        wall_clock=harness.clock.seconds,
    )

    def submit(name: str) -> list:
        answers: list = []
        request = msgs.JobRequest("h", f"/proofs/{name * 16}", "a")
        call = msgs.SubmitCall(request, "x", (STEP,), 0, 0.0, 0.0)
        service.answer(call).addCallback(answers.append)
        return answers

    first = submit("1")
    for number in range(60):  # 480 core-seconds for 64 cores
        harness.commit(cmds.SubmitJob(job(STEP, job_id=f"{number:016x}", submitted=2.0, team="a")))
    assert submit("2") == []  # too early for this owner
    harness.run(0.3)
    (refused,) = submit("3")
    reply = error_reply(refused)
    assert (refused.kind, reply.status) == (AnswerKind.REFUSED, 503)
    assert int(reply.headers["Retry-After"]) >= refused.retry_after_s > 0
    assert submit("1") == first == []  # both wait for the commit
    assert {command.job.id[0] for command, _ in proposed} == {"1", "2"}
    for command, fut in proposed:
        harness.commit(command)
        fut.callback(None)
    assert [answer.kind for answer in first + submit("1")] == [AnswerKind.OK, AnswerKind.OK]


@pytest.mark.parametrize("policy", [DEFAULT_POLICY, replace(DEFAULT_POLICY, refusal=False)])
def test_without_weights_or_with_the_switch_off_nothing_is_refused(policy):
    """Guards against a change for deployments whose teams have no weights."""
    pool = AdmittingPool({"a": 1.0, "b": 1.0} if policy.refusal else FEW, policy)
    pool.run(3.0, {"a": 180.0})
    assert pool.refusals == []


def test_what_is_unknown_or_exempt_is_accepted():
    """Guards against refusals of service tasks and scheduled jobs, and without knowledge."""
    full = PoolSupply(CORES)
    work = PoolWork()
    work.started[0, False] = 1e6

    def refused(supply=full, *steps, target=QUEUE, **fields) -> bool:
        new = job(*(steps or (STEP,)), team="a", **fields)
        outlook = PoolOutlook(work, {}, supply)
        decision = check_admission(
            new, target, (0, False), outlook, weights=FEW, now=0.0, policy=DEFAULT_POLICY
        )
        return decision is not None

    assert refused()
    labelled = (("x",), STEP.size)
    assert refused(replace(full, room=(labelled,)), step(4, 2000, label="y"))
    assert not refused(replace(full, room=(labelled,)))
    assert not refused(replace(full, known=False))
    assert not refused(PoolSupply(0.0))
    assert not refused(replace(full, standby=1e6))
    assert refused(replace(full, standby=1e6), step(1, 2000, estimate_s=0.0))  # arrives too late
    assert not refused(full, STEP, step(1, lasting=True))
    assert not refused(full, repetitions=2)
    assert not refused(full, step(1, estimate_s=0.0), target=queue(latency_s=0.0))


def test_the_supply_of_a_pool_counts_what_it_can_obtain():
    """Guards against refusals although instances are on their way or on standby."""
    rows = [instance("w1"), instance("w2", state=InstanceState.MOVING), instance("s1", pool="off")]
    harness = OwnerHarness(*rows)
    harness.apply(cmds.Configure(config(queue(), standby="off")))
    supplies = harness.owner._fleet_changes.pool_supplies
    assert not supplies()["p"].known
    harness.owner.start()
    harness.run(0.2)
    found = supplies()["p"]
    assert (found.known, found.in_service, found.arriving) == (True, 0.0, 64.0)
    assert found.standby == 64.0
    harness.machines.instances = Deferred  # the platform does not answer any more
    harness.run(7.0)
    assert not supplies()["p"].known


@given(st.lists(st.tuples(st.sampled_from("ab"), st.floats(0, 5)), max_size=60))
def test_the_rate_of_a_job_is_foreseen_without_taking_a_token(rows):
    """Guards against an order at submission that differs from the committed one."""
    buckets = TeamRates()
    buckets.configure((JobTeam("a", (), 2.0), JobTeam("b", (), 0.0)))
    for team, at in rows:
        assert buckets.allows(team, at) == buckets.allows(team, at) == buckets.take(team, at)


def test_operators_see_shares_and_waiting_jobs_of_the_owner_only():
    """Guards against figures of teams that a former owner goes on showing."""
    pool = AdmittingPool()
    pool.run(3.0, rates(FEW, 5.0))
    text = metrics.render()
    assert 'team_share{pool="p",team="a"} 0.' in text
    assert 'team_waiting_jobs{rate="beyond",team="c"}' in text
    pool.control.stop()
    assert "team_waiting_jobs" not in metrics.render()


def test_a_team_is_judged_by_its_weight_from_the_moment_it_is_configured():
    """Guards against refusals of a new team as one without a share."""
    pool = AdmittingPool()
    pool.run(5.0, rates(FEW, 5.0))
    pool.offer("a")
    pool.state.apply(weighted_config(version=2, **FEW, d=20.0))
    assert pool.offer("d")


def test_retry_turns_are_forgotten_once_they_are_over():
    """Guards against an entry for every team that was ever refused."""
    pool = AdmittingPool()
    pool.run(5.0, rates(FEW, 5.0))
    assert pool.control._retry_at["p"].keys() == FEW.keys()
    pool.run(35.0, {})
    pool.offer("a")
    assert not any(pool.control._retry_at.values())


def test_a_preview_foretells_the_refusal_and_records_nothing():
    """Guards against queries that differ from, or change, the decision on real jobs."""
    pool = AdmittingPool()
    check, control, results = pool.control.check, pool.control, []

    def kept() -> str:
        known = [control._load._jobs, control._committing, control._retry_at, control._ready_at]
        return repr([*known, control._outlooks_at, id(control._outlooks), id(control._work._facts)])

    def compare(new, its_queue):
        before = kept()
        preview = control.preview(new, its_queue)
        assert kept() == before
        results.append((preview, check(new, its_queue)))
        return results[-1][1]

    control.check = compare
    pool.run(5.0, rates(FEW, 5.0))
    assert all(preview == refusal for preview, refusal in results)
    assert 0 < sum(refusal is not None for _, refusal in results) < len(results)
