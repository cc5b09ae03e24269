"""Measures how many tasks a second the dispatcher starts from a long queue.

10 000 tasks of 55 teams are queued for 550 targets. Every finished task is replaced by a new one,
so that the queue keeps its length. Run as `python -m bench.dispatch_rate`.
"""

from __future__ import annotations

import random
import time
import uuid

from geraniumtrack.coordination.fleet.membership import Announcement, TargetTable
from geraniumtrack.coordination.serving.dispatch import Dispatcher
from geraniumtrack.coordination.serving.queues import URGENCIES, Task
from geraniumtrack.protocol.messages import Submit
from geraniumtrack.state.records import DataCentre, Instance, Pool, Queue, Team
from geraniumtrack.state.view import ConfigView

QUEUED = 10_000
TEAMS = 55
TARGETS = 550
SLOTS = 8  # per target
STARTS = 50_000  # measured starts
SEED = 7


def build() -> Dispatcher:
    """Returns a dispatcher of one pool that holds all targets."""
    view = ConfigView()
    view.version = 1
    view.sections["data_centres"] = {"dc1": DataCentre("dc1")}
    view.sections["pools"] = {"p": Pool("p", 4)}
    view.sections["queues"] = {"p": Queue("p", "p", max_length=10 * QUEUED)}
    view.sections["teams"] = {f"team{i}": Team(f"team{i}", 1.0 + i % 5) for i in range(TEAMS)}
    table = TargetTable()
    for i in range(TARGETS):
        name = f"t{i}"
        view.sections["instances"][name] = Instance(name, "p", "dc1", f"r{i // 4}")
        announcement = Announcement(name, "dc1", f"r{i // 4}", "127.0.0.1:1", "p", SLOTS, 64, 1)
        table.announce(announcement, 0.0)
    return Dispatcher(data_centre="dc1", view=view, targets=table)


def make_task(rng: random.Random, now: float) -> Task:
    team = f"team{rng.randrange(TEAMS)}"
    urgency = rng.choice(URGENCIES)
    name = uuid.uuid4().hex
    submit = Submit(name, name, team, "p", urgency, True, 60.0, "POST", "", "", b"", b"")
    return Task(submit, "p", now + 60.0, now)


def main() -> None:
    rng = random.Random(SEED)
    dispatcher = build()
    allotments = {f"team{i}": 10**6 for i in range(TEAMS)}
    now = 0.0
    for _ in range(QUEUED + TARGETS * SLOTS):
        dispatcher.enqueue(make_task(rng, now), now=now)
    running = dispatcher.place_tasks(now, allotments=allotments)
    new_tasks = [make_task(rng, now) for _ in range(STARTS)]
    began = time.perf_counter()
    for task in new_tasks:
        now += 1e-5
        dispatcher.release_slot(running.pop(0), now)
        dispatcher.enqueue(task, now=now)
        running += dispatcher.place_tasks(now, allotments=allotments)
    seconds = time.perf_counter() - began
    print(f"queued {QUEUED}  teams {TEAMS}  targets {TARGETS}  running {len(running)}")
    print(f"starts {STARTS}  seconds {seconds:.2f}  starts/s {STARTS / seconds:.0f}")


if __name__ == "__main__":
    main()
