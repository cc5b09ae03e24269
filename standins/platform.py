"""A stand-in platform: drains and reboots stand-in targets, and fails on request.

Run as `python -m standins.platform --port 8000 --targets targets.json`; the file maps instance
names to `host:port`. `POST /faults` with `{"mode": "fail"|"hang"|"late"|""}` sets how it answers
from then on: with status 500, never, or only after `LATE_S` although it acts at once.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import fire
import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import deferLater
from twisted.web.http import Request
from twisted.web.server import Site

__all__ = ["StandInPlatform"]

LATE_S = 12.0  # longer than the client waits


class StandInPlatform:
    """The platform.

    Args:
        targets: Addresses of the instances by name.
        reboot_s: Seconds that a reboot takes.
    """

    app = Klein()

    def __init__(self, targets: dict[str, str], *, reboot_s: float = 1.0) -> None:
        self.states = {name: "running" for name in targets}
        self.keys: dict[str, str] = {}
        self.finished: dict[str, str] = {}
        self.reboots: dict[str, int] = {}
        self.mode = ""
        self._targets = targets
        self._reboot_s = reboot_s

    @app.route("/faults", methods=["POST"])
    def faults(self, req: Request) -> bytes:
        """Sets how every later request is answered."""
        self.mode = str(json.loads(req.content.read()).get("mode", ""))
        return b"{}"

    @app.route("/reboots")
    def all_reboots(self, req: Request) -> bytes:
        """Returns how often each instance was rebooted."""
        return json.dumps(self.reboots).encode()

    @app.route("/instances/<name>")
    def state(self, req: Request, name: str) -> Any:
        """Returns an instance's state."""
        return self._answer(req, name, lambda: None)

    @app.route("/instances/<name>/drain", methods=["POST"])
    def drain(self, req: Request, name: str) -> Any:
        """Drains an instance."""
        return self._answer(req, name, lambda: self._drain(name))

    @app.route("/instances/<name>/reboot", methods=["POST"])
    def reboot(self, req: Request, name: str) -> Any:
        """Reboots an instance once for each `Idempotency-Key`."""
        key = req.getHeader("idempotency-key") or ""
        return self._answer(req, name, lambda: self._reboot(name, key))

    @inlineCallbacks
    def _answer(self, req: Request, name: str, act: Any) -> Any:
        if self.mode == "hang":
            yield Deferred()
        if self.mode == "fail" or name not in self.states:
            req.setResponseCode(500 if self.mode == "fail" else 404)
            return b"{}"
        yield act()
        if self.mode == "late":
            yield deferLater(reactor, LATE_S)
        body = {
            "name": name,
            "state": self.states[name],
            "reboots": self.reboots.get(name, 0),
            "last_reboot": self.finished.get(name, ""),
        }
        req.setHeader(b"Content-Type", b"application/json")
        return json.dumps(body).encode()

    def _drain(self, name: str) -> Deferred:
        if self.states[name] == "running":
            self.states[name] = "drained"
        return self._tell(name, "drain", {})

    def _reboot(self, name: str, key: str) -> Deferred | None:
        if self.keys.get(name) == key or self.states[name] == "rebooting":
            return None
        self.keys[name] = key
        self.states[name] = "rebooting"
        self.reboots[name] = self.reboots.get(name, 0) + 1
        reactor.callLater(self._reboot_s, self._rebooted, name, key)
        return self._tell(name, "reboot", {"seconds": self._reboot_s})

    def _rebooted(self, name: str, key: str) -> None:
        self.states[name] = "running"
        self.finished[name] = key

    def _tell(self, name: str, what: str, body: dict[str, Any]) -> Deferred:
        url = f"http://{self._targets[name]}/platform/{what}"
        fut = treq.post(url, json=body, timeout=2, persistent=False)
        return fut.addCallback(treq.content).addErrback(lambda _: None)


def main(*, port: int, targets: str, reboot_s: float = 1.0) -> None:
    """Runs the platform until it is stopped."""
    platform = StandInPlatform(json.loads(Path(targets).read_text()), reboot_s=reboot_s)
    site = Site(platform.app.resource())
    site.noisy = False
    endpoint = TCP4ServerEndpoint(reactor, port, interface="127.0.0.1")
    reactor.callWhenRunning(endpoint.listen, site)
    reactor.run()


if __name__ == "__main__":
    fire.Fire(main)
