"""Exchanges demand and engine reports with the sides beside engines."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Set

import xxhash
from loguru import logger

from copperrun.membership.location import ProcessLocation
from copperrun.placement.demand import DemandMeter
from copperrun.ports.admission import DemandReport
from copperrun.ports.admission import EngineSides
from copperrun.ports.admission import PeerEngine
from copperrun.ports.sides import SideError
from copperrun.ports.timers import Timers
from copperrun.routing.scoring import Distance
from copperrun.routing.servers import Server
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.routing.servers import ServerTable

# Longest time between two reports to a side: it may hold its reply this long, and the
# next report follows the reply. An entry reports to every engine of a pool, so the
# interval grows with their number, up to a bound on the age of what is known of one.
MIN_REPORT_INTERVAL_MS = 800
MAX_REPORT_INTERVAL_MS = 2_400
REPORT_SPACING_MS = 60  # between reports to any two engines of the entry's own region
# Entries that tell a side the state of all other engines of the pool in one interval.
RELAYING_ENTRIES = 3
REPORT_RETRY_DELAY_MS = 300  # before the next report to a side that did not reply
# Reports of newly missing models are this far apart; each waits as long before it is
# sent, so that requests that arrive together share a report.
URGENT_REPORT_INTERVAL_MS = 50
INITIAL_ENTRY_COUNT = 8  # until a side reports the number of entries
# Time for which the greatest number counts: a side that has just started, or that was
# cut off, has heard of few.
ENTRY_COUNT_TTL_MS = 10_000


class DemandReporter:
    """Reports one entry's demand to each side, with a task for each.

    Args:
        location: Where the entry runs.
        servers: All servers, of which those listed with ``set_engines`` have sides.
        sides: Calls to the sides.
        demand: What the entry has been asked for.
        timers: Timer service.
        on_report: Called with each report of a side.
        on_responsive: Called when a side answers again.

    Attributes:
        entry_count: Entries that report to the sides.
    """

    def __init__(
        self,
        location: ProcessLocation,
        servers: ServerTable,
        sides: EngineSides,
        demand: DemandMeter,
        timers: Timers,
        *,
        on_report: Callable[[Server, ServerReport], None],
        on_responsive: Callable[[ServerRecord], None],
    ) -> None:
        self.entry_count = INITIAL_ENTRY_COUNT
        self._entry_count_ms: int | None = None
        self._location = location
        self._servers = servers
        self._sides = sides
        self._demand = demand
        self._demand.subscribe(self._report_urgently)
        self._timers = timers
        self._on_report = on_report
        self._on_responsive = on_responsive
        self._urgent_tasks: set[asyncio.Task[None]] = set()
        self._urgent_ms: dict[str, int] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def set_engines(self, engines: Set[str]) -> None:
        """Report to the sides of these engines from now on, by server id."""
        for server_id in self._tasks.keys() - engines:
            self._tasks.pop(server_id).cancel()
        for server_id in engines - self._tasks.keys():
            self._tasks[server_id] = asyncio.create_task(self._report(server_id))

    def record_entry_count(self, count: int) -> int:
        """Record how many entries report to a side; return the number to go by."""
        now = self._timers.now_ms()
        if (
            self._entry_count_ms is None
            or count >= self.entry_count
            or now - self._entry_count_ms >= ENTRY_COUNT_TTL_MS
        ):
            self.entry_count, self._entry_count_ms = count, now
        return self.entry_count

    def close(self) -> None:
        """End all reports."""
        for task in self._tasks.values():
            task.cancel()

    async def _report(self, server_id: str) -> None:
        """Exchange demand and server reports with one side until cancelled."""
        reported_totals: Counter[str] = Counter()
        is_unresponsive = False
        # Entries start at different reports, so that they take turns.
        turn = int(
            xxhash.xxh32_intdigest(f"{self._location.instance}/{server_id}".encode())
        )
        while (server := self._servers.find(server_id)) is not None:
            totals = self._demand.arrival_totals(server.record.pool)
            demand = DemandReport(
                self._location.instance,
                dict(totals - reported_totals),
                self._demand.waiting_counts(server.record.pool),
                self._demand.queued_counts(server.record.pool),
                self._peer_engines(server, turn),
                self._continuing_counts(server),
            )
            turn += 1
            report = await self._sides.report_demand(
                server.record, demand, self._report_interval_ms(server)
            )
            if isinstance(report, SideError):
                if not is_unresponsive:
                    logger.warning(
                        "side unresponsive", server=server_id, detail=report.detail
                    )
                is_unresponsive = True
                server.is_side_unresponsive = True
                self._servers.notify_change()
                await self._timers.sleep_ms(REPORT_RETRY_DELAY_MS)
                continue
            if is_unresponsive:
                logger.info("side responsive again", server=server_id)
                self._on_responsive(server.record)
            is_unresponsive = False
            server.is_side_unresponsive = False
            reported_totals = totals
            self._on_report(server, report)

    def _continuing_counts(self, server: Server) -> dict[str, int]:
        record = server.current_record
        return self._demand.continuing_counts(record.pool, record.software_version)

    def _report_interval_ms(self, server: Server) -> int:
        """Return the time between two reports to a server's side."""
        if self._is_remote(server):
            return MAX_REPORT_INTERVAL_MS
        pool = self._servers.in_pool(server.record.pool)
        near = sum(not self._is_remote(other) for other in pool)
        return min(
            max(near * REPORT_SPACING_MS, MIN_REPORT_INTERVAL_MS),
            MAX_REPORT_INTERVAL_MS,
        )

    def _is_remote(self, server: Server) -> bool:
        return self._location.distance_to(server.record.zone) is Distance.REMOTE

    def _peer_engines(self, server: Server, turn: int) -> dict[str, PeerEngine]:
        """Return the pool's other engines, as reported to the server's side.

        Only entries of the side's own region report them, in turns: traffic between
        regions is expensive, and this part of a report grows with the pool.
        """
        if self._is_remote(server):
            return {}
        regions = len(set(self._location.region_by_zone.values()))
        near_entries = self.entry_count // max(regions, 1)
        if turn % max(near_entries // RELAYING_ENTRIES, 1):
            return {}
        return {
            other.record.address: PeerEngine(
                frozenset(other.held),
                frozenset(other.loading),
                other.utilization,
                other.active,
            )
            for other in self._servers.in_pool(server.record.pool)
            if other is not server and other.has_fresh_report
        }

    def _report_urgently(self, pool: str) -> None:
        """Report a newly missing model without waiting for the next regular report."""
        now = self._timers.now_ms()
        if (
            now - self._urgent_ms.get(pool, -URGENT_REPORT_INTERVAL_MS)
            < URGENT_REPORT_INTERVAL_MS
        ):
            return
        self._urgent_ms[pool] = now
        task = asyncio.create_task(self._send_urgent_reports(pool))
        self._urgent_tasks.add(task)
        task.add_done_callback(self._urgent_tasks.discard)

    async def _send_urgent_reports(self, pool: str) -> None:
        # Collects the requests that arrive together into one report.
        await self._timers.sleep_ms(URGENT_REPORT_INTERVAL_MS)
        demand = DemandReport(
            self._location.instance, {}, self._demand.waiting_counts(pool), {}, {}
        )
        servers = self._servers.in_pool(pool)
        reports = await asyncio.gather(
            *(
                self._sides.report_demand(
                    server.record,
                    demand._replace(continuing=self._continuing_counts(server)),
                    0,
                )
                for server in servers
            )
        )
        for server, report in zip(servers, reports, strict=True):
            if not isinstance(report, SideError):
                self._on_report(server, report)
