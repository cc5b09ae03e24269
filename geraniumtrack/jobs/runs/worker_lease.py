"""The lease of a worker's runs, with its deadlines on the worker's own clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["LEASE_S", "MAX_ORDER_DELAY_S", "WorkerLease"]

LEASE_S = 4.5  # outlasts a change of owner, and is below the longest lease that a worker accepts
MAX_CLOCK_LAG = 0.02  # fraction by which a worker's clock may run slower than the owner's
LEASE_EXPIRY_MARGIN_S = 0.1
MAX_ORDER_DELAY_S = 12.0  # for which an order without an answer may still be executed
# For this long after a restart under the same id, the later incarnation may execute orders for the
# earlier one. They leave until a hold counts as unanswered, for less than 4 s, and may be late.
FORMER_ORDERS_S = MAX_ORDER_DELAY_S + 4.0
MS_PER_S = 1000


@dataclass(slots=True)
class _ClockReading:
    """A reading of the worker's clock: it showed at least `ms` when the owner's clock was `at`."""

    ms: int
    at: float


class WorkerLease:
    """Computes the deadlines that orders carry, and when the last of them has passed for certain.

    A lease counts as expired only when its last deadline has passed even on a worker's clock that
    runs 2% slow.

    Args:
        now: Clock value in s at which the session was created. The previous owner may have extended
            the lease just before.
        longest_s: Longest lease in s that the worker grants.
    """

    def __init__(self, now: float, *, longest_s: float) -> None:
        self._longest_s = longest_s
        self._reading: _ClockReading | None = None
        self._ends_at = now + _max_local_duration(LEASE_S)

    @property
    def has_reading(self) -> bool:
        """Whether the worker's clock was read, without which no deadline can be computed."""
        return self._reading is not None

    def set_reading(self, clock_ms: int, now: float) -> None:
        """Stores the worker's clock in ms, as an answer reported it at the clock value `now`.

        The clock shows at least `clock_ms` then, however late the answer is.
        """
        young = clock_ms < (self._longest_s + FORMER_ORDERS_S) * MS_PER_S
        if self._reading is None and young:
            # Orders for an earlier incarnation may have extended the lease by the longest one.
            self.extend_to_longest(now)
        self._reading = _ClockReading(clock_ms, now)

    def extend(self, now: float) -> int:
        """Returns the next deadline in ms on the worker's clock and extends the lease to it.

        The deadline is at most LEASE_S ahead, however old the reading and however slow the clock
        is: a new owner, which doesn't know the reading, relies on it.
        """
        reading = self._reading
        passed_s = (now - reading.at) * (1 - MAX_CLOCK_LAG)
        deadline_ms = reading.ms + round((passed_s + LEASE_S) * MS_PER_S)
        length_s = (deadline_ms - reading.ms) / MS_PER_S
        self._ends_at = max(self._ends_at, reading.at + _max_local_duration(length_s))
        return deadline_ms

    def extend_to_longest(self, now: float) -> None:
        """Extends the lease to the longest that a worker grants.

        A deadline on the clock of an earlier incarnation is that far ahead for a later one, whose
        clock starts anew.
        """
        self._ends_at = max(self._ends_at, now + _max_local_duration(self._longest_s))

    def expired(self, now: float, *, start_left_at: float = -math.inf) -> bool:
        """Whether the lease of a run has certainly expired, so that it isn't active any more.

        Args:
            now: Clock value in s.
            start_left_at: Clock value in s at which the last copy of the run's start order left, if
                a later incarnation than the one whose clock was read may have executed it. That one
                grants the longest lease.
        """
        longest_ends_at = start_left_at + _max_local_duration(self._longest_s)
        return now > max(self._ends_at, longest_ends_at) + LEASE_EXPIRY_MARGIN_S


def _max_local_duration(seconds: float) -> float:
    """Returns the longest time on the owner's clock while `seconds` pass on the worker's clock."""
    return seconds / (1 - MAX_CLOCK_LAG)
