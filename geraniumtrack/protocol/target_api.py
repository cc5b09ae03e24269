"""HTTP interface of an entry for targets: announcements."""

from __future__ import annotations

from typing import Any

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.web.http import Request

from geraniumtrack.coordination.membership import Announcement
from geraniumtrack.protocol.http import json_body, reply_json

__all__ = ["AnnouncementModel", "TargetApi"]

MAX_ANNOUNCEMENT_BYTES = 64 * 1024


class AnnouncementModel(BaseModel):
    """An announcement as it arrives; see docs/interfaces.md."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str = Field(min_length=1, max_length=64)
    data_centre: str = Field(min_length=1)
    rack: str = ""
    address: str = Field(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")
    pool: str = ""
    slots: int = Field(ge=1, le=1024)
    connections: int = Field(64, ge=1)
    incarnation: int = Field(ge=0)
    leaving: bool = False
    running: tuple[str, ...] = ()
    usage: float = Field(0.0, ge=0)


class TargetApi:
    """Routes of the target interface, below `/v1/targets`.

    Args:
        entry: The entry; `announced(Announcement)` takes an announcement.
    """

    app = Klein()

    def __init__(self, entry: Any) -> None:
        self._entry = entry

    @app.route("/announce", methods=["POST"])
    def announce(self, req: Request) -> bytes:
        """Takes a target's announcement."""
        body = json_body(req, MAX_ANNOUNCEMENT_BYTES)
        try:
            model = AnnouncementModel.model_validate(body)
        except ValidationError as exc:
            first = exc.errors()[0]
            message = f"field {'.'.join(map(str, first['loc']))}: {first['msg']}"
            return reply_json(req, 400, {"error": "bad_announcement", "message": message})
        self._entry.announced(Announcement(**model.model_dump()))
        return reply_json(req, 200, {"ok": True})
