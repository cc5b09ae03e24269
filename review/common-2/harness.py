"""A small deployment for the cases of the second review.

The programs of `deploy/system.toml` run as separate processes, each on a loopback address of its
own. Workers, clients, the operator and the platform's machine API are stand-ins in this process.
They do what PROTOCOL.md says, and nothing else unless a case asks for a disruption.

Uses the standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0
CONTROL_PORT, FRONT_PORT, READY_PORT, WORKER_PORT, CLOUD_PORT = 8345, 8340, 8343, 8080, 8344
INTERNAL_PORTS = (7000, 7015)
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.1  # a stop takes at most `stopGraceMs`, which is 200
MAX_WAIT_MS = 2000
STARTUP_S = 0.2  # of a task that lasts
UPKEEP_S = 2.0  # `maintenanceS`
MOVE_S = 1.5  # `migrationS`
HOST, PREFIX, KEY = "desk.example", "/jobs/", "key-of-acme"

BOUNDS = """
seedLagS = 3
addressReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = true
revokeMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
coldOvershoot = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 12
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
thawSlackMs = 300
rateWindowMs = 100
impactMs = 4000
"""


class CannotRun(Exception):
    """The deployment could not be brought to the state in which the case begins."""


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w")  # noqa: SIM115 - open until the process ends
        self._started = time.monotonic()

    def now(self) -> float:
        """Returns the time in seconds since the start of the case."""
        return time.monotonic() - self._started

    def __call__(self, text: str) -> None:
        """Writes a line."""
        print(f"{self.now():8.3f} {text}", file=self._file, flush=True)


class Reply:
    """An answer to a request of a stand-in."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body

    def json(self) -> dict:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Reply | None:
    """Sends one request on a connection of its own; returns None if there is no answer in time."""
    data = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
    if data:
        fields["Content-Type"] = "application/json"
    fields["Content-Length"] = str(len(data))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None

    async def exchange() -> Reply:
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        first, _, answer = await _read_message(reader)
        return Reply(int(first.split()[1]), answer)

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


Handler = Callable[[str, str, dict[str, str], dict], Awaitable[tuple[int, dict] | None]]


class Server:
    """An HTTP server of a stand-in; a handler that returns None leaves the request unanswered."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, address: tuple[str, int]) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._serve, *address, reuse_address=True)

    def kill(self) -> None:
        """Closes the port and resets all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ")
                answer = await self._handler(method, path, headers, json.loads(body or b"{}"))
                if answer is None:
                    await asyncio.sleep(3600)
                data = json.dumps(answer[1]).encode()
                writer.write(
                    f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


class Worker:
    """One incarnation of a worker.

    The `spec` of a job is JSON: `ms` is the work of each task; without it the task lasts.

    Attributes:
        refuse_starts: Whether it answers starts with 503, having done nothing.
    """

    def __init__(
        self,
        system: System,
        worker_id: str,
        host: str,
        *,
        machine: str,
        pool: str,
        zone: str,
        labels: list[str],
        cpu: int = 16_000,
    ) -> None:
        self.system = system
        self.id = worker_id
        self.host = host
        self.machine = machine
        self.pool = pool
        self.zone = zone
        self.labels = labels
        self.capacity = {"cpu": cpu, "memMb": 65_536, "gpu": 0}
        self.refuse_starts = False
        self.alive = False
        self.born = 0
        self.running: dict[str, dict] = {}
        self._server: Server | None = None
        self._jobs: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts an incarnation, which holds and knows nothing of before."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self._began = time.monotonic()
        self._fence = 0
        self._deadline = 0
        self.running = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self._last_end = 0
        self._sequence = 0
        self._heartbeat_address = ""
        self._changed = asyncio.Event()
        self.alive = True
        self._server = Server(self._handle)
        await self._server.listen((self.host, WORKER_PORT))
        self.system.record(f"worker {self.id} starts, born {self.born}")
        self._jobs = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._watch_lease()),
        ]

    def kill(self) -> None:
        """Ends the incarnation without a word."""
        self.system.record(f"worker {self.id} is killed with {sorted(self.running)}")
        self.alive = False
        for name, row in self.running.items():
            self.system.run_ended(self, name, row["run"], "crashed")
        self.running = {}
        self._server.kill()
        for job in self._jobs:
            job.cancel()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began) * 1000) + 1

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            body = {
                "backend": self.pool,
                "address": f"{self.host}:{WORKER_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "machine": self.machine,
                "born": self.born,
                "clockMs": self._clock_ms,
                "sequence": self._sequence,
            }
            addresses = self.system.control_addresses()
            if self._heartbeat_address:
                host, _, port = self._heartbeat_address.rpartition(":")
                addresses.insert(0, (host, int(port)))
            for address in addresses:
                reply = await call(address, "PUT", f"/instances/{self.id}", body)
                if reply is not None and reply.status == 200:
                    self._heartbeat_address = reply.json().get("heartbeatAddress", "")
                    break
                self._heartbeat_address = ""
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for name, row in list(self.running.items()):
                if self._clock_ms > self._deadline:
                    self._end(name, row["run"], "lapsed")
                elif row["stop_at"] is not None and now >= row["stop_at"]:
                    self._end(name, row["run"], "stopped")
                elif row["ends_at"] is not None and now >= row["ends_at"]:
                    self._end(name, row["run"], "done")

    def _end(self, name: str, run: int, how: str) -> None:
        if self.running.get(name, {}).get("run") != run:
            return
        del self.running[name]
        self._highest[name] = max(self._highest.get(name, 0), run)
        self._last_end += 1
        self._ends.append([self._last_end, name, run, how, ""])
        self.system.run_ended(self, name, run, how)
        self._changed.set()

    def _answer(self, status: int = 200, **fields: object) -> tuple[int, dict]:
        return status, {"clockMs": self._clock_ms, "born": self.born, **fields}

    async def _handle(
        self, _method: str, path: str, headers: dict[str, str], body: dict
    ) -> tuple[int, dict] | None:
        if headers.get("geraniumtrack-expect-instance", self.id) != self.id:
            return 421, {}
        if path == "/health":
            return 200, {}
        if path == "/run-start" and self.refuse_starts:
            self.system.record(f"worker {self.id} answers 503 to a start of {body['task']}")
            return self._answer(503)
        token = body.get("fencingToken", 0)
        if token < self._fence:
            return self._answer(409, reason="fence")
        self._fence = token
        if path == "/run-start":
            return self._start_run(body)
        if path == "/run-stop":
            return self._stop_run(body)
        if path == "/hold":
            return await self._hold(body)
        return self._answer() if path == "/pace" else (404, {})

    def _extend(self, body: dict) -> None:
        latest = self._clock_ms + MAX_HOLD_MS
        self._deadline = max(self._deadline, min(body.get("deadlineMs", 0), latest))

    def _start_run(self, body: dict) -> tuple[int, dict]:
        name, run = body["task"], body["run"]
        if body["deadlineMs"] <= self._clock_ms:
            return self._answer(409, reason="late")
        self._extend(body)
        current = self.running.get(name)
        if current is not None and current["run"] == run:
            return self._answer()
        if current is not None or run <= self._highest.get(name, 0):
            return self._answer(409, reason="old")
        spec = json.loads(body["spec"])
        cpu = spec.get("cpu", 1000)
        if sum(row["cpu"] for row in self.running.values()) + cpu > self.capacity["cpu"]:
            return self._answer(409, reason="room")
        now = time.monotonic()
        ends_at = now + spec["ms"] / 1000 if "ms" in spec else None
        self.running[name] = {
            "run": run,
            "cpu": cpu,
            "began": now,
            "ends_at": ends_at,
            "stop_at": None,
        }
        self.system.run_began(self, name, run)
        return self._answer()

    def _stop_run(self, body: dict) -> tuple[int, dict]:
        name, run = body["task"], body["run"]
        self._highest[name] = max(self._highest.get(name, 0), run)
        row = self.running.get(name)
        if row is not None and row["run"] <= run and row["stop_at"] is None:
            row["stop_at"] = time.monotonic() + STOP_S
        return self._answer()

    async def _hold(self, body: dict) -> tuple[int, dict]:
        self._extend(body)
        self._ends = [row for row in self._ends if row[0] > body.get("lastSeen", 0)]
        wait_s = min(body.get("waitMs", 0), MAX_WAIT_MS) / 1000
        if not self._ends and wait_s:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        now = time.monotonic()
        rows = [
            [name, row["run"], "", 100 if now > row["began"] + STARTUP_S else 0, 0]
            for name, row in self.running.items()
        ]
        return self._answer(running=rows, endedRuns=self._ends[:500])


class Cloud:
    """The platform's machine API, with fencing tokens for each machine.

    Attributes:
        hold_upkeep_s: If set, an upkeep order is not answered and is carried out after this time.
        upkeeps: Rows of time, machine, wave and the machines that were down for that wave.
    """

    def __init__(self, system: System) -> None:
        self.system = system
        self.hold_upkeep_s: Callable[[str], float | None] = lambda _machine: None
        self.upkeeps: list[tuple[float, str, int, list[str]]] = []
        self.waves: dict[int, tuple[set[str], int]] = {}
        self._down: dict[str, int] = {}
        self._done: set[tuple[str, int]] = set()
        self._fences: dict[str, int] = {}
        self._server = Server(self._handle)

    async def start(self) -> None:
        """Opens the port."""
        await self._server.listen((self.system.address(250), CLOUD_PORT))

    def stop(self) -> None:
        """Closes the port."""
        self._server.kill()

    async def _handle(
        self, _method: str, path: str, headers: dict[str, str], body: dict
    ) -> tuple[int, dict] | None:
        if path.startswith("/machines"):
            return 200, {
                "machines": [self._row(w) for w in self.system.workers],
                "nextPageToken": "",
            }
        if path == "/machine-upkeep":
            machine, wave = body["machine"], body["wave"]
            fence = int(headers["geraniumtrack-fencing-token"])
            holder = headers["geraniumtrack-duty-holder"]
            delay_s = self.hold_upkeep_s(machine)
            text = f"upkeep of {machine} for wave {wave} by {holder} with token {fence}"
            if delay_s is not None:
                self.system.record(f"platform: {text}: not answered, carried out in {delay_s} s")
                asyncio.get_running_loop().call_later(
                    delay_s, self._upkeep, machine, wave, fence, f"late {text}"
                )
                return None
            return self._upkeep(machine, wave, fence, text)
        if path == "/machine-move":
            return 400, {}  # its pools are pools of other machines
        return 404, {}

    def _upkeep(self, machine: str, wave: int, fence: int, text: str) -> tuple[int, dict]:
        answer = self._try_upkeep(machine, wave, fence)
        self.system.record(f"platform: {text}: {answer}; down: {sorted(self._down)}")
        return answer

    def _try_upkeep(self, machine: str, wave: int, fence: int) -> tuple[int, dict]:
        if fence < self._fences.get(machine, 0):
            return 409, {"reason": "fence"}
        self._fences[machine] = fence
        worker = next((w for w in self.system.workers if w.machine == machine), None)
        if worker is None:
            return 400, {}
        if machine not in self.waves.get(wave, (set(), 0))[0]:
            return 409, {"reason": "wave"}
        if (machine, wave) in self._done:
            return 200, {}
        if not worker.alive:
            return 409, {"reason": "busy"}
        others = [name for name, number in self._down.items() if number == wave]
        self.upkeeps.append((self.system.record.now(), machine, wave, others))
        self._done.add((machine, wave))
        self._down[machine] = wave
        worker.kill()
        worker.id += "-x"  # a new worker joins
        self.system.spawn(self._return(worker))
        return 200, {}

    async def _return(self, worker: Worker) -> None:
        await asyncio.sleep(UPKEEP_S)
        del self._down[worker.machine]
        await worker.start()

    def _row(self, worker: Worker) -> dict:
        state = "up" if worker.alive else "upkeep" if worker.machine in self._down else "down"
        return {
            "machine": worker.machine,
            "pool": worker.pool,
            "state": state,
            "zone": worker.zone,
            "labels": worker.labels,
            "capacity": worker.capacity,
            "id": worker.id if worker.alive else "",
        }


class System:
    """The deployment: controllers and entries as processes, everything else as stand-ins.

    Attributes:
        trouble: Whether the disruption takes place.
        starts: Rows of time, task, run and worker.
        ends: Rows of time, task, run, worker and kind.
    """

    def __init__(self, record: Record, *, cores: int = 3, fronts: int = 1) -> None:
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.workers: list[Worker] = []
        self.cloud = Cloud(self)
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.cores = [f"core-{n + 1}" for n in range(cores)]
        self.fronts = [f"front-{n + 1}" for n in range(fronts)]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._tasks: set[asyncio.Task] = set()
        self._version = 0

    # Processes.

    def address(self, number: int) -> str:
        """Returns a loopback address of this deployment."""
        return f"{self._net}.{number}"

    def host(self, name: str) -> str:
        """Returns the address of a program."""
        kind, _, number = name.partition("-")
        return self.address((10 if kind == "core" else 40) + int(number))

    def spawn(self, coroutine: Awaitable) -> None:
        """Runs a coroutine beside the case."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        """Starts the programs and waits until the entries are ready."""
        await self.cloud.start()
        for name in (*self.cores, *self.fronts):
            await self.start_process(name, bootstrap=True)
        for _ in range(200):
            replies = [await call((self.host(f), READY_PORT), "GET", "/ready") for f in self.fronts]
            if all(reply is not None and reply.status == 200 for reply in replies):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("no entry is ready")

    async def start_process(self, name: str, *, bootstrap: bool = False) -> None:
        """Starts a program with the command of the deploy file."""
        kind = name.partition("-")[0]
        roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
        role = next(role for role in roles.values() if role["on"] == kind)
        env = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        } | role.get("env", {})
        env["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["GERANIUMTRACK_BOOT"] = str(self._write_boot(name, kind, bootstrap))
        words = role["run"].split()
        program = sys.executable if words[0] == "python3" else words[0]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                program,
                *words[1:],
                cwd=REPOSITORY,
                env=env,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.record(f"{name} starts at {self.host(name)}")

    def _write_boot(self, name: str, kind: str, bootstrap: bool) -> Path:
        host = self.host(name)
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        seeds = [f"{self.host(core)}:{CONTROL_PORT}" for core in self.cores[:3]]
        bind = (
            f'control = "{host}:{CONTROL_PORT}"\n'
            if kind == "core"
            else f'front = "{host}:{FRONT_PORT}"\nready = "{host}:{READY_PORT}"\n'
        )
        text = (
            f'nodeName = "{name}"\nrole = "{kind}"\nmachineClass = "{kind}"\n'
            f'serves = ["{"control" if kind == "core" else "front"}"]\nip = "{host}"\n'
            f'zone = "zone-a"\nregion = "here"\n'
            f"internalPortRange = [{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}]\n"
            f"seeds = {json.dumps(seeds)}\nbootstrap = {str(bootstrap).lower()}\n"
            f"countsAsLoss = {str(kind == 'core').lower()}\n"
            'discovery = "registry"\nentryMode = "vip"\nheartbeatMs = 1500\n'
            'contracts = ["base","drain","config","cost","recover","sched","tenants","quota",'
            '"places","advice","upkeep","sharing"]\nconfig_mode = "highest"\norders = "push"\n'
            + (f'dataDir = "{data}"\n' if kind == "core" else "")
            + '[zones]\nzone-a = "here"\nzone-b = "here"\n'
            f"[bindAddresses]\n{bind}"
            "[limits]\ncpuShare = 1.0\ncpuCores = 2\nmemoryMb = 300\nmaxFds = 4096\n"
            "linkMbps = 1000.0\ndiskMb = 128\n"
            "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            f"[bounds]{BOUNDS}"
            f'[cloudApi]\naddress = "{self.address(250)}:{CLOUD_PORT}"\nratePerS = 64.0\n'
            "duties = []\ndutyPerS = 64.0\n"
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a program."""
        self.record(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a program and waits for its end."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def leader(self) -> str:
        """Returns the controller that workers are told to send their heartbeats to."""
        probe = self.workers[0]
        for _ in range(100):
            address = probe._heartbeat_address
            for core in self.cores:
                if address.startswith(f"{self.host(core)}:"):
                    return core
            await asyncio.sleep(0.1)
        raise CannotRun("no worker was told which controller leads")

    async def stop(self) -> None:
        """Ends everything that this deployment started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for worker in self.workers:
            if worker.alive:
                worker.kill()
        self.cloud.stop()
        for task in list(self._tasks):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Workers.

    async def add_worker(
        self,
        *,
        pool: str = "desk",
        zone: str = "zone-a",
        rack: str = "r1",
        label: str = "a",
        cpu: int = 16_000,
    ) -> Worker:
        """Starts a worker on a machine of its own."""
        number = len(self.workers) + 1
        worker = Worker(
            self,
            f"w-{number}",
            self.address(100 + number),
            machine=f"m-{number}",
            pool=pool,
            zone=zone,
            labels=[label, rack],
            cpu=cpu,
        )
        self.workers.append(worker)
        await worker.start()
        return worker

    def run_began(self, worker: Worker, task: str, run: int) -> None:
        """Notes that a worker has begun a run."""
        self.starts.append((self.record.now(), task, run, worker.id))
        self.record(f"worker {worker.id} begins {task} run {run}")

    def run_ended(self, worker: Worker, task: str, run: int, how: str) -> None:
        """Notes that a run has ended."""
        self.ends.append((self.record.now(), task, run, worker.id, how))
        self.record(f"worker {worker.id} ends {task} run {run}: {how}")

    # Operator.

    def control_addresses(self) -> list[tuple[str, int]]:
        """Returns the addresses of the controllers in a random order."""
        names = list(self.cores)
        random.shuffle(names)
        return [(self.host(name), CONTROL_PORT) for name in names]

    async def order(self, method: str, path: str, body: dict | None = None) -> Reply:
        """Sends an order as the operator does, to one controller after the other."""
        deadline = self.record.now() + 15.0
        while self.record.now() < deadline:
            for address in self.control_addresses():
                if await self.order_at(address, method, path, body) is not None:
                    return self._last
            await asyncio.sleep(0.2)
        raise CannotRun(f"{method} {path} is not acknowledged")

    async def order_at(
        self, address: tuple[str, int], method: str, path: str, body: dict | None = None
    ) -> Reply | None:
        """Sends an order to one controller; returns None unless it is answered with 2xx."""
        self.record(f"operator to {address[0]}: {method} {path}")
        self._last = await call(address, method, path, body)
        status = self._last.status if self._last is not None else "no answer"
        self.record(f"operator from {address[0]}: {method} {path}: {status}")
        return self._last if self._last is not None and 200 <= self._last.status < 300 else None

    async def configure(self) -> None:
        """Sends the next configuration until it is acknowledged."""
        await self.order("PUT", "/config", self.next_config())

    def next_config(self) -> dict:
        """Returns the next configuration."""
        self._version += 1
        return {
            "version": self._version,
            "routes": [
                {
                    "name": "q-desk",
                    "host": HOST,
                    "pathPrefix": PREFIX,
                    "type": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 600,
                    "priority": 0,
                    "backend": "desk",
                    "maxAttempts": 4,
                    "stretch": 1.6,
                    "public": False,
                },
            ],
            "backends": [
                {
                    "name": "desk",
                    "healthPath": "/health",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 0.0,
                    "coldPerS": 0.0,
                    "admissionCheck": True,
                    "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [
                {
                    "name": "acme",
                    "apiKeys": [KEY],
                    "priority": 1,
                    "weight": 20,
                    "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
                }
            ],
        }

    # Clients.

    async def client(
        self, method: str, path: str, body: dict | None = None, *, front: str = ""
    ) -> Reply | None:
        """Sends a call of a client to an entry."""
        headers = {
            "Host": HOST,
            "Geraniumtrack-Credential": KEY,
            "Geraniumtrack-Deadline-Ms": "3000",
        }
        host = self.host(front or random.choice(self.fronts))
        reply = await call((host, FRONT_PORT), method, PREFIX + path, body, headers, timeout_s=3.0)
        text = f"{reply.status} {reply.body.decode()}" if reply is not None else "no answer"
        self.record(f"client: {method} {PREFIX}{path}: {text}")
        return reply

    async def submit(self, job_id: str, spec: dict, **step: object) -> None:
        """Submits a job of one step; tries again after an answer that allows it."""
        body = {
            "spec": json.dumps(spec),
            "steps": [
                {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": spec.get("ms", 700), **step}
            ],
        }
        for _ in range(5):
            reply = await self.client("POST", job_id, body)
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job_id} is not accepted")

    async def state(self, job_id: str) -> str:
        """Returns the state of a job, or what its GET got instead."""
        reply = await self.client("GET", job_id)
        if reply is None:
            return "no answer"
        return reply.json().get("state", "") if reply.status == 200 else str(reply.status)

    async def wait_for(self, check: Callable[[], bool], timeout_s: float, what: str) -> None:
        """Waits until a condition holds; raises CannotRun if it doesn't in time."""
        deadline = self.record.now() + timeout_s
        while not check():
            if self.record.now() > deadline:
                raise CannotRun(f"not within {timeout_s} s: {what}")
            await asyncio.sleep(0.02)

    def runner(self, job_id: str) -> Worker | None:
        """Returns the worker on which a task of a job runs."""
        for worker in self.workers:
            if any(name.startswith(f"{job_id}.") for name in worker.running):
                return worker
        return None


def run_case(
    play: Callable[[System], Awaitable[str]], folder: Path, *, cores: int = 3, fronts: int = 1
) -> None:
    """Plays a case, which returns a text that says how the rule was broken, or an empty one."""

    async def main() -> int:
        record = Record(folder / "record.txt")
        system = System(record, cores=cores, fronts=fronts)
        record(f"TROUBLE={int(system.trouble)}")
        try:
            await system.start()
            broken = await asyncio.wait_for(play(system), TIME_LIMIT_S - record.now())
        except (CannotRun, OSError, TimeoutError) as exc:
            record(f"could not run: {exc!r}")
            print(f"could not run: {exc!r}")
            return COULD_NOT_RUN
        except Exception:  # noqa: BLE001 - an error of the case is no result
            record(f"could not run: {traceback.format_exc()}")
            traceback.print_exc()
            return COULD_NOT_RUN
        finally:
            await system.stop()
        record(f"result: {'broken: ' + broken if broken else 'held'}")
        print(f"broken: {broken}" if broken else "held")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(main()))
