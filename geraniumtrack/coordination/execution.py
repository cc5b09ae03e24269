"""Runs one started task on its target: claim, send once, record the outcome."""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from geraniumtrack import tracing
from geraniumtrack.coordination.claim_records import ClaimRecords
from geraniumtrack.coordination.controller_client import ControllerClient
from geraniumtrack.coordination.dispatch import Placement, Task
from geraniumtrack.protocol.messages import Answer, Submit
from geraniumtrack.sentinels import is_absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Outcome

__all__ = ["MAX_HELD_BYTES", "Execution", "claim_answer", "refusal"]

MAX_HELD_BYTES = 64 * 1024  # answers up to this size are stored with the claim
CLAIM_TIMEOUT_S = 5.0


class TargetPort(Protocol):
    """What execution needs of the client of targets."""

    def run(self, address: str, request: Any) -> Deferred:
        """Runs a task; gives a TargetAnswer or a TargetFailure."""

    def cancel(self, address: str, task_id: str) -> Deferred:
        """Stops a running task."""


class Execution:
    """Runs started tasks.

    Args:
        cfg: Settings of the entry.
        clock: Reactor.
        controllers: Session with the controllers, for claims.
        target_client: Client of targets.
        make_request: Builds the client's request from a Submit and a timeout in seconds.
        wall_clock: Seconds since the epoch, for the age of claims.
    """

    def __init__(
        self,
        *,
        cfg: EntrySettings,
        clock: Any,
        controllers: ControllerClient,
        target_client: TargetPort,
        make_request: Callable[..., Any],
        wall_clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._controllers = controllers
        self._target_client = target_client
        self._make_request = make_request
        self._wall_clock = wall_clock
        self._records = ClaimRecords(clock, controllers.propose)
        self._sent: dict[Task, tuple[str, str]] = {}
        # By the id that the target knows: the task's team, and the session in which it started.
        self._started: dict[str, tuple[str, str]] = {}

    @property
    def unrecorded(self) -> int:
        """Number of outcomes that no controller has stored yet."""
        return self._records.waiting

    def may_renew(self, sent_id: str) -> bool:
        """Whether the lease of a task, by the id that its target knows, may be renewed.

        A team's task keeps its lease only under the session in which it started, so that it does
        not outlive its allotment: the leader frees a session's allotments when session lease and
        task lease have passed. Open work belongs to no team and needs no session.
        """
        team, session = self._started.get(sent_id, ("", "unknown"))
        if not team:
            return session != "unknown"
        return session == self._controllers.valid_session()

    def cancel(self, task: Task) -> None:
        """Stops a task that runs on a target, if it may be repeated.

        A claimed task runs on, so that its caller can ask for the stored answer later.
        """
        if task in self._sent and task.submit.idempotent:
            self._target_client.cancel(*self._sent[task])

    @tracing.resume
    @inlineCallbacks
    def run(self, placement: Placement, may_start: Callable[[], bool]) -> Any:
        """Runs a started task.

        Args:
            placement: The task and its target.
            may_start: Checked right before the first byte leaves, since the process may have been
                frozen while the claim was committed.

        Returns:
            A Deferred of an Answer, or of a TargetFailure that may be retried.
        """
        task = placement.task
        submit = task.submit
        if not submit.idempotent and not task.attempt:
            refused = yield self._claim(task)
            if refused is not None:
                return refused
        remaining = task.deadline - self._clock.seconds()
        if remaining <= 0 or not may_start():
            message = "the task was not started; send it again with a new request id"
            refused = refusal(submit, 503, "not_started", message)
            return (yield self.refuse(task, refused))
        request = self._make_request(submit, remaining, self._cfg.task_lease_s)
        outcome = yield self._send(placement, request)
        if hasattr(outcome, "reason"):
            if outcome.started and not submit.idempotent:
                self._finish(task, None)
            return outcome
        if not submit.idempotent:
            yield self._record(task, outcome)
        return Answer(submit.request_id, outcome.status, outcome.content_type, outcome.body, "ran")

    @inlineCallbacks
    def _send(self, placement: Placement, request: Any) -> Any:
        """Sends a task; one whose end was not seen counts until its lease has run out."""
        task, team = placement.task, placement.task.submit.team
        self._sent[task] = (placement.address, request.task_id)
        self._started[request.task_id] = (team, self._controllers.session)
        try:
            outcome = yield self._target_client.run(placement.address, request)
        finally:
            del self._sent[task], self._started[request.task_id]
        if getattr(outcome, "reason", "") == "deadline" and task.submit.idempotent:
            self._target_client.cancel(placement.address, request.task_id)
        if team and getattr(outcome, "started", False):
            self._controllers.holdings.linger(team, self._clock.seconds())
        return outcome

    @inlineCallbacks
    def refuse(self, task: Task, refused: Answer) -> Any:
        """Turns a refusal of a task that is not sent any more into one that is true.

        An idempotent task may have run at an earlier placement. A non-idempotent request is closed
        at the controllers first, because another copy of it may be running through another entry.

        Returns:
            A Deferred of the Answer.
        """
        submit = task.submit
        if submit.idempotent:
            return replace(refused, run="unknown") if task.may_have_run else refused
        if submit.generated and not task.attempt:
            return refused
        command = cmd.CloseClaim(
            submit.team,
            submit.request_id,
            submit.fingerprint,
            self._wall_clock(),
            task.attempt,
        )
        result = yield self._records.commit(command, timeout_s=CLAIM_TIMEOUT_S)
        if is_absent(result):
            return refused if submit.generated else _unknown(submit, refused)
        if result.claim is not None and result.claim.phase != "not_run":
            return claim_answer(submit, result)
        return refused if result.ok or result.claim is not None else claim_answer(submit, result)

    @tracing.hop("claim")
    @inlineCallbacks
    def _claim(self, task: Task) -> Any:
        """Claims a task; gives None, or the Answer of the request that claimed it before."""
        submit = task.submit
        attempt = uuid.uuid4().hex
        command = cmd.OpenClaim(
            submit.team,
            submit.request_id,
            submit.fingerprint,
            self._cfg.name,
            self._controllers.session,
            self._wall_clock(),
            attempt,
        )
        result = yield self._controllers.propose(command, timeout_s=CLAIM_TIMEOUT_S)
        if is_absent(result):
            self._close_unsent(submit, attempt)
            run = "not_run" if submit.generated else "unknown"
            return refusal(submit, 503, result.reason, result.detail, run=run, retry=1.0)
        if not result.ok:
            return claim_answer(submit, result)
        task.attempt = attempt
        return None

    def _close_unsent(self, submit: Submit, attempt: str) -> None:
        """Closes a claim that may be committed late, since nothing will be sent under it."""
        command = cmd.CloseClaim(
            submit.team, submit.request_id, submit.fingerprint, self._wall_clock(), attempt
        )
        self._records.commit(command, timeout_s=CLAIM_TIMEOUT_S)

    @inlineCallbacks
    def _record(self, task: Task, answer: Any) -> Any:
        held = len(answer.body) <= MAX_HELD_BYTES
        outcome = Outcome(
            status=answer.status,
            body=answer.body if held else b"",
            content_type=answer.content_type,
            body_sha256=hashlib.sha256(answer.body).digest(),
            held=held,
        )
        yield self._finish(task, outcome)

    def _finish(self, task: Task, outcome: Outcome | None) -> Deferred:
        submit = task.submit
        command = cmd.FinishClaim(submit.team, submit.request_id, outcome, task.attempt)
        return self._records.commit(command, timeout_s=CLAIM_TIMEOUT_S)


def refusal(
    submit: Submit, status: int, error: str, message: str, *, run: str = "not_run", retry: float = 0
) -> Answer:
    """Builds a refusal."""
    return Answer(submit.request_id, status, "", b"", run, error, message, retry)


def claim_answer(submit: Submit, result: cmd.Result) -> Answer:
    """Answers a repeated request from its stored claim."""
    claim = result.claim
    if result.error == "fingerprint_mismatch":
        return refusal(submit, 422, result.error, result.message, run="unknown")
    if claim is None:
        return refusal(submit, 503, result.error, result.message)
    if claim.phase == "not_run":
        return refusal(submit, 409, "not_run", "this id was refused; send a new request id")
    if claim.phase == "open":
        message = "the request was sent to a target; ask again later"
        return refusal(submit, 409, "still_running", message, run="running", retry=1.0)
    if claim.phase == "unknown":
        message = "it was sent to a target and its answer was lost; find out before sending it anew"
        return refusal(submit, 502, "outcome_unknown", message, run="unknown")
    outcome = claim.outcome
    if not outcome.held:
        message = "it ran, but its answer is too large to be held"
        return refusal(submit, 410, "answer_not_held", message, run="ran")
    return Answer(submit.request_id, outcome.status, outcome.content_type, outcome.body, "ran")


def _unknown(submit: Submit, refused: Answer) -> Answer:
    message = "the controllers cannot be reached, so another copy may have run; ask again"
    return refusal(submit, refused.status, refused.error, message, run="unknown", retry=1.0)
