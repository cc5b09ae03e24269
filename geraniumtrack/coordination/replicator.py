"""Runs a `RaftNode` on its data folder: syncs in one thread, applies, answers proposals.

All records that gather while one sync runs go into the next batch, so that one sync commits many
proposals.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
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
from geraniumtrack.errors import NotLeader
from geraniumtrack.protocol.raft_messages import ChangeVoters, JoinCluster
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state.commands import Noop
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
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: ControllerSettings,
        store: Store,
        send: Callable[[str, Any], None],
        on_applied: Callable[[Any, Any], None],
    ) -> None:
        self.state = ReplicatedState()
        self._reactor = reactor
        self._cfg = cfg
        self._store = store
        self._send = send
        self._on_applied = on_applied
        self._syncing = False
        self._stopped = False
        self._waiting: dict[int, tuple[int, Deferred]] = {}
        self._join_due = 0.0
        self._role = ""
        self._threads = ThreadPool(1, 1, name="journal")
        self._ticks = LoopingCall(self._tick)
        self._ticks.clock = reactor
        self.node = self._recovered_node(store.recover())

    def start(self) -> None:
        """Starts the timers and the journal thread."""
        self._threads.start()
        self._ticks.start(TICK_S, now=False)

    def stop(self) -> Deferred:
        """Stops after the sync that is under way."""
        self._stopped = True
        self._ticks.stop()
        fut = deferToThreadPool(self._reactor, self._threads, self._store.close)
        return fut.addCallback(lambda _: self._threads.stop())

    @property
    def leader(self) -> str:
        """Name of the controller that leads, as far as known."""
        return replica_name(self.node.leader)

    def serves(self) -> bool:
        """Whether this controller leads, holds its lease and is up to date."""
        return self.node.serves(self._reactor.seconds())

    def propose(self, command: Any) -> Deferred:
        """Commits a command.

        Returns:
            A Deferred of the result. It fails with NotLeader if another replica leads; the command
            may then still be committed, so a caller resends it under the same operation id.
        """
        fut: Deferred = Deferred()
        position = self.node.propose(command, self._reactor.seconds())
        if position is None:
            fut.errback(NotLeader(self.leader))
            return fut
        index, term = position
        self._waiting[index] = (term, fut)
        self._pump()
        return fut

    def receive(self, message: Any) -> None:
        """Handles a message of another controller."""
        self.node.receive(message, self._reactor.seconds())
        self._pump()

    def _recovered_node(self, found: Recovered) -> RaftNode:
        snapshot = None
        if found.snapshot is not None:
            self.state = ReplicatedState.load(found.snapshot)
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
            ),
            replica_id=self._store.identity.replica_id,
            now=self._reactor.seconds(),
            rng=random.Random(),
            hard_state=found.hard_state,
            log=log,
            voters=found.voters,
            snapshot=snapshot,
            allowed_names=tuple(peer.name for peer in self._cfg.controllers),
        )

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self.node.tick(now)
        if self.node.replica_id not in self.node.voters and now >= self._join_due:
            self._join_due = now + JOIN_INTERVAL_S
            self._ask_to_join()
        if self.node.role != self._role:
            self._role = self.node.role
            logs.event("role_changed", role=self._role, term=self.node.term)
        self._pump()

    def _ask_to_join(self) -> None:
        for peer in self._cfg.controllers:
            if peer.name != self._cfg.name:
                self._send(peer.name, JoinCluster(self.node.replica_id))

    def _pump(self) -> None:
        if self._stopped:
            return
        self._send_all(self.node.take_immediate())
        if self._syncing:
            return
        ready = self.node.ready()
        if not ready:
            return
        if ready.records or ready.snapshot:
            self._syncing = True
            fut = deferToThreadPool(self._reactor, self._threads, self._persist, ready)
            fut.addCallbacks(self._persisted, self._persist_failed, callbackArgs=(ready,))
        else:
            self._finish(ready)

    def _persist(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            image = ready.snapshot
            self._store.save_snapshot(
                index=image.index,
                term=image.term,
                voters=image.voters,
                data=image.data,
                keep=ready.records,
            )
        elif self._cfg.group_commit:
            self._store.append(ready.records)
        else:
            for record in ready.records:
                self._store.append([record])

    def _persisted(self, _: Any, ready: Ready) -> None:
        self._syncing = False
        if ready.snapshot is not None:
            self.state = ReplicatedState.load(ready.snapshot.data)
            self._on_applied(Noop(), None)
        self.node.synced(ready.last_index, self._reactor.seconds())
        self._finish(ready)
        self._pump()

    def _persist_failed(self, failure: Any) -> None:
        # A replica that cannot write its journal must not answer for it.
        logs.warn("journal_write_failed", detail=failure.getErrorMessage())
        self._stopped = True
        self._reactor.stop()

    def _finish(self, ready: Ready) -> None:
        self._send_all(ready.after_sync)
        for entry in ready.committed:
            self._apply(entry)
        self._fail_lost_proposals()
        self._maybe_snapshot()

    def _send_all(self, messages: list[Outgoing]) -> None:
        for to, message in messages:
            self._send(replica_name(to), message)

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if not isinstance(entry.command, ChangeVoters):
            result = self.state.apply(entry.command)
        else:
            logs.event("voters_changed", voters=",".join(entry.command.voters))
        term, fut = self._waiting.pop(entry.index, (0, None))
        self._on_applied(entry.command, result)
        if fut is None:
            return
        if term == entry.term:
            fut.callback(result)
        else:
            fut.errback(NotLeader(self.leader))

    def _fail_lost_proposals(self) -> None:
        if self.node.is_leader or not self._waiting:
            return
        waiting, self._waiting = self._waiting, {}
        for _term, fut in waiting.values():
            fut.errback(NotLeader(self.leader))

    def _maybe_snapshot(self) -> None:
        node = self.node
        if node.applied - node.log.snapshot_index < self._cfg.snapshot_entries or self._syncing:
            return
        index = node.applied
        image = SnapshotImage(
            index, node.log.term_at(index) or 0, node.voters_at(index), self.state.dump()
        )
        kept = node.log.slice(index + 1, node.log.last_index)
        records = [HardState(node.term, node.voted_for), *(AppendEntry(e) for e in kept)]
        ready = Ready(records=records, snapshot=image)
        self._syncing = True
        fut = deferToThreadPool(self._reactor, self._threads, self._persist, ready)
        fut.addCallbacks(self._snapshot_saved, self._persist_failed, callbackArgs=(image,))

    def _snapshot_saved(self, _: Any, image: SnapshotImage) -> None:
        self._syncing = False
        self.node.compacted(image)
        logs.event("snapshot_saved", index=image.index, bytes=len(image.data))
        self._pump()
