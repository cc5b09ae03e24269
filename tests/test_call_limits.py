"""Limits on the calls that an entry forwards: their number, their memory and their turns."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.call_size import call_bytes
from geraniumtrack.jobs.calls.turns import MAX_WAITING, Turns
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.jobs.state.model import StepSpec
from geraniumtrack.platform.caller_api import MAX_TIMEOUT_S, REPLY_MARGIN_S, CallerApi
from geraniumtrack.transport.http_server import Request
from geraniumtrack.transport.memory_limiter import MemoryLimiter

REQUEST = msgs.JobRequest("h", "/q/5c0e7a21d94b36f8", "key")


def test_a_large_call_is_refused_before_an_ordinary_one():
    """Guards against callers with ordinary calls who find no room beside large ones."""
    limiter = MemoryLimiter(max_requests=100, max_bytes=1000)
    while limiter.try_start(200):
        pass
    assert limiter.try_start(50)


def test_calls_are_limited_in_number():
    """Guards against calls in progress without limit while no owner answers."""
    limiter = MemoryLimiter(max_requests=2, max_bytes=10**9)
    assert [limiter.try_start(1) for _ in range(3)] == [True, True, False]
    limiter.finish(1)
    assert limiter.try_start(1)


@given(st.lists(st.integers(1, 1500), max_size=50))
def test_calls_in_progress_stay_within_their_memory(sizes):
    """Guards against calls that together take more than the limit, and room that is lost."""
    limiter = MemoryLimiter(max_requests=10, max_bytes=1000)
    started = [size for size in sizes if limiter.try_start(size)]
    assert sum(started) <= 1000
    for size in started:
        limiter.finish(size)
    assert limiter.try_start(500)


def test_the_size_of_a_submission_grows_with_its_steps():
    """Guards against many small steps that count as little as their body."""
    steps = tuple(StepSpec(1, after=(0,) * number) for number in range(100))
    small, large = (msgs.SubmitCall(REQUEST, "x", part, 0, 0.0, 0.0) for part in (steps[:1], steps))
    assert call_bytes(large) > 50 * 1024 > call_bytes(small) > call_bytes(msgs.JobQuery(REQUEST))


def test_work_is_done_in_turns_with_rests_between():
    """Guards against costly requests that leave an entry no time for others."""
    clock, first = Clock(), Deferred()
    turns = Turns(clock)
    results = []
    for work in (lambda: first, lambda: succeed("second")):
        turns.run(work, timeout_s=10).addCallback(results.append)
    clock.advance(3.0)
    assert results == []
    first.callback("first")
    clock.advance(2.9)
    assert results == ["first"]
    clock.advance(0.2)
    assert results == ["first", "second"]


def test_work_whose_turn_comes_too_late_is_not_done():
    """Guards against work for a caller who has given up."""
    clock, first, results = Clock(), Deferred(), []
    turns = Turns(clock)
    turns.run(lambda: first, timeout_s=1)
    turns.run(lambda: pytest.fail("done"), timeout_s=1).addCallback(results.append)
    clock.advance(2.0)
    first.callback(None)
    clock.advance(2.0)
    assert results == [None]


def test_work_that_fails_does_not_stop_the_queue():
    """Guards against a queue that stands still after an error."""
    clock, results = Clock(), []
    turns = Turns(clock)

    def fail():
        raise ValueError("fault")

    turns.run(fail, timeout_s=1).addErrback(lambda failure: results.append(failure.type))
    clock.advance(0)
    turns.run(lambda: succeed("done"), timeout_s=1).addCallback(results.append)
    clock.advance(0)
    assert results == [ValueError, "done"]


def test_only_some_work_waits():
    """Guards against bodies that wait for their turn without limit."""
    turns = Turns(Clock())
    taken = [turns.run(Deferred, timeout_s=1) for _ in range(MAX_WAITING + 2)]
    assert [fut is None for fut in taken] == [False] * (MAX_WAITING + 1) + [True]


def test_a_large_job_that_finds_no_turn_is_refused_as_not_accepted():
    """Guards against a status after which the caller doesn't know whether the job runs."""
    api = CallerApi(Clock(), SimpleNamespace(call=lambda *_a, **_k: Deferred()))
    replies = []
    for _ in range(MAX_WAITING + 2):
        request = Request("POST", REQUEST.path, {"host": "h"}, b" " * 20_000, 0.0)
        api.handle(request).addCallback(replies.append)
    assert [(reply.status, "Retry-After" in reply.headers) for reply in replies] == [(429, True)]


def test_the_timeout_of_a_caller_has_an_upper_limit():
    """Guards against calls that occupy an entry for as long as a caller says."""
    timeouts = []

    def call(_body, *, timeout_s):
        timeouts.append(timeout_s)
        return succeed(JobAnswer(AnswerKind.NO_JOB))

    headers = {"geraniumtrack-deadline-ms": "1e12"}
    CallerApi(Clock(), SimpleNamespace(call=call)).handle(
        Request("GET", REQUEST.path, headers, b"", 0.0)
    )
    assert timeouts == [MAX_TIMEOUT_S - REPLY_MARGIN_S]
