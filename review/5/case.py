"""A job whose tasks last loses single workers, and then its sound tasks too; see claim.txt."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from twisted.internet.defer import inlineCallbacks

from review.common.crashes import crash_workers_of
from review.common.rig import Rig, pause, run_case

JOB, TASKS, MAY_MISS = "00000000000000a1", 5, 1
STEP = {
    "count": TASKS,
    "cpu": 6000,
    "memMb": 1000,
    "longRunning": True,
    "antiAffinity": 2,
    "mayMiss": MAY_MISS,
}
STARTUP_S = 0.3  # the stand-in shows a run at 100 percent 0.2 s after its start
END_S = 12.0


@inlineCallbacks
def play(rig: Rig) -> Any:
    """Plays the case; returns what broke the rule."""
    yield rig.open()
    yield rig.submit(JOB, [STEP], {"cpu": 6000})
    yield crash_workers_of(rig, f"{JOB}.0.0.0")
    yield pause(END_S)
    state = yield rig.state_of(JOB)
    failed = [run for run in rig.history.runs if run.end_kind == "failed"]
    rig.note(f"job  {JOB} is shown as {state}; {len(failed)} runs of it have ended failed")
    return _excess_stops(rig)


def _excess_stops(rig: Rig) -> list[str]:
    """Returns the stops of tasks at work while others of the step were away by such stops.

    Tasks that are away since a crash are left out, which makes the check weaker than the rule.
    """
    runs = [run for run in rig.history.runs if run.task.startswith(JOB)]
    stops = sorted(
        (run for run in runs if run.end_kind == "stopped" and run.ended_at > run.at + STARTUP_S),
        key=lambda run: run.ended_at,
    )
    found = []
    for number, stop in enumerate(stops):
        away = {
            other.task
            for other in stops[:number]
            if other.task != stop.task and not _is_back(runs, other, stop.ended_at)
        }
        if len(away) >= MAY_MISS:
            found.append(
                f"{stop.task} run {stop.run}, at work on {stop.worker}, was stopped while "
                f"{len(away)} others of its step were away by stops; {MAY_MISS} may be"
            )
    return found


def _is_back(runs: list, stop: Any, at: float) -> bool:
    return any(run.task == stop.task and stop.ended_at < run.at < at - STARTUP_S for run in runs)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, workers=8)
