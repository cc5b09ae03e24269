"""Open-loop load over real processes: entries, controllers and stand-in targets on loopback.

Run as `python -m bench.load path` for the cost of the entry path, and as `python -m bench.load
brazos-bend` or `casqueiro` for a user's workload in which queues peak in turns and a data centre
leaves and returns. Requests are sent when they are due, whether or not earlier ones were answered,
so that a slow system does not slow its own load.
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
SETTLE_S = 3.0  # for membership, allotments and gossip after a start
URGENT_LIMIT_S = 2.2
TIMEOUT_S = {"urgent": 5, "normal": 30, "long": 60}
RUN_S = 60.0
TURN_S = 8.0
OUT_AT_S, BACK_AT_S = 20.0, 36.0
SLOTS = 2  # of a target; fewer than real ones, so that one machine can fill them
PEAK_LOAD = 1.3
PEAK = 5.0
TROUGH = 0.05
SLOWER = 2.0  # run times against those of the design, so that one machine can carry the rate


class Connection:
    """A kept HTTP/1.1 connection; one request at a time.

    Cheaper than a full client, so that the load program does not limit what it measures.
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
    """Connections to one port, as many as are needed at once."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[Connection] = []

    async def request(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """Sends a POST on an idle or a new connection; status 0 if the connection failed."""
        conn = self._take()
        try:
            answer = await conn.request(path, headers, body)
        except (OSError, asyncio.IncompleteReadError, IndexError, ValueError):
            conn.close()
            return 0, b""
        self._idle.append(conn)
        return answer

    def _take(self) -> Connection:
        # Entries close connections that were idle for 30 s, which a second peak would reuse.
        while self._idle:
            conn = self._idle.pop()
            if not conn.closed:
                return conn
            conn.close()
        return Connection(self._port)


@dataclass
class Sent:
    """One request of the load and what came of it; times in seconds from the start."""

    at: float
    team: str
    queue: str
    urgency: str
    run_s: float
    entry: str
    status: int = 0
    took: float = 0.0


def quantile(values: list[float], part: float) -> float:
    """Returns a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def cpu_s(process: Any) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def timed(client: Client, make: Any, count: int, workers: int) -> tuple[list[float], float]:
    """Sends requests one after another on each of some workers; returns times and duration."""
    times: list[float] = []
    left = iter(range(count))

    async def work() -> None:
        for _ in left:
            path, headers, body = make()
            began = time.perf_counter()
            status, _ = await client.request(path, headers, body)
            times.append(time.perf_counter() - began)
            if status != 200:
                raise RuntimeError(f"status {status} for {path}")

    began = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(workers)))
    return times, time.perf_counter() - began


def measure_path(count: int = 2000) -> None:
    """Compares requests through an entry with direct ones to the same stand-in target."""
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
    make = {
        "direct": lambda: (f"/tasks/{uuid.uuid4().hex}", {}, b"{}"),
        "entry": lambda: ("/v1/queues/proofs/x", headers, b"{}"),
    }
    for name, client in (("direct", direct), ("entry", entry)):
        await timed(client, make[name], 200, 1)
        times, _ = await timed(client, make[name], count, 1)
        p50, p99 = (quantile(times, part) * 1000 for part in (0.5, 0.99))
        print(f"{name}: one at a time, p50 {p50:.2f} ms, p99 {p99:.2f} ms")
    process = cluster.processes["e1a"]
    used = cpu_s(process)
    times, seconds = await timed(entry, make["entry"], 2 * count, 16)
    used = cpu_s(process) - used
    p50, p99 = (quantile(times, part) * 1000 for part in (0.5, 0.99))
    print(f"entry: 16 at a time, {2 * count / seconds:.0f} requests/s, p50 {p50:.1f} ms, ", end="")
    print(f"p99 {p99:.1f} ms, {2 * count / used:.0f} requests per second of its core")


def schedule(workload: Workload, plan: Plan, entries: list[str], rng: random.Random) -> list[Sent]:
    """Returns the requests of a workload in order of time."""
    slots = plan.targets_per_pool * plan.slots
    teams = list(ACCOUNTS)
    found = []
    for number, (queue, (urgency, run_s, long_part)) in enumerate(workload.queues.items()):
        mean_s = (run_s * (1 - long_part) + workload.long_s * long_part) * SLOWER
        parts = [part * rng.choice(PREFERENCES) for _, part in ACCOUNTS.values()]
        now = 0.0
        while True:
            turn = int(now // TURN_S) % len(workload.queues) == number
            load = PEAK_LOAD if turn else PEAK_LOAD / PEAK * TROUGH
            now += rng.expovariate(load * slots / mean_s)
            if now >= RUN_S:
                break
            is_long = rng.random() < long_part
            spent = rng.expovariate(1 / (workload.long_s if is_long else run_s)) * SLOWER
            team = rng.choices(teams, parts)[0]
            kind = "long" if is_long else urgency
            found.append(Sent(now, team, queue, kind, spent, rng.choice(entries)))
    return sorted(found, key=lambda sent: sent.at)


def fleet_of(workload: Workload, plan: Plan) -> Fleet:
    """Returns a fleet with a workload's queues and accounts."""
    return Fleet(
        data_centres=[DataCentre(name=name) for name in plan.data_centres],
        pools=[Pool(name=name, max_unavailable=2) for name in workload.queues],
        queues=[
            Queue(name=name, pool=name, urgency=kind, idempotent=True)
            for name, (kind, _, _) in workload.queues.items()
        ],
        teams=[Team(name=n, share=share, limit=200) for n, (share, _) in ACCOUNTS.items()],
    )


def measure_workload(workload: Workload) -> None:
    """Sends a user's workload while a data centre leaves and returns."""
    plan = Plan(entries_per_data_centre=1, pools=tuple(workload.queues), slots=SLOTS)
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), plan) as cluster:
        cluster.apply(fleet_of(workload, plan))
        cluster.wait_ready()
        keys = {team: cluster.issue_key(team)[1] for team in ACCOUNTS}
        time.sleep(SETTLE_S)
        sent = schedule(workload, plan, cluster.entries, random.Random(SEED))
        began = time.time()
        asyncio.run(_send_all(cluster, keys, sent))
        starts = [line.split(" ") for line in cluster.record.read_text().splitlines()]
    _report(workload, sent, [(float(line[0]) - began, line[1]) for line in starts])


async def _send_all(cluster: Cluster, keys: dict[str, str], sent: list[Sent]) -> None:
    clients = {name: Client(cluster.http_ports[name]) for name in cluster.entries}
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def send(one: Sent) -> None:
        headers = {
            "Authorization": f"Bearer {keys[one.team]}",
            "Geraniumtrack-Urgency": one.urgency,
            "Request-Timeout": str(TIMEOUT_S[one.urgency]),
        }
        body = json.dumps({"seconds": one.run_s}).encode()
        path = f"/v1/queues/{one.queue}/{one.team}"
        one.status, _ = await clients[one.entry].request(path, headers, body)
        one.took = loop.time() - began - one.at

    def operate(in_service: bool) -> None:
        cluster.operator.command("/v1/data-centres/dc1", {"in_service": in_service})

    loop.call_at(began + OUT_AT_S, loop.run_in_executor, None, operate, False)
    loop.call_at(began + BACK_AT_S, loop.run_in_executor, None, operate, True)
    tasks = []
    for one in sent:
        await asyncio.sleep(max(0.0, began + one.at - loop.time()))
        tasks.append(asyncio.create_task(send(one)))
    await asyncio.gather(*tasks)


def _report(workload: Workload, sent: list[Sent], starts: list[tuple[float, str]]) -> None:
    print(f"{workload.name}: {len(sent)} requests in {RUN_S:.0f} s, seed {SEED}")
    print(f"  statuses {dict(Counter(one.status for one in sent))}")
    for urgency in ("urgent", "normal", "long"):
        some = [one for one in sent if one.urgency == urgency]
        waits = [max(0.0, one.took - one.run_s) for one in some if one.status == 200]
        late = sum(wait > URGENT_LIMIT_S for wait in waits) + len(some) - len(waits)
        p50, p99 = (quantile(waits, part) for part in (0.5, 0.99))
        print(f"  {urgency}: {len(waits)}/{len(some)} done, wait p50 {p50:.3f} s ", end="")
        print(f"p99 {p99:.3f} s, later than {URGENT_LIMIT_S} s or failed {late}")
    repeated = len(starts) - sum(one.status == 200 for one in sent)
    print(f"  starts {len(starts)}, beyond the answered requests {repeated}")
    while_out = [at for at, dc in starts if dc == "dc1" and OUT_AT_S + 1.0 <= at < BACK_AT_S]
    print(f"  starts in dc1 from 1 s after it was taken out: {len(while_out)}")
    for team in ACCOUNTS:
        some = [one for one in sent if one.team == team]
        done = sum(one.run_s for one in some if one.status == 200)
        wait = quantile([one.took - one.run_s for one in some if one.status == 200], 0.99)
        print(f"  {team}: {done:.0f} slot-seconds done, wait p99 {wait:.2f} s")


def main(what: str = "path") -> None:
    """Runs one measurement: `path`, `brazos-bend` or `casqueiro`."""
    workloads = {workload.name: workload for workload in (BRAZOS_BEND, CASQUEIRO)}
    if what in workloads:
        measure_workload(workloads[what])
    else:
        measure_path()


if __name__ == "__main__":
    fire.Fire(main)
