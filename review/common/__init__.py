"""Shared parts of the scripts of this review."""
