"""An entry's client of the controllers: leader discovery, session renewal, configuration view."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import LoopingCall, deferLater

from geraniumtrack import logs
from geraniumtrack.coordination.limits.authority import Authority
from geraniumtrack.coordination.limits.entry_allotments import EntryAllotments
from geraniumtrack.errors import GeraniumtrackError, LinkUnavailable, RequestTimeout
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.links import LinkHub
from geraniumtrack.sentinels import Absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.commands import CloseSession
from geraniumtrack.state.view import ConfigView

__all__ = ["ControllerClient", "NO_CONTROLLER"]

REQUEST_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1
MIN_DEMAND_INTERVAL_S = 0.02  # minimum interval between renewals triggered by demand
# Interval between renewals while the leader knows of the demand and cannot meet it.
UNMET_DEMAND_INTERVAL_S = 0.25
# Token bucket for renewals triggered by demand: burst size and tokens per second. A renewal and its
# reply take about 600 bytes, and control traffic must stay below 9 KB/s per node.
DEMAND_BURST, DEMAND_RATE = 10, 4.0

NO_CONTROLLER = Absent("no_controller", "no controller leads or can be reached; retry later")


class ReporterPort(Protocol):
    """Provider of the `reports` field of renewals."""

    def next_report(self, now: float, *, leader: str) -> dict[str, Any]:
        """Returns the reports to send at time `now` to the controller named `leader`."""

    def confirmed(self) -> None:
        """Records that the leader confirmed the latest renewal."""


class ControllerClient:
    """Maintains an entry's session with the leader, its allotments and its configuration view.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        hub: Links to the controllers.
        view: Configuration view to keep up to date.
        task_counts: Returns two dictionaries by team: tasks running or queued, and tasks running.
        on_change: Called after the view or the allotments have changed.
        reporter: Provides the `reports` field of renewals.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: EntrySettings,
        hub: LinkHub,
        view: ConfigView,
        task_counts: Callable[[], tuple[dict, dict]],
        on_change: Callable[[], None],
        reporter: ReporterPort,
    ) -> None:
        self._reporter = reporter
        self.authority = Authority(clock_drift=cfg.clock_drift)
        self.session = uuid.uuid4().hex
        self.entry_allotments = EntryAllotments(
            task_lease_s=cfg.task_lease_s * (1 + cfg.clock_drift)
        )
        self._reactor = reactor
        self._cfg = cfg
        self._hub = hub
        self._view = view
        self._task_counts = task_counts
        self._on_change = on_change
        self._controller_names = [peer.name for peer in cfg.controllers]
        self._presumed_leader = self._controller_names[0]
        self._session_opened = False
        self._stopped = False
        self._renewing = False
        self._renew_again = False
        self._demand_timer: IDelayedCall | None = None
        self._renewal_sent_at = float("-inf")
        self._sent_demand: dict[str, int] = {}
        self._unmet_demand: dict[str, int] = {}
        self._renewal_tokens = float(DEMAND_BURST)
        self._renewal_loop = LoopingCall(self._renew)
        self._renewal_loop.clock = reactor

    def start(self) -> None:
        """Connects to the controllers and starts periodic renewals."""
        for peer in self._cfg.controllers:
            self._hub.dial(peer.name, peer.address)
        self._renewal_loop.start(self._cfg.renew_s)

    def stop(self) -> None:
        """Stops periodic and demand-triggered renewals."""
        self._stopped = True
        if self._demand_timer is not None and self._demand_timer.active():
            self._demand_timer.cancel()
        if self._renewal_loop.running:
            self._renewal_loop.stop()

    def allotments(self) -> dict[str, int]:
        """Returns the tasks that each team may run here; empty if the session lease expired."""
        now = self._reactor.seconds()
        return self.entry_allotments.run_limits(now) if self.authority.session_valid(now) else {}

    def valid_session(self) -> str:
        """Returns the session id if the session lease is valid, or an empty string."""
        return self.session if self.authority.session_valid(self._reactor.seconds()) else ""

    def may_run(self, team: str, running: int) -> bool:
        """Whether `running` tasks of a team are within its allotment now, ignoring reclaims."""
        now = self._reactor.seconds()
        return self.authority.session_valid(now) and self.entry_allotments.permits(
            team, running, now
        )

    def check_demand(self) -> None:
        """Schedules an early renewal if demand is unmet or reclaimed slots can be released."""
        if self._demand_timer is not None or self._stopped or not self._renewal_loop.running:
            return
        wanted, running = self._task_counts()
        now = self._reactor.seconds()
        unmet = self.entry_allotments.unmet_demand(wanted, now)
        has_new_demand = any(
            count >= 2 * self._unmet_demand.get(team, 0) for team, count in unmet.items()
        )
        if self.entry_allotments.can_release(running, now) or has_new_demand:
            interval_s = MIN_DEMAND_INTERVAL_S if self._renewal_tokens >= 1 else 1 / DEMAND_RATE
        elif unmet:
            interval_s = UNMET_DEMAND_INTERVAL_S
        else:
            return
        delay = max(0.0, self._renewal_sent_at + interval_s - now)
        self._demand_timer = self._reactor.callLater(delay, self._renew_on_demand)

    def _renew_on_demand(self) -> None:
        self._demand_timer = None
        self._renew()

    def subscribe(self, name: str) -> None:
        """Fetches view changes from a controller, which pushes further changes from then on."""
        link = self._hub.link(name)
        if link is None:
            return
        fut = link.request(msgs.FetchView(self._view.version), timeout_s=REQUEST_TIMEOUT_S)
        fut.addCallbacks(self.install, lambda failure: None)

    def install(self, delta: msgs.ViewDelta) -> None:
        """Applies a view delta unless it is outdated; fetches the changes that a gap left out."""
        if self._view.install(since=delta.since, version=delta.version, delta=delta.delta):
            self.authority.set_view_version(delta.version)
            logs.event("view_installed", version=delta.version)
            self._on_change()
        elif delta.since > self._view.version:
            self.subscribe(self._presumed_leader)

    @inlineCallbacks
    def propose(self, command: Any, *, timeout_s: float) -> Any:
        """Commits a command through the leader, resending it until the timeout expires.

        Only idempotent commands may be proposed, because a resent command may be applied twice.

        Returns:
            A Deferred of the Result, or of the sentinel `NO_CONTROLLER` after the timeout. In that
            case the command may still have been committed.
        """
        deadline = self._reactor.seconds() + timeout_s
        while self._reactor.seconds() < deadline:
            reply = yield self._request_leader(msgs.Propose(command))
            if isinstance(reply, msgs.Proposed):
                return reply.result
            yield deferLater(self._reactor, RETRY_DELAY_S)
        return NO_CONTROLLER

    @inlineCallbacks
    def _request_leader(self, body: Any, *, timeout_s: float = REQUEST_TIMEOUT_S) -> Any:
        link = self._hub.link(self._presumed_leader)
        if link is None:
            self._switch_leader("")
            return None
        try:
            reply = yield link.request(body, timeout_s=timeout_s)
        except (LinkUnavailable, RequestTimeout):
            self._switch_leader("")
            return None
        if isinstance(reply, msgs.LeaderHint):
            self._switch_leader(reply.leader)
            return None
        return reply

    def _switch_leader(self, hint: str) -> None:
        if hint in self._controller_names and hint != self._presumed_leader:
            self._presumed_leader = hint
            return
        position = self._controller_names.index(self._presumed_leader)
        self._presumed_leader = self._controller_names[(position + 1) % len(self._controller_names)]

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
        for _ in range(len(self._controller_names) + 1):
            sent_at = self._reactor.seconds()
            self._consume_renewal_token(sent_at)
            request = self._build_renewal(sent_at)
            reply = yield self._request_leader(request, timeout_s=self._cfg.renew_s)
            if isinstance(reply, msgs.SessionRenewed):
                self._on_renewal_confirmed(reply, sent_at)
                return
            if isinstance(reply, msgs.Failed):
                logs.warn("session_refused", error=reply.error, detail=reply.message)
                if reply.error != "session_closed":
                    return
                self._start_new_session()

    def _consume_renewal_token(self, now: float) -> None:
        new_tokens = (now - self._renewal_sent_at) * DEMAND_RATE
        self._renewal_tokens = max(0.0, min(self._renewal_tokens + new_tokens, DEMAND_BURST) - 1)
        self._renewal_sent_at = now

    def _build_renewal(self, now: float) -> msgs.RenewSession:
        wanted, running = self._task_counts()
        self._sent_demand = wanted
        allotment_request = self.entry_allotments.build_request(
            wanted=wanted, running=running, now=now
        )
        return msgs.RenewSession(
            entry=self._cfg.name,
            session=self.session,
            data_centre=self._cfg.data_centre,
            version=self._view.version,
            sequence=allotment_request.sequence,
            opening=not self._session_opened,
            wanted=wanted,
            ceilings=allotment_request.ceilings,
            reports=self._reporter.next_report(now, leader=self._presumed_leader),
        )

    def _start_new_session(self) -> None:
        """Starts a new session after the leader closed the old one and freed its allotments."""
        self.session = uuid.uuid4().hex
        self._session_opened = False
        self.entry_allotments.reset()
        self.authority.end_session()

    def _on_renewal_confirmed(self, reply: msgs.SessionRenewed, sent_at: float) -> None:
        self.authority.record_confirmation(
            sent_at=sent_at, lease_s=reply.lease_s, version=reply.version
        )
        self._session_opened = True
        self._reporter.confirmed()
        self.entry_allotments.update(reply.allotments, reply.reclaim)
        self._unmet_demand = self.entry_allotments.unmet_demand(
            self._sent_demand, self._reactor.seconds()
        )
        if reply.version > self._view.version:
            self.subscribe(self._presumed_leader)
        self._on_change()

    def handle_allotment_notice(self, notice: msgs.AllotmentNotice) -> None:
        """Updates allotments and reclaims from a notice sent by the leader between renewals."""
        if notice.session == self.session:
            self.entry_allotments.update(notice.allotments, notice.reclaim)
            self._on_change()

    def close_session(self) -> Deferred:
        """Closes the session on a planned stop, which frees its allotments immediately.

        If tasks may still be running, the session is left to expire.
        """
        _, running = self._task_counts()
        if any(running.values()) or self.entry_allotments.has_orphans(self._reactor.seconds()):
            return succeed(None)
        return self.propose(CloseSession(self._cfg.name, self.session), timeout_s=2.0)
