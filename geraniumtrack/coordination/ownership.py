"""Which entry dispatches to the targets of a pool in a data centre: rendezvous hashing.

Every entry computes the same owner from the same live entries, without the controllers, so that a
data centre that is cut off goes on. Source: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["owner_of"]


def owner_of(pool: str, entries: Iterable[str]) -> str | None:
    """Returns the entry with the highest hash for a pool, or None without entries."""
    return max(entries, key=lambda name: (_weight(pool, name), name), default=None)


def _weight(pool: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{pool}\x00{entry}".encode(), digest_size=8).digest()


if __name__ == "__main__":
    print(owner_of("proofs", ["e1a", "e1b"]), owner_of("proofs", ["e1b"]))
