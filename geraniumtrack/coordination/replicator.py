"""Runs a `RaftNode` on its data folder: syncs in one thread, applies, answers proposals.

All records that gather while one sync runs go into the next batch, so that one sync commits many
proposals. A snapshot is encoded and written by a second thread beside the syncs; only its last
step, the shortened journal, takes the place of a batch.
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
from geraniumtrack.coordination.raft import (
    Outgoing,
    RaftConfig,
    RaftNode,
    Ready,
    SnapshotImage,
    replica_name,
)
from geraniumtrack.coordination.raft_log import RaftLog
from geraniumtrack.errors import CodecError, NotLeader
from geraniumtrack.protocol.address import Identity
from geraniumtrack.protocol.raft_messages import ChangeVoters, JoinCluster
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state.commands import Noop, Result
from geraniumtrack.state.journal import AppendEntry, HardState, LogEntry
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.store import Recovered, Store

__all__ = ["Replicator"]

TICK_S = 0.05
JOIN_INTERVAL_S = 1.0


class Replicator:
    """One controller's replica.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the controller.
        store: Its data folder.
        send: Sends a message to a controller by name.
        on_applied: Called with each applied command and its result.
        state_type: State machine that the commands are applied to.
        peers: Returns the names of other controllers to join by, where they are not listed in
            the settings; then any controller that proves itself may join.
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
        self._applied = 0  # index of the last entry whose effect is in the state
        self._applying = False
        self._syncing = False
        self._snapshotting = False
        self._written: SnapshotImage | None = None  # own snapshot, not yet adopted
        self._stopped = False
        self.failure = ""  # why this replica stopped by itself
        self._waiting: dict[int, tuple[int, Deferred]] = {}
        self._join_due = 0.0
        self._role = ""
        self._threads = ThreadPool(1, 1, name="journal")
        self._snapshot_threads = ThreadPool(1, 1, name="snapshot")
        self._ticks = LoopingCall(self._tick)
        self._ticks.clock = reactor
        self.node = self._recovered_node(store.recover())

    def start(self) -> None:
        """Starts the timers and the threads."""
        self._threads.start()
        self._snapshot_threads.start()
        self._ticks.start(TICK_S, now=False)

    def stop(self) -> Deferred:
        """Stops after the sync that is under way."""
        self._stopped = True
        if not self._ticks.running:
            return succeed(None)
        self._ticks.stop()
        fut = deferToThreadPool(self._reactor, self._threads, self._store.close)
        return fut.addCallback(self._closed)

    @property
    def leader(self) -> str:
        """Name of the controller that leads, as far as known."""
        return replica_name(self.node.leader)

    def serves(self) -> bool:
        """Whether this controller leads, holds its lease and has applied an entry of its term.

        By then its state holds every change that was ever accepted.
        """
        node = self.node
        held = node.lease_valid(self._reactor.seconds())
        return held and node.log.term_at(self._applied) == node.term

    def propose(self, command: Any) -> Deferred:
        """Commits a command.

        Returns:
            A Deferred of the result. It fails with NotLeader if another replica leads; the command
            may then still be committed, so a caller resends it under the same operation id.
        """
        if isinstance(command, ChangeVoters):
            return fail(ValueError("only the leader itself changes the voters"))
        try:
            position = self.node.propose(command, self._reactor.seconds())
        except CodecError as exc:
            return fail(exc)
        if position is None:
            return fail(NotLeader(self.leader))
        index, term = position
        fut: Deferred = Deferred()
        self._waiting[index] = (term, fut)
        self._pump()
        return fut

    def receive(self, message: Any) -> None:
        """Handles a message of another controller."""
        self.node.receive(message, self._reactor.seconds())
        self._pump()

    def receive_from(self, peer: Identity, message: Any) -> None:
        """Handles a message that came on a link; a replica may only speak for its own process."""
        if peer.role == "controller" and replica_name(message.sender) == peer.name:
            self.receive(message)

    def _recovered_node(self, found: Recovered) -> RaftNode:
        snapshot = None
        if found.snapshot is not None:
            self.state = self._state_type.load(found.snapshot)
            self._applied = found.snapshot_index
            snapshot = SnapshotImage(
                found.snapshot_index, found.snapshot_term, found.voters, found.snapshot
            )
        log = RaftLog(
            snapshot_index=found.snapshot_index,
            snapshot_term=found.snapshot_term,
            entries=found.entries,
        )
        logs.event(
            "journal_recovered",
            replica=self._store.identity.replica_id,
            snapshot=found.snapshot_index,
            entries=len(found.entries),
            term=found.hard_state.term,
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
            hard_state=found.hard_state,
            log=log,
            voters=found.voters,
            snapshot=snapshot,
            allowed_names=None if self._peers else self._listed_names(),
        )

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self.node.tick(now)
        # A voter that was replaced while it was away has no leader, and joins again.
        outside = self.node.replica_id not in self.node.voters or not self.node.leader
        if outside and now >= self._join_due:
            self._join_due = now + JOIN_INTERVAL_S
            self._ask_to_join()
        if self.node.role != self._role:
            self._role = self.node.role
            logs.event("role_changed", role=self._role, term=self.node.term)
        self._pump()

    def _ask_to_join(self) -> None:
        for name in self._peers() if self._peers else self._listed_names():
            if name != self._cfg.name:
                self._send(name, JoinCluster(self.node.replica_id))

    def _listed_names(self) -> tuple[str, ...]:
        return tuple(peer.name for peer in self._cfg.controllers)

    def _pump(self) -> None:
        if self._stopped:
            return
        self._send_all(self.node.take_immediate())
        self._apply_committed()
        self._fail_lost_proposals()
        self._maybe_snapshot()
        if not self._syncing:
            self._adopt_snapshot()
        if not self._syncing:
            self._sync()

    def _sync(self) -> None:
        ready = self.node.ready()
        self._send_all(ready.immediate)
        if not ready.records and ready.snapshot is None:
            self._send_all(ready.after_sync)
            return
        self._syncing = True
        fut = deferToThreadPool(self._reactor, self._threads, self._persist, ready)
        fut.addCallbacks(self._persisted, self._persist_failed, callbackArgs=(ready,))

    def _persist(self, ready: Ready) -> Any:
        """Writes a batch; returns the new state if it holds a snapshot. Runs in a thread."""
        if ready.snapshot is not None:
            image = ready.snapshot
            self._store.install_snapshot(
                index=image.index,
                term=image.term,
                voters=image.voters,
                data=image.data,
                keep=ready.records,
            )
            return self._state_type.load(image.data)
        if self._cfg.group_commit:
            self._store.append(ready.records)
        else:
            for record in ready.records:
                self._store.append([record])
        return None

    def _persisted(self, installed: Any, ready: Ready) -> None:
        self._syncing = False
        if installed is not None:
            self.state = installed
            self._applied = ready.snapshot.index
            self._on_applied(Noop(), None)
        self.node.synced(self._reactor.seconds())
        self._send_all(ready.after_sync)
        self._pump()

    def _persist_failed(self, failure: Any) -> None:
        # A replica that cannot write its journal must not answer for it.
        self.failure = f"the data folder cannot be written: {failure.getErrorMessage()}"
        logs.warn("journal_write_failed", detail=failure.getErrorMessage())
        self._stopped = True
        self._reactor.stop()

    def _closed(self, _: Any) -> None:
        self._threads.stop()
        self._snapshot_threads.stop()

    def _send_all(self, messages: list[Outgoing]) -> None:
        for to, message in messages:
            self._send(replica_name(to), message)

    def _apply_committed(self) -> None:
        # A callback may propose and so come here again; entries are applied in order all the same.
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
            result = self._result_of(entry.command)
        self._applied = entry.index
        term, fut = self._waiting.pop(entry.index, (0, None))
        self._on_applied(entry.command, result)
        if fut is None:
            return
        if term == entry.term:
            fut.callback(result)
        else:
            fut.errback(NotLeader(self.leader))

    def _result_of(self, command: Any) -> Result:
        # A malformed command fails alike on every replica; it must not keep later ones from being
        # applied.
        try:
            return self.state.apply(command)
        except Exception as exc:  # noqa: BLE001
            logs.warn("command_failed", command=type(command).__name__, detail=repr(exc))
            message = f"the command cannot be applied: {exc!r}"
            return Result(False, self.state.version, "malformed_command", message)

    def _fail_lost_proposals(self) -> None:
        if self.node.is_leader or not self._waiting:
            return
        waiting, self._waiting = self._waiting, {}
        for _term, fut in waiting.values():
            fut.errback(NotLeader(self.leader))

    def _maybe_snapshot(self) -> None:
        last = self.node.snapshot.index if self.node.snapshot is not None else 0
        if self._snapshotting or self._applied - last < self._cfg.snapshot_entries:
            return
        self._snapshotting = True
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
        self._written = SnapshotImage(*image)
        self._pump()

    def _adopt_snapshot(self) -> None:
        image, self._written = self._written, None
        if image is None:
            return
        if self.node.snapshot is not None and self.node.snapshot.index >= image.index:
            self._snapshotting = False  # overtaken by a snapshot from the leader
            return
        node = self.node
        kept = node.log.slice(image.index + 1, node.log.last_index)
        records = [HardState(node.term, node.voted_for), *(AppendEntry(e) for e in kept)]
        self._syncing = True
        fut = deferToThreadPool(self._reactor, self._threads, self._store.adopt_snapshot, records)
        fut.addCallbacks(self._adopted, self._persist_failed, callbackArgs=(image,))

    def _adopted(self, _: Any, image: SnapshotImage) -> None:
        self._syncing = False
        self._snapshotting = False
        self.node.compacted(image)
        logs.event("snapshot_saved", index=image.index, bytes=len(image.data))
        self._pump()
