"""An entry's authority: how recently a leader under its lease confirmed the entry's session.

All times are seconds of the entry's monotonic clock. A renewal counts from the moment its request
was sent, so the result is never newer than the truth.
"""

from __future__ import annotations

__all__ = ["Authority"]


class Authority:
    """Tracks confirmed renewals.

    Args:
        clock_drift: Bound on the relative drift between this clock and the leader's.
    """

    def __init__(self, *, clock_drift: float) -> None:
        self._slower = 1 + clock_drift
        self._confirmed_at = float("-inf")
        self._lease_ends = float("-inf")

    def confirmed(self, *, sent_at: float, lease_s: float) -> None:
        """Notes a confirmed renewal of the own session."""
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._lease_ends = max(self._lease_ends, sent_at + lease_s / self._slower)

    def relayed(self, *, asked_at: float, age_s: float) -> None:
        """Notes the authority of a peer, which was `age_s` old when it answered.

        It serves to accept keys, not to start tasks under the own allotments.
        """
        self._confirmed_at = max(self._confirmed_at, asked_at - age_s * self._slower)

    def session_ended(self) -> None:
        """Notes that the own session was closed; a later one must be confirmed anew."""
        self._lease_ends = float("-inf")

    def age(self, now: float) -> float:
        """Returns the time since the last confirmation, in seconds."""
        return (now - self._confirmed_at) * self._slower

    def session_valid(self, now: float) -> bool:
        """Whether the own session's lease still runs."""
        return now < self._lease_ends


if __name__ == "__main__":
    authority = Authority(clock_drift=0.01)
    authority.confirmed(sent_at=10.0, lease_s=5.0)
    print(authority.age(12.0), authority.session_valid(14.9), authority.session_valid(15.0))
