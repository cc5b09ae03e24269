"""Decides which changes of instance health the leader records from the entries' reports. Pure."""

from __future__ import annotations

from geraniumtrack.coordination.fleet.membership import DEAD_AFTER_S, SUSPECT_AFTER_S
from geraniumtrack.coordination.fleet.observed import FleetObservation, ObservedTarget
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Health
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["decide_health"]

_SEVERITY = {"alive": 0, "leaving": 1, "suspect": 2, "failed": 3}
# Stored with events, so the texts must not change. Silence is counted from one report interval
# after the target was last heard; see `FleetReports`.
_REASONS = {
    "alive": "announced itself",
    "leaving": "announced that it leaves",
    "suspect": "not heard for some seconds",
    "failed": "not heard for 10 s",
}
_OLDER_INCARNATION_REASON = "only an older incarnation announces itself; stop that one"


def decide_health(state: ReplicatedState, observed: FleetObservation) -> list[cmd.RecordHealth]:
    """Returns commands that record the changes of health since the last recorded state.

    Args:
        state: The replicated state.
        observed: Merged reports of the entries.
    """
    commands = []
    for name, target in observed.targets.items():
        recorded = state.health.get(name)
        instance = state.view["instances"].get(name)
        if instance is None or not target.state:
            continue
        if recorded is not None and target.incarnation < recorded.incarnation:
            change = _change_if_not_current(recorded, target, observed.at)
        else:
            location = (target.data_centre, target.rack)
            change = _change_if_current(
                recorded, target, location != (instance.data_centre, instance.rack)
            )
        if change is not None:
            commands.append(_command(name, recorded, target, change, observed.at))
    return commands


def _change_if_current(
    recorded: Health | None, target: ObservedTarget, relocated: bool
) -> str | None:
    """Returns the state to record for an instance, or None for no change.

    For an instance without recorded health, or whose reported incarnation is at least the recorded
    one. Its state may be any, `suspect` and `failed` included.

    Args:
        recorded: The recorded health, if any.
        target: The instance according to the reports.
        relocated: Whether it announces another data centre or rack than the recorded one.
    """
    if recorded is None:
        return target.state
    unchanged = recorded.state == target.state and recorded.incarnation == target.incarnation
    return None if unchanged and not relocated else target.state


def _change_if_not_current(recorded: Health, target: ObservedTarget, at: float) -> str | None:
    """Returns the state to record for an instance, or None for no change.

    For an instance of which no entry reports the recorded incarnation: either no entry reports it
    at all, or only an older incarnation announces itself, which does not show that it is alive.
    Only changes to a more severe state are recorded.

    Args:
        recorded: The recorded health.
        target: The instance according to the reports; its incarnation is 0 if no entry reports it.
        at: Seconds since the epoch.
    """
    state = target.state
    if target.incarnation:
        suspect_for = at - recorded.at if recorded.state == "suspect" else 0.0
        gone = recorded.state == "failed" or suspect_for > DEAD_AFTER_S - SUSPECT_AFTER_S
        state = "failed" if gone else "suspect"
    return state if _SEVERITY[state] > _SEVERITY[recorded.state] else None


def _command(
    name: str, recorded: Health | None, target: ObservedTarget, state: str, at: float
) -> cmd.RecordHealth:
    recorded_incarnation = recorded.incarnation if recorded is not None else 0
    is_older = 0 < target.incarnation < recorded_incarnation
    is_current = target.incarnation >= recorded_incarnation
    return cmd.RecordHealth(
        instance=name,
        state=state,
        incarnation=max(recorded_incarnation, target.incarnation),
        data_centre=target.data_centre if is_current else "",
        rack=target.rack if is_current else "",
        reason=_OLDER_INCARNATION_REASON if is_older else _REASONS[state],
        at=at,
    )
