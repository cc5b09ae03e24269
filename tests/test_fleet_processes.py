"""Moves and maintenance campaigns with real processes, some of which are killed."""

import json
import threading
import time
import urllib.request
from collections import Counter

import pytest

from standins.cluster import Cluster, Plan

PLAN = Plan(
    data_centres=("dc1", "dc2"),
    entries_per_data_centre=1,
    pools=("proofs", "mockups", "back-office"),
    targets_per_pool=2,
    platform=True,
    reboot_s=0.5,
)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("fleet"), PLAN) as running:
        running.apply()
        running.wait_ready()
        running.key = running.issue_key("acme")[1]
        for entry in running.entries:
            running.wait_for(
                lambda e=entry: send(running, e, "proofs", 0)[0] == 200, f"answer through {entry}"
            )
        yield running


def send(cluster, entry, queue, seconds):
    """Sends a task that runs for `seconds`; returns status and body."""
    body = json.dumps({"seconds": seconds}).encode()
    path = f"/v1/queues/{queue}/{queue}"
    headers = {"Request-Timeout": "10"}
    return cluster.request(entry, "POST", path, key=cluster.key, body=body, headers=headers)


class LoadGenerator:
    """Sends requests to a queue from several threads, and counts the statuses of the answers."""

    def __init__(self, cluster, queue, *, threads_per_entry, seconds):
        self.statuses = Counter()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(cluster, entry, queue, seconds))
            for entry in cluster.entries
            for _ in range(threads_per_entry)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, cluster, entry, queue, seconds):
        while not self._stop.is_set():
            self.statuses[send(cluster, entry, queue, seconds)[0]] += 1


def call_platform(cluster, path, body=None):
    """Calls the stand-in of the platform; returns its reply."""
    url = f"http://127.0.0.1:{cluster.platform_port}{path}"
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data=data, timeout=5) as response:
        return json.loads(response.read())


def control_maintenance(cluster, action, **body):
    """Starts or cancels a campaign."""
    status, reply = cluster.operator.command("/v1/maintenance", {"action": action, **body})
    assert status == 200, reply


def instances_by_phase(cluster):
    """Returns the names of the instances in each phase of the campaign."""
    return cluster.operator.maintenance()["instances"]


def kill_leader(cluster):
    """Kills the leading controller; returns its name."""
    leader = next(s["name"] for s in cluster.operator.statuses() if s.get("role") == "leader")
    cluster.kill(leader)
    return leader


def moving_instances(cluster):
    """Returns the instances whose move is in progress."""
    return [i for i in cluster.operator.view()["instances"].values() if i["moving_to"]]


def interruption_lines(cluster):
    """Returns what targets recorded about tasks that a reboot interrupted."""
    return [line for line in cluster.record.read_text().splitlines() if "interrupted" in line]


def test_campaign_continues_after_leader_and_platform_failures_without_failed_requests(cluster):
    """Guards against a wave that a new leader forgets, repeats or ends too early.

    The leader is killed while the platform fails the calls that order reboots.
    """
    call_platform(cluster, "/faults", {"mode": "fail"})
    with LoadGenerator(cluster, "proofs", threads_per_entry=2, seconds=1.5) as load:
        control_maintenance(cluster, "start", pools=["proofs"])
        cluster.wait_for(
            lambda: instances_by_phase(cluster).get("rebooting"), "a first instance to reboot"
        )
        killed_leader = kill_leader(cluster)
        call_platform(cluster, "/faults", {"mode": ""})
        cluster.wait_for(
            lambda: cluster.operator.maintenance()["phase"] == "finished",
            "the end of the campaign",
            timeout_s=60,
        )
    cluster.start_process(killed_leader)
    assert set(load.statuses) == {200}
    assert interruption_lines(cluster) == []
    reboots = call_platform(cluster, "/reboots")
    assert reboots == {f"proofs-{i}": 1 for i in (1, 2)}


def test_campaign_pauses_while_the_instances_of_a_rack_are_lost(cluster):
    """Guards against a campaign that reboots more instances while a rack is lost.

    Also guards against losing track of the instance that is rebooting when the pause begins.
    """
    lost = ("proofs-2", "mockups-2")
    call_platform(cluster, "/faults", {"mode": "fail"})
    control_maintenance(cluster, "start", pools=["mockups"])
    cluster.wait_for(
        lambda: instances_by_phase(cluster).get("rebooting"), "a first instance to reboot"
    )
    for name in lost:
        cluster.kill(name)
    cluster.wait_for(lambda: cluster.operator.maintenance()["phase"] == "paused", "the pause")
    assert "rack dc2/dc2-r1" in " ".join(cluster.operator.explain("maintenance")["now"])
    assert instances_by_phase(cluster)["rebooting"] == ["mockups-1"], "the pause lost an instance"
    for name in lost:
        cluster.start_process(name)
    call_platform(cluster, "/faults", {"mode": ""})
    cluster.wait_for(lambda: cluster.operator.maintenance()["phase"] == "running", "the resumption")
    cluster.wait_for(
        lambda: "mockups-1" in instances_by_phase(cluster).get("done", []), "the first return"
    )
    control_maintenance(cluster, "cancel")
    kinds = [event["kind"] for event in cluster.operator.explain("proofs-2")["events"]]
    assert kinds[-2:] == ["suspect", "alive"]


def test_move_completes_after_its_leader_was_killed(cluster):
    """Guards against an instance that stays drained, or serves two pools, after a new election."""
    cluster.wait_for(lambda: not instances_by_phase(cluster), "the end of the campaign")
    with (
        LoadGenerator(cluster, "back-office", threads_per_entry=1, seconds=1.0),
        LoadGenerator(cluster, "proofs", threads_per_entry=12, seconds=0.5) as load,
    ):
        cluster.wait_for(lambda: moving_instances(cluster), "a move")
        name = moving_instances(cluster)[0]["name"]
        killed_leader = kill_leader(cluster)
        cluster.wait_for(
            lambda: cluster.operator.view()["instances"][name]["pool"] == "proofs",
            "the move to pool proofs",
        )
        moved_at = cluster.operator.explain(name)["events"][-1]["at"]
        time.sleep(2.0)
        until = time.time()
    cluster.start_process(killed_leader)
    assert set(load.statuses) <= {200, 429}
    recorded_starts = [line.split() for line in cluster.record.read_text().splitlines()]
    starts_after_move = [
        s for s in recorded_starts if s[2] == name and moved_at < float(s[0]) < until
    ]
    assert {path for _, _, _, path in starts_after_move} == {"proofs"}
