"""Connections take turns at parsing while they need much time."""

from __future__ import annotations

from geraniumtrack.transport.parse_turns import (
    MAX_UNDIVIDED_S,
    TURN_S,
    UNDIVIDED_SHARE,
    ParseTurns,
)

PART_S = 0.004


class Loop:
    """An event loop whose iterations the test runs one by one."""

    def __init__(self):
        self.now, self.calls = 0.0, []

    def seconds(self):
        return self.now

    def callLater(self, _delay, function):  # noqa: N802 - Twisted's name
        self.calls.append(function)

    def iterate(self):
        calls, self.calls = self.calls, []
        for function in calls:
            function()


class Input:
    """Input of a connection, of which each part takes some time."""

    def __init__(self, loop, parts, part_s):
        self.parts, self.log = parts, []
        self._loop, self._part_s = loop, part_s

    def parse_some(self):
        self._loop.now += self._part_s
        self.log.append(self._loop.now)
        self.parts -= 1
        return self.parts > 0


def test_ordinary_input_is_parsed_at_once():
    """Guards against a turn of the event loop more for each ordinary request."""
    loop = Loop()
    turns = ParseTurns(loop)
    for _ in range(1000):
        conn = Input(loop, parts=1, part_s=0.0001)
        turns.parse(conn)
        assert conn.parts == 0
        loop.now += 0.001
    assert loop.calls == []


def test_costly_input_leaves_time_to_other_work():
    """Guards against an event loop that stands still while hundreds of connections are parsed."""
    loop = Loop()
    turns = ParseTurns(loop)
    crowd = [Input(loop, parts=4, part_s=PART_S) for _ in range(100)]
    started = loop.now
    for conn in crowd:
        turns.parse(conn)
    assert loop.now - started <= MAX_UNDIVIDED_S / (1 - UNDIVIDED_SHARE) + PART_S
    while loop.calls:
        started = loop.now
        loop.iterate()
        assert loop.now - started <= TURN_S + PART_S
    assert [conn.parts for conn in crowd] == [0] * 100


def test_a_small_request_waits_for_one_part_of_each_other_connection():
    """Guards against a request that waits until all input of the others is parsed."""
    loop = Loop()
    turns = ParseTurns(loop)
    crowd = [Input(loop, parts=100, part_s=PART_S) for _ in range(20)]
    for conn in crowd:
        turns.parse(conn)
    small = Input(loop, parts=1, part_s=0.001)
    turns.parse(small)
    while small.parts:
        loop.iterate()
    assert max(len(conn.log) for conn in crowd[1:]) <= 2


def test_a_connection_is_in_the_queue_once():
    """Guards against a connection that takes several turns for each of the others."""
    loop = Loop()
    turns = ParseTurns(loop)
    first, second = (Input(loop, parts=1000, part_s=0.01) for _ in range(2))
    turns.parse(first)
    for _ in range(10):
        turns.parse(second)
    for _ in range(10):
        loop.iterate()
    assert len(first.log) - len(second.log) <= MAX_UNDIVIDED_S / (1 - UNDIVIDED_SHARE) / 0.01 + 2
