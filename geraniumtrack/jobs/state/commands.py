"""Commands of the replicated log that change the job state."""

from __future__ import annotations

from dataclasses import dataclass

from geraniumtrack.jobs.state.model import FleetConfig, Job, WorkerInfo
from geraniumtrack.protocol.codec import message

__all__ = [
    "CancelJob",
    "CancelSubmission",
    "Configure",
    "ForgetWorker",
    "OrderEvacuation",
    "PutWorker",
    "RecordProgress",
    "RecordRuns",
    "ReportWorker",
    "RestartWorker",
    "ServiceRunsCrashed",
    "ServiceRunsSettled",
    "SetEvacuation",
    "StartMaintenance",
    "SubmitJob",
    "UpkeepBegun",
    "WorkerCrashed",
]


@message
@dataclass(frozen=True, slots=True)
class Configure:
    """Stores a configuration if its version is higher than that of the stored one."""

    config: FleetConfig


@message
@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Adds a job; no effect if a job with this id is known."""

    job: Job


@message
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job; `at` is the wall-clock time in seconds."""

    job_id: str
    at: float


@message
@dataclass(frozen=True, slots=True)
class CancelSubmission:
    """Cancels a job that was unknown in its queue when the cancellation arrived.

    If the job is submitted later, it counts as cancelled from the start.

    Attributes:
        job_id: Id of the job.
        host: Host of the queue.
        prefix: Path prefix of the queue.
        at: Wall-clock time in seconds.
    """

    job_id: str
    host: str
    prefix: str
    at: float


@message
@dataclass(frozen=True, slots=True)
class PutWorker:
    """Registers an incarnation of a worker, or replaces the stored information about it."""

    worker: WorkerInfo


@message
@dataclass(frozen=True, slots=True)
class ReportWorker:
    """Like PutWorker, unless a later heartbeat of the incarnation has been applied.

    `sequence` is the number of the heartbeat that contains the information.
    """

    worker: WorkerInfo
    sequence: int


@message
@dataclass(frozen=True, slots=True)
class RestartWorker:
    """Registers a later incarnation of a worker under the id of an earlier one, which has ended.

    The runs that were assigned to the earlier one are assigned to the later one, because their
    start orders name only the id and may have reached it. Its reports show which of them it runs.

    Attributes:
        worker: The later incarnation.
        sequence: Number of the heartbeat that contains the information.
        checkpoints: Rows of task, run and checkpoint, of checkpoints that the earlier incarnation
            reported last and that are newer than the stored ones.
    """

    worker: WorkerInfo
    sequence: int
    checkpoints: tuple = ()


@message
@dataclass(frozen=True, slots=True)
class ForgetWorker:
    """Removes an incarnation of a worker; its tasks wait to be scheduled again.

    `born` is the start time in ms since 1970 that identifies the incarnation.
    """

    worker_id: str
    born: int


@message
@dataclass(frozen=True, slots=True)
class WorkerCrashed:
    """Counts a crash of a worker against the tasks that it may have been running.

    A task that reaches `MAX_CRASHES` ends its job. The command releases no tasks; `ForgetWorker` or
    `PutWorker` follows. Logs of earlier versions have service tasks in it too.

    Attributes:
        worker_id: Id of the worker.
        born: Start time in ms since 1970 that identifies the incarnation.
        at: Wall-clock time in seconds.
        runs: Rows of task and run. A crash counts once for each run.
    """

    worker_id: str
    born: int
    at: float
    runs: tuple


@message
@dataclass(frozen=True, slots=True)
class ServiceRunsCrashed:
    """Counts a crash of a worker against the service tasks that it may have been running.

    Unlike `WorkerCrashed` it ends no job, because service tasks are restarted however they end.

    Attributes:
        worker_id: Id of the worker.
        runs: Rows of task and run. A crash counts once for each run.
    """

    worker_id: str
    runs: tuple


@message
@dataclass(frozen=True, slots=True)
class ServiceRunsSettled:
    """Forgets the crashes counted against service tasks, because later runs of them last.

    Attributes:
        runs: Rows of task and run. A row has no effect once the task has a later run.
    """

    runs: tuple


@message
@dataclass(frozen=True, slots=True)
class RecordRuns:
    """Run ends, lost runs and starts that the owner commits together in one scheduling pass.

    They are applied in this order.

    Attributes:
        at: Wall-clock time in seconds.
        ends: Rows of worker id, `born` and the run ends that the worker reported, each a tuple of
            the values of a `RunEnd`.
        lost: Rows of task, run and checkpoint of runs that are certainly not active any more. The
            checkpoint is the last one that this run reported; if it is empty, the stored one is
            kept.
        starts: Rows of task, run, worker id and `born`. They are committed before the start orders
            are sent, so that the next owner knows on which worker a run may be active. A start has
            no effect if this incarnation of the worker is not registered.
    """

    at: float
    ends: tuple = ()
    lost: tuple = ()
    starts: tuple = ()


@message
@dataclass(frozen=True, slots=True)
class RecordProgress(RecordRuns):
    """Like RecordRuns; also records which jobs have begun.

    They are part of one command, since a commit of their own would delay the next starts by a sync.

    Attributes:
        begun: Ids of jobs of which a task is known to have begun, by an answer or a report of a
            worker.
    """

    begun: tuple[str, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class OrderEvacuation:
    """Evacuates a data centre, or returns it to service if `out` is false.

    It has no effect, and its result is not ok, unless `revision` is the `evacuation_revision` of
    the state.
    """

    data_centre: str
    out: bool
    revision: int


@message
@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Like OrderEvacuation, at any revision; only in logs of earlier versions."""

    data_centre: str
    out: bool


@message
@dataclass(frozen=True, slots=True)
class StartMaintenance:
    """Starts a maintenance campaign.

    Attributes:
        campaign: Number of the campaign.
        instances: Ids of the instances to maintain.
        deadline: Wall-clock time in seconds by which all instances should be maintained.
        cap: Maximum number of instances in maintenance at the same time.
    """

    campaign: int
    instances: tuple[str, ...]
    deadline: float
    cap: int


@message
@dataclass(frozen=True, slots=True)
class UpkeepBegun:
    """Records that the maintenance of an instance has begun, or that the platform refuses it.

    The platform refuses it if the instance is unknown or not part of the campaign.
    """

    campaign: int
    instance: str
