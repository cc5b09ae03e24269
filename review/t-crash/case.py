"""The worker under a task is killed and back within 1 s, three times; the job must go on."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from harness import System, run_case

WORKERS = 8  # one of eight is a share of 0.125
CRASHES = 3
AT_WORK_S = 1.2  # from the start of the run to the crash of its worker
DOWN_S = 1.0
WORK_MS = 3000
MAX_ATTEMPTS = 4
JOB = "00000000000000c1"


async def play(system: System) -> str:
    await system.configure(max_attempts=MAX_ATTEMPTS)
    for number in range(WORKERS):
        await system.add_worker(rack=f"r{number // 4 + 1}")
    await asyncio.sleep(3.0)
    await system.submit(JOB, {"ms": WORK_MS})
    state = ""
    for _ in range(CRASHES if system.trouble else 0):
        await system.wait_for(lambda: system.runner(JOB) is not None, 15.0, "a run of the task")
        await asyncio.sleep(AT_WORK_S)
        worker = system.runner(JOB)
        worker.kill()
        await asyncio.sleep(DOWN_S)
        await worker.start()
    for _ in range(40):
        state = await system.state(JOB)
        if state in ("failed", "completed", "cancelled"):
            break
        await asyncio.sleep(0.5)
    failed = sum(row[4] == "failed" for row in system.ends)
    system.record(f"state {state}; ends `failed`: {failed} of maxAttempts {MAX_ATTEMPTS}")
    if state == "failed" and failed < MAX_ATTEMPTS:
        return f"the job is shown as failed after {failed} ends `failed`"
    return ""


run_case(play, Path(__file__).parent)
