"""Bodies of the platform's calls, decoded once into the product's types.

Unknown fields are ignored; fields that are missing or of another type make a body invalid.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, StrictBool, StrictInt, ValidationError

from geraniumtrack.errors import GeraniumtrackError
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.model import (
    EndKind,
    FleetConfig,
    JobQueue,
    JobTeam,
    Resources,
    RunEnd,
    StepSpec,
    TaskId,
    WorkerInfo,
    WorkerPool,
)
from geraniumtrack.jobs.worker_port import RunningTask, WorkerReport

__all__ = [
    "InvalidBody",
    "decode_config",
    "decode_heartbeat",
    "decode_job",
    "decode_maintenance",
    "decode_worker_report",
    "encode_json",
    "task_name",
]

MS_PER_S = 1000
_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_LAPSED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_ALONE,
}

encode_json = orjson.dumps
Count = Annotated[int, Field(strict=True, ge=0)]
Number = Annotated[float, Field(ge=0)]


class InvalidBody(GeraniumtrackError):
    """A body can't be read as what its call needs."""

    def __init__(self, message: str) -> None:
        super().__init__(message, remedy="send all fields with their types")


class _Body(BaseModel):
    model_config = ConfigDict(extra="ignore", populate_by_name=True)


class _Resources(_Body):
    cpu: Count = 0
    memory_mb: Count = Field(0, alias="memMb")
    accelerators: Count = Field(0, alias="gpu")

    def typed(self) -> Resources:
        return Resources(self.cpu, self.memory_mb, self.accelerators)


class _Step(_Resources):
    count: Count
    estimate_ms: Number = Field(0, alias="estimatedMs")
    after: list[Count] = Field([], alias="dependsOn")
    checkpoints: StrictBool = Field(False, alias="checkpointing")
    gang: StrictBool = False
    same_rack: StrictBool = Field(False, alias="sameRack")
    label: str = Field("", alias="requirements")
    data_rack: str = Field("", alias="dataRack")
    max_per_worker: Count = Field(0, alias="antiAffinity")
    duplicates: StrictBool = Field(False, alias="allowDuplicates")
    lasting: StrictBool = Field(False, alias="longRunning")
    image: str = ""
    target_ms: Number = Field(0, alias="targetMs")  # tail of a lasting task's response times
    filler: StrictBool = Field(False, alias="fills")
    may_miss: Count = Field(0, alias="mayMiss")

    def typed_step(self) -> StepSpec:
        return StepSpec(
            count=self.count,
            size=self.typed(),
            estimate_s=self.estimate_ms / MS_PER_S,
            after=tuple(self.after),
            checkpoints=self.checkpoints,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.label,
            data_rack=self.data_rack,
            max_per_worker=self.max_per_worker,
            duplicates=self.duplicates,
            lasting=self.lasting,
            image=self.image,
            latency_target_s=self.target_ms / MS_PER_S,
            filler=self.filler,
            may_miss=self.may_miss,
        )


class _Job(_Body):
    spec: str = ""  # opaque to us; handed to every start unchanged
    steps: list[_Step]
    repetitions: Count = 0
    start_ms: Number = Field(0, alias="startAtMs")
    interval_ms: Number = Field(0, alias="intervalMs")


class _Route(_Body):
    """A route of the platform is a queue."""

    name: str = Field(min_length=1)
    host: str = Field(min_length=1)
    prefix: str = Field(alias="pathPrefix", min_length=1)
    timeout_ms: float = Field(alias="timeoutMs", gt=0)
    latency_ms: Number = Field(0, alias="targetLatencyMs")
    priority: StrictInt = 0
    pool: str = Field(alias="backend")
    max_attempts: Annotated[int, Field(strict=True, ge=0)] = Field(1, alias="maxAttempts")
    stretch: Number = 1.0
    public: StrictBool = False
    advice: Any = None  # present where the policy service decides on workers

    def typed(self) -> JobQueue:
        return JobQueue(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            pool=self.pool,
            timeout_s=self.timeout_ms / MS_PER_S,
            priority=self.priority,
            max_attempts=max(self.max_attempts, 1),
            stretch=self.stretch,
            latency_s=self.latency_ms / MS_PER_S,
            public=self.public,
            advised=bool(self.advice),
        )


class _Service(_Body):
    """A service of the platform is a pool."""

    name: str = Field(min_length=1)
    guarded: StrictBool = Field(True, alias="admissionCheck")
    standby: StrictBool = False


class _Tenant(_Body):
    name: str = Field(min_length=1)
    keys: list[str] = Field([], alias="apiKeys")
    weight: Number = 1.0
    cap: _Resources = _Resources()


class _Limits(_Body):
    max_header_bytes: Annotated[int, Field(strict=True, ge=1)] = Field(
        16384, alias="maxHeaderBytes"
    )
    max_body_bytes: Annotated[int, Field(strict=True, ge=1)] = Field(262144, alias="maxBodyBytes")
    header_timeout_ms: Number = Field(3000, alias="headerTimeoutMs")
    idle_timeout_ms: Number = Field(15000, alias="idleTimeoutMs")


class _Config(_Body):
    version: Count
    routes: list[_Route]
    services: list[_Service] = Field(alias="backends")
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class _Heartbeat(_Body):
    """`slots`, `version` and the cold time are not used: workers say what room they have."""

    pool: str = Field(alias="backend", min_length=1)
    address: str = Field(pattern=r"^[0-9.]+:[0-9]+$")
    data_centre: str = Field(alias="zone", min_length=1)
    state: Literal["ready", "draining"]
    capacity: _Resources
    labels: list[str] = []
    sequence: Count
    born: Count = 0  # ms since 1970 of the worker's start
    machine: str = ""


class _Wave(_Body):
    wave: Count
    machines: list[str]
    duration_s: Number = Field(alias="durationS")
    cap: Annotated[int, Field(strict=True, ge=1)]


def decode_job(request: msgs.JobRequest, body: bytes) -> msgs.SubmitCall:
    """Decodes a job that a caller hands in.

    Raises:
        InvalidBody: If it can't be read.
    """
    job = _validated(_Job, body)
    return msgs.SubmitCall(
        request=request,
        payload=job.spec,
        steps=tuple(step.typed_step() for step in job.steps),
        repetitions=job.repetitions,
        first_due=job.start_ms / MS_PER_S,
        interval_s=job.interval_ms / MS_PER_S,
    )


def decode_config(body: bytes) -> FleetConfig:
    """Decodes and checks a whole configuration.

    Raises:
        InvalidBody: If it can't be read in full or contradicts itself.
    """
    config = _validated(_Config, body)
    _check_config(config)
    return FleetConfig(
        version=config.version,
        queues=tuple(route.typed() for route in config.routes),
        pools=tuple(WorkerPool(s.name, s.guarded, s.standby) for s in config.services),
        teams=tuple(
            JobTeam(t.name, tuple(t.keys), t.weight, t.cap.typed()) for t in config.tenants
        ),
        document=body,
        max_header_bytes=config.limits.max_header_bytes,
        max_body_bytes=config.limits.max_body_bytes,
        header_timeout_s=config.limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=config.limits.idle_timeout_ms / MS_PER_S,
    )


def decode_heartbeat(worker_id: str, body: bytes) -> msgs.Heartbeat:
    """Decodes a worker's report about itself.

    Raises:
        InvalidBody: If it names no worker that can be used.
    """
    beat = _validated(_Heartbeat, body)
    worker = WorkerInfo(
        id=worker_id,
        born=beat.born,
        address=beat.address,
        pool=beat.pool,
        data_centre=beat.data_centre,
        rack=beat.labels[1] if len(beat.labels) > 1 else "",
        labels=tuple(beat.labels),
        capacity=beat.capacity.typed(),
        instance=beat.machine,
        draining=beat.state == "draining",
    )
    return msgs.Heartbeat(worker, beat.sequence)


def decode_maintenance(body: bytes) -> msgs.MaintenanceCall:
    """Decodes an order to maintain machines.

    Raises:
        InvalidBody: If it can't be read.
    """
    wave = _validated(_Wave, body)
    return msgs.MaintenanceCall(wave.wave, tuple(wave.machines), wave.duration_s, wave.cap)


def decode_worker_report(body: bytes) -> WorkerReport:
    """Decodes a worker's answer to a hold.

    Raises:
        InvalidBody: If it can't be read.
    """
    try:
        found = orjson.loads(body)
        running = tuple(_running_task(row) for row in found["running"])
        ends = tuple(_task_end(row) for row in found["endedRuns"])
        born = int(found.get("born", 0))
        return WorkerReport(int(found["clockMs"]), running, ends, born=born)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, IndexError) as exc:
        raise InvalidBody(f"the worker's lists can't be read: {exc!r}") from exc


def task_name(task: TaskId) -> str:
    """Returns a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def _task_id(name: str) -> TaskId:
    job, occurrence, step, index = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


def _running_task(row: list) -> RunningTask:
    name, run, saved, percent, *rest = row
    return RunningTask(_task_id(name), int(run), str(saved), int(percent), rest[0] if rest else 0)


def _task_end(row: list) -> RunEnd:
    number, name, run, how, saved = row[:5]
    return RunEnd(int(number), _task_id(name), int(run), _END_KINDS[how], str(saved))


def _check_config(config: _Config) -> None:
    services = {service.name for service in config.services}
    places = set()
    for route in config.routes:
        if route.pool not in services:
            raise InvalidBody(f"route {route.name} names the unknown service {route.pool}")
        if (route.host, route.prefix) in places:
            raise InvalidBody(f"two routes share {route.host}{route.prefix}")
        places.add((route.host, route.prefix))
    keys = [key for tenant in config.tenants for key in set(tenant.keys)]
    if len(keys) != len(set(keys)):
        raise InvalidBody("two tenants share a key")


def _validated(model: type, body: bytes) -> Any:
    try:
        return model.model_validate_json(body)
    except ValidationError as exc:
        first = exc.errors(include_input=False, include_url=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        raise InvalidBody(f"{where}: {first['msg']}") from exc
