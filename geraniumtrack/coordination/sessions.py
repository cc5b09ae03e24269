"""Sessions of entries, as the leading controller sees them.

A session is closed, and its allotments become free, only after its lease and then the leases of its
tasks have run out, each widened by the clock drift bound.
"""

from __future__ import annotations

from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state.records import Session

__all__ = ["SessionTable"]


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

    def renewed(self, session: str, now: float) -> None:
        """Notes that a renewal is about to be confirmed."""
        self._renewed_at[session] = now

    def ended(self, session: str) -> None:
        """Forgets a closed session."""
        self._renewed_at.pop(session, None)

    def to_close(self, sessions: dict[str, Session], now: float) -> list[Session]:
        """Returns the sessions whose allotments can no longer be in use."""
        leases = self._cfg.session_lease_s + self._cfg.task_lease_s
        limit = leases * (1 + self._cfg.clock_drift)
        return [
            session
            for session in sessions.values()
            if now - self._renewed_at.get(session.session, self._started_at) > limit
        ]
