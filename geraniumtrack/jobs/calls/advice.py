"""Tickets of the policy service, which decides which workers may run a step of an advised queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs.scheduling.pass_steps import ReadyStep
from geraniumtrack.jobs.scheduling.placement import AvailableWorker

__all__ = ["AdvicePort", "Ticket", "TicketCache"]

StepKey = tuple[str, int, int]  # job, occurrence, step

MAX_WORKERS_PER_CALL = 24  # the service takes longer for each worker in a request
MAX_CONCURRENT_CALLS = 4  # the service handles one call at a time and refuses long queues
RETRY_DELAY_S = 0.5  # pause after a call that failed or that returned no ticket
VALIDITY_MARGIN_S = 0.2  # a ticket must still be valid when the start order arrives


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one worker.

    Attributes:
        worker: Id of the worker.
        token: Opaque token that is sent with the start order.
        valid_s: Validity in seconds from the receipt of the ticket.
    """

    worker: str
    token: str
    valid_s: float


class AdvicePort(Protocol):
    """Calls to the policy service."""

    def request_tickets(self, step: StepKey, workers: tuple[str, ...]) -> Deferred:
        """Requests tickets for a step.

        Args:
            step: Job, occurrence and number of the step.
            workers: Ids of the workers for which tickets are requested.

        Returns:
            A Deferred of a list of Ticket, or of None if the call failed.
        """


@dataclass(slots=True)
class _StepAnswers:
    """What the policy service has answered for one step.

    Attributes:
        tickets: Token and expiry (clock value in seconds) by worker id and `born`.
        pending: Whether a call for the step is queued or under way.
        next_call_at: Clock value in seconds before which no further call is made.
        refused: Workers, as id and `born`, for which the service returned no ticket.
    """

    tickets: dict[tuple[str, int], tuple[str, float]] = field(default_factory=dict)
    pending: bool = False
    next_call_at: float = 0.0
    refused: set[tuple[str, int]] = field(default_factory=set)

    def valid(self, workers: list[AvailableWorker], now: float) -> dict[str, str]:
        """Returns the tokens that are valid at a clock value in seconds, by worker id."""
        return {
            available.worker.id: self.tickets[available.worker.id, available.worker.born][0]
            for available in workers
            if self.tickets.get((available.worker.id, available.worker.born), ("", 0.0))[1] > now
        }


class TicketCache:
    """Caches tickets by step; a ticket is a permission to run the step on one worker.

    The policy service issues the tickets. Missing ones are requested from it in the background.

    Args:
        seconds: Returns the clock value in seconds.
        port: Calls to the policy service; None if there is no such service.
        on_tickets: Called after each answer of the policy service.
    """

    def __init__(
        self, seconds: Callable[[], float], *, port: AdvicePort | None, on_tickets: Callable
    ) -> None:
        self._seconds = seconds
        self._port = port
        self._on_tickets = on_tickets
        self._steps: dict[StepKey, _StepAnswers] = {}
        self._queue: deque[tuple[StepKey, list[AvailableWorker]]] = deque()
        self._calls = 0

    @property
    def step_count(self) -> int:
        """Number of steps for which answers or pending calls are kept."""
        return len(self._steps)

    def tickets(self, ready_step: ReadyStep, workers: list[AvailableWorker]) -> Mapping[str, str]:
        """Returns the tokens of the valid tickets of a step by worker id.

        If none of them is for a worker with enough free resources, further tickets are requested
        in the background.
        """
        now = self._seconds()
        key = (ready_step.record.job.id, ready_step.occurrence, ready_step.step_number)
        answers = self._steps.setdefault(key, _StepAnswers())
        valid = answers.valid(workers, now)
        fits = any(ready_step.step.reserved.fits(w.free) for w in workers if w.worker.id in valid)
        if not fits and not answers.pending and now >= answers.next_call_at:
            self._enqueue(key, answers, ready_step, workers)
        return valid

    def known(self, ready_step: ReadyStep, workers: list[AvailableWorker]) -> Mapping[str, str]:
        """Returns what `tickets` does, and requests and keeps nothing."""
        key = (ready_step.record.job.id, ready_step.occurrence, ready_step.step_number)
        answers = self._steps.get(key)
        return answers.valid(workers, self._seconds()) if answers is not None else {}

    def forget(self, job_id: str) -> None:
        """Removes the tickets of a job that has ended."""
        for key in [key for key in self._steps if key[0] == job_id]:
            del self._steps[key]

    def _enqueue(
        self,
        key: StepKey,
        answers: _StepAnswers,
        ready_step: ReadyStep,
        workers: list[AvailableWorker],
    ) -> None:
        """Queues a call for workers that the step fits on and that were not refused before.

        If there are none, only the refusals are cleared.
        """
        eligible = [
            available
            for available in workers
            if (available.worker.id, available.worker.born) not in answers.refused
            and ready_step.step.reserved.fits(available.free)
        ]
        if not eligible:
            # The service may refuse a worker until its next incarnation, so the others are tried
            # first. If the step fits on none of those, the next call may name refused workers
            # again, up to MAX_WORKERS_PER_CALL.
            answers.refused.clear()
            return
        eligible.sort(key=lambda available: -available.free.cpu)
        answers.pending = True
        self._queue.append((key, eligible[:MAX_WORKERS_PER_CALL]))
        self._send()

    def _send(self) -> None:
        while self._queue and self._calls < MAX_CONCURRENT_CALLS and self._port is not None:
            key, workers = self._queue.popleft()
            if key not in self._steps:
                continue  # the job has ended
            self._calls += 1
            worker_ids = tuple(available.worker.id for available in workers)
            self._port.request_tickets(key, worker_ids).addCallback(
                self._handle_answer, key, workers
            )

    def _handle_answer(
        self, found: list[Ticket] | None, key: StepKey, workers: list[AvailableWorker]
    ) -> None:
        self._calls -= 1
        answers = self._steps.get(key)
        if answers is not None:  # else the job has ended
            self._store(answers, found, workers)
        logs.event(
            "advice",
            job=key[0],
            step=key[2],
            asked=len(workers),
            allowed="unknown" if found is None else len(found),
        )
        self._send()
        self._on_tickets()

    def _store(
        self, answers: _StepAnswers, found: list[Ticket] | None, workers: list[AvailableWorker]
    ) -> None:
        now = self._seconds()
        answers.pending = False
        answers.next_call_at = now if found else now + RETRY_DELAY_S
        incarnations = {available.worker.id: available.worker.born for available in workers}
        for ticket in found or ():
            if ticket.worker in incarnations:
                expires_at = now + ticket.valid_s - VALIDITY_MARGIN_S
                answers.tickets[ticket.worker, incarnations[ticket.worker]] = (
                    ticket.token,
                    expires_at,
                )
        if found is not None:
            allowed = {ticket.worker for ticket in found}
            answers.refused |= {(w, born) for w, born in incarnations.items() if w not in allowed}
