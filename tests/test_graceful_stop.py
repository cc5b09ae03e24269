"""Planned stops under load, with separate processes: no request is cut."""

import json
import signal
import threading
import time
import urllib.error
import urllib.request

import pytest

from standins.cluster import Cluster, Plan

CALLERS = 12
SETTLE_S = 1.0
LONG_S = 3.0  # of a request under way when the stop begins; longer than the settle time
POLL_S = 0.2  # how often the balancer asks for readiness; well within the settle time


class Balancer:
    """Sends requests of several callers to ready entries, as the platform's balancer does."""

    def __init__(self, cluster, key):
        self.cluster = cluster
        self.key = key
        self.ready = [entry for entry in cluster.entries if self._is_ready(entry)]
        self.results = []
        self._running = True
        self._threads = [threading.Thread(target=self._poll)]
        self._threads += [
            threading.Thread(target=self._call, args=(number,)) for number in range(CALLERS)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self._running = False
        for thread in self._threads:
            thread.join(40)

    def _poll(self):
        while self._running:
            self.ready = [entry for entry in self.cluster.entries if self._is_ready(entry)]
            time.sleep(POLL_S)

    def _is_ready(self, entry):
        try:
            return self.cluster.request(entry, "GET", "/readyz", timeout_s=2)[0] == 200
        except OSError:
            return False

    def _call(self, number):
        turn = number
        while self._running:
            turn += 1
            ready = self.ready
            entry = ready[turn % len(ready)]
            queue = "wholesale" if turn % 4 == 0 else "proofs"
            self.results.append(self._send(entry, queue, turn, 0.02 + 0.05 * (turn % 3)))

    def call_once(self, entry, seconds):
        self.results.append(self._send(entry, "wholesale", "long", seconds))

    def _send(self, entry, queue, turn, seconds):
        started = time.monotonic()
        body = json.dumps({"seconds": seconds}).encode()
        url = f"http://127.0.0.1:{self.cluster.http_ports[entry]}/v1/queues/{queue}/{turn}"
        req = urllib.request.Request(
            url, data=body, headers={"Authorization": f"Bearer {self.key}"}, method="POST"
        )
        try:
            with urllib.request.urlopen(req, timeout=30) as response:
                whole = json.loads(response.read()).keys() == {"target", "task"}
                return ("whole" if whole else "cut"), time.monotonic() - started
        except urllib.error.HTTPError as exc:
            return f"{exc.code} {json.loads(exc.read())['error']}", time.monotonic() - started
        except (OSError, ValueError) as exc:
            return f"cut: {exc}", time.monotonic() - started


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    plan = Plan(
        data_centres=("dc1", "dc2"),
        pools=("proofs", "wholesale"),
        targets_per_pool=4,
        entry_settings={"settle_s": SETTLE_S},
    )
    with Cluster(tmp_path_factory.mktemp("stops"), plan) as running:
        running.apply()
        running.wait_ready()
        _, running.key = running.issue_key("acme")
        for entry in running.entries:
            running.wait_for(
                lambda e=entry: running.request(
                    e, "POST", "/v1/queues/proofs", key=running.key, body=b"{}"
                )[0]
                == 200,
                f"a first answer through {entry}",
            )
        yield running


def leading_controller(cluster):
    return next(s["name"] for s in cluster.operator.statuses() if s.get("role") == "leader")


def target_of_long_request(cluster):
    def lines():
        return [li.split() for li in cluster.record.read_text().splitlines() if " long" in li]

    cluster.wait_for(lines, "the start of the long request", timeout_s=5)
    return lines()[-1][2]


@pytest.mark.parametrize("kind", ["entry", "target", "controller"])
def test_planned_stop_under_load_cuts_no_request(cluster, kind):
    """Guards against requests lost by an entry, a leading controller or a target that stops."""
    name = {
        "entry": lambda: "e1a",
        "target": lambda: "",
        "controller": lambda: leading_controller(cluster),
    }[kind]()
    with Balancer(cluster, cluster.key) as balancer:
        time.sleep(1.0)
        entry = name if kind == "entry" else "e1b"
        long = threading.Thread(target=balancer.call_once, args=(entry, LONG_S))
        long.start()
        time.sleep(0.3)
        if kind == "target":
            name = target_of_long_request(cluster)
        cluster.signal(name, signal.SIGTERM)
        assert cluster.processes[name].wait(20) == 0
        time.sleep(1.0)
        cluster.start_process(name)
        if kind == "entry":
            cluster.wait_for(lambda: cluster.get(name, "/readyz")[0] == 200, "the entry's return")
        time.sleep(1.0)
        long.join(20)
    kinds = {}
    for result in balancer.results:
        kinds[result[0]] = kinds.get(result[0], 0) + 1
    slowest = max(result[1] for result in balancer.results)
    print(f"{kind}: {kinds}, slowest {slowest:.2f} s")
    assert set(kinds) == {"whole"}, kinds
    assert kinds["whole"] > 100
