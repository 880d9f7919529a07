"""View of the store across its outages and after it fell back to an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from crash_relays import CrashRelays
from factories import route
from factories import server
from network import NullMetrics
from origin_keepers import OriginKeepers
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import LessThan

from copperrun.admission.credits import Credits
from copperrun.admission.uses import QuotaBounds
from copperrun.configuration.catalog import CurrentCatalog
from copperrun.configuration.catalog import Decoder
from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until_idle
from copperrun.entry.allotments import AllotmentGate
from copperrun.entry.proxy import ProxyProcess
from copperrun.membership.location import ProcessLocation
from copperrun.membership.registry import Registry
from copperrun.membership.view import ENTRY_CATALOG_WAIT_FRACTION
from copperrun.membership.view import ENTRY_SERVERS_POLL_FRACTION
from copperrun.membership.view import PlatformView
from copperrun.membership.view import Topics
from copperrun.model import Refusal
from copperrun.ports.backends import BackendCall
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicSnapshot
from copperrun.routing.accounts import AccountTable
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.catalog import Catalog
from copperrun.routing.retries import RetryBounds
from copperrun.routing.servers import ServerRecord

TOPICS = Topics("op", "config", "servers")
APPLY_MS = 2_500
DRAIN_MS = 2_500
CALL_TIMEOUT_MS = 1_500
POLL_MARGIN_MS = 600


class Store:
    """Some topics; while it is silent, calls end by their client's timeout.

    Attributes:
        reads: Time, topic and wait of each read.
        silent_topics: Topics whose open reads get no answer, as on a connection that
            went silent without a reset; new reads are answered.
    """

    def __init__(self, timers: ManualTimers) -> None:
        self.era = 1
        self.is_silent = False
        self.silent_topics: set[str] = set()
        self.reads: list[tuple[int, str, int]] = []
        self._timers = timers
        self._records: dict[str, list[TopicRecord]] = {
            "op": [],
            "servers": [],
            "crashes": [],
        }

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        self._records[topic].append(TopicRecord(key, value))

    def end(self, topic: str) -> int:
        return len(self._records[topic])

    def fall_back(self, **ends: int) -> None:
        """Come back from a copy that has the first records of each topic only."""
        self.era += 1
        for topic, end in ends.items():
            del self._records[topic][end:]

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        if self.is_silent:
            return await self._time_out(CALL_TIMEOUT_MS)
        records = self._records[topic]
        newest = {record.key: record.value for record in records}
        items = {key: value for key, value in newest.items() if value}
        return TopicSnapshot(items, len(records), self.era)

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        started_ms = self._timers.now_ms()
        self.reads.append((started_ms, topic, wait_ms))
        timeout_ms = wait_ms + POLL_MARGIN_MS if wait_ms else CALL_TIMEOUT_MS
        while True:
            if self.is_silent or topic in self.silent_topics:
                # A connection that has been silent once stays so.
                elapsed_ms = self._timers.now_ms() - started_ms
                self.silent_topics.discard(topic)
                return await self._time_out(timeout_ms - elapsed_ms)
            records = self._records[topic]
            if len(records) < offset:
                return TopicError(TopicErrorReason.TRIMMED, "no such offset")
            if len(records) > offset or self._timers.now_ms() - started_ms >= wait_ms:
                return TopicPage(records[offset:], len(records), self.era)
            await self._timers.sleep_ms(10)

    async def _time_out(self, timeout_ms: int) -> TopicError:
        await self._timers.sleep_ms(timeout_ms)
        return TopicError(TopicErrorReason.UNAVAILABLE, "no response")


class Peers:
    """Peers that all have the view of one process, or none."""

    def __init__(self, view: PlatformView | None = None) -> None:
        self._view = view

    async def fetch_snapshots(self) -> Mapping[str, TopicSnapshot]:
        return self._view.topic_snapshots() if self._view is not None else {}

    async def fetch_catalogs(self, version: int) -> list[bytes]:
        if self._view is None:
            return []
        topics = self._view.newer_catalog(version)
        return [value for topic in topics.values() for value in topic.items.values()]


def _decode_catalog(value: bytes) -> Catalog | str:
    version = int(value)
    routes = tuple(
        route(name=f"r{number}", prefix=f"/r{number}/") for number in range(version)
    )
    return Catalog(version, routes, {}, CallerLimits())


def _decode_catalog_with_accounts(value: bytes) -> Catalog | str:
    catalog = _decode_catalog(value)
    assert isinstance(catalog, Catalog)
    return catalog._replace(accounts=AccountTable([]))


def _decode_server(server_id: str, value: bytes) -> ServerRecord | str:
    return server(server_id, leaving=value == b"draining")


def _view(
    store: Store,
    timers: ManualTimers,
    peer: PlatformView | None = None,
    decode: Decoder = _decode_catalog,
) -> PlatformView:
    return PlatformView(
        TOPICS,
        store,
        Peers(peer),
        CurrentCatalog(decode),
        Registry(_decode_server, timers),
        timers,
        servers_period_ms=int(ENTRY_SERVERS_POLL_FRACTION * DRAIN_MS),
        catalog_wait_ms=int(ENTRY_CATALOG_WAIT_FRACTION * APPLY_MS),
        catalog_max_age_ms=APPLY_MS,
        asks_peers_first=True,
    )


def _version(view: PlatformView) -> int:
    assert view.catalog.catalog is not None
    return view.catalog.catalog.version


async def _started(
    store: Store, timers: ManualTimers
) -> tuple[PlatformView, asyncio.Task]:
    store.put("op", "config", b"1")
    store.put("servers", "s", b"1")
    view = _view(store, timers)
    task = asyncio.create_task(view.run())
    await timers.advance(5_000)
    return view, task


async def test_a_catalog_written_in_an_outage_is_in_force_soon_after_its_end():
    # The day drawn for kura-export: the store was silent from 11 s to 28 s, and a long
    # poll that began in the outage would have ended at 34.7 s.
    timers = ManualTimers()
    store = Store(timers)
    view, task = await _started(store, timers)
    for outage_ms in (700, 4_100, 12_300, 17_000):
        store.is_silent = True
        await timers.advance(outage_ms)
        store.put("op", "config", str(_version(view) + 1).encode())
        version = _version(view) + 1
        store.is_silent = False
        await timers.advance(APPLY_MS)
        assert_that(_version(view), Equals(version))
    task.cancel()


async def test_no_read_waits_at_the_store_until_one_has_succeeded_after_a_failure():
    timers = ManualTimers()
    store = Store(timers)
    _, task = await _started(store, timers)
    store.is_silent = True
    await timers.advance(4_000)
    store.reads.clear()
    await timers.advance(12_000)
    waits = {wait_ms for _, topic, wait_ms in store.reads if topic == "op"}
    assert_that(waits, Equals({0}))
    task.cancel()


async def test_a_poll_on_a_connection_that_went_silent_ends_within_the_bound():
    timers = ManualTimers()
    store = Store(timers)
    view, task = await _started(store, timers)
    store.silent_topics.add("op")
    await timers.advance(100)
    store.put("op", "config", b"2")
    await timers.advance(APPLY_MS - 100)
    assert_that(_version(view), Equals(2))
    task.cancel()


async def test_followers_that_fail_alone_do_not_multiply_their_reads():
    # Some outages concern part of the topics only.
    timers = ManualTimers()
    store = Store(timers)
    _, task = await _started(store, timers)
    store.reads.clear()
    for _ in range(100):
        store.silent_topics.add("servers")
        await timers.advance(100)
    counts = [sum(name == topic for _, name, _ in store.reads) for topic in TOPICS[::2]]
    assert_that(counts[0], LessThan(20))
    assert_that(counts[1], LessThan(20))
    task.cancel()


class Caller:
    def __init__(self) -> None:
        self.refusal: Refusal | None = None

    async def refuse(self, refusal: Refusal) -> None:
        self.refusal = refusal


async def test_an_unknown_route_gets_404_only_from_a_recent_catalog():
    timers = ManualTimers()
    store = Store(timers)
    store.put("op", "config", b"1")
    store.put("servers", "s", b"1")
    view = _view(store, timers)
    location = ProcessLocation("e", "a-1", "a", {"a-1": "a"})
    proxy = ProxyProcess(
        location,
        view,
        None,
        None,
        CrashRelays(timers),
        OriginKeepers(timers),
        store,
        "crashes",
        AllotmentGate(Credits(None, timers, QuotaBounds()), NullMetrics()),
        RetryBounds(1.0, 1, 1_000),
        timers,
        NullMetrics(),
    )
    task = asyncio.create_task(proxy.run())
    await run_until_idle()
    call = BackendCall("id", "GET", "h.example", "/other/x", [], None, 1_000)
    reasons = []
    for is_silent, delay_ms in ((False, 4_000), (True, 6_000), (False, 4_000)):
        store.is_silent = is_silent
        await timers.advance(delay_ms)
        caller = Caller()
        await proxy.handle(call, caller)
        assert caller.refusal is not None
        reasons.append(caller.refusal.reason.value)
    assert_that(
        reasons, Equals(["unknown_deployment", "not_ready", "unknown_deployment"])
    )
    assert_that(task.done(), Is(False))
    task.cancel()


def _listed(view: PlatformView) -> dict[str, bool]:
    """Return whether each server in use is leaving."""
    seen: list[list[ServerRecord]] = []
    view.subscribe(seen.append)
    view.refresh()
    return {record.id: record.leaving for record in seen[-1]}


async def test_an_offset_that_is_valid_again_after_a_fall_back_is_not_read_on_from():
    timers = ManualTimers()
    store = Store(timers)
    view, task = await _started(store, timers)
    start = store.end("servers")
    store.put("servers", "lost", b"1")
    await timers.advance(2_000)
    store.fall_back(servers=start)
    store.put("servers", "x", b"1")
    store.put("servers", "y", b"1")
    await timers.advance(2_000)
    assert_that(set(_listed(view)), Equals({"s", "x", "y", "lost"}))
    await timers.advance(3_000)
    assert_that(set(_listed(view)), Equals({"s", "x", "y"}))
    task.cancel()


async def test_a_configuration_never_reverts_when_the_store_falls_back():
    timers = ManualTimers()
    store = Store(timers)
    view, task = await _started(store, timers)
    copy = store.end("op")
    store.put("op", "config", b"5")
    await timers.advance(2_000)
    store.fall_back(op=copy)
    await timers.advance(2_000)
    assert_that(_version(view), Equals(5))
    late = _view(store, timers, peer=view)
    late_task = asyncio.create_task(late.run())
    await late.wait_until_loaded()
    assert_that(_version(late), Equals(5))
    store.put("op", "config", b"6")
    await timers.advance(2_000)
    assert_that((_version(view), _version(late)), Equals((6, 6)))
    task.cancel()
    late_task.cancel()


async def test_a_server_that_left_is_not_used_because_an_older_copy_lists_it():
    timers = ManualTimers()
    store = Store(timers)
    view, task = await _started(store, timers)
    store.put("servers", "gone", b"1")
    store.put("servers", "draining", b"1")
    await timers.advance(2_000)
    copy = store.end("servers")
    store.put("servers", "gone", None)
    store.put("servers", "draining", b"draining")
    await timers.advance(2_000)
    store.fall_back(servers=copy)
    for _ in range(4):
        await timers.advance(1_000)
        assert_that(_listed(view), Equals({"s": False, "draining": True}))
    # Servers that live write their records again.
    store.put("servers", "gone", b"1")
    await timers.advance(2_000)
    assert_that(_listed(view)["gone"], Equals(False))
    task.cancel()


async def test_a_server_that_an_older_copy_lacks_has_time_to_write_itself_again():
    timers = ManualTimers()
    store = Store(timers)
    view, task = await _started(store, timers)
    copy = store.end("servers")
    store.put("servers", "new", b"1")
    await timers.advance(2_000)
    store.fall_back(servers=copy)
    await timers.advance(1_500)
    assert_that(set(_listed(view)), Equals({"s", "new"}))
    store.put("servers", "new", b"1")
    await timers.advance(10_000)
    assert_that(set(_listed(view)), Equals({"s", "new"}))
    task.cancel()


async def _versions_while_turned_away(decode: Decoder) -> tuple[int, int]:
    """Return the versions of a process that the store turns away, and of its peer."""
    timers = ManualTimers()
    store, other_store = Store(timers), Store(timers)
    for each in (store, other_store):
        each.put("op", "config", b"1")
        each.put("servers", "s", b"1")
    peer = _view(other_store, timers, decode=decode)
    view = _view(store, timers, peer=peer, decode=decode)
    tasks = [asyncio.create_task(item.run()) for item in (peer, view)]
    await timers.advance(5_000)
    store.is_silent = True
    await timers.advance(1_000)
    other_store.put("op", "config", b"2")
    await timers.advance(2 * APPLY_MS)
    versions = _version(view), _version(peer)
    for task in tasks:
        task.cancel()
    return versions


async def test_a_machine_that_the_store_turns_away_learns_of_keys_from_peers():
    versions = await _versions_while_turned_away(_decode_catalog_with_accounts)
    assert_that(versions, Equals((2, 2)))


async def test_without_accounts_peers_are_not_asked_in_an_outage():
    versions = await _versions_while_turned_away(_decode_catalog)
    assert_that(versions, Equals((1, 2)))
