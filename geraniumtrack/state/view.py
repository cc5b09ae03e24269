"""An entry's copy of the configuration view, which never returns to an older version."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import Any

from geraniumtrack.protocol.restriction_messages import Restriction
from geraniumtrack.sentinels import Absent
from geraniumtrack.state.records import VIEW_SECTIONS, DataCentre, Instance, Pool, Queue, Team
from geraniumtrack.state.restrictions import Restrictions

__all__ = ["ConfigView", "key_digest"]


def key_digest(key: str) -> bytes:
    """Returns the digest under which a key is stored; the key itself is never stored."""
    return hashlib.sha256(key.encode()).digest()


class ConfigView:
    """The configuration view at one version, and the restrictions that are pending on top of it.

    `team_of`, `instance` and `in_service` apply the pending restrictions.

    Attributes:
        version: Version of the view; 0 before the first one is received.
        sections: Records by section and name, without the pending restrictions.
        restrictions: Restrictions that the view does not contain yet.
    """

    def __init__(self) -> None:
        self.version = 0
        self.sections: dict[str, dict[str, Any]] = {section: {} for section in VIEW_SECTIONS}
        self.restrictions = Restrictions()
        # By section and name: a version at which the name is known to be removed.
        self._removed: dict[str, dict[str, int]] = {section: {} for section in VIEW_SECTIONS}
        self._keys_by_digest: dict[bytes, Any] = {}

    @property
    def ready(self) -> bool:
        """Whether a configuration has been received."""
        return self.version > 0

    def install(self, *, since: int, version: int, delta: dict[str, Any]) -> bool:
        """Installs the changes between two versions.

        Args:
            since: Version to which the changes apply.
            version: Version of the view with the changes.
            delta: Changed records and removed names, as returned by `ReplicatedState.delta`.

        Returns:
            Whether they were installed; False if the view is already at `version` or later, or
            older than `since`.
        """
        if version <= self.version or since > self.version:
            return False
        for section, records in delta.get("changed", {}).items():
            for record in records:
                name = record.key_id if section == "keys" else record.name
                current = self.sections[section].get(name)
                if current is None or current.modified < record.modified:
                    self.sections[section][name] = record
                    self._removed[section].pop(name, None)
        for section, names in delta.get("removed", {}).items():
            for name in names:
                self.sections[section].pop(name, None)
                self._removed[section][name] = version
        self.version = version
        self.restrictions.view_installed(version)
        self._keys_by_digest = {key.digest: key for key in self.sections["keys"].values()}
        return True

    def delta(self, since: int) -> dict[str, Any]:
        """Returns the changes after a version, for a peer whose view has that version.

        A removed name may be listed although the peer has removed it already.
        """
        changed = {
            section: [r for r in records.values() if r.modified > since]
            for section, records in self.sections.items()
        }
        removed = {
            section: [name for name, at in names.items() if at > since]
            for section, names in self._removed.items()
        }
        return {
            "changed": {section: records for section, records in changed.items() if records},
            "removed": {section: names for section, names in removed.items() if names},
        }

    def restrict(self, restriction: Restriction) -> bool:
        """Adds a restriction; returns whether it applies, see `Restrictions.add`."""
        return self.restrictions.add(restriction)

    def team_of(self, key: str) -> Team | Absent:
        """Finds the team of an active key.

        Returns:
            The team, or a sentinel whose reason is `missing_key` or `unknown_key`.
        """
        if not key:
            return Absent("missing_key", "send the team's key as Authorization: Bearer <key>")
        record = self._keys_by_digest.get(key_digest(key))
        if record is None or not record.active or self._restricted("key", record.key_id):
            return Absent("unknown_key", "the key is unknown or withdrawn; ask the operators")
        team = self.sections["teams"].get(record.team)
        if team is None:
            return Absent("unknown_key", "the key's team is not declared; ask the operators")
        return team

    def queue(self, name: str) -> Queue | Absent:
        """Returns a queue, or an Absent with the reason `unknown_queue`."""
        queue = self.sections["queues"].get(name)
        if queue is None:
            return Absent("unknown_queue", f"queue {name!r} is not declared; check the name")
        return queue

    def pool(self, name: str) -> Pool | None:
        """Returns a pool, or None if it is not declared."""
        return self.sections["pools"].get(name)

    def instance(self, name: str) -> Instance | None:
        """Returns an instance, or None if the view does not contain it.

        An instance with a pending restriction is returned as drained.
        """
        instance = self.sections["instances"].get(name)
        if instance is not None and self._restricted("target", name):
            return replace(instance, drained=True)
        return instance

    def in_service(self, data_centre: str) -> bool:
        """Whether tasks may start in a data centre; False if it is undeclared or restricted."""
        record: DataCentre | None = self.sections["data_centres"].get(data_centre)
        if record is None or self._restricted("data_centre", data_centre):
            return False
        return record.in_service

    def _restricted(self, kind: str, name: str) -> bool:
        return self.restrictions.is_restricted(kind, name)
