"""Records of the replicated state.

Every record of the configuration view has a field `modified`, the version that last changed it, so
that a peer is sent only the records changed since its own version. Times are in seconds since the
epoch.
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

    `max_unavailable` is the availability budget: the number of instances that may be unavailable at
    once. The instances of a `spare` pool are lent to other pools at their peak or after losses.
    """

    name: str
    max_unavailable: int = 1
    spare: bool = False
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Queue:
    """A named queue whose requests run in one pool. An `open` queue needs no key."""

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
    """A customer.

    `share` is its weight in the division of slots when there are not enough for all teams; `limit`
    is the maximum number of tasks that it may run at once.
    """

    name: str
    share: float = 1.0
    limit: int = 8
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Key:
    """A team's key, stored as its SHA-256 digest. A withdrawn key never becomes active again."""

    key_id: str
    team: str
    digest: bytes
    active: bool = True
    modified: int = 0


@message
@dataclass(frozen=True, slots=True)
class Instance:
    """A machine, which belongs to one pool.

    Attributes:
        name: Name of the instance.
        pool: Pool that it belongs to.
        data_centre: Data centre from the last recorded announcement; `RecordHealth` updates it.
        rack: Rack from the same announcement.
        moving_to: Destination of a move; the instance is drained while it is set.
        drained: Whether an operator has drained it.
        set_aside: Why the instance is set aside, that is, out of use because it fails tasks; empty
            while it is in use.
        maintenance: Its phase in the maintenance campaign: empty, `pending`, `draining`,
            `rebooting` or `done`.
        modified: View version that last changed the record.
    """

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
    def accepts_tasks(self) -> bool:
        """Whether the record itself allows dispatchers to start tasks on the instance.

        Its data centre may still be out of service.
        """
        out_of_use = self.drained or self.moving_to or self.set_aside
        return not out_of_use and self.maintenance not in ("draining", "rebooting")


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
    """The stored answer of a claimed request.

    `held` is False if the body is not stored, because it was too large or because all stored
    answers together exceeded their limit. `body_sha256` identifies the body in both cases.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/octet-stream"
    body_sha256: bytes = b""
    held: bool = True


@message
@dataclass(frozen=True, slots=True)
class Claim:
    """A claimed non-idempotent request.

    Its phase is `open`, `finished`, `not_run`, or `unknown` if the request may have run but its
    answer was lost.
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
    """A recorded change or decision, shown by `geraniumtrack explain`."""

    at: float
    subject: str
    kind: str
    reason: str
    details: dict = field(default_factory=dict)


@message
@dataclass(frozen=True, slots=True)
class Health:
    """The committed state of an instance: `alive`, `suspect`, `leaving` or `failed`.

    `at` is when the leader recorded the state.
    """

    instance: str
    state: str
    incarnation: int
    at: float


@message
@dataclass(frozen=True, slots=True)
class Move:
    """A move in progress.

    `version` is the view version that drains the instance. An entry with an older view may still
    start tasks on it.
    """

    instance: str
    from_pool: str
    to_pool: str
    reason: str
    at: float
    version: int


@message
@dataclass(frozen=True, slots=True)
class Loan:
    """An instance of the spare pool `home` that is in another pool, which it joined at `at`."""

    instance: str
    home: str
    at: float


@message
@dataclass(frozen=True, slots=True)
class Campaign:
    """A maintenance campaign. Its phase is `running`, `paused`, `cancelled` or `finished`.

    `paused_by` is `operator` or `leader`; the leader resumes only campaigns that a leader paused.
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
    """An instance's progress in the campaign; the phase itself is in `Instance.maintenance`.

    Attributes:
        instance: Name of the instance.
        at: When it entered the phase.
        incarnation: Its incarnation at that time; after the reboot it announces a higher one.
        version: View version of the change to this phase.
        reason: Why it entered the phase.
    """

    instance: str
    at: float
    incarnation: int = 0
    version: int = 0
    reason: str = ""
