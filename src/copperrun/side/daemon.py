"""Runs a side with its listener and adapters until a graceful shutdown."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import partial

import aiohttp

from copperrun.adapters.allotments import open_keepers
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.configuration_peers import HttpConfigurationPeers
from copperrun.adapters.engine import HttpEngine
from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.adapters.operations import Operations
from copperrun.adapters.operations import ProcessStatus
from copperrun.adapters.platform import HttpInstances
from copperrun.adapters.platform import HttpLog
from copperrun.adapters.platform import HttpWeights
from copperrun.adapters.server import HttpServer
from copperrun.adapters.server import ServerLimits
from copperrun.adapters.service import HttpService
from copperrun.adapters.sides import SHARED_KEY_HEADER
from copperrun.adapters.sides import HttpSides
from copperrun.membership.shutdown import Shutdown
from copperrun.ports.timers import Timers
from copperrun.settings import SideSettings
from copperrun.side.process import EngineBackend
from copperrun.side.process import ServiceBackend
from copperrun.side.process import SideIdentity
from copperrun.side.process import SidePorts
from copperrun.side.process import SideProcess
from copperrun.side.server import build_application

MAX_CONNECTIONS = 8_192
IDLE_TIMEOUT_MS = 60_000
REFUSAL_GRACE_MS = 500  # a drained side goes on refusing late attempts this long


class SideDaemon:
    """Runs a side with its internal listener."""

    def __init__(
        self, settings: SideSettings, timers: Timers, metrics: PrometheusMetrics
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._metrics = metrics
        self._shutdown = Shutdown()

    def leave(self) -> None:
        """Begin a graceful shutdown."""
        self._shutdown.request()

    async def run(self) -> None:
        """Serve until ``leave`` is called and every attempt has ended."""
        async with open_session() as session:
            process = self._build_process(session)
            server = self._build_server(process)
            task = asyncio.create_task(process.run())
            try:
                listener = self._settings.internal
                await server.start(listener.host, listener.port)
                await self._shutdown.wait(task)
                await process.drain()
                await self._timers.sleep_ms(REFUSAL_GRACE_MS)
            finally:
                task.cancel()
                with suppress(asyncio.CancelledError):
                    await task
                await server.close()

    def _build_process(self, session: aiohttp.ClientSession) -> SideProcess:
        settings = self._settings
        client = HttpClient(session, self._timers)
        headers = {SHARED_KEY_HEADER: settings.shared_keys[0]}
        internal = HttpClient(session, self._timers, headers)
        url = settings.backend.url
        backend = (
            EngineBackend(HttpEngine(client, url))
            if settings.backend.kind == "engine"
            else ServiceBackend(HttpService(client, url))
        )
        identity = SideIdentity(
            settings.instance,
            settings.backend.pool,
            settings.appends_per_second,
        )
        ports = SidePorts(
            log=HttpLog(client, settings.platform.log),
            instances=HttpInstances(client, settings.platform.instances),
            weights=HttpWeights(client, settings.platform.weights),
            sides=HttpSides(internal),
            backend=backend,
            timers=self._timers,
            metrics=self._metrics,
            open_peers=partial(HttpConfigurationPeers, internal, settings.instance),
            open_keepers=partial(open_keepers, internal),
        )
        return SideProcess(identity, ports)

    def _build_server(self, process: SideProcess) -> HttpServer:
        app = build_application(process, self._settings.shared_keys)
        operations = Operations(
            self._metrics,
            lambda: _status(process),
            lambda: process.is_ready,
            self.leave,
            process.follower.encode_snapshot,
        )
        operations.add_health_routes(app)
        operations.add_operator_routes(app)
        limits = ServerLimits(MAX_CONNECTIONS, IDLE_TIMEOUT_MS)
        return HttpServer(app, limits, self._timers)


def _status(process: SideProcess) -> ProcessStatus:
    status = process.status()
    cfg = process.follower.configuration
    return ProcessStatus(
        instance=status.instance,
        role="side",
        state=status.state,
        revision=status.revision,
        preset=cfg.preset_in_force if cfg else "",
        pool=process.identity.pool,
        queued=status.load.queued,
        running=status.load.running,
        resident=sorted(status.resident),
        free_bytes=process.ledger.free_bytes,
    )
