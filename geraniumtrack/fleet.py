"""The operator library: declares a fleet in typed Python and prints it as JSON.

An operator's script builds a `Fleet` and prints its `to_json`, which `geraniumtrack apply` reads.
"""

from __future__ import annotations

import json
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from geraniumtrack.errors import SettingsError

__all__ = ["DataCentre", "Fleet", "Pool", "Queue", "Team", "parse_fleet"]

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_-]*$"


class _NamedRecord(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=NAME_PATTERN, max_length=64)


class DataCentre(_NamedRecord):
    """A failure domain with its own entries and targets."""

    region: str = ""


class Pool(_NamedRecord):
    """A set of instances.

    `max_unavailable` is the availability budget: the number of instances that may be unavailable at
    once. A spare pool lends its instances to other pools.
    """

    max_unavailable: int = Field(1, ge=0)
    spare: bool = False


class Queue(_NamedRecord):
    """A named queue of requests for a pool; an open queue accepts requests without a key."""

    pool: str
    open: bool = False
    idempotent: bool = False
    urgency: Literal["urgent", "normal", "long"] = "normal"
    max_length: int = Field(1000, ge=1)


class Team(_NamedRecord):
    """A customer.

    `share` is its weight when teams compete for slots, `limit` the number of tasks that it may run
    at once.
    """

    share: float = Field(1.0, gt=0)
    limit: int = Field(8, ge=0)


class Fleet(BaseModel):
    """A declared fleet.

    Names must be unique within their section, and queues must name declared pools.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    data_centres: list[DataCentre] = Field(min_length=1)
    pools: list[Pool] = Field(min_length=1)
    queues: list[Queue] = []
    teams: list[Team] = []

    @model_validator(mode="after")
    def _check_names(self) -> Fleet:
        for section in ("data_centres", "pools", "queues", "teams"):
            names = [item.name for item in getattr(self, section)]
            duplicates = {name for name in names if names.count(name) > 1}
            if duplicates:
                raise ValueError(f"{section} declares {sorted(duplicates)} more than once")
        pools = {pool.name for pool in self.pools}
        for queue in self.queues:
            if queue.pool not in pools:
                raise ValueError(f"queue {queue.name!r} names unknown pool {queue.pool!r}")
        return self

    def to_json(self) -> str:
        """Returns the JSON that `geraniumtrack apply` reads."""
        return json.dumps(self.model_dump(), indent=2)


def parse_fleet(body: Any) -> dict[str, Any]:
    """Validates a fleet and returns it as dicts and lists.

    Raises:
        SettingsError: If the fleet is invalid; the message names the field.
    """
    try:
        return Fleet.model_validate(body).model_dump()
    except ValidationError as exc:
        first = exc.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "fleet"
        raise SettingsError(
            f"fleet is invalid at {where}: {first['msg']}", remedy="correct it and apply again"
        ) from exc


if __name__ == "__main__":
    print(
        Fleet(
            data_centres=[DataCentre(name="dc1"), DataCentre(name="dc2")],
            pools=[Pool(name="proofs"), Pool(name="back-office", spare=True)],
            queues=[Queue(name="proofs", pool="proofs", urgency="urgent", idempotent=True)],
            teams=[Team(name="acme", share=2.0, limit=32)],
        ).to_json()
    )
