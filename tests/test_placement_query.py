"""`geraniumtrack where`: the answer at the owner agrees with the next pass and changes nothing."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumtrack.jobs.calls.job_steps import parse_steps, step_summary
from geraniumtrack.jobs.calls.placement_query import TRIAL_ID
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.messages import AnswerKind, PlacementCall
from geraniumtrack.jobs.scheduling.admission import Refusal
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.model import JobTeam, Resources, StepSpec
from geraniumtrack.jobs.state.records import tasks_of
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.codec import decode, encode
from tests.jobs_support import OwnerHarness, config, job, queue, step, worker

TEAMS = (
    JobTeam("red", ("red",), 3.0, Resources(12_000)),
    JobTeam("blue", ("blue",), 1.0),
)
STEPS = st.builds(
    StepSpec,
    count=st.integers(1, 6),
    size=st.builds(Resources, st.sampled_from([1000, 3000, 6000]), st.just(100)),
    estimate_s=st.sampled_from([0.3, 1.0, 4.0]),
    label=st.sampled_from(["", "", "a", "rare"]),
    max_per_worker=st.sampled_from([0, 0, 1, 2]),
    data_rack=st.sampled_from(["", "", "r1", "r2"]),
    same_rack=st.booleans(),
    gang=st.booleans(),
)
WORKERS = st.builds(
    worker,
    rack=st.sampled_from(["r1", "r2"]),
    labels=st.sampled_from([("a",), ("a", "rare")]),
    capacity=st.builds(Resources, st.sampled_from([4000, 8000]), st.just(64_000)),
    draining=st.sampled_from([False, False, False, True]),
)
JOBS = st.tuples(st.sampled_from(["red", "blue"]), st.lists(STEPS, min_size=1, max_size=2))


def fleet(workers, jobs=()) -> tuple[OwnerHarness, JobService]:
    """Returns an owner whose pass has placed what it can of the jobs, and its service."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue(), teams=TEAMS)))
    for number, item in enumerate(workers):
        fields = {"id": f"w{number}", "instance": f"m{number}", "address": f"10.0.0.{number}:80"}
        harness.apply(cmds.PutWorker(replace(item, **fields)))
    harness.owner.start()
    harness.run(0.4)
    for number, (team, steps) in enumerate(jobs):
        submit(harness, f"{number:016x}", team, steps)
        harness.run(0.1)
    service = JobService(
        state=lambda: harness.state,
        propose=lambda command: pytest.fail(f"committed {command}"),
        owner=lambda: harness.owner,
        wall_clock=harness.clock.seconds,
        seconds=harness.clock.seconds,
    )
    return harness, service


def submit(harness, job_id, team, steps):
    submitted = harness.clock.seconds()
    harness.commit(cmds.SubmitJob(job(*steps, job_id=job_id, team=team, submitted=submitted)))


def ask(service, call):
    """Returns the answer after a round trip through the codec."""
    return decode(encode(service.answer(call).result))


def placed(state, job_id):
    """Returns step, index and worker of a job's assigned tasks."""
    return {(t.id.step, t.id.index, t.worker) for t in tasks_of(state.jobs[job_id]) if t.run}


def planned(report):
    return {(r["step"], s["task"], s["worker"]) for r in report["steps"] for s in r["starts"]}


def observable(harness):
    """Returns what later decisions depend on, with the caches of the parts that a query uses."""
    owner = harness.owner
    locality, admission = owner.scheduler.locality, owner.admission
    parts = [
        harness.state.capture(),
        [harness.state.assigned, harness.state.jobs.keys(), harness.state.active.keys()],
        vars(owner.scheduler._occupancy),
        [locality._steps, locality.decisions, locality.waiting, locality.expected_s],
        [vars(admission._load), admission._committing, admission._retry_at],
        [admission._outlooks, admission._outlooks_at, vars(admission._work)],
        [owner.ticket_cache._steps, vars(owner.runs.durations._speeds)],
        [owner.runs.durations._assessed_at, owner._preempter._claims],
        [(vars(s).keys(), s.worker, s.sent_starts, s.running) for s in owner.sessions.values()],
        owner._pass_scheduled,
        [str(call.getTime()) for call in harness.clock.getDelayedCalls()],
        metrics.render(),
        harness.commands,
    ]
    return repr(parts)


@settings(max_examples=120, deadline=None)
@given(st.lists(WORKERS, min_size=0, max_size=5), st.lists(JOBS, max_size=6), JOBS)
def test_the_answer_is_what_the_next_pass_does(workers, jobs, asked):
    """Guards against an answer that decides otherwise than the scheduler."""
    harness, service = fleet(workers, jobs)
    team, steps = asked
    before = observable(harness)
    answer = ask(service, PlacementCall(queue="proofs", team=team, steps=tuple(steps)))
    assert answer.kind == AnswerKind.OK, answer
    assert observable(harness) == before
    submit(harness, "f" * 16, team, steps)
    harness.run(0)
    assert planned(answer.value) == placed(harness.state, "f" * 16)
    for row in answer.value["steps"]:
        assert bool(row["waits_for"]) == (len(row["starts"]) < row["waiting"])


@settings(max_examples=60, deadline=None)
@given(st.lists(WORKERS, min_size=1, max_size=4), st.lists(JOBS, min_size=2, max_size=8))
def test_a_waiting_job_is_answered_for_by_its_id(workers, jobs):
    """Guards against an answer by id that differs from what the job then gets."""
    harness, service = fleet(workers, jobs)
    for job_id, record in list(harness.state.active.items()):
        harness.clock.advance(0.6)  # the limit of two queries per second
        harness.clock.pump([0] * 3)
        before = placed(harness.state, job_id)
        report = ask(service, PlacementCall(job_id=job_id)).value
        waiting = sum(p.waiting for steps in record.occurrences.values() for p in steps)
        assert sum(row["waiting"] for row in report["steps"]) == waiting
        harness.owner.schedule_pass()
        harness.run(0)
        assert planned(report) == placed(harness.state, job_id) - before


def describe(harness, service, *steps, team="blue"):
    return ask(service, PlacementCall(queue="proofs", team=team, steps=steps)).value


def test_each_rejected_worker_has_its_reason():
    """Guards against reasons that name another cause than the one that decided."""
    workers = [worker(), worker(draining=True), worker(labels=()), worker(), worker()]
    harness, service = fleet(workers, [("blue", [step(5, 64_000, label="a")])])
    harness.commit(cmds.CancelJob("0" * 16, 0.0))  # runs go on until they are reported as ended
    harness.owner.sessions["w3"].quarantined_until = 99.0
    harness.owner.sessions["w4"].backoff_until = 99.0
    (row,) = describe(harness, service, step(1, 1000, label="a"))["steps"]
    reasons = {item["worker"]: item["reason"] for item in row["rejected"]}
    assert reasons == {
        "w0": "full", "w1": "draining", "w2": "label", "w3": "set_aside", "w4": "start_refused"
    }  # fmt: skip
    assert row["waits_for"] == "room"


def test_limits_of_worker_and_team_are_named():
    """Guards against a wait for room being reported where a limit is the cause."""
    harness, service = fleet([worker()])
    (row,) = describe(harness, service, step(2, 1000, max_per_worker=1))["steps"]
    assert (len(row["starts"]), row["waits_for"]) == (1, "room")
    report = describe(harness, service, step(3, 5000), team="red")
    (row,) = report["steps"]
    assert (len(row["starts"]), row["waits_for"]) == (2, "team_cap")
    assert report["quota"]["cap"]["cpu"] == 12_000


def test_advice_is_reported_and_not_requested():
    """Guards against queries that take the policy service's time from real work."""
    harness, service = fleet([worker()])
    advised = config(queue(advised=True), version=2, teams=TEAMS)
    harness.commit(cmds.Configure(advised))
    (row,) = describe(harness, service, step())["steps"]
    assert row["waits_for"] == row["rejected"][0]["reason"] == "advice"
    assert harness.owner.ticket_cache.step_count == 0


def test_order_names_who_is_ahead_and_later_steps_wait():
    """Guards against a position that counts other jobs than those considered first."""
    harness, service = fleet([worker()], [("blue", [step(1, 64_000)]), ("blue", [step(1, 64_000)])])
    report = describe(harness, service, step(), step(after=(0,)))
    assert report["order"]["position"] == 2
    assert [row["job"] for row in report["order"]["ahead"]] == [f"{1:016x}"]
    assert [row["waits_for"] for row in report["steps"]] == ["room", "earlier_steps"]
    assert 0 < report["steps"][0]["expected_s"] <= 1.0


def test_a_refusal_is_reported():
    """Guards against a job that would be refused being shown as admitted."""
    harness, service = fleet([worker()])
    refusal = Refusal("no_room", 100.0, 64.0, 0.5, 3.0)
    with patch.object(harness.owner.admission, "preview", return_value=refusal) as preview:
        report = describe(harness, service, step())
    assert preview.call_args.args[0].id == TRIAL_ID
    assert not report["admitted"] and report["refusal"]["retry_after_s"] == 3.0


def test_speeds_and_estimates_are_not_computed_anew():
    """Guards against a query that moves the time at which workers are set aside as slow."""
    harness, service = fleet([worker()])
    durations = harness.owner.runs.durations
    durations._assessed_at = -1.0  # due
    with patch.object(durations, "_assess") as assess:
        describe(harness, service, step(data_rack="r9"))
    assert not assess.called and durations._assessed_at == -1.0


def test_a_wait_for_a_local_slot_is_followed_to_its_end():
    """Guards against an answer that forgets how long a step has waited."""
    busy = ("blue", [step(1, 64_000, label="r1")])
    harness, service = fleet([worker(labels=("r1",)), worker(rack="r2")], [busy])
    submit(harness, "f" * 16, "blue", [step(1, data_rack="r1", estimate_s=4.0)])
    harness.run(0)
    waits = []
    while not placed(harness.state, "f" * 16):
        service._placement._answered_at.clear()
        harness.owner.runs.durations.refresh()  # is due every 0.2 s, in the next pass
        (row,) = ask(service, PlacementCall(job_id="f" * 16)).value["steps"]
        harness.owner.schedule_pass()
        harness.run(0)
        assert bool(row["starts"]) == bool(placed(harness.state, "f" * 16))
        waits.append((row["waits_for"], row["rack"]))
        harness.clock.rightNow += 0.05
    assert waits[0] == ("local_slot", "r1") and len(waits) > 10


@pytest.mark.parametrize(
    ("call", "kind", "named"),
    [
        (PlacementCall(queue="x", team="red", steps=(step(),)), AnswerKind.NO_QUEUE, "proofs"),
        (PlacementCall(queue="proofs", team="x", steps=(step(),)), AnswerKind.INVALID, "blue"),
        (PlacementCall(queue="proofs", team="", steps=(step(),)), AnswerKind.INVALID, "blue"),
        (PlacementCall(queue="proofs", team="red"), AnswerKind.INVALID, "step"),
        (PlacementCall(queue="proofs", team="red", steps=(step(1001),)), AnswerKind.INVALID, "at"),
        (PlacementCall(job_id="0" * 16), AnswerKind.NO_JOB, "not known"),
    ],
)
def test_bad_input_is_refused_with_a_remedy(call, kind, named):
    """Guards against an internal error or an answer about another job for bad input."""
    _, service = fleet([worker()])
    answer = ask(service, call)
    assert answer.kind == kind and named in answer.detail


def test_two_queries_per_second_are_answered():
    """Guards against queries that take the owner's time from scheduling."""
    harness, service = fleet([worker()])
    call = PlacementCall(queue="proofs", team="red", steps=(step(),))
    assert [ask(service, call).kind for _ in range(3)] == ["ok", "ok", "busy"]
    harness.clock.advance(1.0)
    assert ask(service, call).kind == AnswerKind.OK


@given(STEPS)
def test_steps_are_read_as_the_log_writes_them(spec):
    """Guards against a step that is copied from the log and means something else."""
    assert parse_steps(step_summary(spec)) == (spec,)


@pytest.mark.parametrize(
    "text", ["", "8", "8x2m", "8x2000m/100MB/-1s", "8x2000m/1MB/1s,x", "8x1m/1MB/1s,may_miss=-1"]
)
def test_steps_that_cannot_be_read_name_the_part(text):
    """Guards against a misread size."""
    with pytest.raises(ValueError):
        parse_steps(text)
