"""Campaigns that must end by their deadline despite outages, lost racks and service tasks."""

from __future__ import annotations

from twisted.internet.task import Clock

from geraniumtrack.jobs.capacity.maintenance_pace import (
    ObservedTimes,
    RemainingWork,
    required_in_progress,
)
from geraniumtrack.jobs.instances.machine_port import InstanceState
from geraniumtrack.jobs.state import commands as cmds
from tests.jobs_support import (
    OwnerHarness,
    TimedMachines,
    TimedWorkers,
    config,
    instance,
    job,
    queue,
    step,
    worker,
)

CAP = 4
DEADLINE_S = 26.0


def start_campaign(*names, standby=(), service=0, cap=CAP, busy=()):
    """Returns a harness with a campaign over all instances; pool `p` unless `standby` or `busy`."""
    clock = Clock()
    rows = [instance(n) for n in names] + [instance(n, "off") for n in standby]
    rows += [instance(n, "q") for n in busy]
    machines = TimedMachines(clock, *rows)
    harness = OwnerHarness(machines=machines, workers=TimedWorkers(clock), clock=clock)
    queues = (queue(), queue("q", pool="q")) if busy else (queue(),)
    harness.apply(cmds.Configure(config(*queues, standby="off")))
    harness.apply(*(cmds.PutWorker(worker(n)) for n in names))
    harness.apply(*(cmds.PutWorker(worker(n, pool="q")) for n in busy))
    if service:
        spec = step(service, lasting=True, may_miss=3, max_per_worker=2)
        harness.apply(cmds.SubmitJob(job(spec, payload="stays")))
    harness.owner.start()
    run(harness, 1.5)
    deadline = clock.seconds() + DEADLINE_S
    ids = tuple(row.id for row in rows)
    harness.commit(cmds.StartMaintenance(1, ids, deadline, cap))
    return harness


def run(harness, seconds):
    """Runs the harness, has all workers report, and returns the highest number in maintenance."""
    highest = 0
    for _ in range(round(seconds / 0.1)):
        harness.run(0.1)
        highest = max(highest, harness.machines.maintained())
        for name in list(harness.workers.holds):
            harness.workers.report(name)
    return highest


def lose(harness, names, lost):
    """Loses instances with their workers, or brings the instances back."""
    for name in names:
        harness.machines.set_state(f"m-{name}", InstanceState.DOWN if lost else InstanceState.UP)
        harness.workers.unreachable.add(name)


def test_a_campaign_ends_in_time_although_all_controllers_and_a_rack_are_down():
    """Guards against a late end: 7 s without controllers and 7 s without a rack, of 26 s.

    Also guards against exceeding the cap while the campaign catches up.
    """
    names = [f"w{number}" for number in range(24)]
    harness = start_campaign(*names, service=16)
    highest = run(harness, 3.0)
    harness.may_act = False
    highest = max(highest, run(harness, 7.0))
    harness.may_act = True
    lose(harness, names[18:], lost=True)
    highest = max(highest, run(harness, 7.0))
    lose(harness, names[18:], lost=False)
    highest = max(highest, run(harness, DEADLINE_S - 17.0))
    assert harness.state.campaigns[1].completed
    assert harness.machines.maintained() == 0
    assert highest <= CAP


def test_a_lost_instance_holds_no_slot_of_the_cap_and_gets_no_orders_while_it_is_down():
    """Guards against a slot that is held for 17 s by orders which the platform refuses as busy."""
    harness = start_campaign("w1", "w2", cap=1)
    harness.machines.set_state("m-w1", InstanceState.DOWN)  # before the owner's next list
    run(harness, 6.0)
    assert ("maintain", "m-w2", 1) in harness.machines.orders
    assert len([order for order in harness.machines.orders if order[0] == "busy"]) <= 1
    harness.machines.set_state("m-w1", InstanceState.UP)
    run(harness, 3.0)
    assert ("maintain", "m-w1", 1) in harness.machines.orders


def test_an_instance_that_is_lost_during_its_maintenance_gives_its_slot_back():
    """Guards against a campaign that waits for the return of a rack that is lost for long."""
    harness = start_campaign("w1", "w2", cap=1)
    run(harness, 0.5)
    first = harness.machines.orders[0][1]
    harness.machines.set_state(first, InstanceState.DOWN)
    run(harness, 2.0)
    # The list may be wrong about an instance that was in maintenance just before.
    assert len(harness.machines.orders) == 1
    run(harness, 4.0)
    assert len(harness.machines.orders) == 2


def test_standby_instances_come_first_and_busy_pools_last():
    """Guards against drains in a pool with a peak of demand while another pool is idle."""
    harness = start_campaign("w1", "w2", standby=("s1", "s2"), busy=("b1", "b2"), cap=2)
    tasks = step(2, cpu=60_000, max_per_worker=1)
    harness.commit(cmds.SubmitJob(job(tasks, job_id="busy", queue="q", payload="stays")))
    run(harness, 14.0)
    order = [row[1] for row in harness.machines.orders if row[0] == "maintain"]
    assert set(order[:2]) == {"m-s1", "m-s2"}
    assert set(order[2:4]) == {"m-w1", "m-w2"}


def test_the_number_in_progress_rises_as_time_is_lost_and_falls_when_the_campaign_is_ahead():
    """Guards against a constant rate that ignores an outage, a long drain or a lead."""
    times = ObservedTimes()
    at_first = required_in_progress(RemainingWork(80, 10, 26.0), 40, times)
    assert at_first < required_in_progress(RemainingWork(80, 10, 19.0), 40, times)
    assert at_first > required_in_progress(RemainingWork(20, 0, 26.0), 40, times)
    for _ in range(4):
        times.record_drain(6.0, service=False)
    assert at_first < required_in_progress(RemainingWork(80, 10, 26.0), 40, times)
