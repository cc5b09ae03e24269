"""Measurements; each module runs on its own, as `python -m bench.<name>`."""
