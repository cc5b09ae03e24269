"""The configuration grows by 1,400 routes at a time, ten times; then an accepted job must go on."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from harness import CannotRun, System, call, run_case

WORKERS = 8
STEP = 1400  # routes that one `big_config` adds at most
STEPS = 10
FINISH_S = 14.0  # `finish_s`
IDLE_S = 3.0
WORK_MS = 2000
JOB, LATER_JOB = "00000000000000f0", "00000000000000f1"


async def send_config(system: System, config: dict, timeout_s: float) -> bool:
    """Sends a configuration to one controller after the other until it is acknowledged."""
    deadline = system.record.now() + timeout_s
    while system.record.now() < deadline:
        for address in system.control_addresses():
            reply = await call(address, "PUT", "/config", config, timeout_s=3.0)
            status = reply.status if reply is not None else "no answer"
            routes = len(config["routes"])
            system.record(f"operator to {address[0]}: PUT /config, {routes} routes: {status}")
            if reply is not None and reply.status == 200:
                return True
        await asyncio.sleep(0.2)
    return False


async def play(system: System) -> str:
    step = STEP if system.trouble else 0
    await system.configure()
    for number in range(WORKERS):
        await system.add_worker(rack=f"r{number // 4 + 1}")
    await asyncio.sleep(3.0)
    for number in range(1, STEPS):
        config = system.next_config(more_routes=step * number)
        if not await send_config(system, config, timeout_s=10.0):
            raise CannotRun(f"the configuration with {len(config['routes'])} routes")
    # A job of two steps, the second after the first.
    task = {"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": WORK_MS}
    spec = f'{{"ms": {WORK_MS}}}'
    body = {"spec": spec, "steps": [task, {**task, "dependsOn": [0]}]}
    reply = await system.client("POST", JOB, body)
    if reply is None or reply.status != 200:
        raise CannotRun("the job is not accepted")
    submitted_at = system.record.now()
    config = system.next_config(more_routes=step * STEPS)
    acknowledged = await send_config(system, config, timeout_s=FINISH_S - 2.0)
    system.record(f"last configuration acknowledged: {acknowledged}")
    await system.client("POST", LATER_JOB, body)
    await asyncio.sleep(max(0.0, submitted_at + FINISH_S + IDLE_S - system.record.now()))
    state = await system.state(JOB)
    done = sum(row[1].startswith(JOB) and row[4] == "done" for row in system.ends)
    system.record(f"{JOB}: {state}; tasks that ended done: {done} of 4")
    last = max((row[0] for row in system.ends if row[1].startswith(JOB)), default=submitted_at)
    idle_s = system.record.now() - last
    if state != "completed" and system.runner(JOB) is None and idle_s >= IDLE_S:
        return (
            f"job {JOB} was accepted; {done} of its 4 tasks are done and none has run for "
            f"{idle_s:.1f} s, with {WORKERS} idle workers; it is shown as {state}"
        )
    return ""


run_case(play, Path(__file__).parent)
