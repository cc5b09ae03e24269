"""The real programs of a soak as separate processes, with proxies between each two of them."""

from __future__ import annotations

import os
import re
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from geraniumtrack.protocol.address import Address
from soak.proxy import Proxy

__all__ = ["Cluster", "Layout", "Program"]

ROOT = Path(__file__).resolve().parent.parent
FAULT_EVENT = re.compile(r" event=(call_failed|owner_work_failed) ")
CONTROL_PORT, FRONT_PORT, READY_PORT, MACHINES_PORT = 8345, 8340, 8343, 8344
RESERVED_PORT = 17999
FIRST_SUBNET, SUBNET_COUNT = 10, 200  # range of the second byte of the loopback addresses
FIRST_PEER_PORT = 17000
PEER_PORTS = 10  # reserved for each process
ZONES = ("z1", "z2", "z3", "z4")
GRACE_PERIOD_S = 6


@dataclass(frozen=True, slots=True)
class Layout:
    """Loopback addresses of one soak.

    Attributes:
        subnet: Second byte of the addresses; it differs between soaks that run at the same time.
        reservation: Listening socket that keeps other soaks from using the subnet.
    """

    subnet: int
    reservation: socket.socket

    @classmethod
    def reserve(cls, first: int) -> Layout:
        """Reserves the first free subnet.

        Args:
            first: Where to begin the search; it is reduced modulo the number of subnets.

        Raises:
            RuntimeError: If other soaks use all subnets.
        """
        for number in range(first, first + SUBNET_COUNT):
            subnet = FIRST_SUBNET + number % SUBNET_COUNT
            try:
                return cls(subnet, socket.create_server((f"127.{subnet}.9.1", RESERVED_PORT)))
            except OSError:
                continue  # another soak uses this subnet
        raise RuntimeError(f"all {SUBNET_COUNT} loopback subnets are in use; end other soaks")

    def ip(self, kind: int, index: int) -> str:
        """Returns the loopback address of a program or stand-in.

        Args:
            kind: Third byte of the address: 1 for controllers, 2 for entries, 3 for workers, 4 for
                the proxies before workers, 5 for the machine API.
            index: Index among those of the kind, from 0.
        """
        return f"127.{self.subnet}.{kind}.{index + 1}"

    @property
    def machines(self) -> Address:
        """Address on which the machine API listens."""
        return Address(self.ip(5, 0), MACHINES_PORT)


@dataclass(slots=True)
class Program:
    """A program that is run as a process, and can be restarted.

    Attributes:
        name: Name of the node.
        role: `core` (a controller) or `front` (an entry).
        ip: Loopback address.
        zone: Data centre.
        peer_port: First of the ports for connections between programs.
        folder: Folder for settings, data and output.
        seeds: Addresses of controllers in the settings.
        machines: Address of the machine API.
        expected_running: Whether the process should run; it has failed if it ends meanwhile.
        bootstrap: Whether the settings say that the whole system starts for the first time.
        memory_mb: Memory of the machine in MB, according to the settings.
        max_descriptors: Limit of open descriptors, according to the settings.
        process: The latest process, or None.
        failures: Descriptions of the unexpected ends of the process.
    """

    name: str
    role: str
    ip: str
    zone: str
    peer_port: int
    folder: Path
    seeds: list[str]
    machines: Address
    expected_running: bool = False
    bootstrap: bool = True
    memory_mb: int = 300
    max_descriptors: int = 4100
    process: subprocess.Popen | None = None
    failures: list[str] = field(default_factory=list)

    @property
    def data(self) -> Path:
        """Data folder, which stands for the disk of the node."""
        return self.folder / "data"

    @property
    def ended(self) -> bool:
        """Whether no process of the program runs."""
        return self.process is None or self.process.poll() is not None

    def write_settings(self) -> None:
        """Writes the settings file in the platform's format."""
        ports = f"[{self.peer_port}, {self.peer_port + PEER_PORTS - 1}]"
        lines = [
            f'nodeName = "{self.name}"',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f"internalPortRange = {ports}",
            f"seeds = {self.seeds}".replace("'", '"'),
            f"bootstrap = {str(self.bootstrap).lower()}",
            f'dataDir = "{self.data if self.role == "core" else ""}"',
            "[bindAddresses]",
            f'front = "{self.ip}:{FRONT_PORT}"',
            f'ready = "{self.ip}:{READY_PORT}"',
            f'control = "{self.ip}:{CONTROL_PORT}"',
            "[limits]",
            f"memoryMb = {self.memory_mb}",
            f"maxFds = {self.max_descriptors}",
            "[faultTolerance]",
            "machines = 1",
            "[bounds]",
            f"graceS = {GRACE_PERIOD_S}",
            "[cloudApi]",
            f'address = "{self.machines.host}:{self.machines.port}"',
        ]
        (self.folder / "boot.toml").write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Starts the process; its output goes to `output.log` in the folder."""
        self.data.mkdir(parents=True, exist_ok=True)
        self.write_settings()
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT),
            "GERANIUMTRACK_BOOT": str(self.folder / "boot.toml"),
        }
        with (self.folder / "output.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "geraniumtrack.platform", self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.expected_running = True

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if not self.ended:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.expected_running = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe_data(self) -> None:
        """Deletes the data folder, as if the disk were lost; the process must have ended.

        The program then starts as part of a system that has been started before.
        """
        shutil.rmtree(self.data, ignore_errors=True)
        self.bootstrap = False

    def append_torn_write(self, garbage: bytes) -> None:
        """Appends garbage to the newest journal file, like a write torn by a loss of power."""
        files = [path for path in self.data.rglob("*") if path.is_file()]
        journals = [path for path in files if "journal" in path.name or "log" in path.name]
        if journals:
            with max(journals, key=lambda path: path.stat().st_mtime).open("ab") as file:
                file.write(garbage)

    def restart_if_failed(self) -> None:
        """Records an unexpected end of the process, and starts it again."""
        if self.expected_running and self.ended:
            self.failures.append(
                f"{self.name} ended unexpectedly with status {self.process.returncode}"
            )
            self.start()

    def reported_faults(self) -> list[str]:
        """Returns the log lines about faults in the program itself, which it survived."""
        path = self.folder / "output.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [f"{self.name}: {line}" for line in lines if FAULT_EVENT.search(line)]


class Cluster:
    """All programs of a soak and the proxies between them.

    Args:
        reactor: Twisted reactor.
        layout: Loopback addresses of the soak.
        folder: Folder for settings, data and output of the processes.
        cores: Number of controllers.
        fronts: Number of entries.

    Attributes:
        control_addresses: Addresses of the control ports of the controllers.
        programs: All programs, the controllers first.
        proxies: Proxies by the names of the program that connects and the one that it connects to.
    """

    def __init__(
        self, reactor: Any, layout: Layout, folder: Path, *, cores: int, fronts: int
    ) -> None:
        core_ips = [layout.ip(1, number) for number in range(cores)]
        front_ips = [layout.ip(2, number) for number in range(fronts)]
        self.control_addresses = [f"{ip}:{CONTROL_PORT}" for ip in core_ips]
        self.programs: list[Program] = []
        for number, ip in enumerate(core_ips + front_ips):
            role = "core" if number < cores else "front"
            name = f"{role}-{number}"
            self.programs.append(
                Program(
                    name=name,
                    role=role,
                    ip=ip,
                    zone=ZONES[number % len(ZONES)],
                    peer_port=FIRST_PEER_PORT + PEER_PORTS * number,
                    folder=folder / name,
                    seeds=self.control_addresses[:3],
                    machines=layout.machines,
                )
            )
        self.proxies: dict[tuple[str, str], Proxy] = {}
        for client in self.programs:
            for server in self.programs:
                if client is not server:
                    # Each program assumes that all others have the same peer port as itself.
                    self.proxies[client.name, server.name] = Proxy(
                        reactor,
                        Address(server.ip, client.peer_port),
                        Address(server.ip, server.peer_port),
                    )

    @property
    def cores(self) -> list[Program]:
        """The controllers."""
        return [program for program in self.programs if program.role == "core"]

    @property
    def fronts(self) -> list[Program]:
        """The entries."""
        return [program for program in self.programs if program.role == "front"]

    def open(self) -> Deferred:
        """Opens the ports of the proxies and starts the processes."""
        fut = gatherResults([proxy.open() for proxy in self.proxies.values()])
        return fut.addCallback(lambda _: [program.start() for program in self.programs])

    def proxies_between(self, one: Program, other: Program) -> list[Proxy]:
        """Returns the proxies for connections from `one` to `other` and from `other` to `one`."""
        return [self.proxies[one.name, other.name], self.proxies[other.name, one.name]]

    def close(self) -> None:
        """Kills the processes that this soak started."""
        for program in self.programs:
            program.kill()
