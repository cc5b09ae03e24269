"""Spins the global reactor, which can be started only once in a process, from the tests."""

from __future__ import annotations

import time
from typing import Any

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

GIVE_UP_S = 30.0


@pytest.fixture(scope="session")
def stopped_reactor():
    """Stops the reactor at the end, since its threads would keep the process alive."""
    yield
    if reactor.running:
        reactor.stop()
        reactor.iterate()


def wait_for(fut: Deferred) -> Any:
    """Spins the reactor until a Deferred fires; returns its result or raises its failure."""
    results: list[Any] = []
    fut.addBoth(results.append)
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    give_up = time.monotonic() + GIVE_UP_S
    while not results:
        assert time.monotonic() < give_up
        reactor.iterate(0.01)
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]
