"""What callers and operators sent in a soak, and what they were told."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Cancelling", "ConfigRead", "JobEntry", "KeyCall", "Ledger", "Outage"]


@dataclass(slots=True)
class Cancelling:
    """The cancelling of a job: when it was first sent, and when it was acknowledged."""

    sent_at: float
    acknowledged_at: float | None = None


@dataclass(slots=True)
class JobEntry:
    """A job as its client knows it.

    Attributes:
        steps: As sent.
        statuses: Of all attempts to hand it in; 0 is no answer.
        states: What the client was told, with the time of the answer.
    """

    id: str
    queue: str
    team: str
    spec: str
    steps: list[dict]
    statuses: list[int] = field(default_factory=list)
    accepted_at: float | None = None
    cancelling: Cancelling | None = None
    states: list[tuple[float, str]] = field(default_factory=list)
    unknown_at: list[float] = field(default_factory=list)  # answers that no such job exists

    @property
    def lasting(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return any(step.get("longRunning") for step in self.steps)

    @property
    def refused(self) -> bool:
        """Whether every attempt was answered with a refusal that says it never runs."""
        return bool(self.statuses) and all(status in (429, 503) for status in self.statuses)


@dataclass(slots=True)
class KeyCall:
    """A call with a key that may have been withdrawn."""

    key: str
    sent_at: float
    status: int


@dataclass(slots=True)
class ConfigRead:
    """A read of the configuration that was answered with 200."""

    sent_at: float
    version: int


@dataclass(slots=True)
class Outage:
    """An acknowledged evacuation; `lifted_at` is when its end was first sent."""

    zone: str
    acknowledged_at: float
    lifted_at: float | None = None


@dataclass(slots=True)
class Ledger:
    """Everything that the judge needs besides the workers' record."""

    jobs: dict[str, JobEntry] = field(default_factory=dict)
    versions: dict[int, float] = field(default_factory=dict)  # acknowledged, with the time
    withdrawn: dict[str, float] = field(default_factory=dict)  # keys, with the time
    key_calls: list[KeyCall] = field(default_factory=list)
    reads: list[ConfigRead] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    unread_config: bool = False  # at the end no node gave the configuration
