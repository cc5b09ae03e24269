"""The owner against stand-in workers: starts, ends, takeovers, late orders and upkeep."""

from __future__ import annotations

from twisted.internet.defer import succeed

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs.advice import Ticket
from geraniumtrack.jobs.machine_port import InstanceState
from geraniumtrack.jobs.messages import Heartbeat
from geraniumtrack.jobs.model import EndKind, JobState, Resources, RunEnd, TaskId
from geraniumtrack.jobs.state import TaskPhase
from geraniumtrack.jobs.worker_port import StartOutcome
from tests.jobs_support import JOB_ID, World, config, instance, job, queue, started, step, worker

T0 = TaskId(JOB_ID, 0, 0, 0)


def world_with(*steps, workers=("w1",), machines=(), **fields) -> World:
    world = World(*machines)
    world.apply(cmds.Configure(config(queue(), **fields)))
    for name in workers:
        world.apply(cmds.PutWorker(worker(name)))
    if steps:
        world.apply(cmds.SubmitJob(job(*steps)))
    world.owner.start()
    world.run()
    return world


def test_a_start_is_committed_before_its_order_leaves():
    world = World()
    world.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    world.apply(cmds.SubmitJob(job(step())))
    seen = []
    start = world.workers.start

    def spy(target, order):
        seen.append(world.state.task(order.task).run)
        return start(target, order)

    world.workers.start = spy
    world.owner.start()
    world.run()
    assert seen == [1]


def test_an_end_is_acknowledged_only_after_its_commit():
    world = world_with(step())
    world.workers.end("w1", T0)
    assert world.workers.seen["w1"] == 0
    world.run()
    assert world.workers.seen["w1"] == 1
    assert world.state.jobs[JOB_ID].state is JobState.COMPLETED


def test_steps_run_in_order():
    world = world_with(step(), step(after=(0,)))
    assert [order.task.step for _, order in world.workers.starts] == [0]
    world.workers.end("w1", T0)
    world.run()
    assert [order.task.step for _, order in world.workers.starts] == [0, 1]


def test_what_a_worker_runs_is_adopted_at_a_takeover():
    world = World()
    world.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    world.apply(cmds.SubmitJob(job(step())), started(T0, 1, "w1"))
    row_world = world_with(step())
    world.workers.running = row_world.workers.running
    world.owner.start()
    world.run(0.5)
    assert world.workers.starts == []
    assert world.state.task(T0).phase is TaskPhase.ASSIGNED


def test_a_start_that_never_reached_its_worker_is_placed_again_at_a_takeover():
    world = World()
    world.apply(cmds.Configure(config(queue())), cmds.PutWorker(worker()))
    world.apply(cmds.SubmitJob(job(step())), started(T0, 1, "w1"))
    world.owner.start()
    world.run(0.1)
    assert [order.run for _, order in world.workers.starts] == [2]


def test_a_silent_worker_keeps_its_tasks_until_its_lease_is_over():
    world = world_with(step(), workers=("w1", "w2"))
    first = world.workers.starts[0][0]
    world.workers.silent.add(first)
    other = "w2" if first == "w1" else "w1"
    for _ in range(40):
        world.run(0.1)
        world.workers.report(other)
    assert len(world.workers.starts) == 1
    for _ in range(20):
        world.run(0.1)
        world.workers.report(other)
    assert [name for name, _ in world.workers.starts] == [first, other]


def test_attempts_to_reach_a_dead_worker_do_not_extend_its_lease():
    """Guards against a lease that each unanswered hold moves on, so that it is never over."""
    world = world_with(step(lasting=True), workers=("w1", "w2"))
    first = world.workers.starts[0][0]
    other = "w2" if first == "w1" else "w1"
    world.workers.cut_off.add(first)
    world.workers.holds.pop(first).errback(CallFailed("connection lost", sent=True))
    for _ in range(55):
        world.run(0.1)
        world.workers.report(other)
    assert [name for name, _ in world.workers.starts] == [first, other]


def test_nothing_starts_on_a_worker_whose_hold_failed_until_its_lists_come():
    """Guards against a start on the next life at the same address under the same id."""
    world = world_with()
    world.workers.holds.pop("w1").errback(CallFailed("connection lost", sent=True))
    world.workers.silent.add("w1")
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.5)
    assert world.workers.starts == []
    world.workers.silent.clear()
    world.workers.report("w1")
    world.run(0.1)
    assert [name for name, _ in world.workers.starts] == ["w1"]


def test_an_unanswered_start_is_stopped_before_the_task_is_placed_again():
    world = world_with()
    world.workers.outcome = StartOutcome.UNKNOWN
    world.workers.acknowledges_stops = False
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.1)
    for _ in range(10):
        world.workers.report("w1")
        world.run(0.2)
    # Copies of one order are sent; a second run must wait.
    assert {(name, order.run) for name, order in world.workers.starts} == {("w1", 1)}
    assert {order.run for _, order in world.workers.stops} == {1}
    world.workers.acknowledges_stops = True
    world.workers.outcome = StartOutcome.STARTED
    for _ in range(8):
        world.workers.report("w1")
        world.run(0.2)
    assert [order.run for _, order in world.workers.starts] == [1, 1, 1, 2]


def answer_starts(world, *outcomes):
    """Answers the next starts with the outcomes, then as usual."""
    left = list(outcomes)
    start = world.workers.start

    def answer(target, order):
        if left:
            world.workers.starts.append((target.id, order))
            return succeed(left.pop(0))
        return start(target, order)

    world.workers.start = answer


def test_an_unanswered_start_is_sent_again_to_the_same_worker():
    """Guards against a task that waits for lists and stops because one answer was lost."""
    world = world_with()
    answer_starts(world, StartOutcome.UNKNOWN)
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.1)
    assert [(name, order.run) for name, order in world.workers.starts] == [("w1", 1), ("w1", 1)]
    assert T0 in world.workers.running["w1"]


def test_a_run_that_ended_before_its_order_was_sent_again_is_not_given_up():
    """Guards against a second run of a task whose first copy of the order was carried out."""
    world = world_with()
    answer_starts(world, StartOutcome.UNKNOWN, StartOutcome.OUTDATED)
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.1)
    assert world.state.task(T0).phase is TaskPhase.ASSIGNED
    world.workers.ends["w1"] = [RunEnd(1, T0, 1, EndKind.DONE, "")]
    world.workers.report("w1")
    world.run(0.1)
    assert world.state.jobs[JOB_ID].state is JobState.COMPLETED
    assert {order.run for _, order in world.workers.starts} == {1}


def test_a_copy_without_room_leaves_open_whether_an_earlier_one_is_carried_out():
    """Guards against a task placed elsewhere while a late copy of its order may still start it."""
    world = world_with(workers=("w1", "w2"))
    answer_starts(world, StartOutcome.UNKNOWN, StartOutcome.NO_ROOM)
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.2)
    assert world.state.task(T0).run == 1
    assert world.state.task(T0).phase is TaskPhase.ASSIGNED


def test_repeated_stops_do_not_put_off_the_end_of_an_unclear_start():
    """Guards against a lasting task that waits for as long as its instance is being emptied."""
    world = world_with(machines=[instance("w1")])
    world.workers.outcome = StartOutcome.UNKNOWN
    world.commit(cmds.SubmitJob(job(step(lasting=True, may_miss=1))))
    world.run(0.1)
    world.workers.outcome = StartOutcome.STARTED
    world.commit(cmds.StartMaintenance(1, ("m-w1",), 100.0, 1))
    for _ in range(4):
        world.run(1.2)
        world.workers.report("w1")
    world.run(0.1)
    assert world.state.task(T0).run == 1
    assert world.state.task(T0).phase is TaskPhase.WAITING


def test_a_run_that_the_state_does_not_know_is_stopped_and_its_room_is_kept_free():
    world = world_with()
    stray = world_with(step(cpu=60_000))
    world.apply(cmds.SubmitJob(job(step(cpu=60_000))))
    world.state.apply(cmds.CancelJob(JOB_ID, 0.0))
    world.workers.running = stray.workers.running
    world.workers.report("w1")
    world.commit(cmds.SubmitJob(job(step(cpu=60_000), job_id="0" * 16)))
    world.run(0.1)
    assert [order.task for _, order in world.workers.stops] == [T0]
    assert world.workers.starts == []


def test_a_cancelled_job_is_stopped_at_once():
    world = world_with(step(2))
    world.commit(cmds.CancelJob(JOB_ID, 0.0))
    assert {order.task.index for _, order in world.workers.stops} == {0, 1}


def test_nothing_is_ordered_without_the_leadership_lease():
    world = world_with()
    world.may_act = False
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.5)
    assert world.workers.starts == []


def test_a_draining_worker_gets_nothing():
    world = world_with()
    world.owner.registry.handle_heartbeat(Heartbeat(worker(draining=True), 5))
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.5)
    assert world.workers.starts == []


def test_an_evacuated_data_centre_gets_nothing_until_it_is_taken_back():
    world = world_with()
    world.commit(cmds.SetEvacuation("dc1", True))
    world.commit(cmds.SubmitJob(job(step())))
    world.run(0.5)
    assert world.workers.starts == []
    world.commit(cmds.SetEvacuation("dc1", False))
    world.run(0.1)
    assert len(world.workers.starts) == 1


def test_a_delayed_report_of_a_dead_worker_at_a_reused_address_names_no_worker():
    world = world_with()
    dead = worker("old", born=0, address=worker().address)
    world.owner.registry.handle_heartbeat(Heartbeat(dead, 1))
    assert "old" not in world.state.workers


def test_a_delayed_report_of_a_dead_worker_does_not_bring_its_instance_back():
    """Guards against a move of an instance that looks idle, since its former life reports late."""
    world = world_with(step(lasting=True))
    assert T0 in world.workers.running["w1"]
    dead = worker("old", born=0, address="10.9.9.9:80", instance="m-w1")
    world.owner.registry.handle_heartbeat(Heartbeat(dead, 7))
    assert set(world.state.workers) == {"w1"}


def test_a_new_life_at_the_same_instance_ends_the_former_one():
    world = world_with(step())
    world.owner.registry.handle_heartbeat(Heartbeat(worker("w9", born=5, instance="m-w1"), 1))
    world.run()
    assert set(world.state.workers) == {"w9"}
    assert world.workers.starts[-1][0] == "w9"


def test_a_worker_that_fails_different_jobs_is_set_aside():
    world = world_with(workers=("w1", "w2"))
    for number in range(3):
        job_id = f"{number:016x}"
        world.commit(cmds.SubmitJob(job(step(cpu=1000 + number), job_id=job_id)))
        world.run()
        task = TaskId(job_id, 0, 0, 0)
        if task in world.workers.running.get("w1", {}):
            world.workers.end("w1", task, EndKind.FAILED)
        world.run()
    assert world.owner.health["w1"].suspect


def test_a_team_never_starts_beyond_its_limit():
    from geraniumtrack.jobs.model import JobTeam

    team = JobTeam("t", ("k",), cap=Resources(2500, 0, 0))
    world = World()
    world.apply(cmds.Configure(config(queue(), teams=(team,))), cmds.PutWorker(worker()))
    world.apply(cmds.SubmitJob(job(step(8), team="t")))
    world.owner.start()
    world.run(0.2)
    assert len(world.workers.starts) == 2


def test_a_gang_starts_whole_or_not_at_all():
    world = world_with(step(3, cpu=30_000, gang=True), workers=("w1",))
    world.run(0.2)
    assert world.workers.starts == []
    world.commit(cmds.PutWorker(worker("w2")))
    world.run(0.2)
    assert {order.run for _, order in world.workers.starts} == {1}
    assert len(world.workers.starts) == 3


# Maintenance and moves.


def maintained(world: World) -> list:
    return [order for order in world.machines.orders if order[0] == "maintain"]


def test_maintenance_keeps_to_its_cap_until_instances_are_back():
    """Guards against counting an instance as back because of its former worker or a late report."""
    names = ("w1", "w2", "w3")
    world = world_with(workers=names, machines=[instance(name) for name in names])
    world.run(0.1)
    world.commit(cmds.StartMaintenance(1, tuple(f"m-{n}" for n in names), 100.0, 1))
    for _ in range(20):
        for name in names:
            world.workers.report(name)
        world.run(0.1)
    assert len(maintained(world)) == 1
    done = maintained(world)[0][1]
    world.owner.registry.handle_heartbeat(Heartbeat(worker("back", born=9, instance=done), 1))
    for _ in range(5):
        for name in (*names, "back"):
            world.workers.report(name)
        world.run(0.1)
    assert len(maintained(world)) == 1
    world.machines.set_state(done, InstanceState.UP)
    for _ in range(8):
        for name in (*names, "back"):
            world.workers.report(name)
        world.run(0.1)
    assert len(maintained(world)) == 2


def test_maintenance_waits_until_an_instance_is_empty():
    world = world_with(step(), machines=[instance("w1")])
    world.commit(cmds.StartMaintenance(1, ("m-w1",), 100.0, 1))
    for _ in range(10):
        world.workers.report("w1")
        world.run(0.1)
    assert maintained(world) == []
    world.workers.end("w1", T0)
    world.run(0.2)
    assert len(maintained(world)) == 1


def test_lasting_tasks_are_ended_within_their_budget():
    """Guards against two ends of one step before the first shows in a listing."""
    names = ("w1", "w2", "w3")
    world = world_with(
        step(3, lasting=True, may_miss=1, max_per_worker=3),
        workers=names,
        machines=[instance(name) for name in names],
    )
    world.run(0.1)
    for name in names:
        world.workers.report(name)
    world.commit(cmds.StartMaintenance(1, tuple(f"m-{n}" for n in names), 10.0, 3))
    world.run(0.5)
    assert len({order.task for _, order in world.workers.stops}) == 1


def test_maintenance_empties_the_instances_with_lasting_tasks_first():
    """Guards against a campaign that misses its time, since relocations are slow and come last."""
    names = ("w1", "w2", "w3", "w4")
    world = world_with(
        step(2, lasting=True, may_miss=1),
        workers=names,
        machines=[instance(name) for name in names],
    )
    world.run(0.1)
    host = world.workers.starts[0][0]
    for name in names:
        world.workers.report(name)
    world.commit(cmds.StartMaintenance(1, tuple(f"m-{n}" for n in names), 60.0, 1))
    world.run(0.3)
    assert [target for target, _ in world.workers.stops] == [host]
    assert maintained(world) == []


def test_an_evacuated_data_centre_is_emptied_and_turned_off():
    """Guards against lasting tasks that stay, and paid instances that may run nothing."""
    out = worker("w1", data_centre="dc2")
    world = World(*(instance(name) for name in ("w1", "w2", "w3", "w4")))
    world.apply(cmds.Configure(config(queue(), standby="spare")), cmds.PutWorker(out))
    world.apply(cmds.SubmitJob(job(step(1, lasting=True))))
    world.owner.start()
    world.run(0.1)
    assert [name for name, _ in world.workers.starts] == ["w1"]
    for name in ("w2", "w3", "w4"):
        world.commit(cmds.PutWorker(worker(name)))
    world.commit(cmds.SetEvacuation("dc2", True))
    for _ in range(3):
        world.workers.report("w1")
        world.run(0.2)
    assert {name for name, _ in world.workers.stops} == {"w1"}
    world.workers.end("w1", T0, EndKind.STOPPED)
    world.run(0.5)
    assert world.workers.starts[-1][0] in ("w2", "w3", "w4")
    assert ("move", "m-w1", "spare") in world.machines.orders


def test_idle_instances_go_to_standby():
    names = tuple(f"w{n}" for n in range(6))
    world = world_with(workers=names, machines=[instance(name) for name in names], standby="spare")
    for _ in range(60):
        world.run(0.1)
        for name in names:
            world.workers.report(name)
    moves = {order[1:] for order in world.machines.orders if order[0] == "move"}
    assert len(moves) == 3
    assert {pool for _, pool in moves} == {"spare"}


# Advice and pace.


def test_an_advised_queue_starts_only_where_the_policy_service_allows():
    class Policy:
        def request_tickets(self, step_key, workers):
            return succeed([Ticket("w2", "t-2", 3.0)])

    world = World(advice=Policy())
    world.apply(cmds.Configure(config(queue(advised=True))))
    world.apply(cmds.PutWorker(worker("w1")), cmds.PutWorker(worker("w2")))
    world.apply(cmds.SubmitJob(job(step(3))))
    world.owner.start()
    world.run(0.2)
    assert {name for name, _ in world.workers.starts} == {"w2"}
    assert {order.ticket for _, order in world.workers.starts} == {"t-2"}


def test_fillers_are_slowed_when_a_serving_task_nears_its_target_and_released_after():
    serving = step(lasting=True, latency_target_s=0.1)
    filling = step(lasting=True, filler=True)
    world = world_with(serving, filling)
    world.run(0.1)
    filler = TaskId(JOB_ID, 0, 1, 0)
    for figure, expected in ((90, {50, 25, 12, 0}), (10, {100})):
        row = world.workers.running["w1"][T0]
        world.workers.running["w1"][T0] = row._replace(metric=figure)
        for _ in range(60):
            world.run(0.1)
            world.workers.report("w1")
        assert expected <= {percent for task, percent in world.workers.paces if task == filler}
    assert world.workers.paces[-1] == (filler, 100)
