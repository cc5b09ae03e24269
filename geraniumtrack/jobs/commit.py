"""Commits that nobody waits for: what they record is found again by the next owner."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.errors import NotLeader

__all__ = ["commit_unwatched"]


def commit_unwatched(propose: Callable[[Any], Deferred], command: Any) -> None:
    """Commits a command; if the leader has changed meanwhile, that is only logged."""
    propose(command).addErrback(_lost, type(command).__name__)


def _lost(failure: Any, name: str) -> None:
    failure.trap(NotLeader)
    logs.event("commit_lost", command=name, detail=failure.getErrorMessage())
