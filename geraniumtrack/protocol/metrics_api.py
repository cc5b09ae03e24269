"""HTTP interface of metrics, on entries and controllers, for operators."""

from __future__ import annotations

import hmac
from typing import Any

from klein import Klein
from twisted.web.http import Request

from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.http import bearer_token, operator_token, reply_json

__all__ = ["add_metrics", "is_operator"]


def is_operator(req: Request, secret: bytes) -> bool:
    """Whether a request carries the operators' token."""
    token = bearer_token(req).encode("utf-8", "replace")
    return hmac.compare_digest(token, operator_token(secret).encode())


def add_metrics(app: Klein, secret: bytes) -> None:
    """Serves `GET /metrics` as plain text; team names are shown to operators only."""

    @app.route("/metrics", methods=["GET"])
    def render(*args: Any) -> bytes:
        req = args[-1]
        if not is_operator(req, secret):
            message = "send the operators' token, derived from secret_file"
            return reply_json(req, 401, {"error": "not_operator", "message": message})
        req.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
        return metrics.render().encode()
