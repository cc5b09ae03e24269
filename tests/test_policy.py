"""Routing, ownership, retries and quarantine: pure decisions."""

from dataclasses import replace

import pytest
from policy_support import announce_all, make_dispatcher, make_task, make_view

from geraniumtrack.coordination.ownership import Ownership, owner_of
from geraniumtrack.coordination.peers import KnownEntry, must_send_loads
from geraniumtrack.coordination.retries import RetryBudget, decide_retry
from geraniumtrack.coordination.routing import Router
from geraniumtrack.protocol.messages import Gossip, PoolLoad
from geraniumtrack.state.commands import SetAside
from geraniumtrack.state.records import DataCentre

PLENTY = {"a": 1000}
DCS = ("dc1", "dc2", "dc3")


def load(*, running=0, queued=0, wait=0.0, slots=16, keyed=True):
    return {"p": PoolLoad(slots, running, queued, round(wait * 1000), 400, keyed)}


def make_router(view=None, **options):
    router = Router("dc1", view or make_view(teams={"a": 1.0}, dcs=DCS), **options)
    for i, name in enumerate(DCS):
        router.update_loads(f"e{i + 1}a", name, load(), 0.0)
    return router


def choose(router, now=0.0, **options):
    return router.choose("p", keyed=True, now=now, **options)


def test_local_first_and_spill_only_beyond_the_margin():
    router = make_router()
    assert choose(router) == "dc1"
    router.update_loads("e1a", "dc1", load(running=16, wait=0.04), 0.0)
    assert choose(router) == "dc1"
    router.update_loads("e1a", "dc1", load(running=16, queued=80, wait=2.0), 0.0)
    assert choose(router) in ("dc2", "dc3")


@pytest.mark.parametrize(("count_sent", "most"), [(True, 30), (False, 40)])
def test_surplus_is_spread_over_data_centres(count_sent, most):
    """Guards against sending the whole surplus to the data centre that gossiped the least wait."""
    router = make_router(count_sent=count_sent)
    router.update_loads("e1a", "dc1", load(running=16, queued=80, wait=2.0), 0.0)
    chosen = []
    for _ in range(40):
        name = choose(router)
        router.record_sent("p", name)
        chosen.append(name)
    assert max(chosen.count(name) for name in DCS) <= most
    assert (len(set(chosen)) > 1) == count_sent


def test_nothing_goes_to_a_data_centre_out_of_service_unheard_or_without_session():
    view = make_view(teams={"a": 1.0}, dcs=DCS)
    router = make_router(view)
    view.sections["data_centres"]["dc1"] = DataCentre("dc1", in_service=False)
    assert choose(router) == "dc2"
    router.forget("e2a")
    assert choose(router) == "dc3"
    router.update_loads("e3a", "dc3", load(keyed=False), 0.0)
    assert choose(router) is None
    assert router.choose("p", keyed=False, now=0.0) == "dc3"
    assert router.choose("p", keyed=False, now=3.1) is None


def test_returned_data_centre_is_ramped_up():
    """Guards against a data centre that gets its whole load at the moment it returns."""
    view = make_view(teams={"a": 1.0}, dcs=DCS)
    router = make_router(view)
    router.ramp.observe(view, 0.0)
    assert router.ramp.factor("dc1", 0.0) == 1.0
    view.sections["data_centres"]["dc1"] = DataCentre("dc1", in_service=False)
    router.ramp.observe(view, 1.0)
    view.sections["data_centres"]["dc1"] = DataCentre("dc1")
    router.ramp.observe(view, 20.0)
    assert [router.ramp.factor("dc1", 20.0 + s) for s in (0.0, 5.0, 10.0)] == [0.1, 0.5, 1.0]


def heard(name, at, *, ready=True, loads=()):
    gossip = Gossip(name, "s", "dc1", 1, 1, ready, dict.fromkeys(loads, {}))
    return KnownEntry(name, "dc1", at, gossip)


def make_ownership(now=0.0, **options):
    return Ownership(name="e1a", data_centre="dc1", peers=["e1b"], now=now, **options)


POOL_OF_B = next(f"p{i}" for i in range(100) if owner_of(f"p{i}", ["e1a", "e1b"]) == "e1b")
POOL_OF_A = next(f"p{i}" for i in range(100) if owner_of(f"p{i}", ["e1a", "e1b"]) == "e1a")


def test_successor_waits_for_the_hold_off_unless_the_former_left():
    """Guards against two dispatchers that fill the same slots."""
    ownership = make_ownership()
    last = heard("e1b", 10.0, loads=[POOL_OF_B])
    assert not ownership.may_dispatch(POOL_OF_B, [last], 12.9)
    assert ownership.may_dispatch(POOL_OF_B, [last], 13.1)
    ownership = make_ownership()
    ownership.may_dispatch(POOL_OF_B, [last], 10.0)
    assert ownership.may_dispatch(POOL_OF_B, [heard("e1b", 10.5, ready=False)], 10.5)


def test_new_owner_waits_until_the_former_has_stopped():
    ownership = make_ownership()
    assert not ownership.may_dispatch(POOL_OF_A, [], 2.9)
    assert not ownership.may_dispatch(POOL_OF_A, [heard("e1b", 2.9, loads=[POOL_OF_A])], 2.9)
    assert ownership.may_dispatch(POOL_OF_A, [heard("e1b", 3.0)], 3.0)
    assert not ownership.may_dispatch(POOL_OF_B, [heard("e1b", 3.0)], 3.0)


def test_entry_that_was_frozen_does_not_take_all_pools():
    """Guards against a woken process that has heard nobody for long and thinks it is alone."""
    ownership = make_ownership()
    last = heard("e1b", 10.0, loads=[POOL_OF_B])
    ownership.may_dispatch(POOL_OF_B, [last], 10.0)
    ownership.restart_hold_off(60.0)
    assert not ownership.may_dispatch(POOL_OF_B, [], 60.0)
    assert ownership.may_dispatch(POOL_OF_B, [], 63.0)


def test_retries_stay_within_a_tenth_of_the_starts():
    """Guards against failures that multiply an overload."""
    budget = RetryBudget(now=0.0, floor_per_s=0.0)
    repeated = 0
    for _ in range(2000):
        budget.record_first_start()
        for _ in range(2):
            task = make_task("a")
            task.failures.append("broken")
            repeated += decide_retry(task, started=True, budget=budget, now=0.0).retry
    assert repeated <= 0.1 * 2000 + 16


def test_only_repeatable_work_is_repeated():
    budget = RetryBudget(now=0.0)
    order = make_task("a", idempotent=False)
    order.failures.append("broken")
    assert decide_retry(order, started=True, budget=budget, now=0.0).error == "outcome_unknown"
    assert decide_retry(order, started=False, budget=budget, now=0.0).retry
    poison = make_task("a")
    poison.failures += ["broken", "status 500", "silent"]
    verdict = decide_retry(poison, started=True, budget=budget, now=0.0)
    assert (verdict.retry, verdict.error) == (False, "task_failed")
    assert "status 500" in verdict.message


def run_round(dispatcher, table, now, *, bad=(), poison=False, count=16):
    """Starts tasks, fails those on bad targets and places them again; returns all targets used."""
    used = []
    for _ in range(count):
        dispatcher.enqueue(make_task("a", now=now))
    while starts := dispatcher.place_tasks(now, allotments=PLENTY):
        for start in starts:
            used.append(start.target)
            dispatcher.release_slot(start, now)
            task = start.task
            if start.target in bad or poison:
                task.tried.append(start.target)
                task.failed_targets.append(start.target)
                dispatcher.quarantine.record_failure(task, start.target, now)
                if len(task.tried) < 3:
                    dispatcher.requeue(task)
            else:
                dispatcher.quarantine.record_success(task, start.target, now)
            commit_proposals(dispatcher)
    return used


def commit_proposals(dispatcher):
    """Does what the controllers do with proposals, which all of these are within the budget."""
    view = dispatcher.quarantine._view
    for command in dispatcher.quarantine.pop_proposals():
        reason = command.reason if isinstance(command, SetAside) else ""
        instance = replace(view.instance(command.instance), set_aside=reason)
        view.sections["instances"][command.instance] = instance
        view.version += 1
    dispatcher.loads(0.0, ["proofs"])


def test_target_that_fails_everything_is_set_aside_probed_and_returned():
    """Guards against a target that answers failures at once and so draws most of the work."""
    view = make_view(teams={"a": 1.0}, targets=4, max_unavailable=1)
    dispatcher, table = make_dispatcher(view)
    run_round(dispatcher, table, 0.0, bad=["t0"])
    assert dispatcher.quarantine.quarantined_targets() == ["t0"]
    assert "t0" not in run_round(dispatcher, table, 1.0, bad=["t0"])
    announce_all(view, table, 6.0)
    assert run_round(dispatcher, table, 6.0, bad=["t0"], count=64).count("t0") == 1
    for now in (17.0, 18.0, 19.0):
        announce_all(view, table, now)
        run_round(dispatcher, table, now)
    assert dispatcher.quarantine.quarantined_targets() == []


def test_quarantine_stays_within_the_availability_budget():
    view = make_view(teams={"a": 1.0}, targets=4, max_unavailable=1)
    dispatcher, table = make_dispatcher(view)
    for now in (0.0, 0.1, 0.2):
        run_round(dispatcher, table, now, bad=["t0", "t1"])
    assert len(dispatcher.quarantine.quarantined_targets()) == 1


def test_tasks_that_can_never_run_do_not_condemn_their_targets():
    """Guards against a wave of impossible tasks that sets healthy targets aside."""
    dispatcher, table = make_dispatcher(make_view(teams={"a": 1.0}, targets=4))
    for now in (0.0, 0.1, 0.2, 0.3):
        run_round(dispatcher, table, now, poison=True)
    assert dispatcher.quarantine.quarantined_targets() == []


def test_retry_prefers_another_rack():
    dispatcher, _ = make_dispatcher(make_view(teams={"a": 1.0}, targets=4))
    task = make_task("a")
    task.tried.append("t0")
    dispatcher.enqueue(task)
    (start,) = dispatcher.place_tasks(0.0, allotments=PLENTY)
    assert start.target in ("t1", "t3")


def test_target_is_set_aside_only_once_the_controllers_have_accepted_it():
    """Guards against dispatchers of several data centres that exceed one pool's budget together."""
    view = make_view(teams={"a": 1.0}, targets=4, max_unavailable=1)
    dispatcher, _table = make_dispatcher(view)
    for other in ("t1", "t2", "t3"):
        task = make_task("a")
        task.failed_targets.append("t0")
        dispatcher.quarantine.record_success(task, other, 0.0)
    assert [type(c) for c in dispatcher.quarantine.pop_proposals()] == [SetAside]
    assert dispatcher.quarantine.quarantined_targets() == []
    dispatcher.loads(2.0, ["proofs"])
    assert dispatcher.quarantine.quarantined_targets() == []


def test_gossip_goes_to_other_data_centres_at_once_while_loads_change_or_tasks_wait():
    """Guards against routing by old loads, which cost shares and urgent work."""
    idle, busy, waiting = load(), load(running=3), load(running=16, queued=1)
    assert not must_send_loads(idle, idle)
    assert must_send_loads(busy, idle)
    assert must_send_loads(waiting, waiting)
