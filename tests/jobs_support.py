"""Fakes of the workers and the machine API, builders of test data, and a harness of the owner."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.instances.machine_port import (
    ChangeOutcome,
    Instance,
    InstanceList,
    InstanceState,
)
from geraniumtrack.jobs.owner import Owner
from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.runs.worker_port import (
    RunningTask,
    StartOutcome,
    WorkerMismatch,
    WorkerReport,
    WorkerRestarted,
)
from geraniumtrack.jobs.scheduling.estimates import DurationEstimates, ObservedRun
from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart
from geraniumtrack.jobs.scheduling.rack_slots import CapacityForecast, NoForecast
from geraniumtrack.jobs.scheduling.scheduler import Scheduler
from geraniumtrack.jobs.scheduling.worker_speed import ActiveRun, SpeedTracker
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import (
    EndKind,
    FleetConfig,
    Job,
    JobQueue,
    JobTeam,
    Resources,
    RunEnd,
    StepSpec,
    TaskId,
    WorkerInfo,
    WorkerPool,
)

WORKER_CPU = 64_000
JOB_ID = "5c0e7a21d94b36f8"


def queue(name: str = "proofs", pool: str = "p", **fields: Any) -> JobQueue:
    """Returns a queue; `fields` replaces default values."""
    values = {
        "prefix": f"/{name}/",
        "timeout_s": 3.0,
        "max_attempts": 3,
        "stretch": 1.6,
        "latency_s": 0.6,
    }
    return JobQueue(name=name, host="h", pool=pool, **{**values, **fields})


def config(
    *queues: JobQueue, version: int = 1, teams: tuple = (), standby: str = ""
) -> FleetConfig:
    """Returns a configuration with the pools of the queues, and the pool `standby` if given."""
    names = {item.pool for item in queues}
    pools = [WorkerPool(name) for name in sorted(names)]
    if standby:
        pools.append(WorkerPool(standby, standby=True))
    return FleetConfig(version, queues, tuple(pools), teams, b"{}")


def worker(name: str = "w1", *, born: int = 1, pool: str = "p", **fields: Any) -> WorkerInfo:
    """Returns a worker with 64 cores, on the instance `m-<name>`."""
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
    """Returns a step whose tasks have an estimated run time of 1 s."""
    return StepSpec(count=count, size=Resources(cpu, 100), **{"estimate_s": 1.0, **fields})


def record_ends(worker_id: str, born: int, *ends: RunEnd) -> cmds.RecordRuns:
    """Returns the command that records run ends of one worker."""
    rows = tuple((e.number, tuple(e.task), e.run, str(e.kind), e.checkpoint) for e in ends)
    return cmds.RecordRuns(0.0, ends=((worker_id, born, rows),))


def record_start(task: TaskId, run: int, worker_id: str, born: int = 1) -> cmds.RecordRuns:
    """Returns the command that records the start of a run."""
    return cmds.RecordRuns(0.0, starts=((tuple(task), run, worker_id, born),))


def weighted_config(*queues: JobQueue, version: int = 1, **weights: float) -> cmds.Configure:
    """Returns the command that sets teams of the given weights, each with its name as key."""
    teams = tuple(JobTeam(name, (name,), weight) for name, weight in weights.items())
    return cmds.Configure(config(*(queues or (queue(),)), version=version, teams=teams))


class PoolSimulation:
    """Runs the scheduler over one pool, with runs that take as long as estimated.

    Args:
        weights: Weights of the teams by name.
        workers: Number of workers, each of 16 cores.
        racks: Number of racks, `r1` onwards, over which the workers are spread.
        policy: Settings of the scheduling policy.
        queues: The queues, if not one.
        run_s: Returns the real duration of a task in seconds, if not the declared one.

    Attributes:
        now: Wall-clock time in seconds.
        durations: What the scheduler has learned about the durations of tasks.
    """

    PASS_INTERVAL_S = 0.1

    def __init__(
        self,
        weights: dict[str, float],
        *,
        workers: int = 20,
        racks: int = 1,
        policy: PolicySettings = DEFAULT_POLICY,
        queues: tuple[JobQueue, ...] = (),
        run_s: Callable[[TaskId, StepSpec], float] = lambda _, spec: spec.estimate_s,
    ) -> None:
        self.now = 0.0
        self.durations = DurationEstimates(policy)
        self._run_s = run_s
        self.state = JobsState()
        self.state.apply(weighted_config(*queues, **weights))
        for number in range(workers):
            fields = {"capacity": Resources(16_000, 64_000), "rack": f"r{number % racks + 1}"}
            self.state.apply(cmds.PutWorker(worker(f"w{number}", **fields)))
        self.scheduler = Scheduler(
            state=lambda: self.state,
            tickets=lambda *_: {},
            settled=lambda _: True,
            policy=policy,
            durations=self.durations,
            forecast=self.forecast(),
        )
        self._runs: list[tuple[float, str, TaskId, int, float]] = []
        self._end_number = 0

    def forecast(self) -> CapacityForecast:
        """Returns what the scheduler knows about capacity that becomes free."""
        return NoForecast()

    def run_s(self, start: PlannedStart) -> float:
        """Returns how long a run takes in seconds."""
        return self._run_s(start.task, self.state.step_of(self.state.task(start.task)))

    def submit(self, team: str, *steps: StepSpec, **fields: Any) -> str:
        """Submits a job now; returns its id."""
        job_id = f"{len(self.state.jobs):016x}"
        new = job(*steps, job_id=job_id, team=team, submitted=self.now, **fields)
        self.state.apply(cmds.SubmitJob(new))
        return job_id

    def run_pass(self) -> list[TaskId]:
        """Ends the runs that are over, starts what is planned and returns it."""
        over = [run for run in self._runs if run[0] <= self.now]
        self._runs = [run for run in self._runs if run[0] > self.now]
        for end, worker_id, task, number, started in over:
            self._end_number += 1
            self.durations.observe(self._observed(task, end - started), self.now)
            row = (self._end_number, tuple(task), number, "done", "")
            self.state.apply(cmds.RecordRuns(self.now, ends=((worker_id, 1, (row,)),)))
        active = [self._observed(task, self.now - at) for _, _, task, _, at in self._runs]
        self.durations.refresh(active, self.now)
        rows = [(info, Resources(), False) for info in self.state.workers.values()]
        starts = self.scheduler.plan(self.scheduler.available_workers_by_pool(rows), self.now)
        rows = tuple((tuple(s.task), s.run, s.worker.id, s.worker.born) for s in starts)
        self.state.apply(cmds.RecordRuns(self.now, starts=rows))
        for s in starts:
            run_s = self.run_s(s)
            self._runs.append((self.now + run_s, s.worker.id, s.task, s.run, self.now))
        self.now = round(self.now + self.PASS_INTERVAL_S, 3)
        return [s.task for s in starts]

    def _observed(self, task: TaskId, observed_s: float) -> ObservedRun:
        owner = self.state.jobs[task.job].job
        spec = owner.steps[task.step]
        return ObservedRun.of(owner, spec, spec.estimate_s, observed_s)


class FakeWorkers:
    """Implements `WorkerPort` for any number of workers.

    A run lasts until the test calls `end`.

    Attributes:
        starts: Worker id and start order of each call of `start`, first to last.
        stops: Worker id and stop order of each call of `stop`, first to last; runs go on.
        paces: Task and pace in percent of each call of `pace`, first to last.
        acknowledges_stops: Whether stop orders are acknowledged.
        outcome: Outcome of start orders; a run starts only with STARTED.
        holds: Deferreds of unanswered holds, by worker id.
        last_acked: Number of the last acknowledged run end, by worker id.
        silent: Ids of workers that answer a hold only when the test calls `report`.
        unreachable: Ids of workers whose holds fail.
        ended: Ids of workers whose process has ended, so that their address refuses connections.
        present: Id and incarnation that answer at an address; at other addresses each worker that
            is called answers.
        running: Runs in progress, by worker id and task.
        ends: Run ends that are not acknowledged, by worker id.
        ends_per_report: Number of run ends that a report lists at most.
        clock_ms: Reading of the clock of all workers.
        on_connected: Called once the connection of an order is open, just before it is sent. The
            order is sent only if its `may_send` allows it then.
    """

    def __init__(self) -> None:
        self.starts: list = []
        self.stops: list = []
        self.paces: list[tuple[TaskId, int]] = []
        self.acknowledges_stops = True
        self.outcome = StartOutcome.STARTED
        self.holds: dict[str, Deferred] = {}
        self.last_acked: dict[str, int] = {}
        self.silent: set[str] = set()
        self.unreachable: set[str] = set()
        self.ended: set[str] = set()
        self.present: dict[str, tuple[str, int]] = {}
        self.running: dict[str, dict[TaskId, RunningTask]] = {}
        self.ends: dict[str, list[RunEnd]] = {}
        self.ends_per_report = 500
        self.clock_ms = 1_000_000
        self.on_connected: Callable[[], None] = lambda: None

    def _is_sent(self, may_send: Callable[[], bool]) -> bool:
        self.on_connected()
        return may_send()

    def _has_other_id(self, worker: WorkerInfo) -> bool:
        return self.present.get(worker.address, (worker.id,))[0] != worker.id

    def start(self, worker: WorkerInfo, order: Any, *, may_send: Callable[[], bool]) -> Deferred:
        """Starts a run if `outcome` is STARTED."""
        if not self._is_sent(may_send) or self._has_other_id(worker):
            return succeed(StartOutcome.UNHEALTHY)
        self.starts.append((worker.id, order))
        if self.outcome is StartOutcome.STARTED:
            row = RunningTask(order.task, order.run, order.checkpoint, 100, 0)
            self.running.setdefault(worker.id, {})[order.task] = row
        return succeed(self.outcome)

    def stop(self, worker: WorkerInfo, order: Any, *, may_send: Callable[[], bool]) -> Deferred:
        """Records an order to stop a run."""
        if not self._is_sent(may_send) or self._has_other_id(worker):
            return succeed(False)
        self.stops.append((worker.id, order))
        return succeed(self.acknowledges_stops)

    def hold(self, worker: WorkerInfo, order: Any, *, may_send: Callable[[], bool]) -> Deferred:
        """Answers at once if it may not wait or has run ends to report, else on `report`.

        Holds of workers in `unreachable` fail, and those of workers in `silent` are answered only
        on `report`.
        """
        if not self._is_sent(may_send):
            return fail(CallFailed("no permission", sent=False))
        if worker.id not in self.ended | self.unreachable:
            if self._has_other_id(worker):
                return fail(WorkerMismatch())
            if self.present.get(worker.address, (worker.id, worker.born))[1] != worker.born:
                return fail(WorkerRestarted())
        self.last_acked[worker.id] = order.last_acked
        ends = self.ends.get(worker.id, [])
        self.ends[worker.id] = [end for end in ends if end.number > order.last_acked]
        fut: Deferred = Deferred()
        if worker.id in self.ended:
            return fail(CallFailed("connection refused", sent=False, refused=True))
        if worker.id in self.unreachable:
            return fail(CallFailed("no response in time", sent=True))
        self.holds[worker.id] = fut
        if worker.id not in self.silent and (order.wait_s == 0 or self.ends[worker.id]):
            self.report(worker.id)
        return fut

    def pace(
        self, worker: WorkerInfo, order: Any, percent: int, *, may_send: Callable[[], bool]
    ) -> Deferred:
        """Records the pace of a run."""
        if not self._is_sent(may_send):
            return succeed(False)
        self.paces.append((order.task, percent))
        return succeed(True)

    def disconnect(self, worker: WorkerInfo) -> None:
        """Does nothing, because there are no connections to close."""

    def report(self, worker_id: str) -> None:
        """Answers the hold of a worker, if there is one."""
        fut = self.holds.pop(worker_id, None)
        if fut is not None:
            rows = tuple(self.running.get(worker_id, {}).values())
            ends = tuple(self.ends.get(worker_id, ())[: self.ends_per_report])
            complete = len(ends) < self.ends_per_report
            fut.callback(WorkerReport(self.clock_ms, rows, ends, complete=complete))

    def end(self, worker_id: str, task: TaskId, kind: EndKind = EndKind.DONE) -> None:
        """Ends a run and reports it."""
        row = self.running[worker_id].pop(task)
        ends = self.ends.setdefault(worker_id, [])
        number = max([self.last_acked.get(worker_id, 0), *(e.number for e in ends)]) + 1
        ends.append(RunEnd(number, task, row.run, kind, row.checkpoint))
        self.report(worker_id)


class FakeMachines:
    """Implements `MachinePort`.

    Attributes:
        listed: The instance list.
        orders: Kind and arguments of each order, first to last.
        outcome: Outcome of the orders.
        complete: Whether the instance list is complete.
    """

    def __init__(self, *instances: Instance) -> None:
        self.listed = list(instances)
        self.complete = True
        self.orders: list[tuple] = []
        self.outcome = ChangeOutcome.DONE

    def instances(self) -> Deferred:
        """Returns the instance list."""
        return succeed(InstanceList(tuple(self.listed), self.complete))

    def move(
        self, instance: str, pool: str, *, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        """Records an order to move an instance."""
        self.orders.append(("move", instance, pool))
        return succeed(self.outcome)

    def maintain(
        self, instance: str, campaign: int, *, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        """Records an order to maintain an instance, which then is in maintenance."""
        self.orders.append(("maintain", instance, campaign))
        self.set_state(instance, InstanceState.MAINTENANCE)
        return succeed(self.outcome)

    def set_state(self, instance: str, state: InstanceState) -> None:
        """Changes the state of an instance in the instance list."""
        self.listed = [
            dataclasses.replace(row, state=state) if row.id == instance else row
            for row in self.listed
        ]


class TimedWorkers(FakeWorkers):
    """Workers whose runs end by themselves, and a while after they are stopped.

    Runs of jobs with the payload `stays` end only when they are stopped.

    Args:
        clock: The clock.
        run_s: Duration of a run in seconds.
        grace_s: Time in seconds from an acknowledged stop to the end of the run.
    """

    def __init__(self, clock: Clock, *, run_s: float = 1.0, grace_s: float = 0.4) -> None:
        super().__init__()
        self.clock, self.run_s, self.grace_s = clock, run_s, grace_s

    def start(self, worker: WorkerInfo, order: Any, *, may_send: Callable[[], bool]) -> Deferred:
        """Starts a run that ends after `run_s`."""
        fut = super().start(worker, order, may_send=may_send)
        if order.payload != "stays":
            self.clock.callLater(self.run_s, self._end, worker.id, order, EndKind.DONE)
        return fut

    def stop(self, worker: WorkerInfo, order: Any, *, may_send: Callable[[], bool]) -> Deferred:
        """Ends a run after `grace_s` if the stop is acknowledged."""
        if self.acknowledges_stops and worker.id not in self.unreachable:
            self.clock.callLater(self.grace_s, self._end, worker.id, order, EndKind.STOPPED)
        return super().stop(worker, order, may_send=may_send)

    def _end(self, worker_id: str, order: Any, kind: EndKind) -> None:
        row = self.running.get(worker_id, {}).get(order.task)
        if row is not None and row.run == order.run:
            self.end(worker_id, order.task, kind)


class TimedMachines(FakeMachines):
    """Maintains instances for `maintenance_s` seconds, and refuses orders for those not up."""

    maintenance_s = 2.0

    def __init__(self, clock: Clock, *instances: Instance) -> None:
        super().__init__(*instances)
        self.clock = clock

    def maintain(
        self, instance: str, campaign: int, *, fence: int, may_send: Callable[[], bool]
    ) -> Deferred:
        """Starts maintenance if the instance is up."""
        self.outcome = ChangeOutcome.DONE if self.is_up(instance) else ChangeOutcome.BUSY
        if self.outcome is ChangeOutcome.BUSY:
            self.orders.append(("busy", instance, campaign))
            return succeed(self.outcome)
        self.clock.callLater(self.maintenance_s, self._return, instance)
        return super().maintain(instance, campaign, fence=fence, may_send=may_send)

    def is_up(self, instance: str) -> bool:
        """Whether an instance is listed as up."""
        return any(row.id == instance and row.state is InstanceState.UP for row in self.listed)

    def maintained(self) -> int:
        """Returns how many instances are in maintenance."""
        return sum(row.state is InstanceState.MAINTENANCE for row in self.listed)

    def _return(self, instance: str) -> None:
        for row in self.listed:
            if row.id == instance and row.state is InstanceState.MAINTENANCE:
                self.set_state(instance, InstanceState.UP)


def instance(name: str, pool: str = "p", state: InstanceState = InstanceState.UP) -> Instance:
    """Returns an instance as the instance list shows it; `name` is the id of its worker."""
    return Instance(f"m-{name}", pool, state, "dc1", "r1", WORKER_CPU, 128_000, ("a", "r1"), name)


class OwnerHarness:
    """Runs an owner on a fake clock; commands are committed at once.

    Args:
        instances: The instance list of the machine API.
        advice: Interface to the policy service, or None if there is none.
        instance_orders_fenced: Whether the machine API compares fencing tokens.
        workers: Interface to the workers, if not to fake ones.
        machines: Interface to the machine API, if not a fake one with `instances`.
        state: The replicated state, if not an empty one.
        term: Term of the owner.
        clock: The clock, if not a new one.
        policy: Settings of the scheduling policy.

    Attributes:
        commands: Committed commands, in order.
        before_commit: Called with each command before it is committed.
        may_act: Whether the owner holds the leadership lease.
    """

    def __init__(
        self,
        *instances: Instance,
        advice: Any = None,
        instance_orders_fenced: bool = True,
        workers: Any = None,
        machines: Any = None,
        state: JobsState | None = None,
        term: int = 7,
        clock: Clock | None = None,
        policy: PolicySettings = DEFAULT_POLICY,
    ) -> None:
        self.clock = clock or Clock()
        self.state = state or JobsState()
        self.workers = workers or FakeWorkers()
        self.machines = machines or FakeMachines(*instances)
        self.commands: list = []
        self.before_commit: Callable[[Any], None] = lambda _command: None
        self.may_act = True
        self.owner = Owner(
            self.clock,
            term=term,
            state=lambda: self.state,
            propose=self.commit,
            may_act=lambda: self.may_act,
            port=self.workers,
            machines=self.machines,
            advice=advice,
            wall_clock=self.clock.seconds,
            instance_orders_fenced=instance_orders_fenced,
            policy=policy,
        )

    def commit(self, command: Any) -> Deferred:
        """Applies a command to the state and notifies the owner, as a commit does."""
        self.before_commit(command)
        self.commands.append(command)
        result = self.state.apply(command)
        self.owner.on_applied(command)
        return succeed(result)

    def apply(self, *commands: Any) -> OwnerHarness:
        """Applies commands to the state without notifying the owner."""
        for command in commands:
            self.state.apply(command)
        return self

    def run(self, seconds: float = 0.0, step_s: float = 0.05) -> None:
        """Runs the pending calls, then advances the clock in steps."""
        self.clock.pump([0] * 6)
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            if isinstance(self.workers, FakeWorkers):
                self.workers.clock_ms += round(step_s * 1000)
            self.clock.pump([0] * 3)


class SlowCommits(OwnerHarness):
    """A harness whose commands are applied, in order, only by `flush`."""

    def __init__(self) -> None:
        self.proposed: list = []
        super().__init__()

    def commit(self, command: Any) -> Deferred:
        """Keeps a command for `flush`."""
        fut: Deferred = Deferred()
        self.proposed.append((command, fut))
        return fut

    def flush(self) -> None:
        """Applies the proposed commands."""
        while self.proposed:
            command, fut = self.proposed.pop(0)
            result = self.state.apply(command)
            self.owner.on_applied(command)
            fut.callback(result)


class SpeedTrial:
    """Workers that each run 8 tasks of different jobs with a declared duration of 1 s.

    A worker that is set aside gets a new task only when it has none.

    Args:
        workers: Number of workers, `w0` onwards.
        racks: Number of racks, over which the workers are spread.
        error: Returns the actual duration in seconds of the tasks of a job, by its number.

    Attributes:
        slow: Factor by which workers are slower at present, by worker id.
        changes: All decisions, first to last.
    """

    def __init__(
        self, workers: int, racks: int = 1, error: Callable[[int], float] = lambda _job: 1.0
    ) -> None:
        self.tracker = SpeedTracker()
        self.slow: dict[str, float] = {}
        self.changes: list = []
        self._workers = [worker(f"w{n}", rack=f"r{n % racks}") for n in range(workers)]
        self._error = error
        self._now = 0.0
        self._jobs = 0
        # Rows of job number, start and remaining work in seconds; the starts are staggered.
        self._runs: dict[str, list[list]] = {item.id: [] for item in self._workers}

    @property
    def set_aside(self) -> set[str]:
        """Ids of the workers that get one task at a time."""
        return {item.id for item in self._workers if self.tracker.speed(item.id).probe_only}

    def names_of_rack(self, rack: str) -> list[str]:
        """Returns the ids of the workers of a rack."""
        return [item.id for item in self._workers if item.rack == rack]

    def run(self, seconds: float, step_s: float = 0.1) -> None:
        """Lets tasks run, and assesses the workers in each step."""
        for _ in range(round(seconds / step_s)):
            self._now += step_s
            for name, runs in self._runs.items():
                self._advance(name, runs, step_s / self.slow.get(name, 1.0))
            active = {
                name: [ActiveRun(str(number), 1.0, self._now - at) for number, at, _ in runs]
                for name, runs in self._runs.items()
            }
            self.changes += self.tracker.assess(self._workers, active, self._now)

    def _advance(self, name: str, runs: list[list], work_s: float) -> None:
        for row in list(runs):
            row[2] -= work_s
            if row[2] <= 1e-9:
                runs.remove(row)
                self.tracker.observe(name, str(row[0]), 1.0, self._now - row[1], self._now)
        limit = 1 if self.tracker.speed(name).probe_only else 8
        if len(runs) < limit:
            self._jobs += 1
            runs.append([self._jobs, self._now, self._error(self._jobs)])
