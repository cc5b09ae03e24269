"""Requests under failures, through real processes: two data centres with two entries each."""

import json
import signal
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest

from geraniumtrack.coordination.ownership import owner_of
from standins.cluster import Cluster, Plan

PLAN = Plan(
    data_centres=("dc1", "dc2"),
    entries_per_data_centre=2,
    pools=("proofs", "back-office"),
    targets_per_pool=4,
    slots=2,
)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("cluster"), PLAN) as running:
        running.apply()
        running.wait_ready()
        running.key = running.issue_key("acme")[1]
        for entry in running.entries:
            running.wait_for(lambda e=entry: send(running, e, 0)[0] == 200, f"answer by {entry}")
        yield running


_count = iter(range(10**6))


def send(cluster, entry, seconds, *, key=None, timeout_s=20):
    name = f"job-{next(_count)}"
    headers = {"Request-Timeout": str(timeout_s)}
    body = json.dumps({"seconds": seconds}).encode()
    path = f"/v1/queues/proofs/{name}"
    key = key or cluster.key
    status, answer = cluster.request(
        entry, "POST", path, key=key, body=body, headers=headers, timeout_s=timeout_s + 5
    )
    return status, answer, name


def send_many(cluster, entries, count, seconds, *, meanwhile=lambda: None, workers=40):
    with ThreadPoolExecutor(workers) as pool:
        futs = [
            pool.submit(send, cluster, entries[i % len(entries)], seconds) for i in range(count)
        ]
        time.sleep(0.7)
        noted = meanwhile()
        return [fut.result() for fut in futs], noted


def starts(cluster, *, since=0.0):
    lines = cluster.record.read_text().splitlines() if cluster.record.exists() else []
    found = [line.split(" ") for line in lines]
    return [(float(at), dc, name, path) for at, dc, name, path in found if float(at) >= since]


def set_fault(cluster, target, mode):
    url = f"http://127.0.0.1:{cluster.targets[target]['port']}/faults/{mode}"
    urllib.request.urlopen(urllib.request.Request(url, method="POST"), timeout=5).read()


def set_in_service(cluster, in_service):
    body = {"in_service": in_service}
    assert cluster.operator.command("/v1/data-centres/dc1", body)[0] == 200
    return time.time()


def test_queued_tasks_move_when_their_data_centre_is_taken_out(cluster):
    """Guards against tasks that start in, or wait for, a data centre that is out of service."""
    results, out_at = send_many(
        cluster, ["e1a", "e1b"], 60, 0.4, meanwhile=lambda: set_in_service(cluster, False)
    )
    assert {status for status, _, _ in results} == {200}
    after = starts(cluster, since=out_at + 1.0)
    assert after
    assert {dc for _, dc, _, _ in after} == {"dc2"}
    back_at = set_in_service(cluster, True)
    cluster.wait_for(
        lambda: send(cluster, "e1a", 0)[0] == 200
        and any(dc == "dc1" for _, dc, _, _ in starts(cluster, since=back_at)),
        "starts in dc1",
    )


def test_target_that_fails_everything_costs_no_answer(cluster):
    """Guards against failures that reach callers while other targets work."""
    set_fault(cluster, "proofs-1", "fail-all")
    began = time.time()
    results, _ = send_many(cluster, cluster.entries, 80, 0.05, workers=8)
    set_fault(cluster, "proofs-1", "none")
    assert {status for status, _, _ in results} == {200}
    on_bad = [name for _, _, name, _ in starts(cluster, since=began) if name == "proofs-1"]
    assert len(on_bad) <= 12


@pytest.mark.parametrize(("target", "mode"), [("proofs-2", "crossed"), ("proofs-4", "late")])
def test_each_caller_gets_the_whole_answer_to_its_own_request(cluster, target, mode):
    """Guards against answers of a confused target that reach the wrong caller."""
    set_fault(cluster, target, mode)
    results, _ = send_many(cluster, ["e2a", "e2b"], 12, 0.05, workers=6)
    set_fault(cluster, target, "none")
    assert {status for status, _, _ in results} == {200}
    tasks = [json.loads(answer)["task"] for _, answer, _ in results]
    assert len(set(tasks)) == len(tasks)
    assert not any(task.endswith("!") for task in tasks)


def test_frozen_target_costs_time_but_no_answer(cluster):
    """Guards against requests that wait for a target that accepts and never answers."""
    cluster.signal("proofs-3", signal.SIGSTOP)
    try:
        results, _ = send_many(cluster, ["e1a", "e1b"], 20, 0.05, workers=10)
    finally:
        cluster.signal("proofs-3", signal.SIGCONT)
    assert {status for status, _, _ in results} == {200}


def test_killed_dispatcher_is_succeeded_after_the_hold_off(cluster):
    """Guards against requests lost with their dispatcher, and against no one succeeding it."""
    former = owner_of("proofs", ["e1a", "e1b"])
    other = "e1b" if former == "e1a" else "e1a"
    results, killed_at = send_many(
        cluster, [other], 40, 0.3, meanwhile=lambda: cluster.kill(former) or time.time()
    )
    assert {status for status, _, _ in results} == {200}
    cluster.wait_for(
        lambda: send(cluster, other, 0)[0] == 200
        and any(dc == "dc1" for _, dc, _, _ in starts(cluster, since=killed_at + 1.0)),
        "a start in dc1 through the successor",
    )
