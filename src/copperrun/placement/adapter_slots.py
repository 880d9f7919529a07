"""Which adapters keep their places in one engine; no I/O.

Answers more adapters in use than an engine has places: an adapter that a request uses
is never dropped, and of the others the one that was used least lately goes first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

PENDING_UNLOAD_TTL_MS = 5_000  # an unload that waits for a run keeps its place so long
USE_TTL_MS = 30_000  # after which the end of a request counts as lost


class AdapterKey(NamedTuple):
    """An adapter of a model."""

    model: str
    adapter: str


class AdapterSlots:
    """Uses and places of one engine's adapters."""

    def __init__(self) -> None:
        self._last_used_ms: dict[AdapterKey, int] = {}
        self._uses: dict[str, tuple[AdapterKey, int]] = {}
        self._unloading: dict[AdapterKey, int] = {}

    def begin_use(self, use_id: str, key: AdapterKey, now_ms: int) -> None:
        """Note a request that is about to use an adapter."""
        self._uses[use_id] = (key, now_ms)
        self._last_used_ms[key] = now_ms

    def end_use(self, use_id: str, now_ms: int) -> None:
        """Note the end of a request."""
        found = self._uses.pop(use_id, None)
        if found is not None:
            self._last_used_ms[found[0]] = now_ms

    def mark_unloading(self, key: AdapterKey, now_ms: int) -> None:
        """Note an unload that waits for runs which this side does not know."""
        self._unloading[key] = now_ms

    def is_unloading(self, key: AdapterKey, now_ms: int) -> bool:
        """Return whether an unload may be under way."""
        return now_ms - self._unloading.get(key, -PENDING_UNLOAD_TTL_MS) < (
            PENDING_UNLOAD_TTL_MS
        )

    def used_count(
        self, loaded: Iterable[AdapterKey], coming: Iterable[AdapterKey], now_ms: int
    ) -> int:
        """Return the places that are taken or may be."""
        unloading = {key for key in self._unloading if self.is_unloading(key, now_ms)}
        return len({*loaded, *coming} | unloading)

    def choose_victim(
        self, loaded: Iterable[AdapterKey], now_ms: int
    ) -> AdapterKey | None:
        """Return the adapter to drop for another one, or None when all are in use."""
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
