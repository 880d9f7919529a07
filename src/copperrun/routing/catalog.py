"""Routes, backend pools and models from the operator's configuration."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

import xxhash

from copperrun.routing.accounts import AccountTable


class RetrySafety(Enum):
    """Whether a request without a complete answer may be retried.

    Attributes:
        SAFE: It may run more than once.
        UNSAFE: It must run at most once.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"


class PoolShare(NamedTuple):
    """Share of a route's requests that goes to one pool."""

    pool: str
    weight: float


class Route(NamedTuple):
    """Requests with the same host, path prefix and policy.

    Attributes:
        name: Name given by the operator.
        host: Host named by the request.
        prefix: Prefix of the path, with a slash at both ends.
        retry_safety: Whether a request may run again from its start.
        streaming: Whether the answer is a server-sent event stream.
        resumable: Whether an interrupted stream may continue at another server.
        timeout_ms: Deadline for the complete answer, from the arrival.
        target_ms: Target time to the first byte.
        target_gap_ms: Target for the longest gap between events; 0 when not
            streaming.
        caller_timeout_ms: Gap without an event after which callers abandon a stream,
            also before its first event; 0 when they wait until ``timeout_ms``.
        priority: Rank; 0 is served first.
        max_attempts: Most servers to which one request is sent.
        shares: Pools that serve the requests, with their weights.
        public: Whether callers need no key.
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
    caller_timeout_ms: int
    priority: int
    max_attempts: int
    shares: tuple[PoolShare, ...]
    public: bool = False

    def leads_to(self, pool: str) -> bool:
        """Return whether requests may go to a pool."""
        return any(share.pool == pool and share.weight > 0 for share in self.shares)

    def pool_for(self, request_id: str) -> str:
        """Return the pool of a request, the same for each of its attempts."""
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
    """Properties shared by all engines of a pool.

    Attributes:
        slots: Requests that run concurrently.
        cache_tokens: Capacity of the KV cache in tokens.
        tokens_per_event: Tokens in one event of a stream.
        memory_mb: Accelerator memory for weights and adapters.
        max_adapters: Most adapters loaded at a time.
        loads_per_s: Rate of loads from the weight store over all engines.
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
    """Interchangeable backend servers.

    Attributes:
        name: Name given by the operator.
        max_connections: Connections that one server accepts in total.
        engine: Engine properties, or None for a plain service.
        health_path: Path on which each server says whether it is well.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    health_path: str = "/"

    def usable_slots(self, slots: int) -> int:
        """Return what a server can use of its slots: one needs a connection each."""
        return min(slots, self.max_connections) if self.max_connections else slots


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 2**20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Catalog(NamedTuple):
    """One version of the operator's routes and pools.

    Attributes:
        version: Number that increases with each change.
        routes: All routes.
        pools: Pools by name.
        limits: Limits on callers' requests.
        accounts: Client accounts; None when callers need no keys at all.
    """

    version: int
    routes: Sequence[Route]
    pools: Mapping[str, BackendPool]
    limits: CallerLimits
    accounts: AccountTable | None = None

    def shortest_gap_ms(self, pool: str) -> int:
        """Return the shortest pause that streams of a pool allow; 0 for no limit."""
        gaps_ms = [
            route.target_gap_ms
            for route in self.routes
            if route.target_gap_ms and route.leads_to(pool)
        ]
        return min(gaps_ms, default=0)

    def must_hold_ready(self, pool: str) -> bool:
        """Return whether callers of a pool leave before a missing model is loaded.

        Then copies must be there before their requests come.
        """
        engine = self.pools[pool].engine if pool in self.pools else None
        models = engine.models.values() if engine is not None else ()
        longest_load_ms = max((model.store_load_ms for model in models), default=0)
        return any(
            0 < route.caller_timeout_ms < longest_load_ms
            for route in self.routes
            if route.streaming and route.leads_to(pool)
        )


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
    """Return the host name of a Host header, in lower case and without its port."""
    return host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
