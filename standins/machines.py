"""A stand-in for the platform's machine API: the machine list, moves between pools, maintenance.

The platform calls maintenance of a machine its upkeep, and a maintenance campaign a wave.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.http_server import HttpServer, Reply, Request
from standins.worker import StandInWorker

__all__ = ["Machine", "StandInMachineApi"]

MOVE_DURATION_S = 1.5
MAINTENANCE_DURATION_S = 2.0


@dataclass(slots=True)
class Machine:
    """One machine.

    Attributes:
        state: `up`, `down`, `moving` or `upkeep`.
        worker: Worker on the machine; None unless the machine is up and outside standby pools.
        fence: Highest fencing token in an order for this machine.
    """

    name: str
    pool: str
    zone: str
    rack: str
    cpu: int
    memory_mb: int
    state: str = "up"
    worker: StandInWorker | None = None
    fence: int = 0


class StandInMachineApi:
    """The machine API.

    Args:
        reactor: Twisted reactor.
        machines: All machines.
        standby: Names of the standby pools, whose machines run no worker.
        new_worker: Creates and starts a new incarnation of the worker of a machine.

    Attributes:
        machines: All machines by name.
        waves: Names of the machines in each wave; upkeep of any other machine is rejected.
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
        self._server = HttpServer(reactor, self._handle, headers=("geraniumtrack-fencing-token",))

    def listen(self, address: Address) -> Deferred:
        """Opens the port and starts a worker on each machine outside the standby pools."""
        for machine in self.machines.values():
            self.start_worker(machine)
        return self._server.listen(address)

    def start_worker(self, machine: Machine) -> None:
        """Marks a machine as up and starts its worker, unless the pool is a standby pool."""
        machine.state = "up"
        if machine.pool not in self._standby:
            machine.worker = self._new_worker(machine)

    def crash(self, machine: Machine, down_s: float) -> None:
        """Crashes a machine and its worker; a new incarnation starts after `down_s` seconds."""
        if machine.worker is None or machine.state != "up":
            return
        self._crash_worker(machine)
        machine.state = "down"
        self._reactor.callLater(down_s, self._return_to_service, machine, "down")

    def _return_to_service(self, machine: Machine, expected_state: str) -> None:
        if machine.state == expected_state:
            self.start_worker(machine)

    def _crash_worker(self, machine: Machine) -> None:
        if machine.worker is not None:
            machine.worker.crash()
            machine.worker = None

    def _handle(self, request: Request) -> Reply:
        if request.path.partition("?")[0] == "/machines":
            descriptions = [self._describe(machine) for machine in self.machines.values()]
            return _reply(200, {"machines": descriptions, "nextPageToken": ""})
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
        return self._maintain(machine, body["wave"])

    def _describe(self, machine: Machine) -> dict:
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
        self._crash_worker(machine)
        machine.pool, machine.state = pool, "moving"
        self._reactor.callLater(MOVE_DURATION_S, self._return_to_service, machine, "moving")
        return _reply(200, {})

    def _maintain(self, machine: Machine, wave: int) -> Reply:
        if machine.name not in self.waves.get(wave, set()):
            return _reply(409, {"reason": "wave"})
        if machine.state != "up":
            return _reply(409, {"reason": "busy"})
        self._crash_worker(machine)
        machine.state = "upkeep"
        self._reactor.callLater(MAINTENANCE_DURATION_S, self._return_to_service, machine, "upkeep")
        return _reply(200, {})


def _reply(status: int, body: dict) -> Reply:
    return Reply(status, json.dumps(body).encode())
