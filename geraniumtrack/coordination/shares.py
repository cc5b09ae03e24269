"""Weighted fair order of teams by the slot-seconds that they used. Pure: time is passed in.

Usage is an average with exponential decay, in slots. Slots that no other team waits for are lent
without charge: only usage in a contended pool counts, so that a team is not set back for capacity
that would have stood idle. Decay takes lent capacity back within seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["USAGE_DECAY_S", "ShareTable"]

# With 10 s, more urgent waits were too long in every run of bench.policy; share errors went either
# way.
USAGE_DECAY_S = 3.0
RUN_TIME_WEIGHT = 0.1  # of a new observation in the mean run time
FIRST_RUN_TIME_S = 0.1  # assumed until a task of the team has ended
RANK_MAX_AGE_S = 0.02  # of computed ranks; in this time decay changes them by 0.7%
REMOTE_MAX_AGE_S = 3.0  # older gossip is of an entry that is no longer live


@dataclass(slots=True)
class _Account:
    """Usage of one team through this entry.

    Attributes:
        used: Decayed average of charged slots at `at`.
        at: Time of the last update.
        charged: Slots in use now in contended pools.
        running: Slots in use now.
        run_time: Mean run time of a task, in seconds.
    """

    used: float = 0.0
    at: float = 0.0
    charged: int = 0
    running: int = 0
    run_time: float = FIRST_RUN_TIME_S


class ShareTable:
    """Usage of all teams, here and as gossiped by other entries.

    Args:
        decay_s: Time constant of the average.
        lend: Whether slots that nobody waits for are lent without charge.
    """

    def __init__(self, *, decay_s: float = USAGE_DECAY_S, lend: bool = True) -> None:
        self._decay_s = decay_s
        self._lend = lend
        self._accounts: dict[str, _Account] = {}
        self._running: dict[str, dict[str, int]] = {}
        self._contended: set[str] = set()
        self._remote: dict[str, tuple[float, dict[str, float]]] = {}
        self._remote_sum: dict[str, float] = {}
        self._remote_due = math.inf
        self._ranks: dict[str, float] = {}
        self._ranked_at = -math.inf

    def started(self, pool: str, team: str, now: float) -> None:
        """Counts a task that takes a slot."""
        self._count(pool, team, 1, now)

    def ended(self, pool: str, team: str, now: float, ran_s: float) -> None:
        """Counts a task that frees its slot after a run time in seconds."""
        self._count(pool, team, -1, now)
        account = self._accounts[team]
        self._ranks.pop(team, None)
        account.run_time += RUN_TIME_WEIGHT * (ran_s - account.run_time)

    def set_contended(self, pool: str, contended: bool, now: float) -> None:
        """Notes whether tasks wait for the slots of a pool that other teams use."""
        if not self._lend or contended == (pool in self._contended):
            return
        for team, count in self._running.get(pool, {}).items():
            account = self._synced(team, now)
            account.charged += count if contended else -count
        self._contended.symmetric_difference_update((pool,))

    def others_run(self, pool: str, team: str) -> bool:
        """Whether tasks of any other team run in a pool."""
        running = self._running.get(pool, {})
        return len(running) > (team in running)

    def heard(self, entry: str, usage: dict[str, float], now: float) -> None:
        """Takes the usage that another entry gossiped."""
        self._remote[entry] = (now, usage)
        self._ranks.clear()
        self._sum_remote(now)

    def rates(self, now: float) -> dict[str, float]:
        """Returns the usage of each team through this entry, for gossip."""
        found = {team: self._synced(team, now).used for team in self._accounts}
        return {team: round(used, 4) for team, used in found.items() if used > 1e-3}

    def run_time(self, team: str) -> float:
        """Returns the mean run time of a team's tasks, in seconds."""
        account = self._accounts.get(team)
        return account.run_time if account is not None else FIRST_RUN_TIME_S

    def lowest(self, teams: list[str], shares: dict[str, float], now: float) -> str:
        """Returns the team with the lowest usage per share, which is to start next.

        Running tasks count with the run time expected of them, so that several starts at one
        instant are divided by share too.
        """
        if now >= self._ranked_at + RANK_MAX_AGE_S:
            self._ranks.clear()
            self._ranked_at = now
        if now >= self._remote_due:
            self._sum_remote(now)
        ranks = self._ranks
        for team in teams:
            if team not in ranks:
                ranks[team] = self._rank(team, shares.get(team, 1.0), now)
        return min(teams, key=ranks.__getitem__)

    def rank(self, team: str, share: float, now: float) -> float:
        """Returns the usage per share of one team."""
        known = self._ranks.get(team)
        return self._rank(team, share, now) if known is None else known

    def _rank(self, team: str, share: float, now: float) -> float:
        account = self._synced(team, now)
        # Divided by the weights of both, so that teams with long run times are not set back.
        weight = account.run_time / self._decay_s
        used = (account.used + account.running * weight) / (1 + weight)
        return (used + self._remote_sum.get(team, 0.0)) / share

    def _count(self, pool: str, team: str, change: int, now: float) -> None:
        account = self._synced(team, now)
        self._ranks.pop(team, None)
        account.running += change
        if not self._lend or pool in self._contended:
            account.charged += change
        running = self._running.setdefault(pool, {})
        running[team] = running.get(team, 0) + change
        if not running[team]:
            del running[team]

    def _synced(self, team: str, now: float) -> _Account:
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = _Account(at=now)
        elif now > account.at:
            kept = math.exp((account.at - now) / self._decay_s)
            account.used = account.charged + (account.used - account.charged) * kept
            account.at = now
        return account

    def _sum_remote(self, now: float) -> None:
        self._remote = {
            entry: known
            for entry, known in self._remote.items()
            if now - known[0] < REMOTE_MAX_AGE_S
        }
        self._remote_sum = {}
        for _, usage in self._remote.values():
            for team, used in usage.items():
                self._remote_sum[team] = self._remote_sum.get(team, 0.0) + used
        oldest = min((at for at, _ in self._remote.values()), default=math.inf)
        self._remote_due = oldest + REMOTE_MAX_AGE_S


if __name__ == "__main__":
    table = ShareTable()
    table.set_contended("proofs", True, 0.0)
    for _ in range(3):
        table.started("proofs", "acme", 0.0)
    table.started("proofs", "cedar", 0.0)
    print(table.lowest(["acme", "cedar"], {"acme": 3.0, "cedar": 1.0}, 5.0))
