"""Randomized soak: real entries and sides, injected faults, checked promises.

Run ``python testing/soak.py --seed=1 --seeds=50 --seconds=8``. Only processes that the
soak started are signalled, by their ids.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import yaml
from absl import app
from absl import flags
from cluster import free_ports
from platform_engine import EVENTS_PER_STREAM
from platform_engine import PlatformEngine
from platform_engine import event
from platform_standins import StoreStandIn
from soak_proxy import Fault
from soak_proxy import Proxy

from copperrun.adapters.timers import SystemTimers

_SEED = flags.DEFINE_integer("seed", 1, "First seed.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "How many seeds to run.")
_SECONDS = flags.DEFINE_float("seconds", 8.0, "Length of each run with faults.")
_FALL_BACKS = flags.DEFINE_bool(
    "fall_backs", False, "Let the store also come back from older copies."
)

_BAD_PART = flags.DEFINE_bool(
    "bad_part",
    False,
    "Send streams with a prompt part and a plain request that end servers, too.",
)

TIMERS = SystemTimers()
BAD_PART = "bad"
BAD_BODY = b"ends servers"
STABILITY_WINDOW_MS = 4_000
# Sends that the platform allows later than that window after so many servers ended.
MAX_LATE_REQUESTS = 3
CRASHES_TO_TELL = {"llm": 5, "pay": 3}
ENTRIES, ENGINES, SERVICES, CLIENTS = 2, 2, 2, 6
MODELS = ("m1", "m2", "m3")
START_TIMEOUT_MS = 20_000
RECOVERY_TIMEOUT_MS = 12_000  # the platform's bound once all machines are back
GRACE_S = 8
MAX_PAUSE_MS = 2_500
STARTED_LINE = b'{"message": "soak starts the process"}\n'
HOST_PREFIX = "127.0.7."


class InstanceProcess:
    """An entry or side process on its own loopback address."""

    def __init__(self, folder: Path, role: str, host: str, settings: dict) -> None:
        self.role = role
        self.host = host
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None
        self._path = folder / f"{role}-{host}.yaml"
        self._log = folder / f"{role}-{host}.log"
        self._path.write_text(yaml.safe_dump(settings))

    def forget_first_start(self) -> None:
        """Say in the settings that the whole system has started before."""
        self.settings["bootstrap"] = False
        self._path.write_text(yaml.safe_dump(self.settings))

    def start(self) -> None:
        command = [sys.executable, "-m", "copperrun.platform", self.role]
        env = {**os.environ, "COPPERRUN_BOOT": str(self._path)}
        with self._log.open("ab") as log:
            log.write(STARTED_LINE)
            log.flush()
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env=env)

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def restart_after_exit(self) -> None:
        """Wait for the process to exit and start it again, once for each exit."""
        process = self.process
        assert process is not None
        await asyncio.to_thread(process.wait)
        # Faults overlap: another one may have restarted it already.
        if self.process is process:
            self.start()

    def describe_state(self) -> str:
        """Return the exit code, if it has exited, and the last line of the log."""
        code = self.process.poll() if self.process is not None else None
        lines = self._log.read_text().splitlines() if self._log.exists() else []
        return f"exit code {code}, {''.join(lines[-1:])[-300:]}"

    def log_records(self) -> list[dict[str, Any]]:
        """Return the records of the log, of all starts."""
        lines = self._log.read_text().splitlines() if self._log.exists() else []
        return [json.loads(line) for line in lines if line.startswith("{")]

    def first_traceback(self) -> str:
        """Return the end of the first traceback in the log, or an empty string."""
        lines = self._log.read_text().splitlines()
        for at, line in enumerate(lines):
            if "Traceback" in line:
                # A JSON line holds all of it; a plain traceback spans lines.
                return (
                    line[-400:] if line.startswith("{") else _join_traceback(lines[at:])
                )
        return ""


def _join_traceback(lines: list[str]) -> str:
    """Return the frames and the error of a traceback outside the JSON lines."""
    plain_lines = [line.strip() for line in lines if not line.startswith("{")]
    return " | ".join(plain_lines[:40])[-1_500:]


class Soak:
    """One run of one seed.

    Attributes:
        entries: Number of entries.
        engines: Number of engines, each with a side.
    """

    entries, engines = ENTRIES, ENGINES
    _is_first_start = False  # as the settings say, also at each restart

    def __init__(
        self, seed: int, folder: Path, *, fall_backs: bool, bad_part: bool
    ) -> None:
        self.violations: list[str] = []
        self._faults = [self._kill, self._pause, self._terminate, self._reload]
        self._faults += [self._break_link] * 3
        self._faults += [self._interrupt_store, self._change_configuration]
        if fall_backs:
            self._faults += [self._fall_back, self._change_configuration]
        self.outcomes: dict[str, int] = {}
        self._random = Random(seed)
        self._folder = folder
        self._store = StoreStandIn()
        self._store.era = 1
        self._configuration = _configuration()
        self._backends: list[PlatformEngine] = []
        self._registry: dict[str, tuple[PlatformEngine, str, str]] = {}
        self._proxies: list[Proxy] = []
        self._instances: list[InstanceProcess] = []
        self._refused_ids: set[str] = set()
        self._unsafe_ids: set[str] = set()
        self._request_count = 0
        self._stopping = False
        self._has_bad_part = bad_part
        self._crashes_ms: dict[str, list[int]] = {"llm": [], "pay": []}
        self._restarts: dict[PlatformEngine, asyncio.Task[None]] = {}

    async def run(self, seconds: float) -> list[str]:
        """Run the soak and return the violated promises."""
        try:
            try:
                await self._start()
            except AssertionError as exc:
                return [
                    f"not serving after the start: {exc}",
                    *self._describe_instances(),
                ]
            clients = [asyncio.create_task(self._run_client(n)) for n in range(CLIENTS)]
            if self._has_bad_part:
                clients.append(asyncio.create_task(self._run_bad_client()))
                clients.append(asyncio.create_task(self._run_bad_plain_client()))
            await self._inject_faults(seconds)
            await self._clear_faults()
            await self._check_recovery()
            if self._has_bad_part:
                await self._check_quarantine()
            self._stopping = True
            await asyncio.gather(*clients)
            self._check_runs()
            self._check_logs()
        finally:
            for instance in self._instances:
                instance.send_signal(signal.SIGCONT)
                instance.send_signal(signal.SIGKILL)
                if instance.process is not None:
                    instance.process.wait()
            for item in (*self._proxies, *self._backends, self._store):
                await item.close()
        for instance in self._instances:
            if instance.first_traceback():
                self.violations.append(
                    f"{instance.role} {instance.host}: {instance.first_traceback()}"
                )
        return self.violations

    def _describe_instances(self) -> list[str]:
        """Return the state of each process, with the last line of its log."""
        return [
            f"{instance.role} {instance.host}: {instance.describe_state()}"
            for instance in self._instances
        ]

    async def _start(self) -> None:
        await self._store.start()
        store = await self._start_proxy(
            ("127.0.0.1", int(self._store.address.split(":")[1]))
        )
        ports = free_ports(4)
        engines = [f"{HOST_PREFIX}{10 + n}" for n in range(self.engines)]
        services = [f"{HOST_PREFIX}{50 + n}" for n in range(SERVICES)]
        for host in (*engines, *services):
            is_engine = host in engines
            backend = PlatformEngine(f"i-{host}", max_models=2 if is_engine else 0)
            self._prepare_backend(backend)
            await backend.start(host)
            proxy = await self._start_proxy((host, backend.port), host)
            self._backends.append(backend)
            pool = "llm" if is_engine else "pay"
            self._registry[backend.id] = (backend, pool, proxy.address)
            backend.on_crash = partial(self._crash, backend, proxy, host)
            backend.crash_part, backend.crash_body = BAD_PART, BAD_BODY
            if is_engine:
                extra = {"app": proxy.address, "service": "llm"}
                self._add_instance("side", host, store.address, ports, extra)
        self._write_registry()
        self._write_configuration()
        for number in range(self.entries):
            host = f"{HOST_PREFIX}{100 + number}"
            self._add_instance("entry", host, store.address, ports, {})
        for instance in self._instances:
            instance.start()
        for instance in self._entries():
            await self._wait_until_served(instance, START_TIMEOUT_MS)

    def _prepare_backend(self, backend: PlatformEngine) -> None:
        """Set how a backend serves; a hook for other soaks."""

    def _identify(self, request_id: str) -> dict[str, str]:
        """Return headers that tell who sends a request; a hook for other soaks."""
        return {}

    def _write_registry(self) -> None:
        for backend, pool, address in self._registry.values():
            entry = backend.registry_entry(pool, address, "z")
            self._store.put("keyed.servers", backend.id, entry)

    def _bounds(self) -> dict[str, float]:
        """Return further bounds for the settings; a hook for other soaks."""
        return {}

    def _write_configuration(self) -> None:
        self._store.put("keyed.op", "config", self._configuration)

    def _add_instance(
        self, role: str, host: str, store: str, ports: list[int], extra: dict
    ) -> None:
        front, ready, control, internal = ports
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
            "seeds": [f"{HOST_PREFIX}{100 + n}:{control}" for n in range(self.entries)],
            "platform": {"address": store},
            "bootstrap": self._is_first_start,
            "bounds": {
                "grace-s": GRACE_S,
                "drain-ms": 2_500,
                "config-apply-ms": 2_500,
                "budget-ratio": 0.2,
                "budget-slack": 58,
                "budget-window-s": 10,
                "ceiling-window-s": 5,
                "ceiling-overage": 1.1,
                **self._bounds(),
            },
            **extra,
        }
        self._instances.append(InstanceProcess(self._folder, role, host, settings))

    async def _start_proxy(
        self, target: tuple[str, int], host: str = "127.0.0.1"
    ) -> Proxy:
        proxy = Proxy(target)
        await proxy.start(host)
        self._proxies.append(proxy)
        return proxy

    def _entries(self) -> list[InstanceProcess]:
        return [instance for instance in self._instances if instance.role == "entry"]

    async def _inject_faults(self, seconds: float) -> None:
        """Start faults at random times, one after another and overlapping."""
        end_ms = TIMERS.now_ms() + int(seconds * 1000)
        running: set[asyncio.Task[None]] = set()
        while TIMERS.now_ms() < end_ms:
            await TIMERS.sleep_ms(self._random.uniform(100, 900))
            fault = self._random.choice(self._faults)
            running.add(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    def _choose_instance(self) -> InstanceProcess:
        return self._random.choice(self._instances)

    async def _kill(self) -> None:
        instance = self._choose_instance()
        instance.send_signal(signal.SIGKILL)
        await instance.restart_after_exit()

    async def _pause(self) -> None:
        instance = self._choose_instance()
        instance.send_signal(signal.SIGSTOP)
        await TIMERS.sleep_ms(self._random.uniform(200, MAX_PAUSE_MS))
        instance.send_signal(signal.SIGCONT)

    async def _terminate(self) -> None:
        instance = self._choose_instance()
        instance.send_signal(signal.SIGTERM)
        started_ms = TIMERS.now_ms()
        await instance.restart_after_exit()
        if TIMERS.now_ms() - started_ms > GRACE_S * 1000 + MAX_PAUSE_MS:
            self.violations.append(f"{instance.host} exited after its grace period")

    async def _reload(self) -> None:
        self._choose_instance().send_signal(signal.SIGHUP)

    async def _break_link(self) -> None:
        proxy = self._random.choice(self._proxies)
        proxy.set_fault(self._random.choice(list(Fault)))
        await TIMERS.sleep_ms(self._random.uniform(200, 2_500))
        proxy.set_fault(Fault.NONE)

    async def _interrupt_store(self) -> None:
        self._store.is_down = True
        await TIMERS.sleep_ms(self._random.uniform(500, 3_000))
        self._store.is_down = False

    async def _change_configuration(self) -> None:
        self._configuration = _configuration()
        self._write_configuration()

    async def _fall_back(self) -> None:
        """Let the store come back from a copy; its writers then write again."""
        ends = {topic: len(items) for topic, items in self._store.records.items()}
        await TIMERS.sleep_ms(self._random.uniform(500, 3_000))
        self._store.fall_back(ends)
        await TIMERS.sleep_ms(self._random.uniform(100, 1_500))
        self._write_configuration()
        self._write_registry()

    async def _clear_faults(self) -> None:
        self._store.is_down = False
        for proxy in self._proxies:
            proxy.set_fault(Fault.NONE)
        for instance in self._instances:
            instance.send_signal(signal.SIGCONT)
            if instance.process is None or instance.process.poll() is not None:
                instance.start()

    async def _check_recovery(self) -> None:
        for instance in self._entries():
            try:
                await self._wait_until_served(instance, RECOVERY_TIMEOUT_MS)
            except AssertionError as exc:
                self.violations.append(f"not serving after recovery: {exc}")

    async def _wait_until_served(
        self, instance: InstanceProcess, timeout_ms: int
    ) -> None:
        """Wait until an entry answers a plain request and one for each model."""
        end_ms = TIMERS.now_ms() + timeout_ms
        pending_models = ["", *MODELS]
        async with aiohttp.ClientSession() as session:
            while pending_models:
                outcome = await self._send(session, instance, "safe", pending_models[0])
                if outcome == "answered":
                    pending_models.pop(0)
                    continue
                if TIMERS.now_ms() > end_ms:
                    raise AssertionError(
                        f"{instance.host} {pending_models[0]!r}: {outcome}"
                    )
                await TIMERS.sleep_ms(50)

    async def _run_client(self, number: int) -> None:
        """Send requests over persistent connections until the run ends."""
        random = Random(self._random.random() + number)
        async with aiohttp.ClientSession() as session:
            while not self._stopping:
                instance = random.choice(self._entries())
                kind = random.choice(["safe", "unsafe", "stream"])
                model = random.choice(MODELS) if kind == "stream" else ""
                outcome = await self._send(session, instance, kind, model)
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
                await TIMERS.sleep_ms(random.uniform(5, 60))

    async def _run_bad_client(self) -> None:
        """Send streams with the bad part to all entries until the run ends."""
        async with aiohttp.ClientSession() as session:
            while not self._stopping:
                instance = self._random.choice(self._entries())
                model = self._random.choice(MODELS)
                await self._send(session, instance, "bad", model, subject=BAD_PART)
                await TIMERS.sleep_ms(self._random.uniform(100, 400))

    async def _run_bad_plain_client(self) -> None:
        """Send the same bad request to all entries until the run ends."""
        async with aiohttp.ClientSession() as session:
            while not self._stopping:
                instance = self._random.choice(self._entries())
                await self._send(session, instance, "safe", "", body=BAD_BODY)
                await TIMERS.sleep_ms(self._random.uniform(100, 400))

    def _crash(self, backend: PlatformEngine, proxy: Proxy, host: str) -> None:
        """End a server and start it again after some time, without its models."""
        if backend in self._restarts:
            return
        _, pool, _ = self._registry[backend.id]
        self._crashes_ms[pool].append(TIMERS.now_ms())
        proxy.refuse()
        restart = asyncio.create_task(self._restart_engine(backend, proxy, host))
        self._restarts[backend] = restart

    async def _restart_engine(
        self, backend: PlatformEngine, proxy: Proxy, host: str
    ) -> None:
        await backend.close()
        await TIMERS.sleep_ms(self._random.uniform(300, 1_500))
        _, pool, address = self._registry.pop(backend.id)
        self._store.put("keyed.servers", backend.id, b"")
        backend.begin_again(f"i-{host}-{len(self._crashes_ms[pool])}")
        await backend.start(host)
        proxy.target = (host, backend.port)
        await proxy.start(host, int(address.rpartition(":")[2]))
        self._registry[backend.id] = (backend, pool, address)
        self._write_registry()
        del self._restarts[backend]

    async def _check_quarantine(self) -> None:
        """Check that servers no longer end once enough of them have."""
        await TIMERS.sleep_ms(STABILITY_WINDOW_MS)
        before = {pool: len(times) for pool, times in self._crashes_ms.items()}
        await TIMERS.sleep_ms(STABILITY_WINDOW_MS)
        for pool, times in self._crashes_ms.items():
            self.outcomes[f"{pool} servers ended"] = len(times)
            late = len(times) - before[pool]
            if before[pool] >= CRASHES_TO_TELL[pool] and late > MAX_LATE_REQUESTS:
                self.violations.append(
                    f"{late} {pool} servers ended after {before[pool]} had"
                )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        instance: InstanceProcess,
        kind: str,
        model: str,
        *,
        subject: str = "50",
        body: bytes = b"x" * 10,
    ) -> str:
        """Send one request, check its answer and return the outcome."""
        self._request_count += 1
        request_id = f"{kind}-{self._request_count}"
        if kind == "unsafe":
            self._unsafe_ids.add(request_id)
        path = "/stream/x" if model else f"/{kind}/x"
        headers = {"Host": "h", "Request-Id": request_id, "Deadline-Ms": "3000"}
        if model:
            parts = f"f1:40,{subject}:40,{self._request_count:x}:20"
            headers.update(
                {"Model": model, "Token-Usage": "100,20", "Prompt-Prefix": parts}
            )
        headers.update(self._identify(request_id))
        url = f"http://{instance.settings['listen']['front']}{path}"
        timeout = aiohttp.ClientTimeout(total=5.0)
        try:
            async with session.post(
                url, headers=headers, data=body, timeout=timeout
            ) as response:
                answer = await response.read()
        except TimeoutError:
            return "no answer"
        except (aiohttp.ClientError, OSError):
            return "connection broken"
        if response.status in (429, 503):
            self._refused_ids.add(request_id)
            return "refused"
        if response.status != 200:
            return str(response.status)
        self._check_answer(request_id, model, answer, response.headers)
        return "answered"

    def _check_answer(
        self, request_id: str, model: str, body: bytes, headers: Any
    ) -> None:
        expected = f"{request_id}:10".encode()
        if model:
            numbers = range(1, EVENTS_PER_STREAM + 1)
            expected = b"".join(event(request_id, number) for number in numbers)
        if body != expected:
            self.violations.append(f"{request_id}: unexpected answer: {body[:80]!r}")
        if headers.get("Response-Signature") != f"sig.{request_id}":
            self.violations.append(f"{request_id}: answer without its signature")

    def _check_runs(self) -> None:
        runs = sum(
            (backend.runs for backend in self._backends),
            start=type(self._backends[0].runs)(),
        )
        for request_id in self._unsafe_ids:
            if runs[request_id] > 1:
                self.violations.append(f"{request_id} ran {runs[request_id]} times")
        for request_id in self._refused_ids & self._unsafe_ids:
            if runs[request_id]:
                self.violations.append(f"{request_id} ran though it was refused")
        for backend in self._backends:
            if backend.overloads:
                self.violations.append(f"{backend.id} was overloaded")

    def _check_logs(self) -> None:
        """Check that no epoch was given out twice and no configuration reverted."""
        epochs: set[int] = set()
        for instance in self._instances:
            version = 0
            for fields in instance.log_records():
                match fields["message"]:
                    case "soak starts the process":
                        version = 0
                    case "catalog in force" if fields["version"] <= version:
                        self.violations.append(f"{instance.host}: catalog reverted")
                    case "catalog in force":
                        version = fields["version"]
                    case "engine claimed" if fields["epoch"] in epochs:
                        self.violations.append(f"epoch {fields['epoch']} claimed twice")
                    case "engine claimed":
                        epochs.add(fields["epoch"])


_versions = iter(range(1, 1 << 30))


def _configuration() -> dict[str, Any]:
    def route(name: str, kind: str, service: str, **extra: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": "h",
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 3_000,
            "target-latency-ms": 500,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            **extra,
        }

    models = [
        {"name": name, "weights-mb": 30.0, "load-time-s": 0.1, "adapter-mb": 0.1}
        for name in MODELS
    ]
    engine = {
        "slots": 16,
        "kv-cache-tokens": 10_000,
        "stride": 1,
        "weights-mb": 64.0,
        "max-adapters": 4,
        "loads-per-s": 20.0,
        "models": models,
    }
    return {
        "version": next(_versions),
        "routes": [
            route("safe", "safe", "pay"),
            route("unsafe", "unsafe", "pay"),
            route("stream", "streaming", "llm", resumable=True)
            | {"target-gap-ms": 300},
        ],
        "services": [
            {"name": "pay", "max-connections": 100, "health-check-path": "/health"},
            {"name": "llm", "max-connections": 100, "engine": engine},
        ],
    }


async def run_seed(
    seed: int, seconds: float, *, fall_backs: bool = False, bad_part: bool = False
) -> tuple[list[str], dict[str, int]]:
    """Run one seed; return the violated promises and counts of request outcomes."""
    with tempfile.TemporaryDirectory(prefix="copperrun-soak-") as folder:
        soak = Soak(seed, Path(folder), fall_backs=fall_backs, bad_part=bad_part)
        violations = await soak.run(seconds)
        return violations, soak.outcomes


SeedRunner = Callable[[int, float], Awaitable[tuple[list[str], dict[str, Any]]]]


def seed_runner(kind: Callable[[int, Path], Soak]) -> SeedRunner:
    """Return what runs one seed of a soak."""

    async def run_seed(seed: int, seconds: float) -> tuple[list[str], dict[str, Any]]:
        with tempfile.TemporaryDirectory(prefix="copperrun-soak-") as folder:
            soak = kind(seed, Path(folder))
            violations = await soak.run(seconds)
            return violations, soak.outcomes

    return run_seed


def run_seeds(run: SeedRunner) -> None:
    """Run the seeds of the command line one after another; exit with their outcome."""
    failed = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        violations, outcomes = asyncio.run(run(seed, _SECONDS.value))
        print(f"seed {seed}: {outcomes}", flush=True)
        for line in violations[:10]:
            print(f"  VIOLATED: {line}", flush=True)
        failed += bool(violations)
    print(f"{_SEEDS.value - failed} of {_SEEDS.value} seeds kept every promise")
    sys.exit(1 if failed else 0)


def main(argv: list[str]) -> None:
    """Run the seeds with the chosen kinds of faults."""
    run_seeds(partial(run_seed, fall_backs=_FALL_BACKS.value, bad_part=_BAD_PART.value))


if __name__ == "__main__":
    app.run(main)
