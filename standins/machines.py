"""A stand-in machine interface that speaks the platform's protocol: the list, moves and upkeep."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.http_server import HttpServer, Reply, Request
from standins.worker import StandInWorker

__all__ = ["Machine", "StandInMachines"]

MOVE_S = 1.5
UPKEEP_S = 2.0


@dataclass(slots=True)
class Machine:
    """One machine; `worker` is None while it is away or in a standby pool."""

    name: str
    pool: str
    zone: str
    rack: str
    cpu: int
    memory_mb: int
    state: str = "up"
    worker: StandInWorker | None = None
    fence: int = 0


class StandInMachines:
    """The machine interface.

    Args:
        reactor: Twisted reactor.
        machines: All machines.
        standby: Pools whose machines are off.
        new_worker: Starts the next life of a worker on a machine.
    """

    def __init__(
        self,
        reactor: Any,
        machines: list[Machine],
        *,
        standby: set[str],
        new_worker: Callable[[Machine], StandInWorker],
    ) -> None:
        self.machines = {machine.name: machine for machine in machines}
        self.waves: dict[int, set[str]] = {}
        self._reactor = reactor
        self._standby = standby
        self._new_worker = new_worker
        self._server = HttpServer(reactor, self._handle)

    def listen(self, address: Address) -> Deferred:
        """Opens the port and starts a worker on each machine that is on."""
        for machine in self.machines.values():
            self.revive(machine)
        return self._server.listen(address)

    def revive(self, machine: Machine) -> None:
        """Starts the next life of a machine's worker, unless the machine is off."""
        machine.state = "up"
        if machine.pool not in self._standby:
            machine.worker = self._new_worker(machine)

    def crash(self, machine: Machine, away_s: float) -> None:
        """Ends a machine's worker without a word; it is back after `away_s`."""
        if machine.worker is None or machine.state != "up":
            return
        self._end_worker(machine)
        machine.state = "down"
        self._reactor.callLater(away_s, self._back, machine, "down")

    def _back(self, machine: Machine, expected: str) -> None:
        if machine.state == expected:
            self.revive(machine)

    def _end_worker(self, machine: Machine) -> None:
        if machine.worker is not None:
            machine.worker.crash()
            machine.worker = None

    def _handle(self, request: Request) -> Reply:
        if request.path.partition("?")[0] == "/machines":
            rows = [self._row(machine) for machine in self.machines.values()]
            return _reply(200, {"machines": rows, "nextPageToken": ""})
        body = json.loads(request.body)
        machine = self.machines.get(body.get("machine", ""))
        if machine is None:
            return _reply(400, {"error": "no such machine"})
        token = int(request.headers.get("geraniumtrack-fencing-token", "0"))
        if token < machine.fence:
            return _reply(409, {"reason": "fence"})
        machine.fence = token
        if request.path == "/machine-move":
            return self._move(machine, body["pool"])
        return self._upkeep(machine, body["wave"])

    def _row(self, machine: Machine) -> dict:
        return {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": machine.zone,
            "labels": ["a", machine.rack],
            "capacity": {"cpu": machine.cpu, "memMb": machine.memory_mb, "gpu": 0},
            "id": machine.worker.id if machine.worker is not None else "",
        }

    def _move(self, machine: Machine, pool: str) -> Reply:
        if machine.pool == pool:
            return _reply(200, {})
        if machine.state != "up":
            return _reply(409, {"reason": "busy"})
        self._end_worker(machine)
        machine.pool, machine.state = pool, "moving"
        self._reactor.callLater(MOVE_S, self._back, machine, "moving")
        return _reply(200, {})

    def _upkeep(self, machine: Machine, wave: int) -> Reply:
        if machine.name not in self.waves.get(wave, set()):
            return _reply(409, {"reason": "wave"})
        if machine.state != "up":
            return _reply(409, {"reason": "busy"})
        self._end_worker(machine)
        machine.state = "upkeep"
        self._reactor.callLater(UPKEEP_S, self._back, machine, "upkeep")
        return _reply(200, {})


def _reply(status: int, body: dict) -> Reply:
    return Reply(status, json.dumps(body).encode())
