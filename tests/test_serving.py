"""Requests during failures, with real processes: two data centres with two entries each."""

import json
import signal
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest

from geraniumtrack.coordination.serving.ownership import owner_of
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
            running.wait_for(lambda e=entry: send(running, e, 0)[0] == 200, f"an answer by {entry}")
        yield running


_request_numbers = iter(range(10**6))


def send(cluster, entry, seconds, *, key=None, timeout_s=20):
    """Sends a task that runs for `seconds`; returns status, body and name of the request."""
    name = f"job-{next(_request_numbers)}"
    headers = {"Request-Timeout": str(timeout_s)}
    body = json.dumps({"seconds": seconds}).encode()
    path = f"/v1/queues/proofs/{name}"
    key = key or cluster.key
    status, answer = cluster.request(
        entry, "POST", path, key=key, body=body, headers=headers, timeout_s=timeout_s + 5
    )
    return status, answer, name


def send_many(cluster, entries, count, seconds, *, action=lambda: None, threads=40):
    """Sends requests through the entries in turn, and calls `action` 0.7 s after the first.

    Returns:
        The results of `send`, and what `action` returned.
    """
    with ThreadPoolExecutor(threads) as pool:
        futs = [
            pool.submit(send, cluster, entries[i % len(entries)], seconds) for i in range(count)
        ]
        time.sleep(0.7)
        action_result = action()
        return [fut.result() for fut in futs], action_result


def read_starts(cluster, *, since=0.0):
    """Returns time, data centre, target and path of each start that the targets recorded."""
    lines = cluster.record.read_text().splitlines() if cluster.record.exists() else []
    fields = [line.split(" ") for line in lines]
    return [(float(at), dc, target, path) for at, dc, target, path in fields if float(at) >= since]


def set_fault(cluster, target, mode):
    url = f"http://127.0.0.1:{cluster.targets[target]['port']}/faults/{mode}"
    urllib.request.urlopen(urllib.request.Request(url, method="POST"), timeout=5).read()


def set_dc1_in_service(cluster, in_service):
    """Takes dc1 out of service or returns it; returns the time after the change."""
    body = {"in_service": in_service}
    assert cluster.operator.command("/v1/data-centres/dc1", body)[0] == 200
    return time.time()


def test_queued_tasks_move_when_their_data_centre_goes_out_of_service(cluster):
    """Guards against tasks that start in, or wait for, a data centre that is out of service.

    Tasks start there again after its return to service.
    """
    results, evacuated_at = send_many(
        cluster, ["e1a", "e1b"], 60, 0.4, action=lambda: set_dc1_in_service(cluster, False)
    )
    assert {status for status, _, _ in results} == {200}
    later_starts = read_starts(cluster, since=evacuated_at + 1.0)
    assert later_starts
    assert {dc for _, dc, _, _ in later_starts} == {"dc2"}
    returned_at = set_dc1_in_service(cluster, True)
    cluster.wait_for(
        lambda: send(cluster, "e1a", 0)[0] == 200
        and any(dc == "dc1" for _, dc, _, _ in read_starts(cluster, since=returned_at)),
        "starts in dc1",
    )


def test_target_that_fails_every_task_causes_no_failed_request(cluster):
    """Guards against failures that reach callers although other targets work.

    Failed tasks are retried on other targets, and the target is set aside after a few failures.
    """
    set_fault(cluster, "proofs-1", "fail-all")
    began_at = time.time()
    results, _ = send_many(cluster, cluster.entries, 80, 0.05, threads=8)
    set_fault(cluster, "proofs-1", "none")
    assert {status for status, _, _ in results} == {200}
    failing_target_starts = [
        target for _, _, target, _ in read_starts(cluster, since=began_at) if target == "proofs-1"
    ]
    assert len(failing_target_starts) <= 12


@pytest.mark.parametrize(("target", "mode"), [("proofs-2", "crossed"), ("proofs-4", "late")])
def test_each_caller_gets_the_complete_answer_to_its_own_request(cluster, target, mode):
    """Guards against answers of a faulty target that reach the wrong caller.

    The target answers with a task id that is not the one it was sent (`crossed`), or too late
    (`late`).
    """
    set_fault(cluster, target, mode)
    results, _ = send_many(cluster, ["e2a", "e2b"], 12, 0.05, threads=6)
    set_fault(cluster, target, "none")
    assert {status for status, _, _ in results} == {200}
    tasks = [json.loads(answer)["task"] for _, answer, _ in results]
    assert len(set(tasks)) == len(tasks)
    assert not any(task.endswith("!") for task in tasks)


def test_frozen_target_causes_no_failed_request(cluster):
    """Guards against requests that wait until their timeout for a frozen target.

    It still accepts connections but does not answer on them.
    """
    cluster.signal("proofs-3", signal.SIGSTOP)
    try:
        results, _ = send_many(cluster, ["e1a", "e1b"], 20, 0.05, threads=10)
    finally:
        cluster.signal("proofs-3", signal.SIGCONT)
    assert {status for status, _, _ in results} == {200}


def test_other_entry_dispatches_after_the_dispatcher_was_killed(cluster):
    """Guards against requests that are lost with their dispatcher.

    Also guards against a pool to which no entry dispatches once the hold-off is over.
    """
    dispatcher = owner_of("proofs", ["e1a", "e1b"])
    successor = "e1b" if dispatcher == "e1a" else "e1a"
    results, killed_at = send_many(
        cluster, [successor], 40, 0.3, action=lambda: cluster.kill(dispatcher) or time.time()
    )
    assert {status for status, _, _ in results} == {200}
    cluster.wait_for(
        lambda: send(cluster, successor, 0)[0] == 200
        and any(dc == "dc1" for _, dc, _, _ in read_starts(cluster, since=killed_at + 1.0)),
        "a start in dc1 through the successor",
    )
