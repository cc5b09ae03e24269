"""Decides where each request is queued, when it starts and what its caller is told."""
