"""HTTP interface of an entry on which targets announce themselves."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Any

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from twisted.web.http import Request

from geraniumtrack.coordination.fleet.membership import Announcement
from geraniumtrack.protocol.http import json_body, reply_json, with_json_errors

__all__ = ["AnnouncementApi", "AnnouncementModel"]

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.-]*$"
MAX_ANNOUNCEMENT_BYTES = 64 * 1024


class AnnouncementModel(BaseModel):
    """Request body of `POST /v1/targets/announce`; see docs/interfaces.md."""

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    name: str = Field(pattern=NAME_PATTERN, max_length=64)
    data_centre: str = Field(pattern=NAME_PATTERN, max_length=64)
    rack: str = Field("", max_length=64)
    address: str = Field(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")
    pool: str = Field("", max_length=64)
    slots: int = Field(ge=1, le=1024)
    connections: int = Field(64, ge=1, le=65535)
    incarnation: int = Field(ge=0, lt=2**63)
    leaving: bool = False
    running: tuple[Annotated[str, Field(max_length=128)], ...] = Field((), max_length=1024)
    usage: float = Field(0.0, ge=0)

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.partition(":")
        IPv4Address(host)
        if not 1 <= int(port) <= 65535:
            raise ValueError("port must be 1 to 65535")
        return value


class AnnouncementApi:
    """Routes of the target interface, below `/v1/targets`.

    Args:
        entry: The entry. `handle_announcement(Announcement)` handles an announcement.
    """

    app = with_json_errors(Klein())

    def __init__(self, entry: Any) -> None:
        self._entry = entry

    @app.route("/announce", methods=["POST"])
    def announce(self, req: Request) -> bytes:
        """Validates the announcement of a target and passes it to the entry."""
        body = json_body(req, MAX_ANNOUNCEMENT_BYTES)
        try:
            model = AnnouncementModel.model_validate(body)
        except ValidationError as exc:
            first = exc.errors()[0]
            field_path = ".".join(map(str, first["loc"])) or "body"
            message = f"field {field_path}: {first['msg']}; see docs/interfaces.md"
            return reply_json(req, 400, {"error": "bad_announcement", "message": message})
        self._entry.handle_announcement(Announcement(**model.model_dump()))
        return reply_json(req, 200, {"ok": True})
