"""Clients that hand in jobs and ask for them, and the operator, over real connections."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks, returnValue
from twisted.internet.task import deferLater

from geraniumtrack.errors import CallFailed
from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.http_client import HttpClient, Response
from soak.fleet import POOLS, STANDBY
from soak.ledger import Cancelling, ConfigRead, JobEntry, KeyCall, Ledger, Outage

__all__ = ["LIMITS", "Callers", "Operator"]

HOST = "soak.example"
LIMITS = {"t0": 0, "t1": 24_000}  # thousandths of a core by team; 0 is no limit
DEADLINE_S = 3.0
RESEND_S = 0.3
POLL_S = 0.4
ORDER_TIMEOUT_S = 1.0
PROBE_S = 0.5
MAX_LASTING = 4  # jobs that last; more would take the room of all others
MAX_SENDS = 40  # of one order of the operator


class _Caller:
    """Calls one of several addresses on kept connections."""

    def __init__(self, reactor: Any, addresses: list[str], rng: random.Random) -> None:
        self._reactor = reactor
        self._rng = rng
        self._clients = {}
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._clients[address] = HttpClient(reactor, Address(host, int(port)))

    def close(self) -> None:
        """Closes the connections."""
        for client in self._clients.values():
            client.close()

    @inlineCallbacks
    def _call(self, method: str, path: str, body: Any = None, **options: Any) -> Any:
        """Calls any address; fires with None without an answer."""
        client = self._rng.choice(list(self._clients.values()))
        data = json.dumps(body).encode() if body is not None else b""
        try:
            response = yield client.call(method, path, body=data, **options)
        except CallFailed:
            return None
        return response

    def _pause(self, seconds: float) -> Deferred:
        return deferLater(self._reactor, seconds, lambda: None)


class Callers(_Caller):
    """Clients.

    Args:
        reactor: Twisted reactor.
        addresses: Addresses of the entries.
        ledger: Where everything is noted.
        rng: Decides what they send.
    """

    def __init__(
        self, reactor: Any, addresses: list[str], *, ledger: Ledger, rng: random.Random
    ) -> None:
        super().__init__(reactor, addresses, rng)
        self._ledger = ledger
        self._sending = True

    def stop(self) -> None:
        """Hands in nothing more."""
        self._sending = False

    @inlineCallbacks
    def run(self) -> Any:
        """Hands in one job after the other and follows each until it has ended."""
        while self._sending:
            job = self._new_job()
            self._ledger.jobs[job.id] = job
            yield self._hand_in(job)
            if job.accepted_at is not None and self._rng.random() < 0.15:
                yield self._pause(self._rng.uniform(0.0, 2.0))
                yield self.cancel(job)
            elif job.accepted_at is not None and not job.lasting:
                yield self._follow(job, lambda: self._sending)
            yield self._pause(self._rng.uniform(0.05, 0.5))

    @inlineCallbacks
    def finish(self, *, until_s: float) -> Any:
        """Asks for all jobs until they have ended or the time is over."""
        waiting = [
            job
            for job in self._ledger.jobs.values()
            if job.accepted_at is not None and job.cancelling is None and not job.lasting
        ]
        in_time = [self._follow(job, lambda: self._reactor.seconds() < until_s) for job in waiting]
        yield gatherResults(in_time)

    @inlineCallbacks
    def probe(self, key: Callable[[], str]) -> Any:
        """Asks with the newest extra key that may be withdrawn, again and again."""
        while self._sending:
            name = key()
            sent_at = self._reactor.seconds()
            response = yield self._ask("GET", f"/{POOLS[0]}/", name)
            if response is not None:
                self._ledger.key_calls.append(KeyCall(name, sent_at, response.status))
            yield self._pause(PROBE_S)

    @inlineCallbacks
    def cancel(self, job: JobEntry) -> Any:
        """Cancels a job, again until that is acknowledged."""
        job.cancelling = Cancelling(self._reactor.seconds())
        while job.cancelling.acknowledged_at is None and self._sending:
            response = yield self._ask("DELETE", f"/{job.queue}/{job.id}", f"key-{job.team}")
            if response is not None and response.status in (200, 410):
                job.cancelling.acknowledged_at = self._reactor.seconds()
            else:
                yield self._pause(RESEND_S)

    def _new_job(self) -> JobEntry:
        rng = self._rng
        cpu = rng.choice((500, 1000, 2000))
        spec = json.dumps({"ms": rng.randint(100, 900), "cpu": cpu, "fail": 0.03})
        steps = [{"count": rng.randint(1, 5), "cpu": cpu, "memMb": 64, "estimatedMs": 500}]
        if rng.random() < 0.4:
            steps.append({**steps[0], "count": rng.randint(1, 3), "dependsOn": [0]})
        team = rng.choice(list(LIMITS))
        lasting = sum(job.lasting for job in self._ledger.jobs.values())
        if lasting < MAX_LASTING and not LIMITS[team]:
            spec = json.dumps({"cpu": cpu})
            steps = [{"count": 3, "cpu": cpu, "memMb": 64, "longRunning": True, "mayMiss": 1}]
        job_id = f"{rng.getrandbits(64):016x}"
        return JobEntry(job_id, rng.choice(POOLS), team, spec, steps)

    @inlineCallbacks
    def _hand_in(self, job: JobEntry) -> Any:
        body = {"spec": job.spec, "steps": job.steps}
        for _ in range(MAX_SENDS):
            path = f"/{job.queue}/{job.id}"
            response = yield self._ask("POST", path, f"key-{job.team}", body)
            status = response.status if response is not None else 0
            job.statuses.append(status)
            if status == 200:
                job.accepted_at = self._reactor.seconds()
                if self._rng.random() < 0.1:
                    # A copy that was delayed on its way.
                    self._reactor.callLater(2.0, self._ask, "POST", path, f"key-{job.team}", body)
                return
            if status in (429, 503):
                return
            yield self._pause(RESEND_S)

    @inlineCallbacks
    def _follow(self, job: JobEntry, go_on: Callable[[], bool]) -> Any:
        while go_on():
            response = yield self._ask("GET", f"/{job.queue}/{job.id}", f"key-{job.team}")
            now = self._reactor.seconds()
            if response is not None and response.status == 410:
                job.unknown_at.append(now)
            if response is not None and response.status == 200:
                state = json.loads(response.body)["state"]
                job.states.append((now, state))
                if state not in ("queued", "running"):
                    return
            yield self._pause(POLL_S)

    def _ask(self, method: str, path: str, key: str, body: Any = None) -> Deferred:
        headers = {
            "Host": HOST,
            "Geraniumtrack-Credential": key,
            "Geraniumtrack-Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        return self._call(method, path, body, headers=headers, timeout_s=DEADLINE_S)


class Operator(_Caller):
    """The operator: configurations, evacuations, maintenance.

    Args:
        reactor: Twisted reactor.
        addresses: Addresses of the controllers.
        ledger: Where everything is noted.
        rng: Chooses whom it calls.
    """

    def __init__(
        self, reactor: Any, addresses: list[str], *, ledger: Ledger, rng: random.Random
    ) -> None:
        super().__init__(reactor, addresses, rng)
        self._ledger = ledger
        self._version = 0
        self.extra_key = "extra-0"

    @inlineCallbacks
    def configure(self, *, withdraw: bool = False) -> Any:
        """Sends the next configuration until it is acknowledged; may exchange the extra key."""
        old = self.extra_key
        self._version += self._rng.randint(1, 3)
        version = self._version
        if withdraw:
            self.extra_key = f"extra-{version}"
        body = _config(version, self.extra_key)
        if (yield self._order("PUT", "/config", body)):
            now = self._reactor.seconds()
            self._ledger.versions[version] = now
            if withdraw:
                self._ledger.withdrawn[old] = now
        return None

    @inlineCallbacks
    def evacuate(self, zone: str, for_s: float) -> Any:
        """Takes a zone out and back."""
        if not (yield self._order("POST", f"/evacuations/{zone}")):
            return
        outage = Outage(zone, self._reactor.seconds())
        self._ledger.outages.append(outage)
        yield self._pause(for_s)
        outage.lifted_at = self._reactor.seconds()
        yield self._order("DELETE", f"/evacuations/{zone}")

    def maintain(self, wave: int, machines: list[str], duration_s: float) -> Deferred:
        """Asks that machines have their upkeep."""
        body = {"wave": wave, "machines": machines, "durationS": duration_s, "cap": 2}
        return self._order("POST", "/wave-start", body)

    @inlineCallbacks
    def read(self) -> Any:
        """Reads the configuration once; returns whether that was answered."""
        sent_at = self._reactor.seconds()
        response = yield self._call("GET", "/config", timeout_s=ORDER_TIMEOUT_S)
        if response is None or response.status != 200:
            return False
        version = json.loads(response.body)["version"]
        self._ledger.reads.append(ConfigRead(sent_at, version))
        return True

    @inlineCallbacks
    def _order(self, method: str, path: str, body: Any = None) -> Any:
        for _ in range(MAX_SENDS):
            response: Response | None = yield self._call(
                method, path, body, timeout_s=ORDER_TIMEOUT_S
            )
            if response is not None and response.status == 200:
                returnValue(True)
            yield self._pause(RESEND_S)
        returnValue(False)


def _config(version: int, extra_key: str) -> dict:
    routes = [
        {
            "name": f"q-{pool}",
            "host": HOST,
            "pathPrefix": f"/{pool}/",
            "type": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "backend": pool,
            "maxAttempts": 3,
            "stretch": 1.6,
            "public": False,
        }
        for pool in POOLS
    ]
    services = [
        {
            "name": name,
            "healthPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 0.0,
            "coldPerS": 0.0,
            "admissionCheck": True,
            "standby": name == STANDBY,
        }
        for name in (*POOLS, STANDBY)
    ]
    tenants = [
        {
            "name": name,
            "apiKeys": [f"key-{name}", *([extra_key] if name == "t0" else [])],
            "priority": 1,
            "weight": 10,
            "cap": {"cpu": cpu, "memMb": 0, "gpu": 0},
        }
        for name, cpu in LIMITS.items()
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "backends": services,
        "limits": limits,
        "tenants": tenants,
    }
