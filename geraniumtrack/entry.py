"""The entry daemon: takes callers' requests and runs them on targets."""

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
from geraniumtrack.coordination.controller_client import ControllerClient
from geraniumtrack.coordination.execution import Execution
from geraniumtrack.coordination.membership import Announcement, TargetTable
from geraniumtrack.coordination.peers import PeerTask
from geraniumtrack.coordination.restriction_task import RestrictionTask
from geraniumtrack.coordination.serving import RequestService
from geraniumtrack.coordination.target_reports import TargetReporter
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.caller_api import CallerApi
from geraniumtrack.protocol.entry_api import add_entry_api
from geraniumtrack.protocol.http import listen_app, with_json_errors
from geraniumtrack.protocol.links import Link, LinkHub
from geraniumtrack.protocol.metrics_api import add_metrics
from geraniumtrack.protocol.restriction_messages import (
    RelayAuthority,
    Restriction,
    ShareRestrictions,
)
from geraniumtrack.protocol.target_api import TargetApi
from geraniumtrack.sentinels import Absent
from geraniumtrack.settings import EntrySettings, read_secret
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Team
from geraniumtrack.state.view import ConfigView
from geraniumtrack.transport.target_client import TargetClient, TaskRequest

__all__ = ["Entry"]

ADMIT_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.1
AUTHORITY_WAIT_S = 10.0
FLUSH_S = 0.2  # for the last answers to leave the socket buffers


class Entry:
    """One entry process: builds the tasks and connects them.

    Args:
        reactor: Twisted reactor.
        cfg: Its settings.
    """

    def __init__(self, reactor: Any, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.view = ConfigView()
        self.targets = TargetTable()
        self._reactor = reactor
        self._stopping = False
        self._closed = False
        self._had_authority = False
        self._started_at = reactor.seconds()
        self._admitting: set[str] = set()
        self._http_port: Any = None
        self._secret = read_secret(cfg.secret_file)
        self._hub = LinkHub(
            reactor,
            identity=cfg.identity,
            secret=self._secret,
            handler=self._handle_link,
            on_ready=self._link_ready,
        )
        self._reporter = TargetReporter(view=self.view, targets=self.targets)
        self.controllers = ControllerClient(
            reactor,
            cfg=cfg,
            hub=self._hub,
            view=self.view,
            task_counts=self._describe_session,
            on_change=self._changed,
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
            describe=self._describe_gossip,
            on_gossip=self._gossip_heard,
            view=self.view,
            controllers=self.controllers,
        )
        self._restrictions = RestrictionTask(
            reactor,
            view=self.view,
            controllers=self.controllers,
            peers=self.peers,
            on_change=self._changed,
        )

    def start(self) -> Deferred:
        """Opens the ports and starts; the Deferred fires when both ports are open."""
        fut = self._hub.listen(self.cfg.peer_listen.address)
        fut.addCallback(
            lambda _: listen_app(
                self._reactor,
                self._app(),
                self.cfg.http_listen.address,
                max_body_bytes=self.cfg.max_body_bytes,
            )
        )
        return fut.addCallback(self._started)

    @inlineCallbacks
    def stop(self) -> Any:
        """Stops taking requests, finishes the running ones and closes the session."""
        self._stopping = self.serving.leaving = True
        logs.event("entry_draining", in_progress=self.serving.in_progress)
        self.peers.send_gossip()
        yield deferLater(self._reactor, self.cfg.settle_s)
        self._closed = True
        give_up = self._reactor.seconds() + self.cfg.drain_s
        while self._busy() and self._reactor.seconds() < give_up:
            yield deferLater(self._reactor, DRAIN_POLL_S)
        yield deferLater(self._reactor, FLUSH_S)
        self.peers.stop()
        self._restrictions.stop()
        self.controllers.stop()
        yield self.controllers.close_session()
        self.serving.stop()
        self._hub.stop()
        yield self._http_port.stopListening()
        yield self._target_client.close()

    def _busy(self) -> bool:
        return bool(self.serving.in_progress or self._execution.pending_outcomes)

    def ready(self) -> bool:
        """Whether callers may send requests here."""
        return self.view.ready and self._may_check_keys() and not self._stopping

    def _may_check_keys(self) -> bool:
        # Once ready, an entry stays so without authority: open queues go on in a cut-off data
        # centre. One that starts there waits for authority, but not for ever.
        now = self._reactor.seconds()
        self._had_authority |= self.controllers.authority.age(now) <= self.cfg.key_freshness_s
        return self._had_authority or now - self._started_at > AUTHORITY_WAIT_S

    def accepts(self) -> bool:
        """Whether new requests are taken: also while the balancer still sends some here."""
        return self.view.ready and not self._closed

    def key_team(self, key: str) -> Team | Absent:
        """Finds the team of a key, if the configuration is fresh enough to trust it."""
        team = self.view.team_of(key)
        age = self.controllers.authority.age(self._reactor.seconds())
        if team and age > self.cfg.key_freshness_s:
            return Absent("no_authority", "keys cannot be checked here now; retry elsewhere")
        return team

    def restrict(self, restriction: Restriction) -> bool:
        """Applies an operator's restriction; returns whether it is in force."""
        return self._restrictions.apply(restriction)

    def status(self, operation_id: str = "") -> dict[str, Any]:
        """Returns what operators are told of this entry, and of one restrictive operation."""
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
            "restrictions": [asdict(held) for held in self.view.restrictions.pending()],
            "operation_in_force": self.view.restrictions.in_force(operation_id),
        }

    @tracing.hop("entry")
    def submit(self, submit: msgs.Submit) -> Deferred:
        """Takes a caller's request; the Deferred gives its Answer."""
        return self.serving.submit(submit)

    def cancel(self, task_id: str) -> None:
        """Ends the request of a caller that went away."""
        self.serving.cancel(task_id)

    def announced(self, announcement: Announcement) -> None:
        """Takes a target's announcement; has it admitted if it is new."""
        now = self._reactor.seconds()
        if not self.targets.announce(announcement, now):
            self._reporter.record_older_incarnation(announcement, now)
        known = self.view.instance(announcement.name)
        if known is None and announcement.name not in self._admitting:
            self._admit(announcement)
        self.serving.dispatch()

    def _app(self) -> Klein:
        app = with_json_errors(Klein())
        add_metrics(app, self._secret)
        add_entry_api(app, self, self._secret)
        callers = CallerApi(self, cfg=self.cfg, view=self.view).app
        targets = TargetApi(self).app

        @app.route("/v1/targets", branch=True)
        def to_targets(_req: Any) -> Any:
            return targets.resource()

        @app.route("/", branch=True)
        def to_callers(_req: Any) -> Any:
            return callers.resource()

        return app

    def _started(self, port: Any) -> None:
        self._http_port = port
        self.controllers.start()
        self.peers.start()
        self._restrictions.start()
        self.serving.start(self.peers)
        logs.event("entry_started", session=self.controllers.session)

    def _changed(self) -> None:
        if self.serving.peers is not None:
            self.serving.dispatch()

    def _link_ready(self, link: Link) -> None:
        if link.peer.role == "controller":
            self.controllers.subscribe(link.peer.name)

    def _describe_session(self) -> tuple[dict, dict]:
        dispatcher = self.serving.dispatcher
        return dispatcher.wanted(), dict(dispatcher.running)

    def _describe_gossip(self, sequence: int) -> msgs.Gossip:
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

    def _gossip_heard(self, gossip: msgs.Gossip) -> None:
        """Acts on a newer gossip of another entry."""
        self.serving.handle_gossip(gossip)

    @inlineCallbacks
    def _admit(self, said: Announcement) -> Any:
        self._admitting.add(said.name)
        command = cmd.AdmitInstance(said.name, said.pool, said.data_centre, said.rack)
        try:
            yield self.controllers.propose(command, timeout_s=ADMIT_TIMEOUT_S)
        finally:
            self._admitting.discard(said.name)

    def _handle_link(self, link: Link, body: Any, reply: Any, trace: str) -> None:
        with tracing.remote(trace):
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
