"""Client of the HTTP API that drains and reboots instances and reports their state.

The setting `platform_url` of a controller contains its address. This is not the platform of the
package `geraniumtrack.platform`, which has its own client of the machine API.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import treq
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent

from geraniumtrack.sentinels import Absent

__all__ = ["PlatformClient", "PlatformInstance"]

# Long, because no other work waits for the response and a late response is still useful.
TIMEOUT_S = 10.0


class PlatformInstance(NamedTuple):
    """State of an instance as the platform reports it.

    Attributes:
        state: `running`, `drained` or `rebooting`.
        last_reboot: Idempotency key of the last reboot that has finished, or an empty string.
    """

    state: str
    last_reboot: str


class PlatformClient:
    """Sends requests to the platform. Each call ends within `TIMEOUT_S`.

    Args:
        reactor: Twisted reactor.
        url: Base URL, such as `http://10.0.0.1:8000`.
    """

    def __init__(self, reactor: Any, url: str) -> None:
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._http = HTTPClient(Agent(reactor, connectTimeout=TIMEOUT_S))

    @inlineCallbacks
    def state(self, name: str) -> Any:
        """Requests the state of an instance.

        Returns:
            A Deferred of a PlatformInstance, or of an Absent with the reason `platform_failed`.
        """
        body = yield self._request("GET", f"/instances/{name}", "")
        if isinstance(body, Absent):
            return body
        return PlatformInstance(str(body.get("state")), str(body.get("last_reboot", "")))

    def drain(self, name: str) -> Deferred:
        """Drains an instance; returns a Deferred of the reply body or of an Absent."""
        return self._request("POST", f"/instances/{name}/drain", "")

    def reboot(self, name: str, key: str) -> Deferred:
        """Reboots an instance; returns a Deferred of the reply body or of an Absent.

        The platform executes only one reboot for each idempotency key.
        """
        return self._request("POST", f"/instances/{name}/reboot", key)

    @inlineCallbacks
    def _request(self, method: str, path: str, idempotency_key: str) -> Any:
        headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        fut = self._http.request(method, self._url + path, headers=headers, timeout=TIMEOUT_S)
        fut.addCallback(_read_reply)
        fut.addTimeout(TIMEOUT_S, self._reactor)
        try:
            status, body = yield fut
        except Exception as exc:  # noqa: BLE001 - platform errors must not stop the leader
            return Absent("platform_failed", f"{method} {path}: {type(exc).__name__}")
        if status >= 300 or not isinstance(body, dict):
            return Absent("platform_failed", f"{method} {path}: status {status}")
        return body


@inlineCallbacks
def _read_reply(response: Any) -> Any:
    body = yield treq.json_content(response)
    return response.code, body
