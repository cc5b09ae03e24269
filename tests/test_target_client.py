"""Target client with a faulty target, over real connections to the process of a stand-in."""

import json
import subprocess
import sys
import time
import urllib.request

import pytest
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from geraniumtrack.transport.target_client import TargetClient
from geraniumtrack.transport.target_exchange import TaskRequest
from standins.cluster import free_ports
from tests.reactor_support import wait_for


@pytest.fixture(scope="module")
def port(reactor_stopped_at_end):
    """Starts a stand-in target and yields its port."""
    port_number = free_ports(1)[0]
    options = {"name": "t1", "data_centre": "dc1", "rack": "r1", "pool": "p", "port": port_number}
    arguments = [f"--{key}={value}" for key, value in options.items()]
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.target", *arguments, "--entries=127.0.0.1:9"]
    )
    start_deadline = time.monotonic() + 15
    while True:
        try:
            set_fault(port_number, "none")
            break
        except OSError:
            assert time.monotonic() < start_deadline
            time.sleep(0.05)
    yield port_number
    process.kill()
    process.wait()


def set_fault(port, mode):
    url = f"http://127.0.0.1:{port}/faults/{mode}"
    urllib.request.urlopen(urllib.request.Request(url, method="POST"), timeout=5).read()


_task_numbers = iter(range(10**6))


def make_request(*, seconds=0.0, timeout_s=10.0, lease_s=10.0):
    body = json.dumps({"seconds": seconds}).encode()
    task_id = f"task-{next(_task_numbers)}"
    return TaskRequest(task_id, "POST", "x", "application/json", body, lease_s, timeout_s)


def run_in_reactor(coroutine):
    return wait_for(ensureDeferred(coroutine))


async def run_task(client, port, request):
    return await client.run(f"127.0.0.1:{port}", request)


@pytest.mark.parametrize(
    ("mode", "reason"),
    [("crossed", "mismatched"), ("truncated", "broken"), ("wrong-length", "broken")],
)
def test_incomplete_or_mismatched_answer_is_never_returned(port, mode, reason):
    """Guards against giving a caller an incomplete answer or the answer to another task."""

    async def scenario():
        client = TargetClient(reactor)
        set_fault(port, mode)
        outcome = await run_task(client, port, make_request())
        set_fault(port, "none")
        next_outcome = await run_task(client, port, make_request())
        await client.close()
        return outcome, next_outcome

    outcome, next_outcome = run_in_reactor(scenario())
    assert (outcome.reason, outcome.started) == (reason, True)
    assert next_outcome.status == 200


def test_duplicate_answer_is_not_taken_for_the_next_answer(port):
    """Guards against giving a caller the answer to an earlier task.

    The target sends its answer twice on a persistent connection, which the next task may reuse.
    """

    async def scenario():
        client = TargetClient(reactor)
        set_fault(port, "duplicate")
        outcomes = []
        for _ in range(5):
            request = make_request()
            outcomes.append((request.task_id, await run_task(client, port, request)))
        set_fault(port, "none")
        await client.close()
        return outcomes

    for task_id, outcome in run_in_reactor(scenario()):
        assert hasattr(outcome, "reason") or json.loads(outcome.body)["task"] == task_id


def test_connections_that_stop_delivering_are_replaced_and_the_target_stays_in_use(port):
    """Guards against tasks that wait until their deadline on connections that deliver no data.

    New connections to the same target still work.
    """

    async def scenario():
        client = TargetClient(reactor)
        set_fault(port, "none")
        await run_task(client, port, make_request())
        set_fault(port, "silent")
        sent_at = time.monotonic()
        outcome = await run_task(client, port, make_request(timeout_s=25.0))
        detected_after_s = time.monotonic() - sent_at
        next_outcome = await run_task(client, port, make_request())
        await client.close()
        return outcome, detected_after_s, next_outcome

    outcome, detected_after_s, next_outcome = run_in_reactor(scenario())
    assert outcome.reason == "connection_silent"
    assert detected_after_s < 10.0
    assert next_outcome.status == 200


def test_long_task_keeps_its_lease_while_renewal_is_allowed(port):
    """Guards against a target that stops a long task although the entry may renew its lease.

    If the entry may not, the target must stop the task when the lease expires.
    """

    async def scenario(may_renew):
        client = TargetClient(reactor, may_renew=lambda task_id: may_renew)
        outcome = await run_task(client, port, make_request(seconds=3.0, lease_s=2.0))
        await client.close()
        return outcome

    assert run_in_reactor(scenario(True)).status == 200
    assert run_in_reactor(scenario(False)).status == 499


def test_cancelled_tasks_free_all_their_slots_at_once(port):
    """Guards against a target without free slots after all its tasks were cancelled together."""
    slots = 8

    async def scenario():
        client = TargetClient(reactor)
        address = f"127.0.0.1:{port}"
        requests = [make_request(seconds=20.0, timeout_s=30.0) for _ in range(slots)]
        futs = [client.run(address, request) for request in requests]
        await deferLater(reactor, 0.3, lambda: None)
        while_full = await run_task(client, port, make_request())
        cancelled_at = time.monotonic()
        for request in requests:
            client.cancel(address, request.task_id)
        cancelled = [await fut for fut in futs]
        freed_after_s = time.monotonic() - cancelled_at
        # One more than there are slots: the others must be in use again, all at the same time.
        futs = [client.run(address, make_request(seconds=0.5)) for _ in range(slots + 1)]
        after_cancellation = [await fut for fut in futs]
        await client.close()
        return while_full, cancelled, freed_after_s, after_cancellation

    while_full, cancelled, freed_after_s, after_cancellation = run_in_reactor(scenario())
    assert (while_full.reason, while_full.started) == ("not_started", False)
    assert [outcome.status for outcome in cancelled] == [499] * slots
    assert freed_after_s < 2.0  # a tenth of the run time of the tasks
    outcomes = [getattr(o, "status", None) or o.reason for o in after_cancellation]
    assert sorted(outcomes, key=str) == [200] * slots + ["not_started"]
