"""Changes of the replicated state by starts, ends, losses and crashes of runs, and by job ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from geraniumtrack.jobs.state.assignments import Assignments
from geraniumtrack.jobs.state.model import EndKind, JobState, RunEnd, TaskId, WorkerInfo
from geraniumtrack.jobs.state.records import Crash, JobRecord, StepProgress, Task, TaskPhase
from geraniumtrack.jobs.state.retention import EndedJobs

__all__ = ["RunChanges"]


@dataclass(frozen=True, slots=True)
class RunChanges:
    """Applies what happens to runs to their tasks and jobs.

    Attributes:
        jobs: Jobs by id.
        active: Jobs by id that have not ended.
        assigned: Tasks in phase ASSIGNED.
        ended_jobs: The ended jobs that may be deleted some time.
        max_attempts: Returns the number of failed runs of a task, or of a gang, after which a job
            fails.
    """

    jobs: dict[str, JobRecord]
    active: dict[str, JobRecord]
    assigned: Assignments
    ended_jobs: EndedJobs
    max_attempts: Callable[[JobRecord], int]

    def start(self, task_id: TaskId, run: int, worker: WorkerInfo) -> None:
        """Assigns a waiting task of an active job to a worker."""
        record = self.jobs.get(task_id.job)
        task = record.task(task_id) if record is not None else None
        if task is None or task.phase is not TaskPhase.WAITING or not record.active:
            return
        task.phase = TaskPhase.ASSIGNED
        task.run, task.worker, task.worker_born = run, worker.id, worker.born
        record.occurrences[task_id.occurrence][task_id.step].waiting -= 1
        record.assigned += 1
        record.started = True
        self.assigned.add(task)

    def end(self, worker_id: str, born: int, end: RunEnd, at: float) -> None:
        """Applies the end of a run, if its task is assigned in that run to the incarnation.

        Args:
            worker_id: Id of the worker.
            born: Its incarnation.
            end: The end that it reported.
            at: Wall-clock time in seconds.
        """
        task = self._assigned_task(end.task, end.run)
        if task is not None and (task.worker, task.worker_born) == (worker_id, born):
            record = self.jobs[end.task.job]
            self.note_begun(record)
            self._end_run(record, task, end, at)

    def note_begun(self, record: JobRecord) -> None:
        """Notes that a task of a job is known to have begun."""
        if record.state is JobState.QUEUED:
            record.state = JobState.RUNNING

    def lose(self, task_id: TaskId, run: int, checkpoint: str) -> None:
        """Requeues a task whose run can't be active any more."""
        task = self._assigned_task(task_id, run)
        if task is None:
            return
        if checkpoint:
            task.checkpoint = checkpoint
        self._requeue(self.jobs[task_id.job], task)

    def store_checkpoint(self, task_id: TaskId, run: int, checkpoint: str) -> None:
        """Stores the checkpoint of an assigned run."""
        task = self._assigned_task(task_id, run)
        if task is not None:
            task.checkpoint = checkpoint

    def carry_over(self, earlier: WorkerInfo, later: WorkerInfo) -> None:
        """Assigns the runs of an incarnation to a later one with the same id."""
        for task in self.assigned.get(earlier.id, {}).values():
            if task.worker_born == earlier.born:
                task.worker_born = later.born

    def release(self, worker_id: str, born: int) -> None:
        """Requeues the tasks that are assigned to an incarnation."""
        for task in list(self.assigned.get(worker_id, {}).values()):
            if task.worker_born == born:
                self._requeue(self.jobs[task.id.job], task)

    def count_crash(self, task_id: TaskId, crash: Crash) -> Task | None:
        """Counts a crash against a task; returns the task, or None if the crash doesn't count."""
        record = self.jobs.get(task_id.job)
        task = record.task(task_id) if record is not None else None
        if task is None or not record.active or not task.may_count(crash):
            return None
        self.set_crashes(task, (*task.crashes, crash))
        record.crashed_workers = True
        return task

    def set_crashes(self, task: Task, crashes: tuple[Crash, ...]) -> None:
        """Sets the crashes that count against a task."""
        task.crashes = crashes
        if task.phase is TaskPhase.ASSIGNED:
            self.assigned.mark_changed(task.worker)

    def end_job(self, record: JobRecord, state: JobState, at: float) -> None:
        """Ends a job at the wall-clock time `at` in seconds; its runs may still be active."""
        record.state = state
        record.ended = at
        self.active.pop(record.job.id, None)
        self.ended_jobs.note(record)

    def _assigned_task(self, task_id: TaskId, run: int) -> Task | None:
        """Returns a task that is assigned in the given run, or None."""
        record = self.jobs.get(task_id.job)
        task = record.task(task_id) if record is not None else None
        if task is None or task.phase is not TaskPhase.ASSIGNED or task.run != run:
            return None
        return task

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
            self.end_job(record, JobState.FAILED, at)
        else:
            self._requeue(record, task)

    def _mark_done(self, progress: StepProgress, task: Task) -> None:
        if task.phase is TaskPhase.WAITING:
            progress.waiting -= 1
        self._unassign(task, TaskPhase.DONE)
        progress.done += 1

    def _complete_if_done(self, record: JobRecord, occurrence: int, at: float) -> None:
        steps = record.occurrences[occurrence]
        if any(step.done < len(step.tasks) for step in steps):
            return
        record.open_occurrences.discard(occurrence)
        if not record.open_occurrences and record.active:
            self.end_job(record, JobState.COMPLETED, at)

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
