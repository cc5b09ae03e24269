"""Table of the known targets, built from their announcements."""

from __future__ import annotations

from dataclasses import dataclass, replace

from geraniumtrack.protocol.codec import message

__all__ = ["Announcement", "KnownTarget", "TargetTable"]

SUSPECT_AFTER_S = 3.0  # without an announcement; targets announce themselves each second
DEAD_AFTER_S = 10.0  # without an announcement


@message
@dataclass(frozen=True, slots=True)
class Announcement:
    """Status that a target announces each second."""

    name: str
    data_centre: str
    rack: str
    address: str
    pool: str
    slots: int
    connections: int
    incarnation: int
    leaving: bool = False
    running: tuple[str, ...] = ()
    usage: float = 0.0


@dataclass(frozen=True, slots=True)
class KnownTarget:
    """A target as of its last announcement.

    Attributes:
        announcement: The last announcement.
        heard_at: Time at which it arrived, in seconds of the local clock.
        failed: Whether a connection to the target has failed since then.
    """

    announcement: Announcement
    heard_at: float
    failed: bool = False

    def state(self, now: float) -> str:
        """Returns `alive`, `suspect`, `leaving` or `dead`."""
        age = now - self.heard_at
        if age > DEAD_AFTER_S:
            return "dead"
        if self.failed or age > SUSPECT_AFTER_S:
            return "suspect"
        return "leaving" if self.announcement.leaving else "alive"


class TargetTable:
    """All targets that have announced themselves, by name.

    Attributes:
        revision: Number that grows whenever a target may have become usable or has changed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._targets: dict[str, KnownTarget] = {}

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Stores an announcement.

        Returns:
            Whether it was stored; it is rejected if a newer incarnation is known.
        """
        known = self._targets.get(announcement.name)
        if known is not None and known.announcement.incarnation > announcement.incarnation:
            return False
        if known is None or known.state(now) != "alive" or _changed(known, announcement):
            self.revision += 1
        self._targets[announcement.name] = KnownTarget(announcement, now)
        return True

    def get(self, name: str) -> KnownTarget | None:
        """Returns a target by name."""
        return self._targets.get(name)

    def mark_suspect(self, name: str, now: float) -> None:
        """Marks a target as suspect without delay, because its connections failed."""
        known = self._targets.get(name)
        if known is not None:
            self._targets[name] = replace(
                known, heard_at=min(known.heard_at, now - SUSPECT_AFTER_S), failed=True
            )

    def all(self) -> list[KnownTarget]:
        """Returns all targets."""
        return list(self._targets.values())


def _changed(known: KnownTarget, announcement: Announcement) -> bool:
    before = known.announcement
    return (before.address, before.slots, before.rack, before.data_centre, before.leaving) != (
        announcement.address,
        announcement.slots,
        announcement.rack,
        announcement.data_centre,
        announcement.leaving,
    )
