"""What entries report of targets and queues in `RenewSession.reports`.

A report travels as a plain sequence, because 70 targets of a data centre are reported each second
within a control budget of 9 KB/s.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LoadReport", "TargetReport"]


class TargetReport(NamedTuple):
    """One entry's observation of a target.

    Attributes:
        age: Seconds since it was last heard.
        incarnation: Highest incarnation heard.
        slots: Tasks that it can run at once.
        running: Tasks that run on it, as the target said or the entry counts, whichever is more.
        idle: Whether the entry starts nothing on it, under the reported view version, and nothing
            of any dispatcher has run on it since.
        leaving: Whether it said that it leaves.
        data_centre: Where it announced itself from.
        rack: Its rack.
        older: Whether an older incarnation announces itself too.
    """

    age: float
    incarnation: int
    slots: int
    running: int
    idle: bool
    leaving: bool
    data_centre: str
    rack: str
    older: bool


class LoadReport(NamedTuple):
    """Tasks of one pool at the entry that dispatches them."""

    queued: int
    running: int
