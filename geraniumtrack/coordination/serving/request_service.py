"""Handles requests in an entry: routes them to dispatchers, runs their tasks, and answers them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import LoopingCall

from geraniumtrack import logs, tracing
from geraniumtrack.coordination.entries.controller_client import ControllerClient
from geraniumtrack.coordination.entries.peers import PeerTask
from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.serving.dispatch import Dispatcher, Placement, Task
from geraniumtrack.coordination.serving.execution import Execution, refusal
from geraniumtrack.coordination.serving.forwarding import LINK_LOST, Forwarder
from geraniumtrack.coordination.serving.routing import MAX_HOPS, Router
from geraniumtrack.coordination.serving.task_outcomes import HTTP_STATUS, TaskOutcomes
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.sentinels import is_absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.view import ConfigView

__all__ = ["RequestService"]

SCAN_INTERVAL_S = 0.1  # between checks of deadlines, ownership and data centres
FROZEN_GAP_S = 1.0  # a longer gap between scans means that the process was frozen


class RequestService:
    """Tracks the requests that an entry accepted and the tasks that it dispatches.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        view: Configuration view.
        targets: Table of the known targets.
        controllers: Client of the controllers.
        execution: Runs tasks on the targets on which they were placed.

    Attributes:
        dispatcher: Queues tasks and places them on targets.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: EntrySettings,
        view: ConfigView,
        targets: TargetTable,
        controllers: ControllerClient,
        execution: Execution,
    ) -> None:
        self.dispatcher = Dispatcher(data_centre=cfg.data_centre, view=view, targets=targets)
        self._forwarder = Forwarder(reactor, cfg=cfg, view=view)
        self._reactor = reactor
        self._cfg = cfg
        self._view = view
        self._controllers = controllers
        self._execution = execution
        self._outcomes = TaskOutcomes(
            reactor,
            data_centre=cfg.data_centre,
            dispatcher=self.dispatcher,
            targets=targets,
            controllers=controllers,
            execution=execution,
            move_tasks=self._move_tasks,
        )
        self._last_scan_at = reactor.seconds()
        self._scan_loop = LoopingCall(self._scan)
        self._scan_loop.clock = reactor

    def start(self, peers: PeerTask) -> None:
        """Starts the periodic scan.

        Args:
            peers: Gossip with the other entries.
        """
        self.peers = peers
        self._forwarder.restart_hold_off(self._reactor.seconds())
        self._last_scan_at = self._reactor.seconds()
        self._scan_loop.start(SCAN_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the periodic scan; no request may be in progress any more."""
        if self._scan_loop.running:
            self._scan_loop.stop()

    @property
    def router(self) -> Router:
        """Chooses the data centre of a request."""
        return self._forwarder.router

    @property
    def peers(self) -> PeerTask | None:
        """Gossip with the other entries; None before `start`."""
        return self._forwarder.peers

    @peers.setter
    def peers(self, peers: PeerTask) -> None:
        self._forwarder.peers = peers

    @property
    def leaving(self) -> bool:
        """Whether the entry is draining; other entries then take its requests if they can."""
        return self._forwarder.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self._forwarder.leaving = leaving

    @property
    def in_progress(self) -> int:
        """Number of requests that wait for an answer, including forwarded ones."""
        return self._outcomes.in_progress + self._forwarder.in_progress

    def loads(self) -> dict[str, msgs.PoolLoad]:
        """Returns the loads of the pools to which this entry dispatches, for gossip."""
        if self.peers is None:
            return {}
        now = self._reactor.seconds()
        pools = [
            pool for pool in self._view.sections["pools"] if self._forwarder.may_dispatch(pool)
        ]
        keyed = self._controllers.authority.session_valid(now)
        loads = self.dispatcher.loads(now, pools, keyed=keyed)
        self.router.update_loads(self._cfg.name, self._cfg.data_centre, loads, now)
        return loads

    def usage(self) -> dict[str, float]:
        """Returns the average number of charged slots of each team at this entry, for gossip.

        Slots of a pool are charged only while the pool is contended, or always if slots are not
        lent for free.
        """
        return self.dispatcher.shares.charged_usage(self._reactor.seconds())

    def handle_gossip(self, gossip: msgs.Gossip) -> None:
        """Stores the loads and usage that another entry gossiped."""
        now = self._reactor.seconds()
        self._forwarder.clear_cache()
        self.dispatcher.shares.update_remote_usage(gossip.entry, gossip.usage, now)
        if gossip.ready:
            self.router.update_loads(gossip.entry, gossip.data_centre, gossip.loads, now)
        else:
            self.router.forget(gossip.entry)

    def submit(self, submit: msgs.Submit) -> Deferred:
        """Accepts a caller's request; returns a Deferred of its Answer."""
        return self._route(submit, ())

    def handle_forwarded(self, submit: msgs.Submit) -> Deferred:
        """Accepts a request that another entry forwarded; returns a Deferred of its Answer."""
        here = self._cfg.data_centre
        if not self._view.in_service(here):
            return self._route(submit, (here,))
        pool = self._forwarder.pool(submit)
        if self._forwarder.owner(pool, here) == self._cfg.name or submit.hops >= MAX_HOPS:
            return self.dispatch_here(submit)
        return self._route(submit, (), stay_here=True)

    @tracing.hop("dispatcher")
    def dispatch_here(self, submit: msgs.Submit) -> Deferred:
        """Queues a request for targets of this data centre; returns a Deferred of its Answer."""
        now = self._reactor.seconds()
        task = Task(submit, self._forwarder.pool(submit), now + submit.timeout_s, now)
        task.may_have_run = submit.may_have_run
        if not self._view.in_service(self._cfg.data_centre):
            message = "no data centre in service has targets of this pool; retry later"
            return self._refuse_unqueued(task, "no_capacity", message)
        allotment = self._controllers.allotments().get(submit.team)
        rejected = self.dispatcher.enqueue(task, now=now, allotment=allotment)
        if rejected is not None:
            return self._refuse_unqueued(task, rejected.reason, rejected.detail)
        fut = self._outcomes.add(task)
        self.dispatch()
        return fut

    def cancel(self, task_id: str) -> None:
        """Cancels the task of a caller that disconnected, here or at its dispatcher."""
        self._forwarder.cancel(task_id)
        task = self._outcomes.get(task_id)
        if task is None:
            return
        if self.dispatcher.cancel(task):
            self._outcomes.refuse_and_answer(
                task, refusal(task.submit, 499, "cancelled", "the caller disconnected")
            )
        else:
            self._execution.cancel(task)

    def dispatch(self) -> None:
        """Places all tasks that may start now, and runs them."""
        if self.peers is None:
            return
        now = self._reactor.seconds()
        placements = self.dispatcher.place_tasks(
            now,
            allotments=self._controllers.allotments(),
            may_dispatch=self._forwarder.may_dispatch,
            ramp=self.router.ramp.factor(self._cfg.data_centre, now),
        )
        for placement in placements:
            if placement.task.placements == 1:
                self._outcomes.budget.record_first_start()
            fut = self._execution.run(placement, lambda p=placement: self._may_start(p))
            fut.addCallbacks(
                self._on_outcome,
                self._outcomes.handle_error,
                callbackArgs=(placement,),
                errbackArgs=(placement,),
            )
        self._controllers.check_demand()

    @inlineCallbacks
    def _route(
        self, submit: msgs.Submit, excluded: Iterable[str], *, stay_here: bool = False
    ) -> Any:
        """Dispatches a request here or forwards it, and reroutes it if the link is down or lost.

        A second copy of the request does no harm: idempotent work may be repeated, and other work
        is claimed under its request id before it is sent to a target.

        Args:
            submit: The request.
            excluded: Data centres that may not be chosen.
            stay_here: Whether to prefer this data centre; see `Forwarder.choose_destination`.

        Returns:
            A Deferred of the Answer.
        """
        deadline = self._reactor.seconds() + submit.timeout_s
        excluded = set(excluded)
        while True:
            remaining = max(0.001, deadline - self._reactor.seconds())
            submit = replace(submit, timeout_s=remaining)
            destination = self._forwarder.choose_destination(submit, excluded, stay_here=stay_here)
            self.router.record_sent(
                self._forwarder.pool(submit),
                destination.data_centre if destination else self._cfg.data_centre,
            )
            if destination is None:
                return (yield self.dispatch_here(submit))
            answer = yield self._forwarder.forward(submit, destination)
            if not is_absent(answer):
                return answer
            sent = answer.reason == LINK_LOST.reason
            # The lost dispatcher may hold a copy, so from now on a refusal must close the claim.
            submit = replace(
                submit,
                hops=submit.hops + 1,
                generated=submit.generated and not sent,
                may_have_run=submit.may_have_run or sent,
            )
            self.router.forget(destination.entry)
            excluded.add(destination.data_centre)
            stay_here = False

    def _move_queued(self) -> None:
        """Moves queued tasks that cannot start here soon to dispatchers that can start them."""
        here = self._cfg.data_centre
        now = self._reactor.seconds()
        out_of_service = not self._view.in_service(here)
        has_session = self._controllers.authority.session_valid(now)
        for pool in self.dispatcher.queued_pools():
            owner = self._forwarder.owner(pool, here)
            if out_of_service or owner is None:
                self._move_tasks(self.dispatcher.pop_pool(pool), (here,))
            elif owner != self._cfg.name:
                self._move_tasks(self.dispatcher.pop_pool(pool), ())
            elif not self.router.choose_data_centre(pool, keyed=True, now=now, excluded=(here,)):
                continue
            elif not self.dispatcher.has_targets(pool, now):
                self._move_tasks(self.dispatcher.pop_pool(pool), (here,))
            elif not has_session:
                tasks = self.dispatcher.pop_pool(pool)
                self._requeue([task for task in tasks if not task.submit.team])
                self._move_tasks([task for task in tasks if task.submit.team], (here,))

    def _move_tasks(self, tasks: list[Task], excluded: tuple[str, ...]) -> None:
        kept = []
        now = self._reactor.seconds()
        for task in tasks:
            submit = replace(
                task.submit,
                timeout_s=task.deadline - now,
                hops=task.submit.hops + bool(excluded),
                may_have_run=task.may_have_run,
            )
            # A claimed task is not moved, because its claim names this entry's attempt.
            if (
                task.attempt
                or submit.timeout_s <= 0
                or self._forwarder.choose_destination(submit, excluded, stay_here=True) is None
            ):
                kept.append(task)
                continue
            fut = self._route(submit, excluded, stay_here=True)
            fut.addCallback(lambda answer, t=task: self._outcomes.deliver_answer(t, answer))
            fut.addErrback(lambda failure, t=task: self._move_failed(t, failure))
        if len(tasks) > len(kept):
            logs.event("tasks_moved", count=len(tasks) - len(kept), kept=len(kept))
        self._requeue(kept)

    def _move_failed(self, task: Task, failure: Any) -> None:
        logs.warn("move_failed", detail=failure.getErrorMessage())
        message = "internal error while the entry moved the task"
        self._outcomes.deliver_answer(
            task, refusal(task.submit, 500, "internal", message, run="unknown")
        )

    def _requeue(self, tasks: list[Task]) -> None:
        for task in reversed(tasks):
            self.dispatcher.requeue(task)

    def _may_start(self, placement: Placement) -> bool:
        submit = placement.task.submit
        if not self._view.in_service(self._cfg.data_centre):
            return False
        running = self.dispatcher.running.get(submit.team, 0)
        return not submit.team or self._controllers.may_run(submit.team, running)

    def _on_outcome(self, outcome: Any, placement: Placement) -> None:
        self._outcomes.handle(outcome, placement)
        self.dispatch()

    def _scan(self) -> None:
        now = self._reactor.seconds()
        if now - self._last_scan_at > FROZEN_GAP_S:
            logs.warn("process_was_frozen", seconds=now - self._last_scan_at)
            self._forwarder.restart_hold_off(now)
        self._last_scan_at = now
        self._forwarder.clear_cache()
        self.router.ramp.observe(self._view, now)
        for task in self.dispatcher.expire(now):
            message = "the deadline passed before a slot was free"
            self._outcomes.refuse_and_answer(task, refusal(task.submit, 504, "deadline", message))
        self._move_queued()
        self.dispatch()

    def _refuse_unqueued(self, task: Task, error: str, message: str) -> Deferred:
        refused = refusal(task.submit, HTTP_STATUS[error], error, message, retry=1.0)
        return self._execution.resolve_refusal(task, refused)
