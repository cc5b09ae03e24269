"""A stand-in platform that drains and reboots stand-in targets, and can be made to fail.

Run it as `python -m standins.platform --port 8000 --targets targets.json`; the file maps instance
names to `host:port`. `POST /faults` with a body such as `{"mode": "fail"}` sets how the platform
answers later requests about instances:

- `fail`: with status 500, without acting;
- `hang`: never, without acting;
- `late`: it acts at once but answers `LATE_ANSWER_S` later;
- an empty mode: as it should.
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

LATE_ANSWER_S = 12.0  # longer than the time-out of the controllers' platform client


class StandInPlatform:
    """The platform.

    Args:
        targets: Addresses of the instances by name.
        reboot_s: Seconds that a reboot takes.

    Attributes:
        states: State of each instance: `running`, `drained` or `rebooting`.
        reboot_keys: Idempotency key of the last started reboot of each instance.
        finished_keys: Idempotency key of the last finished reboot of each instance.
        reboots: Number of reboots of each instance.
        mode: How requests about instances fail; see the module.
    """

    app = Klein()

    def __init__(self, targets: dict[str, str], *, reboot_s: float = 1.0) -> None:
        self.states = {name: "running" for name in targets}
        self.reboot_keys: dict[str, str] = {}
        self.finished_keys: dict[str, str] = {}
        self.reboots: dict[str, int] = {}
        self.mode = ""
        self._targets = targets
        self._reboot_s = reboot_s

    @app.route("/faults", methods=["POST"])
    def faults(self, req: Request) -> bytes:
        """Sets how later requests about instances are answered."""
        self.mode = str(json.loads(req.content.read()).get("mode", ""))
        return b"{}"

    @app.route("/reboots")
    def all_reboots(self, req: Request) -> bytes:
        """Returns how often each instance was rebooted."""
        return json.dumps(self.reboots).encode()

    @app.route("/instances/<name>")
    def state(self, req: Request, name: str) -> Any:
        """Returns the state of an instance."""
        return self._answer(req, name, lambda: None)

    @app.route("/instances/<name>/drain", methods=["POST"])
    def drain(self, req: Request, name: str) -> Any:
        """Drains an instance."""
        return self._answer(req, name, lambda: self._drain(name))

    @app.route("/instances/<name>/reboot", methods=["POST"])
    def reboot(self, req: Request, name: str) -> Any:
        """Reboots an instance, unless it is rebooting or its last reboot had the same key.

        The key is the header `Idempotency-Key`.
        """
        key = req.getHeader("idempotency-key") or ""
        return self._answer(req, name, lambda: self._reboot(name, key))

    @inlineCallbacks
    def _answer(self, req: Request, name: str, operation: Any) -> Any:
        if self.mode == "hang":
            yield Deferred()
        if self.mode == "fail" or name not in self.states:
            req.setResponseCode(500 if self.mode == "fail" else 404)
            return b"{}"
        yield operation()
        if self.mode == "late":
            yield deferLater(reactor, LATE_ANSWER_S)
        body = {
            "name": name,
            "state": self.states[name],
            "reboots": self.reboots.get(name, 0),
            "last_reboot": self.finished_keys.get(name, ""),
        }
        req.setHeader(b"Content-Type", b"application/json")
        return json.dumps(body).encode()

    def _drain(self, name: str) -> Deferred:
        if self.states[name] == "running":
            self.states[name] = "drained"
        return self._post_to_target(name, "drain", {})

    def _reboot(self, name: str, key: str) -> Deferred | None:
        if self.reboot_keys.get(name) == key or self.states[name] == "rebooting":
            return None
        self.reboot_keys[name] = key
        self.states[name] = "rebooting"
        self.reboots[name] = self.reboots.get(name, 0) + 1
        reactor.callLater(self._reboot_s, self._finish_reboot, name, key)
        return self._post_to_target(name, "reboot", {"seconds": self._reboot_s})

    def _finish_reboot(self, name: str, key: str) -> None:
        self.states[name] = "running"
        self.finished_keys[name] = key

    def _post_to_target(self, name: str, action: str, body: dict[str, Any]) -> Deferred:
        url = f"http://{self._targets[name]}/platform/{action}"
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
