"""Moves and maintenance with real processes, real files and real kills."""

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
    body = json.dumps({"seconds": seconds}).encode()
    path = f"/v1/queues/{queue}/{queue}"
    headers = {"Request-Timeout": "10"}
    return cluster.request(entry, "POST", path, key=cluster.key, body=body, headers=headers)


class Load:
    """Keeps requests running on a queue, and holds their statuses."""

    def __init__(self, cluster, queue, *, each, seconds):
        self.statuses = Counter()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(cluster, entry, queue, seconds))
            for entry in cluster.entries
            for _ in range(each)
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


def platform(cluster, path, body=None):
    url = f"http://127.0.0.1:{cluster.platform_port}{path}"
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data=data, timeout=5) as response:
        return json.loads(response.read())


def maintenance(cluster, action, **body):
    status, reply = cluster.operator.command("/v1/maintenance", {"action": action, **body})
    assert status == 200, reply


def phases(cluster):
    return cluster.operator.maintenance()["instances"]


def kill_leader(cluster):
    leader = next(s["name"] for s in cluster.operator.statuses() if s.get("role") == "leader")
    cluster.kill(leader)
    return leader


def moving(cluster):
    return [i for i in cluster.operator.view()["instances"].values() if i["moving_to"]]


def interruptions(cluster):
    return [line for line in cluster.record.read_text().splitlines() if "interrupted" in line]


def test_campaign_outlives_its_leader_and_a_failing_platform_and_cuts_no_request(cluster):
    """Guards against a wave that a new leader forgets, repeats or ends too early."""
    platform(cluster, "/faults", {"mode": "fail"})
    with Load(cluster, "proofs", each=2, seconds=1.5) as load:
        maintenance(cluster, "start", pools=["proofs"])
        cluster.wait_for(lambda: phases(cluster).get("rebooting"), "a first instance to reboot")
        killed = kill_leader(cluster)
        platform(cluster, "/faults", {"mode": ""})
        cluster.wait_for(
            lambda: cluster.operator.maintenance()["phase"] == "finished",
            "the end of the campaign",
            timeout_s=60,
        )
    cluster.start_process(killed)
    assert set(load.statuses) == {200}
    assert interruptions(cluster) == []
    reboots = platform(cluster, "/reboots")
    assert reboots == {f"proofs-{i}": 1 for i in (1, 2)}


def test_rack_lost_in_a_wave_pauses_it_until_the_rack_returns(cluster):
    lost = ("proofs-2", "mockups-2")
    platform(cluster, "/faults", {"mode": "fail"})
    maintenance(cluster, "start", pools=["mockups"])
    cluster.wait_for(lambda: phases(cluster).get("rebooting"), "a first instance to reboot")
    for name in lost:
        cluster.kill(name)
    cluster.wait_for(lambda: cluster.operator.maintenance()["phase"] == "paused", "the pause")
    assert "rack dc2/dc2-r1" in " ".join(cluster.operator.explain("maintenance")["now"])
    assert phases(cluster)["rebooting"] == ["mockups-1"], "no instance is lost by the pause"
    for name in lost:
        cluster.start_process(name)
    platform(cluster, "/faults", {"mode": ""})
    cluster.wait_for(lambda: cluster.operator.maintenance()["phase"] == "running", "the resumption")
    cluster.wait_for(lambda: "mockups-1" in phases(cluster).get("done", []), "the first return")
    maintenance(cluster, "cancel")
    kinds = [event["kind"] for event in cluster.operator.explain("proofs-2")["events"]]
    assert kinds[-2:] == ["suspect", "alive"]


def test_move_outlives_its_leader(cluster):
    """Guards against an instance that stays drained, or serves two pools, after a new election."""
    cluster.wait_for(lambda: not phases(cluster), "the end of the campaign")
    with (
        Load(cluster, "back-office", each=1, seconds=1.0),
        Load(cluster, "proofs", each=12, seconds=0.5) as load,
    ):
        cluster.wait_for(lambda: moving(cluster), "a move")
        name = moving(cluster)[0]["name"]
        killed = kill_leader(cluster)
        cluster.wait_for(
            lambda: cluster.operator.view()["instances"][name]["pool"] == "proofs", "the lent pool"
        )
        moved_at = cluster.operator.explain(name)["events"][-1]["at"]
        time.sleep(2.0)
        seen_until = time.time()
    cluster.start_process(killed)
    assert set(load.statuses) <= {200, 429}
    starts = [line.split() for line in cluster.record.read_text().splitlines()]
    lent = [s for s in starts if s[2] == name and moved_at < float(s[0]) < seen_until]
    assert {path for _, _, _, path in lent} == {"proofs"}
