"""An entry's authority: how recently a leader under its lease confirmed the entry's session.

All times are seconds of the entry's monotonic clock. A renewal counts from the moment its request
was sent, so the result is never newer than the truth. A confirmation that names a version of the
configuration view counts only once the entry holds this version, because a key may have been
withdrawn in it.
"""

from __future__ import annotations

__all__ = ["Authority"]

MAX_PENDING = 64  # confirmations that wait for their version of the view


class Authority:
    """Tracks confirmed renewals.

    Args:
        clock_drift: Bound on the relative drift between this clock and the leader's.
    """

    def __init__(self, *, clock_drift: float) -> None:
        self._slower = 1 + clock_drift
        self._confirmed_at = float("-inf")
        self._lease_ends = float("-inf")
        self._held = 0
        self._pending: list[tuple[int, float]] = []

    def confirmed(self, *, sent_at: float, lease_s: float, version: int) -> None:
        """Notes a confirmed renewal of the own session, and the leader's view version."""
        self._lease_ends = max(self._lease_ends, sent_at + lease_s / self._slower)
        self._note(sent_at, version)

    def relayed(self, *, asked_at: float, age_s: float, version: int) -> None:
        """Notes the authority of a peer, which was `age_s` old when it answered.

        It serves to accept keys, not to start tasks under the own allotments.
        """
        self._note(asked_at - age_s * self._slower, version)

    def holds(self, version: int) -> None:
        """Notes that the entry holds this version of the configuration view."""
        self._held = max(self._held, version)
        ready = [at for needed, at in self._pending if needed <= self._held]
        self._pending = [item for item in self._pending if item[0] > self._held]
        self._confirmed_at = max([self._confirmed_at, *ready])

    def session_ended(self) -> None:
        """Notes that the own session was closed; a later one must be confirmed anew."""
        self._lease_ends = float("-inf")

    def age(self, now: float) -> float:
        """Returns the time since the last confirmation, in seconds."""
        return (now - self._confirmed_at) * self._slower

    def session_valid(self, now: float) -> bool:
        """Whether the own session's lease still runs."""
        return now < self._lease_ends

    def _note(self, at: float, version: int) -> None:
        self._pending.append((version, at))
        del self._pending[:-MAX_PENDING]
        self.holds(self._held)


if __name__ == "__main__":
    authority = Authority(clock_drift=0.01)
    authority.confirmed(sent_at=10.0, lease_s=5.0, version=3)
    print(authority.age(12.0), authority.session_valid(14.9), authority.session_valid(15.0))
    authority.holds(3)
    print(authority.age(12.0))
