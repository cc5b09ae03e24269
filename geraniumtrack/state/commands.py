"""Commands of the replicated state machine, and the results of applying them."""

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
    """What applying a command gave.

    Attributes:
        ok: Whether the command was accepted.
        version: Version of the configuration view after it.
        error: Reason code of a refusal, or an empty string.
        message: Text for a person, with the remedy.
        claim: The stored claim, for claim commands.
        details: Further values, such as the winner of a race.
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
    """Commits the entries of earlier terms when a leader starts."""


@message
@dataclass(frozen=True, slots=True)
class ApplyFleet:
    """Replaces the declared part of the configuration if `expected_version` is current."""

    operation_id: str
    expected_version: int
    fleet: dict[str, Any]
    operator: str = ""


@message
@dataclass(frozen=True, slots=True)
class IssueKey:
    """Adds a key by its digest."""

    operation_id: str
    key_id: str
    team: str
    digest: bytes


@message
@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Ends a key for good."""

    operation_id: str
    key_id: str


@message
@dataclass(frozen=True, slots=True)
class SetDataCentre:
    """Takes a data centre out of service or back."""

    operation_id: str
    name: str
    in_service: bool


@message
@dataclass(frozen=True, slots=True)
class DrainTarget:
    """Drains an instance for the operator, or ends the drain."""

    operation_id: str
    instance: str
    drained: bool
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class OpenSession:
    """Registers a run of an entry.

    An older session of the same entry is retired: nothing can be changed in its name any more, and
    its allotments stay reserved until `CloseSession`, because its tasks may still run.
    """

    entry: str
    session: str
    data_centre: str


@message
@dataclass(frozen=True, slots=True)
class CloseSession:
    """Ends an entry's session and frees its allotments."""

    entry: str
    session: str


@message
@dataclass(frozen=True, slots=True)
class SetAllotment:
    """Sets an entry's part of a team's upper limit, in tasks.

    `sequence` is that of the renewal on which the decision rests. A decision on an older renewal
    than the last one is refused, because the entry may have raised its ceiling since. `held` is the
    amount that the decision replaces; with another one in force it is refused.
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

    `attempt` is unique to one try to claim, so that its resent copy is recognized.
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
    """Stores the answer of a claimed request; None says that it was sent and its answer lost."""

    team: str
    request_id: str
    outcome: Outcome | None
    attempt: str = ""


@message
@dataclass(frozen=True, slots=True)
class CloseClaim:
    """Closes a request that was never sent, so that a late copy cannot run.

    With the `attempt` of an open claim, its holder states that it never sent the request.
    """

    team: str
    request_id: str
    fingerprint: bytes
    at: float
    attempt: str = ""


@message
@dataclass(frozen=True, slots=True)
class ExpireClaims:
    """Removes claims opened before a time, in seconds since the epoch.

    A claim that its holder may still be running stays.
    """

    before: float


@message
@dataclass(frozen=True, slots=True)
class AdmitInstance:
    """Puts an instance seen for the first time into its pool."""

    name: str
    pool_hint: str
    data_centre: str
    rack: str


@message
@dataclass(frozen=True, slots=True)
class BeginMove:
    """Starts draining an instance for another pool."""

    instance: str
    from_pool: str
    to_pool: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class CompleteMove:
    """Changes the pool of a drained instance. `version` identifies the move."""

    instance: str
    to_pool: str
    version: int
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class CancelMove:
    """Ends a move and leaves the instance in its pool."""

    instance: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class PlanMaintenance:
    """Starts maintenance of every instance of some pools; no pools means all."""

    operation_id: str
    pools: tuple[str, ...]
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class ControlMaintenance:
    """Pauses, resumes, cancels or finishes the campaign; `by` is `operator` or `leader`."""

    operation_id: str
    action: str
    reason: str
    by: str = "operator"
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class AdvanceMaintenance:
    """Moves one instance to a phase: pending, draining, rebooting or done."""

    instance: str
    phase: str
    reason: str = ""
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class SetAside:
    """Takes a failing instance out of use, with the reason."""

    instance: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class ReturnInstance:
    """Puts an instance that was set aside back into use."""

    instance: str
    reason: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class RecordHealth:
    """Records a change of an instance's state, incarnation or place."""

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
    """Removes a failed instance for good, so that it no longer counts in its pool's budget."""

    operation_id: str
    instance: str
    at: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class RecordEvent:
    """Records a decision for `geraniumtrack explain`."""

    event: Event
