"""Consensus among the controllers: Raft with pre-vote, learners and a leader lease.

The node is pure: it takes messages, proposals and clock values, and `ready` returns what is to be
made durable and sent. Messages in `Ready.after_sync` may leave only when the records of the same
`Ready` are on disk; then the caller reports `synced`. Committed entries are taken with
`take_committed`, at any time and in order.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014 (elections, pre-vote in 9.6,
single-server membership changes in chapter 4 with the 2015 correction, leases in 6.4.1).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, NamedTuple

from geraniumtrack.coordination.raft_log import RaftLog
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.state.commands import Noop
from geraniumtrack.state.journal import AppendEntry, HardState, LogEntry, TruncateFrom

__all__ = ["Outgoing", "RaftConfig", "RaftNode", "Ready", "SnapshotImage", "replica_name"]

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "pre_candidate", "candidate", "leader"


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timing of the consensus, in seconds of a monotonic clock."""

    election_min_s: float = 1.0
    election_max_s: float = 2.0
    heartbeat_s: float = 0.25
    # The shortest election timeout less 1% clock drift and a margin for scheduling delay.
    leader_lease_s: float = 0.9
    max_batch: int = 256  # entries in one message
    max_batch_bytes: int = 1024 * 1024  # a quarter of the largest frame
    snapshot_chunk_bytes: int = 256 * 1024
    resend_s: float = 1.0  # entries without an answer are sent again after this time
    # Entries kept before a snapshot, so that a follower slightly behind needs no snapshot.
    trailing_entries: int = 512
    # A replica that answered within this time is not replaced by another one.
    replace_after_s: float = 5.0
    max_voters: int = 0  # learners beyond so many voters wait until one is lost; 0 for no limit


class Outgoing(NamedTuple):
    """A message and the replica it goes to."""

    to: str
    message: Any


class SnapshotImage(NamedTuple):
    """A snapshot of the state machine and the log position it stands for."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


@dataclass(slots=True)
class Ready:
    """What one step asks of its caller."""

    records: list[Any] = field(default_factory=list)
    snapshot: SnapshotImage | None = None
    immediate: list[Outgoing] = field(default_factory=list)
    after_sync: list[Outgoing] = field(default_factory=list)


@dataclass(slots=True)
class _Sync:
    """What the batch that is being synced covers.

    `index` is lowered when entries of the batch are truncated before the sync ends.
    """

    index: int
    term: int
    installs: bool = False


@dataclass(slots=True)
class _Progress:
    """What the leader knows of one other replica."""

    next_index: int
    match: int = 0
    acked_sent_at: float = float("-inf")  # leader's clock when the last answered message left
    heard_at: float = float("-inf")
    in_flight: bool = False
    sent_at: float = float("-inf")
    image: SnapshotImage | None = None  # the snapshot that is being sent
    offset: int = 0  # bytes of it that the replica holds


class RaftNode:
    """One replica.

    Args:
        cfg: Timing.
        replica_id: Own replica id.
        now: Clock value in seconds.
        rng: Source of election timeouts.
        hard_state: Recovered term and vote.
        log: Recovered log.
        voters: Voters at the snapshot position, or of the first configuration.
        snapshot: Recovered snapshot, kept for replicas that are far behind.
        allowed_names: Controllers that may join, by name; None for any.
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
        self.commit = self.log.snapshot_index
        self.applied = self.log.snapshot_index
        self.snapshot = snapshot
        self.allowed_names = allowed_names
        self._synced = self.log.last_index
        self._synced_term = self.term
        self._sync = _Sync(self._synced, self.term)
        self._installing = False
        self._incoming: tuple[int, int] = (0, 0)  # index and term of the snapshot being received
        self._incoming_data = bytearray()
        self._rng = rng
        self._voter_history: list[tuple[int, tuple[str, ...]]] = [(self.log.snapshot_index, voters)]
        for entry in self.log.slice(self.log.snapshot_index + 1, self.log.last_index):
            self._note_voters(entry)
        # A restarted replica may have just promised a leader its lease, so it waits before voting.
        self._leader_heard_at = now
        self._election_due = 0.0
        self._heartbeat_due = 0.0
        self._led_since = now
        self._votes: set[str] = set()
        self._progress: dict[str, _Progress] = {}
        self._learners: set[str] = set()
        self._ready = Ready()
        self._reset_election(now)

    # Queries.

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the latest membership in the log."""
        return self._voter_history[-1][1]

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads in its term; see `lease_valid` before acting on it."""
        return self.role == LEADER

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def lease_valid(self, now: float) -> bool:
        """Whether no other replica can have become leader by now."""
        if self.role != LEADER:
            return False
        return now < self._quorum_sent_at(now) + self.cfg.leader_lease_s

    # Events.

    def tick(self, now: float) -> None:
        """Runs the timers that are due."""
        if self.role == LEADER:
            self._tick_leader(now)
        elif now >= self._election_due and self.replica_id in self.voters:
            self._start_pre_vote(now)

    def propose(self, command: Any, now: float) -> tuple[int, int] | None:
        """Appends a command to the log of a leader.

        Returns:
            Index and term of the entry, or None if this replica does not lead.
        """
        if self.role != LEADER:
            return None
        entry = LogEntry(self.log.last_index + 1, self.term, command)
        self._append(entry)
        self._replicate_all(now)
        return entry.index, entry.term

    def synced(self, now: float) -> None:
        """Reports that the records of the last `Ready` are on disk."""
        self._synced = max(self._synced, self._sync.index)
        self._synced_term = self._sync.term
        if self._sync.installs and self._ready.snapshot is None:
            self._installing = False
        if self.role == CANDIDATE:
            self._count_votes(now)
        elif self.role == LEADER:
            self._advance_commit(now)

    def take_committed(self) -> list[LogEntry]:
        """Takes the entries to apply next; none while a received snapshot is not yet on disk."""
        # A leader's entries may be committed by the others while its own disk is slow.
        last = self.commit if self.role == LEADER else min(self.commit, self._synced)
        if self._installing or last <= self.applied:
            return []
        entries = self.log.slice(self.applied + 1, last - self.applied)
        self.applied = last
        return entries

    def compacted(self, image: SnapshotImage) -> None:
        """Reports a durable snapshot of this replica; forgets the log well before it.

        A snapshot that was overtaken by one received from the leader is ignored.
        """
        if image.index <= self.log.snapshot_index:
            return
        self.snapshot = image
        start = image.index - self.cfg.trailing_entries
        if start > self.log.snapshot_index:
            voters = self._voters_at(start)
            self.log.compact(start)
            later = [item for item in self._voter_history if item[0] > start]
            self._voter_history = [(start, voters), *later]

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Returns the voters in force at a log position, for a snapshot."""
        return self._voters_at(index)

    def ready(self) -> Ready:
        """Takes what has gathered since the last call."""
        ready, self._ready = self._ready, Ready()
        self._sync = _Sync(self.log.last_index, self.term, ready.snapshot is not None)
        return ready

    def take_immediate(self) -> list[Outgoing]:
        """Takes only the messages that need no sync, while one is under way."""
        messages, self._ready.immediate = self._ready.immediate, []
        return messages

    def receive(self, message: Any, now: float) -> None:
        """Handles one message of another replica."""
        if getattr(message, "to", self.replica_id) != self.replica_id:
            return
        term = getattr(message, "term", 0)
        # Also in a term already known: a follower may learn of a newer term from a late reply while
        # the leader still counts on its promise.
        if isinstance(message, msgs.RequestVote) and self._hears_leader(now):
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
        self._reset_election(now)
        request = msgs.PreVote(
            self.replica_id, self.term + 1, self.log.last_index, self.log.last_term
        )
        self._send_voters(request)
        self._count_votes(now)

    def _start_election(self, now: float) -> None:
        self.role = CANDIDATE
        self._set_hard_state(self.term + 1, self.replica_id)
        self._votes = {self.replica_id}
        self._reset_election(now)
        request = msgs.RequestVote(
            self.replica_id, self.term, self.log.last_index, self.log.last_term
        )
        # The own vote must be on disk before others can count on it.
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
        self._led_since = now
        self._append(LogEntry(self.log.last_index + 1, self.term, Noop()))
        self._replicate_all(now)

    def _become_follower(self, term: int, now: float) -> None:
        was_leader = self.role == LEADER
        self.role = FOLLOWER
        self.leader = ""
        if term > self.term:
            self._set_hard_state(term, "")
        if was_leader:
            self._reset_election(now)

    def _hears_leader(self, now: float) -> bool:
        if self.role == LEADER:
            return self.lease_valid(now)
        return now < self._leader_heard_at + self.cfg.election_min_s

    def _up_to_date(self, message: msgs.PreVote | msgs.RequestVote) -> bool:
        theirs = (message.last_term, message.last_index)
        return theirs >= (self.log.last_term, self.log.last_index)

    def _reset_election(self, now: float) -> None:
        span = self.cfg.election_max_s - self.cfg.election_min_s
        self._election_due = now + self.cfg.election_min_s + self._rng.random() * span

    # Message handlers.

    @singledispatchmethod
    def _handle(self, message: Any, now: float) -> None:
        raise TypeError(f"{type(message).__name__} is not a message between controllers")

    @_handle.register
    def _(self, message: msgs.PreVote, now: float) -> None:
        granted = (
            message.term > self.term and not self._hears_leader(now) and self._up_to_date(message)
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
            and self._up_to_date(message)
        )
        # A replica votes even if its own log does not name it a voter: the change that added it may
        # be committed without it, and its vote may be the one that is needed.
        if granted:
            self.role = FOLLOWER
            self._set_hard_state(self.term, message.sender)
            self._reset_election(now)
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
        self._follow(message.sender, now)
        if self.log.term_at(message.prev_index) != message.prev_term:
            hint = min(message.prev_index - 1, self.log.last_index)
            if message.prev_index >= self.log.snapshot_index:
                self._reply_append(message, ok=False, match=max(hint, self.log.snapshot_index))
                return
        last = self._append_received(message)
        self.commit = max(self.commit, min(message.commit, last))
        self._reply_append(message, ok=True, match=last)

    @_handle.register
    def _(self, message: msgs.InstallSnapshot, now: float) -> None:
        if message.term < self.term:
            self._reply_append(message, ok=False, match=self.log.last_index)
            return
        self._follow(message.sender, now)
        if message.index <= self.commit:
            self._reply_append(message, ok=True, match=message.index)
            return
        if self.log.term_at(message.index) == message.index_term:
            # Everything up to the snapshot is held already. Replacing the log would drop entries
            # after it that were acknowledged and may be committed.
            self.commit = message.index
            self._reply_append(message, ok=True, match=message.index)
            return
        self._receive_chunk(message)

    @_handle.register
    def _(self, message: msgs.AppendReply, now: float) -> None:
        progress = self._progress.get(message.sender)
        if self.role != LEADER or progress is None or message.term != self.term:
            return
        progress.heard_at = now
        # An answer to a heartbeat or a repeated message must not start a second stream of entries.
        answered = message.sent_at == progress.sent_at
        progress.in_flight = progress.in_flight and not answered
        progress.acked_sent_at = max(progress.acked_sent_at, message.sent_at)
        if message.ok:
            progress.match = max(progress.match, message.match)
            if progress.image is not None and progress.match >= progress.image.index:
                progress.image = None
            progress.next_index = max(progress.next_index, progress.match + 1)
            self._advance_commit(now)
            self._promote(message.sender, now)
        else:
            progress.next_index = max(1, min(progress.next_index - 1, message.match + 1))
        if not progress.in_flight and progress.next_index <= self.log.last_index:
            self._replicate(message.sender, now)

    @_handle.register
    def _(self, message: msgs.SnapshotReceived, now: float) -> None:
        progress = self._progress.get(message.sender)
        if self.role != LEADER or progress is None or message.term != self.term:
            return
        progress.heard_at = now
        progress.acked_sent_at = max(progress.acked_sent_at, message.sent_at)
        if progress.image is None or message.sent_at != progress.sent_at:
            return
        if progress.image.index == message.index:
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
            self._forget_learners(name)
            self._learners.add(message.sender)
            self._progress[message.sender] = _Progress(1)
            self._replicate(message.sender, now)

    # Replication.

    def _tick_leader(self, now: float) -> None:
        if now < self._heartbeat_due:
            return
        self._heartbeat_due = now + self.cfg.heartbeat_s
        for replica, progress in self._progress.items():
            if progress.in_flight and now < progress.sent_at + self.cfg.resend_s:
                self._send_heartbeat(replica, now)
            else:
                self._replicate(replica, now)
        confirmed_at = max(self._quorum_sent_at(now), self._led_since)
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
        progress.image = None
        entries = self.log.batch(progress.next_index, self.cfg.max_batch, self.cfg.max_batch_bytes)
        message = msgs.AppendEntries(
            sender=self.replica_id,
            to=replica,
            term=self.term,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=tuple(entries),
            commit=self.commit,
            sent_at=now,
        )
        self._ready.immediate.append(Outgoing(replica, message))

    def _send_heartbeat(self, replica: str, now: float) -> None:
        """Sends a heartbeat that asks nothing of the log of a replica that is busy."""
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
        if progress.image is None:
            progress.image, progress.offset = self.snapshot, 0
        image = progress.image
        if image is None:
            return
        end = progress.offset + self.cfg.snapshot_chunk_bytes
        message = msgs.InstallSnapshot(
            sender=self.replica_id,
            to=replica,
            term=self.term,
            index=image.index,
            index_term=image.term,
            voters=image.voters,
            offset=progress.offset,
            total=len(image.data),
            data=image.data[progress.offset : end],
            sent_at=now,
        )
        self._ready.immediate.append(Outgoing(replica, message))

    def _receive_chunk(self, message: msgs.InstallSnapshot) -> None:
        if self._incoming != (message.index, message.index_term):
            self._incoming = (message.index, message.index_term)
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
        self._install(message, bytes(self._incoming_data))
        self._incoming_data = bytearray()
        self._reply_append(message, ok=True, match=message.index)

    def _append_received(self, message: msgs.AppendEntries) -> int:
        last = message.prev_index
        for entry in message.entries:
            last = entry.index
            held = self.log.term_at(entry.index)
            if held == entry.term or entry.index <= self.log.snapshot_index:
                continue
            if held is not None:
                self._truncate_from(entry.index)
            self._append(entry)
        return last

    def _append(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self._note_voters(entry)
        self._ready.records.append(AppendEntry(entry))

    def _truncate_from(self, index: int) -> None:
        if index <= self.commit:
            raise RuntimeError(f"the leader replaces entry {index}, which is committed")
        self.log.truncate_from(index)
        self._synced = min(self._synced, index - 1)
        self._sync.index = min(self._sync.index, index - 1)
        self._voter_history = [item for item in self._voter_history if item[0] < index]
        self._ready.records.append(TruncateFrom(index))

    def _install(self, message: msgs.InstallSnapshot, data: bytes) -> None:
        image = SnapshotImage(message.index, message.index_term, message.voters, data)
        self.log.reset(message.index, message.index_term)
        self._voter_history = [(message.index, message.voters)]
        self.commit = self.applied = self._synced = self._sync.index = message.index
        self.snapshot = image
        self._installing = True
        self._ready.snapshot = image
        self._ready.records = [HardState(self.term, self.voted_for)]

    def _follow(self, leader: str, now: float) -> None:
        self.role = FOLLOWER
        self.leader = leader
        self._leader_heard_at = now
        self._reset_election(now)

    def _reply_append(self, message: Any, *, ok: bool, match: int) -> None:
        reply = msgs.AppendReply(self.replica_id, self.term, ok, match, message.sent_at)
        self._ready.after_sync.append(Outgoing(message.sender, reply))

    # Commitment.

    def _advance_commit(self, now: float) -> None:
        matches = [self._synced if v == self.replica_id else self._match(v) for v in self.voters]
        index = sorted(matches, reverse=True)[self.quorum - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            if self.replica_id not in self._voters_at(self.commit):
                self._become_follower(self.term, now)

    def _match(self, replica: str) -> int:
        progress = self._progress.get(replica)
        return progress.match if progress is not None else 0

    def _quorum_sent_at(self, now: float) -> float:
        times = [
            now if voter == self.replica_id else self._progress[voter].acked_sent_at
            for voter in self.voters
            if voter == self.replica_id or voter in self._progress
        ]
        times += [float("-inf")] * (len(self.voters) - len(times))
        return sorted(times, reverse=True)[self.quorum - 1]

    # Membership.

    def _promote(self, learner: str, now: float) -> None:
        """Lets a learner that is up to date vote, in two committed changes."""
        progress = self._progress[learner]
        if learner not in self._learners or progress.match < self.commit:
            return
        if not self._may_change_voters():
            return
        name = replica_name(learner)
        former = [voter for voter in self.voters if replica_name(voter) == name]
        if not former and 0 < self.cfg.max_voters <= len(self.voters):
            lost = [voter for voter in self.voters if not self._recently_heard(voter, now)]
            if not lost:
                return
            former = lost[:1]
        if any(self._recently_heard(voter, now) for voter in former):
            return
        if former:
            self._change_voters(tuple(v for v in self.voters if v not in former), now)
        else:
            self._learners.discard(learner)
            self._change_voters((*self.voters, learner), now)

    def _may_change_voters(self) -> bool:
        last_change = self._voter_history[-1][0]
        return last_change <= self.commit and self.log.term_at(self.commit) == self.term

    def _recently_heard(self, replica: str, now: float) -> bool:
        if replica == self.replica_id:
            return True
        progress = self._progress.get(replica)
        heard_at = progress.heard_at if progress is not None else float("-inf")
        # A new leader has not had the time to hear everyone.
        return now < max(heard_at, self._led_since) + self.cfg.replace_after_s

    def _change_voters(self, voters: tuple[str, ...], now: float) -> None:
        self.propose(msgs.ChangeVoters(voters), now)
        for replica in list(self._progress):
            if replica not in voters and replica not in self._learners:
                del self._progress[replica]

    def _forget_learners(self, name: str) -> None:
        """Forgets learners of a controller that has lost its data folder again."""
        for learner in [item for item in self._learners if replica_name(item) == name]:
            self._learners.discard(learner)
            self._progress.pop(learner, None)

    def _note_voters(self, entry: LogEntry) -> None:
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

    def _send_voters(self, message: Any) -> None:
        self._ready.immediate += [Outgoing(voter, message) for voter in self._other_voters()]


def replica_name(replica_id: str) -> str:
    """Returns the controller's name within a replica id."""
    return replica_id.rpartition(".")[0]
