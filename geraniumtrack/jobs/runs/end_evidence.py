"""Decides whether a run has certainly ended, so that its task may be started again.

A run has ended for certain if its worker reports its end, if its start had no effect, if a report
that covers it doesn't show it, or if its lease has expired. A run on an incarnation that has ended
is judged by the reports of the later one with the same id, if there is one. Silence, a refused or
reset connection, and a report that may be incomplete prove nothing.
"""

from __future__ import annotations

import math
from enum import StrEnum

from geraniumtrack.jobs.runs.sent_orders import SentStart
from geraniumtrack.jobs.runs.worker_lease import MAX_ORDER_DELAY_S
from geraniumtrack.jobs.runs.worker_port import StartOutcome, WorkerReport

__all__ = ["RunVerdict", "judge_unreported_run", "start_had_no_effect", "unproven_start_at"]

# Outcomes after which the run may be active, or may still begin.
_POSSIBLE_RUNS = (StartOutcome.STARTED, StartOutcome.UNKNOWN, StartOutcome.FENCED)


class RunVerdict(StrEnum):
    """What a report that lacks an assigned run shows about it."""

    NOT_STARTED = "not_started_before_takeover"  # it was never ordered, or the order is now refused
    NOT_LISTED = "not_listed"  # it has ended
    MAY_START = "may_start"  # its start is unclear, and it may begin unless it is stopped first
    OPEN = "open"  # nothing; a later report will

    @property
    def is_ended(self) -> bool:
        """Whether the run is not active and can't begin any more."""
        return self in (RunVerdict.NOT_STARTED, RunVerdict.NOT_LISTED)


def judge_unreported_run(
    order: SentStart | None, report: WorkerReport, requested_at: float
) -> RunVerdict:
    """Returns what a report shows about an assigned run that is neither active nor ended in it.

    Args:
        order: The start order of the run by this owner, None if it sent none.
        report: The report.
        requested_at: Clock value in seconds at which the report was requested.
    """
    if not report.complete:
        return RunVerdict.OPEN
    if order is None:
        # An earlier owner committed the start. The worker rejects that owner's order from now on,
        # since this owner's fencing token is higher.
        return RunVerdict.NOT_STARTED
    if order.settled_at is None or requested_at <= order.settled_at:
        return RunVerdict.OPEN
    if order.outcome is StartOutcome.UNKNOWN and not order.stop_acknowledged:
        return RunVerdict.MAY_START
    return RunVerdict.NOT_LISTED


def unproven_start_at(
    order: SentStart | None, *, reported: bool, requested_at: float, opened_at: float
) -> float:
    """Returns when the last start of an assigned run left that a later incarnation may have got.

    The answer to a start doesn't show which incarnation has executed it. The result is a clock
    value in seconds, negative infinity if the last report proves that there is no such start.

    Args:
        order: The start order of the run by this owner, None if it sent none.
        reported: Whether the last report shows the run as active.
        requested_at: Clock value in seconds at which that report was requested.
        opened_at: Clock value in seconds at which the session was created, before which the starts
            of earlier owners have left.
    """
    if order is None:
        return -math.inf if reported else opened_at
    # One copy is executed once; others may be executed late, also by a later incarnation.
    copies_settled = order.send_count == 1 or requested_at > order.left_at + MAX_ORDER_DELAY_S
    return -math.inf if reported and copies_settled else order.left_at


def start_had_no_effect(outcome: StartOutcome) -> bool:
    """Whether the outcome of a start order proves that the run doesn't exist and can't begin."""
    return outcome not in _POSSIBLE_RUNS
