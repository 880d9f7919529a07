"""The store's client against a stand-in that speaks its protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from platform_standins import Store
from testtools.assertions import assert_that
from testtools.matchers import Equals

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.timers import SystemTimers
from copperrun.platform.store import StoreFeed
from copperrun.ports.feed import FeedError
from copperrun.ports.feed import FeedErrorReason
from copperrun.ports.feed import FeedPage
from copperrun.ports.feed import FeedRecord
from copperrun.ports.feed import FeedSnapshot


@asynccontextmanager
async def store_and_feed() -> AsyncIterator[tuple[Store, StoreFeed]]:
    store = Store()
    await store.start()
    async with open_session() as session:
        yield store, StoreFeed(HttpClient(session, SystemTimers()), store.address)
    await store.close()


async def test_the_newest_records_are_read_over_all_pages():
    async with store_and_feed() as (store, feed):
        for number in range(7):
            store.put("keyed.t", f"k{number % 5}", b"v%d" % number)
        store.put("keyed.t", "k2", b"")
        snapshot = await feed.newest("keyed.t")
        assert isinstance(snapshot, FeedSnapshot)
        expected = {"k0": b"v5", "k1": b"v6", "k3": b"v3", "k4": b"v4"}
        assert_that((snapshot.items, snapshot.end), Equals((expected, 8)))


async def test_records_and_drops_are_read_in_order():
    async with store_and_feed() as (store, feed):
        store.put("keyed.t", "a", b"1")
        store.put("keyed.t", "a", b"")
        page = await feed.read("keyed.t", 0, wait_ms=0)
        records = [FeedRecord("a", b"1"), FeedRecord("a", None)]
        assert_that(page, Equals(FeedPage(records, 2)))


async def test_a_deleted_offset_is_told_apart_from_an_outage():
    async with store_and_feed() as (store, feed):
        store.put("keyed.t", "a", b"1")
        store.first["keyed.t"] = 1
        trimmed = await feed.read("keyed.t", 0, wait_ms=0)
        store.is_down = True
        down = await feed.read("keyed.t", 1, wait_ms=0)
        reasons = [
            error.reason for error in (trimmed, down) if isinstance(error, FeedError)
        ]
        assert_that(
            reasons, Equals([FeedErrorReason.TRIMMED, FeedErrorReason.UNAVAILABLE])
        )


async def test_a_write_returns_its_offset():
    async with store_and_feed() as (store, feed):
        store.put("keyed.s", "x", b"1")
        offset = await feed.put("keyed.s", "side-1", b"claim")
        assert_that(offset, Equals(1))
        assert_that(store.records["keyed.s"][1], Equals(("side-1", b"claim")))


async def test_a_store_that_is_gone_gives_an_error():
    async with store_and_feed() as (store, feed):
        await store.close()
        for error in (
            await feed.newest("keyed.t"),
            await feed.read("keyed.t", 0, wait_ms=0),
            await feed.put("keyed.t", "a", b"1"),
        ):
            assert isinstance(error, FeedError)
