"""Runs entries and sides in one process on a manual clock, with stand-in ports."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from random import Random
from typing import Any
from typing import TypeVar
from uuid import UUID

from network import GatedPort
from network import InProcessSides
from network import LinkFaults
from network import NullMetrics
from network import PauseGate
from network import TaskOwners

from copperrun.configuration.changes import STREAM
from copperrun.configuration.changes import Change
from copperrun.configuration.changes import Objects
from copperrun.configuration.changes import Snapshot
from copperrun.configuration.changes import decode_record
from copperrun.configuration.changes import encode_record
from copperrun.configuration.changes import objects_by_key
from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.embedded.engine import EngineStandIn
from copperrun.embedded.engine import TokenTimes
from copperrun.embedded.instances import InstancesStandIn
from copperrun.embedded.log import LogStandIn
from copperrun.embedded.service import ServiceStandIn
from copperrun.embedded.weights import PermissiveWeights
from copperrun.entry.authentication import create_key
from copperrun.entry.authentication import hash_key
from copperrun.entry.gateway import CallerRequest
from copperrun.entry.gateway import new_request_id
from copperrun.entry.process import EntryPorts
from copperrun.entry.process import EntryProcess
from copperrun.entry.requests import COMPLETIONS_PATH
from copperrun.model import Answer
from copperrun.model import Instance
from copperrun.model import Refusal
from copperrun.model import Role
from copperrun.side.process import EngineBackend
from copperrun.side.process import ServiceBackend
from copperrun.side.process import SideIdentity
from copperrun.side.process import SidePorts
from copperrun.side.process import SideProcess

GIB = 2**30
T = TypeVar("T")


class TestInstallation:
    """Entries and sides with stand-ins; every task is cancelled on context exit."""

    __test__ = False

    def __init__(self, *, seed: int = 1) -> None:
        self.timers = ManualTimers()
        self.log = LogStandIn(self.timers)
        self.instances = InstancesStandIn(self.timers)
        self.weights = PermissiveWeights(self.timers, load_ms=100)
        self.service = ServiceStandIn(self.timers)
        self.sides = InProcessSides(self.timers)
        self.engines: dict[str, EngineStandIn] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.keys: dict[str, str] = {}
        self._random = Random(seed)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._key_count = 0
        self._change_count = 0
        self._owners = TaskOwners()

    async def __aenter__(self) -> TestInstallation:
        asyncio.get_running_loop().set_task_factory(self._owners.create_task)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for entry in self.entries.values():
            entry.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def add_engine(
        self, name: str, *, memory_gib: int = 320, checks_orders: bool = True
    ) -> EngineStandIn:
        engine = EngineStandIn(
            self.timers,
            self.weights,
            memory_bytes=memory_gib * GIB,
            kv_reserve_bytes=80 * GIB,
            checks_orders=checks_orders,
            times=TokenTimes(prefill_ms=0.1, step_ms=10.0),
        )
        self.engines[name] = engine
        return engine

    def start_engine_side(self, name: str, **engine: Any) -> SideProcess:
        if name not in self.engines:
            self.add_engine(name, **engine)
        return self._start_side(name, "assistant", self.engines[name])

    def start_service_side(self, name: str) -> SideProcess:
        return self._start_side(name, "ledger", self.service)

    def stop_side(self, name: str) -> None:
        """Stop a side at once, as SIGKILL does; its backend server keeps running."""
        self._owners.kill(self.sides.owners[name])
        del self.sides.processes[name]
        del self._tasks[name]

    def start_entry(self, name: str) -> EntryProcess:
        ports = EntryPorts(
            self.log,
            self.instances,
            self.sides,
            self.timers,
            NullMetrics(),
            lambda _: self,
            lambda _: self.sides,
        )
        entry = EntryProcess(
            name, ports, default_deadline_ms=30_000, random=self._random
        )
        self.entries[name] = entry
        self.instances.put(Instance(name, name, "z1", "r1", Role.ENTRY))
        self._tasks[name] = asyncio.create_task(entry.run())
        return entry

    async def fetch_snapshot(self) -> Snapshot | None:
        """Return the snapshot that peers would send to a starting process."""
        for process in (*self.entries.values(), *self.sides.processes.values()):
            if process.follower.configuration is not None:
                record = decode_record(process.follower.encode_snapshot())
                return record if isinstance(record, Snapshot) else None
        return None

    async def publish(self, raw: dict[str, Any], *, base: int = -1) -> None:
        for name, caller in raw["callers"].items():
            self.keys.setdefault(name, create_key(name))
            caller["key_hashes"] = [hash_key(self.keys[name])]
        self._change_count += 1
        change = Change(
            f"change-{self._change_count}", "test", base, 0, self._changed_objects(raw)
        )
        await self.wait(self.log.append(STREAM, [encode_record(change)]))

    def _changed_objects(self, raw: dict[str, Any]) -> Objects:
        """Return the objects that differ from the configuration in force."""
        objects = objects_by_key(raw)
        known: Objects = {}
        for entry in self.entries.values():
            known = entry.follower.state.objects()
        return {key: value for key, value in objects.items() if known.get(key) != value}

    async def wait(self, work: Awaitable[T], *, limit_ms: int = 120_000) -> T:
        """Advance the clock until ``work`` is done and return its result."""
        fut = asyncio.ensure_future(work)
        await run_until(self.timers, fut, limit_ms)
        return await fut

    def request(
        self, body: bytes, *, path: str = COMPLETIONS_PATH, key: str = "", **fields: Any
    ) -> CallerRequest:
        return CallerRequest(
            id=new_request_id(),
            arrived_ms=self.timers.now_ms(),
            authorization=f"Bearer {self.keys['rigger']}",
            deadline=fields.get("deadline"),
            idempotency_key=key,
            method=fields.get("method", "POST"),
            path=path,
            content_type="application/json",
            body=body,
        )

    async def call(
        self, key: str, body: bytes = b"{}", *, entry: str = "entry-0", **fields: Any
    ) -> Answer | Refusal:
        """Send an unrepeatable call through an entry."""
        gateway = self.entries[entry].gateway
        request = self.request(body, path="/payouts", key=key, **fields)
        admitted = await gateway.admit_service(request, "ledger")
        if isinstance(admitted, Refusal):
            return admitted
        return await gateway.submit(admitted)

    async def complete(
        self, body: bytes, *, entry: str = "entry-0", **fields: Any
    ) -> Answer | Refusal:
        """Send a completion through an entry."""
        gateway = self.entries[entry].gateway
        admitted = await gateway.admit_model(self.request(body, **fields))
        if isinstance(admitted, Refusal):
            return admitted
        return await gateway.submit(admitted)

    async def stream(
        self, body: bytes, *, entry: str = "entry-0"
    ) -> list[str | Refusal]:
        """Send a streamed completion and return all items received."""
        gateway = self.entries[entry].gateway
        admitted = await gateway.admit_model(self.request(body))
        if isinstance(admitted, Refusal):
            return [admitted]
        return [item async for item in gateway.stream(admitted)]

    def new_key(self, *, age_ms: int = 0) -> str:
        """Return an idempotency key created ``age_ms`` ago."""
        self._key_count += 1
        time_ms = self.timers.wall_ms() - age_ms
        return str(UUID(int=time_ms << 80 | 7 << 76 | 2 << 62 | self._key_count))

    def _start_side(
        self, name: str, pool: str, backend: EngineStandIn | ServiceStandIn
    ) -> SideProcess:
        identity = SideIdentity(name, pool, 100.0)
        gate = self.sides.gates[name] = PauseGate()
        ports = SidePorts(
            GatedPort(self.log, gate),
            self.instances,
            self.weights,
            self.sides,
            _gated_backend(backend, gate),
            self.timers,
            NullMetrics(),
            lambda _: self,
            lambda _: GatedPort(self.sides, gate),
        )
        process = SideProcess(identity, ports)
        self.sides.processes[name] = process
        self.sides.faults.setdefault(name, LinkFaults())
        number = int(name.rsplit("-", 1)[1])
        zone, region = f"z{number % 2}", f"r{number % 2}"
        self.instances.put(Instance(name, name, zone, region, Role.SIDE, pool))
        self.sides.owners[name] = f"{name} {process.incarnation}"
        self._tasks[name] = asyncio.create_task(
            process.run(), context=self.sides.context_of(name)
        )
        return process


def _gated_backend(
    backend: EngineStandIn | ServiceStandIn, gate: PauseGate
) -> EngineBackend | ServiceBackend:
    if isinstance(backend, EngineStandIn):
        return EngineBackend(GatedPort(backend, gate))
    return ServiceBackend(GatedPort(backend, gate))


def small_configuration() -> dict[str, Any]:
    """Return a configuration with one model, one adapter and one service."""
    return {
        "preset_in_force": "ordinary",
        "presets": {"ordinary": {}, "peak": {"copies": {"allowances": 2}}},
        "pools": {
            "assistant": {
                "memory": "320 GiB",
                "kv_reserve": "80 GiB",
                "slots": 16,
                "checks_orders": True,
            },
            "ledger": {"slots": 8},
        },
        "classes": {
            "crew": {
                "priority": 1,
                "first_token": "840 ms",
                "between_tokens": "66 ms",
                "whole": "10 s",
                "queue_bound": "10 s",
            }
        },
        "models": {"allowances": {"versions": {"1": {"weights": "16 GiB"}}}},
        "adapters": {"jadran": {"model": "allowances", "weights": "256 MiB"}},
        "deployments": {
            "allowances": {
                "pool": "assistant",
                "model": "allowances",
                "version": "1",
                "adapters": ["jadran"],
                "copies": 2,
            }
        },
        "services": {
            "ledger": {
                "pool": "ledger",
                "unrepeatable": [{"methods": ["POST"], "path": "/payouts"}],
            }
        },
        "tenants": {"jadran": {"uses": ["allowances", "ledger"]}},
        "callers": {
            "rigger": {"tenant": "jadran", "service_class": "crew", "key_hashes": []}
        },
    }


async def start_small_installation(installation: TestInstallation) -> None:
    """Start two engine sides, two service sides and an entry, and publish."""
    for number in range(2):
        installation.start_engine_side(f"assistant-{number}")
        installation.start_service_side(f"ledger-{number}")
    installation.start_entry("entry-0")
    await installation.publish(small_configuration())
    await installation.timers.advance(5_000)
