"""Limits of the ports, as parts of the memory and the descriptors of the machine."""

from __future__ import annotations

from geraniumtrack.platform.boot import BootSettings
from geraniumtrack.transport.http_server import ConnectionLimits, HttpLimits

__all__ = [
    "CALLER_LIMITS",
    "CONTROL_LIMITS",
    "SMALL_PORT_CONNECTIONS",
    "SMALL_PORT_LIMITS",
    "caller_connections",
    "control_connections",
]

BYTES_PER_MB = 1024 * 1024
CALLER_LIMITS = HttpLimits(max_body_bytes=256 * 1024, header_timeout_s=3.0, idle_timeout_s=15.0)
CONTROL_LIMITS = HttpLimits(max_body_bytes=4 * BYTES_PER_MB)
# For readiness checks, metrics and queries of operators, whose bodies are short or empty.
SMALL_PORT_LIMITS = HttpLimits(max_body_bytes=64 * 1024)
SMALL_PORT_CONNECTIONS = ConnectionLimits(max_connections=64, max_buffered_bytes=2 * BYTES_PER_MB)

CALLER_SHARE = 4  # one part in so many of the spare memory is for requests being received
CONTROL_SHARE = 8
CONNECTION_BYTES = 16 * 1024  # memory of a connection without a request
# Files, links to all controllers, and connections that are being closed.
RESERVED_DESCRIPTORS = 300
MIN_CONNECTIONS = 64
MAX_CONTROL_CONNECTIONS = 1000
# Configurations arrive and are read back at the same time.
MIN_CONTROL_BYTES = 4 * CONTROL_LIMITS.max_body_bytes


def caller_connections(boot: BootSettings) -> ConnectionLimits:
    """Returns the limits of an entry's port for callers."""
    share = boot.limits.spare_bytes // CALLER_SHARE
    return ConnectionLimits(
        max_connections=min(share // CONNECTION_BYTES, _spare_descriptors(boot)),
        max_buffered_bytes=share,
    )


def control_connections(boot: BootSettings) -> ConnectionLimits:
    """Returns the limits of a controller's port for workers and operators."""
    return ConnectionLimits(
        max_connections=min(_spare_descriptors(boot), MAX_CONTROL_CONNECTIONS),
        max_buffered_bytes=max(boot.limits.spare_bytes // CONTROL_SHARE, MIN_CONTROL_BYTES),
    )


def _spare_descriptors(boot: BootSettings) -> int:
    return max(boot.limits.max_descriptors - RESERVED_DESCRIPTORS, MIN_CONNECTIONS)
