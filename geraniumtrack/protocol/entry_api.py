"""HTTP interface of an entry for operators: applies restrictions and returns the status."""

from __future__ import annotations

from typing import Any, Literal

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.web.http import Request

from geraniumtrack.protocol.http import check_operator_token, json_body, reply_json
from geraniumtrack.protocol.restriction_messages import Restriction
from geraniumtrack.sentinels import is_absent

__all__ = ["RestrictionModel", "add_entry_api"]

MAX_BODY_BYTES = 4096


class RestrictionModel(BaseModel):
    """Request body of `POST /v1/restrictions`."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    operation_id: str = Field(min_length=1, max_length=128)
    kind: Literal["key", "data_centre", "target"]
    name: str = Field(min_length=1, max_length=128)


def add_entry_api(app: Klein, entry: Any, secret: bytes) -> None:
    """Adds `POST /v1/restrictions` and `GET /v1/status`.

    Args:
        app: Application of the entry.
        entry: The entry. `restrict(Restriction)` applies a restriction, `status(operation_id)`
            returns the state of the entry and whether that operation is applied.
        secret: Cluster secret, from which the operator token is derived.
    """

    @app.route("/v1/restrictions", methods=["POST"])
    def restrictions(req: Request) -> bytes:
        return check_operator_token(req, secret) or _restrict(req, entry)

    @app.route("/v1/status", methods=["GET"])
    def status(req: Request) -> bytes:
        operation_id = req.args.get(b"operation_id", [b""])[0].decode("latin-1")
        return check_operator_token(req, secret) or reply_json(req, 200, entry.status(operation_id))


def _restrict(req: Request, entry: Any) -> bytes:
    try:
        model = RestrictionModel.model_validate(json_body(req, MAX_BODY_BYTES))
    except ValidationError as exc:
        first = exc.errors()[0]
        message = f"field {'.'.join(map(str, first['loc'])) or 'body'}: {first['msg']}"
        return reply_json(req, 400, {"error": "bad_request", "message": message})
    applied = entry.restrict(Restriction(model.operation_id, model.kind, model.name))
    if is_absent(applied):
        status = 409 if applied.reason == "restriction_refused" else 503
        return reply_json(req, status, {"error": applied.reason, "message": applied.detail})
    return reply_json(req, 200, entry.status(model.operation_id))
