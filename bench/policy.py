"""Simulates the dispatch and routing decisions with both users' workloads, against baselines.

Run as `python -m bench.policy [ROW ...] [--seed N] [--workload NAME]`; ROW is a substring of the
name of a row, and NAME a substring of the name of a workload. Time is simulated: the program calls
the decision code with the events of a workload (arrivals, completions, gossip), and involves no
processes, sockets or link failures. All rows of a table have the same arrivals and run times, from
one seed.

The workloads follow the design page: five queues peak in turn at five times their mean, which
exceeds the capacity of their pool, and fall to a twentieth of the mean in between. There are six
accounts, a few of them large, each of which uses some queues more than others. There are four data
centres with two targets of each pool, to which callers connect unevenly.
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

from geraniumtrack.coordination.entries.peers import must_send_loads
from geraniumtrack.coordination.fleet.membership import Announcement, TargetTable
from geraniumtrack.coordination.limits.shares import USAGE_DECAY_S, ShareTable
from geraniumtrack.coordination.serving.dispatch import Dispatcher, Placement
from geraniumtrack.coordination.serving.dispatch_order import DispatchPolicy
from geraniumtrack.coordination.serving.queues import Task
from geraniumtrack.coordination.serving.routing import Router
from geraniumtrack.protocol.messages import PoolLoad, Submit
from geraniumtrack.state.records import DataCentre, Instance, Pool, Queue, Team
from geraniumtrack.state.view import ConfigView

SEED = 20
CYCLE_S = 40.0
PEAK_S = 8.0  # duration of a queue's peak; each of the five queues peaks once in a cycle
PEAK_FACTOR = 5.0  # demand at the peak, relative to the mean
TROUGH_FACTOR = 0.05  # demand between peaks, relative to the mean
PEAK_LOAD = 1.3  # demand of a queue at its peak, as a fraction of its pool's slots
BATCH_SIZE = 300  # long requests that arrive at once in the scenario `night`
BATCH_AT_S, BURST_AT_S = 5.0, 15.0  # in the scenario `night`
EVACUATE_AT_S, RETURN_AT_S = 20.0, 40.0  # of data centre dc1, in the scenario `leave`
WORK_WINDOW_S = (10.0, 70.0)  # in which the work of the scenario `leave` is measured
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")
ENTRY_WEIGHTS = (0.4, 0.3, 0.2, 0.1)  # fractions of the requests, by data centre of the entry
TARGETS = 2  # of a pool in a data centre
SLOTS = 8  # of a target
GOSSIP_S = 0.5  # interval of gossip within a data centre
SCAN_S = 0.1  # interval at which deadlines are checked and the use of slots is sampled
FULL_FRACTION = 0.9  # a pool counts as full from this fraction of its slots in use
URGENT_LIMIT_S = 2.2  # urgent requests that waited longer count as late
TIMEOUT_S = {"urgent": 5.0, "normal": 30.0, "long": 120.0}  # by urgency
PREFERENCES = (0.3, 1.0, 2.0)  # random factors of an account's requests to each queue
ACCOUNTS = {  # name: (share, fraction of the requests)
    "large1": (3.0, 0.40),
    "large2": (2.0, 0.25),
    "mid1": (1.0, 0.15),
    "mid2": (1.0, 0.10),
    "small1": (1.0, 0.06),
    "small2": (1.0, 0.04),
}


@dataclass(frozen=True)
class Workload:
    """The queues of a user.

    Attributes:
        name: Name of the user.
        queues: Urgency, mean run time in seconds and fraction of long requests, by queue.
        long_s: Mean run time of long requests, in seconds.
    """

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
        lend: Whether slots that no other team waits for are used without charge.
        decay_s: Time constant of the teams' usage average, in seconds.
        gossip_usage: Whether dispatchers gossip the teams' usage to each other.
        spill: Whether requests may spill over to other data centres.
        count_sent: Whether requests sent since the last gossip are added to the gossiped wait.
        ignore_urgency: Whether all requests are dispatched as normal ones.
        round_robin: Whether teams and data centres are chosen in turn.
        ramp: Whether the use of a data centre is ramped up after its return to service.
    """

    name: str
    policy: DispatchPolicy = DispatchPolicy()
    lend: bool = True
    decay_s: float = USAGE_DECAY_S
    gossip_usage: bool = True
    spill: bool = True
    count_sent: bool = True
    ignore_urgency: bool = False
    round_robin: bool = False
    ramp: bool = True


DEFAULT = Variant("geraniumtrack")
VARIANTS = [
    DEFAULT,
    Variant("first come first served", DispatchPolicy(fair=False), ignore_urgency=True),
    Variant("round robin", ignore_urgency=True, round_robin=True),
    replace(DEFAULT, name="no spill", spill=False),
    replace(DEFAULT, name="without: shares", policy=DispatchPolicy(fair=False)),
    replace(
        DEFAULT,
        name="without: shares bound urgency",
        policy=DispatchPolicy(max_urgent_excess=math.inf),
    ),
    replace(DEFAULT, name="without: lending", lend=False),
    replace(DEFAULT, name="without: gossiped usage", gossip_usage=False),
    replace(DEFAULT, name="decay 10 s", decay_s=10.0),
    replace(DEFAULT, name="decay 30 s", decay_s=30.0),
    replace(DEFAULT, name="without: long minimum", policy=DispatchPolicy(min_long_fraction=0.0)),
    replace(DEFAULT, name="without: early refusal", policy=DispatchPolicy(early_refusal=False)),
    replace(DEFAULT, name="without: sent count", count_sent=False),
    replace(DEFAULT, name="without: ramp", ramp=False),
]


class _RoundRobin(ShareTable):
    """Baseline: the team that was chosen least recently is next."""

    def __init__(self) -> None:
        super().__init__()
        self._last_chosen: dict[str, int] = {}
        self._numbers = itertools.count()

    def lowest_usage_team(self, teams: list[str], shares: dict[str, float], now: float) -> str:
        team = min(teams, key=lambda name: self._last_chosen.get(name, -1))
        self._last_chosen[team] = next(self._numbers)
        return team


@dataclass
class RunResult:
    """Measurements of a run.

    Attributes:
        waits: Waits of the urgent requests that started, in seconds.
        urgent: Number of urgent requests.
        refused: Number of requests refused or expired in the queue.
        long_done: Number of long requests that finished.
        long_requested: Number of long requests.
        used: Slot-seconds used in contended full pools, by team.
        entitled: Slot-seconds in these pools to which the shares entitle, by team.
        window_work: Slot-seconds used in WORK_WINDOW_S, in data centres in service.
        window_capacity: Slot-seconds available in WORK_WINDOW_S, in data centres in service.
    """

    waits: list[float] = field(default_factory=list)
    urgent: int = 0
    refused: int = 0
    long_done: int = 0
    long_requested: int = 0
    used: dict[str, float] = field(default_factory=dict)
    entitled: dict[str, float] = field(default_factory=dict)
    window_work: float = 0.0
    window_capacity: float = 0.0

    def share_errors(self) -> dict[str, float]:
        """Returns each team's relative deviation from the slot-seconds to which it is entitled."""
        return {
            team: self.used.get(team, 0.0) / entitled - 1
            for team, entitled in self.entitled.items()
            if entitled
        }


@dataclass(frozen=True)
class Scenario:
    """The demand of each queue over time.

    Attributes:
        name: `peaks`: the queues peak in turn. `leave`: every pool is overloaded, and a data centre
            is taken out of service and returned. `partial`: two pools are overloaded, and the other
            three are loaded to 60 %. `night`: a batch of long requests in the first pool, then a
            burst of urgent requests.
        duration_s: Duration in seconds.
    """

    name: str
    duration_s: float

    def load(self, number: int, now: float) -> float:
        """Returns the demand of a queue as a fraction of its pool's slots."""
        if self.name == "peaks":
            is_peak = int(now % CYCLE_S // PEAK_S) == number
            return PEAK_LOAD if is_peak else PEAK_LOAD / PEAK_FACTOR * TROUGH_FACTOR
        if self.name == "leave":
            return 1.1
        if self.name == "partial":
            return 1.3 if number < 2 else 0.6
        is_burst = number == 0 and now >= BURST_AT_S
        return 0.7 if is_burst else 0.05


PEAKS = Scenario("peaks", 2 * CYCLE_S)
LEAVE = Scenario("leave", 80.0)
PARTIAL = Scenario("partial", 40.0)
NIGHT = Scenario("night", 60.0)


def arrivals(workload: Workload, seed: int, scenario: Scenario) -> Iterator[tuple]:
    """Yields (time, data centre of the entry, team, queue, urgency, run time), sorted by time."""
    rng = random.Random(seed)
    slots = len(DATA_CENTRES) * TARGETS * SLOTS
    teams = list(ACCOUNTS)
    pending = []
    for number, (queue, (urgency, run_s, long_fraction)) in enumerate(workload.queues.items()):
        mean_s = run_s * (1 - long_fraction) + workload.long_s * long_fraction
        weights = [fraction * rng.choice(PREFERENCES) for _, fraction in ACCOUNTS.values()]
        now = 0.0
        while True:
            now += rng.expovariate(scenario.load(number, now) * slots / mean_s)
            if now >= scenario.duration_s:
                break
            is_long = rng.random() < long_fraction
            task_s = rng.expovariate(1 / (workload.long_s if is_long else run_s))
            entry = rng.choices(DATA_CENTRES, ENTRY_WEIGHTS)[0]
            team = rng.choices(teams, weights)[0]
            pending.append((now, entry, team, queue, "long" if is_long else urgency, task_s))
    if scenario is NIGHT:
        queue = next(iter(workload.queues))
        for _ in range(BATCH_SIZE):
            entry = rng.choices(DATA_CENTRES, ENTRY_WEIGHTS)[0]
            task_s = rng.expovariate(1 / workload.long_s)
            pending.append((BATCH_AT_S, entry, teams[0], queue, "long", task_s))
    yield from sorted(pending)


class Run:
    """One run of a variant with the workload of a scenario.

    Args:
        workload: Queues of a user.
        variant: Policy and mechanisms under test.
        scenario: Demand of each queue.
        seed: Seed of the arrivals.
    """

    def __init__(
        self, workload: Workload, variant: Variant, scenario: Scenario, *, seed: int = SEED
    ) -> None:
        self._seed = seed
        self.result = RunResult()
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
        self._round_robin = itertools.cycle(DATA_CENTRES)
        # Loads last gossiped to the other data centres, by sender.
        self._last_loads: dict[str, dict[str, PoolLoad]] = {}
        self._run_times: dict[Task, float] = {}
        self._urgencies: dict[Task, str] = {}  # before `ignore_urgency`
        self._allotments = dict.fromkeys(ACCOUNTS, 10**6)

    def run(self) -> RunResult:
        """Runs the scenario to its end; returns the measurements."""
        end = self._scenario.duration_s
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
            if now >= end:
                return self.result
            if upcoming and now == upcoming[0]:
                self._handle_arrival(*upcoming)
                upcoming = next(source, None)
            elif self._events and now == self._events[0][0]:
                self._handle_completion(heapq.heappop(self._events)[2], now)
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
            shares=_RoundRobin() if variant.round_robin else shares,
        )

    def _announce(self, now: float) -> None:
        for queue, data_centre, i in self._targets():
            name = f"{queue}-{data_centre}-{i}"
            announcement = Announcement(name, data_centre, data_centre, "", queue, SLOTS, 64, 1)
            self._table.announce(announcement, now)

    def _gossip(self, now: float) -> None:
        pools = list(self._workload.queues)
        for name, dispatcher in self._dispatchers.items():
            loads = dispatcher.loads(now, pools)
            usage = dispatcher.shares.charged_usage(now)
            # Other data centres get gossip once a second, and earlier if the loads require it.
            to_remote = now % 1.0 < GOSSIP_S or must_send_loads(
                loads, self._last_loads.get(name, {})
            )
            if to_remote:
                self._last_loads[name] = loads
            for other in DATA_CENTRES:
                if other != name and not to_remote:
                    continue
                self._routers[other].update_loads(name, name, loads, now)
                if other != name and self._variant.gossip_usage:
                    self._dispatchers[other].shares.update_remote_usage(name, usage, now)
        if now % 1.0 < GOSSIP_S:
            self._announce(now)

    def _scan(self, now: float) -> None:
        if self._scenario is LEAVE:
            evacuated = EVACUATE_AT_S <= now < RETURN_AT_S
            self._view.sections["data_centres"]["dc1"] = DataCentre("dc1", in_service=not evacuated)
        for name, dispatcher in self._dispatchers.items():
            if self._variant.ramp:
                self._routers[name].ramp.observe(self._view, now)
            for _ in dispatcher.expire(now):
                self.result.refused += 1
            if not self._view.in_service(name):
                for pool in dispatcher.queued_pools():
                    for task in dispatcher.pop_pool(pool):
                        self._route(self._copy_task(task), name, now)
            self._place_tasks(name, now)
        self._sample(now)

    def _sample(self, now: float) -> None:
        """Samples the slots that the teams use and are entitled to.

        Only full pools are sampled in which several teams wait. In the scenario `leave`, the work
        and the capacity in WORK_WINDOW_S are sampled too.
        """
        if self._scenario is LEAVE and WORK_WINDOW_S[0] <= now < WORK_WINDOW_S[1]:
            in_service = [name for name in DATA_CENTRES if self._view.in_service(name)]
            slots = len(in_service) * len(self._workload.queues) * TARGETS * SLOTS
            running = sum(sum(self._dispatchers[name].running.values()) for name in in_service)
            self.result.window_capacity += slots * SCAN_S
            self.result.window_work += running * SCAN_S
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
            if len(waiting) > 1 and in_use >= FULL_FRACTION * self._capacity():
                _add_counts(waiting, running)
                _add_counts(used, running)
                slots[pool], wanted[pool] = in_use, waiting
        for team, amount in fair_allocation(slots, wanted).items():
            result = self.result
            result.entitled[team] = result.entitled.get(team, 0.0) + amount * SCAN_S
            result.used[team] = result.used.get(team, 0.0) + used.get(team, 0) * SCAN_S

    def _capacity(self) -> int:
        """Returns the slots of one pool in all data centres in service."""
        return sum(map(self._view.in_service, DATA_CENTRES)) * TARGETS * SLOTS

    def _handle_arrival(
        self, now: float, entry: str, team: str, queue: str, urgency: str, task_s: float
    ) -> None:
        dispatched_as = "normal" if self._variant.ignore_urgency else urgency
        timeout_s = TIMEOUT_S[urgency]
        name = str(next(self._numbers))
        submit = Submit(
            name, name, team, queue, dispatched_as, True, timeout_s, "POST", "", "", b"", b""
        )
        task = Task(submit, queue, now + timeout_s, now)
        self._run_times[task] = task_s
        self._urgencies[task] = urgency
        self.result.urgent += urgency == "urgent"
        self.result.long_requested += urgency == "long"
        self._route(task, entry, now)

    def _copy_task(self, task: Task) -> Task:
        """Returns a new task for a request that was removed from a queue."""
        moved = Task(task.submit, task.pool, task.deadline, task.queued_at)
        self._run_times[moved] = self._run_times.pop(task)
        self._urgencies[moved] = self._urgencies.pop(task)
        return moved

    def _route(self, task: Task, entry: str, now: float) -> None:
        if self._variant.round_robin:
            chosen = next(name for name in self._round_robin if self._view.in_service(name))
        else:
            router = self._routers[entry]
            chosen = router.choose_data_centre(task.pool, keyed=True, now=now) or entry
            router.record_sent(task.pool, chosen)
        if self._dispatchers[chosen].enqueue(task, now=now) is not None:
            self.result.refused += 1
        else:
            self._place_tasks(chosen, now)

    def _place_tasks(self, name: str, now: float) -> None:
        ramp = self._routers[name].ramp.factor(name, now)
        placements = self._dispatchers[name].place_tasks(
            now, allotments=self._allotments, ramp=ramp
        )
        for placement in placements:
            if self._urgencies[placement.task] == "urgent":
                self.result.waits.append(now - placement.task.queued_at)
            end = now + self._run_times.pop(placement.task)
            heapq.heappush(self._events, (end, next(self._numbers), (name, placement)))

    def _handle_completion(self, completed: tuple[str, Placement], now: float) -> None:
        name, placement = completed
        self._dispatchers[name].release_slot(placement, now)
        self.result.long_done += self._urgencies.pop(placement.task) == "long"
        self._place_tasks(name, now)


def fair_allocation(slots: dict[str, int], wanted: dict[str, dict[str, int]]) -> dict[str, int]:
    """Divides the slots of all full pools by share, up to each team's demand in each pool.

    The slots are allocated one by one. Each goes to the team with the fewest slots per share, in
    the pool with the lowest unmet demand per free slot.

    Args:
        slots: Slots in use, by pool.
        wanted: Running and queued tasks, by pool and team.

    Returns:
        Number of slots, by team.
    """
    free = dict(slots)
    unmet = {pool: dict(counts) for pool, counts in wanted.items()}
    allocated = {team: 0 for counts in wanted.values() for team in counts}
    queue = [(0.0, team) for team in allocated]
    heapq.heapify(queue)
    while queue:
        _, team = heapq.heappop(queue)
        pools = [pool for pool in free if free[pool] and unmet[pool].get(team)]
        if not pools:
            continue
        pool = min(pools, key=lambda name: sum(unmet[name].values()) / free[name])
        free[pool] -= 1
        unmet[pool][team] -= 1
        allocated[team] += 1
        heapq.heappush(queue, (allocated[team] / ACCOUNTS[team][0], team))
    return allocated


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    for team, count in counts.items():
        total[team] = total.get(team, 0) + count


def _row(workload: Workload, variant: Variant, seed: int) -> str:
    peaks, leave, partial, night = (
        Run(workload, variant, scenario, seed=seed).run()
        for scenario in (PEAKS, LEAVE, PARTIAL, NIGHT)
    )
    cells = [_share_errors(peaks), _share_errors(leave), _share_errors(partial)]
    cells += [_urgent_waits(peaks), _urgent_waits(night)]
    cells += [f"{run.long_done}/{run.long_requested}" for run in (leave, night)]
    cells += [f"{leave.window_work / leave.window_capacity:.3f}", f"{peaks.refused}"]
    return f"| {variant.name} | " + " | ".join(cells) + " |"


def _share_errors(result: RunResult) -> str:
    sizes = [abs(error) for error in result.share_errors().values()]
    return f"{sum(sizes) / max(1, len(sizes)):.1%}, {max(sizes, default=0):.1%}"


def _urgent_waits(result: RunResult) -> str:
    waits = sorted(result.waits)
    late = 1 - sum(wait <= URGENT_LIMIT_S for wait in waits) / result.urgent
    p50, p99 = (_quantile(waits, fraction) * 1000 for fraction in (0.5, 0.99))
    return f"{p50:.0f}, {p99:.0f}, {late:.2%}"


def _quantile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


HEADER = """
Workload {name}, seed {seed}.

| Policy | share error, peaks | leave | partial | urgent, peaks | urgent, night | long, leave \
| long, night | work, leave | refused, peaks |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"""

LEGEND = """
Share error: relative deviation of a team from its fair share of all full pools, up to its demand;
mean and maximum over teams. Urgent: wait p50 and p99 in ms, and the fraction that waited longer
than 2.2 s or was refused. Long: finished of requested. Work: slot-seconds used in the minute around
the evacuation and return of a data centre, as a fraction of the capacity in service."""


def main(*rows: str, seed: int = SEED, workload: str = "") -> None:
    """Prints one table for each workload.

    Args:
        rows: Substrings of the names of the rows to run; default all.
        seed: Seed of the arrivals.
        workload: Substring of the names of the workloads to run; default all.
    """
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
