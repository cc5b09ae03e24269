"""What a replica does while it leads: replication, commit index, lease and changes of voters."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from geraniumtrack.coordination.consensus.raft_state import LEADER, RaftState
from geraniumtrack.coordination.consensus.raft_types import Outgoing, SnapshotImage, replica_name
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.state.commands import Noop
from geraniumtrack.state.journal import LogEntry

__all__ = ["RaftLeader"]


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


class RaftLeader(RaftState):
    """The leader's part of a replica. A base class of `RaftNode`.

    Progress and learners are meaningful only while this replica leads.
    """

    def _init_leader(self, allowed_names: tuple[str, ...] | None, now: float) -> None:
        self.allowed_names = allowed_names
        self._heartbeat_due = 0.0
        self._leader_since = now
        self._progress: dict[str, _Progress] = {}
        self._learners: set[str] = set()

    def lease_valid(self, now: float) -> bool:
        """Whether this replica leads and no other replica can have been elected by `now`."""
        if self.role != LEADER:
            return False
        return now < self._quorum_acked_sent_at(now) + self.cfg.leader_lease_s

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

    def _become_leader(self, now: float) -> None:
        self.role = LEADER
        self.leader = self.replica_id
        self._learners.clear()
        self._progress = {v: _Progress(self.log.last_index + 1) for v in self._other_voters()}
        self._heartbeat_due = now + self.cfg.heartbeat_s
        self._leader_since = now
        self._append(LogEntry(self.log.last_index + 1, self.term, Noop()))
        self._replicate_all(now)

    def _handle_append_reply(self, message: msgs.AppendReply, now: float) -> None:
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

    def _handle_snapshot_received(self, message: msgs.SnapshotReceived, now: float) -> None:
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

    def _handle_join(self, message: msgs.JoinCluster, now: float) -> None:
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
