"""Measures the overhead of an entry and a controller, and extrapolates it to the design size.

Run as `python -m bench.capacity`. The benchmark starts small clusters on loopback, one after the
other, reads the CPU time and the memory of an entry and of the leader, and prints the slopes and
the table of docs/CAPACITY.md. It takes about two minutes.
"""

from __future__ import annotations

import json
import os
import socket
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from geraniumtrack.cli.output import table
from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.envelope import Envelope, decode_frame, encode_frame
from standins.cluster import Cluster, Plan

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEASURE_S = 5.0  # duration of one measurement
SETTLE_S = 3.0  # before a measurement, until the load is steady
MB = 1e6
FRAME_OVERHEAD_BYTES = 14 + 52  # websocket header with mask, and TCP/IP headers

LOCAL_GOSSIP_S, REMOTE_GOSSIP_S = 0.5, 1.0  # intervals within and between data centres
CHANGE_BYTES = 600.0  # a pushed ViewDelta of one record, with the renewal that reports it

# Bounds on the overhead of an entry: percent of a core, memory, and network traffic.
BOUND_CPU, BOUND_MB, BOUND_BYTES_S = 1.9, 256.0, 9000.0


class Size(NamedTuple):
    """A size of the system for which costs are computed.

    Attributes:
        name: Name for the output.
        targets: Number of targets.
        teams: Number of teams.
        pools: Number of pools.
        data_centres: Number of data centres.
        entries: Number of entries. The design does not specify it; two per data centre are assumed.
        changes_a_day: Configuration changes a day.
    """

    name: str
    targets: int
    teams: int
    pools: int
    data_centres: int
    entries: int
    changes_a_day: int


TODAY = Size("today", 40, 6, 5, 4, 8, 40)
DESIGN = Size("design size", 550, 55, 63, 8, 16, 480)


class Cost(NamedTuple):
    """Resource use of a process: CPU in percent of a core, and resident memory in MB."""

    cpu: float
    memory: float


def main() -> None:
    """Runs the measurements; prints their results, the slopes and the table of each size."""
    targets = measure_targets((0, 50, 100, 200))
    entries = {count: measure_entries(count) for count in (1, 4, 8)}
    _print_costs("targets", targets)
    _print_costs("entries", {n: costs for n, (costs, _) in entries.items()})
    change_ms = entries[8][1]
    print(
        f"\nprocessor time of one change: entry {change_ms[0]:.2f} ms, leader {change_ms[1]:.2f} ms"
    )
    entry_costs = {n: costs for n, (costs, _) in entries.items()}
    for size in (TODAY, DESIGN):
        msg_costs = message_costs(size)
        print(f"\n{size}")
        print(
            table(
                ("message", "bytes on the wire", "encode and decode, ms"), _message_rows(msg_costs)
            )
        )
        print(_entry_table(size, targets, entry_costs, change_ms, msg_costs))


def measure_targets(counts: tuple[int, ...]) -> dict[int, tuple[Cost, Cost]]:
    """Measures an entry and the leader while targets announce themselves each second.

    Returns:
        Costs of the entry and the leader, by number of targets.
    """
    costs = {}
    plan = Plan(
        ("dc1",), controllers=1, entries_per_data_centre=1, pools=("p1",), targets_per_pool=0
    )
    with _cluster(plan) as cluster:
        for count in counts:
            announcers = [_Announcer(cluster.http_ports["e1a"], n) for n in range(count)]
            _announce(announcers, SETTLE_S)
            costs[count] = _measure(cluster, lambda a=announcers: _announce(a, MEASURE_S))
            for announcer in announcers:
                announcer.conn.close()
    return costs


def measure_entries(count: int) -> tuple[tuple[Cost, Cost], tuple[float, float]]:
    """Measures an idle cluster, and the cost of configuration changes in it.

    Args:
        count: Number of entries.

    Returns:
        Costs of an entry and the leader when idle, and the CPU time of one change on each, in
        milliseconds.
    """
    plan = Plan(
        ("dc1",), controllers=3, entries_per_data_centre=count, pools=("p1",), targets_per_pool=0
    )
    with _cluster(plan) as cluster:
        idle = _measure(cluster, lambda: time.sleep(MEASURE_S))
        changes = 100

        def change() -> None:
            for _ in range(changes):
                cluster.issue_key("t1")

        started = time.monotonic()
        busy = _measure(cluster, change)
        elapsed_s = time.monotonic() - started
        added_cpu = [max(0.0, b.cpu - i.cpu) for b, i in zip(busy, idle, strict=True)]
        change_ms = [percent / 100 * elapsed_s / changes * 1000 for percent in added_cpu]
    return idle, (change_ms[0], change_ms[1])


def message_costs(size: Size) -> dict[str, tuple[int, float]]:
    """Returns the bytes on the wire and the CPU time to encode and decode, in ms, by message."""
    teams = {f"team-{n:02d}": 12.345 + n for n in range(size.teams)}
    slots = {team: 4 for team in teams}
    local_pools = {
        f"pool-{n:02d}": msgs.PoolLoad(72, 60, 11, 123, 450)
        for n in range(-(-size.pools * size.data_centres // size.entries))
    }
    gossip = msgs.Gossip("e1a", "s" * 32, "dc1", 10**6, 10**5, True, local_pools, teams)
    minimal_gossip = msgs.Gossip("e1a", "s" * 32, "dc1", 10**6, 10**5, True)
    renew = msgs.RenewSession("e1a", "s" * 32, "dc1", 10**5, slots, slots)
    renewed = msgs.SessionRenewed(5.0, 10**5, slots)
    msg_costs = {}
    for name, body in (
        ("Gossip, all pools and teams", gossip),
        ("Gossip, without loads and usage", minimal_gossip),
        ("RenewSession, all teams", renew),
        ("SessionRenewed, all teams", renewed),
    ):
        msg_costs[name] = _measure_message(body)
    announcer = _Announcer(0, 1)
    msg_costs["announcement, request and answer"] = (len(announcer.request) + 170 + 2 * 52, 0.0)
    return msg_costs


class _Announcer:
    """Sends a target's announcements on one persistent connection, with the headers of treq."""

    def __init__(self, port: int, number: int) -> None:
        running = [f"{number:032x}" for _ in range(4)]
        body = json.dumps(
            {
                "name": f"t-{number}",
                "data_centre": "dc1",
                "rack": f"dc1-r{number // 4}",
                "address": f"127.0.0.1:{20000 + number}",
                "pool": "p1",
                "slots": 8,
                "connections": 64,
                "incarnation": 1,
                "leaving": False,
                "running": running,
                "usage": 0.5,
            }
        ).encode()
        head = (
            "POST /v1/targets/announce HTTP/1.1\r\nHost: 127.0.0.1:8201\r\n"
            f"Content-Length: {len(body)}\r\nContent-Type: application/json; charset=UTF-8\r\n"
            "Accept-Encoding: gzip\r\n\r\n"
        )
        self.request = head.encode() + body
        self.conn = socket.create_connection(("127.0.0.1", port)) if port else None

    def announce(self) -> None:
        """Sends one announcement and reads its answer."""
        self.conn.sendall(self.request)
        self.conn.recv(4096)


def _announce(announcers: list[_Announcer], seconds: float) -> None:
    """Lets every target announce itself once a second for some time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        due = time.monotonic() + 1.0
        for announcer in announcers:
            announcer.announce()
        time.sleep(max(0.0, min(due, end) - time.monotonic()))


@contextmanager
def _cluster(plan: Plan) -> Iterator[Cluster]:
    pools = range(1, DESIGN.pools + 1)
    fleet = Fleet(
        data_centres=[DataCentre(name="dc1")],
        pools=[Pool(name=f"p{n}", spare=n == DESIGN.pools) for n in pools],
        queues=[Queue(name=f"p{n}", pool=f"p{n}") for n in pools],
        teams=[Team(name=f"t{n}", limit=80) for n in range(1, DESIGN.teams + 1)],
    )
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), plan) as cluster:
        cluster.apply(fleet)
        cluster.wait_ready()
        time.sleep(SETTLE_S)
        yield cluster


def _measure(cluster: Cluster, workload: Any) -> tuple[Cost, Cost]:
    """Returns the costs of entry e1a and of the leader while a workload runs."""
    leader = next(s["name"] for s in cluster.operator.statuses() if s.get("role") == "leader")
    pids = [cluster.processes[name].pid for name in ("e1a", leader)]
    before = [_cpu_s(pid) for pid in pids]
    started = time.monotonic()
    workload()
    elapsed_s = time.monotonic() - started
    return tuple(
        Cost((_cpu_s(pid) - cpu_before) / elapsed_s * 100, _memory_mb(pid))
        for pid, cpu_before in zip(pids, before, strict=True)
    )


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / MB


def _measure_message(body: Any, rounds: int = 200) -> tuple[int, float]:
    """Returns the bytes on the wire and the CPU time to encode and decode a message, in ms."""
    data = encode_frame(Envelope(body))
    started = time.process_time()
    for _ in range(rounds):
        decode_frame(encode_frame(Envelope(body)))
    return len(data) + FRAME_OVERHEAD_BYTES, (time.process_time() - started) / rounds * 1000


def _slope(points: dict[int, float]) -> float:
    """Returns the least-squares slope of value against count."""
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points.items())
    return covariance / sum((x - mean_x) ** 2 for x in points)


def _print_costs(counted: str, costs: dict[int, tuple[Cost, Cost]]) -> None:
    headers = (counted, "entry % core", "entry MB", "leader % core", "leader MB")
    rows = [
        (n, f"{e.cpu:.1f}", f"{e.memory:.0f}", f"{c.cpu:.1f}", f"{c.memory:.0f}")
        for n, (e, c) in costs.items()
    ]
    print(table(headers, rows))
    slopes = [
        _slope({n: value(pair) for n, pair in costs.items()})
        for value in (
            lambda p: p[0].cpu,
            lambda p: p[0].memory,
            lambda p: p[1].cpu,
            lambda p: p[1].memory,
        )
    ]
    print(f"slope for one of the {counted}: " + "  ".join(f"{s:.4f}" for s in slopes) + "\n")


def _message_rows(msg_costs: dict[str, tuple[int, float]]) -> list[tuple[str, int, str]]:
    return [(name, size, f"{ms:.3f}") for name, (size, ms) in msg_costs.items()]


def _entry_table(
    size: Size,
    targets: dict[int, tuple[Cost, Cost]],
    entries: dict[int, tuple[Cost, Cost]],
    change_ms: tuple[float, float],
    msg_costs: dict[str, tuple[int, float]],
) -> str:
    """Returns a table of an entry's computed costs at a size, compared with the bounds."""
    local_targets = -(-size.targets // size.data_centres)
    peers = size.entries - 1
    gossip, gossip_ms = msg_costs["Gossip, all pools and teams"]
    renewal = msg_costs["RenewSession, all teams"][0] + msg_costs["SessionRenewed, all teams"][0]
    renewal_ms = msg_costs["RenewSession, all teams"][1] + msg_costs["SessionRenewed, all teams"][1]
    announcement = msg_costs["announcement, request and answer"][0]
    changes_s = size.changes_a_day / 86400
    # The measured slope includes the links and empty gossip; the encoding of full gossip is added.
    peer_cpu = _slope({n: pair[0].cpu for n, pair in entries.items()})
    local_peers = max(0, size.entries // size.data_centres - 1)
    gossip_rate = local_peers / LOCAL_GOSSIP_S + (peers - local_peers) / REMOTE_GOSSIP_S
    target_cpu = _slope({n: pair[0].cpu for n, pair in targets.items()})
    rows = [
        ("idle, without peers and targets", entries[1][0].cpu, 0.0),
        (
            f"announcements of {local_targets} targets",
            local_targets * target_cpu,
            float(local_targets * announcement),
        ),
        (
            f"gossip with {peers} entries",
            peers * peer_cpu + _percent(gossip_ms * gossip_rate),
            2 * gossip_rate * gossip,
        ),
        (f"session renewal, {size.teams} teams", _percent(renewal_ms), float(renewal)),
        (
            f"{size.changes_a_day} changes a day",
            _percent(change_ms[0] * changes_s),
            CHANGE_BYTES * changes_s,
        ),
    ]
    rows.append(("all", sum(r[1] for r in rows), sum(r[2] for r in rows)))
    lines = [
        (
            name,
            f"{cpu:.3f}",
            _verdict(cpu, BOUND_CPU),
            f"{bytes_s:.0f}",
            _verdict(bytes_s, BOUND_BYTES_S),
        )
        for name, cpu, bytes_s in rows
    ]
    memory = entries[8][0].memory + local_targets * max(
        0.0, _slope({n: pair[0].memory for n, pair in targets.items()})
    )
    text = table((f"entry, {size.name}", "% core", "of 1.9", "bytes/s", "of 9000"), lines)
    return f"{text}\nmemory {memory:.0f} MB of {BOUND_MB:.0f}: {_verdict(memory, BOUND_MB)}"


def _percent(ms_a_second: float) -> float:
    """Converts milliseconds of CPU time per second to percent of a core."""
    return ms_a_second / 10


def _verdict(value: float, bound: float) -> str:
    """Compares a value with its bound; `near` is more than half of it."""
    if value > bound:
        return "over"
    return "near" if value > bound / 2 else "within"


if __name__ == "__main__":
    main()
