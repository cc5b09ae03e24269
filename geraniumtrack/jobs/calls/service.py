"""Answers calls at the owner, on the basis of committed state only."""

from __future__ import annotations

import hashlib
import re
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import Deferred, succeed

from geraniumtrack import logs
from geraniumtrack.errors import NotLeader
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.job_steps import steps_problem, steps_summary
from geraniumtrack.jobs.calls.placement_query import PlacementQueries
from geraniumtrack.jobs.calls.team_metrics import count_submission
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.jobs.settings import CoreSettings
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.job_size import job_bytes
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState
from geraniumtrack.jobs.state.model import FleetConfig, Job, JobQueue, JobState, JobTeam
from geraniumtrack.metrics import metrics

__all__ = ["JobService"]

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
RETRY_AFTER_S = 1.0


class JobService:
    """Handles calls while this controller is the owner.

    Args:
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        owner: Returns the owner, whose registry handles the heartbeats of workers, and which
            decides whether a job is refused.
        wall_clock: Returns the wall-clock time in seconds.
        seconds: Returns the time in seconds of a monotonic clock.
        max_job_bytes: Memory for jobs; see `CoreSettings`.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        owner: Callable[[], Any],
        wall_clock: Callable[[], float],
        seconds: Callable[[], float] = time.monotonic,
        max_job_bytes: int = CoreSettings.max_job_bytes,
    ) -> None:
        self._state = state
        self._propose = propose
        self._owner = owner
        self._wall_clock = wall_clock
        self._max_job_bytes = max_job_bytes
        self._committing: dict[str, int] = {}  # sizes of jobs that are not committed yet, by id
        self._placement = PlacementQueries(
            state=state, owner=owner, wall_clock=wall_clock, seconds=seconds
        )

    def answer(self, call: Any) -> Deferred:
        """Handles a call; returns a Deferred of the JobAnswer, which does not fail."""
        try:
            result = self._handle(call)
        except Exception as exc:  # noqa: BLE001 - one call must not end the process
            logs.warn("call_failed", call=type(call).__name__, detail=repr(exc))
            result = JobAnswer(AnswerKind.UNKNOWN, detail="internal error; see the owner's log")
        return result if isinstance(result, Deferred) else succeed(result)

    @singledispatchmethod
    def _handle(self, call: Any) -> JobAnswer | Deferred:
        raise TypeError(f"{type(call).__name__} is not a call to the owner")

    # Callers.

    @_handle.register
    def _(self, call: msgs.SubmitCall) -> JobAnswer | Deferred:
        found = self._resolve(call.request)
        if isinstance(found, JobAnswer):
            return found
        queue, team, job_id = found
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return JobAnswer(AnswerKind.INVALID, detail="a job id must have 16 hexadecimal digits")
        if job_id in self._state().jobs:
            return JobAnswer(AnswerKind.OK, detail="known")
        problem = steps_problem(call.steps, call.repetitions)
        if problem:
            logs.event("job_refused", job=job_id, queue=queue.name, reason=problem)
            metrics.count("jobs_refused", team=team.name if team else "", reason="invalid")
            return JobAnswer(AnswerKind.INVALID, detail=problem)
        job = Job(
            id=job_id,
            queue=queue.name,
            team=team.name if team else "",
            payload=call.payload,
            steps=call.steps,
            submitted=self._wall_clock(),
            repetitions=call.repetitions,
            first_due=call.first_due,
            interval_s=call.interval_s,
        )
        size = job_bytes(job)
        refusal = self._check_room(job, size) or self._check_admission(job, queue)
        if refusal is not None:
            return refusal
        if (job_id, *queue.address) in self._state().cancelled_submissions:
            logs.event("submission_cancelled", job=job_id, queue=queue.name)
        logs.event(
            "job_accepting",
            job=job_id,
            queue=queue.name,
            team=job.team,
            steps=steps_summary(job.steps),
            version=self._state().version,
        )
        self._committing[job.id] = size
        fut = self._propose(cmds.SubmitJob(job)).addBoth(self._commit_ended, job.id)
        return self._ok_when_committed(fut.addCallback(self._count_submission, job))

    def _commit_ended(self, outcome: Any, job_id: str) -> Any:
        self._committing.pop(job_id, None)
        return outcome

    def _check_room(self, job: Job, size: int) -> JobAnswer | None:
        """Returns the answer that refuses a job for which there is too little memory, or None.

        A job may take half of what is left, so that the largest jobs are refused first. One that is
        being committed already is not refused, since it may run.
        """
        if job.id in self._committing:
            return None
        left = self._max_job_bytes - self._state().job_bytes - sum(self._committing.values())
        if size <= left / 2:
            return None
        metrics.count("jobs_refused", team=job.team, reason="memory")
        logs.event(
            "job_refused",
            job=job.id,
            queue=job.queue,
            team=job.team,
            reason="memory",
            size_bytes=size,
            left_bytes=left,
        )
        return JobAnswer(
            AnswerKind.REFUSED,
            detail="too little memory for the job; it has not run",
            retry_after_s=RETRY_AFTER_S,
        )

    def _check_admission(self, job: Job, queue: JobQueue) -> JobAnswer | None:
        """Returns the answer that refuses a job which the pool can't do in time, or None."""
        owner = self._owner()
        refusal = owner.admission.check(job, queue) if owner is not None else None
        if refusal is None:
            return None
        metrics.count("jobs_refused", team=job.team, reason=refusal.reason)
        logs.event(
            "job_refused",
            job=job.id,
            queue=queue.name,
            team=job.team,
            reason=refusal.reason,
            work_ahead_core_s=round(refusal.work_ahead, 1),
            capacity_cores=round(refusal.capacity, 1),
            share=round(refusal.share, 4),
            used_share=round(owner.admission.used_share(queue.pool, job.team), 4),
            retry_after_s=round(refusal.retry_after_s, 2),
        )
        return JobAnswer(
            AnswerKind.REFUSED,
            detail="the pool can't do the job in time; it has not run",
            retry_after_s=refusal.retry_after_s,
        )

    def _count_submission(self, result: Any, job: Job) -> Any:
        count_submission(self._state(), job)
        return result

    @_handle.register
    def _(self, call: msgs.CancelCall) -> JobAnswer | Deferred:
        found = self._resolve(call.request)
        if isinstance(found, JobAnswer):
            return found
        queue, _team, job_id = found
        record = self._find_job(queue, job_id)
        if record is None:
            return self._cancel_unknown_job(queue, job_id)
        if not record.active:
            return JobAnswer(AnswerKind.OK)
        logs.event("job_cancelling", job=job_id, queue=queue.name)
        return self._commit(cmds.CancelJob(job_id, self._wall_clock()))

    def _cancel_unknown_job(self, queue: JobQueue, job_id: str) -> JobAnswer | Deferred:
        """Cancels a job that a queue doesn't have, since its submission may still arrive."""
        other = self._state().jobs.get(job_id)
        logs.event(
            "cancel_without_job",
            job=job_id,
            queue=queue.name,
            submitted_to=other.job.queue if other is not None else "",
        )
        if other is not None or not JOB_ID_PATTERN.fullmatch(job_id):
            return JobAnswer(AnswerKind.NO_JOB)
        command = cmds.CancelSubmission(job_id, *queue.address, self._wall_clock())
        fut = self._propose(command)
        return fut.addCallbacks(lambda _: JobAnswer(AnswerKind.NO_JOB), _commit_unclear)

    @_handle.register
    def _(self, call: msgs.JobQuery) -> JobAnswer:
        found = self._resolve(call.request)
        if isinstance(found, JobAnswer):
            return found
        queue, _team, job_id = found
        if not job_id:
            return JobAnswer(AnswerKind.OK, value=self._count_queued(queue))
        record = self._find_job(queue, job_id)
        if record is None:
            return JobAnswer(AnswerKind.NO_JOB)
        return JobAnswer(AnswerKind.OK, value=str(self._shown_state(record)))

    def _shown_state(self, record: JobRecord) -> JobState:
        """Returns the state of a job as its workers tell it, also what isn't committed yet."""
        owner = self._owner()
        if record.queued and owner is not None and record.job.id in owner.begun_jobs:
            return JobState.RUNNING
        return record.state

    def _find_job(self, queue: JobQueue, job_id: str) -> JobRecord | None:
        """Returns a job that was submitted to the address of a queue, under any name."""
        record = self._state().jobs.get(job_id)
        return record if record is not None and record.address == queue.address else None

    def _count_queued(self, queue: JobQueue) -> int:
        return sum(
            record.address == queue.address and self._shown_state(record) is JobState.QUEUED
            for record in self._state().active.values()
        )

    def _resolve(
        self, request: msgs.JobRequest
    ) -> tuple[JobQueue, JobTeam | None, str] | JobAnswer:
        """Returns queue, team and job id of a request, or an answer that refuses it.

        The team is None for a call without a known key to a public queue.
        """
        config = self._state().config
        if config is None:
            return JobAnswer(AnswerKind.NOT_READY, retry_after_s=RETRY_AFTER_S)
        queue = _matching_queue(config, request)
        # A job id has no slash: a longer path is that of another queue, which does not exist.
        if queue is None or "/" in request.path[len(queue.prefix) :]:
            return JobAnswer(AnswerKind.NO_QUEUE)
        team = next((t for t in config.teams if request.key and request.key in t.keys), None)
        if team is None and not queue.public:
            digest = hashlib.sha256(request.key.encode()).hexdigest()[:12]
            logs.event("key_unknown", queue=queue.name, key=digest, version=config.version)
            return JobAnswer(AnswerKind.UNAUTHORIZED)
        return queue, team, request.path[len(queue.prefix) :]

    # Workers.

    @_handle.register
    def _(self, call: msgs.Heartbeat) -> Deferred:
        return self._ok_when_committed(self._owner().registry.handle_heartbeat(call))

    @_handle.register
    def _(self, call: msgs.LeaveCall) -> Deferred:
        return self._ok_when_committed(
            self._owner().registry.handle_leave(call.worker_id, call.born)
        )

    # Operators.

    @_handle.register
    def _(self, call: msgs.ConfigureCall) -> JobAnswer | Deferred:
        if call.config.version <= self._state().version:
            return JobAnswer(AnswerKind.OK)
        logs.event("configuration_received", version=call.config.version)
        return self._commit(cmds.Configure(call.config))

    @_handle.register
    def _(self, _call: msgs.ReadConfig) -> JobAnswer:
        config = self._state().config
        if config is None:
            return JobAnswer(AnswerKind.NOT_READY, retry_after_s=RETRY_AFTER_S)
        return JobAnswer(AnswerKind.OK, value=config.document)

    @_handle.register
    def _(self, call: msgs.EvacuationCall) -> JobAnswer | Deferred:
        if call.revision != self._state().evacuation_revision:
            return self._evacuation_outdated(call)
        logs.event("evacuation", data_centre=call.data_centre, out=call.out, revision=call.revision)
        fut = self._propose(cmds.OrderEvacuation(call.data_centre, call.out, call.revision))
        return fut.addCallbacks(
            lambda result: (
                JobAnswer(AnswerKind.OK) if result.ok else self._evacuation_outdated(call)
            ),
            _commit_unclear,
        )

    def _evacuation_outdated(self, call: msgs.EvacuationCall) -> JobAnswer:
        revision = self._state().evacuation_revision
        logs.event(
            "evacuation_outdated",
            data_centre=call.data_centre,
            out=call.out,
            revision=call.revision,
            present=revision,
        )
        return JobAnswer(AnswerKind.OUTDATED, value=revision, detail="repeat the order")

    @_handle.register
    def _(self, call: msgs.MaintenanceCall) -> JobAnswer | Deferred:
        if call.campaign in self._state().campaigns:
            return JobAnswer(AnswerKind.OK)
        deadline = self._wall_clock() + call.duration_s
        logs.event(
            "maintenance_asked",
            campaign=call.campaign,
            instances=len(call.instances),
            duration_s=call.duration_s,
            cap=call.cap,
        )
        return self._commit(
            cmds.StartMaintenance(call.campaign, call.instances, deadline, call.cap)
        )

    @_handle.register
    def _(self, call: msgs.CampaignQuery) -> JobAnswer:
        campaign = self._state().campaigns.get(call.campaign)
        if campaign is None:
            return JobAnswer(AnswerKind.NO_JOB)
        return JobAnswer(AnswerKind.OK, value=campaign.completed)

    @_handle.register
    def _(self, call: msgs.PlacementCall) -> JobAnswer:
        return self._placement.answer(call)

    def _commit(self, command: Any) -> Deferred:
        return self._ok_when_committed(self._propose(command))

    def _ok_when_committed(self, fut: Deferred) -> Deferred:
        return fut.addCallbacks(lambda _: JobAnswer(AnswerKind.OK), _commit_unclear)


def _commit_unclear(failure: Any) -> JobAnswer:
    failure.trap(NotLeader)
    logs.event("commit_unclear", detail=failure.getErrorMessage())
    return JobAnswer(
        AnswerKind.UNKNOWN, detail="leadership of the controllers changed; repeat the call"
    )


def _matching_queue(config: FleetConfig, request: msgs.JobRequest) -> JobQueue | None:
    """Returns the queue of the host with the longest matching path prefix, or None."""
    candidates = [
        queue
        for queue in config.queues
        if queue.host == request.host and request.path.startswith(queue.prefix)
    ]
    return max(candidates, key=lambda queue: len(queue.prefix), default=None)
