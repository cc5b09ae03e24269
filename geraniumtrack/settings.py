"""Validated settings of the daemons; each daemon reads one JSON file."""

from __future__ import annotations

import json
import stat
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from geraniumtrack import logs
from geraniumtrack.errors import SettingsError
from geraniumtrack.protocol.address import Address, Identity

__all__ = [
    "ControllerSettings",
    "EntrySettings",
    "Listen",
    "PeerSettings",
    "load_settings",
    "read_secret",
    "validate_settings",
]

MIN_SECRET_BYTES = 16


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listen(_Model):
    """An IP address and a port."""

    host: IPv4Address
    port: int = Field(ge=1, le=65535)

    @property
    def address(self) -> Address:
        """Host and port as a named tuple."""
        return Address(str(self.host), self.port)


class PeerSettings(Listen):
    """A process of the cluster, which may be this one, and the address of its peer port."""

    name: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)


class _DaemonSettings(_Model):
    """Settings that both daemons have."""

    name: str = Field(min_length=1, pattern=r"^[A-Za-z0-9_-]+$")
    data_centre: str = Field(min_length=1)
    peer_listen: Listen
    http_listen: Listen
    secret_file: Path
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    trace_file: Path | None = None
    trace_sample_rate: float = Field(1.0, ge=0, le=1)
    controllers: list[PeerSettings] = Field(min_length=1)
    max_connections: int = Field(1000, ge=1)
    max_buffered_bytes: int = Field(64 * 1024 * 1024, ge=16 * 1024 * 1024)

    @property
    def identity(self) -> Identity:
        """Name, kind and data centre of this process."""
        return Identity(self.name, self.kind, self.data_centre)


class ControllerSettings(_DaemonSettings):
    """Settings of `geraniumtrack controller`. All times are in seconds."""

    kind: Literal["controller"]
    data_folder: Path
    election_min_s: float = Field(1.0, gt=0)
    election_max_s: float = Field(2.0, gt=0)
    heartbeat_s: float = Field(0.25, gt=0)
    session_lease_s: float = Field(5.0, gt=0)
    task_lease_s: float = Field(10.0, gt=0)
    clock_drift: float = Field(0.01, ge=0, lt=0.5)
    snapshot_entries: int = Field(4096, ge=16)
    group_commit: bool = True
    replace_after_s: float = Field(5.0, gt=0)
    max_voters: int = Field(0, ge=0)
    platform_url: str = ""

    @model_validator(mode="after")
    def _check_timing(self) -> ControllerSettings:
        if self.election_max_s <= self.election_min_s:
            raise ValueError("election_max_s must be greater than election_min_s")
        if self.heartbeat_s * 3 > self.election_min_s:
            raise ValueError("heartbeat_s must be at most a third of election_min_s")
        if self.name not in {peer.name for peer in self.controllers}:
            raise ValueError("controllers must list this controller too")
        return self


class EntrySettings(_DaemonSettings):
    """Settings of `geraniumtrack entry`. All times are in seconds.

    `key_freshness_s` is the maximum age of the authority (see `coordination.limits.authority`)
    with which an entry accepts keys. A peer entry that reaches the controllers may relay its
    authority. A longer time lets a disconnected entry accept keys for longer, and also withdrawn
    ones.

    A stopping entry accepts requests for another `settle_s`, and then waits up to `drain_s` for the
    unfinished ones.
    """

    kind: Literal["entry"]
    entries: list[PeerSettings] = []
    renew_s: float = Field(1.0, gt=0)
    session_lease_s: float = Field(5.0, gt=0)
    task_lease_s: float = Field(10.0, gt=0)
    key_freshness_s: float = Field(6.0, gt=0)
    clock_drift: float = Field(0.01, ge=0, lt=0.5)
    default_timeout_s: float = Field(30.0, gt=0)
    max_body_bytes: int = Field(1024 * 1024, ge=1)
    settle_s: float = Field(2.0, ge=0)
    drain_s: float = Field(24 * 3600.0, gt=0)

    @model_validator(mode="after")
    def _check_leases(self) -> EntrySettings:
        if self.renew_s * 2 > self.session_lease_s:
            raise ValueError("renew_s must be at most half of session_lease_s")
        return self


Settings = TypeVar("Settings", ControllerSettings, EntrySettings)


def load_settings(path: str | Path, model: type[Settings]) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: If the file cannot be read or a setting is invalid; the message names file,
            field, value and remedy.
    """
    try:
        body = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as exc:
        raise SettingsError(
            f"{path} cannot be read: {exc}", remedy="give a readable JSON file"
        ) from exc
    return validate_settings(path, body, model)


def validate_settings(path: str | Path, body: Any, model: type[Settings]) -> Settings:
    """Validates the content of a settings file.

    Raises:
        SettingsError: If a setting is invalid; the message names file, field, value and remedy.
    """
    try:
        return model.model_validate(body)
    except ValidationError as exc:
        first = exc.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "file"
        raise SettingsError(
            f"{path}: field {where} has value {first['input']!r}: {first['msg']}",
            remedy="correct the field; docs/OPERATIONS.md lists the settings",
        ) from exc


def read_secret(path: Path) -> bytes:
    """Reads the cluster secret.

    Raises:
        SettingsError: If the file cannot be read or the secret is too short.
    """
    try:
        secret = path.read_bytes().strip()
    except OSError as exc:
        raise SettingsError(
            f"secret_file {path} cannot be read: {exc}",
            remedy="create it on every machine that runs an entry or a controller",
        ) from exc
    if path.stat().st_mode & stat.S_IROTH:
        remedy = f"run chmod 600 {path}"
        logs.warn("secret_world_readable", file=path, detail=remedy)
    if len(secret) < MIN_SECRET_BYTES:
        raise SettingsError(
            f"secret_file {path} has only {len(secret)} bytes",
            remedy=f"write at least {MIN_SECRET_BYTES} random bytes",
        )
    return secret
