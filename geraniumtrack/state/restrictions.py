"""Restrictions that an entry holds beside its configuration view. They only narrow it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from geraniumtrack.protocol.restriction_messages import Restriction

__all__ = ["MAX_RESTRICTIONS", "Restrictions"]

MAX_RESTRICTIONS = 10_000  # held at once; further ones are refused
MAX_RESOLVED = 10_000  # operations remembered, so that late copies of them are not held again


class Restrictions:
    """Restrictions by operation, each held until the view is at a version that contains it.

    Attributes:
        revision: Grows whenever what is restricted may have changed.
    """

    def __init__(self) -> None:
        self._held: dict[str, Restriction] = {}
        self._names: set[tuple[str, str]] = set()
        self._resolved: OrderedDict[str, Restriction] = OrderedDict()
        self._version = 0
        self.revision = 0

    def add(self, restriction: Restriction) -> bool:
        """Takes a restriction, or the version of one that is held.

        Returns:
            Whether it is in force: not if there are too many.
        """
        resolved = self._resolved.get(restriction.operation_id)
        if resolved is not None:
            return True
        if restriction.operation_id not in self._held and len(self._held) >= MAX_RESTRICTIONS:
            return False
        known = self._held.get(restriction.operation_id, restriction)
        version = max(known.version, restriction.version)
        self._held[restriction.operation_id] = replace(known, version=version)
        self.view_at(self._version)
        return True

    def view_at(self, version: int) -> None:
        """Drops the restrictions that a view of this version contains."""
        self._version = version
        for restriction in list(self._held.values()):
            if 0 < restriction.version <= version:
                self._resolve(restriction)
        self.revision += 1
        self._names = {(held.kind, held.name) for held in self._held.values()}

    def refused(self, operation_id: str) -> None:
        """Drops a restriction that the controllers refused, such as one of an unknown key."""
        restriction = self._held.get(operation_id)
        if restriction is not None:
            self._resolve(restriction)
            self.view_at(self._version)

    def covers(self, kind: str, name: str) -> bool:
        """Whether something is restricted."""
        return (kind, name) in self._names

    def held(self) -> list[Restriction]:
        """Returns the restrictions that the view does not contain yet."""
        return list(self._held.values())

    def resolved(self, operation_ids: list[str]) -> list[Restriction]:
        """Returns those of some operations that are known to be committed."""
        found = [self._resolved.get(operation_id) for operation_id in operation_ids]
        return [restriction for restriction in found if restriction and restriction.version]

    def in_force(self, operation_id: str) -> bool:
        """Whether an operation is held, or was contained in the view when it was dropped."""
        resolved = self._resolved.get(operation_id)
        return operation_id in self._held or (resolved is not None and resolved.version > 0)

    def _resolve(self, restriction: Restriction) -> None:
        del self._held[restriction.operation_id]
        self._resolved[restriction.operation_id] = restriction
        while len(self._resolved) > MAX_RESOLVED:
            self._resolved.popitem(last=False)


if __name__ == "__main__":
    restrictions = Restrictions()
    restrictions.add(Restriction("op1", "key", "acme-1"))
    print(restrictions.covers("key", "acme-1"))
    restrictions.add(Restriction("op1", "key", "acme-1", version=7))
    restrictions.view_at(7)
    print(restrictions.covers("key", "acme-1"), restrictions.held())
