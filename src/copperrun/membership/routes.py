"""Since when each route has led to the pools that serve it."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

from copperrun.ports.timers import Timers
from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import PoolShare
from copperrun.routing.catalog import Route

# A stream and all attempts to take it up last no longer than so many time limits.
STREAM_LIFETIMES = 2
DIGEST_BYTES = 8

RouteKey = tuple[str, str]  # host and prefix


class RouteHistory:
    """Tells which routes have led to one pool for longer than a stream lasts.

    Args:
        timers: Timer service.
        is_first_start: Whether nothing served before this process started.

    Attributes:
        pools: Pools to which routes with streams lead, or have led.
    """

    def __init__(self, timers: Timers, *, is_first_start: bool) -> None:
        self.pools: frozenset[str] = frozenset()
        self._timers = timers
        self._is_first_start = is_first_start
        self._catalog_version = -1
        # Shares of each route, and since when it has had them.
        self._shares: dict[RouteKey, Sequence[PoolShare]] = {}
        self._settled_ms: dict[RouteKey, float] = {}
        # Routes that came or changed after the first catalog of this process.
        self._changed: set[RouteKey] = set()
        self._longest_stream_ms = 0
        # Digests of the streaming routes that lead to one pool, by pool.
        self._digests: dict[str, dict[RouteKey, str]] = {}

    @property
    def span_ms(self) -> int:
        """Time in which each stream ends that has begun, also after take-ups."""
        return STREAM_LIFETIMES * self._longest_stream_ms

    def update(self, catalog: Catalog) -> None:
        """Apply the catalog in force."""
        if catalog.version == self._catalog_version:
            return
        # Nothing was served before the first catalog of a first start.
        is_first = self._is_first_start and not self._shares
        now = -math.inf if is_first else self._timers.now_ms()
        previous, self._shares = self._shares, {}
        settled_ms, self._settled_ms = self._settled_ms, {}
        self._digests = {}
        for route in catalog.routes:
            key = route.host, route.prefix
            is_same = previous.get(key) == route.shares
            if previous and not is_same:
                self._changed.add(key)
            self._shares[key] = route.shares
            self._settled_ms[key] = settled_ms[key] if is_same else now
            if not route.streaming:
                continue
            self._longest_stream_ms = max(self._longest_stream_ms, route.timeout_ms)
            self.pools |= {share.pool for share in route.shares}
            if len(route.shares) == 1:
                digests = self._digests.setdefault(route.shares[0].pool, {})
                digests[key] = digest(route)
        self._catalog_version = catalog.version

    def is_settled(self, route: Route) -> bool:
        """Return whether a route has had its shares for longer than a stream lasts."""
        return self._has_settled((route.host, route.prefix))

    def steady(self, pool: str) -> frozenset[str]:
        """Return the digests of the routes that lead to a pool alone.

        Those are left out that have led elsewhere lately, as this process has seen.
        """
        return frozenset(
            name
            for key, name in self._digests.get(pool, {}).items()
            if key not in self._changed or self._has_settled(key)
        )

    def settled(self, pool: str) -> frozenset[str]:
        """Return the digests of those that have led there alone for long enough."""
        digests = self._digests.get(pool, {})
        return frozenset(
            name for key, name in digests.items() if self._has_settled(key)
        )

    def _has_settled(self, key: RouteKey) -> bool:
        since_ms = self._settled_ms.get(key)
        return since_ms is not None and self._timers.now_ms() - since_ms >= self.span_ms


def digest(route: Route) -> str:
    """Return a digest of a route's key and of where it leads."""
    text = repr((route.host, route.prefix, [share.pool for share in route.shares]))
    data = text.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
