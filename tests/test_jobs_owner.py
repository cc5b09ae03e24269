"""The owner with fake workers and a fake machine API.

Starts without an answer, run ends, changes of owner, late heartbeats, maintenance and moves of
instances, the policy service, and the pace of best-effort tasks.
"""

from __future__ import annotations

import dataclasses

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.calls.advice import MAX_CONCURRENT_CALLS, Ticket, TicketCache
from geraniumtrack.jobs.instances.fleet_changes import MAX_ORDER_RETRY_DELAY_S
from geraniumtrack.jobs.instances.machine_port import ChangeOutcome, InstanceState
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.policy import DEFAULT_POLICY
from geraniumtrack.jobs.runs.pacing import PACE_INTERVAL_S
from geraniumtrack.jobs.runs.worker_health import FAILED_JOBS_LIMIT, MIN_QUARANTINE_S
from geraniumtrack.jobs.runs.worker_port import (
    RunningTask,
    StartOutcome,
    WorkerMismatch,
    WorkerReport,
)
from geraniumtrack.jobs.scheduling.pass_steps import ReadyStep
from geraniumtrack.jobs.scheduling.placement import AvailableWorker
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobRecord, TaskPhase
from geraniumtrack.jobs.state.model import EndKind, JobState, Resources, RunEnd, TaskId, WorkerPool
from tests.jobs_support import (
    JOB_ID,
    WORKER_CPU,
    OwnerHarness,
    SlowCommits,
    TimedWorkers,
    config,
    instance,
    job,
    queue,
    record_start,
    step,
    worker,
)

# The task with index 0 in step 0 of occurrence 0 of the job.
FIRST_TASK = TaskId(JOB_ID, 0, 0, 0)


def start_harness(*steps, workers=("w1",), instances=(), **fields) -> OwnerHarness:
    """Starts an owner over workers of one queue and a job of `steps`, if there are any."""
    harness = OwnerHarness(*instances)
    harness.apply(cmds.Configure(config(queue(), **fields)))
    for name in workers:
        harness.apply(cmds.PutWorker(worker(name)))
    if steps:
        harness.apply(cmds.SubmitJob(job(*steps)))
    harness.owner.start()
    harness.run()
    return harness


def test_a_start_is_committed_before_its_order_is_sent():
    """Guards against a run that a new owner does not know of, since its start was not committed."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    harness.apply(cmds.SubmitJob(job(step())))
    committed_runs = []
    start = harness.workers.start

    def spy(worker_info, order, **options):
        committed_runs.append(harness.state.task(order.task).run)
        return start(worker_info, order, **options)

    harness.workers.start = spy
    harness.owner.start()
    harness.run()
    assert committed_runs == [1]


def test_a_run_end_is_acknowledged_only_after_its_commit():
    """Guards against a lost run end: a worker deletes it as soon as it is acknowledged."""
    harness = start_harness(step())
    harness.workers.end("w1", FIRST_TASK)
    assert harness.workers.last_acked["w1"] == 0
    harness.run()
    assert harness.workers.last_acked["w1"] == 1
    assert harness.state.jobs[JOB_ID].state is JobState.COMPLETED


def test_a_task_whose_run_end_is_left_out_of_the_report_runs_again():
    """Guards against a task that never ends, because its end was unreadable and acknowledged."""
    harness = start_harness(step(2))
    lost = harness.workers.starts[0][1].task
    del harness.workers.running["w1"][lost]  # its end, number 1, could not be read
    ends = harness.workers.ends.setdefault("w1", [])
    other = harness.workers.starts[1][1].task
    del harness.workers.running["w1"][other]
    ends.append(RunEnd(2, other, 1, EndKind.DONE, ""))
    harness.workers.report("w1")
    harness.run(0.2)
    assert harness.workers.last_acked["w1"] == 2
    for _ in range(2):  # only a hold that was sent after the start shows that the run is gone
        harness.workers.report("w1")
        harness.run(0.2)
    assert [(o.task, o.run) for _, o in harness.workers.starts[2:]] == [(lost, 2)]
    harness.workers.end("w1", lost)
    harness.run(0.2)
    assert harness.state.jobs[JOB_ID].state is JobState.COMPLETED


def test_a_step_starts_only_after_the_steps_that_it_depends_on():
    """Guards against tasks that run before the tasks whose results they need are done."""
    harness = start_harness(step(), step(after=(0,)))
    assert [order.task.step for _, order in harness.workers.starts] == [0]
    harness.workers.end("w1", FIRST_TASK)
    harness.run()
    assert [order.task.step for _, order in harness.workers.starts] == [0, 1]


def test_a_new_owner_adopts_the_runs_that_workers_report():
    """Guards against a second run of a task that still runs when the owner changes."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    harness.apply(cmds.SubmitJob(job(step())), record_start(FIRST_TASK, 1, "w1"))
    # The worker runs FIRST_TASK already, as it would after a start by another owner.
    other = start_harness(step())
    harness.workers.running = other.workers.running
    harness.owner.start()
    harness.run(0.5)
    assert harness.workers.starts == []
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.ASSIGNED


def test_a_new_owner_restarts_a_task_whose_start_never_reached_its_worker():
    """Guards against a task that stays assigned although its former owner sent no start order."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    harness.apply(cmds.SubmitJob(job(step())), record_start(FIRST_TASK, 1, "w1"))
    harness.owner.start()
    harness.run(0.1)
    assert [order.run for _, order in harness.workers.starts] == [2]


def commit_before_first_start(harness, *commands) -> None:
    """Commits commands just before the next start, which is planned already."""

    def intervene(command):
        if isinstance(command, cmds.RecordRuns) and command.starts:
            harness.before_commit = lambda _command: None
            for earlier in commands:
                harness.commit(earlier)

    harness.before_commit = intervene


@pytest.mark.parametrize(
    "change",
    [cmds.ForgetWorker("w1", 1), cmds.PutWorker(worker(born=2))],
    ids=["gone", "restarted"],
)
def test_a_task_planned_on_a_worker_that_ended_before_the_commit_starts_again(change):
    """Guards against a task that stays assigned for good, and against a limit charged for it."""
    from geraniumtrack.jobs.state.model import JobTeam

    team = JobTeam("t", ("k",), cap=Resources(1000, 0, 0))
    harness = start_harness(teams=(team,))
    commit_before_first_start(harness, change, cmds.PutWorker(worker("w2")))
    harness.commit(cmds.SubmitJob(job(step(), team="t")))
    harness.run(0.5)
    assert len(harness.workers.starts) == 1
    started_on = harness.workers.starts[0][0]
    assert FIRST_TASK in harness.workers.running[started_on]
    assert harness.state.task(FIRST_TASK).worker == started_on


def test_a_silent_worker_keeps_its_tasks_until_its_lease_has_expired():
    """Guards against a second run of a task while its first worker may still run it."""
    harness = start_harness(step(), workers=("w1", "w2"))
    first = harness.workers.starts[0][0]
    harness.workers.report(first)
    harness.workers.silent.add(first)
    other = "w2" if first == "w1" else "w1"
    for _ in range(40):
        harness.run(0.1)
        harness.workers.report(other)
    assert len(harness.workers.starts) == 1
    for _ in range(20):
        harness.run(0.1)
        harness.workers.report(other)
    assert [name for name, _ in harness.workers.starts] == [first, other]


def report_checkpoint(harness, name, checkpoint, **fields) -> None:
    """Lets a worker report a checkpoint of FIRST_TASK; `fields` replaces values of the row."""
    row = harness.workers.running[name][FIRST_TASK]
    changed = row._replace(checkpoint=checkpoint, **fields)
    harness.workers.running[name][FIRST_TASK] = changed
    harness.workers.report(name)


def run_with_reports(harness, seconds, *names) -> None:
    """Runs the clock while the workers `names` report every 0.1 s."""
    for _ in range(round(seconds * 10)):
        harness.run(0.1)
        for name in names:
            harness.workers.report(name)


@pytest.mark.parametrize("end", ["silent", "restarted", "replaced", "other_answers", "leaves"])
def test_a_task_resumes_from_the_checkpoint_that_its_lost_run_reported_last(end):
    """Guards against lost work: the state has only the checkpoints of runs that ended."""
    harness = start_harness(step(checkpoints=True), workers=("w1", "w2"))
    first = harness.workers.starts[0][0]
    other = "w2" if first == "w1" else "w1"
    report_checkpoint(harness, first, "c5")
    registry = harness.owner.registry
    if end == "silent":
        harness.workers.silent.add(first)
        run_with_reports(harness, 6.0, other)
    elif end == "restarted":
        harness.run(0.1)
        harness.workers.running.pop(first)
        registry.handle_heartbeat(Heartbeat(worker(first, born=2, draining=True), 1))
    elif end == "replaced":
        later = worker("w9", born=5, instance=f"m-{first}", draining=True)
        registry.handle_heartbeat(Heartbeat(later, 1))
    elif end == "other_answers":
        harness.workers.holds.pop(first).errback(WorkerMismatch())
    else:
        registry.handle_leave(first, 1)
        harness.workers.ended.add(first)
        harness.workers.holds.pop(first).errback(CallFailed("connection lost", sent=True))
        run_with_reports(harness, 6.0, other)
    run_with_reports(harness, 0.5, other)
    assert [(order.run, order.checkpoint) for _, order in harness.workers.starts[1:]] == [(2, "c5")]


def test_a_checkpoint_of_another_run_is_not_used():
    """Guards against a start with a checkpoint that is not the task's."""
    harness = start_harness(step(checkpoints=True))
    report_checkpoint(harness, "w1", "wrong", run=7)
    run_with_reports(harness, 0.5, "w1")
    assert [(order.run, order.checkpoint) for _, order in harness.workers.starts[1:]] == [(2, "")]


def test_a_checkpoint_that_a_former_incarnation_reports_late_is_not_used():
    """Guards against a start with a checkpoint that is not the task's."""
    harness = start_harness(step(checkpoints=True))
    harness.run(0.1)
    late_answer = harness.workers.holds.pop("w1")
    harness.workers.running.clear()
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(born=2), 1))
    harness.run(0.1)
    assert [order.run for _, order in harness.workers.starts] == [1, 2]
    row = harness.workers.running.pop("w1")[FIRST_TASK]._replace(checkpoint="wrong")
    late_answer.callback(WorkerReport(harness.workers.clock_ms, (row,), ()))
    run_with_reports(harness, 0.5, "w1")
    assert [(order.run, order.checkpoint) for _, order in harness.workers.starts[2:]] == [(3, "")]


def test_members_of_a_gang_keep_one_checkpoint_when_one_of_their_runs_is_lost():
    """Guards against members that resume from different checkpoints."""
    harness = start_harness(
        step(2, gang=True, checkpoints=True, max_per_worker=1), workers=("w1", "w2")
    )
    first = next(name for name, order in harness.workers.starts if order.task == FIRST_TASK)
    other = "w2" if first == "w1" else "w1"
    report_checkpoint(harness, first, "c5")
    harness.workers.silent.add(first)
    run_with_reports(harness, 6.0, other)
    second = TaskId(JOB_ID, 0, 0, 1)
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.WAITING
    assert harness.state.task(FIRST_TASK).checkpoint == harness.state.task(second).checkpoint


def test_attempts_to_reach_a_dead_worker_do_not_extend_its_lease():
    """Guards against a lease that never expires because each unanswered hold extends it."""
    harness = start_harness(step(lasting=True), workers=("w1", "w2"))
    first = harness.workers.starts[0][0]
    other = "w2" if first == "w1" else "w1"
    harness.workers.report(first)
    harness.workers.unreachable.add(first)
    harness.workers.holds.pop(first).errback(CallFailed("connection lost", sent=True))
    for _ in range(55):
        harness.run(0.1)
        harness.workers.report(other)
    assert [name for name, _ in harness.workers.starts] == [first, other]


def test_no_task_starts_on_a_worker_whose_hold_failed_until_its_next_report():
    """Guards against a start on a later incarnation with the same id and address."""
    harness = start_harness()
    harness.workers.holds.pop("w1").errback(CallFailed("connection lost", sent=True))
    harness.workers.silent.add("w1")
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.5)
    assert harness.workers.starts == []
    harness.workers.silent.clear()
    harness.workers.report("w1")
    harness.run(0.1)
    assert [name for name, _ in harness.workers.starts] == ["w1"]


def test_an_unanswered_start_is_stopped_before_the_task_is_placed_again():
    """Guards against two runs of a task: a start order without an answer may still be executed."""
    harness = start_harness()
    harness.workers.outcome = StartOutcome.UNKNOWN
    harness.workers.acknowledges_stops = False
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    for _ in range(10):
        harness.workers.report("w1")
        harness.run(0.2)
    # The start order of run 1 is sent several times, but no second run starts yet.
    assert {(name, order.run) for name, order in harness.workers.starts} == {("w1", 1)}
    assert {order.run for _, order in harness.workers.stops} == {1}
    harness.workers.acknowledges_stops = True
    harness.workers.outcome = StartOutcome.STARTED
    for _ in range(8):
        harness.workers.report("w1")
        harness.run(0.2)
    assert [order.run for _, order in harness.workers.starts] == [1, 1, 1, 2]


def answer_starts(harness, *outcomes):
    """Answers the next start orders with `outcomes`, and later ones as before."""
    remaining = list(outcomes)
    start = harness.workers.start

    def answer(worker_info, order, **options):
        if remaining:
            harness.workers.starts.append((worker_info.id, order))
            return succeed(remaining.pop(0))
        return start(worker_info, order, **options)

    harness.workers.start = answer


def test_an_unanswered_start_is_sent_again_to_the_same_worker():
    """Guards against a delay by a lost answer: without a resend, a report and a stop come first."""
    harness = start_harness()
    answer_starts(harness, StartOutcome.UNKNOWN)
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    assert [(name, order.run) for name, order in harness.workers.starts] == [("w1", 1), ("w1", 1)]
    assert FIRST_TASK in harness.workers.running["w1"]


def test_a_run_that_ended_before_its_start_was_resent_is_not_marked_as_lost():
    """Guards against a second run of a task.

    After the answer OUTDATED, the end of the first run may still be reported.
    """
    harness = start_harness()
    answer_starts(harness, StartOutcome.UNKNOWN, StartOutcome.OUTDATED)
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.ASSIGNED
    harness.workers.ends["w1"] = [RunEnd(1, FIRST_TASK, 1, EndKind.DONE, "")]
    harness.workers.report("w1")
    harness.run(0.1)
    assert harness.state.jobs[JOB_ID].state is JobState.COMPLETED
    assert {order.run for _, order in harness.workers.starts} == {1}


def test_a_resent_start_refused_for_lack_of_room_does_not_mark_the_run_as_lost():
    """Guards against a second run of a task: the first copy of its order may still be executed."""
    harness = start_harness(workers=("w1", "w2"))
    answer_starts(harness, StartOutcome.UNKNOWN, StartOutcome.NO_ROOM)
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.2)
    assert harness.state.task(FIRST_TASK).run == 1
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.ASSIGNED


def test_repeated_stops_do_not_delay_marking_an_unanswered_start_as_lost():
    """Guards against a service task that does not start elsewhere while its instance is drained.

    Only a report requested after an acknowledged stop proves that a run does not exist. If repeated
    stops counted too, the owner would always wait for a later report.
    """
    harness = start_harness(instances=[instance("w1")])
    harness.workers.outcome = StartOutcome.UNKNOWN
    harness.commit(cmds.SubmitJob(job(step(lasting=True, may_miss=1))))
    harness.run(0.1)
    harness.workers.outcome = StartOutcome.STARTED
    harness.commit(cmds.StartMaintenance(1, ("m-w1",), 100.0, 1))
    for _ in range(4):
        harness.run(1.2)
        harness.workers.report("w1")
    harness.run(0.1)
    assert harness.state.task(FIRST_TASK).run == 1
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.WAITING


def test_an_untracked_run_is_stopped_and_its_resources_stay_reserved():
    """Guards against an overloaded worker: a run that the state does not assign uses resources."""
    harness = start_harness()
    # The worker runs FIRST_TASK, which another owner started and this state does not assign.
    other = start_harness(step(cpu=60_000))
    harness.apply(cmds.SubmitJob(job(step(cpu=60_000))))
    harness.state.apply(cmds.CancelJob(JOB_ID, 0.0))
    harness.workers.running = other.workers.running
    harness.workers.report("w1")
    harness.commit(cmds.SubmitJob(job(step(cpu=60_000), job_id="0" * 16)))
    harness.run(0.1)
    assert [order.task for _, order in harness.workers.stops] == [FIRST_TASK]
    assert harness.workers.starts == []


def test_the_runs_of_a_cancelled_job_are_stopped_at_once():
    """Guards against runs that use resources after their job was cancelled."""
    harness = start_harness(step(2))
    harness.commit(cmds.CancelJob(JOB_ID, 0.0))
    assert {order.task.index for _, order in harness.workers.stops} == {0, 1}


def test_no_task_starts_without_the_leadership_lease():
    """Guards against a former owner that starts tasks while a new owner may do so too."""
    harness = start_harness()
    harness.may_act = False
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.5)
    assert harness.workers.starts == []


def lose_permission_when_connected(harness) -> None:
    """Lets the leadership lease expire while the next connection to a worker opens."""

    def expire():
        harness.may_act = False

    harness.workers.on_connected = expire


def regain_permission(harness) -> None:
    harness.workers.on_connected = lambda: None
    harness.may_act = True
    harness.run(1.0)


def test_a_start_whose_connection_opens_after_the_lease_expired_is_not_sent():
    """Guards against a start by a former owner; the task must start as one that was not sent."""
    harness = start_harness()
    lose_permission_when_connected(harness)
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.5)
    assert harness.workers.starts == []
    regain_permission(harness)
    assert [order.run for _, order in harness.workers.starts] == [2]
    assert harness.workers.stops == []


def test_a_resent_start_whose_connection_opens_after_the_lease_expired_leaves_the_run_open():
    """Guards against a second run of a task: the first copy of its order may still be executed."""
    harness = start_harness()
    answer_starts(harness, StartOutcome.UNKNOWN)
    lose_permission_when_connected(harness)
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    assert len(harness.workers.starts) == 1
    harness.workers.acknowledges_stops = False
    regain_permission(harness)
    for _ in range(5):
        harness.workers.report("w1")
        harness.run(0.2)
    assert {order.run for _, order in harness.workers.starts} == {1}
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.ASSIGNED


def test_a_stop_whose_connection_opens_after_the_lease_expired_is_not_sent():
    """Guards against a former owner that stops a run which its successor may still want."""
    harness = start_harness(step())
    lose_permission_when_connected(harness)
    harness.commit(cmds.CancelJob(JOB_ID, 0.0))
    harness.run(0.5)
    assert harness.workers.stops == []
    regain_permission(harness)
    assert [order.run for _, order in harness.workers.stops] == [1]


def test_a_hold_whose_connection_opens_after_the_lease_expired_is_not_sent():
    """Guards against a former owner that extends leases and acknowledges run ends."""
    harness = start_harness(step())
    lose_permission_when_connected(harness)
    harness.workers.report("w1")
    assert harness.workers.holds == {}
    regain_permission(harness)
    assert set(harness.workers.holds) == {"w1"}


def test_a_pace_whose_connection_opens_after_the_lease_expired_is_not_sent():
    """Guards against a former owner that changes the pace which its successor ordered."""
    harness = start_harness(step(lasting=True, latency_target_s=0.1), step(filler=True))
    harness.run(0.1)
    row = harness.workers.running["w1"][FIRST_TASK]
    harness.workers.running["w1"][FIRST_TASK] = row._replace(metric=90)
    harness.run(PACE_INTERVAL_S)
    lose_permission_when_connected(harness)
    harness.workers.report("w1")
    assert not harness.may_act
    assert harness.workers.paces == []
    regain_permission(harness)
    harness.workers.report("w1")
    assert [percent for _, percent in harness.workers.paces] == [50]


def test_no_task_starts_on_a_draining_worker():
    """Guards against tasks on a worker that is about to stop."""
    harness = start_harness()
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(draining=True), 5))
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.5)
    assert harness.workers.starts == []


def test_a_delayed_announcement_of_a_former_incarnation_leaves_its_successor_in_use():
    """Guards against a sound worker that gets no tasks for good."""
    harness = start_harness()
    harness.owner.registry.handle_leave("w1", 0)
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.5)
    assert [name for name, _ in harness.workers.starts] == ["w1"]


def start_leaving_harness() -> tuple[OwnerHarness, str]:
    """Returns an owner with a task on a worker that announced its end, and the other worker."""
    harness = start_harness(step(), workers=("w1", "w2"))
    leaving = harness.workers.starts[0][0]
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(leaving, draining=True), 5))
    harness.owner.registry.handle_leave(leaving, 0)
    harness.run(0.1)
    return harness, leaving


@pytest.mark.parametrize("leaves", [False, True])
def test_refused_connections_end_no_worker_that_announced_its_end(leaves):
    """Guards against two runs at once: a partition refuses connections, the worker runs on."""
    harness = start_harness(step(), workers=("w1", "w2"))
    leaving = harness.workers.starts[0][0]
    other = "w2" if leaving == "w1" else "w1"
    harness.owner.registry.handle_heartbeat(Heartbeat(worker(leaving, draining=True), 5))
    if leaves:
        harness.owner.registry.handle_leave(leaving, 0)
    run_with_reports(harness, 2.0, leaving, other)
    harness.workers.ended.add(leaving)
    harness.workers.holds.pop(leaving).errback(CallFailed("connection lost", sent=True))
    run_with_reports(harness, 4.0, other)
    assert len(harness.workers.starts) == 1
    run_with_reports(harness, 2.0, other)
    assert [name for name, _ in harness.workers.starts] == [leaving, other]


def test_a_task_on_a_leaving_worker_that_falls_silent_is_restarted_after_its_lease():
    """Guards against a task that waits for good where a machine is off and refuses nothing."""
    harness, leaving = start_leaving_harness()
    harness.workers.report(leaving)
    harness.workers.silent.add(leaving)
    other = "w2" if leaving == "w1" else "w1"
    for _ in range(40):
        harness.run(0.1)
        harness.workers.report(other)
    assert len(harness.workers.starts) == 1
    for _ in range(20):
        harness.run(0.1)
        harness.workers.report(other)
    assert [name for name, _ in harness.workers.starts] == [leaving, other]
    assert leaving not in harness.state.workers


def test_a_run_of_a_cancelled_job_is_stopped_on_a_leaving_worker():
    """Guards against a cancelled run that goes on because its worker's session is closed."""
    harness, leaving = start_leaving_harness()
    harness.commit(cmds.CancelJob(JOB_ID, 1.0))
    assert [(name, order.task) for name, order in harness.workers.stops] == [(leaving, FIRST_TASK)]


def test_a_start_that_was_planned_before_its_worker_leaves_is_not_sent():
    """Guards against a run on a worker that is about to end."""
    harness = start_harness()

    def leave(command):
        if isinstance(command, cmds.RecordRuns) and command.starts:
            harness.owner.registry.handle_leave("w1", 1)

    harness.before_commit = leave
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.5)
    assert harness.workers.starts == []
    assert harness.state.task(FIRST_TASK).phase is TaskPhase.WAITING


def test_a_refused_connection_ends_no_worker_that_did_not_announce_its_end():
    """Guards against two runs at once: a refusal alone is not taken as the end of a worker."""
    harness = start_harness(step(), workers=("w1", "w2"))
    first = harness.workers.starts[0][0]
    harness.workers.ended.add(first)
    harness.workers.holds.pop(first).errback(CallFailed("connection lost", sent=True))
    harness.run(2.0)
    assert len(harness.workers.starts) == 1


def test_no_task_starts_in_an_evacuated_data_centre_until_it_returns_to_service():
    """Guards against starts in an evacuated data centre, and against none after its return."""
    harness = start_harness()
    harness.commit(cmds.SetEvacuation("dc1", True))
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.5)
    assert harness.workers.starts == []
    harness.commit(cmds.SetEvacuation("dc1", False))
    harness.run(0.1)
    assert len(harness.workers.starts) == 1


def test_a_late_heartbeat_of_the_former_worker_at_an_address_is_ignored():
    """Guards against an ended worker that is registered because its heartbeat arrives late."""
    harness = start_harness()
    former = worker("old", born=0, address=worker().address)
    harness.workers.present[former.address] = ("w1", 1)
    harness.owner.registry.handle_heartbeat(Heartbeat(former, 1))
    assert "old" not in harness.state.workers


def test_a_late_heartbeat_of_the_former_worker_on_an_instance_is_ignored():
    """Guards against a move of an instance that runs tasks.

    Its former worker, registered again by a late heartbeat, has no tasks: the instance looks idle.
    """
    harness = start_harness(step(lasting=True))
    assert FIRST_TASK in harness.workers.running["w1"]
    former = worker("old", born=0, address="10.9.9.9:80", instance="m-w1")
    harness.workers.ended.add("old")
    harness.owner.registry.handle_heartbeat(Heartbeat(former, 7))
    assert set(harness.state.workers) == {"w1"}


def test_a_heartbeat_of_an_unnamed_service_displaces_no_worker():
    """Guards against the loss of a worker and its tasks by a heartbeat of another writer."""
    harness = start_harness(step())
    other = worker("w9", born=9, pool="nowhere", address=worker("w1").address, instance="m-w9")
    harness.owner.registry.handle_heartbeat(Heartbeat(other, 1))
    assert set(harness.state.workers) == {"w1"}


def test_a_heartbeat_is_acknowledged_only_once_what_it_says_is_committed():
    """Guards against a worker that leaves while the next owner does not know that it drains."""
    harness = SlowCommits()
    harness.apply(cmds.Configure(config(queue(public=True))), cmds.PutWorker(worker("w1")))
    harness.owner.start()
    harness.run()
    beat = Heartbeat(worker("w1", draining=True), 5)
    answered: list = []
    harness.owner.registry.handle_heartbeat(beat)
    harness.owner.registry.handle_heartbeat(beat).addCallback(answered.append)
    assert answered == []


def test_a_new_worker_on_an_instance_replaces_the_former_one():
    """Guards against tasks that stay assigned to a worker which ended with its instance."""
    harness = start_harness(step())
    harness.owner.registry.handle_heartbeat(Heartbeat(worker("w9", born=5, instance="m-w1"), 1))
    harness.run()
    assert set(harness.state.workers) == {"w9"}
    assert harness.workers.starts[-1][0] == "w9"


def submit_job(harness, number, cpu=1000) -> TaskId:
    """Submits a job with one task and runs the owner; returns the task."""
    job_id = f"{number:016x}"
    harness.commit(cmds.SubmitJob(job(step(cpu=cpu), job_id=job_id)))
    harness.run()
    return TaskId(job_id, 0, 0, 0)


def test_a_worker_on_which_different_jobs_fail_gets_no_tasks_for_a_while():
    """Guards against a worker that fails all tasks at once and so gets most of them."""
    harness = start_harness(workers=("w1",))
    running = harness.workers.running
    for number in range(FAILED_JOBS_LIMIT):
        assert harness.owner.worker_health["w1"].quarantined_until == 0.0
        assert harness.owner.sessions["w1"].usable
        harness.workers.end("w1", submit_job(harness, number), EndKind.FAILED)
        harness.run()
    assert harness.owner.worker_health["w1"].suspect
    ends_at = harness.clock.seconds() + MIN_QUARANTINE_S
    assert harness.owner.worker_health["w1"].quarantined_until == ends_at
    waiting = submit_job(harness, 100)
    assert waiting not in running["w1"]
    harness.commit(cmds.PutWorker(worker("w2")))
    harness.run(0.2)
    assert waiting in running["w2"]
    large = submit_job(harness, 200, cpu=WORKER_CPU)  # does not fit beside the others on w2
    while harness.clock.seconds() < ends_at - 0.1:
        assert large not in running["w1"] and not harness.owner.sessions["w1"].usable
        harness.workers.report("w1")
        harness.run(0.05)
    for task in list(running["w1"]):
        harness.workers.end("w1", task)
    harness.run(0.3)
    assert large in running["w1"]


def test_starts_never_exceed_the_limit_of_a_team():
    """Guards against a team that uses more than its limit: two of these tasks fit, not three."""
    from geraniumtrack.jobs.state.model import JobTeam

    team = JobTeam("t", ("k",), cap=Resources(2500, 0, 0))
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue(), teams=(team,))), cmds.PutWorker(worker()))
    harness.apply(cmds.SubmitJob(job(step(8), team="t")))
    harness.owner.start()
    harness.run(0.2)
    assert len(harness.workers.starts) == 2


def test_a_gang_starts_completely_or_not_at_all():
    """Guards against a gang whose started members wait for one that finds no worker."""
    harness = start_harness(step(3, cpu=30_000, gang=True), workers=("w1",))
    harness.run(0.2)
    assert harness.workers.starts == []
    harness.commit(cmds.PutWorker(worker("w2")))
    harness.run(0.2)
    assert {order.run for _, order in harness.workers.starts} == {1}
    assert len(harness.workers.starts) == 3


@pytest.mark.parametrize(
    "change",
    [
        cmds.ForgetWorker("w2", 1),
        cmds.PutWorker(worker("w2", draining=True)),
        cmds.SetEvacuation("dc2", True),
    ],
    ids=["gone", "draining", "evacuated"],
)
def test_no_member_of_a_gang_starts_if_one_is_overtaken_during_the_commit(change):
    """Guards against members that wait in vain for one that is not started."""
    harness = start_harness()
    harness.commit(cmds.PutWorker(worker("w2", data_centre="dc2")))
    harness.run(0.1)
    commit_before_first_start(harness, change)
    harness.commit(cmds.SubmitJob(job(step(2, gang=True, max_per_worker=1))))
    harness.run(0.5)
    assert harness.workers.starts == []
    harness.commit(cmds.PutWorker(worker("w3")))
    harness.run(0.5)
    assert {name for name, _ in harness.workers.starts} == {"w1", "w3"}
    assert len({order.run for _, order in harness.workers.starts}) == 1


# Maintenance and moves.


def maintenance_orders(harness: OwnerHarness) -> list:
    """Returns the orders to maintain an instance."""
    return [order for order in harness.machines.orders if order[0] == "maintain"]


@pytest.mark.owner_faults
def test_the_instance_list_is_read_again_after_a_fault_in_reading_it():
    """Guards against instances that are never moved or maintained again after one odd list."""
    harness = OwnerHarness(instance("w1"))
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker("w1")))
    listed = harness.machines.instances
    harness.machines.instances = lambda: fail(RecursionError("maximum recursion depth exceeded"))
    harness.owner.start()
    harness.run(0.5)
    harness.machines.instances = listed
    harness.commit(cmds.StartMaintenance(1, ("m-w1",), 100.0, 1))
    harness.run(3.0)
    assert maintenance_orders(harness)


def test_an_instance_counts_towards_the_maintenance_cap_until_its_listed_state_is_up():
    """Guards against exceeding the cap because of a late heartbeat.

    A heartbeat of a worker on the instance does not prove that its maintenance has ended: only the
    instance list does.
    """
    names = ("w1", "w2", "w3")
    harness = start_harness(workers=names, instances=[instance(name) for name in names])
    harness.run(0.1)
    harness.commit(cmds.StartMaintenance(1, tuple(f"m-{n}" for n in names), 100.0, 1))
    for _ in range(20):
        for name in names:
            harness.workers.report(name)
        harness.run(0.1)
    assert len(maintenance_orders(harness)) == 1
    ordered = maintenance_orders(harness)[0][1]
    harness.owner.registry.handle_heartbeat(Heartbeat(worker("back", born=9, instance=ordered), 1))
    for _ in range(5):
        for name in (*names, "back"):
            harness.workers.report(name)
        harness.run(0.1)
    assert len(maintenance_orders(harness)) == 1
    harness.machines.set_state(ordered, InstanceState.UP)
    for _ in range(8):
        for name in (*names, "back"):
            harness.workers.report(name)
        harness.run(0.1)
    assert len(maintenance_orders(harness)) == 2


def test_maintenance_waits_until_an_instance_has_no_tasks():
    """Guards against runs that are lost because maintenance ends their worker."""
    harness = start_harness(step(), instances=[instance("w1")])
    harness.commit(cmds.StartMaintenance(1, ("m-w1",), 100.0, 1))
    for _ in range(10):
        harness.workers.report("w1")
        harness.run(0.1)
    assert maintenance_orders(harness) == []
    harness.workers.end("w1", FIRST_TASK)
    harness.run(0.2)
    assert len(maintenance_orders(harness)) == 1


def test_service_tasks_are_stopped_within_their_availability_budget():
    """Guards against a second stop in a step before a report shows the effect of the first stop."""
    names = ("w1", "w2", "w3")
    harness = start_harness(
        step(3, lasting=True, may_miss=1, max_per_worker=3),
        workers=names,
        instances=[instance(name) for name in names],
    )
    harness.run(DEFAULT_POLICY.stop_grace_s + 0.1)
    for name in names:
        harness.workers.report(name)
    harness.commit(cmds.StartMaintenance(1, tuple(f"m-{n}" for n in names), 10.0, 3))
    harness.run(0.5)
    assert len({order.task for _, order in harness.workers.stops}) == 1


def test_maintenance_drains_instances_with_service_tasks_first():
    """Guards against a missed deadline: relocating service tasks is slow and must not come last."""
    names = ("w1", "w2", "w3", "w4")
    harness = start_harness(
        step(2, lasting=True, may_miss=1),
        workers=names,
        instances=[instance(name) for name in names],
    )
    harness.run(DEFAULT_POLICY.stop_grace_s + 0.1)
    busy = harness.workers.starts[0][0]
    for name in names:
        harness.workers.report(name)
    harness.commit(cmds.StartMaintenance(1, tuple(f"m-{n}" for n in names), 60.0, 1))
    harness.run(0.3)
    assert [name for name, _ in harness.workers.stops] == [busy]
    assert maintenance_orders(harness) == []


def test_instances_of_an_evacuated_data_centre_are_drained_and_moved_to_standby():
    """Guards against service tasks that stay in an evacuated data centre.

    Also guards against instances there that cost money but run no tasks.
    """
    evacuated = worker("w1", data_centre="dc2")
    harness = OwnerHarness(*(instance(name) for name in ("w1", "w2", "w3", "w4")))
    harness.apply(cmds.Configure(config(queue(), standby="spare")), cmds.PutWorker(evacuated))
    harness.apply(cmds.SubmitJob(job(step(1, lasting=True))))
    harness.owner.start()
    harness.run(0.1)
    assert [name for name, _ in harness.workers.starts] == ["w1"]
    for name in ("w2", "w3", "w4"):
        harness.commit(cmds.PutWorker(worker(name)))
    harness.commit(cmds.SetEvacuation("dc2", True))
    for _ in range(3):
        harness.workers.report("w1")
        harness.run(0.2)
    assert {name for name, _ in harness.workers.stops} == {"w1"}
    harness.workers.end("w1", FIRST_TASK, EndKind.STOPPED)
    harness.run(0.5)
    assert harness.workers.starts[-1][0] in ("w2", "w3", "w4")
    assert ("move", "m-w1", "spare") in harness.machines.orders


def test_a_new_owner_waits_for_the_stops_of_the_former_one():
    """Guards against two owners that each use the availability budget of one step."""
    names, clock = ("w1", "w2", "w3", "w4"), Clock()
    machines = tuple(instance(name) for name in names)
    former = OwnerHarness(*machines, workers=TimedWorkers(clock, grace_s=0.4), clock=clock)
    former.apply(cmds.Configure(config(queue())))
    former.apply(*(cmds.PutWorker(worker(name, data_centre=f"dc-{name}")) for name in names))
    spec = step(3, lasting=True, max_per_worker=1, may_miss=1)
    former.apply(cmds.SubmitJob(job(spec, payload="stays")))
    former.owner.start()
    for _ in range(15):
        former.run(0.1)
        for name in names:
            former.workers.report(name)
    former.commit(cmds.SetEvacuation("dc-w2", True))
    former.run(0.1)
    assert [name for name, _ in former.workers.stops] == ["w2"]
    former.owner.stop()
    following = OwnerHarness(
        *machines, workers=former.workers, clock=clock, state=former.state, term=8
    )
    following.apply(cmds.StartMaintenance(1, ("m-w1",), 100.0, 1))
    following.owner.start()
    following.run(0.25)
    assert "w1" not in [name for name, _ in former.workers.stops]
    for _ in range(20):
        following.run(0.1)
        for name in names:
            former.workers.report(name)
    assert "w1" in [name for name, _ in former.workers.stops]


def start_evacuation(outcome: ChangeOutcome) -> OwnerHarness:
    """Evacuates the data centre of an idle instance; the platform answers orders with `outcome`."""
    harness = OwnerHarness(instance("w1"))
    harness.apply(cmds.Configure(config(queue(), standby="spare")), cmds.PutWorker(worker("w1")))
    harness.machines.outcome = outcome
    harness.owner.start()
    harness.run(0.1)
    harness.commit(cmds.SetEvacuation("dc1", True))
    return harness


@pytest.mark.parametrize("outcome", [ChangeOutcome.LIMITED, ChangeOutcome.BUSY])
def test_a_refused_evacuation_order_is_repeated_ever_more_slowly(outcome):
    """Guards against orders that use up the platform's rate limit, and against giving up."""
    harness = start_evacuation(outcome)
    run_with_reports(harness, 10.0, "w1")
    assert 4 <= len(harness.machines.orders) <= 6
    harness.machines.outcome = ChangeOutcome.DONE
    run_with_reports(harness, MAX_ORDER_RETRY_DELAY_S + 0.5, "w1")
    count = len(harness.machines.orders)
    assert "w1" not in harness.state.workers
    run_with_reports(harness, 5.0, "w1")
    assert len(harness.machines.orders) == count


def test_an_evacuation_order_that_is_impossible_is_not_repeated():
    """Guards against an order in each tick for an instance that no standby pool takes."""
    harness = start_evacuation(ChangeOutcome.IMPOSSIBLE)
    run_with_reports(harness, 5.0, "w1")
    assert harness.machines.orders == [("move", "m-w1", "spare")]


def test_a_refused_evacuation_that_is_withdrawn_gives_the_instance_back():
    """Guards against an instance without tasks while a refused order waits to be repeated."""
    harness = start_evacuation(ChangeOutcome.LIMITED)
    run_with_reports(harness, 5.0, "w1")
    harness.commit(cmds.SetEvacuation("dc1", False))
    harness.commit(cmds.SubmitJob(job(step())))
    run_with_reports(harness, 0.5, "w1")
    assert [name for name, _ in harness.workers.starts] == ["w1"]


STANDBY_POOLS = tuple(f"spare-{letter}" for letter in "hgfedcba")


def start_evacuation_with_pools(*others) -> OwnerHarness:
    """Evacuates an idle instance where there are several standby pools; lists `others` too."""
    harness = OwnerHarness(instance("w1"), *others)
    cfg = config(queue())
    pools = tuple(WorkerPool(name, standby=True) for name in STANDBY_POOLS)
    harness.apply(cmds.Configure(dataclasses.replace(cfg, pools=cfg.pools + pools)))
    harness.apply(cmds.PutWorker(worker("w1")), cmds.SetEvacuation("dc1", True))
    harness.machines.outcome = ChangeOutcome.IMPOSSIBLE
    harness.owner.start()
    run_with_reports(harness, 2.0, "w1")
    return harness


def test_standby_pools_are_tried_in_the_order_of_their_names_until_one_takes_the_instance():
    """Guards against a choice that differs between processes, and one that is always refused."""
    harness = start_evacuation_with_pools()
    assert [pool for _, _, pool in harness.machines.orders] == sorted(STANDBY_POOLS)


def test_a_standby_pool_with_instances_of_the_same_kind_is_tried_first():
    """Guards against orders that the platform refuses since the pool has other instances."""
    same_kind = dataclasses.replace(instance("s1", "spare-g"), rack="r9", labels=("a", "r9"))
    other_kind = dataclasses.replace(instance("s2", "spare-b"), labels=("b", "r1"))
    harness = start_evacuation_with_pools(same_kind, other_kind)
    assert [pool for _, _, pool in harness.machines.orders][:3] == ["spare-g", "spare-a", "spare-b"]


def test_idle_instances_go_to_a_standby_pool_that_takes_them():
    """Guards against idle instances that cost money since the first standby pool refuses them."""
    names = tuple(f"w{n}" for n in range(4))
    harness = OwnerHarness(*(instance(name) for name in names))
    cfg = config(queue())
    pools = tuple(WorkerPool(name, standby=True) for name in STANDBY_POOLS)
    harness.apply(cmds.Configure(dataclasses.replace(cfg, pools=cfg.pools + pools)))
    harness.apply(*(cmds.PutWorker(worker(name)) for name in names))
    moves = []

    def move(instance_id, pool, **_options):
        moves.append(pool)
        return succeed(ChangeOutcome.DONE if pool == "spare-b" else ChangeOutcome.IMPOSSIBLE)

    harness.machines.move = move
    harness.owner.start()
    run_with_reports(harness, 6.0, *names)
    assert set(moves) == {"spare-a", "spare-b"}
    assert moves.count("spare-b") == 1


def test_a_pool_gets_another_spare_instance_in_place_of_one_that_it_refuses():
    """Guards against a pool that stays short since the move that it refused is planned for ever."""
    spare = [instance(name, "spare") for name in ("s1", "s2")]
    harness = start_harness(
        workers=("w1", "w2"), instances=[instance("w1"), instance("w2"), *spare], standby="spare"
    )
    moves = []

    def move(instance_id, pool, **_options):
        moves.append((instance_id, pool))
        if instance_id == "m-s1":
            return succeed(ChangeOutcome.IMPOSSIBLE)
        harness.machines.set_state(instance_id, InstanceState.MOVING)
        return succeed(ChangeOutcome.DONE)

    harness.machines.move = move
    run_with_reports(harness, 5.0, "w1", "w2")
    assert moves == [("m-s1", "p"), ("m-s2", "p")]


@pytest.mark.parametrize("fenced", [True, False])
def test_first_order_waits_for_those_of_the_former_owner_unless_tokens_are_compared(fenced):
    """Guards against a late order of the former owner that arrives after one of the new owner."""
    harness = OwnerHarness(instance("w1"), instance_orders_fenced=fenced)
    harness.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker("w1")))
    harness.apply(cmds.StartMaintenance(1, ("m-w1",), 100.0, 1))
    harness.owner.start()
    for _ in range(7):
        harness.run(0.2)
        harness.workers.report("w1")
    assert len(maintenance_orders(harness)) == int(fenced)
    for _ in range(5):
        harness.run(0.2)
        harness.workers.report("w1")
    assert len(maintenance_orders(harness)) == 1


def test_idle_instances_are_moved_to_standby():
    """Guards against instances that cost money but run no tasks; a pool keeps three of its six."""
    names = tuple(f"w{n}" for n in range(6))
    harness = start_harness(
        workers=names, instances=[instance(name) for name in names], standby="spare"
    )
    for _ in range(60):
        harness.run(0.1)
        for name in names:
            harness.workers.report(name)
    moves = {order[1:] for order in harness.machines.orders if order[0] == "move"}
    assert len(moves) == 3
    assert {pool for _, pool in moves} == {"spare"}


# Faults in the owner's own work.


def failing(*_args, **_fields):
    raise KeyError("a fault")


@pytest.mark.owner_faults
@pytest.mark.parametrize("part", ["fleet", "pass", "preempter"])
def test_a_fault_in_a_part_of_the_owners_work_neither_loses_ends_nor_stops_the_rest(part):
    """Guards against a job that runs for ever and an owner that leads on without ticks."""
    harness = start_harness(step(), workers=("w1",))
    harness.run(0.5)
    owner, [(name, order)] = harness.owner, harness.workers.starts
    place = {"fleet": owner._fleet_changes, "pass": owner.scheduler, "preempter": owner._preempter}
    method = {"fleet": "tick", "pass": "plan", "preempter": "handle_pass"}[part]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(place[part], method, failing)
        harness.workers.end(name, order.task)
        harness.run(0.5)
    assert harness.state.jobs[JOB_ID].state == "completed"
    harness.commit(cmds.SubmitJob(job(step(), job_id="0" * 16)))
    harness.run(0.5)
    assert len(harness.workers.starts) == 2
    assert owner._tick_loop.running


# Policy service and pace of best-effort tasks.


def test_an_advised_queue_starts_only_where_the_policy_service_allows():
    """Guards against a start on a worker without a ticket, or an order without the ticket."""

    class Policy:
        def request_tickets(self, step_key, workers):
            return succeed([Ticket("w2", "t-2", 3.0)])

    harness = OwnerHarness(advice=Policy())
    harness.apply(cmds.Configure(config(queue(advised=True))))
    harness.apply(cmds.PutWorker(worker("w1")), cmds.PutWorker(worker("w2")))
    harness.apply(cmds.SubmitJob(job(step(3))))
    harness.owner.start()
    harness.run(0.2)
    assert {name for name, _ in harness.workers.starts} == {"w2"}
    assert {order.ticket for _, order in harness.workers.starts} == {"t-2"}


class SlowPolicy:
    """A policy service that answers a call when the test fires its Deferred."""

    def __init__(self) -> None:
        self.calls: list[tuple[tuple, Deferred]] = []

    def request_tickets(self, step_key, workers):
        fut = Deferred()
        self.calls.append((step_key, fut))
        return fut


def ticket_cache_with_calls(*job_ids) -> tuple[TicketCache, SlowPolicy]:
    """Returns a cache that has requested tickets for a step of each of the jobs."""
    policy = SlowPolicy()
    cache = TicketCache(lambda: 0.0, port=policy, on_tickets=lambda: None)
    for job_id in job_ids:
        record = JobRecord(job(step(), job_id=job_id), {}, set())
        ready_step = ReadyStep(record, queue(advised=True), 0, 0, ())
        cache.tickets(ready_step, [AvailableWorker(worker(), worker().capacity)])
    return cache, policy


def test_a_late_answer_of_the_policy_service_keeps_nothing_of_an_ended_job():
    """Guards against memory that grows with each job that ends during a call."""
    cache, policy = ticket_cache_with_calls(JOB_ID)
    cache.forget(JOB_ID)
    policy.calls[0][1].callback([Ticket("w1", "t", 3.0)])
    assert cache.step_count == 0


def test_no_tickets_are_requested_for_a_job_that_ended_while_its_call_waited():
    """Guards against calls of the slow policy service that delay those of other jobs."""
    job_ids = [f"{number:016x}" for number in range(MAX_CONCURRENT_CALLS + 2)]
    cache, policy = ticket_cache_with_calls(*job_ids)
    cache.forget(job_ids[-2])
    policy.calls[0][1].callback([])
    assert [key[0] for key, _ in policy.calls[MAX_CONCURRENT_CALLS:]] == [job_ids[-1]]


def test_the_pace_of_best_effort_tasks_follows_the_latency_of_service_tasks():
    """Guards against service tasks that miss their latency target, and best-effort tasks kept slow.

    At 90% of the target the pace is halved, and becomes 0 instead of falling below 10%; at 10% of
    the target it returns to full speed.
    """
    service_step = step(lasting=True, latency_target_s=0.1)
    best_effort_step = step(lasting=True, filler=True)
    harness = start_harness(service_step, best_effort_step)
    harness.run(0.1)
    best_effort_task = TaskId(JOB_ID, 0, 1, 0)
    for latency_ms, expected in ((90, {50, 25, 12, 0}), (10, {100})):
        row = harness.workers.running["w1"][FIRST_TASK]
        harness.workers.running["w1"][FIRST_TASK] = row._replace(metric=latency_ms)
        for _ in range(60):
            harness.run(0.1)
            harness.workers.report("w1")
        assert expected <= {
            percent for task, percent in harness.workers.paces if task == best_effort_task
        }
    assert harness.workers.paces[-1] == (best_effort_task, 100)


def test_a_pace_order_is_repeated_if_the_report_shows_another_pace():
    """Guards against a best-effort task that an order executed late leaves paused."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue(public=True))), cmds.PutWorker(worker("w1")))
    harness.apply(cmds.SubmitJob(job(step(filler=True))))
    harness.owner.start()
    harness.run()
    row = harness.workers.running["w1"][FIRST_TASK]
    harness.workers.running["w1"][FIRST_TASK] = RunningTask(
        *row[:3], 0, 0
    )  # a late order paused it
    for _ in range(6):
        harness.workers.report("w1")
        harness.run(0.6)
    assert (FIRST_TASK, 100) in harness.workers.paces


def test_a_session_forgets_the_orders_for_runs_that_have_ended():
    """Guards against memory that grows with each run of a worker that stays for months."""
    harness = start_harness(step(lasting=True, latency_target_s=0.1), step(filler=True))
    harness.run(0.1)
    harness.workers.report("w1")
    session = harness.owner.sessions["w1"]
    filler = TaskId(JOB_ID, 0, 1, 0)
    session.pace(filler, 1, 50)
    harness.workers.end("w1", filler)
    harness.run(0.1)
    harness.workers.report("w1")
    harness.run(0.1)
    assert set(session.sent_starts) == {FIRST_TASK}
    assert session.pace_percents == {}
