"""Rates of teams: decided once, in the replicated state, and the same in snapshots and replicas.

The load: one team submits at eight times its rate.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.team_rates import BURST_JOBS
from geraniumtrack.protocol.codec import decode, encode
from tests.jobs_support import job, step, weighted_config


def state_with(**weights) -> JobsState:
    state = JobsState()
    state.apply(weighted_config(**weights))
    return state


def submit(state: JobsState, name: str, team: str, at: float) -> bool:
    """Submits a job and returns whether it is within the rate."""
    state.apply(cmds.SubmitJob(job(step(), job_id=name, team=team, submitted=at)))
    return state.jobs[name].within_rate


def count_within(state: JobsState, team: str, count: int, start: float, gap_s: float) -> int:
    return sum(submit(state, f"{team}{start}-{i}", team, start + i * gap_s) for i in range(count))


def test_a_team_at_eight_times_its_rate_gets_its_rate_and_one_burst():
    """Guards against a peak of one team that counts as within its rate for longer than a burst."""
    state = state_with(a=5.0)
    assert count_within(state, "a", 400, 0.0, 1 / 40) == pytest.approx(BURST_JOBS + 5 + 50, abs=1)
    assert count_within(state, "a", 50, 100.0, 1 / 5) == 50  # at its rate, nothing is beyond it


def test_teams_without_a_rate():
    """Guards against a weight of 0 that counts as unlimited, and a limit on public callers."""
    state = state_with(none=0.0)
    assert not submit(state, "1", "none", 0.0)
    assert not submit(state, "2", "removed", 0.0)
    assert submit(state, "3", "", 0.0)


def test_a_resend_a_weight_and_a_removal_decide_nothing_anew():
    """Guards against jobs whose place in the order changes after they were accepted."""
    state = state_with(a=1.0)
    results = [submit(state, str(i), "a", 0.0) for i in range(30)]
    assert results == [True] * 21 + [False] * 9
    state.apply(weighted_config(version=2, a=50.0))
    assert [submit(state, str(i), "a", 99.0) for i in range(30)] == results
    assert count_within(state, "a", 100, 99.0, 0.0) == BURST_JOBS + 50
    state.apply(weighted_config(version=3, b=1.0))
    assert [row[0] for row in state.team_rates.capture()] == []
    assert [state.jobs[str(i)].within_rate for i in range(30)] == results


def test_a_clock_that_jumps_back_refills_nothing():
    """Guards against tokens that are given twice for the same time after a change of owner."""
    state = state_with(a=10.0)
    assert count_within(state, "a", 60, 50.0, 0.0) == 30
    assert count_within(state, "a", 60, 0.0, 0.1) == 0
    assert submit(state, "later", "a", 50.5)


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.floats(0, 30), st.booleans()), min_size=1, max_size=80
    )
)
def test_a_replica_from_a_snapshot_decides_like_one_from_the_journal(submissions):
    """Guards against replicas that disagree on a job after a restart or an installed snapshot."""
    journal, other = state_with(a=0.5, b=1e300), state_with(a=0.5, b=1e300)
    for number, (team, at, restart) in enumerate(submissions):
        for copy in range(8):
            name = f"{number}.{copy}"
            assert submit(journal, name, team, at) == submit(other, name, team, at)
        if restart:
            other = JobsState.load(encode(other.capture()))
    assert other.jobs == journal.jobs
    assert other.capture()["team_rates"] == journal.capture()["team_rates"]


def test_a_snapshot_without_rates_is_readable_and_its_jobs_are_within_the_rate():
    """Guards against a controller that cannot read the snapshot of an earlier version."""
    state = state_with(a=0.0)
    assert not submit(state, "1", "a", 0.0)
    body = decode(encode(state.capture()))
    assert len(body["jobs"][0]) == 5  # so that an earlier version reads it, too
    del body["team_rates"], body["beyond_rate"]
    assert JobsState.load(encode(body)).jobs["1"].within_rate
