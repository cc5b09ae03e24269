"""Start and stop orders that the owner sent to a worker, with their results."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from geraniumtrack.jobs.runs.worker_port import StartOutcome

__all__ = ["SentStart", "SentStop", "StopReason", "outcome_after_resend"]


class StopReason(StrEnum):
    """Why the owner stops a run."""

    JOB_ENDED = "job_ended"  # cancelled, or another task failed for good
    NOT_ASSIGNED = "not_assigned"  # the worker reports a run that the state does not assign to it
    START_UNCLEAR = "start_unclear"  # no answer to its start, and no report shows it
    DRAIN = "drain"  # its instance is being drained
    PREEMPTED = "preempted"  # a job that would miss its deadline takes its place

    @property
    def is_final(self) -> bool:
        """Whether the run must end in any case, whatever the worker reports later."""
        return self in (StopReason.JOB_ENDED, StopReason.NOT_ASSIGNED)


@dataclass(slots=True)
class SentStart:
    """A start order of this owner and its result.

    Attributes:
        run: Number of the run.
        sent_at: Clock value in s at which the order was first sent.
        checkpoint: Checkpoint that the run resumes from, or an empty string.
        send_count: Number of times that it was sent.
        left_at: Clock value in s at which its last copy left, negative infinity if none did.
        answered_at: Clock value in s of its answer, None while the order is in flight. If its
            outcome is STARTED, the run started at this time at the latest.
        outcome: Result of the order, or None while it is in flight.
        stop_acknowledged_at: Clock value in s of the first acknowledged stop of the run, or None.
        seen: Whether a report has shown the run, so that an order has certainly been executed.
    """

    run: int
    sent_at: float
    checkpoint: str = ""
    send_count: int = 0
    left_at: float = -math.inf
    answered_at: float | None = None
    outcome: StartOutcome | None = None
    stop_acknowledged_at: float | None = None
    seen: bool = False

    @property
    def stop_acknowledged(self) -> bool:
        """Whether the worker acknowledged a stop of the run."""
        return self.stop_acknowledged_at is not None

    @property
    def settled_at(self) -> float | None:
        """Clock value in s after which a requested report is conclusive if it lacks the run.

        It is None while a copy of the order may still leave.
        """
        if self.answered_at is None or self.stop_acknowledged_at is None:
            return self.answered_at
        return max(self.answered_at, self.stop_acknowledged_at)


@dataclass(slots=True)
class SentStop:
    """A stop order: its reason, when it was last sent, and how often it may still be sent."""

    reason: StopReason
    sent_at: float
    sends_left: int


def outcome_after_resend(outcome: StartOutcome) -> StartOutcome:
    """Returns the outcome of a start order that was sent more than once, from its last answer."""
    if outcome in (StartOutcome.STARTED, StartOutcome.OUTDATED):
        # STARTED: this copy or an earlier one started the run. OUTDATED: an earlier copy started
        # the run, which has ended since and whose end will be reported, or a stop overtook the
        # order.
        return StartOutcome.STARTED
    if outcome is StartOutcome.FENCED:
        return outcome
    # This copy had no effect, but an earlier one may still be executed.
    return StartOutcome.UNKNOWN
