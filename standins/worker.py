"""A stand-in worker that speaks the platform's protocol: heartbeats, holds, leases and fencing.

A hold is a long poll by the owner: it extends the worker's lease, acknowledges ends of runs, and is
answered when there is an unacknowledged end or its wait is over.

It runs in the process that uses it, so that the events of all workers have times of one clock.
`spec` of a job is a JSON object that describes its tasks:

- `ms`: how long a run takes; without it the task is a service task, which runs until it is stopped;
- `cpu`: thousandths of a core that a run needs;
- `fail`: fraction of the runs that fail.

Every run is recorded in a `RunHistory`, which the soak checks.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.errors import CallFailed
from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.http_client import HttpClient
from geraniumtrack.transport.http_server import HttpServer, Reply, Request

__all__ = ["RunEnd", "RunHistory", "WorkerRun", "StandInWorker", "WorkerFaults"]

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.0
STOP_DURATION_S = 0.1
STARTUP_S = 0.2  # for which a started run reports a pace of 0%
MAX_LEASE_S = 6.0
MAX_HOLD_S = 2.0
CAPACITY_EFFECT_S = 4.5  # time after which no start may count on a capacity that has shrunk
MAX_LATENESS_S = 6.0  # of an order that is executed late
MAX_REPORTED_ENDS = 500  # in one answer to a hold
FULL_PERCENT = 100
MS_PER_S = 1000


@dataclass(slots=True)
class WorkerRun:
    """A run that a worker has started.

    Attributes:
        at: Time of the start in seconds of the reactor's clock.
        worker: Id of the worker.
        born: Start time of the worker's incarnation in ms since 1970.
        zone: Data centre of the worker.
        task: Id of the task.
        run: Number of the run.
        spec: Specification in the start order.
        fence: Fencing token of the start order.
        late: Whether the worker executed the start order seconds after it had arrived.
        over_capacity: Whether the start brought the worker over its capacity. One that has shrunk
            counts as before for a while, and until a heartbeat sent since is acknowledged.
        end_kind: How the run ended: `done`, `failed`, `stopped`, `lapsed` (the lease expired) or
            `crashed`; empty while it runs.
        ended_at: Time of the end; None while the run is active.
        acknowledged: Whether the owner has acknowledged the end.
        lapsed_at: Time at which the worker's lease lapsed after the end of the run and before its
            acknowledgement; None if it didn't.
    """

    at: float
    worker: str
    born: int
    zone: str
    task: str
    run: int
    spec: str
    fence: int
    late: bool
    over_capacity: bool = False
    end_kind: str = ""
    ended_at: float | None = None
    acknowledged: bool = False
    lapsed_at: float | None = None


@dataclass(slots=True)
class RunHistory:
    """The runs of all workers in the order of their starts."""

    runs: list[WorkerRun] = field(default_factory=list)


@dataclass(slots=True)
class WorkerFaults:
    """How a worker misbehaves.

    Attributes:
        unanswered_fraction: Fraction of the orders, from 0 to 1, that the worker never answers and
            executes late. Holds are not affected.
        fail_all_runs: Whether every run fails.
        skip_heartbeats: Whether the worker sends no heartbeats.
    """

    unanswered_fraction: float = 0.0
    fail_all_runs: bool = False
    skip_heartbeats: bool = False


@dataclass(slots=True)
class RunEnd:
    """The end of a run, which the worker reports until the owner acknowledges its number."""

    number: int
    run: WorkerRun


class StandInWorker:
    """One incarnation of a worker.

    Args:
        reactor: Twisted reactor.
        worker_id: Id of the worker.
        born: Start time of this incarnation in ms since 1970.
        machine: Name of the machine on which it runs.
        pool: Pool whose tasks it runs.
        zone: Data centre of the machine.
        rack: Rack of the machine.
        listen: Address on which it listens.
        announced: Address that its heartbeats contain, for instance that of a proxy.
        controllers: Returns the addresses of the controllers in the order in which to try them.
        run_history: Where its runs are recorded.
        rng: Draws which runs fail, and which orders are left unanswered and for how long.
        cpu: Capacity in thousandths of a core.
        memory_mb: Memory in MB.
        guarded: Whether it refuses runs that exceed its capacity.

    Attributes:
        faults: How the worker misbehaves at present.
        draining: Whether its heartbeats say that it drains.
        alive: Whether it was started and has not crashed.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        worker_id: str,
        born: int,
        machine: str,
        pool: str,
        zone: str,
        rack: str,
        listen: Address,
        announced: str,
        controllers: Callable[[], list[str]],
        run_history: RunHistory,
        rng: random.Random,
        cpu: int = 16_000,
        memory_mb: int = 32_768,
        guarded: bool = True,
    ) -> None:
        self.id = worker_id
        self.born = born
        self.machine = machine
        self.pool = pool
        self.zone = zone
        self.faults = WorkerFaults()
        self.draining = False
        self.alive = False
        self._reactor = reactor
        self._labels = ["a", rack]
        self._listen = listen
        self._announced = announced
        self._controllers = controllers
        self._run_history = run_history
        self._rng = rng
        self._capacity = {"cpu": cpu, "memMb": memory_mb, "gpu": 0}
        self._former_cpu: list[tuple[float, int]] = []  # with the time until which it was in force
        self._guarded = guarded
        self._heard_at = float("inf")  # when the last acknowledged heartbeat was sent
        self._server = HttpServer(reactor, self.handle, headers=("geraniumtrack-expect-instance",))
        self._started_at = reactor.seconds()
        self._fence = 0
        self._deadline_ms = 0
        self._running: dict[str, WorkerRun] = {}
        self._cpu_by_task: dict[str, int] = {}
        self._highest_ended: dict[str, int] = {}  # highest run that ended or was stopped, by task
        self._ends: list[RunEnd] = []  # not yet acknowledged by the owner
        self._last_end_number = 0
        self._open_holds: list[Deferred] = []
        self._timers: list[Any] = []
        self._sequence = 0
        self._heartbeat_address = ""

    # Start and end.

    def start(self) -> Deferred:
        """Opens the port and begins to send heartbeats."""
        self.start_unconnected()
        self._heard_at = 0.0
        self._call_later(0.0, self._heartbeat)
        return self._server.listen(self._listen)

    def start_unconnected(self) -> None:
        """Starts without a port and heartbeats: the caller uses `handle` and `heartbeat_body`."""
        self.alive = True
        self._call_later(0.05, self._check_lease)

    @property
    def cpu(self) -> int:
        """Capacity in thousandths of a core."""
        return self._capacity["cpu"]

    @property
    def used_cpu(self) -> int:
        """Thousandths of a core that its runs need."""
        return sum(self._cpu_by_task[name] for name in self._running)

    def set_cpu(self, cpu: int) -> None:
        """Changes the capacity, in thousandths of a core; what runs goes on."""
        self._former_cpu.append((self._reactor.seconds(), self.cpu))
        self._capacity = {**self._capacity, "cpu": cpu}

    def crash(self) -> None:
        """Ends the worker and its runs without notifying the controllers."""
        self.alive = False
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._server.stop_listening()
        for conn in list(self._server.connections):
            conn.transport.abortConnection()
        for started in self._running.values():
            started.end_kind, started.ended_at = "crashed", self._reactor.seconds()
        self._running.clear()

    @property
    def clock_ms(self) -> int:
        """Monotonic clock of the worker in ms; it starts at 1."""
        return round((self._reactor.seconds() - self._started_at) * MS_PER_S) + 1

    def _call_later(self, delay_s: float, call: Callable, *args: Any) -> None:
        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(self._reactor.callLater(delay_s, call, *args))

    # Heartbeats.

    def _heartbeat(self) -> None:
        self._call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)
        if not self.faults.skip_heartbeats:
            self._send_heartbeat([a for a in (self._heartbeat_address, *self._controllers()) if a])

    def _send_heartbeat(self, addresses: list[str]) -> None:
        if not addresses or not self.alive:
            return
        body = self.heartbeat_body()
        host, _, port = addresses[0].rpartition(":")
        client = HttpClient(self._reactor, Address(host, int(port)))
        fut = client.call(
            "PUT",
            f"/instances/{self.id}",
            body=json.dumps(body).encode(),
            timeout_s=HEARTBEAT_TIMEOUT_S,
        )
        fut.addCallbacks(
            self._on_heartbeat_answer,
            self._on_heartbeat_failed,
            callbackArgs=(self._reactor.seconds(),),
            errbackArgs=(addresses[1:],),
        )
        fut.addBoth(lambda _: client.close())

    def heartbeat_body(self) -> dict:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        return {
            "backend": self.pool,
            "address": self._announced,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "capacity": self._capacity,
            "labels": self._labels,
            "machine": self.machine,
            "born": self.born,
            "clockMs": self.clock_ms,
            "sequence": self._sequence,
        }

    def _on_heartbeat_answer(self, response: Any, sent_at: float) -> None:
        if response.status == 200:
            self._heard_at = max(self._heard_at, sent_at)
            self._heartbeat_address = json.loads(response.body or b"{}").get("heartbeatAddress", "")
        else:
            self._heartbeat_address = ""

    def _on_heartbeat_failed(self, failure: Any, remaining: list[str]) -> None:
        failure.trap(CallFailed)
        self._heartbeat_address = ""
        self._send_heartbeat(remaining)

    # Orders.

    def handle(self, request: Request) -> Reply | Deferred:
        """Answers an order."""
        if request.headers.get("geraniumtrack-expect-instance", self.id) != self.id:
            return Reply(421)
        try:
            body = json.loads(request.body)
        except ValueError:
            return Reply(400, b'{"error":"body"}')
        call = {
            "/run-start": self._start_run,
            "/run-stop": self._stop_run,
            "/hold": self._hold,
            "/pace": self._pace,
        }.get(request.path)
        if call is None:
            return Reply(404)
        if request.path != "/hold" and self._rng.random() < self.faults.unanswered_fraction:
            self._call_later(self._rng.uniform(2.0, MAX_LATENESS_S), call, body, True)
            return Deferred()
        return call(body, False)

    def _answer(self, status: int = 200, **fields: Any) -> Reply:
        body = {"clockMs": self.clock_ms, "born": self.born, **fields}
        return Reply(status, json.dumps(body).encode())

    def _is_fenced(self, body: dict) -> bool:
        token = body.get("fencingToken", 0)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _extend_lease(self, body: dict) -> None:
        latest_ms = self.clock_ms + round(MAX_LEASE_S * MS_PER_S)
        self._deadline_ms = max(self._deadline_ms, min(body.get("deadlineMs", 0), latest_ms))

    def _start_run(self, body: dict, late: bool) -> Reply:
        if self._is_fenced(body):
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend_lease(body)
        current = self._running.get(task)
        if current is not None and current.run == run:
            return self._answer()
        if run <= self._highest_ended.get(task, 0) or (current is not None and current.run > run):
            return self._answer(409, reason="old")
        spec = json.loads(body["spec"])
        cpu = spec.get("cpu", 1000)
        used = self.used_cpu + cpu
        if self._guarded and used > self.cpu:
            return self._answer(409, reason="room")
        started = WorkerRun(
            at=self._reactor.seconds(),
            worker=self.id,
            born=self.born,
            zone=self.zone,
            task=task,
            run=run,
            spec=body["spec"],
            fence=body["fencingToken"],
            late=late,
            over_capacity=used > self._highest_cpu(late),
        )
        self._run_history.runs.append(started)
        self._running[task] = started
        self._cpu_by_task[task] = cpu
        if spec.get("ms"):
            failed = self.faults.fail_all_runs or self._rng.random() < spec.get("fail", 0.0)
            end_kind = "failed" if failed else "done"
            self._call_later(spec["ms"] / MS_PER_S, self._end_run, started, end_kind)
        return self._answer()

    def _highest_cpu(self, late: bool) -> int:
        """Returns the highest capacity that the sender of a start may have counted on."""
        since = self._reactor.seconds() - CAPACITY_EFFECT_S - (MAX_LATENESS_S if late else 0.0)
        former = [cpu for until, cpu in self._former_cpu if until > min(since, self._heard_at)]
        return max([self.cpu, *former])

    def _stop_run(self, body: dict, _late: bool) -> Reply:
        if self._is_fenced(body):
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        self._highest_ended[task] = max(self._highest_ended.get(task, 0), run)
        started = self._running.get(task)
        if started is not None and started.run <= run:
            self._call_later(STOP_DURATION_S, self._end_run, started, "stopped")
        return self._answer()

    def _pace(self, body: dict, _late: bool) -> Reply:
        return self._answer(409, reason="fence") if self._is_fenced(body) else self._answer()

    def _hold(self, body: dict, _late: bool) -> Reply | Deferred:
        if self._is_fenced(body):
            return self._answer(409, reason="fence")
        self._note_lapse()
        self._extend_lease(body)
        last_acked = body.get("lastSeen", 0)
        for end in self._ends:
            end.run.acknowledged = end.run.acknowledged or end.number <= last_acked
        self._ends = [end for end in self._ends if end.number > last_acked]
        wait_s = min(body.get("waitMs", 0) / MS_PER_S, MAX_HOLD_S)
        if self._ends or not wait_s:
            return self._report_runs()
        answer: Deferred = Deferred()
        self._open_holds.append(answer)
        self._call_later(wait_s, self._answer_hold, answer)
        return answer

    def _answer_hold(self, answer: Deferred) -> None:
        if answer in self._open_holds:
            self._open_holds.remove(answer)
            answer.callback(self._report_runs())

    def _report_runs(self) -> Reply:
        now = self._reactor.seconds()
        running = [
            [s.task, s.run, "", FULL_PERCENT if now > s.at + STARTUP_S else 0, 0]
            for s in self._running.values()
        ]
        ends = [[end.number, end.run.task, end.run.run, end.run.end_kind, ""] for end in self._ends]
        return self._answer(running=running, endedRuns=ends[:MAX_REPORTED_ENDS])

    def _end_run(self, started: WorkerRun, end_kind: str) -> None:
        if self._running.get(started.task) is not started:
            return
        del self._running[started.task]
        started.end_kind, started.ended_at = end_kind, self._reactor.seconds()
        self._highest_ended[started.task] = max(
            self._highest_ended.get(started.task, 0), started.run
        )
        self._last_end_number += 1
        self._ends.append(RunEnd(self._last_end_number, started))
        for answer in list(self._open_holds):
            self._answer_hold(answer)

    def _check_lease(self) -> None:
        self._call_later(0.05, self._check_lease)
        self._note_lapse()
        if self._running and self.clock_ms > self._deadline_ms:
            for started in list(self._running.values()):
                self._end_run(started, "lapsed")

    def _note_lapse(self) -> None:
        """Notes the ends that the owner had not acknowledged when the lease lapsed."""
        if self.clock_ms <= self._deadline_ms:
            return
        for end in self._ends:
            if end.run.lapsed_at is None and not end.run.acknowledged:
                end.run.lapsed_at = self._started_at + self._deadline_ms / MS_PER_S
