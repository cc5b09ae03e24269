"""Unplanned losses of instances, and whether they are correlated.

Losses in one rack or data centre at nearly the same time probably have one cause, and more are to
be expected. Planned steps, which make instances unavailable on purpose, wait until the losses
are over.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

from geraniumtrack.state.availability import FleetPort
from geraniumtrack.state.records import Instance

__all__ = ["Decision", "Losses", "find_losses", "loss_reserve"]

# A loss counts as recent for this time, or until the instance returns.
RECENT_LOSS_S = 300.0
# Losses within this time of each other may have one cause.
CORRELATION_WINDOW_S = 30.0
# Losses in one rack or data centre within the window that count as correlated.
CORRELATED_RACK_LOSSES = 2
CORRELATED_DATA_CENTRE_LOSSES = 3
# Recent losses, correlated or not, that pause maintenance.
LOSSES_TO_PAUSE = 2


class Decision(NamedTuple):
    """The outcome of a planning function.

    Attributes:
        commands: Commands to propose.
        wait_reasons: Why no step is taken for an instance, a pool or the campaign, by subject.
    """

    commands: list[Any]
    wait_reasons: dict[str, str]


class Losses(NamedTuple):
    """Recent unplanned losses of instances.

    Attributes:
        recent: Names of all instances of the fleet that were lost in the last RECENT_LOSS_S
            seconds and have not returned, whether or not their losses are correlated.
        correlated: Location shared by correlated losses, such as `rack dc1/r2`, or an empty string.
    """

    recent: tuple[str, ...]
    correlated: str

    @property
    def pause_reason(self) -> str:
        """Why maintenance has to pause, or an empty string."""
        if self.correlated:
            return f"correlated losses in {self.correlated}: {', '.join(self.recent)}"
        if len(self.recent) >= LOSSES_TO_PAUSE:
            return f"second loss: {', '.join(self.recent)}"
        return ""


def find_losses(fleet: FleetPort, at: float) -> Losses:
    """Finds the recent losses; instances that are rebooted for maintenance are not counted.

    Args:
        fleet: The replicated state.
        at: Seconds since the epoch.
    """
    lost = [
        instance
        for instance in fleet.view["instances"].values()
        if _lost_recently(fleet, instance, at)
    ]
    lost.sort(key=lambda instance: instance.name)
    return Losses(tuple(instance.name for instance in lost), _correlated_location(fleet, lost))


def loss_reserve(fleet: FleetPort) -> int:
    """Returns the number of spare instances to keep for losses.

    It is the largest number of instances that a serving pool has in one data centre, without those
    lent to it. Racks are counted too, but a rack lies within its data centre and cannot have more.
    """
    counts: Counter[tuple[str, ...]] = Counter()
    pools = fleet.view["pools"]
    for instance in fleet.view["instances"].values():
        pool = pools.get(instance.pool)
        if pool is not None and not pool.spare and instance.name not in fleet.loans:
            counts[instance.pool, instance.data_centre] += 1
            counts[instance.pool, instance.data_centre, instance.rack] += 1
    return max(counts.values(), default=0)


def _lost_recently(fleet: FleetPort, instance: Instance, at: float) -> bool:
    health = fleet.health.get(instance.name)
    if health is None or health.state not in ("suspect", "failed"):
        return False
    return instance.maintenance != "rebooting" and at - health.at <= RECENT_LOSS_S


def _correlated_location(fleet: FleetPort, lost: list[Instance]) -> str:
    """Returns the data centre or rack of correlated losses, or an empty string."""
    racks: dict[str, list[float]] = {}
    data_centres: dict[str, list[float]] = {}
    for instance in lost:
        lost_at = fleet.health[instance.name].at
        racks.setdefault(f"rack {instance.data_centre}/{instance.rack}", []).append(lost_at)
        data_centres.setdefault(f"data centre {instance.data_centre}", []).append(lost_at)
    for domains, threshold in (
        (data_centres, CORRELATED_DATA_CENTRE_LOSSES),
        (racks, CORRELATED_RACK_LOSSES),
    ):
        for name, times in sorted(domains.items()):
            if _max_in_window(times) >= threshold:
                return name
    return ""


def _max_in_window(times: list[float]) -> int:
    """Returns the largest number of losses within one correlation window."""
    return max(
        sum(0 <= other - start <= CORRELATION_WINDOW_S for other in times) for start in times
    )
