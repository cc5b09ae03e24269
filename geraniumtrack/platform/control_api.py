"""HTTP API of a controller for workers and operators."""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import unquote

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.operator_orders import CallOrigin
from geraniumtrack.jobs.core import Core
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.platform import wire
from geraniumtrack.platform.answers import error_reply
from geraniumtrack.transport.http_server import Reply, Request

__all__ = ["ControlApi"]

HEARTBEAT_TIMEOUT_S = 0.9  # less than the 1 s after which a worker tries the next controller
OPERATOR_TIMEOUT_S = 2.0
_CAMPAIGN_NUMBER = re.compile("[0-9]{1,19}")  # up to 64 bits


class ControlApi:
    """Handles requests of workers and operators.

    Args:
        core: Handles calls, or forwards them to the owner.
        control_port: Port of this API, the same on all controllers.
    """

    def __init__(self, core: Core, control_port: int) -> None:
        self._core = core
        self._control_port = control_port

    def handle(self, request: Request) -> Reply | Deferred:
        """Returns the reply to a request, or a Deferred of it."""
        path = request.path.partition("?")[0]
        resource, _, name = path.strip("/").partition("/")
        name = unquote(name)
        try:
            return self._route(request, resource, name)
        except wire.InvalidBody as exc:
            logs.event("request_invalid", method=request.method, path=path, detail=exc.message)
            return error_reply(JobAnswer(AnswerKind.INVALID, detail=exc.message))

    def _route(self, request: Request, resource: str, name: str) -> Reply | Deferred:
        match request.method, resource:
            case "PUT", "instances":
                return self._heartbeat(name, request)
            case "DELETE", "instances":  # the request names no incarnation
                return self._call_core(msgs.LeaveCall(name, 0), HEARTBEAT_TIMEOUT_S)
            case "PUT", "config":
                config = wire.decode_config(request.body)
                return self._call_core(msgs.ConfigureCall(config), OPERATOR_TIMEOUT_S)
            case "GET", "config":
                return self._call_core(msgs.ReadConfig(), OPERATOR_TIMEOUT_S)
            case ("POST" | "DELETE"), "evacuations":
                return self._order(msgs.EvacuationCall(name, request.method == "POST"), request)
            case "POST", "wave-start":
                return self._order(wire.decode_maintenance(request.body), request)
            case "GET", "wave-get":
                return self._query_campaign(name)
        return Reply(404, b'{"error":"path"}')

    def _heartbeat(self, name: str, request: Request) -> Deferred:
        heartbeat = wire.decode_heartbeat(name, request.body)
        fut = self._core.call(heartbeat, timeout_s=HEARTBEAT_TIMEOUT_S)
        return fut.addCallback(self._heartbeat_reply)

    def _heartbeat_reply(self, answer: JobAnswer) -> Reply:
        if answer.kind != AnswerKind.OK:
            return error_reply(answer)
        leader = self._core.leader
        if not leader:
            return Reply(200, b"{}")
        # The worker sends its next heartbeats directly to the owner.
        body = {"heartbeatAddress": f"{leader}:{self._control_port}"}
        return Reply(200, wire.encode_json(body))

    def _query_campaign(self, name: str) -> Reply | Deferred:
        if not _CAMPAIGN_NUMBER.fullmatch(name):
            return Reply(404, b'{"error":"unknown"}')
        fut = self._core.call(msgs.CampaignQuery(int(name)), timeout_s=OPERATOR_TIMEOUT_S)
        return fut.addCallback(_campaign_reply)

    def _order(self, call: Any, request: Request) -> Deferred:
        origin = CallOrigin(request.arrived_after, request.is_abandoned)
        return self._core.order(call, origin).addCallback(_to_reply)

    def _call_core(self, call: Any, timeout_s: float) -> Deferred:
        return self._core.call(call, timeout_s=timeout_s).addCallback(_to_reply)


def _to_reply(answer: JobAnswer) -> Reply:
    if answer.kind == AnswerKind.UNKNOWN:
        # `error_reply` would return status 504. Operators repeat a request after a 503, which is
        # safe here because all their requests are idempotent.
        return Reply(503, b'{"error":"unknown"}')
    if answer.kind != AnswerKind.OK:
        return error_reply(answer)
    return Reply(200, answer.value if isinstance(answer.value, bytes) else b"{}")


def _campaign_reply(answer: JobAnswer) -> Reply:
    if answer.kind == AnswerKind.NO_JOB:
        return Reply(404, b'{"error":"unknown"}')
    if answer.kind != AnswerKind.OK:
        return error_reply(answer)
    return Reply(200, wire.encode_json({"state": "completed" if answer.value else "running"}))
