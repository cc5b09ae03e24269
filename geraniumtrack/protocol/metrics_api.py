"""HTTP interface of metrics, on entries and controllers, for operators."""

from __future__ import annotations

from typing import Any

from klein import Klein

from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.http import refuse_stranger

__all__ = ["add_metrics"]


def add_metrics(app: Klein, secret: bytes) -> None:
    """Serves `GET /metrics` as plain text; team names are shown to operators only."""

    @app.route("/metrics", methods=["GET"])
    def render(*args: Any) -> bytes:
        req = args[-1]
        refused = refuse_stranger(req, secret)
        if refused is not None:
            return refused
        req.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
        return metrics.render().encode()
