"""An entry's side of its session: finds the leader, renews, follows the configuration view."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import LoopingCall, deferLater

from geraniumtrack import logs
from geraniumtrack.coordination.authority import Authority
from geraniumtrack.coordination.holdings import Holdings
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
DEMAND_S = 0.02  # least time between two renewals that demand triggers
UNMET_S = 0.25  # time between renewals while the leader knows of the demand and cannot meet it
# Demand may trigger so many renewals in a burst and a second: about 600 bytes each with its reply,
# against the bound of 9 KB/s of control traffic for a node.
DEMAND_BURST, DEMAND_RATE = 10, 4.0

NO_CONTROLLER = Absent("no_controller", "no controller leads or can be reached; retry later")


class ReporterPort(Protocol):
    """What makes the reports of renewals."""

    def next_report(self, now: float, *, leader: str) -> dict[str, Any]:
        """Returns the reports for a renewal sent now to a controller."""

    def confirmed(self) -> None:
        """Notes that the last renewal was confirmed."""


class ControllerClient:
    """Session, proposals and configuration of one entry.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        hub: Its links.
        view: Configuration view to keep up to date.
        describe: Returns tasks wanted and tasks running by team.
        on_change: Called after the view or the allotments changed.
        reporter: Makes `reports` of a renewal.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: EntrySettings,
        hub: LinkHub,
        view: ConfigView,
        describe: Callable[[], tuple[dict, dict]],
        on_change: Callable[[], None],
        reporter: ReporterPort,
    ) -> None:
        self._reporter = reporter
        self.authority = Authority(clock_drift=cfg.clock_drift)
        self.session = uuid.uuid4().hex
        self.holdings = Holdings(task_lease_s=cfg.task_lease_s * (1 + cfg.clock_drift))
        self._reactor = reactor
        self._cfg = cfg
        self._hub = hub
        self._view = view
        self._describe = describe
        self._on_change = on_change
        self._names = [peer.name for peer in cfg.controllers]
        self._leader = self._names[0]
        self._opened = False
        self._stopped = False
        self._renewing = False
        self._renew_again = False
        self._demand_timer: IDelayedCall | None = None
        self._renewed_at = float("-inf")
        self._wanted: dict[str, int] = {}
        self._unmet: dict[str, int] = {}
        self._budget = float(DEMAND_BURST)
        self._renewals = LoopingCall(self._renew)
        self._renewals.clock = reactor

    def start(self) -> None:
        """Dials the controllers and begins to renew."""
        for peer in self._cfg.controllers:
            self._hub.dial(peer.name, peer.address)
        self._renewals.start(self._cfg.renew_s)

    def stop(self) -> None:
        """Stops renewing."""
        self._stopped = True
        if self._demand_timer is not None and self._demand_timer.active():
            self._demand_timer.cancel()
        if self._renewals.running:
            self._renewals.stop()

    def allotments(self) -> dict[str, int]:
        """Returns the tasks each team may run here; none once the session's lease has run out."""
        now = self._reactor.seconds()
        return self.holdings.caps(now) if self.authority.session_valid(now) else {}

    def valid_session(self) -> str:
        """Returns the id of the session if its lease runs, or an empty string."""
        return self.session if self.authority.session_valid(self._reactor.seconds()) else ""

    def may_run(self, team: str, running: int) -> bool:
        """Whether so many tasks of a team may run here now, a reclaim aside."""
        now = self._reactor.seconds()
        return self.authority.session_valid(now) and self.holdings.covers(team, running, now)

    def check_demand(self) -> None:
        """Renews soon if work waits for an allotment, or slots are to be given back."""
        if self._demand_timer is not None or self._stopped or not self._renewals.running:
            return
        wanted, running = self._describe()
        now = self._reactor.seconds()
        lacking = self.holdings.lacking(wanted, now)
        is_new = any(count >= 2 * self._unmet.get(team, 0) for team, count in lacking.items())
        if self.holdings.gives_back(running, now) or is_new:
            pause = DEMAND_S if self._budget >= 1 else 1 / DEMAND_RATE
        elif lacking:
            pause = UNMET_S
        else:
            return
        delay = max(0.0, self._renewed_at + pause - now)
        self._demand_timer = self._reactor.callLater(delay, self._renew_on_demand)

    def _renew_on_demand(self) -> None:
        self._demand_timer = None
        self._renew()

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
            self.authority.holds(delta.version)
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
    def _ask_leader(self, body: Any, *, timeout_s: float = REQUEST_TIMEOUT_S) -> Any:
        link = self._hub.link(self._leader)
        if link is None:
            self._next_leader("")
            return None
        try:
            reply = yield link.request(body, timeout_s=timeout_s)
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
            self._renew_again = True
            return
        self._renewing = True
        self._renew_again = False
        try:
            yield self._renew_once()
        except GeraniumtrackError as exc:
            logs.warn("renewal_failed", detail=exc)
        finally:
            self._renewing = False
        if self._renew_again:
            self.check_demand()

    @inlineCallbacks
    def _renew_once(self) -> Any:
        for _ in range(len(self._names) + 1):
            sent_at = self._reactor.seconds()
            self._spend_budget(sent_at)
            request = self._renewal(sent_at)
            reply = yield self._ask_leader(request, timeout_s=self._cfg.renew_s)
            if isinstance(reply, msgs.SessionRenewed):
                self._renewed(reply, sent_at)
                return
            if isinstance(reply, msgs.Failed):
                logs.warn("session_refused", error=reply.error, detail=reply.message)
                if reply.error != "session_closed":
                    return
                self._begin_session()

    def _spend_budget(self, now: float) -> None:
        gained = (now - self._renewed_at) * DEMAND_RATE
        self._budget = max(0.0, min(self._budget + gained, DEMAND_BURST) - 1)
        self._renewed_at = now

    def _renewal(self, now: float) -> msgs.RenewSession:
        wanted, running = self._describe()
        self._wanted = wanted
        wish = self.holdings.wish(wanted=wanted, running=running, now=now)
        return msgs.RenewSession(
            entry=self._cfg.name,
            session=self.session,
            data_centre=self._cfg.data_centre,
            version=self._view.version,
            sequence=wish.sequence,
            opening=not self._opened,
            wanted=wanted,
            ceilings=wish.ceilings,
            reports=self._reporter.next_report(now, leader=self._leader),
        )

    def _begin_session(self) -> None:
        """Starts a new session after the leader closed the old one, which held the allotments."""
        self.session = uuid.uuid4().hex
        self._opened = False
        self.holdings.reset()
        self.authority.session_ended()

    def _renewed(self, reply: msgs.SessionRenewed, sent_at: float) -> None:
        self.authority.confirmed(sent_at=sent_at, lease_s=reply.lease_s, version=reply.version)
        self._opened = True
        self._reporter.confirmed()
        self.holdings.seen(reply.allotments, reply.reclaim)
        self._unmet = self.holdings.lacking(self._wanted, self._reactor.seconds())
        if reply.version > self._view.version:
            self.subscribe(self._leader)
        self._on_change()

    def noticed(self, notice: msgs.AllotmentNotice) -> None:
        """Takes allotments and reclaims that the leader sent between two renewals."""
        if notice.session == self.session:
            self.holdings.seen(notice.allotments, notice.reclaim)
            self._on_change()

    def close_session(self) -> Deferred:
        """Ends the session on a planned stop, so that its allotments are free at once.

        While tasks may still run, the session is left to lapse.
        """
        _, running, _ = self._describe()
        if any(running.values()) or self.holdings.lingers(self._reactor.seconds()):
            return succeed(None)
        return self.propose(CloseSession(self._cfg.name, self.session), timeout_s=2.0)
