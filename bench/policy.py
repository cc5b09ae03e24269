"""Drives the dispatch and routing decisions over both users' workloads, against baselines.

Run as `python -m bench.policy [ROW ...] [--seed N]`, where a ROW is a part of a row's name. Time is
simulated: the program calls the decision code with the events of a workload (arrivals, ends,
gossip), and no processes, sockets or failures of links are involved. Every row of a table runs over
the same arrivals and run times, from one seed.

The workloads follow the design page: five queues peak in turns at five times their mean, which is
more than their pool holds, and fall to a twentieth of it in between; six accounts, a few of them
large, each of which uses some queues more than others; four data centres with two targets of each
pool, to which callers connect unevenly.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import fire

from geraniumtrack.coordination.dispatch import Dispatcher, DispatchPolicy, Start
from geraniumtrack.coordination.membership import Announcement, TargetTable
from geraniumtrack.coordination.queues import Task
from geraniumtrack.coordination.routing import Router
from geraniumtrack.coordination.shares import ShareTable
from geraniumtrack.protocol.messages import Submit
from geraniumtrack.state.records import DataCentre, Instance, Pool, Queue, Team
from geraniumtrack.state.view import ConfigView

SEED = 20
CYCLE_S = 40.0
CYCLES = 2
PEAK = 5.0
TROUGH = 0.05
PEAK_LOAD = 1.3  # demand of a queue at its peak, as a part of its pool
STEADY_LOAD = 1.1  # demand of every queue in the run with a data centre that leaves
OUT_AT_S, BACK_AT_S, STEADY_S = 20.0, 40.0, 80.0
WINDOW_S = (10.0, 70.0)
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")
ENTRY_WEIGHTS = (0.4, 0.3, 0.2, 0.1)
TARGETS = 2  # of a pool in a data centre
SLOTS = 8
GOSSIP_S = 0.5
SCAN_S = 0.1
FULL = 0.9  # part of a pool's slots in use from which it counts as full
URGENT_LIMIT_S = 2.2
TIMEOUT_S = {"urgent": 5.0, "normal": 30.0, "long": 120.0}
PREFERENCES = (0.3, 1.0, 2.0)  # factors of an account's requests to a queue
ACCOUNTS = {  # name: (share, part of the requests)
    "large1": (3.0, 0.40),
    "large2": (2.0, 0.25),
    "mid1": (1.0, 0.15),
    "mid2": (1.0, 0.10),
    "small1": (1.0, 0.06),
    "small2": (1.0, 0.04),
}


@dataclass(frozen=True)
class Workload:
    """Queues of a user: their urgency, mean run time in seconds, and part of long requests."""

    name: str
    queues: dict[str, tuple[str, float, float]]
    long_s: float = 4.0


BRAZOS_BEND = Workload(
    "brazos-bend",
    {
        "proofs": ("urgent", 0.25, 0.05),
        "mockups": ("urgent", 0.4, 0.05),
        "retail": ("normal", 0.3, 0.0),
        "wholesale": ("normal", 0.5, 0.0),
        "back-office": ("normal", 0.5, 0.1),
    },
)
CASQUEIRO = Workload(
    "casqueiro",
    {
        "pricing": ("urgent", 0.1, 0.02),
        "settlement": ("normal", 0.3, 0.0),
        "intake": ("normal", 0.5, 0.0),
        "freight": ("urgent", 0.8, 0.02),
        "admin": ("normal", 0.5, 0.1),
    },
    long_s=3.0,
)


@dataclass(frozen=True)
class Variant:
    """One row of a table.

    Attributes:
        name: Name of the row.
        policy: Policy of the dispatchers.
        lend: Whether idle slots are lent without charge.
        gossip_usage: Whether dispatchers know each other's usage.
        spill: Whether requests leave their data centre.
        count_sent: Whether requests sent since the last gossip count.
        one_lane: Whether urgency is ignored.
        round_robin: Whether teams and data centres take turns.
        ramp: Whether a returning data centre is ramped up.
    """

    name: str
    policy: DispatchPolicy = DispatchPolicy()
    lend: bool = True
    decay_s: float = 10.0
    gossip_usage: bool = True
    spill: bool = True
    count_sent: bool = True
    one_lane: bool = False
    round_robin: bool = False
    ramp: bool = True


OURS = Variant("geraniumtrack")
VARIANTS = [
    OURS,
    Variant("first come first served", DispatchPolicy(fair=False), one_lane=True),
    Variant("round robin", one_lane=True, round_robin=True),
    replace(OURS, name="no spill", spill=False),
    replace(OURS, name="without: shares", policy=DispatchPolicy(fair=False)),
    replace(OURS, name="without: lending", lend=False),
    replace(OURS, name="without: gossiped usage", gossip_usage=False),
    replace(OURS, name="decay 3 s", decay_s=3.0),
    replace(OURS, name="decay 30 s", decay_s=30.0),
    replace(OURS, name="without: long minimum", policy=DispatchPolicy(long_min=0.0)),
    replace(OURS, name="without: long maximum", policy=DispatchPolicy(long_max=1.0)),
    replace(OURS, name="without: early refusal", policy=DispatchPolicy(early_refusal=False)),
    replace(OURS, name="without: sent count", count_sent=False),
    replace(OURS, name="without: ramp", ramp=False),
]


class _Turns(ShareTable):
    """Baseline: teams take turns."""

    def __init__(self) -> None:
        super().__init__()
        self._last: dict[str, int] = {}
        self._numbers = itertools.count()

    def lowest(self, teams: list[str], shares: dict[str, float], now: float) -> str:
        team = min(teams, key=lambda name: self._last.get(name, -1))
        self._last[team] = next(self._numbers)
        return team


@dataclass
class Tally:
    """What a run gave."""

    waits: list[float] = field(default_factory=list)
    urgent: int = 0
    refused: int = 0
    long_done: int = 0
    long_asked: int = 0
    used: dict[str, float] = field(default_factory=dict)
    entitled: dict[str, float] = field(default_factory=dict)
    window_work: float = 0.0
    window_capacity: float = 0.0

    def share_errors(self) -> dict[str, float]:
        """Returns each team's deviation from its share, as a part of it."""
        return {
            team: self.used.get(team, 0.0) / entitled - 1
            for team, entitled in self.entitled.items()
            if entitled
        }


def arrivals(workload: Workload, seed: int, *, steady: bool) -> Iterator[tuple]:
    """Yields (time, entry, team, queue, urgency, run time) in order of time."""
    rng = random.Random(seed)
    slots = len(DATA_CENTRES) * TARGETS * SLOTS
    teams = list(ACCOUNTS)
    queues = list(workload.queues)
    peak_s = CYCLE_S / len(queues)
    until = STEADY_S if steady else CYCLE_S * CYCLES
    pending = []
    for number, queue in enumerate(queues):
        urgency, run_s, long_part = workload.queues[queue]
        mean_s = run_s * (1 - long_part) + workload.long_s * long_part
        peak_rate = (STEADY_LOAD if steady else PEAK_LOAD) * slots / mean_s
        parts = [part * rng.choice(PREFERENCES) for _, part in ACCOUNTS.values()]
        now = 0.0
        while True:
            turn = int(now % CYCLE_S // peak_s) == number
            rate = peak_rate if steady or turn else peak_rate / PEAK * TROUGH
            now += rng.expovariate(rate)
            if now >= until:
                break
            is_long = rng.random() < long_part
            spent = rng.expovariate(1 / (workload.long_s if is_long else run_s))
            entry = rng.choices(DATA_CENTRES, ENTRY_WEIGHTS)[0]
            team = rng.choices(teams, parts)[0]
            pending.append((now, entry, team, queue, "long" if is_long else urgency, spent))
    yield from sorted(pending)


class Run:
    """One run of a variant over a workload.

    Args:
        workload: Queues of a user.
        variant: What decides.
        steady: Whether every queue asks for more than its pool all the time, and one data centre
            leaves and returns.
        seed: Seed of the arrivals.
    """

    def __init__(
        self, workload: Workload, variant: Variant, *, steady: bool, seed: int = SEED
    ) -> None:
        self._seed = seed
        self.tally = Tally()
        self._variant = variant
        self._steady = steady
        self._workload = workload
        self._view = self._make_view()
        self._table = TargetTable()
        self._dispatchers = {name: self._make_dispatcher(name) for name in DATA_CENTRES}
        self._routers = {
            name: Router(name, self._view, spill=variant.spill, count_sent=variant.count_sent)
            for name in DATA_CENTRES
        }
        self._events: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()
        self._turns = itertools.cycle(DATA_CENTRES)
        self._run_times: dict[Task, float] = {}
        self._kinds: dict[Task, str] = {}
        self._allotments = dict.fromkeys(ACCOUNTS, 10**6)

    def run(self) -> Tally:
        """Runs to the end of the workload."""
        until = STEADY_S if self._steady else CYCLE_S * CYCLES
        self._announce(0.0)
        self._gossip(0.0)
        source = arrivals(self._workload, self._seed, steady=self._steady)
        upcoming = next(source, None)
        next_scan, next_gossip = 0.0, GOSSIP_S
        while True:
            times = [next_scan, next_gossip]
            times += [upcoming[0]] if upcoming else []
            times += [self._events[0][0]] if self._events else []
            now = min(times)
            if now >= until:
                return self.tally
            if upcoming and now == upcoming[0]:
                self._arrive(*upcoming)
                upcoming = next(source, None)
            elif self._events and now == self._events[0][0]:
                self._end(heapq.heappop(self._events)[2], now)
            elif now == next_gossip:
                self._gossip(now)
                next_gossip += GOSSIP_S
            else:
                self._scan(now)
                next_scan += SCAN_S

    def _make_view(self) -> ConfigView:
        view = ConfigView()
        view.version = 1
        view.sections["data_centres"] = {name: DataCentre(name) for name in DATA_CENTRES}
        for queue in self._workload.queues:
            view.sections["pools"][queue] = Pool(queue, 2)
            view.sections["queues"][queue] = Queue(queue, queue, max_length=2000)
        for team, (share, _) in ACCOUNTS.items():
            view.sections["teams"][team] = Team(team, share, 10**6)
        for queue, data_centre, i in self._targets():
            name = f"{queue}-{data_centre}-{i}"
            view.sections["instances"][name] = Instance(name, queue, data_centre, data_centre)
        return view

    def _targets(self) -> Iterator[tuple[str, str, int]]:
        return itertools.product(self._workload.queues, DATA_CENTRES, range(TARGETS))

    def _make_dispatcher(self, data_centre: str) -> Dispatcher:
        variant = self._variant
        shares = ShareTable(lend=variant.lend, decay_s=variant.decay_s)
        return Dispatcher(
            data_centre=data_centre,
            view=self._view,
            targets=self._table,
            policy=variant.policy,
            shares=_Turns() if variant.round_robin else shares,
        )

    def _announce(self, now: float) -> None:
        for queue, data_centre, i in self._targets():
            name = f"{queue}-{data_centre}-{i}"
            said = Announcement(name, data_centre, data_centre, "", queue, SLOTS, 64, 1)
            self._table.announce(said, now)

    def _gossip(self, now: float) -> None:
        pools = list(self._workload.queues)
        for name, dispatcher in self._dispatchers.items():
            loads = dispatcher.loads(now, pools)
            usage = dispatcher.shares.rates(now)
            for other in DATA_CENTRES:
                self._routers[other].heard(name, name, loads, now)
                if other != name and self._variant.gossip_usage:
                    self._dispatchers[other].shares.heard(name, usage, now)
        if now % 1.0 < GOSSIP_S:
            self._announce(now)

    def _scan(self, now: float) -> None:
        if self._steady:
            out = OUT_AT_S <= now < BACK_AT_S
            self._view.sections["data_centres"]["dc1"] = DataCentre("dc1", in_service=not out)
        for name, dispatcher in self._dispatchers.items():
            if self._variant.ramp:
                self._routers[name].ramp.observe(self._view, now)
            for _ in dispatcher.expire(now):
                self.tally.refused += 1
            if not self._view.in_service(name):
                for pool in dispatcher.queued_pools():
                    for task in dispatcher.take_pool(pool):
                        self._place(self._copy(task), name, now)
            self._start(name, now)
        self._sample(now)

    def _sample(self, now: float) -> None:
        """Adds used and entitled slots of the teams that wait, while a pool is full."""
        if self._steady and WINDOW_S[0] <= now < WINDOW_S[1]:
            in_service = [name for name in DATA_CENTRES if self._view.in_service(name)]
            slots = len(in_service) * len(self._workload.queues) * TARGETS * SLOTS
            running = sum(sum(self._dispatchers[name].running.values()) for name in in_service)
            self.tally.window_capacity += slots * SCAN_S
            self.tally.window_work += running * SCAN_S
        for pool in self._workload.queues:
            running: dict[str, int] = {}
            wanted: dict[str, int] = {}
            for dispatcher in self._dispatchers.values():
                queue = dispatcher._queues.pools.get(pool)
                _add_counts(wanted, queue.by_team if queue is not None else {})
                _add_counts(running, dispatcher.shares._running.get(pool, {}))
            contended = len(wanted) > 1
            _add_counts(wanted, running)
            slots = sum(running.values())
            if not contended or slots < FULL * self._capacity():
                continue
            for team, amount in fair_division(slots, wanted).items():
                tally = self.tally
                tally.entitled[team] = tally.entitled.get(team, 0.0) + amount * SCAN_S
                tally.used[team] = tally.used.get(team, 0.0) + running.get(team, 0) * SCAN_S

    def _capacity(self) -> int:
        return sum(map(self._view.in_service, DATA_CENTRES)) * TARGETS * SLOTS

    def _arrive(
        self, now: float, entry: str, team: str, queue: str, urgency: str, spent: float
    ) -> None:
        seen = "normal" if self._variant.one_lane else urgency
        timeout_s = TIMEOUT_S[urgency]
        name = str(next(self._numbers))
        submit = Submit(name, name, team, queue, seen, True, timeout_s, "POST", "", "", b"", b"")
        task = Task(submit, queue, now + timeout_s, now)
        self._run_times[task] = spent
        self._kinds[task] = urgency
        self.tally.urgent += urgency == "urgent"
        self.tally.long_asked += urgency == "long"
        self._place(task, entry, now)

    def _copy(self, task: Task) -> Task:
        moved = Task(task.submit, task.pool, task.deadline, task.queued_at)
        self._run_times[moved] = self._run_times.pop(task)
        self._kinds[moved] = self._kinds.pop(task)
        return moved

    def _place(self, task: Task, entry: str, now: float) -> None:
        if self._variant.round_robin:
            chosen = next(name for name in self._turns if self._view.in_service(name))
        else:
            router = self._routers[entry]
            chosen = router.choose(task.pool, keyed=True, now=now) or entry
            router.sent(task.pool, chosen)
        if self._dispatchers[chosen].enqueue(task, now=now) is not None:
            self.tally.refused += 1
        else:
            self._start(chosen, now)

    def _start(self, name: str, now: float) -> None:
        ramp = self._routers[name].ramp.factor(name, now)
        starts = self._dispatchers[name].starts(now, allotments=self._allotments, ramp=ramp)
        for start in starts:
            if self._kinds[start.task] == "urgent":
                self.tally.waits.append(now - start.task.queued_at)
            ends = now + self._run_times.pop(start.task)
            heapq.heappush(self._events, (ends, next(self._numbers), (name, start)))

    def _end(self, ended: tuple[str, Start], now: float) -> None:
        name, start = ended
        self._dispatchers[name].finished(start, now)
        self.tally.long_done += self._kinds.pop(start.task) == "long"
        self._start(name, now)


def fair_division(slots: float, wanted: dict[str, int]) -> dict[str, float]:
    """Divides slots by share; what a team does not want goes to the others by share."""
    found: dict[str, float] = {}
    open_teams = dict(wanted)
    while open_teams:
        shares = sum(ACCOUNTS[team][0] for team in open_teams)
        part = {team: slots * ACCOUNTS[team][0] / shares for team in open_teams}
        content = {team: want for team, want in open_teams.items() if want <= part[team]}
        if not content:
            return {**found, **part}
        for team, want in content.items():
            found[team] = float(want)
            slots -= want
            del open_teams[team]
    return found


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    for team, count in counts.items():
        total[team] = total.get(team, 0) + count


def _row(workload: Workload, variant: Variant, seed: int) -> str:
    peaks = Run(workload, variant, steady=False, seed=seed).run()
    steady = Run(workload, variant, steady=True, seed=seed).run()
    errors = steady.share_errors().values()
    peak_errors = peaks.share_errors().values()
    waits = sorted(peaks.waits)
    in_time = sum(wait <= URGENT_LIMIT_S for wait in waits)
    cells = [
        f"{_mean_size(errors):.1%}",
        f"{max(map(abs, errors)):.1%}",
        f"{_mean_size(peak_errors):.1%}",
        f"{max(map(abs, peak_errors)):.1%}",
        f"{_quantile(waits, 0.5) * 1000:.0f}",
        f"{_quantile(waits, 0.99) * 1000:.0f}",
        f"{1 - in_time / peaks.urgent:.2%}",
        f"{peaks.long_done}/{peaks.long_asked}",
        f"{steady.long_done}/{steady.long_asked}",
        f"{steady.window_work / steady.window_capacity:.3f}",
        f"{peaks.refused}",
    ]
    return f"| {variant.name} | " + " | ".join(cells) + " |"


def _mean_size(values: Any) -> float:
    values = list(values)
    return sum(map(abs, values)) / max(1, len(values))


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


HEADER = """
Workload {name}, seed {seed}. Share error: deviation of a team from its share of a full pool, as far
as it wants it, mean and greatest over teams. "Steady": every pool overloaded, and a data centre
leaves and returns. "Peaks": queues peak in turns; urgent waits and refusals are from this run.

| Policy | steady mean | steady max | peaks mean | peaks max | urgent p50 ms | p99 ms | > 2.2 s \
| long done, peaks | long done, steady | work while dc leaves | refused |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"""


def main(*rows: str, seed: int = SEED) -> None:
    """Prints one table for each workload."""
    for workload in (BRAZOS_BEND, CASQUEIRO):
        print(HEADER.format(name=workload.name, seed=seed))
        for variant in VARIANTS:
            if not rows or any(text in variant.name for text in rows):
                print(_row(workload, variant, seed), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
