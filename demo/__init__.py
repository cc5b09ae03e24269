"""Demonstration of a cluster under load; run by `make demo`."""
