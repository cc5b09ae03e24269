"""Messages between entries about restrictions and relayed authority."""

from __future__ import annotations

from dataclasses import dataclass

from geraniumtrack.protocol.codec import message

__all__ = [
    "RESTRICTION_KINDS",
    "RelayAuthority",
    "RelayedAuthority",
    "Restriction",
    "ShareRestrictions",
]

RESTRICTION_KINDS = ("key", "data_centre", "target")


@message
@dataclass(frozen=True, slots=True)
class Restriction:
    """A withdrawn key, a data centre taken out of service, or a drained target.

    Attributes:
        operation_id: Operation of the operator; the controllers commit it under the same id.
        kind: `key`, `data_centre` or `target`.
        name: Key id, or name of the data centre or target.
        version: Version of the configuration view that contains it; 0 while that is not known.
    """

    operation_id: str
    kind: str
    name: str
    version: int = 0


@message
@dataclass(frozen=True, slots=True)
class ShareRestrictions:
    """Restrictions that the sender holds, and versions of those that it has seen committed."""

    restrictions: tuple[Restriction, ...]


@message
@dataclass(frozen=True, slots=True)
class RelayAuthority:
    """Asks a peer how old its authority is."""


@message
@dataclass(frozen=True, slots=True)
class RelayedAuthority:
    """The age of the peer's authority in seconds, and the view version that it holds."""

    age_s: float
    version: int
