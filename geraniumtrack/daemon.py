"""Runs a daemon until SIGTERM or SIGINT, then stops it gracefully."""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred

from geraniumtrack import logs, tracing

__all__ = ["run_daemon", "use_boottime_clock"]

EXIT_START_FAILED = 1
EXIT_FAILED = 1


def use_boottime_clock(reactor: Any) -> None:
    """Sets a reactor clock that also runs while the machine is suspended, which leases require.

    Twisted's own clock is the wall clock, which may be adjusted. `time.monotonic` stands still
    while the machine is suspended, so that a lease would seem valid after it was resumed.
    """
    reactor.seconds = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


def run_daemon(daemon: Any) -> int:
    """Starts a daemon and blocks until it has stopped.

    Args:
        daemon: Has `start` and `stop`, which return Deferreds. Its attribute `failure`, if there is
            one, says why the daemon stopped by itself.

    Returns:
        The exit code of the process.
    """
    start_errors: list[str] = []
    stop_errors: list[str] = []
    started: list[Deferred] = []
    stopping = False

    def on_start_failed(failure: Any) -> None:
        start_errors.append(failure.getErrorMessage())
        logs.warn("start_failed", detail=failure.getErrorMessage())
        if not stopping:
            reactor.stop()

    def on_stop_failed(failure: Any) -> None:
        stop_errors.append(failure.getErrorMessage())
        logs.warn("stop_failed", detail=failure.getErrorMessage())

    def start() -> None:
        started.append(maybeDeferred(daemon.start).addErrback(on_start_failed))

    def stop() -> Deferred | None:
        nonlocal stopping
        stopping = True
        # A daemon can be stopped only once its ports are open.
        return started[0].addCallback(stop_started) if started else None

    def stop_started(_: Any) -> Deferred | None:
        return None if start_errors else maybeDeferred(daemon.stop).addErrback(on_stop_failed)

    reactor.callWhenRunning(start)
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    tracing.shutdown()
    logs.event("stopped")
    if start_errors:
        sys.stderr.write(f"{start_errors[0]}; check the addresses in the settings\n")
        return EXIT_START_FAILED
    if stop_errors:
        sys.stderr.write(
            f"error: {stop_errors[0]}; the stop is incomplete, report it with the log\n"
        )
        return EXIT_FAILED
    failure = getattr(daemon, "failure", "")
    if failure:
        sys.stderr.write(f"error: {failure}; check the disk and start the process again\n")
        return EXIT_FAILED
    return 0
