"""Heads of many lines in their compact form."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from aiohttp.http_parser import HttpRequestParser
from hypothesis import given
from hypothesis import strategies as st
from platform_standins import ScriptedServer
from test_platform_http import SAFE
from test_platform_http import Client
from test_platform_http import running_entry
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from copperrun.platform import http_headers
from copperrun.platform.heads import MAX_PARSED_LINES
from copperrun.platform.heads import HeaderBlock
from copperrun.platform.heads import compact_head

MAX_HEAD_BYTES = 16_384
START = b"GET /a/x?q HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
FILLING = b"a:\r\n" * (MAX_PARSED_LINES + 1)


class Protocol:
    """What the parser needs of a connection."""

    def pause_reading(self) -> None:
        pass


def parse(head: bytes) -> Any:
    async def feed() -> Any:
        parser = HttpRequestParser(
            Protocol(),
            asyncio.get_running_loop(),
            MAX_HEAD_BYTES,
            max_headers=MAX_HEAD_BYTES // 4,
        )
        messages, _, _ = parser.feed_data(head)
        return messages[0][0]

    return asyncio.run(feed())


def compact(head: bytes) -> Any:
    async def build() -> Any:
        return compact_head(head, Protocol(), MAX_HEAD_BYTES)

    return asyncio.run(build())


NAMES = st.sampled_from(
    ["A", "b", "!#", "Connection", "Te", "Hold", "Expect-Instance", "Model", "X-Y"]
)
VALUES = st.sampled_from([b"", b"x", b"x: y, z", b"a, x-y", b"\xff\xfe", "é✓".encode()])


@given(st.lists(st.tuples(NAMES, VALUES), max_size=40))
def test_the_headers_to_forward_are_the_same(lines: list[tuple[str, bytes]]) -> None:
    filled = START + b"".join(b"%b: %b\r\n" % (n.encode(), v) for n, v in lines)
    head = filled + b"\r\n"
    result = compact(head)
    expected = http_headers.to_forward(parse(head).raw_headers)
    assert_that(list(result.headers), Equals(expected))
    assert_that(list(result.headers), Equals(expected))  # it can be read again


@pytest.mark.parametrize(
    ("version", "lines", "framing"),
    [
        (b"1.1", b"", (False, False, None)),
        (b"1.1", b"Connection: close\r\n", (True, False, None)),
        (b"1.1", b"Connection: x\r\nConnection: close\r\n", (True, False, None)),
        (b"1.0", b"", (True, False, None)),
        (b"1.0", b"Connection: keep-alive\r\n", (False, False, None)),
        (b"1.1", b"Content-Length: 7\r\n", (False, False, "7")),
        (b"1.1", b"Transfer-Encoding: chunked\r\n", (False, True, None)),
        (
            b"1.1",
            b"Connection: upgrade\r\nUpgrade: websocket\r\n",
            (False, False, None),
        ),
    ],
)
def test_the_framing_of_a_request_is_the_same(
    version: bytes, lines: bytes, framing: tuple[bool, bool, str | None]
) -> None:
    head = START.replace(b"1.1", version) + lines + FILLING + b"\r\n"
    result = compact(head)
    assert_that(len(result.head), LessThan(len(START) + 100))
    for message in (parse(head), parse(result.head)):
        length = message.headers.get("Content-Length")
        assert_that((message.should_close, message.chunked, length), Equals(framing))
        assert_that((message.method, message.path), Equals(("GET", "/a/x?q")))


def test_what_the_library_rejects_has_no_compact_form() -> None:
    for lines in (b"a b\r\n", b" folded\r\n", b"Content-Length: 1\r\n" * 2):
        assert_that(compact(START + FILLING + lines + b"\r\n"), Equals(None))


def test_an_empty_block_has_no_headers() -> None:
    assert_that(list(HeaderBlock([])), Equals([]))


@pytest.mark.parametrize(
    ("lines", "status"),
    [
        (b"", 200),
        (b"Request-Id: r2\r\n" * 100, 400),
        (b"a b\r\n", 400),
        (b"Deadline-Ms: 1x\r\n", 400),
    ],
)
async def test_a_head_of_many_lines_is_answered_as_one_of_few(
    lines: bytes, status: int
) -> None:
    for filling in (b"", FILLING):
        backend = ScriptedServer()
        async with running_entry(SAFE, backend) as entry:
            client = await Client.open(entry.port)
            client.writer.write(START + lines + filling + b"\r\n")
            assert_that((await client.answer())[0], Equals(status))
            client.close()
        assert_that(backend.requests, HasLength(int(status == 200)))
