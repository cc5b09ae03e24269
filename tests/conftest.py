"""Shared fixtures and the Hypothesis profiles: `ci` runs with fixed seeds, `fuzz` for longer."""

import os

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=50)
settings.register_profile("fuzz", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
