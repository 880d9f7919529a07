"""Adapter slots of one engine and the choice of adapters to evict; no I/O.

There may be more adapters than an engine has slots. An adapter that a request uses is
never evicted; of the others, the least recently used one is evicted first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

# An unload that waits for a running request counts as using its slot for this time.
PENDING_UNLOAD_TTL_MS = 5_000
USE_TTL_MS = 30_000  # after which the report of a request's end counts as lost


class AdapterKey(NamedTuple):
    """An adapter of a model."""

    model: str
    adapter: str


class AdapterSlots:
    """Tracks uses and pending unloads of one engine's adapters."""

    def __init__(self) -> None:
        self._last_used_ms: dict[AdapterKey, int] = {}
        self._uses: dict[str, tuple[AdapterKey, int]] = {}
        self._unloading: dict[AdapterKey, int] = {}

    def begin_use(self, use_id: str, key: AdapterKey, now_ms: int) -> None:
        """Record a request that is about to use an adapter."""
        self._uses[use_id] = (key, now_ms)
        self._last_used_ms[key] = now_ms

    def end_use(self, use_id: str, now_ms: int) -> None:
        """Record the end of a request."""
        found = self._uses.pop(use_id, None)
        if found is not None:
            self._last_used_ms[found[0]] = now_ms

    def mark_unloading(self, key: AdapterKey, now_ms: int) -> None:
        """Record an unload that waits for requests unknown to this side."""
        self._unloading[key] = now_ms

    def is_unloading(self, key: AdapterKey, now_ms: int) -> bool:
        """Return whether an unload of the adapter may be pending."""
        return now_ms - self._unloading.get(key, -PENDING_UNLOAD_TTL_MS) < (
            PENDING_UNLOAD_TTL_MS
        )

    def used_count(
        self, loaded: Iterable[AdapterKey], loading: Iterable[AdapterKey], now_ms: int
    ) -> int:
        """Return the number of slots that are in use or may be."""
        unloading = {key for key in self._unloading if self.is_unloading(key, now_ms)}
        return len({*loaded, *loading} | unloading)

    def choose_victim(
        self, loaded: Iterable[AdapterKey], now_ms: int
    ) -> AdapterKey | None:
        """Return the adapter to evict, or None when all are in use."""
        self._expire_uses(now_ms)
        use_counts = Counter(key for key, _ in self._uses.values())
        idle = [
            key
            for key in loaded
            if not use_counts[key] and not self.is_unloading(key, now_ms)
        ]
        return min(
            idle, key=lambda key: (self._last_used_ms.get(key, 0), key), default=None
        )

    def _expire_uses(self, now_ms: int) -> None:
        oldest = now_ms - USE_TTL_MS
        for use_id, (_, began_ms) in list(self._uses.items()):
            if began_ms < oldest:
                del self._uses[use_id]
