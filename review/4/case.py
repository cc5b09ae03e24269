"""More than 500 runs end on one worker while it is cut off; see claim.txt."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from review.common.rig import CannotRun, ObservedWorker, Rig, pause, run_case
from soak.proxy import LinkFaults

JOBS, TASKS = 20, 60
RUN_MS = 6000
TASK = {"count": TASKS, "cpu": 50, "memMb": 50, "estimatedMs": RUN_MS}
CUT_S = 2.0  # shorter than the lease, so that nothing lapses
MIN_RUNS = 600


@inlineCallbacks
def play(rig: Rig) -> Any:
    """Plays the case; returns what broke the rule."""
    yield rig.open()
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    for job in jobs:
        yield rig.submit(job, [TASK], {"ms": RUN_MS, "cpu": 50})
        yield pause(0.08)
    name = yield rig.wait_for(lambda: _busiest(rig), f"{MIN_RUNS} runs on one worker", 6.0)
    first = min(run.at for run in rig.history.runs if rig.worker(run.worker).machine == name)
    yield pause(max(0.0, first + RUN_MS / 1000 - 0.3 - reactor.seconds()))
    if rig.trouble:
        rig.note(f"cut  the worker on {name} is cut off")
        rig.proxies[name].set_faults(LinkFaults(hold_to_target=True, hold_from_target=True))
        yield pause(CUT_S)
        rig.note(f"cut  the worker on {name} is reachable again")
        rig.proxies[name].set_faults(LinkFaults())
    for job in jobs:
        yield rig.wait_for(lambda j=job: _completed(rig, j), f"job {job} to be completed", 40.0)
    yield pause(2.0)
    return repeated(rig)


def _busiest(rig: Rig) -> str:
    counts = defaultdict(int)
    for run in rig.history.runs:
        if run.ended_at is None:
            counts[rig.worker(run.worker).machine] += 1
    if len(rig.history.runs) < JOBS * TASKS * 0.9:
        return ""
    name = max(counts, key=counts.get)
    return name if counts[name] >= MIN_RUNS else ""


@inlineCallbacks
def _completed(rig: Rig, job: str) -> Any:
    state = yield rig.state_of(job)
    if state in ("failed", "cancelled"):
        raise CannotRun(f"job {job} is {state}")
    if state != "completed":
        yield pause(0.5)
    return state == "completed"


def repeated(rig: Rig) -> list[str]:
    """Returns the starts of tasks after an end `done` that was taken note of, see RULES.md."""
    by_task = defaultdict(list)
    for run in rig.history.runs:
        by_task[run.task].append(run)
    found = []
    for task, runs in by_task.items():
        for run in runs:
            if run.end_kind != "done" or not ObservedWorker.is_noted(run):
                continue
            later = [other for other in runs if other.at > run.ended_at]
            found += [
                f"{task}: run {other.run} began {other.at - run.ended_at:.3f} s after run "
                f"{run.run} had ended done, an end that was acknowledged"
                for other in later
            ]
    return found


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, workers=8)
