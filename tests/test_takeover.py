"""Takeovers: their log line, and the leases that a new owner awaits."""

from __future__ import annotations

import math
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from geraniumtrack import logs
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.runs.end_evidence import unproven_start_at
from geraniumtrack.jobs.runs.sent_orders import SentStart
from geraniumtrack.jobs.runs.takeover_timer import TakeoverTimer
from geraniumtrack.jobs.runs.worker_port import StartOutcome
from geraniumtrack.jobs.state import commands as cmds
from tests.jobs_support import OwnerHarness, config, job, queue, step, worker
from tests.test_end_evidence import run_with_reports, runs_started

WORKERS = ("w1", "w2")


def test_a_takeover_is_logged_once_with_the_time_of_each_phase(monkeypatch):
    """Guards against takeovers whose slow phase can't be told from the log."""
    lines: list[dict] = []
    monkeypatch.setattr(logs, "event", lambda name, **pairs: lines.append({"event": name} | pairs))
    clock = Clock()
    sessions = {f"w{n}": SimpleNamespace(reported=False) for n in range(10)}
    timer = TakeoverTimer(clock.seconds, sessions=lambda: sessions, workers=10)
    for number, session in enumerate(sessions.values()):
        clock.advance(0.125)
        session.reported = True
        timer.record_report()
        if number == 3:
            timer.record_start()
            timer.record_start()
    expected = {"workers": 10, "first_report_s": 0.125, "most_reports_s": 1.125}
    assert lines == [{"event": "takeover", **expected, "first_start_s": 0.5}]


def test_the_first_owner_of_a_fleet_takes_nothing_over(monkeypatch):
    """Guards against a misleading line at the first start of the system."""
    monkeypatch.setattr(logs, "event", lambda *_, **__: (_ for _ in ()).throw(AssertionError))
    timer = TakeoverTimer(Clock().seconds, sessions=dict, workers=0)
    timer.record_report()
    timer.record_start()


def start_late(outcome: StartOutcome, **fields) -> tuple[OwnerHarness, str, str]:
    """Returns an owner that has ordered one task after 12 s, its worker and the other one."""
    harness = OwnerHarness(**fields)
    harness.apply(cmds.Configure(config(queue())), *(cmds.PutWorker(worker(w)) for w in WORKERS))
    harness.owner.start()
    run_with_reports(harness, 12.0, *WORKERS)
    harness.workers.outcome = outcome
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    harness.workers.outcome = StartOutcome.STARTED
    first = harness.workers.starts[0][0]
    return harness, first, WORKERS[1 - WORKERS.index(first)]


def silence(harness: OwnerHarness, name: str) -> None:
    """Lets a worker answer nothing any more."""
    harness.workers.unreachable.add(name)
    harness.workers.holds.pop(name, None)


def change_owner(harness: OwnerHarness) -> OwnerHarness:
    """Returns the next owner, over the state and the workers of the former one."""
    harness.owner.stop()
    return OwnerHarness(workers=harness.workers, state=harness.state, term=8, clock=harness.clock)


def test_a_new_owner_awaits_the_longest_lease_of_a_silent_worker():
    """Guards against two runs at once: the worker had restarted under its id, unnoticed.

    Its clock starts anew, so a deadline of the former owner grants the longest lease there.
    """
    harness, first, other = start_late(StartOutcome.STARTED)
    following = change_owner(harness)
    silence(following, first)
    following.owner.start()
    run_with_reports(following, 10.0, other)
    assert runs_started(following) == [(first, 1)]
    run_with_reports(following, 0.6, other)
    assert runs_started(following) == [(first, 1), (other, 2)]


@pytest.mark.parametrize(("uptime_s", "given_up_s"), [(2, 10.0), (60, 4.5)])
def test_a_new_owner_awaits_the_longest_lease_of_a_worker_that_has_just_started(
    uptime_s, given_up_s
):
    """Guards against two runs at once: orders for the former incarnation extended the lease."""
    harness, first, other = start_late(StartOutcome.STARTED)
    following = change_owner(harness)
    harness.workers.clock_ms = uptime_s * 1000
    following.owner.start()
    following.run(0.1)
    silence(following, first)
    run_with_reports(following, given_up_s - 0.2, other)
    assert runs_started(following) == [(first, 1)]
    run_with_reports(following, 0.8, other)
    assert runs_started(following) == [(first, 1), (other, 2)]


@pytest.mark.parametrize("outcome", [StartOutcome.STARTED, StartOutcome.UNKNOWN])
@pytest.mark.parametrize("heartbeats", [True, False])
def test_a_start_that_no_report_shows_is_given_up_after_the_longest_lease(outcome, heartbeats):
    """Guards against two runs at once: it may have reached a later incarnation, unnoticed."""
    harness, first, other = start_late(outcome)
    if heartbeats:  # else the worker would be forgotten
        harness.owner.registry.handle_heartbeat(Heartbeat(worker(first), 1))
    silence(harness, first)
    run_with_reports(harness, 10.0, other)
    assert runs_started(harness) == [(first, 1)]
    run_with_reports(harness, 0.6, other)
    assert runs_started(harness) == [(first, 1), (other, 2)]


def test_a_run_that_a_report_shows_is_given_up_when_its_own_lease_is_over():
    """Guards against tasks of a lost worker that wait for longer than its runs can live."""
    harness, first, other = start_late(StartOutcome.STARTED)
    harness.workers.report(first)
    silence(harness, first)
    run_with_reports(harness, 5.0, other)
    assert runs_started(harness) == [(first, 1), (other, 2)]


@pytest.mark.parametrize(
    ("copies", "left_at", "requested_at", "proven"),
    [(1, 7.0, 5.0, True), (2, 7.0, 5.0, False), (2, 4.0, 5.0, False), (2, 4.0, 16.5, True)],
)
def test_a_report_proves_nothing_about_a_copy_that_may_be_executed_later(
    copies, left_at, requested_at, proven
):
    """Guards against two runs at once: the copy reaches an incarnation later than the reported."""
    order = SentStart(1, 3.0, send_count=copies, left_at=left_at)
    start = unproven_start_at(order, reported=True, requested_at=requested_at, opened_at=0.0)
    assert start == (-math.inf if proven else left_at)
