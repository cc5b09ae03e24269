"""Detects targets that fail every task, and probes them until they recover.

It does no I/O; time is passed in.

A failure counts against a target only after the same task has succeeded on another target, since a
task that fails everywhere says nothing about the targets on which it failed. Failures of
non-idempotent tasks are weaker evidence: it takes many of them in a row, while another target of
the pool has none.

The controllers set targets aside, because they know the availability budget of the whole pool. A
dispatcher only proposes the change, and applies it once the configuration view contains it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from geraniumtrack.coordination.fleet.membership import TargetTable
from geraniumtrack.coordination.serving.queues import Task
from geraniumtrack.state.commands import ReturnInstance, SetAside
from geraniumtrack.state.records import Instance
from geraniumtrack.state.view import ConfigView

__all__ = ["FAILS_ALL", "Quarantine"]

# Reason with which dispatchers propose to set a target aside. It is stored in `Instance.set_aside`
# and compared there, so the text must not change.
FAILS_ALL = "fails what other targets run"

# Numbers of failures since its last success after which a target is proposed to be set aside.
CONFIRMED_LIMIT = 3  # of tasks that then succeeded on another target
UNCONFIRMED_LIMIT = 6  # of non-idempotent tasks
INITIAL_PROBE_DELAY_S = 5.0  # before the first probe; each failed probe doubles the delay
MAX_PROBE_DELAY_S = 60.0
PROBES_TO_RETURN = 3  # successful probes in a row before a return to service is proposed
REPROPOSE_AFTER_S = 5.0  # before a proposal that was refused or lost is repeated


@dataclass(slots=True)
class _Health:
    """Failures of one target since its last success, and the state of its probes.

    Attributes:
        confirmed: Number of tasks that failed on it and then succeeded on another target.
        unconfirmed: Number of failures of non-idempotent tasks.
        next_proposal_at: Earliest time of the next proposal, in seconds.
        next_probe_at: Earliest time of the next probe, in seconds; infinite during a probe.
        probe_delay_s: Delay before the first probe, and after one that failed or had no result.
        passed_probes: Number of successful probes in a row.
    """

    confirmed: int = 0
    unconfirmed: int = 0
    next_proposal_at: float = float("-inf")
    next_probe_at: float = 0.0
    probe_delay_s: float = INITIAL_PROBE_DELAY_S
    passed_probes: int = 0


class Quarantine:
    """Targets that fail every task, as one dispatcher observes them.

    Args:
        view: Configuration view.
        targets: Table of the known targets.
    """

    def __init__(self, *, view: ConfigView, targets: TargetTable) -> None:
        self._view = view
        self._targets = targets
        self._health: dict[str, _Health] = {}
        self._quarantined: set[str] = set()
        self._proposals: list[SetAside | ReturnInstance] = []

    def is_quarantined(self, target: str) -> bool:
        """Whether a target is set aside and may be probed here."""
        return target in self._quarantined

    def quarantined_targets(self) -> list[str]:
        """Returns the targets that may be probed here, by name."""
        return sorted(self._quarantined)

    def update_from_view(self, instance: Instance, now: float) -> None:
        """Updates from the view whether a target is set aside for its failures."""
        name = instance.name
        if instance.set_aside != FAILS_ALL:
            if name in self._quarantined:
                self._quarantined.discard(name)
                self._health[name] = _Health()
        elif name not in self._quarantined:
            self._quarantined.add(name)
            self._health[name] = _Health(next_probe_at=now + INITIAL_PROBE_DELAY_S)

    def pop_proposals(self) -> list[SetAside | ReturnInstance]:
        """Removes and returns the pending commands for the controllers."""
        proposals, self._proposals = self._proposals, []
        return proposals

    def choose_probe_target(self, task: Task, targets: Iterable[str], now: float) -> str | None:
        """Returns a target that is due for a probe with a task, or None.

        Only idempotent tasks that were not tried on a target before serve as probes.

        Args:
            task: The task.
            targets: Targets of the task's pool.
            now: Clock value in seconds.
        """
        if not self._quarantined or not task.submit.idempotent or task.tried:
            return None
        due = (name for name in self._quarantined if name in targets)
        return next((name for name in due if self._health[name].next_probe_at <= now), None)

    def record_start(self, target: str) -> None:
        """Records that a task is placed on a target.

        On a target that is set aside, the task is a probe, and no other one is placed until it
        ends.
        """
        if target in self._quarantined:
            self._health[target].next_probe_at = float("inf")

    def record_success(self, task: Task, target: str, now: float) -> None:
        """Records a success of a task, which confirms its earlier failures on other targets."""
        self._count_success(target, now)
        for other in set(task.failed_targets) - {target}:
            health = self._health.setdefault(other, _Health())
            health.confirmed += 1
            if health.confirmed >= CONFIRMED_LIMIT:
                self._propose_set_aside(other, health, now)

    def record_failure(self, task: Task, target: str, now: float) -> None:
        """Records a failure of a task on a target.

        On a target that is set aside, the failed probe doubles the delay before the next one. On
        another target, a failure of a non-idempotent task counts as unconfirmed; that of an
        idempotent one counts only once the task succeeds on another target.
        """
        health = self._health.setdefault(target, _Health())
        if target in self._quarantined:
            health.passed_probes = 0
            health.probe_delay_s = min(health.probe_delay_s * 2, MAX_PROBE_DELAY_S)
            health.next_probe_at = now + health.probe_delay_s
            return
        if task.submit.idempotent:
            return
        health.unconfirmed += 1
        if health.unconfirmed >= UNCONFIRMED_LIMIT and self._has_unaffected_target(target):
            self._propose_set_aside(target, health, now)

    def record_no_result(self, target: str, now: float) -> None:
        """Schedules another probe if one ended without a result."""
        health = self._health.get(target)
        if health is not None and target in self._quarantined:
            health.next_probe_at = now + health.probe_delay_s

    def _count_success(self, target: str, now: float) -> None:
        health = self._health.get(target)
        if health is None:
            self._health[target] = _Health()
            return
        health.confirmed = health.unconfirmed = 0
        if target not in self._quarantined:
            return
        health.passed_probes += 1
        health.next_probe_at = now
        if health.passed_probes >= PROBES_TO_RETURN and now >= health.next_proposal_at:
            health.next_proposal_at = now + REPROPOSE_AFTER_S
            self._proposals.append(ReturnInstance(target, "runs its probes"))

    def _propose_set_aside(self, target: str, health: _Health, now: float) -> None:
        if (
            target in self._quarantined
            or now < health.next_proposal_at
            or not self._budget_allows(target, now)
        ):
            return
        health.next_proposal_at = now + REPROPOSE_AFTER_S
        self._proposals.append(SetAside(target, FAILS_ALL))

    def _budget_allows(self, target: str, now: float) -> bool:
        instance = self._view.instance(target)
        pool = self._view.pool(instance.pool) if instance is not None else None
        if pool is None:
            return False
        members = [i for i in self._view.sections["instances"].values() if i.pool == pool.name]
        unavailable = sum(self._is_unavailable(member, now) for member in members)
        return unavailable < pool.max_unavailable

    def _is_unavailable(self, instance: Instance, now: float) -> bool:
        health = self._health.get(instance.name)
        if not instance.accepts_tasks or (health is not None and now < health.next_proposal_at):
            return True
        known = self._targets.get(instance.name)
        return known is not None and known.state(now) != "alive"

    def _has_unaffected_target(self, target: str) -> bool:
        """Whether the pool has another target without any failures since its last success.

        Only targets count that this dispatcher has a record of and that are not set aside for
        failures.
        """
        instance = self._view.instance(target)
        if instance is None:
            return False
        for name, health in self._health.items():
            other = self._view.instance(name)
            same_pool = other is not None and other.pool == instance.pool and name != target
            failures = health.confirmed + health.unconfirmed
            if same_pool and not failures and name not in self._quarantined:
                return True
        return False
