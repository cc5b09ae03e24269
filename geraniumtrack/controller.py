"""The controller daemon.

Each controller holds a replica of the shared state. The leading controller also serves the sessions
of the entries and plans changes of the fleet.
"""

from __future__ import annotations

import dataclasses
import time
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from geraniumtrack import logs, tracing
from geraniumtrack.coordination.consensus.replicator import Replicator
from geraniumtrack.coordination.fleet.explain import events_of, explain, maintenance_status
from geraniumtrack.coordination.fleet.fleet_manager import FleetManager
from geraniumtrack.coordination.limits.session_service import SessionService
from geraniumtrack.errors import NotLeader
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol import raft_messages
from geraniumtrack.protocol.http import HttpBounds
from geraniumtrack.protocol.links import Link, LinkHub
from geraniumtrack.protocol.operator_api import OperatorApi, listen_http
from geraniumtrack.settings import ControllerSettings, read_secret
from geraniumtrack.state.store import Store
from geraniumtrack.transport.platform_client import PlatformClient

__all__ = ["Controller"]

LEADER_TICK_S = 0.25  # interval of the leader's periodic work


class Controller:
    """One controller process.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the controller.
    """

    def __init__(self, reactor: Any, cfg: ControllerSettings) -> None:
        self.cfg = cfg
        self._reactor = reactor
        secret = read_secret(cfg.secret_file)
        self._hub = LinkHub(
            reactor, identity=cfg.identity, secret=secret, handler=self._handle_message
        )
        store = Store(cfg.data_folder, name=cfg.name)
        self.replicator = Replicator(
            reactor, cfg=cfg, store=store, send=self._send_peer, on_applied=self._on_applied
        )
        self._entry_sessions = SessionService(reactor, cfg=cfg, replicator=self.replicator)
        self._fleet = FleetManager(
            state=lambda: self.replicator.state,
            propose=self.replicator.propose,
            platform=PlatformClient(reactor, cfg.platform_url) if cfg.platform_url else None,
            wall_clock=time.time,
        )
        self._subscribers: dict[Link, int] = {}  # view version that was sent last
        self._api = OperatorApi(self, secret)
        self._http_port: Any = None
        self._leader_ticks = LoopingCall(self._leader_tick)
        self._leader_ticks.clock = reactor

    def start(self) -> Deferred:
        """Opens the peer and HTTP ports and starts; the Deferred fires when both are open."""
        for peer in self.cfg.controllers:
            if peer.name != self.cfg.name:
                self._hub.dial(peer.name, peer.address)
        fut = self._hub.listen(self.cfg.peer_listen.address)
        fut.addCallback(
            lambda _: listen_http(
                self._reactor,
                self._api,
                self.cfg.http_listen.address,
                HttpBounds(
                    max_connections=self.cfg.max_connections,
                    max_buffered_bytes=self.cfg.max_buffered_bytes,
                ),
            )
        )
        return fut.addCallback(self._on_listening)

    def stop(self) -> Deferred:
        """Closes links and ports; the Deferred fires after the journal sync in progress."""
        if self._leader_ticks.running:
            self._leader_ticks.stop()
        self._hub.stop()
        if self._http_port is not None:
            self._http_port.stopListening()
        return self.replicator.stop()

    @property
    def failure(self) -> str:
        """Why this controller stopped by itself; empty if it did not."""
        return self.replicator.failure

    def propose(self, command: Any) -> Deferred:
        """Commits a command, setting its `at` to now if unset; see `Replicator.propose`."""
        if getattr(command, "at", None) == 0.0:
            command = dataclasses.replace(command, at=time.time())
        return self.replicator.propose(command)

    def status(self) -> dict[str, Any]:
        """Returns the state of this controller for the operators' status command."""
        node = self.replicator.node
        return {
            "name": self.cfg.name,
            "data_centre": self.cfg.data_centre,
            "replica": node.replica_id,
            "role": node.role,
            "leader": self.replicator.leader,
            "term": node.term,
            "voters": list(node.voters),
            "commit": node.commit_index,
            "version": self.replicator.state.version,
            "entries": dict(self._entry_sessions.entry_versions),
            "entry_data_centres": {
                session.entry: session.data_centre
                for session in self.replicator.state.sessions.values()
            },
            "allotments": self.replicator.state.allotments,
        }

    def maintenance(self) -> dict[str, Any]:
        """Returns the maintenance campaign with its instances by phase."""
        return maintenance_status(self.replicator.state)

    def explain(self, subject: str) -> dict[str, Any]:
        """Explains a subject from recorded events; returns the latest events if it is empty."""
        state = self.replicator.state
        return explain(state, subject) if subject else {"events": events_of(state)}

    def _on_listening(self, http_port: Any) -> None:
        self._http_port = http_port
        self.replicator.start()
        self._leader_ticks.start(LEADER_TICK_S, now=False)
        logs.event("controller_started", replica=self.replicator.node.replica_id)

    def _send_peer(self, name: str, message: Any) -> None:
        link = self._hub.link(name)
        if link is not None:
            link.send(message)

    def _handle_message(self, link: Link, body: Any, reply: Any, trace: str) -> None:
        if isinstance(body, raft_messages.REPLICA_MESSAGES):
            self.replicator.receive_from(link.peer, body)
            return
        self._handle(body, link, tracing.trace_reply("controller", trace, body, reply))

    @singledispatchmethod
    def _handle(self, body: Any, link: Link, reply: Any) -> None:
        reply(msgs.Failed("unknown_message", f"{type(body).__name__} is not for a controller"))

    @_handle.register
    def _(self, body: msgs.Propose, link: Link, reply: Any) -> None:
        fut = self.propose(body.command)
        fut.addCallbacks(
            lambda result: reply(msgs.Proposed(result)),
            lambda failure: reply(self._failure_reply(failure)),
        )

    @_handle.register
    def _(self, body: msgs.FetchView, link: Link, reply: Any) -> None:
        state = self.replicator.state
        self._subscribers[link] = state.version
        reply(msgs.ViewDelta(body.since, state.version, state.delta(body.since)))

    @_handle.register
    def _(self, body: msgs.RenewSession, link: Link, reply: Any) -> None:
        if self.replicator.is_serving():
            self._fleet.record_report(body, self._reactor.seconds())
        self._entry_sessions.renew(body, link, reply)

    def _failure_reply(self, failure: Any) -> Any:
        if failure.check(NotLeader):
            return msgs.LeaderHint(failure.value.leader)
        logs.warn("proposal_failed", detail=failure.getErrorMessage())
        return msgs.Failed("internal", "the controller failed; see its log")

    def _on_applied(self, command: Any, result: Any) -> None:
        self._entry_sessions.on_applied(command)
        version = self.replicator.state.version
        for link, sent_version in list(self._subscribers.items()):
            if version > sent_version:
                self._push_view(link, sent_version, version)

    def _push_view(self, link: Link, since: int, version: int) -> None:
        delta = msgs.ViewDelta(since, version, self.replicator.state.delta(since))
        if link.send(delta):
            self._subscribers[link] = version
        else:
            del self._subscribers[link]

    def _leader_tick(self) -> None:
        self._entry_sessions.run_periodic_work()
        if self.replicator.is_serving():
            self._fleet.tick(self._reactor.seconds())
        elif not self.replicator.node.is_leader:
            self._fleet.stop_leading()
