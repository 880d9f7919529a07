"""Non-blocking logging with a bounded volume."""

from __future__ import annotations

import os

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.adapters.logs import BURST_LINES
from copperrun.adapters.logs import LINES_PER_S
from copperrun.adapters.logs import MAX_PENDING_BYTES
from copperrun.adapters.logs import LineWriter
from copperrun.embedded.clock import ManualTimers


async def test_writes_do_not_block_on_a_stalled_reader():
    reader, fd = os.pipe()
    writer = LineWriter(fd, ManualTimers())
    line = "x" * 999 + "\n"
    for _ in range(2_000):
        writer.write(line, is_urgent=True)
        writer.flush()
    assert_that(writer.dropped_unreported, GreaterThan(0))
    assert_that(
        (2_000 - writer.dropped_unreported) * len(line), LessThan(2 * MAX_PENDING_BYTES)
    )
    os.close(reader)
    os.close(fd)


async def test_lines_are_complete_and_in_order_with_a_slow_reader():
    reader, fd = os.pipe()
    writer = LineWriter(fd, ManualTimers())
    expected = [f"{number} {'y' * 500}" for number in range(300)]
    for text in expected:
        writer.write(text + "\n", is_urgent=True)
    data = b""
    while data.count(b"\n") < 300:
        writer.flush()
        data += os.read(reader, 4_096)
    assert_that(data.decode().splitlines(), Equals(expected))
    os.close(reader)
    os.close(fd)


async def test_volume_is_bounded_except_for_warnings():
    reader, fd = os.pipe()
    timers = ManualTimers()
    writer = LineWriter(fd, timers)
    for _ in range(int(BURST_LINES) + 500):
        writer.write(".\n", is_urgent=False)
    assert_that(writer.dropped_total, Equals(500))
    writer.write("!\n", is_urgent=True)
    assert_that(writer.dropped_total, Equals(500))
    await timers.advance(1_000)
    for _ in range(int(LINES_PER_S) + 10):
        writer.write(".\n", is_urgent=False)
    assert_that(writer.dropped_total, Equals(510))
    os.close(reader)
    os.close(fd)


async def test_writes_to_a_closed_reader_do_not_raise():
    reader, fd = os.pipe()
    os.close(reader)
    writer = LineWriter(fd, ManualTimers())
    writer.write("line\n", is_urgent=True)
    writer.flush()
    os.close(fd)


def test_lines_without_an_event_loop_are_written_at_once():
    reader, fd = os.pipe()
    writer = LineWriter(fd, ManualTimers())
    writer.write("early\n", is_urgent=True)
    assert_that(os.read(reader, 100), Equals(b"early\n"))
    os.close(reader)
    os.close(fd)
