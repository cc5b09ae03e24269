"""HTTP interface of a controller for operators. Requests and replies have JSON bodies."""

from __future__ import annotations

import dataclasses
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from geraniumtrack import logs
from geraniumtrack.errors import GeraniumtrackError, NotLeader
from geraniumtrack.fleet import parse_fleet
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.http import (
    HttpBounds,
    check_operator_token,
    json_body,
    listen_app,
    reply_json,
    with_json_errors,
)
from geraniumtrack.protocol.metrics_api import add_metrics
from geraniumtrack.state import commands as cmd

__all__ = ["OperatorApi", "listen_http"]

MAX_COMMAND_BYTES = 4 * 1024 * 1024  # of a request body; a fleet is the largest command
MAX_TEXT_BYTES = 128  # of a text field, in UTF-8
DIGEST_BYTES = 32  # SHA-256

_ERROR_STATUS = {"version_conflict": 409, "key_exists": 409, "move_conflict": 409}


class OperatorApi:
    """Routes of the operator interface.

    Args:
        controller: The controller that the interface belongs to. `propose`, `status`,
            `maintenance`, `explain` and `replicator` are used.
        secret: Cluster secret, from which the operator token is derived.
    """

    app = with_json_errors(Klein())

    def __init__(self, controller: Any, secret: bytes) -> None:
        self._controller = controller
        self._secret = secret
        add_metrics(self.app, secret)

    @app.route("/healthz")
    def healthz(self, req: Request) -> bytes:
        """Liveness probe: replies 200 while the process runs."""
        return reply_json(req, 200, {"ok": True})

    @app.route("/v1/status")
    def status(self, req: Request) -> Any:
        """Returns the state of this controller, such as role, voters, versions and sessions."""
        return self._check_token(req) or reply_json(req, 200, self._controller.status())

    @app.route("/v1/view")
    def view(self, req: Request) -> Any:
        """Returns the configuration view; served only by the leader."""
        refusal = self._check_token(req) or self._check_leader(req)
        if refusal:
            return refusal
        state = self._controller.replicator.state
        sections = {
            name: {key: dataclasses.asdict(record) for key, record in records.items()}
            for name, records in state.view.items()
        }
        return reply_json(req, 200, {"version": state.version, **sections})

    @app.route("/v1/fleet", methods=["POST"])
    def apply_fleet(self, req: Request) -> Any:
        """Applies a fleet, unless the configuration was changed since the version that was read.

        Only changes by operators count, that is, by commands with an operation id.
        """
        return self._handle_command(
            req,
            lambda body: cmd.ApplyFleet(
                _text_field(body, "operation_id"),
                _integer_field(body, "expected_version"),
                parse_fleet(body.get("fleet")),
                _text_field(body, "operator", default="unnamed"),
            ),
        )

    @app.route("/v1/keys", methods=["POST"])
    def issue_key(self, req: Request) -> Any:
        """Issues a key, of which only the digest is sent and stored."""
        return self._handle_command(
            req,
            lambda body: cmd.IssueKey(
                _text_field(body, "operation_id"),
                _text_field(body, "key_id"),
                _text_field(body, "team"),
                _digest_field(body),
            ),
        )

    @app.route("/v1/keys/<key_id>/withdraw", methods=["POST"])
    def withdraw_key(self, req: Request, key_id: str) -> Any:
        """Withdraws a key permanently."""
        return self._handle_command(
            req, lambda body: cmd.WithdrawKey(_text_field(body, "operation_id"), key_id)
        )

    @app.route("/v1/data-centres/<name>", methods=["POST"])
    def set_data_centre(self, req: Request, name: str) -> Any:
        """Takes a data centre out of service, or returns it to service."""
        return self._handle_command(
            req,
            lambda body: cmd.SetDataCentre(
                _text_field(body, "operation_id"), name, _boolean_field(body, "in_service")
            ),
        )

    @app.route("/v1/targets/<name>/drain", methods=["POST"])
    def drain_target(self, req: Request, name: str) -> Any:
        """Drains a target, or ends the drain."""
        return self._handle_command(
            req,
            lambda body: cmd.DrainTarget(
                _text_field(body, "operation_id"), name, _boolean_field(body, "drained")
            ),
        )

    @app.route("/v1/instances/<name>/retire", methods=["POST"])
    def retire_instance(self, req: Request, name: str) -> Any:
        """Removes a failed instance; one that announces itself again is admitted as a new one."""
        return self._handle_command(
            req, lambda body: cmd.RetireInstance(_text_field(body, "operation_id"), name)
        )

    @app.route("/v1/maintenance", methods=["POST"])
    def control_maintenance(self, req: Request) -> Any:
        """Starts a maintenance campaign, or pauses, resumes or cancels the current one."""
        return self._handle_command(req, _parse_maintenance)

    @app.route("/v1/maintenance", methods=["GET"])
    def maintenance_status(self, req: Request) -> Any:
        """Returns the maintenance campaign and its instances by phase."""
        refusal = self._check_token(req) or self._check_leader(req)
        return refusal or reply_json(req, 200, self._controller.maintenance())

    @app.route("/v1/events")
    def events(self, req: Request) -> Any:
        """Returns the last recorded events, or with `subject` an explanation of that subject."""
        refusal = self._check_token(req) or self._check_leader(req)
        if refusal:
            return refusal
        subject = req.args.get(b"subject", [b""])[0].decode(errors="replace")
        return reply_json(req, 200, self._controller.explain(subject))

    def _check_token(self, req: Request) -> bytes | None:
        return check_operator_token(req, self._secret)

    def _check_leader(self, req: Request) -> bytes | None:
        if self._controller.replicator.is_serving():
            return None
        leader = self._controller.replicator.leader
        return reply_json(req, 421, {"error": "not_leader", "leader": leader})

    def _bad_request(self, req: Request, message: str) -> bytes:
        return reply_json(req, 400, {"error": "bad_request", "message": message})

    def _handle_command(self, req: Request, parse_command: Any) -> Any:
        refusal = self._check_token(req)
        if refusal:
            return refusal
        body = json_body(req, MAX_COMMAND_BYTES)
        if body is None:
            return self._bad_request(
                req,
                "request body too large or not a JSON object; send a JSON object of at most"
                f" {MAX_COMMAND_BYTES} bytes",
            )
        try:
            command = parse_command(body)
        except GeraniumtrackError as exc:
            return self._bad_request(req, f"{exc}")
        except (KeyError, TypeError, ValueError, OverflowError) as exc:
            return self._bad_request(req, f"missing or malformed field: {exc}")
        return self._propose(req, command)

    def _propose(self, req: Request, command: Any) -> Any:
        fut = self._controller.propose(command)
        fut.addCallback(self._reply_result, req, command)
        fut.addErrback(self._reply_failure, req)
        return fut

    def _reply_result(self, result: cmd.Result, req: Request, command: Any) -> bytes:
        outcome = result.error or "accepted"
        metrics.count("operator_commands", command=type(command).__name__, outcome=outcome)
        logs.event(
            "operator_command",
            command=type(command).__name__,
            operation=command.operation_id,
            version=result.version,
            error=result.error or "none",
        )
        body = {
            "version": result.version,
            "error": result.error,
            "message": result.message,
            "details": result.details,
        }
        status = 200 if result.ok else _ERROR_STATUS.get(result.error, 422)
        return reply_json(req, status, body)

    def _reply_failure(self, failure: Any, req: Request) -> bytes:
        if failure.check(NotLeader):
            return reply_json(req, 421, {"error": "not_leader", "leader": failure.value.leader})
        logs.warn("operator_command_failed", detail=failure.getErrorMessage())
        return reply_json(
            req,
            500,
            {"error": "internal", "message": "internal error; see the log of the controller"},
        )


def _parse_maintenance(body: dict[str, Any]) -> Any:
    operation_id, action = _text_field(body, "operation_id"), _text_field(body, "action")
    if action == "start":
        pools = body.get("pools", [])
        if not isinstance(pools, list) or not all(isinstance(pool, str) for pool in pools):
            raise ValueError("pools must be a list of names")
        return cmd.PlanMaintenance(operation_id, tuple(pools))
    if action not in ("pause", "resume", "cancel"):
        raise ValueError(f"action must be start, pause, resume or cancel, not {action!r}")
    reason = _text_field(body, "reason", "ordered by the operator")
    return cmd.ControlMaintenance(operation_id, action, reason)


def _text_field(body: dict[str, Any], name: str, default: str | None = None) -> str:
    value = body.get(name, default)
    # `encode` raises UnicodeEncodeError, a ValueError, for text that the journal could not store.
    if not isinstance(value, str) or not 0 < len(value.encode()) <= MAX_TEXT_BYTES:
        raise ValueError(f"{name} must be a string of 1 to {MAX_TEXT_BYTES} bytes")
    return value


def _integer_field(body: dict[str, Any], name: str) -> int:
    value = body.get(name)
    if type(value) is not int or not 0 <= value < 2**63:
        raise ValueError(f"{name} must be an integer from 0 to 2**63 - 1")
    return value


def _boolean_field(body: dict[str, Any], name: str) -> bool:
    value = body.get(name)
    if not isinstance(value, bool):
        raise ValueError(f"{name} must be true or false")
    return value


def _digest_field(body: dict[str, Any]) -> bytes:
    value = bytes.fromhex(_text_field(body, "digest"))
    if len(value) != DIGEST_BYTES:
        raise ValueError(f"digest must be {2 * DIGEST_BYTES} hexadecimal digits")
    return value


def listen_http(reactor: Any, api: OperatorApi, address: Any, bounds: HttpBounds) -> Deferred:
    """Serves the operator interface; the Deferred fires with the listening port."""
    return listen_app(reactor, api.app, address, bounds=bounds)
