"""Clients that don't behave: processes live, stay within their limits, and serve other callers.

Each test starts a controller and an entry with small limits in their settings, lets a crowd of
clients send legal requests that they mostly don't finish, and sends one ordinary request while the
crowd's connections are still open. The bounds are the limits in the settings.
"""

from __future__ import annotations

import json
import signal
import time

import pytest

from geraniumtrack.protocol.address import Address
from soak.programs import (
    CONTROL_PORT,
    FIRST_PEER_PORT,
    FRONT_PORT,
    READY_PORT,
    Layout,
    Program,
)
from standins.cluster import Cluster, Plan
from tests.client_crowd import crowd, descriptors_in_use, http_status, peak_memory_mb

MEMORY_MB = 128
MAX_DESCRIPTORS = 450
START_TIMEOUT_S = 30.0
HOST = "crowd.example"
SUBNET = 90
BODY_BYTES = 250_000  # below the limit of 262,144 bytes
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "proofs",
            "host": HOST,
            "pathPrefix": "/proofs/",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "backend": "proofdesk",
            "public": True,
        }
    ],
    "backends": [{"name": "proofdesk"}],
    "tenants": [],
}
ORDINARY_JOB = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 1000}]}).encode()


def head(method: str, path: str, *lines: str) -> bytes:
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines, "", ""]).encode()


def with_length(method: str, path: str, body: bytes) -> bytes:
    return head(method, path, f"Content-Length: {len(body)}") + body


def chunked(method: str, path: str, body: bytes, chunk_bytes: int) -> bytes:
    """Returns a request with a chunked body, without the last chunk that ends it."""
    chunks = (body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes))
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head(method, path, "Transfer-Encoding: chunked") + framed


def short_header_lines() -> bytes:
    """Returns a request with as many short lines as fit the limit, without its end."""
    names = (f"{number:x}:1" for number in range(10**6))
    lines, size = [], 0
    while size < 15_000:
        lines.append(next(names))
        size += len(lines[-1]) - 1
    return head("GET", "/proofs/", *lines)[:-2]


def job_path(number: int) -> str:
    return f"/proofs/{number:016x}"


def ordinary_request(number: int) -> bytes:
    return with_length("POST", job_path(number), ORDINARY_JOB)


class System:
    """A controller and an entry with small limits.

    Args:
        layout: Loopback addresses.
        folder: Folder for settings, data and output of the processes.
    """

    def __init__(self, layout: Layout, folder) -> None:
        core_ip, front_ip = layout.ip(1, 0), layout.ip(2, 0)
        self.control = Address(core_ip, CONTROL_PORT)
        self.callers = Address(front_ip, FRONT_PORT)
        self.readiness = Address(front_ip, READY_PORT)
        self.metrics = Address(front_ip, FIRST_PEER_PORT + 1)
        self.operators = Address(core_ip, FIRST_PEER_PORT + 1)
        self.links = Address(core_ip, FIRST_PEER_PORT)
        self.core, self.front = (
            Program(
                name=f"{role}-0",
                role=role,
                ip=ip,
                zone="z1",
                peer_port=FIRST_PEER_PORT,
                folder=folder / role,
                seeds=[f"{core_ip}:{CONTROL_PORT}"],
                machines=layout.machines,
                memory_mb=MEMORY_MB,
                max_descriptors=MAX_DESCRIPTORS,
            )
            for role, ip in (("core", core_ip), ("front", front_ip))
        )

    def start(self) -> None:
        """Starts both processes, and waits until the entry serves callers."""
        self.core.start()
        self.front.start()
        document = with_length("PUT", "/config", json.dumps(CONFIG).encode())
        self.wait_for_status(self.control, document, 200)
        self.wait_for_status(self.readiness, head("GET", "/ready"), 200)

    def check(self, program: Program) -> None:
        """Checks that a process runs, and stays within its memory and descriptors."""
        assert not program.ended
        peak = peak_memory_mb(program.process.pid)
        assert peak < MEMORY_MB, f"{peak:.0f} MB"
        in_use = descriptors_in_use(program.process.pid)
        assert in_use < MAX_DESCRIPTORS, f"{in_use} descriptors"

    @staticmethod
    def wait_for_status(address: Address, request: bytes, status: int) -> None:
        """Repeats a request until its answer has a status."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                if http_status(address, request) == status:
                    return
            except OSError:
                pass  # the port is not open yet
            assert time.monotonic() < deadline, f"{address} does not answer"
            time.sleep(0.1)


@pytest.fixture
def system(tmp_path):
    """Runs a controller and an entry."""
    layout = Layout.reserve(SUBNET)
    running = System(layout, tmp_path)
    try:
        running.start()
        yield running
    finally:
        running.front.kill()
        running.core.kill()
        layout.reservation.close()


TEXT_JOB = b'{"spec":"' + b"x" * BODY_BYTES
STEPS_JOB = b'{"spec":"x","steps":[' + b",".join([b'{"count":1}'] * (BODY_BYTES // 12)) + b"]}"
NO_STEPS_JOB = b'{"spec":"x","steps":[' + b",".join([b"0"] * (BODY_BYTES // 2)) + b"]}"
MANY_TASKS_JOB = json.dumps({"spec": "x", "steps": [{"count": 100_000, "cpu": 1}]}).encode()
LONG_SPEC_JOB = json.dumps({"spec": "x" * BODY_BYTES, "steps": [{"count": 1, "cpu": 1}]}).encode()
CALLER_CROWDS = {
    "chunks of 2 bytes": (60, lambda n: chunked("POST", job_path(n), TEXT_JOB, 2)),
    "chunks of 8 bytes": (120, lambda n: chunked("POST", job_path(n), TEXT_JOB, 8)),
    "large chunks": (400, lambda n: chunked("POST", job_path(n), TEXT_JOB, 16_384)),
    "lengths given": (400, lambda n: with_length("POST", job_path(n), TEXT_JOB)[:-1]),
    "short header lines": (300, lambda n: short_header_lines()),
    "one long header line": (100, lambda n: b"GET / HTTP/1.1\r\na: " + b"x" * 2_000_000),
    "one long trailer line": (
        100,
        lambda n: chunked("POST", job_path(n), b"{}", 2) + b"0\r\na: " + b"x" * 2_000_000,
    ),
    "jobs of many steps": (40, lambda n: with_length("POST", job_path(n), STEPS_JOB)),
    "jobs of many tasks": (20, lambda n: with_length("POST", job_path(n), MANY_TASKS_JOB)),
    "jobs of long texts": (400, lambda n: with_length("POST", job_path(n), LONG_SPEC_JOB)),
    "steps that are no steps": (10, lambda n: with_length("POST", job_path(n), NO_STEPS_JOB)),
}


@pytest.mark.parametrize("kind", CALLER_CROWDS)
def test_an_entry_outlives_a_crowd_of_callers(system, kind):
    """Guards against an entry that runs out of memory while requests of legal size arrive."""
    count, payload = CALLER_CROWDS[kind]
    with crowd(system.callers, [payload(number) for number in range(count)]):
        assert http_status(system.callers, ordinary_request(10**6)) == 200
    system.check(system.front)
    system.check(system.core)


def test_an_entry_outlives_callers_that_read_no_answers(system):
    """Guards against answers, and calls in progress, that pile up behind unread answers."""
    calls = [head("GET", job_path(number)) * 20_000 for number in range(100)]
    with crowd(system.callers, calls, reads=False):
        assert http_status(system.callers, ordinary_request(10**6)) == 200
    system.check(system.front)
    system.check(system.core)


def test_an_entry_outlives_calls_that_wait_for_the_owner(system):
    """Guards against calls that occupy many times the memory of their bodies until an answer."""
    calls = [with_length("POST", job_path(number), STEPS_JOB) for number in range(40)]
    system.core.signal(signal.SIGSTOP)
    with crowd(system.callers, calls):
        system.core.signal(signal.SIGCONT)
        system.wait_for_status(system.callers, ordinary_request(10**6), 200)
    system.check(system.front)
    system.check(system.core)


@pytest.mark.parametrize("sent", [b"", b"GET / HTTP/1.1\r\n"], ids=["nothing", "a first line"])
def test_a_full_connection_table_does_not_lock_callers_out(system, sent):
    """Guards against an entry whose descriptors are all in use by connections that send little."""
    with crowd(system.callers, [sent] * (MAX_DESCRIPTORS + 50)):
        system.check(system.front)
        assert http_status(system.callers, ordinary_request(10**6)) == 200
    system.check(system.front)


LARGE_CONFIG = b'{"version":2,"routes":[],"backends":[],"note":"' + b"x" * 4_000_000
CONFIG_WITHOUT_ROUTES = b'{"version":2,"backends":[],"routes":[' + b"0," * 400_000 + b"0]}"
CONTROL_CROWDS = {
    "lengths given": (40, lambda n: with_length("PUT", "/config", LARGE_CONFIG)[:-1]),
    "chunks of 8 bytes": (10, lambda n: chunked("PUT", "/config", LARGE_CONFIG[:1_000_000], 8)),
    "whole configurations": (40, lambda n: with_length("PUT", "/config", LARGE_CONFIG + b'"}')),
    "routes that are no routes": (
        5,
        lambda n: with_length("PUT", "/config", CONFIG_WITHOUT_ROUTES),
    ),
    "heartbeats": (
        200,
        lambda n: chunked("PUT", f"/instances/w{n}", LARGE_CONFIG[:BODY_BYTES], 8),
    ),
}


@pytest.mark.parametrize("kind", CONTROL_CROWDS)
def test_a_controller_outlives_a_crowd_on_its_control_port(system, kind):
    """Guards against a controller that runs out of memory while configurations arrive."""
    count, payload = CONTROL_CROWDS[kind]
    with crowd(system.control, [payload(number) for number in range(count)]):
        assert http_status(system.control, head("GET", "/config")) == 200
    system.check(system.core)


def test_a_controller_outlives_operators_that_read_no_answers(system):
    """Guards against copies of the configuration that pile up behind unread answers."""
    document = json.dumps({**CONFIG, "version": 2, "note": "x" * 1_000_000}).encode()
    assert http_status(system.control, with_length("PUT", "/config", document)) == 200
    reads = [head("GET", "/config") * 100] * 40
    with crowd(system.control, reads, reads=False):
        assert http_status(system.control, head("GET", "/config")) == 200
    system.check(system.core)


@pytest.mark.parametrize("port", ["readiness", "metrics", "operators"])
def test_bodies_on_the_small_ports_stay_within_memory(system, port):
    """Guards against a port for requests without bodies that keeps bodies of any size."""
    address = getattr(system, port)
    request = with_length("POST", "/", b"x" * 4_000_000)[:-1]
    with crowd(address, [request] * 40):
        assert http_status(address, head("GET", "/ready")) == 200
    system.check(system.front)
    system.check(system.core)


UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
LARGE_FRAME = b"\x82\xff" + (4_000_000).to_bytes(8, "big") + b"\0\0\0\0" + b"x" * 3_999_999
SMALL_FRAMES = b"\x02\x81\0\0\0\0x" + b"\x00\x81\0\0\0\0x" * 500_000
LINK_CROWDS = {
    "large messages": [UPGRADE + LARGE_FRAME] * 40,
    "messages of many frames": [UPGRADE + SMALL_FRAMES] * 10,
    "connections": [b""] * (MAX_DESCRIPTORS + 50),
}


@pytest.mark.parametrize("kind", LINK_CROWDS)
def test_a_controller_outlives_unauthenticated_peers(system, kind):
    """Guards against a controller that keeps what peers send before they are authenticated."""
    with crowd(system.links, LINK_CROWDS[kind]):
        system.check(system.core)
        assert http_status(system.callers, ordinary_request(10**6)) == 200
    system.check(system.core)


ENTRY_MEMORY_MB = 256  # of a node, in CONTRIBUTING.md
ENTRY_MAX_DESCRIPTORS = 1200  # 1,000 connections and 200 others
ENTRY_CLIENTS = 700
ENTRY_CROWDS = {
    "chunks of 2 KB": chunked("POST", "/v1/queues/proofs", b"x" * 900_000, 2048),
    "lengths given": with_length("POST", "/v1/queues/proofs", b"x" * 900_000)[:-1],
    "short header lines": short_header_lines(),
}


@pytest.mark.parametrize("kind", ENTRY_CROWDS)
def test_an_entry_daemon_outlives_a_crowd_of_callers(tmp_path, kind):
    """Guards against an entry that runs out of memory, or opens a temporary file for each body."""
    plan = Plan(data_centres=("dc1",), controllers=1, entries_per_data_centre=1, targets_per_pool=0)
    with Cluster(tmp_path, plan) as cluster:
        (entry,) = cluster.entries
        cluster.wait_for(lambda: cluster.get(entry, "/healthz")[0] == 200, "a running entry")
        address = Address("127.0.0.1", cluster.http_ports[entry])
        process = cluster.processes[entry]
        with crowd(address, [ENTRY_CROWDS[kind]] * ENTRY_CLIENTS):
            assert process.poll() is None
            assert descriptors_in_use(process.pid) < ENTRY_MAX_DESCRIPTORS
            assert http_status(address, head("GET", "/healthz")) == 200
        assert peak_memory_mb(process.pid) < ENTRY_MEMORY_MB
