"""What the jobs of each pool ask for now and will soon. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from geraniumtrack.jobs.model import JobQueue, StepSpec
from geraniumtrack.jobs.ordering import chain_s, in_time
from geraniumtrack.jobs.state import JobRecord, JobsState, TaskPhase

__all__ = ["Demand", "demand_by_pool"]

RATE_WINDOW_S = 0.8  # shortest span over which a job's work is spread
LATE_SHARE = 0.15  # late work earns a fraction, so little capacity is paid for it


@dataclass(slots=True)
class Demand:
    """Processor in thousandths of a core, memory in MB.

    Attributes:
        lasting: Processor of tasks that last.
        timely: Of running and waiting tasks of jobs that can be in time.
        late: Of those of jobs that can't.
        arriving: Work per second of the jobs handed in lately, each spread over its chain.
        memory_mb: Memory of the tasks that last and of jobs that can be in time.
        hosts: Different workers that the steps with a limit of tasks on one worker need.
    """

    lasting: int = 0
    timely: int = 0
    late: int = 0
    arriving: float = 0.0
    memory_mb: int = 0
    hosts: int = 0

    @property
    def cpu(self) -> float:
        """What the pool should have room for."""
        return self.lasting + max(self.timely + LATE_SHARE * self.late, self.arriving)

    def add(self, step: StepSpec, count: int, *, timely: bool) -> None:
        """Adds `count` running or waiting tasks of a step."""
        cpu = step.counted.cpu * count
        if step.lasting:
            self.lasting += cpu
        elif timely:
            self.timely += cpu
        else:
            self.late += cpu
            return
        self.memory_mb += step.counted.memory_mb * count
        if step.max_per_worker:
            self.hosts = max(self.hosts, math.ceil(count / step.max_per_worker))


def demand_by_pool(state: JobsState, now: float) -> dict[str, Demand]:
    """Returns the demand of each pool that a queue names, at a wall-clock time in s."""
    found = {queue.pool: Demand() for queue in state.queues.values()}
    for record in state.active.values():
        queue = state.queues.get(record.job.queue)
        if queue is not None:
            _add_job(found[queue.pool], record, queue, now)
    return found


def _add_job(demand: Demand, record: JobRecord, queue: JobQueue, now: float) -> None:
    for occurrence in record.open_occurrences:
        if record.job.due(occurrence) > now:
            continue
        timely = in_time(record, queue, occurrence, now)
        for number, progress in enumerate(record.occurrences[occurrence]):
            if not record.ready(occurrence, number):
                continue
            step = record.job.steps[number]
            count = sum(t.phase in (TaskPhase.WAITING, TaskPhase.ASSIGNED) for t in progress.tasks)
            demand.add(step, count, timely=timely)
    steps = [step for step in record.job.steps if not step.lasting]
    span_s = max(chain_s(record.job.steps), RATE_WINDOW_S)
    if steps and not record.job.repetitions and record.job.submitted > now - span_s:
        work = sum(step.count * step.counted.cpu * step.estimate_s for step in steps)
        demand.arriving += work / span_s
