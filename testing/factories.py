"""Builds catalog and server records for the forwarding tests."""

from __future__ import annotations

from collections.abc import Sequence

from copperrun.routing.catalog import BackendPool
from copperrun.routing.catalog import EngineSpec
from copperrun.routing.catalog import ModelSpec
from copperrun.routing.catalog import PoolShare
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.catalog import Route
from copperrun.routing.servers import HeldModel
from copperrun.routing.servers import ServerRecord


def model(name: str, size_mb: float = 30.0, **times: int) -> ModelSpec:
    return ModelSpec(
        name,
        size_mb,
        adapter_mb=1.0,
        store_load_ms=times.get("store", 5_000),
        disk_load_ms=times.get("disk", 1_000),
        host_load_ms=times.get("host", 500),
    )


def spec(*models: ModelSpec, memory_mb: float = 68.0, adapters: int = 8) -> EngineSpec:
    return EngineSpec(
        slots=64,
        cache_tokens=100_000,
        tokens_per_event=2,
        memory_mb=memory_mb,
        max_adapters=adapters,
        loads_per_s=2.0,
        models={item.name: item for item in models},
    )


def pool(name: str = "llm", engine: EngineSpec | None = None) -> BackendPool:
    return BackendPool(name, 100, engine)


def route(**changes: object) -> Route:
    plain = Route(
        name="r",
        host="h.example",
        prefix="/a/",
        retry_safety=RetrySafety.UNSAFE,
        streaming=False,
        resumable=False,
        timeout_ms=3_000,
        target_ms=200,
        target_gap_ms=0,
        caller_timeout_ms=0,
        priority=1,
        max_attempts=1,
        shares=(PoolShare("pay", 1.0),),
    )
    return plain._replace(**changes)


def server(server_id: str, **changes: object) -> ServerRecord:
    plain = ServerRecord(
        server_id,
        f"10.0.0.{len(server_id)}:{8000 + sum(map(ord, server_id))}",
        "pay",
        "zone-a",
        slots=6,
        leaving=False,
        born_ms=1,
        models=(),
        software_version="v1",
    )
    return plain._replace(**changes)


def engine(server_id: str, held: Sequence[str] = (), **changes: object) -> ServerRecord:
    models = tuple(HeldModel(name, 1, frozenset()) for name in held)
    return server(server_id, pool="llm", models=models, slots=64, **changes)
