"""Settings of the scheduling policy: which decisions are in use, and their figures.

A part that is switched off decides as the scheduler did before the part was added. A part that is
switched on takes effect only where the configuration calls for it: weights of teams, priorities of
queues, and the properties of steps.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from geraniumtrack.errors import SettingsError

__all__ = ["DEFAULT_POLICY", "PolicySettings", "load_policy"]


@dataclass(frozen=True, kw_only=True)
class PolicySettings:
    """Settings of the scheduling policy.

    Attributes:
        team_rates: Whether jobs beyond their team's rate come after those within it.
        fair_shares: Whether room that is short goes to the teams below their weighted share.
        refusal: Whether a job that can't be done even late is refused when it is submitted.
        preemption: Whether runs may be stopped for jobs that would miss their deadline.
        learned_durations: Whether declared durations are corrected by observed ones.
        worker_speed: Whether placement takes the speed of workers into account.
        locality_wait: Whether tasks wait for a place near their data or their step's other tasks.
        joint_capacity: Whether the sizes of all pools are planned together.
        spread_factor: How many times as long a task takes away from its data or its step's rack.
        stop_grace_s: Longest time in seconds that a run takes to stop.
        longest_lease_s: Longest lease in seconds that a worker grants its runs; it shortens others.
        checkpoint_interval_s: Work in seconds after which a task saves a checkpoint.
        restore_s: Time in seconds that a task takes to resume from a checkpoint.
        move_s: Time in seconds until an instance that moves is in its new pool.
    """

    team_rates: bool = True
    fair_shares: bool = True
    refusal: bool = True
    preemption: bool = True
    learned_durations: bool = True
    worker_speed: bool = True
    locality_wait: bool = True
    joint_capacity: bool = True
    spread_factor: float = 1.5
    stop_grace_s: float = 1.0
    longest_lease_s: float = 10.0
    checkpoint_interval_s: float = 2.0
    restore_s: float = 0.5
    move_s: float = 1.5


DEFAULT_POLICY = PolicySettings()


class _PolicyFile(BaseModel):
    """The policy file; fields that are left out keep the values given by the deployment."""

    model_config = ConfigDict(extra="forbid", strict=True)

    team_rates: bool | None = None
    fair_shares: bool | None = None
    refusal: bool | None = None
    preemption: bool | None = None
    learned_durations: bool | None = None
    worker_speed: bool | None = None
    locality_wait: bool | None = None
    joint_capacity: bool | None = None


def load_policy(path: Path, defaults: PolicySettings) -> PolicySettings:
    """Reads a policy file in JSON.

    Args:
        path: The file.
        defaults: Values of the fields that the file leaves out.

    Raises:
        SettingsError: If the file cannot be read, or a field is unknown or invalid.
    """
    try:
        body = _PolicyFile.model_validate(orjson.loads(path.read_bytes()))
    except (OSError, orjson.JSONDecodeError) as exc:
        raise SettingsError(
            f"{path} cannot be read: {exc}", remedy="provide a readable JSON file"
        ) from exc
    except ValidationError as exc:
        first = exc.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"]) or "the file"
        raise SettingsError(
            f"{path}: {field} has value {first['input']!r}: {first['msg']}",
            remedy="correct or remove the field",
        ) from exc
    return replace(defaults, **body.model_dump(exclude_none=True))
