"""Measures how fast workers run tasks, relative to the other workers of their pool.

Load that it answers: some workers become several times slower for seconds while they pass all
health checks. Tasks on them miss their deadlines, and so do the jobs that wait for these tasks.

Each ended run gives the ratio of its observed to its expected duration. A run that is still active
and has taken longer than expected gives a lower bound of that ratio, so that a slow worker is found
before its tasks end. All ratios are compared with the median of the pool in the same time: wrong
estimates, and slowness that most workers share, change the median and condemn no worker.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from geraniumtrack.jobs.state.model import WorkerInfo

__all__ = [
    "NORMAL_SPEED",
    "RETURN_RATIO",
    "ActiveRun",
    "SpeedChange",
    "SpeedTracker",
    "WorkerSpeed",
]

SET_ASIDE_RATIO = 2.5  # slowdown from which a worker gets one task at a time
# A pool whose workers' slowdowns differ much by chance, since its estimates are rough, needs more:
# this times the typical deviation. With errors of the estimates of 0.9 (standard deviation of the
# logarithm), SET_ASIDE_RATIO alone set 12% of the sound workers aside in a simulation, this 6%.
SPREAD_LIMIT = 4.0
RETURN_RATIO = 1.5  # slowdown below which it gets as many as before
# With PRIOR_JOBS, one job can cause a slowdown of at most sqrt(MAX_RATIO), below SET_ASIDE_RATIO.
MAX_RATIO = 6.0
PRIOR_JOBS = 1.0  # weight of the assumption that a worker is as fast as its pool, in jobs
MIN_PEERS = 3  # with ratios of fewer workers, a pool has no meaningful median
MAX_SET_ASIDE_SHARE = 1 / 3  # of a pool's workers
MIN_RACK_WORKERS = 3  # of fewer, most may be slow by chance
COMMON_CAUSE_SHARE = (
    0.5  # of the workers of a rack or pool, above which slowness is theirs together
)
OVERDUE_RATIO = 1.5  # a run that is active for less than this, relative to its pool, says little
# An overdue run is expected to last so many times as long as so far. Without this, a worker that
# became six times slower is found only after three of its tasks' expected durations.
REMAINING_FACTOR = 1.5
WINDOW_DURATIONS = 1.0  # length of the window, in typical expected durations of the pool's tasks
MIN_WINDOW_S = 1.0
RUNS_KEPT = 24  # ended runs that are kept of each worker
MIN_DURATION_S, MAX_DURATION_S = 1e-3, 1e7
LEVEL_RATIO = 1.25  # slowdowns are rounded towards 1 to powers of this, as smaller ones are noise
RETENTION_S = 60.0  # of what is known about a worker that is not assessed any more


class ActiveRun(NamedTuple):
    """A run in progress, with its expected duration and the time since its start in seconds."""

    job: str
    expected_s: float
    elapsed_s: float


class WorkerSpeed(NamedTuple):
    """How a worker is used because of its speed.

    Attributes:
        slowdown: Expected duration of a task there, relative to the median of the pool.
        probe_only: Whether it gets one task at a time.
    """

    slowdown: float = 1.0
    probe_only: bool = False


NORMAL_SPEED = WorkerSpeed()


class SpeedChange(NamedTuple):
    """A decision to log: a worker is set aside or returned, or a common cause began or ended.

    Attributes:
        subject: Id of the worker, or the name of the rack or pool.
        scope: `worker`, `rack` or `pool`.
        slow: Whether the slowness begins rather than ends.
        slowdown: Slowdown of the worker, or the median one of the slow workers.
        evidence: Number of jobs in the worker's estimate, or of slow workers.
        pool_ratio: Median ratio of observed to expected duration in the pool; 0 for a rack.
    """

    subject: str
    scope: str
    slow: bool
    slowdown: float
    evidence: int
    pool_ratio: float = 0.0


class _EndedRun(NamedTuple):
    job: str
    expected_s: float
    log_ratio: float
    at: float


@dataclass(slots=True)
class _Worker:
    """What is known about one worker; `log_slowdown` is relative to its pool."""

    ended: deque[_EndedRun] = field(default_factory=lambda: deque(maxlen=RUNS_KEPT))
    log_slowdown: float = 0.0
    jobs: int = 0
    set_aside: bool = False
    assessed_at: float = 0.0


class SpeedTracker:
    """Estimates the speed of workers and decides which are set aside.

    All times are readings of one monotonic clock in seconds, passed in by the caller.
    """

    def __init__(self) -> None:
        self._workers: defaultdict[str, _Worker] = defaultdict(_Worker)
        self._log_ratio_of_pool: dict[str, float] = {}
        self._log_limit_of_pool: dict[str, float] = {}
        self._common: set[tuple[str, str]] = set()

    def observe(
        self, worker_id: str, job_id: str, expected_s: float, observed_s: float, now: float
    ) -> None:
        """Records a completed run; one without a usable expected duration is ignored."""
        log_ratio = _log_ratio(observed_s, expected_s)
        if log_ratio is not None:
            run = _EndedRun(job_id, expected_s, log_ratio, now)
            self._workers[worker_id].ended.append(run)

    def speed(self, worker_id: str) -> WorkerSpeed:
        """Returns the speed of a worker as of the last assessment."""
        worker = self._workers.get(worker_id)
        if worker is None:
            return NORMAL_SPEED
        level = int(worker.log_slowdown / math.log(LEVEL_RATIO))
        return WorkerSpeed(LEVEL_RATIO**level, worker.set_aside)

    def assess(
        self,
        workers: Iterable[WorkerInfo],
        active: Mapping[str, list[ActiveRun]],
        now: float,
    ) -> list[SpeedChange]:
        """Estimates all speeds anew and decides which workers are set aside.

        Args:
            workers: The workers that can be reached.
            active: Runs in progress by worker id.
            now: Clock value in seconds.

        Returns:
            The decisions that changed.
        """
        by_pool: dict[str, list[WorkerInfo]] = defaultdict(list)
        for worker in workers:
            by_pool[worker.pool].append(worker)
        for pool, members in by_pool.items():
            self._estimate(pool, members, active, now)
        slow = {
            worker.id: worker
            for members in by_pool.values()
            for worker in members
            if self._is_slow(worker)
        }
        changes = self._find_common_causes(by_pool, slow)
        for pool, members in by_pool.items():
            changes += self._set_aside(pool, members, slow)
        self._forget_old(now)
        return changes

    def _estimate(
        self,
        pool: str,
        members: list[WorkerInfo],
        active: Mapping[str, list[ActiveRun]],
        now: float,
    ) -> None:
        window_s = self._window_s(members, active)
        reference = self._log_ratio_of_pool.get(pool, 0.0)
        ratios: dict[str, list[float]] = {}
        for worker in members:
            found = self._ratios_by_job(
                worker.id, active.get(worker.id, []), reference, now - window_s
            )
            if found:
                ratios[worker.id] = found
        comparable = len(ratios) >= MIN_PEERS
        if comparable:
            reference = median(sum(found) / len(found) for found in ratios.values())
            self._log_ratio_of_pool[pool] = reference
        for worker in members:
            state = self._workers[worker.id]
            found = ratios.get(worker.id, []) if comparable else []
            if found:
                limit = math.log(MAX_RATIO)
                total = sum(min(max(ratio - reference, -limit), limit) for ratio in found)
                state.log_slowdown = total / (len(found) + PRIOR_JOBS)
                state.jobs = len(found)
            else:
                # Nothing new is known, so the last estimate loses its weight.
                state.log_slowdown *= 0.5 ** ((now - state.assessed_at) / window_s)
            state.assessed_at = now
        spread = median(abs(self._workers[worker.id].log_slowdown) for worker in members)
        self._log_limit_of_pool[pool] = max(math.log(SET_ASIDE_RATIO), SPREAD_LIMIT * spread)

    def _window_s(self, members: list[WorkerInfo], active: Mapping[str, list[ActiveRun]]) -> float:
        expected = [run.expected_s for worker in members for run in active.get(worker.id, [])]
        if not expected:
            ended = (self._workers[worker.id].ended for worker in members)
            expected = [runs[-1].expected_s for runs in ended if runs]
        typical_s = median(expected) if expected else 0.0
        return max(WINDOW_DURATIONS * typical_s, MIN_WINDOW_S)

    def _ratios_by_job(
        self, worker_id: str, active: list[ActiveRun], reference: float, since: float
    ) -> list[float]:
        """Returns the mean log ratio of each job of which a run says something about a worker.

        A job's tasks share the error of its estimates, so many of them say no more than one.
        """
        by_job: dict[str, list[float]] = defaultdict(list)
        for run in reversed(self._workers[worker_id].ended):
            if run.at < since:
                break
            by_job[run.job].append(run.log_ratio)
        overdue_ratio = OVERDUE_RATIO * math.exp(reference)
        for run in active:
            if run.elapsed_s <= overdue_ratio * run.expected_s:
                continue
            log_ratio = _log_ratio(run.elapsed_s * REMAINING_FACTOR, run.expected_s)
            if log_ratio is not None:
                by_job[run.job].append(log_ratio)
        return [sum(ratios) / len(ratios) for ratios in by_job.values()]

    def _is_slow(self, worker: WorkerInfo) -> bool:
        state = self._workers[worker.id]
        if state.set_aside:
            return state.log_slowdown >= math.log(RETURN_RATIO)
        return state.log_slowdown >= self._log_limit_of_pool[worker.pool]

    def _find_common_causes(
        self, by_pool: Mapping[str, list[WorkerInfo]], slow: dict[str, WorkerInfo]
    ) -> list[SpeedChange]:
        """Removes from `slow` the workers of racks and pools of which most are slow."""
        sizes: Counter[tuple[str, str]] = Counter()
        found: dict[tuple[str, str], list[str]] = defaultdict(list)
        for worker in (worker for members in by_pool.values() for worker in members):
            for domain in (("rack", worker.rack), ("pool", worker.pool)):
                sizes[domain] += 1
                if worker.id in slow:
                    found[domain].append(worker.id)
        common = {
            domain: ids
            for domain, ids in found.items()
            if sizes[domain] >= MIN_RACK_WORKERS and len(ids) > COMMON_CAUSE_SHARE * sizes[domain]
        }
        changes = [
            SpeedChange(name, scope, True, self._median_slowdown(common[scope, name]), len(ids))
            for (scope, name), ids in common.items()
            if (scope, name) not in self._common
        ]
        ended = sorted(self._common - set(common))
        changes += [SpeedChange(name, scope, False, 1.0, 0) for scope, name in ended]
        self._common = set(common)
        for ids in common.values():
            for worker_id in ids:
                slow.pop(worker_id, None)
        return changes

    def _median_slowdown(self, worker_ids: list[str]) -> float:
        return math.exp(median(self._workers[worker_id].log_slowdown for worker_id in worker_ids))

    def _set_aside(
        self, pool: str, members: list[WorkerInfo], slow: Mapping[str, WorkerInfo]
    ) -> list[SpeedChange]:
        candidates = [worker.id for worker in members if worker.id in slow]
        # Those that are set aside already come first, so that similar workers don't alternate.
        candidates.sort(
            key=lambda name: (
                not self._workers[name].set_aside,
                -self._workers[name].log_slowdown,
                name,
            )
        )
        chosen = set(candidates[: int(len(members) * MAX_SET_ASIDE_SHARE)])
        changes = []
        pool_ratio = math.exp(self._log_ratio_of_pool.get(pool, 0.0))
        for worker in members:
            state = self._workers[worker.id]
            aside = worker.id in chosen
            if aside != state.set_aside:
                state.set_aside = aside
                slowdown = math.exp(state.log_slowdown)
                changes.append(
                    SpeedChange(worker.id, "worker", aside, slowdown, state.jobs, pool_ratio)
                )
        return changes

    def _forget_old(self, now: float) -> None:
        """Forgets workers that have not been assessed for long, as they have probably left."""
        for worker_id, state in list(self._workers.items()):
            newest = max(state.assessed_at, state.ended[-1].at if state.ended else 0.0)
            if newest < now - RETENTION_S:
                del self._workers[worker_id]


def _log_ratio(observed_s: float, expected_s: float) -> float | None:
    """Returns the logarithm of observed / expected duration, None if one of them is unusable."""
    if not (0.0 < expected_s < math.inf and 0.0 <= observed_s < math.inf):
        return None
    return math.log(_limited(observed_s) / _limited(expected_s))


def _limited(duration_s: float) -> float:
    return min(max(duration_s, MIN_DURATION_S), MAX_DURATION_S)
