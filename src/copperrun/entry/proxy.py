"""Entry process of the users' platform: forwards requests to servers by route."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import xxhash
from loguru import logger

from copperrun.admission.memory import MemoryShare
from copperrun.entry.accounts import authenticate
from copperrun.entry.accounts import outdated_keys
from copperrun.entry.allotments import AllotmentGate
from copperrun.entry.continuations import Continuations
from copperrun.entry.reports import INITIAL_ENTRY_COUNT
from copperrun.entry.reports import DemandReporter
from copperrun.membership.archive import CrashArchive
from copperrun.membership.exchange import CrashExchange
from copperrun.membership.journal import OriginJournal
from copperrun.membership.keepers import OriginDirectory
from copperrun.membership.lifecycle import Lifecycle
from copperrun.membership.lifecycle import State
from copperrun.membership.location import ProcessLocation
from copperrun.membership.provenance import MAX_HOLD_MS
from copperrun.membership.provenance import ProvenanceLog
from copperrun.membership.routes import RouteHistory
from copperrun.membership.view import PlatformView
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.pauses import PULSE_MS
from copperrun.pauses import PauseDetector
from copperrun.placement.demand import DemandMeter
from copperrun.ports.admission import EngineSides
from copperrun.ports.backends import BackendCall
from copperrun.ports.backends import Backends
from copperrun.ports.buffers import AnswerBuffers
from copperrun.ports.costs import Costs
from copperrun.ports.crashes import CrashRelays
from copperrun.ports.metrics import Metrics
from copperrun.ports.origins import Keeper
from copperrun.ports.origins import OriginKeepers
from copperrun.ports.responder import Responder
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicStore
from copperrun.routing.accounts import AccountTable
from copperrun.routing.accounts import ClientAccount
from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import Route
from copperrun.routing.crashes import CrashLog
from copperrun.routing.estimates import with_estimate
from copperrun.routing.origins import RETENTION_MS
from copperrun.routing.origins import OriginTable
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.quarantine import MAX_STAGGER_MS
from copperrun.routing.quarantine import Quarantine
from copperrun.routing.relay import Relay
from copperrun.routing.requests import Progress
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.retries import RetryBounds
from copperrun.routing.retries import RetryWindow
from copperrun.routing.servers import Server
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.routing.servers import ServerTable

# Servers whose records lapsed in a store outage are removed some time after it. No
# record arrives then that would update the list.
REFRESH_INTERVAL_MS = 500
NOT_READY_RETRY_AFTER_MS = 1_000
# An entry that starts waits this long for what others and the store know of crashes.
CRASHES_TIMEOUT_MS = 500


class ProxyProcess:
    """Wires the parts of a proxy entry and runs its tasks."""

    def __init__(
        self,
        location: ProcessLocation,
        view: PlatformView,
        backends: Backends,
        sides: EngineSides,
        relays: CrashRelays,
        keepers: OriginKeepers,
        store: TopicStore,
        crashes_topic: str,
        gate: AllotmentGate,
        retry_bounds: RetryBounds,
        timers: Timers,
        metrics: Metrics,
        *,
        peer_hosts: Sequence[str] = (),
        is_first_start: bool = False,
        origins_topic: str = "",
        provenance_topic: str = "",
        key_max_age_ms: int = 0,
        engines_crash_when_full: bool = False,
        costs: Costs | None = None,
        buffers: AnswerBuffers | None = None,
    ) -> None:
        self._gate = gate
        self._key_max_age_ms = key_max_age_ms
        self.lifecycle = Lifecycle(location.instance)
        self.servers = ServerTable(timers)
        self._location = location
        self._view = view
        self._retry_bounds = retry_bounds
        self._timers = timers
        self._metrics = metrics
        self._origins = OriginDirectory(keepers, location.region, timers)
        self._peer_hosts = peer_hosts
        self._restarted_ms = None if is_first_start else timers.now_ms()
        self._routes = RouteHistory(timers, is_first_start=is_first_start)
        self._provenance: ProvenanceLog | None = None
        if provenance_topic:
            self._provenance = ProvenanceLog(
                location.instance,
                view.software,
                self._routes,
                view.health,
                store,
                provenance_topic,
                timers,
            )
            self._provenance.on_recorded = view.refresh
        self._journal: OriginJournal | None = None
        if origins_topic:
            self._journal = OriginJournal(
                location.instance,
                self._origins.table,
                self._is_mixed,
                view.health,
                store,
                origins_topic,
                timers,
            )
        self._continuations = Continuations(
            self._origins,
            view,
            timers,
            self._routes,
            journal=self._journal,
            provenance=self._provenance,
        )
        self._budgets: dict[str, RetryWindow] = {}
        self._costs = costs
        self._memory_share: MemoryShare | None = None
        if engines_crash_when_full:
            self._memory_share = MemoryShare(INITIAL_ENTRY_COUNT)
        self._demand = DemandMeter()
        self._reporter = DemandReporter(
            location,
            self.servers,
            sides,
            self._demand,
            timers,
            on_report=self._apply_report,
            on_responsive=self._check_keeper,
        )
        self.quarantine = Quarantine(
            CrashLog(timers), timers, stagger_ms=_stagger_ms(location.instance)
        )
        self._exchange = CrashExchange(self.quarantine.log, relays, timers)
        self._archive = CrashArchive(
            self.quarantine, view.health, store, crashes_topic, timers
        )
        self._pauses = PauseDetector(timers)
        self._relay = Relay(
            self.servers,
            backends,
            sides,
            self._demand,
            timers,
            metrics,
            self.quarantine,
            distance_to=location.distance_to,
            budget_for=self._budget_for,
            record_origin=self._record_origin,
            pauses=self._pauses,
            memory_share=self._memory_share,
            costs=costs,
            buffers=buffers,
        )

    @property
    def origins(self) -> OriginTable:
        """Origins of streams that this entry knows."""
        return self._origins.table

    def update_peers(self, hosts: Sequence[str]) -> None:
        """Apply changed hosts of other entries."""
        self._peer_hosts = hosts

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return self.lifecycle.accepts_work

    async def run(self) -> None:
        """Follow the store and the sides until cancelled."""
        self._view.subscribe(self._update_servers)
        refresh = self._timers.subscribe(REFRESH_INTERVAL_MS, self._refresh)
        pulse = self._timers.subscribe(PULSE_MS, self._pauses.pulse)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._view.run())
                tasks.create_task(self._archive.run())
                if self._journal is not None:
                    tasks.create_task(self._journal.run())
                if self._provenance is not None:
                    tasks.create_task(self._provenance.run())
                await self._view.wait_until_loaded()
                await asyncio.gather(
                    self._exchange.wait_first_reply(CRASHES_TIMEOUT_MS),
                    self._archive.wait_restored(CRASHES_TIMEOUT_MS),
                    self._wait_provenance(),
                )
                if self.lifecycle.state is State.STARTING:
                    self.lifecycle.serve()
        finally:
            refresh.cancel()
            pulse.cancel()
            self._exchange.close()
            self._origins.close()
            self._gate.close()
            self._reporter.close()

    async def _wait_provenance(self) -> None:
        """Wait, not for long, until new streams may begin at the servers listed."""
        if self._provenance is not None:
            await self._provenance.wait_first_read(MAX_HOLD_MS)
            self._view.refresh()

    def update_retry_bounds(self, retry_bounds: RetryBounds) -> None:
        """Apply changed bounds on retries."""
        self._retry_bounds = retry_bounds
        for budget in self._budgets.values():
            budget.bounds = retry_bounds

    def refuse_unsent(self) -> None:
        """Refuse requests not yet sent to a server, and all later ones."""
        self._relay.refuse_unsent()

    def stop(self) -> None:
        """End the requests that are still in progress."""
        self._relay.stop()

    async def handle(self, call: BackendCall, responder: Responder) -> None:
        """Answer one request."""
        catalog = self._view.catalog.catalog
        if catalog is None:
            await responder.refuse(_not_ready())
            return
        route = self._view.catalog.table.find(call.host, call.path)
        if route is None:
            await responder.refuse(self._refuse_without_route(call, catalog))
            return
        account: ClientAccount | None = None
        if catalog.accounts is not None:
            caller = self._authenticate(call, route, catalog.accounts)
            if isinstance(caller, Refusal):
                self._metrics.record_refusal(route.host, route.name, caller)
                await responder.refuse(caller)
                return
            account = caller
            call = call._replace(account=account.name if account else "")
        now = self._timers.now_ms()
        limit_ms = route.timeout_ms
        if call.timeout_ms is not None:
            limit_ms = min(limit_ms, call.timeout_ms)
        origin: StreamOrigin | None = None
        if route.streaming and call.continues_stream:
            found = await self._continuations.find_origin(call, route, limit_ms)
            if isinstance(found, Refusal):
                self._metrics.record_refusal(route.host, route.name, found)
                await responder.refuse(found)
                return
            origin = found
        pool = catalog.pools.get(origin.pool if origin else route.pool_for(call.id))
        if pool is None:
            logger.error("route without a pool", route=route.name)
            await responder.refuse(_not_ready())
            return
        request = RoutedRequest(call, route, pool, now, now + limit_ms, origin, account)
        credit = await self._gate.admit(request, catalog.version)
        if isinstance(credit, Refusal):
            self._metrics.record_refusal(route.host, route.name, credit)
            await responder.refuse(credit)
            return
        if self._costs is not None:
            request = with_estimate(request, self._costs)
        progress = Progress(call.resume_after)
        try:
            await self._relay.handle(request, responder, progress)
        finally:
            # Also when the caller has left while it waited.
            if not progress.may_have_run:
                self._gate.give_back(credit)

    def _authenticate(
        self, call: BackendCall, route: Route, accounts: AccountTable
    ) -> ClientAccount | Refusal | None:
        """Return the caller's account; None on a route that needs no key."""
        caller = authenticate(
            call, route, accounts, is_recent=self._view.is_catalog_recent
        )
        if (
            isinstance(caller, ClientAccount)
            and self._key_max_age_ms
            and not self._view.is_catalog_confirmed(self._key_max_age_ms)
        ):
            # The key may have been withdrawn.
            return outdated_keys()
        return caller

    def _refuse_without_route(self, call: BackendCall, catalog: Catalog) -> Refusal:
        """Return the refusal for a request that no route matches."""
        # The route may have been added while the store could not be read.
        is_recent = self._view.is_catalog_recent
        logger.info(
            "no route" if is_recent else "no route in an outdated catalog",
            request=call.id,
            host=call.host,
            path=call.path,
            version=catalog.version,
        )
        return _unknown_route(call) if is_recent else _outdated_catalog()

    def _update_servers(self, servers: list[ServerRecord]) -> None:
        catalog = self._view.catalog.catalog
        pools = catalog.pools if catalog is not None else {}
        if catalog is not None:
            self._routes.update(catalog)
        if catalog is not None and self._provenance is not None:
            self._provenance.update()
            self.servers.hold_back(self._provenance.held_back(servers))
        self.servers.set_records(servers)
        records = [
            server
            for server in servers
            if server.pool in pools and pools[server.pool].engine is not None
        ]
        self._exchange.set_engines(records)
        # Without engines there are no sides; other entries keep origins then.
        self._origins.set_keepers(
            [self._keeper(record) for record in records]
            or [Keeper(host, "") for host in self._peer_hosts]
        )
        if self._journal is not None:
            self._journal.set_pools(pools)
        engines = {server.id for server in records}
        self._gate.set_engines(filter(self._has_side, records))
        self._reporter.set_engines(engines)

    def _is_mixed(self, pool: str) -> bool:
        return self._view.software.is_mixed(pool, RETENTION_MS) or (
            self._provenance is not None and self._provenance.is_mixed(pool)
        )

    def _record_origin(self, request_id: str, origin: StreamOrigin) -> None:
        self._origins.record(request_id, origin)
        if self._journal is not None:
            self._journal.record(request_id, origin)

    def _has_side(self, record: ServerRecord) -> bool:
        server = self.servers.find(record.id)
        return server is None or not server.is_side_unresponsive

    def _keeper(self, server: ServerRecord) -> Keeper:
        """Return the side beside a server as a keeper of origins."""
        host = server.address.rpartition(":")[0]
        return Keeper(host, self._location.region_by_zone.get(server.zone, ""))

    def _check_keeper(self, server: ServerRecord) -> None:
        self._origins.check(self._keeper(server).host)

    async def _refresh(self) -> None:
        self._view.refresh()

    def _apply_report(self, server: Server, report: ServerReport) -> None:
        server.apply_report(report)
        if report.entries:
            entries = self._reporter.record_entry_count(report.entries)
            if self._memory_share is not None:
                # A side that has just started has heard of few.
                share = self._memory_share
                share.entries = max(share.entries, report.entries)
            for budget in self._budgets.values():
                budget.entries = entries
        self.servers.notify_change()

    def _budget_for(self, pool: str) -> RetryWindow:
        budget = self._budgets.get(pool)
        if budget is None:
            budget = self._budgets[pool] = RetryWindow(
                self._timers, self._retry_bounds, restarted_ms=self._restarted_ms
            )
            budget.entries = self._reporter.entry_count
        return budget


def _stagger_ms(instance: str) -> int:
    """Return an entry's own share of the time in which entries try a part again."""
    return xxhash.xxh32_intdigest(instance.encode()) % MAX_STAGGER_MS


def _not_ready() -> Refusal:
    return Refusal(
        RefusalReason.NOT_READY,
        Ran.NO,
        "this entry has no catalog yet",
        NOT_READY_RETRY_AFTER_MS,
    )


def _outdated_catalog() -> Refusal:
    return Refusal(
        RefusalReason.NOT_READY,
        Ran.NO,
        "no such route in this entry's catalog, which may be out of date",
        NOT_READY_RETRY_AFTER_MS,
    )


def _unknown_route(call: BackendCall) -> Refusal:
    detail = f"no route for {call.host}{call.path}; check the host name and the path"
    return Refusal(RefusalReason.UNKNOWN_DEPLOYMENT, Ran.NO, detail)
