"""The assigned tasks by worker, with a version for each worker."""

from __future__ import annotations

from geraniumtrack.jobs.state.model import TaskId
from geraniumtrack.jobs.state.records import Task

__all__ = ["Assignments"]


class Assignments(dict[str, dict[TaskId, Task]]):
    """Tasks in phase ASSIGNED, by worker id and task id.

    Attributes:
        versions: A number for each worker with tasks, which changes with its tasks and with their
            crashes, so that sums over them can be kept. It differs between replicas.
    """

    def __init__(self) -> None:
        super().__init__()
        self.versions: dict[str, int] = {}
        self._changes = 0

    def add(self, task: Task) -> None:
        """Adds a task to those of its worker."""
        self.setdefault(task.worker, {})[task.id] = task
        self.mark_changed(task.worker)

    def remove(self, task: Task) -> None:
        """Removes a task, if it is one of its worker's."""
        tasks = self.get(task.worker, {})
        if tasks.pop(task.id, None) is None:
            return
        self.mark_changed(task.worker)
        if not tasks:
            del self[task.worker], self.versions[task.worker]

    def mark_changed(self, worker_id: str) -> None:
        """Gives a worker a new version."""
        self._changes += 1
        self.versions[worker_id] = self._changes
