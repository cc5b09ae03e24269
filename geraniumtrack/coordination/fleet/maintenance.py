"""Maintenance campaigns, which reboot the instances of the fleet rack by rack.

A wave is the instances of one rack that are out for maintenance at the same time. Each instance is
drained, rebooted and returned to service. Waves stay within the availability budgets of the pools,
and the campaign pauses after correlated losses, a second recent loss or an overdue reboot. The
functions are pure: a new leader finds all that it needs to continue a campaign in the replicated
state.
"""

from __future__ import annotations

from typing import NamedTuple

from geraniumtrack.coordination.fleet.losses import Decision, Losses
from geraniumtrack.coordination.fleet.observed import FleetObservation
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import Budgets, health_state
from geraniumtrack.state.records import Instance, MaintenanceStep
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["RebootOrder", "decide_maintenance", "reboot_key", "reboot_orders"]

DRAIN_TIMEOUT_S = 900.0  # long runs may take this long to finish
# An instance that has not returned by then pauses the campaign, for an operator to look into it.
REBOOT_TIMEOUT_S = 1800.0


class RebootOrder(NamedTuple):
    """A reboot to order from the platform; `key` makes a resent order idempotent."""

    instance: str
    key: str


def reboot_key(step: MaintenanceStep) -> str:
    """Returns the idempotency key of a reboot.

    It is the same for every leader, and stays the same when a new campaign starts before the reboot
    of a cancelled one has ended.
    """
    return f"{step.instance}/{step.version}"


def reboot_orders(state: ReplicatedState) -> list[RebootOrder]:
    """Returns the orders of all reboots in progress."""
    return [
        RebootOrder(step.instance, reboot_key(step))
        for step in state.maintenance.values()
        if state.view["instances"][step.instance].maintenance == "rebooting"
    ]


def decide_maintenance(
    state: ReplicatedState, observed: FleetObservation, losses: Losses, rebooted: frozenset[str]
) -> Decision:
    """Returns the next steps of the campaign, and why its instances wait.

    Args:
        state: The replicated state.
        observed: What the entries report.
        losses: Recent unplanned losses.
        rebooted: Keys of the reboots that are done.
    """
    campaign = state.campaign
    steps: list = _finish_reboots(state, observed, rebooted)
    if campaign is None or campaign.phase not in ("running", "paused"):
        return Decision(steps, {})
    reason = losses.pause_reason or _overdue_reboot(state, observed.at)
    if campaign.phase == "paused":
        if campaign.paused_by == "leader" and not reason:
            # This reason is stored with the event; it also follows a pause for an overdue reboot.
            steps.append(_control("resume", "the losses are over", observed.at))
        return Decision(steps + _end_drains(state, observed.at), {})
    if reason:
        return Decision([*steps, _control("pause", reason, observed.at)], {})
    steps += _advance_drains(state, observed)
    wave = _plan_wave(state, observed)
    return Decision(steps + wave.commands, wave.wait_reasons)


def _finish_reboots(
    state: ReplicatedState, observed: FleetObservation, rebooted: frozenset[str]
) -> list:
    """Completes the maintenance of rebooted instances that announced a new incarnation."""
    steps = []
    for order in reboot_orders(state):
        health = state.health.get(order.instance)
        step = state.maintenance[order.instance]
        announced = health is not None and health.incarnation > step.incarnation
        # A new incarnation alone is not enough: the instance may have restarted by itself before
        # the ordered reboot.
        if announced and health.state == "alive" and order.key in rebooted:
            reason = "announced a new incarnation"
            steps.append(cmd.AdvanceMaintenance(order.instance, "done", reason, observed.at))
    return steps


def _overdue_reboot(state: ReplicatedState, at: float) -> str:
    """Returns a reason to pause if a reboot exceeds its timeout, or an empty string."""
    for order in reboot_orders(state):
        if at - state.maintenance[order.instance].at > REBOOT_TIMEOUT_S:
            return f"{order.instance} did not return within {REBOOT_TIMEOUT_S:g} s of its reboot"
    return ""


def _end_drains(state: ReplicatedState, at: float) -> list:
    """Ends the drains of a paused campaign, so that the instances serve again."""
    return [
        cmd.AdvanceMaintenance(instance.name, "pending", "the campaign is paused", at)
        for instance in _in_phase(state, "draining")
    ]


def _advance_drains(state: ReplicatedState, observed: FleetObservation) -> list:
    """Starts the reboot of idle instances and ends drains that failed or timed out."""
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


def _plan_wave(state: ReplicatedState, observed: FleetObservation) -> Decision:
    """Starts draining instances of one rack.

    The next rack starts once no instance of this one is draining or rebooting. Finishes the
    campaign if no instance is left.
    """
    in_progress = [*_in_phase(state, "draining"), *_in_phase(state, "rebooting")]
    pending = _pending(state)
    if not in_progress and not pending:
        return Decision([_control("finish", "every instance was maintained", observed.at)], {})
    steps: list = []
    budgets = Budgets(state)
    wait_reasons: dict[str, str] = {}
    rack = _rack(in_progress[0]) if in_progress else None
    for instance in pending:
        obstacle = _drain_obstacle(state, instance, budgets)
        if obstacle:
            wait_reasons[instance.name] = obstacle
        elif rack in (None, _rack(instance)):
            rack = _rack(instance)
            reason = f"wave of rack {instance.data_centre}/{instance.rack}"
            budgets.mark_unavailable(instance, reason)
            steps.append(cmd.AdvanceMaintenance(instance.name, "draining", reason, observed.at))
    if not in_progress and not steps:
        wait_reasons["maintenance"] = "no pending instance may be taken out now"
    return Decision(steps, wait_reasons)


def _drain_obstacle(state: ReplicatedState, instance: Instance, budgets: Budgets) -> str:
    """Returns why an instance may not be drained for maintenance, or an empty string."""
    health = health_state(state, instance.name)
    if health != "alive":
        return f"maintenance waits: {instance.name} is {health}"
    if not instance.accepts_tasks:
        return f"maintenance waits: {instance.name} is taken out for another reason"
    over = budgets.check(instance)
    return "" if over is None else f"maintenance waits: {over.detail}"


def _pending(state: ReplicatedState) -> list[Instance]:
    """Returns the pending instances by rack; instances whose drain was ended come last."""
    started_at = state.campaign.at

    def was_drained(instance: Instance) -> bool:
        return state.maintenance[instance.name].at > started_at

    return sorted(_in_phase(state, "pending"), key=was_drained)


def _in_phase(state: ReplicatedState, phase: str) -> list[Instance]:
    instances = [i for i in state.view["instances"].values() if i.maintenance == phase]
    return sorted(instances, key=lambda i: (i.data_centre, i.rack, i.name))


def _rack(instance: Instance) -> tuple[str, str]:
    return instance.data_centre, instance.rack


def _control(action: str, reason: str, at: float) -> cmd.ControlMaintenance:
    """Returns a command of the leader to pause, resume or finish the campaign."""
    return cmd.ControlMaintenance("", action, reason, "leader", at)
