"""Decides which targets fail everything they start, and when to try them again. Pure.

A failure counts against a target only once the same task has succeeded on another target, since a
task that fails everywhere says nothing about the targets it failed on. A task that is not repeated
gives weaker evidence: many such failures in a row while other targets of the pool succeed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from geraniumtrack.coordination.membership import TargetTable
from geraniumtrack.coordination.queues import Task
from geraniumtrack.state.view import ConfigView

__all__ = ["Quarantine"]

CONFIRMED_LIMIT = 3  # tasks in a row that failed here and succeeded elsewhere
UNCONFIRMED_LIMIT = 6  # failures in a row of tasks that are not repeated
PROBE_FIRST_S = 5.0
PROBE_MAX_S = 60.0
PROBES_TO_RETURN = 3  # successes in a row


@dataclass(slots=True)
class _Health:
    """Record of one target since its last success."""

    confirmed: int = 0
    unconfirmed: int = 0
    held: bool = False
    probe_at: float = 0.0
    delay_s: float = PROBE_FIRST_S
    passed: int = 0


class Quarantine:
    """Targets that this entry has set aside, within the availability budget of their pools.

    Args:
        view: Configuration view.
        targets: Membership of targets.
    """

    def __init__(self, *, view: ConfigView, targets: TargetTable) -> None:
        self._view = view
        self._targets = targets
        self._health: dict[str, _Health] = {}
        self._held: set[str] = set()

    def held(self, target: str) -> bool:
        """Whether a target is set aside here."""
        return target in self._held

    def held_targets(self) -> list[str]:
        """Returns the targets set aside here, by name."""
        return sorted(self._held)

    def probe(self, task: Task, targets: Iterable[str], now: float) -> str | None:
        """Returns a target of a pool that is due for a probe with this task, if any.

        Only repeatable tasks that have not failed yet are used as probes.
        """
        if not self._held or not task.submit.idempotent or task.tried:
            return None
        due = (name for name in self._held if name in targets)
        return next((name for name in due if self._health[name].probe_at <= now), None)

    def started(self, target: str) -> None:
        """Notes a start; on a target set aside it is a probe, and the next one waits."""
        if target in self._held:
            self._health[target].probe_at = float("inf")

    def succeeded(self, task: Task, target: str, now: float) -> list[str]:
        """Notes that a task succeeded, which confirms its earlier failures elsewhere.

        Returns:
            Targets that are newly set aside.
        """
        self._note_success(target, now)
        newly = []
        for other in set(task.blamed) - {target}:
            health = self._health.setdefault(other, _Health())
            health.confirmed += 1
            if health.confirmed >= CONFIRMED_LIMIT and self._hold(other, health, now):
                newly.append(other)
        return newly

    def failed(self, task: Task, target: str, now: float) -> list[str]:
        """Notes that a task failed on a target.

        Returns:
            The target, if it is newly set aside.
        """
        health = self._health.setdefault(target, _Health())
        if health.held:
            health.passed = 0
            health.delay_s = min(health.delay_s * 2, PROBE_MAX_S)
            health.probe_at = now + health.delay_s
            return []
        if task.submit.idempotent:
            return []
        health.unconfirmed += 1
        if health.unconfirmed >= UNCONFIRMED_LIMIT and self._peers_succeed(target):
            return [target] if self._hold(target, health, now) else []
        return []

    def not_run(self, target: str, now: float) -> None:
        """Notes that a probe ended without a result."""
        health = self._health.get(target)
        if health is not None and health.held:
            health.probe_at = now + health.delay_s

    def _note_success(self, target: str, now: float) -> None:
        health = self._health.get(target)
        if health is None:
            self._health[target] = _Health()
            return
        health.confirmed = health.unconfirmed = 0
        if not health.held:
            return
        health.passed += 1
        health.probe_at = now
        if health.passed >= PROBES_TO_RETURN:
            self._held.discard(target)
            self._health[target] = _Health()

    def _hold(self, target: str, health: _Health, now: float) -> bool:
        if health.held or not self._budget_allows(target, now):
            return False
        health.held = True
        health.passed = 0
        health.delay_s = PROBE_FIRST_S
        health.probe_at = now + PROBE_FIRST_S
        self._held.add(target)
        return True

    def _budget_allows(self, target: str, now: float) -> bool:
        instance = self._view.instance(target)
        pool = self._view.pool(instance.pool) if instance is not None else None
        if pool is None:
            return False
        members = [i for i in self._view.sections["instances"].values() if i.pool == pool.name]
        away = sum(self._away(member, now) for member in members)
        return away < pool.max_unavailable

    def _away(self, instance: object, now: float) -> bool:
        if instance.drained or instance.moving_to or instance.set_aside:
            return True
        if instance.name in self._held or instance.maintenance in ("draining", "rebooting"):
            return True
        known = self._targets.get(instance.name)
        return known is not None and known.state(now) != "alive"

    def _peers_succeed(self, target: str) -> bool:
        """Whether another target of the pool succeeded since it last failed."""
        instance = self._view.instance(target)
        if instance is None:
            return False
        for name, health in self._health.items():
            other = self._view.instance(name)
            same_pool = other is not None and other.pool == instance.pool and name != target
            if same_pool and not health.unconfirmed and not health.held:
                return True
        return False
