"""Stand-in workers whose capacity changes, under real owners on a fake clock.

Heartbeats arrive late and out of order, orders are executed late, workers restart, and the owner
changes. The workers don't guard their capacity: they run whatever they are ordered to start.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, maybeDeferred
from twisted.internet.task import Clock

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import FleetConfig, WorkerPool
from geraniumtrack.platform import worker_client
from geraniumtrack.platform.wire import decode_heartbeat
from geraniumtrack.protocol.address import Address
from geraniumtrack.protocol.codec import encode
from geraniumtrack.transport.http_client import Response
from geraniumtrack.transport.http_server import Reply, Request
from standins.worker import RunHistory, StandInWorker
from tests.jobs_support import OwnerHarness, job, queue, step

DAY_S = 120.0
LATENCY_S = 0.002  # of an answer
STEP_S = 0.05
HEARTBEAT_INTERVAL_S = 1.5
MAX_HEARTBEAT_DELAY_S = 6.0
WORKER_COUNT = 4
CPU_CHOICES = (2000, 6000, 10_000, 16_000)
LATE_FRACTION = 0.45  # of the orders


class DirectClient:
    """Takes the place of `HttpClient`: calls the stand-in worker at an address directly."""

    stand_ins: dict[str, StandInWorker]
    pending: list[tuple[StandInWorker, Deferred]]

    def __init__(self, reactor: Any, address: Address) -> None:
        self._reactor = reactor
        self._address = f"{address.host}:{address.port}"

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes,
        headers: dict,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> Any:
        """Returns a Deferred of the response, which fails after `timeout_s` seconds."""
        if not may_send():
            return fail(CallFailed("not permitted", sent=False))
        fut: Deferred = Deferred()
        stand_in = self.stand_ins[self._address]
        lower_case = {name.lower(): value for name, value in headers.items()}
        request = Request(method, path, lower_case, body, self._reactor.seconds())
        self.pending.append((stand_in, fut))
        timer = self._reactor.callLater(timeout_s, fail_call, fut, "no response in time")

        def answer(reply: Reply) -> None:
            if not fut.called:
                timer.cancel()
                fut.callback(Response(reply.status, reply.body))

        if stand_in.alive:
            fut_reply = maybeDeferred(stand_in.handle, request)
            fut_reply.addCallback(lambda reply: self._reactor.callLater(LATENCY_S, answer, reply))
        return fut

    def close(self) -> None:
        """Does nothing, because there are no connections to close."""

    @classmethod
    def abort_calls(cls, stand_in: StandInWorker) -> None:
        """Lets the calls to a worker fail, as when it crashes and its connections end."""
        for target, fut in cls.pending:
            if target is stand_in:
                fail_call(fut, "connection lost")
        cls.pending = [(target, fut) for target, fut in cls.pending if not fut.called]


def fail_call(fut: Deferred, reason: str) -> None:
    """Fails a call that has not been answered."""
    if not fut.called:
        fut.errback(CallFailed(reason, sent=True))


class Day:
    """Stand-in workers, their owner and the load of one day, all drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.history = RunHistory()
        self.workers = [self._new_worker(number) for number in range(WORKER_COUNT)]
        self.overcommitted = 0  # times that a capacity shrank below what ran
        self._last_delayed: dict[int, bool] = {}
        config = FleetConfig(1, (queue(),), (WorkerPool("p", guarded=False),), (), b"{}")
        state = JobsState()
        state.apply(cmds.Configure(config))
        self.harness = self._new_owner(1, state)

    def run(self) -> None:
        """Plays the day."""
        for number in range(WORKER_COUNT):
            self._send_heartbeats(number)
        for tick in range(round(DAY_S / STEP_S)):
            if tick % 5 == 0:
                self._submit(f"{tick:016x}")
            if self.rng.random() < 0.03:
                self._change_capacity()
            if self.rng.random() < 0.005:
                self._restart_worker(self.rng.randrange(WORKER_COUNT))
            if self.rng.random() < 0.008:
                self._change_owner()
            self.harness.run(STEP_S, STEP_S)

    def _new_worker(self, number: int) -> StandInWorker:
        worker = StandInWorker(
            self.clock,
            worker_id=f"w{number}",
            born=round(self.clock.seconds() * 1000) + 1,
            machine=f"m{number}",
            pool="p",
            zone="dc1",
            rack="r1",
            listen=Address("10.0.0.1", 80),
            announced=f"10.0.0.{number}:80",
            controllers=list,
            run_history=self.history,
            rng=self.rng,
            cpu=self.rng.choice(CPU_CHOICES),
            guarded=False,
        )
        worker.faults.unanswered_fraction = LATE_FRACTION
        worker.start_unconnected()
        DirectClient.stand_ins[f"10.0.0.{number}:80"] = worker
        return worker

    def _new_owner(self, term: int, state: JobsState) -> OwnerHarness:
        port = worker_client.WorkerClient(self.clock)
        harness = OwnerHarness(state=state, term=term, workers=port, clock=self.clock)
        harness.owner.start()
        return harness

    def _change_owner(self) -> None:
        self.harness.may_act = False
        self.harness.owner.stop()
        state = JobsState.load(encode(self.harness.state.capture()))
        self.harness = self._new_owner(self.harness.owner.term + 1, state)

    def _send_heartbeats(self, number: int) -> None:
        """Sends heartbeats; never two in a row are delayed, which may swap their order."""
        worker = self.workers[number]
        heartbeat = decode_heartbeat(worker.id, json.dumps(worker.heartbeat_body()).encode())
        delayed = not self._last_delayed.get(number) and self.rng.random() < 0.3
        self._last_delayed[number] = delayed
        delay_s = self.rng.uniform(0.0, MAX_HEARTBEAT_DELAY_S) if delayed else 0.0
        self.clock.callLater(delay_s, self._deliver, heartbeat)
        self.clock.callLater(HEARTBEAT_INTERVAL_S, self._send_heartbeats, number)

    def _deliver(self, heartbeat: Any) -> None:
        self.harness.owner.registry.handle_heartbeat(heartbeat)

    def _change_capacity(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.set_cpu(self.rng.choice(CPU_CHOICES))
        self.overcommitted += worker.used_cpu > worker.cpu

    def _restart_worker(self, number: int) -> None:
        self.workers[number].crash()
        DirectClient.abort_calls(self.workers[number])
        self.workers[number] = self._new_worker(number)

    def _submit(self, job_id: str) -> None:
        cpu = self.rng.randrange(500, 6000, 500)
        payload = json.dumps({"cpu": cpu, "ms": self.rng.randint(200, 4000), "fail": 0.1})
        new_job = job(
            step(self.rng.randint(1, 3), cpu=cpu),
            job_id=job_id,
            payload=payload,
            submitted=self.clock.seconds(),
        )
        self.harness.commit(cmds.SubmitJob(new_job))
        if self.rng.random() < 0.2:
            self.clock.callLater(self.rng.uniform(0.1, 3.0), self._cancel, job_id)

    def _cancel(self, job_id: str) -> None:
        self.harness.commit(cmds.CancelJob(job_id, self.clock.seconds()))


# On the code before `ReportWorker` and `start_check`, these seeds had two such starts each.
@pytest.mark.parametrize("seed", [6, 12, 17])
def test_no_start_brings_an_unguarded_worker_over_its_changing_capacity(seed, monkeypatch):
    """Guards against starts over a capacity that has shrunk 4.5 s before, or earlier."""
    monkeypatch.setattr(DirectClient, "stand_ins", {}, raising=False)
    monkeypatch.setattr(DirectClient, "pending", [], raising=False)
    monkeypatch.setattr(worker_client, "HttpClient", DirectClient)
    day = Day(seed)
    day.run()
    assert [run for run in day.history.runs if run.over_capacity] == []
    # The day is worth nothing without many starts, late ones and shrunk workers.
    assert len(day.history.runs) > 200
    assert sum(run.late for run in day.history.runs) > 3
    assert day.overcommitted > 5
