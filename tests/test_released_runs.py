"""Log lines that show, for each run, why its task may be started again."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.runs.worker_port import WorkerMismatch
from tests.jobs_support import JOB_ID, worker
from tests.test_end_evidence import run_with_reports, start_harness

PROOFS = ["other_answers", "replaced", "lease_over", "instance_ordered", ""]


@pytest.mark.parametrize("reason", PROOFS)
def test_each_run_that_the_end_of_its_worker_releases_leaves_one_line(reason, monkeypatch):
    """Guards against a record of one job that does not show why a second run was allowed."""
    harness, first, others = start_harness("w1", "w2")
    rows: list[tuple] = []
    monkeypatch.setattr(logs, "event", lambda name, **pairs: rows.append((name, pairs)))
    # Heartbeats and ticks propose a command again while its commit is slow.
    monkeypatch.setattr(harness.owner._worker_changes, "_propose", lambda _: Deferred())
    later = worker(first, born=2)
    if reason == "other_answers":
        harness.workers.holds.pop(first).errback(WorkerMismatch())
    elif reason == "replaced":
        later = worker("w3", born=2, address=later.address)
    elif reason == "lease_over":
        harness.owner.registry.handle_leave(first, 1)
        harness.workers.unreachable.add(first)
        harness.workers.holds.pop(first)
    elif reason == "instance_ordered":
        harness.owner._fleet_changes._forget_worker(first, 1, reason)
    run_with_reports(harness, 11.0 if reason == "lease_over" else 0.7, *others)
    for _ in range(2):
        if reason in ("replaced", ""):
            harness.owner.registry.handle_heartbeat(Heartbeat(later, 1))
    run = {"job": JOB_ID, "task": "0.0.0", "run": 1, "worker": first}
    restarted = ("run_carried_over", run | {"born": 1, "later_born": 2})
    expected = ("run_lost", run | {"reason": reason}) if reason else restarted
    assert [row for row in rows if row[0] in ("run_lost", "run_carried_over")] == [expected]
