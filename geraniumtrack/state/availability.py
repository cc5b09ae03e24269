"""Availability budgets: which instances of a pool are unavailable, and whether a step is allowed.

The leader plans with these functions and every controller applies them again, so that two steps
that were planned at the same time cannot both pass.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, Protocol

from geraniumtrack.sentinels import Absent
from geraniumtrack.state.records import Health, Instance, Loan

__all__ = ["FleetPort", "check_step", "health_state", "unavailable", "unavailable_reason"]


class FleetPort(Protocol):
    """What a budget is computed from."""

    view: dict[str, dict[str, Any]]
    health: dict[str, Health]
    loans: dict[str, Loan]


def health_state(fleet: FleetPort, name: str) -> str:
    """Returns the accepted state of an instance; one without a record has just announced itself."""
    health = fleet.health.get(name)
    return health.state if health is not None else "alive"


def unavailable_reason(fleet: FleetPort, instance: Instance) -> str:
    """Returns why an instance cannot serve its pool, or an empty string."""
    state = health_state(fleet, instance.name)
    if state != "alive":
        return state
    if instance.set_aside:
        return "set aside"
    if instance.maintenance in ("draining", "rebooting"):
        return f"maintenance: {instance.maintenance}"
    if instance.moving_to:
        return f"moving to {instance.moving_to}"
    if instance.drained:
        return "drained by the operator"
    data_centre = fleet.view["data_centres"].get(instance.data_centre)
    if data_centre is not None and not data_centre.in_service:
        return f"data centre {instance.data_centre} out of service"
    return ""


def unavailable(fleet: FleetPort, pool: str) -> dict[str, str]:
    """Returns the unavailable instances of a pool with their reasons."""
    reasons = {
        instance.name: unavailable_reason(fleet, instance)
        for instance in fleet.view["instances"].values()
        if instance.pool == pool
    }
    return {name: reason for name, reason in reasons.items() if reason}


def check_step(
    fleet: FleetPort, instance: Instance, *, planned: Collection[str] = ()
) -> Absent | None:
    """Checks the budget for a planned step that makes an instance unavailable.

    Args:
        fleet: The replicated state.
        instance: The instance to be taken out.
        planned: Instances that earlier steps of the same decision take out.

    Returns:
        None if the budget holds after the step, else a sentinel with the reason `over_budget`.
    """
    pool = fleet.view["pools"].get(instance.pool)
    allowed = pool.max_unavailable if pool is not None else 0
    counted = unavailable(fleet, instance.pool)
    for name in planned:
        if fleet.view["instances"][name].pool == instance.pool:
            counted.setdefault(name, "planned")
    counted.pop(instance.name, None)
    if len(counted) + 1 <= allowed:
        return None
    named = ", ".join(f"{name} ({reason})" for name, reason in sorted(counted.items())[:4])
    return Absent(
        "over_budget",
        f"pool {instance.pool} allows {allowed} unavailable; {len(counted)} are: {named or 'none'}",
    )
