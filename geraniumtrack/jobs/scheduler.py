"""Decides which waiting tasks start where. Pure: it reads the state and returns starts."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from geraniumtrack.jobs.model import JobQueue, Resources, StepSpec, TaskId, WorkerInfo
from geraniumtrack.jobs.ordering import urgency
from geraniumtrack.jobs.placement import Room, choose
from geraniumtrack.jobs.state import JobRecord, JobsState, Task, TaskPhase

__all__ = ["Candidate", "PlannedStart", "Scheduler"]


@dataclass(frozen=True, slots=True)
class PlannedStart:
    """A start to commit and then to order."""

    task: TaskId
    run: int
    worker: WorkerInfo
    ticket: str = ""


@dataclass(slots=True)
class Candidate:
    """A step of an occurrence that has tasks waiting and may start."""

    record: JobRecord
    queue: JobQueue
    occurrence: int
    number: int
    key: tuple[float, ...]

    @property
    def step(self) -> StepSpec:
        """The step's specification."""
        return self.record.job.steps[self.number]

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step."""
        return self.record.occurrences[self.occurrence][self.number].tasks


class Scheduler:
    """Plans starts for all pools.

    Args:
        state: Returns the replicated state.
        tickets: Returns the valid tickets of a step by worker id.
    """

    def __init__(
        self,
        *,
        state: Callable[[], JobsState],
        tickets: Callable[[Candidate, list[Room]], Mapping[str, str]],
    ) -> None:
        self._state = state
        self._tickets = tickets

    def rooms(self, workers: Iterable[tuple[WorkerInfo, Resources, bool]]) -> dict[str, list[Room]]:
        """Returns the usable workers by pool with what is free on them.

        Args:
            workers: Rows of worker, room taken by runs that the state does not know, and whether
                the worker is under suspicion.
        """
        state = self._state()
        rooms: dict[str, list[Room]] = defaultdict(list)
        for worker, strangers, suspect in workers:
            room = Room(worker, worker.capacity.minus(strangers), suspect=suspect)
            for task in state.assigned.get(worker.id, {}).values():
                room.take(state.step_of(task), task.id[:3])
            rooms[worker.pool].append(room)
        return rooms

    def candidates(self, now: float) -> list[Candidate]:
        """Returns the steps that may start, in the order in which they get room."""
        found: list[Candidate] = []
        state = self._state()
        for record in state.active.values():
            queue = state.queues.get(record.job.queue)
            if queue is None:
                continue
            for occurrence in record.open_occurrences:
                if record.job.due(occurrence) > now:
                    continue
                for number, progress in enumerate(record.occurrences[occurrence]):
                    if progress.waiting and record.ready(occurrence, number):
                        step = record.job.steps[number]
                        key = urgency(record, queue, occurrence, step, now)
                        found.append(Candidate(record, queue, occurrence, number, key))
        found.sort(key=lambda candidate: candidate.key)
        return found

    def plan(self, rooms: dict[str, list[Room]], now: float) -> list[PlannedStart]:
        """Returns the starts of this pass; `rooms` is used up."""
        budget = _TeamBudget(self._state())
        starts: list[PlannedStart] = []
        for candidate in self.candidates(now):
            pool = rooms.get(candidate.queue.pool)
            if not pool:
                continue
            starts += self._plan_step(candidate, pool, budget)
        return starts

    def _plan_step(
        self, candidate: Candidate, pool: list[Room], budget: _TeamBudget
    ) -> list[PlannedStart]:
        step = candidate.step
        waiting = [task for task in candidate.tasks if task.phase is TaskPhase.WAITING]
        if step.gang and len(waiting) < len(candidate.tasks):
            return []
        tickets: Mapping[str, str] = {}
        if candidate.queue.advised:
            tickets = self._tickets(candidate, pool)
            pool = [room for room in pool if room.worker.id in tickets]
            if not pool:
                return []
        starts = self._place(candidate, waiting, pool, tickets, budget)
        if step.gang and len(starts) < len(waiting):
            _take_back(starts, candidate, pool, budget)
            return []
        return starts

    def _place(
        self,
        candidate: Candidate,
        waiting: list[Task],
        pool: list[Room],
        tickets: Mapping[str, str],
        budget: _TeamBudget,
    ) -> list[PlannedStart]:
        """Places tasks one by one until one finds no room."""
        step, team = candidate.step, candidate.record.job.team
        racks = _racks(candidate, pool) if step.lasting or step.same_rack else Counter()
        gang_run = max(task.run for task in waiting) + 1
        starts: list[PlannedStart] = []
        for task in waiting:
            room = choose(task, step, pool, racks=racks) if budget.allows(team, step) else None
            if room is None:
                break
            room.take(step, task.id[:3])
            racks[room.worker.rack] += 1
            budget.take(team, step)
            run = gang_run if step.gang else task.run + 1
            ticket = tickets.get(room.worker.id, "")
            starts.append(PlannedStart(task.id, run, room.worker, ticket))
        return starts


class _TeamBudget:
    """What each team may still start under its upper limit."""

    def __init__(self, state: JobsState) -> None:
        teams = state.config.teams if state.config is not None else ()
        self._caps = {team.name: team.cap for team in teams}
        self._used: dict[str, Resources] = defaultdict(Resources)
        for tasks in state.assigned.values():
            for task in tasks.values():
                record = state.jobs[task.id.job]
                self.take(record.job.team, record.job.steps[task.id.step])

    def allows(self, team: str, step: StepSpec) -> bool:
        """Whether one more task of a step stays within the team's limit."""
        cap = self._caps.get(team)
        if cap is None:
            return True
        after = self._used[team].plus(step.size)
        return all(
            not limit or used <= limit
            for used, limit in (
                (after.cpu, cap.cpu),
                (after.memory_mb, cap.memory_mb),
                (after.accelerators, cap.accelerators),
            )
        )

    def take(self, team: str, step: StepSpec) -> None:
        """Counts a task."""
        self._used[team] = self._used[team].plus(step.size)

    def give_back(self, team: str, step: StepSpec) -> None:
        """Uncounts a task."""
        self._used[team] = self._used[team].minus(step.size)


def _take_back(
    starts: list[PlannedStart], candidate: Candidate, pool: list[Room], budget: _TeamBudget
) -> None:
    """Gives back the room of a gang that found no place for all its members."""
    rooms = {room.worker.id: room for room in pool}
    for start in starts:
        rooms[start.worker.id].give_back(candidate.step, start.task[:3])
        budget.give_back(candidate.record.job.team, candidate.step)


def _racks(candidate: Candidate, pool: list[Room]) -> Counter[str]:
    rack_of = {room.worker.id: room.worker.rack for room in pool}
    return Counter(
        rack_of.get(task.worker, "") for task in candidate.tasks if task.phase is TaskPhase.ASSIGNED
    )
