"""Answers whose bodies have no end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from factories import server
from test_platform_http import CHUNK
from test_platform_http import CHUNKED_HEAD
from test_platform_http import HEAD
from test_platform_http import MAX_BYTES_TAKEN
from test_platform_http import EndlessServer
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import open_session
from copperrun.adapters.engine import HttpEngine
from copperrun.adapters.events import MAX_EVENT_CHARACTERS
from copperrun.adapters.events import MAX_LINE_BYTES
from copperrun.adapters.events import read_events
from copperrun.adapters.timers import SystemTimers
from copperrun.platform.backends import HttpBackends
from copperrun.platform.engine_control import HttpEngineControl
from copperrun.platform.store import HttpTopicStore
from copperrun.ports.engine import EngineError
from copperrun.ports.topics import TopicError

TIMERS = SystemTimers()
LONG_MS = 10_000  # the size ends a read, not the time

Read = Callable[[str, HttpClient, HttpBackends], Awaitable[object]]


def read_status(address: str, client: HttpClient, _: HttpBackends) -> Awaitable[object]:
    return HttpEngineControl(client, address, "side-1").status()


def check_end(address: str, _: HttpClient, backends: HttpBackends) -> Awaitable[object]:
    record = server("i-1", address=address, born_ms=1)
    return backends.has_ended(record, health_path="", timeout_ms=LONG_MS)


def check_start(
    address: str, _: HttpClient, backends: HttpBackends
) -> Awaitable[object]:
    record = server("i-1", address=address, born_ms=1)
    return backends.is_running(record, timeout_ms=LONG_MS)


async def read_snapshot(address: str, client: HttpClient, _: HttpBackends) -> object:
    snapshot = await HttpTopicStore(client, address).read_snapshot("keyed.t")
    return isinstance(snapshot, TopicError)


async def read_page(address: str, client: HttpClient, _: HttpBackends) -> object:
    page = await HttpTopicStore(client, address).read("keyed.t", 0, wait_ms=LONG_MS)
    return isinstance(page, TopicError)


async def read_state(address: str, client: HttpClient, _: HttpBackends) -> object:
    return isinstance(
        await HttpEngine(client, f"http://{address}").state(), EngineError
    )


# Reports without an end took the processes that read them over their memory.
@pytest.mark.parametrize(
    ("read", "expected"),
    [
        (read_status, None),
        (check_end, False),
        (check_start, False),
        (read_snapshot, True),
        (read_page, True),
        (read_state, True),
    ],
)
@pytest.mark.parametrize(
    ("head", "filler"),
    [
        (CHUNKED_HEAD, CHUNK),
        (HEAD + b"\r\n", b"to the end "),
        (HEAD + b"Content-Length: 67108864\r\n\r\n", b" "),
    ],
    ids=["chunks", "to_the_end", "length"],
)
async def test_an_answer_without_end_is_given_up(read: Read, expected, head, filler):
    endless = EndlessServer(head, filler)
    await endless.start()
    async with open_session() as session:
        client = HttpClient(session, TIMERS)
        result = await read(endless.address, client, HttpBackends(session))
    await endless.close()
    assert_that(result, Equals(expected))
    assert_that(endless.bytes_taken, LessThan(MAX_BYTES_TAKEN))


async def test_a_call_takes_an_answer_of_its_size_and_none_longer():
    for size, is_taken in ((65_536, True), (65_537, False)):
        backend = EndlessServer(b"", b"x")

        async def answer(_, writer: asyncio.StreamWriter, size: int = size) -> bool:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
            writer.write(head + b"x" * size)
            return True

        backend.script = answer
        await backend.start()
        async with open_session() as session:
            reply = await HttpClient(session, TIMERS).call(
                "GET", f"http://{backend.address}/", max_bytes=65_536
            )
        await backend.close()
        assert_that(isinstance(reply, HttpFailure), Equals(not is_taken))


async def test_an_event_without_end_is_given_up():
    line = b"data: " + b"x" * 1_000 + b"\n"

    class Content:
        taken = 0

        async def iter_any(self):
            while True:
                self.taken += len(line) - 1  # a line feed is none of its characters
                yield line

    content = Content()
    with pytest.raises(ValueError, match="event exceeds"):
        async for _ in read_events(content):
            pass
    assert_that(content.taken, GreaterThan(MAX_LINE_BYTES))
    assert_that(content.taken, LessThan(MAX_EVENT_CHARACTERS + 2 * len(line)))
