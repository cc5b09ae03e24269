"""Checks of the runs that workers have recorded."""

from __future__ import annotations

from collections import defaultdict

from twisted.internet import reactor

from review.common.rig import Rig

__all__ = ["overlaps"]


def overlaps(rig: Rig) -> list[str]:
    """Returns the runs that began while another run of their task was active."""
    by_task = defaultdict(list)
    for run in rig.history.runs:
        by_task[run.task].append(run)
    now = reactor.seconds()
    found = []
    for task, runs in by_task.items():
        for first, second in zip(runs, runs[1:], strict=False):
            end = first.ended_at if first.ended_at is not None else now
            if second.at < end:
                found.append(
                    f"{task}: run {second.run} began on {second.worker} at "
                    f"{second.at - rig.started_at:.3f} s, run {first.run} on {first.worker} "
                    f"ended at {end - rig.started_at:.3f} s ({first.end_kind or 'still runs'})"
                )
    return found
