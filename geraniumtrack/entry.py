"""The entry daemon: accepts callers' requests and runs them on targets."""

from __future__ import annotations

import time
import uuid
from dataclasses import asdict
from functools import singledispatchmethod
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from geraniumtrack import logs, tracing
from geraniumtrack.coordination.entries.controller_client import ControllerClient
from geraniumtrack.coordination.entries.peers import PeerTask
from geraniumtrack.coordination.entries.restriction_task import RestrictionTask
from geraniumtrack.coordination.fleet.membership import Announcement, TargetTable
from geraniumtrack.coordination.fleet.target_reports import TargetReporter
from geraniumtrack.coordination.serving.execution import Execution
from geraniumtrack.coordination.serving.request_service import RequestService
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.caller_api import CallerApi
from geraniumtrack.protocol.entry_api import add_entry_api
from geraniumtrack.protocol.http import HttpBounds, listen_app, with_json_errors
from geraniumtrack.protocol.links import Link, LinkHub
from geraniumtrack.protocol.metrics_api import add_metrics
from geraniumtrack.protocol.restriction_messages import (
    RelayAuthority,
    Restriction,
    ShareRestrictions,
)
from geraniumtrack.protocol.target_api import AnnouncementApi
from geraniumtrack.sentinels import Absent
from geraniumtrack.settings import EntrySettings, read_secret
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Team
from geraniumtrack.state.view import ConfigView
from geraniumtrack.transport.target_client import TargetClient
from geraniumtrack.transport.target_exchange import TaskRequest

__all__ = ["Entry"]

ADMIT_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.1
# Longest wait for authority between the start and readiness. Authority is the confirmation of this
# entry's session by a leader; see `coordination.limits.authority`.
AUTHORITY_WAIT_S = 10.0
FLUSH_S = 0.2  # for the last answers to leave the socket buffers


class Entry:
    """One entry process: creates its components and connects them.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
    """

    def __init__(self, reactor: Any, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.view = ConfigView()
        self.targets = TargetTable()
        self._reactor = reactor
        self._stopping = False
        self._rejects_requests = False
        self._had_authority = False
        self._started_at = reactor.seconds()
        self._admissions_in_flight: set[str] = set()
        self._http_port: Any = None
        self._secret = read_secret(cfg.secret_file)
        self._hub = LinkHub(
            reactor,
            identity=cfg.identity,
            secret=self._secret,
            handler=self._handle_message,
            on_ready=self._on_link_ready,
        )
        self._reporter = TargetReporter(view=self.view, targets=self.targets)
        self.controllers = ControllerClient(
            reactor,
            cfg=cfg,
            hub=self._hub,
            view=self.view,
            task_counts=self._task_counts,
            on_change=self._on_change,
            reporter=self._reporter,
        )
        self._target_client = TargetClient(
            reactor, may_renew=lambda sent_id: self._execution.may_renew(sent_id)
        )
        self._execution = Execution(
            cfg=cfg,
            clock=reactor,
            controllers=self.controllers,
            target_client=self._target_client,
            make_request=_task_request,
            wall_clock=time.time,
        )
        self.serving = RequestService(
            reactor,
            cfg=cfg,
            view=self.view,
            targets=self.targets,
            controllers=self.controllers,
            execution=self._execution,
        )
        self._reporter.dispatcher = self.serving.dispatcher
        self.peers = PeerTask(
            reactor,
            cfg=cfg,
            hub=self._hub,
            build_gossip=self._build_gossip,
            on_gossip=self._on_gossip,
            view=self.view,
            controllers=self.controllers,
        )
        self._restrictions = RestrictionTask(
            reactor,
            view=self.view,
            controllers=self.controllers,
            peers=self.peers,
            on_change=self._on_change,
        )

    def start(self) -> Deferred:
        """Opens the peer and HTTP ports and starts; the Deferred fires when both are open."""
        fut = self._hub.listen(self.cfg.peer_listen.address)
        fut.addCallback(
            lambda _: listen_app(
                self._reactor,
                self._app(),
                self.cfg.http_listen.address,
                bounds=HttpBounds(
                    self.cfg.max_body_bytes,
                    self.cfg.max_connections,
                    self.cfg.max_buffered_bytes,
                ),
            )
        )
        return fut.addCallback(self._on_listening)

    @inlineCallbacks
    def stop(self) -> Any:
        """Stops accepting requests, finishes the accepted ones and closes the session.

        Requests are still accepted for `settle_s`, until the balancer has noticed that the entry is
        not ready. Requests that are unfinished `drain_s` later are abandoned.
        """
        self._stopping = self.serving.leaving = True
        logs.event("entry_draining", in_progress=self.serving.in_progress)
        self.peers.send_gossip()
        yield deferLater(self._reactor, self.cfg.settle_s)
        self._rejects_requests = True
        drain_deadline = self._reactor.seconds() + self.cfg.drain_s
        while self._has_unfinished_work() and self._reactor.seconds() < drain_deadline:
            yield deferLater(self._reactor, DRAIN_POLL_S)
        yield deferLater(self._reactor, FLUSH_S)
        self.peers.stop()
        self._restrictions.stop()
        self.controllers.stop()
        yield self.controllers.close_session()
        self.serving.stop()
        self._hub.stop()
        if self._http_port is not None:
            yield self._http_port.stopListening()
        yield self._target_client.close()

    def _has_unfinished_work(self) -> bool:
        return bool(self.serving.in_progress or self._execution.pending_outcomes)

    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.view.ready and self._authority_wait_is_over() and not self._stopping

    def _authority_wait_is_over(self) -> bool:
        # An entry that had authority once stays ready without it, because requests to open queues
        # can still run in a data centre that is disconnected from the controllers. An entry that
        # starts there waits for authority, but only AUTHORITY_WAIT_S, for the same reason.
        now = self._reactor.seconds()
        self._had_authority |= self.controllers.authority.age(now) <= self.cfg.key_freshness_s
        return self._had_authority or now - self._started_at > AUTHORITY_WAIT_S

    def accepts_requests(self) -> bool:
        """Whether new requests are accepted.

        They are accepted until `settle_s` after the call of `stop`, because the balancer may still
        send requests here.
        """
        return self.view.ready and not self._rejects_requests

    def key_team(self, key: str) -> Team | Absent:
        """Returns the team of a key, or why the key is refused.

        A key is refused if the authority of this entry is older than `key_freshness_s`, because the
        key may have been withdrawn since. Authority is the confirmation of this entry's session by
        a leader, or that of a peer entry's session which the peer has relayed.
        """
        team = self.view.team_of(key)
        age = self.controllers.authority.age(self._reactor.seconds())
        if team and age > self.cfg.key_freshness_s:
            return Absent("no_authority", "keys cannot be checked here now; retry elsewhere")
        return team

    def restrict(self, restriction: Restriction) -> bool | Absent:
        """Applies an operator's restriction; returns True, or why it is not applied."""
        return self._restrictions.apply(restriction)

    def status(self, operation_id: str = "") -> dict[str, Any]:
        """Returns the state of this entry for operators.

        Args:
            operation_id: Id of a restriction; `operation_in_force` says whether it is active here.
        """
        now = self._reactor.seconds()
        age_s = self.controllers.authority.age(now)
        return {
            "name": self.cfg.name,
            "data_centre": self.cfg.data_centre,
            "ready": self.ready(),
            "version": self.view.version,
            "session_valid": self.controllers.authority.session_valid(now),
            "authority_age_s": round(age_s, 3) if age_s < float("inf") else None,
            "key_freshness_s": self.cfg.key_freshness_s,
            "allotments": self.controllers.allotments(),
            "restrictions": [asdict(pending) for pending in self.view.restrictions.pending()],
            "operation_in_force": self.view.restrictions.in_force(operation_id),
        }

    @tracing.hop("entry")
    def submit(self, submit: msgs.Submit) -> Deferred:
        """Serves a caller's request; the Deferred fires with its Answer."""
        return self.serving.submit(submit)

    def cancel(self, task_id: str) -> None:
        """Cancels the request of a caller that disconnected."""
        self.serving.cancel(task_id)

    def handle_announcement(self, announcement: Announcement) -> None:
        """Handles a target's announcement; proposes to admit the target if it is new."""
        now = self._reactor.seconds()
        if not self.targets.announce(announcement, now):
            self._reporter.record_older_incarnation(announcement, now)
        known = self.view.instance(announcement.name)
        if known is None and announcement.name not in self._admissions_in_flight:
            self._admit(announcement)
        self.serving.dispatch()

    def _app(self) -> Klein:
        app = with_json_errors(Klein())
        add_metrics(app, self._secret)
        add_entry_api(app, self, self._secret)
        callers = CallerApi(self, cfg=self.cfg, view=self.view).app
        targets = AnnouncementApi(self).app

        @app.route("/v1/targets", branch=True)
        def route_targets(_req: Any) -> Any:
            return targets.resource()

        @app.route("/", branch=True)
        def route_callers(_req: Any) -> Any:
            return callers.resource()

        return app

    def _on_listening(self, http_port: Any) -> None:
        self._http_port = http_port
        self.controllers.start()
        self.peers.start()
        self._restrictions.start()
        self.serving.start(self.peers)
        logs.event("entry_started", session=self.controllers.session)

    def _on_change(self) -> None:
        """Runs the dispatcher after the view, an allotment or a restriction changed."""
        if self.serving.peers is not None:
            self.serving.dispatch()

    def _on_link_ready(self, link: Link) -> None:
        if link.peer.role == "controller":
            self.controllers.subscribe(link.peer.name)

    def _task_counts(self) -> tuple[dict, dict]:
        """Returns the wanted and the running tasks by team."""
        dispatcher = self.serving.dispatcher
        return dispatcher.wanted(), dict(dispatcher.running)

    def _build_gossip(self, sequence: int) -> msgs.Gossip:
        return msgs.Gossip(
            entry=self.cfg.name,
            session=self.controllers.session,
            data_centre=self.cfg.data_centre,
            sequence=sequence,
            version=self.view.version,
            ready=self.ready(),
            loads=self.serving.loads(),
            usage=self.serving.usage(),
        )

    def _on_gossip(self, gossip: msgs.Gossip) -> None:
        """Handles gossip of another entry that is newer than the last one."""
        self.serving.handle_gossip(gossip)

    @inlineCallbacks
    def _admit(self, announcement: Announcement) -> Any:
        self._admissions_in_flight.add(announcement.name)
        command = cmd.AdmitInstance(
            announcement.name, announcement.pool, announcement.data_centre, announcement.rack
        )
        try:
            yield self.controllers.propose(command, timeout_s=ADMIT_TIMEOUT_S)
        finally:
            self._admissions_in_flight.discard(announcement.name)

    def _handle_message(self, link: Link, body: Any, reply: Any, trace: str) -> None:
        with tracing.use_remote_context(trace):
            self._handle(body, link, reply)

    @singledispatchmethod
    def _handle(self, body: Any, link: Link, reply: Any) -> None:
        reply(msgs.Failed("unknown_message", f"{type(body).__name__} is not for an entry"))

    @_handle.register
    def _(self, body: msgs.ViewDelta, link: Link, reply: Any) -> None:
        self.controllers.install(body)

    @_handle.register
    def _(self, body: msgs.AllotmentNotice, link: Link, reply: Any) -> None:
        self.controllers.handle_allotment_notice(body)

    @_handle.register
    def _(self, body: msgs.Gossip, link: Link, reply: Any) -> None:
        self.peers.handle_gossip(body)

    @_handle.register
    def _(self, body: msgs.FetchView, link: Link, reply: Any) -> None:
        reply(self.peers.answer_fetch(body))

    @_handle.register
    def _(self, body: RelayAuthority, link: Link, reply: Any) -> None:
        reply(self.peers.answer_relay())

    @_handle.register
    def _(self, body: ShareRestrictions, link: Link, reply: Any) -> None:
        self._restrictions.handle_shared(body, link)

    @_handle.register
    def _(self, body: msgs.Submit, link: Link, reply: Any) -> None:
        self.serving.handle_forwarded(body).addCallback(reply)

    @_handle.register
    def _(self, body: msgs.Cancel, link: Link, reply: Any) -> None:
        self.serving.cancel(body.task_id)


def _task_request(submit: msgs.Submit, timeout_s: float, lease_s: float) -> TaskRequest:
    return TaskRequest(
        task_id=uuid.uuid4().hex,
        method=submit.method,
        path=submit.path,
        content_type=submit.content_type,
        body=submit.body,
        lease_s=lease_s,
        timeout_s=timeout_s,
    )
