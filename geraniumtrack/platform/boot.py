"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from geraniumtrack.errors import SettingsError
from geraniumtrack.jobs.settings import CoreSettings, GatewaySettings
from geraniumtrack.protocol.address import Address

__all__ = ["Boot", "load_boot"]

PATH_VARIABLE = "GERANIUMTRACK_BOOT"
DEFAULT_PATH = "/etc/geraniumtrack/boot.toml"
# The platform hands out no secret, and only the platform's machines reach the internal ports. The
# handshake still keeps strangers and other versions apart.
CLUSTER_SECRET = b"geraniumtrack internal links"


class _Table(BaseModel):
    """A table of the file; fields that are not known are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)


class _BindAddresses(_Table):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Tolerance(_Table):
    machines: int = 1


class _Bounds(_Table):
    grace_s: float = Field(6.0, alias="graceS")
    migration_s: float = Field(1.5, alias="migrationS")
    maintenance_s: float = Field(2.0, alias="maintenanceS")
    notice_ms: float = Field(4500, alias="noticeMs")
    max_hold_ms: float = Field(6000, alias="maxHoldMs")
    checkpoint_interval_s: float = Field(1.0, alias="checkpointIntervalS")


class _CloudApi(_Table):
    address: str = ""
    calls_per_s: float = Field(64.0, alias="dutyPerS")
    readings_per_s: float = Field(64.0, alias="ratePerS")


class Boot(_Table):
    """What the platform tells a process.

    Attributes:
        node: Name of the machine.
        ip: Its address.
        data_centre: The platform's zone.
        ports: First and last internal port.
        seeds: Addresses at which some controllers serve workers and operators.
        bootstrap: Whether the whole system starts for the first time.
        data_folder: Folder on the disk; empty where there is none.
        advice: Address of the policy service; empty where there is none.
    """

    node: str = Field(alias="nodeName")
    ip: str
    data_centre: str = Field(alias="zone")
    ports: tuple[int, int] = Field(alias="internalPortRange")
    seeds: tuple[str, ...]
    bootstrap: bool = False
    data_folder: str = Field("", alias="dataDir")
    advice: str = ""
    bind: _BindAddresses = Field(default=_BindAddresses(), alias="bindAddresses")
    tolerance: _Tolerance = Field(default=_Tolerance(), alias="faultTolerance")
    bounds: _Bounds = _Bounds()
    machines: _CloudApi = Field(default=_CloudApi(), alias="cloudApi")

    @property
    def seed_names(self) -> tuple[str, ...]:
        """Names of the seeds among our processes, which are their IP addresses."""
        return tuple(parse_address(seed).host for seed in self.seeds)

    def gateway_settings(self) -> GatewaySettings:
        """Returns the settings of a process that serves callers."""
        return GatewaySettings(**self._node_settings())

    def core_settings(self) -> CoreSettings:
        """Returns the settings of a controller."""
        return CoreSettings(
            **self._node_settings(),
            data_folder=Path(self.data_folder),
            bootstrap=self.bootstrap,
            max_voters=2 * self.tolerance.machines + 1,
        )

    def _node_settings(self) -> dict:
        return {
            "name": self.ip,
            "data_centre": self.data_centre,
            "peer_port": self.ports[0],
            "seeds": self.seed_names,
            "secret": CLUSTER_SECRET,
        }


def load_boot() -> Boot:
    """Reads the settings file.

    Raises:
        SettingsError: Names file, field, value and remedy.
    """
    path = os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        body = tomllib.loads(Path(path).read_text())
        return Boot.model_validate(body)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path} cannot be read: {exc}", remedy="write a TOML file") from exc
    except ValidationError as exc:
        first = exc.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise SettingsError(
            f"{path}: field {where} has value {first['input']!r}: {first['msg']}",
            remedy="correct the field",
        ) from exc


def parse_address(text: str) -> Address:
    """Returns the address in a text of host, colon and port."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
