"""Runs one scheduling pass for a query, whose starts are not committed."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain, islice

from geraniumtrack.jobs.scheduling.isolation import needs_own_worker
from geraniumtrack.jobs.scheduling.pass_slots import PassSlots
from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart
from geraniumtrack.jobs.scheduling.placement_trace import ADVICE, PlacementTrace, StepTrace
from geraniumtrack.jobs.scheduling.rack_slots import CapacityForecast, ExpectedEnd
from geraniumtrack.jobs.scheduling.scheduler import Scheduler
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Resources, WorkerInfo

__all__ = ["StepOutcome", "TrialPass", "run_trial"]

# Workers whose expected ends are looked at for a step that waits for room. Looking at all 550 took
# 30 ms of the owner's time, longer than the pass itself.
MAX_FORECASTS = 50


@dataclass(frozen=True, slots=True)
class StepOutcome:
    """What a trial pass decided about a step.

    Attributes:
        trace: What it considered.
        starts: The starts that it planned.
        waits_for: What the other waiting tasks wait for: `team_cap`, `local_slot`, `own_worker`,
            `advice`, `gang_room`, `room` or `workers`; empty if all start.
        rack: Rack on which they wait for slots, if that is what they wait for.
        expected_s: Expected time in seconds until one of MAX_FORECASTS workers has room, None if
            that is not known. Steps ahead of this one may take it.
    """

    trace: StepTrace
    starts: list[PlannedStart]
    waits_for: str
    rack: str
    expected_s: float | None


@dataclass(frozen=True, slots=True)
class TrialPass:
    """The result of a trial pass.

    Attributes:
        trace: What it considered.
        steps: What it decided about the job's steps.
        used: Resources that the job's team used before it.
        share: Dominant share of the team in the pool before it, None if shares don't decide.
    """

    trace: PlacementTrace
    steps: list[StepOutcome]
    used: Resources
    share: float | None


def run_trial(
    scheduler: Scheduler,
    trace: PlacementTrace,
    *,
    state: JobsState,
    workers: Iterable[tuple[WorkerInfo, Resources, bool]],
    forecast: CapacityForecast,
    team: str,
    pool: str,
    now: float,
) -> TrialPass:
    """Runs a pass of a scheduler that nothing else uses.

    Args:
        scheduler: A read-only copy, with `trace` as its trace.
        trace: The trace.
        state: The state on which the scheduler decides.
        workers: The workers that accept tasks, as for `Scheduler.available_workers_by_pool`.
        forecast: What is known about capacity that becomes free.
        team: Team of the job.
        pool: Pool of the job's queue.
        now: Wall-clock time in seconds.
    """
    quota, shares = scheduler.usage(now)
    used, share = quota.used(team), shares.share(pool, team) if shares.enabled else None
    available = scheduler.available_workers_by_pool(workers)
    starts = scheduler.plan(available, now)
    slots = PassSlots(lambda: state, forecast, available)
    for start in starts:
        step = state.jobs[start.task.job].job.steps[start.task.step]
        if not step.lasting:
            queue = state.jobs[start.task.job].job.queue
            slots.add_end(
                start.worker.id, ExpectedEnd(forecast.duration_s(queue, step), step.reserved)
            )
    outcomes = [_outcome(item, starts, scheduler, slots, available) for item in trace.steps]
    return TrialPass(trace, outcomes, used, share)


def _outcome(
    trace: StepTrace,
    starts: list[PlannedStart],
    scheduler: Scheduler,
    slots: PassSlots,
    available: dict,
) -> StepOutcome:
    ready_step = trace.ready_step
    key = ready_step.waiting[0].id[:3]
    own = [start for start in starts if start.task[:3] == key]
    if len(own) == len(ready_step.waiting):
        return StepOutcome(trace, own, "", "", None)
    reason, locality = _reason(trace, own, scheduler), scheduler.locality
    if reason == "local_slot":
        return StepOutcome(
            trace, own, reason, locality.awaited_rack(key), locality.expected_s.get(key)
        )
    expected_s = None
    if reason == "room":
        request = locality.request(ready_step)
        by_rack = slots.by_rack(ready_step, available.get(ready_step.queue.pool, []))
        items = islice(chain.from_iterable(by_rack.values()), MAX_FORECASTS)
        waits = (item.wait_s(request) for item in items)
        expected_s = min((wait for wait in waits if 0 < wait < math.inf), default=None)
    return StepOutcome(trace, own, reason, "", expected_s)


def _reason(trace: StepTrace, own: list[PlannedStart], scheduler: Scheduler) -> str:
    """Returns what the tasks of a step that don't start wait for."""
    ready_step, started = trace.ready_step, {start.task for start in own}
    left = [task for task in ready_step.waiting if task.id not in started]
    if not trace.candidates:
        return "workers"
    if trace.capped:
        return "team_cap"
    if any(task.id in scheduler.locality.waiting for task in left):
        return "local_slot"
    if any(needs_own_worker(task, ready_step.step) for task in left):
        return "own_worker"
    if all(item.rejected == ADVICE for item in trace.candidates.values()):
        return "advice"
    return "gang_room" if ready_step.step.gang else "room"
