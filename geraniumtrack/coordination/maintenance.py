"""Maintenance campaigns: one rack at a time, within budgets, with a pause on a second loss.

Pure decisions. Everything that a new leader needs is in the replicated state.
"""

from __future__ import annotations

from typing import NamedTuple

from geraniumtrack.coordination.budgets import Decision, Losses
from geraniumtrack.coordination.observed import Observed
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import Budgets, health_state
from geraniumtrack.state.records import Instance, MaintenanceStep
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["PlatformOrder", "decide_maintenance", "platform_orders", "reboot_key"]

DRAIN_TIMEOUT_S = 900.0  # long runs may take this long to finish
REBOOT_TIMEOUT_S = 1800.0  # then the campaign pauses and the operator looks after the instance


class PlatformOrder(NamedTuple):
    """A reboot that the platform has to do once. `key` identifies it across resends."""

    instance: str
    key: str


def reboot_key(campaign_id: str, step: MaintenanceStep) -> str:
    """Returns the idempotency key of a reboot, which is the same for every leader."""
    return f"{campaign_id}/{step.instance}/{step.version}"


def platform_orders(state: ReplicatedState) -> list[PlatformOrder]:
    """Returns the reboots that are under way."""
    campaign_id = state.campaign.campaign_id if state.campaign is not None else ""
    return [
        PlatformOrder(step.instance, reboot_key(campaign_id, step))
        for step in state.maintenance.values()
        if state.view["instances"][step.instance].maintenance == "rebooting"
    ]


def decide_maintenance(
    state: ReplicatedState, observed: Observed, losses: Losses, rebooted: frozenset[str]
) -> Decision:
    """Decides the next steps of the campaign.

    Args:
        state: The replicated state.
        observed: What the entries report.
        losses: Recent losses.
        rebooted: Keys of the reboots that the platform reports as done.
    """
    campaign = state.campaign
    steps: list = _returns(state, observed, rebooted)
    if campaign is None or campaign.phase not in ("running", "paused"):
        return Decision(steps, {})
    reason = losses.pause_reason or _overdue(state, observed.at)
    if campaign.phase == "paused":
        if campaign.paused_by == "leader" and not reason:
            steps.append(_control("resume", "the losses are over", observed.at))
        return Decision(steps + _interrupted(state, observed.at), {})
    if reason:
        return Decision([*steps, _control("pause", reason, observed.at)], {})
    steps += _drained(state, observed)
    wave = _wave(state, observed)
    return Decision(steps + wave.commands, wave.holds)


def _returns(state: ReplicatedState, observed: Observed, rebooted: frozenset[str]) -> list:
    """Returns instances that were rebooted and announced a new incarnation."""
    steps = []
    for order in platform_orders(state):
        health = state.health.get(order.instance)
        step = state.maintenance[order.instance]
        announced = health is not None and health.incarnation > step.incarnation
        # An instance that restarted by itself still has its reboot before it.
        if announced and health.state == "alive" and order.key in rebooted:
            reason = "announced a new incarnation"
            steps.append(cmd.AdvanceMaintenance(order.instance, "done", reason, observed.at))
    return steps


def _overdue(state: ReplicatedState, at: float) -> str:
    for order in platform_orders(state):
        if at - state.maintenance[order.instance].at > REBOOT_TIMEOUT_S:
            return f"{order.instance} did not return within {REBOOT_TIMEOUT_S:g} s of its reboot"
    return ""


def _interrupted(state: ReplicatedState, at: float) -> list:
    """Ends the drains of a paused campaign, which give their capacity back."""
    return [
        cmd.AdvanceMaintenance(instance.name, "pending", "the campaign is paused", at)
        for instance in _in_phase(state, "draining")
    ]


def _drained(state: ReplicatedState, observed: Observed) -> list:
    steps = []
    for instance in _in_phase(state, "draining"):
        step = state.maintenance[instance.name]
        if health_state(state, instance.name) == "failed":
            reason, phase = "the instance failed", "pending"
        elif observed.idle.get(instance.name, -1) >= step.version:
            reason, phase = "confirmed idle", "rebooting"
        elif observed.at - step.at > DRAIN_TIMEOUT_S:
            reason, phase = f"not idle within {DRAIN_TIMEOUT_S:g} s", "pending"
        else:
            continue
        steps.append(cmd.AdvanceMaintenance(instance.name, phase, reason, observed.at))
    return steps


def _wave(state: ReplicatedState, observed: Observed) -> Decision:
    """Starts instances of one rack; the next rack waits until all of this one have returned."""
    busy = [*_in_phase(state, "draining"), *_in_phase(state, "rebooting")]
    pending = _pending(state)
    if not busy and not pending:
        return Decision([_control("finish", "every instance was maintained", observed.at)], {})
    steps: list = []
    budgets = Budgets(state)
    holds: dict[str, str] = {}
    rack = _rack(busy[0]) if busy else None
    for instance in pending:
        obstacle = _obstacle(state, instance, budgets)
        if obstacle:
            holds[instance.name] = obstacle
        elif rack in (None, _rack(instance)):
            rack = _rack(instance)
            reason = f"wave of rack {instance.data_centre}/{instance.rack}"
            budgets.take(instance, reason)
            steps.append(cmd.AdvanceMaintenance(instance.name, "draining", reason, observed.at))
    if not busy and not steps:
        holds["maintenance"] = "no pending instance may be taken out now"
    return Decision(steps, holds)


def _obstacle(state: ReplicatedState, instance: Instance, budgets: Budgets) -> str:
    health = health_state(state, instance.name)
    if health != "alive":
        return f"maintenance waits: {instance.name} is {health}"
    if not instance.takes_work:
        return f"maintenance waits: {instance.name} is taken out for another reason"
    over = budgets.check(instance)
    return "" if over is None else f"maintenance waits: {over.detail}"


def _pending(state: ReplicatedState) -> list[Instance]:
    """Returns the pending instances by rack; those whose drain was ended come last."""
    began = state.campaign.at

    def tried(instance: Instance) -> bool:
        return state.maintenance[instance.name].at > began

    return sorted(_in_phase(state, "pending"), key=tried)


def _in_phase(state: ReplicatedState, phase: str) -> list[Instance]:
    found = [i for i in state.view["instances"].values() if i.maintenance == phase]
    return sorted(found, key=lambda i: (i.data_centre, i.rack, i.name))


def _rack(instance: Instance) -> tuple[str, str]:
    return instance.data_centre, instance.rack


def _control(action: str, reason: str, at: float) -> cmd.ControlMaintenance:
    return cmd.ControlMaintenance("", action, reason, "leader", at)
