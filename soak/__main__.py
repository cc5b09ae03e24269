"""Command line of the soak test."""

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
from soak.scenario import make_scenario

DEFAULT_LOAD_S = 30.0
MAX_SHOWN_VIOLATIONS = 20


def run(seed: int | None = None, seconds: float = DEFAULT_LOAD_S, folder: str = "") -> None:
    """Runs the soak test with one seed; exits with status 1 if a guarantee was violated.

    It prints `held` if the system met all guarantees, else `broken` and the violations.

    Args:
        seed: Seed of the faults; a random one if it is left out.
        seconds: How long clients submit jobs, in seconds.
        folder: Folder for the files of the processes. If it is left out, a temporary folder that
            is kept only if a guarantee was violated.
    """
    seed = random.randrange(1_000_000) if seed is None else seed
    scenario = make_scenario(seed, seconds)
    work_folder = Path(folder or tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(reactor, scenario, work_folder)
    violations: list[str] = ["the soak was interrupted"]
    started = time.monotonic()

    def on_finished(result: object) -> None:
        violations.clear()
        if isinstance(result, list):
            violations.extend(result)
        else:
            violations.append(f"the soak test failed with an error: {result}")
        reactor.stop()

    reactor.callWhenRunning(lambda: soak.run().addBoth(on_finished))
    reactor.run()
    figures = " ".join(f"{name}={value}" for name, value in soak.summary.items())
    outcome = "broken" if violations else "held"
    print(
        f"seed={seed} {outcome} cores={scenario.cores} {figures} s={time.monotonic() - started:.0f}"
    )
    for line in violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {line}")
    if violations:
        print(f"  settings, data and output of the processes: {work_folder}")
    elif not folder:
        shutil.rmtree(work_folder)
    sys.exit(1 if violations else 0)


def many(first: int = 1, count: int = 50, seconds: float = DEFAULT_LOAD_S, jobs: int = 3) -> None:
    """Runs the soak test with a range of seeds; exits with status 1 if one of them failed.

    Args:
        first: First seed.
        count: Number of seeds.
        seconds: How long clients submit jobs in each run, in seconds.
        jobs: Number of soaks that run at the same time.
    """
    waiting = list(range(first, first + count))
    running: list[subprocess.Popen] = []
    failed = 0
    while waiting or running:
        while waiting and len(running) < jobs:
            options = [f"--seed={waiting.pop(0)}", f"--seconds={seconds}"]
            running.append(subprocess.Popen([sys.executable, "-m", "soak", "run", *options]))
        time.sleep(0.2)
        exited = [process for process in running if process.poll() is not None]
        failed += sum(process.returncode != 0 for process in exited)
        running = [process for process in running if process not in exited]
    print(f"seeds={count} failed={failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire({"run": run, "many": many})
