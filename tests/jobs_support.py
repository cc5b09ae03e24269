"""Stand-ins for workers and the machine interface, and builders for jobs."""

from __future__ import annotations

import dataclasses
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.machine_port import ChangeOutcome, Instance, InstanceState
from geraniumtrack.jobs.model import (
    EndKind,
    FleetConfig,
    Job,
    JobQueue,
    Resources,
    RunEnd,
    StepSpec,
    TaskId,
    WorkerInfo,
    WorkerPool,
)
from geraniumtrack.jobs.owner import Owner
from geraniumtrack.jobs.state import JobsState
from geraniumtrack.jobs.worker_port import RunningTask, StartOutcome, WorkerReport

WORKER_CPU = 64_000
JOB_ID = "5c0e7a21d94b36f8"


def queue(name: str = "proofs", pool: str = "p", **fields: Any) -> JobQueue:
    """Returns a queue with fitting defaults."""
    values = {"timeout_s": 3.0, "max_attempts": 3, "stretch": 1.6, "latency_s": 0.6}
    return JobQueue(name=name, host="h", prefix=f"/{name}/", pool=pool, **{**values, **fields})


def config(
    *queues: JobQueue, version: int = 1, teams: tuple = (), standby: str = ""
) -> FleetConfig:
    """Returns a configuration with the pools that the queues name."""
    pools = {item.pool for item in queues}
    found = [WorkerPool(name) for name in sorted(pools)]
    if standby:
        found.append(WorkerPool(standby, standby=True))
    return FleetConfig(version, queues, tuple(found), teams, b"{}")


def worker(name: str = "w1", *, born: int = 1, pool: str = "p", **fields: Any) -> WorkerInfo:
    """Returns a worker with 64 cores."""
    values = {
        "address": f"10.0.0.{sum(name.encode()) % 250}:80",
        "data_centre": "dc1",
        "rack": "r1",
        "labels": ("a", "r1"),
        "capacity": Resources(WORKER_CPU, 128_000),
        "instance": f"m-{name}",
    }
    return WorkerInfo(id=name, born=born, pool=pool, **{**values, **fields})


def job(*steps: StepSpec, job_id: str = JOB_ID, team: str = "", **fields: Any) -> Job:
    """Returns a job of the queue `proofs`."""
    values = {"queue": "proofs", "payload": "x", "submitted": 0.0}
    return Job(id=job_id, team=team, steps=steps, **{**values, **fields})


def step(count: int = 1, cpu: int = 1000, **fields: Any) -> StepSpec:
    """Returns a step whose tasks take a second."""
    return StepSpec(count=count, size=Resources(cpu, 100), **{"estimate_s": 1.0, **fields})


def ended(worker_id: str, born: int, *ends: RunEnd) -> cmds.RecordRuns:
    """Returns the command that records ends."""
    rows = tuple((e.number, tuple(e.task), e.run, str(e.kind), e.checkpoint) for e in ends)
    return cmds.RecordRuns(0.0, ends=((worker_id, born, rows),))


def started(task: TaskId, run: int, worker_id: str, born: int = 1) -> cmds.RecordRuns:
    """Returns the command that records a start."""
    return cmds.RecordRuns(0.0, starts=((tuple(task), run, worker_id, born),))


class FakeWorkers:
    """Implements `WorkerPort` for any number of workers that run what they are told to.

    Attributes:
        starts: Orders of runs, in order.
        stops: Orders to end runs.
        paces: Shares that were set.
        outcome: Answer to starts; UNKNOWN means that the run isn't begun.
        holds: Deferreds of holds that wait, by worker id.
        silent: Workers that answer no hold.
        cut_off: Workers whose holds fail.
    """

    def __init__(self) -> None:
        self.starts: list = []
        self.stops: list = []
        self.paces: list[tuple[TaskId, int]] = []
        self.acknowledges_stops = True
        self.outcome = StartOutcome.STARTED
        self.holds: dict[str, Deferred] = {}
        self.seen: dict[str, int] = {}
        self.silent: set[str] = set()
        self.cut_off: set[str] = set()
        self.running: dict[str, dict[TaskId, RunningTask]] = {}
        self.ends: dict[str, list[RunEnd]] = {}
        self.clock_ms = 1_000_000

    def start(self, worker: WorkerInfo, order: Any) -> Deferred:
        """Begins a run."""
        self.starts.append((worker.id, order))
        if self.outcome is StartOutcome.STARTED:
            row = RunningTask(order.task, order.run, order.checkpoint, 100, 0)
            self.running.setdefault(worker.id, {})[order.task] = row
        return succeed(self.outcome)

    def stop(self, worker: WorkerInfo, order: Any) -> Deferred:
        """Notes an order to end a run."""
        self.stops.append((worker.id, order))
        return succeed(self.acknowledges_stops)

    def hold(self, worker: WorkerInfo, order: Any) -> Deferred:
        """Answers at once if there is something to say, else when `report` is called."""
        self.seen[worker.id] = order.last_acked
        held = self.ends.get(worker.id, [])
        self.ends[worker.id] = [end for end in held if end.number > order.last_acked]
        fut: Deferred = Deferred()
        if worker.id in self.cut_off:
            return fail(CallFailed("no response in time", sent=True))
        self.holds[worker.id] = fut
        if worker.id not in self.silent and (order.wait_s == 0 or self.ends[worker.id]):
            self.report(worker.id)
        return fut

    def pace(self, worker: WorkerInfo, order: Any, percent: int) -> Deferred:
        """Takes any share."""
        self.paces.append((order.task, percent))
        return succeed(True)

    def forget(self, worker: WorkerInfo) -> None:
        """Has nothing to close."""

    def report(self, worker_id: str) -> None:
        """Answers the waiting hold of a worker."""
        fut = self.holds.pop(worker_id, None)
        if fut is not None:
            rows = tuple(self.running.get(worker_id, {}).values())
            fut.callback(WorkerReport(self.clock_ms, rows, tuple(self.ends.get(worker_id, ()))))

    def end(self, worker_id: str, task: TaskId, kind: EndKind = EndKind.DONE) -> None:
        """Ends a run and reports it."""
        row = self.running[worker_id].pop(task)
        held = self.ends.setdefault(worker_id, [])
        number = max([self.seen.get(worker_id, 0), *(e.number for e in held)]) + 1
        held.append(RunEnd(number, task, row.run, kind, row.checkpoint))
        self.report(worker_id)


class FakeMachines:
    """Implements `MachinePort`; `orders` lists what was ordered."""

    def __init__(self, *instances: Instance) -> None:
        self.listed = list(instances)
        self.orders: list[tuple] = []
        self.outcome = ChangeOutcome.DONE

    def instances(self) -> Deferred:
        """Returns the list."""
        return succeed(list(self.listed))

    def move(self, instance: str, pool: str, *, fence: int) -> Deferred:
        """Notes a move."""
        self.orders.append(("move", instance, pool))
        return succeed(self.outcome)

    def maintain(self, instance: str, campaign: int, *, fence: int) -> Deferred:
        """Notes maintenance."""
        self.orders.append(("maintain", instance, campaign))
        self.set_state(instance, InstanceState.MAINTENANCE)
        return succeed(self.outcome)

    def set_state(self, instance: str, state: InstanceState) -> None:
        """Changes what the list says of an instance."""
        self.listed = [
            dataclasses.replace(row, state=state) if row.id == instance else row
            for row in self.listed
        ]


def instance(name: str, pool: str = "p", state: InstanceState = InstanceState.UP) -> Instance:
    """Returns an instance of the list; `name` is that of its worker."""
    return Instance(f"m-{name}", pool, state, "dc1", "r1", WORKER_CPU, 128_000, ("a", "r1"), name)


class World:
    """An owner over a state that commits at once."""

    def __init__(self, *machines: Instance, advice: Any = None) -> None:
        self.clock = Clock()
        self.state = JobsState()
        self.workers = FakeWorkers()
        self.machines = FakeMachines(*machines)
        self.commands: list = []
        self.may_act = True
        self.owner = Owner(
            self.clock,
            term=7,
            state=lambda: self.state,
            propose=self.commit,
            may_act=lambda: self.may_act,
            port=self.workers,
            machines=self.machines,
            advice=advice,
            wall_clock=self.clock.seconds,
        )

    def commit(self, command: Any) -> Deferred:
        """Applies a command as the log would."""
        self.commands.append(command)
        result = self.state.apply(command)
        self.owner.on_applied(command)
        return succeed(result)

    def apply(self, *commands: Any) -> World:
        """Applies commands before the owner starts."""
        for command in commands:
            self.state.apply(command)
        return self

    def run(self, seconds: float = 0.0, step_s: float = 0.05) -> None:
        """Lets time pass."""
        self.clock.pump([0] * 6)
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            self.workers.clock_ms += round(step_s * 1000)
            self.clock.pump([0] * 3)
