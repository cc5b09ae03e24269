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
from geraniumtrack.jobs.state.job_size import job_bytes
from geraniumtrack.jobs.state.model import (
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
from geraniumtrack.jobs.state.run_changes import RunChanges
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
        evacuation_revision: Number of the evacuation orders that have taken effect.
        workers: Registered workers by id.
        last_committed_end: Number of the last committed run end, by worker id and incarnation.
            Workers report an end again until a hold acknowledges this number or a higher one.
        heartbeat_sequences: Number of the heartbeat that last changed the information about a
            worker, by worker id and incarnation. A heartbeat with a lower number is late.
        jobs: Jobs by id, in the order of their submission.
        active: Jobs by id that have not ended.
        job_bytes: About how many bytes all jobs occupy.
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
        self.evacuation_revision = 0
        self.workers: dict[str, WorkerInfo] = {}
        self.last_committed_end: dict[tuple[str, int], int] = {}
        self.heartbeat_sequences: dict[tuple[str, int], int] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.active: dict[str, JobRecord] = {}
        self.job_bytes = 0
        self.cancelled_submissions = CancelledSubmissions()
        self.campaigns: dict[int, Campaign] = {}
        self.queues: dict[str, JobQueue] = {}
        self.assigned = Assignments()
        self.ended_jobs = EndedJobs()
        self.team_rates = TeamRates()
        self._runs = RunChanges(
            self.jobs, self.active, self.assigned, self.ended_jobs, self.max_attempts
        )

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
                self._runs.end_job(record, JobState.CANCELLED, job.submitted)
            elif not record.open_occurrences:
                self._runs.end_job(record, JobState.COMPLETED, job.submitted)
            self.job_bytes += job_bytes(job)
            self.job_bytes = self.ended_jobs.delete_old(self.jobs, self.job_bytes, job.submitted)
        return self._ok()

    @apply.register
    def _(self, command: cmds.CancelJob) -> Result:
        record = self.jobs.get(command.job_id)
        if record is not None and record.active:
            self._runs.end_job(record, JobState.CANCELLED, command.at)
        return self._ok()

    @apply.register
    def _(self, command: cmds.CancelSubmission) -> Result:
        address = (command.host, command.prefix)
        record = self.jobs.get(command.job_id)
        if record is None:
            self.cancelled_submissions.add((command.job_id, *address), command.at)
        elif record.active and record.address == address:
            self._runs.end_job(record, JobState.CANCELLED, command.at)
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
                self._runs.store_checkpoint(TaskId(*row), run, checkpoint)
            self._runs.carry_over(known, command.worker)
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
            task = self._runs.count_crash(TaskId(*row), Crash(run, command.worker_id))
            if task is not None and len(task.crashes) >= MAX_CRASHES:
                self._runs.end_job(self.jobs[task.id.job], JobState.FAILED, command.at)
        return self._ok()

    @apply.register
    def _(self, command: cmds.ServiceRunsCrashed) -> Result:
        for row, run in command.runs:
            task = self._runs.count_crash(TaskId(*row), Crash(run, command.worker_id))
            if task is not None:
                task.crashes = task.crashes[-MAX_SERVICE_CRASHES:]
        return self._ok()

    @apply.register
    def _(self, command: cmds.ServiceRunsSettled) -> Result:
        for row, run in command.runs:
            task = self.task(TaskId(*row))
            if task is not None and task.run == run and task.crashes:
                self._runs.set_crashes(task, ())
        return self._ok()

    @apply.register
    def _(self, command: cmds.RecordRuns) -> Result:
        self._record_runs(command)
        return self._ok()

    @apply.register
    def _(self, command: cmds.RecordProgress) -> Result:
        for job_id in command.begun:
            record = self.jobs.get(job_id)
            if record is not None:
                self._runs.note_begun(record)
        self._record_runs(command)
        return self._ok()

    def _record_runs(self, command: cmds.RecordRuns) -> None:
        for worker_id, born, ends in command.ends:
            for row in ends:
                self._record_end(worker_id, born, decode_run_end(row), command.at)
        for row, run, checkpoint in command.lost:
            self._runs.lose(TaskId(*row), run, checkpoint)
        for row, run, worker_id, born in command.starts:
            worker = self.workers.get(worker_id)
            # Otherwise it ended while the start was planned, and its tasks were requeued then.
            if worker is not None and worker.born == born:
                self._runs.start(TaskId(*row), run, worker)

    @apply.register
    def _(self, command: cmds.OrderEvacuation) -> Result:
        if command.revision != self.evacuation_revision:
            return Result(False, self.version, "outdated")
        self._set_evacuation(command.data_centre, command.out)
        return self._ok()

    @apply.register
    def _(self, command: cmds.SetEvacuation) -> Result:
        self._set_evacuation(command.data_centre, command.out)
        return self._ok()

    def _set_evacuation(self, data_centre: str, out: bool) -> None:
        # An order without any change counts too: a contrary one may be on its way.
        self.evacuation_revision += 1
        if out:
            self.evacuated.add(data_centre)
        else:
            self.evacuated.discard(data_centre)

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

    def _put_worker(self, worker: WorkerInfo) -> None:
        known = self.workers.get(worker.id)
        if known is not None and known.born > worker.born:
            return
        if known is not None and known.born != worker.born:
            self._release_worker(worker.id, known.born)
        self.workers[worker.id] = worker
        self.last_committed_end.setdefault((worker.id, worker.born), 0)

    def _release_worker(self, worker_id: str, born: int) -> None:
        self._runs.release(worker_id, born)
        self.last_committed_end.pop((worker_id, born), None)
        self.heartbeat_sequences.pop((worker_id, born), None)

    def _record_end(self, worker_id: str, born: int, end: RunEnd, at: float) -> None:
        key = (worker_id, born)
        last = self.last_committed_end.get(key)
        if last is None or end.number <= last:
            return  # the incarnation is not registered any more, or the end is repeated
        self.last_committed_end[key] = end.number
        self._runs.end(worker_id, born, end, at)

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
