"""The log stream: it never blocks, limits the rate and size, and reports dropped lines."""

from __future__ import annotations

import os

from geraniumtrack.log_stream import BURST_LINES, LINES_PER_S, MAX_PENDING_BYTES, LogStream


def read_all(descriptor: int) -> str:
    """Returns what can be read from a pipe without blocking."""
    os.set_blocking(descriptor, False)
    chunks = []
    while True:
        try:
            chunk = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return b"".join(chunks).decode()
        chunks.append(chunk)


def test_a_stalled_reader_does_not_block_and_the_buffer_stays_bounded():
    """Guards against a process that hangs or runs out of memory because nobody reads its log."""
    now = [0.0]
    reader, writer = os.pipe()
    stream = LogStream(writer, seconds=lambda: now[0], wall_clock=lambda: 1_791_078_611.0199)
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
    report = read_all(reader).splitlines()[0]
    # Lines of a log are put in order by their time.
    assert report.startswith(
        "time=2026-10-04T01:50:11.019Z level=warning event=log_lines_left_out counts=run_lost:"
    )


def test_lines_over_the_limit_are_refused_before_they_are_formatted_and_are_counted():
    """Guards against a log that hides how many lines it left out."""
    now = [5.0]
    reader, writer = os.pipe()
    stream = LogStream(writer, seconds=lambda: now[0])
    admitted = 0
    for number in range(BURST_LINES + 7):
        if stream.admits("flood"):
            admitted += 1
            stream.write(f"event=flood number={number}\n")
    now[0] += 1
    stream.write("event=later\n")
    assert admitted == BURST_LINES
    assert "counts=flood:7\n" in read_all(reader)


def test_a_flood_of_one_event_does_not_drop_other_events():
    """Guards against a rare line that is lost among thousands of repeated ones."""
    reader, writer = os.pipe()
    stream = LogStream(writer, seconds=lambda: 5.0)
    text = ""
    for number in range(BURST_LINES * 3):
        stream.write(f"event=flood number={number}\n")
        text += read_all(reader)
    stream.write("event=rare\n")
    text += read_all(reader)
    assert text.count("event=flood") == BURST_LINES
    assert text.count("event=rare") == 1


def test_the_lines_of_an_event_keep_to_the_rate_in_the_long_run():
    """Guards against a disk that fills: bursts must not raise the rate of an event that floods."""
    now = [100.0]
    reader, writer = os.pipe()
    stream = LogStream(writer, seconds=lambda: now[0])
    written = 0
    for second in range(1, 31):
        for number in range(4 * LINES_PER_S):
            now[0] = 99 + second + number / (4 * LINES_PER_S)
            if stream.admits("flood"):
                stream.write(f"event=flood number={number}\n")
            written += read_all(reader).count("event=flood")
        assert written <= BURST_LINES + second * LINES_PER_S
    assert written >= BURST_LINES + 29 * LINES_PER_S


def test_a_burst_of_starts_and_ends_is_kept_while_the_reader_stalls():
    """Guards against missing starts and ends of runs: at a peak those of a second come at once."""
    reader, writer = os.pipe()
    stream = LogStream(writer, seconds=lambda: 100.0)
    for number in range(BURST_LINES):
        for event in ("run_started", "run_ended"):
            assert stream.admits(event)
            stream.write(f"event={event} number={number:04} detail={'x' * 180}\n")
    text = read_all(reader) + stream._pending.decode()
    assert [text.count(f"event={e} ") for e in ("run_started", "run_ended")] == [BURST_LINES] * 2


def test_a_closed_reader_does_not_end_the_process():
    """Guards against an error of the pipe that is raised where a line is logged."""
    reader, writer = os.pipe()
    stream = LogStream(writer)
    os.close(reader)
    stream.write("event=unread\n")
    stream.write("event=unread\n")
