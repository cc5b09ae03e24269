"""Decides which jobs are within the rate of their team, with one token bucket for each team.

A bucket is refilled at the weight of its team in jobs per second, up to a fixed burst plus one
second of the rate. The result is decided once, when the submission is applied, by the time that it
carries, so all replicas, later owners and resent submissions see the same result.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from geraniumtrack.jobs.state.model import JobTeam

__all__ = ["BURST_JOBS", "TeamRates"]

# The same on all replicas, as the result is part of the replicated state.
BURST_JOBS = 20.0  # jobs that a team may submit at once, in addition to one second of its rate
RATE_INTERVAL_S = 1.0  # part of the depth that grows with the rate


@dataclass(slots=True)
class _Bucket:
    """Tokens of a team at a wall-clock time in seconds."""

    tokens: float
    updated_at: float

    def refill(self, weight: float, at: float) -> None:
        """Adds the tokens since the last update; a time before that adds and removes none."""
        if at > self.updated_at:
            self.tokens += weight * (at - self.updated_at)
            self.updated_at = at
        self.tokens = min(self.tokens, _depth(weight))


class TeamRates:
    """The buckets of the configured teams that have submitted jobs.

    Args:
        rows: Rows of team, tokens and wall-clock time in seconds, as from `capture`.
    """

    def __init__(self, rows: Iterable[tuple[str, float, float]] = ()) -> None:
        self._buckets = {team: _Bucket(tokens, at) for team, tokens, at in rows}
        self._weights: dict[str, float] = {}

    def configure(self, teams: Iterable[JobTeam]) -> None:
        """Applies the weights of the teams and deletes the buckets of removed teams.

        A configuration carries no time, so a new weight also refills the time since the last
        submission of a team, at most to the depth of its bucket.
        """
        self._weights = {team.name: team.weight for team in teams}
        for name in self._buckets.keys() - self._weights.keys():
            del self._buckets[name]

    def take(self, team: str, at: float) -> bool:
        """Takes a token of a team; returns whether the submitted job is within its rate.

        Jobs of callers without a team are within the rate, as no rate is stated for them. Jobs of
        a team that was removed, or whose weight is 0, are not.

        Args:
            team: Name of the team, or an empty string.
            at: Wall-clock time of the submission in seconds.
        """
        if not team:
            return True
        weight = self._weights.get(team, 0.0)
        if weight <= 0:
            return False
        bucket = self._buckets.setdefault(team, _Bucket(_depth(weight), at))
        bucket.refill(weight, at)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def allows(self, team: str, at: float) -> bool:
        """Whether `take` would find a job within its team's rate; takes no token."""
        weight = self._weights.get(team, 0.0)
        if not team or weight <= 0:
            return not team
        known = self._buckets.get(team)
        if known is None:
            return True
        bucket = _Bucket(known.tokens, known.updated_at)
        bucket.refill(weight, at)
        return bucket.tokens >= 1

    def capture(self) -> list[list]:
        """Returns the rows for a snapshot."""
        return [[name, item.tokens, item.updated_at] for name, item in self._buckets.items()]


def _depth(weight: float) -> float:
    return BURST_JOBS + weight * RATE_INTERVAL_S
