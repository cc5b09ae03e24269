"""Fleet management by the leading controller.

The leader records the entries' reports, decides which steps are due, proposes them as commands to
the replicated log and orders reboots from the platform.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from geraniumtrack import logs
from geraniumtrack.coordination.fleet.health import decide_health
from geraniumtrack.coordination.fleet.losses import Decision, find_losses
from geraniumtrack.coordination.fleet.maintenance import (
    RebootOrder,
    decide_maintenance,
    reboot_orders,
)
from geraniumtrack.coordination.fleet.moves import LendingSettings, decide_moves
from geraniumtrack.coordination.fleet.observed import FleetObservation, FleetReports
from geraniumtrack.protocol.messages import RenewSession
from geraniumtrack.sentinels import Absent
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Event
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["FleetManager", "FleetPlanner", "PlatformPort"]

# A new leader plans no step before every entry has had time to report to it.
LEADER_GRACE_S = 3.0
REBOOT_RETRY_S = 2.0  # minimum time between two orders of the same reboot
# Largest fraction of a core spent on decisions; one decision over 550 instances takes 8 ms.
DECISION_CPU_FRACTION = 0.01
# Minimum time between two `waits` events about the same subject.
WAIT_EVENT_INTERVAL_S = 10.0
# Time before a duplicate is recorded: an instance that restarts in another data centre briefly
# looks like two instances.
DUPLICATE_GRACE_S = 5.0


class PlatformPort(Protocol):
    """Platform operations that the manager uses. Every Deferred fires within a few seconds."""

    def state(self, name: str) -> Deferred:
        """Fetches the state of an instance: a PlatformInstance, or a sentinel on failure."""

    def drain(self, name: str) -> Deferred:
        """Drains an instance on the platform."""

    def reboot(self, name: str, key: str) -> Deferred:
        """Reboots an instance. The key makes the call idempotent: one reboot per key."""


class FleetPlanner:
    """Decides the next steps of the fleet while a controller leads.

    It does no I/O; time is passed in.

    Args:
        now: Clock value in seconds when this controller became leader.
        lending: Settings of lending; the defaults if None.
    """

    def __init__(self, now: float, lending: LendingSettings | None = None) -> None:
        self.reports = FleetReports(now)
        self._started_at = now
        self._lending = lending or LendingSettings()
        # By subject: the last recorded wait reason and its time.
        self._recorded_waits: dict[str, tuple[str, float]] = {}
        # By instance: when its duplicate was first observed, or 0 once the event is recorded.
        self._duplicate_since: dict[str, float] = {}

    def observe(self, state: ReplicatedState, now: float, at: float) -> FleetObservation:
        """Merges the entries' reports.

        Args:
            state: The replicated state.
            now: Clock value in seconds.
            at: Seconds since the epoch.
        """
        return self.reports.observe(
            instances=state.view["instances"], sessions=state.sessions, now=now, at=at
        )

    def decide(
        self, state: ReplicatedState, *, now: float, at: float, rebooted: frozenset[str]
    ) -> list[Any]:
        """Returns the commands to propose now.

        Args:
            state: The replicated state.
            now: Clock value in seconds.
            at: Seconds since the epoch.
            rebooted: Keys of the reboots that are done.
        """
        observed = self.observe(state, now, at)
        health = decide_health(state, observed)
        duplicates = self._duplicate_events(observed)
        if health or duplicates or now - self._started_at < LEADER_GRACE_S:
            # Steps are planned only on instance states that are already committed.
            return [*health, *duplicates]
        losses = find_losses(state, at)
        maintenance = decide_maintenance(state, observed, losses, rebooted)
        moves = decide_moves(state, observed, losses, self._lending)
        return [*maintenance.commands, *moves.commands, *self._wait_events(maintenance, moves, at)]

    def _wait_events(
        self, maintenance: Decision, moves: Decision, at: float
    ) -> list[cmd.RecordEvent]:
        """Returns events for subjects whose wait reason changed since their last event."""
        wait_reasons = {**maintenance.wait_reasons, **moves.wait_reasons}
        for name in [name for name in self._recorded_waits if name not in wait_reasons]:
            del self._recorded_waits[name]
        events = []
        for subject, reason in wait_reasons.items():
            recorded, recorded_at = self._recorded_waits.get(subject, ("", 0.0))
            if reason != recorded and at - recorded_at >= WAIT_EVENT_INTERVAL_S:
                self._recorded_waits[subject] = (reason, at)
                events.append(cmd.RecordEvent(Event(at, subject, "waits", reason)))
        return events

    def _duplicate_events(self, observed: FleetObservation) -> list[cmd.RecordEvent]:
        """Returns events for names that two instances announce for longer than the grace period."""
        events = []
        for name, target in observed.targets.items():
            if not target.duplicated:
                self._duplicate_since.pop(name, None)
                continue
            since = self._duplicate_since.setdefault(name, observed.at)
            if since and observed.at - since >= DUPLICATE_GRACE_S:
                self._duplicate_since[name] = 0.0
                reason = "two instances announce this name; the higher incarnation is used"
                logs.warn("two_instances", instance=name, incarnation=target.incarnation)
                event = Event(observed.at, name, "two_instances", reason)
                events.append(cmd.RecordEvent(event))
        return events


class FleetManager:
    """Runs a FleetPlanner while this controller leads.

    Args:
        state: Returns the replicated state.
        propose: Proposes a command; its Deferred fires with the Result once it is committed.
        platform: Client of the platform, or None if operators reboot instances by hand.
        wall_clock: Returns the time in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        state: Callable[[], ReplicatedState],
        propose: Callable[[Any], Deferred],
        platform: PlatformPort | None,
        wall_clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._propose = propose
        self._platform = platform
        self._wall_clock = wall_clock
        self._planner: FleetPlanner | None = None
        self._proposals_in_flight = 0
        self._next_decision = 0.0
        # Keys of the reboots whose order to the platform has not completed.
        self._orders_in_flight: set[str] = set()
        self._ordered_at: dict[str, float] = {}
        # Keys of reboots that the platform reports as done, or of all if there is no platform.
        self._rebooted: set[str] = set()

    def stop_leading(self) -> None:
        """Discards all observations, which may be stale when this controller leads again."""
        self._planner = None
        self._rebooted.clear()

    def record_report(self, body: RenewSession, now: float) -> None:
        """Records an entry's report, which confirms idleness only while its session is open."""
        if self._planner is None:
            self._planner = FleetPlanner(now)
        self._planner.reports.record_report(
            entry=body.entry,
            session=body.session,
            data_centre=body.data_centre,
            version=body.version,
            reports=body.reports,
            now=now,
        )

    def tick(self, now: float) -> None:
        """Proposes the steps that are due; called several times a second while leading."""
        if self._planner is None:
            self._planner = FleetPlanner(now)
        if self._proposals_in_flight or now < self._next_decision:
            return
        started = time.perf_counter()
        state = self._state()
        at = self._wall_clock()
        self._order_reboots(reboot_orders(state), now)
        rebooted = frozenset(self._rebooted)
        commands = self._planner.decide(state, now=now, at=at, rebooted=rebooted)
        self._next_decision = now + (time.perf_counter() - started) / DECISION_CPU_FRACTION
        for command in commands:
            self._submit(command)

    def _submit(self, command: Any) -> None:
        self._proposals_in_flight += 1
        fut = self._propose(command)
        fut.addCallbacks(self._log_result, lambda failure: None, callbackArgs=(command,))
        fut.addBoth(self._proposal_finished)

    def _log_result(self, result: cmd.Result, command: Any) -> None:
        if isinstance(command, cmd.RecordEvent):
            return
        subject = getattr(command, "instance", "") or "maintenance"
        logs.event(
            "fleet_step",
            command=type(command).__name__,
            subject=subject,
            reason=getattr(command, "reason", ""),
            refused=result.error or "no",
            detail=result.message,
        )

    def _proposal_finished(self, _: Any) -> None:
        self._proposals_in_flight -= 1

    def _order_reboots(self, orders: list[RebootOrder], now: float) -> None:
        keys = {order.key for order in orders}
        self._rebooted &= keys
        for key in [key for key in self._ordered_at if key not in keys]:
            del self._ordered_at[key]
        for order in orders:
            if self._platform is None:
                self._rebooted.add(order.key)
                continue
            due = now - self._ordered_at.get(order.key, -REBOOT_RETRY_S) >= REBOOT_RETRY_S
            if due and order.key not in self._orders_in_flight | self._rebooted:
                self._orders_in_flight.add(order.key)
                self._ordered_at[order.key] = now
                fut = self._order_reboot(order)
                fut.addErrback(self._order_failed)
                fut.addBoth(lambda _, key=order.key: self._orders_in_flight.discard(key))

    @inlineCallbacks
    def _order_reboot(self, order: RebootOrder) -> Any:
        """Orders a reboot unless the platform reports it as done or in progress."""
        reported = yield self._platform.state(order.instance)
        if not isinstance(reported, Absent) and reported.last_reboot == order.key:
            if reported.state == "running":
                self._rebooted.add(order.key)
            return
        if not isinstance(reported, Absent) and reported.state == "rebooting":
            return
        # The entries have confirmed that the instance is idle, so the reboot is ordered even if the
        # platform's drain fails.
        yield self._platform.drain(order.instance)
        reply = yield self._platform.reboot(order.instance, order.key)
        outcome = reply.detail if isinstance(reply, Absent) else "accepted"
        logs.event("reboot_ordered", instance=order.instance, key=order.key, outcome=outcome)

    def _order_failed(self, failure: Any) -> None:
        logs.warn("reboot_order_failed", detail=failure.getErrorMessage())
