"""Settings of the processes that run jobs. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from geraniumtrack.protocol.address import Address, Identity

__all__ = ["CoreSettings", "GatewaySettings"]


@dataclass(frozen=True, kw_only=True)
class _NodeSettings:
    """What both kinds of process need.

    Attributes:
        name: IP address of this process, its name among the others.
        data_centre: Where it runs.
        peer_port: Port of the links between processes, the same on all.
        seeds: IP addresses of some controllers.
        secret: Cluster secret.
    """

    name: str
    data_centre: str
    peer_port: int
    seeds: tuple[str, ...]
    secret: bytes

    def peer_address(self, name: str) -> Address:
        """Returns where the links of a process go."""
        return Address(name, self.peer_port)


@dataclass(frozen=True, kw_only=True)
class GatewaySettings(_NodeSettings):
    """Settings of a process that serves callers."""

    @property
    def identity(self) -> Identity:
        """Who this process is."""
        return Identity(self.name, "entry", self.data_centre)


@dataclass(frozen=True, kw_only=True)
class CoreSettings(_NodeSettings):
    """Settings of a controller that runs jobs.

    Attributes:
        data_folder: Folder of the journal.
        bootstrap: Whether the whole system starts for the first time.
        max_voters: Replicas that vote; one more than twice the losses to be borne.
        replace_after_s: Silence after which a voter is replaced by a learner.
    """

    data_folder: Path
    bootstrap: bool
    max_voters: int
    election_min_s: float = 0.7
    election_max_s: float = 1.2
    heartbeat_s: float = 0.2
    clock_drift: float = 0.02
    snapshot_entries: int = 4096
    replace_after_s: float = 2.5
    group_commit: bool = True

    @property
    def identity(self) -> Identity:
        """Who this process is."""
        return Identity(self.name, "controller", self.data_centre)
