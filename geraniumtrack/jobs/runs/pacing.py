"""Adjusts the pace of best-effort tasks to the latency of the service tasks on the same worker.

Best-effort tasks (`StepSpec.filler`) slow the service tasks on the same worker by amounts that
change within seconds. Their pace, in percent of full speed, therefore follows the latencies that
the worker reports: it is halved when a service task exceeds 80% of its latency target, and raised
in steps while all service tasks are below 55%.
"""

from __future__ import annotations

from collections.abc import Mapping

from geraniumtrack.jobs.runs.worker_port import RunningTask
from geraniumtrack.jobs.state.model import StepSpec, TaskId

__all__ = ["PACE_INTERVAL_S", "next_percent", "worst_latency_ratio"]

PACE_INTERVAL_S = 0.5  # a reported latency covers the last 0.5 s
MS_PER_S = 1000
SLOW_DOWN_RATIO = 0.8  # latency / latency target above which best-effort tasks are slowed down
SPEED_UP_RATIO = 0.55  # latency / latency target below which best-effort tasks are sped up
MIN_PERCENT = 10  # a pace that would fall below this becomes 0: the task pauses
SPEED_UP_PERCENT = 15  # added to the pace at each step
FULL_PERCENT = 100


def worst_latency_ratio(
    rows: Mapping[TaskId, RunningTask], steps: Mapping[TaskId, StepSpec]
) -> float:
    """Returns the highest ratio of latency to latency target among the service tasks of a worker.

    Args:
        rows: Runs that the worker lists, by task.
        steps: Steps of these tasks, by task.
    """
    return max(
        (
            rows[task].metric / (step.latency_target_s * MS_PER_S)
            for task, step in steps.items()
            if step.latency_target_s and task in rows
        ),
        default=0.0,
    )


def next_percent(percent: int, latency_ratio: float) -> int:
    """Returns the next pace of a best-effort task in percent of full speed.

    Args:
        percent: The current pace in percent of full speed.
        latency_ratio: Result of `worst_latency_ratio` for the worker.
    """
    if latency_ratio > SLOW_DOWN_RATIO:
        lower = percent // 2
        return lower if lower >= MIN_PERCENT else 0
    if latency_ratio < SPEED_UP_RATIO:
        return min(percent + SPEED_UP_PERCENT, FULL_PERCENT)
    return percent
