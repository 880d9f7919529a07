"""Routes, backend pools and engine models that requests are forwarded by."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

import xxhash


class RetrySafety(Enum):
    """What may be done with a request that got no whole answer.

    Attributes:
        SAFE: It may run again.
        UNSAFE: It runs at most once.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"


class PoolShare(NamedTuple):
    """Part of a route's requests that goes to one pool."""

    pool: str
    weight: float


class Route(NamedTuple):
    """Requests that are treated alike.

    Attributes:
        name: Name given by the operator.
        host: Host that the caller names.
        prefix: Start of the path, with a slash at both ends.
        repetition: Whether a request may run again from its start.
        streaming: Whether the answer is a series of events.
        resumable: Whether a cut stream may go on at another server.
        timeout_ms: Longest time that a caller is kept waiting.
        target_ms: Time to the first byte that earns the full benefit.
        target_gap_ms: Longest pause between events; 0 when not streaming.
        patience_ms: Time without an event after which callers leave; 0 when they wait
            for the whole of ``timeout_ms``.
        priority: Rank, 0 first.
        max_attempts: Servers to which one request may be sent.
        shares: Pools that take the requests, with their weights.
    """

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    streaming: bool
    resumable: bool
    timeout_ms: int
    target_ms: int
    target_gap_ms: int
    client_timeout_ms: int
    priority: int
    max_attempts: int
    shares: tuple[PoolShare, ...]

    def pool_for(self, request_id: str) -> str:
        """Return the pool of a request; the same one for each of its attempts."""
        if len(self.shares) == 1:
            return self.shares[0].pool
        total = sum(share.weight for share in self.shares)
        point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.pool
        return self.shares[-1].pool


class ModelSpec(NamedTuple):
    """One model that the engines of a pool can load.

    Attributes:
        name: Name in requests and orders.
        size_mb: Accelerator memory of the weights.
        adapter_mb: Accelerator memory of each adapter.
        store_load_ms: Load time from the weight store.
        disk_load_ms: Load time from the server's own disk.
        host_load_ms: Load time from the server's host memory.
    """

    name: str
    size_mb: float
    adapter_mb: float
    store_load_ms: int
    disk_load_ms: int
    host_load_ms: int


class EngineSpec(NamedTuple):
    """What the engines of a pool have in common.

    Attributes:
        slots: Requests that run at once.
        cache_tokens: Tokens that fit the KV cache.
        tokens_per_event: Tokens in one event of a stream.
        memory_mb: Accelerator memory for weights and adapters.
        max_adapters: Adapters loaded at once.
        loads_per_s: Loads from the weight store over all engines.
        models: Loadable models by name.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int
    memory_mb: float
    max_adapters: int
    loads_per_s: float
    models: Mapping[str, ModelSpec]


class BackendPool(NamedTuple):
    """Backend servers that are alike.

    Attributes:
        name: Name given by the operator.
        max_connections: Connections that one server accepts from all callers.
        engine: Engine properties, or None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 2**20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Catalog(NamedTuple):
    """One version of the routes and pools.

    Attributes:
        version: Number that increases with each change.
        routes: All routes.
        pools: Pools by name.
        limits: Bounds on callers.
    """

    version: int
    routes: Sequence[Route]
    pools: Mapping[str, BackendPool]
    limits: CallerLimits


class RouteTable:
    """Finds the route of a request by host and longest prefix."""

    def __init__(self, routes: Sequence[Route] = ()) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        prefixes = self._hosts.get(_host_name(host))
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _host_name(host: str) -> str:
    """Return a Host header's name without its port."""
    return host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
