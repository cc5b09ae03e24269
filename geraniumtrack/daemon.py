"""Runs a daemon until SIGTERM or SIGINT, then lets it finish."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from geraniumtrack import logs, tracing

__all__ = ["run_daemon"]

EXIT_START_FAILED = 1
EXIT_FAILED = 1


def run_daemon(daemon: Any) -> int:
    """Starts a daemon and blocks until it has stopped.

    Args:
        daemon: Has `start` and `stop`, which return Deferreds.

    Returns:
        Exit code of the process.
    """
    failed: list[str] = []

    def start_failed(failure: Any) -> None:
        failed.append(failure.getErrorMessage())
        logs.warn("start_failed", detail=failure.getErrorMessage())
        reactor.stop()

    def stop() -> Deferred | None:
        return None if failed else daemon.stop()

    reactor.callWhenRunning(lambda: daemon.start().addErrback(start_failed))
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    tracing.shutdown()
    logs.event("stopped")
    if failed:
        sys.stderr.write(f"{failed[0]}; check the addresses in the settings\n")
        return EXIT_START_FAILED
    failure = getattr(daemon, "failure", "")
    if failure:
        sys.stderr.write(f"error: {failure}; check the disk and start it again\n")
        return EXIT_FAILED
    return 0
