"""Measures what control costs a process and works it out for the design size.

Run as `python -m bench.capacity`. It starts one small cluster after the other on loopback, reads
processor time and memory of an entry and a controller, and prints slopes and the table of
docs/CAPACITY.md. Takes about two minutes.
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

from geraniumtrack.cli_output import table
from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.envelope import Envelope, decode_frame, encode_frame
from standins.cluster import Cluster, Plan

TICKS_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEASURE_S = 5.0
SETTLE_S = 3.0
MB = 1e6
FRAME_BYTES = 14 + 52  # websocket header with mask, and TCP/IP headers

NEAR_GOSSIP_S, FAR_GOSSIP_S = 0.5, 1.0  # within a data centre, and between them
CHANGE_BYTES = 600.0  # a pushed ViewDelta of one record, with the renewal that reports it

BOUND_CPU, BOUND_MB, BOUND_BYTES_S = 1.9, 256.0, 9000.0


class Size(NamedTuple):
    """A size to work out; the design size names no number of entries, so two a data centre."""

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
    """What a process used: percent of a core, and resident memory in MB."""

    cpu: float
    memory: float


def main() -> None:
    """Measures, and prints slopes and table."""
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
        sizes = message_sizes(size)
        print(f"\n{size}")
        print(table(("message", "bytes on the wire", "encode and decode, ms"), _size_rows(sizes)))
        print(_worked_out(size, targets, entry_costs, change_ms, sizes))


def measure_targets(counts: tuple[int, ...]) -> dict[int, tuple[Cost, Cost]]:
    """Measures an entry and a controller while targets announce themselves each second."""
    found = {}
    plan = Plan(
        ("dc1",), controllers=1, entries_per_data_centre=1, pools=("p1",), targets_per_pool=0
    )
    with _cluster(plan) as cluster:
        for count in counts:
            announcers = [_Announcer(cluster.http_ports["e1a"], n) for n in range(count)]
            _announce(announcers, SETTLE_S)
            found[count] = _measure(cluster, lambda a=announcers: _announce(a, MEASURE_S))
            for announcer in announcers:
                announcer.conn.close()
    return found


def measure_entries(count: int) -> tuple[tuple[Cost, Cost], tuple[float, float]]:
    """Measures an idle cluster of some entries, and the cost of configuration changes in it.

    Returns:
        Costs of an entry and the leader, and the milliseconds of one change on each.
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
        took = time.monotonic() - started
        more = [max(0.0, b.cpu - i.cpu) for b, i in zip(busy, idle, strict=True)]
        extra = [percent / 100 * took / changes * 1000 for percent in more]
    return idle, (extra[0], extra[1])


def message_sizes(size: Size) -> dict[str, tuple[int, float]]:
    """Returns bytes on the wire and milliseconds to encode and decode, by message."""
    teams = {f"team-{n:02d}": 12.345 + n for n in range(size.teams)}
    slots = {team: 4 for team in teams}
    own_pools = {
        f"pool-{n:02d}": msgs.PoolLoad(72, 60, 11, 123, 450)
        for n in range(-(-size.pools * size.data_centres // size.entries))
    }
    gossip = msgs.Gossip("e1a", "s" * 32, "dc1", 10**6, 10**5, True, own_pools, teams)
    bare = msgs.Gossip("e1a", "s" * 32, "dc1", 10**6, 10**5, True)
    renew = msgs.RenewSession("e1a", "s" * 32, "dc1", 10**5, slots, slots)
    renewed = msgs.SessionRenewed(5.0, 10**5, slots)
    sizes = {}
    for name, body in (
        ("Gossip, all pools and teams", gossip),
        ("Gossip, without loads and usage", bare),
        ("RenewSession, all teams", renew),
        ("SessionRenewed, all teams", renewed),
    ):
        sizes[name] = _size_and_time(body)
    announcer = _Announcer(0, 1)
    sizes["announcement, request and answer"] = (len(announcer.request) + 170 + 2 * 52, 0.0)
    return sizes


class _Announcer:
    """A target's announcements on one connection that stays open, as treq sends them."""

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


def _measure(cluster: Cluster, work: Any) -> tuple[Cost, Cost]:
    leader = next(s["name"] for s in cluster.operator.statuses() if s.get("role") == "leader")
    pids = [cluster.processes[name].pid for name in ("e1a", leader)]
    before = [_processor_s(pid) for pid in pids]
    started = time.monotonic()
    work()
    took = time.monotonic() - started
    return tuple(
        Cost((_processor_s(pid) - was) / took * 100, _memory_mb(pid))
        for pid, was in zip(pids, before, strict=True)
    )


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_S


def _memory_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / MB


def _size_and_time(body: Any, rounds: int = 200) -> tuple[int, float]:
    data = encode_frame(Envelope(body))
    started = time.process_time()
    for _ in range(rounds):
        decode_frame(encode_frame(Envelope(body)))
    return len(data) + FRAME_BYTES, (time.process_time() - started) / rounds * 1000


def _slope(points: dict[int, float]) -> float:
    """Least-squares slope of value against count."""
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points.items())
    return above / sum((x - mean_x) ** 2 for x in points)


def _print_costs(what: str, costs: dict[int, tuple[Cost, Cost]]) -> None:
    heads = (what, "entry % core", "entry MB", "leader % core", "leader MB")
    rows = [
        (n, f"{e.cpu:.1f}", f"{e.memory:.0f}", f"{c.cpu:.1f}", f"{c.memory:.0f}")
        for n, (e, c) in costs.items()
    ]
    print(table(heads, rows))
    slopes = [
        _slope({n: value(pair) for n, pair in costs.items()})
        for value in (
            lambda p: p[0].cpu,
            lambda p: p[0].memory,
            lambda p: p[1].cpu,
            lambda p: p[1].memory,
        )
    ]
    print(f"slope for one of the {what}: " + "  ".join(f"{s:.4f}" for s in slopes) + "\n")


def _size_rows(sizes: dict[str, tuple[int, float]]) -> list[tuple[str, int, str]]:
    return [(name, size, f"{ms:.3f}") for name, (size, ms) in sizes.items()]


def _worked_out(
    size: Size,
    targets: dict[int, tuple[Cost, Cost]],
    entries: dict[int, tuple[Cost, Cost]],
    change_ms: tuple[float, float],
    sizes: dict[str, tuple[int, float]],
) -> str:
    """Lays out each cost of an entry at the design size against its bound."""
    here = -(-size.targets // size.data_centres)
    others = size.entries - 1
    gossip, gossip_ms = sizes["Gossip, all pools and teams"]
    renewal = sizes["RenewSession, all teams"][0] + sizes["SessionRenewed, all teams"][0]
    renewal_ms = sizes["RenewSession, all teams"][1] + sizes["SessionRenewed, all teams"][1]
    announcement = sizes["announcement, request and answer"][0]
    changes_s = size.changes_a_day / 86400
    # The measured slope holds the links and empty gossip; encoding of full gossip comes on top.
    peer_cpu = _slope({n: pair[0].cpu for n, pair in entries.items()})
    near = max(0, size.entries // size.data_centres - 1)
    rate = near / NEAR_GOSSIP_S + (others - near) / FAR_GOSSIP_S
    target_cpu = _slope({n: pair[0].cpu for n, pair in targets.items()})
    rows = [
        ("idle, without peers and targets", entries[1][0].cpu, 0.0),
        (f"announcements of {here} targets", here * target_cpu, float(here * announcement)),
        (
            f"gossip with {others} entries",
            others * peer_cpu + _percent(gossip_ms * rate),
            2 * rate * gossip,
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
        (name, f"{cpu:.3f}", _verdict(cpu, BOUND_CPU), f"{size:.0f}", _verdict(size, BOUND_BYTES_S))
        for name, cpu, size in rows
    ]
    memory = entries[8][0].memory + here * max(
        0.0, _slope({n: pair[0].memory for n, pair in targets.items()})
    )
    text = table((f"entry, {size.name}", "% core", "of 1.9", "bytes/s", "of 9000"), lines)
    return f"{text}\nmemory {memory:.0f} MB of {BOUND_MB:.0f}: {_verdict(memory, BOUND_MB)}"


def _percent(ms_a_second: float) -> float:
    return ms_a_second / 10


def _verdict(value: float, bound: float) -> str:
    if value > bound:
        return "over"
    return "near" if value > bound / 2 else "within"


if __name__ == "__main__":
    main()
