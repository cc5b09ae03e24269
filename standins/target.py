"""A stand-in target: an HTTP server that runs tasks in slots and announces itself.

Run as `python -m standins.target --name t1 ...`. A task's body may be a JSON object with
`seconds` to say how long it runs. The answer names the target and repeats the task's id.
"""

from __future__ import annotations

import json
import time
from typing import Any

import fire
import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.http import Request
from twisted.web.server import Site

__all__ = ["StandInTarget"]

ANNOUNCE_S = 1.0
LEASE_CHECK_S = 0.2
LEAVE_S = 1.5  # until every entry has heard that it leaves
FLUSH_S = 0.2  # for the last answers to leave the socket buffers


class StandInTarget:
    """One target.

    Args:
        name: Its name.
        data_centre: Its data centre.
        rack: Its rack.
        pool: Pool hint.
        port: Port on the loopback address.
        entries: `host:port` of the entries it announces itself to.
        slots: Tasks it runs at once.
        record: File to which each started task's path is appended, to find tasks run twice. The
            file with the suffix `.ends` gets each end, to find how many ran at once.
    """

    app = Klein()

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        rack: str,
        pool: str,
        port: int,
        entries: list[str],
        slots: int = 8,
        record: str = "",
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.rack = rack
        self.pool = pool
        self.port = port
        self.entries = entries
        self.slots = slots
        self.leaving = False
        self._closed = False
        self.running: dict[str, float] = {}
        self.incarnation = int(time.time() * 1000)
        self._record = record
        self._leases: dict[str, tuple[float, Deferred]] = {}

    def start(self) -> Any:
        """Opens the port and begins to announce."""
        site = Site(self.app.resource())
        site.noisy = False
        endpoint = TCP4ServerEndpoint(reactor, self.port, interface="127.0.0.1", backlog=256)
        LoopingCall(self._announce).start(ANNOUNCE_S)
        LoopingCall(self._stop_lapsed).start(LEASE_CHECK_S)
        return endpoint.listen(site)

    @app.route("/tasks/<task_id>", methods=["POST"])
    def run(self, req: Request, task_id: str) -> Any:
        """Runs a task, or says that it was not started."""
        req.setHeader(b"Task-Id", task_id.encode())
        if self._closed or len(self.running) >= self.slots:
            req.setHeader(b"Task-Not-Started", b"true")
            req.setResponseCode(503)
            return b""
        seconds = _seconds(req.content.read())
        self.running[task_id] = time.monotonic()
        self._note(req.getHeader("task-path") or "")
        fut = deferLater(reactor, seconds, lambda: None)
        lease_s = float(req.getHeader("task-lease") or "inf")
        self._leases[task_id] = (time.monotonic() + lease_s, fut)
        # A task goes on when the entry's connection is lost: only its lease bounds it.
        answer: Deferred = Deferred(lambda _: None)
        fut.addCallback(lambda _: self._finish(req, task_id))
        fut.addCallback(lambda data: None if answer.called else answer.callback(data))
        fut.addErrback(self._stopped, req, task_id)
        return answer

    @app.route("/leases", methods=["POST"])
    def renew(self, req: Request) -> bytes:
        """Renews the leases of running tasks, and names those that do not run here."""
        body = json.loads(req.content.read())
        ends = time.monotonic() + body["lease_s"]
        known = [task_id for task_id in body["tasks"] if task_id in self._leases]
        for task_id in known:
            self._leases[task_id] = (ends, self._leases[task_id][1])
        return json.dumps({"unknown": sorted(set(body["tasks"]) - set(known))}).encode()

    @app.route("/tasks/<task_id>", methods=["DELETE"])
    def cancel(self, req: Request, task_id: str) -> bytes:
        """Stops a task."""
        self.running.pop(task_id, None)
        return b"{}"

    @inlineCallbacks
    def stop(self) -> Any:
        """Announces that it leaves, still takes what was on its way, and finishes it."""
        self.leaving = True
        self._announce()
        yield deferLater(reactor, LEAVE_S, lambda: None)
        self._closed = True
        while self.running:
            yield deferLater(reactor, 0.05, lambda: None)
        yield deferLater(reactor, FLUSH_S, lambda: None)

    def _stop_lapsed(self) -> None:
        now = time.monotonic()
        for ends, fut in list(self._leases.values()):
            if ends < now:
                fut.cancel()

    def _stopped(self, failure: Any, req: Request, task_id: str) -> None:
        """Closes the connection of a task whose lease ran out; it has no answer."""
        failure.trap(CancelledError)
        self._end(req, task_id)
        if req.channel is not None:
            req.channel.transport.abortConnection()

    def _end(self, req: Request, task_id: str) -> None:
        self.running.pop(task_id, None)
        self._leases.pop(task_id, None)
        self._note(req.getHeader("task-path") or "", suffix=".ends")

    def _finish(self, req: Request, task_id: str) -> bytes:
        self._end(req, task_id)
        req.setHeader(b"Content-Type", b"application/json")
        return json.dumps({"target": self.name, "task": task_id}).encode()

    def _note(self, path: str, *, suffix: str = "") -> None:
        if self._record:
            with open(self._record + suffix, "a") as file:
                file.write(f"{time.time():.3f} {self.data_centre} {self.name} {path}\n")

    def _announce(self) -> None:
        body = {
            "name": self.name,
            "data_centre": self.data_centre,
            "rack": self.rack,
            "address": f"127.0.0.1:{self.port}",
            "pool": self.pool,
            "slots": self.slots,
            "connections": 64,
            "incarnation": self.incarnation,
            "leaving": self.leaving,
            "running": list(self.running),
            "usage": len(self.running) / self.slots,
        }
        for entry in self.entries:
            url = f"http://{entry}/v1/targets/announce"
            fut = treq.post(url, json=body, timeout=2)
            fut.addCallback(treq.content).addErrback(lambda _: None)


def _seconds(body: bytes) -> float:
    try:
        return float(json.loads(body).get("seconds", 0.0))
    except (ValueError, AttributeError):
        return 0.0


def main(
    *,
    name: str,
    data_centre: str,
    rack: str,
    pool: str,
    port: int,
    entries: str,
    slots: int = 8,
    record: str = "",
) -> None:
    """Runs one target until it is stopped; `entries` is a comma-separated list."""
    if isinstance(entries, str):
        entries = entries.split(",")
    target = StandInTarget(
        name=name,
        data_centre=data_centre,
        rack=rack,
        pool=pool,
        port=port,
        entries=list(entries),
        slots=slots,
        record=record,
    )
    reactor.callWhenRunning(target.start)
    reactor.addSystemEventTrigger("before", "shutdown", target.stop)
    reactor.run()


if __name__ == "__main__":
    fire.Fire(main)
