"""Messages between controllers, after Ongaro and Ousterhout's Raft with pre-vote.

Replicas are named by replica id, `<controller name>.<suffix>`; the suffix changes when a
controller lost its data folder.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from geraniumtrack.protocol.codec import message

__all__ = [
    "AppendEntries",
    "AppendReply",
    "ChangeVoters",
    "InstallSnapshot",
    "JoinCluster",
    "PreVote",
    "PreVoteReply",
    "REPLICA_MESSAGES",
    "RequestVote",
    "SnapshotReceived",
    "VoteReply",
]


@message
@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Log command: the voters from this entry on, by replica id."""

    voters: tuple[str, ...]


@message
@dataclass(frozen=True, slots=True)
class PreVote:
    """Asks whether an election in `term` could be won, without starting it."""

    sender: str
    term: int
    last_index: int
    last_term: int


@message
@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Answers a pre-vote for `asked_term`; `term` is the voter's own."""

    sender: str
    term: int
    asked_term: int
    granted: bool


@message
@dataclass(frozen=True, slots=True)
class RequestVote:
    """Asks for a vote in `term`."""

    sender: str
    term: int
    last_index: int
    last_term: int


@message
@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a vote request; sent only after the vote is on disk."""

    sender: str
    term: int
    granted: bool


@message
@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries after `prev_index`, or a heartbeat.

    `to` is the replica it is meant for: after the loss of a data folder, the process of that name
    is another replica. `sent_at` is the leader's clock in seconds.
    """

    sender: str
    to: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Any, ...]
    commit: int
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers AppendEntries and InstallSnapshot.

    `match` is the last index known to be on disk and equal to the leader's if `ok`, else the index
    at which the leader should try next. `sent_at` echoes the request.
    """

    sender: str
    term: int
    ok: bool
    match: int
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Part of a snapshot for a replica that is behind the leader's log.

    `data` starts at byte `offset` of `total`. A whole snapshot may exceed the largest frame.
    """

    sender: str
    to: str
    term: int
    index: int
    index_term: int
    voters: tuple[str, ...]
    offset: int
    total: int
    data: bytes
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """Answers an InstallSnapshot that leaves the snapshot incomplete.

    `received` is the number of bytes held, where the next part must start.
    """

    sender: str
    term: int
    index: int
    received: int
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class JoinCluster:
    """A replica with a new id asks the leader to bring it up to date and then let it vote."""

    sender: str


REPLICA_MESSAGES = (
    PreVote,
    PreVoteReply,
    RequestVote,
    VoteReply,
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReceived,
    JoinCluster,
)
