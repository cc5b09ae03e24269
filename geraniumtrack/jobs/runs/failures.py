"""Keeps an unexpected error in one part of the owner from ending the others."""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from contextlib import contextmanager

from geraniumtrack import logs
from geraniumtrack.metrics import metrics

__all__ = ["reported_failure"]


@contextmanager
def reported_failure(part: str) -> Iterator[None]:
    """Logs and counts an exception of a part of the owner, and goes on.

    Args:
        part: Name of the part for the log line.
    """
    try:
        yield
    except Exception as exc:  # noqa: BLE001 - whatever it is, the other parts must go on
        where = traceback.extract_tb(exc.__traceback__)[-1]
        metrics.count("owner_part_failures", part=part)
        logs.warn(
            "owner_part_failed", part=part, detail=repr(exc), at=f"{where.name}:{where.lineno}"
        )
