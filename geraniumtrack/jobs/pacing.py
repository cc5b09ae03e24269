"""The share at which filling tasks work beside tasks that serve. Pure.

Filling tasks slow serving tasks by amounts that change within seconds, so their share follows the
response times that a worker reports: it is halved when a serving task comes near its target and
rises slowly while all are well below.
"""

from __future__ import annotations

from collections.abc import Mapping

from geraniumtrack.jobs.model import StepSpec, TaskId
from geraniumtrack.jobs.worker_port import RunningTask

__all__ = ["PACE_INTERVAL_S", "pressure", "share"]

PACE_INTERVAL_S = 0.5  # a reported figure covers the last half second
MS_PER_S = 1000
TIGHT = 0.8  # of the target; above it the fillers are slowed
RELAXED = 0.55  # of the target; below it they may work more
LEAST_PERCENT = 10  # below it a filler stands still
RISE_PERCENT = 15
FULL_PERCENT = 100


def pressure(rows: Mapping[TaskId, RunningTask], steps: Mapping[TaskId, StepSpec]) -> float:
    """Returns the worst response time of the serving tasks, relative to its target."""
    return max(
        (
            rows[task].figure / (step.latency_target_s * MS_PER_S)
            for task, step in steps.items()
            if step.latency_target_s and task in rows
        ),
        default=0.0,
    )


def share(percent: int, worst: float) -> int:
    """Returns a filler's next share in percent."""
    if worst > TIGHT:
        lower = percent // 2
        return lower if lower >= LEAST_PERCENT else 0
    if worst < RELAXED:
        return min(percent + RISE_PERCENT, FULL_PERCENT)
    return percent
