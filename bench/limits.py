"""Measures delays that team limits cause: first requests of a team, and an entry's restart.

Uses a small cluster of processes. Run as `python -m bench.limits`.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from standins.cluster import Cluster, Plan

PLAN = Plan(
    data_centres=("dc1", "dc2", "dc3"),
    entries_per_data_centre=1,
    pools=("proofs",),
    targets_per_pool=3,
)
TEAMS = ("acme", "burr-oak", "cedar")


def first_requests(cluster: Cluster) -> None:
    """Prints the latency of the first request of each team at each entry."""
    for team in TEAMS:
        _, key = cluster.issue_key(team)
        time.sleep(1.0)
        for entry in cluster.entries:
            began = time.monotonic()
            status, _ = cluster.request(entry, "POST", "/v1/queues/proofs", key=key, body=b"{}")
            took_ms = (time.monotonic() - began) * 1000
            print(f"first request: team={team} entry={entry} status={status} ms={took_ms:.0f}")


def restart_gap(cluster: Cluster) -> None:
    """Prints for how long an entry serves no requests with keys after a kill and restart."""
    _, key = cluster.issue_key("acme")
    time.sleep(1.0)
    entry = cluster.entries[0]

    def serves_keyed() -> bool:
        path = "/v1/queues/proofs"
        return cluster.request(entry, "POST", path, key=key, body=b"{}", timeout_s=5)[0] == 200

    for _ in range(3):
        cluster.wait_for(serves_keyed, "request with a key served before the kill")
        began = time.monotonic()
        cluster.kill(entry)
        cluster.start_process(entry)
        cluster.wait_for(serves_keyed, "request with a key served after the restart", timeout_s=30)
        print(f"restart gap: entry={entry} s={time.monotonic() - began:.1f}")


if __name__ == "__main__":
    with Cluster(Path(tempfile.mkdtemp()), PLAN) as started:
        started.apply()
        started.wait_ready()
        time.sleep(2.0)
        first_requests(started)
        restart_gap(started)
