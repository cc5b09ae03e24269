"""Logs what becomes of the assigned runs of a worker that has ended or restarted.

Lines with the job's id are needed for each run: they show which proof allowed the next run of its
task.
"""

from __future__ import annotations

from collections.abc import Callable

from geraniumtrack import logs
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState, Task
from geraniumtrack.jobs.state.model import TaskId
from geraniumtrack.metrics import metrics

__all__ = ["ReleasedRuns", "RunKey", "log_lost_run"]

RunKey = tuple[TaskId, int, int]  # task, run and incarnation of its worker


class ReleasedRuns:
    """Logs the runs that a command about a worker releases or carries over.

    The same command may be proposed again while it is being committed, so each run is logged once
    until `forget` is called.

    Args:
        state: Returns the replicated state.
    """

    def __init__(self, state: Callable[[], JobsState]) -> None:
        self._state = state
        self._logged: set[RunKey] = set()

    def log_lost(self, worker_id: str, born: int, reason: str) -> list[RunKey]:
        """Logs the runs that the end of an incarnation releases; returns those logged just now.

        Args:
            worker_id: Id of the worker.
            born: Its incarnation.
            reason: What proves its end.
        """
        tasks = self._take_unlogged(worker_id, born)
        for task in tasks:
            log_lost_run(task, reason)
        return [_key(task) for task in tasks]

    def log_carried_over(self, command: cmds.RestartWorker) -> list[RunKey]:
        """Logs the runs that a later incarnation gets; returns those logged just now."""
        later = command.worker
        known = self._state().workers.get(later.id)
        if known is None or known.born >= later.born:
            return []
        tasks = self._take_unlogged(later.id, known.born)
        for task in tasks:
            logs.event(
                "run_carried_over",
                **_run_pairs(task),
                born=known.born,
                later_born=later.born,
            )
        return [_key(task) for task in tasks]

    def forget(self, keys: list[RunKey]) -> None:
        """Forgets logged runs, once the command about their worker was committed or lost."""
        self._logged.difference_update(keys)

    def _take_unlogged(self, worker_id: str, born: int) -> list[Task]:
        tasks = [
            task
            for task in self._state().assigned.get(worker_id, {}).values()
            if task.worker_born == born and _key(task) not in self._logged
        ]
        self._logged.update(_key(task) for task in tasks)
        return tasks


def log_lost_run(task: Task, reason: str) -> None:
    """Logs and counts that the assigned run of a task is lost, so that the task is requeued."""
    metrics.count("runs_lost", reason=reason)
    logs.event("run_lost", **_run_pairs(task), reason=reason)


def _key(task: Task) -> RunKey:
    return task.id, task.run, task.worker_born


def _run_pairs(task: Task) -> dict[str, str | int]:
    """Returns the pairs of a log line that name the assigned run of a task."""
    return {
        "job": task.id.job,
        "task": ".".join(map(str, task.id[1:])),
        "run": task.run,
        "worker": task.worker,
    }
