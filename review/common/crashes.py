"""Crashes of single workers, one after the other, each time of the one that runs a certain task."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import inlineCallbacks

from review.common.rig import Rig, pause

__all__ = ["crash_workers_of"]

CRASHES = 3
RUN_BEFORE_CRASH_S = 2.0
DOWN_S = 3.0
NEXT_S = DOWN_S + 0.5  # after a crash; the machine is back and its worker registered
START_TIMEOUT_S = 20.0


@inlineCallbacks
def crash_workers_of(rig: Rig, task: str) -> Any:
    """Crashes the worker of a task three times, each time 2 s after the task has begun there.

    Without trouble it only waits until the task runs.
    """
    for _ in range(CRASHES if rig.trouble else 1):
        worker = yield rig.wait_for(
            lambda: rig.worker_running(task), f"{task} to run", START_TIMEOUT_S
        )
        yield pause(RUN_BEFORE_CRASH_S)
        if rig.trouble:
            rig.note(f"down worker {worker.id} crashes; its machine is back after {DOWN_S} s")
            rig.api.crash(rig.api.machines[worker.machine], DOWN_S)
            yield pause(NEXT_S)
