"""Jobs with the progress of their tasks, as the replicated state keeps them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

from geraniumtrack.jobs.state.model import EndKind, Job, JobQueue, JobState, RunEnd, TaskId

__all__ = [
    "Campaign",
    "Crash",
    "JobRecord",
    "StepProgress",
    "Task",
    "TaskPhase",
    "capture_record",
    "decode_run_end",
    "load_record",
    "new_record",
    "queue_address",
    "tasks_of",
]


class TaskPhase(IntEnum):
    """Lifecycle phase of a task."""

    WAITING = 0
    ASSIGNED = 1  # a run may be active on a worker
    DONE = 2
    FAILED = 3  # its last allowed run failed


class Crash(NamedTuple):
    """A crash of a worker under a run of a task."""

    run: int
    worker: str


@dataclass(slots=True)
class Task:
    """State of one task.

    Attributes:
        id: Identifier of the task.
        phase: Lifecycle phase.
        run: Number of the last run, 0 before the first.
        worker: Id of the worker of the last run.
        worker_born: Incarnation of that worker.
        failures: Number of failed runs.
        checkpoint: The newest checkpoint that a run reported.
        avoid: Id of the worker of the last failed run; others are preferred for the next one.
        crashes: Crashes of workers under the task, at most one for each run.
    """

    id: TaskId
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker: str = ""
    worker_born: int = 0
    failures: int = 0
    checkpoint: str = ""
    avoid: str = ""
    crashes: tuple[Crash, ...] = ()

    def may_count(self, crash: Crash) -> bool:
        """Whether a crash is new and of a run that the task had, unless the task is done."""
        known = any(earlier.run == crash.run for earlier in self.crashes)
        return self.phase is not TaskPhase.DONE and 0 < crash.run <= self.run and not known


@dataclass(slots=True)
class StepProgress:
    """Tasks of one step in one occurrence of its job; counts the waiting and the done tasks."""

    tasks: list[Task]
    waiting: int
    done: int = 0


@dataclass(slots=True)
class JobRecord:
    """A job and its progress.

    Attributes:
        job: The job as submitted.
        occurrences: Progress of the steps of each occurrence, by occurrence number.
        open_occurrences: Numbers of the occurrences with tasks that are not done.
        assigned: Number of tasks in phase ASSIGNED.
        state: State that is reported to callers; QUEUED until a task is known to have begun.
        started: Whether a task was ever assigned. Its start may have been refused, or may be
            unanswered, so this decides the order of jobs and is not shown to callers.
        ended: Wall-clock time in seconds at which the job ended, 0 until then.
        crashed_workers: Whether a worker crashed under one of its tasks.
        address: Host and path prefix of its queue when it was submitted, empty if the queue was
            unknown. Callers know addresses only, so the job stays there when the queue moves.
        within_rate: Whether the job was within its team's rate when it was submitted.
    """

    job: Job
    occurrences: dict[int, list[StepProgress]]
    open_occurrences: set[int]
    assigned: int = 0
    state: JobState = JobState.QUEUED
    started: bool = False
    ended: float = 0.0
    crashed_workers: bool = False
    address: tuple[str, str] = ("", "")
    within_rate: bool = True

    @property
    def active(self) -> bool:
        """Whether the job has neither completed nor failed nor been cancelled."""
        return self.state in (JobState.QUEUED, JobState.RUNNING)

    @property
    def queued(self) -> bool:
        """Whether the job is active and none of its tasks is known to have begun."""
        return self.state is JobState.QUEUED

    def task(self, task_id: TaskId) -> Task | None:
        """Returns a task, or None if the job has no task with this id."""
        steps = self.occurrences.get(task_id.occurrence)
        if steps is None or not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def failure_count(self, task: Task) -> int:
        """Returns the number of failed runs of a task, or of all members if it is in a gang."""
        if not self.job.steps[task.id.step].gang:
            return task.failures
        members = self.occurrences[task.id.occurrence][task.id.step].tasks
        return sum(member.failures for member in members)

    def ready(self, occurrence: int, step: int) -> bool:
        """Whether all steps that a step depends on are done, so that its tasks may start."""
        steps = self.occurrences[occurrence]
        return all(
            steps[earlier].done == len(steps[earlier].tasks)
            for earlier in self.job.steps[step].after
        )


@dataclass(slots=True)
class Campaign:
    """A maintenance campaign.

    Attributes:
        instances: Ids of the instances to maintain.
        deadline: Wall-clock time in seconds by which all instances should be maintained.
        cap: Maximum number of instances in maintenance at the same time.
        begun: Ids of the instances whose maintenance has begun, or that the platform refuses to
            maintain in this campaign, for example because they no longer exist.
    """

    instances: tuple[str, ...]
    deadline: float
    cap: int
    begun: set[str] = field(default_factory=set)

    @property
    def completed(self) -> bool:
        """Whether no instance of the campaign is left to maintain; see `begun`."""
        return self.begun >= set(self.instances)


def new_record(job: Job, address: tuple[str, str]) -> JobRecord:
    """Returns the record of a job of which no task was ever assigned.

    Args:
        job: The job.
        address: Host and path prefix to which it was submitted.
    """
    numbers = range(job.occurrences)
    has_tasks = any(step.count for step in job.steps)
    return JobRecord(
        job=job,
        occurrences={number: _new_steps(job, number) for number in numbers},
        open_occurrences=set(numbers) if has_tasks else set(),
        address=address,
    )


def queue_address(queues: Mapping[str, JobQueue], job: Job) -> tuple[str, str]:
    """Returns host and path prefix of a job's queue, empty if the queue is unknown."""
    queue = queues.get(job.queue)
    return queue.address if queue is not None else ("", "")


def _new_steps(job: Job, occurrence: int) -> list[StepProgress]:
    return [
        StepProgress(
            [Task(TaskId(job.id, occurrence, number, index)) for index in range(step.count)],
            step.count,
        )
        for number, step in enumerate(job.steps)
    ]


def tasks_of(record: JobRecord) -> Iterator[Task]:
    """Yields all tasks of a job."""
    for steps in record.occurrences.values():
        for step in steps:
            yield from step.tasks


def capture_record(record: JobRecord) -> list[Any]:
    """Returns a job's row for a snapshot, without the tasks that were never assigned."""
    tasks = [
        [
            list(t.id[1:]),
            int(t.phase),
            t.run,
            t.worker,
            t.worker_born,
            t.failures,
            t.checkpoint,
            t.avoid,
            [list(crash) for crash in t.crashes],
        ]
        for t in tasks_of(record)
        if t.run or t.phase
    ]
    return [record.job, str(record.state), record.started, record.ended, tasks]


def load_record(
    row: Any, address: tuple[str, str] | None, queues: Mapping[str, JobQueue]
) -> JobRecord:
    """Returns the record of a row that `capture_record` made, also in earlier versions.

    Args:
        row: The row.
        address: Address of the job, or None in snapshots of earlier versions, which have none; that
            of the queue stands in for it.
        queues: Queues by name.
    """
    job, state, started, ended, tasks = row
    record = new_record(job, address or queue_address(queues, job))
    record.state, record.started, record.ended = JobState(state), started, ended
    # Snapshots of earlier versions have no crashes.
    for position, phase, run, worker, born, failures, checkpoint, avoid, *crashes in tasks:
        task = record.task(TaskId(job.id, *position))
        task.phase, task.run, task.worker, task.worker_born = TaskPhase(phase), run, worker, born
        task.failures, task.checkpoint, task.avoid = failures, checkpoint, avoid
        task.crashes = tuple(Crash(*crash) for crash in crashes[0]) if crashes else ()
        record.crashed_workers |= bool(task.crashes)
        progress = record.occurrences[task.id.occurrence][task.id.step]
        progress.waiting -= task.phase is not TaskPhase.WAITING
        progress.done += task.phase is TaskPhase.DONE
        record.assigned += task.phase is TaskPhase.ASSIGNED
    record.open_occurrences = {
        number
        for number, steps in record.occurrences.items()
        if any(step.done < len(step.tasks) for step in steps)
    }
    return record


def decode_run_end(row: Any) -> RunEnd:
    """Returns the run end of a row of `RecordRuns.ends`."""
    number, task_id, run, kind, checkpoint = row
    return RunEnd(number, TaskId(*task_id), run, EndKind(kind), checkpoint)
