"""Consensus among the controllers: Raft with pre-vote, learners and a leader lease.

`RaftNode` performs no I/O. It accepts messages, proposals and clock values, and `ready` returns the
records to persist and the messages to send. The caller may send the messages in `Ready.after_sync`
only once the records of the same `Ready` are on disk, and then calls `mark_synced`.
`take_committed` returns committed entries in log order and may be called at any time.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014 (elections, pre-vote in 9.6,
single-server membership changes in chapter 4 with the 2015 correction, leases in 6.4.1).
"""

from __future__ import annotations

import random
from functools import singledispatchmethod
from typing import Any

from geraniumtrack.coordination.consensus.raft_leader import RaftLeader
from geraniumtrack.coordination.consensus.raft_log import RaftLog
from geraniumtrack.coordination.consensus.raft_state import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    PRE_CANDIDATE,
)
from geraniumtrack.coordination.consensus.raft_types import (
    Outgoing,
    RaftConfig,
    SnapshotImage,
)
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.state.journal import HardState

__all__ = ["RaftNode"]


class RaftNode(RaftLeader):
    """One Raft replica: its inputs, its elections, and what it does as a follower.

    Args:
        cfg: Timeouts and limits.
        replica_id: Id of this replica.
        now: Monotonic clock value, in seconds.
        rng: Random source for election timeouts.
        hard_state: Term and vote recovered from disk.
        log: Log recovered from disk.
        voters: Voters at the snapshot position, or the initial voters if there is no snapshot.
        snapshot: Snapshot recovered from disk, sent to replicas whose next entry was compacted.
        allowed_names: Names of the controllers that may join; None allows any.
    """

    def __init__(
        self,
        *,
        cfg: RaftConfig,
        replica_id: str,
        now: float,
        rng: random.Random,
        hard_state: HardState | None = None,
        log: RaftLog | None = None,
        voters: tuple[str, ...] = (),
        snapshot: SnapshotImage | None = None,
        allowed_names: tuple[str, ...] | None = (),
    ) -> None:
        self.cfg = cfg
        self.replica_id = replica_id
        self._rng = rng
        self._init_state(hard_state or HardState(0, ""), log or RaftLog(), voters, snapshot)
        self._init_leader(allowed_names, now)
        # Index and term of the snapshot being received.
        self._incoming_position: tuple[int, int] = (0, 0)
        self._incoming_data = bytearray()
        # Before a restart this replica may have acknowledged a leader's lease, so it refuses votes
        # for one minimum election timeout.
        self._last_leader_contact = now
        self._votes: set[str] = set()
        self._reset_election_timer(now)

    # Inputs.

    def tick(self, now: float) -> None:
        """Processes election and heartbeat timers that have expired."""
        if self.role == LEADER:
            self._tick_leader(now)
        elif now >= self._election_due and self.replica_id in self.voters:
            self._start_pre_vote(now)

    def mark_synced(self, now: float) -> None:
        """Records that the latest `Ready` is on disk.

        This can complete an election or advance the commit index.
        """
        self._record_sync()
        if self.role == CANDIDATE:
            self._count_votes(now)
        elif self.role == LEADER:
            self._advance_commit(now)

    def receive(self, message: Any, now: float) -> None:
        """Handles a message from another replica."""
        if getattr(message, "to", self.replica_id) != self.replica_id:
            return
        term = getattr(message, "term", 0)
        # Applies to votes in the current term too: a follower may have learned of a newer term from
        # a delayed reply while the leader's lease still relies on this follower not voting.
        if isinstance(message, msgs.RequestVote) and self._has_recent_leader(now):
            return
        if term > self.term and not isinstance(message, msgs.PreVote | msgs.PreVoteReply):
            self._become_follower(term, now)
        if isinstance(message, msgs.PreVoteReply) and not message.granted and term > self.term:
            self._become_follower(term, now)
        self._handle(message, now)

    # Elections.

    def _start_pre_vote(self, now: float) -> None:
        self.role = PRE_CANDIDATE
        self.leader = ""
        self._votes = {self.replica_id}
        self._reset_election_timer(now)
        request = msgs.PreVote(
            self.replica_id, self.term + 1, self.log.last_index, self.log.last_term
        )
        self._send_to_voters(request)
        self._count_votes(now)

    def _start_election(self, now: float) -> None:
        self.role = CANDIDATE
        self._set_hard_state(self.term + 1, self.replica_id)
        self._votes = {self.replica_id}
        self._reset_election_timer(now)
        request = msgs.RequestVote(
            self.replica_id, self.term, self.log.last_index, self.log.last_term
        )
        # The replica's own vote must be on disk before other replicas can rely on it.
        for voter in self._other_voters():
            self._ready.after_sync.append(Outgoing(voter, request))

    def _count_votes(self, now: float) -> None:
        if len(self._votes & set(self.voters)) < self.quorum:
            return
        if self.role == PRE_CANDIDATE:
            self._start_election(now)
        elif self.role == CANDIDATE and self._synced_term == self.term:
            self._become_leader(now)

    def _has_recent_leader(self, now: float) -> bool:
        if self.role == LEADER:
            return self.lease_valid(now)
        return now < self._last_leader_contact + self.cfg.election_min_s

    def leader_silence_s(self, now: float) -> float:
        """Returns the time in seconds since the last message of another leader."""
        return now - self._last_leader_contact

    def _is_log_up_to_date(self, message: msgs.PreVote | msgs.RequestVote) -> bool:
        candidate_position = (message.last_term, message.last_index)
        return candidate_position >= (self.log.last_term, self.log.last_index)

    # Message handlers.

    @singledispatchmethod
    def _handle(self, message: Any, now: float) -> None:
        raise TypeError(f"unsupported message between controllers: {type(message).__name__}")

    @_handle.register
    def _(self, message: msgs.PreVote, now: float) -> None:
        granted = (
            message.term > self.term
            and not self._has_recent_leader(now)
            and self._is_log_up_to_date(message)
        )
        reply = msgs.PreVoteReply(self.replica_id, self.term, message.term, granted)
        self._ready.immediate.append(Outgoing(message.sender, reply))

    @_handle.register
    def _(self, message: msgs.PreVoteReply, now: float) -> None:
        if self.role != PRE_CANDIDATE or message.asked_term != self.term + 1:
            return
        if message.granted:
            self._votes.add(message.sender)
            self._count_votes(now)

    @_handle.register
    def _(self, message: msgs.RequestVote, now: float) -> None:
        granted = (
            message.term == self.term
            and self.voted_for in ("", message.sender)
            and self._is_log_up_to_date(message)
        )
        # A replica votes even if its own log does not list it as a voter: the configuration change
        # that added it may be committed without it, and its vote may be needed for a majority.
        if granted:
            self.role = FOLLOWER
            self._set_hard_state(self.term, message.sender)
            self._reset_election_timer(now)
        reply = msgs.VoteReply(self.replica_id, self.term, granted)
        self._ready.after_sync.append(Outgoing(message.sender, reply))

    @_handle.register
    def _(self, message: msgs.VoteReply, now: float) -> None:
        if self.role == CANDIDATE and message.term == self.term and message.granted:
            self._votes.add(message.sender)
            self._count_votes(now)

    @_handle.register
    def _(self, message: msgs.AppendEntries, now: float) -> None:
        if message.term < self.term:
            self._reply_append(message, ok=False, match=self.log.last_index)
            return
        self._accept_leader(message.sender, now)
        if self.log.term_at(message.prev_index) != message.prev_term:
            hint = min(message.prev_index - 1, self.log.last_index)
            if message.prev_index >= self.log.snapshot_index:
                self._reply_append(message, ok=False, match=max(hint, self.log.snapshot_index))
                return
        last = self._append_received_entries(message)
        self.commit_index = max(self.commit_index, min(message.commit, last))
        self._reply_append(message, ok=True, match=last)

    @_handle.register
    def _(self, message: msgs.InstallSnapshot, now: float) -> None:
        if message.term < self.term:
            self._reply_append(message, ok=False, match=self.log.last_index)
            return
        self._accept_leader(message.sender, now)
        if message.index <= self.commit_index:
            self._reply_append(message, ok=True, match=message.index)
            return
        if self.log.term_at(message.index) == message.index_term:
            # The log already contains all entries up to the snapshot. Replacing the log would drop
            # later entries that were acknowledged and may be committed.
            self.commit_index = message.index
            self._reply_append(message, ok=True, match=message.index)
            return
        self._receive_snapshot_chunk(message)

    @_handle.register
    def _(self, message: msgs.AppendReply, now: float) -> None:
        self._handle_append_reply(message, now)

    @_handle.register
    def _(self, message: msgs.SnapshotReceived, now: float) -> None:
        self._handle_snapshot_received(message, now)

    @_handle.register
    def _(self, message: msgs.JoinCluster, now: float) -> None:
        self._handle_join(message, now)

    # Follower.

    def _accept_leader(self, leader: str, now: float) -> None:
        self.role = FOLLOWER
        self.leader = leader
        self._last_leader_contact = now
        self._reset_election_timer(now)

    def _reply_append(self, message: Any, *, ok: bool, match: int) -> None:
        reply = msgs.AppendReply(self.replica_id, self.term, ok, match, message.sent_at)
        self._ready.after_sync.append(Outgoing(message.sender, reply))

    def _append_received_entries(self, message: msgs.AppendEntries) -> int:
        last = message.prev_index
        for entry in message.entries:
            last = entry.index
            existing_term = self.log.term_at(entry.index)
            if existing_term == entry.term or entry.index <= self.log.snapshot_index:
                continue
            if existing_term is not None:
                self._truncate_from(entry.index)
            self._append(entry)
        return last

    def _receive_snapshot_chunk(self, message: msgs.InstallSnapshot) -> None:
        if self._incoming_position != (message.index, message.index_term):
            self._incoming_position = (message.index, message.index_term)
            self._incoming_data = bytearray()
        if message.offset == len(self._incoming_data):
            self._incoming_data += message.data
        received = len(self._incoming_data)
        if received < message.total:
            reply = msgs.SnapshotReceived(
                self.replica_id, self.term, message.index, received, message.sent_at
            )
            self._ready.after_sync.append(Outgoing(message.sender, reply))
            return
        self._install_snapshot(message, bytes(self._incoming_data))
        self._incoming_data = bytearray()
        self._reply_append(message, ok=True, match=message.index)
