"""Waits for Deferreds in synchronous tests.

The global reactor can be started only once per process, so it is started by the first test that
waits, iterated by each test, and stopped at the end of the test session.
"""

from __future__ import annotations

import time
from typing import Any

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

WAIT_TIMEOUT_S = 30.0


@pytest.fixture(scope="session")
def reactor_stopped_at_end():
    """Stops the reactor after the last test, since its threads would keep the process alive."""
    yield
    if reactor.running:
        reactor.stop()
        reactor.iterate()


def wait_for(fut: Deferred) -> Any:
    """Iterates the reactor until a Deferred fires; returns its result or raises its failure."""
    results: list[Any] = []
    fut.addBoth(results.append)
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not results:
        assert time.monotonic() < deadline
        reactor.iterate(0.01)
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]
