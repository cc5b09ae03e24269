"""Addresses and identities of processes, and the operator token.

This module imports no network code.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import NamedTuple

__all__ = ["Address", "Identity", "operator_token"]


class Address(NamedTuple):
    """Host and port on which a process listens."""

    host: str
    port: int


class Identity(NamedTuple):
    """Identity that a process presents to its peers.

    Attributes:
        name: Name of the process.
        role: `entry` or `controller`.
        data_centre: Data centre in which the process runs.
    """

    name: str
    role: str
    data_centre: str


def operator_token(secret: bytes) -> str:
    """Derives the operator token, so that the cluster secret itself is never sent."""
    return hmac.new(secret, b"geraniumtrack operator", hashlib.sha256).hexdigest()
