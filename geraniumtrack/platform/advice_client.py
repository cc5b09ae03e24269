"""Calls to the platform's policy service."""

from __future__ import annotations

from typing import Any

import orjson
from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.advice import Ticket
from geraniumtrack.platform.boot import parse_address
from geraniumtrack.platform.wire import encode_json
from geraniumtrack.transport.http_client import HttpClient, Response

__all__ = ["AdviceClient"]

TIMEOUT_S = 5.0  # a call may wait for others of this machine and takes longer with more workers
MS_PER_S = 1000


class AdviceClient:
    """Implements `AdvicePort`.

    Args:
        reactor: Twisted reactor.
        address: Host and port of the service.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        self._client = HttpClient(reactor, parse_address(address))

    def request_tickets(self, step: tuple[str, int, int], workers: tuple[str, ...]) -> Deferred:
        """Asks which workers may run a step; fires with None without an answer."""
        body = encode_json({"step": ".".join(map(str, step)), "workers": list(workers)})
        fut = self._client.call("POST", "/advise", body=body, timeout_s=TIMEOUT_S)
        return fut.addCallbacks(_tickets, _failed)


def _tickets(response: Response) -> list[Ticket] | None:
    if response.status != 200:
        logs.event("advice_refused", status=response.status)
        return None
    try:
        found = orjson.loads(response.body)
        valid_s = found["validityMs"] / MS_PER_S
        return [Ticket(worker, text, valid_s) for worker, text in found["allowedWorkers"]]
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as exc:
        logs.warn("advice_unreadable", detail=repr(exc))
        return None


def _failed(failure: Any) -> None:
    failure.trap(CallFailed)
    logs.event("advice_unanswered", detail=failure.getErrorMessage())
