"""Messages between controllers: Raft, as published by Ongaro and Ousterhout, with pre-vote.

Replicas are identified by replica id, `<controller name>.<suffix>`. The suffix changes when a
controller has lost its data folder.

Fields that several messages share: `sender` is the replica id of the sender, `term` its term unless
stated otherwise, and `last_index` and `last_term` are the index and term of the last entry in its
log.
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
    """Log command that sets the voters, by replica id, starting from its own log entry."""

    voters: tuple[str, ...]


@message
@dataclass(frozen=True, slots=True)
class PreVote:
    """Asks whether the sender could win an election in `term`, without starting one."""

    sender: str
    term: int
    last_index: int
    last_term: int


@message
@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Replies to a `PreVote` for the term `asked_term`; `term` is the current term of the voter."""

    sender: str
    term: int
    asked_term: int
    granted: bool


@message
@dataclass(frozen=True, slots=True)
class RequestVote:
    """Asks for a vote in the election of `term`."""

    sender: str
    term: int
    last_index: int
    last_term: int


@message
@dataclass(frozen=True, slots=True)
class VoteReply:
    """Replies to a `RequestVote`; sent only after the vote is stored on disk."""

    sender: str
    term: int
    granted: bool


@message
@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Replicates the log entries after `prev_index`; a heartbeat if there are none.

    Attributes:
        sender: Replica id of the leader.
        to: Replica id of the receiver. After a controller has lost its data folder, the process
            with its name is a different replica, which must ignore the message.
        term: Term of the leader.
        prev_index: Index of the log entry before `entries`.
        prev_term: Term of the log entry before `entries`.
        entries: Log entries to append.
        commit: Commit index of the leader. It is 0 in a heartbeat that is sent while entries are in
            flight; such a heartbeat also has `prev_index` 0, which matches any log.
        sent_at: Clock value of the leader in seconds when it sent the message.
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
    """Replies to `AppendEntries` and `InstallSnapshot`.

    Attributes:
        sender: Replica id of the sender.
        term: Term of the sender.
        ok: Whether the log of the sender matches that of the leader up to `match`.
        match: If `ok`, the last index up to which the log is on disk and equal to the leader's;
            otherwise the `prev_index` that the leader should try next.
        sent_at: The value of the request, returned unchanged.
    """

    sender: str
    term: int
    ok: bool
    match: int
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """One part of a snapshot, for a replica that needs entries no longer in the leader's log.

    A snapshot is sent in parts because it may be larger than the maximum frame size.

    Attributes:
        sender: Replica id of the leader.
        to: Replica id of the receiver.
        term: Term of the leader.
        index: Index of the last log entry that the snapshot includes.
        index_term: Term of that log entry.
        voters: Voters by replica id, as of that log entry.
        offset: Position of `data` in the snapshot, in bytes.
        total: Size of the whole snapshot in bytes.
        data: Bytes of this part.
        sent_at: Clock value of the leader in seconds when it sent the message.
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
    """Replies to an `InstallSnapshot` after which the snapshot is still incomplete.

    `received` is the number of bytes received so far, which is the offset of the next part.
    """

    sender: str
    term: int
    index: int
    received: int
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class JoinCluster:
    """Asks the leader to bring the sender up to date and then make it a voter.

    A replica sends it to all controllers while it is not a voter or knows no leader. The sender
    may be a former voter with its old id: it was removed while it was unreachable, so no leader
    sends to it any more. The leader ignores the message if the sender is a voter already.
    """

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
