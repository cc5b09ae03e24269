"""Detects workers on which jobs fail, as opposed to jobs that fail on every worker.

Such a worker is quarantined: it gets no new tasks for a while. One sign is that different jobs
failed there in a row. The other is a share of failed runs that the same kinds of runs do not have
on other workers; it finds a worker that fails some of its runs and completes others.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from enum import StrEnum
from typing import NamedTuple

__all__ = ["FailureShares", "QuarantineReason", "WorkerHealth"]

FAILED_JOBS_LIMIT = 3  # different jobs that fail on a worker until it is quarantined
MIN_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 12.0
RECENT_RUNS = 16  # of a worker, whose share of failures is compared with the others'
MAX_FAILURES_OF_JOB = 2  # that count, so that no job can have a worker quarantined
# A kind of run counts as if it had also failed once in 20 runs elsewhere.
PRIOR_FAILURES, PRIOR_RUNS = 1, 20
# A worker like the others has so many failures by chance with at most this probability.
CHANCE_LIMIT = 0.01

RunKind = tuple[str, str, str]  # queue, team, image: runs that fail for the same reasons
NO_KIND = ("", "", "")


class QuarantineReason(StrEnum):
    """Why a worker is quarantined."""

    FAILED_IN_A_ROW = "failed_in_a_row"
    FAILURE_SHARE = "failure_share"


class _Result(NamedTuple):
    job: str
    kind: RunKind
    failed: bool


class FailureShares:
    """Counts the recent runs and failures of all workers by kind of run."""

    def __init__(self) -> None:
        self._runs: Counter[RunKind] = Counter()
        self._failures: Counter[RunKind] = Counter()

    def add(self, result: _Result, number: int = 1) -> None:
        """Adds a result, or removes it if `number` is -1."""
        for counts, amount in ((self._runs, number), (self._failures, number * result.failed)):
            counts[result.kind] += amount
            if not counts[result.kind]:
                del counts[result.kind]

    def expected_share(self, own: deque[_Result]) -> float:
        """Returns the share of failures to be expected of a worker, from the other workers' runs.

        Args:
            own: Recent results of the worker.
        """
        own_runs = Counter(result.kind for result in own)
        own_failures = Counter(result.kind for result in own if result.failed)
        expected = sum(
            count
            * (self._failures[kind] - own_failures[kind] + PRIOR_FAILURES)
            / (self._runs[kind] - count + PRIOR_RUNS)
            for kind, count in own_runs.items()
        )
        return expected / len(own)


class WorkerHealth:
    """Health of one worker, judged by the ends of its runs.

    Args:
        shares: Counts of all workers; None if only failures in a row count.

    Attributes:
        quarantined_until: Clock value in s at which the worker's last quarantine ends.
    """

    def __init__(self, shares: FailureShares | None = None) -> None:
        self.quarantined_until = 0.0
        self._failed_jobs: set[str] = set()
        self._quarantine_s = MIN_QUARANTINE_S
        self._shares = shares
        self._recent: deque[_Result] = deque()

    @property
    def suspect(self) -> bool:
        """Whether the worker's last recorded run failed."""
        return bool(self._failed_jobs)

    @property
    def recent_runs(self) -> int:
        """Number of recent runs whose results are compared with those of other workers."""
        return len(self._recent)

    @property
    def failed_runs(self) -> int:
        """Number of these runs that failed."""
        return sum(result.failed for result in self._recent)

    def close(self) -> None:
        """Removes the worker's results from the counts of all workers."""
        if self._shares is not None:
            while self._recent:
                self._shares.add(self._recent.popleft(), -1)

    def record_success(self, job_id: str = "", kind: RunKind = NO_KIND) -> None:
        """Records a successful run of a job."""
        self._failed_jobs.clear()
        self._record(_Result(job_id, kind, False))
        if len({result.job for result in self._recent if result.failed}) < FAILED_JOBS_LIMIT:
            self._quarantine_s = MIN_QUARANTINE_S

    def record_failure(
        self, job_id: str, now: float, kind: RunKind = NO_KIND
    ) -> QuarantineReason | None:
        """Records a failed run; returns the reason if that starts a quarantine.

        The length of the quarantine doubles each time up to a maximum. Until a run succeeds, a
        single failure after a quarantine starts the next one.
        """
        self._failed_jobs.add(job_id)
        self._record(_Result(job_id, kind, True))
        if now < self.quarantined_until:
            return None
        if len(self._failed_jobs) >= FAILED_JOBS_LIMIT:
            reason = QuarantineReason.FAILED_IN_A_ROW
        elif self._fails_more_than_others():
            reason = QuarantineReason.FAILURE_SHARE
        else:
            return None
        self.quarantined_until = now + self._quarantine_s
        self._quarantine_s = min(self._quarantine_s * 2, MAX_QUARANTINE_S)
        return reason

    def _record(self, result: _Result) -> None:
        if self._shares is None:
            return
        self._recent.append(result)
        self._shares.add(result)
        if len(self._recent) > RECENT_RUNS:
            self._shares.add(self._recent.popleft(), -1)

    def _fails_more_than_others(self) -> bool:
        by_job: defaultdict[str, int] = defaultdict(int)
        for result in self._recent:
            by_job[result.job] += result.failed
        counted = [min(failures, MAX_FAILURES_OF_JOB) for failures in by_job.values() if failures]
        if self._shares is None or len(counted) < FAILED_JOBS_LIMIT:
            return False
        share = self._shares.expected_share(self._recent)
        return _chance_of_failures(sum(counted), len(self._recent), share) <= CHANCE_LIMIT


def _chance_of_failures(failures: int, runs: int, share: float) -> float:
    """Returns the probability that at least so many of the runs fail by chance."""
    return sum(
        math.comb(runs, number) * share**number * (1 - share) ** (runs - number)
        for number in range(failures, runs + 1)
    )
