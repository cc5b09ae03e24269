"""Membership of targets, learned from their announcements."""

from __future__ import annotations

from dataclasses import dataclass, replace

from geraniumtrack.protocol.codec import message

__all__ = ["Announcement", "KnownTarget", "TargetTable"]

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 10.0


@message
@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself each second."""

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
    """A target and when it was last heard, in seconds of the local clock."""

    announcement: Announcement
    heard_at: float

    def state(self, now: float) -> str:
        """Returns `alive`, `suspect`, `leaving` or `dead`."""
        age = now - self.heard_at
        if age > DEAD_AFTER_S:
            return "dead"
        if age > SUSPECT_AFTER_S:
            return "suspect"
        return "leaving" if self.announcement.leaving else "alive"


class TargetTable:
    """All targets heard of, by name.

    Attributes:
        revision: Grows whenever a target may have become usable or changed otherwise.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._targets: dict[str, KnownTarget] = {}

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Takes an announcement.

        Returns:
            Whether it was taken: not if a newer incarnation is known.
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

    def mark_silent(self, name: str, now: float) -> None:
        """Makes a target suspect at once, after its connections failed."""
        known = self._targets.get(name)
        if known is not None:
            self._targets[name] = replace(
                known, heard_at=min(known.heard_at, now - SUSPECT_AFTER_S)
            )

    def all(self) -> list[KnownTarget]:
        """Returns all targets."""
        return list(self._targets.values())


def _changed(known: KnownTarget, said: Announcement) -> bool:
    before = known.announcement
    return (before.address, before.slots, before.rack, before.data_centre, before.leaving) != (
        said.address,
        said.slots,
        said.rack,
        said.data_centre,
        said.leaving,
    )
