"""Commits whose result nobody waits for.

They are safe to lose, because the next owner detects the same condition and proposes the command
again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.errors import NotLeader

__all__ = ["commit_in_background"]


def commit_in_background(propose: Callable[[Any], Deferred], command: Any) -> None:
    """Commits a command without waiting; a loss through a change of leader is only logged."""
    propose(command).addErrback(_log_loss, type(command).__name__)


def _log_loss(failure: Any, name: str) -> None:
    failure.trap(NotLeader)
    logs.event("commit_lost", command=name, detail=failure.getErrorMessage())
