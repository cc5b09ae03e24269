"""Keeps the owner's periodic work going when a part of it fails."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from geraniumtrack import logs
from geraniumtrack.metrics import metrics

__all__ = ["guarded"]


def guarded(function: Callable[..., Any], *args: Any, default: Any = None, **fields: Any) -> Any:
    """Calls a function; logs an exception and returns `default` instead of raising it.

    A fault in one part must not end the others: without ticks, an owner would lead on but release
    no tasks of lost workers.
    """
    try:
        return function(*args, **fields)
    except Exception as exc:  # noqa: BLE001 - any fault of a part
        where = traceback.extract_tb(exc.__traceback__)[-1]
        name = getattr(function, "__qualname__", str(function))
        position = f"{where.filename.rsplit('/', 1)[-1]}:{where.lineno}"
        metrics.count("owner_work_failures", work=name)
        logs.warn("owner_work_failed", work=name, detail=repr(exc), position=position)
        return default
