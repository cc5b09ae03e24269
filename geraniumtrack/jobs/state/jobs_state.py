"""The replicated state of jobs, which every controller computes from the log.

It holds the configuration, the jobs with their tasks, the registered workers, evacuated data
centres and maintenance campaigns. Applying a command is deterministic and reads no clock.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any

from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.assignments import Assignments
from geraniumtrack.jobs.state.cancelled_submissions import CancelledSubmissions
from geraniumtrack.jobs.state.model import (
    EndKind,
    FleetConfig,
    JobQueue,
    JobState,
    RunEnd,
    StepSpec,
    TaskId,
    WorkerInfo,
)
from geraniumtrack.jobs.state.records import (
    Campaign,
    Crash,
    JobRecord,
    StepProgress,
    Task,
    TaskPhase,
    decode_run_end,
    new_record,
    queue_address,
)
from geraniumtrack.jobs.state.retention import EndedJobs
from geraniumtrack.jobs.state.snapshot import capture_state, fill_state
from geraniumtrack.jobs.state.team_rates import TeamRates
from geraniumtrack.protocol.codec import decode
from geraniumtrack.state.commands import Noop, Result

__all__ = [
    "MAX_CRASHES",
    "MAX_SERVICE_CRASHES",
    "Campaign",
    "Crash",
    "JobRecord",
    "JobsState",
    "StepProgress",
    "Task",
    "TaskPhase",
]

MAX_CRASHES = 3  # crashes of workers under one task after which its job fails
MAX_SERVICE_CRASHES = 9  # kept of a service task, whose job goes on; the newest ones


class JobsState:
    """The state that results from the committed commands.

    Attributes:
        config: The configuration in force, or None before the first.
        evacuated: Names of the evacuated data centres.
        workers: Registered workers by id.
        last_committed_end: Number of the last committed run end, by worker id and incarnation.
            Workers report an end again until a hold acknowledges this number or a higher one.
        heartbeat_sequences: Number of the heartbeat that last changed the information about a
            worker, by worker id and incarnation. A heartbeat with a lower number is late.
        jobs: Jobs by id, in the order of their submission.
        active: Jobs by id that have not ended.
        cancelled_submissions: Cancellations whose job has not been submitted yet.
        campaigns: Maintenance campaigns by number.
        queues: Queues by name as last configured. Removed queues stay, because their jobs still
            run to their end.
        assigned: Tasks in phase ASSIGNED by worker id and task id. They include tasks of ended
            jobs, whose runs may still be active.
        ended_jobs: The ended jobs that may be deleted some time.
        team_rates: Decides which jobs are within their team's rate.
    """

    def __init__(self) -> None:
        self.config: FleetConfig | None = None
        self.evacuated: set[str] = set()
        self.workers: dict[str, WorkerInfo] = {}
        self.last_committed_end: dict[tuple[str, int], int] = {}
        self.heartbeat_sequences: dict[tuple[str, int], int] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.active: dict[str, JobRecord] = {}
        self.cancelled_submissions = CancelledSubmissions()
        self.campaigns: dict[int, Campaign] = {}
        self.queues: dict[str, JobQueue] = {}
        self.assigned = Assignments()
        self.ended_jobs = EndedJobs()
        self.team_rates = TeamRates()

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self.config.version if self.config else 0

    @property
    def standby_pools(self) -> set[str]:
        """Names of the standby pools, whose instances are switched off."""
        pools = self.config.pools if self.config is not None else ()
        return {pool.name for pool in pools if pool.standby}

    def task(self, task_id: TaskId) -> Task | None:
        """Returns a task by id, or None if it is unknown."""
        record = self.jobs.get(task_id.job)
        return record.task(task_id) if record is not None else None

    def step_of(self, task: Task) -> StepSpec:
        """Returns the specification of a task's step."""
        return self.jobs[task.id.job].job.steps[task.id.step]

    def max_attempts(self, record: JobRecord) -> int:
        """Returns the number of failed runs of a task, or of a gang, after which a job fails."""
        queue = self.queues.get(record.job.queue)
        return queue.max_attempts if queue is not None else 1

    # Commands.

    @singledispatchmethod
    def apply(self, command: Any) -> Result:
        """Applies a committed command."""
        raise TypeError(f"{type(command).__name__} is not a command of the jobs state")

    @apply.register
    def _(self, command: Noop) -> Result:
        return self._ok()

    @apply.register
    def _(self, command: cmds.Configure) -> Result:
        if command.config.version > self.version:
            self.config = command.config
            for queue in command.config.queues:
                self.queues[queue.name] = queue
            self.team_rates.configure(command.config.teams)
        return self._ok()

    @apply.register
    def _(self, command: cmds.SubmitJob) -> Result:
        job = command.job
        if job.id not in self.jobs:
            record = new_record(job, queue_address(self.queues, job))
            record.within_rate = self.team_rates.take(job.team, job.submitted)
            self.jobs[job.id] = record
            self.active[job.id] = record
            if self.cancelled_submissions.take((job.id, *record.address)):
                self._end_job(record, JobState.CANCELLED, job.submitted)
            elif not record.open_occurrences:
                self._end_job(record, JobState.COMPLETED, job.submitted)
            self.ended_jobs.delete_old(self.jobs, job.submitted)
        return self._ok()

    @apply.register
    def _(self, command: cmds.CancelJob) -> Result:
        record = self.jobs.get(command.job_id)
        if record is not None and record.active:
            self._end_job(record, JobState.CANCELLED, command.at)
        return self._ok()

    @apply.register
    def _(self, command: cmds.CancelSubmission) -> Result:
        address = (command.host, command.prefix)
        record = self.jobs.get(command.job_id)
        if record is None:
            self.cancelled_submissions.add((command.job_id, *address), command.at)
        elif record.active and record.address == address:
            self._end_job(record, JobState.CANCELLED, command.at)
        return self._ok()

    @apply.register
    def _(self, command: cmds.PutWorker) -> Result:
        self._put_worker(command.worker)
        return self._ok()

    @apply.register
    def _(self, command: cmds.ReportWorker) -> Result:
        self._report_worker(command.worker, command.sequence)
        return self._ok()

    @apply.register
    def _(self, command: cmds.RestartWorker) -> Result:
        known = self.workers.get(command.worker.id)
        if known is not None and known.born < command.worker.born:
            for row, run, checkpoint in command.checkpoints:
                self._store_checkpoint(TaskId(*row), run, checkpoint)
            self._carry_over_runs(known, command.worker)
        self._report_worker(command.worker, command.sequence)
        return self._ok()

    @apply.register
    def _(self, command: cmds.ForgetWorker) -> Result:
        known = self.workers.get(command.worker_id)
        if known is not None and known.born == command.born:
            self._release_worker(known.id, known.born)
            del self.workers[known.id]
        return self._ok()

    @apply.register
    def _(self, command: cmds.WorkerCrashed) -> Result:
        for row, run in command.runs:
            task = self._count_crash(TaskId(*row), Crash(run, command.worker_id))
            if task is not None and len(task.crashes) >= MAX_CRASHES:
                self._end_job(self.jobs[task.id.job], JobState.FAILED, command.at)
        return self._ok()

    @apply.register
    def _(self, command: cmds.ServiceRunsCrashed) -> Result:
        for row, run in command.runs:
            task = self._count_crash(TaskId(*row), Crash(run, command.worker_id))
            if task is not None:
                task.crashes = task.crashes[-MAX_SERVICE_CRASHES:]
        return self._ok()

    @apply.register
    def _(self, command: cmds.ServiceRunsSettled) -> Result:
        for row, run in command.runs:
            task = self.task(TaskId(*row))
            if task is not None and task.run == run and task.crashes:
                self._set_crashes(task, ())
        return self._ok()

    @apply.register
    def _(self, command: cmds.RecordRuns) -> Result:
        for worker_id, born, ends in command.ends:
            for row in ends:
                self._record_end(worker_id, born, decode_run_end(row), command.at)
        for row, run, checkpoint in command.lost:
            self._record_lost(TaskId(*row), run, checkpoint)
        for row, run, worker_id, born in command.starts:
            self._record_start(TaskId(*row), run, worker_id, born)
        return self._ok()

    @apply.register
    def _(self, command: cmds.SetEvacuation) -> Result:
        if command.out:
            self.evacuated.add(command.data_centre)
        else:
            self.evacuated.discard(command.data_centre)
        return self._ok()

    @apply.register
    def _(self, command: cmds.StartMaintenance) -> Result:
        if command.campaign not in self.campaigns:
            self.campaigns[command.campaign] = Campaign(
                command.instances, command.deadline, command.cap
            )
        return self._ok()

    @apply.register
    def _(self, command: cmds.UpkeepBegun) -> Result:
        campaign = self.campaigns.get(command.campaign)
        if campaign is not None:
            campaign.begun.add(command.instance)
        return self._ok()

    # Workers.

    def _report_worker(self, worker: WorkerInfo, sequence: int) -> None:
        key = (worker.id, worker.born)
        if sequence > self.heartbeat_sequences.get(key, -1):
            self._put_worker(worker)
            if self.workers[worker.id] is worker:
                self.heartbeat_sequences[key] = sequence

    def _carry_over_runs(self, earlier: WorkerInfo, later: WorkerInfo) -> None:
        """Assigns the runs of an incarnation to a later one with the same id."""
        for task in self.assigned.get(earlier.id, {}).values():
            if task.worker_born == earlier.born:
                task.worker_born = later.born

    def _store_checkpoint(self, task_id: TaskId, run: int, checkpoint: str) -> None:
        task = self.task(task_id)
        if task is not None and task.phase is TaskPhase.ASSIGNED and task.run == run:
            task.checkpoint = checkpoint

    def _put_worker(self, worker: WorkerInfo) -> None:
        known = self.workers.get(worker.id)
        if known is not None and known.born > worker.born:
            return
        if known is not None and known.born != worker.born:
            self._release_worker(worker.id, known.born)
        self.workers[worker.id] = worker
        self.last_committed_end.setdefault((worker.id, worker.born), 0)

    # Runs.

    def _record_start(self, task_id: TaskId, run: int, worker_id: str, born: int) -> None:
        record = self.jobs.get(task_id.job)
        task = record.task(task_id) if record is not None else None
        if task is None or task.phase is not TaskPhase.WAITING or not record.active:
            return
        worker = self.workers.get(worker_id)
        if worker is None or worker.born != born:
            return  # it ended while the start was planned, and its tasks were requeued then
        task.phase = TaskPhase.ASSIGNED
        task.run, task.worker, task.worker_born = run, worker_id, born
        record.occurrences[task_id.occurrence][task_id.step].waiting -= 1
        record.assigned += 1
        record.started = True
        record.state = JobState.RUNNING
        self.assigned.add(task)

    def _record_end(self, worker_id: str, born: int, end: RunEnd, at: float) -> None:
        key = (worker_id, born)
        last = self.last_committed_end.get(key)
        if last is None or end.number <= last:
            return  # the incarnation is not registered any more, or the end is repeated
        self.last_committed_end[key] = end.number
        record = self.jobs.get(end.task.job)
        task = record.task(end.task) if record is not None else None
        if task is None or task.phase is not TaskPhase.ASSIGNED:
            return
        if (task.worker, task.worker_born, task.run) != (worker_id, born, end.run):
            return
        self._end_run(record, task, end, at)

    def _end_run(self, record: JobRecord, task: Task, end: RunEnd, at: float) -> None:
        step = record.job.steps[task.id.step]
        progress = record.occurrences[task.id.occurrence][task.id.step]
        # A gang has one checkpoint and completes as a unit: when one member is done, all are.
        unit = progress.tasks if step.gang else [task]
        if end.checkpoint:
            for member in unit:
                member.checkpoint = end.checkpoint
        if end.kind is EndKind.DONE and not step.lasting:
            for member in unit:
                self._mark_done(progress, member)
            self._complete_if_done(record, task.id.occurrence, at)
            return
        if end.kind is EndKind.FAILED:
            task.failures += 1
            task.avoid = task.worker
        if (
            end.kind is EndKind.FAILED
            and not step.lasting
            and record.failure_count(task) >= self.max_attempts(record)
            and record.active
        ):
            self._unassign(task, TaskPhase.FAILED)
            self._end_job(record, JobState.FAILED, at)
        else:
            self._requeue(record, task)

    def _mark_done(self, progress: StepProgress, task: Task) -> None:
        if task.phase is TaskPhase.WAITING:
            progress.waiting -= 1
        self._unassign(task, TaskPhase.DONE)
        progress.done += 1

    def _record_lost(self, task_id: TaskId, run: int, checkpoint: str) -> None:
        record = self.jobs.get(task_id.job)
        task = record.task(task_id) if record is not None else None
        if task is None or task.phase is not TaskPhase.ASSIGNED or task.run != run:
            return
        if checkpoint:
            task.checkpoint = checkpoint
        self._requeue(record, task)

    def _count_crash(self, task_id: TaskId, crash: Crash) -> Task | None:
        """Counts a crash against a task; returns the task, or None if the crash doesn't count."""
        record = self.jobs.get(task_id.job)
        task = record.task(task_id) if record is not None else None
        if task is None or not record.active or not task.may_count(crash):
            return None
        self._set_crashes(task, (*task.crashes, crash))
        record.crashed_workers = True
        return task

    def _set_crashes(self, task: Task, crashes: tuple[Crash, ...]) -> None:
        task.crashes = crashes
        if task.phase is TaskPhase.ASSIGNED:
            self.assigned.mark_changed(task.worker)

    def _requeue(self, record: JobRecord, task: Task) -> None:
        self._unassign(task, TaskPhase.WAITING)
        record.occurrences[task.id.occurrence][task.id.step].waiting += 1

    def _unassign(self, task: Task, phase: TaskPhase) -> None:
        if task.phase is TaskPhase.ASSIGNED:
            record = self.jobs[task.id.job]
            record.assigned -= 1
            self.ended_jobs.note(record)
        task.phase = phase
        self.assigned.remove(task)

    def _release_worker(self, worker_id: str, born: int) -> None:
        for task in list(self.assigned.get(worker_id, {}).values()):
            if task.worker_born == born:
                self._requeue(self.jobs[task.id.job], task)
        self.last_committed_end.pop((worker_id, born), None)
        self.heartbeat_sequences.pop((worker_id, born), None)

    # Jobs.

    def _complete_if_done(self, record: JobRecord, occurrence: int, at: float) -> None:
        steps = record.occurrences[occurrence]
        if any(step.done < len(step.tasks) for step in steps):
            return
        record.open_occurrences.discard(occurrence)
        if not record.open_occurrences and record.active:
            self._end_job(record, JobState.COMPLETED, at)

    def _end_job(self, record: JobRecord, state: JobState, at: float) -> None:
        record.state = state
        record.ended = at
        self.active.pop(record.job.id, None)
        self.ended_jobs.note(record)

    def _ok(self) -> Result:
        return Result(True, self.version)

    # Snapshots.

    def capture(self) -> dict[str, Any]:
        """Returns a snapshot of the state, a copy that another thread can encode safely."""
        return capture_state(self)

    @classmethod
    def load(cls, data: bytes) -> JobsState:
        """Rebuilds the state from an encoded snapshot."""
        state = cls()
        fill_state(state, decode(data))
        return state
