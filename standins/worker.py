"""A stand-in worker that speaks the platform's protocol: leases, fences, orders, lists, reports.

It runs inside the process that uses it, so that what it saw has one clock. `spec` of a job says in
JSON how its tasks behave: `ms` of work, and the share `fail` of runs that end failed. Every start,
end and stop is noted in a `Record`, which tests and the soak judge.
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

__all__ = ["Ending", "Record", "Started", "StandInWorker", "WorkerFaults"]

HEARTBEAT_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.0
STOP_S = 0.1  # that a stop takes
STARTUP_S = 0.2  # until a task that lasts is at work
MAX_LEASE_S = 6.0
MAX_WAIT_S = 2.0
MAX_ROWS = 500  # ends in one answer
FULL_PERCENT = 100
MS_PER_S = 1000


@dataclass(slots=True)
class Started:
    """A task that a worker began; `ended_at` is None while it runs."""

    at: float
    worker: str
    born: int
    zone: str
    task: str
    run: int
    spec: str
    fence: int
    late: bool  # the order was carried out seconds after it came
    how: str = ""
    ended_at: float | None = None
    noted: bool = False  # the owner has acknowledged the end


@dataclass(slots=True)
class Record:
    """All starts of all workers, in order."""

    starts: list[Started] = field(default_factory=list)


@dataclass(slots=True)
class WorkerFaults:
    """How a worker misbehaves; shares are between 0 and 1.

    Attributes:
        unanswered: Share of orders that are left without an answer and carried out late.
        fails: Whether every run fails.
        mute: Whether heartbeats are not sent.
    """

    unanswered: float = 0.0
    fails: bool = False
    mute: bool = False


@dataclass(slots=True)
class Ending:
    """An end in the worker's list."""

    number: int
    start: Started


class StandInWorker:
    """One life of a worker.

    Args:
        reactor: Twisted reactor.
        worker_id: Its id.
        born: Start of this life in ms since 1970.
        machine: Machine that it lives on.
        pool: Service whose tasks it runs.
        zone: Zone of the machine.
        rack: Rack of the machine.
        listen: Where it listens.
        announced: Address that it names in its reports; a proxy may be there.
        controls: Returns the addresses that take reports, the preferred one first.
        record: Where starts are noted.
        rng: Decides what is left to chance.
        cpu: Thousandths of a core.
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
        controls: Callable[[], list[str]],
        record: Record,
        rng: random.Random,
        cpu: int = 16_000,
        memory_mb: int = 32_768,
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
        self._controls = controls
        self._record = record
        self._rng = rng
        self._capacity = {"cpu": cpu, "memMb": memory_mb, "gpu": 0}
        self._server = HttpServer(reactor, self._handle)
        self._began_at = reactor.seconds()
        self._fence = 0
        self._deadline_ms = 0
        self._running: dict[str, Started] = {}
        self._sizes: dict[str, int] = {}
        self._highest: dict[str, int] = {}  # highest run that was stopped or has ended, by task
        self._ends: list[Ending] = []
        self._last_number = 0
        self._waiting: list[Deferred] = []
        self._timers: list[Any] = []
        self._sequence = 0
        self._preferred = ""

    # Life.

    def start(self) -> Deferred:
        """Opens the port and begins to report."""
        self.alive = True
        self._later(0.0, self._report)
        self._later(0.05, self._watch_lease)
        return self._server.listen(self._listen)

    def crash(self) -> None:
        """Ends without a word; everything on it ends."""
        self.alive = False
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._server.stop_listening()
        for conn in list(self._server.connections):
            conn.transport.abortConnection()
        for started in self._running.values():
            started.how, started.ended_at = "crashed", self._reactor.seconds()
        self._running.clear()

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return round((self._reactor.seconds() - self._began_at) * MS_PER_S) + 1

    def _later(self, delay_s: float, call: Callable, *args: Any) -> None:
        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(self._reactor.callLater(delay_s, call, *args))

    # Reports.

    def _report(self) -> None:
        self._later(HEARTBEAT_S, self._report)
        if not self.faults.mute:
            self._send_report([a for a in (self._preferred, *self._controls()) if a])

    def _send_report(self, addresses: list[str]) -> None:
        if not addresses or not self.alive:
            return
        self._sequence += 1
        body = {
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
        host, _, port = addresses[0].rpartition(":")
        client = HttpClient(self._reactor, Address(host, int(port)))
        fut = client.call(
            "PUT",
            f"/instances/{self.id}",
            body=json.dumps(body).encode(),
            timeout_s=HEARTBEAT_TIMEOUT_S,
        )
        fut.addCallbacks(self._reported, self._report_failed, errbackArgs=(addresses[1:],))
        fut.addBoth(lambda _: client.close())

    def _reported(self, response: Any) -> None:
        if response.status == 200:
            self._preferred = json.loads(response.body or b"{}").get("heartbeatAddress", "")
        else:
            self._preferred = ""

    def _report_failed(self, failure: Any, others: list[str]) -> None:
        failure.trap(CallFailed)
        self._preferred = ""
        self._send_report(others)

    # Orders.

    def _handle(self, request: Request) -> Reply | Deferred:
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
        if request.path != "/hold" and self._rng.random() < self.faults.unanswered:
            self._later(self._rng.uniform(2.0, 6.0), call, body, True)
            return Deferred()
        return call(body, False)

    def _answer(self, status: int = 200, **fields: Any) -> Reply:
        body = {"clockMs": self.clock_ms, "born": self.born, **fields}
        return Reply(status, json.dumps(body).encode())

    def _fenced(self, body: dict) -> bool:
        token = body.get("fencingToken", 0)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _extend(self, body: dict) -> None:
        longest = self.clock_ms + round(MAX_LEASE_S * MS_PER_S)
        self._deadline_ms = max(self._deadline_ms, min(body.get("deadlineMs", 0), longest))

    def _start_run(self, body: dict, late: bool) -> Reply:
        if self._fenced(body):
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(body)
        there = self._running.get(task)
        if there is not None and there.run == run:
            return self._answer()
        if run <= self._highest.get(task, 0) or (there is not None and there.run > run):
            return self._answer(409, reason="old")
        plan = json.loads(body["spec"])
        size = plan.get("cpu", 1000)
        if sum(self._sizes[name] for name in self._running) + size > self._capacity["cpu"]:
            return self._answer(409, reason="room")
        started = Started(
            at=self._reactor.seconds(),
            worker=self.id,
            born=self.born,
            zone=self.zone,
            task=task,
            run=run,
            spec=body["spec"],
            fence=body["fencingToken"],
            late=late,
        )
        self._record.starts.append(started)
        self._running[task] = started
        self._sizes[task] = size
        if plan.get("ms"):
            failed = self.faults.fails or self._rng.random() < plan.get("fail", 0.0)
            how = "failed" if failed else "done"
            self._later(plan["ms"] / MS_PER_S, self._end, started, how)
        return self._answer()

    def _stop_run(self, body: dict, _late: bool) -> Reply:
        if self._fenced(body):
            return self._answer(409, reason="fence")
        task, run = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        started = self._running.get(task)
        if started is not None and started.run <= run:
            self._later(STOP_S, self._end, started, "stopped")
        return self._answer()

    def _pace(self, body: dict, _late: bool) -> Reply:
        return self._answer(409, reason="fence") if self._fenced(body) else self._answer()

    def _hold(self, body: dict, _late: bool) -> Reply | Deferred:
        if self._fenced(body):
            return self._answer(409, reason="fence")
        self._extend(body)
        seen = body.get("lastSeen", 0)
        for ending in self._ends:
            ending.start.noted = ending.start.noted or ending.number <= seen
        self._ends = [ending for ending in self._ends if ending.number > seen]
        wait_s = min(body.get("waitMs", 0) / MS_PER_S, MAX_WAIT_S)
        if self._ends or not wait_s:
            return self._lists()
        fut: Deferred = Deferred()
        self._waiting.append(fut)
        self._later(wait_s, self._wake, fut)
        return fut

    def _wake(self, fut: Deferred) -> None:
        if fut in self._waiting:
            self._waiting.remove(fut)
            fut.callback(self._lists())

    def _lists(self) -> Reply:
        now = self._reactor.seconds()
        running = [
            [s.task, s.run, "", FULL_PERCENT if now > s.at + STARTUP_S else 0, 0]
            for s in self._running.values()
        ]
        ends = [[e.number, e.start.task, e.start.run, e.start.how, ""] for e in self._ends]
        return self._answer(running=running, endedRuns=ends[:MAX_ROWS])

    def _end(self, started: Started, how: str) -> None:
        if self._running.get(started.task) is not started:
            return
        del self._running[started.task]
        started.how, started.ended_at = how, self._reactor.seconds()
        self._highest[started.task] = max(self._highest.get(started.task, 0), started.run)
        self._last_number += 1
        self._ends.append(Ending(self._last_number, started))
        for fut in list(self._waiting):
            self._wake(fut)

    def _watch_lease(self) -> None:
        self._later(0.05, self._watch_lease)
        if self._running and self.clock_ms > self._deadline_ms:
            for started in list(self._running.values()):
                self._end(started, "lapsed")
