"""Starts a cluster of real processes on the loopback interface, for tests, demo and benchmarks.

The launcher is not part of the system. It runs controllers, entries, stand-in targets and, if
configured, a stand-in platform as separate processes, and ends only processes that it started.
"""

from __future__ import annotations

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from geraniumtrack.cli.operator_client import OperatorClient, OperatorSettings
from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from geraniumtrack.protocol.address import operator_token
from standins.forwarder import Forwarder, LinkState

__all__ = ["Cluster", "Plan", "default_fleet", "free_ports"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class Plan:
    """Size and settings of a cluster.

    Attributes:
        data_centres: Names of the data centres.
        controllers: Number of controllers; they are placed in the data centres in turn.
        entries_per_data_centre: Number of entries in each data centre.
        targets_per_pool: Number of targets in each pool; they are placed in the data centres in
            turn.
        pools: Names of the pools; the default fleet has one queue for each of them.
        slots: Tasks that each target runs at once.
        platform: Whether to start a stand-in platform.
        reboot_s: Seconds that a reboot by the stand-in platform takes.
        entry_settings: Settings that override those of every entry.
        controller_settings: Settings that override those of every controller.
        forwarded: Whether controllers reach each other through forwarders, which can cut or freeze
            the links between them.
        trace: Whether controllers and entries write trace files.
    """

    data_centres: tuple[str, ...] = ("dc1", "dc2", "dc3", "dc4")
    controllers: int = 3
    entries_per_data_centre: int = 2
    targets_per_pool: int = 8
    pools: tuple[str, ...] = ("proofs", "mockups", "retail", "wholesale", "back-office")
    slots: int = 8
    platform: bool = False
    reboot_s: float = 1.0
    entry_settings: dict[str, Any] = field(default_factory=dict)
    controller_settings: dict[str, Any] = field(default_factory=dict)
    forwarded: bool = False
    trace: bool = False


def default_fleet(plan: Plan) -> Fleet:
    """Returns a fleet modelled on `examples/brazos_bend.py`, for the pools of a plan.

    Each pool has a queue of the same name. The pool `back-office` lends its instances to the other
    pools, and the queue `preview` needs no key.
    """
    urgent = ("proofs", "mockups")
    return Fleet(
        data_centres=[DataCentre(name=name) for name in plan.data_centres],
        pools=[
            Pool(name=name, max_unavailable=2, spare=name == "back-office") for name in plan.pools
        ],
        queues=[
            Queue(
                name=name,
                pool=name,
                urgency="urgent" if name in urgent else "normal",
                idempotent=name != "wholesale",
            )
            for name in plan.pools
        ]
        + [Queue(name="preview", pool=plan.pools[0], open=True, idempotent=True)],
        teams=[
            Team(name="acme", share=3.0, limit=40),
            Team(name="burr-oak", share=2.0, limit=24),
            Team(name="cedar", share=1.0, limit=16),
        ],
    )


def free_ports(count: int) -> list[int]:
    """Returns free ports; another process may take one of them before the caller listens on it."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Cluster:
    """A cluster of processes; as a context manager it starts and stops them.

    Args:
        folder: Folder for settings, data folders and logs.
        plan: Size and settings of the cluster.

    Attributes:
        processes: The latest process started under each name.
        forwarders: Forwarders by the names of the controller that connects and the one that it
            connects to; empty unless `plan.forwarded` is set.
        record: File in which the targets record the tasks that they start.
        secret_file: File with the secret that the programs and the operator share.
        controllers: Names of the controllers.
        entries: Names of the entries.
        targets: Options of each target by name.
        home: Data centre of each controller and entry.
        peer_ports: Port of each controller and entry for connections between programs.
        http_ports: Port of each controller and entry for HTTP requests.
        platform_port: Port of the stand-in platform.
        settings: Settings file of each controller and entry.
        operator: Client for the operator's calls.
        operator_file: Settings file for the operator's command line.
    """

    def __init__(self, folder: Path, plan: Plan | None = None) -> None:
        self.plan = plan or Plan()
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.forwarders: dict[tuple[str, str], Forwarder] = {}
        self.record = folder / "starts.txt"
        folder.mkdir(parents=True, exist_ok=True)
        self.secret_file = folder / "secret"
        self.secret_file.touch(mode=0o600)
        self.secret_file.write_text(secrets.token_hex(16))
        self._configure_processes()

    def start(self) -> None:
        """Starts all processes and waits until there is a leading controller."""
        for name in self.controllers:
            self.command("init-controller", self.settings[name])
            self.start_process(name)
        for name in self.entries:
            self.start_process(name)
        for name in self.targets:
            self.start_process(name)
        if self.plan.platform:
            self.start_process("platform")
        self.wait_for(lambda: "version" in self.operator.view(), "a leading controller")

    def stop(self) -> None:
        """Ends every process that this cluster started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for forwarder in self.forwarders.values():
            forwarder.stop()

    def __enter__(self) -> Cluster:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start_process(self, name: str) -> None:
        """Starts the process with a name; its output goes to `<name>.log` in the folder."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self._command_line(name), stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process that this cluster started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    def set_link_state(self, source: str, destination: str, state: LinkState) -> None:
        """Opens, cuts or freezes the direction from one controller to another.

        This applies to the connections that either of the two has opened.
        """
        self.forwarders[(source, destination)].to_target = state
        self.forwarders[(destination, source)].from_target = state

    def apply(self, fleet: Fleet | None = None) -> dict[str, Any]:
        """Applies a fleet, or the default one.

        Raises:
            RuntimeError: If the controllers reject it.
        """
        fleet = fleet or default_fleet(self.plan)
        body = {
            "fleet": fleet.model_dump(),
            "expected_version": self.operator.view()["version"],
            "operator": "launcher",
        }
        status, reply = self.operator.command("/v1/fleet", body)
        if status != 200:
            raise RuntimeError(f"the controllers rejected the fleet: {reply}")
        return reply

    def issue_key(self, team: str, key_id: str = "") -> tuple[str, str]:
        """Issues a key to a team; returns the key's id and the key.

        Raises:
            RuntimeError: If the controllers reject it.
        """
        from geraniumtrack.state.view import key_digest

        key = secrets.token_urlsafe(16)
        key_id = key_id or f"{team}-{secrets.token_hex(3)}"
        body = {"team": team, "key_id": key_id, "digest": key_digest(key).hex()}
        status, reply = self.operator.command("/v1/keys", body)
        if status != 200:
            raise RuntimeError(f"the controllers rejected the key: {reply}")
        return key_id, key

    def wait_ready(self) -> None:
        """Waits until every entry is ready and every target is admitted."""
        for name in self.entries:
            self.wait_for(lambda n=name: self.get(n, "/readyz")[0] == 200, f"{name} ready")
        self.wait_for(
            lambda: len(self.operator.view()["instances"]) >= len(self.targets), "targets admitted"
        )

    def wait_for(self, check: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Polls until a check returns a true value; a check that raises counts as false.

        Args:
            check: Function without arguments.
            what: The condition, for the error message.
            timeout_s: How long to poll.

        Raises:
            TimeoutError: If the check did not succeed in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                if check():
                    return
            except Exception:  # noqa: BLE001, S110 - the process may still be starting
                pass
            time.sleep(0.1)
        raise TimeoutError(f"{what}: timed out after {timeout_s} s; see the logs in {self.folder}")

    def get(self, name: str, path: str) -> tuple[int, bytes]:
        """Sends a GET request to an entry or a controller; returns status and body."""
        return self.request(name, "GET", path)

    def request(
        self,
        name: str,
        method: str,
        path: str,
        *,
        key: str = "",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 40.0,
    ) -> tuple[int, bytes]:
        """Sends one request to an entry or a controller; returns status and body."""
        headers = dict(headers or {})
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://127.0.0.1:{self.http_ports[name]}{path}"
        req = urllib.request.Request(url, data=body, method=method, headers=headers)
        try:
            with urllib.request.urlopen(req, timeout=timeout_s) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as exc:
            return exc.code, exc.read()

    def metrics(self, name: str) -> str:
        """Returns the metrics page of an entry or a controller."""
        token = operator_token(self.secret_file.read_bytes().strip())
        return self.request(name, "GET", "/metrics", key=token)[1].decode()

    def command(self, *arguments: Any) -> str:
        """Runs a command of the `geraniumtrack` command line and returns its output."""
        run = subprocess.run(
            [sys.executable, "-m", "geraniumtrack", *map(str, arguments)],
            capture_output=True,
            text=True,
            check=True,
            stdin=subprocess.DEVNULL,
        )
        return run.stdout

    def _configure_processes(self) -> None:
        plan = self.plan
        self.controllers = [f"c{i + 1}" for i in range(plan.controllers)]
        self.entries = [
            f"e{d + 1}{chr(ord('a') + i)}"
            for d in range(len(plan.data_centres))
            for i in range(plan.entries_per_data_centre)
        ]
        self.home = {
            **{
                c: plan.data_centres[i % len(plan.data_centres)]
                for i, c in enumerate(self.controllers)
            },
            **{e: plan.data_centres[int(e[1:-1]) - 1] for e in self.entries},
        }
        names = self.controllers + self.entries
        ports = free_ports(2 * len(names) + len(plan.pools) * plan.targets_per_pool + 1)
        self.platform_port = ports.pop()
        self.peer_ports = dict(zip(names, ports, strict=False))
        self.http_ports = dict(zip(names, ports[len(names) :], strict=False))
        self._configure_targets(ports[2 * len(names) :])
        if plan.forwarded:
            self._start_forwarders()
        self.settings = {name: self._write_settings(name) for name in names}
        operator = {
            "controllers": [f"http://127.0.0.1:{self.http_ports[c]}" for c in self.controllers],
            "entries": [f"http://127.0.0.1:{self.http_ports[e]}" for e in self.entries],
            "entry_data_centres": {
                f"http://127.0.0.1:{self.http_ports[e]}": self.home[e] for e in self.entries
            },
            "secret_file": str(self.secret_file),
        }
        self.operator_file = self.folder / "operator.json"
        self.operator_file.write_text(json.dumps(operator, indent=2))
        self.operator = OperatorClient(OperatorSettings.model_validate(operator))

    def _configure_targets(self, ports: list[int]) -> None:
        plan = self.plan
        self.targets: dict[str, dict[str, Any]] = {}
        for pool in plan.pools:
            for i in range(plan.targets_per_pool):
                data_centre = plan.data_centres[i % len(plan.data_centres)]
                entries = [e for e in self.entries if self.home[e] == data_centre]
                name = f"{pool}-{i + 1}"
                self.targets[name] = {
                    "name": name,
                    "data_centre": data_centre,
                    # Two pools share a rack in each data centre.
                    "rack": f"{data_centre}-r{plan.pools.index(pool) * 2 // 4 + 1}",
                    "pool": pool,
                    "port": ports[len(self.targets)],
                    "entries": ",".join(f"127.0.0.1:{self.http_ports[e]}" for e in entries),
                    "slots": plan.slots,
                    "record": str(self.record),
                }

    def _start_forwarders(self) -> None:
        pairs = [(a, b) for a in self.controllers for b in self.controllers if a != b]
        for pair in pairs:
            self.forwarders[pair] = Forwarder(0, self.peer_ports[pair[1]])

    def _write_settings(self, name: str) -> Path:
        body = {
            "name": name,
            "data_centre": self.home[name],
            "peer_listen": {"host": "127.0.0.1", "port": self.peer_ports[name]},
            "http_listen": {"host": "127.0.0.1", "port": self.http_ports[name]},
            "secret_file": str(self.secret_file),
            "controllers": [self._peer_settings(c, name) for c in self.controllers],
        }
        if name in self.controllers:
            body["kind"] = "controller"
            body["data_folder"] = str(self.folder / f"{name}-data")
            if self.plan.platform:
                body["platform_url"] = f"http://127.0.0.1:{self.platform_port}"
            body.update(self.plan.controller_settings)
        else:
            body["kind"] = "entry"
            # A stopping entry waits this long for load balancers to notice; most tests have none.
            body["settle_s"] = 0.2
            body["entries"] = [self._peer_settings(e) for e in self.entries]
            body.update(self.plan.entry_settings)
        if self.plan.trace:
            body["trace_file"] = str(self.folder / f"{name}.trace")
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(body, indent=2))
        return path

    def _peer_settings(self, name: str, dialer: str = "") -> dict[str, Any]:
        forwarder = self.forwarders.get((dialer, name))
        return {
            "name": name,
            "data_centre": self.home[name],
            "host": "127.0.0.1",
            "port": forwarder.port if forwarder is not None else self.peer_ports[name],
        }

    def _command_line(self, name: str) -> list[str]:
        if name in self.targets:
            options = [f"--{key}={value}" for key, value in self.targets[name].items()]
            return [sys.executable, "-m", "standins.target", *options]
        if name == "platform":
            targets = {n: f"127.0.0.1:{t['port']}" for n, t in self.targets.items()}
            (self.folder / "platform.json").write_text(json.dumps(targets))
            return [
                sys.executable,
                "-m",
                "standins.platform",
                f"--port={self.platform_port}",
                f"--targets={self.folder / 'platform.json'}",
                f"--reboot_s={self.plan.reboot_s}",
            ]
        kind = "controller" if name in self.controllers else "entry"
        return [sys.executable, "-m", "geraniumtrack", kind, str(self.settings[name])]


if __name__ == "__main__":
    import tempfile

    with Cluster(Path(tempfile.mkdtemp()), Plan(pools=("proofs",), targets_per_pool=4)) as cluster:
        cluster.apply()
        cluster.wait_ready()
        _, team_key = cluster.issue_key("acme")
        time.sleep(1.5)
        print(cluster.request("e1a", "POST", "/v1/queues/proofs", key=team_key, body=b"{}"))
        print(os.listdir(cluster.folder))
