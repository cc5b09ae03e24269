"""Ownership of pools: the entry of a data centre that dispatches to a pool, by rendezvous hashing.

Every entry computes the same owner from the same live entries. No controller is involved, so that a
data centre that is cut off from them continues to dispatch. Source: Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from geraniumtrack.coordination.entries.peers import KnownEntry

__all__ = ["HOLD_OFF_S", "Ownership", "owner_of"]

# Longest wait of a new owner; also the age of its last gossip after which a peer is not live.
HOLD_OFF_S = 3.0


def owner_of(pool: str, entries: Iterable[str]) -> str | None:
    """Returns the entry with the highest hash for a pool, or None if there are no entries."""
    return max(entries, key=lambda name: (_weight(pool, name), name), default=None)


def _weight(pool: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{pool}\x00{entry}".encode(), digest_size=8).digest()


class Ownership:
    """Decides to which pools one entry dispatches. It does no I/O; time is passed in.

    A new owner waits for a hold-off period before it dispatches. Two entries that dispatch to one
    pool at the same time only cause refusals by targets without a free slot, so the hold-off has to
    make that rare, not impossible.

    Args:
        name: The entry.
        data_centre: Its data centre.
        local_peers: Names of the other entries configured in this data centre.
        now: Clock value in seconds when the entry began to gossip.
        hold_off_s: Hold-off of a new owner in seconds; a peer whose gossip is older is not
            considered live.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        local_peers: Iterable[str],
        now: float,
        hold_off_s: float = HOLD_OFF_S,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._unheard_peers = set(local_peers)
        self._local_peers = set(local_peers)
        self._started_at = now
        self._hold_off_s = hold_off_s
        self._owner_since: dict[str, float] = {}

    def restart_hold_off(self, now: float) -> None:
        """Starts the hold-off of all pools again.

        Called at the start, and after the process was frozen, because it then knows no live peers.
        """
        self._started_at = now
        self._unheard_peers = set(self._local_peers)
        self._owner_since.clear()

    def owner(self, pool: str, others: Iterable[KnownEntry], now: float) -> str:
        """Returns the entry of this data centre that dispatches to a pool.

        Args:
            pool: The pool.
            others: Last gossip of every other entry, of any age.
            now: Clock value in seconds.
        """
        names = [self._name]
        for entry in others:
            if entry.data_centre != self._data_centre:
                continue
            if entry.heard_at >= self._started_at:
                self._unheard_peers.discard(entry.name)
            if entry.gossip.ready and now - entry.heard_at <= self._hold_off_s:
                names.append(entry.name)
        return owner_of(pool, names)

    def may_dispatch(self, pool: str, others: list[KnownEntry], now: float) -> bool:
        """Whether this entry owns a pool and its hold-off is over.

        The hold-off after a start ends early once every configured peer has been heard since, and
        that of a new owner once no live peer dispatches to the pool.

        Args:
            pool: The pool.
            others: Last gossip of every other entry, of any age.
            now: Clock value in seconds.
        """
        if self.owner(pool, others, now) != self._name:
            self._owner_since.pop(pool, None)
            return False
        if self._unheard_peers and now - self._started_at < self._hold_off_s:
            return False
        since = self._owner_since.setdefault(pool, now)
        if now - since >= self._hold_off_s:
            return True
        return not any(self._dispatches(entry, pool, now) for entry in others)

    def _dispatches(self, entry: KnownEntry, pool: str, now: float) -> bool:
        """Whether a live peer of this data centre still dispatches to a pool, by its gossip."""
        live = entry.gossip.ready and now - entry.heard_at <= self._hold_off_s
        return live and entry.data_centre == self._data_centre and pool in entry.gossip.loads


if __name__ == "__main__":
    print(owner_of("proofs", ["e1a", "e1b"]), owner_of("proofs", ["e1b"]))
