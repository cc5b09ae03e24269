"""Planned stops under load, with real processes: no request fails or is incomplete."""

import json
import signal
import threading
import time
import urllib.error
import urllib.request

import pytest

from standins.cluster import Cluster, Plan

CALLER_THREADS = 12
SETTLE_S = 1.0  # time for which a stopping entry still accepts requests
LONG_REQUEST_S = 3.0  # run time of a request in progress when the stop begins; exceeds SETTLE_S
READINESS_POLL_S = 0.2  # interval of the balancer's readiness checks; well below SETTLE_S


class Balancer:
    """Sends requests of several callers to ready entries, as the platform's balancer does.

    Attributes:
        ready: Entries that are ready, as of the last check.
        results: Outcome and duration in seconds of each request.
    """

    def __init__(self, cluster, key):
        self.cluster = cluster
        self.key = key
        self.ready = [entry for entry in cluster.entries if self._is_ready(entry)]
        self.results = []
        self._running = True
        self._threads = [threading.Thread(target=self._poll)]
        self._threads += [
            threading.Thread(target=self._call, args=(number,)) for number in range(CALLER_THREADS)
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
            time.sleep(READINESS_POLL_S)

    def _is_ready(self, entry):
        try:
            return self.cluster.request(entry, "GET", "/readyz", timeout_s=2)[0] == 200
        except OSError:
            return False

    def _call(self, first_number):
        request_number = first_number
        while self._running:
            request_number += 1
            ready = self.ready
            entry = ready[request_number % len(ready)]
            queue = "wholesale" if request_number % 4 == 0 else "proofs"
            self.results.append(
                self._send(entry, queue, request_number, 0.02 + 0.05 * (request_number % 3))
            )

    def call_once(self, entry, seconds):
        """Sends one request that runs for `seconds` through an entry."""
        self.results.append(self._send(entry, "wholesale", "long", seconds))

    def _send(self, entry, queue, path, seconds):
        sent_at = time.monotonic()
        body = json.dumps({"seconds": seconds}).encode()
        url = f"http://127.0.0.1:{self.cluster.http_ports[entry]}/v1/queues/{queue}/{path}"
        req = urllib.request.Request(
            url, data=body, headers={"Authorization": f"Bearer {self.key}"}, method="POST"
        )
        try:
            with urllib.request.urlopen(req, timeout=30) as response:
                complete = json.loads(response.read()).keys() == {"target", "task"}
                return ("complete" if complete else "incomplete"), time.monotonic() - sent_at
        except urllib.error.HTTPError as exc:
            return f"{exc.code} {json.loads(exc.read())['error']}", time.monotonic() - sent_at
        except (OSError, ValueError) as exc:
            return f"incomplete: {exc}", time.monotonic() - sent_at


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
    """Returns the target on which the long request was last started."""

    def recorded_starts():
        return [li.split() for li in cluster.record.read_text().splitlines() if " long" in li]

    cluster.wait_for(recorded_starts, "the start of the long request", timeout_s=5)
    return recorded_starts()[-1][2]


@pytest.mark.parametrize("kind", ["entry", "target", "controller"])
def test_planned_stop_under_load_fails_no_request(cluster, kind):
    """Guards against requests lost because an entry, a target or the leader is stopped on purpose.

    The process gets SIGTERM during a request that takes longer than the settle time.
    """
    name = {
        "entry": lambda: "e1a",
        "target": lambda: "",
        "controller": lambda: leading_controller(cluster),
    }[kind]()
    with Balancer(cluster, cluster.key) as balancer:
        time.sleep(1.0)
        entry = name if kind == "entry" else "e1b"
        long_request = threading.Thread(target=balancer.call_once, args=(entry, LONG_REQUEST_S))
        long_request.start()
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
        long_request.join(20)
    outcomes = {}
    for result in balancer.results:
        outcomes[result[0]] = outcomes.get(result[0], 0) + 1
    slowest = max(result[1] for result in balancer.results)
    print(f"{kind}: {outcomes}, slowest {slowest:.2f} s")
    assert set(outcomes) == {"complete"}, outcomes
    assert outcomes["complete"] > 100
