"""An entry's copy of the configuration view, which never goes back to an older version."""

from __future__ import annotations

import hashlib
from typing import Any

from geraniumtrack.sentinels import Absent
from geraniumtrack.state.records import VIEW_SECTIONS, DataCentre, Instance, Pool, Queue, Team

__all__ = ["ConfigView", "key_digest"]


def key_digest(key: str) -> bytes:
    """Returns the digest under which a key is stored; the key itself is never kept."""
    return hashlib.sha256(key.encode()).digest()


class ConfigView:
    """Records of the configuration view at one version, plus direct restrictions."""

    def __init__(self) -> None:
        self.version = 0
        self.sections: dict[str, dict[str, Any]] = {section: {} for section in VIEW_SECTIONS}
        self._by_digest: dict[bytes, Any] = {}

    @property
    def ready(self) -> bool:
        """Whether a configuration has been received."""
        return self.version > 0

    def install(self, *, since: int, version: int, delta: dict[str, Any]) -> bool:
        """Installs the changes between two versions.

        Args:
            since: Version on which the changes build.
            version: Version that they lead to.
            delta: Changed records and removed names, as `ReplicatedState.delta` gives them.

        Returns:
            Whether they were installed: not if they are older than what is held, or leave a gap.
        """
        if version <= self.version or since > self.version:
            return False
        for section, records in delta.get("changed", {}).items():
            for record in records:
                name = record.key_id if section == "keys" else record.name
                held = self.sections[section].get(name)
                if held is None or held.modified < record.modified:
                    self.sections[section][name] = record
        for section, names in delta.get("removed", {}).items():
            for name in names:
                self.sections[section].pop(name, None)
        self.version = version
        self._by_digest = {key.digest: key for key in self.sections["keys"].values()}
        return True

    def delta(self, since: int) -> dict[str, Any]:
        """Returns the records changed after a version, for a peer that holds that version.

        Names removed are not known here, so only a peer without a view is answered this way.
        """
        changed = {
            section: [r for r in records.values() if r.modified > since]
            for section, records in self.sections.items()
        }
        return {"changed": changed, "removed": {}}

    def team_of(self, key: str) -> Team | Absent:
        """Finds the team of an active key.

        Returns:
            The team, or a sentinel whose reason is `missing_key` or `unknown_key`.
        """
        if not key:
            return Absent("missing_key", "send the team's key as Authorization: Bearer <key>")
        record = self._by_digest.get(key_digest(key))
        if record is None or not record.active:
            return Absent("unknown_key", "the key is unknown or withdrawn; ask the operators")
        team = self.sections["teams"].get(record.team)
        if team is None:
            return Absent("unknown_key", "the key's team is not declared; ask the operators")
        return team

    def queue(self, name: str) -> Queue | Absent:
        """Finds a queue by name, or a sentinel whose reason is `unknown_queue`."""
        queue = self.sections["queues"].get(name)
        if queue is None:
            return Absent("unknown_queue", f"queue {name!r} is not declared; check the name")
        return queue

    def pool(self, name: str) -> Pool | None:
        """Returns a pool, or None if it is not declared."""
        return self.sections["pools"].get(name)

    def instance(self, name: str) -> Instance | None:
        """Returns an instance, or None if it was never admitted."""
        return self.sections["instances"].get(name)

    def in_service(self, data_centre: str) -> bool:
        """Whether tasks may start in a data centre. An undeclared one is not in service."""
        record: DataCentre | None = self.sections["data_centres"].get(data_centre)
        return record is not None and record.in_service
