"""Measures the error and the cost of learned durations.

A queue begins to get jobs whose declared durations are wrong by a factor that all jobs share, and
by one of each job. Run as `python -m bench.estimates`; the seeds are fixed. It takes half a minute.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Iterator
from statistics import fmean

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.estimates import DurationEstimates, ObservedRun

SEEDS = range(8)
SPREADS = (0.2, 0.55, 0.9)
COMMON_RATIOS = (1 / 3, 1.0, 3.0)
JOBS_PER_S, TASKS = 5, 8
LONG_SHARE, LONG_S = 0.03, 7.0  # of the tasks, which take 1 s otherwise
FURTHER_JOBS = 1000
QUANTILES = (0.25, 0.75, 0.9)
LEARNED, DECLARED = PolicySettings(), PolicySettings(learned_durations=False)
TEAMS, QUEUES, ACTIVE_JOBS = 20, 10, 1000
REPETITIONS = 20


class NewLoad:
    """A queue to which jobs begin to come at time 0.

    Args:
        spread: Standard deviation of the logarithm of a job's own factor.
        common: Ratio of real to declared durations that all jobs share.
        seconds: Time for which jobs come.
        censored: Whether runs in progress are observed.
        policy: Settings of the scheduling policy.
        seed: Seed of the factors and of the long tasks.

    Attributes:
        estimates: What was learned.
    """

    def __init__(
        self,
        spread: float,
        common: float,
        seconds: float,
        *,
        censored: bool = True,
        policy: PolicySettings = LEARNED,
        seed: int = 1,
    ) -> None:
        self.estimates = DurationEstimates(policy)
        self._spread, self._common = spread, common
        self._random = random.Random(seed)
        tasks, active = self._tasks(), []
        for tick in range(1, round(seconds * JOBS_PER_S) + 1):
            now = tick / JOBS_PER_S
            active += [(now, *next(tasks)) for _ in range(TASKS)]
            for at, run, real_s in active:
                if at + real_s <= now:
                    self.estimates.observe(run._replace(observed_s=real_s), now)
            active = [item for item in active if item[0] + item[2] > now]
            rows = [run._replace(observed_s=now - at) for at, run, _ in active]
            self.estimates.refresh(rows if censored else [], now)

    def _tasks(self) -> Iterator[tuple[ObservedRun, float]]:
        """Yields the tasks of one job after the other, with their real durations in seconds."""
        number = 0
        while True:
            number += 1
            ratio = self._common * math.exp(self._random.gauss(0.0, self._spread))
            for _ in range(TASKS):
                real_s = LONG_S if self._random.random() < LONG_SHARE else 1.0
                yield ObservedRun("q", "", "t", str(number), TASKS, 1.0 / ratio, 0.0), real_s

    def errors(self) -> list[float]:
        """Compares the estimates with further jobs.

        Returns:
            The median error of a task's duration as a factor, the estimated work relative to the
            real work, and the parts of the tasks below each of QUANTILES.
        """
        tasks, count = self._tasks(), FURTHER_JOBS * TASKS
        rows = [(run.declared_s, real_s) for run, real_s in (next(tasks) for _ in range(count))]
        median, mean = self.estimates.factor("q", "", 0.5), self.estimates.mean("q", "")
        deviations = sorted(abs(math.log(real_s / (median * s))) for s, real_s in rows)
        work = mean * sum(s for s, _ in rows) / sum(real_s for _, real_s in rows)
        limits = [self.estimates.factor("q", "", quantile) for quantile in QUANTILES]
        below = [sum(real_s <= limit * s for s, real_s in rows) / count for limit in limits]
        return [math.exp(deviations[count // 2]), work, *below]


def _print_errors(title: str, common: float, spread: float, seconds: float, **fields) -> None:
    rows = [NewLoad(spread, common, seconds, seed=seed, **fields).errors() for seed in SEEDS]
    error, work, *below = map(fmean, zip(*rows, strict=True))
    parts = " / ".join(f"{part:.2f}" for part in below)
    print(f"| {common:.2f} | {spread} | {title} | {error:.2f} | {work:.2f} | {parts} |", flush=True)


def _median_ms(call: Callable[[], object]) -> float:
    taken = []
    for _ in range(REPETITIONS):
        started = time.process_time()
        call()
        taken.append(time.process_time() - started)
    return 1000 * sorted(taken)[REPETITIONS // 2]


def _print_costs() -> None:
    rng, estimates = random.Random(1), DurationEstimates(LEARNED)

    def run(number: int) -> ObservedRun:
        queue, team = f"q{number // 4 % QUEUES}", f"t{rng.randrange(TEAMS)}"
        return ObservedRun(queue, "", team, str(number // 4), 8, 1.0, rng.lognormvariate(0, 0.55))

    ended = [run(number) for number in range(20_000)]
    batches = iter([ended[number : number + 300] for number in range(0, len(ended), 300)])
    observe_ms = _median_ms(lambda: [estimates.observe(row, 60.0) for row in next(batches)])
    active = [run(number) for number in range(1_000_000, 1_000_400)]
    overdue = [row for row in active if row.observed_s > row.declared_s]
    names = [f"q{number % QUEUES}" for number in range(QUEUES)]

    def refresh() -> None:
        estimates.refresh(overdue, 60.0)
        for name in names:
            estimates.factor(name, "", 0.5)

    refresh_ms = _median_ms(refresh)
    lookups = [names[number % QUEUES] for number in range(4 * ACTIVE_JOBS)]
    lookup_ms = _median_ms(lambda: [estimates.factor(name, "", 0.5) for name in lookups])
    print(f"300 observations {observe_ms:.2f} ms")
    print(f"refresh with {QUEUES} queues and {len(overdue)} overdue runs {refresh_ms:.2f} ms")
    print(f"4 lookups for each of {ACTIVE_JOBS} jobs {lookup_ms:.2f} ms")


def main() -> None:
    print("| Shared ratio | Spread | Estimates | Median error | Work | Below the quantiles |")
    for common in COMMON_RATIOS:
        for spread in SPREADS:
            _print_errors("declared", common, spread, 0.0, policy=DECLARED)
            _print_errors("after 3 s, ended runs only", common, spread, 3.0, censored=False)
            _print_errors("after 3 s", common, spread, 3.0)
            _print_errors("after 20 s", common, spread, 20.0)
    _print_costs()


if __name__ == "__main__":
    main()
