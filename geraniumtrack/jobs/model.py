"""Jobs, queues, teams, pools and workers as typed data.

Amounts of processor are in thousandths of a core, memory in MB. Times are in seconds of the wall
clock unless a field says otherwise.
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
    "TaskEnd",
    "TaskId",
    "JobTeam",
    "WorkerInfo",
]


class JobState(StrEnum):
    """What a caller is told of a job."""

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
    GANG_ALONE = "gang_alone"  # the other members did not come in time


@message
@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of what a worker offers or a task asks for."""

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

    def fits(self, room: Resources) -> bool:
        """Whether this amount is within a room."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


NO_RESOURCES = Resources()


class TaskId(NamedTuple):
    """Names a task: a job, an occurrence of it, a step and an index in the step."""

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
        size: What each task asks for.
        estimate_s: Rough duration of a task.
        after: Steps whose tasks must all be done first.
        checkpoints: Whether a task saves its progress.
        gang: Whether the tasks work only together.
        same_rack: Whether the tasks are slow when spread over racks.
        label: Label that the worker must have, or an empty string.
        data_rack: Rack that holds the data, or an empty string.
        max_per_worker: Upper limit of tasks on one worker; 0 for none.
        duplicates: Whether copies may run in parallel.
        lasting: Whether tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        latency_target_s: Upper limit of the response time tail of a lasting task; 0 for none.
        filler: Whether the tasks use only what the others leave.
        may_miss: Tasks that may be away at once through our own actions.
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
    def counted(self) -> Resources:
        """What a task takes of a worker's room."""
        if self.filler:
            return Resources(0, self.size.memory_mb, self.size.accelerators)
        return self.size


@message
@dataclass(frozen=True, slots=True)
class Job:
    """A job as it was handed in.

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
        """How often the steps run."""
        return max(self.repetitions, 1)

    def due(self, occurrence: int) -> float:
        """Returns when an occurrence may start."""
        if not self.repetitions:
            return 0.0
        return self.first_due + occurrence * self.interval_s


@message
@dataclass(frozen=True, slots=True)
class JobQueue:
    """A queue that callers hand jobs to, by host and path prefix.

    Attributes:
        name: Name in the configuration.
        host: Host that callers name.
        prefix: Path prefix, which ends before the job id.
        pool: WorkerPool whose workers run the tasks.
        timeout_s: How long a call may take.
        priority: 0 comes first.
        max_attempts: A task is given up after so many failed runs.
        stretch: Multiple of the longest chain of work in which a job should be done.
        latency_s: Time on top of that.
        public: Whether calls need no key.
        advised: Whether a policy service says which workers may run a step.
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


@message
@dataclass(frozen=True, slots=True)
class WorkerPool:
    """A pool of instances.

    Attributes:
        name: Name in the configuration.
        guarded: Whether its workers refuse what does not fit.
        standby: Whether its instances are off.
    """

    name: str
    guarded: bool = True
    standby: bool = False


@message
@dataclass(frozen=True, slots=True)
class JobTeam:
    """A team, its keys, its weight when all is full and its upper limit (0 means none)."""

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    cap: Resources = NO_RESOURCES


@message
@dataclass(frozen=True, slots=True)
class FleetConfig:
    """A whole configuration; the one with the highest version is in force.

    `document` holds the bytes that the operator sent, to be read back as they were.
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
    """One life of a worker, which is one life of an instance.

    `born` is its start in ms since 1970 and tells apart lives under one id. A draining worker will
    leave and gets nothing new.
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


class TaskEnd(NamedTuple):
    """An end that a worker lists: its number, the task, the run, how it ended, its checkpoint."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str
