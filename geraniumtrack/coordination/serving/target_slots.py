"""Usable targets of the pools in one data centre, and their free slots.

It does no I/O; time is passed in.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import Any

from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.serving.quarantine import Quarantine
from geraniumtrack.coordination.serving.queues import Task
from geraniumtrack.state.records import Instance
from geraniumtrack.state.view import ConfigView

__all__ = ["PoolState", "TargetSlots"]

REBUILD_INTERVAL_S = 1.0  # after this time, targets that a placement skipped are considered again
# A target that refused a task for lack of a slot gets no placement for this time.
FULL_PAUSE_S = 0.2


@dataclass(slots=True)
class PoolState:
    """Usable targets of one pool, and the tasks that run on them.

    Attributes:
        targets: Announcement of each target.
        by_free_slots: Names of the targets by number of free slots.
        slots: Number of slots, without those of targets that are set aside for failures.
        revision: Result of `TargetSlots._revision` at the last rebuild.
        built_at: Time of the last rebuild.
        running: Number of running tasks.
        running_long: Number of running tasks of urgency "long".
        run_time: Moving average of the run time of a task, in seconds.
        finished: Number of tasks that have finished.
    """

    targets: dict[str, Any] = field(default_factory=dict)
    by_free_slots: dict[int, OrderedDict[str, None]] = field(default_factory=dict)
    slots: int = 0
    revision: tuple[int, int] = (-1, -1, -1)
    built_at: float = float("-inf")
    running: int = 0
    running_long: int = 0
    run_time: float = 0.1
    finished: int = 0


class TargetSlots:
    """Chooses targets for tasks, and counts the slots in use.

    Args:
        data_centre: Only the targets of this data centre are used.
        view: Configuration view.
        targets: Table of the known targets.
        quarantine: Targets that are set aside for their failures, and their probes.

    Attributes:
        pools: The pools that were asked for, by name.
    """

    def __init__(
        self, *, data_centre: str, view: ConfigView, targets: TargetTable, quarantine: Quarantine
    ) -> None:
        self.pools: dict[str, PoolState] = {}
        self._data_centre = data_centre
        self._view = view
        self._targets = targets
        self._quarantine = quarantine
        self._slots_in_use: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._by_pool: dict[str, list[str]] = {}
        self._by_pool_revision = (-1, -1, -1)

    def pool(self, pool: str) -> PoolState:
        """Returns a pool as of its last rebuild."""
        state = self.pools.get(pool)
        if state is None:
            state = self.pools[pool] = PoolState()
        return state

    def refreshed(self, pool: str, now: float) -> PoolState:
        """Returns a pool with its currently usable targets."""
        state = self.pool(pool)
        revision = self._revision()
        if state.revision != revision or now - state.built_at >= REBUILD_INTERVAL_S:
            self._rebuild(pool, state, now)
            state.revision = revision
        return state

    def choose(self, state: PoolState, task: Task, now: float) -> str | None:
        """Returns the target on which to place a task, or None if it has to wait."""
        probe = self._quarantine.choose_probe_target(task, state.targets, now)
        if (
            probe is not None
            and not self._slots_in_use.get(probe)
            and self._usable(task.pool, probe, now)
        ):
            return probe
        if task.tried:
            return self._choose_untried_target(state, task, now)
        for count in range(max(state.by_free_slots, default=0), 0, -1):
            names = state.by_free_slots.get(count, ())
            while names:
                name = next(iter(names))
                if self._usable(task.pool, name, now) and not self._quarantine.is_quarantined(name):
                    return name
                del names[name]
        return None

    def has_untried(self, task: Task, now: float) -> bool:
        """Whether the pool of a task has a usable target here that is not in `task.tried`."""
        names = self.refreshed(task.pool, now).targets
        return any(
            name not in task.tried
            and not self._quarantine.is_quarantined(name)
            and self._usable(task.pool, name, now)
            for name in names
        )

    def in_use(self, target: str) -> int:
        """Returns the number of slots in use on a target."""
        return self._slots_in_use.get(target, 0)

    def change_in_use(self, state: PoolState, target: str, change: int) -> None:
        """Adds to the number of slots in use on a target.

        Args:
            state: The pool of the target.
            target: Name of the target.
            change: Number of slots, negative if they are freed.
        """
        in_use = self._slots_in_use.get(target, 0) + change
        known = state.targets.get(target)
        if known is not None:
            state.by_free_slots.get(known.slots - self._slots_in_use.get(target, 0), {}).pop(
                target, None
            )
            state.by_free_slots.setdefault(known.slots - in_use, OrderedDict())[target] = None
        self._slots_in_use[target] = in_use

    def pause(self, target: str, now: float) -> None:
        """Pauses placements on a target that refused a task for lack of a slot."""
        self._paused_until[target] = now + FULL_PAUSE_S

    def _choose_untried_target(self, state: PoolState, task: Task, now: float) -> str | None:
        """Returns a target for a task that was placed before, or None if it has to wait for one.

        Among untried targets with a free slot, those in a rack without a tried target come first.
        A tried target is used again only if the pool has no other usable one.
        """
        racks = {state.targets[name].rack for name in task.tried if name in state.targets}
        best = None
        for count, names in state.by_free_slots.items():
            for name in names:
                if self._usable(task.pool, name, now) and not self._quarantine.is_quarantined(name):
                    known = state.targets[name]
                    preference = (name not in task.tried, count > 0, known.rack not in racks, count)
                    if best is None or preference > best[0]:
                        best = (preference, name)
        return best[1] if best is not None and best[0][1] else None

    def _usable(self, pool: str, name: str, now: float) -> bool:
        known = self._targets.get(name)
        instance = self._view.instance(name)
        if known is None or instance is None or known.state(now) != "alive":
            return False
        if instance.pool != pool or not self._may_run_tasks(instance):
            return False
        # An announcement from another data centre than the recorded one may come from a second
        # instance of the same name.
        if instance.data_centre != known.announcement.data_centre:
            return False
        return self._paused_until.get(name, now) <= now

    def _may_run_tasks(self, instance: Instance) -> bool:
        """Whether an instance may run tasks, or at least probes while set aside for failures."""
        if instance.accepts_tasks:
            return True
        return (
            self._quarantine.is_quarantined(instance.name)
            and replace(instance, set_aside="").accepts_tasks
        )

    def _revision(self) -> tuple[int, int, int]:
        """Returns a value that changes with the view, its restrictions and targets' announcements.

        A target that becomes suspect or dead through silence or `TargetTable.mark_suspect` does not
        change it; `_usable` checks the state at each placement.
        """
        return (self._targets.revision, self._view.version, self._view.restrictions.revision)

    def _rebuild(self, pool: str, state: PoolState, now: float) -> None:
        state.targets = {}
        state.by_free_slots = {}
        state.slots = 0
        state.built_at = now
        for name in self._target_names(pool):
            self._quarantine.update_from_view(self._view.instance(name), now)
            if not self._usable(pool, name, now):
                continue
            announced = self._targets.get(name).announcement
            state.targets[announced.name] = announced
            free = announced.slots - self._slots_in_use.get(announced.name, 0)
            state.by_free_slots.setdefault(free, OrderedDict())[announced.name] = None
            state.slots += 0 if self._quarantine.is_quarantined(announced.name) else announced.slots

    def _target_names(self, pool: str) -> list[str]:
        """Returns the names of a pool's targets in this data centre."""
        revision = self._revision()
        if self._by_pool_revision != revision:
            self._by_pool = {}
            for known in self._targets.all():
                announced = known.announcement
                instance = self._view.instance(announced.name)
                if instance is not None and announced.data_centre == self._data_centre:
                    self._by_pool.setdefault(instance.pool, []).append(announced.name)
            self._by_pool_revision = revision
        return self._by_pool.get(pool, [])
