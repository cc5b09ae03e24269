"""Order in which the queued tasks of a pool are placed. It does no I/O; time is passed in.

Urgent tasks are placed before normal ones, and normal ones before long ones. Within an urgency, the
team with the lowest usage per share comes next. A task loses the precedence of its urgency to that
of a team with much lower usage per share, since otherwise a team could occupy a full pool by
marking all its work as urgent. While long tasks use less than a fraction of the slots they are
placed first, unless their team has used much more than others.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from geraniumtrack.coordination.limits.shares import ShareTable
from geraniumtrack.coordination.serving.queues import URGENCIES, PoolQueue, Task
from geraniumtrack.coordination.serving.target_slots import PoolState
from geraniumtrack.state.view import ConfigView

__all__ = ["DispatchOrder", "DispatchPolicy"]


@dataclass(frozen=True)
class DispatchPolicy:
    """Parameters of the dispatch order; `bench.policy` changes them for its baselines.

    Attributes:
        min_long_fraction: Fraction of a pool's slots, at least one slot unless 0. While running
            long tasks use less, queued ones are placed before other tasks.
        max_urgent_excess: Fraction by which a team's usage per share may exceed that of a team
            whose tasks would be placed later by urgency, before its own tasks lose their
            precedence.
        fair: Whether teams are ordered by usage per share; otherwise by time of arrival.
        early_refusal: Whether to refuse requests that are not expected to start before their
            deadline.
    """

    min_long_fraction: float = 0.1
    max_urgent_excess: float = 0.5
    fair: bool = True
    early_refusal: bool = True


class DispatchOrder:
    """Chooses the next task of a pool.

    Args:
        view: Configuration view, which has the shares.
        policy: Parameters of the order.
        shares: Usage of each team.
        running: Number of running tasks of each team, kept by the dispatcher.

    Attributes:
        team_shares: Share of each team, as of the last `refresh_shares`.
        share_sum: Sum of the shares, or 1 if there are none.
    """

    def __init__(
        self,
        *,
        view: ConfigView,
        policy: DispatchPolicy,
        shares: ShareTable,
        running: dict[str, int],
    ) -> None:
        self.team_shares: dict[str, float] = {}
        self.share_sum = 1.0
        self._view = view
        self._policy = policy
        self._shares = shares
        self._running = running
        self._shares_version = -1

    def next_task(
        self, state: PoolState, queue: PoolQueue, allotments: dict[str, int], now: float
    ) -> Task | None:
        """Returns the task of a pool to place next, or None if no team may run another one.

        Args:
            state: The pool.
            queue: Its queued tasks.
            allotments: Number of tasks that each team may run through this entry.
            now: Clock value in seconds.
        """
        chosen: tuple[str, str] | None = None
        for urgency in self._urgency_order(state, queue):
            teams = self._eligible_teams(queue, urgency, allotments)
            if not teams:
                continue
            team = self._next_team(queue, urgency, teams, now)
            if chosen is None:
                chosen = (urgency, team)
                if not self._policy.fair or self._policy.max_urgent_excess == math.inf:
                    break
            elif self._loses_precedence(chosen[1], team, now):
                chosen = (urgency, team)
        return queue.head(*chosen) if chosen is not None else None

    def refresh_shares(self) -> None:
        """Updates the shares from the view."""
        if self._shares_version != self._view.version:
            teams = self._view.sections["teams"].values()
            self.team_shares = {team.name: team.share for team in teams}
            self.share_sum = sum(self.team_shares.values()) or 1.0
            self._shares_version = self._view.version

    def _eligible_teams(
        self, queue: PoolQueue, urgency: str, allotments: dict[str, int]
    ) -> list[str]:
        running = self._running
        return [
            team
            for team in queue.lanes[urgency]
            if not team or running.get(team, 0) < allotments.get(team, 0)
        ]

    def _loses_precedence(self, team: str, other: str, now: float) -> bool:
        """Whether a team's usage per share exceeds another's by more than the policy allows.

        The other team's task is then placed first although it comes later by urgency.
        """
        shares = self.team_shares
        used = self._shares.rank(team, shares.get(team, 1.0), now)
        return used > (1 + self._policy.max_urgent_excess) * self._shares.rank(
            other, shares.get(other, 1.0), now
        )

    def _urgency_order(self, state: PoolState, queue: PoolQueue) -> tuple[str, ...]:
        if not queue.lengths["long"]:
            return URGENCIES
        policy = self._policy
        min_long = (
            max(1, int(state.slots * policy.min_long_fraction)) if policy.min_long_fraction else 0
        )
        if state.running_long < min_long:
            return ("long", "urgent", "normal")
        return URGENCIES

    def _next_team(self, queue: PoolQueue, urgency: str, teams: list[str], now: float) -> str:
        if len(teams) == 1:
            return teams[0]
        if not self._policy.fair:
            return min(teams, key=lambda team: queue.head(urgency, team).queued_at)
        self.refresh_shares()
        return self._shares.lowest_usage_team(teams, self.team_shares, now)
