"""Runs an entry or a side on a machine of the platform."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from aiohttp import web
from loguru import logger

from copperrun.adapters import metrics as metrics_adapter
from copperrun.adapters.admission import VIEW_PATH
from copperrun.adapters.admission import EngineSideRoutes
from copperrun.adapters.admission import HttpEngineSides
from copperrun.adapters.admission import HttpPeerViews
from copperrun.adapters.admission import encode_view
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.adapters.timers import SystemTimers
from copperrun.configuration.catalog import CurrentCatalog
from copperrun.entry.front import FrontProcess
from copperrun.membership.registry import Registry
from copperrun.membership.shutdown import Shutdown
from copperrun.membership.view import ENTRY_SERVERS_POLL_FRACTION
from copperrun.membership.view import SIDE_SERVERS_POLL_FRACTION
from copperrun.membership.view import PlatformView
from copperrun.membership.view import Topics
from copperrun.placement.controller import PlacementController
from copperrun.placement.demand import DemandView
from copperrun.placement.loads import LoadRateLimiter
from copperrun.platform.backends import HttpBackends
from copperrun.platform.engine_control import HttpEngineControl
from copperrun.platform.ingress import Ingress
from copperrun.platform.records import decode_catalog
from copperrun.platform.records import decode_server
from copperrun.platform.settings import PlatformSettings
from copperrun.platform.settings import SettingsError
from copperrun.platform.settings import SettingsFile
from copperrun.platform.store import CATALOG_KEY
from copperrun.platform.store import OPERATOR_TOPIC
from copperrun.platform.store import SERVERS_TOPIC
from copperrun.platform.store import STATUS_TOPIC
from copperrun.platform.store import HttpTopicStore
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.servers import ServerRecord
from copperrun.side.admission import AdmissionController
from copperrun.side.placement import PlacementProcess

READY_PATH = "/readiness"
METRICS_PATH = "/metrics"
TOPICS = Topics(OPERATOR_TOPIC, CATALOG_KEY, SERVERS_TOPIC)

ACCEPT_MS = 3_000  # the balancer asks each second and needs two misses
UNSENT_SHARE = 0.55  # of the grace time, after which no request is sent to a server
EXIT_MARGIN_MS = 700  # before SIGKILL, for closing what is left
DRAIN_POLL_MS = 50
QUIET_MS = 300  # without a request, after which the remaining connections close
BACKLOG = 1024
SETTINGS_PERIOD_MS = 1_000  # the file may change without a signal
RELOADED = ("seeds", "grace_ms", "retries", "loads")


class _Base:
    """Parts that both roles have."""

    def __init__(self, file: SettingsFile) -> None:
        self.file = file
        self.cfg = file.cfg
        self.timers = SystemTimers()
        self.metrics = PrometheusMetrics()
        self.shutdown = Shutdown()
        self.catalog = CurrentCatalog(decode_catalog)
        self._sites: list[web.AppRunner | web.ServerRunner] = []

    def build_view(
        self, client: HttpClient, poll_fraction: float
    ) -> tuple[HttpTopicStore, PlatformView]:
        store = HttpTopicStore(client, self.cfg.store_address)
        self.views = HttpPeerViews(client, _peer_seeds(self.cfg))
        view = PlatformView(
            TOPICS,
            store,
            self.views,
            self.catalog,
            Registry(decode_server, self.timers),
            self.timers,
            servers_period_ms=int(poll_fraction * self.cfg.drain_ms),
        )
        return store, view

    def internal_app(self, view: PlatformView) -> web.Application:
        app = web.Application()

        async def metrics(request: web.Request) -> web.Response:
            return web.Response(
                body=self.metrics.render(),
                headers={"Content-Type": metrics_adapter.CONTENT_TYPE},
            )

        async def known(request: web.Request) -> web.Response:
            return web.Response(body=encode_view(view.topic_snapshots()))

        app.router.add_get(METRICS_PATH, metrics)
        app.router.add_get(VIEW_PATH, known)
        return app

    async def listen(
        self, runner: web.AppRunner | web.ServerRunner, *ports: int
    ) -> list[web.TCPSite]:
        await runner.setup()
        self._sites.append(runner)
        sites = []
        for port in filter(None, ports):
            site = web.TCPSite(
                runner, self.cfg.host, port, backlog=BACKLOG, reuse_address=True
            )
            await site.start()
            sites.append(site)
        return sites

    async def close(self) -> None:
        for runner in self._sites:
            await runner.cleanup()

    def side_address(self, server: ServerRecord) -> str:
        """A side runs on its engine's machine; ports are alike on all machines."""
        return f"{server.address.rpartition(':')[0]}:{self.cfg.internal_port}"

    async def guard(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run ``work`` until the process is told to leave; a failure is raised."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown.request)
        loop.add_signal_handler(signal.SIGHUP, self.reload, "signal")
        task = asyncio.create_task(work)
        watch = self.timers.subscribe(SETTINGS_PERIOD_MS, self._watch_settings)
        await self.shutdown.wait(task)
        watch.cancel()
        return task

    def reload(self, cause: str) -> None:
        """Take the settings file's changes; what binds ports stays until a restart."""
        cfg = self.file.reload()
        match cfg:
            case None:
                if cause == "signal":
                    logger.info("reload", cause=cause, changed=[])
            case SettingsError(detail):
                logger.error("settings not taken", cause=cause, detail=detail)
            case _:
                changed = [
                    name
                    for name, value in cfg._asdict().items()
                    if value != getattr(self.cfg, name)
                ]
                kept = [name for name in changed if name not in RELOADED]
                logger.info("reload", cause=cause, changed=changed, at_restart=kept)
                self.cfg = self.cfg._replace(
                    **{name: getattr(cfg, name) for name in RELOADED}
                )
                self.apply(self.cfg)

    def apply(self, cfg: PlatformSettings) -> None:
        """Hand changed settings to the parts that use them."""
        self.views.addresses = _peer_seeds(cfg)

    async def _watch_settings(self) -> None:
        self.reload("file")


class EntryRole(_Base):
    """An entry: callers' listener, readiness, view for peers."""

    async def run(self) -> None:
        """Serve until SIGTERM and the end of what runs."""
        cfg = self.cfg
        async with open_session() as session:
            client = HttpClient(session, self.timers)
            _, view = self.build_view(client, ENTRY_SERVERS_POLL_FRACTION)
            process = self._process = FrontProcess(
                cfg.place,
                view,
                HttpBackends(session),
                HttpEngineSides(client, self.side_address, self.timers),
                cfg.retries,
                self.timers,
                self.metrics,
            )
            ingress = Ingress(process.handle, self._max_body_bytes)
            front = web.ServerRunner(
                web.Server(
                    ingress.handle,
                    handler_cancellation=True,
                    access_log=None,
                    keepalive_timeout=self._limits().idle_timeout_ms / 1000,
                    max_line_size=self._limits().header_bytes,
                    max_field_size=self._limits().header_bytes,
                ),
                shutdown_timeout=0.1,
            )
            app = self.internal_app(view)
            app.router.add_get(READY_PATH, _readiness(process))
            internal = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
            await self.listen(
                internal, cfg.ready_port, cfg.control_port, cfg.internal_port
            )
            sites = await self.listen(front, cfg.front_port)
            task = await self.guard(process.run())
            await self._leave(process, ingress, front, sites)
            await _stop(task)
            await self.close()

    def apply(self, cfg: PlatformSettings) -> None:
        """Hand changed settings to the parts that use them."""
        super().apply(cfg)
        self._process.take_bounds(cfg.retries)

    async def _leave(
        self,
        process: FrontProcess,
        ingress: Ingress,
        front: web.ServerRunner,
        sites: list[web.TCPSite],
    ) -> None:
        """Fail the readiness probe, wait for the balancer, finish what runs."""
        began_ms = self.timers.now_ms()
        grace_ms = self.cfg.grace_ms
        process.lifecycle.leave()
        ingress.is_leaving = True
        ingress.close_idle(front.server)
        await self.timers.sleep_ms(min(ACCEPT_MS, grace_ms * UNSENT_SHARE))
        for site in sites:
            await site.stop()
        ingress.refuses = True
        ingress.close_idle(front.server)
        quiet_since = self.timers.now_ms()
        while (now := self.timers.now_ms()) < began_ms + grace_ms - EXIT_MARGIN_MS:
            if now - began_ms >= grace_ms * UNSENT_SHARE:
                process.give_up_unsent()
            if ingress.is_busy:
                quiet_since = now
            elif now - quiet_since >= QUIET_MS:
                break
            await self.timers.sleep_ms(DRAIN_POLL_MS)
        process.lifecycle.finish()

    def _limits(self) -> CallerLimits:
        catalog = self.catalog.catalog
        return catalog.limits if catalog is not None else CallerLimits()

    def _max_body_bytes(self) -> int:
        return self._limits().body_bytes


class SideRole(_Base):
    """A side: orders of the engine beside it."""

    async def run(self) -> None:
        """Work until SIGTERM."""
        cfg = self.cfg
        async with open_session() as session:
            client = HttpClient(session, self.timers)
            store, view = self.build_view(client, SIDE_SERVERS_POLL_FRACTION)
            demand = DemandView(self.timers)
            loads = self._loads = LoadRateLimiter(cfg.loads, self.timers)
            placement = PlacementController(
                HttpEngineControl(client, cfg.engine_address, cfg.place.instance),
                demand,
                loads,
                self.timers,
                self.metrics,
            )
            admission = AdmissionController(placement, self.timers)
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
            app = self.internal_app(view)
            EngineSideRoutes(placement, admission, demand).add_to(app)
            internal = web.AppRunner(
                app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
            )
            await self.listen(internal, cfg.internal_port)
            task = await self.guard(process.run())
            process.lifecycle.leave()
            await _stop(task)
            await self.close()
            process.lifecycle.finish()

    def apply(self, cfg: PlatformSettings) -> None:
        """Hand changed settings to the parts that use them."""
        super().apply(cfg)
        self._loads.limit = cfg.loads


def _peer_seeds(cfg: PlatformSettings) -> list[str]:
    own = f"{cfg.host}:{cfg.control_port}"
    return [seed for seed in cfg.seeds if seed != own]


def _readiness(process: FrontProcess) -> Any:
    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=200 if process.is_ready else 503)

    return answer


async def _stop(task: asyncio.Task[None]) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
