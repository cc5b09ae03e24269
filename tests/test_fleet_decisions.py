"""Decisions on availability budgets, moves, losses and maintenance: the real state, without I/O."""

import pytest

from geraniumtrack.coordination.fleet.explain import explain
from geraniumtrack.coordination.fleet.losses import find_losses, loss_reserve
from geraniumtrack.coordination.fleet.maintenance import decide_maintenance, reboot_orders
from geraniumtrack.coordination.fleet.moves import MOVE_TIMEOUT_S, LendingSettings, decide_moves
from geraniumtrack.coordination.fleet.observed import FleetObservation, ObservedTarget
from geraniumtrack.protocol.fleet_reports import LoadReport
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import unavailable
from geraniumtrack.state.replicated import ReplicatedState

POOLS = ("proofs", "wholesale", "spare")


def make_state(*, per_pool=8, max_unavailable=2, pools=POOLS):
    """Builds a state with alive instances of each pool in four data centres, with one rack each."""
    state = ReplicatedState()
    body = {
        "data_centres": [{"name": f"dc{i}"} for i in range(1, 5)],
        "pools": [
            {"name": name, "max_unavailable": max_unavailable, "spare": name == "spare"}
            for name in pools
        ],
    }
    assert state.apply(cmd.ApplyFleet("fleet", 0, body)).ok
    for pool in pools:
        for i in range(per_pool):
            data_centre = f"dc{i % 4 + 1}"
            state.apply(cmd.AdmitInstance(f"{pool}-{i}", pool, data_centre, f"{data_centre}-r1"))
            record_health(state, f"{pool}-{i}", "alive", 1, at=1.0)
    return state


def record_health(state, name, health, incarnation, *, at):
    """Records the health of an instance at its present location."""
    instance = state.view["instances"][name]
    return state.apply(
        cmd.RecordHealth(
            name, health, incarnation, instance.data_centre, instance.rack, "observed", at
        )
    )


def make_observation(state, *, at, loads=None, idle=()):
    """Returns an observation of alive targets.

    Args:
        state: The replicated state.
        at: Seconds since the epoch.
        loads: Numbers of queued and running tasks, by pool.
        idle: Instances confirmed as idle at the present view version.
    """
    targets = {
        i.name: ObservedTarget("alive", 1, i.data_centre, i.rack, 8, 0, False)
        for i in state.view["instances"].values()
    }
    loads = {pool: LoadReport(*load) for pool, load in (loads or {}).items()}
    return FleetObservation(at, targets, loads, dict.fromkeys(idle, state.version))


def plan_moves(state, *, at, lending=None, **observation):
    """Returns the decision on moves; `observation` has arguments of `make_observation`."""
    losses = find_losses(state, at)
    return decide_moves(
        state, make_observation(state, at=at, **observation), losses, lending or LendingSettings()
    )


def apply_all(state, commands):
    return [state.apply(command) for command in commands]


def lend_instance(state, *, at):
    """Lends an instance to pool proofs and returns its name; the move takes 3 s."""
    begun = plan_moves(state, at=at, loads={"proofs": (3, 64)}).commands
    assert [command.to_pool for command in begun] == ["proofs"]
    assert all(result.ok for result in apply_all(state, begun))
    name = begun[0].instance
    assert apply_all(state, plan_moves(state, at=at + 3, idle=[name]).commands)[0].ok
    return name


# Availability budget


def test_steps_planned_at_the_same_time_do_not_exceed_the_budget_together():
    """Guards against two planners that each see the last free place in the budget and use it."""
    state = make_state(max_unavailable=1)
    first = state.apply(cmd.BeginMove("proofs-0", "proofs", "spare", "a", 2.0))
    second = state.apply(cmd.SetAside("proofs-1", "fails everything", 2.0))
    assert first.ok
    assert (second.ok, second.error) == (False, "over_budget")
    assert list(unavailable(state, "proofs")) == ["proofs-0"]


@pytest.mark.parametrize(
    "make_unavailable",
    [
        lambda s: record_health(s, "proofs-0", "suspect", 1, at=2.0),
        lambda s: record_health(s, "proofs-0", "failed", 1, at=2.0),
        lambda s: record_health(s, "proofs-0", "leaving", 1, at=2.0),
        lambda s: s.apply(cmd.DrainTarget("drain", "proofs-0", True, 2.0)),
        lambda s: s.apply(cmd.SetAside("proofs-0", "fails everything", 2.0)),
        lambda s: s.apply(cmd.BeginMove("proofs-0", "proofs", "spare", "peak", 2.0)),
        lambda s: apply_all(
            s,
            [
                cmd.PlanMaintenance("m", ("proofs",), 2.0),
                cmd.AdvanceMaintenance("proofs-0", "draining", "", 2.0),
                cmd.AdvanceMaintenance("proofs-0", "rebooting", "", 2.0),
            ],
        )[-1],
    ],
    ids=["suspect", "failed", "leaving", "drained", "set aside", "moving", "rebooting"],
)
def test_every_kind_of_unavailability_counts_in_the_budget(make_unavailable):
    """Guards against a planned step that exceeds the budget.

    It would be allowed if a reason for unavailability were not counted.
    """
    state = make_state(max_unavailable=1)
    assert make_unavailable(state).ok
    refused = state.apply(cmd.BeginMove("proofs-1", "proofs", "spare", "peak", 3.0))
    assert refused.error == "over_budget"
    assert "proofs-0" in refused.message


def test_data_centre_out_of_service_counts_in_the_budget():
    """Guards against a planned step that exceeds the budget.

    Instances of a data centre out of service are unavailable although each of them is healthy.
    """
    state = make_state(max_unavailable=2)
    assert state.apply(cmd.SetDataCentre("out", "dc1", False)).ok
    assert state.apply(cmd.SetAside("proofs-1", "fails", 2.0)).error == "over_budget"


def test_operator_drain_beyond_the_budget_is_accepted_and_reported():
    """Guards against refusing an operator's drain, which is in force at the entries already.

    The result of the command reports that the pool exceeds its budget.
    """
    state = make_state(max_unavailable=0)
    drained = state.apply(cmd.DrainTarget("drain", "proofs-0", True, 2.0))
    assert drained.ok
    assert "allows 0" in drained.details["over_budget"]


# Moves


def test_lent_instance_returns_only_after_the_minimum_loan():
    """Guards against moving an instance back and forth whenever the load varies."""
    state = make_state()
    name = lend_instance(state, at=10.0)
    assert state.view["instances"][name].pool == "proofs"
    assert plan_moves(state, at=32.9, loads={"proofs": (0, 3)}).commands == []
    returns = plan_moves(state, at=33.1, loads={"proofs": (0, 3)}).commands
    assert [(c.instance, c.to_pool) for c in returns] == [(name, "spare")]


def test_idleness_confirmed_before_the_drain_does_not_complete_a_move():
    """Guards against changing the pool of an instance on which an entry may still start tasks.

    The entry confirmed that the instance is idle before its view contained the drain.
    """
    state = make_state()
    assert state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0)).ok
    observation = make_observation(state, at=3.0)
    observation.idle["spare-0"] = state.moves["spare-0"].version - 1
    assert (
        decide_moves(state, observation, find_losses(state, 3.0), LendingSettings()).commands == []
    )


def test_late_completion_of_a_cancelled_move_does_not_complete_the_next_move():
    """Guards against a command of a former leader that refers to an earlier move."""
    state = make_state()
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0))
    late_completion = cmd.CompleteMove("spare-0", "proofs", state.moves["spare-0"].version, 5.0)
    state.apply(cmd.CancelMove("spare-0", "stuck", 4.0))
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 4.5))
    assert state.apply(late_completion).error == "move_conflict"
    assert state.view["instances"]["spare-0"].pool == "spare"


def test_move_of_a_restarted_instance_completes_with_its_new_incarnation():
    """Guards against completing a move while the instance is suspect.

    Also guards against a move that does not complete because the instance restarted.
    """
    state = make_state()
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0))
    record_health(state, "spare-0", "suspect", 1, at=3.0)
    assert plan_moves(state, at=3.5, idle=["spare-0"]).commands == []
    record_health(state, "spare-0", "alive", 2, at=4.0)
    completion = plan_moves(state, at=6.0, idle=["spare-0"]).commands
    assert apply_all(state, completion)[0].ok
    assert state.view["instances"]["spare-0"].pool == "proofs"


@pytest.mark.parametrize(
    ("obstruct", "at", "reason"),
    [
        (lambda s: record_health(s, "spare-0", "failed", 1, at=3.0), 4.0, "failed"),
        (lambda s: s.apply(cmd.DrainTarget("d", "spare-0", True, 3.0)), 4.0, "operator drained"),
        (lambda s: s.apply(cmd.SetAside("spare-0", "fails", 3.0)), 4.0, "set aside"),
        (lambda s: None, 3.0 + MOVE_TIMEOUT_S, "not idle within"),
    ],
    ids=["failure", "operator drain", "set aside", "stuck"],
)
def test_move_that_cannot_complete_is_cancelled_with_its_reason(obstruct, at, reason):
    """Guards against an instance that stays drained for a move that cannot complete.

    Operators must find the reason in the events of the instance.
    """
    state = make_state()
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0))
    obstruct(state)
    cancelled = [c for c in plan_moves(state, at=at).commands if isinstance(c, cmd.CancelMove)]
    assert reason in cancelled[0].reason
    assert state.apply(cancelled[0]).ok
    assert state.view["instances"]["spare-0"].pool == "spare"
    events = explain(state, "spare-0")["events"]
    assert events[-1]["kind"] == "move_cancelled"
    assert reason in events[-1]["reason"]


def test_lending_for_a_peak_keeps_the_loss_reserve_and_lending_for_lost_instances_uses_it():
    """Guards against a peak of one pool that uses up the spare instances kept for losses."""
    state = make_state(max_unavailable=8)
    assert loss_reserve(state) == 2
    peak = plan_moves(state, at=5.0, loads={"proofs": (200, 64)})
    assert len(peak.commands) == 6
    assert "for losses" in peak.wait_reasons["proofs"]
    for name in ("proofs-0", "proofs-4"):
        record_health(state, name, "failed", 1, at=5.0)
    replacements = plan_moves(state, at=6.0, loads={"proofs": (200, 64)}).commands
    assert [c.reason for c in replacements[:2]] == ["replaces a lost instance"] * 2


# Losses


def test_losses_in_one_rack_are_correlated_and_pause_the_campaign():
    """Guards against maintenance that continues while the instances of a rack are being lost.

    The lost instances belong to two pools, each of which is still within its budget.
    """
    state = make_state()
    state.apply(cmd.PlanMaintenance("m", (), 2.0))
    record_health(state, "proofs-0", "suspect", 1, at=3.0)
    record_health(state, "wholesale-0", "suspect", 1, at=4.0)
    losses = find_losses(state, 5.0)
    assert losses.correlated == "rack dc1/dc1-r1"
    decision = decide_maintenance(state, make_observation(state, at=5.0), losses, frozenset())
    assert [(c.action, c.by) for c in decision.commands] == [("pause", "leader")]
    apply_all(state, decision.commands)
    assert "correlated losses in rack dc1/dc1-r1" in explain(state, "maintenance")["now"][0]


def test_losses_in_two_data_centres_give_a_reason_to_pause_but_are_not_correlated():
    """Guards against a second loss that gives no reason to pause maintenance.

    Also guards against treating losses without a common location as correlated.
    """
    state = make_state()
    record_health(state, "proofs-0", "failed", 1, at=3.0)
    assert find_losses(state, 4.0).pause_reason == ""
    record_health(state, "proofs-1", "failed", 1, at=4.0)
    losses = find_losses(state, 5.0)
    assert losses.correlated == ""
    assert "second loss" in losses.pause_reason


def test_instance_that_announces_itself_from_another_rack_is_recorded_there():
    """Guards against plans that use the rack in which an instance was before.

    A late announcement of the older incarnation must not change the rack back.
    """
    state = make_state()
    newer = cmd.RecordHealth("proofs-0", "alive", 2, "dc3", "dc3-r1", "announced", 4.0)
    assert state.apply(newer).ok
    older = cmd.RecordHealth("proofs-0", "alive", 1, "dc1", "dc1-r1", "announced", 5.0)
    assert state.apply(older).error == "older_incarnation"
    instance = state.view["instances"]["proofs-0"]
    assert (instance.data_centre, instance.rack) == ("dc3", "dc3-r1")


# Maintenance


def maintenance_commands(state, *, at, idle=(), rebooted=frozenset()):
    """Returns the commands that the leader proposes for the maintenance campaign."""
    losses = find_losses(state, at)
    observation = make_observation(state, at=at, idle=idle)
    return decide_maintenance(state, observation, losses, rebooted).commands


def test_wave_drains_one_rack_and_instances_return_only_with_a_new_incarnation():
    """Guards against an instance that returns to service before it was rebooted.

    It needs a new incarnation and the platform's confirmation, since it may restart by itself.
    """
    state = make_state()
    state.apply(cmd.PlanMaintenance("m", (), 2.0))
    started = maintenance_commands(state, at=3.0)
    assert all(result.ok for result in apply_all(state, started))
    names = [command.instance for command in started]
    assert {state.view["instances"][name].rack for name in names} == {"dc1-r1"}
    assert len(names) == 6
    assert maintenance_commands(state, at=4.0) == []
    apply_all(state, maintenance_commands(state, at=5.0, idle=names))
    rebooted = frozenset(order.key for order in reboot_orders(state))
    assert len(rebooted) == 6
    assert maintenance_commands(state, at=6.0, rebooted=rebooted) == []
    before_reboot = state.apply(cmd.AdvanceMaintenance(names[0], "done", "", 6.0))
    assert before_reboot.error == "not_rebooted"
    record_health(state, names[0], "alive", 2, at=7.0)
    assert maintenance_commands(state, at=7.5) == [], "the platform has not confirmed the reboot"
    done = maintenance_commands(state, at=8.0, rebooted=rebooted)
    assert [(c.instance, c.phase) for c in done] == [(names[0], "done")]


def test_wave_stays_in_one_rack_even_if_budgets_allow_more():
    """Guards against maintenance in a second rack before the first one is back in service."""
    state = make_state(max_unavailable=8)
    state.apply(cmd.PlanMaintenance("m", (), 2.0))
    for at in (3.0, 4.0):
        apply_all(state, maintenance_commands(state, at=at))
    draining = [i for i in state.view["instances"].values() if i.maintenance == "draining"]
    assert {instance.rack for instance in draining} == {"dc1-r1"}


def test_idleness_confirmed_before_the_drain_does_not_reboot_an_instance():
    """Guards against rebooting an instance on which an entry may still start tasks.

    The entry confirmed that the instance is idle before its view contained the drain.
    """
    state = make_state()
    state.apply(cmd.PlanMaintenance("m", ("proofs",), 2.0))
    apply_all(state, maintenance_commands(state, at=3.0))
    observation = make_observation(state, at=4.0)
    observation.idle["proofs-0"] = state.maintenance["proofs-0"].version - 1
    decision = decide_maintenance(state, observation, find_losses(state, 4.0), frozenset())
    assert [c for c in decision.commands if c.phase == "rebooting"] == []


def test_lent_instance_moves_directly_to_another_pool_at_its_peak():
    """Guards against two moves where one is enough: back to the spare pool, and lent again."""
    state = make_state()
    name = lend_instance(state, at=10.0)
    transfers = plan_moves(state, at=40.0, loads={"wholesale": (3, 64)}).commands
    assert [(c.instance, c.to_pool) for c in transfers] == [(name, "wholesale")]


def test_paused_campaign_ends_its_drains_and_resumes_from_a_restored_state():
    """Guards against instances that stay drained during a pause.

    Also guards against a leader that resumes a campaign which an operator paused, and against a
    campaign that a restored state continues differently.
    """
    state = make_state()
    state.apply(cmd.PlanMaintenance("m", ("proofs",), 2.0))
    apply_all(state, maintenance_commands(state, at=3.0))
    state.apply(cmd.ControlMaintenance("p", "pause", "by hand", "operator", 4.0))
    apply_all(state, maintenance_commands(state, at=5.0))
    assert unavailable(state, "proofs") == {}
    resume_by_leader = cmd.ControlMaintenance("", "resume", "losses are over", "leader", 6.0)
    assert state.apply(resume_by_leader).error == "paused_by_operator"
    state.apply(cmd.ControlMaintenance("r", "resume", "by hand", "operator", 7.0))
    restored = ReplicatedState.load(state.dump())
    assert maintenance_commands(restored, at=8.0) == maintenance_commands(state, at=8.0) != []


def test_instance_that_does_not_return_pauses_the_campaign_and_stays_unavailable():
    """Guards against a campaign that continues although instances do not return from their reboot.

    They must count in the budget until they return, even after the campaign was cancelled.
    """
    state = make_state()
    state.apply(cmd.PlanMaintenance("m", ("proofs",), 2.0))
    apply_all(state, maintenance_commands(state, at=3.0))
    apply_all(state, maintenance_commands(state, at=4.0, idle=["proofs-0", "proofs-4"]))
    paused = maintenance_commands(state, at=1900.0)
    assert "did not return" in paused[0].reason
    apply_all(state, paused)
    state.apply(cmd.ControlMaintenance("c", "cancel", "by hand", "operator", 1901.0))
    assert list(unavailable(state, "proofs")) == ["proofs-0", "proofs-4"]
    record_health(state, "proofs-0", "alive", 2, at=1902.0)
    keys = frozenset(order.key for order in reboot_orders(state))
    apply_all(state, maintenance_commands(state, at=1903.0, rebooted=keys))
    assert list(unavailable(state, "proofs")) == ["proofs-4"]


def test_instance_is_retired_only_while_it_is_failed():
    """Guards against retiring an instance that serves.

    A retired instance must also leave the views, which the entries update by deltas.
    """
    state = make_state()
    assert state.apply(cmd.RetireInstance("r1", "proofs-0", 2.0)).error == "not_failed"
    record_health(state, "proofs-0", "failed", 1, at=3.0)
    assert state.apply(cmd.RetireInstance("r2", "proofs-0", 4.0)).ok
    assert "proofs-0" not in state.view["instances"]
    assert "proofs-0" in state.delta(state.version - 1)["removed"]["instances"]
    assert explain(state, "proofs-0")["kind"] == "former"


def test_a_campaign_starts_on_a_state_that_has_lost_the_step_of_a_reboot():
    """Guards against a state of an earlier version on which no campaign can start any more."""
    state = make_state()
    state.apply(cmd.PlanMaintenance("first", ("proofs",), 2.0))
    state.apply(cmd.AdvanceMaintenance("proofs-0", "draining", "", 2.0))
    state.apply(cmd.AdvanceMaintenance("proofs-0", "rebooting", "", 2.0))
    state.apply(cmd.ControlMaintenance("c", "cancel", "", at=3.0))
    del state.maintenance["proofs-0"]
    assert state.apply(cmd.PlanMaintenance("second", (), 4.0)).ok
    assert [order.instance for order in reboot_orders(state)] == ["proofs-0"]


def test_a_reboot_of_a_cancelled_campaign_ends_during_the_next_campaign():
    """Guards against a KeyError in `apply` and an instance that stays in its reboot forever."""
    state = make_state()
    state.apply(cmd.PlanMaintenance("first", ("proofs",), 2.0))
    state.apply(cmd.AdvanceMaintenance("proofs-0", "draining", "", 2.0))
    state.apply(cmd.AdvanceMaintenance("proofs-0", "rebooting", "", 2.0))
    rebooted = frozenset(order.key for order in reboot_orders(state))
    state.apply(cmd.ControlMaintenance("c", "cancel", "", at=3.0))
    instances = len(state.view["instances"])
    planned = state.apply(cmd.PlanMaintenance("second", (), 4.0))
    assert planned.details["instances"] == instances - 1
    assert state.apply(cmd.AdvanceMaintenance("proofs-0", "done", "", 4.0)).error == "not_rebooted"
    record_health(state, "proofs-0", "alive", 2, at=5.0)
    done = maintenance_commands(state, at=6.0, rebooted=rebooted)
    assert ("proofs-0", "done") in [
        (c.instance, c.phase) for c in done if isinstance(c, cmd.AdvanceMaintenance)
    ]
    assert all(result.ok for result in apply_all(state, done))
    assert state.view["instances"]["proofs-0"].maintenance == "done"
