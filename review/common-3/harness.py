"""Starts the project's programs on loopback addresses beside stand-ins for what they talk to.

The stand-ins (workers, the machine API, clients, the operator) run in the process of the test and
use only the standard library. They follow the platform's pages; what a test makes them do besides
is in the test.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT, FRONT_PORT, READY_PORT, WORKER_PORT, CLOUD_PORT = 18345, 18340, 18343, 18080, 18344
PEER_PORTS = (17000, 17015)
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case

BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "maxStretchMs": 5000,
    "revokeMs": 5000,
    "evacuationMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 6000,
    "stopGraceMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "spreadFactor": 2,
    "checkpointIntervalS": 1,
    "restoreMs": 100,
    "noticeMs": 4500,
    "migrationS": 1.5,
    "maintenanceS": 2,
    "enforceFencing": True,
    "leaseMs": 3000,
}


class CannotRun(Exception):
    """The case could not be brought about; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path: Path, started: float | None = None) -> None:
        # The monotonic clock is the same in all processes.
        self.started = time.monotonic() if started is None else started
        self._file = open(path, "w")  # noqa: SIM115 - open for as long as the case runs

    @property
    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started

    def close(self) -> None:
        """Drops later notes."""
        self._file.close()

    def append(self, path: Path) -> None:
        """Adds the notes of another record."""
        self._file.write(f"\n{path.name}:\n{path.read_text()}")

    def note(self, text: str) -> None:
        """Writes a line with the time."""
        if self._file.closed:
            return
        self._file.write(f"{self.now:8.3f}  {text}\n")
        self._file.flush()


# HTTP.


@dataclass
class Request:
    """An HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; raises IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body)


def encode_response(status: int, body: Any) -> bytes:
    """Returns a response with a JSON body."""
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data


# Returns status and body; None to leave the request without an answer.
Handler = Callable[[Request], Awaitable["tuple[int, Any] | None"]]


class HttpServer:
    """Serves one address; `abort` resets all connections, as at the end of a process."""

    def __init__(self, ip: str, port: int, handler: Handler) -> None:
        self._ip, self._port, self._handler = ip, port, handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def abort(self) -> None:
        """Closes the port and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self._handler(request)
                if answer is None:
                    await reader.read()  # until the caller gives up
                    return
                writer.write(encode_response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any] | None:
    """Sends a request on a connection of its own; None without a complete answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            data = (
                body
                if isinstance(body, bytes)
                else b"" if body is None else json.dumps(body).encode()
            )
            lines = [f"{method} {path} HTTP/1.1"]
            if not headers or "Host" not in headers:
                lines.append(f"Host: {ip}:{port}")
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            data = await reader.readexactly(length)
            return status, (json.loads(data) if data else None)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


# The project's own programs.


@dataclass
class Program:
    """One of the project's programs."""

    name: str
    role: str  # `core` or `front`, as in the deploy file
    ip: str
    zone: str
    folder: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GERANIUMTRACK_BOOT": str(self.folder / "boot.toml"),
        }
        if self.role == "core":
            env["GERANIUMTRACK_POLICY"] = "deploy/policy.json"
        with open(self.folder / "output.log", "ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "geraniumtrack.platform", self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self) -> str:
        """Returns what the process has written."""
        return (self.folder / "output.log").read_text(errors="replace")


# Workers.


@dataclass
class Run:
    """A run on a worker, with times of the record."""

    task: str
    run: int
    spec: str
    cpu: int
    worker: str
    started: float
    ended: float | None = None
    how: str = ""
    timer: Any = None


class Worker:
    """One machine's worker; `crash` and `restart` make further incarnations at its address.

    The `spec` of a job is JSON: `ms` is how long a run takes, without it the task lasts; `cpu` is
    what it needs; with `fail` each run ends `failed`.
    """

    STARTUP_S = 0.3

    def __init__(
        self,
        system: System,
        number: int,
        *,
        pool: str,
        zone: str,
        rack: str,
        cpu: int = 16000,
        memory_mb: int = 32768,
        kind: str = "a",
    ) -> None:
        self.system, self.record = system, system.record
        self.number, self.pool, self.zone, self.cpu = number, pool, zone, cpu
        self.memory_mb = memory_mb
        self.labels = [kind, rack]
        self.machine = f"m-{number:05x}"
        self.ip = system.ip(3, number)
        self.alive = False
        self.state = "ready"
        self.heartbeat_interval_s = 1.0
        self._incarnation = 0
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts a new incarnation."""
        self._incarnation += 1
        self.id = f"i-{self.number:04x}{self._incarnation:04x}"
        self.born = int(time.time() * 1000)
        self._clock_started = time.monotonic()
        self.fence = 0
        self.sequence = 0
        self.deadline_ms = 0
        self.running: dict[str, Run] = {}
        self.highest_ended: dict[str, int] = {}
        self.ends: list[list] = []
        self.last_end = 0
        self.changed = asyncio.Event()
        self.state = "ready"
        self.alive = True
        self._address = ""
        self._server = HttpServer(self.ip, WORKER_PORT, self._handle)
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._heartbeats()),
            asyncio.create_task(self._check_lease()),
        ]
        self.record.note(f"worker {self.id} starts on {self.machine}")

    def crash(self, why: str = "crashes") -> None:
        """Ends this incarnation with all that it runs, without a word."""
        if not self.alive:
            return
        self.record.note(f"worker {self.id} {why}, running {sorted(self.running)}")
        self.alive = False
        for task in self._tasks:
            task.cancel()
        self._server.abort()
        for run in list(self.running.values()):
            self._finish(run, "crashed")

    @property
    def clock_ms(self) -> int:
        """Returns the worker's own clock, which starts anew with it."""
        return int((time.monotonic() - self._clock_started) * 1000) + 1

    @property
    def used_cpu(self) -> int:
        """Returns the thousandths of a core that its runs need."""
        return sum(run.cpu for run in self.running.values())

    # Heartbeats.

    def heartbeat_body(self) -> dict:
        """Returns the next heartbeat."""
        self.sequence += 1
        return {
            "backend": self.pool,
            "address": f"{self.ip}:{WORKER_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clockMs": self.clock_ms,
            "sequence": self.sequence,
        }

    async def _heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.heartbeat_interval_s)

    async def send_heartbeat(self) -> bool:
        """Sends a heartbeat to one node after the other; returns whether it was acknowledged."""
        targets = [core.ip for core in self.system.cores]
        random.shuffle(targets)
        if self._address:
            targets.insert(0, self._address)
        for ip in targets:
            state, body = self.state, self.heartbeat_body()
            answer = await call(
                ip, CONTROL_PORT, "PUT", f"/instances/{self.id}", body, timeout_s=1.0
            )
            if answer is not None and answer[0] == 200:
                address = (answer[1] or {}).get("heartbeatAddress", "")
                self._address = address.partition(":")[0]
                if state != "ready":
                    self.record.note(f"worker {self.id}: heartbeat `{state}` acknowledged")
                return True
            self._address = ""
        return False

    # Orders.

    async def _handle(self, request: Request) -> tuple[int, Any] | None:
        if request.headers.get("geraniumtrack-expect-instance", self.id) != self.id:
            return 421, {}
        body = json.loads(request.body)
        if request.path == "/hold":
            return await self._hold(body)
        if body.get("fencingToken", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body.get("fencingToken", 0)
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        return self._answer(200)

    def _answer(self, status: int, **fields: Any) -> tuple[int, Any]:
        return status, {"clockMs": self.clock_ms, "born": self.born, **fields}

    def _extend(self, deadline_ms: int) -> None:
        longest = self.clock_ms + BOUNDS["maxHoldMs"]
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _start_run(self, body: dict) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(body["deadlineMs"])
        current = self.running.get(task)
        if current is not None and current.run == number:
            return self._answer(200)
        if number <= self.highest_ended.get(task, 0) or (current and current.run > number):
            return self._answer(409, reason="old")
        spec = json.loads(body["spec"])
        cpu = spec.get("cpu", 1000)
        if self.used_cpu + cpu > self.cpu:
            return self._answer(409, reason="room")
        run = Run(task, number, body["spec"], cpu, self.id, self.record.now)
        self.running[task] = run
        self.system.runs.append(run)
        self.record.note(f"worker {self.id} starts {task} run {number}")
        if spec.get("ms"):
            loop = asyncio.get_running_loop()
            how = "failed" if spec.get("fail") else "done"
            run.timer = loop.call_later(spec["ms"] / 1000, self._end, run, how)
        return self._answer(200)

    def _stop_run(self, body: dict) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number:
            asyncio.get_running_loop().call_later(0.05, self._end, run, "stopped")
        return self._answer(200)

    async def _hold(self, body: dict) -> tuple[int, Any]:
        if body.get("fencingToken", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body.get("fencingToken", 0)
        self._extend(body.get("deadlineMs", 0))
        self.ends = [row for row in self.ends if row[0] > body.get("lastSeen", 0)]
        wait_s = min(body.get("waitMs", 0), 2000) / 1000
        if wait_s and not self.ends:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        now = self.record.now
        running = [
            [run.task, run.run, "", 100 if now > run.started + self.STARTUP_S else 0, 0]
            for run in self.running.values()
        ]
        return self._answer(200, running=running, endedRuns=self.ends[:500])

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run or not self.alive:
            return
        self._finish(run, how)
        self.last_end += 1
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.run)
        self.ends.append([self.last_end, run.task, run.run, how, ""])
        self.changed.set()

    def _finish(self, run: Run, how: str) -> None:
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        run.ended, run.how = self.record.now, how
        self.record.note(f"worker {self.id}: {run.task} run {run.run} ends: {how}")

    async def _check_lease(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.running and self.clock_ms > self.deadline_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")


# The machine API.


class Cloud:
    """Lists the machines and carries out upkeep and moves, with a fence for each machine.

    Attributes:
        late: Asked with each order; if it returns seconds, the order gets no answer and is carried
            out that much later.
        begun: Times of the record at which upkeeps began, by wave and machine.
        down: Machines that are down for the upkeep of a wave, with the wave.
        other_entries: Entries of another writer, which each list has after the others.
    """

    def __init__(self, system: System) -> None:
        self.system, self.record = system, system.record
        self.late: Callable[[str, str], float | None] = lambda path, machine: None
        self.begun: dict[tuple[int, str], float] = {}
        self.down: dict[str, int] = {}
        self.waves: dict[int, list[str]] = {}
        self.other_entries: list[dict] = []
        self.on_begin: Callable[[int, str], None] = lambda wave, machine: None
        self._fences: dict[str, int] = {}
        self._moving: set[str] = set()
        self.server = HttpServer(system.ip(5, 1), CLOUD_PORT, self._handle)

    def _worker(self, machine: str) -> Worker | None:
        return next((w for w in self.system.workers if w.machine == machine), None)

    async def _handle(self, request: Request) -> tuple[int, Any] | None:
        path = request.path.partition("?")[0]
        if path == "/machines":
            entries = [self.entry(worker) for worker in self.system.workers] + self.other_entries
            return 200, {"machines": entries, "nextPageToken": ""}
        body = json.loads(request.body)
        token = int(request.headers.get("geraniumtrack-fencing-token", "0"))
        holder = request.headers.get("geraniumtrack-duty-holder", "")
        what = f"{path} {json.dumps(body)} from {holder} with token {token}"
        delay_s = self.late(path, body.get("machine", ""))
        if delay_s is not None:
            self.record.note(f"cloud: {what}: no answer, carried out {delay_s} s later")
            asyncio.get_running_loop().call_later(
                delay_s, self._carry_out, path, body, token, what, True
            )
            return None
        return self._carry_out(path, body, token, what, False)

    def _carry_out(
        self, path: str, body: dict, token: int, what: str, late: bool
    ) -> tuple[int, Any]:
        status, answer = self._order(path, body, token)
        self.record.note(f"cloud: {what}{' (late)' if late else ''}: {status} {answer}")
        return status, answer

    def entry(self, worker: Worker) -> dict:
        """Returns a machine's entry in the list."""
        state = "up" if worker.alive else "down"
        if worker.machine in self.down:
            state = "upkeep"
        elif worker.machine in self._moving:
            state = "moving"
        return {
            "machine": worker.machine,
            "pool": worker.pool,
            "state": state,
            "zone": worker.zone,
            "labels": worker.labels,
            "capacity": {"cpu": worker.cpu, "memMb": worker.memory_mb, "gpu": 0},
            "id": worker.id if worker.alive else "",
        }

    def _order(self, path: str, body: dict, token: int) -> tuple[int, Any]:
        worker = self._worker(body.get("machine", ""))
        if worker is None:
            return 400, {}
        if token < self._fences.get(worker.machine, 0):
            return 409, {"reason": "fence"}
        self._fences[worker.machine] = token
        if path == "/machine-upkeep":
            wave = body["wave"]
            if worker.machine not in self.waves.get(wave, ()):
                return 409, {"reason": "wave"}
            if (wave, worker.machine) in self.begun:
                return 200, {}
            if not worker.alive or worker.state != "ready":
                return 409, {"reason": "busy"}
            self.on_begin(wave, worker.machine)
            self.begun[wave, worker.machine] = self.record.now
            self.down[worker.machine] = wave
            asyncio.create_task(self._away(worker, BOUNDS["maintenanceS"], None))
            return 200, {}
        if worker.pool == body["pool"]:
            return 200, {}
        if body["pool"] not in {w.pool for w in self.system.workers}:
            return 400, {}
        if not worker.alive or worker.state != "ready":
            return 409, {"reason": "busy"}
        self._moving.add(worker.machine)
        asyncio.create_task(self._away(worker, BOUNDS["migrationS"], body["pool"]))
        return 200, {}

    async def _away(self, worker: Worker, for_s: float, pool: str | None) -> None:
        worker.crash("is taken down by the cloud")
        await asyncio.sleep(for_s)
        worker.pool = pool or worker.pool
        await worker.start()
        self.down.pop(worker.machine, None)
        self._moving.discard(worker.machine)


# The whole system.


@dataclass
class Route:
    """A queue."""

    name: str
    prefix: str
    pool: str
    public: bool = False
    max_attempts: int = 2


class System:
    """Three controllers, one entry, workers and the machine API."""

    HOST = "jobs.example"
    KEY = "k0000000000000000001"

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._subnet, self._reservation = self._reserve()
        self.runs: list[Run] = []
        self.workers: list[Worker] = []
        self.cores = [self._program("core", n) for n in (1, 2, 3)]
        self.fronts = [self._program("front", 1)]
        self.cloud = Cloud(self)
        self.version = 0
        self._worker_processes: list[subprocess.Popen] = []

    @staticmethod
    def _reserve() -> tuple[int, socket.socket]:
        """Takes a loopback subnet that no other run of a case uses."""
        for number in random.sample(range(20, 220), 200):
            try:
                return number, socket.create_server((f"127.{number}.9.1", 17999))
            except OSError:
                continue
        raise CannotRun("no loopback subnet is free")

    def ip(self, kind: int, number: int) -> str:
        """Returns a loopback address of this run."""
        return f"127.{self._subnet}.{kind}.{number}"

    def _program(self, role: str, number: int) -> Program:
        kind = 1 if role == "core" else 2
        folder = self.folder / f"{role}-{number}"
        folder.mkdir()
        zone = f"z{number}"
        return Program(f"{role}-{zone}", role, self.ip(kind, number), zone, folder)

    def write_settings(self, program: Program, *, bootstrap: bool) -> None:
        """Writes the settings file of a program."""
        seeds = [f"{self.ip(1, number)}:{CONTROL_PORT}" for number in (1, 2, 3)]
        core = program.role == "core"
        lines = [
            f'nodeName = "{program.name}"',
            f'role = "{program.role}"',
            f'machineClass = "{program.role}"',
            f'serves = ["{"control" if core else "front"}"]',
            f'ip = "{program.ip}"',
            f'zone = "{program.zone}"',
            'region = "r"',
            f"internalPortRange = [{PEER_PORTS[0]}, {PEER_PORTS[1]}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            f"countsAsLoss = {json.dumps(core)}",
            "heartbeatMs = 1000",
            'config_mode = "highest"',
            'orders = "push"',
        ]
        if core:
            (program.folder / "data").mkdir(exist_ok=True)
            lines.append(f'dataDir = "{program.folder / "data"}"')
        lines.append("[bindAddresses]")
        if core:
            lines.append(f'control = "{program.ip}:{CONTROL_PORT}"')
        else:
            lines.append(f'front = "{program.ip}:{FRONT_PORT}"')
            lines.append(f'ready = "{program.ip}:{READY_PORT}"')
        lines += ["[limits]", "cpuShare = 1.0", "cpuCores = 2", "memoryMb = 300", "maxFds = 4096"]
        lines += ["[faultTolerance]", "machines = 1", "zones = 1", "regions = 0", "[bounds]"]
        lines += [f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items()]
        lines += ["[cloudApi]", f'address = "{self.ip(5, 1)}:{CLOUD_PORT}"', "ratePerS = 64.0"]
        lines += ["dutyPerS = 64.0", ""]
        (program.folder / "boot.toml").write_text("\n".join(lines))

    async def start(self) -> None:
        """Starts the programs and waits until the entry is ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: build as the deploy file says")
        await self.cloud.server.start()
        for program in self.cores + self.fronts:
            self.write_settings(program, bootstrap=True)
            program.start()
        await self.until("the entry to be ready", self.ready, 30.0)

    async def ready(self) -> bool:
        """Whether the entry says that it is ready."""
        answer = await call(self.fronts[0].ip, READY_PORT, "GET", "/ready", timeout_s=1.0)
        return answer is not None and answer[0] == 200

    def start_worker_process(self, number: int, **arguments: Any) -> Path:
        """Starts a worker in a process of its own; returns the file with what it runs."""
        record = self.folder / f"worker-{number}.txt"
        body = {
            "system": {"subnet": self._subnet, "controllers": [core.ip for core in self.cores]},
            "worker": {"number": number, **arguments},
            "record": str(record),
            "started": self.record.started,
        }
        script = Path(__file__).with_name("worker_process.py")
        self._worker_processes.append(
            subprocess.Popen(["python3", "-B", str(script), json.dumps(body)])
        )
        return record

    async def until(self, what: str, check: Callable[[], Any], timeout_s: float) -> None:
        """Waits for a condition, which may be a coroutine function; raises CannotRun if in vain."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"waited in vain for {what}")

    def stop(self) -> None:
        """Ends all processes that were started, by their ids."""
        for program in self.cores + self.fronts:
            program.end()
        for process in self._worker_processes:
            process.kill()
            process.wait()
        for path in sorted(self.folder.glob("worker-*.txt")):
            self.record.append(path)
        self.record.close()
        for worker in self.workers:
            worker.crash()
        self.cloud.server.abort()
        self._reservation.close()
        if os.environ.get("KEEP"):
            sys.stderr.write(f"kept {self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Operator.

    def leader(self) -> Program | None:
        """Returns the controller whose log shows the newest owner, if its process runs."""
        newest: tuple[int, Program | None] = (0, None)
        for core in self.cores:
            for line in core.log().splitlines():
                if " event=owner_started " in f"{line} " and " term=" in line:
                    term = int(line.partition(" term=")[2].split(" ")[0])
                    newest = max(newest, (term, core), key=lambda row: row[0])
        core = newest[1]
        return core if core is not None and core.process.poll() is None else None

    async def order(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Sends an order to one controller after the other until it gets a clear answer."""
        for attempt in range(40):
            core = self.cores[attempt % len(self.cores)]
            answer = await call(core.ip, CONTROL_PORT, method, path, body, timeout_s=1.0)
            if answer is not None and answer[0] < 500 and answer[0] not in (408, 429):
                self.record.note(f"operator: {method} {path}: {answer[0]}")
                return answer
            await asyncio.sleep(0.2)
        raise CannotRun(f"{method} {path} got no clear answer")

    async def configure(self, routes: list[Route], pools: list[str], **changes: Any) -> None:
        """Sends a configuration until it is acknowledged."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": [
                {
                    "name": route.name,
                    "host": self.HOST,
                    "pathPrefix": route.prefix,
                    "type": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 600,
                    "priority": 0,
                    "backend": route.pool,
                    "maxAttempts": route.max_attempts,
                    "stretch": 2.0,
                    "public": route.public,
                }
                for route in routes
            ],
            "backends": [
                {
                    "name": pool,
                    "healthPath": "/health",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 0.0,
                    "coldPerS": 0.0,
                    "admissionCheck": True,
                    "standby": False,
                }
                for pool in pools
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [
                {
                    "name": "t1",
                    "apiKeys": [self.KEY],
                    "priority": 1,
                    "weight": 20,
                    "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
                }
            ],
            **changes,
        }
        status, _ = await self.order("PUT", "/config", config)
        if status != 200:
            raise CannotRun(f"the configuration was refused with {status}")

    # Clients.

    async def client(
        self, method: str, path: str, body: Any = None, *, note: bool = True
    ) -> tuple[int, Any] | None:
        """Sends a client's call to the entry; None without a complete answer."""
        headers = {"Host": self.HOST, "Geraniumtrack-Credential": self.KEY}
        headers["Geraniumtrack-Deadline-Ms"] = "3000"
        answer = await call(
            self.fronts[0].ip, FRONT_PORT, method, path, body, headers=headers, timeout_s=3.2
        )
        if note:
            self.record.note(f"client: {method} {path}: {answer}")
        return answer

    async def submit(self, prefix: str, job_id: str, steps: list[dict], spec: dict) -> None:
        """Hands a job in, again after no clear answer; raises CannotRun if it isn't accepted."""
        body = {"spec": json.dumps(spec), "steps": steps}
        for _ in range(10):
            answer = await self.client("POST", prefix + job_id, body)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job_id} was not accepted")

    async def state(self, prefix: str, job_id: str, *, note: bool = True) -> Any:
        """Returns the state that a job is shown in, or the status of another answer."""
        answer = await self.client("GET", prefix + job_id, note=note)
        if answer is None:
            return None
        return answer[1]["state"] if answer[0] == 200 else answer[0]

    def runs_of(self, job_id: str) -> list[Run]:
        """Returns the runs of a job."""
        return [run for run in self.runs if run.task.startswith(job_id + ".")]

    def active(self, job_id: str) -> list[Run]:
        """Returns the active runs of a job."""
        return [run for run in self.runs_of(job_id) if run.ended is None]


class StallCheck:
    """Looks for accepted jobs with nothing running while their tasks' turn has come.

    The rule LOST allows that for 3 s, if nothing has disturbed the deployment in that time and in
    the 4 s before. It is looked at only while a task of the job fits twice on workers that are up
    and under half of the service's processors are in use. The tenants of the cases have no limit.

    Attributes:
        calm_since: Time of the record at which the last disruption ended; None during one.
        longest: Length in seconds of the longest such span, and the job.
    """

    ALLOWED_S, CALM_S = 3.0, 4.0

    def __init__(self, system: System, *, pool: str, kind: str = "", idle_s: float = 0.0) -> None:
        self.calm_since: float | None = 0.0
        self.longest: tuple[float, str] = (0.0, "")
        self._system, self._pool, self._kind, self._idle_s = system, pool, kind, idle_s
        self._jobs: dict[str, int] = {}
        self._since: dict[str, float] = {}

    def watch(self, job_id: str, cpu: int) -> None:
        """Watches an accepted job, a task of which needs `cpu` thousandths of a core."""
        self._jobs[job_id] = cpu

    def forget(self, job_id: str) -> None:
        """Ends watching a job whose tasks are done."""
        self._jobs.pop(job_id, None)
        self._since.pop(job_id, None)

    @property
    def broken(self) -> bool:
        """Whether a span was longer than the rule allows."""
        return self.longest[0] >= self.ALLOWED_S

    async def run(self) -> None:
        """Looks at the jobs until it is cancelled."""
        while True:
            self._sample()
            await asyncio.sleep(0.05)

    def _sample(self) -> None:
        now = self._system.record.now
        up = [w for w in self._system.workers if w.alive and w.pool == self._pool]
        used, whole = sum(w.used_cpu for w in up), sum(w.cpu for w in up)
        calm = self.calm_since is not None and now >= self.calm_since + self.CALM_S
        running = {run.task.partition(".")[0] for w in up for run in w.running.values()}
        for job_id, cpu in self._jobs.items():
            able = [w for w in up if not self._kind or self._kind in w.labels]
            fits = sum((w.cpu - w.used_cpu) // cpu for w in able) >= 2
            ended = [run.ended for run in self._system.runs_of(job_id) if run.ended is not None]
            rested = not ended or now >= max(ended) + self._idle_s
            if not (calm and fits and rested and used < whole / 2) or job_id in running:
                self._since.pop(job_id, None)
                continue
            length = now - self._since.setdefault(job_id, now)
            if length > self.longest[0]:
                if self.longest[0] < self.ALLOWED_S <= length:
                    self._system.record.note(
                        f"job {job_id} has had nothing running for {self.ALLOWED_S} s in calm, "
                        f"{used} of {whole} thousandths of a core are in use"
                    )
                self.longest = (length, job_id)


def main(case: Callable[[System, bool], Awaitable[bool]], folder: Path) -> None:
    """Runs a case, which returns whether the rule held, and exits with its code.

    Args:
        case: Called with the system, which is started, and whether to make the disruption.
        folder: Folder of the case.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        system = System(record)
        try:
            await system.start()
            async with asyncio.timeout(100):
                held = await case(system, trouble)
            record.note("the rule held" if held else "THE RULE WAS BROKEN")
            return HELD if held else BROKEN
        except (CannotRun, TimeoutError) as exc:
            record.note(f"the case could not run: {exc!r}")
            return NOT_RUN
        finally:
            system.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
