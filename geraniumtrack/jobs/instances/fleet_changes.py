"""Moves instances between pools, and has them maintained or evacuated.

A change drains the instance, orders the move or the maintenance from the platform and waits until
the instance is back. Until then the instance gets no new tasks. Service tasks on it are stopped
one by one, within the availability budget of their step, and start on other workers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs.instances.change import Change, ChangePhase
from geraniumtrack.jobs.instances.instance_listing import InstanceListing
from geraniumtrack.jobs.instances.instances_in_transit import InstancesInTransit
from geraniumtrack.jobs.instances.machine_port import (
    ORDER_TIMEOUT_S,
    ChangeOutcome,
    InstanceState,
    MachinePort,
)
from geraniumtrack.jobs.instances.maintenance import MaintenanceStarter
from geraniumtrack.jobs.instances.moves import MoveStarter
from geraniumtrack.jobs.instances.pool_supply import pool_supplies
from geraniumtrack.jobs.instances.standby import choose_standby_pool
from geraniumtrack.jobs.policy import DEFAULT_POLICY, PolicySettings
from geraniumtrack.jobs.runs.availability import AvailabilityBudget
from geraniumtrack.jobs.runs.commit import commit_in_background
from geraniumtrack.jobs.runs.run_tracker import STOP_RETRY_INTERVAL_S
from geraniumtrack.jobs.runs.sent_orders import StopReason
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.admission import PoolSupply
from geraniumtrack.jobs.scheduling.estimates import DECLARED, DurationEstimates
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState, Task
from geraniumtrack.jobs.state.model import WorkerInfo
from geraniumtrack.metrics import metrics

__all__ = ["FleetChanges"]

LIST_INTERVAL_S = 1.0  # interval between requests for the platform's instance list
# Interval during maintenance: a campaign's next instance waits until the list shows one as back.
MAINTENANCE_LIST_INTERVAL_S = 0.4
# The pause before an order is repeated doubles up to this one for evacuations, which have no
# deadline.
MAX_ORDER_RETRY_DELAY_S = 4.0
# Maintenance that was refused as busy waits for less, as it has a deadline and an instance that is
# back has no tasks yet.
MAX_BUSY_RETRY_DELAY_S = 2.0
DRAIN_GRACE_S = 3.0  # tasks with checkpoints are stopped after this and resume on other workers
# An owner that takes over without any registered worker plans no moves before this time is over, so
# that workers have time to send heartbeats.
WARMUP_S = 3.0
# A moved instance that is not back by then is no longer tracked as a change; only the instance list
# shows it.
RETURN_TIMEOUT_S = 8.0
# Where the platform compares no fencing tokens, an owner waits this long before its first order.
# The last order of the former owner left before its lease expired; by then it has arrived, or its
# connection was aborted.
UNFENCED_TAKEOVER_DELAY_S = ORDER_TIMEOUT_S + 0.5


class FleetChanges:
    """Moves, maintains and evacuates instances while this controller is the owner.

    Args:
        reactor: Twisted reactor.
        term: Fencing token of the orders.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        may_act: Returns whether the leadership lease is held.
        sessions: Returns the owner's sessions by worker id.
        availability: Limits the stops of service tasks.
        port: Calls to the platform's machine API.
        on_list: Called after each instance list that was read.
        forget_worker: Commits that an incarnation of a worker has ended, for a reason.
        wall_clock: Returns the wall-clock time in seconds.
        orders_fenced: Whether the platform rejects orders with a lower fencing token than an
            earlier order for the same instance.
        policy: Settings of the scheduling policy.
        durations: Estimates by which the declared durations are corrected.

    Attributes:
        listing: The instance list.
        in_transit: The instances on their way to a pool.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        term: int,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        may_act: Callable[[], bool],
        sessions: Callable[[], dict[str, WorkerSession]],
        availability: AvailabilityBudget,
        port: MachinePort,
        on_list: Callable[[], None],
        forget_worker: Callable[[str, int, str], None],
        wall_clock: Callable[[], float],
        orders_fenced: bool,
        policy: PolicySettings = DEFAULT_POLICY,
        durations: DurationEstimates = DECLARED,
    ) -> None:
        self._reactor = reactor
        self._term = term
        self._state = state
        self._propose = propose
        self._may_act = may_act
        self._sessions = sessions
        self._port = port
        self._wall_clock = wall_clock
        self._availability = availability
        self._forget_worker = forget_worker
        self._started_at = reactor.seconds()
        takeover_delay_s = 0.0 if orders_fenced else UNFENCED_TAKEOVER_DELAY_S
        self._orders_allowed_at = self._started_at + takeover_delay_s
        self._started_without_workers = not state().workers
        self._changes: dict[str, Change] = {}
        self.listing = InstanceListing(reactor, port=port, on_list=on_list)
        self._maintenance = MaintenanceStarter(
            state=state,
            sessions=sessions,
            changes=self._changes,
            instances=lambda: self.listing.instances,
            list_requested_at=lambda: self.listing.requested_at,
            worker_on=lambda instance: self._workers.get(instance),
            start_change=self._start_change,
            wall_clock=wall_clock,
        )
        self._workers: dict[str, WorkerInfo] = {}  # newest worker by instance, as of this tick
        # Instance and pool of rejected moves, which are not planned again.
        self._rejected: set[tuple[str, str]] = set()
        self.in_transit = InstancesInTransit(
            reactor.seconds,
            changes=self._changes,
            instances=lambda: self.listing.instances,
            times=self._maintenance.times,
            policy=policy,
        )
        self._moves = MoveStarter(
            state=state,
            sessions=sessions,
            changes=self._changes,
            instances=lambda: self.listing.instances,
            worker_on=lambda instance: self._workers.get(instance),
            maintenance=self._maintenance,
            in_transit=self.in_transit,
            standby_pool_for=self._standby_pool_for,
            rejected=self._rejected,
            start_change=self._start_change,
            wall_clock=wall_clock,
            durations=durations,
            policy=policy,
        )
        self._fenced = False

    def blocks_starts(self, instance: str) -> bool:
        """Whether no tasks may be started on an instance because it is being changed."""
        return instance in self._changes

    def pool_supplies(self) -> dict[str, PoolSupply]:
        """Returns the processors that each pool has or can obtain."""
        return pool_supplies(
            self._state(),
            sessions=self._sessions(),
            instances=self.listing.instances,
            changes=self._changes,
            arriving=self.in_transit.by_pool(),
            list_age_s=self._reactor.seconds() - self.listing.requested_at,
        )

    def tick(self) -> None:
        """Requests the instance list when due, advances changes under way and starts new ones."""
        if self._fenced or not self._may_act() or self._state().config is None:
            return
        now = self._reactor.seconds()
        workers = sorted(self._state().workers.values(), key=lambda worker: worker.born)
        self._workers = {worker.instance: worker for worker in workers}
        maintaining = any(change.campaign for change in self._changes.values())
        interval_s = MAINTENANCE_LIST_INTERVAL_S if maintaining else LIST_INTERVAL_S
        self.listing.request_if_due(interval_s)
        for change in list(self._changes.values()):
            self._advance(change, now)
        if self.listing.instances:
            warmup_s = WARMUP_S if self._started_without_workers else 0.0
            if now >= max(self._started_at + warmup_s, self._orders_allowed_at):
                self._moves.start(now)
            self._maintenance.start(now)
            self._start_evacuations(now)

    # Changes under way.

    def _advance(self, change: Change, now: float) -> None:
        if change.phase is ChangePhase.DRAINING:
            self._drain(change, now)
        elif change.phase is ChangePhase.RETURNING:
            self._check_return(change, now)

    def _drain(self, change: Change, now: float) -> None:
        worker = self._workers.get(change.instance)
        tasks = self._tasks_on(worker)
        if change.evacuating and not change.order_unclear and not self._is_evacuated(worker):
            del self._changes[change.instance]
            return
        if not tasks:
            if now >= change.retry_at:
                self._send_order(change, worker, now)
            return
        if change.order_unclear:
            return
        waited_s = now - change.phase_started_at
        if change.pool and not change.evacuating and waited_s > change.drain_timeout_s:
            del self._changes[change.instance]
            return
        session = self._sessions().get(worker.id)
        if session is None:
            return
        for task in tasks:
            self._stop_for_drain(task, session, overdue=waited_s > DRAIN_GRACE_S)

    def _stop_for_drain(self, task: Task, session: WorkerSession, *, overdue: bool) -> None:
        """Stops a task on an instance that is being drained, if it has to be stopped.

        A service task is stopped as soon as its step's availability budget allows it. A task with
        checkpoints is stopped when draining is overdue. Any other task runs to its end.
        """
        record = self._state().jobs[task.id.job]
        step = record.job.steps[task.id.step]
        if step.lasting:
            if self._availability.try_acquire(record, task) and session.stop(
                task.id, task.run, StopReason.DRAIN, again_after_s=STOP_RETRY_INTERVAL_S
            ):
                self._availability.record_stop(task.id, task.run, StopReason.DRAIN)
                logs.event("task_relocating", job=task.id.job, task=task.id.index, run=task.run)
        elif overdue and step.checkpoints:
            session.stop(task.id, task.run, StopReason.DRAIN, again_after_s=STOP_RETRY_INTERVAL_S)

    def _send_order(self, change: Change, worker: WorkerInfo | None, now: float) -> None:
        session = self._sessions().get(worker.id) if worker is not None else None
        if session is not None and (session.running or session.silent):
            return  # the worker's next report will show whether its runs have ended
        if now < self._orders_allowed_at:
            return
        if not change.pool and not change.campaign:
            del self._changes[change.instance]
            return
        if change.campaign and not self._maintenance.may_order(change):
            return
        change.phase, change.ordered_at = ChangePhase.ORDERED, now
        # The answer is also DONE if an earlier order was executed; a worker that joined in between
        # runs on.
        if not change.order_unclear:
            change.ordered_worker = (worker.id, worker.born) if worker is not None else None
        if change.pool:
            fut = self._port.move(
                change.instance, change.pool, fence=self._term, may_send=self._may_act
            )
        else:
            fut = self._port.maintain(
                change.instance, change.campaign, fence=self._term, may_send=self._may_act
            )
        fut.addCallback(self._handle_order_outcome, change)

    def _handle_order_outcome(self, outcome: ChangeOutcome, change: Change) -> None:
        now = self._reactor.seconds()
        kind = "move" if change.pool else "maintenance"
        metrics.count("instance_orders", kind=kind, outcome=str(outcome))
        logs.event(
            "instance_ordered",
            instance=change.instance,
            pool=change.pool,
            campaign=change.campaign,
            outcome=outcome,
            drained_s=now - change.phase_started_at,
        )
        if outcome is ChangeOutcome.DONE:
            if change.campaign:
                self._maintenance.times.record_drain(
                    change.ordered_at - change.phase_started_at, service=change.has_service_tasks
                )
            change.phase, change.phase_started_at = ChangePhase.RETURNING, now
            if change.ordered_worker is not None:
                self._forget_worker(*change.ordered_worker, "instance_ordered")
            self._record_maintenance_begun(change)
            return
        if outcome is ChangeOutcome.FENCED:
            self._fenced = True
            return
        if outcome in (ChangeOutcome.NOT_IN_CAMPAIGN, ChangeOutcome.IMPOSSIBLE):
            self._rejected.add((change.instance, change.pool))
            self._record_maintenance_begun(change)
            del self._changes[change.instance]
            return
        change.order_unclear = change.order_unclear or outcome is ChangeOutcome.UNCLEAR
        if change.pool and not (change.evacuating or change.order_unclear):
            del self._changes[change.instance]
            return
        change.phase, change.retry_at = ChangePhase.DRAINING, now + change.retry_delay_s
        if change.evacuating or outcome is ChangeOutcome.BUSY:
            longest_s = MAX_ORDER_RETRY_DELAY_S if change.evacuating else MAX_BUSY_RETRY_DELAY_S
            change.retry_delay_s = min(change.retry_delay_s * 2, longest_s)

    def _record_maintenance_begun(self, change: Change) -> None:
        if change.campaign:
            commit_in_background(self._propose, cmds.UpkeepBegun(change.campaign, change.instance))

    def _check_return(self, change: Change, now: float) -> None:
        listed = self.listing.instances.get(change.instance)
        list_is_newer = self.listing.requested_at > change.phase_started_at
        returned = list_is_newer and listed is not None and listed.state is InstanceState.UP
        if change.pool and not returned:
            worker = self._workers.get(change.instance)
            returned = worker is not None and (worker.id, worker.born) != change.ordered_worker
        # Maintenance counts as over only when the instance list shows the instance as up. A report
        # of the worker that the order ended may still arrive, and the campaign's cap must hold at
        # every moment.
        if returned or (change.pool and now > change.phase_started_at + RETURN_TIMEOUT_S):
            if change.campaign:
                self._maintenance.times.record_maintenance(now - change.ordered_at)
            del self._changes[change.instance]

    # New changes.

    def _can_change(self, instance: str) -> bool:
        known = self.listing.instances.get(instance)
        up = known is None or known.state is InstanceState.UP
        return up and instance not in self._changes

    def _in_standby(self, instance: str) -> bool:
        known = self.listing.instances.get(instance)
        return known is not None and known.pool in self._state().standby_pools

    def _start_evacuations(self, now: float) -> None:
        """Drains the instances of evacuated data centres and moves them to standby."""
        for worker in self._workers.values():
            if (
                not self._is_evacuated(worker)
                or worker.draining
                or not self._can_change(worker.instance)
            ):
                continue
            if worker.instance not in self.listing.instances or self._in_standby(worker.instance):
                continue
            standby_pool = self._standby_pool_for(worker.instance)
            if standby_pool or self._tasks_on(worker):
                logs.event("instance_evacuating", instance=worker.instance, worker=worker.id)
                self._start_change(Change(worker.instance, now, pool=standby_pool, evacuating=True))

    def _is_evacuated(self, worker: WorkerInfo | None) -> bool:
        return worker is not None and worker.data_centre in self._state().evacuated

    def _start_change(self, change: Change) -> None:
        self._changes[change.instance] = change
        self._advance(change, change.phase_started_at)

    def _standby_pool_for(self, instance_id: str) -> str:
        """Returns the standby pool to which an instance may move, or an empty string."""
        pools = {p for p in self._state().standby_pools if (instance_id, p) not in self._rejected}
        return choose_standby_pool(
            self.listing.instances.get(instance_id), pools, self.listing.kinds_by_pool
        )

    def _tasks_on(self, worker: WorkerInfo | None) -> list[Task]:
        if worker is None:
            return []
        return list(self._state().assigned.get(worker.id, {}).values())
