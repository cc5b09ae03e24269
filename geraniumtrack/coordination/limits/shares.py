"""Weighted fair ordering of teams by their usage of slots. It does no I/O; time is passed in.

A team's usage is an exponentially decaying average of the slots that it occupies. Only usage in a
contended pool is charged: slots that no other team waits for are lent for free, so that a team is
not penalised for using capacity that would have been idle. As the average decays, lent capacity
returns to the other teams within seconds after they begin to wait for it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["USAGE_DECAY_S", "ShareTable"]

# Time constant of the usage average. With 10 s, a larger number of urgent tasks waited too long
# during load peaks in every run of bench.policy; the deviation from the shares rose in some runs
# and fell in others.
USAGE_DECAY_S = 3.0
RUN_TIME_WEIGHT = 0.1  # weight of a new sample in the moving average of a team's run time
INITIAL_RUN_TIME_S = 0.1  # assumed until a task of the team has finished
RANK_MAX_AGE_S = 0.02  # ranks are cached for this time, in which decay changes them by 0.7%
REMOTE_MAX_AGE_S = 3.0  # an entry whose last gossip is older is not live, so its usage is dropped


@dataclass(slots=True)
class _Account:
    """Usage of one team through this entry.

    Attributes:
        used: Decaying average of the charged slots, as of `updated_at`.
        updated_at: Time of the last update, in seconds.
        charged: Number of slots in use in contended pools.
        running: Number of slots in use in all pools.
        run_time: Moving average of the run time of a task, in seconds.
    """

    used: float = 0.0
    updated_at: float = 0.0
    charged: int = 0
    running: int = 0
    run_time: float = INITIAL_RUN_TIME_S


class ShareTable:
    """Usage of all teams through this entry, and through other entries as they gossip it.

    Args:
        decay_s: Time constant of the usage average.
        lend: Whether slots that no other team waits for are used without charge.
    """

    def __init__(self, *, decay_s: float = USAGE_DECAY_S, lend: bool = True) -> None:
        self._decay_s = decay_s
        self._lend = lend
        self._accounts: dict[str, _Account] = {}
        self._running: dict[str, dict[str, int]] = {}
        self._contended: set[str] = set()
        self._remote: dict[str, tuple[float, dict[str, float]]] = {}
        self._remote_sum: dict[str, float] = {}
        self._remote_expires_at = math.inf
        self._ranks: dict[str, float] = {}
        self._ranks_cleared_at = -math.inf

    def record_start(self, pool: str, team: str, now: float) -> None:
        """Counts a task that occupies a slot from now on."""
        self._count(pool, team, 1, now)

    def record_end(self, pool: str, team: str, now: float, ran_s: float) -> None:
        """Counts a task that frees its slot after running for `ran_s` seconds."""
        self._count(pool, team, -1, now)
        account = self._accounts[team]
        self._ranks.pop(team, None)
        account.run_time += RUN_TIME_WEIGHT * (ran_s - account.run_time)

    def set_contended(self, pool: str, contended: bool, now: float) -> None:
        """Records whether tasks wait for slots of a pool that other teams use."""
        if not self._lend or contended == (pool in self._contended):
            return
        for team, count in self._running.get(pool, {}).items():
            account = self._updated_account(team, now)
            account.charged += count if contended else -count
        self._contended.symmetric_difference_update((pool,))

    def other_teams_run(self, pool: str, team: str) -> bool:
        """Whether tasks of any other team run in a pool."""
        running = self._running.get(pool, {})
        return len(running) > (team in running)

    def update_remote_usage(self, entry: str, usage: dict[str, float], now: float) -> None:
        """Stores the usage that another entry gossiped."""
        self._remote[entry] = (now, usage)
        self._ranks.clear()
        self._sum_remote_usage(now)

    def charged_usage(self, now: float) -> dict[str, float]:
        """Returns the average number of charged slots of each team at this entry, for gossip."""
        rates = {team: self._updated_account(team, now).used for team in self._accounts}
        return {team: round(used, 4) for team, used in rates.items() if used > 1e-3}

    def lowest_usage_team(self, teams: list[str], shares: dict[str, float], now: float) -> str:
        """Returns the team with the lowest usage per share, whose task is placed next.

        Running tasks count with their expected run time, so that several tasks that are placed at
        the same time are divided by share too.
        """
        if now >= self._ranks_cleared_at + RANK_MAX_AGE_S:
            self._ranks.clear()
            self._ranks_cleared_at = now
        if now >= self._remote_expires_at:
            self._sum_remote_usage(now)
        ranks = self._ranks
        for team in teams:
            if team not in ranks:
                ranks[team] = self._rank(team, shares.get(team, 1.0), now)
        return min(teams, key=ranks.__getitem__)

    def rank(self, team: str, share: float, now: float) -> float:
        """Returns the usage per share of one team."""
        cached = self._ranks.get(team)
        return self._rank(team, share, now) if cached is None else cached

    def _rank(self, team: str, share: float, now: float) -> float:
        account = self._updated_account(team, now)
        # Dividing by the sum of both weights keeps teams with long run times from being penalised.
        weight = account.run_time / self._decay_s
        used = (account.used + account.running * weight) / (1 + weight)
        return (used + self._remote_sum.get(team, 0.0)) / share

    def _count(self, pool: str, team: str, change: int, now: float) -> None:
        account = self._updated_account(team, now)
        self._ranks.pop(team, None)
        account.running += change
        if not self._lend or pool in self._contended:
            account.charged += change
        running = self._running.setdefault(pool, {})
        running[team] = running.get(team, 0) + change
        if not running[team]:
            del running[team]

    def _updated_account(self, team: str, now: float) -> _Account:
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = _Account(updated_at=now)
        elif now > account.updated_at:
            decay = math.exp((account.updated_at - now) / self._decay_s)
            account.used = account.charged + (account.used - account.charged) * decay
            account.updated_at = now
        return account

    def _sum_remote_usage(self, now: float) -> None:
        self._remote = {
            entry: gossiped
            for entry, gossiped in self._remote.items()
            if now - gossiped[0] < REMOTE_MAX_AGE_S
        }
        self._remote_sum = {}
        for _, usage in self._remote.values():
            for team, used in usage.items():
                self._remote_sum[team] = self._remote_sum.get(team, 0.0) + used
        oldest = min((received_at for received_at, _ in self._remote.values()), default=math.inf)
        self._remote_expires_at = oldest + REMOTE_MAX_AGE_S


if __name__ == "__main__":
    table = ShareTable()
    table.set_contended("proofs", True, 0.0)
    for _ in range(3):
        table.record_start("proofs", "acme", 0.0)
    table.record_start("proofs", "cedar", 0.0)
    print(table.lowest_usage_team(["acme", "cedar"], {"acme": 3.0, "cedar": 1.0}, 5.0))
