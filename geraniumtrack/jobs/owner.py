"""The owner of the pools: the controller that leads, with its term as fencing token.

It holds a session with each worker, gathers their ends, plans starts and commits both in one
command at a time. A start's order leaves only after its intent is committed, so that the next
owner knows on which worker a run may be.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.errors import NotLeader
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.advice import AdviceBook, AdvicePort
from geraniumtrack.jobs.commit import commit_unwatched
from geraniumtrack.jobs.fleet_changes import FleetChanges
from geraniumtrack.jobs.machine_port import MachinePort
from geraniumtrack.jobs.model import EndKind, Resources, TaskId
from geraniumtrack.jobs.pacing import PACE_INTERVAL_S, pressure, share
from geraniumtrack.jobs.scheduler import PlannedStart, Scheduler
from geraniumtrack.jobs.state import JobsState, Task
from geraniumtrack.jobs.worker_health import WorkerHealth
from geraniumtrack.jobs.worker_port import StartOutcome, WorkerPort, WorkerReport
from geraniumtrack.jobs.worker_registry import WorkerRegistry
from geraniumtrack.jobs.worker_session import Order, WorkerSession
from geraniumtrack.metrics import metrics

__all__ = ["Owner"]

TICK_S = 0.1
ROOM_CLOSED_S = 0.3  # a worker that refused a start for want of room gets none for this long
STOP_AGAIN_S = 0.5
FORGET_S = 10.0  # a worker that neither answers nor reports is forgotten


class Owner:
    """Runs all pools while this controller leads.

    Args:
        reactor: Twisted reactor.
        term: Term of this leadership, the fencing token of all orders.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        may_act: Whether the leadership lease is held.
        port: Calls to workers.
        machines: Calls to the platform's machine interface.
        advice: Calls to the policy service, if there is one.
        wall_clock: Returns the time of day in s.
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
        self._changes = FleetChanges(
            reactor,
            term=term,
            state=state,
            propose=propose,
            may_act=may_act,
            sessions=lambda: self.sessions,
            port=machines,
            wall_clock=wall_clock,
        )
        self.registry = WorkerRegistry(
            reactor.seconds, state=state, propose=propose, sessions=lambda: self.sessions
        )
        self._advice = AdviceBook(reactor.seconds, port=advice, on_tickets=self.wake)
        self._scheduler = Scheduler(state=state, tickets=self._advice.tickets)
        self._paced_at: dict[str, float] = {}
        self._ends: list[tuple[WorkerSession, tuple]] = []
        self._lost: dict[tuple[TaskId, int], str] = {}
        self._strangers: dict[str, Resources] = {}
        self._committing = False
        self._pass_due = False
        self._stopped = False
        self._ticks = LoopingCall(self._tick)
        self._ticks.clock = reactor

    def start(self) -> None:
        """Takes over: contacts every known worker, with the new fencing token."""
        logs.event("owner_started", term=self.term, workers=len(self._state().workers))
        self._match_sessions()
        self._ticks.start(TICK_S, now=False)

    def stop(self) -> None:
        """Stops acting; orders under way are left to the next owner."""
        if self._stopped:
            return
        self._stopped = True
        if self._ticks.running:
            self._ticks.stop()
        for session in self.sessions.values():
            session.close()
        logs.event("owner_stopped", term=self.term)

    def applied(self, command: Any) -> None:
        """Follows a command that was applied to the state."""
        if isinstance(command, cmds.PutWorker | cmds.ForgetWorker):
            self._match_sessions()
        elif isinstance(command, cmds.CancelJob):
            self._stop_ended_job(command.job_id)
            self._advice.forget(command.job_id)
        self.wake()

    def wake(self) -> None:
        """Runs a pass soon."""
        if not self._pass_due and not self._stopped:
            self._pass_due = True
            self._reactor.callLater(0, self._pass)

    def _match_sessions(self) -> None:
        workers = self._state().workers
        for worker_id, session in list(self.sessions.items()):
            current = workers.get(worker_id)
            if current is None or current.born != session.worker.born:
                session.close()
                del self.sessions[worker_id]
                self.health.pop(worker_id, None)
                self._strangers.pop(worker_id, None)
            else:
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
            last_seen=lambda: self._state().last_seen.get(key, 0),
            on_report=self._reported,
            on_start=self._start_answered,
            on_gone=self._gone,
        )
        self.sessions[worker.id] = session
        self.health[worker.id] = WorkerHealth()
        session.open()

    # Reports.

    def _reported(self, session: WorkerSession, report: WorkerReport, sent_at: float) -> None:
        if report.ends:
            rows = tuple(
                (end.number, tuple(end.task), end.run, str(end.kind), end.checkpoint)
                for end in report.ends
            )
            self._ends.append((session, rows))
            self._judge(session, report)
        self._reconcile(session, report, sent_at)
        self._pace(session)
        self.wake()

    def _judge(self, session: WorkerSession, report: WorkerReport) -> None:
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
            )
            task = self._state().task(end.task)
            if task is None or self._state().step_of(task).lasting or task.run != end.run:
                continue
            if end.kind is EndKind.DONE:
                health.done()
            elif end.kind is EndKind.FAILED and health.failed(end.task.job, now):
                session.set_aside_until = health.set_aside_until
                logs.warn("worker_set_aside", worker=session.worker.id, born=session.worker.born)

    def _reconcile(self, session: WorkerSession, report: WorkerReport, sent_at: float) -> None:
        """Compares what a worker lists with what the state says it runs."""
        state = self._state()
        assigned = state.assigned.get(session.worker.id, {})
        ended = {(end.task, end.run) for end in report.ends}
        for task in list(assigned.values()):
            if task.born != session.worker.born or (task.id, task.run) in ended:
                continue
            row = session.running.get(task.id)
            if row is None or row.run != task.run:
                self._missing(session, task, sent_at)
        strangers = Resources()
        for row in report.running:
            task = assigned.get(row.task)
            if task is None or task.run != row.run:
                known = state.task(row.task)
                if known is not None:
                    strangers = strangers.plus(self._state().step_of(known).counted)
                session.stop(row.task, row.run, again_after_s=STOP_AGAIN_S)
            elif not state.jobs[row.task.job].active:
                session.stop(row.task, row.run, again_after_s=STOP_AGAIN_S)
        self._strangers[session.worker.id] = strangers

    def _missing(self, session: WorkerSession, task: Task, sent_at: float) -> None:
        """Handles a task that should run on a worker which does not list it."""
        order = session.orders.get(task.id)
        if order is None or order.run != task.run:
            # An earlier owner's start; this owner's fence keeps it from being carried out now.
            self._give_up_run(task, "not_started_before_takeover")
        elif order.answered_at is None or sent_at <= order.answered_at:
            return
        elif order.outcome is StartOutcome.UNKNOWN and not order.stop_acknowledged:
            session.stop(task.id, task.run, again_after_s=STOP_AGAIN_S)
        else:
            self._give_up_run(task, "not_listed")

    def _pace(self, session: WorkerSession) -> None:
        """Slows the filling tasks of a worker on which serving tasks come near their targets."""
        rows = session.running
        assigned = self._state().assigned.get(session.worker.id, {})
        steps = {
            task.id: self._state().step_of(task) for task in assigned.values() if task.id in rows
        }
        fillers = [task for task, step in steps.items() if step.filler]
        session.attentive = bool(fillers)
        now = self._reactor.seconds()
        if not fillers or now < self._paced_at.get(session.worker.id, 0.0) + PACE_INTERVAL_S:
            return
        self._paced_at[session.worker.id] = now
        worst = pressure(rows, steps)
        for task in fillers:
            session.pace(task, rows[task].run, share(session.percent_of(task), worst))

    def _start_answered(self, session: WorkerSession, task_id: TaskId, order: Order) -> None:
        task = self._state().task(task_id)
        metrics.count("run_starts", outcome=str(order.outcome))
        metrics.observe("run_start", order.answered_at - order.sent_at)
        if order.outcome is StartOutcome.STARTED:
            self._log_run("run_started", session, task_id, order)
            return
        if order.outcome in (StartOutcome.UNKNOWN, StartOutcome.FENCED):
            self._log_run("start_unclear", session, task_id, order)
            return
        self._log_run("start_refused", session, task_id, order)
        if order.outcome in (StartOutcome.NO_ROOM, StartOutcome.UNHEALTHY):
            session.room_closed_until = self._reactor.seconds() + ROOM_CLOSED_S
        if task is not None and task.run == order.run:
            self._give_up_run(task, str(order.outcome))
            self.wake()

    def _log_run(self, event: str, session: WorkerSession, task_id: TaskId, order: Order) -> None:
        logs.event(
            event,
            job=task_id.job,
            task=".".join(map(str, task_id[1:])),
            run=order.run,
            worker=session.worker.id,
            outcome=order.outcome,
        )

    def _give_up_run(self, task: Task, reason: str) -> None:
        if (task.id, task.run) not in self._lost:
            metrics.count("runs_lost", reason=reason)
            logs.event(
                "run_lost",
                job=task.id.job,
                task=".".join(map(str, task.id[1:])),
                run=task.run,
                worker=task.worker,
                reason=reason,
            )
        self._lost[task.id, task.run] = ""

    def _gone(self, session: WorkerSession) -> None:
        """The address answers for another life: this one is over."""
        logs.event("worker_gone", worker=session.worker.id, born=session.worker.born)
        commit_unwatched(self._propose, cmds.ForgetWorker(session.worker.id, session.worker.born))

    # Passes.

    def _pass(self) -> None:
        self._pass_due = False
        if self._stopped or self._committing or not self._may_act():
            return
        now = self._wall_clock()
        ends, self._ends = self._ends, []
        lost, self._lost = self._lost, {}
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
            self._committed,
            self._commit_failed,
            callbackArgs=(command, [s for s, _ in ends], starts),
        )

    def _plan(self, now: float) -> list[PlannedStart]:
        usable = [
            (
                session.worker,
                self._strangers.get(session.worker.id, Resources()),
                self.health[session.worker.id].suspect,
            )
            for session in self.sessions.values()
            if session.usable and self._open_to_work(session)
        ]
        return self._scheduler.plan(self._scheduler.rooms(usable), now)

    def _open_to_work(self, session: WorkerSession) -> bool:
        worker = session.worker
        evacuated = worker.data_centre in self._state().evacuated
        return not evacuated and not self._changes.blocked(worker.instance)

    def _committed(
        self,
        _result: Any,
        command: cmds.RecordRuns,
        ended: list[WorkerSession],
        starts: list[PlannedStart],
    ) -> None:
        self._committing = False
        if self._stopped:
            return
        self._log_ended_jobs(command)
        for planned in starts:
            self._order(planned)
        for session in ended:
            session.hold_again()
        self.wake()

    def _log_ended_jobs(self, command: cmds.RecordRuns) -> None:
        touched = {TaskId(*row[1]).job for _, _, rows in command.ends for row in rows}
        for job_id in touched:
            record = self._state().jobs.get(job_id)
            if record is not None and not record.active and record.ended == command.at:
                taken_s = command.at - record.job.submitted
                logs.event("job_ended", job=job_id, state=record.state, taken_s=taken_s)
                self._advice.forget(job_id)

    def _order(self, planned: PlannedStart) -> None:
        task = self._state().task(planned.task)
        session = self.sessions.get(planned.worker.id)
        if task is None or task.run != planned.run or task.worker != planned.worker.id:
            return
        if session is None or session.worker.born != planned.worker.born:
            return
        record = self._state().jobs[planned.task.job]
        if not record.active or not self._open_to_work(session) or session.worker.draining:
            self._give_up_run(task, "overtaken")
            return
        if planned.run == 1 and planned.task[1:] == (0, 0, 0):
            waited_s = self._wall_clock() - record.job.submitted
            metrics.observe("first_start", waited_s, queue=record.job.queue)
        session.start(
            planned.task, planned.run, record.job.payload, task.checkpoint, planned.ticket
        )

    def _commit_failed(self, failure: Any) -> None:
        self._committing = False
        failure.trap(NotLeader)
        logs.event("owner_commit_lost", term=self.term)
        self.stop()

    # Timers.

    def _tick(self) -> None:
        if not self._may_act():
            return
        for session in list(self.sessions.values()):
            if session.silent and session.lease_over:
                self._give_up_worker(session)
        self._changes.tick()
        self.wake()

    def _give_up_worker(self, session: WorkerSession) -> None:
        worker = session.worker
        if session.beat_at + FORGET_S < self._reactor.seconds():
            logs.event("worker_forgotten", worker=worker.id, born=worker.born)
            session.close()
            commit_unwatched(self._propose, cmds.ForgetWorker(worker.id, worker.born))
            return
        for task in self._state().assigned.get(worker.id, {}).values():
            if task.born == worker.born:
                self._give_up_run(task, "lease_over")

    def _stop_ended_job(self, job_id: str) -> None:
        """Stops what runs of a job that was cancelled; listings repeat what was missed."""
        record = self._state().jobs.get(job_id)
        if record is None or record.active:
            return
        for session in self.sessions.values():
            for task in self._state().assigned.get(session.worker.id, {}).values():
                if task.id.job == job_id:
                    session.stop(task.id, task.run, again_after_s=STOP_AGAIN_S)
