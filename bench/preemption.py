"""Measures what preemption adds to a scheduling pass of the owner.

Five pools have 180 workers of 32 cores with about 2,000 runs of a low priority, and 400 jobs wait.
Run as `python -m bench.preemption`; the seed is fixed. Times are of the processor, median and
largest of several passes; one pool is examined in a pass.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace
from statistics import median

from geraniumtrack import logs
from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.runs.preempter import CHOICE_INTERVAL_S, Preempter
from geraniumtrack.jobs.runs.sent_orders import SentStart
from geraniumtrack.jobs.runs.worker_port import StartOutcome
from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart
from geraniumtrack.jobs.scheduling.scheduler import Scheduler
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import (
    FleetConfig,
    Job,
    JobQueue,
    JobTeam,
    Resources,
    StepSpec,
    WorkerInfo,
    WorkerPool,
)

SEED = 20
POOLS, WORKERS, TEAMS = 5, 180, 20
RUNNING_JOBS, WAITING_JOBS, TASKS = 245, 400, 8
TASK_SIZE = Resources(2800, 2000)
WORKER_SIZE = Resources(32_000, 128_000)
POLICY = replace(DEFAULT_POLICY, stop_grace_s=0.4)
PASSES = 10


class _Session:
    """Stub of the session with a worker; accepts all stops."""

    def __init__(self, worker: WorkerInfo) -> None:
        self.worker = worker
        self.sent_starts: dict = {}
        self.opened_at = 0.0
        self.reported = True
        self.down = False

    def stop(self, *_order, **_options) -> bool:
        return True


class _Owner:
    """The state, the scheduler and the preempter of an owner at one time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.state = JobsState()
        self.state.apply(cmds.Configure(_config()))
        for number in range(WORKERS):
            self.state.apply(cmds.PutWorker(_worker(number)))
        self.sessions = {name: _Session(worker) for name, worker in self.state.workers.items()}
        self.preempter = Preempter(
            lambda: self.now,
            state=lambda: self.state,
            sessions=lambda: self.sessions,
            policy=POLICY,
        )
        self.scheduler = Scheduler(
            state=lambda: self.state,
            tickets=lambda *_: {},
            settled=lambda _: True,
            policy=POLICY,
            claims=self.preempter.claims,
        )

    def submit(self, count: int, priority: int, estimate_s: float) -> None:
        for number in range(count):
            spec = StepSpec(TASKS, TASK_SIZE, estimate_s, checkpoints=random.random() < 0.8)
            job_id = f"{len(self.state.jobs):016x}"
            queue, team = f"q{number % POOLS}-{priority}", f"t{number % TEAMS}"
            self.state.apply(cmds.SubmitJob(Job(job_id, queue, team, "x", (spec,), self.now)))

    def plan(self) -> tuple[dict, list[PlannedStart]]:
        rows = [(session.worker, Resources(), False) for session in self.sessions.values()]
        workers = self.scheduler.available_workers_by_pool(rows)
        return workers, self.scheduler.plan(workers, self.now)

    def start(self) -> int:
        """Starts all tasks that find room; returns their number."""
        _, starts = self.plan()
        rows = tuple((tuple(s.task), s.run, s.worker.id, s.worker.born) for s in starts)
        self.state.apply(cmds.RecordRuns(self.now, starts=rows))
        for planned in starts:
            answered_at = self.now - random.uniform(0.0, 0.2)
            order = SentStart(planned.run, answered_at, answered_at=answered_at)
            order.outcome = StartOutcome.STARTED
            self.sessions[planned.worker.id].sent_starts[planned.task] = order
        return len(starts)

    def pass_ms(self) -> tuple[float, float]:
        """Returns the time in ms of a pass without preemption, and that of preemption."""
        self.now += CHOICE_INTERVAL_S / POOLS  # so that each pass examines one pool
        began = time.process_time()
        workers, _ = self.plan()
        planned = time.process_time()
        self.preempter.handle_pass(workers, self.scheduler.last_pass, ended=(), now=self.now)
        return (planned - began) * 1000, (time.process_time() - planned) * 1000


def _config() -> FleetConfig:
    queues = tuple(
        JobQueue(f"q{pool}-{priority}", "h", f"/q{pool}-{priority}/", f"p{pool}", 3.0, priority)
        for pool in range(POOLS)
        for priority in (0, 1)
    )
    queues = tuple(replace(queue, stretch=1.6, latency_s=0.6) for queue in queues)
    pools = tuple(WorkerPool(f"p{pool}") for pool in range(POOLS))
    teams = tuple(JobTeam(f"t{n}", (f"k{n}",), 1.0 + n * 0.5) for n in range(TEAMS))
    return FleetConfig(1, queues, pools, teams, b"{}")


def _worker(number: int) -> WorkerInfo:
    rack, address = f"r{number // 12}", f"w{number}:1"
    pool = f"p{number % POOLS}"
    return WorkerInfo(f"w{number}", 1, address, pool, "dc", rack, (), WORKER_SIZE, f"m{number}")


def _measure(owner: _Owner, name: str) -> None:
    times = [owner.pass_ms() for _ in range(PASSES)]
    added = [preemption for _, preemption in times]
    print(
        f"{name}: pass {median(plan for plan, _ in times):.1f} ms, "
        f"preemption adds {median(added):.2f} ms, at most {max(added):.2f} ms"
    )


def main() -> None:
    random.seed(SEED)
    logs.event = lambda *_args, **_pairs: None
    owner = _Owner()
    owner.submit(RUNNING_JOBS, 1, 6.0)
    print(f"seed {SEED}, {WORKERS} workers, {owner.start()} runs, {POOLS} pools")
    owner.now = 0.5
    _measure(owner, "nothing waits")
    owner.submit(WAITING_JOBS, 0, 3.0)
    _measure(owner, f"{WAITING_JOBS} jobs wait and have time")
    owner.submit(WAITING_JOBS, 0, 1.0)
    _measure(owner, f"{WAITING_JOBS} more must start at once")


if __name__ == "__main__":
    main()
