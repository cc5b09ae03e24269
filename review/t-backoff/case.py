"""The worker under a task that lasts is killed seven times; then all is calm."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from harness import System, run_case

WORKERS = 8  # one of eight is a share of 0.125
CRASHES = 7
AT_WORK_S = 1.0  # from the start of a run to the crash of its worker
DOWN_S = 0.8
AFTER_RUN_S = 6.0
IDLE_S = 3.0
CALM_S = 4.0  # before the idle time
JOB = "00000000000000b1"


async def play(system: System) -> str:
    await system.configure()
    for number in range(WORKERS):
        await system.add_worker(rack=f"r{number // 4 + 1}")
    await asyncio.sleep(3.0)
    await system.submit(JOB, {}, longRunning=True)
    back_at = 0.0
    for _ in range(CRASHES if system.trouble else 0):
        await system.wait_for(lambda: system.runner(JOB) is not None, 20.0, "a run of the task")
        await asyncio.sleep(AT_WORK_S)
        worker = system.runner(JOB)
        worker.kill()
        await asyncio.sleep(DOWN_S)
        await worker.start()
        back_at = system.record.now()
    ended_at = system.ends[-1][0] if system.ends else 0.0
    judged_at = max(ended_at + AFTER_RUN_S, back_at + CALM_S) + IDLE_S
    while system.record.now() < judged_at:
        await asyncio.sleep(0.05)
        if system.runner(JOB) is not None:
            return ""
    system.record(f"state {await system.state(JOB)}")
    return (
        f"no run of the task since {ended_at:.3f}, none in the {IDLE_S} s up to {judged_at:.3f}, "
        f"with {WORKERS} idle workers and all calm since {back_at:.3f}"
    )


run_case(play, Path(__file__).parent)
