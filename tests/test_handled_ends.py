"""Run ends that workers list again: each is logged, counted and learned from once."""

from __future__ import annotations

import dataclasses

import pytest

from geraniumtrack import logs
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.runs import run_tracker
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.model import EndKind, RunEnd, TaskId
from geraniumtrack.metrics import Metrics
from tests.jobs_support import JOB_ID, OwnerHarness, config, job, queue, record_start, step, worker
from tests.jobs_support import record_ends as ends_command

END = RunEnd(1, TaskId(JOB_ID, 0, 0, 0), 1, EndKind.FAILED, "")


@pytest.mark.parametrize(
    ("case", "runs"),
    [("first hold", [1]), ("committed", []), ("registered again", [1]), ("restarted", [1, 2])],
)
def test_an_end_that_is_listed_again_counts_once(case, runs, monkeypatch):
    """Guards against doubled ends, and ends of a later incarnation that are taken for old ones."""
    logged, learned = [], []
    monkeypatch.setattr(
        logs, "event", lambda name, **pairs: logged.append((name, pairs.get("run")))
    )
    monkeypatch.setattr(run_tracker, "metrics", Metrics())
    harness = OwnerHarness(policy=dataclasses.replace(DEFAULT_POLICY, worker_speed=True))
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker("w1")))
    harness.apply(cmds.SubmitJob(job(step())), record_start(END.task, 1, "w1"))
    durations = harness.owner.runs.durations
    monkeypatch.setattr(durations, "record_ends", lambda _, ends: learned.extend(ends))
    harness.workers.ends["w1"] = [END]
    if case == "committed":
        harness.workers.silent.add("w1")
    harness.owner.start()
    if case == "committed":
        harness.apply(ends_command("w1", 1, END))
        harness.workers.report("w1")
    elif case == "registered again":
        harness.commit(cmds.ForgetWorker("w1", 1))
        harness.owner.registry.handle_heartbeat(Heartbeat(worker("w1"), 1))
    elif case == "restarted":
        harness.run(0.2)
        harness.workers.ends["w1"] = [END._replace(run=2)]
        harness.owner.registry.handle_heartbeat(Heartbeat(worker("w1", born=2), 1))
    harness.run(0.2)
    assert [run for name, run in logged if name == "run_ended"] == runs
    assert [end.run for end in learned] == runs
    counted = [ln for ln in run_tracker.metrics.render().splitlines() if ln.startswith("run_ends")]
    assert counted == [f'run_ends_total{{kind="failed"}} {len(runs)}'] * bool(runs)
    # A worker that was forgotten has no run any more when it lists the end.
    learns = case in ("first hold", "restarted")
    assert harness.owner.runs.health["w1"].failed_runs == learns
    assert harness.workers.last_acked["w1"] == 1
