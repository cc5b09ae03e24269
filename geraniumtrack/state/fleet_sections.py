"""Instances, health, moves, loans and maintenance in the replicated state.

Most commands that change the fleet also record an event, which `geraniumtrack explain` shows.
Admissions, the first `alive` state of an instance and a new incarnation in the same state are not
recorded.
"""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import check_step, health_state
from geraniumtrack.state.records import (
    Campaign,
    Event,
    Health,
    Instance,
    Loan,
    MaintenanceStep,
    Move,
)

__all__ = ["FleetSections"]

# Allowed transitions between maintenance phases.
_NEXT_PHASES = {
    "pending": ("draining",),
    "draining": ("pending", "rebooting"),
    "rebooting": ("done",),
}
# Campaign phase after each action of ControlMaintenance.
_PHASE_AFTER_ACTION = {
    "pause": "paused",
    "resume": "running",
    "cancel": "cancelled",
    "finish": "finished",
}


class FleetSections:
    """State and commands of instances, their health, moves, loans and maintenance.

    A base class of `ReplicatedState`, which handles the declared fleet (pools, teams, queues and
    data centres).
    """

    version: int
    view: dict[str, dict[str, Any]]
    removed: dict[str, dict[str, int]]

    def _init_instances(self) -> None:
        self.health: dict[str, Health] = {}
        self.moves: dict[str, Move] = {}
        self.loans: dict[str, Loan] = {}
        self.maintenance: dict[str, MaintenanceStep] = {}
        self.campaign: Campaign | None = None

    def _capture_instances(self) -> dict[str, Any]:
        return {
            "health": dict(self.health),
            "moves": dict(self.moves),
            "loans": dict(self.loans),
            "maintenance": dict(self.maintenance),
            "campaign": self.campaign,
        }

    def _load_instances(self, body: dict[str, Any]) -> None:
        self.health = body["health"]
        self.moves = body["moves"]
        self.loans = body["loans"]
        self.maintenance = body["maintenance"]
        self.campaign = body["campaign"]

    @singledispatchmethod
    def _apply_instance_command(self, command: Any) -> cmd.Result:
        raise TypeError(f"{type(command).__name__} is not an instance or maintenance command")

    @_apply_instance_command.register
    def _(self, command: cmd.AdmitInstance) -> cmd.Result:
        existing = self.view["instances"].get(command.name)
        if existing is not None:
            return self._accept(pool=existing.pool)
        pool = self._admission_pool(command.pool_hint)
        if pool is None:
            return self._refuse("no_pool", "no pool of that name and no spare pool; declare one")
        self._put("instances", Instance(command.name, pool, command.data_centre, command.rack))
        return self._accept(pool=pool)

    @_apply_instance_command.register
    def _(self, command: cmd.RetireInstance) -> cmd.Result:
        name = command.instance
        if name not in self.view["instances"]:
            return self._refuse_unknown(name)
        if health_state(self, name) != "failed":
            return self._refuse("not_failed", f"{name} has not failed; drain and stop it first")
        self.version += 1
        for section in (self.health, self.moves, self.loans, self.maintenance):
            section.pop(name, None)
        del self.view["instances"][name]
        self.removed["instances"][name] = self.version
        self._record_event(command.at, name, "retired", "removed by the operator after it failed")
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.DrainTarget) -> cmd.Result:
        instance = self.view["instances"].get(command.instance)
        if instance is None:
            return self._refuse_unknown(command.instance)
        # Entries apply an operator's drain before it is committed, so it is not refused because of
        # the budget. It counts against the budget, and the result reports if that is exceeded.
        over = check_step(self, instance) if command.drained else None
        self._update_instance(instance, drained=command.drained)
        kind = "drained" if command.drained else "drain_ended"
        self._record_event(command.at, instance.name, kind, "ordered by the operator")
        return self._accept(**({"over_budget": over.detail} if over is not None else {}))

    @_apply_instance_command.register
    def _(self, command: cmd.RecordHealth) -> cmd.Result:
        instance = self.view["instances"].get(command.instance)
        if instance is None:
            return self._refuse_unknown(command.instance)
        health = self.health.get(instance.name)
        if health is not None and command.incarnation < health.incarnation:
            return self._refuse("older_incarnation", f"incarnation {health.incarnation} is known")
        location = (command.data_centre, command.rack)
        if command.data_centre and location != (instance.data_centre, instance.rack):
            instance = self._update_instance(instance, data_centre=location[0], rack=location[1])
            self._record_event(
                command.at, instance.name, "relocated", f"announced from {location[0]}"
            )
        if health is None or health.state != command.state:
            since = command.at
            if health is not None or command.state != "alive":
                self._record_event(command.at, instance.name, command.state, command.reason)
        else:
            since = health.at
        self.health[instance.name] = Health(
            instance.name, command.state, command.incarnation, since
        )
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.BeginMove) -> cmd.Result:
        instance = self.view["instances"].get(command.instance)
        if instance is None or instance.pool != command.from_pool or instance.moving_to:
            return self._refuse(
                "move_conflict", "the instance is not in the source pool or is already moving"
            )
        if command.to_pool not in self.view["pools"] or command.to_pool == command.from_pool:
            return self._refuse(
                "unknown_pool", f"pool {command.to_pool!r} is not a valid destination"
            )
        refused = self._drain_refusal(instance)
        if refused is not None:
            return refused
        self._update_instance(instance, moving_to=command.to_pool)
        self.moves[instance.name] = Move(
            instance.name,
            command.from_pool,
            command.to_pool,
            command.reason,
            command.at,
            self.version,
        )
        details = {"from": command.from_pool, "to": command.to_pool}
        self._record_event(command.at, instance.name, "move_begun", command.reason, **details)
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.CompleteMove) -> cmd.Result:
        instance = self.view["instances"].get(command.instance)
        move = self.moves.get(command.instance)
        if instance is None or move is None or move.version != command.version:
            return self._refuse("move_conflict", "no such move is under way")
        obstacle = self._move_obstacle(instance, move)
        if obstacle:
            return self._refuse("move_conflict", obstacle)
        del self.moves[instance.name]
        self._update_instance(instance, pool=move.to_pool, moving_to="")
        self._update_loan(move, command.at)
        details = {"from": move.from_pool, "to": move.to_pool}
        self._record_event(command.at, instance.name, "moved", move.reason, **details)
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.CancelMove) -> cmd.Result:
        move = self.moves.pop(command.instance, None)
        instance = self.view["instances"].get(command.instance)
        if move is None or instance is None:
            return self._refuse("move_conflict", "no such move is under way")
        self._update_instance(instance, moving_to="")
        details = {"from": move.from_pool, "to": move.to_pool}
        self._record_event(command.at, instance.name, "move_cancelled", command.reason, **details)
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.PlanMaintenance) -> cmd.Result:
        if self.campaign is not None and self.campaign.phase in ("running", "paused"):
            return self._refuse("campaign_open", "a campaign is under way; cancel it first")
        unknown = [pool for pool in command.pools if pool not in self.view["pools"]]
        if unknown:
            return self._refuse("unknown_pool", f"pools {unknown} are not declared; check them")
        self.campaign = Campaign(command.operation_id, "running", command.at)
        former_steps, self.maintenance = self.maintenance, {}
        planned_count = 0
        for instance in list(self.view["instances"].values()):
            if instance.maintenance == "rebooting":
                # A cancelled campaign ordered this reboot; its step shows when it has ended.
                # Earlier versions dropped the step; the reboot is then ordered again.
                new_step = MaintenanceStep(instance.name, command.at)
                self.maintenance[instance.name] = former_steps.get(instance.name, new_step)
            elif not command.pools or instance.pool in command.pools:
                self._update_instance(instance, maintenance="pending")
                self.maintenance[instance.name] = MaintenanceStep(instance.name, command.at)
                planned_count += 1
            else:
                self._update_instance(instance, maintenance="")
        self._record_event(command.at, "maintenance", "started", "ordered", instances=planned_count)
        return self._accept(instances=planned_count)

    @_apply_instance_command.register
    def _(self, command: cmd.ControlMaintenance) -> cmd.Result:
        campaign = self.campaign
        phase = _PHASE_AFTER_ACTION.get(command.action)
        if campaign is None or campaign.phase not in ("running", "paused") or phase is None:
            return self._refuse("no_campaign", "no campaign is under way; start one")
        if command.by == "leader" and campaign.paused_by == "operator":
            return self._refuse("paused_by_operator", "the operator paused it; resume it by hand")
        ended = phase in ("cancelled", "finished")
        self.campaign = replace(
            campaign,
            phase=phase,
            paused_by=command.by if phase == "paused" else "",
            reason=command.reason,
            ended_at=command.at if ended else 0.0,
        )
        if ended:
            self._clear_campaign()
        self._record_event(command.at, "maintenance", phase, command.reason, by=command.by)
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.AdvanceMaintenance) -> cmd.Result:
        instance = self.view["instances"].get(command.instance)
        if instance is None:
            return self._refuse_unknown(command.instance)
        if command.phase not in _NEXT_PHASES.get(instance.maintenance, ()):
            message = f"{instance.name} is in phase {instance.maintenance or 'none'}"
            return self._refuse("phase_conflict", message)
        refused = self._phase_refusal(instance, command.phase)
        if refused is not None:
            return refused
        self._update_instance(instance, maintenance=command.phase)
        step = MaintenanceStep(
            instance=instance.name,
            at=command.at,
            incarnation=self._incarnation(instance.name),
            version=self.version,
            reason=command.reason,
        )
        self.maintenance[instance.name] = step
        self._record_event(
            command.at, instance.name, f"maintenance_{command.phase}", command.reason
        )
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.SetAside) -> cmd.Result:
        instance = self.view["instances"].get(command.instance)
        if instance is None:
            return self._refuse_unknown(command.instance)
        if instance.set_aside:
            return self._accept()
        over = check_step(self, instance)
        if over is not None:
            return self._refuse(over.reason, over.detail)
        self._update_instance(instance, set_aside=command.reason or "no reason given")
        self._record_event(command.at, instance.name, "set_aside", command.reason)
        return self._accept()

    @_apply_instance_command.register
    def _(self, command: cmd.ReturnInstance) -> cmd.Result:
        instance = self.view["instances"].get(command.instance)
        if instance is None:
            return self._refuse_unknown(command.instance)
        if instance.set_aside:
            self._update_instance(instance, set_aside="")
            self._record_event(command.at, instance.name, "returned", command.reason)
        return self._accept()

    def _drain_refusal(self, instance: Instance) -> cmd.Result | None:
        """Returns the refusal of a drain for a move or maintenance, or None if it is allowed."""
        state = health_state(self, instance.name)
        if state != "alive":
            return self._refuse("not_alive", f"{instance.name} is {state}")
        if not instance.accepts_tasks:
            return self._refuse("move_conflict", f"{instance.name} is unavailable already")
        over = check_step(self, instance)
        return None if over is None else self._refuse(over.reason, over.detail)

    def _move_obstacle(self, instance: Instance, move: Move) -> str:
        """Returns why a move cannot be completed, or an empty string."""
        if move.to_pool not in self.view["pools"]:
            return f"pool {move.to_pool} is no longer declared"
        if instance.drained or instance.set_aside:
            return f"{instance.name} was drained or set aside"
        state = health_state(self, instance.name)
        return "" if state == "alive" else f"{instance.name} is {state}"

    def _phase_refusal(self, instance: Instance, phase: str) -> cmd.Result | None:
        """Returns the refusal of a maintenance phase, or None if it is allowed."""
        if phase == "pending":
            return None
        if phase == "done":
            step = self.maintenance[instance.name]
            if self._incarnation(instance.name) <= step.incarnation:
                return self._refuse("not_rebooted", "it has announced no new incarnation")
            state = health_state(self, instance.name)
            return None if state == "alive" else self._refuse("not_alive", f"it is {state}")
        if self.campaign is None or self.campaign.phase != "running":
            return self._refuse("campaign_paused", "the campaign is not running")
        return self._drain_refusal(instance) if phase == "draining" else None

    def _clear_campaign(self) -> None:
        """Removes the maintenance steps of a campaign that has ended."""
        for name in list(self.maintenance):
            instance = self.view["instances"].get(name)
            # The platform may still execute an ordered reboot, so its step is kept. It stays after
            # the reboot too, until the next campaign replaces all steps.
            if instance is not None and instance.maintenance == "rebooting":
                continue
            if instance is not None:
                self._update_instance(instance, maintenance="")
            del self.maintenance[name]

    def _update_loan(self, move: Move, at: float) -> None:
        """Starts, continues or ends the loan of an instance that has moved."""
        loan = self.loans.get(move.instance)
        home = loan.home if loan is not None else move.from_pool
        home_pool = self.view["pools"].get(home)
        if home_pool is None or not home_pool.spare or move.to_pool == home:
            self.loans.pop(move.instance, None)
        else:
            self.loans[move.instance] = Loan(move.instance, home, at)

    def _incarnation(self, name: str) -> int:
        health = self.health.get(name)
        return health.incarnation if health is not None else 0

    def _update_instance(self, instance: Instance, **changes: Any) -> Instance:
        """Stores changed fields of an instance, under a new view version if any differ."""
        changed = replace(instance, **changes)
        if changed != instance:
            self._put("instances", changed)
        return self.view["instances"][instance.name]

    def _admission_pool(self, hint: str) -> str | None:
        """Returns the announced pool if it is declared, else the first spare pool."""
        pools = self.view["pools"]
        if hint in pools:
            return hint
        return next((name for name, pool in sorted(pools.items()) if pool.spare), None)

    def _refuse_unknown(self, name: str) -> cmd.Result:
        return self._refuse("unknown_instance", f"instance {name!r} never announced itself")

    def _record_event(
        self, at: float, subject: str, kind: str, reason: str, **details: Any
    ) -> None:
        self._append_event(Event(at, subject, kind, reason, details))
