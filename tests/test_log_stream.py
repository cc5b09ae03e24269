"""Log lines never block the process, and their volume is bounded and accounted for."""

from __future__ import annotations

import os

from geraniumtrack.log_stream import LINES_PER_S, MAX_PENDING_BYTES, LogStream


def read_all(descriptor: int) -> str:
    os.set_blocking(descriptor, False)
    parts = []
    while True:
        try:
            part = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return b"".join(parts).decode()
        parts.append(part)


def test_a_reader_that_stands_still_does_not_block_and_costs_bounded_memory():
    now = [0.0]
    reader, writer = os.pipe()
    stream = LogStream(writer, seconds=lambda: now[0])
    for number in range(20_000):
        now[0] = number / 100
        stream.write(f"event=run_lost number={number} detail={'x' * 100}\n")
    assert len(stream._pending) <= MAX_PENDING_BYTES
    while stream._pending:
        read_all(reader)
        stream.flush()
    read_all(reader)
    now[0] += 2
    stream.write("event=later\n")
    assert "event=log_lines_left_out counts=run_lost:" in read_all(reader)


def test_a_kind_that_floods_leaves_room_for_others():
    reader, writer = os.pipe()
    stream = LogStream(writer, seconds=lambda: 5.0)
    for number in range(LINES_PER_S * 3):
        stream.write(f"event=flood number={number}\n")
    stream.write("event=rare\n")
    text = read_all(reader)
    assert text.count("event=flood") == LINES_PER_S
    assert text.count("event=rare") == 1


def test_a_closed_reader_does_not_end_the_process():
    reader, writer = os.pipe()
    stream = LogStream(writer)
    os.close(reader)
    stream.write("event=unread\n")
    stream.write("event=unread\n")
