"""A stand-in target: an HTTP server that runs tasks in slots and announces itself.

Run as `python -m standins.target --name t1 ...`. A task's body may be a JSON object with
`seconds` to say how long it runs, and `fail` to end with status 500. The answer names the target
and repeats the task's id. `POST /faults/<mode>` makes the target misbehave from then on:

- `none`: as it should;
- `silent`: the connections open now go silent for good, while new ones work;
- `crossed`: each answer carries the id and body of another task;
- `truncated`: the connection closes in the middle of the body;
- `wrong-length`: Content-Length is shorter than the body;
- `duplicate`: each answer is sent twice;
- `late`: an answer comes `LATE_S` after the task has ended;
- `fail-all`: every task ends at once with status 500;
- `slow`: a task runs ten times as long.
"""

from __future__ import annotations

import json
import time
import weakref
from typing import Any, NamedTuple

import fire
import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.http import HTTPChannel, Request
from twisted.web.server import Site

__all__ = ["StandInTarget"]

ANNOUNCE_S = 1.0
LEAVE_S = 1.5  # until every entry has heard that it leaves
FLUSH_S = 0.2  # for the last answers to leave the socket buffers
DEFAULT_LEASE_S = 10.0
STOPPED_STATUS = 499  # answer to a task that was cancelled or whose lease ran out
LATE_S = 2.0
SLOW_FACTOR = 10.0
FAULTS = (
    "none",
    "silent",
    "crossed",
    "truncated",
    "wrong-length",
    "duplicate",
    "late",
    "fail-all",
    "slow",
)


class _Channel(HTTPChannel):
    """A connection that can go silent: it then neither reads nor writes nor closes."""

    silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        if not self.silent:
            super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Sends bytes unless the connection is silent."""
        if not self.silent:
            super().write(data)

    def writeSequence(self, parts: Any) -> None:  # noqa: N802 - Twisted's name
        """Sends bytes unless the connection is silent."""
        if not self.silent:
            super().writeSequence(parts)


class _Task(NamedTuple):
    """A running task: when it began, what ends it, and when its lease runs out."""

    began: float
    done: Deferred
    lease: Any


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
        self.drained = False
        self.interrupted = 0
        self._listening: Any = None
        self._announcements = LoopingCall(self._announce)
        self._closed = False
        self.fault = "none"
        self.running: dict[str, _Task] = {}
        self._channels: weakref.WeakSet = weakref.WeakSet()
        self.incarnation = int(time.time() * 1000)
        self._record = record

    def start(self) -> Any:
        """Opens the port and begins to announce."""
        site = Site(self.app.resource())
        site.noisy = False
        site.protocol = self._channel
        endpoint = TCP4ServerEndpoint(reactor, self.port, interface="127.0.0.1", backlog=256)
        self._announcements.start(ANNOUNCE_S)
        return endpoint.listen(site).addCallback(self._opened)

    @app.route("/tasks/<task_id>", methods=["POST"])
    def run(self, req: Request, task_id: str) -> Any:
        """Runs a task, or says that it was not started."""
        req.setHeader(b"Task-Id", task_id.encode())
        if self._closed or self.drained or len(self.running) >= self.slots:
            req.setHeader(b"Task-Not-Started", b"true")
            req.setResponseCode(503)
            return b""
        told = _told(req.content.read())
        seconds = float(told.get("seconds", 0.0))
        status = 500 if told.get("fail") else 200
        if self.fault == "fail-all":
            seconds, status = 0.0, 500
        elif self.fault == "slow":
            seconds *= SLOW_FACTOR
        self._note(req.getHeader("task-path") or "")
        done = deferLater(reactor, seconds, lambda: status)
        lease_s = float(req.getHeader("task-lease") or DEFAULT_LEASE_S)
        self.running[task_id] = _Task(time.monotonic(), done, self._lease(task_id, lease_s))
        done.addErrback(lambda _: STOPPED_STATUS)
        done.addCallback(lambda code: self._finish(req, task_id, code))
        # A task goes on when the entry's connection is lost: only its lease bounds it.
        answer: Deferred = Deferred(lambda _: None)
        done.addCallback(lambda data: None if answer.called else answer.callback(data))
        return answer

    @app.route("/tasks/<task_id>", methods=["DELETE"])
    def cancel(self, req: Request, task_id: str) -> bytes:
        """Stops a task."""
        self._stop(task_id)
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

    @app.route("/leases", methods=["POST"])
    def leases(self, req: Request) -> bytes:
        """Renews leases and tells which of the tasks asked about are running."""
        body = _told(req.content.read())
        for task_id in body.get("renew", ()):
            task = self.running.get(task_id)
            if task is not None:
                task.lease.reset(body["lease_s"])
        running = [task_id for task_id in body.get("tasks", ()) if task_id in self.running]
        req.setHeader(b"Content-Type", b"application/json")
        return json.dumps({"running": running}).encode()

    @app.route("/faults/<mode>", methods=["POST"])
    def set_fault(self, req: Request, mode: str) -> bytes:
        """Makes the target misbehave; see the module."""
        if mode not in FAULTS:
            req.setResponseCode(400)
            return b"{}"
        self.fault = mode
        if mode == "silent":
            for channel in self._channels:
                channel.silent = channel is not req.channel
        return b"{}"

    @app.route("/leaving", methods=["POST"])
    def leave(self, req: Request) -> bytes:
        """Announces from now on that the target is leaving."""
        self.leaving = True
        self._announce()
        return b"{}"

    @app.route("/platform/drain", methods=["POST"])
    def platform_drain(self, req: Request) -> bytes:
        """Refuses new tasks from now on; the platform stand-in asks for it."""
        self.drained = True
        return b"{}"

    @app.route("/platform/reboot", methods=["POST"])
    def platform_reboot(self, req: Request) -> bytes:
        """Stops serving for `seconds`, then serves again as a new incarnation."""
        seconds = float(_told(req.content.read()).get("seconds", 0.0))
        self.interrupted += len(self.running)
        if self.running:
            self._note(f"interrupted {' '.join(self.running)}")
        reactor.callLater(0, self._stop_serving)
        reactor.callLater(seconds, self._serve_again)
        return json.dumps({"interrupted": self.interrupted}).encode()

    def _opened(self, port: Any) -> None:
        self._listening = port

    def _stop_serving(self) -> None:
        self._announcements.stop()
        for task_id in list(self.running):
            self._stop(task_id)
        self._listening.stopListening()

    def _serve_again(self) -> None:
        self.incarnation = int(time.time() * 1000)
        self.drained = False
        self.start()

    def _channel(self) -> _Channel:
        channel = _Channel()
        self._channels.add(channel)
        return channel

    def _lease(self, task_id: str, lease_s: float) -> Any:
        return reactor.callLater(lease_s, self._stop, task_id)

    def _stop(self, task_id: str) -> None:
        task = self.running.get(task_id)
        if task is not None:
            task.done.cancel()

    def _finish(self, req: Request, task_id: str, status: int) -> Any:
        task = self.running.pop(task_id)
        self._note(req.getHeader("task-path") or "", suffix=".ends")
        if task.lease.active():
            task.lease.cancel()
        if req.channel is None:
            return b""
        other = f"{task_id[:-1]}!" if self.fault == "crossed" else task_id
        body = json.dumps({"target": self.name, "task": other}).encode()
        req.setResponseCode(status)
        req.setHeader(b"Content-Type", b"application/json")
        req.setHeader(b"Task-Id", other.encode())
        req.setHeader(b"Task-Length", str(len(body)).encode())
        if self.fault == "late":
            return deferLater(reactor, LATE_S, lambda: body)
        if self.fault == "truncated":
            req.setHeader(b"Content-Length", str(len(body) + 40).encode())
            req.write(body)
            req.channel.loseConnection()
            return Deferred()
        if self.fault == "wrong-length":
            req.setHeader(b"Content-Length", str(len(body) - 5).encode())
        elif self.fault == "duplicate":
            answer = b"HTTP/1.1 200 OK\r\nTask-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
            twice = answer % (task_id.encode(), len(body), body)
            channel = req.channel
            reactor.callLater(0, lambda: channel.transport.write(twice))
        return body

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


def _told(body: bytes) -> dict[str, Any]:
    try:
        told = json.loads(body)
    except ValueError:
        return {}
    return told if isinstance(told, dict) else {}


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
