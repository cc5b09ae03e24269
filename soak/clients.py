"""Clients that submit and query jobs, and the operator, over real connections."""

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
from soak.fleet import POOLS, STANDBY, UNGUARDED
from soak.history import Cancellation, ConfigRead, History, JobHistory, KeyCall, ObservedEvacuation

__all__ = ["CPU_LIMITS", "JobClients", "Operator"]

HOST = "soak.example"
CPU_LIMITS = {"t0": 0, "t1": 24_000}  # thousandths of a core by team; 0 is no limit
DEADLINE_S = 3.0
RETRY_DELAY_S = 0.3
POLL_INTERVAL_S = 0.4
OPERATOR_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 0.5
MAX_SERVICE_JOBS = 4  # more would leave no free resources for the other jobs
MAX_SENDS = 40  # of one job or of one command of the operator


class _Caller:
    """Calls programs over persistent connections, with a random address for each call."""

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
        """Calls a random address; fires with None if there is no answer."""
        client = self._rng.choice(list(self._clients.values()))
        data = json.dumps(body).encode() if body is not None else b""
        try:
            response = yield client.call(method, path, body=data, **options)
        except CallFailed:
            return None
        return response

    def _pause(self, seconds: float) -> Deferred:
        return deferLater(self._reactor, seconds, lambda: None)


class JobClients(_Caller):
    """Clients that submit jobs and follow them until they end.

    Args:
        reactor: Twisted reactor.
        addresses: Addresses of the entries.
        history: Where jobs and answers are recorded.
        rng: Draws the jobs, the entries that are called, and the pauses.
    """

    def __init__(
        self, reactor: Any, addresses: list[str], *, history: History, rng: random.Random
    ) -> None:
        super().__init__(reactor, addresses, rng)
        self._history = history
        self._sending = True

    def stop(self) -> None:
        """Stops submitting jobs."""
        self._sending = False

    @inlineCallbacks
    def run(self) -> Any:
        """Submits one job after the other, and cancels it or polls its state until it ends."""
        while self._sending:
            job = self._new_job()
            self._history.jobs[job.id] = job
            yield self._submit(job)
            if job.accepted_at is not None and self._rng.random() < 0.15:
                yield self._pause(self._rng.uniform(0.0, 2.0))
                yield self.cancel(job)
            elif job.accepted_at is not None and not job.is_service:
                yield self._poll_until_ended(job, lambda: self._sending)
            yield self._pause(self._rng.uniform(0.05, 0.5))

    @inlineCallbacks
    def finish(self, *, until_s: float) -> Any:
        """Polls the accepted jobs until they have ended or the reactor's clock shows `until_s`.

        Cancelled jobs and service jobs are left out.
        """
        unfinished = [
            job
            for job in self._history.jobs.values()
            if job.accepted_at is not None and job.cancellation is None and not job.is_service
        ]
        polls = [
            self._poll_until_ended(job, lambda: self._reactor.seconds() < until_s)
            for job in unfinished
        ]
        yield gatherResults(polls)

    @inlineCallbacks
    def probe_key(self, key: Callable[[], str]) -> Any:
        """Calls entries periodically with a key that may be withdrawn, and records the answers.

        Args:
            key: Returns the key for the next call.
        """
        while self._sending:
            current_key = key()
            sent_at = self._reactor.seconds()
            response = yield self._call_entry("GET", f"/{POOLS[0]}/", current_key)
            if response is not None:
                self._history.key_calls.append(KeyCall(current_key, sent_at, response.status))
            yield self._pause(PROBE_INTERVAL_S)

    @inlineCallbacks
    def cancel(self, job: JobHistory) -> Any:
        """Cancels a job, with retries until that is acknowledged or `stop` is called."""
        job.cancellation = Cancellation(self._reactor.seconds())
        while job.cancellation.acknowledged_at is None and self._sending:
            response = yield self._call_entry("DELETE", f"/{job.queue}/{job.id}", f"key-{job.team}")
            if response is not None and response.status in (200, 410):
                job.cancellation.acknowledged_at = self._reactor.seconds()
            else:
                yield self._pause(RETRY_DELAY_S)

    def _new_job(self) -> JobHistory:
        rng = self._rng
        cpu = rng.choice((500, 1000, 2000))
        spec = json.dumps({"ms": rng.randint(100, 900), "cpu": cpu, "fail": 0.03})
        steps = [{"count": rng.randint(1, 5), "cpu": cpu, "memMb": 64, "estimatedMs": 500}]
        if rng.random() < 0.4:
            steps.append({**steps[0], "count": rng.randint(1, 3), "dependsOn": [0]})
        team = rng.choice(list(CPU_LIMITS))
        service_jobs = sum(job.is_service for job in self._history.jobs.values())
        if service_jobs < MAX_SERVICE_JOBS and not CPU_LIMITS[team]:
            spec = json.dumps({"cpu": cpu})
            steps = [{"count": 3, "cpu": cpu, "memMb": 64, "longRunning": True, "mayMiss": 1}]
        job_id = f"{rng.getrandbits(64):016x}"
        return JobHistory(job_id, rng.choice(POOLS), team, spec, steps)

    @inlineCallbacks
    def _submit(self, job: JobHistory) -> Any:
        body = {"spec": job.spec, "steps": job.steps}
        for _ in range(MAX_SENDS):
            path = f"/{job.queue}/{job.id}"
            response = yield self._call_entry("POST", path, f"key-{job.team}", body)
            status = response.status if response is not None else 0
            job.statuses.append(status)
            if status == 200:
                job.accepted_at = self._reactor.seconds()
                if self._rng.random() < 0.1:
                    # Simulates a duplicate of the request that the network has delayed.
                    self._reactor.callLater(
                        2.0, self._call_entry, "POST", path, f"key-{job.team}", body
                    )
                return
            if status in (429, 503):
                return
            yield self._pause(RETRY_DELAY_S)

    @inlineCallbacks
    def _poll_until_ended(self, job: JobHistory, keep_polling: Callable[[], bool]) -> Any:
        while keep_polling():
            response = yield self._call_entry("GET", f"/{job.queue}/{job.id}", f"key-{job.team}")
            now = self._reactor.seconds()
            if response is not None and response.status == 410:
                job.unknown_at.append(now)
            if response is not None and response.status == 200:
                state = json.loads(response.body)["state"]
                job.states.append((now, state))
                if state not in ("queued", "running"):
                    return
            yield self._pause(POLL_INTERVAL_S)

    def _call_entry(self, method: str, path: str, key: str, body: Any = None) -> Deferred:
        headers = {
            "Host": HOST,
            "Geraniumtrack-Credential": key,
            "Geraniumtrack-Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        return self._call(method, path, body, headers=headers, timeout_s=DEADLINE_S)


class Operator(_Caller):
    """The operator, who sends configurations, evacuations and maintenance campaigns.

    Args:
        reactor: Twisted reactor.
        addresses: Addresses of the controllers.
        history: Where acknowledged commands and answers are recorded.
        rng: Draws the controllers that are called and the steps between configuration versions.

    Attributes:
        extra_key: Second key of the team t0 in the newest configuration, which may be withdrawn.
    """

    def __init__(
        self, reactor: Any, addresses: list[str], *, history: History, rng: random.Random
    ) -> None:
        super().__init__(reactor, addresses, rng)
        self._history = history
        self._version = 0
        self._returning: list[str] = []  # data centres for which a request to return is in progress
        self.extra_key = "extra-0"

    @inlineCallbacks
    def configure(self, *, withdraw: bool = False) -> Any:
        """Sends the next version of the configuration, with retries.

        Args:
            withdraw: Whether the configuration has a new extra key in place of the current one.
        """
        former_key = self.extra_key
        self._version += self._rng.randint(1, 3)
        version = self._version
        if withdraw:
            self.extra_key = f"extra-{version}"
        body = _config(version, self.extra_key)
        if (yield self._send_with_retries("PUT", "/config", body)):
            now = self._reactor.seconds()
            self._history.versions[version] = now
            if withdraw:
                self._history.withdrawn[former_key] = now
        return None

    @inlineCallbacks
    def evacuate(self, zone: str, for_s: float) -> Any:
        """Evacuates a data centre, and returns it to service after `for_s` seconds.

        That also ends the other evacuations of the data centre that are in force.
        """
        if not (yield self._send_with_retries("POST", f"/evacuations/{zone}")):
            return
        evacuation = ObservedEvacuation(zone, self._reactor.seconds())
        if zone in self._returning:
            evacuation.lifted_at = evacuation.acknowledged_at
        self._history.evacuations.append(evacuation)
        yield self._pause(for_s)
        for other in self._history.evacuations:
            if other.zone == zone and other.lifted_at is None:
                other.lifted_at = self._reactor.seconds()
        self._returning.append(zone)
        yield self._send_with_retries("DELETE", f"/evacuations/{zone}")
        self._returning.remove(zone)

    def maintain(self, wave: int, machines: list[str], duration_s: float) -> Deferred:
        """Starts the maintenance of machines.

        Args:
            wave: Number of the maintenance campaign.
            machines: Names of the machines.
            duration_s: Time from now in which the campaign is to be completed.
        """
        body = {"wave": wave, "machines": machines, "durationS": duration_s, "cap": 2}
        return self._send_with_retries("POST", "/wave-start", body)

    @inlineCallbacks
    def read_config(self) -> Any:
        """Reads the configuration once; returns whether a controller answered with it."""
        sent_at = self._reactor.seconds()
        response = yield self._call("GET", "/config", timeout_s=OPERATOR_TIMEOUT_S)
        if response is None or response.status != 200:
            return False
        version = json.loads(response.body)["version"]
        self._history.reads.append(ConfigRead(sent_at, version))
        return True

    @inlineCallbacks
    def _send_with_retries(self, method: str, path: str, body: Any = None) -> Any:
        """Sends a command up to `MAX_SENDS` times; returns whether it was acknowledged."""
        for _ in range(MAX_SENDS):
            response: Response | None = yield self._call(
                method, path, body, timeout_s=OPERATOR_TIMEOUT_S
            )
            if response is not None and response.status == 200:
                returnValue(True)
            yield self._pause(RETRY_DELAY_S)
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
            "admissionCheck": name not in UNGUARDED,
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
        for name, cpu in CPU_LIMITS.items()
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
