"""Observes how long runs take, from the owner's orders and the workers' reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from geraniumtrack import logs
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.runs.sent_orders import SentStart
from geraniumtrack.jobs.runs.worker_port import StartOutcome
from geraniumtrack.jobs.runs.worker_session import HOLD_WAIT_S, WorkerSession
from geraniumtrack.jobs.scheduling.estimates import (
    DurationEstimates,
    ObservedRun,
    RatioChange,
)
from geraniumtrack.jobs.scheduling.worker_speed import (
    NORMAL_SPEED,
    RETURN_RATIO,
    ActiveRun,
    SpeedChange,
    SpeedTracker,
    WorkerSpeed,
)
from geraniumtrack.jobs.state.jobs_state import JobsState, Task
from geraniumtrack.jobs.state.model import EndKind, RunEnd, StepSpec, WorkerInfo
from geraniumtrack.metrics import metrics

__all__ = ["RunDurations"]

ASSESS_INTERVAL_S = 0.2  # one assessment takes about 3 ms with 179 workers
# A worker answers at least once in a hold's wait. After a longer gap it was cut off, and its runs
# may have ended long before their ends are reported.
MAX_REPORT_GAP_S = HOLD_WAIT_S + 0.5


class RunDurations:
    """Keeps the observed durations of runs while this controller is the owner.

    Runs of an earlier owner are left out, as their start is not known.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        policy: Settings of the scheduling policy.
        estimates: Learns from the durations.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        policy: PolicySettings,
        estimates: DurationEstimates,
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._sessions = sessions
        self._policy = policy
        self._estimates = estimates
        self._speeds = SpeedTracker()
        self._assessed_at = -ASSESS_INTERVAL_S
        self._reported_at: dict[str, float] = {}

    def remove_worker(self, worker_id: str) -> None:
        """Ends observing a worker; its speed stays known for a while, in case it is back soon."""
        self._reported_at.pop(worker_id, None)

    def record_ends(self, session: WorkerSession, ends: Iterable[RunEnd]) -> None:
        """Records the ends of a report; must be called for each report, also without ends."""
        now = self._seconds()
        last_at = self._reported_at.get(session.worker.id, session.opened_at)
        self._reported_at[session.worker.id] = now
        if now - last_at > MAX_REPORT_GAP_S:
            return
        for end in ends:
            task = self._state().task(end.task)
            order = session.sent_starts.get(end.task)
            if end.kind is not EndKind.DONE or task is None or task.run != end.run:
                continue
            # A run that resumes from a checkpoint has only a part of the task left.
            if order is None or order.run != end.run or order.checkpoint:
                continue
            self._record_duration(session.worker, task, now - _started_at(order), now)

    def _record_duration(
        self, worker: WorkerInfo, task: Task, observed_s: float, now: float
    ) -> None:
        step = self._state().step_of(task)
        if not _is_comparable(step):
            return
        expected_s = self._expected_s(worker, step)
        self._speeds.observe(worker.id, task.id.job, expected_s, observed_s, now)
        if not self._is_slow(worker.id):
            job = self._state().jobs[task.id.job].job
            self._estimates.observe(ObservedRun.of(job, step, expected_s, observed_s), now)

    def _is_slow(self, worker_id: str) -> bool:
        return self._speeds.speed(worker_id).slowdown >= RETURN_RATIO

    def _expected_s(self, worker: WorkerInfo, step: StepSpec) -> float:
        remote = bool(step.data_rack) and worker.rack != step.data_rack
        return step.estimate_s * (self._policy.spread_factor if remote else 1.0)

    def worker_speed(self, worker_id: str) -> WorkerSpeed:
        """Returns the speed of a worker, normal if the policy doesn't take it into account."""
        self.refresh()
        return self.known_speed(worker_id)

    @property
    def age_s(self) -> float:
        """Time in seconds since speeds and estimates were computed, 0 if none are learned."""
        enabled = self._policy.worker_speed or self._estimates.enabled
        return self._seconds() - self._assessed_at if enabled else 0.0

    def known_speed(self, worker_id: str) -> WorkerSpeed:
        """Returns what `worker_speed` does, as of the last assessment."""
        return self._speeds.speed(worker_id) if self._policy.worker_speed else NORMAL_SPEED

    def refresh(self) -> None:
        """Assesses the speeds and computes the estimates anew, if that is due."""
        now = self._seconds()
        enabled = self._policy.worker_speed or self._estimates.enabled
        if enabled and now >= self._assessed_at + ASSESS_INTERVAL_S:
            self._assessed_at = now
            self._assess(now)

    def _assess(self, now: float) -> None:
        # Nothing is known about the runs of workers that don't answer.
        sessions = [s for s in self._sessions().values() if s.reported and not s.down]
        overdue: list[ObservedRun] = []
        active = {s.worker.id: self._active_runs(s, now, overdue) for s in sessions}
        if self._policy.worker_speed:
            workers = [session.worker for session in sessions]
            for change in self._speeds.assess(workers, active, now):
                _log_change(change)
        changes = self._estimates.refresh(overdue, now)
        for change in changes:
            _log_ratio(change)
        for ratio in [*self._estimates.ratios.values(), *changes]:
            metrics.set_gauge("duration_ratio", ratio.ratio, queue=ratio.queue)

    def _active_runs(
        self, session: WorkerSession, now: float, overdue: list[ObservedRun]
    ) -> list[ActiveRun]:
        """Returns the comparable runs of a worker.

        Appends those that have taken longer than expected to `overdue`, unless the worker is slow
        or they resume from a checkpoint.
        """
        state = self._state()
        assigned = state.assigned.get(session.worker.id, {})
        slow = self._is_slow(session.worker.id)
        found = []
        for task_id, order in session.sent_starts.items():
            task = assigned.get(task_id)
            if task is None or task.run != order.run or order.outcome is not StartOutcome.STARTED:
                continue
            job = state.jobs[task_id.job].job
            step = job.steps[task_id.step]
            if not _is_comparable(step):
                continue
            expected_s = self._expected_s(session.worker, step)
            elapsed_s = now - _started_at(order)
            found.append(ActiveRun(task_id.job, expected_s, elapsed_s))
            if elapsed_s > expected_s and not slow and not order.checkpoint:
                overdue.append(ObservedRun.of(job, step, expected_s, elapsed_s))
        return found


def _started_at(order: SentStart) -> float:
    """Returns when a run started at the latest, in seconds of the owner's clock."""
    return order.answered_at if order.answered_at is not None else order.sent_at


def _is_comparable(step: StepSpec) -> bool:
    """Whether the duration of a task says something about its worker.

    The tasks of a gang end together, those of a step that is kept on one rack are slow elsewhere,
    and best-effort tasks run at the pace that the owner sets.
    """
    return not (step.lasting or step.filler or step.gang or step.same_rack)


def _log_ratio(change: RatioChange) -> None:
    logs.event(
        "duration_ratio_changed",
        queue=change.queue,
        ratio=round(change.ratio, 2),
        weight=round(change.weight, 1),
    )


def _log_change(change: SpeedChange) -> None:
    pairs = {"slowdown": round(change.slowdown, 2)}
    if change.scope != "worker":
        name = "slow_together" if change.slow else "slow_together_ended"
        metrics.count(name, scope=change.scope)
        if change.slow:
            logs.warn("slow_together", scope=change.scope, domain=change.subject, **pairs)
        else:
            logs.event("slow_together_ended", scope=change.scope, domain=change.subject)
        return
    pairs |= {"jobs": change.evidence, "pool_ratio": round(change.pool_ratio, 2)}
    metrics.count("workers_slow" if change.slow else "workers_fast_again")
    if change.slow:
        logs.warn("worker_slow", worker=change.subject, **pairs)
    else:
        logs.event("worker_fast_again", worker=change.subject, **pairs)
