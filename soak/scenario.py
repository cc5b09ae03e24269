"""Draws the size and the fault schedule of a soak from its seed, without side effects."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

__all__ = ["Fault", "Scenario", "make_scenario"]

# Kinds of faults and their weights in the draw. A change of their order or weights changes the
# schedule of every seed.
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
MEAN_FAULT_INTERVAL_S = 2.0
MEAN_SHRINK_INTERVAL_S = 3.0
MAX_FAULT_S = 7.0
MAX_WIPES = 1  # the deployment tolerates the loss of one disk
SERIES_FRACTION = 0.3  # of the draws give a series of two or three faults of one kind


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at: Seconds after the start of the load.
        kind: One of `KINDS`, or `worker_shrinks`.
        pick: Random number from which the runner selects the process, machine or data centre; some
            kinds derive more from it.
        other: Second random number, for instance to select the second process of a pair.
        for_s: Duration in seconds; kinds without a duration ignore it.
    """

    at: float
    kind: str
    pick: int
    other: int
    for_s: float


@dataclass(slots=True)
class Scenario:
    """The size of a soak and its faults.

    Attributes:
        seed: Seed of all random draws.
        load_s: How long clients submit jobs, in seconds.
        cores: Number of controllers.
        fronts: Number of entries.
        machines: Number of machines for workers.
        faults: Faults in the order of their times.
    """

    seed: int
    load_s: float
    cores: int
    fronts: int
    machines: int
    faults: list[Fault] = field(default_factory=list)


def make_scenario(seed: int, load_s: float, *, machines: int = 12) -> Scenario:
    """Draws a soak; the same arguments give the same result."""
    rng = random.Random(seed)
    scenario = Scenario(
        seed, load_s, cores=rng.choice((3, 4)), fronts=rng.choice((2, 3)), machines=machines
    )
    kinds, weights = list(KINDS), list(KINDS.values())
    wipes = 0
    at = rng.uniform(1.0, 3.0)
    while at < load_s:
        kind = rng.choices(kinds, weights)[0]
        wipes += kind == "wipe"
        if kind != "wipe" or wipes <= MAX_WIPES:
            series_length = rng.randint(2, 3) if rng.random() < SERIES_FRACTION else 1
            series_length = 1 if kind in ("wipe", "kill_all_cores") else series_length
            for number in range(series_length):
                for_s = min(rng.expovariate(1 / 2.5) + 0.3, MAX_FAULT_S)
                pick, other = rng.randrange(1000), rng.randrange(1000)
                scenario.faults.append(Fault(at + 0.4 * number, kind, pick, other, for_s))
        at += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    scenario.faults += _shrinks(seed, load_s)
    scenario.faults.sort(key=lambda fault: fault.at)
    return scenario


def _shrinks(seed: int, load_s: float) -> list[Fault]:
    """Draws when workers shrink, apart from the other faults, whose schedule stays the same."""
    rng = random.Random(f"shrinks of {seed}")
    shrinks, at = [], rng.expovariate(1 / MEAN_SHRINK_INTERVAL_S)
    while at < load_s:
        for_s = rng.uniform(1.0, MAX_FAULT_S)
        shrinks.append(Fault(at, "worker_shrinks", rng.randrange(1000), rng.randrange(1000), for_s))
        at += rng.expovariate(1 / MEAN_SHRINK_INTERVAL_S)
    return shrinks
