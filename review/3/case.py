"""Connections to a draining worker are reset and refused while it runs on; see claim.txt."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from twisted.internet.defer import inlineCallbacks

from review.common.checks import overlaps
from review.common.rig import Rig, pause, run_case

JOB = "00000000000000c1"
RUN_MS = 8000
STEP = {"count": 6, "cpu": 2000, "memMb": 500, "estimatedMs": RUN_MS}
DRAIN_S = 2.0  # from the announcement to the cut; a heartbeat comes every second
CUT_S = 5.0


@inlineCallbacks
def play(rig: Rig) -> Any:
    """Plays the case; returns what broke the rule."""
    yield rig.open()
    yield rig.submit(JOB, [STEP], {"ms": RUN_MS, "cpu": 2000})
    worker = yield rig.wait_for(lambda: rig.worker_running(f"{JOB}.0.0.0"), "the job to run", 5.0)
    rig.note(f"plan worker {worker.id} announces that it drains")
    worker.draining = True
    yield pause(DRAIN_S)
    proxy = rig.proxies[worker.machine]
    if rig.trouble:
        rig.note(f"cut  connections to {worker.id} are reset, and new ones refused")
        yield proxy.refuse()
    yield pause(CUT_S)
    if rig.trouble:
        rig.note(f"cut  {worker.id} is reachable again")
        yield proxy.open()
    yield pause(RUN_MS / 1000)
    return overlaps(rig)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, workers=8)
