"""Measures the work that callers submit to each pool, as the input of admission control.

The load: a peak of several times the capacity. Jobs on time come before late ones, so a late job is
done only if less on-time work arrives than the pool can do. A rate counts only if the work arrived
in two successive windows alike: jobs that are submitted at once are a backlog, not a rate.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque

from geraniumtrack.jobs.scheduling.work_ahead import Group

__all__ = ["GroupRates", "OfferedLoad"]

# A rate that lasted for two windows counts. With the shortest, a peak of five times the capacity
# counts before many jobs are accepted that it delays beyond their expiry; the longer ones have less
# noise.
WINDOWS_S = (0.2, 0.5, 1.0)
# Standard errors of a window's sum that are subtracted from it. Without the shortest window, half
# of one refused 2.8% of the jobs at nine tenths of the capacity, and one refused 1.2%.
NOISE_FACTOR = 1.0
HISTORY_S = 2 * max(WINDOWS_S)

GroupRates = dict[Group, dict[str, float]]


class OfferedLoad:
    """The jobs submitted to each pool within HISTORY_S, whether accepted or refused."""

    def __init__(self) -> None:
        self._jobs: dict[str, deque[tuple[float, Group, str, float]]] = defaultdict(deque)

    def record(self, pool: str, group: Group, team: str, work: float, now: float) -> None:
        """Records a submission.

        Args:
            pool: Pool of its queue.
            group: Queue priority and rate of the job.
            team: Its team.
            work: Its work in core-seconds.
            now: Clock value in seconds, the same clock for all calls.
        """
        jobs = self._jobs[pool]
        jobs.append((now, group, team, work))
        while jobs[0][0] <= now - HISTORY_S:
            jobs.popleft()

    def rates(self, pool: str, now: float) -> GroupRates:
        """Returns the rate of on-time work in cores by group, divided between the teams.

        Args:
            pool: The pool.
            now: Clock value in seconds.
        """
        jobs = self._jobs.get(pool, ())
        by_group: dict[Group, list[tuple[float, float]]] = defaultdict(list)
        by_team: dict[Group, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        for at, group, team, work in jobs:
            if at > now - HISTORY_S:
                by_group[group].append((now - at, work))
                by_team[group][team] += work
        found: GroupRates = {}
        for group, rows in by_group.items():
            rate = max(_sustained(rows, window_s) for window_s in WINDOWS_S)
            total = sum(by_team[group].values())
            if rate > 0:
                found[group] = {team: rate * work / total for team, work in by_team[group].items()}
        return found


def _sustained(rows: list[tuple[float, float]], window_s: float) -> float:
    """Returns the lower rate of the last two windows, less noise.

    Args:
        rows: Age in seconds and work of each job.
        window_s: Length of a window in seconds.
    """
    recent = [work for age_s, work in rows if age_s < window_s]
    before = [work for age_s, work in rows if window_s <= age_s < 2 * window_s]
    lower = min(recent, before, key=sum)
    noise = NOISE_FACTOR * math.sqrt(sum(work * work for work in lower))
    return max(sum(lower) - noise, 0.0) / window_s
