"""The leading controller's record of entry sessions and of their latest renewals.

Closing a session frees its allotments. A session is closed only once its lease and then the leases
of its tasks must have expired, with both durations extended by the bound on clock drift.
"""

from __future__ import annotations

from geraniumtrack.coordination.limits.allotments import Renewal
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state.records import Session

__all__ = ["EntryRotation", "SessionTable"]

# An entry with work of a team but no allotment waits this long before it takes precedence over
# entries that have one.
ROTATION_WAIT_S = 1.0


class SessionTable:
    """Renewals of entry sessions since this controller became leader.

    All times are in seconds of the leader's monotonic clock.

    Args:
        cfg: Settings of the controller.
        now: When this controller became leader. It has no record of earlier renewals, so a session
            without a renewal counts as renewed at this time.
    """

    def __init__(self, *, cfg: ControllerSettings, now: float) -> None:
        self._cfg = cfg
        self._started_at = now
        self._renewed_at: dict[str, float] = {}
        self._closing: set[str] = set()
        self._last_renewals: dict[str, Renewal] = {}
        self.rotation = EntryRotation()

    def record_renewal(self, renewal: Renewal) -> None:
        """Stores a renewal, unless a newer one of the same session is already stored."""
        previous = self._last_renewals.get(renewal.entry)
        if (
            previous is None
            or previous.session != renewal.session
            or previous.sequence < renewal.sequence
        ):
            self._last_renewals[renewal.entry] = renewal

    def mark_renewed(self, session: str, now: float) -> bool:
        """Records the time of a renewal that is about to be confirmed.

        Returns:
            False if the session is being closed, so that the renewal must not be confirmed.
        """
        if session in self._closing:
            return False
        self._renewed_at[session] = now
        return True

    def renewals(self, sessions: dict[str, Session]) -> list[Renewal]:
        """Returns the latest renewal of each open session."""
        return [
            renewal
            for entry, renewal in self._last_renewals.items()
            if entry in sessions and sessions[entry].session == renewal.session
        ]

    def mark_closing(self, session: str) -> None:
        """Marks a session as being closed, so that it is no longer renewed."""
        self._closing.add(session)

    def remove(self, session: str) -> None:
        """Removes a closed session."""
        self._renewed_at.pop(session, None)
        self._closing.discard(session)

    def expired(self, sessions: dict[str, Session], now: float) -> list[Session]:
        """Returns the sessions to close, whose allotments can no longer be in use."""
        lease_s = self._cfg.session_lease_s + self._cfg.task_lease_s
        expiry_s = lease_s * (1 + self._cfg.clock_drift)
        return [
            session
            for session in sessions.values()
            if now - self._renewed_at.get(session.session, self._started_at) > expiry_s
            and session.session not in self._closing
        ]


class EntryRotation:
    """Rotates allotments among entries when a team's limit is less than one task per entry."""

    def __init__(self) -> None:
        self._state_since: dict[tuple[str, str], tuple[bool, float]] = {}

    def order(
        self, team: str, *, held: dict[str, int], renewals: list[Renewal], now: float
    ) -> list[str]:
        """Returns entries in order of precedence for one team.

        Entries that have waited for at least `ROTATION_WAIT_S` come first, the longest wait first.
        Entries with an allotment follow, the most recent one first, so that the entry that has had
        one for longest loses it first.
        """
        waiting, holding = [], []
        for renewal in renewals:
            key = (team, renewal.entry)
            has_allotment = held.get(renewal.entry, 0) > 0
            if not has_allotment and not renewal.wanted.get(team, 0):
                self._state_since.pop(key, None)
                continue
            was_allotted, since = self._state_since.get(key, (not has_allotment, now))
            if was_allotted != has_allotment:
                since = now
            self._state_since[key] = (has_allotment, since)
            if has_allotment:
                holding.append((-since, renewal.entry))
            elif now - since >= ROTATION_WAIT_S:
                waiting.append((since, renewal.entry))
        return [entry for _, entry in sorted(waiting) + sorted(holding)]
