"""A request's way through an entry: to its dispatcher, onto a target, and back to the caller."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import LoopingCall

from geraniumtrack import logs, tracing
from geraniumtrack.coordination.controller_client import ControllerClient
from geraniumtrack.coordination.dispatch import Dispatcher, Start, Task
from geraniumtrack.coordination.execution import Execution, refusal
from geraniumtrack.coordination.membership import TargetTable
from geraniumtrack.coordination.ownership import owner_of
from geraniumtrack.coordination.peers import PeerTask
from geraniumtrack.errors import ConnectionLost, RequestTimeout
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.links import was_sent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.view import ConfigView

__all__ = ["Serving"]

SCAN_S = 0.1  # how often deadlines are checked
MAX_ATTEMPTS = 3
FORWARD_MARGIN_S = 1.0  # beyond the deadline, for the dispatcher's refusal to arrive


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
        self.peers: PeerTask | None = None
        self.leaving = False
        self._reactor = reactor
        self._cfg = cfg
        self._view = view
        self._targets = targets
        self._controllers = controllers
        self._execution = execution
        self._answers: dict[Task, Deferred] = {}
        self._forwarded: dict[str, str] = {}
        self._scan = LoopingCall(self._expire)
        self._scan.clock = reactor

    def start(self, peers: PeerTask) -> None:
        """Begins to check deadlines."""
        self.peers = peers
        self._scan.start(SCAN_S, now=False)

    def stop(self) -> None:
        """Stops checking deadlines; nothing may be in progress any more."""
        if self._scan.running:
            self._scan.stop()

    @property
    def in_progress(self) -> int:
        """Number of requests that wait for their answer here."""
        return len(self._answers) + len(self._forwarded)

    def submit(self, submit: msgs.Submit) -> Deferred:
        """Takes a caller's request; the Deferred gives its Answer."""
        pool = self._view.sections["queues"][submit.queue].pool
        owner = self._owner(pool, self._cfg.data_centre)
        if owner == self._cfg.name:
            return self.dispatch_here(submit)
        return self._forward(submit, owner)

    @tracing.hop("dispatcher")
    def dispatch_here(self, submit: msgs.Submit) -> Deferred:
        """Queues a request for the targets of this data centre; gives its Answer."""
        now = self._reactor.seconds()
        pool = self._view.sections["queues"][submit.queue].pool
        task = Task(submit, pool, now + submit.timeout_s, now)
        full = self.dispatcher.enqueue(task)
        if full is not None:
            refused = refusal(submit, 429, full.reason, full.detail, retry=1.0)
            return self._execution.refuse(task, refused)
        fut: Deferred = Deferred()
        self._answers[task] = fut
        self.dispatch()
        return fut

    def cancel(self, task_id: str) -> None:
        """Removes the task of a caller that went away, here or at its dispatcher."""
        owner = self._forwarded.get(task_id)
        link = self.peers.link(owner) if owner else None
        if link is not None:
            link.send(msgs.Cancel(task_id))
        for task in list(self._answers):
            if task.submit.task_id == task_id and self.dispatcher.cancel(task):
                refused = refusal(task.submit, 499, "cancelled", "the caller went away")
                self._refuse(task, refused)

    def dispatch(self) -> None:
        """Starts whatever may start now."""
        allotments = self._controllers.allotments()
        for start in self.dispatcher.starts(self._reactor.seconds(), allotments=allotments):
            fut = self._execution.run(start, lambda s=start: self._may_start(s))
            fut.addCallbacks(self._ended, self._broke, callbackArgs=(start,), errbackArgs=(start,))
        self._controllers.check_demand()

    def _owner(self, pool: str, data_centre: str) -> str:
        live = [entry.name for entry in self.peers.live() if entry.data_centre == data_centre]
        # While this entry leaves, its peers already dispatch in its place.
        own = [] if self.leaving and live else [self._cfg.name]
        return owner_of(pool, [*live, *own])

    @inlineCallbacks
    def _forward(self, submit: msgs.Submit, owner: str) -> Any:
        link = self.peers.link(owner)
        if link is None:
            return (yield self.dispatch_here(submit))
        self._forwarded[submit.task_id] = owner
        try:
            timeout_s = submit.timeout_s + FORWARD_MARGIN_S
            return (yield link.request(submit, timeout_s=timeout_s))
        except (ConnectionLost, RequestTimeout) as exc:
            if not was_sent(exc):
                return (yield self.dispatch_here(submit))
            message = "the dispatching entry was lost; ask again"
            return refusal(submit, 502, "outcome_unknown", message, run="unknown", retry=1.0)
        finally:
            del self._forwarded[submit.task_id]

    def _may_start(self, start: Start) -> bool:
        submit = start.task.submit
        if not self._view.in_service(self._cfg.data_centre):
            return False
        running = self.dispatcher.running.get(submit.team, 0)
        return not submit.team or self._controllers.may_run(submit.team, running)

    def _ended(self, outcome: Any, start: Start) -> None:
        self.dispatcher.finished(start)
        if isinstance(outcome, msgs.Answer):
            self._answer(start.task, outcome)
        else:
            self._target_failed(outcome, start)
        self.dispatch()

    def _broke(self, failure: Any, start: Start) -> None:
        self.dispatcher.finished(start)
        logs.warn("execution_failed", detail=failure.getErrorMessage())
        submit = start.task.submit
        message = "the entry failed while the task ran"
        self._answer(start.task, refusal(submit, 500, "internal", message, run="unknown"))

    def _target_failed(self, outcome: Any, start: Start) -> None:
        task = start.task
        logs.event("target_failed", target=start.target, reason=outcome.reason)
        if outcome.reason in ("refused", "silent"):
            self._targets.mark_silent(start.target, self._reactor.seconds())
        task.tried.append(start.target)
        repeatable = task.submit.idempotent or not outcome.started
        if not repeatable:
            message = "the target was lost after the request was sent to it"
            refused = refusal(task.submit, 502, "outcome_unknown", message, run="unknown")
            self._answer(task, refused)
        elif len(task.tried) < MAX_ATTEMPTS:
            self.dispatcher.enqueue(task)
        else:
            message = f"{len(task.tried)} targets failed; retry later"
            run = "unknown" if outcome.started else "not_run"
            refused = refusal(task.submit, 503, "targets_failed", message, run=run, retry=1.0)
            self._refuse(task, refused)

    def _expire(self) -> None:
        for task in self.dispatcher.expire(self._reactor.seconds()):
            message = "the deadline passed before a slot was free"
            self._refuse(task, refusal(task.submit, 504, "deadline", message))
        self.dispatch()

    def _refuse(self, task: Task, refused: msgs.Answer) -> None:
        fut = self._execution.refuse(task, refused)
        fut.addCallback(lambda answer: self._answer(task, answer))

    def _answer(self, task: Task, answer: msgs.Answer) -> None:
        fut = self._answers.pop(task, None)
        if fut is not None:
            fut.callback(answer)
