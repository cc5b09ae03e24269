"""An entry's view of its allotments: tasks it may run, its requests, and slots it releases.

Invariant: the entry never runs more tasks than its committed allotment. An allotment is reduced
only on the basis of a renewal in which the entry lowered its ceiling. The entry observes this
ceiling until it receives an allotment based on the same or a later renewal. The replicated state
rejects a reduction based on an older renewal than that of the last change.

An orphaned task is one whose completion was not observed. It counts as running until its lease at
the target has expired.

All times are in seconds of the entry's monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["AllotmentRequest", "EntryAllotments"]

IDLE_RETENTION_S = 2.0  # unused slots are released after one to two times this duration


class AllotmentRequest(NamedTuple):
    """The allotment fields of a renewal; see `RenewSession`."""

    sequence: int
    wanted: dict[str, int]
    ceilings: dict[str, int]


class _Ceiling(NamedTuple):
    """A ceiling on running tasks, and the sequence of the renewal that announced it."""

    amount: int
    renewal_sequence: int


class EntryAllotments:
    """Allotments of an entry's current session.

    Args:
        task_lease_s: Duration of task leases at targets, extended by the bound on clock drift.
    """

    def __init__(self, *, task_lease_s: float) -> None:
        self._task_lease_s = task_lease_s
        self._orphan_expiries: dict[str, list[float]] = {}
        self.reset()

    def reset(self) -> None:
        """Discards all allotments, for a new session; orphaned tasks still count."""
        self._sequence = 0
        self._allotments: dict[str, tuple[int, int]] = {}
        self._ceilings: dict[str, _Ceiling] = {}
        self._reclaim: dict[str, int] = {}
        self._current_peaks: dict[str, int] = {}
        self._previous_peaks: dict[str, int] = {}
        self._peak_window_end = float("-inf")

    def run_limits(self, now: float) -> dict[str, int]:
        """Returns the tasks that each team may have running here, not counting orphaned ones."""
        return {
            team: max(
                0, min(self._effective_allotment(team), self._reclaim.get(team, amount)) - orphans
            )
            for team, (amount, _) in self._allotments.items()
            for orphans in (self._orphan_count(team, now),)
        }

    def permits(self, team: str, running: int, now: float) -> bool:
        """Whether a team may have `running` tasks.

        Reclaims are ignored, since they prevent only the start of further tasks.
        """
        return running + self._orphan_count(team, now) <= self._effective_allotment(team)

    def build_request(
        self, *, wanted: dict[str, int], running: dict[str, int], now: float
    ) -> AllotmentRequest:
        """Returns the request for the next renewal, and observes its ceilings from now on.

        Args:
            wanted: Tasks running or queued, by team.
            running: Tasks running, by team.
            now: Monotonic clock value, in seconds.
        """
        self._sequence += 1
        self._update_peaks(wanted, now)
        ceilings = {}
        for team, (amount, _) in self._allotments.items():
            in_use = running.get(team, 0) + self._orphan_count(team, now)
            ceiling = min(
                self._effective_allotment(team), max(in_use, self._retained_slots(team, amount))
            )
            if ceiling < amount:
                ceilings[team] = ceiling
                self._ceilings[team] = _Ceiling(ceiling, self._sequence)
        return AllotmentRequest(self._sequence, wanted, ceilings)

    def update(self, allotments: dict[str, tuple[int, int]], reclaim: dict[str, int]) -> None:
        """Updates committed allotments, ignoring outdated ones, and replaces all reclaims."""
        for team, (amount, sequence) in allotments.items():
            old_amount, old_sequence = self._allotments.get(team, (0, 0))
            if sequence < old_sequence:
                continue
            # With the same sequence an allotment can only increase, so the larger one is newer.
            amount = max(amount, old_amount) if sequence == old_sequence else amount
            self._allotments[team] = (amount, sequence)
            ceiling = self._ceilings.get(team)
            if ceiling is not None and sequence >= ceiling.renewal_sequence:
                del self._ceilings[team]
        self._reclaim = dict(reclaim)

    def unmet_demand(self, wanted: dict[str, int], now: float) -> dict[str, int]:
        """Returns the demand of the teams whose allotment does not cover it."""
        run_limits = self.run_limits(now)
        return {team: count for team, count in wanted.items() if count > run_limits.get(team, 0)}

    def can_release(self, running: dict[str, int], now: float) -> bool:
        """Whether reclaimed slots are idle and not yet released."""
        return any(
            max(reclaim_limit, running.get(team, 0) + self._orphan_count(team, now))
            < self._effective_allotment(team)
            for team, reclaim_limit in self._reclaim.items()
        )

    def add_orphan(self, team: str, now: float) -> None:
        """Adds an orphaned task, which counts as running until its lease at the target expires."""
        self._orphan_expiries.setdefault(team, []).append(now + self._task_lease_s)

    def has_orphans(self, now: float) -> bool:
        """Whether an orphaned task may still be running."""
        return any(self._orphan_count(team, now) for team in self._orphan_expiries)

    def _effective_allotment(self, team: str) -> int:
        amount = self._allotments.get(team, (0, 0))[0]
        ceiling = self._ceilings.get(team)
        return amount if ceiling is None else min(amount, ceiling.amount)

    def _orphan_count(self, team: str, now: float) -> int:
        return sum(expiry > now for expiry in self._orphan_expiries.get(team, ()))

    def _retained_slots(self, team: str, amount: int) -> int:
        peak = max(self._current_peaks.get(team, 0), self._previous_peaks.get(team, 0))
        headroom = max(1, peak // 2) if peak else 0
        return min(peak + headroom, self._reclaim.get(team, amount))

    def _update_peaks(self, wanted: dict[str, int], now: float) -> None:
        if now >= self._peak_window_end:
            self._previous_peaks, self._current_peaks = self._current_peaks, {}
            self._peak_window_end = now + IDLE_RETENTION_S
            self._orphan_expiries = {
                team: [expiry for expiry in expiries if expiry > now]
                for team, expiries in self._orphan_expiries.items()
            }
        for team, count in wanted.items():
            self._current_peaks[team] = max(count, self._current_peaks.get(team, 0))


if __name__ == "__main__":
    entry_allotments = EntryAllotments(task_lease_s=10.1)
    print(entry_allotments.build_request(wanted={"acme": 3}, running={}, now=0.0))
    entry_allotments.update({"acme": (5, 1)}, {})
    print(entry_allotments.run_limits(0.1))
    print(
        entry_allotments.build_request(wanted={}, running={}, now=9.0),
        entry_allotments.run_limits(9.0),
    )
