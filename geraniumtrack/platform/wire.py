"""Decodes the bodies of the platform's calls into the types of this project.

Unknown fields are ignored. A body is invalid if a required field is missing, a field has the wrong
type or the fields contradict each other. The platform uses other words for some concepts: a route
is a queue, a backend or service is a pool, a tenant is a team, a zone is a data centre, a machine
is an instance and a wave is a maintenance campaign.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Any, Literal, TypeVar

import orjson
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    FailFast,
    Field,
    StrictBool,
    StrictInt,
    ValidationError,
)

from geraniumtrack.errors import GeraniumtrackError
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.state.model import (
    FleetConfig,
    JobQueue,
    JobTeam,
    Resources,
    StepSpec,
    WorkerInfo,
    WorkerPool,
)

__all__ = [
    "DECODE_ERRORS",
    "InvalidBody",
    "decode_config",
    "decode_heartbeat",
    "decode_job",
    "decode_maintenance",
    "encode_json",
]

MS_PER_S = 1000

MAX_PORT = 65535
MAX_SPEC_BYTES = 4000
# Orders name the worker in a header, which cannot hold all characters.
_WORKER_ID = re.compile(r"[!-~]{1,128}")
# Raised by reading a JSON value that has another form than expected.
DECODE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)

encode_json = orjson.dumps
T = TypeVar("T")

# The bounds keep all later arithmetic with these numbers within the range of a float.
MAX_INT = 2**63 - 1
MAX_MS = 1e15  # about 30,000 years

# NonNegativeInt accepts only JSON integers; NonNegativeFloat accepts any JSON number, booleans
# and numbers in strings.
NonNegativeInt = Annotated[int, Field(strict=True, ge=0, le=MAX_INT)]
PositiveInt = Annotated[int, Field(strict=True, ge=1, le=MAX_INT)]
NonNegativeFloat = Annotated[float, Field(ge=0, le=MAX_MS)]
# The errors of all entries of a list would take hundreds of times the memory of the body.
Rows = Annotated[list[T], FailFast()]


class InvalidBody(GeraniumtrackError):
    """A body lacks a required field, has a field of the wrong type or contradicts itself."""

    def __init__(self, message: str) -> None:
        super().__init__(message, remedy="correct the body and send it again")


def _check_address(address: str) -> str:
    """Returns the address of a worker; raises ValueError unless it is an IPv4 address and port."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not re.fullmatch("[0-9]{1,5}", port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"the port must be a number from 1 to {MAX_PORT}")
    return address


def _check_spec(spec: str) -> str:
    """Returns the specification of a job; raises ValueError if it is too long."""
    if len(spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(f"at most {MAX_SPEC_BYTES} bytes are accepted")
    return spec


class _Body(BaseModel):
    """Base of the bodies; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)


class _Resources(_Body):
    cpu: NonNegativeInt = 0  # thousandths of a core
    memory_mb: NonNegativeInt = Field(0, alias="memMb")
    accelerators: NonNegativeInt = Field(0, alias="gpu")

    def to_resources(self) -> Resources:
        return Resources(self.cpu, self.memory_mb, self.accelerators)


class _Step(_Resources):
    """A step of a job; the resources are those that each task requests."""

    count: NonNegativeInt
    estimate_ms: NonNegativeFloat = Field(0, alias="estimatedMs")
    after: Rows[NonNegativeInt] = Field([], alias="dependsOn")
    checkpoints: StrictBool = Field(False, alias="checkpointing")
    gang: StrictBool = False
    same_rack: StrictBool = Field(False, alias="sameRack")
    label: str = Field("", alias="requirements")  # one label that the worker must have
    data_rack: str = Field("", alias="dataRack")
    # Maximum number of tasks on one worker; 0 for no limit.
    max_per_worker: NonNegativeInt = Field(0, alias="antiAffinity")
    duplicates: StrictBool = Field(False, alias="allowDuplicates")
    lasting: StrictBool = Field(False, alias="longRunning")  # a service task
    image: str = ""
    # Upper limit of the tail latency of a service task; 0 for none.
    target_ms: NonNegativeFloat = Field(0, alias="targetMs")
    filler: StrictBool = Field(False, alias="fills")  # a best-effort task
    # Upper limit of unavailable tasks, whatever the cause, after the owner stops a service task for
    # a move or maintenance; 0 counts as 1.
    may_miss: NonNegativeInt = Field(0, alias="mayMiss")

    def to_step_spec(self) -> StepSpec:
        return StepSpec(
            count=self.count,
            size=self.to_resources(),
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
    # Opaque; sent unchanged with every start order.
    spec: Annotated[str, AfterValidator(_check_spec)] = ""
    steps: Rows[_Step]
    repetitions: NonNegativeInt = 0
    start_ms: NonNegativeFloat = Field(0, alias="startAtMs")  # wall-clock time
    interval_ms: NonNegativeFloat = Field(0, alias="intervalMs")


class _Route(_Body):
    """A queue, which the platform calls a route."""

    name: str = Field(min_length=1)
    host: str = Field(min_length=1)
    prefix: str = Field(alias="pathPrefix", min_length=1)
    timeout_ms: float = Field(alias="timeoutMs", gt=0, le=MAX_MS)
    # Not a limit by itself: a fixed time that is added to the target duration of a job.
    latency_ms: NonNegativeFloat = Field(0, alias="targetLatencyMs")
    priority: StrictInt = Field(0, ge=-MAX_INT, le=MAX_INT)
    pool: str = Field(alias="backend")
    max_attempts: NonNegativeInt = Field(1, alias="maxAttempts")
    # Target duration of a job, as a multiple of its critical path.
    stretch: NonNegativeFloat = 1.0
    public: StrictBool = False
    advice: Any = None  # if not empty, the policy service decides which workers may run a step

    def to_job_queue(self) -> JobQueue:
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
    """A pool, which the platform calls a service and lists under `backends`."""

    name: str = Field(min_length=1)
    # Whether its workers refuse tasks that exceed their free capacity.
    guarded: StrictBool = Field(True, alias="admissionCheck")
    standby: StrictBool = False  # its instances are switched off


class _Tenant(_Body):
    """A team, which the platform calls a tenant."""

    name: str = Field(min_length=1)
    keys: Rows[str] = Field([], alias="apiKeys")
    weight: NonNegativeFloat = 1.0
    cap: _Resources = _Resources()  # 0 means no limit


class _Limits(_Body):
    max_header_bytes: PositiveInt = Field(16384, alias="maxHeaderBytes")
    max_body_bytes: PositiveInt = Field(262144, alias="maxBodyBytes")
    header_timeout_ms: NonNegativeFloat = Field(3000, alias="headerTimeoutMs")
    idle_timeout_ms: NonNegativeFloat = Field(15000, alias="idleTimeoutMs")


class _Config(_Body):
    version: NonNegativeInt
    routes: Rows[_Route]
    services: Rows[_Service] = Field(alias="backends")
    tenants: Rows[_Tenant] = []
    limits: _Limits = _Limits()


class _Heartbeat(_Body):
    """A worker's report about itself.

    The fields `slots`, `version` and `coldRemainingMs` are ignored: `capacity` is used instead of
    `slots`, and the others are not needed.
    """

    pool: str = Field(alias="backend", min_length=1)
    address: Annotated[str, AfterValidator(_check_address)]
    data_centre: str = Field(alias="zone", min_length=1)
    state: Literal["ready", "draining"]
    capacity: _Resources
    labels: Rows[str] = []  # the second one is the rack
    sequence: NonNegativeInt
    born: NonNegativeInt = 0  # start time of this incarnation in ms since 1970
    machine: str = ""


class _Wave(_Body):
    """A maintenance campaign, which the platform calls a wave."""

    wave: NonNegativeInt
    machines: Rows[str]
    duration_s: NonNegativeFloat = Field(alias="durationS")
    cap: PositiveInt  # maximum number of machines in maintenance at once


def decode_job(request: msgs.JobRequest, body: bytes) -> msgs.SubmitCall:
    """Decodes a job that a caller submits.

    Raises:
        InvalidBody: If the body cannot be decoded.
    """
    job = _validate(_Job, body)
    return msgs.SubmitCall(
        request=request,
        payload=job.spec,
        steps=tuple(step.to_step_spec() for step in job.steps),
        repetitions=job.repetitions,
        first_due=job.start_ms / MS_PER_S,
        interval_s=job.interval_ms / MS_PER_S,
    )


def decode_config(body: bytes) -> FleetConfig:
    """Decodes and checks a complete configuration.

    Raises:
        InvalidBody: If the body cannot be decoded, a route refers to an unknown backend, two routes
            have the same host and path prefix, or two tenants share an API key.
    """
    config = _validate(_Config, body)
    _check_config(config)
    return FleetConfig(
        version=config.version,
        queues=tuple(route.to_job_queue() for route in config.routes),
        pools=tuple(WorkerPool(s.name, s.guarded, s.standby) for s in config.services),
        teams=tuple(
            JobTeam(t.name, tuple(t.keys), t.weight, t.cap.to_resources()) for t in config.tenants
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
        InvalidBody: If the body cannot be decoded, or the id cannot be sent in a header.
    """
    if not _WORKER_ID.fullmatch(worker_id):
        raise InvalidBody("a worker's id must be 1 to 128 printable ASCII characters, no spaces")
    heartbeat = _validate(_Heartbeat, body)
    worker = WorkerInfo(
        id=worker_id,
        born=heartbeat.born,
        address=heartbeat.address,
        pool=heartbeat.pool,
        data_centre=heartbeat.data_centre,
        rack=heartbeat.labels[1] if len(heartbeat.labels) > 1 else "",
        labels=tuple(heartbeat.labels),
        capacity=heartbeat.capacity.to_resources(),
        instance=heartbeat.machine,
        draining=heartbeat.state == "draining",
    )
    return msgs.Heartbeat(worker, heartbeat.sequence)


def decode_maintenance(body: bytes) -> msgs.MaintenanceCall:
    """Decodes a request to maintain instances.

    Raises:
        InvalidBody: If the body cannot be decoded.
    """
    wave = _validate(_Wave, body)
    return msgs.MaintenanceCall(wave.wave, tuple(wave.machines), wave.duration_s, wave.cap)


def _check_config(config: _Config) -> None:
    """Checks that routes name known backends and are distinct, and that tenants share no API key.

    Routes are distinct if they differ in host or path prefix.
    """
    services = {service.name for service in config.services}
    prefixes = set()
    for route in config.routes:
        if route.pool not in services:
            raise InvalidBody(f"route {route.name} refers to the unknown backend {route.pool}")
        if (route.host, route.prefix) in prefixes:
            raise InvalidBody(f"two routes share host and path prefix {route.host}{route.prefix}")
        prefixes.add((route.host, route.prefix))
    keys = [key for tenant in config.tenants for key in set(tenant.keys)]
    if len(keys) != len(set(keys)):
        raise InvalidBody("two tenants share an API key")


def _validate(model: type, body: bytes) -> Any:
    try:
        return model.model_validate_json(body)
    except ValidationError as exc:
        first = exc.errors(include_input=False, include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"]) or "body"
        raise InvalidBody(f"{field}: {first['msg']}") from exc
