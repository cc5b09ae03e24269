"""HTTP interface for the metrics of entries and controllers."""

from __future__ import annotations

from typing import Any

from klein import Klein

from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.http import check_operator_token

__all__ = ["add_metrics"]


def add_metrics(app: Klein, secret: bytes) -> None:
    """Adds `GET /metrics`, which needs the operator token, since the metrics contain team names."""

    @app.route("/metrics", methods=["GET"])
    def render(*args: Any) -> bytes:
        req = args[-1]
        refusal = check_operator_token(req, secret)
        if refusal is not None:
            return refusal
        req.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
        return metrics.render().encode()
