"""HTTP interface of a controller for operators. Bodies and replies are JSON."""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from geraniumtrack import logs
from geraniumtrack.errors import GeraniumtrackError, NotLeader
from geraniumtrack.fleet import parse_fleet
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.http import (
    json_body,
    listen_app,
    refuse_stranger,
    reply_json,
    type_errors,
)
from geraniumtrack.protocol.metrics_api import add_metrics
from geraniumtrack.state import commands as cmd

__all__ = ["OperatorApi", "listen_http"]

MAX_FLEET_BYTES = 4 * 1024 * 1024
MAX_TEXT_BYTES = 128
DIGEST_BYTES = 32  # SHA-256

_STATUS = {"version_conflict": 409, "key_exists": 409, "move_conflict": 409}


class ControllerPort(Protocol):
    """What the interface needs of the controller."""

    def propose(self, command: Any) -> Deferred:
        """Commits a command."""

    def status(self) -> dict[str, Any]:
        """Returns the state shown to operators."""

    def maintenance(self) -> dict[str, Any]:
        """Returns the maintenance campaign."""

    def explain(self, subject: str) -> dict[str, Any]:
        """Explains a subject, or returns the events of all."""


class OperatorApi:
    """Routes of the operator interface.

    Args:
        controller: The controller that serves it.
        secret: Cluster secret, from which the operators' token is derived.
    """

    app = type_errors(Klein())

    def __init__(self, controller: Any, secret: bytes) -> None:
        self._controller = controller
        self._secret = secret
        add_metrics(self.app, secret)

    @app.route("/healthz")
    def healthz(self, req: Request) -> bytes:
        """Answers whether the process runs."""
        return reply_json(req, 200, {"ok": True})

    @app.route("/v1/status")
    def status(self, req: Request) -> Any:
        """Returns role, voters, versions and sessions."""
        return self._guard(req) or reply_json(req, 200, self._controller.status())

    @app.route("/v1/view")
    def view(self, req: Request) -> Any:
        """Returns the configuration view of the leader."""
        refused = self._guard(req) or self._not_serving(req)
        if refused:
            return refused
        state = self._controller.replicator.state
        sections = {
            name: {key: dataclasses.asdict(record) for key, record in records.items()}
            for name, records in state.view.items()
        }
        return reply_json(req, 200, {"version": state.version, **sections})

    @app.route("/v1/fleet", methods=["POST"])
    def fleet(self, req: Request) -> Any:
        """Applies a fleet if the version that the operator read is current."""
        return self._command(
            req,
            lambda body: cmd.ApplyFleet(
                _text(body, "operation_id"),
                _number(body, "expected_version"),
                parse_fleet(body.get("fleet")),
                _text(body, "operator", default="unnamed"),
            ),
        )

    @app.route("/v1/keys", methods=["POST"])
    def issue_key(self, req: Request) -> Any:
        """Issues a key by its digest."""
        return self._command(
            req,
            lambda body: cmd.IssueKey(
                _text(body, "operation_id"),
                _text(body, "key_id"),
                _text(body, "team"),
                _digest(body),
            ),
        )

    @app.route("/v1/keys/<key_id>/withdraw", methods=["POST"])
    def withdraw_key(self, req: Request, key_id: str) -> Any:
        """Withdraws a key for good."""
        return self._command(req, lambda body: cmd.WithdrawKey(_text(body, "operation_id"), key_id))

    @app.route("/v1/data-centres/<name>", methods=["POST"])
    def data_centre(self, req: Request, name: str) -> Any:
        """Takes a data centre out of service or back."""
        return self._command(
            req,
            lambda body: cmd.SetDataCentre(
                _text(body, "operation_id"), name, _flag(body, "in_service")
            ),
        )

    @app.route("/v1/targets/<name>/drain", methods=["POST"])
    def drain(self, req: Request, name: str) -> Any:
        """Drains a target, or ends the drain."""
        return self._command(
            req,
            lambda body: cmd.DrainTarget(_text(body, "operation_id"), name, _flag(body, "drained")),
        )

    @app.route("/v1/instances/<name>/retire", methods=["POST"])
    def retire(self, req: Request, name: str) -> Any:
        """Removes a failed instance for good."""
        return self._command(
            req, lambda body: cmd.RetireInstance(_text(body, "operation_id"), name)
        )

    @app.route("/v1/maintenance", methods=["POST"])
    def control_maintenance(self, req: Request) -> Any:
        """Starts a campaign, or pauses, resumes or cancels the one under way."""
        return self._command(req, _maintenance_command)

    @app.route("/v1/maintenance", methods=["GET"])
    def maintenance(self, req: Request) -> Any:
        """Returns the campaign and its instances by phase."""
        refused = self._guard(req) or self._not_serving(req)
        return refused or reply_json(req, 200, self._controller.maintenance())

    @app.route("/v1/events")
    def events(self, req: Request) -> Any:
        """Returns recorded decisions; with `subject`, explains that subject."""
        refused = self._guard(req) or self._not_serving(req)
        if refused:
            return refused
        subject = req.args.get(b"subject", [b""])[0].decode(errors="replace")
        return reply_json(req, 200, self._controller.explain(subject))

    def _guard(self, req: Request) -> bytes | None:
        return refuse_stranger(req, self._secret)

    def _not_serving(self, req: Request) -> bytes | None:
        if self._controller.replicator.is_serving():
            return None
        leader = self._controller.replicator.leader
        return reply_json(req, 421, {"error": "not_leader", "leader": leader})

    def _bad(self, req: Request, message: str) -> bytes:
        return reply_json(req, 400, {"error": "bad_request", "message": message})

    def _command(self, req: Request, build: Any) -> Any:
        refused = self._guard(req)
        if refused:
            return refused
        body = json_body(req, MAX_FLEET_BYTES)
        if body is None:
            return self._bad(req, "send a JSON object")
        try:
            command = build(body)
        except GeraniumtrackError as exc:
            return self._bad(req, f"{exc}")
        except (KeyError, TypeError, ValueError, OverflowError) as exc:
            return self._bad(req, f"field missing or malformed: {exc}")
        return self._propose(req, command)

    def _propose(self, req: Request, command: Any) -> Any:
        fut = self._controller.propose(command)
        fut.addCallback(self._proposed, req, command)
        fut.addErrback(self._failed, req)
        return fut

    def _proposed(self, result: cmd.Result, req: Request, command: Any) -> bytes:
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
        status = 200 if result.ok else _STATUS.get(result.error, 422)
        return reply_json(req, status, body)

    def _failed(self, failure: Any, req: Request) -> bytes:
        if failure.check(NotLeader):
            return reply_json(req, 421, {"error": "not_leader", "leader": failure.value.leader})
        logs.warn("operator_command_failed", detail=failure.getErrorMessage())
        return reply_json(req, 500, {"error": "internal", "message": "see the controller's log"})


def _maintenance_command(body: dict[str, Any]) -> Any:
    operation_id, action = _text(body, "operation_id"), _text(body, "action")
    if action == "start":
        pools = body.get("pools", [])
        if not isinstance(pools, list) or not all(isinstance(pool, str) for pool in pools):
            raise ValueError("pools must be a list of names")
        return cmd.PlanMaintenance(operation_id, tuple(pools))
    if action not in ("pause", "resume", "cancel"):
        raise ValueError(f"action {action!r} is not start, pause, resume or cancel")
    reason = _text(body, "reason", "ordered by the operator")
    return cmd.ControlMaintenance(operation_id, action, reason)


def _text(body: dict[str, Any], name: str, default: str | None = None) -> str:
    value = body.get(name, default)
    # A text that has no UTF-8 form could not be written to the journal.
    if not isinstance(value, str) or not 0 < len(value.encode()) <= MAX_TEXT_BYTES:
        raise ValueError(f"{name} must be a text of 1 to {MAX_TEXT_BYTES} bytes")
    return value


def _number(body: dict[str, Any], name: str) -> int:
    value = body.get(name)
    if type(value) is not int or not 0 <= value < 2**63:
        raise ValueError(f"{name} must be a whole number, zero or more")
    return value


def _flag(body: dict[str, Any], name: str) -> bool:
    value = body.get(name)
    if not isinstance(value, bool):
        raise ValueError(f"{name} must be true or false")
    return value


def _digest(body: dict[str, Any]) -> bytes:
    value = bytes.fromhex(_text(body, "digest"))
    if len(value) != DIGEST_BYTES:
        raise ValueError(f"digest must be {2 * DIGEST_BYTES} hexadecimal digits")
    return value


def listen_http(reactor: Any, api: OperatorApi, address: Any) -> Deferred:
    """Serves the operator interface; the Deferred gives the listening port."""
    return listen_app(reactor, api.app, address)
