"""Dispatch order, queue limits and the use of target slots."""

import math

import pytest
from policy_support import announce_all, make_dispatcher, make_task, make_view

from geraniumtrack.coordination.limits.shares import ShareTable
from geraniumtrack.coordination.serving.dispatch_order import DispatchPolicy

AMPLE_ALLOTMENTS = {"a": 1000, "b": 1000, "c": 1000}


def run_with_full_queues(
    dispatcher, table, teams, *, run_time_s, until_s, step_s=0.05, urgencies=None
):
    """Keeps tasks of every team queued; returns the slot-seconds that each team used.

    Args:
        dispatcher: Dispatcher under test.
        table: Its targets.
        teams: Names of the teams.
        run_time_s: Run time of a task of each team, in seconds.
        until_s: Simulated duration in seconds.
        step_s: Simulated time between two placements, in seconds.
        urgencies: Urgency of the tasks of each team; all are normal if None.
    """
    slot_seconds = dict.fromkeys(teams, 0.0)
    running = []
    now = 0.0
    while now < until_s:
        for placement in [p for p in running if p.at + run_time_s[p.task.submit.team] <= now]:
            running.remove(placement)
            dispatcher.release_slot(placement, now)
        for team in teams:
            for _ in range(40 - dispatcher._queues.by_team.get(team, 0)):
                urgency = urgencies[team] if urgencies else "normal"
                dispatcher.enqueue(make_task(team, urgency=urgency, now=now), now=now)
        running += dispatcher.place_tasks(now, allotments=AMPLE_ALLOTMENTS)
        for placement in running:
            slot_seconds[placement.task.submit.team] += step_s
        now = round(now + step_s, 6)
        announce_all(dispatcher._view, table, now)
    return slot_seconds


def test_slot_usage_follows_the_shares_if_run_times_differ():
    """Guards against fair ordering by number of requests instead of slot-seconds.

    A team with long runs would then occupy more slots than its share.
    """
    teams = {"a": 3.0, "b": 2.0, "c": 1.0}
    dispatcher, table = make_dispatcher(make_view(teams=teams))
    slot_seconds = run_with_full_queues(
        dispatcher, table, teams, run_time_s={"a": 0.1, "b": 0.4, "c": 1.0}, until_s=40.0
    )
    total = sum(slot_seconds.values())
    for team, share in teams.items():
        assert slot_seconds[team] / total == pytest.approx(share / 6, abs=0.03)


def test_usage_gossiped_by_another_dispatcher_counts_against_the_share():
    """Guards against a team that gets its full share again from each dispatcher.

    Without gossip, a dispatcher knows only the slots that it assigned itself.
    """
    teams = {"a": 1.0, "b": 1.0}
    dispatcher, _ = make_dispatcher(make_view(teams=teams, targets=1))
    dispatcher.shares.update_remote_usage("e2", {"a": 8.0}, 0.0)
    for _ in range(8):
        dispatcher.enqueue(make_task("a"))
        dispatcher.enqueue(make_task("b"))
    placements = dispatcher.place_tasks(0.0, allotments=AMPLE_ALLOTMENTS)
    assert [p.task.submit.team for p in placements] == ["b"] * 8


@pytest.mark.parametrize(("lend", "expected"), [(True, 4), (False, 8)])
def test_use_of_idle_slots_is_not_charged_to_a_team(lend, expected):
    """Guards against a team that gets no slots for a time because it used idle ones before.

    If idle slots are charged (`lend=False`), the other team gets all 8 slots instead of 4.
    """
    teams = {"a": 1.0, "b": 1.0}
    view = make_view(teams=teams, targets=1)
    dispatcher, table = make_dispatcher(view, shares=ShareTable(lend=lend))
    now = 0.0
    for _ in range(100):
        for _ in range(8):
            dispatcher.enqueue(make_task("a", now=now))
        announce_all(view, table, now)
        placements = dispatcher.place_tasks(now, allotments=AMPLE_ALLOTMENTS)
        now = round(now + 0.1, 6)
        for placement in placements:
            dispatcher.release_slot(placement, now)
    for _ in range(8):
        dispatcher.enqueue(make_task("a", now=now))
        dispatcher.enqueue(make_task("b", now=now))
    placed_teams = [
        p.task.submit.team for p in dispatcher.place_tasks(now, allotments=AMPLE_ALLOTMENTS)
    ]
    assert placed_teams.count("b") == expected


def test_each_team_keeps_its_reserved_part_of_a_full_queue():
    """Guards against one length limit for all teams.

    A team with many requests would fill the queue, and those of other teams would be refused.
    Half of the 40 places are reserved by shares, so that one of two teams gets at most 30.
    """
    view = make_view(teams={"a": 1.0, "b": 1.0}, max_length=40)
    dispatcher, _ = make_dispatcher(view)
    refusals = [dispatcher.enqueue(make_task("a")) for _ in range(100)]
    assert [refusal is None for refusal in refusals].count(True) == 30
    assert refusals[-1].reason == "queue_full"
    assert all(dispatcher.enqueue(make_task("b")) is None for _ in range(10))
    assert dispatcher.enqueue(make_task("b")).reason == "queue_full"


def test_urgent_tasks_go_first_and_long_tasks_keep_a_fraction_of_the_slots():
    """Guards against long tasks that never start while urgent tasks keep arriving."""
    dispatcher, _ = make_dispatcher(make_view(teams={"a": 1.0}, targets=2))
    for urgency in ("long", "normal", "urgent"):
        for _ in range(20):
            dispatcher.enqueue(make_task("a", urgency=urgency), now=0.0)
    placed = [
        p.task.submit.urgency for p in dispatcher.place_tasks(0.0, allotments=AMPLE_ALLOTMENTS)
    ]
    assert placed.count("long") == 1
    assert placed.count("urgent") == 15


@pytest.mark.parametrize(("max_excess", "max_fraction"), [(0.5, 0.65), (math.inf, 1.0)])
def test_team_cannot_occupy_a_full_pool_by_marking_its_work_urgent(max_excess, max_fraction):
    """Guards against urgent tasks that take precedence whatever their team has used.

    Without a limit (`math.inf`), one team could occupy the whole pool.
    """
    policy = DispatchPolicy(max_urgent_excess=max_excess)
    dispatcher, table = make_dispatcher(make_view(teams={"a": 1.0, "b": 1.0}), policy=policy)
    urgencies = {"a": "urgent", "b": "normal"}
    slot_seconds = run_with_full_queues(
        dispatcher,
        table,
        urgencies,
        run_time_s={"a": 0.2, "b": 0.2},
        until_s=20.0,
        urgencies=urgencies,
    )
    assert max_fraction - 0.1 <= slot_seconds["a"] / sum(slot_seconds.values()) <= max_fraction


def test_request_is_refused_at_once_if_its_wait_would_exceed_its_deadline():
    """Guards against queueing a request that is certain to expire.

    A request of a team without queued tasks is accepted, since it is placed ahead of the others.
    """
    dispatcher, table = make_dispatcher(make_view(teams={"a": 1.0, "b": 1.0}, targets=1))
    now = 0.0
    for _ in range(4):
        for _ in range(8):
            dispatcher.enqueue(make_task("a"), now=now)
        announce_all(dispatcher._view, table, now)
        placements = dispatcher.place_tasks(now, allotments=AMPLE_ALLOTMENTS)
        now += 2.0
        for placement in placements:
            dispatcher.release_slot(placement, now)
    for _ in range(32):
        assert dispatcher.enqueue(make_task("a", now=now), now=now) is None
    refusal = dispatcher.enqueue(make_task("a", now=now, timeout_s=1.0), now=now)
    assert refusal.reason == "deadline"
    assert dispatcher.enqueue(make_task("b", now=now, timeout_s=1.0), now=now) is None


def test_targets_get_no_more_tasks_than_slots_and_leaving_targets_get_none():
    """Guards against starts that a target refuses because it has no free slot or is leaving."""
    view = make_view(teams={"a": 1.0}, targets=3, max_length=1000)
    dispatcher, table = make_dispatcher(view, slots=8)
    for _ in range(100):
        dispatcher.enqueue(make_task("a"))
    placements = dispatcher.place_tasks(0.0, allotments=AMPLE_ALLOTMENTS)
    per_target = {name: [p.target for p in placements].count(name) for name in ("t0", "t1", "t2")}
    assert per_target == {"t0": 8, "t1": 8, "t2": 8}
    announcement = table.get("t0").announcement
    table.announce(
        type(announcement)(**{**announcement_fields(announcement), "leaving": True}), 0.1
    )
    for placement in placements:
        dispatcher.release_slot(placement, 0.1)
    later_placements = dispatcher.place_tasks(0.1, allotments=AMPLE_ALLOTMENTS)
    assert {p.target for p in later_placements} == {"t1", "t2"}


def test_no_task_starts_in_a_data_centre_out_of_service():
    """Guards against starts after operators took the data centre out of service.

    Its queued tasks can then be moved to other data centres.
    """
    view = make_view(teams={"a": 1.0})
    dispatcher, _ = make_dispatcher(view)
    dispatcher.enqueue(make_task("a"))
    data_centre = view.sections["data_centres"]["dc1"]
    view.sections["data_centres"]["dc1"] = type(data_centre)("dc1", in_service=False)
    assert dispatcher.place_tasks(0.0, allotments=AMPLE_ALLOTMENTS) == []
    assert len(dispatcher.pop_pool("proofs")) == 1


def test_retried_task_waits_for_an_untried_target_without_delaying_others():
    """Guards against a task that fails three times on one target because the others are full."""
    dispatcher, _ = make_dispatcher(make_view(teams={"a": 1.0, "b": 1.0}, targets=2), slots=1)
    dispatcher.enqueue(make_task("b"))
    (first,) = dispatcher.place_tasks(0.0, allotments=AMPLE_ALLOTMENTS)
    failed_task = make_task("a")
    failed_task.tried.append("t1" if first.target == "t0" else "t0")
    dispatcher.enqueue(failed_task)
    dispatcher.enqueue(make_task("a"))
    (second,) = dispatcher.place_tasks(0.0, allotments=AMPLE_ALLOTMENTS)
    assert second.task is not failed_task
    dispatcher.release_slot(first, 1.0)
    (third,) = dispatcher.place_tasks(1.0, allotments=AMPLE_ALLOTMENTS)
    assert (third.task, third.target) == (failed_task, first.target)


def test_cancelled_and_expired_tasks_leave_the_queue():
    """Guards against tasks that start or count as queued although no caller waits for them.

    A running task does not expire in the queue, but does so if it is requeued after its deadline.
    """
    dispatcher, table = make_dispatcher(make_view(teams={"a": 1.0}))
    tasks = [make_task("a", timeout_s=5.0 + i) for i in range(10)]
    for task in tasks:
        dispatcher.enqueue(task)
    assert dispatcher.cancel(tasks[0])
    assert not dispatcher.cancel(tasks[0])
    assert dispatcher.expire(7.0) == tasks[1:3]
    assert dispatcher._queues.by_team == {"a": 7}
    announce_all(dispatcher._view, table, 7.0)
    (placement,) = dispatcher.place_tasks(7.0, allotments={"a": 1})
    assert dispatcher.expire(placement.task.deadline) == []
    dispatcher.release_slot(placement, 20.0)
    dispatcher.requeue(placement.task)
    assert placement.task in dispatcher.expire(20.0)


def announcement_fields(announcement):
    return {name: getattr(announcement, name) for name in announcement.__dataclass_fields__}
