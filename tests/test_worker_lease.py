"""The lease of a worker's runs: it counts as over only once the worker's own clock shows it."""

from __future__ import annotations

import pytest

from geraniumtrack.jobs.runs.worker_lease import WorkerLease

LONGEST_S = 10.0


@pytest.mark.parametrize("rate", [0.98, 1.0])
@pytest.mark.parametrize("answer_delay_s", [0.0, 3.0, 60.0])
@pytest.mark.parametrize("reading_age_s", [0.0, 5.0, 60.0])
def test_a_lease_is_not_over_before_its_last_deadline(rate, answer_delay_s, reading_age_s):
    """Guards against two runs at once: a slow clock, a late answer, a reading that is old."""

    def worker_clock_ms(now: float) -> float:
        return (1000.0 + now * rate) * 1000

    lease = WorkerLease(0.0, longest_s=LONGEST_S)
    answered_at = 1.0 + answer_delay_s
    lease.set_reading(int(worker_clock_ms(1.0)), answered_at)
    ordered_at = answered_at + reading_age_s
    deadline_ms = lease.extend(ordered_at)
    now = ordered_at
    while not lease.expired(now):
        now += 0.01
    assert worker_clock_ms(now) > deadline_ms


@pytest.mark.parametrize("reading_age_s", [0.0, 5.0, 60.0])
def test_a_new_owner_takes_no_lease_for_over_before_the_last_deadline(reading_age_s):
    """Guards against two runs at once: the former owner's reading of a slow clock was old."""
    rate, ordered_at = 0.98, 1.0 + reading_age_s
    lease = WorkerLease(0.0, longest_s=LONGEST_S)
    lease.set_reading(1_000_000, 1.0)
    deadline_ms = lease.extend(ordered_at)
    following = WorkerLease(ordered_at, longest_s=LONGEST_S)
    now = ordered_at
    while not following.expired(now):
        now += 0.01
    assert 1_000_000 + (now - 1.0) * rate * 1000 > deadline_ms


def test_a_late_answer_shortens_the_deadline_of_the_next_order():
    """Guards against leases that outlast what a new owner assumes of its predecessor."""
    lease = WorkerLease(0.0, longest_s=LONGEST_S)
    lease.set_reading(1_000_000, 60.0)  # read at 1.0, before the process was suspended
    assert lease.extend(60.0) == 1_004_500
