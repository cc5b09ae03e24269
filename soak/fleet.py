"""The stand-in workers of a soak behind their proxies, and the machine interface."""

from __future__ import annotations

import random
import time
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from geraniumtrack.protocol.address import Address
from soak.programs import ZONES, Layout
from soak.proxy import Proxy, Way
from standins.machines import Machine, StandInMachines
from standins.worker import Record, StandInWorker, WorkerFaults

__all__ = ["POOLS", "STANDBY", "Fleet"]

POOLS = ("proofs", "mockups")
STANDBY = "spare"
WORKER_PORT = 9001
CPU, MEMORY_MB = 16_000, 32_768
MS_PER_S = 1000


class Fleet:
    """Machines with workers.

    Args:
        reactor: Twisted reactor.
        layout: Addresses.
        count: Number of machines.
        controls: Addresses of the controllers.
        seed: Decides what is left to chance.
    """

    def __init__(
        self, reactor: Any, layout: Layout, *, count: int, controls: list[str], seed: int
    ) -> None:
        self.record = Record()
        self.proxies: dict[str, Proxy] = {}
        self._reactor = reactor
        self._layout = layout
        self._controls = controls
        self._rng = random.Random(seed)
        self._lives = 0
        self._listen: dict[str, Address] = {}
        machines = []
        pools = (*POOLS, STANDBY)
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            pool = pools[number % len(pools)]
            name = f"m{number}"
            machines.append(Machine(name, pool, zone, f"r-{zone}", CPU, MEMORY_MB))
            self._listen[name] = Address(layout.ip(3, number), WORKER_PORT)
            near = Address(layout.ip(4, number), WORKER_PORT)
            self.proxies[name] = Proxy(reactor, near, self._listen[name])
        self.machines = StandInMachines(
            reactor, machines, standby={STANDBY}, new_worker=self._new_worker
        )

    def open(self) -> Deferred:
        """Opens the proxies, the machine interface and the workers."""
        fut = gatherResults([proxy.open() for proxy in self.proxies.values()])
        return fut.addCallback(lambda _: self.machines.listen(self._layout.machines))

    def pick(self, number: int) -> Machine | None:
        """Returns one of the machines that have a worker."""
        up = [m for m in self.machines.machines.values() if m.worker is not None]
        return up[number % len(up)] if up else None

    def close(self) -> None:
        """Ends all workers."""
        for machine in self.machines.machines.values():
            if machine.worker is not None:
                machine.worker.crash()

    def heal(self) -> None:
        """Ends the faults of workers and of the ways to them."""
        for proxy in self.proxies.values():
            proxy.set(Way())
        for machine in self.machines.machines.values():
            if machine.worker is not None:
                machine.worker.faults = WorkerFaults()

    def _new_worker(self, machine: Machine) -> StandInWorker:
        self._lives += 1
        # Some lives take the id of the former one.
        keep = self._rng.random() < 0.3
        number = machine.name if keep else f"{machine.name}-{self._lives}"
        near = self._layout.ip(4, int(machine.name[1:]))
        worker = StandInWorker(
            self._reactor,
            worker_id=f"w-{number}",
            born=round(time.time() * MS_PER_S),
            machine=machine.name,
            pool=machine.pool,
            zone=machine.zone,
            rack=machine.rack,
            listen=self._listen[machine.name],
            announced=f"{near}:{WORKER_PORT}",
            controls=self._shuffled_controls,
            record=self.record,
            rng=self._rng,
            cpu=machine.cpu,
            memory_mb=machine.memory_mb,
        )
        worker.start()
        return worker

    def _shuffled_controls(self) -> list[str]:
        return self._rng.sample(self._controls, len(self._controls))
