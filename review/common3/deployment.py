"""A small deployment: the project's processes, with stand-ins for all else.

Entries and sides are separate processes, started with the commands of the deploy file.
The store, the servers and the callers are stand-ins within the process of the script.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from typing import NamedTuple
from typing import TextIO

import aiohttp
import platform_engine
import yaml
from platform_engine import PlatformEngine
from platform_standins import StoreStandIn
from soak_proxy import Proxy

from copperrun.adapters.timers import SystemTimers

TIMERS = SystemTimers()
ROOT = Path(__file__).resolve().parents[2]
# Of the loopback network; scripts may run side by side.
HOST_PREFIX = f"127.1.{os.getpid() % 250}."
STABILITY_WINDOW_MS = 4_000
RESTART_DELAY_MS = 1_000
CHECK_IN_MS = 1_200  # between two entries of a server in the store
LAPSE_MS = 3 * CHECK_IN_MS  # of silence, after which the store drops its entry
START_TIMEOUT_MS = 30_000
ENTRY_MEMORY_MB = 300
SIDE_MEMORY_MB = 232
KEPT, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
MODELS = ("m1", "m2", "m3")


class Answer(NamedTuple):
    """What a caller got.

    Attributes:
        status: Status, or 0 when the channel ended without one.
        headers: Headers of the answer.
        body: The body, as far as it has arrived.
        is_whole: Whether the body has ended as the protocol says.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_whole: bool


class Instance:
    """A process of the project on its own loopback address."""

    def __init__(self, folder: Path, role: str, host: str, settings: dict) -> None:
        self.role = role
        self.host = host
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None
        self.ended_by_itself = 0
        self._path = folder / f"{role}-{host}.yaml"
        self.log = folder / f"{role}-{host}.log"

    @property
    def front(self) -> str:
        """Address for callers."""
        return str(self.settings["listen"]["front"])

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._path.write_text(yaml.safe_dump(self.settings))
        # It is true only when the whole system starts for the first time.
        self.settings["bootstrap"] = False
        command = ["python3", "-m", "copperrun.platform", self.role]
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        env |= {"COPPERRUN_BOOT": str(self._path), "PYTHONPATH": "target/deps"}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, env=env, cwd=ROOT
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def rss_mb(self) -> float:
        """Return the memory of the process."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def log_records(self) -> list[dict[str, Any]]:
        """Return the structured lines of the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Deployment:
    """A store, servers, entries and sides.

    Args:
        folder: For settings and logs.
        record: Told what was sent, answered and run.
        entries: Number of entries.
        engines: Number of engines, each with a side.
        services: Number of plain servers.
    """

    engine_class: type[PlatformEngine] = PlatformEngine

    def __init__(
        self,
        folder: Path,
        record: TextIO,
        *,
        entries: int = 3,
        engines: int = 3,
        services: int = 2,
    ) -> None:
        self.store = StoreStandIn()
        self.store.era = 1
        self.instances: list[Instance] = []
        self.backends: list[PlatformEngine] = []
        # Each server is reached through a proxy, so that its address stays.
        self._proxies: dict[PlatformEngine, Proxy] = {}
        self._silent: set[PlatformEngine] = set()
        self.configuration = configuration()
        self._folder = folder
        self._record = record
        self._counts = entries, engines, services
        self._ports = _free_ports(4)
        self._started_ms = TIMERS.now_ms()

    @property
    def entries(self) -> list[Instance]:
        """The entries."""
        return [item for item in self.instances if item.role == "entry"]

    @property
    def sides(self) -> list[Instance]:
        """The sides."""
        return [item for item in self.instances if item.role == "side"]

    @property
    def engines(self) -> list[PlatformEngine]:
        """The engines."""
        return [item for item in self.backends if item.max_models]

    def note(self, text: str) -> None:
        """Write a line to the record."""
        at_s = (TIMERS.now_ms() - self._started_ms) / 1000
        self._record.write(f"{at_s:8.3f} {text}\n")
        self._record.flush()

    async def start(self) -> None:
        """Start all and wait until each entry serves each kind of request."""
        entries, engines, services = self._counts
        await self.store.start()
        for number in range(engines + services):
            is_engine = number < engines
            host = f"{HOST_PREFIX}{10 + number}"
            backend = self.engine_class(f"i-{number}", 2 if is_engine else 0)
            self.prepare(backend)
            await backend.start(host)
            self.backends.append(backend)
            proxy = self._proxies[backend] = Proxy((host, backend.port))
            await proxy.start(host)
            if is_engine:
                extra = {"app": proxy.address, "service": "llm"}
                self._add("side", host, SIDE_MEMORY_MB, extra)
        for number in range(entries):
            host = f"{HOST_PREFIX}{100 + number}"
            self._add("entry", host, ENTRY_MEMORY_MB, {})
        self.write_registry()
        self.store.put("keyed.op", "config", self.configuration)
        for instance in self.instances:
            instance.start()
        for instance in self.entries:
            await self.wait_until_served(instance)
        self.note("all entries serve")

    def prepare(self, backend: PlatformEngine) -> None:
        """Set how a server behaves; a hook for cases."""

    def write_registry(self) -> None:
        """Let each server write its entry."""
        for backend in self.backends:
            if backend in self._silent:
                continue
            pool = "llm" if backend.max_models else "pay"
            entry = backend.registry_entry(pool, self._proxies[backend].address, "z")
            self.store.put("keyed.servers", backend.id, entry)

    async def keep_registry(self) -> None:
        """Write the servers' entries at each check-in, until cancelled."""
        while True:
            await TIMERS.sleep_ms(CHECK_IN_MS)
            self.write_registry()

    async def cut_power(self, backend: PlatformEngine) -> None:
        """End a server at once, without a word to the store."""
        self._silent.add(backend)
        self._proxies[backend].refuse()
        await backend.close()

    async def restore_power(self, backend: PlatformEngine) -> None:
        """Start a server again, empty and under another id."""
        former, proxy = backend.id, self._proxies[backend]
        host, _, port = proxy.address.rpartition(":")
        backend.begin_again(f"{former}-again")
        await backend.start(host)
        proxy.target = (host, backend.port)
        await proxy.start(host, int(port))
        self._silent.discard(backend)
        self.write_registry()
        loop = asyncio.get_running_loop()
        loop.call_later(LAPSE_MS / 1000, self.store.put, "keyed.servers", former, b"")

    async def wait_until_served(self, instance: Instance) -> None:
        """Wait until an entry serves a plain request and one for each model.

        Raises:
            RuntimeError: It does not.
        """
        end_ms = TIMERS.now_ms() + START_TIMEOUT_MS
        pending = ["", *MODELS]
        number = 0
        while pending:
            number += 1
            request_id = f"start-{instance.host}-{number}"
            answer = await self.send(instance, request_id, pending[0])
            if answer.status == 200 and answer.is_whole:
                pending.pop(0)
                continue
            if TIMERS.now_ms() > end_ms:
                raise RuntimeError(f"{instance.host} does not serve {pending[0]!r}")
            await TIMERS.sleep_ms(100)

    async def send(
        self,
        instance: Instance,
        request_id: str,
        model: str = "",
        *,
        path: str = "",
        deadline_ms: int = 20_000,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"x",
    ) -> Answer:
        """Send one request over a channel of its own."""
        sent = {
            "Host": "h",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        if model:
            sent |= {"Model": model, "Token-Usage": "100,80"}
            sent["Prompt-Prefix"] = f"f1:40,{abs(hash(request_id)):x}:60"
        sent |= headers or {}
        path = path or ("/crew/x" if model else "/safe/x")
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1)
        data = b""
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    f"http://{instance.front}{path}", headers=sent, data=body
                ) as response,
            ):
                try:
                    async for chunk in response.content.iter_any():
                        data += chunk
                except (TimeoutError, aiohttp.ClientError, OSError):
                    return Answer(response.status, response.headers, data, False)
                return Answer(response.status, response.headers, data, True)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Answer(0, {}, b"", False)

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
            if instance.process is not None:
                instance.process.wait()
        for item in (*self._proxies.values(), *self.backends, self.store):
            await item.close()

    def _add(self, role: str, host: str, memory_mb: int, extra: dict) -> None:
        front, ready, control, internal = self._ports
        entries, _, _ = self._counts
        listen = {
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "control": f"{host}:{control}",
        }
        settings = {
            "node-name": f"{role}-{host}",
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "ip": host,
            "listen": listen if role == "entry" else {},
            "internal-port-range": [internal, internal + 1],
            "seeds": [
                f"{HOST_PREFIX}{100 + number}:{control}"
                for number in range(min(entries, 3))
            ],
            "platform": {"address": self.store.address},
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.817,
                "cores": 1,
                "memory-mb": memory_mb,
                "file-descriptors": 4_100,
            },
            "bounds": {
                "grace-s": 8,
                "drain-ms": 2_500,
                "config-apply-ms": 2_500,
                "budget-ratio": 0.2,
                "budget-slack": 58,
                "budget-window-s": 10,
                "ceiling-window-s": 5,
                "ceiling-overage": 1.1,
            },
            **extra,
        }
        self.instances.append(Instance(self._folder, role, host, settings))


def configuration() -> dict[str, Any]:
    """Return a configuration with the figures of the first site's sheet."""

    def route(name: str, kind: str, service: str, **extra: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": "h",
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 3_000,
            "target-latency-ms": 225,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            **extra,
        }

    models = [
        {
            "name": name,
            "weights-mb": 34_300.0,
            "load-time-s": 0.1,
            "adapters": 20,
            "adapter-mb": 40.0,
        }
        for name in MODELS
    ]
    engine = {
        "slots": 128,
        "kv-cache-tokens": 157_677,
        "stride": 2,
        "weights-mb": 83_000.0,
        "max-adapters": 8,
        "loads-per-s": 1.8,
        "models": models,
    }

    def stream(name: str, target_ms: int, budget_ms: int) -> dict[str, Any]:
        fields = route(name, "streaming", "llm", resumable=True)
        return fields | {
            "timeout-ms": budget_ms,
            "target-latency-ms": target_ms,
            "target-gap-ms": 300,
        }

    return {
        "version": 1,
        "routes": [
            route("safe", "safe", "pay"),
            route("unsafe", "unsafe", "pay"),
            stream("lead", 1_200, 15_000),
            stream("crew", 4_000, 20_000),
            stream("draft", 1_000, 10_000),
        ],
        "services": [
            {"name": "pay", "max-connections": 110, "health-check-path": "/health"},
            {"name": "llm", "max-connections": 630, "engine": engine},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


def set_event_interval(interval_ms: int) -> None:
    """Set the time between two events of each engine's streams."""
    platform_engine.EVENT_INTERVAL_MS = interval_ms


def set_load_time(dep: Deployment, load_ms: int) -> None:
    """Set how long an engine takes to load a model."""
    platform_engine.LOAD_MS = load_ms
    for service in dep.configuration["services"]:
        for model in service.get("engine", {}).get("models", ()):
            model["load-time-s"] = load_ms / 1000


def has_trouble() -> bool:
    """Return whether the case has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(case: Any, record: TextIO) -> int:
    with tempfile.TemporaryDirectory(prefix="copperrun-review-") as folder:
        deployment = case.build(Path(folder), record)
        try:
            try:
                await deployment.start()
            except (RuntimeError, OSError) as exc:
                deployment.note(f"the case could not run: {exc}")
                return NOT_RUN
            return int(await case.play(deployment))
        finally:
            await deployment.close()
            _keep_logs(Path(folder))


def _keep_logs(folder: Path) -> None:
    """Copy the processes' settings and logs where ``KEEP_LOGS`` says, if it does."""
    if target := os.environ.get("KEEP_LOGS"):
        shutil.copytree(folder, target, dirs_exist_ok=True)


def main(case: Any, folder: Path) -> None:
    """Run a case, which has ``build`` and ``play``, and exit with its result."""
    with (folder / "record.txt").open("w") as record:
        code = asyncio.run(_run(case, record))
        record.write(f"exit {code}\n")
    sys.exit(code)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
