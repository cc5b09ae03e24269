"""Decides which targets fail everything they start, and when to try them again. Pure.

A failure counts against a target only once the same task has succeeded on another target, since a
task that fails everywhere says nothing about the targets it failed on. A task that is not repeated
gives weaker evidence: many such failures in a row while other targets of the pool succeed.

A target is set aside by the controllers, which know the availability budget of the whole pool; here
it is only proposed, and followed in the configuration view.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from geraniumtrack.coordination.membership import TargetTable
from geraniumtrack.coordination.queues import Task
from geraniumtrack.state.commands import ReturnInstance, SetAside
from geraniumtrack.state.records import Instance
from geraniumtrack.state.view import ConfigView

__all__ = ["FAILS_ALL", "Quarantine"]

FAILS_ALL = "fails what other targets run"  # reason of a target set aside by dispatchers

CONFIRMED_LIMIT = 3  # tasks in a row that failed here and succeeded elsewhere
UNCONFIRMED_LIMIT = 6  # failures in a row of tasks that are not repeated
PROBE_FIRST_S = 5.0
PROBE_MAX_S = 60.0
PROBES_TO_RETURN = 3  # successes in a row
ASK_AGAIN_S = 5.0  # before a proposal is repeated that was refused or lost


@dataclass(slots=True)
class _Health:
    """Record of one target since its last success."""

    confirmed: int = 0
    unconfirmed: int = 0
    ask_at: float = float("-inf")
    probe_at: float = 0.0
    delay_s: float = PROBE_FIRST_S
    passed: int = 0


class Quarantine:
    """Targets that fail everything, as one dispatcher sees them.

    Args:
        view: Configuration view.
        targets: Membership of targets.
    """

    def __init__(self, *, view: ConfigView, targets: TargetTable) -> None:
        self._view = view
        self._targets = targets
        self._health: dict[str, _Health] = {}
        self._held: set[str] = set()
        self._proposals: list[SetAside | ReturnInstance] = []

    def held(self, target: str) -> bool:
        """Whether a target is set aside and may be probed here."""
        return target in self._held

    def held_targets(self) -> list[str]:
        """Returns the targets that may be probed here, by name."""
        return sorted(self._held)

    def follow(self, instance: Instance, now: float) -> None:
        """Takes over from the view whether a target is set aside for its failures."""
        name = instance.name
        if instance.set_aside != FAILS_ALL:
            if name in self._held:
                self._held.discard(name)
                self._health[name] = _Health()
        elif name not in self._held:
            self._held.add(name)
            self._health[name] = _Health(probe_at=now + PROBE_FIRST_S)

    def take_proposals(self) -> list[SetAside | ReturnInstance]:
        """Returns the commands that have gathered for the controllers."""
        proposals, self._proposals = self._proposals, []
        return proposals

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

    def succeeded(self, task: Task, target: str, now: float) -> None:
        """Notes that a task succeeded, which confirms its earlier failures elsewhere."""
        self._note_success(target, now)
        for other in set(task.blamed) - {target}:
            health = self._health.setdefault(other, _Health())
            health.confirmed += 1
            if health.confirmed >= CONFIRMED_LIMIT:
                self._propose_set_aside(other, health, now)

    def failed(self, task: Task, target: str, now: float) -> None:
        """Notes that a task failed on a target."""
        health = self._health.setdefault(target, _Health())
        if target in self._held:
            health.passed = 0
            health.delay_s = min(health.delay_s * 2, PROBE_MAX_S)
            health.probe_at = now + health.delay_s
            return
        if task.submit.idempotent:
            return
        health.unconfirmed += 1
        if health.unconfirmed >= UNCONFIRMED_LIMIT and self._peers_succeed(target):
            self._propose_set_aside(target, health, now)

    def not_run(self, target: str, now: float) -> None:
        """Notes that a probe ended without a result."""
        health = self._health.get(target)
        if health is not None and target in self._held:
            health.probe_at = now + health.delay_s

    def _note_success(self, target: str, now: float) -> None:
        health = self._health.get(target)
        if health is None:
            self._health[target] = _Health()
            return
        health.confirmed = health.unconfirmed = 0
        if target not in self._held:
            return
        health.passed += 1
        health.probe_at = now
        if health.passed >= PROBES_TO_RETURN and now >= health.ask_at:
            health.ask_at = now + ASK_AGAIN_S
            self._proposals.append(ReturnInstance(target, "runs its probes"))

    def _propose_set_aside(self, target: str, health: _Health, now: float) -> None:
        if target in self._held or now < health.ask_at or not self._budget_allows(target, now):
            return
        health.ask_at = now + ASK_AGAIN_S
        self._proposals.append(SetAside(target, FAILS_ALL))

    def _budget_allows(self, target: str, now: float) -> bool:
        instance = self._view.instance(target)
        pool = self._view.pool(instance.pool) if instance is not None else None
        if pool is None:
            return False
        members = [i for i in self._view.sections["instances"].values() if i.pool == pool.name]
        away = sum(self._away(member, now) for member in members)
        return away < pool.max_unavailable

    def _away(self, instance: Instance, now: float) -> bool:
        health = self._health.get(instance.name)
        if not instance.accepts_tasks or (health is not None and now < health.ask_at):
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
            if same_pool and not health.unconfirmed and name not in self._held:
                return True
        return False
