"""What the jobs of each pool ask for now and will soon. Pure."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from geraniumtrack.jobs.model import JobQueue, StepSpec
from geraniumtrack.jobs.ordering import chain_s, in_time
from geraniumtrack.jobs.state import JobRecord, JobsState, TaskPhase

__all__ = ["Demand", "demand_by_pool"]

RATE_WINDOW_S = 0.8  # shortest span over which a job's work is spread
TREND_SPAN_S = 0.8  # the work of two such spans is compared
LEAD_S = 2.2  # until an instance that is sent for takes tasks, and the lag of the averages
NOISE_SHARE = 0.25  # of the standard error that counts as noise of the arrivals
TREND_JOBS = 24  # fewer jobs in a span say nothing of its trend
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
        growth: By how much the arriving work will grow until an instance has moved.
        hosts: Different workers that the steps with a limit of tasks on one worker need.
        by_label: Processor of the tasks that need a worker with a label, by label.
        racks: Racks near the data of running and waiting tasks.
    """

    lasting: int = 0
    timely: int = 0
    late: int = 0
    arriving: float = 0.0
    growth: float = 0.0
    memory_mb: int = 0
    hosts: int = 0
    by_label: Counter[str] = field(default_factory=Counter)
    racks: set[str] = field(default_factory=set)

    @property
    def cpu(self) -> float:
        """What the pool should have room for."""
        now = max(self.timely + LATE_SHARE * self.late, self.arriving)
        return self.lasting + now + self.growth

    def add(self, step: StepSpec, count: int, *, timely: bool) -> None:
        """Adds `count` running or waiting tasks of a step."""
        cpu = step.counted.cpu * count
        if step.label and count:
            self.by_label[step.label] += max(cpu, 1)
        if step.data_rack and count:
            self.racks.add(step.data_rack)
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
    for pool, arrivals in _arrivals(state, now).items():
        found[pool].growth = _growth(arrivals)
    return found


def _arrivals(state: JobsState, now: float) -> dict[str, list[tuple[float, float]]]:
    """Returns age in s and work of the jobs handed in lately, by pool."""
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for record in reversed(state.jobs.values()):
        age_s = now - record.job.submitted
        if age_s > 2 * TREND_SPAN_S:
            break
        queue = state.queues.get(record.job.queue)
        if queue is not None and not record.job.repetitions:
            found[queue.pool].append((age_s, _work(record.job.steps)))
    return found


def _growth(arrivals: list[tuple[float, float]]) -> float:
    """Returns the growth of the arriving work until an instance has moved, less its noise."""
    recent = [work for age_s, work in arrivals if age_s <= TREND_SPAN_S]
    if len(recent) < TREND_JOBS:
        return 0.0
    before = [work for age_s, work in arrivals if age_s > TREND_SPAN_S]
    noise = NOISE_SHARE * math.sqrt(sum(work * work for _, work in arrivals))
    rise = (sum(recent) - sum(before) - noise) / TREND_SPAN_S
    return max(rise, 0.0) * LEAD_S / TREND_SPAN_S


def _work(steps: tuple[StepSpec, ...]) -> float:
    return sum(s.count * s.counted.cpu * s.estimate_s for s in steps if not s.lasting)


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
    span_s = max(chain_s(record.job.steps), RATE_WINDOW_S)
    if not record.job.repetitions and record.job.submitted > now - span_s:
        demand.arriving += _work(record.job.steps) / span_s
