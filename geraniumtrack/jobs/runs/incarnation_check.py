"""Checks whether an incarnation of a worker that a heartbeat names exists and answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.errors import CallFailed, NotLeader
from geraniumtrack.jobs.runs.worker_port import (
    HoldOrder,
    WorkerMismatch,
    WorkerPort,
    WorkerReport,
    WorkerRestarted,
)
from geraniumtrack.jobs.state.model import WorkerInfo

__all__ = ["IncarnationCheck"]


class IncarnationCheck:
    """Asks an incarnation of a worker for an answer of its own.

    A heartbeat may be delayed until its sender has ended, so it doesn't prove that its sender
    exists. An answer to a hold does, since it comes from the worker at the address.

    Args:
        port: Interface to the workers.
        fence: Fencing token of the owner.
        may_act: Returns whether the owner holds the leadership lease.
    """

    def __init__(self, port: WorkerPort, *, fence: int, may_act: Callable[[], bool]) -> None:
        self._port = port
        self._fence = fence
        self._may_act = may_act

    def answers(self, worker: WorkerInfo) -> Deferred:
        """Returns a Deferred of whether the incarnation answers at its address.

        The hold acknowledges no run ends and extends no lease. The Deferred fails with NotLeader if
        the leadership lease is lost meanwhile: the hold may not have been sent.
        """
        order = HoldOrder(self._fence, last_acked=0, wait_s=0.0)
        fut = self._port.hold(worker, order, may_send=self._may_act)
        return fut.addCallbacks(_is_answer, _is_no_answer).addCallback(self._require_lease)

    def _require_lease(self, answers: bool) -> bool:
        if not self._may_act():
            raise NotLeader("")
        return answers

    def disconnect(self, worker: WorkerInfo) -> None:
        """Closes the connections to an incarnation that doesn't answer and has no session."""
        self._port.disconnect(worker)


def _is_answer(report: WorkerReport) -> bool:
    return not report.fenced  # a refusal doesn't name the incarnation


def _is_no_answer(failure: Any) -> bool:
    failure.trap(CallFailed, WorkerMismatch, WorkerRestarted)
    return False
