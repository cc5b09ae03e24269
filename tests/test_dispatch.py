"""Dispatch order, bounds of queues and use of targets."""

import math

import pytest
from policy_support import announce_all, make_dispatcher, make_task, make_view

from geraniumtrack.coordination.dispatch import DispatchPolicy
from geraniumtrack.coordination.shares import ShareTable

PLENTY = {"a": 1000, "b": 1000, "c": 1000}


def run_full(dispatcher, teams, *, run_s, until, step=0.05, urgency=None):
    """Keeps every team's queue filled; returns the slot-seconds that each team used."""
    used = dict.fromkeys(teams, 0.0)
    running = []
    now = 0.0
    while now < until:
        for start in [s for s in running if s.at + run_s[s.task.submit.team] <= now]:
            running.remove(start)
            dispatcher.release_slot(start, now)
        for team in teams:
            for _ in range(40 - dispatcher._queues.by_team.get(team, 0)):
                kind = urgency[team] if urgency else "normal"
                dispatcher.enqueue(make_task(team, urgency=kind, now=now), now=now)
        running += dispatcher.place_tasks(now, allotments=PLENTY)
        for start in running:
            used[start.task.submit.team] += step
        now = round(now + step, 6)
        announce_all(dispatcher._view, dispatcher._targets, now)
    return used


def test_full_teams_use_slots_by_share_whatever_their_run_times():
    """Guards against counting requests instead of slot-seconds: long runs would take the slots."""
    teams = {"a": 3.0, "b": 2.0, "c": 1.0}
    dispatcher, _ = make_dispatcher(make_view(teams=teams))
    used = run_full(dispatcher, teams, run_s={"a": 0.1, "b": 0.4, "c": 1.0}, until=40.0)
    total = sum(used.values())
    for team, share in teams.items():
        assert used[team] / total == pytest.approx(share / 6, abs=0.03)


def test_usage_gossiped_by_another_dispatcher_counts():
    """Guards against a team that takes its whole share again through each dispatcher."""
    teams = {"a": 1.0, "b": 1.0}
    dispatcher, _ = make_dispatcher(make_view(teams=teams, targets=1))
    dispatcher.shares.update_remote_usage("e2", {"a": 8.0}, 0.0)
    for _ in range(8):
        dispatcher.enqueue(make_task("a"))
        dispatcher.enqueue(make_task("b"))
    started = dispatcher.place_tasks(0.0, allotments=PLENTY)
    assert [s.task.submit.team for s in started] == ["b"] * 8


@pytest.mark.parametrize(("lend", "expected"), [(True, 4), (False, 8)])
def test_lent_slots_are_taken_back_without_penalty_for_the_borrower(lend, expected):
    """Guards against a borrower that gets nothing for a time after it used idle slots."""
    teams = {"a": 1.0, "b": 1.0}
    view = make_view(teams=teams, targets=1)
    dispatcher, table = make_dispatcher(view, shares=ShareTable(lend=lend))
    now = 0.0
    for _ in range(100):
        for _ in range(8):
            dispatcher.enqueue(make_task("a", now=now))
        announce_all(view, table, now)
        started = dispatcher.place_tasks(now, allotments=PLENTY)
        now = round(now + 0.1, 6)
        for start in started:
            dispatcher.release_slot(start, now)
    for _ in range(8):
        dispatcher.enqueue(make_task("a", now=now))
        dispatcher.enqueue(make_task("b", now=now))
    started = [s.task.submit.team for s in dispatcher.place_tasks(now, allotments=PLENTY)]
    assert started.count("b") == expected


def test_large_queue_does_not_keep_a_small_team_out():
    """Guards against one queue bound for all: the small team would be refused."""
    view = make_view(teams={"a": 1.0, "b": 1.0}, max_length=40)
    dispatcher, _ = make_dispatcher(view)
    full = [dispatcher.enqueue(make_task("a")) for _ in range(100)]
    assert [found is None for found in full].count(True) == 30
    assert full[-1].reason == "queue_full"
    assert all(dispatcher.enqueue(make_task("b")) is None for _ in range(10))
    assert dispatcher.enqueue(make_task("b")).reason == "queue_full"


def test_urgent_goes_first_and_long_work_keeps_its_part():
    """Guards against long work that never starts under a stream of urgent work."""
    dispatcher, _ = make_dispatcher(make_view(teams={"a": 1.0}, targets=2))
    for urgency in ("long", "normal", "urgent"):
        for _ in range(20):
            dispatcher.enqueue(make_task("a", urgency=urgency), now=0.0)
    started = [s.task.submit.urgency for s in dispatcher.place_tasks(0.0, allotments=PLENTY)]
    assert started.count("long") == 1
    assert started.count("urgent") == 15


@pytest.mark.parametrize(("excess", "most"), [(0.5, 0.65), (math.inf, 1.0)])
def test_team_cannot_take_a_full_pool_by_calling_its_work_urgent(excess, most):
    """Guards against precedence of urgent work that overrides shares."""
    policy = DispatchPolicy(max_urgent_excess=excess)
    dispatcher, _ = make_dispatcher(make_view(teams={"a": 1.0, "b": 1.0}), policy=policy)
    urgencies = {"a": "urgent", "b": "normal"}
    used = run_full(
        dispatcher, urgencies, run_s={"a": 0.2, "b": 0.2}, until=20.0, urgency=urgencies
    )
    assert most - 0.1 <= used["a"] / sum(used.values()) <= most


def test_deadline_that_the_wait_exceeds_is_refused_at_once():
    """Guards against queueing a request that is certain to expire."""
    dispatcher, table = make_dispatcher(make_view(teams={"a": 1.0, "b": 1.0}, targets=1))
    now = 0.0
    for _ in range(4):
        for _ in range(8):
            dispatcher.enqueue(make_task("a"), now=now)
        announce_all(dispatcher._view, table, now)
        started = dispatcher.place_tasks(now, allotments=PLENTY)
        now += 2.0
        for start in started:
            dispatcher.release_slot(start, now)
    for _ in range(32):
        assert dispatcher.enqueue(make_task("a", now=now), now=now) is None
    late = dispatcher.enqueue(make_task("a", now=now, timeout_s=1.0), now=now)
    assert late.reason == "deadline"
    assert dispatcher.enqueue(make_task("b", now=now, timeout_s=1.0), now=now) is None


def test_targets_are_never_filled_beyond_their_slots_and_leaving_ones_get_nothing():
    view = make_view(teams={"a": 1.0}, targets=3, max_length=1000)
    dispatcher, table = make_dispatcher(view, slots=8)
    for _ in range(100):
        dispatcher.enqueue(make_task("a"))
    started = dispatcher.place_tasks(0.0, allotments=PLENTY)
    per_target = {name: [s.target for s in started].count(name) for name in ("t0", "t1", "t2")}
    assert per_target == {"t0": 8, "t1": 8, "t2": 8}
    said = table.get("t0").announcement
    table.announce(type(said)(**{**as_dict(said), "leaving": True}), 0.1)
    for start in started:
        dispatcher.release_slot(start, 0.1)
    again = dispatcher.place_tasks(0.1, allotments=PLENTY)
    assert {s.target for s in again} == {"t1", "t2"}


def test_nothing_starts_in_a_data_centre_out_of_service():
    """Guards against a start after operators took the data centre out."""
    view = make_view(teams={"a": 1.0})
    dispatcher, _ = make_dispatcher(view)
    dispatcher.enqueue(make_task("a"))
    record = view.sections["data_centres"]["dc1"]
    view.sections["data_centres"]["dc1"] = type(record)("dc1", in_service=False)
    assert dispatcher.place_tasks(0.0, allotments=PLENTY) == []
    assert len(dispatcher.pop_pool("proofs")) == 1


def test_failed_task_waits_for_another_target_and_holds_up_nobody():
    """Guards against a task that fails three times on one target because the others are full."""
    dispatcher, _ = make_dispatcher(make_view(teams={"a": 1.0, "b": 1.0}, targets=2), slots=1)
    dispatcher.enqueue(make_task("b"))
    (first,) = dispatcher.place_tasks(0.0, allotments=PLENTY)
    failed = make_task("a")
    failed.tried.append("t1" if first.target == "t0" else "t0")
    dispatcher.enqueue(failed)
    dispatcher.enqueue(make_task("a"))
    (second,) = dispatcher.place_tasks(0.0, allotments=PLENTY)
    assert second.task is not failed
    dispatcher.release_slot(first, 1.0)
    (third,) = dispatcher.place_tasks(1.0, allotments=PLENTY)
    assert (third.task, third.target) == (failed, first.target)


def test_cancelled_and_expired_tasks_leave_the_queue():
    dispatcher, table = make_dispatcher(make_view(teams={"a": 1.0}))
    tasks = [make_task("a", timeout_s=5.0 + i) for i in range(10)]
    for task in tasks:
        dispatcher.enqueue(task)
    assert dispatcher.cancel(tasks[0])
    assert not dispatcher.cancel(tasks[0])
    assert dispatcher.expire(7.0) == tasks[1:3]
    assert dispatcher._queues.by_team == {"a": 7}
    announce_all(dispatcher._view, table, 7.0)
    (start,) = dispatcher.place_tasks(7.0, allotments={"a": 1})
    assert dispatcher.expire(start.task.deadline) == []
    dispatcher.release_slot(start, 20.0)
    dispatcher.requeue(start.task)
    assert start.task in dispatcher.expire(20.0)


def as_dict(said):
    return {name: getattr(said, name) for name in said.__dataclass_fields__}
