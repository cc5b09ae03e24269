"""Division of each team's upper limit among entries, decided by the leading controller.

An entry may run at most its allotment of a team. Moving slots from one entry to another takes two
steps: the holder lowers its ceiling and its allotment shrinks; only then does the other's grow.
"""

from __future__ import annotations

from geraniumtrack.state.commands import SetAllotment
from geraniumtrack.state.records import Session, Team

__all__ = ["decide_allotments"]


def decide_allotments(
    *,
    session: Session,
    teams: dict[str, Team],
    allotments: dict[str, dict[str, int]],
    wanted: dict[str, int],
    ceilings: dict[str, int],
) -> list[SetAllotment]:
    """Decides the changes for one entry that has just renewed its session.

    Args:
        session: The entry's session.
        teams: Declared teams by name.
        allotments: Tasks by team and entry.
        wanted: Tasks that the entry could run, by team.
        ceilings: Tasks that the entry will not exceed, by team.

    Returns:
        Commands that shrink what it no longer uses or grow what it wants.
    """
    commands = []
    for name, team in teams.items():
        shares = allotments.get(name, {})
        held = shares.get(session.entry, 0)
        free = max(0, team.limit - sum(shares.values()))
        ceiling = ceilings.get(name, held)
        want = wanted.get(name, 0)
        amount = held
        if want > held:
            amount = held + min(free, want - held)
        elif ceiling < held:
            amount = max(ceiling, 0)
        if amount != held:
            commands.append(SetAllotment(name, session.entry, session.session, amount))
    return commands
