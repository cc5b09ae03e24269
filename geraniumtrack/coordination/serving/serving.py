"""Handles requests in an entry: routes them to dispatchers, runs their tasks, and answers them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import LoopingCall

from geraniumtrack import logs, tracing
from geraniumtrack.coordination.entries.controller_client import ControllerClient
from geraniumtrack.coordination.entries.peers import PeerTask
from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.serving.dispatch import Dispatcher, Placement, Task
from geraniumtrack.coordination.serving.execution import Execution, refusal
from geraniumtrack.coordination.serving.ownership import Ownership, owner_of
from geraniumtrack.coordination.serving.retries import RetryBudget, decide_retry
from geraniumtrack.coordination.serving.routing import MAX_HOPS, Router
from geraniumtrack.errors import LinkUnavailable, RequestTimeout
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.links import was_sent
from geraniumtrack.sentinels import Absent, is_absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.view import ConfigView

__all__ = ["RequestService"]

SCAN_INTERVAL_S = 0.1  # between checks of deadlines, ownership and data centres
FROZEN_GAP_S = 1.0  # a longer gap between scans means that the process was frozen
PROPOSE_TIMEOUT_S = 2.0
FORWARD_MARGIN_S = 1.0  # added to the timeout, so that the dispatcher's refusal can still arrive

_HTTP_STATUS = {
    "deadline": 504,
    "no_capacity": 503,
    "outcome_unknown": 502,
    "queue_full": 429,
    "retries_exhausted": 503,
    "task_failed": 502,
}


class _Destination(NamedTuple):
    """Entry that dispatches a request, and its data centre."""

    entry: str
    data_centre: str


_LINK_DOWN = Absent("link_down", "the dispatching entry cannot be reached; nothing was sent")
_LINK_LOST = Absent("link_lost", "the link closed after the request was sent")


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
        router: Chooses the data centre of a request.
        peers: Gossip with the other entries; None before `start`.
        leaving: Whether the entry is draining; other entries then take its requests if they can.
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
        self.router = Router(cfg.data_centre, view)
        self.peers: PeerTask | None = None
        self.leaving = False
        self._reactor = reactor
        self._cfg = cfg
        self._view = view
        self._targets = targets
        self._controllers = controllers
        self._execution = execution
        self._budget = RetryBudget(now=reactor.seconds())
        self._ownership = Ownership(
            name=cfg.name,
            data_centre=cfg.data_centre,
            local_peers=[e.name for e in cfg.entries if self._in_same_data_centre(e)],
            now=reactor.seconds(),
        )
        self._pending_answers: dict[Task, Deferred] = {}
        self._tasks_by_id: dict[str, Task] = {}
        self._forwarded_to: dict[str, str] = {}
        self._may_dispatch_cache: dict[str, bool] = {}
        self._last_scan_at = reactor.seconds()
        self._scan_loop = LoopingCall(self._scan)
        self._scan_loop.clock = reactor

    def start(self, peers: PeerTask) -> None:
        """Starts the periodic scan.

        Args:
            peers: Gossip with the other entries.
        """
        self.peers = peers
        self._ownership.restart_hold_off(self._reactor.seconds())
        self._last_scan_at = self._reactor.seconds()
        self._scan_loop.start(SCAN_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the periodic scan; no request may be in progress any more."""
        if self._scan_loop.running:
            self._scan_loop.stop()

    @property
    def in_progress(self) -> int:
        """Number of requests that wait for an answer, including forwarded ones."""
        return len(self._pending_answers) + len(self._forwarded_to)

    def loads(self) -> dict[str, msgs.PoolLoad]:
        """Returns the loads of the pools to which this entry dispatches, for gossip."""
        if self.peers is None:
            return {}
        now = self._reactor.seconds()
        pools = [pool for pool in self._view.sections["pools"] if self._may_dispatch(pool)]
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
        self._may_dispatch_cache.clear()
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
        pool = self._pool(submit)
        if self._owner(pool, here) == self._cfg.name or submit.hops >= MAX_HOPS:
            return self.dispatch_here(submit)
        return self._route(submit, (), stay_here=True)

    @tracing.hop("dispatcher")
    def dispatch_here(self, submit: msgs.Submit) -> Deferred:
        """Queues a request for targets of this data centre; returns a Deferred of its Answer."""
        now = self._reactor.seconds()
        task = Task(submit, self._pool(submit), now + submit.timeout_s, now)
        task.may_have_run = submit.may_have_run
        if not self._view.in_service(self._cfg.data_centre):
            message = "no data centre in service has targets of this pool; retry later"
            return self._refuse_unqueued(task, "no_capacity", message)
        allotment = self._controllers.allotments().get(submit.team)
        rejected = self.dispatcher.enqueue(task, now=now, allotment=allotment)
        if rejected is not None:
            return self._refuse_unqueued(task, rejected.reason, rejected.detail)
        fut: Deferred = Deferred()
        self._pending_answers[task] = fut
        self._tasks_by_id[submit.task_id] = task
        self.dispatch()
        return fut

    def cancel(self, task_id: str) -> None:
        """Cancels the task of a caller that disconnected, here or at its dispatcher."""
        owner = self._forwarded_to.get(task_id)
        link = self.peers.link(owner) if owner else None
        if link is not None:
            link.send(msgs.Cancel(task_id))
        task = self._tasks_by_id.get(task_id)
        if task is None:
            return
        if self.dispatcher.cancel(task):
            self._refuse_and_answer(
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
            may_dispatch=self._may_dispatch,
            ramp=self.router.ramp.factor(self._cfg.data_centre, now),
        )
        for placement in placements:
            if placement.task.placements == 1:
                self._budget.record_first_start()
            fut = self._execution.run(placement, lambda p=placement: self._may_start(p))
            fut.addCallbacks(
                self._on_outcome,
                self._on_execution_error,
                callbackArgs=(placement,),
                errbackArgs=(placement,),
            )
        self._controllers.check_demand()

    def _in_same_data_centre(self, entry: Any) -> bool:
        return entry.name != self._cfg.name and entry.data_centre == self._cfg.data_centre

    def _pool(self, submit: msgs.Submit) -> str:
        queue = self._view.sections["queues"].get(submit.queue)
        return queue.pool if queue is not None else ""

    def _owner(self, pool: str, data_centre: str) -> str | None:
        """Returns the entry that dispatches to a pool in a data centre, or None if unknown."""
        heard = self.peers.table.all()
        now = self._reactor.seconds()
        if data_centre == self._cfg.data_centre and not self.leaving:
            return self._ownership.owner(pool, heard, now)
        live = self.peers.table.live(now)
        return owner_of(pool, [entry.name for entry in live if entry.data_centre == data_centre])

    def _may_dispatch(self, pool: str) -> bool:
        allowed = self._may_dispatch_cache.get(pool)
        if allowed is None:
            heard = self.peers.table.all()
            allowed = self._ownership.may_dispatch(pool, heard, self._reactor.seconds())
            self._may_dispatch_cache[pool] = allowed
        return allowed

    def _choose_destination(
        self, submit: msgs.Submit, excluded: Iterable[str], *, stay_here: bool = False
    ) -> _Destination | None:
        """Chooses the entry to forward a request to, or None to dispatch it here.

        Args:
            submit: The request.
            excluded: Data centres that may not be chosen.
            stay_here: Whether to prefer this data centre, because it was chosen before; ignored if
                it is excluded or out of service, or if this entry is leaving.
        """
        if submit.hops >= MAX_HOPS:
            return None
        pool = self._pool(submit)
        now = self._reactor.seconds()
        here = self._cfg.data_centre
        excluded = set(excluded)
        usable_here = self._view.in_service(here) and here not in excluded
        if stay_here and usable_here and not self.leaving:
            data_centre = here
        else:
            data_centre = self.router.choose_data_centre(
                pool, keyed=bool(submit.team), now=now, excluded=excluded
            )
        if data_centre is None:
            data_centre = here
        owner = self._owner(pool, data_centre)
        if owner is None or owner == self._cfg.name:
            return None
        return _Destination(owner, data_centre)

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
            stay_here: Whether to prefer this data centre; see `_choose_destination`.

        Returns:
            A Deferred of the Answer.
        """
        deadline = self._reactor.seconds() + submit.timeout_s
        excluded = set(excluded)
        while True:
            remaining = max(0.001, deadline - self._reactor.seconds())
            submit = replace(submit, timeout_s=remaining)
            destination = self._choose_destination(submit, excluded, stay_here=stay_here)
            self.router.record_sent(
                self._pool(submit),
                destination.data_centre if destination else self._cfg.data_centre,
            )
            if destination is None:
                return (yield self.dispatch_here(submit))
            answer = yield self._forward(submit, destination)
            if not is_absent(answer):
                return answer
            sent = answer.reason == _LINK_LOST.reason
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

    @inlineCallbacks
    def _forward(self, submit: msgs.Submit, destination: _Destination) -> Any:
        """Forwards a request; returns its Answer, or a sentinel if the link was down or lost."""
        link = self.peers.link(destination.entry)
        if link is None:
            return _LINK_DOWN
        self._forwarded_to[submit.task_id] = destination.entry
        forwarded = replace(submit, hops=submit.hops + 1)
        try:
            answer = yield link.request(forwarded, timeout_s=submit.timeout_s + FORWARD_MARGIN_S)
        except LinkUnavailable as exc:
            logs.event("forward_lost", entry=destination.entry, hops=forwarded.hops)
            return _LINK_LOST if was_sent(exc) else _LINK_DOWN
        except RequestTimeout:
            message = "the dispatching entry did not answer in time; retry with the same request id"
            return refusal(submit, 502, "outcome_unknown", message, run="unknown", retry=1.0)
        finally:
            self._forwarded_to.pop(submit.task_id, None)
        if isinstance(answer, msgs.Answer):
            return answer
        message = "the dispatching entry failed; retry with the same request id"
        return refusal(submit, 502, "outcome_unknown", message, run="unknown", retry=1.0)

    def _move_queued(self) -> None:
        """Moves queued tasks that cannot start here soon to dispatchers that can start them."""
        here = self._cfg.data_centre
        now = self._reactor.seconds()
        out_of_service = not self._view.in_service(here)
        has_session = self._controllers.authority.session_valid(now)
        for pool in self.dispatcher.queued_pools():
            owner = self._owner(pool, here)
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
                or self._choose_destination(submit, excluded, stay_here=True) is None
            ):
                kept.append(task)
                continue
            fut = self._route(submit, excluded, stay_here=True)
            fut.addCallback(lambda answer, t=task: self._deliver_answer(t, answer))
            fut.addErrback(lambda failure, t=task: self._move_failed(t, failure))
        if len(tasks) > len(kept):
            logs.event("tasks_moved", count=len(tasks) - len(kept), kept=len(kept))
        self._requeue(kept)

    def _move_failed(self, task: Task, failure: Any) -> None:
        logs.warn("move_failed", detail=failure.getErrorMessage())
        message = "internal error while the entry moved the task"
        self._deliver_answer(task, refusal(task.submit, 500, "internal", message, run="unknown"))

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
        now = self._reactor.seconds()
        self.dispatcher.release_slot(placement, now)
        if not isinstance(outcome, msgs.Answer):
            self._handle_target_failure(placement, outcome.reason, started=outcome.started)
        elif outcome.error or outcome.run != "ran":
            self.dispatcher.quarantine.record_no_result(placement.target, now)
            self._deliver_answer(placement.task, outcome)
        elif outcome.status >= 500:
            self._handle_error_answer(placement, outcome)
        else:
            self.dispatcher.quarantine.record_success(placement.task, placement.target, now)
            self._deliver_answer(placement.task, outcome)
        self._propose_health()
        self.dispatch()

    def _on_execution_error(self, failure: Any, placement: Placement) -> None:
        now = self._reactor.seconds()
        self.dispatcher.release_slot(placement, now)
        self.dispatcher.quarantine.record_no_result(placement.target, now)
        logs.warn("execution_failed", detail=failure.getErrorMessage())
        message = "internal error in the entry while the task ran"
        refused = refusal(placement.task.submit, 500, "internal", message, run="unknown")
        self._deliver_answer(placement.task, refused)

    def _handle_error_answer(self, placement: Placement, answer: msgs.Answer) -> None:
        """Retries a task that a target answered with a server error, if it is idempotent."""
        self._record_failure(placement, f"status {answer.status}")
        task = placement.task
        task.may_have_run = True
        if not task.submit.idempotent:
            self._deliver_answer(task, answer)
            return
        now = self._reactor.seconds()
        decision = decide_retry(task, started=True, budget=self._budget, now=now)
        if decision.retry:
            self._retry(task)
        elif decision.error == "retries_exhausted":
            self._deliver_answer(task, answer)
        else:
            self._fail_task(task, decision.error, decision.message, started=True)

    def _handle_target_failure(self, placement: Placement, reason: str, *, started: bool) -> None:
        task = placement.task
        task.may_have_run = task.may_have_run or started
        now = self._reactor.seconds()
        logs.event("target_failed", target=placement.target, reason=reason)
        if reason in ("cancelled", "deadline"):
            self.dispatcher.quarantine.record_no_result(placement.target, now)
            message = "the task ran until its deadline" if reason == "deadline" else "cancelled"
            self._fail_task(task, reason, message, started=started)
            return
        if reason in ("refused", "silent"):
            self._targets.mark_suspect(placement.target, now)
        if reason == "not_started":
            self.dispatcher.pause(placement.target, now)
        if reason in ("broken", "mismatched", "silent"):
            self._record_failure(placement, reason)
        else:
            task.tried.append(placement.target)
            self.dispatcher.quarantine.record_no_result(placement.target, now)
        decision = decide_retry(task, started=started, budget=self._budget, now=now)
        if decision.retry:
            self._retry(task)
        else:
            self._fail_task(task, decision.error, decision.message, started=started)

    def _retry(self, task: Task) -> None:
        """Queues a task here again if it has an untried target, else moves it elsewhere.

        A task that cannot be moved is also queued here again.
        """
        if self.dispatcher.has_untried_target(task, self._reactor.seconds()):
            self.dispatcher.requeue(task)
        else:
            self._move_tasks([task], (self._cfg.data_centre,))

    def _record_failure(self, placement: Placement, reason: str) -> None:
        task = placement.task
        task.failure_reasons.append(reason)
        task.failed_targets.append(placement.target)
        task.tried.append(placement.target)
        now = self._reactor.seconds()
        self.dispatcher.quarantine.record_failure(task, placement.target, now)

    def _propose_health(self) -> None:
        """Proposes to the controllers to set targets aside or return them.

        The controllers decide, because they keep the availability budget.
        """
        for command in self.dispatcher.quarantine.pop_proposals():
            logs.warn(
                "target_health",
                target=command.instance,
                proposal=type(command).__name__,
                reason=command.reason,
            )
            self._controllers.propose(command, timeout_s=PROPOSE_TIMEOUT_S)

    def _fail_task(self, task: Task, error: str, message: str, *, started: bool) -> None:
        status = _HTTP_STATUS.get(error, 499)
        if started or task.failure_reasons:
            refused = refusal(task.submit, status, error, message, run="unknown", retry=1.0)
            self._deliver_answer(task, refused)
        else:
            self._refuse_and_answer(task, refusal(task.submit, status, error, message, retry=1.0))

    def _scan(self) -> None:
        now = self._reactor.seconds()
        if now - self._last_scan_at > FROZEN_GAP_S:
            logs.warn("process_was_frozen", seconds=now - self._last_scan_at)
            self._ownership.restart_hold_off(now)
        self._last_scan_at = now
        self._may_dispatch_cache.clear()
        self.router.ramp.observe(self._view, now)
        for task in self.dispatcher.expire(now):
            message = "the deadline passed before a slot was free"
            self._refuse_and_answer(task, refusal(task.submit, 504, "deadline", message))
        self._move_queued()
        self.dispatch()

    def _refuse_unqueued(self, task: Task, error: str, message: str) -> Deferred:
        refused = refusal(task.submit, _HTTP_STATUS[error], error, message, retry=1.0)
        return self._execution.resolve_refusal(task, refused)

    def _refuse_and_answer(self, task: Task, refused: msgs.Answer) -> None:
        fut = self._execution.resolve_refusal(task, refused)
        fut.addCallback(lambda answer: self._deliver_answer(task, answer))

    def _deliver_answer(self, task: Task, answer: msgs.Answer) -> None:
        if self._tasks_by_id.get(task.submit.task_id) is task:
            del self._tasks_by_id[task.submit.task_id]
        fut = self._pending_answers.pop(task, None)
        if fut is not None:
            fut.callback(answer)
