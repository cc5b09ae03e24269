"""The owner: the leading controller, which alone schedules tasks and gives orders to workers.

The owner keeps a session with each worker, collects the run ends that workers report, plans starts,
and commits ends and starts together, one command at a time. A start order is sent to the worker
only after the start is committed, so that the next owner knows on which worker a run may exist. The
fencing token of all orders is the owner's term.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.errors import NotLeader
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.advice import AdvicePort, TicketCache
from geraniumtrack.jobs.commit import commit_in_background
from geraniumtrack.jobs.crashes import CrashDetector, log_crash
from geraniumtrack.jobs.fleet_changes import FleetChanges
from geraniumtrack.jobs.machine_port import MachinePort
from geraniumtrack.jobs.model import EndKind, Resources, TaskId, WorkerInfo
from geraniumtrack.jobs.pacing import PACE_INTERVAL_S, next_percent, worst_latency_ratio
from geraniumtrack.jobs.run_checkpoints import reported_checkpoint, unsaved_checkpoints
from geraniumtrack.jobs.scheduler import PlannedStart, Scheduler
from geraniumtrack.jobs.start_check import StartBlock, blocked_starts
from geraniumtrack.jobs.state import JobsState, Task, TaskPhase
from geraniumtrack.jobs.worker_health import WorkerHealth
from geraniumtrack.jobs.worker_port import StartOutcome, WorkerPort, WorkerReport
from geraniumtrack.jobs.worker_registry import WorkerRegistry
from geraniumtrack.jobs.worker_session import SentStart, StopReason, WorkerSession
from geraniumtrack.metrics import metrics

__all__ = ["Owner"]

TICK_INTERVAL_S = 0.1
START_BACKOFF_S = 0.3  # no starts on a worker for this long after NO_ROOM or UNHEALTHY
STOP_RETRY_INTERVAL_S = 0.5  # a stop of the same run is not repeated earlier
FORGET_TIMEOUT_S = 10.0  # a silent worker whose last heartbeat is older than this is forgotten


class Owner:
    """Schedules the tasks of all pools while this controller leads.

    Args:
        reactor: Twisted reactor.
        term: Term of this leader, which is the fencing token of all its orders.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        may_act: Returns whether the leadership lease is held.
        port: Calls to workers.
        machines: Calls to the platform's machine API.
        advice: Calls to the policy service, if there is one.
        wall_clock: Returns the wall-clock time in seconds.
        instance_orders_fenced: Whether the platform compares the fencing tokens of the orders for
            an instance.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        term: int,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        may_act: Callable[[], bool],
        port: WorkerPort,
        machines: MachinePort,
        advice: AdvicePort | None = None,
        wall_clock: Callable[[], float],
        instance_orders_fenced: bool,
    ) -> None:
        self.term = term
        self.sessions: dict[str, WorkerSession] = {}
        self.health: dict[str, WorkerHealth] = {}
        self._reactor = reactor
        self._state = state
        self._propose = propose
        self._may_act = may_act
        self._port = port
        self._wall_clock = wall_clock
        self._fleet_changes = FleetChanges(
            reactor,
            term=term,
            state=state,
            propose=propose,
            may_act=may_act,
            sessions=lambda: self.sessions,
            port=machines,
            wall_clock=wall_clock,
            orders_fenced=instance_orders_fenced,
        )
        self._crashes = CrashDetector(
            reactor.seconds,
            state=state,
            propose=propose,
            sessions=lambda: self.sessions,
            changing=self._fleet_changes.blocks_starts,
            wall_clock=wall_clock,
        )
        self.registry = WorkerRegistry(
            reactor.seconds,
            state=state,
            propose=self._propose_worker_change,
            sessions=lambda: self.sessions,
            on_new_incarnation=self._crashes.handle_new_incarnation,
        )
        self._ticket_cache = TicketCache(
            reactor.seconds, port=advice, on_tickets=self.schedule_pass
        )
        self._scheduler = Scheduler(
            state=state, tickets=self._ticket_cache.tickets, settled=self._crashes.settled
        )
        self._paced_at: dict[str, float] = {}
        self._pending_ends: list[tuple[WorkerSession, tuple]] = []
        # Checkpoint by task and run; the stored checkpoint is kept where it is empty.
        self._lost_runs: dict[tuple[TaskId, int], str] = {}
        # Resources of runs that the replicated state does not assign to the worker, by worker id.
        self._untracked: dict[str, Resources] = {}
        self._committing = False
        self._pass_scheduled = False
        self._stopped = False
        self._tick_loop = LoopingCall(self._tick)
        self._tick_loop.clock = reactor

    def start(self) -> None:
        """Takes over from the last owner: contacts all known workers with the new fencing token."""
        logs.event("owner_started", term=self.term, workers=len(self._state().workers))
        self._sync_sessions()
        self._tick_loop.start(TICK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops giving orders; the next owner handles the orders that are under way."""
        if self._stopped:
            return
        self._stopped = True
        if self._tick_loop.running:
            self._tick_loop.stop()
        for session in self.sessions.values():
            session.close()
        logs.event("owner_stopped", term=self.term)

    def on_applied(self, command: Any) -> None:
        """Reacts to a command that was applied to the replicated state."""
        if isinstance(command, cmds.PutWorker | cmds.ReportWorker | cmds.ForgetWorker):
            self._sync_sessions()
        elif isinstance(command, cmds.CancelJob | cmds.CancelSubmission):
            self._stop_ended_job(command.job_id)
            self._ticket_cache.forget(command.job_id)
        elif isinstance(command, cmds.WorkerCrashed):
            log_crash(self._state(), command)
            for job_id in {row[0] for row, _ in command.runs}:
                self._log_job_end(job_id, command.at)
        self.schedule_pass()

    def schedule_pass(self) -> None:
        """Runs a scheduling pass in the next iteration of the reactor."""
        if not self._pass_scheduled and not self._stopped:
            self._pass_scheduled = True
            self._reactor.callLater(0, self._run_pass)

    def _sync_sessions(self) -> None:
        """Opens and closes sessions so that they match the workers of the replicated state."""
        workers = self._state().workers
        for worker_id, session in list(self.sessions.items()):
            current = workers.get(worker_id)
            if current is None or current.born != session.worker.born:
                session.close()
                del self.sessions[worker_id]
                self.health.pop(worker_id, None)
                self._untracked.pop(worker_id, None)
                self._paced_at.pop(worker_id, None)
            elif self._state().heartbeat_sequences.get(session.key, -1) >= session.sequence:
                # Otherwise the session has a later heartbeat, whose commit is in progress.
                session.worker = current
        for worker in workers.values():
            if worker.id not in self.sessions and not self._stopped:
                self._open_session(worker)

    def _open_session(self, worker: Any) -> None:
        key = (worker.id, worker.born)
        session = WorkerSession(
            self._reactor,
            worker=worker,
            port=self._port,
            fence=self.term,
            may_act=self._may_act,
            last_committed_end=lambda: self._state().last_committed_end.get(key, 0),
            on_report=self._handle_report,
            on_start_answer=self._handle_start_answer,
            on_ended=self._handle_worker_ended,
        )
        self.sessions[worker.id] = session
        self.health[worker.id] = WorkerHealth()
        session.open()

    # Worker reports.

    def _handle_report(self, session: WorkerSession, report: WorkerReport, sent_at: float) -> None:
        self._crashes.handle_report(session)
        if report.ends:
            rows = tuple(
                (end.number, tuple(end.task), end.run, str(end.kind), end.checkpoint)
                for end in report.ends
            )
            self._pending_ends.append((session, rows))
            self._process_ends(session, report)
        self._reconcile(session, report, sent_at)
        self._adjust_pace(session)
        self.schedule_pass()

    def _process_ends(self, session: WorkerSession, report: WorkerReport) -> None:
        """Logs and counts reported run ends, and quarantines a worker whose runs keep failing."""
        health = self.health[session.worker.id]
        now = self._reactor.seconds()
        for end in report.ends:
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
            if end.kind is EndKind.DONE:
                health.record_success()
            elif end.kind is EndKind.FAILED and health.record_failure(end.task.job, now):
                session.quarantined_until = health.quarantined_until
                logs.warn("worker_set_aside", worker=session.worker.id, born=session.worker.born)

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
                self._handle_unreported_run(session, task, sent_at)
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
        self._untracked[session.worker.id] = untracked
        session.forget_starts(assigned)

    def _handle_unreported_run(self, session: WorkerSession, task: Task, sent_at: float) -> None:
        """Handles an assigned run that its worker does not report.

        The run is marked as lost only when it neither runs nor can start any more.
        """
        order = session.sent_starts.get(task.id)
        if order is None or order.run != task.run:
            # An earlier owner committed the start. The worker rejects that owner's order from now
            # on, since this owner's fencing token is higher.
            self._mark_run_lost(task, "not_started_before_takeover")
        elif order.answered_at is None or sent_at <= order.answered_at:
            return
        elif order.outcome is StartOutcome.UNKNOWN and not order.stop_acknowledged:
            active = self._state().jobs[task.id.job].active
            reason = StopReason.START_UNCLEAR if active else StopReason.JOB_ENDED
            self._stop(session, task.id, task.run, reason)
        else:
            self._mark_run_lost(task, "not_listed")

    def _stop(self, session: WorkerSession, task: TaskId, run: int, reason: StopReason) -> None:
        session.stop(task, run, reason, again_after_s=STOP_RETRY_INTERVAL_S)

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

    def _handle_start_answer(
        self, session: WorkerSession, task_id: TaskId, order: SentStart
    ) -> None:
        task = self._state().task(task_id)
        metrics.count("run_starts", outcome=str(order.outcome))
        metrics.observe("run_start", order.answered_at - order.sent_at)
        if order.outcome is StartOutcome.STARTED:
            self._log_start("run_started", session, task_id, order)
            return
        if order.outcome in (StartOutcome.UNKNOWN, StartOutcome.FENCED):
            self._log_start("start_unclear", session, task_id, order)
            return
        self._log_start("start_refused", session, task_id, order)
        if order.outcome in (StartOutcome.NO_ROOM, StartOutcome.UNHEALTHY):
            session.backoff_until = self._reactor.seconds() + START_BACKOFF_S
        if task is not None and task.run == order.run:
            self._mark_run_lost(task, str(order.outcome))
            self.schedule_pass()

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

    def _mark_run_lost(self, task: Task, reason: str) -> None:
        """Makes the next scheduling pass commit that a run can't exist any more."""
        if (task.id, task.run) not in self._lost_runs:
            metrics.count("runs_lost", reason=reason)
            logs.event(
                "run_lost",
                job=task.id.job,
                task=".".join(map(str, task.id[1:])),
                run=task.run,
                worker=task.worker,
                reason=reason,
            )
        session = self.sessions.get(task.worker)
        checkpoint = reported_checkpoint(self._state(), session, task)
        self._lost_runs[task.id, task.run] = checkpoint

    def _handle_worker_ended(self, session: WorkerSession) -> None:
        """Forgets an incarnation that has certainly ended; its tasks are requeued."""
        logs.event("worker_gone", worker=session.worker.id, born=session.worker.born)
        self._crashes.handle_ended(session.worker)
        commit_in_background(
            self._propose_worker_change, cmds.ForgetWorker(session.worker.id, session.worker.born)
        )

    def _propose_worker_change(self, command: cmds.ReportWorker | cmds.ForgetWorker) -> Deferred:
        """Commits a command about a worker.

        If the command ends an incarnation, the checkpoints that its runs reported are committed
        first, so that the requeued tasks resume from them.
        """
        if isinstance(command, cmds.ReportWorker):
            session = self.sessions.get(command.worker.id)
            ends = session is not None and session.worker.born < command.worker.born
        else:
            session = self.sessions.get(command.worker_id)
            ends = session is not None and session.worker.born == command.born
        lost = unsaved_checkpoints(self._state(), session) if ends else ()
        if lost:
            commit_in_background(self._propose, cmds.RecordRuns(self._wall_clock(), lost=lost))
        return self._propose(command)

    # Scheduling passes.

    def _run_pass(self) -> None:
        """Commits the collected ends and lost runs together with newly planned starts."""
        self._pass_scheduled = False
        if self._stopped or self._committing or not self._may_act():
            return
        now = self._wall_clock()
        ends, self._pending_ends = self._pending_ends, []
        lost, self._lost_runs = self._lost_runs, {}
        starts = self._plan(now)
        if not (ends or lost or starts):
            return
        command = cmds.RecordRuns(
            at=now,
            ends=tuple((s.worker.id, s.worker.born, rows) for s, rows in ends),
            lost=tuple((tuple(t), run, checkpoint) for (t, run), checkpoint in lost.items()),
            starts=tuple((tuple(s.task), s.run, s.worker.id, s.worker.born) for s in starts),
        )
        self._committing = True
        self._propose(command).addCallbacks(
            self._handle_commit,
            self._handle_commit_failure,
            callbackArgs=(command, [s for s, _ in ends], starts),
        )

    def _plan(self, now: float) -> list[PlannedStart]:
        rows = [
            (
                session.worker,
                self._untracked.get(session.worker.id, Resources()),
                self.health[session.worker.id].suspect,
            )
            for session in self.sessions.values()
            if session.usable and self._accepts_starts(session)
        ]
        return self._scheduler.plan(self._scheduler.available_workers_by_pool(rows), now)

    def _accepts_starts(self, session: WorkerSession) -> bool:
        worker = session.worker
        evacuated = worker.data_centre in self._state().evacuated
        return not evacuated and not self._fleet_changes.blocks_starts(worker.instance)

    def _handle_commit(
        self,
        _result: Any,
        command: cmds.RecordRuns,
        reporting_sessions: list[WorkerSession],
        starts: list[PlannedStart],
    ) -> None:
        self._committing = False
        if self._stopped:
            return
        self._log_ended_jobs(command)
        blocked = blocked_starts(
            starts,
            self._state(),
            is_overtaken=self._is_overtaken,
            worker_info=self._worker_info,
            untracked=self._untracked,
        )
        for planned in starts:
            self._send_start(planned, blocked.get(planned.task))
        for session in reporting_sessions:
            session.send_next_hold()
        self.schedule_pass()

    def _log_ended_jobs(self, command: cmds.RecordRuns) -> None:
        job_ids = {TaskId(*row[1]).job for _, _, rows in command.ends for row in rows}
        for job_id in job_ids:
            self._log_job_end(job_id, command.at)

    def _log_job_end(self, job_id: str, at: float) -> None:
        """Logs the end of a job if it ended at the wall-clock time `at`."""
        record = self._state().jobs.get(job_id)
        if record is not None and not record.active and record.ended == at:
            taken_s = at - record.job.submitted
            logs.event("job_ended", job=job_id, state=record.state, taken_s=taken_s)
            self._stop_ended_job(job_id)
            self._ticket_cache.forget(job_id)

    def _worker_info(self, worker_id: str) -> WorkerInfo | None:
        session = self.sessions.get(worker_id)
        return session.worker if session is not None else None

    def _is_overtaken(self, planned: PlannedStart) -> bool:
        """Whether a job has ended, or its worker has ended, is about to or takes no more tasks."""
        session = self.sessions.get(planned.worker.id)
        if session is None or session.worker.born != planned.worker.born:
            return True
        if not self._is_assigned(planned):
            return True
        ending = session.worker.draining or session.leaving or not session.reachable
        active = self._state().jobs[planned.task.job].active
        return not active or ending or not self._accepts_starts(session)

    def _is_assigned(self, planned: PlannedStart) -> bool:
        """Whether the replicated state assigns a run as planned."""
        task = self._state().task(planned.task)
        if task is None or task.phase is not TaskPhase.ASSIGNED:
            return False
        return (task.run, task.worker) == (planned.run, planned.worker.id)

    def _send_start(self, planned: PlannedStart, blocked: StartBlock | None) -> None:
        if not self._is_assigned(planned):
            return
        task = self._state().task(planned.task)
        if blocked is not None:
            self._mark_run_lost(task, blocked)
            return
        record = self._state().jobs[planned.task.job]
        session = self.sessions[planned.worker.id]
        if planned.run == 1 and planned.task[1:] == (0, 0, 0):
            waited_s = self._wall_clock() - record.job.submitted
            metrics.observe("first_start", waited_s, queue=record.job.queue)
        session.start(
            planned.task, planned.run, record.job.payload, task.checkpoint, planned.ticket
        )

    def _handle_commit_failure(self, failure: Any) -> None:
        self._committing = False
        failure.trap(NotLeader)
        logs.event("owner_commit_lost", term=self.term)
        self.stop()

    # Periodic work.

    def _tick(self) -> None:
        if not self._may_act():
            return
        for session in list(self.sessions.values()):
            if session.silent and session.lease_expired:
                self._handle_expired_lease(session)
        self._fleet_changes.tick()
        self.schedule_pass()

    def _handle_expired_lease(self, session: WorkerSession) -> None:
        """Marks a silent worker's runs as lost.

        Forgets the worker instead if it announced its end or its last heartbeat is old.
        """
        worker = session.worker
        heartbeat_age_s = self._reactor.seconds() - session.last_heartbeat_at
        if session.leaving or heartbeat_age_s > FORGET_TIMEOUT_S:
            logs.event("worker_forgotten", worker=worker.id, born=worker.born)
            session.close()
            commit_in_background(
                self._propose_worker_change, cmds.ForgetWorker(worker.id, worker.born)
            )
            return
        self._crashes.handle_lease_expired(session)
        for task in self._state().assigned.get(worker.id, {}).values():
            if task.worker_born == worker.born:
                self._mark_run_lost(task, "lease_over")

    def _stop_ended_job(self, job_id: str) -> None:
        """Stops the runs of a job that was cancelled or has failed.

        Runs that this misses are stopped when their workers report them again.
        """
        record = self._state().jobs.get(job_id)
        if record is None or record.active:
            return
        for session in self.sessions.values():
            for task in self._state().assigned.get(session.worker.id, {}).values():
                if task.id.job == job_id:
                    self._stop(session, task.id, task.run, StopReason.JOB_ENDED)
