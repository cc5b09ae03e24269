"""Answers of misbehaving targets, over real connections to a stand-in target's process."""

import json
import subprocess
import sys
import time
import urllib.request

import pytest
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from geraniumtrack.transport.target_client import TargetClient, TaskRequest
from standins.cluster import free_ports
from tests.reactor_support import wait_for


@pytest.fixture(scope="module")
def port(stopped_reactor):
    number = free_ports(1)[0]
    options = {"name": "t1", "data_centre": "dc1", "rack": "r1", "pool": "p", "port": number}
    arguments = [f"--{key}={value}" for key, value in options.items()]
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.target", *arguments, "--entries=127.0.0.1:9"]
    )
    give_up = time.monotonic() + 15
    while True:
        try:
            set_fault(number, "none")
            break
        except OSError:
            assert time.monotonic() < give_up
            time.sleep(0.05)
    yield number
    process.kill()
    process.wait()


def set_fault(port, mode):
    url = f"http://127.0.0.1:{port}/faults/{mode}"
    urllib.request.urlopen(urllib.request.Request(url, method="POST"), timeout=5).read()


_count = iter(range(10**6))


def make_request(*, seconds=0.0, timeout_s=10.0, lease_s=10.0):
    body = json.dumps({"seconds": seconds}).encode()
    name = f"task-{next(_count)}"
    return TaskRequest(name, "POST", "x", "application/json", body, lease_s, timeout_s)


def in_reactor(coroutine):
    return wait_for(ensureDeferred(coroutine))


async def run_one(client, port, request):
    return await client.run(f"127.0.0.1:{port}", request)


@pytest.mark.parametrize(
    ("mode", "reason"),
    [("crossed", "mismatched"), ("truncated", "broken"), ("wrong-length", "broken")],
)
def test_unusable_answer_is_never_passed_on(port, mode, reason):
    """Guards against giving a caller a part of an answer, or another caller's."""

    async def scenario():
        client = TargetClient(reactor)
        set_fault(port, mode)
        outcome = await run_one(client, port, make_request())
        set_fault(port, "none")
        again = await run_one(client, port, make_request())
        await client.close()
        return outcome, again

    outcome, again = in_reactor(scenario())
    assert (outcome.reason, outcome.started) == (reason, True)
    assert again.status == 200


def test_duplicate_answer_never_answers_the_next_request(port):
    """Guards against a second copy on a kept connection that is taken for the next answer."""

    async def scenario():
        client = TargetClient(reactor)
        set_fault(port, "duplicate")
        outcomes = []
        for _ in range(5):
            request = make_request()
            outcomes.append((request.task_id, await run_one(client, port, request)))
        set_fault(port, "none")
        await client.close()
        return outcomes

    for task_id, outcome in in_reactor(scenario()):
        assert hasattr(outcome, "reason") or json.loads(outcome.body)["task"] == task_id


def test_silent_connections_are_found_and_replaced_while_the_target_stays_in_use(port):
    """Guards against requests that wait until their deadline on connections that lead nowhere."""

    async def scenario():
        client = TargetClient(reactor)
        set_fault(port, "none")
        await run_one(client, port, make_request())
        set_fault(port, "silent")
        began = time.monotonic()
        outcome = await run_one(client, port, make_request(timeout_s=25.0))
        found_after = time.monotonic() - began
        again = await run_one(client, port, make_request())
        await client.close()
        return outcome, found_after, again

    outcome, found_after, again = in_reactor(scenario())
    assert outcome.reason == "connection_silent"
    assert found_after < 10.0
    assert again.status == 200


def test_long_task_keeps_its_lease_while_renewal_is_allowed(port):
    """Guards against a target that stops a long task although the entry still holds its lease."""

    async def scenario(may_renew):
        client = TargetClient(reactor, may_renew=lambda task_id: may_renew)
        outcome = await run_one(client, port, make_request(seconds=3.0, lease_s=2.0))
        await client.close()
        return outcome

    assert in_reactor(scenario(True)).status == 200
    assert in_reactor(scenario(False)).status == 499


def test_cancelled_task_frees_its_slot_at_once(port):
    """Guards against slots that stay taken after a wave of cancellations."""

    async def scenario():
        client = TargetClient(reactor)
        address = f"127.0.0.1:{port}"
        requests = [make_request(seconds=20.0, timeout_s=30.0) for _ in range(8)]
        futs = [client.run(address, request) for request in requests]
        await deferLater(reactor, 0.3, lambda: None)
        full = await run_one(client, port, make_request())
        for request in requests:
            client.cancel(address, request.task_id)
        for fut in futs:
            await fut
        free = await run_one(client, port, make_request())
        await client.close()
        return full, free

    began = time.monotonic()
    full, free = in_reactor(scenario())
    assert (full.reason, full.started) == ("not_started", False)
    assert free.status == 200
    assert time.monotonic() - began < 10.0
