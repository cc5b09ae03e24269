"""Sessions of entries, as the leading controller sees them.

A session is closed, and its allotments become free, only after its lease and then the leases of its
tasks have run out, each widened by the clock drift bound.
"""

from __future__ import annotations

from geraniumtrack.coordination.allotments import Renewal
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state.records import Session

__all__ = ["SessionTable", "Turns"]

TURN_S = 1.0  # an entry without a task of a team waits this long before it takes one's place


class SessionTable:
    """Times of the last renewals. Times are in seconds of the leader's monotonic clock.

    Args:
        cfg: Settings of the controller.
        now: When this controller began to lead; earlier renewals are not known to it.
    """

    def __init__(self, *, cfg: ControllerSettings, now: float) -> None:
        self._cfg = cfg
        self._started_at = now
        self._renewed_at: dict[str, float] = {}
        self._closing: set[str] = set()
        self._said: dict[str, Renewal] = {}
        self.turns = Turns()

    def heard(self, renewal: Renewal) -> None:
        """Notes what an entry says of its tasks, unless it said something later before."""
        last = self._said.get(renewal.entry)
        if last is None or last.session != renewal.session or last.sequence < renewal.sequence:
            self._said[renewal.entry] = renewal

    def renewed(self, session: str, now: float) -> bool:
        """Notes that a renewal is about to be confirmed.

        Returns:
            Whether it may be: not once the session is being closed.
        """
        if session in self._closing:
            return False
        self._renewed_at[session] = now
        return True

    def renewals(self, sessions: dict[str, Session]) -> list[Renewal]:
        """Returns the last renewals of the sessions that are open."""
        return [
            said
            for entry, said in self._said.items()
            if entry in sessions and sessions[entry].session == said.session
        ]

    def begin_close(self, session: str) -> None:
        """Notes that a session is about to be closed; it is not renewed any more."""
        self._closing.add(session)

    def ended(self, session: str) -> None:
        """Forgets a closed session."""
        self._renewed_at.pop(session, None)
        self._closing.discard(session)

    def to_close(self, sessions: dict[str, Session], now: float) -> list[Session]:
        """Returns the sessions whose allotments can no longer be in use."""
        leases = self._cfg.session_lease_s + self._cfg.task_lease_s
        limit = leases * (1 + self._cfg.clock_drift)
        return [
            session
            for session in sessions.values()
            if now - self._renewed_at.get(session.session, self._started_at) > limit
            and session.session not in self._closing
        ]


class Turns:
    """Who comes first where a team's limit does not suffice for one task per entry."""

    def __init__(self) -> None:
        self._since: dict[tuple[str, str], tuple[bool, float]] = {}

    def order(
        self, team: str, *, held: dict[str, int], renewals: list[Renewal], now: float
    ) -> list[str]:
        """Returns entries: those that have waited long, then those whose turn began last."""
        waiting, holding = [], []
        for renewal in renewals:
            key = (team, renewal.entry)
            has = held.get(renewal.entry, 0) > 0
            if not has and not renewal.wanted.get(team, 0):
                self._since.pop(key, None)
                continue
            state, since = self._since.get(key, (not has, now))
            if state != has:
                since = now
            self._since[key] = (has, since)
            if has:
                holding.append((-since, renewal.entry))
            elif now - since >= TURN_S:
                waiting.append((since, renewal.entry))
        return [entry for _, entry in sorted(waiting) + sorted(holding)]
