"""Operators' restrictions that an entry applies on top of its configuration view.

A restriction withdraws a key, takes a data centre out of service or drains a target. It is pending
until the entry's view contains it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from geraniumtrack.protocol.restriction_messages import Restriction

__all__ = ["MAX_RESTRICTIONS", "Restrictions"]

MAX_RESTRICTIONS = 10_000  # pending at once; further ones are refused
MAX_RESOLVED = 10_000  # resolved operations kept, so that late copies of them are not added again


class Restrictions:
    """Pending restrictions by operation id, and the latest resolved ones.

    A restriction is resolved once the view contains it or the controllers have refused it.

    Attributes:
        revision: Increases whenever the set of restrictions may have changed.
    """

    def __init__(self) -> None:
        self._pending: dict[str, Restriction] = {}
        self._restricted_names: set[tuple[str, str]] = set()
        self._resolved: OrderedDict[str, Restriction] = OrderedDict()
        self._version = 0
        self.revision = 0

    def add(self, restriction: Restriction) -> bool:
        """Adds a restriction, or stores the committed version of a pending one.

        Does nothing if the operation is already resolved.

        Returns:
            Whether the restriction is pending or contained in the view. It is neither if too many
            are pending or if the controllers have refused the operation, see `refused`.
        """
        if restriction.operation_id in self._resolved:
            return not self.refused(restriction.operation_id)
        if restriction.operation_id not in self._pending and len(self._pending) >= MAX_RESTRICTIONS:
            return False
        existing = self._pending.get(restriction.operation_id, restriction)
        version = max(existing.version, restriction.version)
        self._pending[restriction.operation_id] = replace(existing, version=version)
        self.view_installed(self._version)
        return True

    def view_installed(self, version: int) -> None:
        """Removes the restrictions that are contained in a view of this version."""
        self._version = version
        for restriction in list(self._pending.values()):
            if 0 < restriction.version <= version:
                self._resolve(restriction)
        self.revision += 1
        self._restricted_names = {
            (restriction.kind, restriction.name) for restriction in self._pending.values()
        }

    def discard(self, operation_id: str) -> None:
        """Removes a restriction that the controllers refused, such as one of an unknown key."""
        restriction = self._pending.get(operation_id)
        if restriction is not None:
            self._resolve(restriction)
            self.view_installed(self._version)

    def is_restricted(self, kind: str, name: str) -> bool:
        """Whether a pending restriction of this kind applies to a key, data centre or target."""
        return (kind, name) in self._restricted_names

    def pending(self) -> list[Restriction]:
        """Returns the restrictions that the view does not contain yet."""
        return list(self._pending.values())

    def find_committed(self, operation_ids: list[str]) -> list[Restriction]:
        """Returns those restrictions of some operations that the view contains.

        Pending restrictions and refused ones are left out.
        """
        resolved = [self._resolved.get(operation_id) for operation_id in operation_ids]
        return [restriction for restriction in resolved if restriction and restriction.version]

    def in_force(self, operation_id: str) -> bool:
        """Whether the restriction of an operation is pending or contained in the view."""
        resolved = self._resolved.get(operation_id)
        return operation_id in self._pending or (resolved is not None and resolved.version > 0)

    def refused(self, operation_id: str) -> bool:
        """Whether the controllers have refused the restriction of an operation."""
        resolved = self._resolved.get(operation_id)
        return resolved is not None and not resolved.version

    def _resolve(self, restriction: Restriction) -> None:
        del self._pending[restriction.operation_id]
        self._resolved[restriction.operation_id] = restriction
        while len(self._resolved) > MAX_RESOLVED:
            self._resolved.popitem(last=False)


if __name__ == "__main__":
    restrictions = Restrictions()
    restrictions.add(Restriction("op1", "key", "acme-1"))
    print(restrictions.is_restricted("key", "acme-1"))
    restrictions.add(Restriction("op1", "key", "acme-1", version=7))
    restrictions.view_installed(7)
    print(restrictions.is_restricted("key", "acme-1"), restrictions.pending())
