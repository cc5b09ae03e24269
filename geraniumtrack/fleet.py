"""The operator library: a fleet written as typed Python that prints its JSON.

An operator's file builds a `Fleet` and prints it; `geraniumtrack apply` reads that output.
"""

from __future__ import annotations

import json
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from geraniumtrack.errors import SettingsError

__all__ = ["DataCentre", "Fleet", "Pool", "Queue", "Team", "parse_fleet"]

NAME = r"^[A-Za-z0-9][A-Za-z0-9_-]*$"


class _Declared(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=NAME, max_length=64)


class DataCentre(_Declared):
    """A failure domain with its own entries and targets."""

    region: str = ""


class Pool(_Declared):
    """A set of instances.

    `max_unavailable` is the availability budget, in instances. A spare pool lends its instances.
    """

    max_unavailable: int = Field(1, ge=0)
    spare: bool = False


class Queue(_Declared):
    """A named entrance to a pool; an open queue needs no key."""

    pool: str
    open: bool = False
    idempotent: bool = False
    urgency: Literal["urgent", "normal", "long"] = "normal"
    max_length: int = Field(1000, ge=1)


class Team(_Declared):
    """A customer: its weight when all is full, and the most tasks it may run at once."""

    share: float = Field(1.0, gt=0)
    limit: int = Field(8, ge=0)


class Fleet(BaseModel):
    """A whole declared fleet. Names are unique and references must resolve."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    data_centres: list[DataCentre] = Field(min_length=1)
    pools: list[Pool] = Field(min_length=1)
    queues: list[Queue] = []
    teams: list[Team] = []

    @model_validator(mode="after")
    def _check_names(self) -> Fleet:
        for section in ("data_centres", "pools", "queues", "teams"):
            names = [item.name for item in getattr(self, section)]
            doubled = {name for name in names if names.count(name) > 1}
            if doubled:
                raise ValueError(f"{section} declares {sorted(doubled)} twice")
        pools = {pool.name for pool in self.pools}
        for queue in self.queues:
            if queue.pool not in pools:
                raise ValueError(f"queue {queue.name!r} names unknown pool {queue.pool!r}")
        return self

    def to_json(self) -> str:
        """Returns the JSON that `geraniumtrack apply` reads."""
        return json.dumps(self.model_dump(), indent=2)


def parse_fleet(body: Any) -> dict[str, Any]:
    """Validates a fleet and returns it as plain values.

    Raises:
        SettingsError: Names the offending part.
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
