"""What the clients and the operator of a soak sent, and which answers they received.

All times are seconds of the reactor's clock, as in the recorded runs of the workers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Cancellation", "ConfigRead", "JobHistory", "KeyCall", "History", "ObservedEvacuation"]


@dataclass(slots=True)
class Cancellation:
    """Cancellation of a job.

    Attributes:
        sent_at: Time of the first request.
        acknowledged_at: Time of the acknowledgement; None if there was none.
    """

    sent_at: float
    acknowledged_at: float | None = None


@dataclass(slots=True)
class JobHistory:
    """A job as its client knows it.

    Attributes:
        id: Id of the job.
        queue: Name of the queue.
        team: Name of the team.
        spec: Specification of the tasks, in JSON.
        steps: Steps as they were submitted.
        statuses: HTTP statuses of all attempts to submit the job; 0 for no answer.
        accepted_at: Time of the answer with status 200; None if there was none.
        cancellation: Cancellation of the job; None if its client has not cancelled it.
        states: Reported states with the times of the answers.
        unknown_at: Times of the answers that there is no such job.
    """

    id: str
    queue: str
    team: str
    spec: str
    steps: list[dict]
    statuses: list[int] = field(default_factory=list)
    accepted_at: float | None = None
    cancellation: Cancellation | None = None
    states: list[tuple[float, str]] = field(default_factory=list)
    unknown_at: list[float] = field(default_factory=list)

    @property
    def is_service(self) -> bool:
        """Whether the job has service tasks, which run until it is cancelled."""
        return any(step.get("longRunning") for step in self.steps)

    @property
    def rejected(self) -> bool:
        """Whether every attempt to submit the job was rejected, so that it must never run."""
        return bool(self.statuses) and all(status in (429, 503) for status in self.statuses)


@dataclass(slots=True)
class KeyCall:
    """An answered call with a key that may have been withdrawn."""

    key: str
    sent_at: float
    status: int


@dataclass(slots=True)
class ConfigRead:
    """A read of the configuration that was answered with status 200."""

    sent_at: float
    version: int


@dataclass(slots=True)
class ObservedEvacuation:
    """An acknowledged evacuation of a data centre.

    Attributes:
        zone: Name of the data centre.
        acknowledged_at: Time of the acknowledgement.
        lifted_at: Time of the first request to end the evacuation; None before it.
    """

    zone: str
    acknowledged_at: float
    lifted_at: float | None = None


@dataclass(slots=True)
class History:
    """All observations of clients and operator that are checked.

    Attributes:
        jobs: Submitted jobs by id.
        versions: Times at which versions of the configuration were acknowledged.
        withdrawn: Times at which the withdrawal of keys was acknowledged.
        key_calls: Answered calls with keys that may have been withdrawn.
        reads: Answered reads of the configuration.
        evacuations: Acknowledged evacuations.
        unread_config: Whether no controller returned the configuration at the end of the soak.
    """

    jobs: dict[str, JobHistory] = field(default_factory=dict)
    versions: dict[int, float] = field(default_factory=dict)
    withdrawn: dict[str, float] = field(default_factory=dict)
    key_calls: list[KeyCall] = field(default_factory=list)
    reads: list[ConfigRead] = field(default_factory=list)
    evacuations: list[ObservedEvacuation] = field(default_factory=list)
    unread_config: bool = False
