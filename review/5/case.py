"""Workers lose power and start again at once under the id that they had; see claim.txt."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any, ClassVar

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from review.common.checks import overlaps
from review.common.rig import ObservedWorker, Rig, pause, run_case

CRASHES = 6
DOWN_S = 0.3
BETWEEN_S = 5.0
FIRST_BEAT_S = 0.5
LOAD_INTERVAL_S = 0.1
RUN_MS = 3000
STEP = {"count": 2, "cpu": 1000, "memMb": 100, "estimatedMs": RUN_MS}


class SameIdWorker(ObservedWorker):
    """A worker that keeps its id when its machine starts again."""

    known: ClassVar[set[str]] = set()

    def __init__(self, *args: Any, **options: Any) -> None:
        options["worker_id"] = f"w-{options['machine']}"
        super().__init__(*args, **options)
        self._restarted = self.id in self.known
        self.known.add(self.id)

    def _heartbeat(self) -> None:
        if self._restarted:
            self._restarted = False
            self._call_later(FIRST_BEAT_S, self._heartbeat)
            return
        super()._heartbeat()


@inlineCallbacks
def play(rig: Rig) -> Any:
    """Plays the case; returns what broke the rule."""
    yield rig.open()
    load = _Load(rig)
    load.send()
    yield pause(3.0)
    for _ in range(CRASHES):
        since = reactor.seconds() - 0.5
        counts: dict[str, int] = defaultdict(int)
        for run in rig.history.runs:
            if run.at > since:
                counts[run.worker] += 1
        worker = rig.worker(max(counts, key=counts.get)) if counts else None
        if rig.trouble and worker is not None:
            rig.note(f"down the machine of {worker.id} loses power for {DOWN_S} s")
            rig.proxies[worker.machine].silence()
            rig.api.crash(rig.api.machines[worker.machine], DOWN_S)
        yield pause(BETWEEN_S)
    load.stopped = True
    yield pause(6.0)
    return overlaps(rig)


class _Load:
    """Submits a job every LOAD_INTERVAL_S."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.stopped, self.number = rig, False, 0

    def send(self) -> None:
        """Submits a job, and the next one later."""
        if self.stopped:
            return
        self.number += 1
        fut = self.rig.submit(f"{self.number:016x}", [STEP], {"ms": RUN_MS, "cpu": 1000})
        fut.addErrback(lambda failure: self.rig.note(f"load {failure.getErrorMessage()}"))
        reactor.callLater(LOAD_INTERVAL_S, self.send)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, workers=8, worker_type=SameIdWorker)
