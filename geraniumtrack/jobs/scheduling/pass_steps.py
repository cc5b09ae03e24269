"""What a scheduling pass considers, plans and leaves unplaced."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Set
from dataclasses import dataclass, field

from geraniumtrack.jobs.scheduling.ordering import JobOrder
from geraniumtrack.jobs.scheduling.placement import AvailableWorker
from geraniumtrack.jobs.scheduling.team_quota import TeamQuota
from geraniumtrack.jobs.state.jobs_state import JobRecord, Task, TaskPhase
from geraniumtrack.jobs.state.model import JobQueue, StepSpec, TaskId, WorkerInfo

__all__ = ["MAX_EXAMINED_JOBS", "PassOutcome", "PlannedStart", "ReadyStep", "UnplacedStep"]

# Jobs with unplaced tasks that are examined for one pool in one pass. The limit bounds the cost of
# a pass; the jobs that are first in order get the room anyway.
MAX_EXAMINED_JOBS = 50


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A run to start on a worker; the start order is sent only after the start is committed."""

    task: TaskId
    run: int
    worker: WorkerInfo
    ticket: str = ""


@dataclass(slots=True)
class ReadyStep:
    """A step of an occurrence that has waiting tasks and whose dependencies are done."""

    record: JobRecord
    queue: JobQueue
    occurrence: int
    step_number: int
    sort_key: tuple[float, ...]

    @property
    def step(self) -> StepSpec:
        """The step's specification."""
        return self.record.job.steps[self.step_number]

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step."""
        return self.record.occurrences[self.occurrence][self.step_number].tasks

    @property
    def waiting(self) -> list[Task]:
        """The waiting tasks of the step."""
        return [task for task in self.tasks if task.phase is TaskPhase.WAITING]


@dataclass(frozen=True, slots=True)
class UnplacedStep:
    """A step of an on-time job of which a scheduling pass could not start all waiting tasks.

    Attributes:
        ready_step: The step.
        placed: The tasks of the step that have room: the pass starts them, or keeps the room for
            the other members of their gang.
        workers: The available workers that may run the step.
    """

    ready_step: ReadyStep
    placed: Set[TaskId]
    workers: list[AvailableWorker]

    @property
    def tasks(self) -> list[Task]:
        """The waiting tasks without room."""
        return [task for task in self.ready_step.waiting if task.id not in self.placed]


@dataclass(slots=True)
class PassOutcome:
    """What a scheduling pass left unplaced.

    Attributes:
        order: The order of jobs in the pass.
        quota: Usage of the teams, including the planned starts.
        unplaced: Unplaced steps of the first MAX_EXAMINED_JOBS on-time jobs of each pool, in the
            order in which they were considered; empty if preemption is switched off.
        held: Members of gangs that can't start yet and whose room is kept.
    """

    order: JobOrder
    quota: TeamQuota
    unplaced: list[UnplacedStep] = field(default_factory=list)
    held: set[TaskId] = field(default_factory=set)
    _examined: dict[str, set[tuple[str, int]]] = field(default_factory=lambda: defaultdict(set))

    def examines(self, ready_step: ReadyStep) -> bool:
        """Whether the job of an unplaced step is one of those that are examined for its pool."""
        examined = self._examined[ready_step.queue.pool]
        key = (ready_step.record.job.id, ready_step.occurrence)
        if len(examined) < MAX_EXAMINED_JOBS:
            examined.add(key)
        return key in examined
