"""The stand-in machine API and the stand-in workers of a soak, with a proxy before each worker."""

from __future__ import annotations

import random
import time
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from geraniumtrack.protocol.address import Address
from soak.programs import ZONES, Layout
from soak.proxy import LinkFaults, Proxy
from standins.machines import Machine, StandInMachineApi
from standins.worker import RunHistory, StandInWorker, WorkerFaults

__all__ = ["POOLS", "STANDBY", "UNGUARDED", "Fleet"]

POOLS = ("proofs", "mockups")
UNGUARDED = ("mockups",)  # pools whose workers start whatever they are ordered to
STANDBY = "spare"
WORKER_PORT = 9001
CPU, MEMORY_MB = 16_000, 32_768
MS_PER_S = 1000


class Fleet:
    """The machines of a soak and their workers.

    Args:
        reactor: Twisted reactor.
        layout: Loopback addresses of the soak.
        count: Number of machines.
        controllers: Addresses of the controllers, to which workers send heartbeats.
        seed: Seed of the random decisions of the workers.

    Attributes:
        run_history: Runs of all workers.
        proxies: Proxy before the worker of each machine, by the name of the machine.
        machines: The machine API.
    """

    def __init__(
        self, reactor: Any, layout: Layout, *, count: int, controllers: list[str], seed: int
    ) -> None:
        self.run_history = RunHistory()
        self.proxies: dict[str, Proxy] = {}
        self._reactor = reactor
        self._layout = layout
        self._controllers = controllers
        self._rng = random.Random(seed)
        self._incarnations = 0
        self._listen: dict[str, Address] = {}
        machines = []
        pools = (*POOLS, STANDBY)
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            pool = pools[number % len(pools)]
            name = f"m{number}"
            machines.append(Machine(name, pool, zone, f"r-{zone}", CPU, MEMORY_MB))
            self._listen[name] = Address(layout.ip(3, number), WORKER_PORT)
            announced = Address(layout.ip(4, number), WORKER_PORT)
            self.proxies[name] = Proxy(reactor, announced, self._listen[name])
        self.machines = StandInMachineApi(
            reactor, machines, standby={STANDBY}, new_worker=self._new_worker
        )

    def open(self) -> Deferred:
        """Opens the ports of the proxies and the machine API, and starts the workers."""
        fut = gatherResults([proxy.open() for proxy in self.proxies.values()])
        return fut.addCallback(lambda _: self.machines.listen(self._layout.machines))

    def pick(self, number: int) -> Machine | None:
        """Returns a machine that has a worker, chosen by the remainder of a number, or None."""
        candidates = [m for m in self.machines.machines.values() if m.worker is not None]
        return candidates[number % len(candidates)] if candidates else None

    def close(self) -> None:
        """Crashes all workers."""
        for machine in self.machines.machines.values():
            if machine.worker is not None:
                machine.worker.crash()

    def end_faults(self) -> None:
        """Ends the faults of the workers and of the links to them."""
        for proxy in self.proxies.values():
            proxy.set_faults(LinkFaults())
        for machine in self.machines.machines.values():
            if machine.worker is not None:
                machine.worker.faults = WorkerFaults()

    def _new_worker(self, machine: Machine) -> StandInWorker:
        self._incarnations += 1
        # Some incarnations share one id for the machine, as a worker may restart under its old id.
        keep_id = self._rng.random() < 0.3
        suffix = machine.name if keep_id else f"{machine.name}-{self._incarnations}"
        proxy_ip = self._layout.ip(4, int(machine.name[1:]))
        worker = StandInWorker(
            self._reactor,
            worker_id=f"w-{suffix}",
            born=round(time.time() * MS_PER_S),
            machine=machine.name,
            pool=machine.pool,
            zone=machine.zone,
            rack=machine.rack,
            listen=self._listen[machine.name],
            announced=f"{proxy_ip}:{WORKER_PORT}",
            controllers=self._shuffle_controllers,
            run_history=self.run_history,
            rng=self._rng,
            cpu=machine.cpu,
            memory_mb=machine.memory_mb,
            guarded=machine.pool not in UNGUARDED,
        )
        worker.start()
        return worker

    def _shuffle_controllers(self) -> list[str]:
        return self._rng.sample(self._controllers, len(self._controllers))
