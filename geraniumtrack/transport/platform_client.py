"""Client of the platform's interface: drain, reboot and state of an instance."""

from __future__ import annotations

from typing import Any, NamedTuple

import treq
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent

from geraniumtrack.sentinels import Absent

__all__ = ["PlatformClient", "PlatformInstance"]

# Nothing else waits for an answer of the platform, so a late one is worth waiting for.
TIMEOUT_S = 10.0


class PlatformInstance(NamedTuple):
    """What the platform says of an instance.

    Attributes:
        state: `running`, `drained` or `rebooting`.
        last_reboot: Idempotency key of the last reboot that it finished.
    """

    state: str
    last_reboot: str


class PlatformClient:
    """Sends orders to the platform. Every call ends within 10 s.

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
        """Reads an instance.

        Returns:
            A Deferred of a PlatformInstance, or of a sentinel with the reason `platform_failed`.
        """
        body = yield self._ask("GET", f"/instances/{name}", "")
        if isinstance(body, Absent):
            return body
        return PlatformInstance(str(body.get("state")), str(body.get("last_reboot", "")))

    def drain(self, name: str) -> Deferred:
        """Has the platform drain an instance; gives the reply or a sentinel."""
        return self._ask("POST", f"/instances/{name}/drain", "")

    def reboot(self, name: str, key: str) -> Deferred:
        """Orders a reboot, done once for each key; gives the reply or a sentinel."""
        return self._ask("POST", f"/instances/{name}/reboot", key)

    @inlineCallbacks
    def _ask(self, method: str, path: str, key: str) -> Any:
        headers = {"Idempotency-Key": key} if key else {}
        fut = self._http.request(method, self._url + path, headers=headers, timeout=TIMEOUT_S)
        fut.addCallback(_read_reply)
        fut.addTimeout(TIMEOUT_S, self._reactor)
        try:
            status, body = yield fut
        except Exception as exc:  # noqa: BLE001 - a failing platform must not stop the leader
            return Absent("platform_failed", f"{method} {path}: {type(exc).__name__}")
        if status >= 300 or not isinstance(body, dict):
            return Absent("platform_failed", f"{method} {path}: status {status}")
        return body


@inlineCallbacks
def _read_reply(response: Any) -> Any:
    body = yield treq.json_content(response)
    return response.code, body
