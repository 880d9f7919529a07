"""An entry that forwards requests to backend servers by routes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from loguru import logger

from copperrun.membership.lifecycle import Lifecycle
from copperrun.membership.lifecycle import State
from copperrun.membership.view import PlatformView
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.placement.demand import DemandMeter
from copperrun.ports.admission import DemandReport
from copperrun.ports.admission import EngineSides
from copperrun.ports.admission import PeerEngine
from copperrun.ports.backends import BackendCall
from copperrun.ports.backends import Backends
from copperrun.ports.metrics import Metrics
from copperrun.ports.responder import Responder
from copperrun.ports.sides import SideError
from copperrun.ports.timers import Timers
from copperrun.routing.relay import Relay
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.retries import RetryBounds
from copperrun.routing.retries import RetryWindow
from copperrun.routing.scoring import Distance
from copperrun.routing.servers import Server
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.routing.servers import ServerTable

REPORT_MS = 800  # longest time between two demand reports to a side
RETRY_MS = 300  # after a side did not answer
URGENT_GAP_MS = 50  # between two reports because of newly missing models
REFRESH_MS = 500  # of the servers that lapsed in a store outage
ASSUMED_ENTRIES = 8  # before a side has said how many there are
NOT_READY_RETRY_AFTER_MS = 1_000


class Place(NamedTuple):
    """Where a process runs.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        region: Its region.
        zones: Region of each zone.
    """

    instance: str
    zone: str
    region: str
    zones: Mapping[str, str]

    def distance_to(self, zone: str) -> Distance:
        """Return how far a zone is."""
        if zone == self.zone:
            return Distance.ZONE
        if self.zones.get(zone) == self.region:
            return Distance.REGION
        return Distance.REMOTE


class FrontProcess:
    """Wires the parts of a forwarding entry and runs its tasks."""

    def __init__(
        self,
        place: Place,
        view: PlatformView,
        backends: Backends,
        sides: EngineSides,
        bounds: RetryBounds,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self.lifecycle = Lifecycle(place.instance)
        self.fleet = ServerTable(timers)
        self._place = place
        self._view = view
        self._sides = sides
        self._bounds = bounds
        self._timers = timers
        self._budgets: dict[str, RetryWindow] = {}
        self._entries = ASSUMED_ENTRIES
        self._demand = DemandMeter()
        self._demand.subscribe(self._report_urgently)
        self._urgent: set[asyncio.Task[None]] = set()
        self._urgent_ms: dict[str, int] = {}
        self._exchanges: dict[str, asyncio.Task[None]] = {}
        self._relay = Relay(
            self.fleet,
            backends,
            sides,
            self._demand,
            timers,
            metrics,
            distance_to=place.distance_to,
            budget_for=self._budget_for,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new connections."""
        return self.lifecycle.accepts_work

    async def run(self) -> None:
        """Follow the store and the sides until cancelled."""
        self._view.subscribe(self._take_servers)
        refresh = self._timers.subscribe(REFRESH_MS, self._refresh)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._view.run())
                await self._view.wait_until_loaded()
                if self.lifecycle.state is State.STARTING:
                    self.lifecycle.serve()
        finally:
            refresh.cancel()
            for task in self._exchanges.values():
                task.cancel()

    def take_bounds(self, bounds: RetryBounds) -> None:
        """Take changed bounds on further attempts."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.bounds = bounds

    def give_up_unsent(self) -> None:
        """Refuse the requests that no server has yet, and all later ones."""
        self._relay.refuse_unsent()

    async def handle(self, call: BackendCall, responder: Responder) -> None:
        """Answer one request."""
        catalog = self._view.catalog.catalog
        if catalog is None:
            await responder.refuse(_not_ready())
            return
        route = self._view.catalog.table.find(call.host, call.path)
        if route is None:
            logger.info(
                "no route",
                request=call.id,
                host=call.host,
                path=call.path,
                version=catalog.version,
            )
            await responder.refuse(_unknown_route(call))
            return
        pool = catalog.pools.get(route.pool_for(call.id))
        if pool is None:
            logger.error("route without a pool", route=route.name)
            await responder.refuse(_not_ready())
            return
        now = self._timers.now_ms()
        limit_ms = route.timeout_ms
        if call.timeout_ms is not None:
            limit_ms = min(limit_ms, call.timeout_ms)
        work = RoutedRequest(call, route, pool, now, now + limit_ms)
        await self._relay.handle(work, responder)

    def _take_servers(self, servers: list[ServerRecord]) -> None:
        self.fleet.set_records(servers)
        catalog = self._view.catalog.catalog
        pools = catalog.pools if catalog is not None else {}
        engines = {
            server.id
            for server in servers
            if server.pool in pools and pools[server.pool].engine is not None
        }
        for server_id in self._exchanges.keys() - engines:
            self._exchanges.pop(server_id).cancel()
        for server_id in engines - self._exchanges.keys():
            task = asyncio.create_task(self._exchange(server_id))
            self._exchanges[server_id] = task

    async def _refresh(self) -> None:
        self._view.refresh()

    async def _exchange(self, server_id: str) -> None:
        """Report demand to one side, and take its reports, until cancelled."""
        sent: Counter[str] = Counter()
        silent = False
        while (server := self.fleet.find(server_id)) is not None:
            totals = self._demand.arrival_totals(server.record.pool)
            demand = DemandReport(
                self._place.instance,
                dict(totals - sent),
                self._demand.waiting_counts(server.record.pool),
                self._demand.queued_counts(server.record.pool),
                self._peers_of(server),
            )
            report = await self._sides.report_demand(server.record, demand, REPORT_MS)
            if isinstance(report, SideError):
                if not silent:
                    logger.warning(
                        "side unresponsive", server=server_id, detail=report.detail
                    )
                silent = True
                server.is_side_unresponsive = True
                self.fleet.notify_change()
                await self._timers.sleep_ms(RETRY_MS)
                continue
            if silent:
                logger.info("side responsive again", server=server_id)
            silent = False
            server.is_side_unresponsive = False
            sent = totals
            self._take_report(server, report)

    def _peers_of(self, server: Server) -> dict[str, PeerEngine]:
        """Return what the server's side is told of the other engines.

        Sides hear it from the entries of their own region: bytes between regions are
        dear, and this part of a report grows with the pool.
        """
        if self._place.distance_to(server.record.zone) is Distance.REMOTE:
            return {}
        return {
            other.record.address: PeerEngine(
                frozenset(other.held),
                frozenset(other.loading),
                other.utilization,
                other.active,
            )
            for other in self.fleet.members(server.record.pool)
            if other is not server and other.has_fresh_report
        }

    def _take_report(self, server: Server, report: ServerReport) -> None:
        server.apply_report(report)
        if report.entries:
            self._entries = report.entries
            for budget in self._budgets.values():
                budget.entries = report.entries
        self.fleet.notify_change()

    def _report_urgently(self, pool: str) -> None:
        """Tell the sides of a pool at once that a model is missing."""
        now = self._timers.now_ms()
        if now - self._urgent_ms.get(pool, -URGENT_GAP_MS) < URGENT_GAP_MS:
            return
        self._urgent_ms[pool] = now
        task = asyncio.create_task(self._send_urgent(pool))
        self._urgent.add(task)
        task.add_done_callback(self._urgent.discard)

    async def _send_urgent(self, pool: str) -> None:
        # Requests that arrive together are reported together.
        await self._timers.sleep_ms(URGENT_GAP_MS)
        demand = DemandReport(
            self._place.instance, {}, self._demand.waiting_counts(pool), {}, {}
        )
        servers = self.fleet.members(pool)
        reports = await asyncio.gather(
            *(self._sides.report_demand(server.record, demand, 0) for server in servers)
        )
        for server, report in zip(servers, reports, strict=True):
            if not isinstance(report, SideError):
                self._take_report(server, report)

    def _budget_for(self, pool: str) -> RetryWindow:
        budget = self._budgets.get(pool)
        if budget is None:
            budget = self._budgets[pool] = RetryWindow(self._timers, self._bounds)
            budget.entries = self._entries
        return budget


def _not_ready() -> Refusal:
    return Refusal(
        RefusalReason.NOT_READY,
        Ran.NO,
        "this entry has no catalog yet",
        NOT_READY_RETRY_AFTER_MS,
    )


def _unknown_route(call: BackendCall) -> Refusal:
    detail = f"no route for {call.host}{call.path}"
    return Refusal(RefusalReason.UNKNOWN_DEPLOYMENT, Ran.NO, detail)
