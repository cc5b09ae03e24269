"""The configuration grows by many routes, then configurations come in quick succession.

The platform kills a process that uses more than `memoryMb`, and starts it again.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from harness import CannotRun, System, call, run_case

WORKERS = 8
MEMORY_MB = 296  # `memory_mb` of a core machine of the site
ROUTES = 350  # that one `big_config` adds
GROWTHS = 8
GAP_S = 0.33  # between two configurations of a `config_storm`
STORM_S = 55.0  # fourteen storms of 4 s
RESTART_S = 0.5
FINISH_S = 14.0  # `finish_s`
WORK_MS = 30_000
JOB = "00000000000000a1"


def used_mb(system: System, name: str) -> int:
    """Returns the resident memory of a process."""
    page_bytes = os.sysconf("SC_PAGE_SIZE")
    pages = Path(f"/proc/{system.processes[name].pid}/statm").read_text().split()[1]
    return int(pages) * page_bytes // 2**20


async def enforce_memory(system: System, kills: dict[str, int], peaks: dict[str, int]) -> None:
    """Does what the platform does with a process that uses more than its memory."""
    while True:
        for name in system.cores:
            used = used_mb(system, name)
            peaks[name] = max(peaks[name], used)
            if used > MEMORY_MB:
                system.record(f"platform: {name} uses {used} MB of {MEMORY_MB} and is killed")
                kills[name] += 1
                await system.kill(name)
                await asyncio.sleep(RESTART_S)
                await system.start_process(name)
        await asyncio.sleep(0.05)


async def send_config(system: System, config: dict) -> bool:
    """Sends a configuration until it is acknowledged, at most for `ackTimeoutMs`."""
    deadline = system.record.now() + 4.0 + 0.003 * len(config["routes"])
    while system.record.now() < deadline:
        for address in system.control_addresses():
            reply = await call(address, "PUT", "/config", config, timeout_s=2.0)
            if reply is not None and reply.status == 200:
                return True
        await asyncio.sleep(0.2)
    return False


async def play(system: System) -> str:
    await system.configure()
    for number in range(WORKERS):
        await system.add_worker(rack=f"r{number // 4 + 1}")
    await asyncio.sleep(3.0)
    kills = dict.fromkeys(system.cores, 0)
    peaks = dict.fromkeys(system.cores, 0)
    system.spawn(enforce_memory(system, kills, peaks))
    # Its second step is due while the configurations come.
    task = {"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": WORK_MS}
    body = {"spec": f'{{"ms": {WORK_MS}}}', "steps": [task, {**task, "dependsOn": [0]}]}
    reply = await system.client("POST", JOB, body)
    if reply is None or reply.status != 200:
        raise CannotRun("the job is not accepted")
    routes = 0
    for _ in range(GROWTHS):
        routes += ROUTES if system.trouble else 0
        if not await send_config(system, system.next_config(more_routes=routes)):
            raise CannotRun("the configuration did not grow")
    storm_ends_at = system.record.now() + STORM_S
    sent = 0
    while system.record.now() < storm_ends_at:
        began_at = system.record.now()
        acknowledged = await send_config(system, system.next_config(more_routes=routes))
        sent += 1
        if sent % 10 == 0 or not acknowledged:
            text = "" if acknowledged else ", the last one not acknowledged"
            system.record(f"{sent} configurations with {routes} routes{text}; peak MB {peaks}")
        if not acknowledged:
            break
        await asyncio.sleep(max(0.0, began_at + GAP_S - system.record.now()))
    system.record(f"{sent} configurations with {routes} routes; peak MB {peaks}; kills {kills}")
    # From here on no configuration is sent.
    await asyncio.sleep(FINISH_S)
    states = []
    for _ in range(3):
        states.append(await system.state(JOB))
    done = sum(row[1].startswith(JOB) and row[4] == "done" for row in system.ends)
    system.record(f"kills {kills}; peak MB {peaks}; job {states}; tasks done {done} of 4")
    if all(state in ("no answer", "503", "504") for state in states):
        return (
            f"{FINISH_S} s after the last configuration, job {JOB} gets no answer: {states}; "
            f"{done} of its 4 tasks are done; kills for memory: {kills}"
        )
    return ""


run_case(play, Path(__file__).parent)
