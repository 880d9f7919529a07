"""What may have begun the streams of each pool, kept in the platform's store.

A process that starts after a common end of all processes knows from it whether a stream
that nobody remembers can only be of one software version.

Nothing in a record may be too little at any time. Servers of a version that the record
lacks begin no streams until the store has acknowledged it; a version that has left is
dropped only once its streams have ended; and a record that the store has taken back to
an older copy counts only once a process that knew the later one has written it again.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import xxhash
from loguru import logger

from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import printable_text
from copperrun.decoding import whole_number
from copperrun.membership.health import StoreHealth
from copperrun.membership.reader import TopicReader
from copperrun.membership.registry import LAPSE_GRACE_MS
from copperrun.membership.routes import RouteHistory
from copperrun.membership.routes import digest
from copperrun.membership.software import SoftwareHistory
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicStore
from copperrun.routing.catalog import Route
from copperrun.routing.origins import RETENTION_MS
from copperrun.routing.servers import ServerRecord

UNKNOWN = ""  # stands for versions that may have begun streams, and nobody knows
# Entries that know a further version write it within this time of a new era.
ERA_SETTLE_MS = 2_500
# Servers are held back for a record that the store does not take only while others of
# their pool may begin streams, or for so long.
MAX_HOLD_MS = 500
MAX_STAGGER_MS = 1_000  # over which entries write what nothing waits for
READ_TIMEOUT_MS = 1_500
PAUSE_MS = 500  # between two passes; doubles with each failure
MAX_PAUSE_MS = 1_000
MAX_KEY_BYTES = 255  # of a record; pools with longer names have none
# Another entry drops a version when it has not listed it for twice as long.
RECORDED_TTL_MS = RETENTION_MS // 2
MAX_TRIES = 8  # at once, while others write, too


class PoolRecord(NamedTuple):
    """What may have begun the streams of a pool that have not ended.

    Attributes:
        versions: Software versions of its servers.
        routes: Digests of routes that have led to it alone all the while.
        era: Era of the store in which this was known to be complete.
    """

    versions: frozenset[str]
    routes: frozenset[str]
    era: int

    def encode(self) -> bytes:
        """Return the value of the record."""
        fields = {
            "versions": sorted(self.versions),
            "routes": sorted(self.routes),
            "era": self.era,
        }
        return json.dumps(fields).encode()


class ProvenanceLog:
    """Reads and writes the records of all pools.

    Args:
        instance: Name of this entry.
        software: Versions that the registry has listed to this entry.
        routes: Where the routes have led, as this entry knows.
        health: News of the store's eras.
        store: The platform's store.
        topic: Topic of the records, by pool.
        timers: Timer service.

    Attributes:
        on_recorded: Called when the store has acknowledged what was missing.
    """

    def __init__(
        self,
        instance: str,
        software: SoftwareHistory,
        routes: RouteHistory,
        health: StoreHealth,
        store: TopicStore,
        topic: str,
        timers: Timers,
    ) -> None:
        self.on_recorded: Callable[[], None] = lambda: None
        self._software = software
        self._routes = routes
        self._health = health
        self._store = store
        self._topic = topic
        self._timers = timers
        self._stagger_ms = xxhash.xxh32_intdigest(instance.encode()) % MAX_STAGGER_MS
        self._stored: dict[str, PoolRecord] = {}  # as of the last read
        # The last records that were complete in their era; they outlast eras.
        self._known: dict[str, PoolRecord] = {}
        # Versions that the store has acknowledged and that no entry can have dropped.
        self._recorded: dict[str, frozenset[str]] = {}
        self._held_since_ms: dict[str, int] = {}
        # Since when this process has seen each version in the record of a pool.
        self._seen_ms: dict[tuple[str, str], int] = {}
        self._era = 0
        self._era_since_ms = timers.now_ms()
        self._loaded = asyncio.Event()
        self._due = asyncio.Event()
        self._first_read = asyncio.Event()
        self._reader = TopicReader(
            topic,
            store,
            timers,
            on_snapshot=self._replace,
            on_records=lambda records: self._merge(
                {record.key: record.value for record in records}
            ),
        )
        health.subscribe(self._begin_era)

    async def wait_first_read(self, timeout_ms: int) -> None:
        """Wait until the records have been read and completed, at most so long."""
        try:
            async with self._timers.timeout_ms(timeout_ms):
                await self._first_read.wait()
        except TimeoutError:
            logger.info("provenance of streams not read yet")

    async def run(self) -> None:
        """Keep the records complete until cancelled."""
        # Without the catalog and the registry all seems to have gone.
        await self._loaded.wait()
        pause_ms = PAUSE_MS
        while True:
            await self._due.wait()
            self._due.clear()
            if not self._is_urgent():
                await self._timers.sleep_ms(self._stagger_ms)
            if await self._complete():
                pause_ms = PAUSE_MS
                self._first_read.set()
                self.on_recorded()
            else:
                pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
                self._due.set()
            await self._timers.sleep_ms(pause_ms)

    def update(self) -> None:
        """Compare the records with what the registry and the catalog list now."""
        self._loaded.set()
        for pool in self._pools:
            recorded = self._recorded.get(pool, frozenset())
            self._recorded[pool] = recorded & self._recent(pool)
        if any(map(self._must_read, self._pools)):
            self._due.set()
        elif not self._due.is_set():
            self._first_read.set()

    def held_back(self, servers: Sequence[ServerRecord]) -> frozenset[tuple[str, str]]:
        """Return pools and versions whose servers may begin no streams yet."""
        now = self._timers.now_ms()
        held: set[tuple[str, str]] = set()
        for pool in self._pools:
            recorded = self._recorded.get(pool, frozenset())
            own = [server for server in servers if server.pool == pool]
            missing = {server.software_version for server in own} - recorded
            if not missing:
                self._held_since_ms.pop(pool, None)
                continue
            since_ms = self._held_since_ms.setdefault(pool, now)
            has_others = any(
                server.software_version in recorded and not server.leaving
                for server in own
            )
            if has_others or now - since_ms < MAX_HOLD_MS:
                held |= {(pool, version) for version in missing}
        return frozenset(held)

    @property
    def _pools(self) -> frozenset[str]:
        """Pools whose records this process keeps complete."""
        pools = self._routes.pools | self._stored.keys()
        return frozenset(pool for pool in pools if len(pool.encode()) <= MAX_KEY_BYTES)

    def is_mixed(self, pool: str) -> bool:
        """Return whether streams of two versions may not have ended."""
        record = self._known.get(pool)
        return record is not None and len(record.versions - {UNKNOWN}) > 1

    async def wait_covered(self, route: Route, limit_ms: int) -> None:
        """Wait, after a start, until lapsed servers are back in the registry.

        Returns at once where the only version of a route can't be known by then.
        """
        uncovered_ms = self._software.uncovered_ms(LAPSE_GRACE_MS)
        if not uncovered_ms or uncovered_ms > min(limit_ms, LAPSE_GRACE_MS):
            return
        pool = route.shares[0].pool
        record = self._known.get(pool)
        if record is not None and self._is_sole(record, pool, route):
            await self._timers.sleep_ms(uncovered_ms)

    async def sole_version(self, route: Route, limit_ms: int) -> str:
        """Return the only version that may have begun a stream of a route.

        The registry must have listed no other one for so long that servers which the
        store had dropped in an outage are back.

        Returns:
            An empty string when there may be others.
        """
        pool = route.shares[0].pool
        if not await self._reader.read(limit_ms) or self._reader.position is None:
            return ""
        version = self._software.sole_version(pool, LAPSE_GRACE_MS)
        record = self._stored.get(pool)
        is_sole = (
            record is not None
            and record.era == self._reader.position.era
            and self._is_sole(record, pool, route)
        )
        return version if is_sole else ""

    def _is_sole(self, record: PoolRecord, pool: str, route: Route) -> bool:
        """Return whether the only version listed is also the only one of a record."""
        return (
            record.versions == self._software.listed(pool)
            and len(record.versions) == 1
            and not self._software.is_mixed(pool, self._routes.span_ms)
            and digest(route) in record.routes & self._routes.steady(pool)
        )

    def _begin_era(self) -> None:
        self._era_since_ms = self._timers.now_ms()
        self._due.set()

    def _replace(self, items: Mapping[str, bytes]) -> None:
        self._stored = {}
        self._merge(items)

    def _merge(self, items: Mapping[str, bytes | None]) -> None:
        assert self._reader.position is not None
        era = self._reader.position.era
        if era > self._health.era:
            self._health.record_era(era)
        self._era = era
        for pool, value in items.items():
            record = _decode(pool, value)
            if record is None:
                self._stored.pop(pool, None)
                continue
            self._stored[pool] = record
            self._adopt(pool, record)

    def _adopt(self, pool: str, record: PoolRecord) -> None:
        """Take over a record that the store has in its present era."""
        now = self._timers.now_ms()
        for version in record.versions:
            self._seen_ms.setdefault((pool, version), now)
        if record.era != self._era:
            return
        self._known[pool] = record
        self._recorded[pool] = record.versions & self._recent(pool)

    def _recent(self, pool: str) -> frozenset[str]:
        """Return the versions that no entry can have missed for long enough."""
        return self._software.listed_within(pool, RECORDED_TTL_MS)

    def _must_read(self, pool: str) -> bool:
        """Return whether the record of a pool may lack something."""
        return (
            bool(self._software.listed(pool) - self._recorded[pool])
            or self._desired(pool) is not None
            or self._health.era > self._era
        )

    def _is_urgent(self) -> bool:
        """Return whether servers wait for a record, or one may be too little."""
        return self._health.era > self._era or any(
            self._software.listed(pool) - self._recorded.get(pool, frozenset())
            or self._known_routes(pool) - self._routes.steady(pool)
            or self.is_mixed(pool)
            for pool in self._pools
        )

    def _known_routes(self, pool: str) -> frozenset[str]:
        record = self._known.get(pool)
        return frozenset() if record is None else record.routes

    def _desired(self, pool: str) -> PoolRecord | None:
        """Return what the record of a pool should be; None if it is that already."""
        stored, known = self._stored.get(pool), self._known.get(pool)
        listed = self._software.listed(pool)
        versions: frozenset[str] = frozenset()
        routes: frozenset[str] = frozenset()
        if stored is not None and stored.era == self._era:
            versions, routes = stored.versions, stored.routes
        elif known is not None:
            versions, routes = known.versions, known.routes
            if stored is not None:
                versions |= stored.versions
            is_settled = self._timers.now_ms() - self._era_since_ms >= ERA_SETTLE_MS
            if len(versions | listed) == 1 and not is_settled:
                return None
        elif not self._software.covers_all:
            versions = frozenset({UNKNOWN})
            if stored is not None:
                versions |= stored.versions
        versions = versions | listed
        versions -= {v for v in versions - listed if self._has_ended(pool, v)}
        routes = (routes & self._routes.steady(pool)) | self._routes.settled(pool)
        record = PoolRecord(versions, routes, self._era)
        return None if not versions or record == stored else record

    def _has_ended(self, pool: str, version: str) -> bool:
        """Return whether all streams of a version that is not listed have ended.

        Another entry may have seen its servers when this one had not.
        """
        if version == UNKNOWN and self._software.covers_all:
            return True
        seen_ms = self._seen_ms.get((pool, version), self._timers.now_ms())
        if self._timers.now_ms() - seen_ms < RETENTION_MS:
            return False
        return self._software.is_absent(pool, version, RETENTION_MS)

    async def _complete(self) -> bool:
        """Read the records, and write those that lack something; return the success."""
        for _ in range(MAX_TRIES):
            if not await self._reader.read(READ_TIMEOUT_MS):
                return False
            for pool, stored in self._stored.items():
                self._adopt(pool, stored)
            missing = [
                (pool, record)
                for pool in self._pools
                if (record := self._desired(pool)) is not None
            ]
            if not missing:
                return True
            if not await self._write(*missing[0]):
                return False
        return False

    async def _write(self, pool: str, record: PoolRecord) -> bool:
        """Write a record; return whether to read what the store has now."""
        at = self._reader.position
        assert at is not None
        # Only behind what was read, so that no version of others is dropped.
        position = await self._store.put(
            self._topic, pool, record.encode(), at=at.offset
        )
        if isinstance(position, TopicError):
            if position.reason is TopicErrorReason.CONFLICT:
                return True
            logger.warning("provenance of streams not written", detail=position.detail)
            return False
        if position.era != record.era:
            # It may have replaced one of the new era.
            self._known[pool] = record._replace(versions=record.versions | {UNKNOWN})
            return True
        logger.info(
            "provenance of streams written",
            pool=pool,
            versions=sorted(record.versions),
            routes=len(record.routes),
            era=record.era,
        )
        return True


def _decode(pool: str, value: bytes | None) -> PoolRecord | None:
    """Decode a record; None for one that is missing or cannot be read."""
    if not value:
        return None
    record = decode(value, _record)
    if isinstance(record, DecodeError):
        logger.warning("provenance skipped", pool=pool, detail=record.detail)
        return None
    return record


def _record(fields: dict[str, Any]) -> PoolRecord:
    return PoolRecord(
        frozenset(_text(version) for version in list(fields["versions"])),
        frozenset(printable_text(route) for route in list(fields["routes"])),
        whole_number(fields["era"], 0),
    )


def _text(value: Any) -> str:
    return UNKNOWN if value == UNKNOWN else printable_text(value)
