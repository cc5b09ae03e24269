"""Allotments: the number of tasks of a team that each entry may run at once.

The leading controller divides each team's task limit among the entries. Slots are moved between
entries in two steps: the current holder lowers its ceiling and its allotment is reduced; only then
is the other entry's allotment increased. If the total demand exceeds the limit, it is divided by
max-min fairness.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from geraniumtrack.state.commands import SetAllotment
from geraniumtrack.state.records import Team

__all__ = ["AllotmentPlan", "Renewal", "max_min_shares", "plan_allotments"]

# Minimum slots allotted beyond the demand if there are spare ones, so that not every new request
# needs a commit.
MIN_HEADROOM = 2
# Slots are reclaimed from other entries if an entry has less than this fraction of its fair share.
STARVATION_THRESHOLD = 0.75


class Renewal(NamedTuple):
    """Demand and ceilings from an entry's latest session renewal.

    Attributes:
        entry: Name of the entry.
        session: Id of its session.
        sequence: Number of the renewal within the session.
        wanted: Tasks running or queued, by team.
        ceilings: Number of tasks that the entry will not exceed, for teams whose allotment may be
            reduced.
    """

    entry: str
    session: str
    sequence: int
    wanted: dict[str, int]
    ceilings: dict[str, int]


class AllotmentPlan(NamedTuple):
    """Allotment changes for one team.

    Attributes:
        changes: Commands that set allotments. One that sets the current amount records the
            renewal's sequence, which allows the entry to lift its ceiling.
        reclaim: Number of tasks that an entry is asked to reduce its allotment to, by entry.
    """

    changes: list[SetAllotment]
    reclaim: dict[str, int]


def plan_allotments(
    team: str,
    *,
    limit: int,
    held: dict[str, int],
    sequences: dict[str, int],
    renewals: Iterable[Renewal],
    precedence: Iterable[str] = (),
) -> AllotmentPlan:
    """Plans the allotments of one team.

    Args:
        team: Name of the team.
        limit: The team's limit, in tasks.
        held: Current allotment of the team, by entry.
        sequences: Sequence of the renewal that the last change of the allotment was based on, by
            entry.
        renewals: Latest renewals of the entries. Entries without a renewal keep their allotment.
        precedence: Entries in order of precedence for slots that cannot be divided evenly, with or
            without an allotment; those not listed come last.
    """
    renewals = {renewal.entry: renewal for renewal in renewals}
    wanted = {entry: renewal.wanted.get(team, 0) for entry, renewal in renewals.items()}
    unavailable = sum(amount for holder, amount in held.items() if holder not in renewals)
    fair_shares = max_min_shares(limit - unavailable, wanted, precedence=precedence)
    free = max(0, limit - sum(held.values()))
    spare = max(0, limit - unavailable - sum(fair_shares.values()))
    deficits = {entry: fair_share - held.get(entry, 0) for entry, fair_share in fair_shares.items()}
    starved = any(
        deficit > 0 and held.get(entry, 0) < STARVATION_THRESHOLD * fair_shares[entry]
        for entry, deficit in deficits.items()
    )
    contested = starved and sum(deficit for deficit in deficits.values() if deficit > 0) > free
    over_limit = sum(held.values()) > limit
    changes, reclaim = [], {}
    for entry in sorted(renewals, key=lambda name: (held.get(name, 0), name)):
        current, fair_share, renewal = held.get(entry, 0), fair_shares[entry], renewals[entry]
        if fair_share < current and (contested or over_limit):
            reclaim[entry] = fair_share
        amount = _reduced_allotment(current, fair_share, renewal, team, entry in reclaim)
        if amount is None and wanted[entry] > current and free:
            headroom = min(spare // len(renewals), max(MIN_HEADROOM, fair_share // 2))
            amount = current + min(free, max(0, fair_share + headroom - current))
            free -= amount - current
            amount = (
                amount if amount > current or _has_lowered_ceiling(renewal, team, current) else None
            )
        elif amount is None and _has_lowered_ceiling(renewal, team, current):
            amount = current
        last_sequence = sequences.get(entry, 0)
        is_newer = renewal.sequence > last_sequence or (
            renewal.sequence == last_sequence and (amount or 0) > current
        )
        if amount is not None and is_newer:
            changes.append(
                SetAllotment(team, entry, renewal.session, amount, renewal.sequence, current)
            )
    return AllotmentPlan(changes, reclaim)


def max_min_shares(
    limit: int, wanted: dict[str, int], *, precedence: Iterable[str] = ()
) -> dict[str, int]:
    """Divides a task limit among entries by max-min fairness.

    Args:
        limit: Number of tasks to divide.
        wanted: Demand in tasks, by entry.
        precedence: Entries in order of precedence for slots that cannot be divided evenly; those
            not listed come last.

    Returns:
        Fair share of each entry, in tasks.
    """
    fair_shares = dict.fromkeys(wanted, 0)
    remaining = max(0, limit)
    positions = {entry: position for position, entry in enumerate(precedence)}
    order = sorted(wanted, key=lambda name: (positions.get(name, len(positions)), name))
    unmet = [entry for entry in order if wanted[entry] > 0]
    while remaining and unmet:
        step = max(1, remaining // len(unmet))
        for entry in unmet:
            granted = min(step, wanted[entry] - fair_shares[entry], remaining)
            fair_shares[entry] += granted
            remaining -= granted
        unmet = [entry for entry in unmet if fair_shares[entry] < wanted[entry]]
    return fair_shares


def team_limit(team: Team | None) -> int:
    """Returns the task limit of a team; 0 for a team that is no longer declared."""
    return team.limit if team is not None else 0


def _has_lowered_ceiling(renewal: Renewal, team: str, current: int) -> bool:
    return renewal.ceilings.get(team, current) < current


def _reduced_allotment(
    current: int, fair_share: int, renewal: Renewal, team: str, reclaimed: bool
) -> int | None:
    """Returns the reduced allotment that the entry agreed to, or None if there is no reduction.

    An entry that lowered its ceiling but has new demand keeps its allotment. It is then committed
    again with the renewal's sequence, which allows the entry to lift its ceiling.
    """
    ceiling = renewal.ceilings.get(team, current)
    demand = renewal.wanted.get(team, 0)
    if ceiling >= current:
        return None
    if reclaimed:
        return max(ceiling, fair_share)
    return ceiling if demand <= ceiling else None


if __name__ == "__main__":
    busy = Renewal("e1a", "s1", 7, {"acme": 9}, {})
    idle = Renewal("e2a", "s2", 4, {"acme": 2}, {})
    print(
        plan_allotments(
            "acme", limit=8, held={"e1a": 8}, sequences={"e1a": 5}, renewals=[busy, idle]
        ),
    )
