"""Delays the restarts of service tasks under which workers keep crashing.

A service task is restarted however it ends, so one that crashes each worker would crash one after
the other without end. Each further crash doubles the delay; a run that lasts ends it.
"""

from __future__ import annotations

from collections.abc import Callable

from geraniumtrack import logs
from geraniumtrack.jobs.state.jobs_state import MAX_CRASHES, JobsState, Task
from geraniumtrack.jobs.state.model import TaskId

__all__ = ["RestartBackoff"]

FIRST_DELAY_S = 1.0  # after MAX_CRASHES crashes


class RestartBackoff:
    """Decides when a service task may be started again after crashes of its workers.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
    """

    def __init__(self, seconds: Callable[[], float], *, state: Callable[[], JobsState]) -> None:
        self._seconds = seconds
        self._state = state
        # Stands in for the time of crashes that the former owner counted.
        self._started_at = seconds()
        self._last_crash_at: dict[TaskId, float] = {}

    def handle_crash(self, task: Task) -> None:
        """Notes that a crash was just counted against a service task."""
        active = self._state().active
        self._last_crash_at = {
            task_id: at for task_id, at in self._last_crash_at.items() if task_id.job in active
        }
        self._last_crash_at[task.id] = self._seconds()
        delay_s = _delay_s(task)
        if delay_s:
            logs.warn(
                "service_restart_delayed",
                job=task.id.job,
                task=".".join(map(str, task.id[1:])),
                crashes=len(task.crashes),
                delay_s=delay_s,
            )

    def allows(self, task: Task) -> bool:
        """Whether a waiting task may be started now, as far as its crashes decide."""
        if len(task.crashes) < MAX_CRASHES:
            return True
        since = self._last_crash_at.get(task.id, self._started_at)
        return self._seconds() >= since + _delay_s(task)


def _delay_s(task: Task) -> float:
    """Returns the delay of a restart in s; it doubles with each crash from MAX_CRASHES on."""
    doublings = len(task.crashes) - MAX_CRASHES
    return FIRST_DELAY_S * 2**doublings if doublings >= 0 else 0.0
