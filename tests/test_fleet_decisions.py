"""Budgets, moves, maintenance and losses: the real state and the real decisions, without I/O."""

import pytest

from geraniumtrack.coordination.explain import explain
from geraniumtrack.coordination.losses import find_losses, loss_reserve
from geraniumtrack.coordination.maintenance import decide_maintenance, reboot_orders
from geraniumtrack.coordination.moves import MOVE_TIMEOUT_S, LendingSettings, decide_moves
from geraniumtrack.coordination.observed import FleetObservation, ObservedTarget
from geraniumtrack.protocol.fleet_reports import LoadReport
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.availability import unavailable
from geraniumtrack.state.replicated import ReplicatedState

POOLS = ("proofs", "wholesale", "spare")


def fleet(*, per_pool=8, max_unavailable=2, pools=POOLS):
    """Builds a state with pools over four data centres, one rack each."""
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
            report(state, f"{pool}-{i}", "alive", 1, at=1.0)
    return state


def report(state, name, health, incarnation, *, at):
    instance = state.view["instances"][name]
    return state.apply(
        cmd.RecordHealth(
            name, health, incarnation, instance.data_centre, instance.rack, "observed", at
        )
    )


def observed(state, *, at, loads=None, idle=()):
    targets = {
        i.name: ObservedTarget("alive", 1, i.data_centre, i.rack, 8, 0, False)
        for i in state.view["instances"].values()
    }
    loads = {pool: LoadReport(*load) for pool, load in (loads or {}).items()}
    return FleetObservation(at, targets, loads, dict.fromkeys(idle, state.version))


def moves(state, *, at, lending=None, **seen):
    losses = find_losses(state, at)
    return decide_moves(state, observed(state, at=at, **seen), losses, lending or LendingSettings())


def apply_all(state, commands):
    return [state.apply(command) for command in commands]


def lend_one(state, *, at):
    """Lends an instance to proofs and returns its name."""
    begun = moves(state, at=at, loads={"proofs": (3, 64)}).commands
    assert [command.to_pool for command in begun] == ["proofs"]
    assert all(result.ok for result in apply_all(state, begun))
    name = begun[0].instance
    assert apply_all(state, moves(state, at=at + 3, idle=[name]).commands)[0].ok
    return name


# Availability budget


def test_steps_planned_at_the_same_time_do_not_both_pass_the_budget():
    """Guards against two planners that each saw the last free place in the budget."""
    state = fleet(max_unavailable=1)
    first = state.apply(cmd.BeginMove("proofs-0", "proofs", "spare", "a", 2.0))
    racing = state.apply(cmd.SetAside("proofs-1", "fails everything", 2.0))
    assert first.ok
    assert (racing.ok, racing.error) == (False, "over_budget")
    assert list(unavailable(state, "proofs")) == ["proofs-0"]


@pytest.mark.parametrize(
    "loss",
    [
        lambda s: report(s, "proofs-0", "suspect", 1, at=2.0),
        lambda s: report(s, "proofs-0", "failed", 1, at=2.0),
        lambda s: report(s, "proofs-0", "leaving", 1, at=2.0),
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
def test_every_kind_of_absence_counts_in_the_budget(loss):
    state = fleet(max_unavailable=1)
    assert loss(state).ok
    refused = state.apply(cmd.BeginMove("proofs-1", "proofs", "spare", "peak", 3.0))
    assert refused.error == "over_budget"
    assert "proofs-0" in refused.message


def test_data_centre_out_of_service_counts_in_the_budget():
    state = fleet(max_unavailable=2)
    assert state.apply(cmd.SetDataCentre("out", "dc1", False)).ok
    assert state.apply(cmd.SetAside("proofs-1", "fails", 2.0)).error == "over_budget"


def test_operator_drain_beyond_the_budget_is_accepted_and_said():
    """An operator's drain is in force at the entries already, so it cannot be refused."""
    state = fleet(max_unavailable=0)
    drained = state.apply(cmd.DrainTarget("drain", "proofs-0", True, 2.0))
    assert drained.ok
    assert "allows 0" in drained.details["over_budget"]


# Moves


def test_lent_instance_returns_only_after_its_minimum_stay():
    state = fleet()
    name = lend_one(state, at=10.0)
    assert state.view["instances"][name].pool == "proofs"
    assert moves(state, at=32.9, loads={"proofs": (0, 3)}).commands == []
    back = moves(state, at=33.1, loads={"proofs": (0, 3)}).commands
    assert [(c.instance, c.to_pool) for c in back] == [(name, "spare")]


def test_idleness_confirmed_for_an_earlier_drain_does_not_complete_a_move():
    """Guards against a confirmation given before the entry saw the drain."""
    state = fleet()
    assert state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0)).ok
    seen = observed(state, at=3.0)
    seen.idle["spare-0"] = state.moves["spare-0"].version - 1
    assert decide_moves(state, seen, find_losses(state, 3.0), LendingSettings()).commands == []


def test_late_completion_of_a_cancelled_move_does_not_complete_the_next_one():
    """Guards against a command of a former leader that was planned for an older move."""
    state = fleet()
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0))
    late = cmd.CompleteMove("spare-0", "proofs", state.moves["spare-0"].version, 5.0)
    state.apply(cmd.CancelMove("spare-0", "stuck", 4.0))
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 4.5))
    assert state.apply(late).error == "move_conflict"
    assert state.view["instances"]["spare-0"].pool == "spare"


def test_move_that_races_with_a_restart_completes_with_the_new_incarnation():
    state = fleet()
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0))
    report(state, "spare-0", "suspect", 1, at=3.0)
    assert moves(state, at=3.5, idle=["spare-0"]).commands == []
    report(state, "spare-0", "alive", 2, at=4.0)
    done = moves(state, at=6.0, idle=["spare-0"]).commands
    assert apply_all(state, done)[0].ok
    assert state.view["instances"]["spare-0"].pool == "proofs"


@pytest.mark.parametrize(
    ("disturb", "at", "reason"),
    [
        (lambda s: report(s, "spare-0", "failed", 1, at=3.0), 4.0, "failed"),
        (lambda s: s.apply(cmd.DrainTarget("d", "spare-0", True, 3.0)), 4.0, "operator drained"),
        (lambda s: s.apply(cmd.SetAside("spare-0", "fails", 3.0)), 4.0, "set aside"),
        (lambda s: None, 3.0 + MOVE_TIMEOUT_S, "not idle within"),
    ],
    ids=["failure", "operator drain", "set aside", "stuck"],
)
def test_disturbed_move_is_cancelled_with_its_reason(disturb, at, reason):
    state = fleet()
    state.apply(cmd.BeginMove("spare-0", "spare", "proofs", "peak", 2.0))
    disturb(state)
    cancelled = [c for c in moves(state, at=at).commands if isinstance(c, cmd.CancelMove)]
    assert reason in cancelled[0].reason
    assert state.apply(cancelled[0]).ok
    assert state.view["instances"]["spare-0"].pool == "spare"
    events = explain(state, "spare-0")["events"]
    assert events[-1]["kind"] == "move_cancelled"
    assert reason in events[-1]["reason"]


def test_lending_for_a_peak_keeps_the_buffer_and_lending_for_a_lost_rack_uses_it():
    state = fleet(max_unavailable=8)
    assert loss_reserve(state) == 2
    peak = moves(state, at=5.0, loads={"proofs": (200, 64)})
    assert len(peak.commands) == 6
    assert "for losses" in peak.wait_reasons["proofs"]
    for name in ("proofs-0", "proofs-4"):
        report(state, name, "failed", 1, at=5.0)
    replaced = moves(state, at=6.0, loads={"proofs": (200, 64)}).commands
    assert [c.reason for c in replaced[:2]] == ["replaces a lost instance"] * 2


# Losses


def test_lost_rack_is_one_correlated_loss_and_pauses_the_campaign():
    state = fleet()
    state.apply(cmd.PlanMaintenance("m", (), 2.0))
    report(state, "proofs-0", "suspect", 1, at=3.0)
    report(state, "wholesale-0", "suspect", 1, at=4.0)
    losses = find_losses(state, 5.0)
    assert losses.correlated == "rack dc1/dc1-r1"
    paused = decide_maintenance(state, observed(state, at=5.0), losses, frozenset())
    assert [(c.action, c.by) for c in paused.commands] == [("pause", "leader")]
    apply_all(state, paused.commands)
    assert "correlated losses in rack dc1/dc1-r1" in explain(state, "maintenance")["now"][0]


def test_losses_in_two_data_centres_pause_as_a_second_loss_but_are_not_correlated():
    state = fleet()
    report(state, "proofs-0", "failed", 1, at=3.0)
    assert find_losses(state, 4.0).pause_reason == ""
    report(state, "proofs-1", "failed", 1, at=4.0)
    losses = find_losses(state, 5.0)
    assert losses.correlated == ""
    assert "second loss" in losses.pause_reason


def test_instance_announced_from_another_rack_counts_there():
    state = fleet()
    moved = cmd.RecordHealth("proofs-0", "alive", 2, "dc3", "dc3-r1", "announced", 4.0)
    assert state.apply(moved).ok
    stale = cmd.RecordHealth("proofs-0", "alive", 1, "dc1", "dc1-r1", "announced", 5.0)
    assert state.apply(stale).error == "older_incarnation"
    instance = state.view["instances"]["proofs-0"]
    assert (instance.data_centre, instance.rack) == ("dc3", "dc3-r1")


# Maintenance


def wave(state, *, at, idle=(), rebooted=frozenset()):
    losses = find_losses(state, at)
    seen = observed(state, at=at, idle=idle)
    return decide_maintenance(state, seen, losses, rebooted).commands


def test_wave_takes_one_rack_and_returns_instances_by_new_incarnation_only():
    state = fleet()
    state.apply(cmd.PlanMaintenance("m", (), 2.0))
    started = wave(state, at=3.0)
    assert all(result.ok for result in apply_all(state, started))
    names = [command.instance for command in started]
    assert {state.view["instances"][name].rack for name in names} == {"dc1-r1"}
    assert len(names) == 6
    assert wave(state, at=4.0) == []
    apply_all(state, wave(state, at=5.0, idle=names))
    rebooted = frozenset(order.key for order in reboot_orders(state))
    assert len(rebooted) == 6
    assert wave(state, at=6.0, rebooted=rebooted) == []
    early = state.apply(cmd.AdvanceMaintenance(names[0], "done", "", 6.0))
    assert early.error == "not_rebooted"
    report(state, names[0], "alive", 2, at=7.0)
    assert wave(state, at=7.5) == [], "the platform has not confirmed the reboot"
    done = wave(state, at=8.0, rebooted=rebooted)
    assert [(c.instance, c.phase) for c in done] == [(names[0], "done")]


def test_wave_stays_in_one_rack_even_where_budgets_allow_more():
    state = fleet(max_unavailable=8)
    state.apply(cmd.PlanMaintenance("m", (), 2.0))
    for at in (3.0, 4.0):
        apply_all(state, wave(state, at=at))
    taken = [i for i in state.view["instances"].values() if i.maintenance == "draining"]
    assert {instance.rack for instance in taken} == {"dc1-r1"}


def test_idleness_confirmed_for_an_earlier_drain_does_not_reboot_an_instance():
    state = fleet()
    state.apply(cmd.PlanMaintenance("m", ("proofs",), 2.0))
    apply_all(state, wave(state, at=3.0))
    seen = observed(state, at=4.0)
    seen.idle["proofs-0"] = state.maintenance["proofs-0"].version - 1
    decision = decide_maintenance(state, seen, find_losses(state, 4.0), frozenset())
    assert [c for c in decision.commands if c.phase == "rebooting"] == []


def test_lent_instance_goes_straight_to_the_next_pool_at_its_peak():
    state = fleet()
    name = lend_one(state, at=10.0)
    passed = moves(state, at=40.0, loads={"wholesale": (3, 64)}).commands
    assert [(c.instance, c.to_pool) for c in passed] == [(name, "wholesale")]


def test_paused_campaign_gives_draining_instances_back_and_resumes_from_the_journal():
    state = fleet()
    state.apply(cmd.PlanMaintenance("m", ("proofs",), 2.0))
    apply_all(state, wave(state, at=3.0))
    state.apply(cmd.ControlMaintenance("p", "pause", "by hand", "operator", 4.0))
    apply_all(state, wave(state, at=5.0))
    assert unavailable(state, "proofs") == {}
    leader = cmd.ControlMaintenance("", "resume", "losses are over", "leader", 6.0)
    assert state.apply(leader).error == "paused_by_operator"
    state.apply(cmd.ControlMaintenance("r", "resume", "by hand", "operator", 7.0))
    restored = ReplicatedState.load(state.dump())
    assert wave(restored, at=8.0) == wave(state, at=8.0) != []


def test_instance_that_does_not_return_pauses_the_campaign_and_stays_counted():
    state = fleet()
    state.apply(cmd.PlanMaintenance("m", ("proofs",), 2.0))
    apply_all(state, wave(state, at=3.0))
    apply_all(state, wave(state, at=4.0, idle=["proofs-0", "proofs-4"]))
    paused = wave(state, at=1900.0)
    assert "did not return" in paused[0].reason
    apply_all(state, paused)
    state.apply(cmd.ControlMaintenance("c", "cancel", "by hand", "operator", 1901.0))
    assert list(unavailable(state, "proofs")) == ["proofs-0", "proofs-4"]
    report(state, "proofs-0", "alive", 2, at=1902.0)
    keys = frozenset(order.key for order in reboot_orders(state))
    apply_all(state, wave(state, at=1903.0, rebooted=keys))
    assert list(unavailable(state, "proofs")) == ["proofs-4"]


def test_failed_instance_is_retired_only_while_it_is_failed():
    state = fleet()
    assert state.apply(cmd.RetireInstance("r1", "proofs-0", 2.0)).error == "not_failed"
    report(state, "proofs-0", "failed", 1, at=3.0)
    assert state.apply(cmd.RetireInstance("r2", "proofs-0", 4.0)).ok
    assert "proofs-0" not in state.view["instances"]
    assert "proofs-0" in state.delta(state.version - 1)["removed"]["instances"]
    assert explain(state, "proofs-0")["kind"] == "former"
