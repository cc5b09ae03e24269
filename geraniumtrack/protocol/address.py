"""Addresses and identities of processes, and the operators' token. Imports no network code."""

from __future__ import annotations

import hashlib
import hmac
from typing import NamedTuple

__all__ = ["Address", "Identity", "operator_token"]


class Address(NamedTuple):
    """Host and port of a process."""

    host: str
    port: int


class Identity(NamedTuple):
    """Who a process is; role is `entry`, `controller` or `operator`."""

    name: str
    role: str
    data_centre: str


def operator_token(secret: bytes) -> str:
    """Derives the operators' token, so that the cluster secret itself never travels."""
    return hmac.new(secret, b"geraniumtrack operator", hashlib.sha256).hexdigest()
