"""Data types of jobs, queues, teams, pools and workers.

CPU amounts are in thousandths of a core, memory in MB. Times are wall-clock times in seconds
unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from geraniumtrack.protocol.codec import message

__all__ = [
    "NO_RESOURCES",
    "EndKind",
    "FleetConfig",
    "Job",
    "JobState",
    "WorkerPool",
    "JobQueue",
    "Resources",
    "StepSpec",
    "RunEnd",
    "TaskId",
    "JobTeam",
    "WorkerInfo",
]


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"  # another member of the gang ended
    GANG_ALONE = "gang_alone"  # the other members did not start in time


@message
@dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a worker offers or a task requests."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Returns the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: Resources) -> bool:
        """Whether every amount is at most the available one."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()


class TaskId(NamedTuple):
    """Identifies a task by job id, number of the occurrence, number of the step and index."""

    job: str
    occurrence: int
    step: int
    index: int


@message
@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job.

    Attributes:
        count: Number of tasks.
        size: Resources that each task requests.
        estimate_s: Estimated duration of a task.
        after: Numbers of the steps that must be done before this one starts.
        checkpoints: Whether a task saves its progress in checkpoints.
        gang: Whether the tasks can only run all at the same time.
        same_rack: Whether the tasks are slow when spread over several racks.
        label: Label that the worker must have, or an empty string.
        data_rack: Rack that holds the input data, or an empty string.
        max_per_worker: Maximum number of tasks on one worker; 0 for no limit.
        duplicates: Whether copies of a task may run in parallel; stored and logged, not used for
            scheduling.
        lasting: Whether the tasks are service tasks, which run until the job is cancelled.
        image: Image that the tasks run; tasks with the same image behave alike, so their durations
            are learned together.
        latency_target_s: Upper limit of the tail latency of a service task; 0 for none.
        filler: Whether the tasks are best-effort tasks, which use only CPU that others leave idle.
        may_miss: Maximum number of unavailable service tasks of the step after the owner stops one
            for a move, maintenance or evacuation. Tasks that are unavailable for other reasons
            count too; 0 counts as 1.
    """

    count: int
    size: Resources = NO_RESOURCES
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    duplicates: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_s: float = 0.0
    filler: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources that a task reserves on its worker; a best-effort task reserves no CPU."""
        if self.filler:
            return Resources(0, self.size.memory_mb, self.size.accelerators)
        return self.size


@message
@dataclass(frozen=True, slots=True)
class Job:
    """A job as submitted.

    A scheduled job runs its steps `repetitions` times; occurrence K is due at
    `first_due + K * interval_s`.
    """

    id: str
    queue: str
    team: str
    payload: str
    steps: tuple[StepSpec, ...]
    submitted: float
    repetitions: int = 0
    first_due: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(self.repetitions, 1)

    def due(self, occurrence: int) -> float:
        """Returns the earliest start of an occurrence, 0 if the job is not scheduled."""
        if not self.repetitions:
            return 0.0
        return self.first_due + occurrence * self.interval_s


@message
@dataclass(frozen=True, slots=True)
class JobQueue:
    """A queue to which callers submit jobs, selected by host and path prefix.

    Attributes:
        name: Name in the configuration.
        host: Value of the Host header of its calls.
        prefix: Path prefix of its calls, up to the job id.
        pool: Name of the pool whose workers run the tasks.
        timeout_s: Timeout of a call; stored, not applied.
        priority: Scheduling priority; 0 is the highest.
        max_attempts: Number of failed runs of a task, or of all members of a gang together, after
            which the job fails; service tasks are restarted without limit.
        stretch: Target duration of a job, as a multiple of its critical path.
        latency_s: Fixed time that is added to the target duration.
        public: Whether calls need no key.
        advised: Whether the policy service decides which workers may run a step.
    """

    name: str
    host: str
    prefix: str
    pool: str
    timeout_s: float
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_s: float = 0.0
    public: bool = False
    advised: bool = False

    @property
    def address(self) -> tuple[str, str]:
        """Host and path prefix, at which callers reach the queue under any name."""
        return self.host, self.prefix


@message
@dataclass(frozen=True, slots=True)
class WorkerPool:
    """A pool of instances.

    Attributes:
        name: Name in the configuration.
        guarded: Whether its workers refuse tasks that exceed their free capacity; stored, not used
            for scheduling.
        standby: Whether its instances are switched off.
    """

    name: str
    guarded: bool = True
    standby: bool = False


@message
@dataclass(frozen=True, slots=True)
class JobTeam:
    """A team.

    Attributes:
        name: Name in the configuration.
        keys: Keys that identify the calls of the team.
        weight: Share of the team when capacity is short, relative to the weights of the others, and
            the number of jobs per second that are within its rate.
        cap: Upper limits of the resources that its tasks use; 0 means no limit.
    """

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    cap: Resources = NO_RESOURCES


@message
@dataclass(frozen=True, slots=True)
class FleetConfig:
    """A complete configuration; the one with the highest version is in force.

    `document` holds the bytes that the operator sent, so that they can be read back unchanged.
    The limits and timeouts of HTTP requests are stored, not applied: the servers use fixed ones.
    """

    version: int
    queues: tuple[JobQueue, ...]
    pools: tuple[WorkerPool, ...]
    teams: tuple[JobTeam, ...]
    document: bytes
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@message
@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """One incarnation of a worker, which is also one incarnation of its instance.

    `born` is its start time in ms since 1970 and distinguishes incarnations with the same id. A
    draining worker is about to leave and gets no new tasks.
    """

    id: str
    born: int
    address: str
    pool: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    instance: str
    draining: bool = False


class RunEnd(NamedTuple):
    """The end of a run, as its worker reports it.

    `number` rises with each run end that an incarnation reports.
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str
