"""Answers where a job would go now, by a trial pass of the scheduler that commits nothing.

A trial pass takes as much of the owner's time as a scheduling pass, so at most MAX_CALLS are made
in PERIOD_S. It reads tickets, speeds and estimates as last computed, and computes none anew.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from geraniumtrack import logs
from geraniumtrack.jobs.calls.job_steps import steps_problem
from geraniumtrack.jobs.calls.placement_report import placement_report
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, PlacementCall
from geraniumtrack.jobs.runs.startable_workers import exclusion, startable_workers
from geraniumtrack.jobs.scheduling.admission import Refusal
from geraniumtrack.jobs.scheduling.placement_trace import PlacementTrace
from geraniumtrack.jobs.scheduling.trial_pass import TrialPass, run_trial
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Job, JobQueue
from geraniumtrack.jobs.state.trial_state import state_with_job

__all__ = ["PlacementQueries"]

MAX_CALLS, PERIOD_S = 2, 1.0
MAX_TASKS = 1000  # of a job that is described; each one takes memory and time in the pass
TRIAL_ID = "trial"  # no job has this id, as ids have 16 digits


@dataclass(frozen=True, slots=True)
class _Subject:
    """The job that a call asks about, and the state on which the trial pass decides."""

    job: Job
    queue: JobQueue
    state: JobsState
    refusal: Refusal | None


class PlacementQueries:
    """Answers queries while this controller is the owner.

    Args:
        state: Returns the replicated state.
        owner: Returns the owner, or None.
        wall_clock: Returns the wall-clock time in seconds.
        seconds: Returns the time in seconds of a monotonic clock, the one of the owner.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        owner: Callable[[], Any],
        wall_clock: Callable[[], float],
        seconds: Callable[[], float],
    ) -> None:
        self._state = state
        self._owner = owner
        self._wall_clock = wall_clock
        self._seconds = seconds
        self._answered_at: deque[float] = deque(maxlen=MAX_CALLS)

    def answer(self, call: PlacementCall) -> JobAnswer:
        """Returns the answer, whose value is a report of plain types."""
        if self._state().config is None or self._owner() is None:
            return JobAnswer(AnswerKind.NOT_READY, retry_after_s=PERIOD_S)
        wait_s = self._limit()
        if wait_s > 0:
            detail = f"at most {MAX_CALLS} queries per second are answered; try again"
            return JobAnswer(AnswerKind.BUSY, detail=detail, retry_after_s=wait_s)
        subject = self._subject(call)
        if isinstance(subject, JobAnswer):
            return subject
        started_at = time.perf_counter()
        report = self._report(subject)
        report["job"] = call.job_id
        logs.event(
            "placement_query",
            job=call.job_id,
            queue=subject.queue.name,
            team=subject.job.team,
            took_ms=round((time.perf_counter() - started_at) * 1000, 1),
        )
        return JobAnswer(AnswerKind.OK, value=report)

    def _limit(self) -> float:
        """Returns for how many seconds a query must wait; counts it if it need not."""
        now = self._seconds()
        if len(self._answered_at) == MAX_CALLS and now < self._answered_at[0] + PERIOD_S:
            return self._answered_at[0] + PERIOD_S - now
        self._answered_at.append(now)
        return 0.0

    def _subject(self, call: PlacementCall) -> _Subject | JobAnswer:
        return self._waiting_job(call.job_id) if call.job_id else self._described_job(call)

    def _waiting_job(self, job_id: str) -> _Subject | JobAnswer:
        state = self._state()
        record = state.jobs.get(job_id)
        if record is None:
            return JobAnswer(AnswerKind.NO_JOB, detail=f"job {job_id} is not known")
        if not record.active:
            return JobAnswer(AnswerKind.INVALID, detail=f"job {job_id} is {record.state}")
        queue = state.queues.get(record.job.queue)
        if queue is None:
            return JobAnswer(AnswerKind.NO_QUEUE, detail=f"queue {record.job.queue} is not known")
        return _Subject(record.job, queue, state, None)

    def _described_job(self, call: PlacementCall) -> _Subject | JobAnswer:
        state, now = self._state(), self._wall_clock()
        queues = {queue.name: queue for queue in state.config.queues}
        queue = queues.get(call.queue)
        if queue is None:
            names = ", ".join(sorted(queues))
            detail = f"queue {call.queue!r} is not known; there are {names}"
            return JobAnswer(AnswerKind.NO_QUEUE, detail=detail)
        problem = steps_problem(call.steps, 0) or _team_problem(call.team, queue, state)
        if not problem and sum(step.count for step in call.steps) > MAX_TASKS:
            problem = f"a query must have at most {MAX_TASKS} tasks"
        if problem:
            return JobAnswer(AnswerKind.INVALID, detail=problem)
        job = Job(TRIAL_ID, queue.name, call.team, "", call.steps, now)
        refusal = self._owner().admission.preview(job, queue)
        return _Subject(job, queue, state_with_job(state, job), refusal)

    def _report(self, subject: _Subject) -> dict[str, Any]:
        owner, now = self._owner(), self._wall_clock()
        pool = subject.queue.pool
        excluded = {
            worker: exclusion(owner.sessions.get(worker.id), self._seconds(), owner.accepts_starts)
            for worker in self._state().workers.values()
            if worker.pool == pool
        }
        return placement_report(
            subject.job,
            subject.queue,
            subject.state,
            refusal=subject.refusal,
            trial=self._trial(subject, now),
            excluded={worker.id: (worker.rack, why) for worker, why in excluded.items() if why},
            now=now,
            seen=self._seen(pool),
        )

    def _trial(self, subject: _Subject, now: float) -> TrialPass:
        owner = self._owner()
        tickets, speed = owner.ticket_cache.known, owner.runs.durations.known_speed
        forecast = owner.runs.forecast.with_speeds(speed)
        spread_factor = owner.policy.spread_factor
        pool = subject.queue.pool
        trace = PlacementTrace(subject.job.id, pool, tickets=tickets, spread_factor=spread_factor)
        scheduler = owner.scheduler.read_only_copy(
            subject.state, tickets=tickets, worker_speed=speed, forecast=forecast, trace=trace
        )
        return run_trial(
            scheduler,
            trace,
            state=subject.state,
            workers=startable_workers(owner.sessions, owner.runs, owner.accepts_starts),
            forecast=forecast,
            team=subject.job.team,
            pool=pool,
            now=now,
        )

    def _seen(self, pool: str) -> dict[str, Any]:
        """Returns the age in seconds of what the owner knows about a pool's workers."""
        now = self._seconds()
        ages = [
            now - session.last_answer_at
            for session in self._owner().sessions.values()
            if session.worker.pool == pool and session.reported
        ]
        return {
            "version": self._state().version,
            "term": self._owner().term,
            "workers_reported": len(ages),
            "newest_report_s": round(min(ages), 3) if ages else None,
            "oldest_report_s": round(max(ages), 3) if ages else None,
            "estimates_s": round(self._owner().runs.durations.age_s, 3),
        }


def _team_problem(team: str, queue: JobQueue, state: JobsState) -> str:
    """Returns why a team can't submit to a queue, or an empty string."""
    names = sorted(item.name for item in state.config.teams)
    if team in names or (not team and queue.public):
        return ""
    return f"team {team!r} is not known; there are {', '.join(names) or 'none'}"
