"""Execution of placed tasks on targets: claims the request, sends it once, records the outcome."""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from geraniumtrack import tracing
from geraniumtrack.coordination.entries.controller_client import ControllerClient
from geraniumtrack.coordination.serving.claim_committer import ClaimCommitter
from geraniumtrack.coordination.serving.dispatch import Placement, Task
from geraniumtrack.protocol.messages import Answer, Submit
from geraniumtrack.sentinels import is_absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Outcome

__all__ = ["MAX_STORED_ANSWER_BYTES", "Execution", "claim_answer", "refusal"]

MAX_STORED_ANSWER_BYTES = 64 * 1024  # larger answers are not stored with the claim
CLAIM_TIMEOUT_S = 5.0


class TargetPort(Protocol):
    """Interface of the target client that execution uses."""

    def run(self, address: str, request: Any) -> Deferred:
        """Runs a task; returns a Deferred of a TargetAnswer or a TargetFailure."""

    def cancel(self, address: str, task_id: str) -> Deferred:
        """Cancels a running task."""


class Execution:
    """Runs placed tasks on their targets and commits the outcomes of their claims.

    Args:
        cfg: Settings of the entry.
        clock: Reactor.
        controllers: Client of the controllers, for claims.
        target_client: Client that sends tasks to targets.
        make_request: Builds the target client's request from a Submit, a timeout and a task lease,
            both in seconds.
        wall_clock: Returns seconds since the epoch, for the age of claims.
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
        self._claim_committer = ClaimCommitter(clock, controllers.propose)
        # Target address and task id of each task that is running on a target.
        self._sent: dict[Task, tuple[str, str]] = {}
        # Team and session under which a task was sent, by the task id sent to the target.
        self._started: dict[str, tuple[str, str]] = {}

    @property
    def pending_outcomes(self) -> int:
        """Number of claim outcomes that are not committed yet."""
        return self._claim_committer.pending_count

    def may_renew(self, sent_id: str) -> bool:
        """Whether the lease of a task may be renewed, given the task id sent to the target.

        The lease of a team's task is renewed only while the session in which the task was sent is
        valid, so that the task does not outlive its allotment: the leader frees a session's
        allotments once the session lease and then the task lease have expired. Tasks of open queues
        belong to no team and need no session.
        """
        team, session = self._started.get(sent_id, ("", "unknown"))
        if not team:
            return session != "unknown"
        return session == self._controllers.valid_session()

    def cancel(self, task: Task) -> None:
        """Cancels a task that is running on a target, if it is idempotent.

        A claimed task continues, so that its caller can fetch the stored answer later.
        """
        if task in self._sent and task.submit.idempotent:
            self._target_client.cancel(*self._sent[task])

    @tracing.resume
    @inlineCallbacks
    def run(self, placement: Placement, may_start: Callable[[], bool]) -> Any:
        """Runs a placed task.

        Args:
            placement: The task and its target.
            may_start: Checked immediately before the request is sent, since the process may have
                been suspended while the claim was being committed. If it returns False, the task is
                not sent and the Answer is a refusal.

        Returns:
            A Deferred of an Answer, which may be a refusal, or of a TargetFailure; the caller
            decides whether to retry the task.
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
            return (yield self.resolve_refusal(task, refused))
        request = self._make_request(submit, remaining, self._cfg.task_lease_s)
        outcome = yield self._send(placement, request)
        if hasattr(outcome, "reason"):
            if outcome.started and not submit.idempotent:
                self._finish_claim(task, None)
            return outcome
        if not submit.idempotent:
            yield self._record_outcome(task, outcome)
        return Answer(submit.request_id, outcome.status, outcome.content_type, outcome.body, "ran")

    @inlineCallbacks
    def _send(self, placement: Placement, request: Any) -> Any:
        """Sends a task; counts it as orphaned if it started and its completion was not observed."""
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
            self._controllers.entry_allotments.add_orphan(team, self._clock.seconds())
        return outcome

    @inlineCallbacks
    def resolve_refusal(self, task: Task, refused: Answer) -> Any:
        """Returns the answer for a task that was refused and will not be sent again.

        The given refusal may be wrong in saying that the task has not run. An idempotent task may
        have run at an earlier placement. The claim of a non-idempotent request is closed first,
        because a copy of the request may be running through another entry.

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
        result = yield self._claim_committer.commit(command, timeout_s=CLAIM_TIMEOUT_S)
        if is_absent(result):
            return refused if submit.generated else _outcome_unknown(submit, refused)
        if result.claim is not None and result.claim.phase != "not_run":
            return claim_answer(submit, result)
        return refused if result.ok or result.claim is not None else claim_answer(submit, result)

    @tracing.hop("claim")
    @inlineCallbacks
    def _claim(self, task: Task) -> Any:
        """Claims a request.

        Returns:
            A Deferred of None if the task may be sent, else of the Answer to give.
        """
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
            self._close_unsent_claim(submit, attempt)
            run = "not_run" if submit.generated else "unknown"
            return refusal(submit, 503, result.reason, result.detail, run=run, retry=1.0)
        if not result.ok:
            return claim_answer(submit, result)
        task.attempt = attempt
        return None

    def _close_unsent_claim(self, submit: Submit, attempt: str) -> None:
        """Closes a claim that may still be committed, since its task will not be sent."""
        command = cmd.CloseClaim(
            submit.team, submit.request_id, submit.fingerprint, self._wall_clock(), attempt
        )
        self._claim_committer.commit(command, timeout_s=CLAIM_TIMEOUT_S)

    @inlineCallbacks
    def _record_outcome(self, task: Task, answer: Any) -> Any:
        stored = len(answer.body) <= MAX_STORED_ANSWER_BYTES
        outcome = Outcome(
            status=answer.status,
            body=answer.body if stored else b"",
            content_type=answer.content_type,
            body_sha256=hashlib.sha256(answer.body).digest(),
            held=stored,
        )
        yield self._finish_claim(task, outcome)

    def _finish_claim(self, task: Task, outcome: Outcome | None) -> Deferred:
        submit = task.submit
        command = cmd.FinishClaim(submit.team, submit.request_id, outcome, task.attempt)
        return self._claim_committer.commit(command, timeout_s=CLAIM_TIMEOUT_S)


def refusal(
    submit: Submit, status: int, error: str, message: str, *, run: str = "not_run", retry: float = 0
) -> Answer:
    """Builds the Answer for a request that is refused or whose outcome is not available.

    Args:
        submit: The request.
        status: HTTP status code.
        error: Reason code.
        message: Explanation for the caller.
        run: Whether the request has run; see `Answer`.
        retry: Seconds after which the caller may send the request again; 0 for no advice.
    """
    return Answer(submit.request_id, status, "", b"", run, error, message, retry)


def claim_answer(submit: Submit, result: cmd.Result) -> Answer:
    """Builds the Answer for a request that could not be claimed, from its existing claim."""
    claim = result.claim
    if result.error == "fingerprint_mismatch":
        return refusal(submit, 422, result.error, result.message, run="unknown")
    if claim is None:
        return refusal(submit, 503, result.error, result.message)
    if claim.phase == "not_run":
        return refusal(
            submit, 409, "not_run", "a request with this id was refused; use a new request id"
        )
    if claim.phase == "open":
        message = "another copy of this request was accepted and may be running; ask again later"
        return refusal(submit, 409, "still_running", message, run="running", retry=1.0)
    if claim.phase == "unknown":
        message = (
            "the target's answer was lost; find out whether the request ran before repeating it"
        )
        return refusal(submit, 502, "outcome_unknown", message, run="unknown")
    outcome = claim.outcome
    if not outcome.held:
        message = "the request ran, but its answer was too large to be held in its claim"
        return refusal(submit, 410, "answer_not_held", message, run="ran")
    return Answer(submit.request_id, outcome.status, outcome.content_type, outcome.body, "ran")


def _outcome_unknown(submit: Submit, refused: Answer) -> Answer:
    message = (
        "the controllers cannot be reached, so it is unknown whether the request has run; ask again"
    )
    return refusal(submit, refused.status, refused.error, message, run="unknown", retry=1.0)
