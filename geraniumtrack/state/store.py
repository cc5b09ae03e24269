"""The data folder of a controller, with its identity, snapshot and journal."""

from __future__ import annotations

import contextlib
import json
import os
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from geraniumtrack.errors import CodecError, JournalCorrupt, SettingsError
from geraniumtrack.protocol.codec import decode, encode
from geraniumtrack.state.journal import (
    OTHER_VERSION_REMEDY,
    REJOIN_REMEDY,
    AppendEntry,
    HardState,
    Journal,
    LogEntry,
    TruncateFrom,
    frame,
    sync_folder,
)

__all__ = ["ReplicaIdentity", "Recovered", "Store", "init_folder", "snapshot_errors"]

IDENTITY_FILE = "identity.json"
SNAPSHOT_FILE = "snapshot"
OWN_SNAPSHOT_FILE = "snapshot.own"  # written, but not yet adopted
JOURNAL_FILE = "journal"


@dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """The replica to which a data folder belongs.

    `first_voters` is empty unless the folder was created by `init_folder`. A replica without first
    voters joins the cluster as a learner.
    """

    replica_id: str
    first_voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Recovered:
    """The content of a data folder after a restart."""

    hard_state: HardState
    snapshot_index: int
    snapshot_term: int
    voters: tuple[str, ...]
    snapshot: bytes | None
    entries: list[LogEntry]


def init_folder(folder: Path, *, name: str, peers: list[str]) -> ReplicaIdentity:
    """Creates the data folder of one of the first voters of a cluster.

    Args:
        folder: The data folder.
        name: Name of the controller.
        peers: Names of all first voters, including this one.

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
    """Reads and writes a data folder. Methods that write block until the data is synced."""

    def __init__(self, folder: Path, *, name: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self.identity = _read_or_create_identity(folder, name)
        self._journal = Journal(folder / JOURNAL_FILE)

    def recover(self) -> Recovered:
        """Reads the snapshot and the journal.

        Raises:
            JournalCorrupt: If the journal is missing, empty, damaged before its last batch or
                contains an unknown record, if the snapshot does not match its checksum or was
                written by another version, or if log entries after the snapshot are missing.
        """
        self._require_journal()
        snapshot = self._read_snapshot()
        hard_state = HardState(0, "")
        entries: dict[int, LogEntry] = {}
        for record in self._journal.recover():
            if isinstance(record, HardState):
                hard_state = record
            elif isinstance(record, AppendEntry):
                entries[record.entry.index] = record.entry
            elif isinstance(record, TruncateFrom):
                entries = {i: e for i, e in entries.items() if i < record.index}
        index = snapshot["index"] if snapshot else 0
        at_snapshot = entries.get(index)
        if snapshot and at_snapshot is not None and at_snapshot.term != snapshot["term"]:
            # The process crashed after writing a snapshot from the leader and before replacing the
            # journal, whose log entries conflict with the snapshot.
            entries = {}
        remaining = [entries[i] for i in sorted(entries) if i > index]
        if remaining and remaining[0].index != index + 1:
            raise JournalCorrupt(
                f"{self._folder} has a gap after log entry {index}",
                remedy=REJOIN_REMEDY,
            )
        return Recovered(
            hard_state=hard_state,
            snapshot_index=index,
            snapshot_term=snapshot["term"] if snapshot else 0,
            voters=snapshot["voters"] if snapshot else self.identity.first_voters,
            snapshot=snapshot["data"] if snapshot else None,
            entries=remaining,
        )

    def append(self, records: list) -> None:
        """Appends one batch of records to the journal and syncs it."""
        self._journal.append(records)

    def install_snapshot(
        self, *, index: int, term: int, voters: tuple[str, ...], data: bytes, keep: list
    ) -> None:
        """Writes a snapshot from the leader, then replaces the journal.

        Args:
            index: Index of the last log entry that the snapshot contains.
            term: Term of that entry.
            voters: Voters at that entry.
            data: Encoded state.
            keep: Journal records that are still needed.
        """
        body = encode({"index": index, "term": term, "voters": voters, "data": data})
        _write_file(self._folder / SNAPSHOT_FILE, frame(body))
        self._journal.replace(keep)

    def write_snapshot(
        self, index: int, term: int, voters: tuple[str, ...], state: dict[str, Any]
    ) -> tuple[int, int, tuple[str, ...], bytes]:
        """Encodes a snapshot of this replica and writes it to a file of its own.

        The current snapshot stays until `adopt_snapshot`. The journal may be written meanwhile.

        Args:
            index: Index of the last log entry that the snapshot contains.
            term: Term of that entry.
            voters: Voters at that entry.
            state: The captured state.

        Returns:
            Index, term, voters and the encoded state.
        """
        data = encode(state)
        body = encode({"index": index, "term": term, "voters": voters, "data": data})
        _write_file(self._folder / OWN_SNAPSHOT_FILE, frame(body))
        return index, term, voters, data

    def adopt_snapshot(self, keep: list) -> None:
        """Makes the last written snapshot the current one and replaces the journal.

        Args:
            keep: Journal records that are still needed.
        """
        os.replace(self._folder / OWN_SNAPSHOT_FILE, self._folder / SNAPSHOT_FILE)
        sync_folder(self._folder)
        self._journal.replace(keep)

    def close(self) -> None:
        """Closes the journal."""
        self._journal.close()

    def _require_journal(self) -> None:
        """Raises JournalCorrupt if the journal is missing or empty.

        Without its recorded votes, the replica could vote a second time in the same term.
        """
        path = self._folder / JOURNAL_FILE
        if not path.exists() or path.stat().st_size == 0:
            raise JournalCorrupt(f"{path} is missing or empty", remedy=REJOIN_REMEDY)

    def _read_snapshot(self) -> dict | None:
        path = self._folder / SNAPSHOT_FILE
        if not path.exists():
            return None
        reader = Journal(path)
        body = reader.read_single()
        with snapshot_errors(str(path)):
            snapshot = decode(body)
            return {
                "index": int(snapshot["index"]),
                "term": int(snapshot["term"]),
                "voters": tuple(snapshot["voters"]),
                "data": bytes(snapshot["data"]),
            }


@contextlib.contextmanager
def snapshot_errors(name: str) -> Iterator[None]:
    """Raises JournalCorrupt for the errors of reading a snapshot that another version wrote.

    Args:
        name: What is read, for the message.
    """
    try:
        yield
    except (CodecError, LookupError, TypeError, ValueError, AttributeError) as exc:
        detail = exc.message if isinstance(exc, CodecError) else repr(exc)
        raise JournalCorrupt(
            f"{name} cannot be read by this version: {detail}", remedy=OTHER_VERSION_REMEDY
        ) from exc


def _read_or_create_identity(folder: Path, name: str) -> ReplicaIdentity:
    path = folder / IDENTITY_FILE
    if not path.exists():
        return _write_identity(folder, ReplicaIdentity(f"{name}.{uuid.uuid4().hex[:12]}", ()))
    try:
        body = json.loads(path.read_text())
        identity = ReplicaIdentity(body["replica_id"], tuple(body["first_voters"]))
    except (ValueError, KeyError, TypeError) as exc:
        raise JournalCorrupt(f"{path} is damaged: {exc!r}", remedy=REJOIN_REMEDY) from exc
    if body["replica_id"].rpartition(".")[0] != name:
        raise SettingsError(
            f"data folder {folder} belongs to {body['replica_id']!r}, not {name!r}",
            remedy="correct data_folder or name in the settings",
        )
    return identity


def _write_identity(folder: Path, identity: ReplicaIdentity) -> ReplicaIdentity:
    folder.mkdir(parents=True, exist_ok=True)
    # The journal is written first, so that a folder with an identity always has one.
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
