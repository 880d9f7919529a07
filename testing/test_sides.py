"""HTTP adapter of sides: faulty answers, cut streams, message encoding."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import IsInstance

from copperrun.adapters import wire
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.server import HttpServer
from copperrun.adapters.server import ServerLimits
from copperrun.adapters.sides import HttpSides
from copperrun.adapters.timers import SystemTimers
from copperrun.gen import ttypes
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Chunk
from copperrun.model import Load
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.model import StreamEnd
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.sides import SideStatus

OWN_ID = AttemptId("mine", 1, 5)
OTHER_ID = AttemptId("other", 1, 5)
TIMERS = SystemTimers()

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def attempt(*, stream: bool) -> Attempt:
    return Attempt(
        OWN_ID, "d", "", "t", "c", "k", 0, 1_000, stream, "POST", "/", "", "", b"{}"
    )


def run_against(
    handler: Handler, use: Callable[[HttpSides, str], Awaitable[None]]
) -> None:
    async def run() -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        server = HttpServer(app, ServerLimits(10, 10_000), TIMERS)
        port = await server.start("127.0.0.1", 0)
        async with open_session() as session:
            sides = HttpSides(HttpClient(session, TIMERS))
            await use(sides, f"127.0.0.1:{port}")
        await server.close()

    asyncio.run(run())


def stream_handler(text: str) -> Handler:
    async def handler(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        await response.write(text.encode())
        await response.write_eof()
        return response

    return handler


def stream_items(text: str) -> list[object]:
    items: list[object] = []

    async def use(sides: HttpSides, address: str) -> None:
        async for item in sides.stream(address, attempt(stream=True)):
            items.append(item)

    run_against(stream_handler(text), use)
    return items


def test_chunks_of_another_attempt_never_reach_the_caller() -> None:
    text = (
        f"id: {OWN_ID}/0\ndata: a\n\n"
        f"id: {OTHER_ID}/1\ndata: stolen\n\n"
        f"data: nameless\n\n"
        f"id: {OWN_ID}/1\ndata: b\n\n"
        f'event: end\nid: {OTHER_ID}/2\ndata: {{"chunks": 0, "checksum": 0}}\n\n'
        f'event: end\nid: {OWN_ID}/2\ndata: {{"chunks": 2, "checksum": 7}}\n\n'
    )
    expected = [Chunk(0, "a"), Chunk(1, "b"), StreamEnd(2, 7)]
    assert_that(stream_items(text), Equals(expected))


@pytest.mark.parametrize(
    "text",
    [
        "",
        f"id: {OWN_ID}/0\ndata: a\n\n",
        f"id: {OWN_ID}/0\ndata: cut in the mid",
        f"event: end\nid: {OWN_ID}/0\ndata: {{}}\n\n",
        f"event: end\nid: {OWN_ID}/0\ndata: 7\n\n",
        f"id: {OWN_ID}/x\ndata: a\n\n",
        f"event: refusal\nid: {OWN_ID}/0\ndata: {{}}\n\n",
    ],
)
def test_stream_without_a_proper_end_counts_as_cut(text: str) -> None:
    last = stream_items(text)[-1]
    assert_that(last, IsInstance(SideError))


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (wire.encode_answer(OTHER_ID, Answer(200, "", b"stolen"), Load()), 200),
        (wire.encode_answer(OWN_ID, Answer(200, "", b"x"), Load())[:-3], 200),
        (b"", 200),
        (b"\x00" * 50, 200),
        (wire.encode_refusal(
            OTHER_ID, Refusal(RefusalReason.LEAVING, Ran.NO, ""), None), 503),
        (b"busy", 500),
    ],
)  # fmt: skip
def test_invalid_answer_is_reported_as_lost(body: bytes, status: int) -> None:
    async def handler(request: web.Request) -> web.StreamResponse:
        return web.Response(body=body, status=status)

    async def use(sides: HttpSides, address: str) -> None:
        reply = await sides.submit(address, attempt(stream=False))
        assert isinstance(reply.outcome, SideError)
        assert_that(reply.outcome.reason, Is(SideErrorReason.ANSWER_LOST))

    run_against(handler, use)


def test_corrupt_body_is_detected_by_its_checksum() -> None:
    answer = Answer(200, "text/plain", b"per diem 40 EUR")
    good = wire.encode_answer(OWN_ID, answer, Load(1, 2, 3))
    damaged = good.replace(b"40 EUR", b"90 EUR")

    def outcome_of(body: bytes) -> object:
        outcomes = []

        async def handler(request: web.Request) -> web.StreamResponse:
            return web.Response(body=body)

        async def use(sides: HttpSides, address: str) -> None:
            outcomes.append(await sides.submit(address, attempt(stream=False)))

        run_against(handler, use)
        return outcomes[0].outcome

    assert_that(outcome_of(good), Equals(answer))
    assert_that(outcome_of(damaged), IsInstance(SideError))


def test_refused_connection_means_nothing_was_sent() -> None:
    async def run() -> None:
        async with open_session() as session:
            sides = HttpSides(HttpClient(session, TIMERS))
            reply = await sides.submit("127.0.0.1:1", attempt(stream=False))
            assert isinstance(reply.outcome, SideError)
            assert_that(reply.outcome.reason, Is(SideErrorReason.UNREACHABLE))

    asyncio.run(run())


def test_messages_round_trip() -> None:
    sent = attempt(stream=True)._replace(resume_chunks=3, resume_text="šator ")
    assert_that(wire.decode_attempt(wire.encode_attempt(sent)), Equals(sent))
    status = SideStatus("s", 2**62 - 1, "serving", -1, Load(1, 2, 3), ("m@1",))
    assert_that(wire.decode_status(wire.encode_status(status)), Equals(status))
    refusal = Refusal(RefusalReason.QUEUE_FULL, Ran.UNKNOWN, "x", 5, "other")
    decoded = wire.decode(ttypes.Refusal, wire.encode_refusal(OWN_ID, refusal, None))
    assert_that(wire.refusal_from_wire(decoded), Equals(refusal))
    text = wire.refusal_to_json(refusal)
    assert_that(wire.refusal_from_json(text), Equals(refusal))


@given(st.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_an_error(data: bytes) -> None:
    assert_that(wire.decode_attempt(data), IsInstance(tuple))
    assert_that(wire.decode_status(data), IsInstance(tuple))
