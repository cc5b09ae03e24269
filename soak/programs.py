"""The real programs as separate processes, with a proxy between each two of them."""

from __future__ import annotations

import os
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
CONTROL_PORT, FRONT_PORT, READY_PORT, MACHINES_PORT = 8345, 8340, 8343, 8344
RESERVED_PORT = 17999
FIRST_SLOT, SLOTS = 10, 200  # second byte of the loopback addresses
FIRST_PEER_PORT = 17000
PEER_PORTS = 10  # kept free for each process
ZONES = ("z1", "z2", "z3", "z4")
GRACE_S = 6


@dataclass(frozen=True, slots=True)
class Layout:
    """Loopback addresses of one soak; `slot` keeps soaks apart that run side by side.

    `reservation` is the socket that shows to others that the slot is taken.
    """

    slot: int
    reservation: socket.socket

    @classmethod
    def reserve(cls, first: int) -> Layout:
        """Takes the first free slot, beginning with one that a number names."""
        for number in range(first, first + SLOTS):
            slot = FIRST_SLOT + number % SLOTS
            try:
                return cls(slot, socket.create_server((f"127.{slot}.9.1", RESERVED_PORT)))
            except OSError:
                continue  # another soak has it
        raise RuntimeError(f"all {SLOTS} slots are taken; end other soaks")

    def ip(self, kind: int, index: int) -> str:
        """Returns the address of the index-th thing of a kind."""
        return f"127.{self.slot}.{kind}.{index + 1}"

    @property
    def machines(self) -> Address:
        """Where the machine interface listens."""
        return Address(self.ip(5, 0), MACHINES_PORT)


@dataclass(slots=True)
class Program:
    """One process and how it is started again.

    Attributes:
        wanted: Whether it should run; a process that ends though it is wanted has failed.
        bootstrap: Whether the settings say that the whole system starts for the first time.
    """

    name: str
    role: str
    ip: str
    zone: str
    peer_port: int
    folder: Path
    seeds: list[str]
    machines: Address
    wanted: bool = False
    bootstrap: bool = True
    process: subprocess.Popen | None = None
    failures: list[str] = field(default_factory=list)

    @property
    def data(self) -> Path:
        """The folder of the process's disk."""
        return self.folder / "data"

    @property
    def ended(self) -> bool:
        """Whether no process of it runs."""
        return self.process is None or self.process.poll() is not None

    def write_settings(self) -> None:
        """Writes the settings file of the platform's format."""
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
            "[faultTolerance]",
            "machines = 1",
            "[bounds]",
            f"graceS = {GRACE_S}",
            "[cloudApi]",
            f'address = "{self.machines.host}:{self.machines.port}"',
        ]
        (self.folder / "boot.toml").write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Starts the process; its output goes to a file in its folder."""
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
        self.wanted = True

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process, if it still runs."""
        if not self.ended:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process at once."""
        self.wanted = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe(self) -> None:
        """Loses the disk of a process that does not run."""
        shutil.rmtree(self.data, ignore_errors=True)
        self.bootstrap = False

    def tear(self, garbage: bytes) -> None:
        """Leaves a torn write at the end of the newest file, as a loss of power may."""
        files = [path for path in self.data.rglob("*") if path.is_file()]
        journals = [path for path in files if "journal" in path.name or "log" in path.name]
        if journals:
            with max(journals, key=lambda path: path.stat().st_mtime).open("ab") as file:
                file.write(garbage)

    def check(self) -> None:
        """Notes that the process ended by itself."""
        if self.wanted and self.ended:
            self.failures.append(f"{self.name} ended by itself with {self.process.returncode}")
            self.start()


class Cluster:
    """All programs of a soak.

    Args:
        reactor: Twisted reactor.
        layout: Addresses.
        folder: Where settings, data and output of the processes go.
        cores: Number of controllers.
        fronts: Number of entries.
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
        for dialler in self.programs:
            for target in self.programs:
                if dialler is not target:
                    # Each process believes that its own peer port is that of all others.
                    self.proxies[dialler.name, target.name] = Proxy(
                        reactor,
                        Address(target.ip, dialler.peer_port),
                        Address(target.ip, target.peer_port),
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
        """Opens the proxies and starts the processes."""
        fut = gatherResults([proxy.open() for proxy in self.proxies.values()])
        return fut.addCallback(lambda _: [program.start() for program in self.programs])

    def between(self, one: Program, other: Program) -> list[Proxy]:
        """Returns the proxies of both directions of dialling."""
        return [self.proxies[one.name, other.name], self.proxies[other.name, one.name]]

    def close(self) -> None:
        """Kills what this soak started."""
        for program in self.programs:
            program.kill()
