"""An entry's side of its session: finds the leader, renews, follows the configuration view."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from geraniumtrack import logs
from geraniumtrack.coordination.authority import Authority
from geraniumtrack.errors import ConnectionLost, GeraniumtrackError, RequestTimeout
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.links import LinkHub
from geraniumtrack.sentinels import Absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.commands import CloseSession
from geraniumtrack.state.view import ConfigView

__all__ = ["ControllerClient", "NO_CONTROLLER"]

REQUEST_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1

NO_CONTROLLER = Absent("no_controller", "no controller leads or can be reached; retry later")


class ControllerClient:
    """Session, proposals and configuration of one entry.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        hub: Its links.
        view: Configuration view to keep up to date.
        describe: Returns `wanted`, `ceilings` and `reports` for the next renewal.
        on_change: Called after the view or the allotments changed.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: EntrySettings,
        hub: LinkHub,
        view: ConfigView,
        describe: Callable[[], tuple[dict, dict, dict]],
        on_change: Callable[[], None],
    ) -> None:
        self.authority = Authority(clock_drift=cfg.clock_drift)
        self.session = uuid.uuid4().hex
        self._reactor = reactor
        self._cfg = cfg
        self._hub = hub
        self._view = view
        self._describe = describe
        self._on_change = on_change
        self._names = [peer.name for peer in cfg.controllers]
        self._leader = self._names[0]
        self._allotments: dict[str, int] = {}
        self._renewing = False
        self._renewals = LoopingCall(self._renew)
        self._renewals.clock = reactor

    def start(self) -> None:
        """Dials the controllers and begins to renew."""
        for peer in self._cfg.controllers:
            self._hub.dial(peer.name, peer.address)
        self._renewals.start(self._cfg.renew_s)

    def stop(self) -> None:
        """Stops renewing."""
        if self._renewals.running:
            self._renewals.stop()

    def allotments(self) -> dict[str, int]:
        """Returns the tasks each team may run here; none once the session's lease has run out."""
        if not self.authority.session_valid(self._reactor.seconds()):
            return {}
        return self._allotments

    def subscribe(self, name: str) -> None:
        """Fetches the view from a controller, which then pushes later changes."""
        link = self._hub.link(name)
        if link is None:
            return
        fut = link.request(msgs.FetchView(self._view.version), timeout_s=REQUEST_TIMEOUT_S)
        fut.addCallbacks(self.install, lambda failure: None)

    def install(self, delta: msgs.ViewDelta) -> None:
        """Installs a delta unless it is older than what is held; fetches what a gap left out."""
        if self._view.install(since=delta.since, version=delta.version, delta=delta.delta):
            logs.event("view_installed", version=delta.version)
            self._on_change()
        elif delta.since > self._view.version:
            self.subscribe(self._leader)

    @inlineCallbacks
    def propose(self, command: Any, *, timeout_s: float) -> Any:
        """Commits a command through the leader, resending it until the time is up.

        Only commands whose repetition does no harm may be proposed this way.

        Returns:
            A Deferred of the Result, or of the sentinel `NO_CONTROLLER`; the command may then have
            been committed all the same.
        """
        give_up = self._reactor.seconds() + timeout_s
        while self._reactor.seconds() < give_up:
            reply = yield self._ask_leader(msgs.Propose(command))
            if isinstance(reply, msgs.Proposed):
                return reply.result
            yield deferLater(self._reactor, RETRY_DELAY_S)
        return NO_CONTROLLER

    @inlineCallbacks
    def _ask_leader(self, body: Any) -> Any:
        link = self._hub.link(self._leader)
        if link is None:
            self._next_leader("")
            return None
        try:
            reply = yield link.request(body, timeout_s=REQUEST_TIMEOUT_S)
        except (ConnectionLost, RequestTimeout):
            self._next_leader("")
            return None
        if isinstance(reply, msgs.LeaderHint):
            self._next_leader(reply.leader)
            return None
        return reply

    def _next_leader(self, hint: str) -> None:
        if hint in self._names and hint != self._leader:
            self._leader = hint
            return
        position = self._names.index(self._leader)
        self._leader = self._names[(position + 1) % len(self._names)]

    @inlineCallbacks
    def _renew(self) -> Any:
        if self._renewing:
            return
        self._renewing = True
        try:
            yield self._renew_once()
        except GeraniumtrackError as exc:
            logs.warn("renewal_failed", detail=exc)
        finally:
            self._renewing = False

    @inlineCallbacks
    def _renew_once(self) -> Any:
        for _ in range(len(self._names) + 1):
            wanted, ceilings, reports = self._describe()
            sent_at = self._reactor.seconds()
            reply = yield self._ask_leader(
                msgs.RenewSession(
                    self._cfg.name,
                    self.session,
                    self._cfg.data_centre,
                    self._view.version,
                    wanted,
                    ceilings,
                    reports,
                )
            )
            if isinstance(reply, msgs.SessionRenewed):
                self._renewed(reply, sent_at)
                return
            if isinstance(reply, msgs.Failed):
                logs.warn("session_refused", error=reply.error, detail=reply.message)
                return

    def _renewed(self, reply: msgs.SessionRenewed, sent_at: float) -> None:
        self.authority.confirmed(sent_at=sent_at, lease_s=reply.lease_s)
        self._allotments = reply.allotments
        if reply.version > self._view.version:
            self.subscribe(self._leader)
        self._on_change()

    def close_session(self) -> Deferred:
        """Ends the session on a planned stop, so that its allotments are free at once."""
        return self.propose(CloseSession(self._cfg.name, self.session), timeout_s=2.0)
