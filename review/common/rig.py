"""A small deployment on loopback: the project's programs as processes, with stand-ins around them.

The programs are started with the commands of `deploy/system.toml` and settings as in DEPLOY.md.
Workers and the machine API are the project's stand-ins; they run in the process of the script, so
that all events have times of one clock. Each worker can be reached only through a proxy, which a
script can cut.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks, maybeDeferred
from twisted.internet.task import deferLater

from geraniumtrack.daemon import use_boottime_clock
from geraniumtrack.errors import CallFailed
from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.http_client import HttpClient
from soak.programs import Layout
from soak.proxy import Proxy
from standins.machines import Machine, StandInMachineApi
from standins.worker import RunHistory, StandInWorker, WorkerRun

__all__ = [
    "HOST",
    "KEY",
    "POOL",
    "QUEUE",
    "CannotRun",
    "ObservedWorker",
    "Rig",
    "configuration",
    "pause",
    "run_case",
]

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("z1", "z2", "z3", "z4")
CONTROL_PORT, FRONT_PORT, READY_PORT, PEER_PORT, WORKER_PORT = 8345, 8340, 8343, 7000, 9001
# A front behind proxies dials this port of the controllers, where the proxies listen.
PROXIED_PEER_PORT = 7100
HOST, QUEUE, POOL, TEAM, KEY = "review.example", "proofs", "proofdesk", "t0", "key-t0"
CPU, MEMORY_MB = 64_000, 131_072
CALL_TIMEOUT_S = 3.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
MS_PER_S = 1000
LIMIT_S = 110.0

# Bounds of the site bbe-sched.
BOUNDS = """
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
maxHoldMs = 6000
stopGraceMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
spreadFactor = 2
checkpointIntervalS = 1
restoreMs = 100
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
enforceFencing = true
leaseMs = 3000
"""


class ObservedWorker(StandInWorker):
    """A worker that records when ends were acknowledged, and when its lease lapsed."""

    # By worker id; shared, since a worker is replaced by a new incarnation.
    acknowledged_at: ClassVar[dict[tuple[str, str, int], float]] = {}  # by worker, task and run
    lapsed_at: ClassVar[dict[str, list[float]]] = {}

    _lapsed_deadline_ms = 0

    def _hold(self, body: dict, late: bool) -> Any:
        ends = list(self._ends)
        answer = super()._hold(body, late)
        for end in ends:
            if end.run.acknowledged:
                key = (self.id, end.run.task, end.run.run)
                self.acknowledged_at.setdefault(key, reactor.seconds())
        return answer

    def _check_lease(self) -> None:
        super()._check_lease()
        if self.clock_ms > self._deadline_ms > self._lapsed_deadline_ms:
            self._lapsed_deadline_ms = self._deadline_ms
            self.lapsed_at.setdefault(self.id, []).append(reactor.seconds())

    @classmethod
    def is_noted(cls, run: WorkerRun) -> bool:
        """Whether an end was acknowledged, and the lease did not lapse before that."""
        noted_at = cls.acknowledged_at.get((run.worker, run.task, run.run))
        if noted_at is None:
            return False
        return not any(run.ended_at <= at <= noted_at for at in cls.lapsed_at.get(run.worker, ()))


class CuttableProxy(Proxy):
    """A proxy that can also refuse connections, as a cut that resets them does."""

    _port: Any = None

    def open(self) -> Deferred:
        """Opens the listening port."""
        return super().open().addCallback(self._opened)

    def refuse(self) -> Deferred:
        """Resets the open connections and refuses new ones; fires when that is so."""
        self.reset()
        return maybeDeferred(self._port.stopListening)

    def _opened(self, port: Any) -> None:
        self._port = port


class CannotRun(Exception):  # noqa: N818 - an outcome of the script
    """The case could not be played, so that it says nothing about the rule."""


class Program:
    """One of the project's programs as a process."""

    def __init__(self, rig: Rig, role: str, number: int) -> None:
        kind = 1 if role == "core" else 2
        self.name, self.role, self.zone = f"{role}-{number}", role, ZONES[number % len(ZONES)]
        self.ip = rig.layout.ip(kind, number)
        self.process: subprocess.Popen | None = None
        self.bootstrap = True
        self.peer_port = PEER_PORT
        self._rig = rig
        self._folder = rig.folder / self.name

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        data = self._folder / "data"
        data.mkdir(parents=True, exist_ok=True)
        (self._folder / "boot.toml").write_text(self._settings(data))
        role = self._rig.deploy["roles"][self.role]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GERANIUMTRACK_BOOT": str(self._folder / "boot.toml"),
            **role.get("env", {}),
        }
        with (self._folder / "output.log").open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    @property
    def log(self) -> str:
        """What the process has printed."""
        path = self._folder / "output.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def _settings(self, data: Path) -> str:
        core = self.role == "core"
        bind = (
            f'control = "{self.ip}:{CONTROL_PORT}"'
            if core
            else f'front = "{self.ip}:{FRONT_PORT}"\nready = "{self.ip}:{READY_PORT}"'
        )
        machines = self._rig.machines_address
        return f"""
nodeName = "{self.name}"
role = "{self.role}"
machineClass = "{self.role}"
serves = ["{'control' if core else 'front'}"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r"
internalPortRange = [{self.peer_port},{self.peer_port + 15}]
seeds = {json.dumps(self._rig.controllers[:3])}
bootstrap = {str(self.bootstrap).lower()}
countsAsLoss = {str(core).lower()}
discovery = "registry"
entryMode = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","upkeep"]
config_mode = "highest"
orders = "push"
dataDir = "{data if core else ''}"
[zones]
{chr(10).join(f'{zone} = "r"' for zone in ZONES)}
[bindAddresses]
{bind}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]{BOUNDS}
[cloudApi]
address = "{machines.host}:{machines.port}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"""


class Rig:
    """The programs, the workers and the machine API of one case.

    Args:
        workers: Number of workers, each on a machine of its own in the pool POOL.
        worker_type: Class of the workers.
        proxied_front: Whether the first front reaches the controllers through proxies.
    """

    def __init__(
        self,
        *,
        workers: int = 8,
        cores: int = 4,
        fronts: int = 2,
        worker_type: type = ObservedWorker,
        proxied_front: bool = False,
    ) -> None:
        self.layout = Layout.reserve(os.getpid())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.machines_address = self.layout.machines
        self.controllers = [f"{self.layout.ip(1, n)}:{CONTROL_PORT}" for n in range(cores)]
        self.cores = [Program(self, "core", number) for number in range(cores)]
        self.fronts = [Program(self, "front", number) for number in range(fronts)]
        self.history = RunHistory()
        self.rng = random.Random(1)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = reactor.seconds()
        self.record: list[tuple[float, str]] = []
        self.front_proxies: dict[str, Proxy] = {}  # to the controllers, by their names
        if proxied_front:
            self.fronts[0].peer_port = PROXIED_PEER_PORT
            for core in self.cores:
                self.front_proxies[core.name] = Proxy(
                    reactor, Address(core.ip, PROXIED_PEER_PORT), Address(core.ip, PEER_PORT)
                )
        self._worker_type = worker_type
        self._incarnations = 0
        self._clients: dict[str, HttpClient] = {}
        self.proxies: dict[str, CuttableProxy] = {}
        machines = []
        for number in range(workers):
            name, zone = f"m{number}", ZONES[number % len(ZONES)]
            machines.append(Machine(name, POOL, zone, f"r-{number // 4}", CPU, MEMORY_MB))
            listen = Address(self.layout.ip(3, number), WORKER_PORT)
            announced = Address(self.layout.ip(4, number), WORKER_PORT)
            self.proxies[name] = CuttableProxy(reactor, announced, listen)
        self.api = StandInMachineApi(reactor, machines, standby=set(), new_worker=self._new_worker)

    # Start and end.

    @inlineCallbacks
    def open(self, *, routes: list[dict] | None = None, tenants: list[dict] | None = None) -> Any:
        """Starts everything, and waits until a configuration is stored and the fronts are ready."""
        proxies = (*self.proxies.values(), *self.front_proxies.values())
        yield gatherResults([proxy.open() for proxy in proxies])
        yield self.api.listen(self.machines_address)
        for program in (*self.cores, *self.fronts):
            program.start()
        config = configuration(routes, tenants)
        yield self.wait_for(lambda: self.put_config(config), "the configuration", 30.0)
        for front in self.fronts:
            yield self.wait_for(
                lambda f=front: self._is_ready(f), f"{front.name} to be ready", 20.0
            )
        yield pause(4.0)  # workers register

    def close(self, outcome: int) -> None:
        """Ends all processes; keeps the logs of the programs if `KEEP` is set."""
        for program in (*self.cores, *self.fronts):
            program.kill()
        for machine in self.api.machines.values():
            if machine.worker is not None:
                machine.worker.crash()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str, at: float | None = None) -> None:
        """Adds a line to the record."""
        self.record.append((reactor.seconds() if at is None else at, text))

    def write_record(self, path: Path, verdict: str) -> None:
        """Writes what was sent, answered and run, in the order of time."""
        lines = list(self.record)
        for run in self.history.runs:
            late = " (executed late)" if run.late else ""
            lines.append((run.at, f"run  {run.task} run {run.run} begins on {run.worker}{late}"))
            if run.ended_at is not None:
                ack = ", acknowledged" if run.acknowledged else ""
                end = f"run  {run.task} run {run.run} on {run.worker} ends: {run.end_kind}{ack}"
                lines.append((run.ended_at, end))
        lines.sort(key=lambda line: line[0])
        text = [f"{at - self.started_at:8.3f} s  {line}" for at, line in lines]
        path.write_text("\n".join([verdict, "", *text]) + "\n")

    # Calls.

    @inlineCallbacks
    def call(
        self, address: str, method: str, path: str, body: Any = None, headers: Any = None
    ) -> Any:
        """Calls an address; fires with status and decoded body, (0, None) without an answer."""
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = self._clients[address] = HttpClient(reactor, Address(host, int(port)))
        data = json.dumps(body).encode() if body is not None else b""
        try:
            response = yield client.call(
                method, path, body=data, headers=headers, timeout_s=CALL_TIMEOUT_S
            )
        except CallFailed:
            return 0, None
        return response.status, json.loads(response.body) if response.body else None

    @inlineCallbacks
    def call_front(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        key: str = KEY,
        front: Program | None = None,
    ) -> Any:
        """Calls a front as a client does, any if none is given; records call and answer."""
        headers = {
            "Host": HOST,
            "Geraniumtrack-Credential": key,
            "Geraniumtrack-Deadline-Ms": str(round(CALL_TIMEOUT_S * MS_PER_S)),
        }
        front = front or self.rng.choice(self.fronts)
        sent_at = reactor.seconds()
        status, answer = yield self.call(f"{front.ip}:{FRONT_PORT}", method, path, body, headers)
        text = json.dumps(body)[:160] if body is not None else ""
        self.note(f"call {method} {path} at {front.name} {text}", sent_at)
        self.note(f"     {method} {path} is answered {status} {json.dumps(answer)}")
        return status, answer

    @inlineCallbacks
    def submit(self, job: str, steps: list[dict], spec: dict, queue: str = QUEUE) -> Any:
        """Submits a job, with retries until it is accepted."""
        for _ in range(20):
            body = {"spec": json.dumps(spec), "steps": steps}
            status, _ = yield self.call_front("POST", f"/{queue}/{job}", body)
            if 200 <= status < 300:
                return
            yield pause(0.3)
        raise CannotRun(f"job {job} was not accepted")

    @inlineCallbacks
    def state_of(self, job: str, queue: str = QUEUE) -> Any:
        """Returns the state that a GET shows, or an empty string without a 200."""
        status, answer = yield self.call_front("GET", f"/{queue}/{job}")
        return answer["state"] if status == 200 else ""

    # Workers.

    def worker_running(self, task: str) -> StandInWorker | None:
        """Returns the live worker that runs a task, or None."""
        for run in reversed(self.history.runs):
            if run.task == task:
                if run.ended_at is not None:
                    return None
                return self.worker(run.worker)
        return None

    def worker(self, worker_id: str) -> StandInWorker | None:
        """Returns the live worker of an id, or None."""
        for machine in self.api.machines.values():
            if machine.worker is not None and machine.worker.id == worker_id:
                return machine.worker
        return None

    def leader(self) -> Program | None:
        """Returns the program that became the owner last, by its log, if its process runs."""
        found = [
            (line.split("time=")[1].split()[0], program)
            for program in self.cores
            for line in program.log.splitlines()
            if "event=owner_started" in line and "time=" in line
        ]
        return max(found, key=lambda item: item[0])[1] if found else None

    def _new_worker(self, machine: Machine) -> StandInWorker:
        self._incarnations += 1
        number = int(machine.name[1:])
        worker = self._worker_type(
            reactor,
            worker_id=f"w-{machine.name}-{self._incarnations}",
            born=round(time.time() * MS_PER_S),
            machine=machine.name,
            pool=machine.pool,
            zone=machine.zone,
            rack=machine.rack,
            listen=Address(self.layout.ip(3, number), WORKER_PORT),
            announced=f"{self.layout.ip(4, number)}:{WORKER_PORT}",
            controllers=lambda: self.rng.sample(self.controllers, len(self.controllers)),
            run_history=self.history,
            rng=self.rng,
            cpu=machine.cpu,
            memory_mb=machine.memory_mb,
        )
        worker.start()
        return worker

    # Waiting.

    @inlineCallbacks
    def wait_for(self, check: Callable[[], Any], what: str, timeout_s: float) -> Any:
        """Repeats a check, which may return a Deferred, until it returns a true value."""
        until = reactor.seconds() + timeout_s
        while reactor.seconds() < until:
            result = check()
            if isinstance(result, Deferred):
                result = yield result
            if result:
                return result
            yield pause(0.1)
        raise CannotRun(f"waited {timeout_s} s for {what}")

    @inlineCallbacks
    def put_config(self, config: dict) -> Any:
        """Sends a configuration to a controller; returns whether it was acknowledged."""
        version = config["version"]
        self.note(f"conf version {version} is sent")
        status, _ = yield self.call(self.rng.choice(self.controllers), "PUT", "/config", config)
        self.note(f"conf version {version} is answered {status}")
        return status == 200

    @inlineCallbacks
    def _is_ready(self, front: Program) -> Any:
        status, _ = yield self.call(f"{front.ip}:{READY_PORT}", "GET", "/ready")
        return status == 200


def configuration(
    routes: list[dict] | None = None, tenants: list[dict] | None = None, version: int = 1
) -> dict:
    """Returns a configuration with the queue QUEUE on the pool POOL."""
    route = {
        "name": "r-1",
        "host": HOST,
        "pathPrefix": f"/{QUEUE}/",
        "type": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "backend": POOL,
        "maxAttempts": 4,
        "stretch": 1.6,
        "public": False,
    }
    service = {
        "name": POOL,
        "healthPath": "/health",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
        "admissionCheck": True,
        "standby": False,
    }
    tenant = {
        "name": TEAM,
        "apiKeys": [KEY],
        "priority": 1,
        "weight": 10,
        "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
    }
    return {
        "version": version,
        "routes": routes or [route],
        "backends": [service],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants or [tenant],
    }


def pause(seconds: float) -> Deferred:
    """Returns a Deferred that fires after some seconds."""
    return deferLater(reactor, seconds, lambda: None)


def run_case(folder: Path, play: Callable[[Rig], Any], **options: Any) -> None:
    """Plays a case, writes record.txt and exits: 0 if the rule held, 1 if broken, 2 if not run.

    Args:
        folder: Folder of the case.
        play: Plays the case; returns a Deferred of the descriptions of what broke the rule.
        options: Arguments of the Rig.
    """
    use_boottime_clock(reactor)
    outcome = [NOT_RUN]
    rig = Rig(**options)

    @inlineCallbacks
    def main() -> Any:
        try:
            broken = yield play(rig)
            outcome[0] = BROKEN if broken else HELD
            verdict = "broken:\n" + "\n".join(broken) if broken else "held"
        except CannotRun as exc:
            verdict = f"could not run: {exc}"
        except Exception as exc:  # noqa: BLE001 - a fault of the script says nothing about the rule
            verdict = f"could not run: {exc!r}"
        finally:
            rig.close(outcome[0])
        rig.write_record(folder / "record.txt", verdict)
        print(verdict)
        reactor.stop()

    def out_of_time() -> None:
        rig.close(NOT_RUN)
        (folder / "record.txt").write_text("could not run: out of time\n")
        os._exit(NOT_RUN)

    reactor.callWhenRunning(main)
    reactor.callLater(LIMIT_S, out_of_time)
    reactor.addSystemEventTrigger("before", "shutdown", rig.close, outcome[0])
    reactor.run()
    sys.exit(outcome[0])
