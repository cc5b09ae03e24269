"""Records why a scheduling pass places the tasks of one job as it does.

A trace is given to the scheduler for one pass on a copy of the state, to answer a query.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from geraniumtrack.jobs.scheduling.placement import AvailableWorker, placement_cost, rejection
from geraniumtrack.jobs.state.jobs_state import Task
from geraniumtrack.jobs.state.model import Resources, StepSpec, TaskId

if TYPE_CHECKING:
    from geraniumtrack.jobs.scheduling.pass_steps import ReadyStep
    from geraniumtrack.jobs.scheduling.team_quota import TeamQuota

__all__ = ["Candidate", "PlacementTrace", "StepTrace"]

ADVICE = "advice"  # the policy service has not allowed the worker


@dataclass(slots=True)
class Candidate:
    """A worker that the pass could use, as it was when the pass came to the step.

    Attributes:
        worker: Id of the worker.
        rack: Its rack.
        free: Its free resources.
        rejected: Why it can't run the step's first waiting task, or an empty string.
        cost: Components of the cost for that task, most important first; empty if it was not
            compared.
    """

    worker: str
    rack: str
    free: Resources
    rejected: str
    cost: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class StepTrace:
    """What a pass considered for one step.

    Attributes:
        ready_step: The step.
        candidates: The pool's workers that accept tasks, by id.
        capped: Whether a task found no place because of its team's limit.
        costs: Components of the cost of the chosen worker, by task.
    """

    ready_step: ReadyStep
    candidates: dict[str, Candidate]
    capped: bool = False
    costs: dict[TaskId, dict[str, float]] = field(default_factory=dict)


class PlacementTrace:
    """What one pass considers for a job, and which steps of its pool come first.

    Args:
        job_id: The job.
        pool: Pool of its queue.
        tickets: Returns the valid tickets of a step by worker id.
        spread_factor: How many times as long a task takes away from its data or its step's rack.

    Attributes:
        ahead: The steps that the pass considered before the job's first one, in order.
        steps: The job's steps that the pass considered, in order.
    """

    def __init__(
        self,
        job_id: str,
        pool: str,
        *,
        tickets: Callable[[ReadyStep, list[AvailableWorker]], Mapping[str, str]],
        spread_factor: float,
    ) -> None:
        self.ahead: list[ReadyStep] = []
        self.steps: list[StepTrace] = []
        self._job_id = job_id
        self._pool = pool
        self._tickets = tickets
        self._spread_factor = spread_factor
        self._quota: TeamQuota | None = None

    def begin_step(
        self, ready_step: ReadyStep, pool: list[AvailableWorker], quota: TeamQuota
    ) -> None:
        """Notes a step that the pass comes to.

        Args:
            ready_step: The step.
            pool: The available workers of its pool.
            quota: Usage of the teams so far.
        """
        if ready_step.record.job.id != self._job_id:
            if not self.steps and ready_step.queue.pool == self._pool:
                self.ahead.append(ready_step)
            return
        task = ready_step.waiting[0]
        advised = ready_step.queue.advised
        allowed = self._tickets(ready_step, pool) if advised else {}
        candidates = {}
        for item in pool:
            reason = rejection(task, ready_step.step, item) or ""
            if advised and item.worker.id not in allowed:
                reason = ADVICE
            worker = item.worker
            candidates[worker.id] = Candidate(worker.id, worker.rack, item.free, str(reason))
        self._quota = quota
        self.steps.append(StepTrace(ready_step, candidates))

    def choose(
        self,
        task: Task,
        step: StepSpec,
        workers: list[AvailableWorker],
        chosen: AvailableWorker | None,
        racks: Counter[str],
    ) -> None:
        """Notes the worker that is chosen for a task, before its resources are reserved.

        Args:
            task: The task.
            step: Its step.
            workers: The workers that were compared.
            chosen: One of them, or None.
            racks: Number of the step's tasks by rack.
        """
        if task.id.job != self._job_id:
            return
        trace = self.steps[-1]
        if chosen is None:
            trace.capped = not self._quota.allows(trace.ready_step.record.job.team, step)
            return
        if not trace.costs:
            for item in workers:
                if rejection(task, step, item) is None:
                    cost = placement_cost(task, step, item, racks, self._spread_factor)
                    trace.candidates[item.worker.id].cost = cost
        cost = placement_cost(task, step, chosen, racks, self._spread_factor)
        trace.costs[task.id] = cost
