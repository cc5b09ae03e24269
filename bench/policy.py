"""Drives the dispatch and routing decisions over both users' workloads, against baselines.

Run as `python -m bench.policy [ROW ...] [--seed N] [--workload NAME]`, where a ROW is a part of a
row's name. Time is simulated: the program calls the decision code with the events of a workload
(arrivals, ends, gossip), and no processes, sockets or failures of links are involved. Every row of
a table runs over the same arrivals and run times, from one seed.

The workloads follow the design page: five queues peak in turns at five times their mean, which is
more than their pool holds, and fall to a twentieth of it in between; six accounts, a few of them
large, each of which uses some queues more than others; four data centres with two targets of each
pool, to which callers connect unevenly.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import fire

from geraniumtrack.coordination.dispatch import Dispatcher, DispatchPolicy, Placement
from geraniumtrack.coordination.membership import Announcement, TargetTable
from geraniumtrack.coordination.peers import must_send_loads
from geraniumtrack.coordination.queues import Task
from geraniumtrack.coordination.routing import Router
from geraniumtrack.coordination.shares import USAGE_DECAY_S, ShareTable
from geraniumtrack.protocol.messages import PoolLoad, Submit
from geraniumtrack.state.records import DataCentre, Instance, Pool, Queue, Team
from geraniumtrack.state.view import ConfigView

SEED = 20
CYCLE_S = 40.0
TURN_S = 8.0  # each of five queues peaks once in a cycle
PEAK = 5.0
TROUGH = 0.05
PEAK_LOAD = 1.3  # demand of a queue at its peak, as a part of its pool
BATCH = 300  # long requests that arrive at once in the night run
BATCH_AT_S, BURST_AT_S = 5.0, 15.0
OUT_AT_S, BACK_AT_S = 20.0, 40.0
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
        decay_s: Time constant of the usage of teams.
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
    decay_s: float = USAGE_DECAY_S
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
    replace(
        OURS,
        name="without: shares bound urgency",
        policy=DispatchPolicy(max_urgent_excess=math.inf),
    ),
    replace(OURS, name="without: lending", lend=False),
    replace(OURS, name="without: gossiped usage", gossip_usage=False),
    replace(OURS, name="decay 10 s", decay_s=10.0),
    replace(OURS, name="decay 30 s", decay_s=30.0),
    replace(OURS, name="without: long minimum", policy=DispatchPolicy(min_long_fraction=0.0)),
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

    def lowest_usage_team(self, teams: list[str], shares: dict[str, float], now: float) -> str:
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


@dataclass(frozen=True)
class Scenario:
    """How much each queue asks for over time.

    Attributes:
        name: `peaks`: queues peak in turns. `leave`: every pool is overloaded, and a data centre
            leaves and returns. `partial`: two pools are overloaded, three are half empty. `night`:
            a batch of long requests in the first pool, then a burst of urgent ones.
        until: Length in seconds.
    """

    name: str
    until: float

    def load(self, number: int, now: float) -> float:
        """Returns the demand of a queue as a part of its pool."""
        if self.name == "peaks":
            turn = int(now % CYCLE_S // TURN_S) == number
            return PEAK_LOAD if turn else PEAK_LOAD / PEAK * TROUGH
        if self.name == "leave":
            return 1.1
        if self.name == "partial":
            return 1.3 if number < 2 else 0.6
        burst = number == 0 and now >= BURST_AT_S
        return 0.7 if burst else 0.05


PEAKS = Scenario("peaks", 2 * CYCLE_S)
LEAVE = Scenario("leave", 80.0)
PARTIAL = Scenario("partial", 40.0)
NIGHT = Scenario("night", 60.0)


def arrivals(workload: Workload, seed: int, scenario: Scenario) -> Iterator[tuple]:
    """Yields (time, entry, team, queue, urgency, run time) in order of time."""
    rng = random.Random(seed)
    slots = len(DATA_CENTRES) * TARGETS * SLOTS
    teams = list(ACCOUNTS)
    pending = []
    for number, (queue, (urgency, run_s, long_part)) in enumerate(workload.queues.items()):
        mean_s = run_s * (1 - long_part) + workload.long_s * long_part
        parts = [part * rng.choice(PREFERENCES) for _, part in ACCOUNTS.values()]
        now = 0.0
        while True:
            now += rng.expovariate(scenario.load(number, now) * slots / mean_s)
            if now >= scenario.until:
                break
            is_long = rng.random() < long_part
            spent = rng.expovariate(1 / (workload.long_s if is_long else run_s))
            entry = rng.choices(DATA_CENTRES, ENTRY_WEIGHTS)[0]
            team = rng.choices(teams, parts)[0]
            pending.append((now, entry, team, queue, "long" if is_long else urgency, spent))
    if scenario is NIGHT:
        queue = next(iter(workload.queues))
        for _ in range(BATCH):
            entry = rng.choices(DATA_CENTRES, ENTRY_WEIGHTS)[0]
            spent = rng.expovariate(1 / workload.long_s)
            pending.append((BATCH_AT_S, entry, teams[0], queue, "long", spent))
    yield from sorted(pending)


class Run:
    """One run of a variant over a workload.

    Args:
        workload: Queues of a user.
        variant: What decides.
        scenario: How much each queue asks for.
        seed: Seed of the arrivals.
    """

    def __init__(
        self, workload: Workload, variant: Variant, scenario: Scenario, *, seed: int = SEED
    ) -> None:
        self._seed = seed
        self.tally = Tally()
        self._variant = variant
        self._scenario = scenario
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
        self._told: dict[str, dict[str, PoolLoad]] = {}  # loads gossiped last, by data centre
        self._run_times: dict[Task, float] = {}
        self._kinds: dict[Task, str] = {}
        self._allotments = dict.fromkeys(ACCOUNTS, 10**6)

    def run(self) -> Tally:
        """Runs to the end of the workload."""
        until = self._scenario.until
        self._announce(0.0)
        self._gossip(0.0)
        source = arrivals(self._workload, self._seed, self._scenario)
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
            usage = dispatcher.shares.usage_rates(now)
            far = now % 1.0 < GOSSIP_S or must_send_loads(loads, self._told.get(name, {}))
            if far:
                self._told[name] = loads
            for other in DATA_CENTRES:
                if other != name and not far:
                    continue
                self._routers[other].update_loads(name, name, loads, now)
                if other != name and self._variant.gossip_usage:
                    self._dispatchers[other].shares.update_remote_usage(name, usage, now)
        if now % 1.0 < GOSSIP_S:
            self._announce(now)

    def _scan(self, now: float) -> None:
        if self._scenario is LEAVE:
            out = OUT_AT_S <= now < BACK_AT_S
            self._view.sections["data_centres"]["dc1"] = DataCentre("dc1", in_service=not out)
        for name, dispatcher in self._dispatchers.items():
            if self._variant.ramp:
                self._routers[name].ramp.observe(self._view, now)
            for _ in dispatcher.expire(now):
                self.tally.refused += 1
            if not self._view.in_service(name):
                for pool in dispatcher.queued_pools():
                    for task in dispatcher.pop_pool(pool):
                        self._place(self._copy(task), name, now)
            self._start(name, now)
        self._sample(now)

    def _sample(self, now: float) -> None:
        """Adds used and entitled slots of the teams that wait, while a pool is full."""
        if self._scenario is LEAVE and WINDOW_S[0] <= now < WINDOW_S[1]:
            in_service = [name for name in DATA_CENTRES if self._view.in_service(name)]
            slots = len(in_service) * len(self._workload.queues) * TARGETS * SLOTS
            running = sum(sum(self._dispatchers[name].running.values()) for name in in_service)
            self.tally.window_capacity += slots * SCAN_S
            self.tally.window_work += running * SCAN_S
        slots: dict[str, int] = {}
        wanted: dict[str, dict[str, int]] = {}
        used: dict[str, int] = {}
        for pool in self._workload.queues:
            running: dict[str, int] = {}
            waiting: dict[str, int] = {}
            for dispatcher in self._dispatchers.values():
                queue = dispatcher._queues.pools.get(pool)
                _add_counts(waiting, queue.by_team if queue is not None else {})
                _add_counts(running, dispatcher.shares._running.get(pool, {}))
            in_use = sum(running.values())
            if len(waiting) > 1 and in_use >= FULL * self._capacity():
                _add_counts(waiting, running)
                _add_counts(used, running)
                slots[pool], wanted[pool] = in_use, waiting
        for team, amount in fair_division(slots, wanted).items():
            tally = self.tally
            tally.entitled[team] = tally.entitled.get(team, 0.0) + amount * SCAN_S
            tally.used[team] = tally.used.get(team, 0.0) + used.get(team, 0) * SCAN_S

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
            router.record_sent(task.pool, chosen)
        if self._dispatchers[chosen].enqueue(task, now=now) is not None:
            self.tally.refused += 1
        else:
            self._start(chosen, now)

    def _start(self, name: str, now: float) -> None:
        ramp = self._routers[name].ramp.factor(name, now)
        starts = self._dispatchers[name].place_tasks(now, allotments=self._allotments, ramp=ramp)
        for start in starts:
            if self._kinds[start.task] == "urgent":
                self.tally.waits.append(now - start.task.queued_at)
            ends = now + self._run_times.pop(start.task)
            heapq.heappush(self._events, (ends, next(self._numbers), (name, start)))

    def _end(self, ended: tuple[str, Placement], now: float) -> None:
        name, start = ended
        self._dispatchers[name].release_slot(start, now)
        self.tally.long_done += self._kinds.pop(start.task) == "long"
        self._start(name, now)


def fair_division(slots: dict[str, int], wanted: dict[str, dict[str, int]]) -> dict[str, int]:
    """Divides the slots of all full pools by share, as far as each team wants slots of a pool.

    One slot at a time goes to the team that has the least per share, in the pool where the fewest
    want the slots that are left.
    """
    left = dict(slots)
    unmet = {pool: dict(counts) for pool, counts in wanted.items()}
    found = {team: 0 for counts in wanted.values() for team in counts}
    queue = [(0.0, team) for team in found]
    heapq.heapify(queue)
    while queue:
        _, team = heapq.heappop(queue)
        pools = [pool for pool in left if left[pool] and unmet[pool].get(team)]
        if not pools:
            continue
        pool = min(pools, key=lambda name: sum(unmet[name].values()) / left[name])
        left[pool] -= 1
        unmet[pool][team] -= 1
        found[team] += 1
        heapq.heappush(queue, (found[team] / ACCOUNTS[team][0], team))
    return found


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    for team, count in counts.items():
        total[team] = total.get(team, 0) + count


def _row(workload: Workload, variant: Variant, seed: int) -> str:
    peaks, leave, partial, night = (
        Run(workload, variant, scenario, seed=seed).run()
        for scenario in (PEAKS, LEAVE, PARTIAL, NIGHT)
    )
    cells = [_errors(peaks), _errors(leave), _errors(partial)]
    cells += [_urgent(peaks), _urgent(night)]
    cells += [f"{run.long_done}/{run.long_asked}" for run in (leave, night)]
    cells += [f"{leave.window_work / leave.window_capacity:.3f}", f"{peaks.refused}"]
    return f"| {variant.name} | " + " | ".join(cells) + " |"


def _errors(tally: Tally) -> str:
    sizes = [abs(error) for error in tally.share_errors().values()]
    return f"{sum(sizes) / max(1, len(sizes)):.1%}, {max(sizes, default=0):.1%}"


def _urgent(tally: Tally) -> str:
    waits = sorted(tally.waits)
    late = 1 - sum(wait <= URGENT_LIMIT_S for wait in waits) / tally.urgent
    p50, p99 = (_quantile(waits, part) * 1000 for part in (0.5, 0.99))
    return f"{p50:.0f}, {p99:.0f}, {late:.2%}"


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


HEADER = """
Workload {name}, seed {seed}.

| Policy | share error, peaks | leave | partial | urgent, peaks | urgent, night | long, leave \
| long, night | work, leave | refused, peaks |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"""

LEGEND = """
Share error: deviation of a team from its share of all full pools, as far as it wants their slots;
mean and greatest over teams. Urgent: wait p50 and p99 in ms, and the part that waited longer than
2.2 s or was refused. Long: finished of asked. Work: slot-seconds done in the minute around a data
centre leaving and returning, as a part of the capacity in service."""


def main(*rows: str, seed: int = SEED, workload: str = "") -> None:
    """Prints one table for each workload, or for one of them by a part of its name."""
    for chosen in (BRAZOS_BEND, CASQUEIRO):
        if workload in chosen.name:
            _print_table(chosen, rows, seed)
    print(LEGEND)


def _print_table(workload: Workload, rows: tuple[str, ...], seed: int) -> None:
    print(HEADER.format(name=workload.name, seed=seed))
    for variant in VARIANTS:
        if not rows or any(text in variant.name for text in rows):
            print(_row(workload, variant, seed), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
