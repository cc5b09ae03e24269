"""Follows the runs on all workers by their reports and by the answers to start orders.

It collects what the next scheduling pass has to commit: the run ends that workers report, and the
runs that can't be active any more.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from geraniumtrack import logs
from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.runs.availability import AvailabilityBudget
from geraniumtrack.jobs.runs.begun_jobs import BegunJobs
from geraniumtrack.jobs.runs.crashes import CrashDetector
from geraniumtrack.jobs.runs.end_evidence import (
    RunVerdict,
    judge_unreported_run,
    start_had_no_effect,
)
from geraniumtrack.jobs.runs.handled_ends import HandledEnds
from geraniumtrack.jobs.runs.pacing import PACE_INTERVAL_S, next_percent, worst_latency_ratio
from geraniumtrack.jobs.runs.released_runs import log_lost_run
from geraniumtrack.jobs.runs.run_checkpoints import reported_checkpoint
from geraniumtrack.jobs.runs.run_durations import RunDurations
from geraniumtrack.jobs.runs.run_forecast import RunForecast
from geraniumtrack.jobs.runs.sent_orders import SentStart, StopReason
from geraniumtrack.jobs.runs.takeover_timer import TakeoverTimer
from geraniumtrack.jobs.runs.worker_health import FailureShares, WorkerHealth
from geraniumtrack.jobs.runs.worker_port import StartOutcome, WorkerReport
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.estimates import DurationEstimates
from geraniumtrack.jobs.scheduling.rack_slots import Arrival
from geraniumtrack.jobs.state.jobs_state import JobsState, Task
from geraniumtrack.jobs.state.model import EndKind, Resources, RunEnd, TaskId
from geraniumtrack.metrics import metrics

__all__ = ["STOP_RETRY_INTERVAL_S", "RunTracker"]

START_BACKOFF_S = 0.3  # no starts on a worker for this long after NO_ROOM or UNHEALTHY
STOP_RETRY_INTERVAL_S = 0.5  # a stop of the same run is not repeated earlier


class RunTracker:
    """Follows the runs on all workers while this controller is the owner.

    Args:
        reactor: Twisted reactor.
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        availability: Is told of each stop of a service task.
        crashes: Detects crashes of workers.
        begun_jobs: Collects which jobs have begun.
        schedule_pass: Requests a scheduling pass.
        arrivals: Returns the instances in transit to a pool.
        policy: Settings of the scheduling policy.
        estimates: Learns the durations of tasks, if not estimates of its own.

    Attributes:
        health: Health of each worker with a session, by worker id.
        durations: How long runs take, and how fast the workers are.
        forecast: When runs end and instances arrive.
        untracked: Resources of the runs that the replicated state doesn't assign to the worker that
            reports them, by worker id.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        availability: AvailabilityBudget,
        crashes: CrashDetector,
        begun_jobs: BegunJobs,
        schedule_pass: Callable[[], None],
        arrivals: Callable[[str], list[Arrival]],
        policy: PolicySettings = DEFAULT_POLICY,
        estimates: DurationEstimates | None = None,
    ) -> None:
        estimates = estimates or DurationEstimates(policy)
        self.health: dict[str, WorkerHealth] = {}
        self.durations = RunDurations(
            reactor.seconds,
            state=state,
            sessions=sessions,
            policy=policy,
            estimates=estimates,
        )
        self.forecast = RunForecast(
            reactor.seconds,
            state=state,
            sessions=sessions,
            arrivals=arrivals,
            worker_speed=self.durations.worker_speed,
            policy=policy,
            duration_factor=estimates.mean,
        )
        self.untracked: dict[str, Resources] = {}
        self._handled_ends = HandledEnds(state)
        self._reactor = reactor
        self._state = state
        self._sessions = sessions
        self._availability = availability
        self._crashes = crashes
        self._begun_jobs = begun_jobs
        self._takeover = TakeoverTimer(
            reactor.seconds, sessions=sessions, workers=len(state().workers)
        )
        self._failure_shares = FailureShares() if policy.worker_speed else None
        self._schedule_pass = schedule_pass
        self._paced_at: dict[str, float] = {}
        self._pending_ends: list[tuple[WorkerSession, tuple]] = []
        # Checkpoint by task and run; the stored checkpoint is kept where it is empty.
        self._lost_runs: dict[tuple[TaskId, int], str] = {}
        self._committing_lost: set[tuple[TaskId, int]] = set()

    def add_worker(self, worker_id: str) -> None:
        """Begins to follow a worker."""
        self.health[worker_id] = WorkerHealth(self._failure_shares)

    def remove_worker(self, worker_id: str) -> None:
        """Ends following a worker."""
        health = self.health.pop(worker_id, None)
        if health is not None:
            health.close()
        self.durations.remove_worker(worker_id)
        self.untracked.pop(worker_id, None)
        self._paced_at.pop(worker_id, None)

    def take_ends(self) -> list[tuple[WorkerSession, tuple]]:
        """Returns the reported run ends to commit, as sessions with their rows, and clears them."""
        ends, self._pending_ends = self._pending_ends, []
        return ends

    def take_lost(self) -> tuple:
        """Returns rows of task, run and checkpoint of the lost runs to commit, and clears them."""
        lost, self._lost_runs = self._lost_runs, {}
        self._committing_lost = set(lost)
        return tuple((tuple(task), run, checkpoint) for (task, run), checkpoint in lost.items())

    def handle_report(self, session: WorkerSession, report: WorkerReport, sent_at: float) -> None:
        """Handles the answer to a hold.

        Args:
            session: The session with the worker.
            report: Its answer.
            sent_at: Clock value in seconds at which the hold was sent.
        """
        self._crashes.handle_report(session)
        self._begun_jobs.handle_report(report)
        self._takeover.record_report()
        new_ends = self._handled_ends.take_new(*session.key, report.ends) if report.ends else ()
        self.durations.record_ends(session, new_ends)
        if report.ends:
            # The next hold follows the commit of these rows, also where all of them are repeated.
            rows = tuple(
                (end.number, tuple(end.task), end.run, str(end.kind), end.checkpoint)
                for end in report.ends
            )
            self._pending_ends.append((session, rows))
            self._process_ends(session, new_ends)
        self._reconcile(session, report, sent_at)
        self._adjust_pace(session)
        self._schedule_pass()

    def _process_ends(self, session: WorkerSession, ends: Iterable[RunEnd]) -> None:
        """Logs and counts new run ends, and quarantines a worker whose runs keep failing."""
        for end in ends:
            metrics.count("run_ends", kind=str(end.kind))
            logs.event(
                "run_ended",
                job=end.task.job,
                task=".".join(map(str, end.task[1:])),
                run=end.run,
                worker=session.worker.id,
                kind=end.kind,
                checkpoint=end.checkpoint,
            )
            task = self._state().task(end.task)
            if task is None or self._state().step_of(task).lasting or task.run != end.run:
                continue
            self._record_health(session, task, end.kind)

    def _record_health(self, session: WorkerSession, task: Task, kind: EndKind) -> None:
        health = self.health[session.worker.id]
        record = self._state().jobs[task.id.job]
        step = record.job.steps[task.id.step]
        run_kind = (record.job.queue, record.job.team, step.image)
        if kind is EndKind.DONE:
            health.record_success(task.id.job, run_kind)
        elif kind is EndKind.FAILED:
            reason = health.record_failure(task.id.job, self._reactor.seconds(), run_kind)
            if reason is not None:
                session.quarantined_until = health.quarantined_until
                metrics.count("workers_set_aside", reason=str(reason))
                logs.warn(
                    "worker_set_aside",
                    worker=session.worker.id,
                    born=session.worker.born,
                    reason=reason,
                    failed=health.failed_runs,
                    runs=health.recent_runs,
                )

    def _reconcile(self, session: WorkerSession, report: WorkerReport, sent_at: float) -> None:
        """Compares the runs that a worker reports with those that the replicated state assigns.

        Stops reported runs that are not assigned or whose job has ended, and handles assigned runs
        that the worker does not report.
        """
        state = self._state()
        assigned = state.assigned.get(session.worker.id, {})
        ended = {(end.task, end.run) for end in report.ends}
        for task in list(assigned.values()):
            if task.worker_born != session.worker.born or (task.id, task.run) in ended:
                continue
            row = session.running.get(task.id)
            if row is None or row.run != task.run:
                self._handle_unreported_run(session, task, report, sent_at)
        untracked = Resources()
        for row in report.running:
            task = assigned.get(row.task)
            if task is None or task.run != row.run:
                known = state.task(row.task)
                if known is not None:
                    untracked = untracked.plus(self._state().step_of(known).reserved)
                self._stop(session, row.task, row.run, StopReason.NOT_ASSIGNED)
            elif not state.jobs[row.task.job].active:
                self._stop(session, row.task, row.run, StopReason.JOB_ENDED)
        self.untracked[session.worker.id] = untracked
        session.forget_starts(assigned)

    def _handle_unreported_run(
        self, session: WorkerSession, task: Task, report: WorkerReport, sent_at: float
    ) -> None:
        """Handles an assigned run that its worker does not report.

        The run is marked as lost only when it neither runs nor can start any more.
        """
        order = session.sent_starts.get(task.id)
        if order is not None and order.run != task.run:
            order = None
        verdict = judge_unreported_run(order, report, sent_at)
        if verdict is RunVerdict.MAY_START:
            active = self._state().jobs[task.id.job].active
            reason = StopReason.START_UNCLEAR if active else StopReason.JOB_ENDED
            self._stop(session, task.id, task.run, reason)
        elif verdict.is_ended:
            self.mark_lost(task, verdict)

    def _stop(self, session: WorkerSession, task: TaskId, run: int, reason: StopReason) -> None:
        if session.stop(task, run, reason, again_after_s=STOP_RETRY_INTERVAL_S):
            self._availability.record_stop(task, run, reason)

    def _adjust_pace(self, session: WorkerSession) -> None:
        """Adjusts the pace of a worker's best-effort tasks to the latency of its service tasks."""
        rows = session.running
        assigned = self._state().assigned.get(session.worker.id, {})
        steps = {
            task.id: self._state().step_of(task) for task in assigned.values() if task.id in rows
        }
        best_effort = [task for task, step in steps.items() if step.filler]
        session.frequent_reports = bool(best_effort)
        now = self._reactor.seconds()
        if not best_effort or now < self._paced_at.get(session.worker.id, 0.0) + PACE_INTERVAL_S:
            return
        self._paced_at[session.worker.id] = now
        ratio = worst_latency_ratio(rows, steps)
        for task in best_effort:
            session.pace(task, rows[task].run, next_percent(session.pace_percent(task), ratio))

    def handle_start_answer(
        self, session: WorkerSession, task_id: TaskId, order: SentStart
    ) -> None:
        """Handles the outcome of a start order."""
        task = self._state().task(task_id)
        metrics.count("run_starts", outcome=str(order.outcome))
        metrics.observe("run_start", order.answered_at - order.sent_at)
        self._begun_jobs.handle_start_answer(task_id.job, order)
        if order.outcome is StartOutcome.STARTED:
            self._takeover.record_start()
            self._log_start("run_started", session, task_id, order)
            return
        if not start_had_no_effect(order.outcome):
            self._log_start("start_unclear", session, task_id, order)
            return
        self._log_start("start_refused", session, task_id, order)
        if order.outcome in (StartOutcome.NO_ROOM, StartOutcome.UNHEALTHY):
            session.backoff_until = self._reactor.seconds() + START_BACKOFF_S
        if task is not None and task.run == order.run:
            self.mark_lost(task, str(order.outcome))
            self._schedule_pass()

    def _log_start(
        self, event: str, session: WorkerSession, task_id: TaskId, order: SentStart
    ) -> None:
        logs.event(
            event,
            job=task_id.job,
            task=".".join(map(str, task_id[1:])),
            run=order.run,
            worker=session.worker.id,
            outcome=order.outcome,
            checkpoint=order.checkpoint,
        )

    def stop_ended_job(self, job_id: str) -> None:
        """Stops the runs of a job that was cancelled or has failed.

        Runs that this misses are stopped when their workers report them again.
        """
        record = self._state().jobs.get(job_id)
        if record is None or record.active:
            return
        for session in self._sessions().values():
            for task in self._state().assigned.get(session.worker.id, {}).values():
                if task.id.job == job_id:
                    self._stop(session, task.id, task.run, StopReason.JOB_ENDED)

    def mark_lost(self, task: Task, reason: str) -> None:
        """Makes the next scheduling pass commit that a run can't exist any more."""
        if (task.id, task.run) in self._committing_lost:
            return
        if (task.id, task.run) not in self._lost_runs:
            log_lost_run(task, reason)
        session = self._sessions().get(task.worker)
        checkpoint = reported_checkpoint(self._state(), session, task)
        self._lost_runs[task.id, task.run] = checkpoint
