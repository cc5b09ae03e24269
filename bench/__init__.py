"""Benchmarks; each module can be run separately as `python -m bench.<name>`."""
