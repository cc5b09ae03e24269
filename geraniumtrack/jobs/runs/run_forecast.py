"""What the owner knows about capacity that becomes free, and the log of waits for it."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatch
from typing import Any

from geraniumtrack import logs
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.locality import LocalityStart, LocalityWait
from geraniumtrack.jobs.scheduling.rack_slots import Arrival, ExpectedEnd
from geraniumtrack.jobs.scheduling.worker_speed import WorkerSpeed
from geraniumtrack.jobs.state.jobs_state import JobsState, Task, TaskPhase
from geraniumtrack.jobs.state.model import StepSpec
from geraniumtrack.metrics import metrics

__all__ = ["RunForecast", "record_locality"]


class RunForecast:
    """Forecasts when runs end and instances arrive, while this controller is the owner.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        arrivals: Returns the instances in transit to a pool.
        worker_speed: Returns the speed of a worker by its id.
        policy: Settings of the scheduling policy.
        duration_factor: Returns the expected ratio of observed to declared duration, by the name of
            a queue and the image of a step.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        arrivals: Callable[[str], list[Arrival]],
        worker_speed: Callable[[str], WorkerSpeed],
        policy: PolicySettings,
        duration_factor: Callable[[str, str], float] = lambda _queue, _image: 1.0,
    ) -> None:
        self.seconds = seconds
        self.arrivals = arrivals
        self._state = state
        self._sessions = sessions
        self._worker_speed = worker_speed
        self._policy = policy
        self._duration_factor = duration_factor

    def with_speeds(self, worker_speed: Callable[[str], WorkerSpeed]) -> RunForecast:
        """Returns a forecast that asks `worker_speed` for the speed of a worker by its id."""
        found = copy.copy(self)
        found._worker_speed = worker_speed
        return found

    def duration_s(self, queue: str, step: StepSpec) -> float:
        """Returns the expected duration in seconds of a task of a queue, where its data is."""
        return step.estimate_s * self._duration_factor(queue, step.image)

    def run_ends(self, worker_id: str) -> list[ExpectedEnd]:
        """Returns the expected ends of a worker's runs; service tasks don't end."""
        session = self._sessions().get(worker_id)
        if session is None:
            return []
        now, slowdown = self.seconds(), self._worker_speed(worker_id).slowdown
        found = []
        for task in self._state().assigned.get(worker_id, {}).values():
            record = self._state().jobs[task.id.job]
            step = record.job.steps[task.id.step]
            if step.lasting:
                continue
            duration_s = self.duration_s(record.job.queue, step) * slowdown
            if self._is_remote(task, step, session.worker.rack):
                duration_s *= self._policy.spread_factor
            left_s = duration_s - (now - _started_at(session, task))
            # A run that is overdue is expected to take as long again as it is overdue. Declared
            # durations are often too short, and some runs take several times as long.
            found.append(ExpectedEnd(abs(left_s), step.reserved))
        return found

    def _is_remote(self, task: Task, step: StepSpec, rack: str) -> bool:
        """Whether a task runs away from its data, or from most of its step's running tasks."""
        if step.data_rack or not step.same_rack:
            return bool(step.data_rack) and rack != step.data_rack
        workers = self._state().workers
        progress = self._state().jobs[task.id.job].occurrences[task.id.occurrence][task.id.step]
        racks = [
            workers[other.worker].rack
            for other in progress.tasks
            if other.phase is TaskPhase.ASSIGNED and other.worker in workers
        ]
        return 2 * racks.count(rack) < len(racks)


def _started_at(session: WorkerSession, task: Task) -> float:
    """Returns when a run started at the latest, in seconds of the owner's clock.

    For a run of an earlier owner this is when the session was opened.
    """
    order = session.sent_starts.get(task.id)
    if order is None or order.run != task.run:
        return session.opened_at
    return order.answered_at if order.answered_at is not None else order.sent_at


def record_locality(decisions: Iterable[LocalityWait | LocalityStart]) -> None:
    """Logs and counts what a scheduling pass decided about waits for local slots."""
    for decision in decisions:
        _record(decision)


@singledispatch
def _record(decision: Any) -> None:
    raise TypeError(f"{type(decision).__name__} is no decision about locality")


@_record.register
def _(decision: LocalityWait) -> None:
    job, occurrence, step = decision.key
    logs.event(
        "locality_wait",
        job=job,
        occurrence=occurrence,
        step=step,
        rack=decision.rack,
        expected_s=round(decision.expected_s, 3),
        gain_s=round(decision.gain_s, 3),
    )


@_record.register
def _(decision: LocalityStart) -> None:
    local = "yes" if decision.local else "no"
    metrics.count("locality_starts", queue=decision.queue, local=local)
    if decision.waited_s is not None:
        metrics.observe("locality_wait", decision.waited_s, queue=decision.queue, local=local)
