"""Which adapters keep their places in one engine; no I/O.

Answers more adapters in use than an engine has places: an adapter that a request uses
is never dropped, and of the others the one that was used least lately goes first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

UNLOAD_LIFETIME_MS = 5_000  # an unload that waits for a run keeps its place so long
USE_LIFETIME_MS = 30_000  # after which the end of a request counts as lost


class AdapterKey(NamedTuple):
    """An adapter of a model."""

    model: str
    adapter: str


class AdapterPlaces:
    """Uses and places of one engine's adapters."""

    def __init__(self) -> None:
        self._used_ms: dict[AdapterKey, int] = {}
        self._users: dict[str, tuple[AdapterKey, int]] = {}
        self._dropping: dict[AdapterKey, int] = {}

    def begin_use(self, user: str, key: AdapterKey, now_ms: int) -> None:
        """Note a request that is about to use an adapter."""
        self._users[user] = (key, now_ms)
        self._used_ms[key] = now_ms

    def end_use(self, user: str, now_ms: int) -> None:
        """Note the end of a request."""
        found = self._users.pop(user, None)
        if found is not None:
            self._used_ms[found[0]] = now_ms

    def note_drop(self, key: AdapterKey, now_ms: int) -> None:
        """Note an unload that waits for runs which this side does not know."""
        self._dropping[key] = now_ms

    def is_dropping(self, key: AdapterKey, now_ms: int) -> bool:
        """Return whether an unload may be under way."""
        return now_ms - self._dropping.get(key, -UNLOAD_LIFETIME_MS) < (
            UNLOAD_LIFETIME_MS
        )

    def taken(
        self, loaded: Iterable[AdapterKey], coming: Iterable[AdapterKey], now_ms: int
    ) -> int:
        """Return the places that are taken or may be."""
        dropping = {key for key in self._dropping if self.is_dropping(key, now_ms)}
        return len({*loaded, *coming} | dropping)

    def victim(self, loaded: Iterable[AdapterKey], now_ms: int) -> AdapterKey | None:
        """Return the adapter to drop for another one, or None when all are in use."""
        self._forget_lost(now_ms)
        users = Counter(key for key, _ in self._users.values())
        idle = [
            key
            for key in loaded
            if not users[key] and not self.is_dropping(key, now_ms)
        ]
        return min(idle, key=lambda key: (self._used_ms.get(key, 0), key), default=None)

    def _forget_lost(self, now_ms: int) -> None:
        oldest = now_ms - USE_LIFETIME_MS
        for user, (_, began_ms) in list(self._users.items()):
            if began_ms < oldest:
                del self._users[user]
