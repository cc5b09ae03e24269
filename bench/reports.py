"""Measures the bytes that an entry's reports add to its session renewals at the design size.

An entry reports the 69 targets of its data centre for 120 s, under a changing load. Run as
`python -m bench.reports`; the seed is fixed.
"""

from __future__ import annotations

import random

from geraniumtrack.coordination.fleet.membership import Announcement, TargetTable
from geraniumtrack.coordination.fleet.target_reports import TargetReporter
from geraniumtrack.protocol.codec import encode
from geraniumtrack.state.view import ConfigView

SEED = 20263
TARGETS = 69
ENTRIES = 16
SECONDS = 120  # one report a second


class _Dispatcher:
    """Stub of the dispatcher, with the loads of four pools."""

    def slots_in_use(self, target: str) -> int:
        return 0

    def demand(self) -> dict[str, tuple[int, int]]:
        return {f"pool-{i}": (i, 8 * i) for i in range(4)}


def main() -> None:
    rng = random.Random(SEED)
    targets = TargetTable()
    reporter = TargetReporter(view=ConfigView(), targets=targets, dispatcher=_Dispatcher())
    sizes = []
    for second in range(SECONDS):
        for i in range(TARGETS):
            running = tuple(f"task-{n}" for n in range(rng.randint(0, 8)))
            targets.announce(
                Announcement(
                    name=f"worker-{i:03d}",
                    data_centre="dc1",
                    rack=f"dc1-r{i // 4}",
                    address="127.0.0.1:1",
                    pool="pool",
                    slots=8,
                    connections=64,
                    incarnation=1796368656065,
                    running=running,
                ),
                second,
            )
        sizes.append(len(encode(reporter.next_report(second + 0.5, leader="c1"))))
        reporter.confirmed()
    mean = sum(sizes) / len(sizes)
    print(f"seed {SEED}, {TARGETS} targets, {SECONDS} s, one report a second")
    print(f"full report {max(sizes)} bytes, mean {mean:.0f} bytes/s for an entry")
    print(f"{ENTRIES} entries: {ENTRIES * max(sizes) / 1e3:.1f} KB/s if all were full, ", end="")
    print(f"{ENTRIES * mean / 1e3:.1f} KB/s at the leader")


if __name__ == "__main__":
    main()
