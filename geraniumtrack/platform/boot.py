"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from geraniumtrack.errors import SettingsError
from geraniumtrack.jobs.policy import PolicySettings, load_policy
from geraniumtrack.jobs.settings import CoreSettings, GatewaySettings
from geraniumtrack.protocol.address import Address

__all__ = ["BootSettings", "load_boot_settings"]

PATH_ENV_VAR = "GERANIUMTRACK_BOOT"
POLICY_ENV_VAR = "GERANIUMTRACK_POLICY"
DEFAULT_PATH = "/etc/geraniumtrack/boot.toml"
MS_PER_S = 1000
BYTES_PER_MB = 1024 * 1024
# One part in so many of the spare memory is for the calls in progress, and for jobs.
CALL_SHARE = 4
JOB_SHARE = 2
IDLE_PROCESS_MB = 72  # an entry or a controller without callers and jobs, with its code
MIN_SPARE_MB = 16
# A constant, because the platform provides no secret and only its machines can reach the internal
# ports. The handshake still rejects unrelated processes and other protocol versions.
CLUSTER_SECRET = b"geraniumtrack internal links"


def _check_address(text: str) -> str:
    """Returns an address; raises ValueError if it has no host or its port is no number."""
    if not parse_address(text).host:
        raise ValueError("an address has the form host:port")
    return text


class _Table(BaseModel):
    """A table of the settings file; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)


class _BindAddresses(_Table):
    """Addresses to listen on.

    Attributes:
        front: Address for callers.
        ready: Address for readiness checks.
        control: Address for workers and operators.
    """

    front: str = ""
    ready: str = ""
    control: str = ""


class _FaultTolerance(_Table):
    """Failures that the system must tolerate.

    Attributes:
        machines: Number of machines that may fail at the same time.
    """

    machines: int = 1


class _Bounds(_Table):
    """Time limits of the platform.

    Attributes:
        grace_s: Time in seconds that a process has to stop before the platform kills it.
        enforces_fencing: Whether the machine API compares fencing tokens. Workers always do.
        spread_factor: How many times as long a task takes away from its data or its step's rack.
        stop_grace_ms: Longest time that a run takes to stop.
        longest_lease_ms: Longest lease that a worker grants its runs.
        checkpoint_interval_s: Work in seconds after which a task saves a checkpoint.
        restore_ms: Time that a task takes to resume from a checkpoint.
        move_s: Time in seconds until an instance that moves is in its new pool.
    """

    grace_s: float = Field(6.0, alias="graceS")
    enforces_fencing: bool = Field(False, alias="enforceFencing")
    spread_factor: float = Field(1.5, alias="spreadFactor", ge=1)
    stop_grace_ms: float = Field(1000, alias="stopGraceMs", ge=0)
    longest_lease_ms: float = Field(10_000, alias="maxHoldMs", gt=0)
    checkpoint_interval_s: float = Field(2.0, alias="checkpointIntervalS", gt=0)
    restore_ms: float = Field(500, alias="restoreMs", ge=0)
    move_s: float = Field(1.5, alias="migrationS", ge=0)


class _MachineLimits(_Table):
    """Limits of the machine for each process.

    Attributes:
        memory_mb: Memory in MB, beyond which the platform kills the process.
        max_descriptors: Maximum number of open descriptors.
    """

    memory_mb: float = Field(200, alias="memoryMb", gt=0)
    max_descriptors: int = Field(4096, alias="maxFds", gt=0)

    @property
    def spare_bytes(self) -> int:
        """Memory beside that of a process without callers."""
        return int(max(self.memory_mb - IDLE_PROCESS_MB, MIN_SPARE_MB) * BYTES_PER_MB)


class _CloudApi(_Table):
    """The machine API."""

    address: str = ""


class BootSettings(_Table):
    """Settings that the platform gives to a process.

    Attributes:
        node: Name of the machine.
        ip: IP address of the machine.
        data_centre: Data centre, which the platform calls zone.
        ports: First and last port for internal use.
        seeds: Addresses at which some controllers serve workers and operators.
        bootstrap: Whether the whole system starts for the first time.
        data_folder: Folder on the persistent disk, or an empty string without a disk.
        advice: Address of the policy service, or an empty string without one.
        bind: Addresses to listen on.
        tolerance: Failures that the system must tolerate.
        bounds: Time limits of the platform.
        limits: Limits of the machine for each process.
        machines: The machine API.
    """

    node: str = Field(alias="nodeName")
    ip: str
    data_centre: str = Field(alias="zone")
    ports: tuple[int, int] = Field(alias="internalPortRange")
    seeds: tuple[Annotated[str, AfterValidator(_check_address)], ...]
    bootstrap: bool = False
    data_folder: str = Field("", alias="dataDir")
    advice: str = ""
    bind: _BindAddresses = Field(default=_BindAddresses(), alias="bindAddresses")
    tolerance: _FaultTolerance = Field(default=_FaultTolerance(), alias="faultTolerance")
    bounds: _Bounds = _Bounds()
    limits: _MachineLimits = _MachineLimits()
    machines: _CloudApi = Field(default=_CloudApi(), alias="cloudApi")

    @property
    def seed_names(self) -> tuple[str, ...]:
        """Names of the seeds in the cluster, which are their IP addresses."""
        return tuple(parse_address(seed).host for seed in self.seeds)

    def gateway_settings(self) -> GatewaySettings:
        """Returns the settings of an entry."""
        return GatewaySettings(
            **self._node_settings(), max_call_bytes=self.limits.spare_bytes // CALL_SHARE
        )

    def core_settings(self) -> CoreSettings:
        """Returns the settings of a controller."""
        return CoreSettings(
            **self._node_settings(),
            data_folder=Path(self.data_folder),
            bootstrap=self.bootstrap,
            max_voters=2 * self.tolerance.machines + 1,
            instance_orders_fenced=self.bounds.enforces_fencing,
            policy=self.policy_settings(),
            max_job_bytes=self.limits.spare_bytes // JOB_SHARE,
        )

    def policy_settings(self) -> PolicySettings:
        """Returns the policy settings, with the switches of the policy file if there is one.

        Raises:
            SettingsError: If the policy file cannot be read or a field is invalid.
        """
        settings = PolicySettings(
            spread_factor=self.bounds.spread_factor,
            stop_grace_s=self.bounds.stop_grace_ms / MS_PER_S,
            longest_lease_s=self.bounds.longest_lease_ms / MS_PER_S,
            checkpoint_interval_s=self.bounds.checkpoint_interval_s,
            restore_s=self.bounds.restore_ms / MS_PER_S,
            move_s=self.bounds.move_s,
        )
        path = os.environ.get(POLICY_ENV_VAR, "")
        return load_policy(Path(path), settings) if path else settings

    def _node_settings(self) -> dict:
        return {
            "name": self.ip,
            "data_centre": self.data_centre,
            "peer_port": self.ports[0],
            "seeds": self.seed_names,
            "secret": CLUSTER_SECRET,
        }


def load_boot_settings() -> BootSettings:
    """Reads the settings file, at the path in `GERANIUMTRACK_BOOT` or the default path.

    Raises:
        SettingsError: If the file cannot be read or a field is invalid.
    """
    path = os.environ.get(PATH_ENV_VAR, DEFAULT_PATH)
    try:
        body = tomllib.loads(Path(path).read_text())
        return BootSettings.model_validate(body)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise SettingsError(
            f"{path} cannot be read: {exc}", remedy="provide a readable TOML file"
        ) from exc
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise SettingsError(
            f"{path}: field {field} has value {first['input']!r}: {first['msg']}",
            remedy="correct the field",
        ) from exc


def parse_address(text: str) -> Address:
    """Parses an address of the form `host:port`."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
