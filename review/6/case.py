"""A controller that was frozen carries out an evacuation that the operator has withdrawn since."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from harness import CONTROL_PORT, CannotRun, System, run_case

ZONE = "zone-b"
FREEZE_S = 4.0  # the freeze of a core machine in the site file
WITHDRAWN_AFTER_S = 1.0  # after the acknowledgement of the evacuation
FINISH_S = 14.0  # `finish_s`
IDLE_S = 3.0
PROBE, JOB = "00000000000000e0", "00000000000000e1"


async def play(system: System) -> str:
    """Plays the case."""
    await system.configure()
    for number in range(8):
        zone, label = (ZONE, "b") if number >= 4 else ("zone-a", "a")
        await system.add_worker(zone=zone, rack=f"{zone}-r", label=label)
    await asyncio.sleep(4.0)
    leader = await system.leader()
    frozen, other = [core for core in system.cores if core != leader]
    path = f"/evacuations/{ZONE}"
    if system.trouble:
        system.signal(frozen, signal.SIGSTOP)
        frozen_at = system.record.now()
    # The operator tries one controller after the other.
    for core in (frozen, other, leader):
        if await system.order_at((system.host(core), CONTROL_PORT), "POST", path):
            break
    await asyncio.sleep(WITHDRAWN_AFTER_S)
    for core in 4 * (other, leader):
        if await system.order_at((system.host(core), CONTROL_PORT), "DELETE", path):
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the evacuation is not taken back")
    # The withdrawal is in force: a job runs there.
    await system.submit(PROBE, {"ms": 100}, requirements="b")
    await system.wait_for(lambda: bool(system.starts), 3.0, "a run in the zone")
    if system.trouble:
        if system.record.now() > frozen_at + FREEZE_S:
            raise CannotRun("the evacuation was taken back too late")
        await asyncio.sleep(frozen_at + FREEZE_S - system.record.now())
        system.signal(frozen, signal.SIGCONT)
    await asyncio.sleep(4.0)
    await system.submit(JOB, {"ms": 1000}, requirements="b")
    await asyncio.sleep(FINISH_S + IDLE_S)
    state = await system.state(JOB)
    if not any(row[1].startswith(JOB) for row in system.starts):
        return (
            f"{ZONE} was taken back, its 4 idle workers alone may run job {JOB}, and nothing of it "
            f"has run for {FINISH_S + IDLE_S} s; it is {state}"
        )
    return ""


run_case(play, Path(__file__).parent)
