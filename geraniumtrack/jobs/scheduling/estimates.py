"""Learns how long tasks take relative to their declared durations.

Load that it answers: callers declare durations that are wrong by a factor that varies from job to
job, and in some queues by a factor that all jobs share. The order of jobs, the sizes of pools and
refusals all depend on the durations of tasks that have not run yet.

For each queue and image, the ratios of observed to declared duration are kept as histograms over
their logarithm. Their weights halve with time, and a prior says that declarations are right. Runs
that are still in progress after their declared duration count as censored observations by the
Kaplan-Meier estimate: the weight of each is divided among the ratios above the one that it has
reached. Without them, only the short tasks of a new load would count at first.

Quantiles count each run alike. The mean counts each by its declared duration, so that it is the
real work relative to the declared work. With random errors, the runs with long declarations have
small ratios, and the mean of all runs alike would overestimate the work.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.scheduling.ratio_histogram import (
    PRIOR_WEIGHT,
    UNIT_CELL,
    ActiveWeights,
    Distribution,
    TeamHistogram,
    add_weights,
    cell_of,
    prior_weights,
)
from geraniumtrack.jobs.state.model import Job, StepSpec

__all__ = [
    "DECLARED",
    "MEDIAN",
    "OVERDUE",
    "DurationEstimates",
    "ObservedRun",
    "RatioChange",
]

MEDIAN = 0.5
OVERDUE = 0.9  # quantile of the ratio after which a run is overdue
JOB_WEIGHT = 4.0  # of all observations of one job in one estimate: they share its error
# Time after which an observation counts half. A queue at a twentieth of its rate still gives some
# thirty jobs in this time.
HALF_LIFE_S = 30.0
# Shorter declarations say little, as the end of a run is reported up to this much later.
MIN_DECLARED_S = 0.05
MAX_RELATIVE_WORK = 8.0  # of a run in the mean, relative to the typical run of its kind
TYPICAL_PART = 0.05  # by which the typical declared duration follows a run of full weight
RATIO_INTERVAL_S = 1.0  # between computations of the ratios of queues, for the log and metrics
CHANGE_RATIO = 1.2  # the ratio of a queue is logged when it changes by more than this
# Callers choose the names of images. Further ones are not learned until others have faded.
MAX_KINDS = 512
MAX_KINDS_OF_TEAM = 128  # that it was the first to run, so that others can be learned beside them
MAX_JOBS = 16_384  # whose weight is remembered
MAX_UNIT_EXPONENT = 64.0  # weights are rescaled when an observation would get 2 to this power

Kind = tuple[str, str]  # queue and image


class ObservedRun(NamedTuple):
    """A run that ended, or the time that a run in progress has taken so far.

    Attributes:
        queue: Name of the queue of its job.
        image: Image of its step.
        team: Team of its job.
        job: Id of its job.
        tasks: Number of tasks of the job with this image; each counts as much as the others.
        declared_s: Declared duration in seconds, for the worker on which it runs.
        observed_s: Time in seconds from its start.
    """

    queue: str
    image: str
    team: str
    job: str
    tasks: int
    declared_s: float
    observed_s: float

    @classmethod
    def of(cls, job: Job, step: StepSpec, declared_s: float, observed_s: float) -> ObservedRun:
        """Returns the run of a task of a step, with durations in seconds."""
        tasks = 0
        for other in job.steps:
            if other.image == step.image:
                tasks += other.count
        return cls(job.queue, step.image, job.team, job.id, tasks, declared_s, observed_s)


class RatioChange(NamedTuple):
    """A queue's median ratio over all its images, and the weight of its evidence."""

    queue: str
    ratio: float
    weight: float


@dataclass(slots=True)
class _KindRuns:
    """The ended runs of a kind, and their typical declared duration.

    Attributes:
        team: Team that was the first to run one.
        typical_s: Typical declared duration in seconds.
        alike: Ratios of the runs, all weighted alike.
        by_work: Ratios of the runs, weighted by their declared durations.
    """

    team: str
    typical_s: float
    alike: TeamHistogram = field(default_factory=TeamHistogram)
    by_work: TeamHistogram = field(default_factory=TeamHistogram)

    def relative_work(self, run: ObservedRun) -> float:
        """Returns the declared duration of a run, relative to the typical one and limited."""
        return min(run.declared_s / self.typical_s, MAX_RELATIVE_WORK)

    def follow(self, run: ObservedRun, weight: float) -> None:
        """Moves the typical duration towards that of a run, up or down by at most TYPICAL_PART.

        With larger steps up, a team with a seventh of the runs could declare so much that those of
        the others counted for nothing in the mean.
        """
        change = min(self.relative_work(run) - 1.0, 1.0)
        self.typical_s *= 1.0 + change * weight * TYPICAL_PART


_PRIOR = Distribution(prior_weights())


class DurationEstimates:
    """Estimates the ratio of real to declared durations for each queue and image.

    All times are readings of one monotonic clock in seconds, passed in by the caller. An estimate
    changes only by `refresh`, so it is the same for all jobs of a scheduling pass.

    Args:
        policy: Settings of the scheduling policy; without `learned_durations`, nothing is recorded
            and all ratios are 1.

    Attributes:
        enabled: Whether durations are learned.
        ratios: The median ratio of each queue over all its images, by queue.
    """

    def __init__(self, policy: PolicySettings) -> None:
        self.enabled = policy.learned_durations
        self.ratios: dict[str, RatioChange] = {}
        self._runs: dict[Kind, _KindRuns] = {}
        self._kinds_of_team: Counter[str] = Counter()
        self._weight_of_job: dict[tuple[str, str, str], float] = {}  # by queue, image and job
        self._epoch = 0.0  # an observation at this time has a weight of 1
        self._unit_now = 1.0  # as of the last refresh
        self._overdue: defaultdict[Kind, defaultdict[str, list[tuple[int, ObservedRun]]]] = (
            defaultdict(lambda: defaultdict(list))
        )
        # Computed when they are first used after a refresh.
        self._distributions: dict[Kind, Distribution] = {}
        self._factors: dict[tuple[str, str, float], float] = {}
        self._means: dict[Kind, float] = {}
        self._ratios_at = -RATIO_INTERVAL_S
        self._logged: dict[str, float] = {}

    def factor(self, queue: str, image: str, quantile: float) -> float:
        """Returns a quantile of the ratio of real to declared duration, from 1/8 to 8.

        Args:
            queue: Name of a queue.
            image: Image of the step, or an empty string.
            quantile: Quantile from 0 to 1.
        """
        if not self.enabled:
            return 1.0
        key = (queue, image, quantile)
        found = self._factors.get(key)
        if found is None:
            found = self._factors[key] = self._distribution((queue, image)).quantile(quantile)
        return found

    def mean(self, queue: str, image: str) -> float:
        """Returns the real work of a queue and image, relative to the declared work."""
        key = (queue, image)
        kind = self._runs.get(key)
        if kind is None:
            return 1.0
        found = self._means.get(key)
        if found is None:
            overdue = self._overdue_weights(key, kind, by_work=True)
            found = self._means[key] = kind.by_work.distribution(overdue, self._unit_now).mean()
        return found

    def _distribution(self, key: Kind) -> Distribution:
        kind = self._runs.get(key)
        if kind is None:
            return _PRIOR
        found = self._distributions.get(key)
        if found is None:
            overdue = self._overdue_weights(key, kind, by_work=False)
            found = self._distributions[key] = kind.alike.distribution(overdue, self._unit_now)
        return found

    def observe(self, run: ObservedRun, now: float) -> None:
        """Records a run that is done; it counts from the next refresh.

        Runs without a usable declared duration are ignored.
        """
        cell = _cell(run) if self.enabled else None
        kind = self._kind(run) if cell is not None else None
        if cell is None or kind is None:
            return
        weight = self._take_weight(run)
        if weight > 0.0:
            stored = weight * self._unit(now)
            kind.alike.add(run.team, cell, stored)
            kind.by_work.add(run.team, cell, stored * kind.relative_work(run))
            kind.follow(run, weight)

    def _kind(self, run: ObservedRun) -> _KindRuns | None:
        """Returns the runs of the same kind, None if there are too many kinds."""
        key = (run.queue, run.image)
        found = self._runs.get(key)
        if found is None and len(self._runs) < MAX_KINDS:
            if self._kinds_of_team[run.team] >= MAX_KINDS_OF_TEAM:
                return None
            self._kinds_of_team[run.team] += 1
            found = self._runs[key] = _KindRuns(run.team, run.declared_s)
        return found

    def _take_weight(self, run: ObservedRun) -> float:
        key = (run.queue, run.image, run.job)
        used = self._weight_of_job.pop(key, 0.0)
        weight = min(_weight(run), JOB_WEIGHT - used)
        self._weight_of_job[key] = used + weight
        if len(self._weight_of_job) > MAX_JOBS:
            del self._weight_of_job[next(iter(self._weight_of_job))]
        return weight

    def _unit(self, now: float) -> float:
        """Returns the stored weight of an observation of now; older ones keep a smaller one."""
        exponent = (now - self._epoch) / HALF_LIFE_S
        if exponent > MAX_UNIT_EXPONENT:
            scale = 2.0**-exponent
            for kind in self._runs.values():
                kind.alike.rescale(scale)
                kind.by_work.rescale(scale)
            self._unit_now *= scale
            self._epoch = now
            exponent = 0.0
        return 2.0**exponent

    def refresh(self, active: Iterable[ObservedRun], now: float) -> list[RatioChange]:
        """Bases the estimates on all ended runs so far and on the given runs in progress.

        Args:
            active: The runs in progress with the time that they have taken so far.
            now: Time in seconds.

        Returns:
            The queues whose ratio has changed by more than CHANGE_RATIO since it was last returned.
        """
        if not self.enabled:
            return []
        self._unit_now = self._unit(now)
        self._factors.clear()
        self._distributions.clear()
        self._means.clear()
        self._overdue.clear()
        for run in active:
            cell = _cell(run) if run.observed_s > run.declared_s else None
            if cell is not None and self._kind(run) is not None:
                self._overdue[run.queue, run.image][run.team].append((cell, run))
        if now < self._ratios_at + RATIO_INTERVAL_S:
            return []
        self._ratios_at = now
        self._forget_faded()
        self.ratios = self._ratios()
        return self._changes()

    def _overdue_weights(self, key: Kind, kind: _KindRuns, *, by_work: bool) -> ActiveWeights:
        if key not in self._overdue:
            return {}
        return {
            team: [
                (cell, _weight(run) * (kind.relative_work(run) if by_work else 1.0))
                for cell, run in runs
            ]
            for team, runs in self._overdue[key].items()
        }

    def _forget_faded(self) -> None:
        for key, kind in list(self._runs.items()):
            kind.by_work.forget_faded(self._unit_now)
            if kind.alike.forget_faded(self._unit_now) and key not in self._overdue:
                del self._runs[key]
                self._kinds_of_team[kind.team] -= 1
        self._kinds_of_team = +self._kinds_of_team

    def _ratios(self) -> dict[str, RatioChange]:
        found: dict[str, list[float]] = {}
        for key in self._runs:
            weights = found.get(key[0], _PRIOR.weights)
            added = add_weights(weights, self._distribution(key).weights, 1.0)
            added[UNIT_CELL] -= PRIOR_WEIGHT  # the prior counts once
            found[key[0]] = added
        ratios = {}
        for queue, weights in found.items():
            merged = Distribution(weights)
            evidence = sum(weights) - PRIOR_WEIGHT
            ratios[queue] = RatioChange(queue, merged.quantile(MEDIAN), evidence)
        return ratios

    def _changes(self) -> list[RatioChange]:
        current = self.ratios
        changes = []
        for queue in [*current, *(self._logged.keys() - current.keys())]:
            change = current.get(queue, RatioChange(queue, 1.0, 0.0))
            logged = self._logged.get(queue, 1.0)
            if max(change.ratio / logged, logged / change.ratio) > CHANGE_RATIO:
                changes.append(change)
                self._logged[queue] = change.ratio
        return changes


DECLARED = DurationEstimates(PolicySettings(learned_durations=False))


def _weight(run: ObservedRun) -> float:
    """Returns the weight of one task, so that all tasks of the job together have JOB_WEIGHT.

    If only the first four ends of a job counted, its short tasks would be preferred.
    """
    return JOB_WEIGHT / run.tasks if run.tasks > JOB_WEIGHT else 1.0


def _cell(run: ObservedRun) -> int | None:
    """Returns the cell of a run's ratio, None if one of its durations is unusable."""
    if not (MIN_DECLARED_S <= run.declared_s < inf and 0.0 <= run.observed_s < inf):
        return None
    return cell_of(run.observed_s / run.declared_s)
