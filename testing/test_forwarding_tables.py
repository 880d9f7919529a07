"""Routes, catalogs, events, the registry, topic followers and the server table."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from factories import route
from factories import server
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from copperrun.configuration.catalog import CurrentCatalog
from copperrun.embedded.clock import ManualTimers
from copperrun.membership.health import StoreHealth
from copperrun.membership.registry import LAPSE_GRACE_MS
from copperrun.membership.registry import Registry
from copperrun.membership.topic import TopicFollower
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicSnapshot
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import PoolShare
from copperrun.routing.catalog import RouteTable
from copperrun.routing.events import EventSplitter
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.routing.servers import ServerTable


def test_the_longest_prefix_of_the_host_wins():
    table = RouteTable(
        [
            route(name="short"),
            route(name="long", prefix="/a/b/"),
            route(name="root", prefix="/"),
            route(name="other", host="x.example", prefix="/"),
        ]
    )
    found = [
        table.find(host, path)
        for host, path in (
            ("h.example", "/a/b/c"),
            ("H.example:80", "/a/bc"),
            ("h.example", "/c"),
            ("x.example", "/a/b/c"),
            ("y.example", "/a/b/c"),
        )
    ]
    names = [item.name if item else None for item in found]
    assert_that(names, Equals(["long", "short", "root", "other", None]))


def test_a_split_route_gives_each_pool_its_share_and_a_request_one_pool():
    split = route(shares=(PoolShare("p", 90.0), PoolShare("q", 10.0)))
    pools = [split.pool_for(f"request-{number}") for number in range(2_000)]
    assert_that(0.07 < pools.count("q") / 2_000 < 0.13, Equals(True))
    assert_that(split.pool_for("request-1"), Equals(pools[1]))


def _catalog(value: bytes) -> Catalog | str:
    if not value.isdigit():
        return "not a number"
    return Catalog(int(value), (), {}, CallerLimits())


def test_an_older_or_unreadable_catalog_is_ignored():
    current = CurrentCatalog(_catalog)
    for value in (b"3", b"7", b"5", b"broken", None):
        current.update(value)
    assert current.catalog is not None
    assert_that(current.catalog.version, Equals(7))


@given(st.lists(st.integers(1, 30), min_size=1, max_size=20))
def test_events_are_complete_wherever_the_bytes_are_split(cuts: list[int]) -> None:
    whole = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, b"x" * (number % 7)) for number in range(12)
    )
    splitter = EventSplitter()
    events = []
    at = 0
    for size in [*cuts, len(whole)]:
        events += splitter.feed(whole[at : at + size])
        at += size
    assert_that(b"".join(event.data for event in events), Equals(whole))
    assert_that([event.id for event in events], Equals([str(n) for n in range(12)]))
    assert_that(splitter.has_partial_event, Equals(False))


def test_a_partial_event_is_buffered():
    splitter = EventSplitter()
    events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert_that([event.id for event in events], Equals(["1"]))
    assert_that(splitter.has_partial_event, Equals(True))


def _decode(server_id: str, value: bytes) -> ServerRecord | str:
    return server(server_id) if value == b"good" else "unreadable"


def test_an_unreadable_record_is_skipped_and_the_others_are_kept():
    registry = Registry(_decode, ManualTimers())
    found = registry.update({"a": b"good", "b": b"\xff"}, None)
    assert_that([item.id for item in found], Equals(["a"]))


async def test_a_server_that_left_is_removed_at_once():
    registry = Registry(_decode, ManualTimers())
    registry.update({"a": b"good"}, None)
    assert_that(registry.update({}, None), Equals([]))


async def test_a_record_that_expired_in_an_outage_is_kept_for_the_grace_period():
    timers = ManualTimers()
    registry = Registry(_decode, timers)
    registry.update({"a": b"good", "b": b"good"}, None)
    await timers.advance(60_000)
    recovered_ms = timers.now_ms()
    kept = registry.update({}, recovered_ms)
    assert_that({item.id for item in kept}, Equals({"a", "b"}))
    await timers.advance(LAPSE_GRACE_MS - 1)
    registry.update({"a": b"good"}, recovered_ms)
    await timers.advance(1)
    left = registry.update({"a": b"good"}, recovered_ms)
    assert_that([item.id for item in left], Equals(["a"]))


class _TopicStore:
    """A topic whose contents and availability the test sets."""

    def __init__(self) -> None:
        self.items: dict[str, bytes] = {}
        self.records: list[TopicRecord] = []
        self.first = 0
        self.is_down = False
        self.calls = 0

    def put(self, key: str, value: bytes | None) -> None:
        self.records.append(TopicRecord(key, value))
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = value

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        self.calls += 1
        if self.is_down:
            return TopicError(TopicErrorReason.UNAVAILABLE, "down")
        return TopicSnapshot(dict(self.items), len(self.records))

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        self.calls += 1
        if self.is_down:
            return TopicError(TopicErrorReason.UNAVAILABLE, "down")
        if offset < self.first:
            return TopicError(TopicErrorReason.TRIMMED, "gone")
        return TopicPage(self.records[offset:], len(self.records))


def _follower(store: _TopicStore, timers: ManualTimers) -> TopicFollower:
    health = StoreHealth(timers)
    return TopicFollower("t", store, timers, health, period_ms=1_000, wait_ms=0)


async def _with(follower: TopicFollower, timers: ManualTimers, steps: list) -> None:
    task = asyncio.create_task(follower.run())
    for delay_ms, step in steps:
        await timers.advance(delay_ms)
        step()
    task.cancel()


async def test_topic_follower_applies_updates_and_deletions():
    store, timers = _TopicStore(), ManualTimers()
    store.put("a", b"1")
    follower = _follower(store, timers)
    seen: list[Mapping[str, bytes]] = []
    follower.subscribe(lambda: seen.append(dict(follower.items)))

    def change() -> None:
        store.put("b", b"2")
        store.put("a", None)

    await _with(follower, timers, [(10, change), (1_100, lambda: None)])
    assert_that(seen, Equals([{"a": b"1"}, {"b": b"2"}]))


async def test_topic_follower_reads_a_snapshot_when_its_offset_was_trimmed():
    store, timers = _TopicStore(), ManualTimers()
    store.put("a", b"1")
    follower = _follower(store, timers)

    def compact() -> None:
        store.put("a", None)
        store.put("b", b"2")
        store.first = 3

    await _with(follower, timers, [(10, compact), (2_500, lambda: None)])
    assert_that(follower.items, Equals({"b": b"2"}))


async def test_topic_follower_keeps_its_items_while_the_store_is_unavailable():
    store, timers = _TopicStore(), ManualTimers()
    store.put("a", b"1")
    follower = _follower(store, timers)
    await _with(
        follower,
        timers,
        [
            (10, lambda: setattr(store, "is_down", True)),
            (30_000, lambda: assert_that(follower.items, Equals({"a": b"1"}))),
            (0, lambda: assert_that(store.calls < 40, Equals(True))),
            (0, lambda: setattr(store, "is_down", False)),
            (1_100, lambda: None),
        ],
    )
    assert follower.recovered_ms is not None
    assert_that(timers.now_ms() - follower.recovered_ms < 1_100, Equals(True))


def test_topic_follower_restores_a_peers_snapshot_only_when_it_is_newer():
    follower = _follower(_TopicStore(), ManualTimers())
    follower.restore(TopicSnapshot({"a": b"2"}, 9))
    follower.restore(TopicSnapshot({"a": b"1"}, 5))
    assert_that(follower.items, Equals({"a": b"2"}))


def test_a_server_table_keeps_its_observations_of_servers_that_stay():
    servers = ServerTable(ManualTimers())
    servers.set_records([server("a"), server("b")])
    found = servers.find("a")
    assert found is not None
    found.begin_request()
    servers.set_records([server("a", leaving=True)])
    assert_that(servers.find("a"), Is(found))
    assert_that(found.inflight, Equals(1))
    assert_that(servers.usable("pay"), Equals([]))
    assert_that(servers.find("b"), Is(None))


def test_a_report_of_an_earlier_start_is_ignored():
    servers = ServerTable(ManualTimers())
    servers.set_records([server("a", born_ms=100)])
    found = servers.find("a")
    assert found is not None
    found.apply_report(ServerReport(50, {"m": frozenset()}, 1, 0, {}))
    assert_that(found.held, Equals({}))
    found.apply_report(ServerReport(100, {"m": frozenset()}, 1, 0, {}))
    assert_that(found.held, Equals({"m": frozenset()}))


def test_the_shortest_pause_of_a_pool_is_that_of_the_routes_that_lead_to_it():
    share = (PoolShare("llm", 1.0),)
    routes = [
        route(target_gap_ms=400, shares=share),
        route(target_gap_ms=300, shares=share),
        route(target_gap_ms=0, shares=share),
        route(target_gap_ms=100, shares=(PoolShare("llm", 0.0), PoolShare("b", 1.0))),
    ]
    catalog = Catalog(1, routes, {}, CallerLimits())
    assert_that(catalog.shortest_gap_ms("llm"), Equals(300))
    assert_that(catalog.shortest_gap_ms("b"), Equals(100))
    assert_that(catalog.shortest_gap_ms("pay"), Equals(0))
