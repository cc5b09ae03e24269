"""A stand-in target: an HTTP server that runs tasks in slots and announces itself.

Run it as `python -m standins.target --name t1 ...`. The body of a task may be a JSON object with
`seconds`, the time that the task runs, and `fail`, which makes it end with status 500. The answer
contains the name of the target and the id of the task. `POST /faults/<mode>` sets how the target
misbehaves from then on:

- `none`: not at all;
- `silent`: connections that are open now stop delivering data for good, while new ones work;
- `crossed`: each answer has a wrong task id, in the header and in the body;
- `truncated`: the connection closes in the middle of the body;
- `wrong-length`: Content-Length is less than the length of the body;
- `duplicate`: each answer is sent twice;
- `late`: each answer is sent `LATE_ANSWER_S` after the task has ended;
- `fail-all`: every task ends at once with status 500;
- `slow`: every task runs `SLOW_FACTOR` times as long.
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

ANNOUNCE_INTERVAL_S = 1.0
LEAVE_NOTICE_S = 1.5  # for every entry to learn that the target leaves
FLUSH_S = 0.2  # for the last answers to leave the socket buffers
DEFAULT_LEASE_S = 10.0
STOPPED_STATUS = 499  # status of a task that was cancelled or whose lease expired
LATE_ANSWER_S = 2.0
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
    """A connection that can be made silent: it then stays open but neither reads nor writes."""

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
    """A running task.

    Attributes:
        started_at: Monotonic time of the start in seconds.
        done: Fires with the HTTP status when the task ends; cancelling it stops the task.
        lease: Timer that stops the task when its lease expires.
    """

    started_at: float
    done: Deferred
    lease: Any


class StandInTarget:
    """One target.

    Args:
        name: Name that it announces.
        data_centre: Data centre that it announces.
        rack: Rack that it announces.
        pool: Pool that it announces; the controllers may assign another one.
        port: Port on the loopback address.
        entries: `host:port` of the entries that it announces itself to.
        slots: Tasks that it runs at once.
        record: File to which a line with the task's path is appended when a task starts, so that
            tests find tasks that ran twice. A line for each end goes to the file of this name with
            the suffix `.ends`, so that tests find how many tasks ran at once. A reboot that
            interrupts tasks appends a line with `interrupted` and their ids. Empty for no record.

    Attributes:
        leaving: Whether its announcements say that it leaves.
        drained: Whether it rejects new tasks until the next reboot.
        interrupted: Number of tasks that reboots have interrupted.
        fault: Current mode of misbehaviour; see the module.
        running: Running tasks by id.
        incarnation: Start time of this incarnation in ms since 1970.
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
        self._listening_port: Any = None
        self._announce_loop = LoopingCall(self._announce)
        self._rejects_tasks = False
        self.fault = "none"
        self.running: dict[str, _Task] = {}
        self._channels: weakref.WeakSet = weakref.WeakSet()
        self.incarnation = int(time.time() * 1000)
        self._record = record

    def start(self) -> Any:
        """Opens the port and begins to send announcements."""
        site = Site(self.app.resource())
        site.noisy = False
        site.protocol = self._build_channel
        endpoint = TCP4ServerEndpoint(reactor, self.port, interface="127.0.0.1", backlog=256)
        self._announce_loop.start(ANNOUNCE_INTERVAL_S)
        return endpoint.listen(site).addCallback(self._on_listening)

    @app.route("/tasks/<task_id>", methods=["POST"])
    def run(self, req: Request, task_id: str) -> Any:
        """Runs a task, or answers that it was not started."""
        req.setHeader(b"Task-Id", task_id.encode())
        if self._rejects_tasks or self.drained or len(self.running) >= self.slots:
            req.setHeader(b"Task-Not-Started", b"true")
            req.setResponseCode(503)
            return b""
        options = _parse_object(req.content.read())
        seconds = float(options.get("seconds", 0.0))
        status = 500 if options.get("fail") else 200
        if self.fault == "fail-all":
            seconds, status = 0.0, 500
        elif self.fault == "slow":
            seconds *= SLOW_FACTOR
        self._append_record(req.getHeader("task-path") or "")
        done = deferLater(reactor, seconds, lambda: status)
        lease_s = float(req.getHeader("task-lease") or DEFAULT_LEASE_S)
        self.running[task_id] = _Task(
            time.monotonic(), done, self._start_lease_timer(task_id, lease_s)
        )
        done.addErrback(lambda _: STOPPED_STATUS)
        done.addCallback(lambda code: self._finish(req, task_id, code))
        # A task continues after the entry's connection is lost, until its lease expires.
        answer: Deferred = Deferred(lambda _: None)
        done.addCallback(lambda data: None if answer.called else answer.callback(data))
        return answer

    @app.route("/tasks/<task_id>", methods=["DELETE"])
    def cancel(self, req: Request, task_id: str) -> bytes:
        """Stops a task."""
        self._stop_task(task_id)
        return b"{}"

    @inlineCallbacks
    def stop(self) -> Any:
        """Announces that the target leaves, and finishes the running tasks.

        Tasks that entries send before they have received the announcement are still accepted.
        """
        self.leaving = True
        self._announce()
        yield deferLater(reactor, LEAVE_NOTICE_S, lambda: None)
        self._rejects_tasks = True
        while self.running:
            yield deferLater(reactor, 0.05, lambda: None)
        yield deferLater(reactor, FLUSH_S, lambda: None)

    @app.route("/leases", methods=["POST"])
    def leases(self, req: Request) -> bytes:
        """Renews the leases of the tasks in `renew`; returns which of those in `tasks` run."""
        body = _parse_object(req.content.read())
        for task_id in body.get("renew", ()):
            task = self.running.get(task_id)
            if task is not None:
                task.lease.reset(body["lease_s"])
        running = [task_id for task_id in body.get("tasks", ()) if task_id in self.running]
        req.setHeader(b"Content-Type", b"application/json")
        return json.dumps({"running": running}).encode()

    @app.route("/faults/<mode>", methods=["POST"])
    def set_fault(self, req: Request, mode: str) -> bytes:
        """Sets how the target misbehaves; see the module."""
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
        """Announces from now on that the target leaves."""
        self.leaving = True
        self._announce()
        return b"{}"

    @app.route("/platform/drain", methods=["POST"])
    def platform_drain(self, req: Request) -> bytes:
        """Rejects new tasks until the next reboot; called by the stand-in platform."""
        self.drained = True
        return b"{}"

    @app.route("/platform/reboot", methods=["POST"])
    def platform_reboot(self, req: Request) -> bytes:
        """Stops serving for `seconds`, then restarts as a new incarnation."""
        seconds = float(_parse_object(req.content.read()).get("seconds", 0.0))
        self.interrupted += len(self.running)
        if self.running:
            self._append_record(f"interrupted {' '.join(self.running)}")
        reactor.callLater(0, self._stop_serving)
        reactor.callLater(seconds, self._restart)
        return json.dumps({"interrupted": self.interrupted}).encode()

    def _on_listening(self, port: Any) -> None:
        self._listening_port = port

    def _stop_serving(self) -> None:
        self._announce_loop.stop()
        for task_id in list(self.running):
            self._stop_task(task_id)
        self._listening_port.stopListening()

    def _restart(self) -> None:
        self.incarnation = int(time.time() * 1000)
        self.drained = False
        self.start()

    def _build_channel(self) -> _Channel:
        channel = _Channel()
        self._channels.add(channel)
        return channel

    def _start_lease_timer(self, task_id: str, lease_s: float) -> Any:
        return reactor.callLater(lease_s, self._stop_task, task_id)

    def _stop_task(self, task_id: str) -> None:
        task = self.running.get(task_id)
        if task is not None:
            task.done.cancel()

    def _finish(self, req: Request, task_id: str, status: int) -> Any:
        task = self.running.pop(task_id)
        self._append_record(req.getHeader("task-path") or "", suffix=".ends")
        if task.lease.active():
            task.lease.cancel()
        if req.channel is None:
            return b""
        answered_id = f"{task_id[:-1]}!" if self.fault == "crossed" else task_id
        body = json.dumps({"target": self.name, "task": answered_id}).encode()
        req.setResponseCode(status)
        req.setHeader(b"Content-Type", b"application/json")
        req.setHeader(b"Task-Id", answered_id.encode())
        req.setHeader(b"Task-Length", str(len(body)).encode())
        if self.fault == "late":
            return deferLater(reactor, LATE_ANSWER_S, lambda: body)
        if self.fault == "truncated":
            req.setHeader(b"Content-Length", str(len(body) + 40).encode())
            req.write(body)
            req.channel.loseConnection()
            return Deferred()
        if self.fault == "wrong-length":
            req.setHeader(b"Content-Length", str(len(body) - 5).encode())
        elif self.fault == "duplicate":
            response = b"HTTP/1.1 200 OK\r\nTask-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
            duplicate = response % (task_id.encode(), len(body), body)
            channel = req.channel
            reactor.callLater(0, lambda: channel.transport.write(duplicate))
        return body

    def _append_record(self, path: str, *, suffix: str = "") -> None:
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


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


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
    """Runs one target until it is stopped.

    Args:
        name: Name that it announces.
        data_centre: Data centre that it announces.
        rack: Rack that it announces.
        pool: Pool that it announces.
        port: Port on the loopback address.
        entries: `host:port` of the entries that it announces itself to, separated by commas.
        slots: Tasks that it runs at once.
        record: File for the record of starts; see `StandInTarget`.
    """
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
