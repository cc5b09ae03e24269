"""Which connection is dropped first when a port's connections reach their limits."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.transport.connection_table import ConnectionLimits, ConnectionTable

LIMITS = ConnectionLimits(max_connections=3, max_buffered_bytes=1000)


class FakeConnection:
    """Records how the table drops it."""

    def __init__(self):
        self.awaits_reply = False
        self.freed_buffers = self.freed_descriptor = 0

    def free_buffers(self):
        self.freed_buffers += 1

    def free_descriptor(self):
        self.freed_descriptor += 1


class Port:
    """A table with connections, and a clock."""

    def __init__(self, count):
        self.now = 0.0
        self.table = ConnectionTable("test", LIMITS, lambda: self.now)
        self.connections = [FakeConnection() for _ in range(count)]
        for conn in self.connections:
            assert self.table.add(conn)


def test_a_full_table_drops_the_connection_that_has_been_inactive_for_longest():
    """Guards against connections that send nothing and lock ordinary callers out."""
    port = Port(3)
    first, second, third = port.connections
    port.table.mark_active(first)
    newcomer = FakeConnection()
    assert port.table.add(newcomer)
    assert [conn.freed_descriptor for conn in (first, second, third, newcomer)] == [0, 1, 0, 0]
    assert len(port.table) == 3


def test_a_full_table_drops_a_connection_that_is_being_closed_first():
    """Guards against dropping a caller while a refused client lingers."""
    port = Port(3)
    port.table.mark_closing(port.connections[2])
    assert port.table.add(FakeConnection())
    assert [conn.freed_descriptor for conn in port.connections] == [0, 0, 1]


def test_a_connection_that_awaits_a_reply_makes_no_room():
    """Guards against a request that was read in full and gets no answer."""
    port = Port(3)
    for conn in port.connections[:2]:
        conn.awaits_reply = True
    assert port.table.add(FakeConnection())
    port.connections[2].awaits_reply = True
    assert [conn.freed_descriptor for conn in port.connections] == [0, 0, 1]


def test_a_table_whose_connections_all_await_replies_takes_no_further_one():
    """Guards against more descriptors than the process may open."""
    port = Port(3)
    for conn in port.connections:
        conn.awaits_reply = True
    assert not port.table.add(FakeConnection())
    assert len(port.table) == 3


def test_full_buffers_drop_the_connection_with_a_large_request_that_stays_incomplete():
    """Guards against a small or new request that is refused for stalled ones."""
    port = Port(2)
    stalled, small = port.connections
    port.table.set_buffered(stalled, 500)
    port.table.set_buffered(small, 100)
    port.now = 2.0
    newcomer = FakeConnection()
    port.table.add(newcomer)
    port.table.set_buffered(newcomer, 600)
    assert (stalled.freed_buffers, small.freed_buffers, newcomer.freed_buffers) == (1, 0, 0)
    assert port.table.buffered_bytes == 700


@pytest.mark.parametrize("size", [1001, 10**9])
def test_a_request_beyond_the_limit_of_all_connections_is_dropped(size):
    """Guards against a loop without end when no other connection can make room."""
    port = Port(1)
    port.table.set_buffered(port.connections[0], size)
    assert port.connections[0].freed_buffers == 1
    assert port.table.buffered_bytes == 0


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from(("add", "remove", "active", "buffer"))),
        max_size=60,
    ),
    st.data(),
)
def test_counts_agree_with_the_connections_and_stay_within_the_limits(steps, data):
    """Guards against counts that drift until the table refuses everyone, or nobody."""
    port = Port(0)
    sizes = {}

    class Freeing(FakeConnection):
        def free_buffers(self):
            sizes[self] = 0

        def free_descriptor(self):
            sizes.pop(self, None)

    known = [Freeing() for _ in range(6)]
    for number, action in steps:
        port.now += 0.1
        conn = known[number]
        if action == "add" and conn not in sizes and port.table.add(conn):
            sizes[conn] = 0
        elif action == "remove":
            port.table.remove(conn)
            sizes.pop(conn, None)
        elif action == "active":
            port.table.mark_active(conn)
        elif action == "buffer" and conn in sizes:
            sizes[conn] = data.draw(st.integers(0, 1200))
            port.table.set_buffered(conn, sizes[conn])
        assert len(port.table) == len(sizes) <= LIMITS.max_connections
        assert port.table.buffered_bytes == sum(sizes.values()) <= LIMITS.max_buffered_bytes
