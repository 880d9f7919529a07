"""Connections that are read one request at a time, over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from test_platform_http import Client
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from copperrun.adapters.chunks import ChunkJoiner
from copperrun.adapters.chunks import JoinedChunks
from copperrun.adapters.listener import CHEAP_LINES
from copperrun.adapters.listener import BoundedConnection
from copperrun.adapters.timers import SystemTimers
from copperrun.adapters.turns import Turns

TIMERS = SystemTimers()
WAIT_TIMEOUT_MS = 15_000  # ends the waits of a failing test
MAX_HEAD_BYTES = 1_000
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class Listener:
    """Answers with the path and the body, once each request is released."""

    def __init__(self) -> None:
        self.port = 0
        self.handled: list[str] = []
        self.connections: list[BoundedConnection] = []
        self.released = asyncio.Event()
        self.released.set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.handled.append(request.path)
        await self.released.wait()
        try:
            body = await request.read()
        except web.RequestPayloadError:
            return web.Response(status=400)
        return web.Response(body=request.path.encode() + b" " + body)


@asynccontextmanager
async def listening() -> AsyncIterator[Listener]:
    listener = Listener()
    server = web.Server(listener.handle)
    loop = asyncio.get_running_loop()

    turns = Turns()

    def connect() -> BoundedConnection:
        conn = BoundedConnection(
            server, loop=loop, max_head_bytes=MAX_HEAD_BYTES, turns=turns
        )
        listener.connections.append(conn)
        return conn

    sockets = await loop.create_server(connect, "127.0.0.1", 0)
    listener.port = sockets.sockets[0].getsockname()[1]
    try:
        yield listener
    finally:
        sockets.close()
        await server.shutdown(0.1)


async def read_bodies(client: Client, count: int) -> list[bytes]:
    return [(await client.answer())[2] for _ in range(count)]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100, 10_000])
async def test_requests_are_the_same_in_pieces_of_any_size(size: int) -> None:
    sent = (
        b"\r\n" + GET % 1 + CHUNKED % 2 + b"1\r\na\r\n2;x=y\r\nbc\r\n0\r\nt: u\r\n\r\n"
        b"POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\n\r\n" + GET % 4
    )
    async with listening() as listener:
        client = await Client.open(listener.port)
        for at in range(0, len(sent), size):
            client.writer.write(sent[at : at + size])
            await client.writer.drain()
            await TIMERS.sleep_ms(0)
        bodies = await read_bodies(client, 4)
        assert_that(bodies, Equals([b"/1 ", b"/2 abc", b"/3 \r\n\r\n", b"/4 "]))
        client.close()


async def test_the_next_request_is_not_parsed_before_the_answer() -> None:
    async with listening() as listener:
        listener.released.clear()
        client = await Client.open(listener.port)
        client.writer.write(b"".join(GET % number for number in range(500)))
        async with TIMERS.timeout_ms(WAIT_TIMEOUT_MS):
            while not listener.connections or not listener.connections[0]._held:
                await TIMERS.sleep_ms(5)
            await TIMERS.sleep_ms(50)
        (conn,) = listener.connections
        assert_that(conn._messages, HasLength(0))
        assert_that(len(conn._held), LessThan(2 * MAX_HEAD_BYTES + 2))
        assert_that(listener.handled, Equals(["/0"]))
        listener.released.set()
        bodies = await read_bodies(client, 500)
        assert_that(bodies, Equals([b"/%d " % number for number in range(500)]))
        client.close()


@pytest.mark.parametrize(
    "sent",
    [
        b"\x16\x03\x01\x02",
        b"GET /1 HTTP/1.1\nHost: h\n",
        b"GET /1 HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
        b"GET /1 HTTP/1.1\r\nno header\r\n\r\n",
    ],
)
async def test_what_is_no_request_is_rejected_at_once(sent: bytes) -> None:
    async with listening() as listener:
        client = await Client.open(listener.port)
        client.writer.write(sent)
        assert_that((await client.answer())[0], Equals(400))
        assert_that(await client.reader.read(), Equals(b""))
        assert_that(listener.handled, HasLength(0))
        client.close()


async def test_a_body_that_is_not_in_chunks_is_rejected_at_once() -> None:
    async with listening() as listener:
        client = await Client.open(listener.port)
        client.writer.write(CHUNKED % 1 + b"1\r\na\r\nzz\r\n" + GET % 2)
        assert_that((await client.answer())[0], Equals(400))
        assert_that(await client.reader.read(), Equals(b""))
        assert_that(listener.handled, Equals(["/1"]))
        client.close()


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET / HTTP/1.1\r\n" + b"a: %s\r\n\r\n" % (b"v" * 995), 400),  # no host
        (b"GET / HTTP/1.1\r\nHost: h\r\n" + b"a: %s\r\n\r\n" % (b"v" * 984), 200),
        (b"GET / HTTP/1.1\r\nHost: h\r\n" + b"a: %s\r\n\r\n" % (b"v" * 990), 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 300, 400),
        (b"GET /" + b"p" * 1_000, 400),
    ],
)
async def test_a_head_has_a_limit(sent: bytes, status: int) -> None:
    async with listening() as listener:
        client = await Client.open(listener.port)
        client.writer.write(sent)
        assert_that((await client.answer())[0], Equals(status))
        assert_that(len(listener.handled), Equals(int(status == 200)))
        client.close()


async def test_bodies_of_many_chunks_are_read_one_after_the_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Sixty such callers kept the process from answering others for seconds.
    join = ChunkJoiner.join
    in_round, most_in_round = 0, 0

    def count(joiner: ChunkJoiner, data: bytes) -> JoinedChunks:
        nonlocal in_round, most_in_round
        in_round += data.count(b"\n") > CHEAP_LINES
        most_in_round = max(most_in_round, in_round)
        return join(joiner, data)

    def begin_round() -> None:
        nonlocal in_round
        in_round = 0
        loop.call_soon(begin_round)

    monkeypatch.setattr(ChunkJoiner, "join", count)
    loop = asyncio.get_running_loop()
    body = b"1\r\nx\r\n" * 40_000
    async with listening() as listener:
        clients = [await Client.open(listener.port) for _ in range(20)]
        for client in clients:
            client.writer.write(CHUNKED % 1 + body + b"0\r\n\r\n")
        begin_round()
        for client in clients:
            assert_that((await client.answer())[2], Equals(b"/1 " + b"x" * 40_000))
            client.close()
    assert_that(most_in_round, Equals(1))
