"""The data folder of a controller: identity, snapshot and journal."""

from __future__ import annotations

import json
import os
import uuid
from dataclasses import dataclass
from pathlib import Path

from geraniumtrack.errors import JournalCorrupt, SettingsError
from geraniumtrack.protocol.codec import decode, encode
from geraniumtrack.state.journal import (
    AppendEntry,
    HardState,
    Journal,
    LogEntry,
    TruncateFrom,
    frame,
    sync_folder,
)

__all__ = ["ReplicaIdentity", "Recovered", "Store", "init_folder"]

IDENTITY_FILE = "identity.json"
SNAPSHOT_FILE = "snapshot"
JOURNAL_FILE = "journal"


@dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """Who a data folder belongs to.

    `first_voters` is empty unless the folder was made by `init-controller`; a replica without
    first voters joins as a learner.
    """

    replica_id: str
    first_voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Recovered:
    """What a data folder holds after a restart."""

    hard_state: HardState
    snapshot_index: int
    snapshot_term: int
    voters: tuple[str, ...]
    snapshot: bytes | None
    entries: list[LogEntry]


def init_folder(folder: Path, *, name: str, peers: list[str]) -> ReplicaIdentity:
    """Creates the data folder of one of the first voters.

    Raises:
        SettingsError: If the folder is already in use.
    """
    if (folder / IDENTITY_FILE).exists():
        raise SettingsError(
            f"data folder {folder} is already in use", remedy="start the controller, or empty it"
        )
    voters = tuple(f"{peer}.0" for peer in sorted(peers))
    return _write_identity(folder, ReplicaIdentity(f"{name}.0", voters))


class Store:
    """Reads and writes one data folder. Its methods block until the data is synced."""

    def __init__(self, folder: Path, *, name: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self.identity = _read_identity(folder, name)
        self._journal = Journal(folder / JOURNAL_FILE)

    def recover(self) -> Recovered:
        """Reads snapshot and journal.

        Raises:
            JournalCorrupt: If either was damaged after it was synced.
        """
        image = self._read_snapshot()
        hard_state = HardState(0, "")
        entries: dict[int, LogEntry] = {}
        for record in self._journal.recover():
            if isinstance(record, HardState):
                hard_state = record
            elif isinstance(record, AppendEntry):
                entries[record.entry.index] = record.entry
            elif isinstance(record, TruncateFrom):
                entries = {i: e for i, e in entries.items() if i < record.index}
        index = image["index"] if image else 0
        kept = [entries[i] for i in sorted(entries) if i > index]
        if kept and kept[0].index != index + 1:
            raise JournalCorrupt(
                f"{self._folder} has a gap after entry {index}",
                remedy="empty the data folder and start the controller again to rejoin",
            )
        return Recovered(
            hard_state=hard_state,
            snapshot_index=index,
            snapshot_term=image["term"] if image else 0,
            voters=image["voters"] if image else self.identity.first_voters,
            snapshot=image["data"] if image else None,
            entries=kept,
        )

    def append(self, records: list) -> None:
        """Appends one batch to the journal and syncs it."""
        self._journal.append(records)

    def save_snapshot(
        self, *, index: int, term: int, voters: tuple[str, ...], data: bytes, keep: list
    ) -> None:
        """Writes a snapshot, then a journal of only the records that are still needed."""
        body = encode({"index": index, "term": term, "voters": voters, "data": data})
        _write_file(self._folder / SNAPSHOT_FILE, frame(body))
        self._journal.replace(keep)

    def close(self) -> None:
        """Closes the journal."""
        self._journal.close()

    def _read_snapshot(self) -> dict | None:
        path = self._folder / SNAPSHOT_FILE
        if not path.exists():
            return None
        reader = Journal(path)
        body = reader.read_single()
        image = decode(body)
        image["voters"] = tuple(image["voters"])
        return image


def _read_identity(folder: Path, name: str) -> ReplicaIdentity:
    path = folder / IDENTITY_FILE
    if not path.exists():
        return _write_identity(folder, ReplicaIdentity(f"{name}.{uuid.uuid4().hex[:12]}", ()))
    body = json.loads(path.read_text())
    if body["replica_id"].rpartition(".")[0] != name:
        raise SettingsError(
            f"data folder {folder} belongs to {body['replica_id']!r}, not {name!r}",
            remedy="correct data_folder or name in the settings",
        )
    return ReplicaIdentity(body["replica_id"], tuple(body["first_voters"]))


def _write_identity(folder: Path, identity: ReplicaIdentity) -> ReplicaIdentity:
    folder.mkdir(parents=True, exist_ok=True)
    body = {"replica_id": identity.replica_id, "first_voters": identity.first_voters}
    _write_file(folder / IDENTITY_FILE, json.dumps(body).encode())
    return identity


def _write_file(path: Path, data: bytes) -> None:
    temporary = path.with_suffix(".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)
