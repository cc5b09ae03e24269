"""Drives a `RaftNode`: persists its records, applies committed commands, completes proposals.

Records that accumulate during a sync are written as one batch by the next sync, so that one sync
can commit many proposals. Batches are written in one thread. Snapshots are encoded and written in a
second thread, concurrently with the syncs; only the last step, which puts the snapshot in force and
shortens the journal, runs in the first thread in place of a batch.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import LoopingCall
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from geraniumtrack import logs
from geraniumtrack.coordination.consensus.raft import RaftNode
from geraniumtrack.coordination.consensus.raft_log import RaftLog
from geraniumtrack.coordination.consensus.raft_types import (
    Outgoing,
    RaftConfig,
    Ready,
    SnapshotImage,
    replica_name,
)
from geraniumtrack.errors import CodecError, NotLeader
from geraniumtrack.protocol.address import Identity
from geraniumtrack.protocol.raft_messages import ChangeVoters, JoinCluster
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state.commands import Noop, Result
from geraniumtrack.state.journal import AppendEntry, HardState, LogEntry
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.store import Recovered, Store, snapshot_errors

__all__ = ["Replicator"]

TICK_INTERVAL_S = 0.05
JOIN_INTERVAL_S = 1.0


class Replicator:
    """The Raft replica of one controller, with its state machine and its journal.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the controller.
        store: Journal and snapshots in the controller's data folder.
        send: Sends a message to the controller of the given name.
        on_applied: Called with each applied command and its result, which is None for a change of
            the voters; also called with a `Noop` and None after a snapshot was installed.
        state_type: Class of the state machine that the commands are applied to.
        peers: Returns the names of controllers to send join requests to, if the settings do not
            list the controllers. Any authenticated controller may then join.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: ControllerSettings,
        store: Store,
        send: Callable[[str, Any], None],
        on_applied: Callable[[Any, Any], None],
        state_type: Any = ReplicatedState,
        peers: Callable[[], Iterable[str]] | None = None,
    ) -> None:
        self.state = state_type()
        self._state_type = state_type
        self._peers = peers
        self._reactor = reactor
        self._cfg = cfg
        self._store = store
        self._send = send
        self._on_applied = on_applied
        self._applied = 0  # index of the last entry applied to `state`
        self._applying = False
        self._sync_in_progress = False
        self._snapshot_in_progress = False
        self._written_snapshot: SnapshotImage | None = None  # written, but not yet in force
        self._stopped = False
        self.failure = ""  # error that stopped this replica, if any
        # Term and Deferred of each local proposal, by log index.
        self._pending_proposals: dict[int, tuple[int, Deferred]] = {}
        self._join_due = 0.0
        self._role = ""
        self._journal_threads = ThreadPool(1, 1, name="journal")
        self._snapshot_threads = ThreadPool(1, 1, name="snapshot")
        self._tick_loop = LoopingCall(self._tick)
        self._tick_loop.clock = reactor
        self.node = self._recovered_node(store.recover())

    def start(self) -> None:
        """Starts the timer and the thread pools."""
        self._journal_threads.start()
        self._snapshot_threads.start()
        self._tick_loop.start(TICK_INTERVAL_S, now=False)

    def stop(self) -> Deferred:
        """Stops once the sync in progress, if any, has completed."""
        self._stopped = True
        if not self._tick_loop.running:
            return succeed(None)
        self._tick_loop.stop()
        fut = deferToThreadPool(self._reactor, self._journal_threads, self._store.close)
        # The process can't end while the threads run, even if the journal can't be closed.
        return fut.addBoth(self._stop_threads)

    @property
    def leader(self) -> str:
        """Name of the leading controller, or an empty string if it is unknown."""
        return replica_name(self.node.leader)

    def is_serving(self) -> bool:
        """Whether this controller leads, holds its lease and has applied an entry of its term.

        Its state then includes every change committed in earlier terms.
        """
        node = self.node
        holds_lease = node.lease_valid(self._reactor.seconds())
        return holds_lease and node.log.term_at(self._applied) == node.term

    def propose(self, command: Any) -> Deferred:
        """Commits a command.

        Returns:
            A Deferred of the result. It fails with NotLeader if this replica does not lead or loses
            leadership. In the second case the command may still be committed; a caller that resends
            it must use the same id.
        """
        if isinstance(command, ChangeVoters):
            return fail(ValueError("only the Raft leader itself may change the voters"))
        try:
            position = self.node.propose(command, self._reactor.seconds())
        except CodecError as exc:
            return fail(exc)
        if position is None:
            return fail(NotLeader(self.leader))
        index, term = position
        fut: Deferred = Deferred()
        self._pending_proposals[index] = (term, fut)
        self._process_outputs()
        return fut

    def receive(self, message: Any) -> None:
        """Handles a Raft message from another controller."""
        self.node.receive(message, self._reactor.seconds())
        self._process_outputs()

    def receive_from(self, peer: Identity, message: Any) -> None:
        """Handles a Raft message from a link; ignores one sent in the name of another process."""
        if peer.role == "controller" and replica_name(message.sender) == peer.name:
            self.receive(message)

    def _load_state(self, data: bytes) -> Any:
        """Returns the state machine of a snapshot; raises JournalCorrupt if it cannot be read."""
        with snapshot_errors("the state in the snapshot"):
            return self._state_type.load(data)

    def _recovered_node(self, recovered: Recovered) -> RaftNode:
        snapshot = None
        if recovered.snapshot is not None:
            self.state = self._load_state(recovered.snapshot)
            self._applied = recovered.snapshot_index
            snapshot = SnapshotImage(
                recovered.snapshot_index,
                recovered.snapshot_term,
                recovered.voters,
                recovered.snapshot,
            )
        log = RaftLog(
            snapshot_index=recovered.snapshot_index,
            snapshot_term=recovered.snapshot_term,
            entries=recovered.entries,
        )
        logs.event(
            "journal_recovered",
            replica=self._store.identity.replica_id,
            snapshot=recovered.snapshot_index,
            entries=len(recovered.entries),
            term=recovered.hard_state.term,
        )
        return RaftNode(
            cfg=RaftConfig(
                election_min_s=self._cfg.election_min_s,
                election_max_s=self._cfg.election_max_s,
                heartbeat_s=self._cfg.heartbeat_s,
                leader_lease_s=self._cfg.election_min_s * (0.91 - self._cfg.clock_drift),
                replace_after_s=self._cfg.replace_after_s,
                max_voters=self._cfg.max_voters,
            ),
            replica_id=self._store.identity.replica_id,
            now=self._reactor.seconds(),
            rng=random.Random(),
            hard_state=recovered.hard_state,
            log=log,
            voters=recovered.voters,
            snapshot=snapshot,
            allowed_names=None if self._peers else self._configured_names(),
        )

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self.node.tick(now)
        # A voter that was replaced while it was unreachable learns of no leader, and joins again.
        must_join = self.node.replica_id not in self.node.voters or not self.node.leader
        if must_join and now >= self._join_due:
            self._join_due = now + JOIN_INTERVAL_S
            self._request_to_join()
        if self.node.role != self._role:
            self._role = self.node.role
            logs.event("role_changed", role=self._role, term=self.node.term)
        self._process_outputs()

    def _request_to_join(self) -> None:
        for name in self._peers() if self._peers else self._configured_names():
            if name != self._cfg.name:
                self._send(name, JoinCluster(self.node.replica_id))

    def _configured_names(self) -> tuple[str, ...]:
        return tuple(peer.name for peer in self._cfg.controllers)

    def _process_outputs(self) -> None:
        if self._stopped:
            return
        self._send_all(self.node.take_immediate())
        self._apply_committed()
        self._fail_pending_proposals()
        self._maybe_snapshot()
        if not self._sync_in_progress:
            self._activate_snapshot()
        if not self._sync_in_progress:
            self._sync()

    def _sync(self) -> None:
        ready = self.node.ready()
        self._send_all(ready.immediate)
        if not ready.records and ready.snapshot is None:
            self._send_all(ready.after_sync)
            return
        self._sync_in_progress = True
        fut = deferToThreadPool(self._reactor, self._journal_threads, self._persist, ready)
        fut.addCallbacks(self._persisted, self._persist_failed, callbackArgs=(ready,))

    def _persist(self, ready: Ready) -> Any:
        """Writes a batch to disk, in the journal thread.

        Returns:
            The state machine loaded from the batch's snapshot, or None if it has no snapshot.
        """
        if ready.snapshot is not None:
            image = ready.snapshot
            # Before it is written: a snapshot that cannot be loaded must not replace the last one.
            state = self._load_state(image.data)
            self._store.install_snapshot(
                index=image.index,
                term=image.term,
                voters=image.voters,
                data=image.data,
                keep=ready.records,
            )
            return state
        if self._cfg.group_commit:
            self._store.append(ready.records)
        else:
            for record in ready.records:
                self._store.append([record])
        return None

    def _persisted(self, installed_state: Any, ready: Ready) -> None:
        self._sync_in_progress = False
        if installed_state is not None:
            self.state = installed_state
            self._applied = ready.snapshot.index
            self._on_applied(Noop(), None)
        self.node.mark_synced(self._reactor.seconds())
        self._send_all(ready.after_sync)
        self._process_outputs()

    def _persist_failed(self, failure: Any) -> None:
        # A replica that cannot persist its journal must not acknowledge entries or votes.
        self.failure = f"cannot write to the data folder: {failure.getErrorMessage()}"
        logs.warn("journal_write_failed", detail=failure.getErrorMessage())
        self._stopped = True
        self._reactor.stop()

    def _stop_threads(self, result: Any) -> Any:
        self._journal_threads.stop()
        self._snapshot_threads.stop()
        return result

    def _send_all(self, messages: list[Outgoing]) -> None:
        for to, message in messages:
            self._send(replica_name(to), message)

    def _apply_committed(self) -> None:
        # A callback may propose a command and thereby call this method again. The outer call keeps
        # applying entries in log order.
        if self._applying:
            return
        self._applying = True
        try:
            while entries := self.node.take_committed():
                for entry in entries:
                    self._apply(entry)
        finally:
            self._applying = False

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if isinstance(entry.command, ChangeVoters):
            logs.event("voters_changed", voters=",".join(entry.command.voters))
        else:
            result = self._apply_to_state(entry.command)
        self._applied = entry.index
        term, fut = self._pending_proposals.pop(entry.index, (0, None))
        self._on_applied(entry.command, result)
        if fut is None:
            return
        if term == entry.term:
            fut.callback(result)
        else:
            fut.errback(NotLeader(self.leader))

    def _apply_to_state(self, command: Any) -> Result:
        # A malformed command fails in the same way on every replica. It must not prevent later
        # commands from being applied.
        try:
            return self.state.apply(command)
        except Exception as exc:  # noqa: BLE001
            logs.warn("command_failed", command=type(command).__name__, detail=repr(exc))
            message = f"the command cannot be applied: {exc!r}"
            return Result(False, self.state.version, "malformed_command", message)

    def _fail_pending_proposals(self) -> None:
        if self.node.is_leader or not self._pending_proposals:
            return
        pending, self._pending_proposals = self._pending_proposals, {}
        for _term, fut in pending.values():
            fut.errback(NotLeader(self.leader))

    def _maybe_snapshot(self) -> None:
        last_snapshot_index = self.node.snapshot.index if self.node.snapshot is not None else 0
        if (
            self._snapshot_in_progress
            or self._applied - last_snapshot_index < self._cfg.snapshot_entries
        ):
            return
        self._snapshot_in_progress = True
        index = self._applied
        fut = deferToThreadPool(
            self._reactor,
            self._snapshot_threads,
            self._store.write_snapshot,
            index,
            self.node.log.term_at(index),
            self.node.voters_at(index),
            self.state.capture(),
        )
        fut.addCallbacks(self._snapshot_written, self._persist_failed)

    def _snapshot_written(self, image: SnapshotImage) -> None:
        self._written_snapshot = SnapshotImage(*image)
        self._process_outputs()

    def _activate_snapshot(self) -> None:
        image, self._written_snapshot = self._written_snapshot, None
        if image is None:
            return
        if self.node.snapshot is not None and self.node.snapshot.index >= image.index:
            self._snapshot_in_progress = False  # superseded by a snapshot from the leader
            return
        node = self.node
        remaining_entries = node.log.slice(image.index + 1, node.log.last_index)
        records = [
            HardState(node.term, node.voted_for),
            *(AppendEntry(e) for e in remaining_entries),
        ]
        self._sync_in_progress = True
        fut = deferToThreadPool(
            self._reactor, self._journal_threads, self._store.adopt_snapshot, records
        )
        fut.addCallbacks(self._snapshot_activated, self._persist_failed, callbackArgs=(image,))

    def _snapshot_activated(self, _: Any, image: SnapshotImage) -> None:
        self._sync_in_progress = False
        self._snapshot_in_progress = False
        self.node.compact_log(image)
        logs.event("snapshot_saved", index=image.index, bytes=len(image.data))
        self._process_outputs()
