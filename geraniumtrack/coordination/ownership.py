"""Which entry dispatches to the targets of a pool in a data centre: rendezvous hashing.

Every entry computes the same owner from the same live entries, without the controllers, so that a
data centre that is cut off goes on. Source: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from geraniumtrack.coordination.peers import LiveEntry

__all__ = ["HOLD_OFF_S", "Ownership", "owner_of"]

HOLD_OFF_S = 3.0  # after the former dispatcher was last heard


def owner_of(pool: str, entries: Iterable[str]) -> str | None:
    """Returns the entry with the highest hash for a pool, or None without entries."""
    return max(entries, key=lambda name: (_weight(pool, name), name), default=None)


def _weight(pool: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{pool}\x00{entry}".encode(), digest_size=8).digest()


class Ownership:
    """Pools that one entry dispatches, and the hold-off before it begins. Pure: time is passed in.

    Two dispatchers of one pool cost refused slots and nothing else, so the hold-off only has to
    make that rare.

    Args:
        name: The entry.
        data_centre: Its data centre.
        peers: Names of the other entries that are set up in this data centre.
        now: Clock value in seconds when the entry began to gossip.
        hold_off_s: Time after the former dispatcher was last heard.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        peers: Iterable[str],
        now: float,
        hold_off_s: float = HOLD_OFF_S,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._unheard = set(peers)
        self._peers = set(peers)
        self._began = now
        self._hold_off_s = hold_off_s
        self._since: dict[str, float] = {}

    def restart(self, now: float) -> None:
        """Waits as after a start, because this process was frozen and knows no live peers."""
        self._began = now
        self._unheard = set(self._peers)
        self._since.clear()

    def owner(self, pool: str, heard: Iterable[LiveEntry], now: float) -> str:
        """Returns the entry of this data centre that dispatches to a pool.

        Args:
            pool: The pool.
            heard: Last gossip of every other entry, however old.
            now: Clock value in seconds.
        """
        names = [self._name]
        for entry in heard:
            if entry.data_centre != self._data_centre:
                continue
            self._unheard.discard(entry.name)
            if entry.gossip.ready and now - entry.heard_at <= self._hold_off_s:
                names.append(entry.name)
        return owner_of(pool, names)

    def may_dispatch(self, pool: str, heard: list[LiveEntry], now: float) -> bool:
        """Whether this entry owns a pool and its hold-off is over."""
        if self.owner(pool, heard, now) != self._name:
            self._since.pop(pool, None)
            return False
        if self._unheard and now - self._began < self._hold_off_s:
            return False
        since = self._since.setdefault(pool, now)
        if now - since >= self._hold_off_s:
            return True
        return not any(self._dispatches(entry, pool, now) for entry in heard)

    def _dispatches(self, entry: LiveEntry, pool: str, now: float) -> bool:
        """Whether a peer that has not left says that it still dispatches a pool."""
        live = entry.gossip.ready and now - entry.heard_at <= self._hold_off_s
        return live and entry.data_centre == self._data_centre and pool in entry.gossip.loads


if __name__ == "__main__":
    print(owner_of("proofs", ["e1a", "e1b"]), owner_of("proofs", ["e1b"]))
