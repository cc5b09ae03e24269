"""The leader's task for the fleet: takes reports, decides, proposes and orders reboots."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from geraniumtrack import logs
from geraniumtrack.coordination.budgets import Decision, find_losses
from geraniumtrack.coordination.health import decide_health
from geraniumtrack.coordination.maintenance import (
    PlatformOrder,
    decide_maintenance,
    platform_orders,
)
from geraniumtrack.coordination.moves import Lending, decide_moves
from geraniumtrack.coordination.observed import FleetReports, Observed
from geraniumtrack.protocol.messages import RenewSession
from geraniumtrack.sentinels import Absent
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Event
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["FleetManager", "FleetPlanner", "PlatformPort"]

SETTLE_S = 3.0  # a new leader takes no planned step before every entry had time to report
PLATFORM_RETRY_S = 2.0
DECISION_SHARE = 0.01  # of a core; a decision over 550 instances takes 8 ms
HOLD_INTERVAL_S = 10.0  # between two events about why one subject waits
DUPLICATED_FOR_S = 5.0  # a restart in another data centre looks like two instances for a moment


class PlatformPort(Protocol):
    """What the manager needs of the platform; every Deferred fires within some seconds."""

    def state(self, name: str) -> Deferred:
        """Gives a PlatformInstance or a sentinel."""

    def drain(self, name: str) -> Deferred:
        """Drains an instance."""

    def reboot(self, name: str, key: str) -> Deferred:
        """Reboots an instance once for each key."""


class FleetPlanner:
    """The decisions of one leadership. Pure: time is passed in.

    Args:
        now: When this controller began to lead, in seconds of its clock.
        lending: Settings of lending.
    """

    def __init__(self, now: float, lending: Lending | None = None) -> None:
        self.reports = FleetReports(now)
        self._started_at = now
        self._lending = lending or Lending()
        self._holds: dict[str, tuple[str, float]] = {}
        self._duplicated: dict[str, float] = {}

    def observe(self, state: ReplicatedState, now: float, at: float) -> Observed:
        """Merges the entries' reports."""
        return self.reports.observe(
            instances=state.view["instances"], sessions=state.sessions, now=now, at=at
        )

    def decide(
        self, state: ReplicatedState, *, now: float, at: float, rebooted: frozenset[str]
    ) -> list[Any]:
        """Decides what to propose now.

        Args:
            state: The replicated state.
            now: Clock value in seconds.
            at: Seconds since the epoch.
            rebooted: Keys of the reboots that the platform reports as done.
        """
        observed = self.observe(state, now, at)
        health = decide_health(state, observed)
        told = self._duplicates(observed)
        if health or told or now - self._started_at < SETTLE_S:
            # Planned steps follow once the state of the instances is accepted.
            return [*health, *told]
        losses = find_losses(state, at)
        maintenance = decide_maintenance(state, observed, losses, rebooted)
        moves = decide_moves(state, observed, losses, self._lending)
        return [*maintenance.commands, *moves.commands, *self._explain(maintenance, moves, at)]

    def _explain(self, maintenance: Decision, moves: Decision, at: float) -> list[cmd.RecordEvent]:
        """Records why a subject waits, when the reason is new."""
        holds = {**maintenance.holds, **moves.holds}
        for name in [name for name in self._holds if name not in holds]:
            del self._holds[name]
        events = []
        for subject, reason in holds.items():
            told, told_at = self._holds.get(subject, ("", 0.0))
            if reason != told and at - told_at >= HOLD_INTERVAL_S:
                self._holds[subject] = (reason, at)
                events.append(cmd.RecordEvent(Event(at, subject, "waits", reason)))
        return events

    def _duplicates(self, observed: Observed) -> list[cmd.RecordEvent]:
        events = []
        for name, target in observed.targets.items():
            if not target.duplicated:
                self._duplicated.pop(name, None)
                continue
            since = self._duplicated.setdefault(name, observed.at)
            if since and observed.at - since >= DUPLICATED_FOR_S:
                self._duplicated[name] = 0.0
                reason = "two instances announce this name; the higher incarnation is used"
                logs.warn("two_instances", instance=name, incarnation=target.incarnation)
                event = Event(observed.at, name, "two_instances", reason)
                events.append(cmd.RecordEvent(event))
        return events


class FleetManager:
    """Runs a FleetPlanner while this controller leads.

    Args:
        state: Returns the replicated state.
        propose: Commits a command.
        platform: The platform, or None if operators reboot instances by hand.
        wall_clock: Seconds since the epoch.
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
        self._in_flight = 0
        self._next_decision = 0.0
        self._ordering: set[str] = set()
        self._ordered_at: dict[str, float] = {}
        self._rebooted: set[str] = set()

    def stop_leading(self) -> None:
        """Forgets what was observed, which may be old when this controller leads again."""
        self._planner = None
        self._rebooted.clear()

    def reported(self, body: RenewSession, now: float) -> None:
        """Takes the report of an entry; it counts as long as its session is open."""
        if self._planner is None:
            self._planner = FleetPlanner(now)
        self._planner.reports.received(
            entry=body.entry,
            session=body.session,
            data_centre=body.data_centre,
            version=body.version,
            reports=body.reports,
            now=now,
        )

    def work(self, now: float) -> None:
        """Takes the steps that are due; called several times a second while leading."""
        if self._planner is None:
            self._planner = FleetPlanner(now)
        if self._in_flight or now < self._next_decision:
            return
        started = time.perf_counter()
        state = self._state()
        at = self._wall_clock()
        self._order_reboots(platform_orders(state), now)
        rebooted = frozenset(self._rebooted)
        commands = self._planner.decide(state, now=now, at=at, rebooted=rebooted)
        self._next_decision = now + (time.perf_counter() - started) / DECISION_SHARE
        for command in commands:
            self._submit(command)

    def _submit(self, command: Any) -> None:
        self._in_flight += 1
        fut = self._propose(command)
        fut.addCallbacks(self._applied, lambda failure: None, callbackArgs=(command,))
        fut.addBoth(self._landed)

    def _applied(self, result: cmd.Result, command: Any) -> None:
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

    def _landed(self, _: Any) -> None:
        self._in_flight -= 1

    def _order_reboots(self, orders: list[PlatformOrder], now: float) -> None:
        keys = {order.key for order in orders}
        self._rebooted &= keys
        for key in [key for key in self._ordered_at if key not in keys]:
            del self._ordered_at[key]
        for order in orders:
            if self._platform is None:
                self._rebooted.add(order.key)
                continue
            due = now - self._ordered_at.get(order.key, -PLATFORM_RETRY_S) >= PLATFORM_RETRY_S
            if due and order.key not in self._ordering | self._rebooted:
                self._ordering.add(order.key)
                self._ordered_at[order.key] = now
                fut = self._order(order)
                fut.addErrback(self._order_broke)
                fut.addBoth(lambda _, key=order.key: self._ordering.discard(key))

    @inlineCallbacks
    def _order(self, order: PlatformOrder) -> Any:
        """Has the platform reboot an instance, unless it says that it did or is doing so."""
        said = yield self._platform.state(order.instance)
        if not isinstance(said, Absent) and said.last_reboot == order.key:
            if said.state == "running":
                self._rebooted.add(order.key)
            return
        if not isinstance(said, Absent) and said.state == "rebooting":
            return
        # The entries have confirmed that it is idle, so a failed drain does not prevent the reboot.
        yield self._platform.drain(order.instance)
        reply = yield self._platform.reboot(order.instance, order.key)
        outcome = reply.detail if isinstance(reply, Absent) else "accepted"
        logs.event("reboot_ordered", instance=order.instance, key=order.key, outcome=outcome)

    def _order_broke(self, failure: Any) -> None:
        logs.warn("reboot_order_failed", detail=failure.getErrorMessage())
