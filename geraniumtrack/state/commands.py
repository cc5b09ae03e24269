"""Commands of the replicated state machine, and the result of applying one.

Times (`at`, `before`) are in seconds since the epoch.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from geraniumtrack.protocol.codec import message
from geraniumtrack.state.records import Claim, Event, Outcome

__all__ = [
    "AdmitInstance",
    "AdvanceMaintenance",
    "ApplyFleet",
    "BeginMove",
    "CancelMove",
    "CloseClaim",
    "CloseSession",
    "CompleteMove",
    "ControlMaintenance",
    "DrainTarget",
    "ExpireClaims",
    "FinishClaim",
    "IssueKey",
    "Noop",
    "OpenClaim",
    "OpenSession",
    "PlanMaintenance",
    "RecordEvent",
    "RecordHealth",
    "Result",
    "RetireInstance",
    "ReturnInstance",
    "SetAllotment",
    "SetAside",
    "SetDataCentre",
    "WithdrawKey",
]


@message
@dataclass(frozen=True, slots=True)
class Result:
    """The result of applying a command.

    Attributes:
        ok: Whether the command was accepted.
        version: Version of the configuration view after the command.
        error: Reason code of a refusal, or an empty string.
        message: Explanation for the operator, with a remedy.
        claim: The stored claim, for claim commands.
        details: Further values, such as the change that caused a version conflict.
    """

    ok: bool
    version: int = 0
    error: str = ""
    message: str = ""
    claim: Claim | None = None
    details: dict[str, Any] = field(default_factory=dict)


@message
@dataclass(frozen=True, slots=True)
class Noop:
    """Does nothing. Committing it in a new term commits the log entries of earlier terms."""


@message
@dataclass(frozen=True, slots=True)
class ApplyFleet:
    """Replaces the declared sections: data centres, pools, queues and teams.

    It is refused if an operator has changed the configuration after `expected_version`, or if that
    version does not exist yet.
    """

    operation_id: str
    expected_version: int
    fleet: dict[str, Any]
    operator: str = ""


@message
@dataclass(frozen=True, slots=True)
class IssueKey:
    """Adds a key of a team, of which only the digest is stored."""

    operation_id: str
    key_id: str
    team: str
    digest: bytes


@message
@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraws a key permanently."""

    operation_id: str
    key_id: str


@message
@dataclass(frozen=True, slots=True)
class SetDataCentre:
    """Takes a data centre out of service, or returns it to service."""

    operation_id: str
    name: str
    in_service: bool


@message
@dataclass(frozen=True, slots=True)
class DrainTarget:
    """Drains an instance on behalf of an operator, or ends the drain."""

    operation_id: str
    instance: str
    drained: bool
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class OpenSession:
    """Opens the session of an entry process.

    An older session of the same entry is retired: it is no longer renewed, and `SetAllotment` is
    refused for it. Its allotments stay reserved until `CloseSession`, because its tasks may still
    be running. Its claims can still be finished.
    """

    entry: str
    session: str
    data_centre: str


@message
@dataclass(frozen=True, slots=True)
class CloseSession:
    """Closes an entry's session and releases its allotments."""

    entry: str
    session: str


@message
@dataclass(frozen=True, slots=True)
class SetAllotment:
    """Sets an entry's allotment: the part of a team's task limit that the entry may use.

    `sequence` is that of the session renewal on which the command is based. The command is refused
    if the last change of this allotment was based on a later renewal, because the entry may have
    raised its ceiling since, and also if it was based on the same renewal and the command lowers
    the amount. `held` is the amount that the command replaces, which must be the current one.
    """

    team: str
    entry: str
    session: str
    amount: int
    sequence: int
    held: int


@message
@dataclass(frozen=True, slots=True)
class OpenClaim:
    """Claims a non-idempotent request before it is sent to a target.

    `attempt` identifies the attempt to claim, so that a resent copy of it is recognized.
    """

    team: str
    request_id: str
    fingerprint: bytes
    entry: str
    session: str
    at: float
    attempt: str


@message
@dataclass(frozen=True, slots=True)
class FinishClaim:
    """Stores the answer of a claimed request; None if it was sent but its answer is unknown."""

    team: str
    request_id: str
    outcome: Outcome | None
    attempt: str = ""


@message
@dataclass(frozen=True, slots=True)
class CloseClaim:
    """Records that a request was never sent, so that a late copy of it cannot run.

    An open claim is closed only with its own `attempt`, by which the holder of the claim confirms
    that it never sent the request.
    """

    team: str
    request_id: str
    fingerprint: bytes
    at: float
    attempt: str = ""


@message
@dataclass(frozen=True, slots=True)
class ExpireClaims:
    """Removes claims opened before a time.

    Open claims whose session still exists are kept, because their request may still be running.
    """

    before: float


@message
@dataclass(frozen=True, slots=True)
class AdmitInstance:
    """Adds an instance that announced itself, and that the view does not contain, to a pool.

    `pool_hint` is the pool that it announced. If that pool is not declared, the instance is added
    to the first spare pool by name, or refused if there is none.
    """

    name: str
    pool_hint: str
    data_centre: str
    rack: str


@message
@dataclass(frozen=True, slots=True)
class BeginMove:
    """Starts a move: drains an instance that is to change its pool."""

    instance: str
    from_pool: str
    to_pool: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class CompleteMove:
    """Completes a move: changes the pool of a drained instance. `version` identifies the move."""

    instance: str
    to_pool: str
    version: int
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class CancelMove:
    """Cancels a move; the instance stays in its pool."""

    instance: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class PlanMaintenance:
    """Starts a maintenance campaign for the instances of some pools; no pools means all."""

    operation_id: str
    pools: tuple[str, ...]
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class ControlMaintenance:
    """Controls the campaign; `action` is `pause`, `resume`, `cancel` or `finish`.

    `by` is `operator` or `leader`.
    """

    operation_id: str
    action: str
    reason: str
    by: str = "operator"
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class AdvanceMaintenance:
    """Advances one instance to a phase: `pending`, `draining`, `rebooting` or `done`.

    `reason` is free text for the recorded event.
    """

    instance: str
    phase: str
    reason: str = ""
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class SetAside:
    """Sets an instance aside: takes it out of use because it fails tasks."""

    instance: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class ReturnInstance:
    """Returns an instance that was set aside to use."""

    instance: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class RecordHealth:
    """Records a change of an instance's state, incarnation or location (data centre and rack)."""

    instance: str
    state: str
    incarnation: int
    data_centre: str
    rack: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class RetireInstance:
    """Removes a failed instance, so that it no longer counts in its pool's budget.

    An instance that announces itself under this name later is admitted as a new one.
    """

    operation_id: str
    instance: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class RecordEvent:
    """Records an event that changes nothing else, such as why an instance waits.

    `geraniumtrack explain` shows it.
    """

    event: Event
