"""The platform's instance list: it may be outdated or wrong, so it starts no run again."""

from __future__ import annotations

import dataclasses
import json
from types import SimpleNamespace

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.instances.instance_listing import InstanceListing
from geraniumtrack.jobs.instances.machine_port import InstanceState
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.platform.machine_client import MachineClient
from geraniumtrack.transport.http_client import HttpClient, Response
from tests.jobs_support import (
    FakeMachines,
    OwnerHarness,
    config,
    instance,
    job,
    queue,
    step,
    worker,
)
from tests.test_end_evidence import run_with_reports, runs_started

NAMES = ("w1", "w2")
BEFORE_LEASE_END_S = 4.0
AFTER_LEASE_END_S = 1.2


def entry(name: str, **fields) -> dict:
    """Returns an entry of the list as the platform sends it; `name` is the id of its worker."""
    row = {"machine": f"m-{name}", "pool": "p", "state": "up", "zone": "dc1", "id": name}
    capacity = {"cpu": 64_000, "memMb": 128_000, "gpu": 0}
    return {**row, "labels": ["a", "r1"], "capacity": capacity, **fields}


def page(*rows, token: str = "") -> bytes:
    """Returns a page of the list."""
    return json.dumps({"machines": rows, "nextPageToken": token}).encode()


def without_id(name: str, **fields) -> dict:
    """Returns an entry that names no worker."""
    return {key: value for key, value in entry(name, **fields).items() if key != "id"}


# The pages of a list by what is wrong in it; `name` is the worker that runs on behind a partition.
LISTS = {
    "listed as before": lambda name: [page(entry(name))],
    "an earlier worker": lambda name: [page(entry(name, id="w0"))],
    "moving": lambda name: [page(without_id(name, state="moving"))],
    "in maintenance": lambda name: [page(without_id(name, state="upkeep"))],
    "down": lambda name: [page(without_id(name, state="down"))],
    "missing": lambda _: [page(entry("w8"))],
    "empty": lambda _: [page()],
    "another worker in an unknown pool": lambda name: [page(entry(name, id="w9", pool="none"))],
    "down in an unknown pool": lambda name: [page(without_id(name, state="down", pool="none"))],
    "twice with other ids": lambda name: [page(entry(name, id="w8"), entry(name, id="w9"))],
    "twice with other states": lambda name: [
        page(without_id(name, state="moving"), without_id(name, state="down"))
    ],
    "twice, once with the id": lambda name: [page(entry(name), without_id(name, state="down"))],
    "id of another type": lambda name: [page(entry(name, id=7))],
    "no id": lambda name: [page(without_id(name))],
    "unknown state": lambda name: [page(without_id(name, state="broken"))],
    "unreadable bytes": lambda name: [page(entry(name)).replace(b'"dc1"', b'"\xff"')],
    "an unreadable page": lambda _: [b"\xff"],
    "missing in two pages": lambda _: [page(entry("w8"), token="2"), page(entry("w9"))],
    "down on the second page": lambda name: [
        page(entry("w8"), token="2"),
        page(without_id(name, state="down")),
    ],
}


@pytest.fixture
def pages(monkeypatch) -> list[bytes]:
    """Returns the pages of the list, which the test may change."""
    current: list[bytes] = []

    def call(_client, _method, path, **_options):
        return succeed(Response(200, current[1 if "pageToken" in path else 0]))

    monkeypatch.setattr(HttpClient, "call", call)
    return current


@pytest.mark.parametrize("case", LISTS)
def test_no_instance_list_starts_the_run_of_a_worker_behind_a_partition_again(pages, case):
    """Guards against two runs at once: no page says that a worker that isn't listed has ended."""
    pages[:] = [page(*map(entry, NAMES))]
    boot = SimpleNamespace(machines=SimpleNamespace(address="h:1"), node="c")
    harness = OwnerHarness(machines=MachineClient(Clock(), boot))
    harness.apply(cmds.Configure(config(queue())))
    harness.apply(*(cmds.PutWorker(worker(name)) for name in NAMES))
    harness.owner.start()
    harness.run(1.2)
    harness.commit(cmds.SubmitJob(job(step())))
    harness.run(0.1)
    first = harness.workers.starts[0][0]
    other = next(name for name in NAMES if name != first)
    harness.workers.report(first)
    harness.workers.ended.add(first)  # its address refuses connections
    harness.workers.holds.pop(first).errback(CallFailed("connection lost", sent=True, closed=True))
    pages[:] = LISTS[case](first)
    run_with_reports(harness, BEFORE_LEASE_END_S, other)
    assert runs_started(harness) == [(first, 1)]
    run_with_reports(harness, AFTER_LEASE_END_S, other)
    assert runs_started(harness) == [(first, 1), (other, 2)]


@pytest.mark.parametrize(
    ("fields", "complete", "omitted"),
    [
        ({}, True, False),
        (None, True, True),
        (None, False, False),
        ({"worker": "w9"}, True, True),
        ({"worker": ""}, True, False),
        ({"worker": "", "state": InstanceState.DOWN}, True, True),
        ({"worker": "", "state": InstanceState.MOVING}, False, True),
        ({"worker": "", "state": InstanceState.UNKNOWN}, True, False),
    ],
)
def test_which_workers_a_list_omits(fields, complete, omitted):
    """Guards against a crash that is taken for part of an outage since a list has odd entries."""
    machines = FakeMachines(instance("w1"))
    clock = Clock()
    listing = InstanceListing(clock, port=machines, on_list=lambda: None)
    listing.request_if_due(1.0)
    rows = [] if fields is None else [dataclasses.replace(instance("w1"), **fields)]
    machines.listed, machines.complete = [instance("w2"), *rows], complete
    clock.advance(1.0)
    listing.request_if_due(1.0)
    assert listing.omits(worker("w1")) is omitted
    assert not listing.omits(worker("w3"))  # not in any list yet
