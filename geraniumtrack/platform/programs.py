"""The two programs of the deployment: `front` runs `jobs.gateway`, `core` runs `jobs.core`.

They are not the daemons `geraniumtrack.entry` and `geraniumtrack.controller`.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.errors import SettingsError
from geraniumtrack.jobs.calls.gateway import Gateway
from geraniumtrack.jobs.core import Core
from geraniumtrack.metrics import metrics
from geraniumtrack.platform.advice_client import AdviceClient
from geraniumtrack.platform.boot import BootSettings, load_boot_settings, parse_address
from geraniumtrack.platform.caller_api import CALLER_HEADERS, CallerApi
from geraniumtrack.platform.control_api import ControlApi
from geraniumtrack.platform.machine_client import MachineClient
from geraniumtrack.platform.operator_api import AUTHORIZATION_HEADER, OperatorApi
from geraniumtrack.platform.port_limits import (
    CALLER_LIMITS,
    CONTROL_LIMITS,
    SMALL_PORT_CONNECTIONS,
    SMALL_PORT_LIMITS,
    caller_connections,
    control_connections,
)
from geraniumtrack.platform.worker_client import WorkerClient
from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.arrival_clock import ArrivalClock
from geraniumtrack.transport.http_server import Handler, HttpServer, Reply, Request

__all__ = ["CoreProgram", "FrontProgram"]

# Time from reporting unready until no more callers arrive. The platform checks readiness every
# second and stops sending callers to a process after two failed checks.
DEREGISTRATION_DELAY_S = 3.0
METRICS_PORT_OFFSET = 1  # from the first internal port; deploy/system.toml contains the port
SETTINGS_CHECK_INTERVAL_S = 1.0
DRAIN_CHECK_INTERVAL_S = 0.1
DRAIN_MARGIN_S = 0.7  # draining ends this long before the platform kills the process


class SettingsWatcher:
    """Reloads the settings file on SIGHUP and periodically; only added seeds take effect.

    Args:
        reactor: Twisted reactor.
        boot: The current settings.
        on_seeds: Called with the names of all seeds when any setting has changed.
    """

    def __init__(
        self, reactor: Any, boot: BootSettings, on_seeds: Callable[[tuple[str, ...]], None]
    ) -> None:
        self._boot = boot
        self._on_seeds = on_seeds
        self._check_loop = LoopingCall(self._check)
        self._check_loop.clock = reactor
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(self._check))

    def start(self) -> None:
        """Starts the periodic checks."""
        self._check_loop.start(SETTINGS_CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the periodic checks."""
        if self._check_loop.running:
            self._check_loop.stop()

    def _check(self) -> None:
        try:
            boot = load_boot_settings()
        except SettingsError as exc:
            # The file may be half written; the next check reads it again.
            logs.warn("settings_unreadable", detail=exc.message)
            return
        if boot == self._boot:
            return
        logs.event("settings_reloaded", seeds=",".join(boot.seed_names))
        self._boot = boot
        self._on_seeds(boot.seed_names)


def _serve_metrics(_request: Request) -> Reply:
    return Reply(200, metrics.render().encode())


def _small_port(reactor: Any, handler: Handler, name: str) -> HttpServer:
    """Returns a server for requests with short bodies."""
    return HttpServer(
        reactor,
        handler,
        limits=lambda: SMALL_PORT_LIMITS,
        connections=SMALL_PORT_CONNECTIONS,
        headers=(AUTHORIZATION_HEADER,),
        name=name,
    )


def _listen_internal(reactor: Any, boot: BootSettings, handler: Handler) -> Deferred:
    """Serves the metrics, and on controllers operators, on the second internal port."""
    server = _small_port(reactor, handler, "internal")
    return server.listen(Address(boot.ip, boot.ports[0] + METRICS_PORT_OFFSET))


class FrontProgram:
    """An entry, which serves callers.

    Args:
        reactor: Twisted reactor.
        boot: Settings of this process.
    """

    def __init__(self, reactor: Any, boot: BootSettings) -> None:
        self._reactor = reactor
        self._boot = boot
        self._gateway = Gateway(reactor, boot.gateway_settings())
        api = CallerApi(reactor, self._gateway)
        self._caller_server = HttpServer(
            reactor,
            api.handle,
            limits=lambda: CALLER_LIMITS,
            connections=caller_connections(boot),
            headers=CALLER_HEADERS,
            name="callers",
            arrivals=ArrivalClock(reactor),
        )
        self._readiness_server = _small_port(reactor, self._readiness_reply, "readiness")
        self._stopping = False
        self._settings_watcher = SettingsWatcher(reactor, boot, self._gateway.add_controllers)

    def start(self) -> Deferred:
        """Opens the ports; the returned Deferred fires when all are open."""
        self._settings_watcher.start()
        return gatherResults(
            [
                self._caller_server.listen(parse_address(self._boot.bind.front)),
                self._readiness_server.listen(parse_address(self._boot.bind.ready)),
                _listen_internal(self._reactor, self._boot, _serve_metrics),
            ]
        ).addCallback(lambda _: logs.event("front_started", node=self._boot.node))

    def stop(self) -> Deferred:
        """Drains and stops the entry.

        The entry reports that it is not ready, but serves callers until the platform sends them
        elsewhere. Then it replies to the requests in progress and closes the connections. The
        returned Deferred fires `DRAIN_MARGIN_S` before the platform kills the process, or earlier
        if all connections have closed.
        """
        logs.event("front_stopping", pending=self._caller_server.pending_requests)
        self._stopping = True
        self._settings_watcher.stop()
        fut: Deferred = Deferred()
        started_at = self._reactor.seconds()
        check_loop = LoopingCall(self._advance_drain, started_at, fut)
        check_loop.clock = self._reactor
        check_loop.start(DRAIN_CHECK_INTERVAL_S, now=False)
        fut.addCallback(lambda _: check_loop.stop())
        return fut.addCallback(lambda _: self._gateway.stop())

    def _advance_drain(self, started_at: float, fut: Deferred) -> None:
        waited_s = self._reactor.seconds() - started_at
        if waited_s >= DEREGISTRATION_DELAY_S:
            self._caller_server.drain()
            self._caller_server.close_idle()
        overdue = waited_s >= self._boot.bounds.grace_s - DRAIN_MARGIN_S
        drained = waited_s >= DEREGISTRATION_DELAY_S and not self._caller_server.connections
        if (overdue or drained) and not fut.called:
            self._caller_server.stop_listening()
            logs.event(
                "front_drained", pending=self._caller_server.pending_requests, waited_s=waited_s
            )
            fut.callback(None)

    def _readiness_reply(self, _request: Request) -> Reply:
        ready = self._gateway.ready and not self._stopping
        return Reply(200 if ready else 503)


class CoreProgram:
    """A controller, which runs jobs and serves workers and operators.

    Args:
        reactor: Twisted reactor.
        boot: Settings of this process.
    """

    def __init__(self, reactor: Any, boot: BootSettings) -> None:
        address = parse_address(boot.bind.control)
        self._core = Core(
            reactor,
            boot.core_settings(),
            port=WorkerClient(reactor),
            machines=MachineClient(reactor, boot),
            advice=AdviceClient(reactor, boot.advice) if boot.advice else None,
        )
        api = ControlApi(self._core, address.port)
        self._control_server = HttpServer(
            reactor,
            api.handle,
            limits=lambda: CONTROL_LIMITS,
            connections=control_connections(boot),
            name="control",
            arrivals=self._core.arrivals,
        )
        self._address = address
        self._reactor = reactor
        self._boot = boot
        self._settings_watcher = SettingsWatcher(reactor, boot, self._core.add_controllers)

    def start(self) -> Deferred:
        """Starts the replica and opens the ports; returns a Deferred."""
        self._settings_watcher.start()
        fut = self._core.start()
        fut.addCallback(lambda _: self._control_server.listen(self._address))
        api = OperatorApi(self._core, self._core.cfg.secret)
        return fut.addCallback(lambda _: _listen_internal(self._reactor, self._boot, api.handle))

    def stop(self) -> Deferred:
        """Stops the replica after the disk sync in progress; returns a Deferred."""
        self._settings_watcher.stop()
        self._control_server.stop_listening()
        return self._core.stop()

    @property
    def failure(self) -> str:
        """Error that made the controller stop by itself, or an empty string."""
        return self._core.failure
