"""Histograms of the ratio of observed to declared duration, with equal cells of its logarithm.

`TeamHistogram` bounds the weight of each team. It keeps the sum over all teams up to date and
corrects it for the few teams above the bound, since a sum over all of them takes several
milliseconds with 20 teams in 10 queues.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Mapping
from itertools import accumulate

__all__ = [
    "PRIOR_WEIGHT",
    "UNIT_CELL",
    "ActiveWeights",
    "Distribution",
    "TeamHistogram",
    "add_weights",
    "cell_of",
    "prior_weights",
]

MAX_LOG_RATIO = 3  # log2 of MAX_RATIO
MAX_RATIO = 8.0  # ratios are clipped to this and its reciprocal
CELLS_PER_DOUBLING = 8  # a cell is 9% wide, less than the error of 200 observations
# Weight of the assumption that declarations are right, in observations. One job has a fifth of the
# weight beside it, so alone it can't move the quantiles from 0.2 to 0.8.
PRIOR_WEIGHT = 16.0
TEAM_WEIGHT = 256.0  # of all observations of one team in one estimate
MIN_WEIGHT = 0.01  # teams with less are forgotten
# A run beyond all known ratios is expected to last this many times as long as so far.
REMAINING_FACTOR = 1.5
EQUAL_LOG_RATIO = 1e-9  # logarithms closer to 0 than this are the rounding of 1
NO_WEIGHT = 1e-6  # less than this is the rounding of sums

# The cells below 1, a cell of no width for exactly 1, which holds the prior, and those above 1.
UNIT_CELL = MAX_LOG_RATIO * CELLS_PER_DOUBLING
CELLS = range(2 * UNIT_CELL + 1)
LOWER = [(cell - UNIT_CELL - (cell > UNIT_CELL)) / CELLS_PER_DOUBLING for cell in CELLS]  # log2
WIDTH = [0.0 if cell == UNIT_CELL else 1 / CELLS_PER_DOUBLING for cell in CELLS]
RATIO = [2.0 ** (low + width / 2) for low, width in zip(LOWER, WIDTH, strict=True)]
REMAINING_CELLS = round(math.log2(REMAINING_FACTOR) * CELLS_PER_DOUBLING)


# Cells and weights of the runs in progress, by team.
ActiveWeights = Mapping[str, list[tuple[int, float]]]


def no_weights() -> list[float]:
    """Returns a weight of 0 for each cell."""
    return [0.0] * len(LOWER)


def prior_weights() -> list[float]:
    """Returns the weights without any observation."""
    weights = no_weights()
    weights[UNIT_CELL] = PRIOR_WEIGHT
    return weights


def cell_of(ratio: float) -> int:
    """Returns the cell of a ratio, which is clipped to the range of the histogram."""
    if ratio >= MAX_RATIO:
        return len(LOWER) - 1
    if ratio <= 1.0 / MAX_RATIO:
        return 0
    log_ratio = math.log2(ratio)
    if -EQUAL_LOG_RATIO < log_ratio < EQUAL_LOG_RATIO:
        return UNIT_CELL
    position = int((log_ratio + MAX_LOG_RATIO) * CELLS_PER_DOUBLING)
    # The logarithm of a ratio just below MAX_RATIO is rounded up to MAX_LOG_RATIO.
    return min(position, 2 * UNIT_CELL - 1) + (log_ratio > 0.0)


class Distribution:
    """Weights of ratios by cell, with the prior and with those of runs in progress divided up."""

    def __init__(self, weights: list[float]) -> None:
        self.weights = weights
        self._sums = list(accumulate(weights))

    def quantile(self, quantile: float) -> float:
        """Returns the ratio below which a part of the weight lies, interpolated in its cell."""
        target = min(max(quantile, 0.0), 1.0) * self._sums[-1]
        cell = bisect_left(self._sums, target) if target else bisect_right(self._sums, 0.0)
        below = self._sums[cell] - self.weights[cell]
        part = min(max((target - below) / self.weights[cell], 0.0), 1.0)
        return 2.0 ** (LOWER[cell] + part * WIDTH[cell])

    def mean(self) -> float:
        """Returns the mean ratio."""
        return sum(map(float.__mul__, self.weights, RATIO)) / self._sums[-1]


def add_weights(weights: list[float], others: list[float], scale: float) -> list[float]:
    """Returns the sum of two histograms, of which the second is scaled."""
    return [weight + other * scale for weight, other in zip(weights, others, strict=True)]


class TeamHistogram:
    """Weights of ended runs by team and cell, in multiples of a unit that the caller chooses."""

    def __init__(self) -> None:
        self._teams: defaultdict[str, list[float]] = defaultdict(no_weights)
        self._totals: defaultdict[str, float] = defaultdict(float)
        self._sum = no_weights()

    def add(self, team: str, cell: int, weight: float) -> None:
        """Adds the weight of an ended run."""
        self._teams[team][cell] += weight
        self._totals[team] += weight
        self._sum[cell] += weight

    def rescale(self, scale: float) -> None:
        """Multiplies all weights, as the unit has changed."""
        for team, weights in self._teams.items():
            self._teams[team] = [weight * scale for weight in weights]
            self._totals[team] *= scale
        self._sum = [weight * scale for weight in self._sum]

    def forget_faded(self, unit: float) -> bool:
        """Forgets teams without weight; returns whether none is left."""
        faded = [team for team, total in self._totals.items() if total < MIN_WEIGHT * unit]
        for team in faded:
            del self._totals[team]
            # The rounding of the difference must not leave negative weights.
            rest = add_weights(self._sum, self._teams.pop(team), -1.0)
            self._sum = [max(weight, 0.0) for weight in rest]
        return not self._teams

    def distribution(self, active: ActiveWeights, unit: float) -> Distribution:
        """Returns the distribution with the prior and with runs in progress."""
        ended = [weight / unit for weight in self._sum]
        in_progress = no_weights()
        limit = TEAM_WEIGHT * unit
        heavy = {team for team, total in self._totals.items() if total > limit}
        for team in heavy | active.keys():
            rows = active.get(team, [])
            total = self._totals.get(team, 0.0) / unit + sum(weight for _, weight in rows)
            scale = min(1.0, TEAM_WEIGHT / max(total, MIN_WEIGHT))
            if scale < 1.0 and team in self._teams:
                ended = add_weights(ended, self._teams[team], (scale - 1.0) / unit)
            for cell, weight in rows:
                in_progress[cell] += weight * scale
        weights = _redistributed(ended, in_progress) if active else ended
        weights[UNIT_CELL] += PRIOR_WEIGHT
        return Distribution(weights)


def _redistributed(ended: list[float], active: list[float]) -> list[float]:
    """Divides the weight of each run in progress among the ratios above the one it has reached.

    This is the Kaplan-Meier estimate in the form of Efron's redistribution to the right. Weight
    with nothing above it goes to 1, or to REMAINING_FACTOR times the ratio reached if that is more.
    """
    weights = list(ended)
    first = next((cell for cell, weight in enumerate(active) if weight), len(active))
    above = sum(ended[first:]) + sum(active)
    growth = 1.0  # of the weights of the cells not yet reached
    for cell in range(first, len(weights)):
        weights[cell] = ended[cell] * growth
        above -= ended[cell] + active[cell]
        if not active[cell]:
            continue
        if above > NO_WEIGHT:
            growth *= 1.0 + active[cell] / above
        else:
            last = min(max(cell + REMAINING_CELLS, UNIT_CELL), len(weights) - 1)
            weights[last] += active[cell] * growth
            break
    return weights
