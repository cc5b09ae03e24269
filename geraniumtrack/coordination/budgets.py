"""Losses across the fleet: recent, correlated, and what they allow.

Losses in one rack or data centre at nearly the same time have one cause, and more of them are to
be expected, so planned steps wait until they are over.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

from geraniumtrack.state.availability import FleetPort
from geraniumtrack.state.records import Instance

__all__ = ["Decision", "Losses", "buffer_size", "find_losses"]

RECENT_S = 300.0  # a loss counts as recent this long, unless the instance returns
CORRELATED_S = 30.0  # losses at most this far apart may have one cause
RACK_LOSSES = 2
DATA_CENTRE_LOSSES = 3
SECOND_LOSS = 2


class Decision(NamedTuple):
    """Commands to propose, and why each subject that waits does so."""

    commands: list[Any]
    holds: dict[str, str]


class Losses(NamedTuple):
    """Recent unplanned losses.

    Attributes:
        recent: Names of the lost instances.
        correlated: What the correlated losses share, such as `rack dc1/r2`, or an empty string.
    """

    recent: tuple[str, ...]
    correlated: str

    @property
    def pause_reason(self) -> str:
        """Why maintenance waits, or an empty string."""
        if self.correlated:
            return f"correlated losses in {self.correlated}: {', '.join(self.recent)}"
        if len(self.recent) >= SECOND_LOSS:
            return f"second loss: {', '.join(self.recent)}"
        return ""


def find_losses(fleet: FleetPort, at: float) -> Losses:
    """Finds recent losses other than instances that are being rebooted.

    Args:
        fleet: The replicated state.
        at: Time in seconds since the epoch.
    """
    lost = [
        instance
        for instance in fleet.view["instances"].values()
        if _lost_recently(fleet, instance, at)
    ]
    lost.sort(key=lambda instance: instance.name)
    return Losses(tuple(instance.name for instance in lost), _correlated(fleet, lost))


def buffer_size(fleet: FleetPort) -> int:
    """Returns the spare instances kept for losses.

    This is the greatest number of instances that one serving pool loses with one rack or one data
    centre.
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
    return instance.maintenance != "rebooting" and at - health.at <= RECENT_S


def _correlated(fleet: FleetPort, lost: list[Instance]) -> str:
    racks: dict[str, list[float]] = {}
    data_centres: dict[str, list[float]] = {}
    for instance in lost:
        lost_at = fleet.health[instance.name].at
        racks.setdefault(f"rack {instance.data_centre}/{instance.rack}", []).append(lost_at)
        data_centres.setdefault(f"data centre {instance.data_centre}", []).append(lost_at)
    for domains, least in ((data_centres, DATA_CENTRE_LOSSES), (racks, RACK_LOSSES)):
        for name, times in sorted(domains.items()):
            if _most_together(times) >= least:
                return name
    return ""


def _most_together(times: list[float]) -> int:
    return max(sum(0 <= other - start <= CORRELATED_S for other in times) for start in times)
