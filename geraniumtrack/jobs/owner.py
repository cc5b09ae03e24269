"""The owner: the leading controller, which alone schedules tasks and gives orders to workers.

The owner keeps a session with each worker, collects the run ends that workers report, plans starts,
and commits ends and starts together, one command at a time. A start order is sent to the worker
only after the start is committed, so that the next owner knows on which worker a run may exist. The
fencing token of all orders is the owner's term.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.errors import NotLeader
from geraniumtrack.jobs.calls.admission_control import AdmissionControl
from geraniumtrack.jobs.calls.advice import AdvicePort, TicketCache
from geraniumtrack.jobs.instances.fleet_changes import FleetChanges
from geraniumtrack.jobs.instances.machine_port import MachinePort
from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.runs.availability import AvailabilityBudget
from geraniumtrack.jobs.runs.begun_jobs import BegunJobs
from geraniumtrack.jobs.runs.crashes import CrashDetector, log_crash, log_given_up
from geraniumtrack.jobs.runs.expired_leases import ExpiredLeases
from geraniumtrack.jobs.runs.guard import guarded
from geraniumtrack.jobs.runs.incarnation_check import IncarnationCheck
from geraniumtrack.jobs.runs.preempter import Preempter, ended_runs
from geraniumtrack.jobs.runs.restart_backoff import RestartBackoff
from geraniumtrack.jobs.runs.run_forecast import record_locality
from geraniumtrack.jobs.runs.run_tracker import RunTracker
from geraniumtrack.jobs.runs.start_sender import StartSender
from geraniumtrack.jobs.runs.startable_workers import startable_workers
from geraniumtrack.jobs.runs.worker_changes import WorkerChanges
from geraniumtrack.jobs.runs.worker_health import WorkerHealth
from geraniumtrack.jobs.runs.worker_port import WorkerPort
from geraniumtrack.jobs.runs.worker_registry import WorkerRegistry
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.estimates import DurationEstimates
from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart
from geraniumtrack.jobs.scheduling.scheduler import Scheduler
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import TaskId, WorkerInfo

__all__ = ["Owner"]

TICK_INTERVAL_S = 0.1


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
        policy: Settings of the scheduling policy.

    Attributes:
        policy: Settings of the scheduling policy.
        runs: Follows the runs on all workers.
        scheduler: Plans the starts.
        ticket_cache: Tickets of the policy service.
        begun_jobs: The jobs that have begun, as far as that is not committed.
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
        policy: PolicySettings = DEFAULT_POLICY,
    ) -> None:
        self.term = term
        self.policy = policy
        self.sessions: dict[str, WorkerSession] = {}
        self._reactor = reactor
        self._state = state
        self._propose = propose
        self._may_act = may_act
        self._port = port
        self._wall_clock = wall_clock
        self._durations = DurationEstimates(policy)
        availability = AvailabilityBudget(
            reactor.seconds,
            stop_grace_s=policy.stop_grace_s,
            state=state,
            sessions=lambda: self.sessions,
        )
        self._worker_changes = WorkerChanges(
            state=state, sessions=lambda: self.sessions, propose=propose, wall_clock=wall_clock
        )
        self._fleet_changes = FleetChanges(
            reactor,
            term=term,
            state=state,
            propose=propose,
            may_act=may_act,
            sessions=lambda: self.sessions,
            availability=availability,
            port=machines,
            on_list=self._handle_instance_list,
            forget_worker=self._worker_changes.forget,
            wall_clock=wall_clock,
            orders_fenced=instance_orders_fenced,
            policy=policy,
            durations=self._durations,
        )
        self.admission = AdmissionControl(
            reactor.seconds,
            state=state,
            sessions=lambda: self.sessions,
            supplies=self._fleet_changes.pool_supplies,
            wall_clock=wall_clock,
            policy=policy,
        )
        self._crashes = CrashDetector(
            reactor.seconds,
            state=state,
            propose=propose,
            sessions=lambda: self.sessions,
            changing=self._fleet_changes.blocks_starts,
            wall_clock=wall_clock,
        )
        self._restart_backoff = RestartBackoff(reactor.seconds, state=state)
        self.registry = WorkerRegistry(
            reactor.seconds,
            state=state,
            propose=self._worker_changes.propose,
            sessions=lambda: self.sessions,
            check=IncarnationCheck(port, fence=term, may_act=may_act),
            on_ended=self._crashes.handle_ended,
        )
        self.ticket_cache = TicketCache(reactor.seconds, port=advice, on_tickets=self.schedule_pass)
        self._preempter = Preempter(
            reactor.seconds, state=state, sessions=lambda: self.sessions, policy=policy
        )
        self.begun_jobs = BegunJobs(reactor.seconds, state)
        self.runs = RunTracker(
            reactor,
            state=state,
            sessions=lambda: self.sessions,
            availability=availability,
            crashes=self._crashes,
            begun_jobs=self.begun_jobs,
            schedule_pass=self.schedule_pass,
            arrivals=self._fleet_changes.in_transit.arrivals,
            policy=policy,
            estimates=self._durations,
        )
        self._expired_leases = ExpiredLeases(
            reactor.seconds,
            state=state,
            crashes=self._crashes,
            mark_lost=self.runs.mark_lost,
            forget=self._worker_changes.forget,
        )
        self.scheduler = Scheduler(
            state=state,
            tickets=self.ticket_cache.tickets,
            settled=self._crashes.settled,
            may_restart=self._restart_backoff.allows,
            policy=policy,
            worker_speed=self.runs.durations.worker_speed,
            durations=self._durations,
            forecast=self.runs.forecast,
            claims=self._preempter.claims,
        )
        self._start_sender = StartSender(
            state=state,
            sessions=lambda: self.sessions,
            runs=self.runs,
            accepts_starts=self.accepts_starts,
            wall_clock=wall_clock,
        )
        self._committing = False
        self._pass_scheduled = False
        self._stopped = False
        self._tick_loop = LoopingCall(self._tick)
        self._tick_loop.clock = reactor

    @property
    def worker_health(self) -> Mapping[str, WorkerHealth]:
        """Health of each worker with a session, by worker id."""
        return self.runs.health

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
        self.admission.stop()
        logs.event("owner_stopped", term=self.term)

    def on_applied(self, command: Any) -> None:
        """Reacts to a command that was applied to the replicated state."""
        if isinstance(
            command, cmds.PutWorker | cmds.ReportWorker | cmds.RestartWorker | cmds.ForgetWorker
        ):
            self._sync_sessions()
        elif isinstance(command, cmds.CancelJob | cmds.CancelSubmission):
            self.runs.stop_ended_job(command.job_id)
            self.ticket_cache.forget(command.job_id)
        elif isinstance(command, cmds.WorkerCrashed):
            log_given_up(self._state(), command, log_crash(self._state(), command))
            for job_id in {row[0] for row, _ in command.runs}:
                self._log_job_end(job_id, command.at)
        elif isinstance(command, cmds.ServiceRunsCrashed):
            for task in log_crash(self._state(), command):
                self._restart_backoff.handle_crash(task)
        self.schedule_pass()

    def schedule_pass(self) -> None:
        """Runs a scheduling pass in the next iteration of the reactor."""
        if not self._pass_scheduled and not self._stopped:
            self._pass_scheduled = True
            self._reactor.callLater(0, self._run_pass)

    def _sync_sessions(self) -> None:
        """Opens and closes sessions so that they match the workers of the replicated state."""
        workers = self._state().workers
        closed: dict[str, WorkerSession] = {}
        for worker_id, session in list(self.sessions.items()):
            current = workers.get(worker_id)
            if current is None or current.born != session.worker.born:
                session.close()
                closed[worker_id] = self.sessions.pop(worker_id)
                self.runs.remove_worker(worker_id)
            elif self._state().heartbeat_sequences.get(session.key, -1) >= session.sequence:
                # Otherwise the session has a later heartbeat, whose commit is in progress.
                session.worker = current
        for worker in workers.values():
            if worker.id not in self.sessions and not self._stopped:
                self._open_session(worker, closed.get(worker.id))

    def _open_session(self, worker: WorkerInfo, predecessor: WorkerSession | None) -> None:
        key = (worker.id, worker.born)
        session = WorkerSession(
            self._reactor,
            worker=worker,
            port=self._port,
            fence=self.term,
            longest_lease_s=self.policy.longest_lease_s,
            may_act=self._may_act,
            last_committed_end=lambda: self._state().last_committed_end.get(key, 0),
            on_report=self.runs.handle_report,
            on_start_answer=self.runs.handle_start_answer,
            on_ended=self._handle_worker_ended,
            predecessor=predecessor,
        )
        self.sessions[worker.id] = session
        self.runs.add_worker(worker.id)
        session.open()

    def _handle_worker_ended(self, session: WorkerSession) -> None:
        """Forgets an incarnation that has certainly ended; its tasks are requeued."""
        worker = session.worker
        logs.event("worker_gone", worker=worker.id, born=worker.born, reason="other_answers")
        session.close()  # no order may reach a later incarnation with the same id
        self._crashes.handle_ended(worker)
        self._worker_changes.forget(*session.key, "other_answers")

    def _handle_instance_list(self) -> None:
        """Notes which workers the instance list omits; it may be outdated, so it ends none."""
        listing = self._fleet_changes.listing
        self._crashes.note_omitted(
            session
            for session in self.sessions.values()
            if session.opened_at < listing.requested_at and listing.omits(session.worker)
        )

    # Scheduling passes.

    def _run_pass(self) -> None:
        """Commits the collected ends and lost runs together with newly planned starts."""
        self._pass_scheduled = False
        if self._stopped or self._committing or not self._may_act():
            return
        now = self._wall_clock()
        ends = self.runs.take_ends()
        lost = self.runs.take_lost()
        # Ends that were taken must be committed, or their workers get no next hold.
        starts = guarded(self._plan, now, ended_runs(ends, lost), default=[])
        begun = self.begun_jobs.take(with_others=bool(ends or lost or starts))
        if not (ends or lost or starts or begun):
            return
        command = cmds.RecordProgress(
            at=now,
            ends=tuple((s.worker.id, s.worker.born, rows) for s, rows in ends),
            lost=lost,
            starts=tuple((tuple(s.task), s.run, s.worker.id, s.worker.born) for s in starts),
            begun=begun,
        )
        self._committing = True
        self._propose(command).addCallbacks(
            self._handle_commit,
            self._handle_commit_failure,
            callbackArgs=(command, [s for s, _ in ends], starts),
        )

    def _plan(self, now: float, ended: set[tuple[TaskId, int]]) -> list[PlannedStart]:
        rows = startable_workers(self.sessions, self.runs, self.accepts_starts)
        workers = self.scheduler.available_workers_by_pool(rows)
        starts = self.scheduler.plan(workers, now)
        record_locality(self.scheduler.locality.decisions)
        last_pass = self.scheduler.last_pass
        guarded(self._preempter.handle_pass, workers, last_pass, ended=ended, now=now)
        return starts

    def accepts_starts(self, session: WorkerSession) -> bool:
        """Whether tasks may be started on a worker, as far as its instance decides."""
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
        self._start_sender.send(starts)
        for session in reporting_sessions:
            session.send_next_hold()
        self.schedule_pass()

    def _log_ended_jobs(self, command: cmds.RecordRuns) -> None:
        for job_id in {TaskId(*row[1]).job for _, _, rows in command.ends for row in rows}:
            self._log_job_end(job_id, command.at)

    def _log_job_end(self, job_id: str, at: float) -> None:
        """Logs the end of a job if it ended at the wall-clock time `at`."""
        record = self._state().jobs.get(job_id)
        if record is not None and not record.active and record.ended == at:
            taken_s = at - record.job.submitted
            logs.event("job_ended", job=job_id, state=record.state, taken_s=taken_s)
            self.runs.stop_ended_job(job_id)
            self.ticket_cache.forget(job_id)

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
            if session.silent:
                guarded(self._expired_leases.check, session)
        guarded(self._fleet_changes.tick)
        guarded(self.admission.tick)
        self.schedule_pass()
