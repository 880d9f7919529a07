"""Non-blocking logging with a bounded volume."""

from __future__ import annotations

import json
import os
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.adapters.logs import BURST_LINES
from copperrun.adapters.logs import LINES_PER_S
from copperrun.adapters.logs import MAX_LINE_BYTES
from copperrun.adapters.logs import MAX_PENDING_BYTES
from copperrun.adapters.logs import LineWriter
from copperrun.adapters.logs import _encode
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


LINE = {"time": "t", "level": "info", "instance": "i", "message": "no route"}


@given(
    st.dictionaries(
        st.sampled_from(["request", "host", "path", "detail", "exception", "caller"]),
        st.one_of(
            st.text(max_size=9_000),
            st.sampled_from(["x" * 9_000, "\udcff" * 9_000, "\n" * 9_000, "é" * 300]),
        ),
    )
)
def test_a_line_has_a_bound_whatever_callers_send(extra: dict[str, str]) -> None:
    text = _encode({**LINE, **extra})
    assert_that(len(text.encode()), LessThan(MAX_LINE_BYTES + 1))
    line = json.loads(text)
    assert_that({name: line[name] for name in LINE}, Equals(LINE))
    assert_that("request" in line, Equals("request" in extra))


@pytest.mark.parametrize("value", ["short", "x" * 256, 7, 1.5, None, True, ["a", 1]])
def test_a_usual_value_is_logged_as_it_is(value: Any) -> None:
    line = json.loads(_encode({**LINE, "detail": value}))
    assert_that(line["detail"], Equals(value))


def test_a_long_value_keeps_its_begin_and_a_digest() -> None:
    first, same, other = (
        json.loads(_encode({**LINE, "request": text}))["request"]
        for text in ("r" * 8_000, "r" * 8_000, "r" * 7_999 + "s")
    )
    assert_that(first.startswith("r" * 256 + "... (8000 characters, "), Equals(True))
    assert_that((first == same, first == other), Equals((True, False)))


def test_the_end_of_a_traceback_is_kept() -> None:
    exception = "line\n" * 2_000 + "ValueError: why"
    for extra in ({}, {"request": "é" * 9_000, "path": "é" * 9_000}):
        line = json.loads(_encode({**LINE, **extra, "exception": exception}))
        assert_that(line["exception"].endswith("ValueError: why"), Equals(True))
