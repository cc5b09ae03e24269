"""Decides which tasks wait for a slot near their data, or near the other tasks of their step.

The load: tasks that take `spread_factor` times as long away from their rack, where a slot on it is
often free within a fraction of the time that is lost elsewhere. A task waits only if a slot is
expected there that ends it sooner, and never longer in total than elsewhere it could lose. It
reserves nothing that is free now, so it holds back no other task.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.estimates import DECLARED, DurationEstimates
from geraniumtrack.jobs.scheduling.ordering import (
    ESTIMATE_MARGIN,
    completion_deadline,
    remaining_critical_path_s,
)
from geraniumtrack.jobs.scheduling.pass_slots import PassSlots
from geraniumtrack.jobs.scheduling.placement import AvailableWorker, StepKey
from geraniumtrack.jobs.scheduling.rack_choice import first_rack, most_common_rack, starting_rack
from geraniumtrack.jobs.scheduling.rack_slots import (
    CapacityForecast,
    ExpectedEnd,
    ExpectedSlot,
    SlotRequest,
    expected_slots,
)
from geraniumtrack.jobs.state.jobs_state import JobsState, Task, TaskPhase
from geraniumtrack.jobs.state.model import StepSpec, TaskId

if TYPE_CHECKING:
    from geraniumtrack.jobs.scheduling.pass_steps import PlannedStart, ReadyStep

__all__ = [
    "LocalityStart",
    "LocalityWait",
    "LocalityWaits",
    "StepLocality",
    "assigned_racks",
    "prefers_rack",
]


@dataclass(frozen=True, slots=True)
class LocalityWait:
    """The first wait of a step.

    Attributes:
        key: Job, occurrence and number of the step.
        rack: Rack on which it waits for a slot.
        expected_s: Expected time in seconds until the slot is free.
        gain_s: Time in seconds that a start elsewhere would lose.
    """

    key: StepKey
    rack: str
    expected_s: float
    gain_s: float


@dataclass(frozen=True, slots=True)
class LocalityStart:
    """A planned start of a task that prefers a rack.

    Attributes:
        queue: Name of its queue.
        local: Whether it starts on that rack.
        waited_s: Time in seconds since its step began to wait, None if the task never waited.
    """

    queue: str
    local: bool
    waited_s: float | None


@dataclass(slots=True)
class _Waiting:
    """A step that waits or has waited.

    Attributes:
        since: Clock value in seconds of its first wait.
        rack: Rack on which it waits for slots.
        tasks: Its tasks that waited and haven't started since.
    """

    since: float
    rack: str
    tasks: set[TaskId] = field(default_factory=set)


def prefers_rack(step: StepSpec) -> bool:
    """Whether the tasks of a step are slow away from a rack.

    Service tasks don't end, and the owner sets the pace of best-effort tasks.
    """
    return bool(step.data_rack or step.same_rack) and not (step.lasting or step.filler)


class LocalityWaits:
    """The waits for local slots, over all scheduling passes of an owner.

    Args:
        state: Returns the replicated state.
        forecast: What is known about capacity that becomes free.
        policy: Settings of the scheduling policy.
        durations: Estimates by which the declared durations are corrected.

    Attributes:
        decisions: What the last pass decided.
        waiting: Tasks that the last pass let wait although they could start elsewhere.
        expected_s: Expected time in seconds until the last of a step's slots, by step that waits.
        slots: The expected slots of the pass.
    """

    def __init__(
        self,
        state: Callable[[], JobsState],
        forecast: CapacityForecast,
        policy: PolicySettings,
        durations: DurationEstimates = DECLARED,
    ) -> None:
        self._state = state
        self._forecast = forecast
        self._policy = policy
        self._durations = durations
        self._steps: dict[StepKey, _Waiting] = {}
        self.decisions: list[LocalityWait | LocalityStart] = []
        self.waiting: set[TaskId] = set()
        self.expected_s: dict[StepKey, float] = {}
        self._active = False
        self._now = self._seconds = 0.0
        self.slots = PassSlots(state, forecast, {})

    def adopt_waits(self, other: LocalityWaits) -> None:
        """Copies which steps wait, so that a pass decides as the next one of `other` does."""
        self._steps = {
            key: replace(item, tasks=set(item.tasks)) for key, item in other._steps.items()
        }

    def begin_pass(
        self,
        ready_steps: Iterable[ReadyStep],
        workers: Mapping[str, list[AvailableWorker]],
        now: float,
    ) -> None:
        """Forgets the expected slots of the last pass.

        Args:
            ready_steps: The steps whose tasks may start.
            workers: Available workers by pool.
            now: Wall-clock time in seconds.
        """
        self.decisions, self.waiting, self.expected_s = [], set(), {}
        self._active = self._policy.locality_wait and any(
            prefers_rack(ready_step.step) for ready_step in ready_steps
        )
        if not self._active:
            return
        self._now, self._seconds = now, self._forecast.seconds()
        self.slots = PassSlots(self._state, self._forecast, workers)
        active = self._state().active
        self._steps = {key: item for key, item in self._steps.items() if key[0] in active}

    def step(self, ready_step: ReadyStep, pool: list[AvailableWorker]) -> StepLocality | None:
        """Returns the decisions for a step, or None if none are to be made.

        Args:
            ready_step: The step.
            pool: Available workers that may run it.
        """
        if not self._active or not prefers_rack(ready_step.step):
            return None
        return StepLocality(self, ready_step, pool)

    def record_start(self, ready_step: ReadyStep, start: PlannedStart, local: bool = True) -> None:
        """Notes a planned start, whose resources are reserved on its worker by now.

        Args:
            ready_step: The step of the task.
            start: The start.
            local: Whether the task runs on the rack that it prefers, if any.
        """
        if not self._active:
            return
        step = ready_step.step
        if not step.lasting:
            factor = 1.0 if local else self._policy.spread_factor
            duration_s = self._forecast.duration_s(ready_step.queue.name, step) * factor
            self.slots.add_end(start.worker.id, ExpectedEnd(duration_s, step.reserved))
        if prefers_rack(step):
            waited_s, waiting = None, self._steps.get(start.task[:3])
            if waiting is not None and start.task in waiting.tasks:
                waiting.tasks.discard(start.task)
                waited_s = self._seconds - waiting.since
            self.decisions.append(LocalityStart(ready_step.queue.name, local, waited_s))

    # What the decisions for a step need.

    def request(self, ready_step: ReadyStep) -> SlotRequest:
        """Returns what a task of a step needs on a local worker."""
        duration_s = self._forecast.duration_s(ready_step.queue.name, ready_step.step)
        key = (ready_step.record.job.id, ready_step.occurrence, ready_step.step_number)
        hold_s = math.inf if ready_step.step.gang else duration_s
        return SlotRequest(ready_step.step, key, duration_s, self._policy.spread_factor, hold_s)

    def gain_s(self, request: SlotRequest) -> float:
        """Returns the time in seconds that a task loses away from its rack."""
        return (self._policy.spread_factor - 1) * request.duration_s

    def waited_s(self, key: StepKey) -> float:
        """Returns the time in seconds since a step began to wait, 0 if it didn't."""
        waiting = self._steps.get(key)
        return self._seconds - waiting.since if waiting is not None else 0.0

    def awaited_rack(self, key: StepKey) -> str:
        """Returns the rack for which tasks of a step wait, or an empty string."""
        waiting = self._steps.get(key)
        return waiting.rack if waiting is not None and waiting.tasks else ""

    def deadline_allows(self, ready_step: ReadyStep, wait_s: float, gain_s: float) -> bool:
        """Whether a wait in vain would not make a job late that is on time elsewhere."""
        record, queue, occurrence = ready_step.record, ready_step.queue, ready_step.occurrence
        elsewhere_s = remaining_critical_path_s(record, occurrence, self._durations) + gain_s
        deadline = completion_deadline(record.job, queue, occurrence, self._durations)
        latest_start = deadline - elsewhere_s * (1 + ESTIMATE_MARGIN)
        return not self._now <= latest_start < self._now + wait_s

    def record_wait(
        self, request: SlotRequest, tasks: Iterable[TaskId], rack: str, wait_s: float
    ) -> None:
        """Notes that tasks of a step wait for a slot on a rack."""
        waiting = self._steps.get(request.key)
        if waiting is None:
            waiting = self._steps[request.key] = _Waiting(self._seconds, rack)
            gain_s = self.gain_s(request)
            self.decisions.append(LocalityWait(request.key, rack, wait_s, gain_s))
        waiting.rack = rack
        waiting.tasks.update(tasks)
        self.waiting.update(tasks)
        self.expected_s[request.key] = max(wait_s, self.expected_s.get(request.key, 0.0))


class StepLocality:
    """The decisions for one step in one pass.

    Args:
        waits: The waits of the owner.
        ready_step: The step.
        pool: Available workers that may run it.

    Attributes:
        racks: Number of its tasks by rack. The rack that is to be preferred counts one more than
            any other.
        rack: The local rack; empty if any is, as no task of the step is placed.
        elsewhere: The worker on which the last task that waits could start. It is the choice for
            the next task, too, as long as nothing starts.
    """

    def __init__(
        self, waits: LocalityWaits, ready_step: ReadyStep, pool: list[AvailableWorker]
    ) -> None:
        self._waits = waits
        self._ready_step = ready_step
        self._request = waits.request(ready_step)
        self._gain_s = waits.gain_s(self._request)
        self._slots = waits.slots.by_rack(ready_step, pool)
        self.elsewhere: AvailableWorker | None = None
        self.racks = assigned_racks(ready_step, pool)
        awaited = self._awaited_rack()
        self.rack = ready_step.step.data_rack or awaited or most_common_rack(self.racks)
        # Whether the first task that is placed decides on the local rack.
        self._open = not self.rack
        self.rack = self.rack or self._starting_rack()
        self._lead = 0  # what `racks` holds for `rack` beyond its tasks
        if self.rack and (awaited or self._open):
            self._lead = max(self.racks.values(), default=0) + 1 - self.racks[self.rack]
            self.racks[self.rack] += self._lead

    def is_together(self, starts: list[PlannedStart]) -> bool:
        """Whether the members of a gang start on one rack, on that with their data if any."""
        racks = {start.worker.rack for start in starts}
        return len(racks) == 1 and self._request.step.data_rack in ("", *racks)

    def place(self, chosen: AvailableWorker) -> bool:
        """Notes where a task of the step is placed; returns whether this is the local rack."""
        if self._open and not self._awaited_rack():
            self.racks[self.rack] -= self._lead
            self.rack = chosen.worker.rack
        self._open = False
        self.elsewhere = None
        return chosen.worker.rack == self.rack

    def choose(
        self, task: Task, choose: Callable[[list[AvailableWorker]], AvailableWorker | None]
    ) -> AvailableWorker | None:
        """Returns the worker that placement prefers, if it is known without asking all workers.

        This is the same as for the last task, if that waits, or a local one without any drawback.

        Args:
            task: A waiting task.
            choose: Returns the best of some workers for it.
        """
        if task.crashes or task.avoid:
            return None
        if self.elsewhere is not None:
            return self.elsewhere
        local = choose(
            [item.available for item in self._slots.get(self.rack, ()) if item.available]
        )
        if local is None or local.last_run_failed or local.suspects or local.speed.probe_only:
            return None
        remote_slowdown = self._request.max_slowdown * self._waits.slots.least_slowdown
        return local if local.speed.slowdown <= remote_slowdown else None

    def _awaited_rack(self) -> str:
        """Returns the rack for which tasks of the step wait, if it has usable workers."""
        rack = self._waits.awaited_rack(self._request.key)
        usable = any(slots.available is not None for slots in self._slots.get(rack, ()))
        return rack if usable else ""

    def _starting_rack(self) -> str:
        count = len(self._ready_step.waiting)
        return starting_rack(self._slots, self._request, count, self._gain_s)

    def waits(self, task: Task, chosen: AvailableWorker) -> bool:
        """Whether a task waits for a local slot, which it claims, instead of starting on a worker.

        Members of a gang don't wait one by one, see `gang_waits`. Neither do tasks under which
        workers crashed, as they are placed apart from others first of all.
        """
        if self._request.step.gang or task.crashes or chosen.worker.rack == self.rack:
            return False
        slots = self._expected(self.rack, 1)
        if not slots or not self._worth_waiting(slots[0], chosen.speed.slowdown):
            return False
        slots[0].claim()
        self.elsewhere = chosen
        self._waits.record_wait(self._request, [task.id], self.rack, slots[0].wait_s)
        return True

    def gang_waits(self, starts: list[PlannedStart]) -> bool:
        """Whether a gang that would start on several racks waits until one has room for all of it.

        To be called without the members' reservations. The gang claims the slots.

        Args:
            starts: Where its members would start now.
        """
        chosen = {start.worker.id for start in starts}
        slowdown = max(
            item.slowdown
            for items in self._slots.values()
            for item in items
            if item.available is not None and item.available.worker.id in chosen
        )
        count = len(starts)
        rack = self._request.step.data_rack or first_rack(
            self._slots, self._request, count, self._gain_s
        )
        slots = self._expected(rack, count)
        last = max(slots, key=lambda slot: slot.wait_s, default=None)
        if len(slots) < count or not self._worth_waiting(last, slowdown):
            return False
        request = replace(self._request, hold_s=self._request.duration_s)
        for slot in slots:
            slot.slots.claim(request, last.wait_s)
        tasks = [start.task for start in starts]
        self._waits.record_wait(self._request, tasks, rack, last.wait_s)
        return True

    def _worth_waiting(self, slot: ExpectedSlot, slowdown_elsewhere: float) -> bool:
        remote_s = (self._request.duration_s + self._gain_s) * slowdown_elsewhere
        waited_s = self._waits.waited_s(self._request.key)
        return (
            # A slot that is free now was left by placement for another reason.
            slot.wait_s > 0
            and slot.done_s < remote_s
            and waited_s + slot.wait_s < self._gain_s
            and self._waits.deadline_allows(self._ready_step, slot.wait_s, self._gain_s)
        )

    def _expected(self, rack: str, count: int) -> list[ExpectedSlot]:
        return expected_slots(self._slots.get(rack, ()), self._request, count)


def assigned_racks(ready_step: ReadyStep, pool: list[AvailableWorker]) -> Counter[str]:
    """Returns the number of a step's assigned tasks by rack."""
    rack_of = {available.worker.id: available.worker.rack for available in pool}
    return Counter(
        rack_of.get(task.worker, "")
        for task in ready_step.tasks
        if task.phase is TaskPhase.ASSIGNED
    )
