"""What the assigned tasks occupy, by worker and by team.

The load: a pass follows each commit, some 150 times a second, while a thousand tasks run. Adding up
all of them in each pass took most of the owner's processor time, so the sums are kept and only
those of workers whose tasks have changed are computed again.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from geraniumtrack.jobs.state.jobs_state import JobsState, Task
from geraniumtrack.jobs.state.model import NO_RESOURCES, Resources

__all__ = ["Occupancy", "StepKey", "WorkerOccupancy"]

StepKey = tuple[str, int, int]  # job, occurrence, step


@dataclass(slots=True)
class WorkerOccupancy:
    """What the tasks assigned to one worker occupy.

    Attributes:
        version: The state's version of the worker's assignments, None without tasks.
        pool: Pool of the worker, empty if it is unknown.
        reserved: Resources that the tasks reserve.
        tasks: Number of tasks by step.
        lasting: Number of service tasks.
        lasting_size: Resources that these reserve.
        crashed: Tasks under which workers have crashed.
        reserved_by_team: Resources that the tasks of each team reserve.
        size_by_team: Resources that the tasks of each team request.
    """

    version: int | None = None
    pool: str = ""
    reserved: Resources = NO_RESOURCES
    tasks: Counter[StepKey] = field(default_factory=Counter)
    lasting: int = 0
    lasting_size: Resources = NO_RESOURCES
    crashed: list[Task] = field(default_factory=list)
    reserved_by_team: dict[str, Resources] = field(default_factory=dict)
    size_by_team: dict[str, Resources] = field(default_factory=dict)


NO_TASKS = WorkerOccupancy()


class Occupancy:
    """The sums over all assigned tasks of a state, kept up to date by `refresh`."""

    def __init__(self) -> None:
        self._state: JobsState | None = None
        self._workers: dict[str, WorkerOccupancy] = {}
        self._reserved: dict[tuple[str, str], Resources] = {}
        self._size: dict[str, Resources] = {}

    def copy_for(self, view: JobsState) -> Occupancy:
        """Returns a copy for a view of the same state that assigns the same tasks.

        Computing all sums of 7000 tasks anew takes several times as long as a scheduling pass.
        """
        found = Occupancy()
        found._state = view
        found._workers, found._size = dict(self._workers), dict(self._size)
        found._reserved = dict(self._reserved)
        return found

    def refresh(self, state: JobsState) -> None:
        """Computes the sums of the workers whose tasks have changed again."""
        if state is not self._state:
            self.__init__()
            self._state = state
        for worker_id in self._workers.keys() - state.assigned.keys():
            self._replace(worker_id, NO_TASKS)
        for worker_id, version in state.assigned.versions.items():
            known = self._workers.get(worker_id, NO_TASKS)
            worker = state.workers.get(worker_id)
            pool = worker.pool if worker is not None else ""
            if known.version != version or known.pool != pool:
                self._replace(worker_id, _occupancy(state, worker_id, version, pool))

    def of_worker(self, worker_id: str) -> WorkerOccupancy:
        """Returns what the tasks of a worker occupy; it must not be changed."""
        return self._workers.get(worker_id, NO_TASKS)

    def reserved(self, pool: str, team: str) -> Resources:
        """Returns what the tasks of a team reserve in a pool."""
        return self._reserved.get((pool, team), NO_RESOURCES)

    def size_by_team(self) -> Mapping[str, Resources]:
        """Returns what the tasks of each team request, in all pools."""
        return self._size

    def _replace(self, worker_id: str, occupancy: WorkerOccupancy) -> None:
        former = self._workers.pop(worker_id, NO_TASKS)
        if occupancy is not NO_TASKS:
            self._workers[worker_id] = occupancy
        for team, amount in former.size_by_team.items():
            reserved = former.reserved_by_team[team]
            _set_sum(self._size, team, self._size.get(team, NO_RESOURCES).minus(amount))
            key = former.pool, team
            _set_sum(self._reserved, key, self._reserved.get(key, NO_RESOURCES).minus(reserved))
        for team, amount in occupancy.size_by_team.items():
            reserved = occupancy.reserved_by_team[team]
            _set_sum(self._size, team, self._size.get(team, NO_RESOURCES).plus(amount))
            key = occupancy.pool, team
            _set_sum(self._reserved, key, self._reserved.get(key, NO_RESOURCES).plus(reserved))


def _set_sum(sums: dict[Any, Resources], key: Any, total: Resources) -> None:
    """Sets a sum, or deletes it if it is nothing."""
    if total == NO_RESOURCES:
        sums.pop(key, None)
    else:
        sums[key] = total


def _occupancy(state: JobsState, worker_id: str, version: int | None, pool: str) -> WorkerOccupancy:
    total = WorkerOccupancy(version, pool)
    by_team: dict[str, list[Resources]] = defaultdict(lambda: [NO_RESOURCES, NO_RESOURCES])
    for task in state.assigned.get(worker_id, {}).values():
        job = state.jobs[task.id.job].job
        step = job.steps[task.id.step]
        total.reserved = total.reserved.plus(step.reserved)
        total.tasks[task.id[:3]] += 1
        if step.lasting:
            total.lasting += 1
            total.lasting_size = total.lasting_size.plus(step.reserved)
        if task.crashes:
            total.crashed.append(task)
        amounts = by_team[job.team]
        amounts[0] = amounts[0].plus(step.reserved)
        amounts[1] = amounts[1].plus(step.size)
    total.reserved_by_team = {team: reserved for team, (reserved, _) in by_team.items()}
    total.size_by_team = {team: size for team, (_, size) in by_team.items()}
    return total
