"""Controllers as processes with files on disk, under crashes, suspension and network partitions.

All tests share one cluster, which is restored after each test.
"""

import json
import shutil
import signal
import threading
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest

from geraniumtrack.cli.operator_client import OperatorClient, Unavailable
from standins.cluster import Cluster, Plan
from standins.forwarder import LinkState

PLAN = Plan(
    data_centres=("dc1", "dc2", "dc3"),
    entries_per_data_centre=0,
    pools=("proofs",),
    targets_per_pool=0,
    controller_settings={"snapshot_entries": 64},
    forwarded=True,
)


class Load:
    """Issues keys continuously in a thread and records the ids of the accepted ones."""

    def __init__(self, cluster):
        self.client = OperatorClient(cluster.operator.cfg)
        self.accepted = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        while not self.stopping.is_set():
            issue(self.client, self.accepted)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()

    def wait_for_more(self, cluster, count=5):
        wanted_count = len(self.accepted) + count
        cluster.wait_for(lambda: len(self.accepted) >= wanted_count, "more accepted changes")


def issue(client, accepted, prefix="key"):
    """Issues a key with a new id and appends the id to `accepted` if the key was accepted."""
    key_id = f"{prefix}-{time.monotonic_ns()}-{threading.get_ident()}"
    body = {"team": "acme", "key_id": key_id, "digest": "00" * 32}
    try:
        status, _ = client.command("/v1/keys", body)
    except Unavailable:
        return
    if status == 200:
        accepted.append(key_id)


def get_json(cluster, name, path="/v1/status", timeout_s=5.0):
    url = f"http://127.0.0.1:{cluster.http_ports[name]}{path}"
    headers = {"Authorization": f"Bearer {cluster.operator._token}"}
    try:
        req = urllib.request.Request(url, headers=headers)
        with urllib.request.urlopen(req, timeout=timeout_s) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read() or b"{}")


def find_leader(cluster, other_than=""):
    """Returns the name of a controller that serves the view as the leader, or an empty string."""
    for name in cluster.controllers:
        if name == other_than:
            continue
        try:
            if get_json(cluster, name, "/v1/view", timeout_s=0.5)[0] == 200:
                return name
        except OSError:
            pass
    return ""


def wait_for_leader(cluster, other_than=""):
    leaders = []
    cluster.wait_for(
        lambda: leaders.append(find_leader(cluster, other_than)) or leaders[-1], "a leader"
    )
    return leaders[-1]


def assert_stored(cluster, accepted):
    stored_keys = cluster.operator.view()["keys"]
    assert [key_id for key_id in accepted if key_id not in stored_keys] == []


def wait_until_equal(cluster):
    def versions_equal():
        states = [get_json(cluster, name)[1] for name in cluster.controllers]
        return len({(s["version"], s["commit"], tuple(s["voters"])) for s in states}) == 1

    cluster.wait_for(versions_equal, "equal versions on all controllers")


def replace_disk(cluster, name):
    """Restarts a controller with an empty data folder and waits until it is a voter again."""
    cluster.kill(name)
    shutil.rmtree(cluster.folder / f"{name}-data")
    cluster.start_process(name)

    def has_rejoined():
        _, status = get_json(cluster, name)
        return status["replica"] in status["voters"] and len(status["voters"]) == 3

    cluster.wait_for(has_rejoined, f"{name} as a voter again")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("controllers"), PLAN) as running:
        running.apply()
        yield running


@pytest.fixture(autouse=True)
def restore_cluster(cluster):
    yield
    for forwarder in cluster.forwarders.values():
        forwarder.to_target = forwarder.from_target = LinkState.OPEN
    for name in cluster.controllers:
        cluster.signal(name, signal.SIGCONT)
        if cluster.processes[name].poll() is not None:
            cluster.start_process(name)
    wait_for_leader(cluster)
    wait_until_equal(cluster)


def test_killed_leader_loses_no_accepted_change(cluster):
    """Guards against changes that are accepted before a majority of controllers has stored them."""
    with Load(cluster) as load:
        load.wait_for_more(cluster)
        leader = wait_for_leader(cluster)
        cluster.kill(leader)
        load.wait_for_more(cluster)
        cluster.start_process(leader)
    assert_stored(cluster, load.accepted)


def test_leader_frozen_past_its_lease_serves_no_stale_view(cluster):
    """Guards against a leader that, once resumed, serves an outdated view.

    While it was suspended, another controller was elected and committed a change.
    """
    leader = wait_for_leader(cluster)
    cluster.signal(leader, signal.SIGSTOP)
    # Also partitioned, so that it cannot learn of the new leader before it answers.
    for other in cluster.controllers:
        if other != leader:
            cluster.set_link_state(leader, other, LinkState.CUT)
            cluster.set_link_state(other, leader, LinkState.CUT)
    with ThreadPoolExecutor(4) as pool:
        pending_answers = [
            pool.submit(get_json, cluster, leader, "/v1/view", 20.0) for _ in range(4)
        ]
        wait_for_leader(cluster, other_than=leader)
        accepted = []
        issue(cluster.operator, accepted)
        assert accepted
        cluster.signal(leader, signal.SIGCONT)
        assert {answer.result()[0] for answer in pending_answers} == {421}
    assert_stored(cluster, accepted)


@pytest.mark.parametrize("can_send, can_receive", [(False, False), (False, True), (True, False)])
def test_partitioned_leader_is_replaced(cluster, can_send, can_receive):
    """Guards against a partitioned leader that keeps serving, or that prevents a new election.

    The partition is in both directions or in one of them.
    """
    leader = wait_for_leader(cluster)
    others = [name for name in cluster.controllers if name != leader]
    with Load(cluster) as load:
        load.wait_for_more(cluster)
        for other in others:
            cluster.set_link_state(leader, other, LinkState.OPEN if can_send else LinkState.CUT)
            cluster.set_link_state(other, leader, LinkState.OPEN if can_receive else LinkState.CUT)
        wait_for_leader(cluster, other_than=leader)
        assert get_json(cluster, leader, "/v1/view")[0] == 421
        load.wait_for_more(cluster)
    assert_stored(cluster, load.accepted)


def test_crash_right_after_a_disk_replacement_loses_no_accepted_change(cluster):
    """Guards against a new replica that counts towards a majority before it has every change.

    One controller lost its disk; another one fails as soon as the first is a voter again.
    """
    accepted = []
    with ThreadPoolExecutor(8) as pool:
        for _ in range(100):
            pool.submit(issue, cluster.operator, accepted)
    leader = wait_for_leader(cluster)
    replaced, other_follower = [name for name in cluster.controllers if name != leader]
    replace_disk(cluster, replaced)
    cluster.kill(other_follower)
    issue(cluster.operator, accepted, "after")
    assert_stored(cluster, accepted)
    assert accepted[-1].startswith("after")


def test_journal_with_an_incomplete_record_recovers_and_a_corrupt_one_is_refused(cluster):
    """Guards against a controller that starts with part of its journal, or fails with a traceback.

    Damage to synced records is refused with a message; an incomplete last record is truncated.
    """
    name = next(n for n in cluster.controllers if n != wait_for_leader(cluster))
    cluster.kill(name)
    journal = cluster.folder / f"{name}-data" / "journal"
    intact = journal.read_bytes()
    log = cluster.folder / f"{name}.log"
    log_size = len(log.read_bytes())
    journal.write_bytes(bytes([intact[0] ^ 0xFF]) + intact[1:])
    cluster.start_process(name)
    assert cluster.processes[name].wait(15) == 1
    output = log.read_bytes()[log_size:].decode()
    assert f"{journal} is damaged at byte 0" in output
    assert "empty the data folder" in output
    assert "Traceback" not in output
    journal.write_bytes(intact + intact[:20])
    cluster.start_process(name)
    wait_until_equal(cluster)


def test_restart_of_all_controllers_keeps_hundreds_of_changes(cluster):
    """Guards against changes that are missing from a snapshot or a compacted journal."""
    accepted = []
    with ThreadPoolExecutor(8) as pool:
        for _ in range(300):
            pool.submit(issue, cluster.operator, accepted)
    assert len(accepted) == 300
    for name in cluster.controllers:
        cluster.kill(name)
    for name in cluster.controllers:
        cluster.start_process(name)
    wait_for_leader(cluster)
    assert_stored(cluster, accepted)
    assert all((cluster.folder / f"{n}-data" / "snapshot").exists() for n in cluster.controllers)
