"""Configuration of the consensus protocol, and what a `RaftNode` hands to its caller."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

__all__ = ["Outgoing", "RaftConfig", "Ready", "SnapshotImage", "replica_name"]


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timeouts and limits of the consensus protocol; times in seconds of a monotonic clock."""

    election_min_s: float = 1.0
    election_max_s: float = 2.0
    heartbeat_s: float = 0.25
    # The minimum election timeout minus 1% clock drift and a margin for scheduling delays.
    leader_lease_s: float = 0.9
    max_batch_entries: int = 256  # entries per message
    max_batch_bytes: int = 1024 * 1024  # a quarter of the maximum frame size
    snapshot_chunk_bytes: int = 256 * 1024
    resend_interval_s: float = 1.0  # unacknowledged entries are sent again after this time
    # Log entries retained before a snapshot, so that a slightly lagging follower can catch up
    # without a snapshot transfer.
    trailing_entries: int = 512
    # A voter that replied within this time is not replaced by a learner.
    replace_after_s: float = 5.0
    # With this many voters, a learner is promoted only in place of an unresponsive voter; 0 for no
    # limit.
    max_voters: int = 0


class Outgoing(NamedTuple):
    """A message and the id of its destination replica."""

    to: str
    message: Any


class SnapshotImage(NamedTuple):
    """A serialized snapshot of the state machine, with the last log position that it includes."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


@dataclass(slots=True)
class Ready:
    """Work for the caller after one or more calls to the node.

    Attributes:
        records: Journal records to persist.
        snapshot: Snapshot received from the leader, to install before `records` are written.
        immediate: Messages that can be sent without waiting for a sync.
        after_sync: Messages to send once `records` and `snapshot` are on disk.
    """

    records: list[Any] = field(default_factory=list)
    snapshot: SnapshotImage | None = None
    immediate: list[Outgoing] = field(default_factory=list)
    after_sync: list[Outgoing] = field(default_factory=list)


def replica_name(replica_id: str) -> str:
    """Returns the name of a replica's controller: its id up to the last dot."""
    return replica_id.rpartition(".")[0]
