"""Client of the platform's policy service."""

from __future__ import annotations

from typing import Any

import orjson
from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.calls.advice import Ticket
from geraniumtrack.platform.boot import parse_address
from geraniumtrack.platform.json_list import describe_row
from geraniumtrack.platform.wire import DECODE_ERRORS, encode_json
from geraniumtrack.transport.http_client import HttpClient, Response

__all__ = ["AdviceClient"]

# A call may wait at the policy service behind other calls from this machine, and the service takes
# longer for each worker in the request.
TIMEOUT_S = 5.0
MS_PER_S = 1000


class AdviceClient:
    """Implements `AdvicePort`.

    Args:
        reactor: Twisted reactor.
        address: Host and port of the policy service.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        self._client = HttpClient(reactor, parse_address(address))

    def request_tickets(self, step: tuple[str, int, int], workers: tuple[str, ...]) -> Deferred:
        """Requests tickets for a step; see `AdvicePort`.

        The Deferred fires with None if the service refuses the call, or if its answer does not
        arrive or cannot be decoded.
        """
        body = encode_json({"step": ".".join(map(str, step)), "workers": list(workers)})
        fut = self._client.call("POST", "/advise", body=body, timeout_s=TIMEOUT_S)
        return fut.addCallbacks(_decode_tickets, _log_failure)


def _decode_tickets(response: Response) -> list[Ticket] | None:
    if response.status != 200:
        logs.event("advice_refused", status=response.status)
        return None
    try:
        answer = orjson.loads(response.body)
        valid_s = answer["validityMs"] / MS_PER_S
        rows = answer["allowedWorkers"]
        return [ticket for row in rows if (ticket := _decode_ticket(row, valid_s)) is not None]
    except DECODE_ERRORS as exc:
        logs.warn("advice_unreadable", detail=repr(exc))
        return None


def _decode_ticket(row: Any, valid_s: float) -> Ticket | None:
    """Returns the ticket of a worker, or None if the row cannot be read."""
    match row:
        case [str(worker), str(token)]:
            return Ticket(worker, token, valid_s)
    logs.warn("ticket_unreadable", detail=describe_row(row, "not an id and a ticket"))
    return None


def _log_failure(failure: Any) -> None:
    failure.trap(CallFailed)
    logs.event("advice_unanswered", detail=failure.getErrorMessage())
