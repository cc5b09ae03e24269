"""Time from the acceptance of a change until it is in force at every entry.

Run as `python -m bench.propagation`. Changes are keys, issued through the operators' HTTP interface
of a cluster of today's size without targets: one after the other, and in a burst. An entry's log
tells when it installed a version; all processes share one clock.
"""

from __future__ import annotations

import re
import tempfile
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from pathlib import Path

from standins.cluster import Cluster, Plan

SINGLE, PAUSE_S = 100, 0.1
BURST, CALLERS = 300, 16
SETTLE_S = 3.0
INSTALLED = re.compile(r"^time=(\S+) .*event=view_installed .*version=(\d+)")


def main() -> None:
    """Measures both cases and prints a row for each."""
    plan = Plan(targets_per_pool=0)
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), plan) as cluster:
        cluster.apply()
        cluster.wait_ready()
        single = [_change(cluster, PAUSE_S) for _ in range(SINGLE)]
        with ThreadPoolExecutor(CALLERS) as pool:
            burst = list(pool.map(lambda _: _change(cluster, 0.0), range(BURST)))
        time.sleep(SETTLE_S)
        installed = {entry: _installed(cluster, entry) for entry in cluster.entries}
    print(f"{plan.controllers} controllers, {len(cluster.entries)} entries")
    for name, changes in (("one by one", single), ("burst", burst)):
        print(f"{name}: {len(changes)} changes, in force at every entry")
        _print_delays("after they were sent", [(v, sent) for v, sent, _ in changes], installed)
        _print_delays("after they were accepted", [(v, at) for v, _, at in changes], installed)


def _change(cluster: Cluster, pause_s: float) -> tuple[int, float, float]:
    """Makes one change; returns its version, when it was sent and when it was accepted."""
    time.sleep(pause_s)
    sent_at = time.time()
    body = {"team": "acme", "key_id": uuid.uuid4().hex, "digest": "00" * 32}
    status, reply = cluster.operator.command("/v1/keys", body)
    if status != 200:
        raise RuntimeError(f"the change was refused: {reply}")
    return reply["version"], sent_at, time.time()


def _installed(cluster: Cluster, entry: str) -> list[tuple[int, float]]:
    """Returns the versions that an entry installed, and when."""
    lines = (cluster.folder / f"{entry}.log").read_text().splitlines()
    found = [match.groups() for line in lines if (match := INSTALLED.match(line))]
    return [(int(version), datetime.fromisoformat(at).timestamp()) for at, version in found]


def _print_delays(since: str, changes: list[tuple[int, float]], installed: dict) -> None:
    delays = sorted(_delay(version, at, installed) * 1000 for version, at in changes)
    p50, p99 = (delays[int(part * (len(delays) - 1))] for part in (0.5, 0.99))
    print(f"  {since}: p50 {p50:.0f} ms, p99 {p99:.0f} ms, max {delays[-1]:.0f} ms")


def _delay(version: int, since: float, installed: dict[str, list]) -> float:
    """Returns the time in seconds until the last entry had a version in force; 0 if it had."""
    last = max(min(at for held, at in of if held >= version) for of in installed.values())
    return max(0.0, last - since)


if __name__ == "__main__":
    main()
