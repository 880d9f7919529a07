"""Runs an entry or a side on a machine of the platform."""

from __future__ import annotations

import asyncio
import secrets
import signal
from collections.abc import Coroutine
from collections.abc import Sequence
from contextlib import suppress
from typing import Any

from aiohttp import web
from loguru import logger

from copperrun.adapters.admission import NEWER_THAN
from copperrun.adapters.admission import VIEW_PATH
from copperrun.adapters.admission import EngineSideRoutes
from copperrun.adapters.admission import HttpEngineSides
from copperrun.adapters.admission import HttpTopicPeers
from copperrun.adapters.admission import encode_view
from copperrun.adapters.allotments import AllotmentRoutes
from copperrun.adapters.allotments import HttpAllotmentKeepers
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.crashes import CrashRoutes
from copperrun.adapters.crashes import HttpCrashRelays
from copperrun.adapters.origins import HttpOriginKeepers
from copperrun.adapters.origins import OriginRoutes
from copperrun.adapters.timers import SystemTimers
from copperrun.admission.buffers import BufferBounds
from copperrun.admission.credits import Credits
from copperrun.admission.memory import EngineMemory
from copperrun.configuration.catalog import CurrentCatalog
from copperrun.entry.allotments import AllotmentGate
from copperrun.entry.allotments import engine_hosts
from copperrun.entry.proxy import ProxyProcess
from copperrun.membership.claim_log import Incarnation
from copperrun.membership.registry import Registry
from copperrun.membership.shutdown import Shutdown
from copperrun.membership.tenures import TenureKeeper
from copperrun.membership.view import ENTRY_CATALOG_WAIT_FRACTION
from copperrun.membership.view import ENTRY_SERVERS_POLL_FRACTION
from copperrun.membership.view import SIDE_CATALOG_WAIT_FRACTION
from copperrun.membership.view import SIDE_SERVERS_POLL_FRACTION
from copperrun.membership.view import PlatformView
from copperrun.membership.view import Topics
from copperrun.placement.controller import PlacementController
from copperrun.placement.demand import DemandView
from copperrun.placement.loads import LoadRateLimiter
from copperrun.platform.backends import HttpBackends
from copperrun.platform.connections import CHECK_INTERVAL_MS
from copperrun.platform.connections import CallerServer
from copperrun.platform.engine_control import HttpEngineControl
from copperrun.platform.ingress import Ingress
from copperrun.platform.metrics import MetricsOnDemand
from copperrun.platform.readers import CallerBuffers
from copperrun.platform.records import decode_catalog
from copperrun.platform.records import decode_server
from copperrun.platform.settings import PlatformSettings
from copperrun.platform.settings import SettingsError
from copperrun.platform.settings import SettingsFile
from copperrun.platform.store import ALLOTMENTS_TOPIC
from copperrun.platform.store import CATALOG_KEY
from copperrun.platform.store import CRASHES_TOPIC
from copperrun.platform.store import OPERATOR_TOPIC
from copperrun.platform.store import SERVERS_TOPIC
from copperrun.platform.store import STATUS_TOPIC
from copperrun.platform.store import HttpTopicStore
from copperrun.ports.allotments import AllotmentKeepers
from copperrun.ports.topics import TopicStore
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.costs import LearnedCosts
from copperrun.routing.crashes import CrashLog
from copperrun.routing.origins import OriginTable
from copperrun.routing.servers import ServerRecord
from copperrun.side.admission import AdmissionController
from copperrun.side.placement import PlacementProcess

READINESS_PATH = "/readiness"
METRICS_PATH = "/metrics"
TOPICS = Topics(OPERATOR_TOPIC, CATALOG_KEY, SERVERS_TOPIC)

# The load balancer probes each second and goes on to send new connections until two
# probes have failed.
LISTEN_WHILE_LEAVING_MS = 3_000
# Fraction of the grace time after which requests that are not yet sent to a backend
# server are refused.
UNSENT_DEADLINE_FRACTION = 0.55
EXIT_MARGIN_MS = 700  # left before SIGKILL to close connections
DRAIN_POLL_INTERVAL_MS = 50
# Time without a request after which the remaining connections close.
IDLE_BEFORE_EXIT_MS = 300
LISTEN_BACKLOG = 1024
# Callers learn of a changed limit this long after the entries at the latest.
CALLERS_LEARN_MS = 1_000
SETTINGS_POLL_INTERVAL_MS = 1_000  # the file may change without SIGHUP
RELOADABLE_FIELDS = ("seeds", "grace_ms", "retries", "loads")


class _BaseRole:
    """Parts shared by both roles."""

    def __init__(self, settings_file: SettingsFile) -> None:
        self.settings_file = settings_file
        self.cfg = settings_file.cfg
        self.timers = SystemTimers()
        self.metrics = MetricsOnDemand()
        self.shutdown = Shutdown()
        self.catalog = CurrentCatalog(decode_catalog)
        self._runners: list[web.AppRunner | web.ServerRunner] = []

    def build_view(
        self,
        client: HttpClient,
        servers_poll_fraction: float,
        catalog_wait_fraction: float,
    ) -> tuple[HttpTopicStore, PlatformView]:
        store = HttpTopicStore(client, self.cfg.store_address)
        self.topic_peers = HttpTopicPeers(client, _peer_seeds(self.cfg))
        view = PlatformView(
            TOPICS,
            store,
            self.topic_peers,
            self.catalog,
            Registry(decode_server, self.timers),
            self.timers,
            servers_period_ms=int(servers_poll_fraction * self.cfg.drain_ms),
            catalog_wait_ms=int(catalog_wait_fraction * self.cfg.apply_ms),
            catalog_max_age_ms=self.cfg.apply_ms,
            asks_peers_first=not self.cfg.is_first_start,
        )
        view.subscribe(self._update_sides)
        return store, view

    def _update_sides(self, servers: list[ServerRecord]) -> None:
        """Let peers be asked that are beside an engine."""
        catalog = self.catalog.catalog
        pools = catalog.pools if catalog is not None else {}
        self.topic_peers.sides = [
            self.side_address(server)
            for server in servers
            if server.pool in pools and pools[server.pool].engine is not None
        ]

    def build_internal_app(self, view: PlatformView) -> web.Application:
        app = web.Application()

        async def handle_metrics(request: web.Request) -> web.Response:
            body, content_type = self.metrics.render()
            return web.Response(body=body, headers={"Content-Type": content_type})

        async def handle_view(request: web.Request) -> web.Response:
            version = request.query.get(NEWER_THAN, "")
            topics = (
                view.newer_catalog(int(version))
                if version.isdecimal()
                else view.topic_snapshots()
            )
            return web.Response(body=encode_view(topics))

        app.router.add_get(METRICS_PATH, handle_metrics)
        app.router.add_get(VIEW_PATH, handle_view)
        return app

    def build_keeper(
        self, role: str, start: str, store: TopicStore, keepers: AllotmentKeepers
    ) -> TenureKeeper:
        by = Incarnation(self.cfg.host, role, start)
        return TenureKeeper(
            by,
            store,
            ALLOTMENTS_TOPIC,
            keepers,
            self.timers,
            is_first_start=self.cfg.is_first_start,
        )

    def limited_accounts(self) -> list[str]:
        """Return the names of the client accounts that have an allotment."""
        catalog = self.catalog.catalog
        if catalog is None or catalog.accounts is None:
            return []
        return [
            account.name
            for account in catalog.accounts.by_name.values()
            if account.allotment is not None
        ]

    async def listen(
        self, runner: web.AppRunner | web.ServerRunner, *ports: int
    ) -> list[web.TCPSite]:
        await runner.setup()
        self._runners.append(runner)
        sites = []
        for port in filter(None, ports):
            site = web.TCPSite(
                runner, self.cfg.host, port, backlog=LISTEN_BACKLOG, reuse_address=True
            )
            await site.start()
            sites.append(site)
        return sites

    async def close(self) -> None:
        for runner in self._runners:
            await runner.cleanup()

    def side_address(self, server: ServerRecord) -> str:
        """Return the address of the side on a server's machine; all use one port."""
        return f"{server.address.rpartition(':')[0]}:{self.cfg.internal_port}"

    def keeper_address(self, host: str) -> str:
        """Return the address of the process that keeps stream origins on a host."""
        return f"{host}:{self.cfg.internal_port}"

    def handle_signals(self) -> None:
        """Handle SIGTERM and SIGHUP, which would end the process at once."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown.request)
        loop.add_signal_handler(signal.SIGHUP, self.reload, "signal")

    async def run_until_shutdown(
        self, coro: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run ``coro`` until shutdown is requested; raise its failure."""
        task = asyncio.create_task(coro)
        settings_watch = self.timers.subscribe(
            SETTINGS_POLL_INTERVAL_MS, self._watch_settings
        )
        await self.shutdown.wait(task)
        settings_watch.cancel()
        return task

    def reload(self, cause: str) -> None:
        """Apply changed settings.

        Other fields, such as the ports that are bound at the start, need a restart.
        """
        cfg = self.settings_file.reload()
        match cfg:
            case None:
                if cause == "signal":
                    logger.info("settings reloaded", cause=cause, changed=[])
            case SettingsError(detail):
                logger.error("settings reload failed", cause=cause, detail=detail)
            case _:
                changed = [
                    name
                    for name, value in cfg._asdict().items()
                    if value != getattr(self.cfg, name)
                ]
                at_restart = [name for name in changed if name not in RELOADABLE_FIELDS]
                logger.info(
                    "settings reloaded",
                    cause=cause,
                    changed=changed,
                    at_restart=at_restart,
                )
                self.cfg = self.cfg._replace(
                    **{name: getattr(cfg, name) for name in RELOADABLE_FIELDS}
                )
                self.apply_settings(self.cfg)

    def apply_settings(self, cfg: PlatformSettings) -> None:
        """Pass changed settings to the components that use them."""
        self.topic_peers.addresses = _peer_seeds(cfg)

    async def _watch_settings(self) -> None:
        self.reload("file")


class EntryRole(_BaseRole):
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
            # How large requests grow decides what an engine may hold there.
            costs = LearnedCosts() if cfg.engines_crash_when_full else None
            process = self._process = ProxyProcess(
                cfg.place,
                view,
                HttpBackends(session),
                HttpEngineSides(client, self.side_address, self.timers),
                HttpCrashRelays(client, self.side_address),
                HttpOriginKeepers(client, self.keeper_address),
                store,
                CRASHES_TOPIC,
                gate,
                cfg.retries,
                self.timers,
                self.metrics,
                peer_hosts=_peer_hosts(cfg),
                is_first_start=cfg.is_first_start,
                key_max_age_ms=cfg.key_max_age_ms,
                engines_crash_when_full=cfg.engines_crash_when_full,
                costs=costs,
            )
            buffers = self._build_buffers()
            ingress = Ingress(process.handle, self._max_body_bytes, buffers)
            server = CallerServer(
                ingress.handle,
                self._limits,
                self.timers,
                lowering_delay_ms=cfg.apply_ms + CALLERS_LEARN_MS,
                buffers=buffers,
            )
            view.subscribe(lambda _: self._prepare_keeper(keeper, gate))
            front = web.ServerRunner(server, shutdown_timeout=0.1)
            app = self.build_internal_app(view)
            app.router.add_get(READINESS_PATH, _readiness_handler(process))
            OriginRoutes(process.origins, start).add_to(app)
            AllotmentRoutes(keeper).add_to(app)
            internal = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
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
            await _cancel(task)
            await self.close()

    def apply_settings(self, cfg: PlatformSettings) -> None:
        """Pass changed settings to the components that use them."""
        super().apply_settings(cfg)
        self._process.update_retry_bounds(cfg.retries)
        self._process.update_peers(_peer_hosts(cfg))

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
        process.lifecycle.finish()

    def _build_buffers(self) -> CallerBuffers | None:
        if not self.cfg.memory_bytes:
            return None
        bounds = BufferBounds.from_memory(self.cfg.memory_bytes)
        return CallerBuffers(bounds, self.timers, self.metrics)

    def _limits(self) -> CallerLimits | None:
        catalog = self.catalog.catalog
        return catalog.limits if catalog is not None else None

    def _max_body_bytes(self) -> int:
        return (self._limits() or CallerLimits()).body_bytes


class SideRole(_BaseRole):
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
            internal = web.AppRunner(
                app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
            )
            self.handle_signals()
            await self.listen(internal, cfg.internal_port)
            task = await self.run_until_shutdown(process.run())
            process.lifecycle.leave()
            keeper.close()
            await _cancel(task)
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


def _peer_seeds(cfg: PlatformSettings) -> list[str]:
    own = f"{cfg.host}:{cfg.control_port}"
    return [seed for seed in cfg.seeds if seed != own]


def _peer_hosts(cfg: PlatformSettings) -> list[str]:
    return [seed.rpartition(":")[0] for seed in _peer_seeds(cfg)]


def _readiness_handler(process: ProxyProcess) -> Any:
    async def handle_readiness(request: web.Request) -> web.Response:
        return web.Response(status=200 if process.is_ready else 503)

    return handle_readiness


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
