"""Computes the resources that the jobs of each pool need now and in the near future."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from geraniumtrack.jobs.scheduling.estimates import DECLARED, DurationEstimates
from geraniumtrack.jobs.scheduling.ordering import deadline_outlook
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState
from geraniumtrack.jobs.state.model import Job, JobQueue, StepSpec

__all__ = ["Demand", "demand_by_pool"]

MIN_RATE_WINDOW_S = 0.8  # a job's work counts as arriving evenly over at least this time
TREND_WINDOW_S = 0.8  # the trend compares the work submitted in the last two windows
# Time until an instance that is moved into a pool runs tasks, plus the lag of the window averages.
MOVE_LEAD_TIME_S = 2.2
NOISE_FACTOR = 0.25  # share of the standard error that is subtracted from the trend as noise
MIN_TREND_JOBS = 24  # a window with fewer jobs says nothing about the trend
LATE_WORK_WEIGHT = 0.15  # late jobs are worth a fraction, so they justify little capacity


@dataclass(slots=True)
class Demand:
    """Resources that the jobs of a pool need.

    Amounts of CPU are in thousandths of a core, amounts of memory in MB. Except for `arrival_cpu`
    and `growth`, only running tasks and waiting tasks that may start are counted: those of
    occurrences that are due, in steps whose dependencies are done.

    Attributes:
        lasting: CPU of service tasks.
        on_time: CPU of the tasks of occurrences that can still meet their deadline, without service
            tasks.
        late: CPU of the tasks of the other occurrences, without service tasks.
        arrival_cpu: CPU that recently submitted jobs need on average, with the work of each job
            spread over its critical path, but at least over MIN_RATE_WINDOW_S. Scheduled jobs and
            jobs that have ended are not counted.
        memory_mb: Memory of service tasks and of the tasks counted in `on_time`.
        lasting_memory_mb: Memory of service tasks.
        lasting_workers: Like `min_workers`, for service tasks only.
        growth: Expected increase of `arrival_cpu` by the time that a moved instance runs tasks.
        min_workers: Largest number of workers that a step needs because it limits its tasks on one
            worker; tasks counted in `late` are left out.
        cpu_by_label: CPU of the tasks that need a worker with a certain label, by label.
        data_racks: Racks that hold the data of the tasks.
    """

    lasting: int = 0
    on_time: int = 0
    late: int = 0
    arrival_cpu: float = 0.0
    growth: float = 0.0
    memory_mb: int = 0
    min_workers: int = 0
    lasting_memory_mb: int = 0
    lasting_workers: int = 0
    cpu_by_label: Counter[str] = field(default_factory=Counter)
    data_racks: set[str] = field(default_factory=set)

    @property
    def cpu(self) -> float:
        """CPU that the pool should offer to its jobs."""
        current = max(self.on_time + LATE_WORK_WEIGHT * self.late, self.arrival_cpu)
        return self.lasting + current + self.growth

    def add(self, step: StepSpec, count: int, *, on_time: bool) -> None:
        """Adds running or waiting tasks of a step.

        Args:
            step: The step.
            count: Number of tasks.
            on_time: Whether the occurrence of the job can still meet its deadline.
        """
        cpu = step.reserved.cpu * count
        if step.label and count:
            self.cpu_by_label[step.label] += max(cpu, 1)
        if step.data_rack and count:
            self.data_racks.add(step.data_rack)
        if step.lasting:
            self.lasting += cpu
        elif on_time:
            self.on_time += cpu
        else:
            self.late += cpu
            return
        self.memory_mb += step.reserved.memory_mb * count
        workers = math.ceil(count / step.max_per_worker) if step.max_per_worker else 0
        self.min_workers = max(self.min_workers, workers)
        if step.lasting:
            self.lasting_memory_mb += step.reserved.memory_mb * count
            self.lasting_workers = max(self.lasting_workers, workers)


def demand_by_pool(
    state: JobsState, now: float, durations: DurationEstimates = DECLARED
) -> dict[str, Demand]:
    """Returns the demand of each pool that a queue names.

    Args:
        state: The replicated state.
        now: Wall-clock time in seconds.
        durations: Estimates by which the declared durations are corrected.
    """
    demands = {queue.pool: Demand() for queue in state.queues.values()}
    for record in state.active.values():
        queue = state.queues.get(record.job.queue)
        if queue is not None:
            _add_job(demands[queue.pool], record, queue, now, durations)
    for pool, arrivals in _recent_arrivals(state, now, durations).items():
        demands[pool].growth = _expected_growth(arrivals)
    return demands


def _recent_arrivals(
    state: JobsState, now: float, durations: DurationEstimates
) -> dict[str, list[tuple[float, float]]]:
    """Returns age in seconds and work of the jobs of the last two trend windows, by pool."""
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for record in reversed(state.jobs.values()):
        age_s = now - record.job.submitted
        if age_s > 2 * TREND_WINDOW_S:
            break
        queue = state.queues.get(record.job.queue)
        if queue is not None and not record.job.repetitions:
            found[queue.pool].append((age_s, _total_work(record.job, durations)))
    return found


def _expected_growth(arrivals: list[tuple[float, float]]) -> float:
    """Extrapolates the increase between two trend windows, less noise, over the lead time."""
    recent = [work for age_s, work in arrivals if age_s <= TREND_WINDOW_S]
    if len(recent) < MIN_TREND_JOBS:
        return 0.0
    before = [work for age_s, work in arrivals if age_s > TREND_WINDOW_S]
    noise = NOISE_FACTOR * math.sqrt(sum(work * work for _, work in arrivals))
    increase = (sum(recent) - sum(before) - noise) / TREND_WINDOW_S
    return max(increase, 0.0) * MOVE_LEAD_TIME_S / TREND_WINDOW_S


def _total_work(job: Job, durations: DurationEstimates) -> float:
    """Returns the expected work of all tasks except service tasks, in CPU times seconds."""
    return sum(
        step.count * step.reserved.cpu * step.estimate_s * durations.mean(job.queue, step.image)
        for step in job.steps
        if not step.lasting
    )


def _add_job(
    demand: Demand, record: JobRecord, queue: JobQueue, now: float, durations: DurationEstimates
) -> None:
    path_s = 0.0
    for occurrence in record.open_occurrences:
        if record.job.due(occurrence) > now:
            continue
        on_time, path_s = deadline_outlook(record, queue, occurrence, now, durations)
        for number, progress in enumerate(record.occurrences[occurrence]):
            if not record.ready(occurrence, number):
                continue
            step = record.job.steps[number]
            count = len(progress.tasks) - progress.done  # no task of an active job has failed
            demand.add(step, count, on_time=on_time)
    span_s = max(path_s, MIN_RATE_WINDOW_S)
    if not record.job.repetitions and record.job.submitted > now - span_s:
        demand.arrival_cpu += _total_work(record.job, durations) / span_s
