"""Decides how many instances each pool should have. Reads no clock and does no I/O."""
