"""Divides the instances of the fleet among pools that together need more than there are.

It answers peaks that coincide: a burst on one queue while another has its peak, or the backlog
after an outage of the controllers. Planned alone, the pool with the largest backlog takes all
spare instances, and the others wait for instances that it does not give back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["PoolNeed", "joint_targets"]


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """The number of instances that a pool needs.

    Attributes:
        minimum: Instances that the pool keeps whatever the others need, for its service tasks.
        wanted: Instances that all its jobs need; at least `minimum`.
    """

    minimum: int
    wanted: int


def joint_targets(needs: Mapping[str, PoolNeed], fleet_size: int) -> dict[str, int]:
    """Returns the number of instances that each pool should have.

    If the fleet has enough instances, every pool gets what it wants. Otherwise every pool gets its
    minimum, and the rest is divided max-min fair: small needs are met in full and the pools with
    the largest needs get equally much, so that no queue waits behind the backlog of another one.

    Args:
        needs: What each pool needs, by name.
        fleet_size: Number of instances in all these pools and in standby.
    """
    targets = {name: need.minimum for name, need in needs.items()}
    left = fleet_size - sum(targets.values())
    unmet = {name: need.wanted - need.minimum for name, need in needs.items()}
    pending = sorted(unmet, key=lambda name: (unmet[name], name))
    while pending and left > 0:
        name = pending.pop(0)
        share = -(-left // (len(pending) + 1))  # rounded up, so that no instance is left over
        given = min(unmet[name], share)
        targets[name] += given
        left -= given
    return targets
