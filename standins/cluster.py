"""Starts a cluster of real processes on loopback, for tests, demo and measurements.

The launcher is not part of the system: it starts controllers, entries and stand-in targets as
separate processes, keeps their ids, and ends only those.
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

from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from geraniumtrack.operator_client import OperatorClient, OperatorSettings
from geraniumtrack.protocol.address import operator_token
from standins.forwarder import Forwarder, Way

__all__ = ["Cluster", "Plan", "brazos_bend", "free_ports"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class Plan:
    """What to start."""

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
    forwarded: bool = False  # whether controllers reach each other through forwarders
    trace: bool = False


def brazos_bend(plan: Plan) -> Fleet:
    """Returns the fleet of Brazos Bend over the pools and data centres of a plan."""
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
    """Returns ports that were free a moment ago."""
    holders = [socket.socket() for _ in range(count)]
    for holder in holders:
        holder.bind(("127.0.0.1", 0))
    ports = [holder.getsockname()[1] for holder in holders]
    for holder in holders:
        holder.close()
    return ports


class Cluster:
    """A running cluster.

    Args:
        folder: Where settings, data folders and logs go.
        plan: What to start.
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
        self._lay_out()

    def start(self) -> None:
        """Starts all processes, and waits until a controller leads."""
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
        give_up = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, give_up - time.monotonic()))
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
        """Starts a named process; its log is `<name>.log` in the folder."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self._arguments(name), stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process that this cluster started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it is gone."""
        self.processes[name].kill()
        self.processes[name].wait()

    def set_way(self, source: str, destination: str, way: Way) -> None:
        """Opens, cuts or freezes all that one controller sends to another, on any connection."""
        self.forwarders[(source, destination)].to_target = way
        self.forwarders[(destination, source)].from_target = way

    def apply(self, fleet: Fleet | None = None) -> dict[str, Any]:
        """Applies a fleet."""
        fleet = fleet or brazos_bend(self.plan)
        body = {
            "fleet": fleet.model_dump(),
            "expected_version": self.operator.view()["version"],
            "operator": "launcher",
        }
        status, reply = self.operator.command("/v1/fleet", body)
        if status != 200:
            raise RuntimeError(f"the fleet was refused: {reply}")
        return reply

    def issue_key(self, team: str, key_id: str = "") -> tuple[str, str]:
        """Issues a key; returns its id and the key."""
        from geraniumtrack.state.view import key_digest

        key = secrets.token_urlsafe(16)
        key_id = key_id or f"{team}-{secrets.token_hex(3)}"
        body = {"team": team, "key_id": key_id, "digest": key_digest(key).hex()}
        status, reply = self.operator.command("/v1/keys", body)
        if status != 200:
            raise RuntimeError(f"the key was refused: {reply}")
        return key_id, key

    def wait_ready(self) -> None:
        """Waits until every entry is ready and every target is admitted."""
        for name in self.entries:
            self.wait_for(lambda n=name: self.get(n, "/readyz")[0] == 200, f"{name} ready")
        self.wait_for(
            lambda: len(self.operator.view()["instances"]) >= len(self.targets), "targets admitted"
        )

    def wait_for(self, check: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Polls until a check is true.

        Raises:
            TimeoutError: Names what did not happen.
        """
        give_up = time.monotonic() + timeout_s
        while time.monotonic() < give_up:
            try:
                if check():
                    return
            except Exception:  # noqa: BLE001, S110 - not up yet
                pass
            time.sleep(0.1)
        raise TimeoutError(f"{what}: not within {timeout_s} s; see the logs in {self.folder}")

    def get(self, entry: str, path: str) -> tuple[int, bytes]:
        """Sends a GET to an entry."""
        return self.request(entry, "GET", path)

    def request(
        self,
        entry: str,
        method: str,
        path: str,
        *,
        key: str = "",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 40.0,
    ) -> tuple[int, bytes]:
        """Sends one request to an entry; returns status and body."""
        headers = dict(headers or {})
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://127.0.0.1:{self.http_ports[entry]}{path}"
        req = urllib.request.Request(url, data=body, method=method, headers=headers)
        try:
            with urllib.request.urlopen(req, timeout=timeout_s) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as exc:
            return exc.code, exc.read()

    def metrics(self, name: str) -> str:
        """Returns the metrics of an entry or a controller."""
        token = operator_token(self.secret_file.read_bytes().strip())
        return self.request(name, "GET", "/metrics", key=token)[1].decode()

    def command(self, *arguments: Any) -> str:
        """Runs the command line and returns its output."""
        run = subprocess.run(
            [sys.executable, "-m", "geraniumtrack", *map(str, arguments)],
            capture_output=True,
            text=True,
            check=True,
            stdin=subprocess.DEVNULL,
        )
        return run.stdout

    def _lay_out(self) -> None:
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
        self._lay_out_targets(ports[2 * len(names) :])
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

    def _lay_out_targets(self, ports: list[int]) -> None:
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
            "controllers": [self._peer(c, name) for c in self.controllers],
        }
        if name in self.controllers:
            body["kind"] = "controller"
            body["data_folder"] = str(self.folder / f"{name}-data")
            if self.plan.platform:
                body["platform_url"] = f"http://127.0.0.1:{self.platform_port}"
            body.update(self.plan.controller_settings)
        else:
            body["kind"] = "entry"
            body["settle_s"] = 0.2  # no balancer polls the entries of most tests
            body["entries"] = [self._peer(e) for e in self.entries]
            body.update(self.plan.entry_settings)
        if self.plan.trace:
            body["trace_file"] = str(self.folder / f"{name}.trace")
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(body, indent=2))
        return path

    def _peer(self, name: str, dialer: str = "") -> dict[str, Any]:
        forwarder = self.forwarders.get((dialer, name))
        return {
            "name": name,
            "data_centre": self.home[name],
            "host": "127.0.0.1",
            "port": forwarder.port if forwarder is not None else self.peer_ports[name],
        }

    def _arguments(self, name: str) -> list[str]:
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
