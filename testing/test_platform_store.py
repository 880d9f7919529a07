"""The store's client against a stand-in for the store."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from platform_standins import AnswerScript
from platform_standins import ReceivedRequest
from platform_standins import ScriptedServer
from platform_standins import StoreStandIn
from platform_standins import answer_head
from testtools.assertions import assert_that
from testtools.matchers import Equals

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.timers import SystemTimers
from copperrun.platform.store import HttpTopicStore
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicSnapshot


@asynccontextmanager
async def store_and_client() -> AsyncIterator[tuple[StoreStandIn, HttpTopicStore]]:
    store = StoreStandIn()
    await store.start()
    async with open_session() as session:
        yield store, HttpTopicStore(HttpClient(session, SystemTimers()), store.address)
    await store.close()


async def test_the_newest_records_are_read_over_all_pages():
    async with store_and_client() as (store, client):
        for number in range(7):
            store.put("keyed.t", f"k{number % 5}", b"v%d" % number)
        store.put("keyed.t", "k2", b"")
        snapshot = await client.read_snapshot("keyed.t")
        assert isinstance(snapshot, TopicSnapshot)
        expected = {"k0": b"v5", "k1": b"v6", "k3": b"v3", "k4": b"v4"}
        assert_that((snapshot.items, snapshot.end), Equals((expected, 8)))


async def test_records_and_tombstones_are_read_in_order():
    async with store_and_client() as (store, client):
        store.put("keyed.t", "a", b"1")
        store.put("keyed.t", "a", b"")
        page = await client.read("keyed.t", 0, wait_ms=0)
        records = [TopicRecord("a", b"1"), TopicRecord("a", None)]
        assert_that(page, Equals(TopicPage(records, 2)))


async def test_a_trimmed_offset_differs_from_an_outage():
    async with store_and_client() as (store, client):
        store.put("keyed.t", "a", b"1")
        store.first_offsets["keyed.t"] = 1
        trimmed = await client.read("keyed.t", 0, wait_ms=0)
        store.is_down = True
        down = await client.read("keyed.t", 1, wait_ms=0)
        reasons = [
            error.reason for error in (trimmed, down) if isinstance(error, TopicError)
        ]
        assert_that(
            reasons, Equals([TopicErrorReason.TRIMMED, TopicErrorReason.UNAVAILABLE])
        )


async def test_a_write_returns_its_offset():
    async with store_and_client() as (store, client):
        store.put("keyed.s", "x", b"1")
        offset = await client.put("keyed.s", "side-1", b"claim")
        assert_that(offset, Equals(TopicPosition(0, 1)))
        assert_that(store.records["keyed.s"][1], Equals(("side-1", b"claim")))


async def test_a_closed_store_gives_an_error():
    async with store_and_client() as (store, client):
        await store.close()
        for error in (
            await client.read_snapshot("keyed.t"),
            await client.read("keyed.t", 0, wait_ms=0),
            await client.put("keyed.t", "a", b"1"),
        ):
            assert isinstance(error, TopicError)


async def test_answers_carry_the_era_of_the_store():
    async with store_and_client() as (store, client):
        store.era = 1
        for number in range(3):
            store.put("keyed.t", f"k{number}", b"v")
        store.fall_back({"keyed.t": 1})
        snapshot = await client.read_snapshot("keyed.t")
        page = await client.read("keyed.t", 0, wait_ms=0)
        beyond = await client.read("keyed.t", 3, wait_ms=0)
        position = await client.put("keyed.t", "k1", b"w")
    assert isinstance(snapshot, TopicSnapshot)
    assert isinstance(page, TopicPage)
    assert isinstance(beyond, TopicError)
    assert_that((snapshot.era, page.era, page.end), Equals((2, 2, 1)))
    assert_that(beyond.reason, Equals(TopicErrorReason.TRIMMED))
    assert_that(position, Equals(TopicPosition(2, 1)))


async def test_a_snapshot_of_two_eras_is_not_used():
    async with store_and_client() as (store, client):
        store.era = 1
        for number in range(5):
            store.put("keyed.t", f"k{number}", b"v")
        page = store.newest_page

        def fall_back_after_the_first_page(after: str) -> None:
            if after:
                store.era = 2

        store.newest_page = fall_back_after_the_first_page
        snapshot = await client.read_snapshot("keyed.t")
        store.newest_page = page
    assert isinstance(snapshot, TopicError)


@asynccontextmanager
async def client_of(script: AnswerScript) -> AsyncIterator[HttpTopicStore]:
    server = ScriptedServer()
    server.script = script
    await server.start()
    async with open_session() as session:
        yield HttpTopicStore(HttpClient(session, SystemTimers()), server.address)
    await server.close()


# What the store's answers lacked ended their reader.
@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"{}",
        b"[" * 100_000,
        b'{"items": [{"key": "a"}], "end": 1}',
        b'{"items": [], "end": "1"}',
        b'{"items": [], "end": 1e300}',
        b'{"items": 1, "end": 1}',
    ],
    ids=lambda body: body[:30].decode(),
)
async def test_a_malformed_answer_of_the_store_is_an_outage(body):
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(
            answer_head(request, Content_Length=str(len(body)), Store_Era="9" * 5_000)
            + body
        )
        return True

    async with client_of(answer) as store:
        snapshot = await store.read_snapshot("keyed.t")
        written = await store.put("keyed.t", "k", b"v")
    assert isinstance(snapshot, TopicError)
    assert_that(snapshot.reason, Equals(TopicErrorReason.UNAVAILABLE))
    assert isinstance(written, TopicError)
    assert_that(written.reason, Equals(TopicErrorReason.ANSWER_LOST))


async def test_an_era_that_is_no_number_counts_as_none():
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        body = struct.pack(">QQ", 0, 0)
        writer.write(answer_head(request, Content_Length="16", Store_Era="9" * 5_000))
        writer.write(body)
        return True

    async with client_of(answer) as store:
        assert_that(await store.read("keyed.t", 0, wait_ms=0), Equals(TopicPage([], 0)))
