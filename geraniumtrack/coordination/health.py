"""Changes of instances' states that the leader records from the entries' reports. Pure."""

from __future__ import annotations

from geraniumtrack.coordination.membership import DEAD_AFTER_S, SUSPECT_AFTER_S
from geraniumtrack.coordination.observed import FleetObservation, ObservedTarget
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Health
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["decide_health"]

_RANK = {"alive": 0, "leaving": 1, "suspect": 2, "failed": 3}
_REASONS = {
    "alive": "announced itself",
    "leaving": "announced that it leaves",
    "suspect": "not heard for some seconds",
    "failed": "not heard for 10 s",
}
_OLDER = "only an older incarnation announces itself; stop that one"


def decide_health(state: ReplicatedState, observed: FleetObservation) -> list[cmd.RecordHealth]:
    """Decides which changes to record.

    Args:
        state: The replicated state.
        observed: What the entries report.
    """
    commands = []
    for name, target in observed.targets.items():
        held = state.health.get(name)
        instance = state.view["instances"].get(name)
        if instance is None or not target.state:
            continue
        if held is not None and target.incarnation < held.incarnation:
            change = _silent(held, target, observed.at)
        else:
            place = (target.data_centre, target.rack)
            change = _heard(held, target, place != (instance.data_centre, instance.rack))
        if change is not None:
            commands.append(_command(name, held, target, change, observed.at))
    return commands


def _heard(held: Health | None, target: ObservedTarget, relocated: bool) -> str | None:
    if held is None:
        return target.state
    unchanged = held.state == target.state and held.incarnation == target.incarnation
    return None if unchanged and not relocated else target.state


def _silent(held: Health, target: ObservedTarget, at: float) -> str | None:
    """Judges an instance of which nothing is heard, or only an older incarnation."""
    state = target.state
    if target.incarnation:
        suspect_for = at - held.at if held.state == "suspect" else 0.0
        gone = held.state == "failed" or suspect_for > DEAD_AFTER_S - SUSPECT_AFTER_S
        state = "failed" if gone else "suspect"
    return state if _RANK[state] > _RANK[held.state] else None


def _command(
    name: str, held: Health | None, target: ObservedTarget, state: str, at: float
) -> cmd.RecordHealth:
    known = held.incarnation if held is not None else 0
    older = 0 < target.incarnation < known
    current = target.incarnation >= known
    return cmd.RecordHealth(
        instance=name,
        state=state,
        incarnation=max(known, target.incarnation),
        data_centre=target.data_centre if current else "",
        rack=target.rack if current else "",
        reason=_OLDER if older else _REASONS[state],
        at=at,
    )
