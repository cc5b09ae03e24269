"""Which runs are stopped for jobs that would miss their deadline, as a decision without an owner.

The load: a pool full of runs of a lower standing, and an on-time job that finds no room.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.scheduling.pass_steps import MAX_EXAMINED_JOBS
from geraniumtrack.jobs.scheduling.preemption import choose_preemptions
from geraniumtrack.jobs.scheduling.scheduler import Scheduler
from geraniumtrack.jobs.scheduling.victims import PoolRun, run_times
from geraniumtrack.jobs.scheduling.worker_speed import NORMAL_SPEED, WorkerSpeed
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import JobTeam, Resources, TaskId
from geraniumtrack.jobs.state.records import tasks_of
from tests.jobs_support import config, job, queue, record_start, step, worker

POLICY = replace(DEFAULT_POLICY, stop_grace_s=0.4, spread_factor=3.0)
NOW = 200.0
LONG = {"estimate_s": 20.0}  # of victims, which then have long to go
URGENT = NOW - 0.3  # a job with a path of 1 s submitted then has to start within 0.7 s


class Pool:
    """A pool with queues `high`, `proofs` and `low` by priority, and teams of different weights."""

    def __init__(self, *cores: int, cap: int = 0, **labels: tuple[str, ...]) -> None:
        self.state = JobsState()
        queues = [queue(name, priority=n) for n, name in enumerate(("high", "proofs", "low"))]
        teams = (JobTeam("a", ("a",), 2.0), JobTeam("none", ("n",), 0.0))
        teams += (JobTeam("capped", ("c",), 2.0, Resources(cap)),)
        self.state.apply(cmds.Configure(config(*queues, teams=teams)))
        for number, count in enumerate(cores):
            name, size = f"w{number}", Resources(count * 1000, 64_000)
            fields = {"address": f"{name}:1", "rack": name, "labels": labels.get(name, ())}
            self.state.apply(cmds.PutWorker(worker(name, capacity=size, **fields)))
        self.elapsed_s: dict[str, float] = {}
        self.leaving: set[TaskId] = set()
        self.protected: set[TaskId] = set()
        self.unavailable: set[str] = set()
        self.speeds: dict[str, WorkerSpeed] = {}

    def submit(self, *steps, queue="proofs", team="a", at=URGENT) -> str:
        job_id = f"{len(self.state.jobs):016x}"
        new = job(*steps, job_id=job_id, queue=queue, team=team, submitted=at)
        self.state.apply(cmds.SubmitJob(new))
        return job_id

    def start(self, *steps, on="w0", elapsed_s=0.5, at=NOW - 0.5, queue="low", **fields) -> str:
        job_id = self.submit(*steps, at=at, queue=queue, **fields)
        for index, task in enumerate(tasks_of(self.state.jobs[job_id])):
            name = on if isinstance(on, str) else on[index]
            self.state.apply(record_start(task.id, 1, name))
        self.elapsed_s[job_id] = elapsed_s
        return job_id

    def choose(self, limit: int = 99) -> list[tuple[str, str]]:
        """Returns job and reason of the runs to stop, in the order in which they are chosen."""
        scheduler = Scheduler(
            state=lambda: self.state,
            tickets=lambda *_: {},
            settled=lambda _: True,
            policy=POLICY,
            worker_speed=lambda name: self.speeds.get(name, NORMAL_SPEED),
        )
        infos = [w for w in self.state.workers.values() if w.id not in self.unavailable]
        rows = [(info, Resources(), False) for info in infos]
        by_pool = scheduler.available_workers_by_pool(rows)
        scheduler.plan(by_pool, NOW)
        found = choose_preemptions(
            scheduler.last_pass.unplaced,
            lambda: [run for available in by_pool["p"] for run in self._runs(available)],
            last_pass=scheduler.last_pass,
            policy=POLICY,
            now=NOW,
            limit=limit,
        )
        return [(item.run.record.job.id, str(item.reason)) for item in found]

    def _runs(self, available):
        for task in self.state.assigned.get(available.worker.id, {}).values():
            record = self.state.jobs[task.id.job]
            spec = record.job.steps[task.id.step]
            fields = {"elapsed_s": self.elapsed_s[task.id.job], "resumed": False}
            times = run_times(spec, available, **fields, policy=POLICY)
            may_stop, leaving = task.id not in self.protected, task.id in self.leaving
            facts = (task, spec, record, self.state.queues[record.job.queue], available)
            yield PoolRun(*facts, *times, may_stop, leaving)


def test_victims_are_expired_then_late_then_beyond_the_rate_then_of_lower_priority():
    """Guards against work of value that is stopped while there is work of less."""
    pool = Pool(5)
    low = pool.start(step(**LONG))
    beyond = pool.start(step(**LONG), team="none", queue="proofs")
    stale = pool.start(step(checkpoints=True, **LONG), at=130.0, queue="high", elapsed_s=3.9)
    fresh = pool.start(step(checkpoints=True, **LONG), at=130.0, queue="high", elapsed_s=4.1)
    expired = pool.start(step(**LONG), at=0.0, queue="high")
    order = [(expired, "expired"), (fresh, "late"), (stale, "late")]  # `fresh` saved just now
    order += [(beyond, "beyond_rate"), (low, "lower_priority")]
    for count in range(1, 6):
        job_id = pool.submit(step(count))
        assert sorted(pool.choose()) == sorted(order[:count])
        pool.state.apply(cmds.CancelJob(job_id, NOW))


def test_nothing_of_equal_or_higher_standing_is_stopped():
    """Guards against jobs that stop each other, and against any stop where nothing calls for it."""
    pool = Pool(3)
    pool.start(step(**LONG), queue="proofs")
    pool.start(step(**LONG), queue="high")
    pool.start(step(**LONG), queue="high", team="none")  # would get its place back
    pool.submit(step())
    assert pool.choose() == []


def test_a_job_whose_last_run_ends_in_time_is_not_late():
    """Guards against a stop of work that is nearly done, since its whole step counts as ahead."""
    pool = Pool(1)
    # The deadline is in 1.7 s; 1.5 s of the run are left.
    pool.start(step(estimate_s=2.0), at=NOW - 2.1, elapsed_s=0.5, queue="high")
    pool.submit(step())
    assert pool.choose() == []


@pytest.mark.parametrize(("estimate_s", "at"), [(2.0, NOW), (1.0, NOW - 0.7)])
def test_runs_are_stopped_only_in_time_and_only_at_the_last_moment(estimate_s, at):
    """Guards against stops for a job that can wait, or that would miss its deadline even so."""
    pool = Pool(1)
    pool.start(step(**LONG))
    pool.submit(step(estimate_s=estimate_s), at=at)
    assert pool.choose() == []


def test_no_run_is_stopped_if_enough_runs_end_by_themselves():
    """Guards against work lost for room that is left in time anyway."""
    pool = Pool(2)
    pool.start(step(**LONG))
    pool.start(step(estimate_s=1.0), queue="high", elapsed_s=0.5)
    first = pool.submit(step())
    assert pool.choose() == []
    pool.submit(step())
    assert [reason for _, reason in pool.choose()] == ["lower_priority"]  # the room is used once
    pool.state.apply(cmds.CancelJob(first, NOW))
    assert pool.choose() == []
    pool.submit(step(estimate_s=10.0), queue="high")  # can wait, but is first in order
    assert len(pool.choose()) == 1


def test_a_job_that_can_start_only_in_part_stops_nothing():
    """Guards against work lost for a job that has no value until all its tasks are done."""
    pool = Pool(2)
    pool.start(step(**LONG))
    pool.start(step(**LONG), queue="high")
    pool.submit(step(1), step(1))  # both steps have to start
    assert pool.choose() == []
    pool = Pool(4)
    pool.start(step(4, **LONG))
    pool.submit(step(4))
    assert pool.choose(limit=3) == []
    assert len(pool.choose(limit=4)) == 4


def test_runs_that_are_never_stopped():
    """Guards against stops of service and best-effort tasks, and of a task twice in a row."""
    pool = Pool(5, 1, 1)
    pool.start(step(lasting=True, **LONG))
    pool.start(step(filler=True, cpu=4000, **LONG))
    again = pool.start(step(4, **LONG))
    pool.protected = {TaskId(again, 0, 0, index) for index in range(4)}
    pool.start(step(estimate_s=1.2), on="w1", elapsed_s=0.5)  # the stop takes as long
    pool.start(step(**LONG), on="w2")
    pool.speeds["w2"] = WorkerSpeed(1.2, True)
    pool.submit(step())
    assert pool.choose() == []


def test_a_gang_is_stopped_as_a_whole_or_not_at_all():
    """Guards against a gang stopped in part, and stops for one of which a member still runs."""
    pool = Pool(1, 1)
    gang = pool.start(step(2, gang=True, **LONG), on=("w0", "w1"))
    pool.submit(step())
    assert pool.choose() == [(gang, "lower_priority")] * 2
    assert pool.choose(limit=1) == []
    pool.unavailable = {"w1"}
    assert pool.choose() == []
    pool.unavailable = set()
    pool.protected = {TaskId(gang, 0, 0, 1)}
    assert pool.choose() == []
    pool = Pool(2)
    pool.start(step(1, **LONG))
    gang = pool.submit(step(2, gang=True))
    pool.state.apply(record_start(TaskId(gang, 0, 0, 0), 1, "w0"))
    pool.elapsed_s[gang] = 0.1
    assert pool.choose() == []


def test_the_place_of_a_run_must_suit_the_waiting_task():
    """Guards against stops on workers where the task can't run, or not in time."""
    pool = Pool(2, 2, w1=("gpu",))
    pool.start(step(2, **LONG), on="w0")
    right = pool.start(step(2, **LONG), on="w1")
    for fields in ({"label": "gpu"}, {"data_rack": "w1"}):
        job_id = pool.submit(step(1, **fields))
        assert [name for name, _ in pool.choose()] == [right]
        pool.state.apply(cmds.CancelJob(job_id, NOW))
    pool.submit(step(2, max_per_worker=1))
    assert len({name for name, _ in pool.choose()}) == 2


def test_a_large_task_takes_the_fewest_runs_on_one_worker():
    """Guards against stops of small runs that don't make room, or more than the task needs."""
    pool = Pool(4, 2)
    late = pool.start(step(cpu=1000, **LONG), at=130.0)
    pool.start(step(2, cpu=1000, **LONG), on="w1", at=130.0)
    large = pool.start(step(cpu=3000, **LONG))
    job_id = pool.submit(step(cpu=3000))
    assert pool.choose() == [(large, "lower_priority")]
    pool.state.apply(cmds.CancelJob(job_id, NOW))
    pool.submit(step(cpu=4000))
    assert {name for name, _ in pool.choose()} == {late, large}


def test_a_team_at_its_cap_and_a_stop_under_way_call_for_no_stop():
    """Guards against work lost for a job that may not start, or that gets room already."""
    pool = Pool(3, cap=2000)
    running = pool.start(step(2, **LONG))
    pool.start(step(**LONG), team="capped", queue="high")
    pool.submit(step(2), team="capped")
    assert pool.choose() == []
    pool.submit(step(1, cpu=2000), team="capped")
    assert pool.choose() == []
    pool.submit(step())
    assert len(pool.choose()) == 1
    pool.leaving = {TaskId(running, 0, 0, 0)}
    assert pool.choose() == []


def test_a_worker_that_is_emptied_for_an_isolated_task_loses_no_runs():
    """Guards against stops on a worker that takes no other tasks, and for a task that needs it."""
    pool = Pool(1, 1)
    pool.start(step(**LONG))
    pool.start(step(**LONG), on="w1")
    isolated = pool.submit(step(), queue="high")
    for run in (1, 2):
        task = TaskId(isolated, 0, 0, 0)
        pool.state.task(task).run = run
        pool.state.apply(cmds.WorkerCrashed("x", 1, NOW, ((tuple(task), run),)))
    assert pool.choose() == []
    pool.submit(step(2))
    assert pool.choose() == []


def test_the_room_of_a_gang_is_counted_once_on_each_worker():
    """Guards against a worker that is given up, as a gang's room seems to suffice there."""
    pool = Pool(2, 2)
    first = pool.start(step(**LONG), on="w0", elapsed_s=0.1)
    gang = pool.start(step(2, gang=True, **LONG), on=["w0", "w1"], elapsed_s=0.2)
    last = pool.start(step(**LONG), on="w1", elapsed_s=0.3)
    pool.submit(step(2, 2000))
    assert sorted(job_id for job_id, _ in pool.choose()) == [first, gang, gang, last]


def test_only_the_first_waiting_jobs_of_a_pool_are_kept_for_examination():
    """Guards against passes that take the longer the more jobs wait, for jobs never examined."""
    pool = Pool(1)
    pool.start(step(**LONG))
    jobs = [pool.submit(step(), step()) for _ in range(2 * MAX_EXAMINED_JOBS)]
    scheduler = Scheduler(state=lambda: pool.state, tickets=lambda *_: {}, settled=lambda _: True)
    workers = scheduler.available_workers_by_pool(
        (info, Resources(), False) for info in pool.state.workers.values()
    )
    scheduler.plan(workers, NOW)
    kept = [item.ready_step.record.job.id for item in scheduler.last_pass.unplaced]
    assert len(kept) == 2 * MAX_EXAMINED_JOBS
    assert len(set(kept)) == MAX_EXAMINED_JOBS < len(jobs)


def test_a_job_that_can_not_be_helped_leaves_its_teams_limit_to_the_next_one():
    """Guards against a team near its limit for which no runs are stopped any more."""
    pool = Pool(2, cap=1000)
    low = pool.start(step(2, **LONG), on=["w0", "w0"])
    pool.submit(step(label="none"), team="capped")
    pool.submit(step(), team="capped")
    assert pool.choose() == [(low, "lower_priority")]
