"""An entry's authority: the time since a leader with a valid lease last confirmed its session.

All times are in seconds of the entry's monotonic clock. A confirmation is dated at the time its
request was sent, so that the entry never assumes more recent contact than it had. A confirmation
names the leader's version of the configuration view and counts only once the entry has installed
this version, because a key may have been withdrawn in it.
"""

from __future__ import annotations

__all__ = ["Authority"]

MAX_PENDING_CONFIRMATIONS = 64  # confirmations kept until their view version is installed


class Authority:
    """Tracks confirmations of an entry's session and the resulting lease.

    Args:
        clock_drift: Upper bound on the relative drift between this clock and the leader's.
    """

    def __init__(self, *, clock_drift: float) -> None:
        self._drift_factor = 1 + clock_drift
        self._confirmed_at = float("-inf")
        self._lease_ends = float("-inf")
        self._view_version = 0
        # View version that each pending confirmation requires, and the time of the confirmation.
        self._pending: list[tuple[int, float]] = []

    def record_confirmation(self, *, sent_at: float, lease_s: float, version: int) -> None:
        """Records that the leader confirmed a renewal of this entry's session.

        Args:
            sent_at: When the renewal was sent.
            lease_s: Duration of the lease by the leader's clock.
            version: The leader's version of the configuration view.
        """
        self._lease_ends = max(self._lease_ends, sent_at + lease_s / self._drift_factor)
        self._add_confirmation(sent_at, version)

    def record_relayed(self, *, asked_at: float, age_s: float, version: int) -> None:
        """Records the authority of a peer entry.

        Relayed authority allows this entry to accept keys, but does not extend its session lease,
        so that it cannot start tasks under its allotments.

        Args:
            asked_at: When the peer was asked.
            age_s: Age of the peer's authority when it answered.
            version: The peer's version of the configuration view.
        """
        self._add_confirmation(asked_at - age_s * self._drift_factor, version)

    def set_view_version(self, version: int) -> None:
        """Records that the entry has installed a version of the configuration view."""
        self._view_version = max(self._view_version, version)
        now_valid = [
            confirmed_at
            for required_version, confirmed_at in self._pending
            if required_version <= self._view_version
        ]
        self._pending = [
            confirmation for confirmation in self._pending if confirmation[0] > self._view_version
        ]
        self._confirmed_at = max([self._confirmed_at, *now_valid])

    def end_session(self) -> None:
        """Ends the session lease; a new session must be confirmed before it has one."""
        self._lease_ends = float("-inf")

    def age(self, now: float) -> float:
        """Returns an upper bound on the seconds since the last confirmation that counts."""
        return (now - self._confirmed_at) * self._drift_factor

    def session_valid(self, now: float) -> bool:
        """Whether the lease of this entry's session is valid."""
        return now < self._lease_ends

    def _add_confirmation(self, confirmed_at: float, required_version: int) -> None:
        self._pending.append((required_version, confirmed_at))
        del self._pending[:-MAX_PENDING_CONFIRMATIONS]
        self.set_view_version(self._view_version)


if __name__ == "__main__":
    authority = Authority(clock_drift=0.01)
    authority.record_confirmation(sent_at=10.0, lease_s=5.0, version=3)
    print(authority.age(12.0), authority.session_valid(14.9), authority.session_valid(15.0))
    authority.set_view_version(3)
    print(authority.age(12.0))
