"""Messages between entries about restrictions and relayed authority.

The authority of an entry is how recently a leader confirmed the entry's session, or that of a peer
whose authority was relayed to the entry (see `coordination.limits.authority`). An entry whose
authority is too old asks its peers for theirs.
"""

from __future__ import annotations

from dataclasses import dataclass

from geraniumtrack.protocol.codec import message

__all__ = [
    "RelayAuthority",
    "RelayedAuthority",
    "Restriction",
    "ShareRestrictions",
]


@message
@dataclass(frozen=True, slots=True)
class Restriction:
    """Stops the use of a key, data centre or target; entries apply it before it is committed.

    Attributes:
        operation_id: Id of the operation; the controllers commit it under the same id.
        kind: What is restricted: `key` (withdrawn), `data_centre` (evacuated) or `target`
            (drained).
        name: Id of the key, or name of the data centre or target.
        version: Version of the configuration view from which on the view contains the
            restriction; 0 while that version is unknown.
    """

    operation_id: str
    kind: str
    name: str
    version: int = 0


@message
@dataclass(frozen=True, slots=True)
class ShareRestrictions:
    """Restrictions that the sender applies, with `version` set in those known to be committed."""

    restrictions: tuple[Restriction, ...]


@message
@dataclass(frozen=True, slots=True)
class RelayAuthority:
    """Asks a peer for the age of its authority. The reply is a `RelayedAuthority`."""


@message
@dataclass(frozen=True, slots=True)
class RelayedAuthority:
    """Reply to `RelayAuthority`.

    Attributes:
        age_s: Age of the replying peer's authority: an upper bound on the seconds since a leader
            last confirmed the session of that peer, or of one that relayed its authority to it.
        version: Version of the configuration view that the replying peer has installed. The
            authority counts only once the asking entry has installed this version too.
    """

    age_s: float
    version: int
