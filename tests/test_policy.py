"""Decisions of routing, ownership, retries and quarantine, without I/O."""

from dataclasses import replace

import pytest
from policy_support import announce_all, make_dispatcher, make_task, make_view

from geraniumtrack.coordination.entries.peers import KnownEntry, must_send_loads
from geraniumtrack.coordination.serving.ownership import Ownership, owner_of
from geraniumtrack.coordination.serving.quarantine import FAILS_ALL
from geraniumtrack.coordination.serving.retries import RetryBudget, decide_retry
from geraniumtrack.coordination.serving.routing import Router
from geraniumtrack.protocol.messages import Gossip, PoolLoad
from geraniumtrack.state.commands import SetAside
from geraniumtrack.state.records import DataCentre

AMPLE_ALLOTMENTS = {"a": 1000}
DATA_CENTRES = ("dc1", "dc2", "dc3")


def make_load(*, running=0, queued=0, wait_s=0.0, slots=16, keyed=True):
    """Returns the loads that an entry gossips, with pool p only."""
    return {"p": PoolLoad(slots, running, queued, round(wait_s * 1000), 400, keyed)}


def make_router(view=None, **options):
    """Returns a router of dc1 that knows an idle entry in each data centre."""
    router = Router(
        "dc1", view or make_view(teams={"a": 1.0}, data_centres=DATA_CENTRES), **options
    )
    for i, name in enumerate(DATA_CENTRES):
        router.update_loads(f"e{i + 1}a", name, make_load(), 0.0)
    return router


def choose_data_centre(router, now=0.0, **options):
    return router.choose_data_centre("p", keyed=True, now=now, **options)


def test_requests_stay_local_unless_another_data_centre_is_faster_by_a_margin():
    """Guards against requests that leave their data centre for a negligibly shorter wait."""
    router = make_router()
    assert choose_data_centre(router) == "dc1"
    router.update_loads("e1a", "dc1", make_load(running=16, wait_s=0.04), 0.0)
    assert choose_data_centre(router) == "dc1"
    router.update_loads("e1a", "dc1", make_load(running=16, queued=80, wait_s=2.0), 0.0)
    assert choose_data_centre(router) in ("dc2", "dc3")


@pytest.mark.parametrize(("count_sent", "max_count"), [(True, 30), (False, 40)])
def test_surplus_is_spread_over_data_centres(count_sent, max_count):
    """Guards against sending the whole surplus to the data centre that gossiped the shortest wait.

    All 40 requests go there if those sent since the last gossip are not counted.
    """
    router = make_router(count_sent=count_sent)
    router.update_loads("e1a", "dc1", make_load(running=16, queued=80, wait_s=2.0), 0.0)
    chosen = []
    for _ in range(40):
        name = choose_data_centre(router)
        router.record_sent("p", name)
        chosen.append(name)
    assert max(chosen.count(name) for name in DATA_CENTRES) <= max_count
    assert (len(set(chosen)) > 1) == count_sent


def test_data_centre_out_of_service_or_without_recent_gossip_or_session_is_not_chosen():
    """Guards against requests that are sent to a data centre which cannot run them.

    Requests without a team need no session of the dispatcher.
    """
    view = make_view(teams={"a": 1.0}, data_centres=DATA_CENTRES)
    router = make_router(view)
    view.sections["data_centres"]["dc1"] = DataCentre("dc1", in_service=False)
    assert choose_data_centre(router) == "dc2"
    router.forget("e2a")
    assert choose_data_centre(router) == "dc3"
    router.update_loads("e3a", "dc3", make_load(keyed=False), 0.0)
    assert choose_data_centre(router) is None
    assert router.choose_data_centre("p", keyed=False, now=0.0) == "dc3"
    assert router.choose_data_centre("p", keyed=False, now=3.1) is None


def test_returned_data_centre_is_ramped_up():
    """Guards against a data centre that gets its full load at the moment it returns to service."""
    view = make_view(teams={"a": 1.0}, data_centres=DATA_CENTRES)
    router = make_router(view)
    router.ramp.observe(view, 0.0)
    assert router.ramp.factor("dc1", 0.0) == 1.0
    view.sections["data_centres"]["dc1"] = DataCentre("dc1", in_service=False)
    router.ramp.observe(view, 1.0)
    view.sections["data_centres"]["dc1"] = DataCentre("dc1")
    router.ramp.observe(view, 20.0)
    assert [router.ramp.factor("dc1", 20.0 + s) for s in (0.0, 5.0, 10.0)] == [0.1, 0.5, 1.0]


def make_known_entry(name, heard_at, *, ready=True, loads=()):
    gossip = Gossip(name, "s", "dc1", 1, 1, ready, dict.fromkeys(loads, {}))
    return KnownEntry(name, "dc1", heard_at, gossip)


def make_ownership(now=0.0, **options):
    return Ownership(name="e1a", data_centre="dc1", local_peers=["e1b"], now=now, **options)


POOL_OWNED_BY_E1B = next(f"p{i}" for i in range(100) if owner_of(f"p{i}", ["e1a", "e1b"]) == "e1b")
POOL_OWNED_BY_E1A = next(f"p{i}" for i in range(100) if owner_of(f"p{i}", ["e1a", "e1b"]) == "e1a")


def test_new_owner_waits_for_the_hold_off_unless_the_former_owner_left():
    """Guards against two dispatchers that fill the same slots.

    An owner whose gossip is missing may still dispatch; one that leaves announces it.
    """
    ownership = make_ownership()
    last_gossip = make_known_entry("e1b", 10.0, loads=[POOL_OWNED_BY_E1B])
    assert not ownership.may_dispatch(POOL_OWNED_BY_E1B, [last_gossip], 12.9)
    assert ownership.may_dispatch(POOL_OWNED_BY_E1B, [last_gossip], 13.1)
    ownership = make_ownership()
    ownership.may_dispatch(POOL_OWNED_BY_E1B, [last_gossip], 10.0)
    assert ownership.may_dispatch(
        POOL_OWNED_BY_E1B, [make_known_entry("e1b", 10.5, ready=False)], 10.5
    )


def test_new_owner_waits_until_the_former_owner_stops_dispatching():
    """Guards against two dispatchers that fill the same slots after an entry has started.

    The former owner dispatches until it has received the gossip of the new one.
    """
    ownership = make_ownership()
    assert not ownership.may_dispatch(POOL_OWNED_BY_E1A, [], 2.9)
    assert not ownership.may_dispatch(
        POOL_OWNED_BY_E1A, [make_known_entry("e1b", 2.9, loads=[POOL_OWNED_BY_E1A])], 2.9
    )
    assert ownership.may_dispatch(POOL_OWNED_BY_E1A, [make_known_entry("e1b", 3.0)], 3.0)
    assert not ownership.may_dispatch(POOL_OWNED_BY_E1B, [make_known_entry("e1b", 3.0)], 3.0)


def test_entry_that_was_frozen_does_not_dispatch_to_all_pools_at_once():
    """Guards against an entry that dispatches to all pools after its process was frozen.

    It has heard no peer for longer than the hold-off, so it considers itself the only live entry.
    """
    ownership = make_ownership()
    last_gossip = make_known_entry("e1b", 10.0, loads=[POOL_OWNED_BY_E1B])
    ownership.may_dispatch(POOL_OWNED_BY_E1B, [last_gossip], 10.0)
    ownership.restart_hold_off(60.0)
    assert not ownership.may_dispatch(POOL_OWNED_BY_E1B, [], 60.0)
    assert ownership.may_dispatch(POOL_OWNED_BY_E1B, [], 63.0)


def test_gossip_from_before_a_freeze_does_not_end_the_hold_off():
    """Guards against an entry that takes over all pools at once since it knows peers from before.

    The peer that dispatches has not been heard since the freeze, but it may be live.
    """
    ownership = make_ownership()
    last_gossip = make_known_entry("e1b", 10.0, loads=[POOL_OWNED_BY_E1B])
    assert not ownership.may_dispatch(POOL_OWNED_BY_E1B, [last_gossip], 10.0)
    ownership.restart_hold_off(60.0)
    assert not ownership.may_dispatch(POOL_OWNED_BY_E1B, [last_gossip], 60.0)
    assert not ownership.may_dispatch(POOL_OWNED_BY_E1B, [last_gossip], 62.9)
    newer = make_known_entry("e1b", 60.5, loads=[POOL_OWNED_BY_E1B])
    assert ownership.owner(POOL_OWNED_BY_E1B, [newer], 60.5) == "e1b"
    assert ownership.may_dispatch(POOL_OWNED_BY_E1A, [newer], 60.5)
    assert ownership.may_dispatch(POOL_OWNED_BY_E1B, [newer], 63.6)


def test_retries_stay_within_a_tenth_of_the_first_starts():
    """Guards against retries that amplify an overload because many tasks fail.

    The bound allows 16 more, because the budget starts with 16 tokens.
    """
    budget = RetryBudget(now=0.0, floor_per_s=0.0)
    retries = 0
    for _ in range(2000):
        budget.record_first_start()
        for _ in range(2):
            task = make_task("a")
            task.failure_reasons.append("broken")
            retries += decide_retry(task, started=True, budget=budget, now=0.0).retry
    assert retries <= 0.1 * 2000 + 16


def test_only_tasks_that_may_run_again_are_retried():
    """Guards against running a non-idempotent task twice.

    Also guards against endless retries of a task that fails on every target.
    """
    budget = RetryBudget(now=0.0)
    non_idempotent = make_task("a", idempotent=False)
    non_idempotent.failure_reasons.append("broken")
    assert (
        decide_retry(non_idempotent, started=True, budget=budget, now=0.0).error
        == "outcome_unknown"
    )
    assert decide_retry(non_idempotent, started=False, budget=budget, now=0.0).retry
    failing = make_task("a")
    failing.failure_reasons += ["broken", "status 500", "silent"]
    decision = decide_retry(failing, started=True, budget=budget, now=0.0)
    assert (decision.retry, decision.error) == (False, "task_failed")
    assert "status 500" in decision.message


def run_round(dispatcher, table, now, *, failing_targets=(), fail_everywhere=False, count=16):
    """Runs new tasks until each has succeeded or failed three times, and commits all proposals.

    Args:
        dispatcher: Dispatcher under test.
        table: Its targets.
        now: Clock value in seconds.
        failing_targets: Targets that fail every task.
        fail_everywhere: Whether the tasks fail on every target.
        count: Number of tasks.

    Returns:
        The target of each placement.
    """
    targets_used = []
    for _ in range(count):
        dispatcher.enqueue(make_task("a", now=now))
    while placements := dispatcher.place_tasks(now, allotments=AMPLE_ALLOTMENTS):
        for placement in placements:
            targets_used.append(placement.target)
            dispatcher.release_slot(placement, now)
            task = placement.task
            if placement.target in failing_targets or fail_everywhere:
                task.tried.append(placement.target)
                task.failed_targets.append(placement.target)
                dispatcher.quarantine.record_failure(task, placement.target, now)
                if len(task.tried) < 3:
                    dispatcher.requeue(task)
            else:
                dispatcher.quarantine.record_success(task, placement.target, now)
            commit_proposals(dispatcher)
    return targets_used


def commit_proposals(dispatcher):
    """Updates the view as the controllers do when they commit proposals within the budget."""
    view = dispatcher.quarantine._view
    for command in dispatcher.quarantine.pop_proposals():
        reason = command.reason if isinstance(command, SetAside) else ""
        instance = replace(view.instance(command.instance), set_aside=reason)
        view.sections["instances"][command.instance] = instance
        view.version += 1
    dispatcher.loads(0.0, ["proofs"])


def test_target_that_fails_every_task_is_set_aside_probed_and_returned():
    """Guards against a target that gets most of the tasks because it fails each of them at once.

    It is probed after 5 s, then 10 s after the failed probe, and returned after three successes.
    """
    view = make_view(teams={"a": 1.0}, targets=4, max_unavailable=1)
    dispatcher, table = make_dispatcher(view)
    run_round(dispatcher, table, 0.0, failing_targets=["t0"])
    assert dispatcher.quarantine.quarantined_targets() == ["t0"]
    assert "t0" not in run_round(dispatcher, table, 1.0, failing_targets=["t0"])
    announce_all(view, table, 6.0)
    assert run_round(dispatcher, table, 6.0, failing_targets=["t0"], count=64).count("t0") == 1
    for now in (17.0, 18.0, 19.0):
        announce_all(view, table, now)
        run_round(dispatcher, table, now)
    assert dispatcher.quarantine.quarantined_targets() == []


def test_quarantine_stays_within_the_availability_budget():
    """Guards against a pool that loses more targets than its budget allows because several fail."""
    view = make_view(teams={"a": 1.0}, targets=4, max_unavailable=1)
    dispatcher, table = make_dispatcher(view)
    for now in (0.0, 0.1, 0.2):
        run_round(dispatcher, table, now, failing_targets=["t0", "t1"])
    assert len(dispatcher.quarantine.quarantined_targets()) == 1


def test_tasks_that_fail_on_every_target_do_not_count_against_the_targets():
    """Guards against healthy targets that are set aside because of tasks that fail everywhere."""
    dispatcher, table = make_dispatcher(make_view(teams={"a": 1.0}, targets=4))
    for now in (0.0, 0.1, 0.2, 0.3):
        run_round(dispatcher, table, now, fail_everywhere=True)
    assert dispatcher.quarantine.quarantined_targets() == []


def test_retry_prefers_another_rack():
    """Guards against a retry that fails for the same cause, such as a fault of the rack.

    The task failed on t0, which is in one rack with t2.
    """
    dispatcher, _ = make_dispatcher(make_view(teams={"a": 1.0}, targets=4))
    task = make_task("a")
    task.tried.append("t0")
    dispatcher.enqueue(task)
    (placement,) = dispatcher.place_tasks(0.0, allotments=AMPLE_ALLOTMENTS)
    assert placement.target in ("t1", "t3")


def test_target_is_set_aside_only_after_the_controllers_committed_the_proposal():
    """Guards against dispatchers of several data centres that exceed the budget of a pool together.

    Each of them proposes to set a target aside before it has seen the others' proposals.
    """
    view = make_view(teams={"a": 1.0}, targets=4, max_unavailable=1)
    dispatcher, table = make_dispatcher(view)
    for other in ("t1", "t2", "t3"):
        task = make_task("a")
        task.failed_targets.append("t0")
        dispatcher.quarantine.record_success(task, other, 0.0)
    assert [type(c) for c in dispatcher.quarantine.pop_proposals()] == [SetAside]
    assert dispatcher.quarantine.quarantined_targets() == []
    dispatcher.loads(2.0, ["proofs"])
    assert dispatcher.quarantine.quarantined_targets() == []
    assert "t0" in run_round(dispatcher, table, 2.0)
    committed = replace(view.instance("t0"), set_aside=FAILS_ALL)
    view.sections["instances"]["t0"] = committed
    view.version += 1
    dispatcher.loads(2.1, ["proofs"])
    assert dispatcher.quarantine.quarantined_targets() == ["t0"]
    assert set(run_round(dispatcher, table, 2.1)) == {"t1", "t2", "t3"}


def test_target_with_confirmed_failures_is_no_evidence_against_another():
    """Guards against a target that is set aside although the targets with a record all fail.

    Failures of non-idempotent tasks count only if another target has none.
    """
    dispatcher, _table = make_dispatcher(make_view(teams={"a": 1.0}, targets=4))
    quarantine = dispatcher.quarantine
    idempotent = make_task("a")
    idempotent.failed_targets.append("t1")
    quarantine.record_success(idempotent, "t2", 0.0)  # confirms a failure on t1
    quarantine.record_failure(make_task("a", idempotent=False), "t2", 0.0)
    for _ in range(12):
        quarantine.record_failure(make_task("a", idempotent=False), "t0", 0.0)
    assert quarantine.pop_proposals() == []
    quarantine.record_success(make_task("a"), "t1", 0.0)
    quarantine.record_failure(make_task("a", idempotent=False), "t0", 0.0)
    assert [c.instance for c in quarantine.pop_proposals()] == ["t0"]


def test_target_whose_connection_failed_is_suspect_at_once_until_it_announces_itself():
    """Guards against a retry that goes to the target which has just failed, at the same time."""
    view = make_view(teams={"a": 1.0}, targets=1)
    _dispatcher, table = make_dispatcher(view)
    announce_all(view, table, 7.3)
    table.mark_suspect("t0", 7.3)
    assert table.get("t0").state(7.3) == "suspect"
    announce_all(view, table, 7.3)
    assert table.get("t0").state(7.3) == "alive"


def test_loads_are_sent_to_other_data_centres_at_once_if_they_change_or_tasks_wait():
    """Guards against routing by outdated loads.

    It delays urgent tasks, and the use of slots then deviates from the shares.
    """
    idle, busy, waiting = make_load(), make_load(running=3), make_load(running=16, queued=1)
    assert not must_send_loads(idle, idle)
    assert must_send_loads(busy, idle)
    assert must_send_loads(waiting, waiting)
