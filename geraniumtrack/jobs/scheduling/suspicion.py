"""How strongly a task is suspected of crashing the workers that run it.

A crash counts against each task that the worker was running. Tasks with crashes are placed apart
from others, so that the next crash says more about them and harms fewer others.
"""

from __future__ import annotations

from enum import IntEnum

from geraniumtrack.jobs.state.jobs_state import Task

__all__ = ["Suspicion", "crowding_cost", "suspicion_of"]


class Suspicion(IntEnum):
    """How a task is placed, by the number of workers that crashed under it."""

    NONE = 0
    SUSPECT = 1  # preferably without other suspects and with few tasks
    ISOLATED = 2  # alone on its worker


def suspicion_of(task: Task) -> Suspicion:
    """Returns the suspicion against a task."""
    return Suspicion(min(len(task.crashes), Suspicion.ISOLATED))


def crowding_cost(suspicion: Suspicion, suspects: int, tasks: int) -> tuple[int, int]:
    """Returns the part of a placement's cost that keeps suspects and other tasks apart.

    Args:
        suspicion: Suspicion against the task to place.
        suspects: Number of suspects on the worker.
        tasks: Number of all tasks on the worker.
    """
    if suspicion is Suspicion.NONE:
        return min(suspects, 1), 0
    return suspects, tasks
