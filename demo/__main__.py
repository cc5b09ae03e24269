"""Starts a cluster of separate processes, sends requests of three teams and prints a table."""

import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from standins.cluster import Cluster, Plan

REQUESTS = 200
WORKERS = 16


def main() -> int:
    """Runs the demonstration.

    Returns:
        Exit code: 1 if a request was not answered whole.
    """
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), Plan()) as cluster:
        cluster.apply()
        cluster.wait_ready()
        keys = [cluster.issue_key(team)[1] for team in ("acme", "burr-oak", "cedar")]
        time.sleep(2)

        def send(number: int) -> tuple[int, float]:
            entry = cluster.entries[number % len(cluster.entries)]
            started = time.monotonic()
            status, _ = cluster.request(
                entry, "POST", "/v1/queues/proofs", key=keys[number % 3], body=b'{"seconds": 0.02}'
            )
            return status, time.monotonic() - started

        with ThreadPoolExecutor(WORKERS) as pool:
            results = list(pool.map(send, range(REQUESTS)))
    whole = sum(status == 200 for status, _ in results)
    times = sorted(seconds for _, seconds in results)
    print(f"requests {REQUESTS}  answered whole {whole}  refused {REQUESTS - whole}")
    print(f"p50 {times[len(times) // 2] * 1000:.1f} ms  p99 {times[-2] * 1000:.1f} ms")
    return 0 if whole == REQUESTS else 1


if __name__ == "__main__":
    sys.exit(main())
