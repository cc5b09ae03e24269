"""The faults of one soak, planned from its seed. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

__all__ = ["Fault", "Plan", "make_plan"]

# Kinds of faults with their weights. Those of processes name a process, the others are drawn later.
KINDS = {
    "kill": 3,
    "stop": 3,
    "pause": 3,
    "reload": 1,
    "cut": 3,
    "cut_one_way": 2,
    "silence": 2,
    "reset": 2,
    "delay": 2,
    "worker_crash": 3,
    "worker_cut": 2,
    "worker_late": 2,
    "worker_fails": 1,
    "worker_mute": 1,
    "torn_journal": 1,
    "wipe": 1,
    "kill_all_cores": 1,
    "configure": 3,
    "revoke": 1,
    "evacuate": 2,
    "maintain": 1,
}
MEAN_GAP_S = 2.0
LONGEST_S = 7.0
MAX_WIPES = 1  # the deployment bears the loss of one disk
SERIES_SHARE = 0.3  # of faults come again at once, up to three times


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at: Seconds after the start of the load.
        kind: One of `KINDS`.
        pick: Chooses among what the fault may hit, by its remainder.
        other: Chooses the second process of a pair.
        for_s: How long it lasts, where it does.
    """

    at: float
    kind: str
    pick: int
    other: int
    for_s: float


@dataclass(slots=True)
class Plan:
    """The size of a soak and its faults in order of time."""

    seed: int
    seconds: float
    cores: int
    fronts: int
    machines: int
    faults: list[Fault] = field(default_factory=list)


def make_plan(seed: int, seconds: float, *, machines: int = 12) -> Plan:
    """Plans a soak; the same arguments give the same plan."""
    rng = random.Random(seed)
    plan = Plan(
        seed, seconds, cores=rng.choice((3, 4)), fronts=rng.choice((2, 3)), machines=machines
    )
    kinds, weights = list(KINDS), list(KINDS.values())
    wipes = 0
    at = rng.uniform(1.0, 3.0)
    while at < seconds:
        kind = rng.choices(kinds, weights)[0]
        wipes += kind == "wipe"
        if kind != "wipe" or wipes <= MAX_WIPES:
            times = rng.randint(2, 3) if rng.random() < SERIES_SHARE else 1
            times = 1 if kind in ("wipe", "kill_all_cores") else times
            for number in range(times):
                for_s = min(rng.expovariate(1 / 2.5) + 0.3, LONGEST_S)
                pick, other = rng.randrange(1000), rng.randrange(1000)
                plan.faults.append(Fault(at + 0.4 * number, kind, pick, other, for_s))
        at += rng.expovariate(1 / MEAN_GAP_S)
    plan.faults.sort(key=lambda fault: fault.at)
    return plan
