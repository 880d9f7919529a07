"""What an entry and a side on a machine of the platform have in common."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from aiohttp import web
from loguru import logger

from copperrun.adapters.admission import NEWER_THAN
from copperrun.adapters.admission import VIEW_PATH
from copperrun.adapters.admission import HttpTopicPeers
from copperrun.adapters.admission import encode_view
from copperrun.adapters.client import HttpClient
from copperrun.adapters.timers import SystemTimers
from copperrun.configuration.catalog import CurrentCatalog
from copperrun.membership.claim_log import Incarnation
from copperrun.membership.registry import Registry
from copperrun.membership.shutdown import Shutdown
from copperrun.membership.tenures import TenureKeeper
from copperrun.membership.view import PlatformView
from copperrun.membership.view import Topics
from copperrun.platform.metrics import MetricsOnDemand
from copperrun.platform.records import decode_catalog
from copperrun.platform.records import decode_server
from copperrun.platform.settings import PlatformSettings
from copperrun.platform.settings import SettingsError
from copperrun.platform.settings import SettingsFile
from copperrun.platform.store import ALLOTMENTS_TOPIC
from copperrun.platform.store import CATALOG_KEY
from copperrun.platform.store import OPERATOR_TOPIC
from copperrun.platform.store import SERVERS_TOPIC
from copperrun.platform.store import HttpTopicStore
from copperrun.ports.allotments import AllotmentKeepers
from copperrun.ports.topics import TopicStore
from copperrun.routing.servers import ServerRecord

METRICS_PATH = "/metrics"
TOPICS = Topics(OPERATOR_TOPIC, CATALOG_KEY, SERVERS_TOPIC)
LISTEN_BACKLOG = 1024
SETTINGS_POLL_INTERVAL_MS = 1_000  # the file may change without SIGHUP
RELOADABLE_FIELDS = ("seeds", "grace_ms", "retries", "loads")


class Role:
    """Parts shared by both roles."""

    def __init__(
        self, settings_file: SettingsFile, *, learns_costs: bool = False
    ) -> None:
        self.settings_file = settings_file
        self.learns_costs = learns_costs
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
        """Return the store and the view of it that this process follows."""
        store = HttpTopicStore(client, self.cfg.store_address)
        self.topic_peers = HttpTopicPeers(client, peer_seeds(self.cfg))
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
        """Return the routes that both roles serve to other processes."""
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
        """Return what keeps allotments here once this process is asked to."""
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
        """Listen on the ports that are set."""
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
        """Close all listeners."""
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
        self.topic_peers.addresses = peer_seeds(cfg)

    async def _watch_settings(self) -> None:
        self.reload("file")


def peer_seeds(cfg: PlatformSettings) -> list[str]:
    """Return the addresses of the seeds but the own one."""
    own = f"{cfg.host}:{cfg.control_port}"
    return [seed for seed in cfg.seeds if seed != own]


def peer_hosts(cfg: PlatformSettings) -> list[str]:
    """Return the hosts of the seeds but the own one."""
    return [seed.rpartition(":")[0] for seed in peer_seeds(cfg)]


async def cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
