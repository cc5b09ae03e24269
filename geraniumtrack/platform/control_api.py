"""Serves workers and operators on a controller."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.core import Core
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.platform import wire
from geraniumtrack.platform.answers import refusal
from geraniumtrack.transport.http_server import Reply, Request

__all__ = ["ControlApi"]

HEARTBEAT_TIMEOUT_S = 0.9  # a worker waits a second before it calls the next node
OPERATOR_TIMEOUT_S = 2.0


class ControlApi:
    """Answers workers' and operators' requests.

    Args:
        core: Answers calls, here or at the owner.
        control_port: Port of this API, the same on all controllers.
    """

    def __init__(self, core: Core, control_port: int) -> None:
        self._core = core
        self._control_port = control_port

    def handle(self, request: Request) -> Reply | Deferred:
        """Answers one request."""
        path = request.path.partition("?")[0]
        head, _, name = path.strip("/").partition("/")
        name = unquote(name)
        try:
            return self._route(request, head, name)
        except wire.InvalidBody as exc:
            logs.event("request_invalid", method=request.method, path=path, detail=exc.message)
            return refusal(JobAnswer(AnswerKind.INVALID, detail=exc.message))

    def _route(self, request: Request, head: str, name: str) -> Reply | Deferred:
        match request.method, head:
            case "PUT", "instances":
                return self._heartbeat(name, request)
            case "DELETE", "instances":
                return self._ask(msgs.LeaveCall(name, 0), HEARTBEAT_TIMEOUT_S)
            case "PUT", "config":
                config = wire.decode_config(request.body)
                return self._ask(msgs.ConfigureCall(config), OPERATOR_TIMEOUT_S)
            case "GET", "config":
                return self._ask(msgs.ReadConfig(), OPERATOR_TIMEOUT_S)
            case ("POST" | "DELETE"), "evacuations":
                call = msgs.EvacuationCall(name, request.method == "POST")
                return self._ask(call, OPERATOR_TIMEOUT_S)
            case "POST", "wave-start":
                return self._ask(wire.decode_maintenance(request.body), OPERATOR_TIMEOUT_S)
            case "GET", "wave-get":
                return self._campaign(name)
        return Reply(404, b'{"error":"path"}')

    def _heartbeat(self, name: str, request: Request) -> Deferred:
        beat = wire.decode_heartbeat(name, request.body)
        fut = self._core.call(beat, timeout_s=HEARTBEAT_TIMEOUT_S)
        return fut.addCallback(self._heartbeat_reply)

    def _heartbeat_reply(self, answer: JobAnswer) -> Reply:
        if answer.kind != AnswerKind.OK:
            return refusal(answer)
        leader = self._core.leader
        if not leader:
            return Reply(200, b"{}")
        # Later reports go straight to the owner.
        body = {"heartbeatAddress": f"{leader}:{self._control_port}"}
        return Reply(200, wire.encode_json(body))

    def _campaign(self, name: str) -> Reply | Deferred:
        if not name.isdigit():
            return Reply(404, b'{"error":"unknown"}')
        fut = self._core.call(msgs.CampaignQuery(int(name)), timeout_s=OPERATOR_TIMEOUT_S)
        return fut.addCallback(_campaign_reply)

    def _ask(self, call: Any, timeout_s: float) -> Deferred:
        return self._core.call(call, timeout_s=timeout_s).addCallback(_reply)


def _reply(answer: JobAnswer) -> Reply:
    if answer.kind == AnswerKind.UNKNOWN:
        # Operators send the same again after a 503; orders are idempotent.
        return Reply(503, b'{"error":"unknown"}')
    if answer.kind != AnswerKind.OK:
        return refusal(answer)
    return Reply(200, answer.value if isinstance(answer.value, bytes) else b"{}")


def _campaign_reply(answer: JobAnswer) -> Reply:
    if answer.kind == AnswerKind.NO_JOB:
        return Reply(404, b'{"error":"unknown"}')
    if answer.kind != AnswerKind.OK:
        return refusal(answer)
    return Reply(200, wire.encode_json({"state": "completed" if answer.value else "running"}))
