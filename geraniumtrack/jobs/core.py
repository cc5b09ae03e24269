"""A controller for jobs: a replica of the log, and the owner while it leads."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.coordination.consensus.replicator import Replicator
from geraniumtrack.jobs.calls.advice import AdvicePort
from geraniumtrack.jobs.calls.operator_orders import CallOrigin, OperatorOrders
from geraniumtrack.jobs.calls.owner_client import ATTEMPT_TIMEOUT_S, OwnerClient
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.instances.machine_port import MachinePort
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, OwnerHint
from geraniumtrack.jobs.owner import Owner
from geraniumtrack.jobs.runs.worker_port import WorkerPort
from geraniumtrack.jobs.settings import CoreSettings
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.protocol import raft_messages
from geraniumtrack.protocol.links import Link, LinkHub
from geraniumtrack.state.store import Store, init_folder
from geraniumtrack.transport.arrival_clock import ArrivalClock

__all__ = ["Core"]

ROLE_CHECK_INTERVAL_S = 0.05
HINT_INTERVAL_S = 0.4  # regular hints also show entries that the link works


class Core:
    """One controller process.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the controller.
        port: Interface to the workers.
        machines: Interface to the platform's machine API.
        advice: Interface to the policy service, or None if there is none.
        wall_clock: Returns the wall-clock time in seconds.

    Attributes:
        arrivals: Bounds the age of what this process reads.
    """

    def __init__(
        self,
        reactor: Any,
        cfg: CoreSettings,
        *,
        port: WorkerPort,
        machines: MachinePort,
        advice: AdvicePort | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.cfg = cfg
        self.arrivals = ArrivalClock(reactor)
        self.owner: Owner | None = None
        self._reactor = reactor
        self._port = port
        self._machines = machines
        self._advice = advice
        self._wall_clock = wall_clock
        self._hub = LinkHub(
            reactor,
            identity=cfg.identity,
            secret=cfg.secret,
            handler=self._handle_link,
            on_ready=self._link_ready,
        )
        self._members = {cfg.name, *cfg.seeds}
        self.replicator = Replicator(
            reactor,
            cfg=cfg,
            store=_open_store(cfg),
            send=self._send_peer,
            on_applied=self._applied,
            state_type=JobsState,
            peers=lambda: tuple(self._members),
        )
        self._service = JobService(
            state=lambda: self.replicator.state,
            propose=self.replicator.propose,
            owner=lambda: self.owner,
            wall_clock=wall_clock,
            seconds=reactor.seconds,
            max_job_bytes=cfg.max_job_bytes,
        )
        self._orders = OperatorOrders(
            reactor, self.call, lambda: self.replicator.state.evacuation_revision
        )
        self._client: OwnerClient | None = None
        self._sent_hint = ("", 0)
        self._next_hint_at = 0.0
        self._role_checks = LoopingCall(self._check_role)
        self._role_checks.clock = reactor

    def start(self) -> Deferred:
        """Listens for links, then starts the replica."""
        fut = self._hub.listen(self.cfg.peer_address(self.cfg.name))
        return fut.addCallback(self._started)

    def stop(self) -> Deferred:
        """Stops the owner, the links and the replica."""
        self._role_checks.stop()
        if self.owner is not None:
            self.owner.stop()
        self._hub.stop()
        return self.replicator.stop()

    @property
    def failure(self) -> str:
        """Reason for which the replica stopped by itself, or an empty string."""
        return self.replicator.failure

    @property
    def is_owner(self) -> bool:
        """Whether this controller is the owner and holds the leadership lease."""
        return self.owner is not None and self.replicator.is_serving()

    @property
    def leader(self) -> str:
        """Name of the controller believed to lead, or an empty string."""
        return self.replicator.leader

    def add_controllers(self, names: tuple[str, ...]) -> None:
        """Connects to further controllers and keeps the links open."""
        self._members.update(names)
        self._client.add_controllers(names)

    def call(self, body: Any, *, timeout_s: float) -> Deferred:
        """Answers a call if this controller is the owner, else forwards it to the owner."""
        if self.is_owner:
            return self._service.answer(body)
        return self._client.call(body, timeout_s=timeout_s)

    def order(self, body: Any, origin: CallOrigin) -> Deferred:
        """Carries out an operator's order; see `OperatorOrders.carry_out`."""
        return self._orders.carry_out(body, origin)

    def _started(self, _: Any) -> None:
        self._client = OwnerClient(
            self._hub, seeds=self.cfg.seeds, address_of=self.cfg.peer_address
        )
        self.replicator.start()
        self._role_checks.start(ROLE_CHECK_INTERVAL_S, now=False)
        logs.event("core_started", replica=self.replicator.node.replica_id)

    # Links.

    def _send_peer(self, name: str, message: Any) -> None:
        link = self._hub.link(name)
        if link is not None:
            link.send(message)

    def _link_ready(self, link: Link) -> None:
        if link.peer.role == "controller":
            self._members.add(link.peer.name)
            self._client.add_controllers((link.peer.name,))
        link.send(self._current_hint())

    def _handle_link(self, link: Link, body: Any, reply: Any, _trace: str) -> None:
        if isinstance(body, raft_messages.REPLICA_MESSAGES):
            self.replicator.receive_from(link.peer, body)
        else:
            self._handle(body, link, reply)

    @singledispatchmethod
    def _handle(self, body: Any, link: Link, reply: Any) -> None:
        max_age_s = self._reactor.seconds() - self.arrivals.arrived_after
        if max_age_s >= ATTEMPT_TIMEOUT_S:
            # The sender may have given the attempt up, and its caller may have been refused since.
            call = type(body).__name__
            logs.event("call_dropped", call=call, peer=link.peer.name, max_age_s=max_age_s)
            reply(JobAnswer(AnswerKind.NOT_OWNER, detail="the call may be too old"))
            return
        if not self.is_owner:
            self._client.forward(body).addCallback(reply)
            return
        self._service.answer(body).addCallback(reply)

    @_handle.register
    def _(self, body: OwnerHint, _link: Link, _reply: Any) -> None:
        self._members.update(body.members)
        self._client.handle_hint(body)

    # Ownership.

    def _check_role(self) -> None:
        node = self.replicator.node
        if self.owner is not None and (not node.is_leader or node.term != self.owner.term):
            self.owner.stop()
            self.owner = None
        if self.owner is None and self.replicator.is_serving():
            self._become_owner(node.term)
        now = self._reactor.seconds()
        if (self.leader, node.term) != self._sent_hint or now >= self._next_hint_at:
            self._sent_hint = (self.leader, node.term)
            self._next_hint_at = now + HINT_INTERVAL_S
            self._send_hints()

    def _become_owner(self, term: int) -> None:
        silence_s = self.replicator.node.leader_silence_s(self._reactor.seconds())
        logs.event("owner_elected", term=term, silence_s=silence_s)
        self.owner = Owner(
            self._reactor,
            term=term,
            state=lambda: self.replicator.state,
            propose=self.replicator.propose,
            may_act=self.replicator.is_serving,
            port=self._port,
            machines=self._machines,
            advice=self._advice,
            wall_clock=self._wall_clock,
            instance_orders_fenced=self.cfg.instance_orders_fenced,
            policy=self.cfg.policy,
        )
        self.owner.start()

    def _current_hint(self) -> OwnerHint:
        return OwnerHint(self.leader, self.replicator.node.term, tuple(sorted(self._members)))

    def _send_hints(self) -> None:
        hint = self._current_hint()
        self._client.handle_hint(hint)
        for link in list(self._hub.accepted_links):
            if link.ready and link.peer.role == "entry":
                link.send(hint)

    def _applied(self, command: Any, _result: Any) -> None:
        if self.owner is not None:
            self.owner.on_applied(command)


def _open_store(cfg: CoreSettings) -> Store:
    """Opens the data folder; on the first start of the whole system the seeds become the voters."""
    folder = cfg.data_folder
    is_new = not (folder / "identity.json").exists()
    if is_new and cfg.bootstrap and cfg.name in cfg.seeds:
        init_folder(folder, name=cfg.name, peers=list(cfg.seeds))
    return Store(folder, name=cfg.name)
