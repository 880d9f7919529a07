"""View of the platform's store: the catalog and the backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from functools import partial
from typing import NamedTuple

from copperrun.configuration.catalog import CurrentCatalog
from copperrun.membership.health import StoreHealth
from copperrun.membership.registry import LAPSE_GRACE_MS
from copperrun.membership.registry import Registry
from copperrun.membership.software import SoftwareHistory
from copperrun.membership.topic import TopicFollower
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicPeers
from copperrun.ports.topics import TopicSnapshot
from copperrun.ports.topics import TopicStore
from copperrun.routing.servers import ServerRecord

# Polling interval of the server records, as a fraction of the time within which entries
# must have noticed a leaving server. Sides poll less often, since the entries report
# the pool's other engines to them.
ENTRY_SERVERS_POLL_FRACTION = 0.4
SIDE_SERVERS_POLL_FRACTION = 1.2
# Length of a long poll for the catalog, as a fraction of the time within which a change
# must be in force; the store answers a new record at once. On entries the poll, its
# answer's margin and one more read fit into that time, so that a connection that went
# silent does not hide a change. No rule bounds the age of the catalog on sides.
ENTRY_CATALOG_WAIT_FRACTION = 0.6
SIDE_CATALOG_WAIT_FRACTION = 4.0
PEERS_START_DELAY_MS = 1_000  # gives the store time to answer first
PEERS_POLL_INTERVAL_MS = 1_000


class Topics(NamedTuple):
    """Names of the topics that are followed.

    Attributes:
        operator: Topic of the operator's records.
        catalog_key: Key of the catalog in it.
        servers: Topic of the backend servers' records.
    """

    operator: str
    catalog_key: str
    servers: str


ServersListener = Callable[[list[ServerRecord]], None]


class PlatformView:
    """Follows both topics; asks peers for snapshots at the start.

    Attributes:
        catalog: Catalog in force.
        health: News of the store's outages and eras.
        software: Software versions that the registry has listed lately.
    """

    def __init__(
        self,
        topics: Topics,
        store: TopicStore,
        peers: TopicPeers,
        catalog: CurrentCatalog,
        registry: Registry,
        timers: Timers,
        *,
        servers_period_ms: int,
        catalog_wait_ms: int,
        catalog_max_age_ms: int,
        asks_peers_first: bool,
    ) -> None:
        self.software = SoftwareHistory(timers, is_first_start=not asks_peers_first)
        self.catalog = catalog
        self.health = StoreHealth(timers)
        self._topics = topics
        self._peers = peers
        self._registry = registry
        self._timers = timers
        self._catalog_max_age_ms = catalog_max_age_ms
        self._asks_peers_first = asks_peers_first
        self._peers_asked = asyncio.Event()
        self._operator = TopicFollower(
            topics.operator,
            store,
            timers,
            self.health,
            period_ms=0,
            wait_ms=catalog_wait_ms,
        )
        self._servers = TopicFollower(
            topics.servers,
            store,
            timers,
            self.health,
            period_ms=servers_period_ms,
            wait_ms=0,
        )
        self._listeners: list[ServersListener] = []
        self._operator.subscribe(self._update_catalog)
        self._servers.subscribe(self.refresh)
        self._servers.on_replaced = self.software.restart
        # Servers that started during an outage could write no record.
        self._servers.on_recovered = partial(self.software.restart, LAPSE_GRACE_MS)
        self._servers.on_superseded = self._record_superseded

    @property
    def is_catalog_recent(self) -> bool:
        """Whether the store has confirmed the catalog within its greatest age."""
        return self.is_catalog_confirmed(self._catalog_max_age_ms)

    def is_catalog_confirmed(self, max_age_ms: int) -> bool:
        """Return whether the store has confirmed the catalog within a time."""
        read_ms = self._operator.read_ms
        return read_ms is not None and self._timers.now_ms() - read_ms <= max_age_ms

    def subscribe(self, listener: ServersListener) -> None:
        """Call ``listener`` with the servers after each change."""
        self._listeners.append(listener)

    def topic_snapshots(self) -> Mapping[str, TopicSnapshot]:
        """Return the snapshots that peers may request, by topic.

        They name the catalog in force, which may be newer than the store's.
        """
        operator = self._operator.snapshot()
        if self.catalog.encoded:
            catalog = {self._topics.catalog_key: self.catalog.encoded}
            operator = operator._replace(items={**operator.items, **catalog})
        return {
            self._operator.topic: operator,
            self._servers.topic: self._servers.snapshot(),
        }

    def newer_catalog(self, version: int) -> Mapping[str, TopicSnapshot]:
        """Return the catalog in force alone if it is newer; empty otherwise."""
        catalog = self.catalog.catalog
        if catalog is None or catalog.version <= version:
            return {}
        items = {self._topics.catalog_key: self.catalog.encoded}
        operator = self._operator.snapshot()
        return {self._operator.topic: TopicSnapshot(items, operator.end, operator.era)}

    async def wait_until_loaded(self) -> None:
        """Wait until the catalog and the servers have been loaded."""
        await self.catalog.wait_until_loaded()
        await self._servers.wait_until_loaded()
        await self._peers_asked.wait()

    async def run(self) -> None:
        """Follow both topics until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._operator.run())
            tasks.create_task(self._servers.run())
            tasks.create_task(self._fetch_from_peers())

    def refresh(self) -> None:
        """Notify the listeners of the servers to use now."""
        servers = self._registry.update(
            self._servers.items, self._servers.recovered_ms, self._servers.copied
        )
        self.software.record_listed(servers)
        for listener in self._listeners:
            listener(servers)

    async def confirm_servers(self, timeout_ms: int) -> bool:
        """Return whether the servers are those that the store lists now."""
        return await self._servers.confirm(timeout_ms)

    def _record_superseded(self, server_id: str, value: bytes) -> None:
        record = self._registry.decode(server_id, value)
        if not isinstance(record, str):
            self.software.record([record])

    async def _fetch_from_peers(self) -> None:
        """Ask the peers once, then again for as long as the store does not answer.

        The first answers are awaited before this process serves: the store may have
        come back from a copy older than the catalog that the peers have in force.
        """
        if self._asks_peers_first:
            await self._restore_from_peers()
        self._peers_asked.set()
        await self._timers.sleep_ms(PEERS_START_DELAY_MS)
        while self._operator.end < 0 or self._servers.end < 0:
            await self._restore_from_peers()
            await self._timers.sleep_ms(PEERS_POLL_INTERVAL_MS)
        while True:
            await self._follow_peers()
            await self.health.wait_failure()

    async def _follow_peers(self) -> None:
        """Ask peers for a newer catalog until the store answers this process again.

        The store may turn some machines away and serve others. Keys that the operator
        withdraws meanwhile must not go on here.
        """
        while self._operator.is_failing or self._servers.is_failing:
            catalog = self.catalog.catalog
            if catalog is None or catalog.accounts is None:
                return
            for encoded in await self._peers.fetch_catalogs(catalog.version):
                self.catalog.update(encoded)
            await self._timers.sleep_ms(PEERS_POLL_INTERVAL_MS)

    async def _restore_from_peers(self) -> None:
        snapshots = await self._peers.fetch_snapshots()
        if self._topics.operator in snapshots:
            items = snapshots[self._topics.operator].items
            self.catalog.update(items.get(self._topics.catalog_key))
        for follower in (self._operator, self._servers):
            if follower.topic in snapshots and not follower.is_current:
                follower.restore(snapshots[follower.topic])

    def _update_catalog(self) -> None:
        self.catalog.update(self._operator.items.get(self._topics.catalog_key))
        if self._servers.end >= 0:
            # The new catalog may have added or removed pools.
            self.refresh()
