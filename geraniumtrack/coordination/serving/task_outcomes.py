"""What follows the end of a task on a target: an answer, a retry or a refusal."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.coordination.entries.controller_client import ControllerClient
from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.serving.dispatch import Dispatcher, Placement, Task
from geraniumtrack.coordination.serving.execution import Execution, refusal
from geraniumtrack.coordination.serving.retries import RetryBudget, decide_retry
from geraniumtrack.protocol import messages as msgs

__all__ = ["HTTP_STATUS", "TaskOutcomes"]

PROPOSE_TIMEOUT_S = 2.0

# Status of a refusal by its reason.
HTTP_STATUS = {
    "deadline": 504,
    "no_capacity": 503,
    "outcome_unknown": 502,
    "queue_full": 429,
    "retries_exhausted": 503,
    "task_failed": 502,
}


class TaskOutcomes:
    """Answers the requests whose tasks this entry dispatches, and retries failed tasks.

    Args:
        reactor: Twisted reactor.
        data_centre: The entry's data centre.
        dispatcher: Queues tasks and places them on targets.
        targets: Table of the known targets.
        controllers: Client of the controllers.
        execution: Runs tasks on the targets on which they were placed.
        move_tasks: Moves tasks to other entries, given the data centres that may not be chosen.

    Attributes:
        budget: Limits retries to a fraction of the first starts.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        data_centre: str,
        dispatcher: Dispatcher,
        targets: TargetTable,
        controllers: ControllerClient,
        execution: Execution,
        move_tasks: Callable[[list[Task], tuple[str, ...]], None],
    ) -> None:
        self.budget = RetryBudget(now=reactor.seconds())
        self._reactor = reactor
        self._data_centre = data_centre
        self._dispatcher = dispatcher
        self._targets = targets
        self._controllers = controllers
        self._execution = execution
        self._move_tasks = move_tasks
        self._pending_answers: dict[Task, Deferred] = {}
        self._tasks_by_id: dict[str, Task] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests that wait for an answer here."""
        return len(self._pending_answers)

    def add(self, task: Task) -> Deferred:
        """Records a queued task; returns a Deferred of the Answer to its request."""
        fut: Deferred = Deferred()
        self._pending_answers[task] = fut
        self._tasks_by_id[task.submit.task_id] = task
        return fut

    def get(self, task_id: str) -> Task | None:
        """Returns the task of a request that waits for an answer here."""
        return self._tasks_by_id.get(task_id)

    def handle(self, outcome: Any, placement: Placement) -> None:
        """Handles the end of a task on a target: an Answer, or a TargetFailure."""
        now = self._reactor.seconds()
        self._dispatcher.release_slot(placement, now)
        if not isinstance(outcome, msgs.Answer):
            self._handle_target_failure(placement, outcome.reason, started=outcome.started)
        elif outcome.error or outcome.run != "ran":
            self._dispatcher.quarantine.record_no_result(placement.target, now)
            self.deliver_answer(placement.task, outcome)
        elif outcome.status >= 500:
            self._handle_error_answer(placement, outcome)
        else:
            self._dispatcher.quarantine.record_success(placement.task, placement.target, now)
            self.deliver_answer(placement.task, outcome)
        self._propose_health()

    def handle_error(self, failure: Any, placement: Placement) -> None:
        """Handles an error of this entry in the execution of a task."""
        now = self._reactor.seconds()
        self._dispatcher.release_slot(placement, now)
        self._dispatcher.quarantine.record_no_result(placement.target, now)
        logs.warn("execution_failed", detail=failure.getErrorMessage())
        message = "internal error in the entry while the task ran"
        refused = refusal(placement.task.submit, 500, "internal", message, run="unknown")
        self.deliver_answer(placement.task, refused)

    def refuse_and_answer(self, task: Task, refused: msgs.Answer) -> None:
        """Answers a queued task with a refusal, after closing its claim if it may have one."""
        fut = self._execution.resolve_refusal(task, refused)
        fut.addCallback(lambda answer: self.deliver_answer(task, answer))

    def deliver_answer(self, task: Task, answer: msgs.Answer) -> None:
        """Answers the request of a task."""
        if self._tasks_by_id.get(task.submit.task_id) is task:
            del self._tasks_by_id[task.submit.task_id]
        fut = self._pending_answers.pop(task, None)
        if fut is not None:
            fut.callback(answer)

    def _handle_error_answer(self, placement: Placement, answer: msgs.Answer) -> None:
        """Retries a task that a target answered with a server error, if it is idempotent."""
        self._record_failure(placement, f"status {answer.status}")
        task = placement.task
        task.may_have_run = True
        if not task.submit.idempotent:
            self.deliver_answer(task, answer)
            return
        now = self._reactor.seconds()
        decision = decide_retry(task, started=True, budget=self.budget, now=now)
        if decision.retry:
            self._retry(task)
        elif decision.error == "retries_exhausted":
            self.deliver_answer(task, answer)
        else:
            self._fail_task(task, decision.error, decision.message, started=True)

    def _handle_target_failure(self, placement: Placement, reason: str, *, started: bool) -> None:
        task = placement.task
        task.may_have_run = task.may_have_run or started
        now = self._reactor.seconds()
        logs.event("target_failed", target=placement.target, reason=reason)
        if reason in ("cancelled", "deadline"):
            self._dispatcher.quarantine.record_no_result(placement.target, now)
            message = "the task ran until its deadline" if reason == "deadline" else "cancelled"
            self._fail_task(task, reason, message, started=started)
            return
        if reason in ("refused", "silent"):
            self._targets.mark_suspect(placement.target, now)
        if reason == "not_started":
            self._dispatcher.pause(placement.target, now)
        if reason in ("broken", "mismatched", "silent"):
            self._record_failure(placement, reason)
        else:
            task.tried.append(placement.target)
            self._dispatcher.quarantine.record_no_result(placement.target, now)
        decision = decide_retry(task, started=started, budget=self.budget, now=now)
        if decision.retry:
            self._retry(task)
        else:
            self._fail_task(task, decision.error, decision.message, started=started)

    def _retry(self, task: Task) -> None:
        """Queues a task here again if it has an untried target, else moves it elsewhere.

        A task that cannot be moved is also queued here again.
        """
        if self._dispatcher.has_untried_target(task, self._reactor.seconds()):
            self._dispatcher.requeue(task)
        else:
            self._move_tasks([task], (self._data_centre,))

    def _record_failure(self, placement: Placement, reason: str) -> None:
        task = placement.task
        task.failure_reasons.append(reason)
        task.failed_targets.append(placement.target)
        task.tried.append(placement.target)
        now = self._reactor.seconds()
        self._dispatcher.quarantine.record_failure(task, placement.target, now)

    def _propose_health(self) -> None:
        """Proposes to the controllers to set targets aside or return them.

        The controllers decide, because they keep the availability budget.
        """
        for command in self._dispatcher.quarantine.pop_proposals():
            logs.warn(
                "target_health",
                target=command.instance,
                proposal=type(command).__name__,
                reason=command.reason,
            )
            self._controllers.propose(command, timeout_s=PROPOSE_TIMEOUT_S)

    def _fail_task(self, task: Task, error: str, message: str, *, started: bool) -> None:
        status = HTTP_STATUS.get(error, 499)
        if started or task.failure_reasons:
            refused = refusal(task.submit, status, error, message, run="unknown", retry=1.0)
            self.deliver_answer(task, refused)
        else:
            self.refuse_and_answer(task, refusal(task.submit, status, error, message, retry=1.0))
