"""Tickets of the policy service, which alone knows which workers may run a step."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs.placement import Room
from geraniumtrack.jobs.scheduler import Candidate

__all__ = ["AdviceBook", "AdvicePort", "Ticket"]

StepKey = tuple[str, int, int]  # job, occurrence, step

MAX_ASKED = 24  # the service takes longer for each worker that is named
MAX_CALLS = 4  # under way; the service handles one at a time and refuses long queues
ASK_AGAIN_S = 0.5  # after an answer without a ticket, or without an answer
VALIDITY_MARGIN_S = 0.2  # a ticket must still be valid when the order arrives


@dataclass(frozen=True, slots=True)
class Ticket:
    """Allows a step on one worker for `valid_s` seconds."""

    worker: str
    text: str
    valid_s: float


class AdvicePort(Protocol):
    """Calls to the policy service."""

    def ask(self, step: StepKey, workers: tuple[str, ...]) -> Deferred:
        """Returns a Deferred of a list of Ticket, or of None without an answer."""


@dataclass(slots=True)
class _Page:
    """What is known of one step: tickets with life of the worker and end of validity."""

    tickets: dict[tuple[str, int], tuple[str, float]] = field(default_factory=dict)
    asking: bool = False
    ask_at: float = 0.0
    refused: set[tuple[str, int]] = field(default_factory=set)


class AdviceBook:
    """Remembers tickets and asks for those that are missing.

    Args:
        seconds: Returns the clock value in s.
        port: The policy service; None where there is none.
        on_tickets: Called when tickets have come.
    """

    def __init__(
        self, seconds: Callable[[], float], *, port: AdvicePort | None, on_tickets: Callable
    ) -> None:
        self._seconds = seconds
        self._port = port
        self._on_tickets = on_tickets
        self._pages: dict[StepKey, _Page] = {}
        self._queue: deque[tuple[StepKey, list[Room]]] = deque()
        self._calls = 0

    def tickets(self, candidate: Candidate, rooms: list[Room]) -> Mapping[str, str]:
        """Returns the valid tickets of a step by worker id; asks if there are none."""
        now = self._seconds()
        key = (candidate.record.job.id, candidate.occurrence, candidate.number)
        page = self._pages.setdefault(key, _Page())
        valid = {
            room.worker.id: page.tickets[room.worker.id, room.worker.born][0]
            for room in rooms
            if page.tickets.get((room.worker.id, room.worker.born), ("", 0.0))[1] > now
        }
        fits = any(candidate.step.counted.fits(r.free) for r in rooms if r.worker.id in valid)
        if not fits and not page.asking and now >= page.ask_at:
            self._enqueue(key, page, candidate, rooms)
        return valid

    def forget(self, job_id: str) -> None:
        """Forgets the steps of a job that has ended."""
        for key in [key for key in self._pages if key[0] == job_id]:
            del self._pages[key]

    def _enqueue(self, key: StepKey, page: _Page, candidate: Candidate, rooms: list[Room]) -> None:
        open_rooms = [
            room
            for room in rooms
            if (room.worker.id, room.worker.born) not in page.refused
            and candidate.step.counted.fits(room.free)
        ]
        if not open_rooms:
            # Whom the service refused it may allow in another life only; ask for all again.
            page.refused.clear()
            return
        open_rooms.sort(key=lambda room: -room.free.cpu)
        page.asking = True
        self._queue.append((key, open_rooms[:MAX_ASKED]))
        self._send()

    def _send(self) -> None:
        while self._queue and self._calls < MAX_CALLS and self._port is not None:
            key, rooms = self._queue.popleft()
            self._calls += 1
            names = tuple(room.worker.id for room in rooms)
            self._port.ask(key, names).addCallback(self._answered, key, rooms)

    def _answered(self, found: list[Ticket] | None, key: StepKey, rooms: list[Room]) -> None:
        self._calls -= 1
        now = self._seconds()
        page = self._pages.setdefault(key, _Page())
        page.asking = False
        page.ask_at = now if found else now + ASK_AGAIN_S
        lives = {room.worker.id: room.worker.born for room in rooms}
        for ticket in found or ():
            if ticket.worker in lives:
                until = now + ticket.valid_s - VALIDITY_MARGIN_S
                page.tickets[ticket.worker, lives[ticket.worker]] = (ticket.text, until)
        if found is not None:
            allowed = {ticket.worker for ticket in found}
            page.refused |= {(w, born) for w, born in lives.items() if w not in allowed}
        logs.event(
            "advice",
            job=key[0],
            step=key[2],
            asked=len(rooms),
            allowed="unknown" if found is None else len(found),
        )
        self._send()
        self._on_tickets()
