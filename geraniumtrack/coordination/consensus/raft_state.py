"""State of a Raft replica: term, log, voters, and the batch to put on disk.

Every change of the term, the vote or the log adds the record that persists it to the batch.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from geraniumtrack.coordination.consensus.raft_log import RaftLog
from geraniumtrack.coordination.consensus.raft_types import (
    Outgoing,
    RaftConfig,
    Ready,
    SnapshotImage,
)
from geraniumtrack.protocol import raft_messages as msgs
from geraniumtrack.state.journal import AppendEntry, HardState, LogEntry, TruncateFrom

__all__ = ["CANDIDATE", "FOLLOWER", "LEADER", "PRE_CANDIDATE", "RaftState"]

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "pre_candidate", "candidate", "leader"


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


class RaftState:
    """Role, term, log and voters of a replica. A base class of `RaftNode`."""

    cfg: RaftConfig
    replica_id: str
    _rng: random.Random

    def _init_state(
        self,
        hard_state: HardState,
        log: RaftLog,
        voters: tuple[str, ...],
        snapshot: SnapshotImage | None,
    ) -> None:
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.log = log
        self.role = FOLLOWER
        self.leader = ""
        self.commit_index = self.log.snapshot_index
        self.applied_index = self.log.snapshot_index
        self.snapshot = snapshot
        self._synced_index = self.log.last_index
        self._synced_term = self.term
        self._pending_sync = _PendingSync(self._synced_index, self.term)
        self._installing = False
        self._election_due = 0.0
        self._ready = Ready()
        self._voter_history: list[tuple[int, tuple[str, ...]]] = [(self.log.snapshot_index, voters)]
        for entry in self.log.slice(self.log.snapshot_index + 1, self.log.last_index):
            self._record_voters(entry)

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

    def _record_sync(self) -> None:
        """Records that the batch of the latest `ready` is on disk."""
        self._synced_index = max(self._synced_index, self._pending_sync.index)
        self._synced_term = self._pending_sync.term
        if self._pending_sync.has_snapshot and self._ready.snapshot is None:
            self._installing = False

    def _become_follower(self, term: int, now: float) -> None:
        was_leader = self.role == LEADER
        self.role = FOLLOWER
        self.leader = ""
        if term > self.term:
            self._set_hard_state(term, "")
        if was_leader:
            self._reset_election_timer(now)

    def _reset_election_timer(self, now: float) -> None:
        timeout_range = self.cfg.election_max_s - self.cfg.election_min_s
        self._election_due = now + self.cfg.election_min_s + self._rng.random() * timeout_range

    def _set_hard_state(self, term: int, voted_for: str) -> None:
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._ready.records.append(HardState(term, voted_for))

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

    def _record_voters(self, entry: LogEntry) -> None:
        if isinstance(entry.command, msgs.ChangeVoters):
            self._voter_history.append((entry.index, entry.command.voters))

    def _voters_at(self, index: int) -> tuple[str, ...]:
        return next(v for at, v in reversed(self._voter_history) if at <= index)

    def _other_voters(self) -> list[str]:
        return [voter for voter in self.voters if voter != self.replica_id]

    def _send_to_voters(self, message: Any) -> None:
        self._ready.immediate += [Outgoing(voter, message) for voter in self._other_voters()]
