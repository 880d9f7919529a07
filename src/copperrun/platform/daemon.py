"""Runs an entry or a side on a machine of the platform."""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from functools import partial
from typing import Any

from aiohttp import ClientSession
from aiohttp import web

from copperrun.adapters.admission import EngineSideRoutes
from copperrun.adapters.admission import HttpEngineSides
from copperrun.adapters.allotments import AllotmentRoutes
from copperrun.adapters.allotments import HttpAllotmentKeepers
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.connector import ServerConnector
from copperrun.adapters.crashes import CrashRoutes
from copperrun.adapters.crashes import HttpCrashRelays
from copperrun.adapters.listener import BoundedRunner
from copperrun.adapters.origins import HttpOriginKeepers
from copperrun.adapters.origins import OriginRoutes
from copperrun.admission.buffers import BufferBounds
from copperrun.admission.credits import Credits
from copperrun.admission.memory import EngineMemory
from copperrun.entry.allotments import AllotmentGate
from copperrun.entry.allotments import engine_hosts
from copperrun.entry.proxy import ProxyProcess
from copperrun.membership.tenures import TenureKeeper
from copperrun.membership.view import ENTRY_CATALOG_WAIT_FRACTION
from copperrun.membership.view import ENTRY_SERVERS_POLL_FRACTION
from copperrun.membership.view import SIDE_CATALOG_WAIT_FRACTION
from copperrun.membership.view import SIDE_SERVERS_POLL_FRACTION
from copperrun.placement.controller import PlacementController
from copperrun.placement.demand import DemandView
from copperrun.placement.loads import LoadRateLimiter
from copperrun.platform.backends import HttpBackends
from copperrun.platform.connections import CHECK_INTERVAL_MS
from copperrun.platform.connections import CallerServer
from copperrun.platform.engine_control import HttpEngineControl
from copperrun.platform.ingress import Ingress
from copperrun.platform.readers import CallerBuffers
from copperrun.platform.roles import Role
from copperrun.platform.roles import cancel
from copperrun.platform.roles import peer_hosts
from copperrun.platform.settings import PlatformSettings
from copperrun.platform.store import CRASHES_TOPIC
from copperrun.platform.store import ORIGINS_TOPIC
from copperrun.platform.store import PROVENANCE_TOPIC
from copperrun.platform.store import STATUS_TOPIC
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.costs import LearnedCosts
from copperrun.routing.crashes import CrashLog
from copperrun.routing.origins import OriginTable
from copperrun.routing.servers import ServerRecord
from copperrun.side.admission import AdmissionController
from copperrun.side.placement import PlacementProcess

READINESS_PATH = "/readiness"
# The load balancer probes each second and goes on to send new connections until two
# probes have failed.
LISTEN_WHILE_LEAVING_MS = 3_000
# Fraction of the grace time after which requests that are not yet sent to a backend
# server are refused.
UNSENT_DEADLINE_FRACTION = 0.55
EXIT_MARGIN_MS = 700  # left before SIGKILL to close connections
DRAIN_POLL_INTERVAL_MS = 50
SEND_LIMIT_MS = 200  # of that margin, for the last answers
SEND_POLL_MS = 10
# Time without a request after which the remaining connections close.
IDLE_BEFORE_EXIT_MS = 300
# Callers learn of a changed limit this long after the entries at the latest.
CALLERS_LEARN_MS = 1_000


class EntryRole(Role):
    """An entry: listener for callers, readiness probe and view for peers."""

    async def run(self) -> None:
        """Serve until SIGTERM, then drain the requests in progress."""
        cfg = self.cfg
        async with open_session() as session:
            client = HttpClient(session, self.timers)
            store, view = self.build_view(
                client, ENTRY_SERVERS_POLL_FRACTION, ENTRY_CATALOG_WAIT_FRACTION
            )
            keepers = HttpAllotmentKeepers(client, self.keeper_address)
            start = secrets.token_hex(8)
            keeper = self.build_keeper("entry", start, store, keepers)
            gate = AllotmentGate(
                Credits(keepers, self.timers, cfg.quota, cfg.host), self.metrics
            )
            costs = LearnedCosts() if self.learns_costs else None
            buffers = self._build_buffers()
            process = self._process = ProxyProcess(
                cfg.place,
                view,
                HttpBackends(session, self._max_head_bytes),
                HttpEngineSides(client, self.side_address, self.timers),
                HttpCrashRelays(client, self.side_address),
                HttpOriginKeepers(client, self.keeper_address),
                store,
                CRASHES_TOPIC,
                gate,
                cfg.retries,
                self.timers,
                self.metrics,
                peer_hosts=peer_hosts(cfg),
                is_first_start=cfg.is_first_start,
                origins_topic=ORIGINS_TOPIC,
                provenance_topic=PROVENANCE_TOPIC,
                key_max_age_ms=cfg.key_max_age_ms,
                engines_crash_when_full=cfg.engines_crash_when_full,
                costs=costs,
                buffers=buffers,
            )
            ingress = Ingress(process.handle, self._max_body_bytes, buffers)
            server = CallerServer(
                ingress.handle,
                self._limits,
                self.timers,
                lowering_delay_ms=cfg.apply_ms + CALLERS_LEARN_MS,
                buffers=buffers,
                descriptors=cfg.descriptors,
                server_connections=partial(_open_connections, session),
            )
            view.subscribe(lambda _: self._prepare_keeper(keeper, gate))
            front = web.ServerRunner(server, shutdown_timeout=0.1)
            app = self.build_internal_app(view)
            app.router.add_get(READINESS_PATH, _readiness_handler(process))
            OriginRoutes(process.origins, start).add_to(app)
            AllotmentRoutes(keeper).add_to(app)
            internal = BoundedRunner(app, access_log=None, shutdown_timeout=0.1)
            self.handle_signals()
            await self.listen(
                internal, cfg.ready_port, cfg.control_port, cfg.internal_port
            )
            sites = await self.listen(front, cfg.front_port)
            connection_check = self.timers.subscribe(
                CHECK_INTERVAL_MS, server.close_expired
            )
            task = await self.run_until_shutdown(process.run())
            await self._drain(process, ingress, server, sites)
            connection_check.cancel()
            keeper.close()
            await cancel(task)
            await self.close()

    def apply_settings(self, cfg: PlatformSettings) -> None:
        """Pass changed settings to the components that use them."""
        super().apply_settings(cfg)
        self._process.update_retry_bounds(cfg.retries)
        self._process.update_peers(peer_hosts(cfg))

    def _prepare_keeper(self, keeper: TenureKeeper, gate: AllotmentGate) -> None:
        """Claim allotments before the first request, where there are no sides."""
        accounts = self.limited_accounts()
        if accounts:
            keeper.prepare_in_turn(accounts, lambda: not gate.has_sides)

    async def _drain(
        self,
        process: ProxyProcess,
        ingress: Ingress,
        server: CallerServer,
        sites: list[web.TCPSite],
    ) -> None:
        """Fail the readiness probe, wait for the load balancer, finish the requests."""
        started_ms = self.timers.now_ms()
        grace_ms = self.cfg.grace_ms
        process.lifecycle.leave()
        ingress.is_leaving = True
        server.close_idle()
        await self.timers.sleep_ms(
            min(LISTEN_WHILE_LEAVING_MS, grace_ms * UNSENT_DEADLINE_FRACTION)
        )
        for site in sites:
            await site.stop()
        ingress.is_refusing = True
        server.close_idle()
        idle_since_ms = self.timers.now_ms()
        while (now_ms := self.timers.now_ms()) < started_ms + grace_ms - EXIT_MARGIN_MS:
            if now_ms - started_ms >= grace_ms * UNSENT_DEADLINE_FRACTION:
                process.refuse_unsent()
            if server.is_busy:
                idle_since_ms = now_ms
            elif now_ms - idle_since_ms >= IDLE_BEFORE_EXIT_MS:
                break
            await self.timers.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        process.stop()
        await self._await_answers(server)
        process.lifecycle.finish()

    async def _await_answers(self, server: CallerServer) -> None:
        """Let the last answers be sent; a caller that reads none ends the wait."""
        end_ms = self.timers.now_ms() + SEND_LIMIT_MS
        while server.is_busy and self.timers.now_ms() < end_ms:
            await self.timers.sleep_ms(SEND_POLL_MS)

    def _build_buffers(self) -> CallerBuffers | None:
        if not self.cfg.memory_bytes:
            return None
        bounds = BufferBounds.from_memory(self.cfg.memory_bytes)
        return CallerBuffers(bounds, self.timers, self.metrics)

    def _limits(self) -> CallerLimits | None:
        catalog = self.catalog.catalog
        return catalog.limits if catalog is not None else None

    def _max_head_bytes(self) -> int:
        return (self._limits() or CallerLimits()).header_bytes

    def _max_body_bytes(self) -> int:
        return (self._limits() or CallerLimits()).body_bytes


class SideRole(Role):
    """A side: places models on the engine beside it and admits requests to it."""

    async def run(self) -> None:
        """Control the engine until SIGTERM."""
        cfg = self.cfg
        async with open_session() as session:
            client = HttpClient(session, self.timers)
            store, view = self.build_view(
                client, SIDE_SERVERS_POLL_FRACTION, SIDE_CATALOG_WAIT_FRACTION
            )
            demand = DemandView(self.timers)
            load_limiter = self._load_limiter = LoadRateLimiter(cfg.loads, self.timers)
            placement = PlacementController(
                HttpEngineControl(client, cfg.engine_address, cfg.place.instance),
                demand,
                load_limiter,
                self.timers,
                self.metrics,
            )
            memory = EngineMemory() if cfg.engines_crash_when_full else None
            admission = AdmissionController(
                placement, self.timers, memory=memory, metrics=self.metrics
            )
            if memory is not None:
                view.subscribe(lambda _: self._bound_queue(memory))
            process = PlacementProcess(
                cfg.place.instance,
                cfg.engine_address,
                cfg.pool,
                view,
                store,
                STATUS_TOPIC,
                placement,
                HttpEngineSides(client, self.side_address, self.timers),
                self.timers,
            )
            app = self.build_internal_app(view)
            EngineSideRoutes(placement, admission, demand).add_to(app)
            start = secrets.token_hex(8)
            CrashRoutes(CrashLog(self.timers), start, self.timers).add_to(app)
            OriginRoutes(OriginTable(self.timers), start).add_to(app)
            keepers = HttpAllotmentKeepers(client, self.keeper_address)
            keeper = self.build_keeper("side", start, store, keepers)
            AllotmentRoutes(keeper).add_to(app)
            view.subscribe(lambda servers: self._prepare_keeper(keeper, servers))
            internal = BoundedRunner(
                app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
            )
            self.handle_signals()
            await self.listen(internal, cfg.internal_port)
            task = await self.run_until_shutdown(process.run())
            process.lifecycle.leave()
            keeper.close()
            await cancel(task)
            await self.close()
            process.lifecycle.finish()

    def _prepare_keeper(
        self, keeper: TenureKeeper, servers: Sequence[ServerRecord]
    ) -> None:
        """Claim allotments before the first request, where there are any."""
        catalog = self.catalog.catalog
        accounts = self.limited_accounts()
        if catalog is None or not accounts:
            return
        engines = [
            server
            for server in servers
            if server.pool in catalog.pools
            and catalog.pools[server.pool].engine is not None
        ]
        keeper.prepare(accounts, engine_hosts(engines))

    def apply_settings(self, cfg: PlatformSettings) -> None:
        """Pass changed settings to the components that use them."""
        super().apply_settings(cfg)
        self._load_limiter.limit = cfg.loads

    def _bound_queue(self, memory: EngineMemory) -> None:
        """Let no more bytes wait at the engine than one request may have."""
        catalog = self.catalog.catalog
        if catalog is not None:
            memory.queue_bytes = catalog.limits.body_bytes


def _open_connections(session: ClientSession) -> int:
    connector = session.connector
    return connector.open_connections if isinstance(connector, ServerConnector) else 0


def _readiness_handler(process: ProxyProcess) -> Any:
    async def handle_readiness(request: web.Request) -> web.Response:
        return web.Response(status=200 if process.is_ready else 503)

    return handle_readiness
