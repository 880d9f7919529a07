"""Runs an installation as separate processes, for acceptance tests and benchmarks."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from copperrun.adapters.timers import SystemTimers
from copperrun.entry.authentication import create_key
from copperrun.entry.authentication import hash_key

SHARED_KEY = "a-shared-key-for-tests"
WAIT_TIMEOUT_MS = 30_000
POLL_MS = 20
TIMERS = SystemTimers()
BIN = Path(sys.executable).parent


def free_ports(count: int) -> list[int]:
    """Return ports that were free when checked."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Cluster:
    """Processes of one installation; every one is killed on context exit."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.keys: dict[str, str] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._ports: dict[str, int] = {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Cluster:
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()
        await self.session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        assert self._session is not None
        return self._session

    def url(self, name: str) -> str:
        """Return the base URL of a process; callers use it for entries."""
        return f"http://127.0.0.1:{self._ports[name]}"

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    async def start_platform(self, **options: Any) -> None:
        await self._start_stand_in("platform", "platform", **options)

    async def start_engine(self, name: str, **options: Any) -> None:
        await self._start_stand_in(
            name, "engine", store=self.url("platform"), **options
        )

    async def start_service(self, name: str) -> None:
        await self._start_stand_in(name, "service")

    async def start_side(self, name: str, pool: str, kind: str, backend: str) -> None:
        (port,) = free_ports(1)
        settings = self._settings("side", name) | {
            "internal": {"host": "127.0.0.1", "port": port},
            "backend": {"kind": kind, "url": self.url(backend), "pool": pool},
        }
        self._ports[name] = port
        self._run_daemon(name, settings)
        await self._register(name, port, "side", pool)

    async def start_entry(self, name: str, **settings: Any) -> None:
        public, internal = free_ports(2)
        self._ports[name] = public
        self._ports[f"{name}/internal"] = internal
        settings = self._settings("entry", name) | {
            "public": {"host": "127.0.0.1", "port": public},
            "internal": {"host": "127.0.0.1", "port": internal},
            "leave_delay": "1 s",
            **settings,
        }
        self._run_daemon(name, settings)
        await self._register(name, internal, "entry", "")

    async def publish(self, configuration: dict[str, Any]) -> None:
        """Create a key for every caller and publish with ``copperrunctl``."""
        for name, caller in configuration["callers"].items():
            self.keys[name] = create_key(name)
            caller["key_hashes"] = [hash_key(self.keys[name])]
        path = self._write("configuration", configuration)
        result = await self.run_tool("publish", str(path))
        assert result.returncode == 0, result.stderr

    async def run_tool(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``copperrunctl`` and return its exit code and output."""
        settings = self._write(
            "copperrunctl",
            {
                "operator": "test",
                "shared_keys": [SHARED_KEY],
                "platform": self._platform(),
            },
        )
        command = [str(BIN / "copperrunctl"), f"--settings={settings}", *arguments]
        return await asyncio.to_thread(
            subprocess.run, command, capture_output=True, text=True, check=False
        )

    async def run_daemon_once(self, path: Path) -> subprocess.CompletedProcess[str]:
        """Run ``copperrund`` with settings that it must reject."""
        command = [str(BIN / "copperrund"), f"--settings={path}"]
        return await asyncio.to_thread(
            subprocess.run, command, capture_output=True, text=True, check=False
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    async def wait_for_exit(self, name: str) -> int:
        return await asyncio.to_thread(
            self._processes[name].wait, WAIT_TIMEOUT_MS / 1000
        )

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Return the parsed log lines of a process."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def ready_entries(self, names: Sequence[str]) -> list[str]:
        """Return the entries to which a load balancer would send now."""
        ready = []
        for name in names:
            try:
                async with self.session.get(f"{self.url(name)}/readyz") as response:
                    if response.status == 200:
                        ready.append(name)
            except aiohttp.ClientError:
                continue
        return ready

    async def wait_for_model(self, caller: str, deployment: str, entry: str) -> None:
        """Wait until an entry answers a completion of a deployment."""
        body = {"model": deployment, "prompt": "ready?", "max_tokens": 1}
        headers = {"Authorization": f"Bearer {self.keys[caller]}"}
        await self._wait_until_ok(
            "POST", f"{self.url(entry)}/v1/completions", headers=headers, json=body
        )

    async def wait_for_path(self, caller: str, entry: str, path: str) -> None:
        """Wait until an entry answers a ``GET``."""
        headers = {"Authorization": f"Bearer {self.keys[caller]}"}
        await self._wait_until_ok("GET", self.url(entry) + path, headers=headers)

    async def get_json(self, url: str) -> Any:
        async with self.session.get(url) as response:
            return await response.json()

    async def set_fault(self, url: str, **faults: Any) -> None:
        async with self.session.post(url, json=faults) as response:
            assert response.status == 200, await response.text()

    async def _start_stand_in(self, name: str, kind: str, **options: Any) -> None:
        (port,) = free_ports(1)
        self._ports[name] = port
        flags = [f"--{key}={value}" for key, value in options.items()]
        module = [sys.executable, "-m", "copperrun.embedded"]
        self._run(name, [*module, f"--kind={kind}", f"--port={port}", *flags])
        path = {"platform": "/instances", "engine": "/state", "service": "/executions"}
        await self._wait_until_ok("GET", self.url(name) + path[kind])

    def _settings(self, role: str, name: str) -> dict[str, Any]:
        return {
            "role": role,
            "instance": name,
            "zone": "zagreb-a1",
            "region": "zagreb-a",
            "shared_keys": [SHARED_KEY],
            "platform": self._platform(),
        }

    def _platform(self) -> dict[str, str]:
        url = self.url("platform")
        return {"log": url, "instances": url, "weights": url}

    def _run_daemon(self, name: str, settings: dict[str, Any]) -> None:
        path = self._write(name, settings)
        self._run(name, [str(BIN / "copperrund"), f"--settings={path}"])

    def _run(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def _write(self, name: str, value: Any) -> Path:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(value))
        return path

    async def _register(self, name: str, port: int, role: str, pool: str) -> None:
        instance = {
            "id": name,
            "address": f"127.0.0.1:{port}",
            "zone": "zagreb-a1",
            "region": "zagreb-a",
            "role": role,
            "pool": pool,
        }
        url = f"{self.url('platform')}/instances/{name}"
        async with self.session.put(url, json=instance) as response:
            assert response.status == 200

    async def _wait_until_ok(self, method: str, url: str, **request: Any) -> None:
        deadline_ms = TIMERS.now_ms() + WAIT_TIMEOUT_MS
        last_response = "no answer"
        while TIMERS.now_ms() < deadline_ms:
            try:
                async with self.session.request(method, url, **request) as response:
                    if response.status == 200:
                        return
                    last_response = await response.text()
            except aiohttp.ClientError as exc:
                last_response = repr(exc)
            await TIMERS.sleep_ms(POLL_MS)
        raise AssertionError(f"{url} is not ready: {last_response}")
