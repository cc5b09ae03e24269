"""The data folder of a controller: identity, snapshot and journal."""

from __future__ import annotations

import json
import os
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from geraniumtrack.errors import JournalCorrupt, SettingsError
from geraniumtrack.protocol.codec import decode, encode
from geraniumtrack.state.journal import (
    REJOIN,
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
OWN_SNAPSHOT_FILE = "snapshot.own"  # written, but not yet in force
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
        self._require_journal()
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
        at_snapshot = entries.get(index)
        if image and at_snapshot is not None and at_snapshot.term != image["term"]:
            # A crash came between a snapshot from the leader and the journal that goes with it.
            entries = {}
        kept = [entries[i] for i in sorted(entries) if i > index]
        if kept and kept[0].index != index + 1:
            raise JournalCorrupt(
                f"{self._folder} has a gap after entry {index}",
                remedy=REJOIN,
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

    def install_snapshot(
        self, *, index: int, term: int, voters: tuple[str, ...], data: bytes, keep: list
    ) -> None:
        """Writes a snapshot, then a journal of only the records that are still needed."""
        body = encode({"index": index, "term": term, "voters": voters, "data": data})
        _write_file(self._folder / SNAPSHOT_FILE, frame(body))
        self._journal.replace(keep)

    def write_snapshot(
        self, index: int, term: int, voters: tuple[str, ...], state: dict[str, Any]
    ) -> tuple[int, int, tuple[str, ...], bytes]:
        """Encodes and writes a snapshot beside the one in force; the journal may be in use.

        Returns:
            Index, term, voters and the encoded state.
        """
        data = encode(state)
        body = encode({"index": index, "term": term, "voters": voters, "data": data})
        _write_file(self._folder / OWN_SNAPSHOT_FILE, frame(body))
        return index, term, voters, data

    def adopt_snapshot(self, keep: list) -> None:
        """Puts the snapshot last written in force, with a journal of the records still needed."""
        os.replace(self._folder / OWN_SNAPSHOT_FILE, self._folder / SNAPSHOT_FILE)
        sync_folder(self._folder)
        self._journal.replace(keep)

    def close(self) -> None:
        """Closes the journal."""
        self._journal.close()

    def _require_journal(self) -> None:
        """Refuses a folder with an identity but no journal.

        Its replica would vote again in terms in which it has voted already.
        """
        path = self._folder / JOURNAL_FILE
        if not path.exists() or path.stat().st_size == 0:
            raise JournalCorrupt(f"{path} is missing or empty", remedy=REJOIN)

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
    try:
        body = json.loads(path.read_text())
        identity = ReplicaIdentity(body["replica_id"], tuple(body["first_voters"]))
    except (ValueError, KeyError, TypeError) as exc:
        raise JournalCorrupt(f"{path} is damaged: {exc!r}", remedy=REJOIN) from exc
    if body["replica_id"].rpartition(".")[0] != name:
        raise SettingsError(
            f"data folder {folder} belongs to {body['replica_id']!r}, not {name!r}",
            remedy="correct data_folder or name in the settings",
        )
    return identity


def _write_identity(folder: Path, identity: ReplicaIdentity) -> ReplicaIdentity:
    folder.mkdir(parents=True, exist_ok=True)
    # The journal comes first: a folder with an identity always has one.
    _write_file(folder / JOURNAL_FILE, frame(encode([HardState(0, "")])))
    body = {"replica_id": identity.replica_id, "first_voters": identity.first_voters}
    _write_file(folder / IDENTITY_FILE, json.dumps(body).encode())
    return identity


def _write_file(path: Path, data: bytes) -> None:
    temporary = path.with_name(f"{path.name}.new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)
