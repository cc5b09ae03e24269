"""Measures the time from a configuration change until every entry has installed it.

Run as `python -m bench.propagation`. The changes are keys, issued through the operator HTTP
interface of a cluster of today's size (the default `Plan`) without targets: one after the other,
and in a burst. The entries' logs show when each version was installed; all processes share one
clock.
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

SINGLE_CHANGES, PAUSE_S = 100, 0.1  # pause before each
BURST_CHANGES, CALLERS = 300, 16
SETTLE_S = 3.0  # for the last versions to be installed
INSTALLED_LINE = re.compile(r"^time=(\S+) .*event=view_installed .*version=(\d+)")


def main() -> None:
    """Measures both cases and prints the delays of each."""
    plan = Plan(targets_per_pool=0)
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), plan) as cluster:
        cluster.apply()
        cluster.wait_ready()
        single = [_change(cluster, PAUSE_S) for _ in range(SINGLE_CHANGES)]
        with ThreadPoolExecutor(CALLERS) as executor:
            burst = list(executor.map(lambda _: _change(cluster, 0.0), range(BURST_CHANGES)))
        time.sleep(SETTLE_S)
        installed = {entry: _installed(cluster, entry) for entry in cluster.entries}
    print(f"{plan.controllers} controllers, {len(cluster.entries)} entries")
    for name, changes in (("one by one", single), ("burst", burst)):
        print(f"{name}: {len(changes)} changes, in force at every entry")
        _print_delays(
            "after they were sent",
            [(version, sent_at) for version, sent_at, _ in changes],
            installed,
        )
        _print_delays(
            "after they were accepted",
            [(version, accepted_at) for version, _, accepted_at in changes],
            installed,
        )


def _change(cluster: Cluster, pause_s: float) -> tuple[int, float, float]:
    """Makes one change; returns its version, and the times when it was sent and accepted."""
    time.sleep(pause_s)
    sent_at = time.time()
    body = {"team": "acme", "key_id": uuid.uuid4().hex, "digest": "00" * 32}
    status, reply = cluster.operator.command("/v1/keys", body)
    if status != 200:
        raise RuntimeError(f"change rejected: {reply}")
    return reply["version"], sent_at, time.time()


def _installed(cluster: Cluster, entry: str) -> list[tuple[int, float]]:
    """Returns the versions that an entry installed, and the time of each."""
    lines = (cluster.folder / f"{entry}.log").read_text().splitlines()
    matches = [match.groups() for line in lines if (match := INSTALLED_LINE.match(line))]
    return [(int(version), datetime.fromisoformat(at).timestamp()) for at, version in matches]


def _print_delays(label: str, changes: list[tuple[int, float]], installed: dict) -> None:
    delays = sorted(_delay(version, at, installed) * 1000 for version, at in changes)
    p50, p99 = (delays[int(fraction * (len(delays) - 1))] for fraction in (0.5, 0.99))
    print(f"  {label}: p50 {p50:.0f} ms, p99 {p99:.0f} ms, max {delays[-1]:.0f} ms")


def _delay(version: int, since: float, installed: dict[str, list]) -> float:
    """Returns the seconds from a time until every entry has a version; 0 if they had it before."""
    last = max(
        min(at for entry_version, at in versions if entry_version >= version)
        for versions in installed.values()
    )
    return max(0.0, last - since)


if __name__ == "__main__":
    main()
