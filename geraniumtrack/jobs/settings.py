"""Settings of the processes that accept and schedule jobs. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.protocol.address import Address, Identity

__all__ = ["CoreSettings", "GatewaySettings"]


@dataclass(frozen=True, kw_only=True)
class _NodeSettings:
    """Settings that entries and controllers have in common.

    Attributes:
        name: IP address of this process, which is also its name in the cluster.
        data_centre: Data centre of this process.
        peer_port: Port for links between processes, the same in all of them.
        seeds: IP addresses of controllers to connect to first.
        secret: Secret shared by the cluster, with which links are authenticated.
    """

    name: str
    data_centre: str
    peer_port: int
    seeds: tuple[str, ...]
    secret: bytes

    def peer_address(self, name: str) -> Address:
        """Returns the address on which a process accepts links."""
        return Address(name, self.peer_port)


@dataclass(frozen=True, kw_only=True)
class GatewaySettings(_NodeSettings):
    """Settings of an entry, a process that serves callers.

    Attributes:
        max_calls: Maximum number of calls that are forwarded to the owner at the same time.
        max_call_bytes: Maximum memory that these calls occupy.
    """

    max_calls: int = 512
    max_call_bytes: int = 16 * 1024 * 1024

    @property
    def identity(self) -> Identity:
        """Identity that this process presents on links."""
        return Identity(self.name, "entry", self.data_centre)


@dataclass(frozen=True, kw_only=True)
class CoreSettings(_NodeSettings):
    """Settings of a controller that schedules jobs.

    Attributes:
        data_folder: Folder of the journal and the snapshots.
        bootstrap: Whether the whole system starts for the first time.
        max_voters: Maximum number of voting replicas; 2f + 1 tolerate the loss of f.
        election_min_s: Minimum election timeout.
        election_max_s: Maximum election timeout; each timeout is chosen at random in this range.
        heartbeat_s: Interval between the leader's heartbeats.
        clock_drift: Upper bound on the relative drift between clocks, by which the leadership lease
            is shortened.
        snapshot_entries: Number of log entries applied since the last snapshot after which a new
            one is written.
        replace_after_s: Time without a reply after which a voter counts as unresponsive and may be
            replaced by a learner.
        group_commit: Whether log records are written and synced together rather than one by one.
        instance_orders_fenced: Whether the machine API rejects an order whose fencing token is
            lower than that of an earlier order for the same instance.
        policy: Settings of the scheduling policy.
        max_job_bytes: Memory for jobs, active and ended. A job is refused if it would take more
            than half of what is left.
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
    instance_orders_fenced: bool = True
    policy: PolicySettings = PolicySettings()
    max_job_bytes: int = 64 * 1024 * 1024

    @property
    def identity(self) -> Identity:
        """Identity that this process presents on links."""
        return Identity(self.name, "controller", self.data_centre)
