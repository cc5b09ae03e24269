"""An entry's side of allotments: what it may run, what it wishes, what it gives back.

Invariant: what the entry lets run never exceeds its committed allotment. A shrink rests on a
renewal in which the entry lowered its ceiling. The entry keeps to that ceiling until it sees an
allotment that rests on this renewal or a later one, and the replicated state refuses a shrink that
rests on an older renewal than the last change.

All times are seconds of the entry's monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Holdings", "Wish"]

KEEP_S = 2.0  # unused slots are kept for one to two of these before they are given back


class Wish(NamedTuple):
    """The allotment part of a renewal; see `RenewSession`."""

    sequence: int
    wanted: dict[str, int]
    ceilings: dict[str, int]


class _Ceiling(NamedTuple):
    amount: int
    sequence: int


class Holdings:
    """Allotments of one session of an entry.

    Args:
        task_lease_s: Lease of tasks at targets, widened by the clock drift bound.
    """

    def __init__(self, *, task_lease_s: float) -> None:
        self._task_lease_s = task_lease_s
        self._lingering: dict[str, list[float]] = {}
        self.reset()

    def reset(self) -> None:
        """Forgets all allotments, for a new session."""
        self._sequence = 0
        self._allotments: dict[str, tuple[int, int]] = {}
        self._ceilings: dict[str, _Ceiling] = {}
        self._reclaim: dict[str, int] = {}
        self._peaks: dict[str, int] = {}
        self._last_peaks: dict[str, int] = {}
        self._window_ends = float("-inf")

    def caps(self, now: float) -> dict[str, int]:
        """Returns the tasks that each team may have running here."""
        return {
            team: max(0, min(self._bound(team), self._reclaim.get(team, amount)) - left)
            for team, (amount, _) in self._allotments.items()
            for left in (self._lingering_count(team, now),)
        }

    def covers(self, team: str, running: int, now: float) -> bool:
        """Whether so many running tasks are within the allotment; a reclaim stops only starts."""
        return running + self._lingering_count(team, now) <= self._bound(team)

    def wish(self, *, wanted: dict[str, int], running: dict[str, int], now: float) -> Wish:
        """Returns what the next renewal says, and keeps to its ceilings from now on.

        Args:
            wanted: Tasks running or queued, by team.
            running: Tasks running, by team.
            now: Clock value.
        """
        self._sequence += 1
        self._note_peaks(wanted, now)
        ceilings = {}
        for team, (amount, _) in self._allotments.items():
            used = running.get(team, 0) + self._lingering_count(team, now)
            ceiling = min(self._bound(team), max(used, self._useful(team, amount)))
            if ceiling < amount:
                ceilings[team] = ceiling
                self._ceilings[team] = _Ceiling(ceiling, self._sequence)
        return Wish(self._sequence, wanted, ceilings)

    def seen(self, allotments: dict[str, tuple[int, int]], reclaim: dict[str, int]) -> None:
        """Takes committed allotments; older ones than known are ignored."""
        for team, (amount, sequence) in allotments.items():
            old_amount, old_sequence = self._allotments.get(team, (0, 0))
            if sequence < old_sequence:
                continue
            # Under one sequence an allotment only grows, so the greater one is the later one.
            amount = max(amount, old_amount) if sequence == old_sequence else amount
            self._allotments[team] = (amount, sequence)
            ceiling = self._ceilings.get(team)
            if ceiling is not None and sequence >= ceiling.sequence:
                del self._ceilings[team]
        self._reclaim = dict(reclaim)

    def lacking(self, wanted: dict[str, int], now: float) -> dict[str, int]:
        """Returns the wishes that the allotments do not meet."""
        caps = self.caps(now)
        return {team: count for team, count in wanted.items() if count > caps.get(team, 0)}

    def gives_back(self, running: dict[str, int], now: float) -> bool:
        """Whether slots that the leader asked for are idle now and were not given back yet."""
        return any(
            max(part, running.get(team, 0) + self._lingering_count(team, now)) < self._bound(team)
            for team, part in self._reclaim.items()
        )

    def linger(self, team: str, now: float) -> None:
        """Counts a task whose end was not seen until its lease at the target has run out."""
        self._lingering.setdefault(team, []).append(now + self._task_lease_s)

    def lingers(self, now: float) -> bool:
        """Whether a task whose end was not seen may still run."""
        return any(self._lingering_count(team, now) for team in self._lingering)

    def _bound(self, team: str) -> int:
        amount = self._allotments.get(team, (0, 0))[0]
        ceiling = self._ceilings.get(team)
        return amount if ceiling is None else min(amount, ceiling.amount)

    def _lingering_count(self, team: str, now: float) -> int:
        return sum(until > now for until in self._lingering.get(team, ()))

    def _useful(self, team: str, amount: int) -> int:
        peak = max(self._peaks.get(team, 0), self._last_peaks.get(team, 0))
        slack = max(1, peak // 2) if peak else 0
        return min(peak + slack, self._reclaim.get(team, amount))

    def _note_peaks(self, wanted: dict[str, int], now: float) -> None:
        if now >= self._window_ends:
            self._last_peaks, self._peaks = self._peaks, {}
            self._window_ends = now + KEEP_S
            self._lingering = {
                team: [until for until in ends if until > now]
                for team, ends in self._lingering.items()
            }
        for team, count in wanted.items():
            self._peaks[team] = max(count, self._peaks.get(team, 0))


if __name__ == "__main__":
    holdings = Holdings(task_lease_s=10.1)
    print(holdings.wish(wanted={"acme": 3}, running={}, now=0.0))
    holdings.seen({"acme": (5, 1)}, {})
    print(holdings.caps(0.1))
    print(holdings.wish(wanted={}, running={}, now=9.0), holdings.caps(9.0))
