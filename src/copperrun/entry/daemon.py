"""Runs an entry: listeners, adapters and graceful shutdown."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import partial

import aiohttp
from aiohttp import web

from copperrun.adapters.allotments import open_keepers
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.configuration_peers import HttpConfigurationPeers
from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.adapters.operations import Operations
from copperrun.adapters.operations import ProcessStatus
from copperrun.adapters.platform import HttpInstances
from copperrun.adapters.platform import HttpLog
from copperrun.adapters.server import HttpServer
from copperrun.adapters.server import ServerLimits
from copperrun.adapters.server import shared_key_middleware
from copperrun.adapters.sides import SHARED_KEY_HEADER
from copperrun.adapters.sides import HttpSides
from copperrun.entry.api import add_api_routes
from copperrun.entry.process import EntryPorts
from copperrun.entry.process import EntryProcess
from copperrun.membership.shutdown import Shutdown
from copperrun.ports.timers import Timers
from copperrun.settings import EntrySettings

DRAIN_POLL_INTERVAL_MS = 20
# Time without a request after which the remaining connections are closed.
IDLE_BEFORE_EXIT_MS = 300


class EntryDaemon:
    """An entry with its listeners."""

    def __init__(
        self, settings: EntrySettings, timers: Timers, metrics: PrometheusMetrics
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._metrics = metrics
        self._shutdown = Shutdown()

    def leave(self) -> None:
        """Begin a graceful shutdown."""
        self._shutdown.request()

    async def run(self) -> None:
        """Serve until ``leave`` is called and every request has ended."""
        async with open_session() as session:
            process = self._build_process(HttpClient(session, self._timers), session)
            public, internal = self._build_servers(process)
            task = asyncio.create_task(process.run())
            try:
                settings = self._settings
                await public.start(settings.public.host, settings.public.port)
                await internal.start(settings.internal.host, settings.internal.port)
                await self._shutdown.wait(task)
                await self._leave(process, public)
            finally:
                task.cancel()
                process.close()
                with suppress(asyncio.CancelledError):
                    await task
                await public.close()
                await internal.close()

    def _build_process(
        self, platform: HttpClient, session: aiohttp.ClientSession
    ) -> EntryProcess:
        settings = self._settings
        internal = HttpClient(
            session,
            self._timers,
            {SHARED_KEY_HEADER: settings.shared_keys[0]},
        )
        ports = EntryPorts(
            log=HttpLog(platform, settings.platform.log),
            instances=HttpInstances(platform, settings.platform.instances),
            sides=HttpSides(internal),
            timers=self._timers,
            metrics=self._metrics,
            open_peers=partial(HttpConfigurationPeers, internal, settings.instance),
            open_keepers=partial(open_keepers, internal),
        )
        return EntryProcess(
            settings.instance, ports, default_deadline_ms=settings.default_deadline
        )

    def _build_servers(self, process: EntryProcess) -> tuple[HttpServer, HttpServer]:
        settings = self._settings
        limits = settings.limits
        server_limits = ServerLimits(limits.connections, limits.idle)
        operations = Operations(
            self._metrics,
            lambda: _status(settings, process),
            lambda: process.is_ready,
            self.leave,
            process.follower.encode_snapshot,
        )
        public = web.Application(client_max_size=limits.body)
        add_api_routes(public, process.gateway, self._timers, limits)
        operations.add_health_routes(public)
        internal = web.Application(
            middlewares=[shared_key_middleware(settings.shared_keys)]
        )
        operations.add_health_routes(internal)
        operations.add_operator_routes(internal)
        return (
            HttpServer(public, server_limits, self._timers),
            HttpServer(internal, server_limits, self._timers),
        )

    async def _leave(self, process: EntryProcess, public: HttpServer) -> None:
        """Fail the readiness probe, wait for the load balancer, drain connections."""
        process.lifecycle.leave()
        public.close_after_responses()
        await self._timers.sleep_ms(self._settings.leave_delay)
        await public.stop_listening()
        idle_since_ms = self._timers.now_ms()
        while self._timers.now_ms() - idle_since_ms < IDLE_BEFORE_EXIT_MS:
            await self._timers.sleep_ms(DRAIN_POLL_INTERVAL_MS)
            if public.busy_connections:
                idle_since_ms = self._timers.now_ms()
        process.lifecycle.finish()


def _status(settings: EntrySettings, process: EntryProcess) -> ProcessStatus:
    cfg = process.follower.configuration
    return ProcessStatus(
        instance=settings.instance,
        role="entry",
        state=process.lifecycle.state.value,
        revision=process.follower.revision,
        preset=cfg.preset_in_force if cfg else "",
        pool="",
        queued=0,
        running=0,
        resident=[],
        free_bytes=0,
    )
