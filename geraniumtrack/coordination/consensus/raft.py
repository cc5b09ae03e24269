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
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, NamedTuple

from geraniumtrack.coordination.consensus.raft_log import RaftLog
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.state.commands import Noop
from geraniumtrack.state.journal import AppendEntry, HardState, LogEntry, TruncateFrom

__all__ = ["Outgoing", "RaftConfig", "RaftNode", "Ready", "SnapshotImage", "replica_name"]

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "pre_candidate", "candidate", "leader"


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


@dataclass(slots=True)
class _PendingSync:
    """Log position that will be durable when the current sync completes.

    Attributes:
        index: Last log index in the batch; lowered if entries of the batch are truncated before the
            sync completes.
        term: Term of this replica when the batch was taken.
        has_snapshot: Whether the batch contains a snapshot from the leader.
    """

    index: int
    term: int
    has_snapshot: bool = False


@dataclass(slots=True)
class _Progress:
    """Replication progress of one other replica, as tracked by the leader."""

    next_index: int
    match_index: int = 0
    acked_sent_at: float = float("-inf")  # send time of the latest acknowledged message
    last_reply_at: float = float("-inf")  # receipt time of the latest reply
    in_flight: bool = False  # whether entries or a snapshot chunk await a reply
    sent_at: float = float("-inf")
    snapshot: SnapshotImage | None = None  # snapshot being transferred
    offset: int = 0  # bytes of the snapshot that the replica has received


class RaftNode:
    """State of one Raft replica.

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
        self.term = hard_state.term if hard_state else 0
        self.voted_for = hard_state.voted_for if hard_state else ""
        self.log = log or RaftLog()
        self.role = FOLLOWER
        self.leader = ""
        self.commit_index = self.log.snapshot_index
        self.applied_index = self.log.snapshot_index
        self.snapshot = snapshot
        self.allowed_names = allowed_names
        self._synced_index = self.log.last_index
        self._synced_term = self.term
        self._pending_sync = _PendingSync(self._synced_index, self.term)
        self._installing = False
        # Index and term of the snapshot being received.
        self._incoming_position: tuple[int, int] = (0, 0)
        self._incoming_data = bytearray()
        self._rng = rng
        self._voter_history: list[tuple[int, tuple[str, ...]]] = [(self.log.snapshot_index, voters)]
        for entry in self.log.slice(self.log.snapshot_index + 1, self.log.last_index):
            self._record_voters(entry)
        # Before a restart this replica may have acknowledged a leader's lease, so it refuses votes
        # for one minimum election timeout.
        self._last_leader_contact = now
        self._election_due = 0.0
        self._heartbeat_due = 0.0
        self._leader_since = now
        self._votes: set[str] = set()
        self._progress: dict[str, _Progress] = {}
        self._learners: set[str] = set()
        self._ready = Ready()
        self._reset_election_timer(now)

    # State queries.

    @property
    def voters(self) -> tuple[str, ...]:
        """Voters of the latest configuration in the log, committed or not."""
        return self._voter_history[-1][1]

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its term.

        Another replica may already lead a newer term; check `lease_valid` before acting as leader.
        """
        return self.role == LEADER

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def lease_valid(self, now: float) -> bool:
        """Whether this replica leads and no other replica can have been elected by `now`."""
        if self.role != LEADER:
            return False
        return now < self._quorum_acked_sent_at(now) + self.cfg.leader_lease_s

    # Inputs.

    def tick(self, now: float) -> None:
        """Processes election and heartbeat timers that have expired."""
        if self.role == LEADER:
            self._tick_leader(now)
        elif now >= self._election_due and self.replica_id in self.voters:
            self._start_pre_vote(now)

    def propose(self, command: Any, now: float) -> tuple[int, int] | None:
        """Appends a command to the log and replicates it, if this replica is the leader.

        Returns:
            Index and term of the entry, or None if this replica is not the leader.
        """
        if self.role != LEADER:
            return None
        entry = LogEntry(self.log.last_index + 1, self.term, command)
        self._append(entry)
        self._replicate_all(now)
        return entry.index, entry.term

    def mark_synced(self, now: float) -> None:
        """Records that the latest `Ready` is on disk.

        This can complete an election or advance the commit index.
        """
        self._synced_index = max(self._synced_index, self._pending_sync.index)
        self._synced_term = self._pending_sync.term
        if self._pending_sync.has_snapshot and self._ready.snapshot is None:
            self._installing = False
        if self.role == CANDIDATE:
            self._count_votes(now)
        elif self.role == LEADER:
            self._advance_commit(now)

    def take_committed(self) -> list[LogEntry]:
        """Returns newly committed entries; none while a received snapshot is not yet on disk."""
        # A majority of other voters can commit a leader's entries before its own sync completes.
        last = (
            self.commit_index if self.role == LEADER else min(self.commit_index, self._synced_index)
        )
        if self._installing or last <= self.applied_index:
            return []
        entries = self.log.slice(self.applied_index + 1, last - self.applied_index)
        self.applied_index = last
        return entries

    def compact_log(self, image: SnapshotImage) -> None:
        """Records a durable snapshot of this replica and compacts the log before it.

        The last `RaftConfig.trailing_entries` entries before the snapshot are retained. The
        snapshot is ignored if the log already starts at or after it, because the leader has sent a
        newer one.
        """
        if image.index <= self.log.snapshot_index:
            return
        self.snapshot = image
        compact_to = image.index - self.cfg.trailing_entries
        if compact_to > self.log.snapshot_index:
            voters = self._voters_at(compact_to)
            self.log.compact(compact_to)
            later_changes = [change for change in self._voter_history if change[0] > compact_to]
            self._voter_history = [(compact_to, voters), *later_changes]

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Returns the voters as of a log position, to be stored with a snapshot."""
        return self._voters_at(index)

    def ready(self) -> Ready:
        """Returns the accumulated records and messages, and starts a new batch."""
        ready, self._ready = self._ready, Ready()
        self._pending_sync = _PendingSync(
            self.log.last_index, self.term, ready.snapshot is not None
        )
        return ready

    def take_immediate(self) -> list[Outgoing]:
        """Returns only the messages that need no sync, for use while a sync is in progress."""
        messages, self._ready.immediate = self._ready.immediate, []
        return messages

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

    def _become_leader(self, now: float) -> None:
        self.role = LEADER
        self.leader = self.replica_id
        self._learners.clear()
        self._progress = {v: _Progress(self.log.last_index + 1) for v in self._other_voters()}
        self._heartbeat_due = now + self.cfg.heartbeat_s
        self._leader_since = now
        self._append(LogEntry(self.log.last_index + 1, self.term, Noop()))
        self._replicate_all(now)

    def _become_follower(self, term: int, now: float) -> None:
        was_leader = self.role == LEADER
        self.role = FOLLOWER
        self.leader = ""
        if term > self.term:
            self._set_hard_state(term, "")
        if was_leader:
            self._reset_election_timer(now)

    def _has_recent_leader(self, now: float) -> bool:
        if self.role == LEADER:
            return self.lease_valid(now)
        return now < self._last_leader_contact + self.cfg.election_min_s

    def _is_log_up_to_date(self, message: msgs.PreVote | msgs.RequestVote) -> bool:
        candidate_position = (message.last_term, message.last_index)
        return candidate_position >= (self.log.last_term, self.log.last_index)

    def _reset_election_timer(self, now: float) -> None:
        timeout_range = self.cfg.election_max_s - self.cfg.election_min_s
        self._election_due = now + self.cfg.election_min_s + self._rng.random() * timeout_range

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
        progress = self._progress.get(message.sender)
        if self.role != LEADER or progress is None or message.term != self.term:
            return
        progress.last_reply_at = now
        # Only the reply to the latest entries or chunk clears `in_flight`; a reply to a heartbeat
        # or a duplicate must not start a second stream of entries.
        acknowledged = message.sent_at == progress.sent_at
        progress.in_flight = progress.in_flight and not acknowledged
        progress.acked_sent_at = max(progress.acked_sent_at, message.sent_at)
        if message.ok:
            progress.match_index = max(progress.match_index, message.match)
            if progress.snapshot is not None and progress.match_index >= progress.snapshot.index:
                progress.snapshot = None
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit(now)
            self._maybe_promote(message.sender, now)
        else:
            progress.next_index = max(1, min(progress.next_index - 1, message.match + 1))
        if not progress.in_flight and progress.next_index <= self.log.last_index:
            self._replicate(message.sender, now)

    @_handle.register
    def _(self, message: msgs.SnapshotReceived, now: float) -> None:
        progress = self._progress.get(message.sender)
        if self.role != LEADER or progress is None or message.term != self.term:
            return
        progress.last_reply_at = now
        progress.acked_sent_at = max(progress.acked_sent_at, message.sent_at)
        if progress.snapshot is None or message.sent_at != progress.sent_at:
            return
        if progress.snapshot.index == message.index:
            progress.offset = message.received
            self._replicate(message.sender, now)

    @_handle.register
    def _(self, message: msgs.JoinCluster, now: float) -> None:
        if self.role != LEADER or message.sender in self.voters:
            return
        name = replica_name(message.sender)
        if self.allowed_names is not None and name not in self.allowed_names:
            return
        if message.sender not in self._learners:
            self._remove_learners(name)
            self._learners.add(message.sender)
            self._progress[message.sender] = _Progress(1)
            self._replicate(message.sender, now)

    # Replication.

    def _tick_leader(self, now: float) -> None:
        if now < self._heartbeat_due:
            return
        self._heartbeat_due = now + self.cfg.heartbeat_s
        for replica, progress in self._progress.items():
            if progress.in_flight and now < progress.sent_at + self.cfg.resend_interval_s:
                self._send_heartbeat(replica, now)
            else:
                self._replicate(replica, now)
        confirmed_at = max(self._quorum_acked_sent_at(now), self._leader_since)
        if now > confirmed_at + self.cfg.election_max_s:
            self._become_follower(self.term, now)

    def _replicate_all(self, now: float) -> None:
        for replica, progress in self._progress.items():
            if not progress.in_flight:
                self._replicate(replica, now)
        self._advance_commit(now)

    def _replicate(self, replica: str, now: float) -> None:
        progress = self._progress[replica]
        prev_index = progress.next_index - 1
        prev_term = self.log.term_at(prev_index)
        progress.in_flight = True
        progress.sent_at = now
        if prev_term is None:
            self._send_snapshot(replica, now)
            return
        progress.snapshot = None
        entries = self.log.batch(
            progress.next_index, self.cfg.max_batch_entries, self.cfg.max_batch_bytes
        )
        message = msgs.AppendEntries(
            sender=self.replica_id,
            to=replica,
            term=self.term,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=tuple(entries),
            commit=self.commit_index,
            sent_at=now,
        )
        self._ready.immediate.append(Outgoing(replica, message))

    def _send_heartbeat(self, replica: str, now: float) -> None:
        """Sends an empty heartbeat at log position 0, which matches any log.

        Used while entries are in flight, so that the lease is renewed without sending them again.
        """
        message = msgs.AppendEntries(
            sender=self.replica_id,
            to=replica,
            term=self.term,
            prev_index=0,
            prev_term=0,
            entries=(),
            commit=0,
            sent_at=now,
        )
        self._ready.immediate.append(Outgoing(replica, message))

    def _send_snapshot(self, replica: str, now: float) -> None:
        progress = self._progress[replica]
        if progress.snapshot is None:
            progress.snapshot, progress.offset = self.snapshot, 0
        image = progress.snapshot
        if image is None:
            return
        chunk_end = progress.offset + self.cfg.snapshot_chunk_bytes
        message = msgs.InstallSnapshot(
            sender=self.replica_id,
            to=replica,
            term=self.term,
            index=image.index,
            index_term=image.term,
            voters=image.voters,
            offset=progress.offset,
            total=len(image.data),
            data=image.data[progress.offset : chunk_end],
            sent_at=now,
        )
        self._ready.immediate.append(Outgoing(replica, message))

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

    def _append(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self._record_voters(entry)
        self._ready.records.append(AppendEntry(entry))

    def _truncate_from(self, index: int) -> None:
        if index <= self.commit_index:
            raise RuntimeError(f"the leader conflicts with committed log entry {index}")
        self.log.truncate_from(index)
        self._synced_index = min(self._synced_index, index - 1)
        self._pending_sync.index = min(self._pending_sync.index, index - 1)
        self._voter_history = [change for change in self._voter_history if change[0] < index]
        self._ready.records.append(TruncateFrom(index))

    def _install_snapshot(self, message: msgs.InstallSnapshot, data: bytes) -> None:
        image = SnapshotImage(message.index, message.index_term, message.voters, data)
        self.log.reset(message.index, message.index_term)
        self._voter_history = [(message.index, message.voters)]
        self.commit_index = self.applied_index = self._synced_index = self._pending_sync.index = (
            message.index
        )
        self.snapshot = image
        self._installing = True
        self._ready.snapshot = image
        self._ready.records = [HardState(self.term, self.voted_for)]

    def _accept_leader(self, leader: str, now: float) -> None:
        self.role = FOLLOWER
        self.leader = leader
        self._last_leader_contact = now
        self._reset_election_timer(now)

    def _reply_append(self, message: Any, *, ok: bool, match: int) -> None:
        reply = msgs.AppendReply(self.replica_id, self.term, ok, match, message.sent_at)
        self._ready.after_sync.append(Outgoing(message.sender, reply))

    # Commit index and leader lease.

    def _advance_commit(self, now: float) -> None:
        match_indexes = [
            self._synced_index if v == self.replica_id else self._match_index_of(v)
            for v in self.voters
        ]
        index = sorted(match_indexes, reverse=True)[self.quorum - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            if self.replica_id not in self._voters_at(self.commit_index):
                self._become_follower(self.term, now)

    def _match_index_of(self, replica: str) -> int:
        progress = self._progress.get(replica)
        return progress.match_index if progress is not None else 0

    def _quorum_acked_sent_at(self, now: float) -> float:
        """Returns the latest time such that a quorum has acknowledged messages sent then or later.

        This replica counts as having acknowledged at `now`, a voter without progress as never.
        """
        acked_sent_times = [
            now if voter == self.replica_id else self._progress[voter].acked_sent_at
            for voter in self.voters
            if voter == self.replica_id or voter in self._progress
        ]
        acked_sent_times += [float("-inf")] * (len(self.voters) - len(acked_sent_times))
        return sorted(acked_sent_times, reverse=True)[self.quorum - 1]

    # Membership.

    def _maybe_promote(self, learner: str, now: float) -> None:
        """Promotes a caught-up learner to voter, one single-server change at a time.

        If it replaces a voter, that voter is removed first; the learner is added by a later call,
        once the removal is committed.
        """
        progress = self._progress[learner]
        if learner not in self._learners or progress.match_index < self.commit_index:
            return
        if not self._may_change_voters():
            return
        name = replica_name(learner)
        replaced = [voter for voter in self.voters if replica_name(voter) == name]
        if not replaced and 0 < self.cfg.max_voters <= len(self.voters):
            unresponsive = [voter for voter in self.voters if not self._is_responsive(voter, now)]
            if not unresponsive:
                return
            replaced = unresponsive[:1]
        if any(self._is_responsive(voter, now) for voter in replaced):
            return
        if replaced:
            self._change_voters(tuple(v for v in self.voters if v not in replaced), now)
        else:
            self._learners.discard(learner)
            self._change_voters((*self.voters, learner), now)

    def _may_change_voters(self) -> bool:
        last_change = self._voter_history[-1][0]
        return last_change <= self.commit_index and self.log.term_at(self.commit_index) == self.term

    def _is_responsive(self, replica: str, now: float) -> bool:
        if replica == self.replica_id:
            return True
        progress = self._progress.get(replica)
        last_reply_at = progress.last_reply_at if progress is not None else float("-inf")
        # A new leader has not yet received replies, so the time since its election counts.
        return now < max(last_reply_at, self._leader_since) + self.cfg.replace_after_s

    def _change_voters(self, voters: tuple[str, ...], now: float) -> None:
        self.propose(msgs.ChangeVoters(voters), now)
        for replica in list(self._progress):
            if replica not in voters and replica not in self._learners:
                del self._progress[replica]

    def _remove_learners(self, name: str) -> None:
        """Removes learners of a controller that has lost its data folder and joins again."""
        for learner in [item for item in self._learners if replica_name(item) == name]:
            self._learners.discard(learner)
            self._progress.pop(learner, None)

    def _record_voters(self, entry: LogEntry) -> None:
        if isinstance(entry.command, msgs.ChangeVoters):
            self._voter_history.append((entry.index, entry.command.voters))

    def _voters_at(self, index: int) -> tuple[str, ...]:
        return next(v for at, v in reversed(self._voter_history) if at <= index)

    # Helpers.

    def _set_hard_state(self, term: int, voted_for: str) -> None:
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._ready.records.append(HardState(term, voted_for))

    def _other_voters(self) -> list[str]:
        return [voter for voter in self.voters if voter != self.replica_id]

    def _send_to_voters(self, message: Any) -> None:
        self._ready.immediate += [Outgoing(voter, message) for voter in self._other_voters()]


def replica_name(replica_id: str) -> str:
    """Returns the name of a replica's controller: its id up to the last dot."""
    return replica_id.rpartition(".")[0]
