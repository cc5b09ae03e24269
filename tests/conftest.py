"""Shared fixtures and the Hypothesis profiles: `ci` runs with fixed seeds, `fuzz` for longer.

Tests that KNOWN-RED.txt lists still run, but their failures are only reported.
"""

import os
from pathlib import Path

import pytest
from hypothesis import settings

from tests.reactor_support import stopped_reactor

__all__ = ["stopped_reactor"]

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=50)
settings.register_profile("fuzz", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_modifyitems(items):
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    known = {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))
