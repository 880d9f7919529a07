"""An entry of the platform in this process, with a store, servers and sides."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import asynccontextmanager
from contextlib import suppress
from itertools import cycle
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from platform_standins import ReceivedRequest
from platform_standins import ScriptedServer
from platform_standins import StoreStandIn
from platform_standins import answer_head
from test_platform_records import server_entry
from test_platform_records import settings
from test_platform_records import write_settings

from copperrun.adapters import wire
from copperrun.adapters.admission import ADMIT_PATH
from copperrun.adapters.admission import DEMAND_PATH
from copperrun.adapters.admission import PROGRESS_PATH
from copperrun.adapters.timers import SystemTimers
from copperrun.gen import ttypes
from copperrun.platform.daemon import READINESS_PATH
from copperrun.platform.daemon import EntryRole
from copperrun.platform.settings import PlatformSettings
from copperrun.platform.settings import SettingsFile
from copperrun.platform.settings import load_settings
from copperrun.platform.store import CATALOG_KEY
from copperrun.platform.store import OPERATOR_TOPIC
from copperrun.platform.store import SERVERS_TOPIC

TIMERS = SystemTimers()
WAIT_TIMEOUT_MS = 15_000  # ends the waits of a failing test
SIDE_HOST = "127.0.0.2"  # all sides use the entry's internal port
# Each process begins elsewhere, and two entries of one process never share a port.
_PORTS = cycle(range(10_000 + os.getpid() % 200 * 100, 32_000))
EVENT = b"id: %d\ndata: x\n\n"


def platform_route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "h",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4_000,
        "target-latency-ms": 200,
        "target-gap-ms": 100,
        "resumable": kind == "streaming",
        "max-attempts": 2,
        "service": "s",
        **changes,
    }


def plain_configuration(version: int = 1) -> dict[str, Any]:
    engine = {
        "slots": 8,
        "kv-cache-tokens": 10_000,
        "models": [{"name": "m", "weights-mb": 10.0, "load-time-s": 1.0}],
    }
    return {
        "version": version,
        "routes": [
            platform_route("safe", "safe"),
            platform_route("unsafe", "unsafe"),
            platform_route("stream", "streaming"),
            platform_route("model", "streaming", service="e"),
        ],
        "services": [
            {"name": "s"},
            {"name": "t"},
            {"name": "e", "engine": engine},
        ],
        "limits": {},
    }


class PausingServer(ScriptedServer):
    """Stops at ``pause`` until it is released, and then goes on."""

    def __init__(self, server_id: str = "i-1", pause: str = "", **kwargs: str) -> None:
        super().__init__(server_id, **kwargs)
        self.pause = pause
        self.paused = asyncio.Event()
        self.released = asyncio.Event()
        self.script = self._serve_events

    async def _serve_events(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        await self._pause_at("head")
        writer.write(answer_head(request, Transfer_Encoding="chunked"))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, 4):
            event = EVENT % number
            if number == 2:
                await self._pause_at("events")
                _write_chunk(writer, event[:5])
                await self._pause_at("event")
                event = event[5:]
            _write_chunk(writer, event)
        writer.write(b"0\r\n\r\n")
        return True

    async def _pause_at(self, place: str) -> None:
        if place != self.pause:
            return
        self.paused.set()
        await self.released.wait()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class SideStandIn:
    """A side that admits a request once it is released."""

    def __init__(self, server_id: str) -> None:
        self.asked = asyncio.Event()
        self.released = asyncio.Event()
        self._server_id = server_id
        self._runner: web.AppRunner | None = None

    async def start(self, port: int) -> None:
        app = web.Application()
        app.router.add_post(DEMAND_PATH, self._demand)
        app.router.add_post(ADMIT_PATH, self._admit)
        app.router.add_post(PROGRESS_PATH, self._progress)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, SIDE_HOST, port).start()

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def _demand(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.Demand, await request.read())
        assert isinstance(message, ttypes.Demand)
        await TIMERS.sleep_ms(message.hold_ms)
        report = ttypes.EngineReport(
            born_ms=1_790_000_000_000,
            held={"m": set()},
            running=0,
            queued=0,
            loading={},
            entries=1,
            backlog_ms=0,
            use=0.0,
            server_id=self._server_id,
            active=set(),
        )
        return web.Response(body=wire.encode(report))

    async def _admit(self, request: web.Request) -> web.Response:
        self.asked.set()
        await self.released.wait()
        reply = ttypes.AdmitResult(ttypes.Admission.GRANTED, 0)
        return web.Response(body=wire.encode(reply))

    async def _progress(self, request: web.Request) -> web.Response:
        return web.Response()


class PlatformEntry:
    """The entry role, whose configuration and servers the test changes."""

    def __init__(
        self, folder: Path, *, is_first_start: bool = True, **changes: Any
    ) -> None:
        self.is_first_start = is_first_start
        self.host = "127.0.0.1"
        self.seeds: list[str] = []
        self.store = StoreStandIn()
        self.configuration = plain_configuration()
        self.port, self.ready_port, self.internal_port = (
            unused_port() for _ in range(3)
        )
        self.limits: dict[str, Any] = {}  # of the machine, in the settings
        self.log_path: Path | None = None  # of a process; None for no logs
        self._folder = folder
        self._changes = changes
        self._task: asyncio.Task[None] | None = None

    def settings(self, **changes: Any) -> dict[str, Any]:
        bounds = {**settings()["bounds"], "drain-ms": 250, "grace-s": 2.5}
        return settings(
            listen={
                "front": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            ip=self.host,
            **{"internal-port-range": [self.internal_port, self.internal_port]},
            seeds=self.seeds,
            platform={"address": self.store.address},
            bootstrap=self.is_first_start,
            bounds={**bounds, **changes},
            **({"limits": self.limits} if self.limits else {}),
        )

    async def _prepare(self, servers: Sequence[ScriptedServer]) -> Path:
        """Fill the store and return the path of the settings."""
        await self.store.start()
        self.store.put(OPERATOR_TOPIC, CATALOG_KEY, self.configuration)
        self.store.records.setdefault(SERVERS_TOPIC, [])
        for server in servers:
            self.put_server(server)
        return write_settings(self._folder, self.settings(**self._changes))

    async def start_process(self, *servers: ScriptedServer) -> subprocess.Popen[bytes]:
        """Run the entry as a process, which the caller ends."""
        path = await self._prepare(servers)
        process = _start_process(path, self.log_path)
        try:
            await self._wait_until_ready()
        except TimeoutError:
            process.kill()
            raise
        return process

    async def _wait_until_ready(self) -> None:
        url = f"http://127.0.0.1:{self.ready_port}{READINESS_PATH}"
        async with (
            TIMERS.timeout_ms(WAIT_TIMEOUT_MS),
            aiohttp.ClientSession() as session,
        ):
            while True:
                with suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await TIMERS.sleep_ms(20)

    async def start(self, *servers: ScriptedServer) -> None:
        path = await self._prepare(servers)
        cfg = load_settings(path)
        assert isinstance(cfg, PlatformSettings)
        self.role = EntryRole(SettingsFile(path, cfg))
        self._task = asyncio.create_task(self.role.run())
        await until(
            lambda: self._task.done() or hasattr(self.role, "_process"), self._task
        )
        process = self.role._process
        await until(lambda: process.is_ready, self._task)
        await until(lambda: all(process.servers.find(s.id) for s in servers))

    async def close(self) -> None:
        if not self.has_ended:
            # The drain is not what the test is about.
            self.role.cfg = self.role.cfg._replace(grace_ms=0)
            self.leave()
            await self._task
        await self.store.close()

    def put_server(self, server: ScriptedServer, **changes: Any) -> None:
        fields = server_entry(address=server.address, models=[], **changes)
        self.store.put(SERVERS_TOPIC, server.id, fields)

    def put_engine(self, server: ScriptedServer) -> None:
        models = [{"name": "m", "version": 1, "adapters": []}]
        fields = server_entry(address=server.address, service="e", models=models)
        self.store.put(SERVERS_TOPIC, server.id, fields)

    def remove_server(self, server: ScriptedServer) -> None:
        self.store.put(SERVERS_TOPIC, server.id, b"")

    async def publish(self, **limits: Any) -> None:
        """Publish the configuration and wait until it is in force."""
        self.configuration["version"] += 1
        self.configuration["limits"].update(
            {name.replace("_", "-"): value for name, value in limits.items()}
        )
        self.store.put(
            OPERATOR_TOPIC, CATALOG_KEY, json.dumps(self.configuration).encode()
        )
        version = self.configuration["version"]
        await until(lambda: self.role.catalog.catalog.version == version)

    def change_routes(self, **changes: Any) -> None:
        for route in self.configuration["routes"]:
            route.update(
                {name.replace("_", "-"): value for name, value in changes.items()}
            )

    def write_settings(self, **changes: Any) -> None:
        write_settings(self._folder, self.settings(**changes))

    def leave(self) -> None:
        """Do what SIGTERM does."""
        self.role.shutdown.request()

    @property
    def has_ended(self) -> bool:
        return self._task is None or self._task.done()


def unused_port() -> int:
    """Return a port below those that the system gives to other sockets."""
    while True:
        port = next(_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def _start_process(path: Path, log_path: Path | None) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "copperrun.platform", "entry"]
    env = {**os.environ, "COPPERRUN_BOOT": str(path)}
    with open(log_path or os.devnull, "wb") as output:
        return subprocess.Popen(command, env=env, stdout=output)


async def until(condition: Callable[[], object], work: Any = None) -> None:
    """Wait for a condition; raise the failure of ``work``."""
    async with TIMERS.timeout_ms(WAIT_TIMEOUT_MS):
        while not condition():
            if work is not None and work.done():
                work.result()
                raise AssertionError("the entry ended")
            await TIMERS.sleep_ms(5)


@asynccontextmanager
async def running_entry_role(
    folder: Path,
    *servers: ScriptedServer,
    limits: dict[str, int] | None = None,
    is_first_start: bool = True,
    **changes: Any,
) -> AsyncIterator[PlatformEntry]:
    """Run an entry whose settings' bounds have ``changes``."""
    entry = PlatformEntry(folder, is_first_start=is_first_start, **changes)
    entry.configuration["limits"] = limits or {}
    for server in servers:
        await server.start()
    async with running(entry, *servers):
        yield entry


@asynccontextmanager
async def running(
    entry: PlatformEntry, *servers: ScriptedServer
) -> AsyncIterator[PlatformEntry]:
    """Run an entry before servers that run."""
    try:
        await entry.start(*servers)
        yield entry
    finally:
        for server in servers:
            if isinstance(server, PausingServer):
                server.released.set()
        await entry.close()
        for server in servers:
            await server.close()
