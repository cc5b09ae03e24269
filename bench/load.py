"""Open-loop load on real processes: entries, controllers and stand-in targets on loopback.

Run as `python -m bench.load path` to measure the overhead of the path through an entry, or as
`python -m bench.load brazos-bend` or `casqueiro` for a user's workload, in which the queues peak in
turn and a data centre is taken out of service and returned. The requests of a workload are sent at
their scheduled times, whether or not earlier ones were answered, so that a slow system does not
reduce its own load.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import tempfile
import time
import uuid
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

from bench.policy import ACCOUNTS, BRAZOS_BEND, CASQUEIRO, PREFERENCES, Workload
from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from standins.cluster import Cluster, Plan

SEED = 20
SETTLE_S = 3.0  # for membership, allotments and gossip to converge after a start
LATE_WAIT_S = 2.2  # requests that waited longer count as late
TIMEOUT_S = {"urgent": 5, "normal": 30, "long": 60}  # by urgency
DURATION_S = 60.0  # of a workload
PEAK_S = 8.0  # duration of a queue's peak; the queues peak in turn
EVACUATE_AT_S, RETURN_AT_S = 20.0, 36.0  # of data centre dc1
SLOTS = 2  # of a target; fewer than in production, so that one machine can fill them
PEAK_LOAD = 1.3  # demand of a queue at its peak, as a fraction of its pool's slots
PEAK_FACTOR = 5.0  # demand at the peak, relative to the mean
TROUGH_FACTOR = 0.05  # demand between peaks, relative to the mean
RUN_TIME_FACTOR = 2.0  # relative to the design's run times, so that one machine sustains the rate


class Connection:
    """A persistent HTTP/1.1 connection; one request at a time.

    Cheaper than a full HTTP client, so that the load program does not limit the measured rate.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """Sends a POST; returns status and body."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        lines = [f"POST {path} HTTP/1.1", "Host: load", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head.split(b" ", 2)[1])
        if b"chunked" in head:
            return status, await self._read_chunks()
        length = int(head.split(b"content-length:")[1].split(b"\r\n", 1)[0])
        return status, await self._reader.readexactly(length)

    async def _read_chunks(self) -> bytes:
        parts = []
        while True:
            size = int(await self._reader.readline(), 16)
            parts.append((await self._reader.readexactly(size + 2))[:-2])
            if not size:
                return b"".join(parts)

    @property
    def closed(self) -> bool:
        """Whether the other end has closed the connection."""
        return self._reader is not None and self._reader.at_eof()

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


class Client:
    """A pool of connections to one port; it grows with the number of concurrent requests."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[Connection] = []

    async def request(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """Sends a POST on an idle or a new connection; status 0 if the connection failed."""
        conn = self._get_connection()
        try:
            answer = await conn.request(path, headers, body)
        except (OSError, asyncio.IncompleteReadError, IndexError, ValueError):
            conn.close()
            return 0, b""
        self._idle.append(conn)
        return answer

    def _get_connection(self) -> Connection:
        # Entries close connections that were idle for 30 s, as those of an earlier peak may be.
        while self._idle:
            conn = self._idle.pop()
            if not conn.closed:
                return conn
            conn.close()
        return Connection(self._port)


@dataclass
class ScheduledRequest:
    """One request of the load and its result.

    Attributes:
        at: Scheduled time, in seconds from the start.
        team: Team that sends it.
        queue: Queue to which it is sent.
        urgency: Its urgency.
        run_s: Run time of its task.
        entry: Entry to which it is sent.
        status: HTTP status of the answer, or 0 if the connection failed.
        latency_s: Time from `at` to the answer.
    """

    at: float
    team: str
    queue: str
    urgency: str
    run_s: float
    entry: str
    status: int = 0
    latency_s: float = 0.0


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile of unsorted values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def cpu_s(process: Any) -> float:
    """Returns the CPU time of a process in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_latencies(
    client: Client, make_request: Any, count: int, concurrency: int
) -> tuple[list[float], float]:
    """Sends requests from a number of concurrent senders, each one after the other.

    Returns:
        Latencies and the total duration, in seconds.
    """
    latencies: list[float] = []
    remaining = iter(range(count))

    async def send() -> None:
        for _ in remaining:
            path, headers, body = make_request()
            began = time.perf_counter()
            status, _ = await client.request(path, headers, body)
            latencies.append(time.perf_counter() - began)
            if status != 200:
                raise RuntimeError(f"POST {path}: expected status 200, got {status}")

    began = time.perf_counter()
    await asyncio.gather(*(send() for _ in range(concurrency)))
    return latencies, time.perf_counter() - began


def measure_path(count: int = 2000) -> None:
    """Compares requests through an entry with direct requests to a stand-in target."""
    plan = Plan(
        data_centres=("dc1",),
        controllers=3,
        entries_per_data_centre=1,
        pools=("proofs", "back-office"),
        targets_per_pool=4,
    )
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), plan) as cluster:
        cluster.apply()
        cluster.wait_ready()
        key = cluster.issue_key("acme")[1]
        time.sleep(SETTLE_S)
        asyncio.run(_measure_path(cluster, key, count))


async def _measure_path(cluster: Cluster, key: str, count: int) -> None:
    direct = Client(cluster.targets["proofs-1"]["port"])
    entry = Client(cluster.http_ports["e1a"])
    headers = {"Authorization": f"Bearer {key}"}
    make_request = {
        "direct": lambda: (f"/tasks/{uuid.uuid4().hex}", {}, b"{}"),
        "entry": lambda: ("/v1/queues/proofs/x", headers, b"{}"),
    }
    for name, client in (("direct", direct), ("entry", entry)):
        await measure_latencies(client, make_request[name], 200, 1)
        latencies, _ = await measure_latencies(client, make_request[name], count, 1)
        p50, p99 = (quantile(latencies, fraction) * 1000 for fraction in (0.5, 0.99))
        print(f"{name}: one at a time, p50 {p50:.2f} ms, p99 {p99:.2f} ms")
    process = cluster.processes["e1a"]
    used_s = cpu_s(process)
    latencies, seconds = await measure_latencies(entry, make_request["entry"], 2 * count, 16)
    used_s = cpu_s(process) - used_s
    p50, p99 = (quantile(latencies, fraction) * 1000 for fraction in (0.5, 0.99))
    print(f"entry: 16 at a time, {2 * count / seconds:.0f} requests/s, p50 {p50:.1f} ms, ", end="")
    print(f"p99 {p99:.1f} ms, {2 * count / used_s:.0f} requests per CPU second")


def schedule(
    workload: Workload, plan: Plan, entries: list[str], rng: random.Random
) -> list[ScheduledRequest]:
    """Returns the requests of a workload, sorted by time."""
    slots = plan.targets_per_pool * plan.slots
    teams = list(ACCOUNTS)
    scheduled = []
    for number, (queue, (urgency, run_s, long_fraction)) in enumerate(workload.queues.items()):
        mean_s = (run_s * (1 - long_fraction) + workload.long_s * long_fraction) * RUN_TIME_FACTOR
        weights = [fraction * rng.choice(PREFERENCES) for _, fraction in ACCOUNTS.values()]
        now = 0.0
        while True:
            is_peak = int(now // PEAK_S) % len(workload.queues) == number
            load = PEAK_LOAD if is_peak else PEAK_LOAD / PEAK_FACTOR * TROUGH_FACTOR
            now += rng.expovariate(load * slots / mean_s)
            if now >= DURATION_S:
                break
            is_long = rng.random() < long_fraction
            task_s = rng.expovariate(1 / (workload.long_s if is_long else run_s)) * RUN_TIME_FACTOR
            team = rng.choices(teams, weights)[0]
            kind = "long" if is_long else urgency
            scheduled.append(ScheduledRequest(now, team, queue, kind, task_s, rng.choice(entries)))
    return sorted(scheduled, key=lambda request: request.at)


def make_fleet(workload: Workload, plan: Plan) -> Fleet:
    """Returns a fleet with a workload's queues and accounts."""
    return Fleet(
        data_centres=[DataCentre(name=name) for name in plan.data_centres],
        pools=[Pool(name=name, max_unavailable=2) for name in workload.queues],
        queues=[
            Queue(name=name, pool=name, urgency=urgency, idempotent=True)
            for name, (urgency, _, _) in workload.queues.items()
        ],
        teams=[Team(name=n, share=share, limit=200) for n, (share, _) in ACCOUNTS.items()],
    )


def measure_workload(workload: Workload) -> None:
    """Sends a user's workload while a data centre is taken out of service and returned."""
    plan = Plan(entries_per_data_centre=1, pools=tuple(workload.queues), slots=SLOTS)
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), plan) as cluster:
        cluster.apply(make_fleet(workload, plan))
        cluster.wait_ready()
        keys = {team: cluster.issue_key(team)[1] for team in ACCOUNTS}
        time.sleep(SETTLE_S)
        requests = schedule(workload, plan, cluster.entries, random.Random(SEED))
        began = time.time()
        asyncio.run(_send_all(cluster, keys, requests))
        starts = [line.split(" ") for line in cluster.record.read_text().splitlines()]
    _print_report(workload, requests, [(float(line[0]) - began, line[1]) for line in starts])


async def _send_all(
    cluster: Cluster, keys: dict[str, str], requests: list[ScheduledRequest]
) -> None:
    clients = {name: Client(cluster.http_ports[name]) for name in cluster.entries}
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def send(request: ScheduledRequest) -> None:
        headers = {
            "Authorization": f"Bearer {keys[request.team]}",
            "Geraniumtrack-Urgency": request.urgency,
            "Request-Timeout": str(TIMEOUT_S[request.urgency]),
        }
        body = json.dumps({"seconds": request.run_s}).encode()
        path = f"/v1/queues/{request.queue}/{request.team}"
        request.status, _ = await clients[request.entry].request(path, headers, body)
        request.latency_s = loop.time() - began - request.at

    def set_in_service(in_service: bool) -> None:
        cluster.operator.command("/v1/data-centres/dc1", {"in_service": in_service})

    loop.call_at(began + EVACUATE_AT_S, loop.run_in_executor, None, set_in_service, False)
    loop.call_at(began + RETURN_AT_S, loop.run_in_executor, None, set_in_service, True)
    tasks = []
    for request in requests:
        await asyncio.sleep(max(0.0, began + request.at - loop.time()))
        tasks.append(asyncio.create_task(send(request)))
    await asyncio.gather(*tasks)


def _print_report(
    workload: Workload, requests: list[ScheduledRequest], starts: list[tuple[float, str]]
) -> None:
    print(f"{workload.name}: {len(requests)} requests in {DURATION_S:.0f} s, seed {SEED}")
    print(f"  statuses {dict(Counter(request.status for request in requests))}")
    for urgency in ("urgent", "normal", "long"):
        selected = [request for request in requests if request.urgency == urgency]
        waits = [
            max(0.0, request.latency_s - request.run_s)
            for request in selected
            if request.status == 200
        ]
        late = sum(wait > LATE_WAIT_S for wait in waits) + len(selected) - len(waits)
        p50, p99 = (quantile(waits, fraction) for fraction in (0.5, 0.99))
        print(f"  {urgency}: {len(waits)}/{len(selected)} done, wait p50 {p50:.3f} s ", end="")
        print(f"p99 {p99:.3f} s, later than {LATE_WAIT_S} s or failed {late}")
    excess = len(starts) - sum(request.status == 200 for request in requests)
    print(f"  starts {len(starts)}, excess over requests with status 200: {excess}")
    while_evacuated = [
        at for at, dc in starts if dc == "dc1" and EVACUATE_AT_S + 1.0 <= at < RETURN_AT_S
    ]
    print(f"  starts in dc1 from 1 s after it was taken out of service: {len(while_evacuated)}")
    for team in ACCOUNTS:
        selected = [request for request in requests if request.team == team]
        slot_seconds = sum(request.run_s for request in selected if request.status == 200)
        wait = quantile(
            [request.latency_s - request.run_s for request in selected if request.status == 200],
            0.99,
        )
        print(f"  {team}: {slot_seconds:.0f} slot-seconds done, wait p99 {wait:.2f} s")


def main(what: str = "path") -> None:
    """Runs one benchmark: `path`, `brazos-bend` or `casqueiro`."""
    workloads = {workload.name: workload for workload in (BRAZOS_BEND, CASQUEIRO)}
    if what in workloads:
        measure_workload(workloads[what])
    else:
        measure_path()


if __name__ == "__main__":
    fire.Fire(main)
