"""The embedded role: entries, sides and stand-ins in one process."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from aiohttp import web

from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.adapters.server import HttpServer
from copperrun.adapters.server import ServerLimits
from copperrun.embedded.engine import EngineStandIn
from copperrun.embedded.engine import TokenTimes
from copperrun.embedded.http import engine_application
from copperrun.embedded.http import platform_application
from copperrun.embedded.http import service_application
from copperrun.embedded.instances import InstancesStandIn
from copperrun.embedded.log import LogStandIn
from copperrun.embedded.service import ServiceStandIn
from copperrun.embedded.weights import PermissiveWeights
from copperrun.entry.daemon import EntryDaemon
from copperrun.model import Instance
from copperrun.model import Role
from copperrun.ports.timers import Timers
from copperrun.settings import Backend
from copperrun.settings import EmbeddedPool
from copperrun.settings import EmbeddedSettings
from copperrun.settings import EntrySettings
from copperrun.settings import Listener
from copperrun.settings import Platform
from copperrun.settings import SideSettings
from copperrun.settings import Zone
from copperrun.side.daemon import SideDaemon

STAND_IN_LIMITS = ServerLimits(8_192, 600_000)


class EmbeddedDaemon:
    """Runs all roles in one process; only the wiring differs from the other roles."""

    def __init__(
        self, settings: EmbeddedSettings, timers: Timers, metrics: PrometheusMetrics
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._metrics = metrics
        self._stop = asyncio.Event()
        self._instances = InstancesStandIn(timers)
        self._log = LogStandIn(timers)
        self._weights = PermissiveWeights(
            timers,
            loads_per_second=settings.loads_per_second,
            concurrent_loads=settings.concurrent_loads,
            adapters_in_transit=settings.adapters_in_transit,
            load_ms=settings.load_time,
        )

    def leave(self) -> None:
        """Begin a graceful shutdown: entries first, then sides, then stand-ins."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until ``leave`` is called and every request has ended."""
        async with AsyncExitStack() as servers:
            platform = await self._start_platform(servers)
            sides = await self._build_sides(servers, platform)
            entries = self._build_entries(platform)
            await self._run_daemons(entries, sides)

    async def _run_daemons(
        self, entries: list[EntryDaemon], sides: list[SideDaemon]
    ) -> None:
        side_tasks = [asyncio.create_task(side.run()) for side in sides]
        entry_tasks = [asyncio.create_task(entry.run()) for entry in entries]
        stop = asyncio.create_task(self._stop.wait())
        running = {stop, *side_tasks, *entry_tasks}
        await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        for entry in entries:
            entry.leave()
        await asyncio.gather(*entry_tasks)
        for side in sides:
            side.leave()
        await asyncio.gather(*side_tasks)
        stop.cancel()

    async def _start_platform(self, servers: AsyncExitStack) -> Platform:
        listener = self._settings.platform
        app = platform_application(self._log, self._instances, self._weights)
        port = await self._serve(servers, app, listener.host, listener.port)
        url = f"http://{listener.host}:{port}"
        return Platform(log=url, instances=url, weights=url)

    async def _build_sides(
        self, servers: AsyncExitStack, platform: Platform
    ) -> list[SideDaemon]:
        sides = []
        next_port = self._settings.platform.port + 1
        for pool in self._settings.pools:
            service = ServiceStandIn(self._timers)
            for number in range(pool.servers):
                app = self._backend_application(pool, service)
                host = self._settings.platform.host
                backend_port = await self._serve(servers, app, host, 0)
                settings = self._side_settings(
                    pool, number, next_port, backend_port, platform
                )
                next_port += 1
                self._register(settings)
                sides.append(SideDaemon(settings, self._timers, self._metrics))
        return sides

    def _backend_application(
        self, pool: EmbeddedPool, service: ServiceStandIn
    ) -> web.Application:
        if pool.kind == "service":
            return service_application(service)
        engine = EngineStandIn(
            self._timers,
            self._weights,
            memory_bytes=pool.memory,
            kv_reserve_bytes=pool.kv_reserve,
            checks_orders=pool.checks_orders,
            times=TokenTimes(step_ms=self._settings.token_step),
        )
        return engine_application(engine)

    def _side_settings(
        self,
        pool: EmbeddedPool,
        number: int,
        port: int,
        backend_port: int,
        platform: Platform,
    ) -> SideSettings:
        settings = self._settings
        zone = self._zone(number)
        host = settings.platform.host
        return SideSettings(
            role="side",
            instance=f"{pool.pool}-{number}",
            zone=zone.name,
            region=zone.region,
            internal=Listener(host, port),
            backend=Backend(pool.kind, f"http://{host}:{backend_port}", pool.pool),
            shared_keys=settings.shared_keys,
            platform=platform,
        )

    def _build_entries(self, platform: Platform) -> list[EntryDaemon]:
        settings = self._settings
        entries = []
        for number in range(settings.entries):
            zone = self._zone(number)
            internal_port = settings.public.port + settings.entries + number
            entry = EntrySettings(
                role="entry",
                instance=f"entry-{number}",
                zone=zone.name,
                region=zone.region,
                public=Listener(settings.public.host, settings.public.port + number),
                internal=Listener(settings.public.host, internal_port),
                shared_keys=settings.shared_keys,
                platform=platform,
                limits=settings.limits,
                leave_delay=settings.leave_delay,
            )
            self._register(entry)
            entries.append(EntryDaemon(entry, self._timers, self._metrics))
        return entries

    def _register(self, settings: EntrySettings | SideSettings) -> None:
        is_side = isinstance(settings, SideSettings)
        self._instances.put(
            Instance(
                id=settings.instance,
                address=f"{settings.internal.host}:{settings.internal.port}",
                zone=settings.zone,
                region=settings.region,
                role=Role.SIDE if is_side else Role.ENTRY,
                pool=settings.backend.pool
                if isinstance(settings, SideSettings)
                else "",
            )
        )

    def _zone(self, number: int) -> Zone:
        zones = self._settings.zones
        return zones[number % len(zones)]

    async def _serve(
        self, servers: AsyncExitStack, app: web.Application, host: str, port: int
    ) -> int:
        server = HttpServer(app, STAND_IN_LIMITS, self._timers)
        servers.push_async_callback(server.close)
        return await server.start(host, port)
