"""Controllers as real processes with real files: killed, frozen, cut off and with lost disks."""

import json
import shutil
import signal
import threading
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest

from geraniumtrack.operator_client import OperatorClient, Unavailable
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
    """Issues keys without a pause and notes which were accepted."""

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
        goal = len(self.accepted) + count
        cluster.wait_for(lambda: len(self.accepted) >= goal, "more accepted changes")


def issue(client, accepted, prefix="key"):
    key_id = f"{prefix}-{time.monotonic_ns()}-{threading.get_ident()}"
    body = {"team": "acme", "key_id": key_id, "digest": "00" * 32}
    try:
        status, _ = client.command("/v1/keys", body)
    except Unavailable:
        return
    if status == 200:
        accepted.append(key_id)


def ask(cluster, name, path="/v1/status", timeout_s=5.0):
    url = f"http://127.0.0.1:{cluster.http_ports[name]}{path}"
    headers = {"Authorization": f"Bearer {cluster.operator._token}"}
    try:
        req = urllib.request.Request(url, headers=headers)
        with urllib.request.urlopen(req, timeout=timeout_s) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read() or b"{}")


def serving(cluster, other_than=""):
    for name in cluster.controllers:
        if name == other_than:
            continue
        try:
            if ask(cluster, name, "/v1/view", timeout_s=0.5)[0] == 200:
                return name
        except OSError:
            pass
    return ""


def wait_for_leader(cluster, other_than=""):
    found = []
    cluster.wait_for(lambda: found.append(serving(cluster, other_than)) or found[-1], "a leader")
    return found[-1]


def assert_kept(cluster, accepted):
    held = cluster.operator.view()["keys"]
    assert [key_id for key_id in accepted if key_id not in held] == []


def wait_until_equal(cluster):
    def equal():
        states = [ask(cluster, name)[1] for name in cluster.controllers]
        return len({(s["version"], s["commit"], tuple(s["voters"])) for s in states}) == 1

    cluster.wait_for(equal, "equal versions on all controllers")


def replace_disk(cluster, name):
    cluster.kill(name)
    shutil.rmtree(cluster.folder / f"{name}-data")
    cluster.start_process(name)

    def repaired():
        _, status = ask(cluster, name)
        return status["replica"] in status["voters"] and len(status["voters"]) == 3

    cluster.wait_for(repaired, f"{name} votes again")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("controllers"), PLAN) as running:
        running.apply()
        yield running


@pytest.fixture(autouse=True)
def healed(cluster):
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
    """Guards against changes that are accepted before a majority holds them."""
    with Load(cluster) as load:
        load.wait_for_more(cluster)
        leader = wait_for_leader(cluster)
        cluster.kill(leader)
        load.wait_for_more(cluster)
        cluster.start_process(leader)
    assert_kept(cluster, load.accepted)


def test_leader_frozen_past_its_lease_serves_nothing_stale(cluster):
    """Guards against a view that was true before the freeze, served after a later change."""
    leader = wait_for_leader(cluster)
    cluster.signal(leader, signal.SIGSTOP)
    # Cut off as well, so that it cannot learn of its successor before it answers.
    for other in cluster.controllers:
        if other != leader:
            cluster.set_link_state(leader, other, LinkState.CUT)
            cluster.set_link_state(other, leader, LinkState.CUT)
    with ThreadPoolExecutor(4) as pool:
        asked = [pool.submit(ask, cluster, leader, "/v1/view", 20.0) for _ in range(4)]
        wait_for_leader(cluster, other_than=leader)
        accepted = []
        issue(cluster.operator, accepted)
        assert accepted
        cluster.signal(leader, signal.SIGCONT)
        assert {answer.result()[0] for answer in asked} == {421}
    assert_kept(cluster, accepted)


@pytest.mark.parametrize("heard, hears", [(False, False), (False, True), (True, False)])
def test_leader_that_is_cut_off_is_replaced(cluster, heard, hears):
    """Guards against a leader that goes on alone, and against one that blocks the others."""
    leader = wait_for_leader(cluster)
    others = [name for name in cluster.controllers if name != leader]
    with Load(cluster) as load:
        load.wait_for_more(cluster)
        for other in others:
            cluster.set_link_state(leader, other, LinkState.OPEN if heard else LinkState.CUT)
            cluster.set_link_state(other, leader, LinkState.OPEN if hears else LinkState.CUT)
        wait_for_leader(cluster, other_than=leader)
        assert ask(cluster, leader, "/v1/view")[0] == 421
        load.wait_for_more(cluster)
    assert_kept(cluster, load.accepted)


def test_second_loss_right_after_a_repair_keeps_every_change(cluster):
    """Guards against a new replica that counts for a majority before it holds every change."""
    accepted = []
    with ThreadPoolExecutor(8) as pool:
        for _ in range(100):
            pool.submit(issue, cluster.operator, accepted)
    leader = wait_for_leader(cluster)
    lost, second = [name for name in cluster.controllers if name != leader]
    replace_disk(cluster, lost)
    cluster.kill(second)
    issue(cluster.operator, accepted, "after")
    assert_kept(cluster, accepted)
    assert accepted[-1].startswith("after")


def test_torn_journal_recovers_and_a_corrupt_one_is_refused(cluster):
    """Guards against a traceback, and against a start with half a journal."""
    name = next(n for n in cluster.controllers if n != wait_for_leader(cluster))
    cluster.kill(name)
    journal = cluster.folder / f"{name}-data" / "journal"
    whole = journal.read_bytes()
    log = cluster.folder / f"{name}.log"
    end = len(log.read_bytes())
    journal.write_bytes(bytes([whole[0] ^ 0xFF]) + whole[1:])
    cluster.start_process(name)
    assert cluster.processes[name].wait(15) == 1
    said = log.read_bytes()[end:].decode()
    assert f"{journal} is damaged at byte 0" in said
    assert "empty the data folder" in said
    assert "Traceback" not in said
    journal.write_bytes(whole + whole[:20])
    cluster.start_process(name)
    wait_until_equal(cluster)


def test_restart_of_all_after_hundreds_of_changes(cluster):
    """Guards against changes that a snapshot or a shortened journal leaves out."""
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
    assert_kept(cluster, accepted)
    assert all((cluster.folder / f"{n}-data" / "snapshot").exists() for n in cluster.controllers)
