"""Division of each team's upper limit among entries, decided by the leading controller.

An entry may run at most its allotment of a team. Moving slots from one entry to another takes two
steps: the holder lowers its ceiling and its allotment shrinks; only then does the other's grow.
When the entries want more than the limit, each is due a max-min fair part of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from geraniumtrack.state.commands import SetAllotment
from geraniumtrack.state.records import Team

__all__ = ["Division", "Renewal", "divide", "fair_parts"]

MIN_HEADROOM = 2  # tasks granted beyond the wish, so that each new request needs no commit
STARVED_PART = 0.75  # an entry with less of its part than this has others give some back


class Renewal(NamedTuple):
    """What an entry said last."""

    entry: str
    session: str
    sequence: int
    wanted: dict[str, int]
    ceilings: dict[str, int]


class Division(NamedTuple):
    """Decisions on one team.

    Attributes:
        changes: Commands that shrink what is given back and grow what is wanted.
        reclaim: By entry: tasks to which it is asked to come down.
    """

    changes: list[SetAllotment]
    reclaim: dict[str, int]


def divide(
    team: str,
    *,
    limit: int,
    held: dict[str, int],
    sequences: dict[str, int],
    renewals: Iterable[Renewal],
    waiting: Iterable[str] = (),
) -> Division:
    """Decides on the allotments of one team.

    Args:
        team: Its name.
        limit: Its upper limit in tasks.
        held: Tasks by holder.
        sequences: By entry: renewal on which the last change of its allotment rests.
        renewals: Last renewals of the entries. Other holders keep what they have.
        waiting: Entries that have had nothing for long, the longest first.
    """
    renewals = {renewal.entry: renewal for renewal in renewals}
    wanted = {entry: renewal.wanted.get(team, 0) for entry, renewal in renewals.items()}
    kept = sum(amount for holder, amount in held.items() if holder not in renewals)
    parts = fair_parts(limit - kept, wanted, first=waiting)
    free = max(0, limit - sum(held.values()))
    spare = max(0, limit - kept - sum(parts.values()))
    missing = {entry: part - held.get(entry, 0) for entry, part in parts.items()}
    starved = any(
        lack > 0 and held.get(entry, 0) < STARVED_PART * parts[entry]
        for entry, lack in missing.items()
    )
    contested = starved and sum(lack for lack in missing.values() if lack > 0) > free
    over = sum(held.values()) > limit
    changes, reclaim = [], {}
    for entry in sorted(renewals, key=lambda name: (held.get(name, 0), name)):
        have, part, renewal = held.get(entry, 0), parts[entry], renewals[entry]
        if part < have and (contested or over):
            reclaim[entry] = part
        amount = _shrunk(have, part, renewal, team, entry in reclaim)
        if amount is None and wanted[entry] > have and free:
            headroom = min(spare // len(renewals), max(MIN_HEADROOM, part // 2))
            amount = have + min(free, max(0, part + headroom - have))
            free -= amount - have
            amount = amount if amount > have or _is_lowered(renewal, team, have) else None
        elif amount is None and _is_lowered(renewal, team, have):
            amount = have
        last = sequences.get(entry, 0)
        fresh = renewal.sequence > last or (renewal.sequence == last and (amount or 0) > have)
        if amount is not None and fresh:
            changes.append(
                SetAllotment(team, entry, renewal.session, amount, renewal.sequence, have)
            )
    return Division(changes, reclaim)


def fair_parts(limit: int, wanted: dict[str, int], *, first: Iterable[str] = ()) -> dict[str, int]:
    """Divides a limit by max-min fairness.

    Args:
        limit: Tasks to divide.
        wanted: Tasks by entry.
        first: Entries that come first where the limit does not suffice for one task each.
    """
    parts = dict.fromkeys(wanted, 0)
    left = max(0, limit)
    rank = {entry: position for position, entry in enumerate(first)}
    order = sorted(wanted, key=lambda name: (rank.get(name, len(rank)), name))
    unmet = [entry for entry in order if wanted[entry] > 0]
    while left and unmet:
        step = max(1, left // len(unmet))
        for entry in unmet:
            given = min(step, wanted[entry] - parts[entry], left)
            parts[entry] += given
            left -= given
        unmet = [entry for entry in unmet if parts[entry] < wanted[entry]]
    return parts


def team_limit(team: Team | None) -> int:
    """Returns the upper limit of a team; a team that is no longer declared has none to run."""
    return team.limit if team is not None else 0


def _is_lowered(renewal: Renewal, team: str, have: int) -> bool:
    return renewal.ceilings.get(team, have) < have


def _shrunk(have: int, part: int, renewal: Renewal, team: str, reclaimed: bool) -> int | None:
    """Returns the smaller allotment that the entry agreed to, or None if it shall keep its own.

    An entry that lowered its ceiling and has new work since keeps what it has; the new sequence
    then tells it that it may raise the ceiling again.
    """
    ceiling = renewal.ceilings.get(team, have)
    want = renewal.wanted.get(team, 0)
    if ceiling >= have:
        return None
    if reclaimed:
        return max(ceiling, part)
    return ceiling if want <= ceiling else None


if __name__ == "__main__":
    busy = Renewal("e1a", "s1", 7, {"acme": 9}, {})
    idle = Renewal("e2a", "s2", 4, {"acme": 2}, {})
    print(
        divide("acme", limit=8, held={"e1a": 8}, sequences={"e1a": 5}, renewals=[busy, idle]),
    )
