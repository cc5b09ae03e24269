"""One worker of ten answers starts with 503 for 6.5 s; it alone has the label that the jobs need.

The queue is asked how many jobs haven't begun.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from harness import CannotRun, System, run_case

JOBS = 8
WORKERS = 10  # one of ten is a share of 0.1
REFUSING_S = 6.5
SETTLED_S = 5.0  # `visible_ms` + 2 s


async def play(system: System) -> str:
    """Plays the case."""
    await system.configure()
    for number in range(WORKERS):
        label = "b" if number == 0 else "a"
        await system.add_worker(rack=f"r{number // 5 + 1}", label=label)
    await asyncio.sleep(3.0)
    grey = system.workers[0]
    grey.refuse_starts = system.trouble
    began_at = system.record.now()
    names = [f"{number:016x}" for number in range(1, JOBS + 1)]
    for name in names:
        await system.submit(name, {"ms": 500}, requirements="b")
    await asyncio.sleep(SETTLED_S + 0.3)
    waiting = [name for name in names if not any(row[1].startswith(name) for row in system.starts)]
    reply = await system.client("GET", "")
    if system.record.now() - began_at > REFUSING_S:
        raise CannotRun("the queue was asked too late")
    pending = reply.json().get("pending") if reply is not None and reply.status == 200 else None
    grey.refuse_starts = False
    system.record(f"not begun: {len(waiting)}; pending: {pending}")
    if pending is not None and pending < len(waiting) / 2:
        return f"{len(waiting)} jobs haven't begun, the queue says pending {pending}"
    return ""


run_case(play, Path(__file__).parent)
