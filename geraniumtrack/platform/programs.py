"""The two programs of the deployment: `front` serves callers, `core` keeps and schedules jobs."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.errors import SettingsError
from geraniumtrack.jobs.core import Core
from geraniumtrack.jobs.gateway import Gateway
from geraniumtrack.metrics import metrics
from geraniumtrack.platform.advice_client import AdviceClient
from geraniumtrack.platform.boot import Boot, load_boot, parse_address
from geraniumtrack.platform.caller_api import CallerApi
from geraniumtrack.platform.control_api import ControlApi
from geraniumtrack.platform.machine_client import MachineClient
from geraniumtrack.platform.worker_client import WorkerClient
from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.http_server import HttpLimits, HttpServer, Reply, Request

__all__ = ["CoreProgram", "FrontProgram", "set_clock"]

CALLER_LIMITS = HttpLimits(max_body_bytes=256 * 1024, header_timeout_s=3.0, idle_timeout_s=15.0)
CONTROL_LIMITS = HttpLimits(max_body_bytes=4 * 1024 * 1024)
# The platform asks for readiness each second and needs two misses to take a process out.
STOP_ACCEPTING_S = 3.0
METRICS_PORT_OFFSET = 1  # deploy/system.toml names the port
SETTINGS_CHECK_S = 1.0
DRAIN_CHECK_S = 0.1
DRAIN_MARGIN_S = 0.7  # before the platform kills the process


def set_clock(reactor: Any) -> None:
    """Makes the reactor count time that a suspended machine spends, too, as leases must."""
    reactor.seconds = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


class SettingsWatch:
    """Reads the settings file again on SIGHUP or when it has changed.

    Args:
        reactor: Twisted reactor.
        boot: The settings in force.
        on_seeds: Called with the names of new seeds.
    """

    def __init__(
        self, reactor: Any, boot: Boot, on_seeds: Callable[[tuple[str, ...]], None]
    ) -> None:
        self._boot = boot
        self._on_seeds = on_seeds
        self._checks = LoopingCall(self._check)
        self._checks.clock = reactor
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(self._check))

    def start(self) -> None:
        """Starts looking."""
        self._checks.start(SETTINGS_CHECK_S, now=False)

    def stop(self) -> None:
        """Stops looking."""
        if self._checks.running:
            self._checks.stop()

    def _check(self) -> None:
        try:
            boot = load_boot()
        except SettingsError as exc:
            # The file may be half written; the next look reads it again.
            logs.warn("settings_unreadable", detail=exc.message)
            return
        if boot == self._boot:
            return
        logs.event("settings_reloaded", seeds=",".join(boot.seed_names))
        self._boot = boot
        self._on_seeds(boot.seed_names)


def _metrics_server(reactor: Any, boot: Boot) -> Deferred:
    """Serves counters and latencies on the second internal port."""
    server = HttpServer(reactor, lambda _request: Reply(200, metrics.render().encode()))
    return server.listen(Address(boot.ip, boot.ports[0] + METRICS_PORT_OFFSET))


class FrontProgram:
    """Serves callers on an entry machine.

    Args:
        reactor: Twisted reactor.
        boot: The platform's settings.
    """

    def __init__(self, reactor: Any, boot: Boot) -> None:
        self._reactor = reactor
        self._boot = boot
        self._gateway = Gateway(reactor, boot.gateway_settings())
        api = CallerApi(self._gateway)
        self._callers = HttpServer(reactor, api.handle, limits=lambda: CALLER_LIMITS)
        self._readiness = HttpServer(reactor, self._ready)
        self._stopping = False
        self._watch = SettingsWatch(reactor, boot, self._gateway.add_controllers)

    def start(self) -> Deferred:
        """Opens the ports."""
        self._watch.start()
        return gatherResults(
            [
                self._callers.listen(parse_address(self._boot.bind.front)),
                self._readiness.listen(parse_address(self._boot.bind.ready)),
                _metrics_server(self._reactor, self._boot),
            ]
        ).addCallback(lambda _: logs.event("front_started", node=self._boot.node))

    def stop(self) -> Deferred:
        """Answers what was read, waits until the platform sends nothing more, and closes."""
        logs.event("front_stopping", pending=self._callers.busy)
        self._stopping = True
        self._watch.stop()
        fut: Deferred = Deferred()
        started = self._reactor.seconds()
        checks = LoopingCall(self._drain, started, fut)
        checks.clock = self._reactor
        checks.start(DRAIN_CHECK_S, now=False)
        fut.addCallback(lambda _: checks.stop())
        return fut.addCallback(lambda _: self._gateway.stop())

    def _drain(self, started: float, fut: Deferred) -> None:
        waited = self._reactor.seconds() - started
        if waited >= STOP_ACCEPTING_S:
            self._callers.drain()
            self._callers.close_idle()
        overdue = waited >= self._boot.bounds.grace_s - DRAIN_MARGIN_S
        empty = waited >= STOP_ACCEPTING_S and not self._callers.connections
        if (overdue or empty) and not fut.called:
            self._callers.stop_listening()
            logs.event("front_drained", pending=self._callers.busy, waited_s=waited)
            fut.callback(None)

    def _ready(self, _request: Request) -> Reply:
        ready = self._gateway.ready and not self._stopping
        return Reply(200 if ready else 503)


class CoreProgram:
    """Serves workers and operators on a core machine.

    Args:
        reactor: Twisted reactor.
        boot: The platform's settings.
    """

    def __init__(self, reactor: Any, boot: Boot) -> None:
        control = parse_address(boot.bind.control)
        self._core = Core(
            reactor,
            boot.core_settings(),
            port=WorkerClient(reactor),
            machines=MachineClient(reactor, boot),
            advice=AdviceClient(reactor, boot.advice) if boot.advice else None,
        )
        api = ControlApi(self._core, control.port)
        self._control = HttpServer(reactor, api.handle, limits=lambda: CONTROL_LIMITS)
        self._address = control
        self._reactor = reactor
        self._boot = boot
        self._watch = SettingsWatch(reactor, boot, self._core.add_controllers)

    def start(self) -> Deferred:
        """Opens the ports."""
        self._watch.start()
        fut = self._core.start()
        fut.addCallback(lambda _: self._control.listen(self._address))
        return fut.addCallback(lambda _: _metrics_server(self._reactor, self._boot))

    def stop(self) -> Deferred:
        """Closes the replica after the sync under way."""
        self._watch.stop()
        self._control.stop_listening()
        return self._core.stop()

    @property
    def failure(self) -> str:
        """Why the process stopped by itself, or an empty string."""
        return self._core.failure
