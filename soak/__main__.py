"""Commands of the soak."""

from __future__ import annotations

import random
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import fire
from twisted.internet import reactor

from soak.runner import Soak
from soak.scenario import make_plan

SECONDS = 30.0
SHOWN = 20  # broken promises that are printed


def run(seed: int | None = None, seconds: float = SECONDS, folder: str = "") -> None:
    """Plays one seed and exits with 1 if a promise was broken.

    Args:
        seed: Seed of the faults; a fresh one if it is left out.
        seconds: How long the load runs.
        folder: Where the processes' files go. If left out, a temporary folder that is kept only
            if a promise was broken.
    """
    seed = random.randrange(1_000_000) if seed is None else seed
    plan = make_plan(seed, seconds)
    place = Path(folder or tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(reactor, plan, place)
    found: list[str] = ["the soak was interrupted"]
    began = time.monotonic()

    def ended(result: object) -> None:
        found.clear()
        if isinstance(result, list):
            found.extend(result)
        else:
            found.append(f"the soak itself failed: {result}")
        reactor.stop()

    reactor.callWhenRunning(lambda: soak.run().addBoth(ended))
    reactor.run()
    figures = " ".join(f"{name}={value}" for name, value in soak.summary.items())
    verdict = "broken" if found else "held"
    print(f"seed={seed} {verdict} cores={plan.cores} {figures} s={time.monotonic() - began:.0f}")
    for line in found[:SHOWN]:
        print(f"  {line}")
    if found:
        print(f"  settings, data and output of the processes: {place}")
    elif not folder:
        shutil.rmtree(place)
    sys.exit(1 if found else 0)


def many(first: int = 1, count: int = 50, seconds: float = SECONDS, jobs: int = 3) -> None:
    """Plays a range of seeds, some side by side, and exits with 1 if one of them failed.

    Args:
        first: First seed.
        count: Number of seeds.
        seconds: How long the load of each runs.
        jobs: Soaks side by side.
    """
    waiting = list(range(first, first + count))
    running: list[subprocess.Popen] = []
    failed = 0
    while waiting or running:
        while waiting and len(running) < jobs:
            options = [f"--seed={waiting.pop(0)}", f"--seconds={seconds}"]
            running.append(subprocess.Popen([sys.executable, "-m", "soak", "run", *options]))
        time.sleep(0.2)
        ended = [process for process in running if process.poll() is not None]
        failed += sum(process.returncode != 0 for process in ended)
        running = [process for process in running if process not in ended]
    print(f"seeds={count} failed={failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire({"run": run, "many": many})
