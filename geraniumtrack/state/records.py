"""Records of the replicated state.

Every record of the configuration view carries `modified`, the version that last changed it, so
that a peer can be sent only what changed since the version it holds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from geraniumtrack.protocol.codec import message

__all__ = [
    "VIEW_SECTIONS",
    "Campaign",
    "Claim",
    "DataCentre",
    "Event",
    "Health",
    "Instance",
    "Key",
    "Loan",
    "MaintenanceStep",
    "Move",
    "Outcome",
    "Pool",
    "Queue",
    "Session",
    "Team",
]


@message
@dataclass(frozen=True, slots=True)
class DataCentre:
    """A failure domain with its own entries and targets."""

    name: str
    region: str = ""
    in_service: bool = True
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Pool:
    """A set of instances that run the tasks of one service.

    `max_unavailable` is the availability budget: how many instances may be unavailable at once.
    """

    name: str
    max_unavailable: int = 1
    spare: bool = False
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Queue:
    """A named entrance to a pool. An open queue needs no key."""

    name: str
    pool: str
    open: bool = False
    idempotent: bool = False
    urgency: str = "normal"
    max_length: int = 1000
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Team:
    """A customer. `share` is its weight when all is full, `limit` the most tasks it may run."""

    name: str
    share: float = 1.0
    limit: int = 8
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Key:
    """A team's key, known by its SHA-256 digest. A withdrawn key never becomes active again."""

    key_id: str
    team: str
    digest: bytes
    active: bool = True
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Instance:
    """A machine and its one pool. While `moving_to` is set it drains for a move."""

    name: str
    pool: str
    data_centre: str
    rack: str
    moving_to: str = ""
    drained: bool = False
    set_aside: str = ""
    maintenance: str = ""
    modified: int = 0

    @property
    def takes_work(self) -> bool:
        """Whether dispatchers may start tasks on it, as far as the configuration says."""
        planned = self.drained or self.moving_to or self.set_aside
        return not planned and self.maintenance not in ("draining", "rebooting")


VIEW_SECTIONS = ("data_centres", "pools", "queues", "teams", "keys", "instances")


@message
@dataclass(frozen=True, slots=True)
class Session:
    """An entry's registration with the controllers."""

    entry: str
    session: str
    data_centre: str


@message
@dataclass(frozen=True, slots=True)
class Outcome:
    """The stored answer of a claimed request. `held` is false if the body was too large."""

    status: int
    body: bytes = b""
    content_type: str = "application/octet-stream"
    body_sha256: bytes = b""
    held: bool = True


@message
@dataclass(frozen=True, slots=True)
class Claim:
    """A claimed non-idempotent request.

    Its phase is `open`, `finished`, `not_run`, or `unknown` if it was sent and its answer lost.
    """

    team: str
    request_id: str
    phase: str
    fingerprint: bytes = b""
    entry: str = ""
    session: str = ""
    opened_at: float = 0.0
    attempt: str = ""
    outcome: Outcome | None = None


@message
@dataclass(frozen=True, slots=True)
class Event:
    """A recorded decision, for `geraniumtrack explain`."""

    at: float
    subject: str
    kind: str
    reason: str
    details: dict = field(default_factory=dict)


@message
@dataclass(frozen=True, slots=True)
class Health:
    """What the controllers accepted about an instance: `alive`, `suspect`, `leaving` or `failed`.

    `at` is when the state was accepted, in seconds since the epoch.
    """

    instance: str
    state: str
    incarnation: int
    at: float


@message
@dataclass(frozen=True, slots=True)
class Move:
    """A move under way. Entries that hold view `version` or a later one have seen its drain."""

    instance: str
    from_pool: str
    to_pool: str
    reason: str
    at: float
    version: int


@message
@dataclass(frozen=True, slots=True)
class Loan:
    """An instance of the spare pool `home` that serves another pool since `at`."""

    instance: str
    home: str
    at: float


@message
@dataclass(frozen=True, slots=True)
class Campaign:
    """A maintenance campaign: phase is `running`, `paused`, `cancelled` or `finished`.

    `paused_by` is `operator` or `leader`; the leader ends only its own pauses.
    """

    campaign_id: str
    phase: str
    at: float
    paused_by: str = ""
    reason: str = ""
    ended_at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class MaintenanceStep:
    """An instance's place in the campaign; its phase is in `Instance.maintenance`.

    Attributes:
        instance: Its name.
        at: When it entered the phase, in seconds since the epoch.
        incarnation: Incarnation to be replaced by the reboot.
        version: View version of the drain.
        reason: Why it entered the phase.
    """

    instance: str
    at: float
    incarnation: int = 0
    version: int = 0
    reason: str = ""
