"""Messages between entries and controllers, and between entries."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from geraniumtrack.protocol.codec import message

__all__ = [
    "AllotmentNotice",
    "Answer",
    "Cancel",
    "Failed",
    "FetchView",
    "Gossip",
    "LeaderHint",
    "PoolLoad",
    "Propose",
    "Proposed",
    "RenewSession",
    "SessionRenewed",
    "Submit",
    "ViewDelta",
]


@message
@dataclass(frozen=True, slots=True)
class LeaderHint:
    """The controller asked does not lead; `leader` is a controller's name or empty."""

    leader: str


@message
@dataclass(frozen=True, slots=True)
class Failed:
    """A request could not be handled; `error` is a reason code."""

    error: str
    message: str


@message
@dataclass(frozen=True, slots=True)
class Propose:
    """Asks the leader to commit a command of `geraniumtrack.state.commands`."""

    command: Any


@message
@dataclass(frozen=True, slots=True)
class Proposed:
    """The result of a committed command."""

    result: Any


@message
@dataclass(frozen=True, slots=True)
class RenewSession:
    """Renews an entry's session.

    Attributes:
        entry: Name of the entry.
        session: Id of this run of the process.
        data_centre: Its data centre.
        version: Version of the configuration view that it has in force.
        sequence: Grows by one with each renewal of this session.
        opening: Whether no renewal of this session was confirmed yet. Only then is it opened;
            otherwise an entry could go on with allotments that a closed session has lost.
        wanted: Slots it could use, by team.
        ceilings: Teams whose allotment may shrink, with the number of tasks that it will not
            exceed until it sees an allotment that rests on this renewal or a later one.
        reports: What the entry observed: `targets`, `loads` and `usage`, with a lag.
    """

    entry: str
    session: str
    data_centre: str
    version: int
    sequence: int
    opening: bool
    wanted: dict[str, int] = field(default_factory=dict)
    ceilings: dict[str, int] = field(default_factory=dict)
    reports: dict[str, Any] = field(default_factory=dict)


@message
@dataclass(frozen=True, slots=True)
class SessionRenewed:
    """The leader's answer, given only under its leader lease.

    Attributes:
        lease_s: Lease of the session, counted by the entry from when it sent the renewal.
        version: Version of the configuration view that the leader has applied.
        allotments: By team: the allotment, and the sequence of the renewal that it rests on.
        reclaim: By team: tasks to which the entry is asked to come down.
    """

    lease_s: float
    version: int
    allotments: dict[str, tuple[int, int]]
    reclaim: dict[str, int] = field(default_factory=dict)


@message
@dataclass(frozen=True, slots=True)
class AllotmentNotice:
    """Tells an entry of a committed allotment or of a reclaim between two renewals."""

    session: str
    allotments: dict[str, tuple[int, int]]
    reclaim: dict[str, int]


@message
@dataclass(frozen=True, slots=True)
class FetchView:
    """Asks for the configuration view, given the version held."""

    since: int


@message
@dataclass(frozen=True, slots=True)
class ViewDelta:
    """Configuration records changed between two versions."""

    since: int
    version: int
    delta: dict[str, Any]


@message
@dataclass(frozen=True, slots=True)
class Submit:
    """A caller's request on its way to the dispatcher of a (pool, data centre).

    `timeout_s` is what remains until its deadline, since clocks differ between processes.
    `task_id` is unique to this copy, and names it in a `Cancel`. `hops` counts how often it was
    forwarded. `generated` tells that the entry made the request id, so that no other copy of the
    request can exist. `may_have_run` tells that an earlier placement of it may have run.
    """

    task_id: str
    request_id: str
    team: str
    queue: str
    urgency: str
    idempotent: bool
    timeout_s: float
    method: str
    path: str
    content_type: str
    body: bytes
    fingerprint: bytes
    hops: int = 0
    generated: bool = False
    may_have_run: bool = False


@message
@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller of a submitted request went away. `task_id` is the sender's."""

    task_id: str


@message
@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool in the data centre of its dispatcher.

    Attributes:
        slots: Slots of the targets that may be used.
        running: Tasks that run.
        queued: Tasks that wait.
        wait_ms: Expected time until a task that arrives now starts.
        run_time_ms: Average run time of a task.
        keyed: Whether the dispatcher has a session, which the tasks of teams need.
    """

    slots: int
    running: int
    queued: int
    wait_ms: int
    run_time_ms: int
    keyed: bool = True


@message
@dataclass(frozen=True, slots=True)
class Gossip:
    """What an entry tells the other entries; `peers` says how often.

    Attributes:
        entry: Name of the sender.
        session: Id of this run of the process.
        data_centre: Its data centre.
        sequence: Grows by one with each gossip of this run.
        version: Version of the configuration view it holds.
        ready: Whether it takes work.
        loads: By pool that it dispatches in its data centre.
        usage: By team: slot-seconds a second, averaged, of the tasks that it dispatched.
    """

    entry: str
    session: str
    data_centre: str
    sequence: int
    version: int
    ready: bool
    loads: dict[str, PoolLoad] = field(default_factory=dict)
    usage: dict[str, float] = field(default_factory=dict)


@message
@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a request: an answer of a target, or a refusal.

    `error` is empty for a target's answer. `run` is `ran`, `not_run`, `running` or `unknown`.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    run: str
    error: str = ""
    message: str = ""
    retry_after_s: float = 0.0
