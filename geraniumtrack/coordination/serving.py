"""A request's way through an entry: to its dispatcher, onto a target, and back to the caller."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import LoopingCall

from geraniumtrack import logs, tracing
from geraniumtrack.coordination.controller_client import ControllerClient
from geraniumtrack.coordination.dispatch import Dispatcher, Start, Task
from geraniumtrack.coordination.execution import Execution, refusal
from geraniumtrack.coordination.membership import TargetTable
from geraniumtrack.coordination.ownership import Ownership, owner_of
from geraniumtrack.coordination.peers import PeerTask
from geraniumtrack.coordination.retries import RetryBudget, judge
from geraniumtrack.coordination.routing import MAX_HOPS, Router
from geraniumtrack.errors import ConnectionLost, RequestTimeout
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.links import was_sent
from geraniumtrack.sentinels import Absent, is_absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.view import ConfigView

__all__ = ["Serving"]

SCAN_S = 0.1  # how often deadlines, ownership and data centres are checked
FROZEN_S = 1.0  # a longer gap between scans means that the process did not run
PROPOSE_TIMEOUT_S = 2.0
FORWARD_MARGIN_S = 1.0  # beyond the deadline, for the dispatcher's refusal to arrive

_STATUS = {
    "deadline": 504,
    "no_capacity": 503,
    "outcome_unknown": 502,
    "queue_full": 429,
    "retries_exhausted": 503,
    "task_failed": 502,
}


class _Place(NamedTuple):
    """Where a request is dispatched."""

    entry: str
    data_centre: str


_LINK_DOWN = Absent("link_down", "the dispatching entry cannot be reached; nothing was sent")
_LINK_LOST = Absent("link_lost", "the link closed after the request was sent")


class Serving:
    """Owns the requests that an entry has taken and the tasks that it dispatches.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        view: Configuration view.
        targets: Membership of targets.
        controllers: Session with the controllers.
        execution: Runs started tasks.
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
            peers=[e.name for e in cfg.entries if self._is_neighbour(e)],
            now=reactor.seconds(),
        )
        self._answers: dict[Task, Deferred] = {}
        self._by_id: dict[str, Task] = {}
        self._forwarded: dict[str, str] = {}
        self._may_dispatch_now: dict[str, bool] = {}
        self._scanned_at = reactor.seconds()
        self._scan = LoopingCall(self._check)
        self._scan.clock = reactor

    def start(self, peers: PeerTask) -> None:
        """Begins to check deadlines."""
        self.peers = peers
        self._ownership.restart_hold_off(self._reactor.seconds())
        self._scanned_at = self._reactor.seconds()
        self._scan.start(SCAN_S, now=False)

    def stop(self) -> None:
        """Stops checking deadlines; nothing may be in progress any more."""
        if self._scan.running:
            self._scan.stop()

    @property
    def in_progress(self) -> int:
        """Number of requests that wait for their answer here."""
        return len(self._answers) + len(self._forwarded)

    def loads(self) -> dict[str, msgs.PoolLoad]:
        """Returns the loads of the pools that this entry dispatches, for gossip."""
        if self.peers is None:
            return {}
        now = self._reactor.seconds()
        pools = [pool for pool in self._view.sections["pools"] if self._may_dispatch(pool)]
        keyed = self._controllers.authority.session_valid(now)
        loads = self.dispatcher.loads(now, pools, keyed=keyed)
        self.router.heard(self._cfg.name, self._cfg.data_centre, loads, now)
        return loads

    def usage(self) -> dict[str, float]:
        """Returns the slots that each team uses through this entry, averaged, for gossip."""
        return self.dispatcher.shares.rates(self._reactor.seconds())

    def gossip_heard(self, gossip: msgs.Gossip) -> None:
        """Takes loads and usage of another entry."""
        now = self._reactor.seconds()
        self._may_dispatch_now.clear()
        self.dispatcher.shares.heard(gossip.entry, gossip.usage, now)
        if gossip.ready:
            self.router.heard(gossip.entry, gossip.data_centre, gossip.loads, now)
        else:
            self.router.forget(gossip.entry)

    def submit(self, submit: msgs.Submit) -> Deferred:
        """Takes a caller's request; the Deferred gives its Answer."""
        return self._place(submit, ())

    def received(self, submit: msgs.Submit) -> Deferred:
        """Takes a request that another entry forwarded; the Deferred gives its Answer."""
        here = self._cfg.data_centre
        if not self._view.in_service(here):
            return self._place(submit, (here,))
        pool = self._pool(submit)
        if self._owner(pool, here) == self._cfg.name or submit.hops >= MAX_HOPS:
            return self.dispatch_here(submit)
        return self._place(submit, (), stays=True)

    @tracing.hop("dispatcher")
    def dispatch_here(self, submit: msgs.Submit) -> Deferred:
        """Queues a request for the targets of this data centre; gives its Answer."""
        now = self._reactor.seconds()
        task = Task(submit, self._pool(submit), now + submit.timeout_s, now)
        task.may_have_run = submit.may_have_run
        if not self._view.in_service(self._cfg.data_centre):
            message = "no data centre in service has targets of this pool; retry later"
            return self._refused(task, "no_capacity", message)
        allotment = self._controllers.allotments().get(submit.team)
        full = self.dispatcher.enqueue(task, now=now, allotment=allotment)
        if full is not None:
            return self._refused(task, full.reason, full.detail)
        fut: Deferred = Deferred()
        self._answers[task] = fut
        self._by_id[submit.task_id] = task
        self.dispatch()
        return fut

    def cancel(self, task_id: str) -> None:
        """Ends the task of a caller that went away, here or at its dispatcher."""
        owner = self._forwarded.get(task_id)
        link = self.peers.link(owner) if owner else None
        if link is not None:
            link.send(msgs.Cancel(task_id))
        task = self._by_id.get(task_id)
        if task is None:
            return
        if self.dispatcher.cancel(task):
            self._refuse(task, refusal(task.submit, 499, "cancelled", "the caller went away"))
        else:
            self._execution.cancel(task)

    def dispatch(self) -> None:
        """Starts whatever may start now."""
        if self.peers is None:
            return
        now = self._reactor.seconds()
        starts = self.dispatcher.starts(
            now,
            allotments=self._controllers.allotments(),
            may_dispatch=self._may_dispatch,
            ramp=self.router.ramp.factor(self._cfg.data_centre, now),
        )
        for start in starts:
            if start.task.placements == 1:
                self._budget.started()
            fut = self._execution.run(start, lambda s=start: self._may_start(s))
            fut.addCallbacks(self._ended, self._broke, callbackArgs=(start,), errbackArgs=(start,))
        self._controllers.check_demand()

    def _is_neighbour(self, entry: Any) -> bool:
        return entry.name != self._cfg.name and entry.data_centre == self._cfg.data_centre

    def _pool(self, submit: msgs.Submit) -> str:
        queue = self._view.sections["queues"].get(submit.queue)
        return queue.pool if queue is not None else ""

    def _owner(self, pool: str, data_centre: str) -> str | None:
        """Returns the entry that dispatches to a pool in a data centre, as far as known here."""
        heard = self.peers.table.all()
        now = self._reactor.seconds()
        if data_centre == self._cfg.data_centre and not self.leaving:
            return self._ownership.owner(pool, heard, now)
        live = self.peers.table.live(now)
        return owner_of(pool, [entry.name for entry in live if entry.data_centre == data_centre])

    def _may_dispatch(self, pool: str) -> bool:
        known = self._may_dispatch_now.get(pool)
        if known is None:
            heard = self.peers.table.all()
            known = self._ownership.may_dispatch(pool, heard, self._reactor.seconds())
            self._may_dispatch_now[pool] = known
        return known

    def _choose(
        self, submit: msgs.Submit, excluded: Iterable[str], *, stays: bool = False
    ) -> _Place | None:
        """Chooses where a request goes; None means that it is dispatched here.

        Args:
            submit: The request.
            excluded: Data centres that it cannot go to.
            stays: Whether it keeps to this data centre while that is in service, because another
                entry chose it.
        """
        if submit.hops >= MAX_HOPS:
            return None
        pool = self._pool(submit)
        now = self._reactor.seconds()
        here = self._cfg.data_centre
        excluded = set(excluded)
        serves_here = self._view.in_service(here) and here not in excluded
        if stays and serves_here and not self.leaving:
            data_centre = here
        else:
            data_centre = self.router.choose(
                pool, keyed=bool(submit.team), now=now, excluded=excluded
            )
        if data_centre is None:
            data_centre = here
        owner = self._owner(pool, data_centre)
        if owner is None or owner == self._cfg.name:
            return None
        return _Place(owner, data_centre)

    @inlineCallbacks
    def _place(self, submit: msgs.Submit, excluded: Iterable[str], *, stays: bool = False) -> Any:
        """Dispatches a request here or elsewhere, and elsewhere again when a link is lost.

        A second copy does no harm: idempotent work may be repeated, and other work is claimed under
        its request id before it is sent to a target.
        """
        deadline = self._reactor.seconds() + submit.timeout_s
        excluded = set(excluded)
        while True:
            remaining = max(0.001, deadline - self._reactor.seconds())
            submit = replace(submit, timeout_s=remaining)
            place = self._choose(submit, excluded, stays=stays)
            self.router.sent(
                self._pool(submit), place.data_centre if place else self._cfg.data_centre
            )
            if place is None:
                return (yield self.dispatch_here(submit))
            answer = yield self._forward(submit, place)
            if not is_absent(answer):
                return answer
            sent = answer.reason == _LINK_LOST.reason
            # A copy may be with the lost dispatcher, so a refusal must close the claim from now on.
            submit = replace(
                submit,
                hops=submit.hops + 1,
                generated=submit.generated and not sent,
                may_have_run=submit.may_have_run or sent,
            )
            self.router.forget(place.entry)
            excluded.add(place.data_centre)
            stays = False

    @inlineCallbacks
    def _forward(self, submit: msgs.Submit, place: _Place) -> Any:
        """Forwards a request; gives its Answer, or a sentinel if the link was down or lost."""
        link = self.peers.link(place.entry)
        if link is None:
            return _LINK_DOWN
        self._forwarded[submit.task_id] = place.entry
        forwarded = replace(submit, hops=submit.hops + 1)
        try:
            answer = yield link.request(forwarded, timeout_s=submit.timeout_s + FORWARD_MARGIN_S)
        except ConnectionLost as exc:
            logs.event("forward_lost", entry=place.entry, hops=forwarded.hops)
            return _LINK_LOST if was_sent(exc) else _LINK_DOWN
        except RequestTimeout:
            message = "the dispatching entry did not answer in time; ask again"
            return refusal(submit, 502, "outcome_unknown", message, run="unknown", retry=1.0)
        finally:
            self._forwarded.pop(submit.task_id, None)
        if isinstance(answer, msgs.Answer):
            return answer
        message = "the dispatching entry failed; ask again"
        return refusal(submit, 502, "outcome_unknown", message, run="unknown", retry=1.0)

    def _move_queued(self) -> None:
        """Moves tasks that cannot start here soon to dispatchers that can start them."""
        here = self._cfg.data_centre
        now = self._reactor.seconds()
        out = not self._view.in_service(here)
        session = self._controllers.authority.session_valid(now)
        for pool in self.dispatcher.queued_pools():
            owner = self._owner(pool, here)
            if out or owner is None:
                self._move(self.dispatcher.take_pool(pool), (here,))
            elif owner != self._cfg.name:
                self._move(self.dispatcher.take_pool(pool), ())
            elif not self.router.choose(pool, keyed=True, now=now, excluded=(here,)):
                continue
            elif not self.dispatcher.has_targets(pool, now):
                self._move(self.dispatcher.take_pool(pool), (here,))
            elif not session:
                tasks = self.dispatcher.take_pool(pool)
                self._keep([task for task in tasks if not task.submit.team])
                self._move([task for task in tasks if task.submit.team], (here,))

    def _move(self, tasks: list[Task], excluded: tuple[str, ...]) -> None:
        kept = []
        now = self._reactor.seconds()
        for task in tasks:
            submit = replace(
                task.submit,
                timeout_s=task.deadline - now,
                hops=task.submit.hops + bool(excluded),
                may_have_run=task.may_have_run,
            )
            # A claimed task stays, because its claim names this entry's attempt.
            if (
                task.attempt
                or submit.timeout_s <= 0
                or self._choose(submit, excluded, stays=True) is None
            ):
                kept.append(task)
                continue
            fut = self._place(submit, excluded, stays=True)
            fut.addCallback(lambda answer, t=task: self._answer(t, answer))
            fut.addErrback(lambda failure, t=task: self._move_failed(t, failure))
        if len(tasks) > len(kept):
            logs.event("tasks_moved", count=len(tasks) - len(kept), kept=len(kept))
        self._keep(kept)

    def _move_failed(self, task: Task, failure: Any) -> None:
        logs.warn("move_failed", detail=failure.getErrorMessage())
        message = "the entry failed while it moved the task"
        self._answer(task, refusal(task.submit, 500, "internal", message, run="unknown"))

    def _keep(self, tasks: list[Task]) -> None:
        for task in reversed(tasks):
            self.dispatcher.requeue(task)

    def _may_start(self, start: Start) -> bool:
        submit = start.task.submit
        if not self._view.in_service(self._cfg.data_centre):
            return False
        running = self.dispatcher.running.get(submit.team, 0)
        return not submit.team or self._controllers.may_run(submit.team, running)

    def _ended(self, outcome: Any, start: Start) -> None:
        now = self._reactor.seconds()
        self.dispatcher.finished(start, now)
        if not isinstance(outcome, msgs.Answer):
            self._target_failed(start, outcome.reason, started=outcome.started)
        elif outcome.error or outcome.run != "ran":
            self.dispatcher.quarantine.not_run(start.target, now)
            self._answer(start.task, outcome)
        elif outcome.status >= 500:
            self._answered_failure(start, outcome)
        else:
            self.dispatcher.quarantine.succeeded(start.task, start.target, now)
            self._answer(start.task, outcome)
        self._propose_health()
        self.dispatch()

    def _broke(self, failure: Any, start: Start) -> None:
        now = self._reactor.seconds()
        self.dispatcher.finished(start, now)
        self.dispatcher.quarantine.not_run(start.target, now)
        logs.warn("execution_failed", detail=failure.getErrorMessage())
        message = "the entry failed while the task ran"
        refused = refusal(start.task.submit, 500, "internal", message, run="unknown")
        self._answer(start.task, refused)

    def _answered_failure(self, start: Start, answer: msgs.Answer) -> None:
        """Repeats a task that a target answered with a server error, if it may be repeated."""
        self._failed(start, f"status {answer.status}")
        task = start.task
        task.may_have_run = True
        if not task.submit.idempotent:
            self._answer(task, answer)
            return
        now = self._reactor.seconds()
        verdict = judge(task, started=True, budget=self._budget, now=now)
        if verdict.again:
            self._again(task)
        elif verdict.error == "retries_exhausted":
            self._answer(task, answer)
        else:
            self._give_up(task, verdict.error, verdict.message, started=True)

    def _target_failed(self, start: Start, reason: str, *, started: bool) -> None:
        task = start.task
        task.may_have_run = task.may_have_run or started
        now = self._reactor.seconds()
        logs.event("target_failed", target=start.target, reason=reason)
        if reason in ("cancelled", "deadline"):
            self.dispatcher.quarantine.not_run(start.target, now)
            message = "the task ran until its deadline" if reason == "deadline" else "cancelled"
            self._give_up(task, reason, message, started=started)
            return
        if reason in ("refused", "silent"):
            self._targets.mark_silent(start.target, now)
        if reason == "not_started":
            self.dispatcher.pause(start.target, now)
        if reason in ("broken", "mismatched", "silent"):
            self._failed(start, reason)
        else:
            task.tried.append(start.target)
            self.dispatcher.quarantine.not_run(start.target, now)
        verdict = judge(task, started=started, budget=self._budget, now=now)
        if verdict.again:
            self._again(task)
        else:
            self._give_up(task, verdict.error, verdict.message, started=started)

    def _again(self, task: Task) -> None:
        """Places a task again: on another target here, or else in another data centre."""
        if self.dispatcher.has_untried_target(task, self._reactor.seconds()):
            self.dispatcher.requeue(task)
        else:
            self._move([task], (self._cfg.data_centre,))

    def _failed(self, start: Start, reason: str) -> None:
        task = start.task
        task.failures.append(reason)
        task.blamed.append(start.target)
        task.tried.append(start.target)
        now = self._reactor.seconds()
        self.dispatcher.quarantine.failed(task, start.target, now)

    def _propose_health(self) -> None:
        """Asks the controllers to set targets aside or back; they keep the availability budget."""
        for command in self.dispatcher.quarantine.take_proposals():
            logs.warn(
                "target_health",
                target=command.instance,
                proposal=type(command).__name__,
                reason=command.reason,
            )
            self._controllers.propose(command, timeout_s=PROPOSE_TIMEOUT_S)

    def _give_up(self, task: Task, error: str, message: str, *, started: bool) -> None:
        status = _STATUS.get(error, 499)
        if started or task.failures:
            refused = refusal(task.submit, status, error, message, run="unknown", retry=1.0)
            self._answer(task, refused)
        else:
            self._refuse(task, refusal(task.submit, status, error, message, retry=1.0))

    def _check(self) -> None:
        now = self._reactor.seconds()
        if now - self._scanned_at > FROZEN_S:
            logs.warn("process_was_frozen", seconds=now - self._scanned_at)
            self._ownership.restart_hold_off(now)
        self._scanned_at = now
        self._may_dispatch_now.clear()
        self.router.ramp.observe(self._view, now)
        for task in self.dispatcher.expire(now):
            message = "the deadline passed before a slot was free"
            self._refuse(task, refusal(task.submit, 504, "deadline", message))
        self._move_queued()
        self.dispatch()

    def _refused(self, task: Task, error: str, message: str) -> Deferred:
        refused = refusal(task.submit, _STATUS[error], error, message, retry=1.0)
        return self._execution.refuse(task, refused)

    def _refuse(self, task: Task, refused: msgs.Answer) -> None:
        fut = self._execution.refuse(task, refused)
        fut.addCallback(lambda answer: self._answer(task, answer))

    def _answer(self, task: Task, answer: msgs.Answer) -> None:
        if self._by_id.get(task.submit.task_id) is task:
            del self._by_id[task.submit.task_id]
        fut = self._answers.pop(task, None)
        if fut is not None:
            fut.callback(answer)
