"""Computes how many instances of a campaign must be drained and maintained at once.

The number follows from the work that is left and the time until the deadline, so that it rises by
itself after an outage, and stays low while a campaign is ahead of its deadline.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["ObservedTimes", "RemainingWork", "drains_per_pool", "required_in_progress"]

# Reserve before the deadline: all controllers may be down for 7 s, and a new owner needs another
# second until its first order.
OUTAGE_RESERVE_S = 8.0
OBSERVATION_WEIGHT = 0.25  # of the newest observation in the average
MAX_OBSERVATION_S = 10.0  # a longer drain was held up by a failure, and says little about others
# Instances with service tasks that drain at once in a pool. They share the availability budgets of
# the steps, so that more of them would mainly wait for each other.
MIN_SERVICE_DRAINS = 2
MAX_SERVICE_DRAINS = 4


@dataclass(slots=True)
class ObservedTimes:
    """Averages of the durations that this owner has observed, starting from priors.

    Attributes:
        drain_s: Time in seconds to drain an instance without service tasks.
        service_drain_s: Time in seconds to drain an instance with service tasks.
        maintenance_s: Time in seconds from the order until the instance is seen up again.
    """

    drain_s: float = 1.5
    service_drain_s: float = 3.0
    maintenance_s: float = 2.5

    def record_drain(self, seconds: float, *, service: bool) -> None:
        """Records the time that an instance took to drain, in seconds."""
        if service:
            self.service_drain_s = _average(self.service_drain_s, seconds)
        else:
            self.drain_s = _average(self.drain_s, seconds)

    def record_maintenance(self, seconds: float) -> None:
        """Records the time from a maintenance order to the return of the instance, in seconds."""
        self.maintenance_s = _average(self.maintenance_s, seconds)


@dataclass(frozen=True, slots=True)
class RemainingWork:
    """What is left of a campaign.

    Attributes:
        plain: Instances without service tasks whose maintenance has not begun.
        service: Instances with service tasks whose maintenance has not begun.
        time_left_s: Time until the deadline in seconds.
    """

    plain: int
    service: int
    time_left_s: float


def required_in_progress(work: RemainingWork, cap: int, times: ObservedTimes) -> int:
    """Returns how many instances of a campaign must be draining or in maintenance.

    Draining instances don't count towards the cap. Not more of them are drained than can be
    maintained within the cap, as drained instances that wait for their order are idle.
    """
    cycle_s = times.service_drain_s if work.service else times.drain_s
    usable_s = _usable_s(work.time_left_s, cycle_s + times.maintenance_s)
    busy_s = work.plain * (times.drain_s + times.maintenance_s)
    busy_s += work.service * (times.service_drain_s + times.maintenance_s)
    drain_s = max(times.drain_s, times.service_drain_s if work.service else 0.0)
    sustained = cap + math.ceil(cap * drain_s / max(times.maintenance_s, drain_s))
    return min(math.ceil(busy_s / usable_s), sustained)


def drains_per_pool(instances: int, time_left_s: float, times: ObservedTimes) -> int:
    """Returns how many instances with service tasks may drain at once in a pool.

    Args:
        instances: Instances of the pool with service tasks whose maintenance has not begun.
        time_left_s: Time until the campaign's deadline in seconds.
        times: Observed durations.
    """
    usable_s = _usable_s(time_left_s, times.service_drain_s + times.maintenance_s)
    required = math.ceil(instances * times.service_drain_s / usable_s)
    return min(max(required, MIN_SERVICE_DRAINS), MAX_SERVICE_DRAINS)


def _usable_s(time_left_s: float, cycle_s: float) -> float:
    return max(time_left_s - OUTAGE_RESERVE_S, cycle_s)


def _average(value: float, seconds: float) -> float:
    return value + OBSERVATION_WEIGHT * (min(seconds, MAX_OBSERVATION_S) - value)
