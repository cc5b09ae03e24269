"""Reports of entries about targets and pools, sent in `RenewSession.reports`.

Reports are encoded as plain sequences, without the tag and class name of a message, because the
leader receives the reports of 16 entries, each on the about 70 targets of its data centre, within a
limit of 9 KB/s for control traffic.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LoadReport", "TargetReport"]


class TargetReport(NamedTuple):
    """One entry's observation of a target.

    Attributes:
        age_s: Seconds since the entry last received an announcement of the target; 0.0 if recent.
        incarnation: Highest incarnation announced.
        slots: Tasks that the target can run at once.
        running: Moving average of the tasks running on the target: the number that it announced
            or the slots that the entry uses on it, whichever is greater.
        idle: Whether the view version that the entry reports allows no new tasks on the target, and
            the entry has for a short time (`MIN_IDLE_S` in `coordination.fleet.target_reports`)
            seen no task of any dispatcher on it. Tasks started earlier may run while the target
            drains.
        leaving: Whether the target announced that it is leaving.
        data_centre: Data centre that the target announced.
        rack: Rack that the target announced.
        older_incarnation: Whether an older incarnation of the target sends announcements too.
    """

    age_s: float
    incarnation: int
    slots: int
    running: int
    idle: bool
    leaving: bool
    data_centre: str
    rack: str
    older_incarnation: bool


class LoadReport(NamedTuple):
    """Number of queued and running tasks of one pool at the entry that dispatches them."""

    queued: int
    running: int
