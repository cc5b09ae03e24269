"""Runs the benchmarks in `MODULES` one after the other, each in its own process."""

from __future__ import annotations

import subprocess
import sys

MODULES = (  # with the arguments of each
    ("bench.consensus", "all"),
    ("bench.dispatch_rate",),
    ("bench.estimates",),
    ("bench.limits",),
    ("bench.load", "path"),
    ("bench.moves",),
    ("bench.policy",),
    ("bench.preemption",),
    ("bench.propagation",),
    ("bench.rollout",),
)


def main() -> int:
    """Runs the benchmarks in `MODULES`.

    Returns:
        Exit code: 1 if a benchmark failed.
    """
    failed = 0
    for module, *arguments in MODULES:
        print(f"== {module} {' '.join(arguments)}", flush=True)
        run = subprocess.run([sys.executable, "-m", module, *arguments], check=False)
        failed += run.returncode != 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
