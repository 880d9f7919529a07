"""Crashes of backend servers and what may have caused them.

Suspects are the prompt parts of the requests that a server had taken and not begun to
answer, and the fingerprints of these requests.

Processes exchange their records. Merging is commutative and idempotent, so that all of
them come to the same log whatever the order and however often a record arrives.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from copperrun.ports.timers import Timers
from copperrun.signals import ChangeSignal

RETENTION_MS = 1_800_000
# Bounds the memory and the size of a message; the oldest crashes and, within a crash,
# suspects chosen by a hash are dropped.
MAX_CRASHES = 128
MAX_PARTS = 512


class CrashRecord(NamedTuple):
    """One crash as processes report it to each other.

    Attributes:
        crash: Id of the start of the server that ended.
        pool: Pool of the server.
        age_ms: Time since the crash, in milliseconds.
        parts: Ids of the prompt parts and fingerprints that may have caused it.
        cleared: Those of them that did not, since answers begin on them.
    """

    crash: str
    pool: str
    age_ms: int
    parts: frozenset[str]
    cleared: frozenset[str] = frozenset()


class Crash(NamedTuple):
    """One crash in the log.

    Attributes:
        id: Id of the start of the server that ended.
        at_ms: Time of the crash on the timer service's clock, in milliseconds.
        suspects: Those that may have caused it and are not cleared.
    """

    id: str
    at_ms: int
    suspects: frozenset[str]


@dataclass
class _Entry:
    pool: str
    at_ms: int
    parts: frozenset[str]
    cleared: frozenset[str]
    version: int


class CrashLog:
    """Recent crashes of all servers, as far as this process knows.

    Attributes:
        version: Rises by one with each change.
    """

    def __init__(self, timers: Timers) -> None:
        self.version = 0
        self._timers = timers
        self._entries: dict[str, _Entry] = {}
        self._changed = ChangeSignal(timers)
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    async def wait_newer(self, version: int, timeout_ms: float) -> None:
        """Wait until the log is newer than ``version``, at most ``timeout_ms``."""
        if self.version <= version:
            await self._changed.wait(timeout_ms)

    def end_waits(self) -> None:
        """Wake the tasks in ``wait_newer`` without a change."""
        self._changed.notify_all()

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Add what the records tell beyond what is known."""
        before = self.version
        for record in records:
            if record.age_ms < RETENTION_MS and record.parts:
                self._merge_record(record)
        self._drop_old()
        if self.version > before:
            self._notify_listeners()

    def clear(self, pool: str, answered_ms: Mapping[str, int]) -> bool:
        """Record that answers have begun on parts at the servers of a pool.

        Args:
            pool: Pool of the servers.
            answered_ms: Time of the latest answer by part; it clears the part of the
                crashes up to then.

        Returns:
            Whether this is news.
        """
        before = self.version
        for entry in self._entries.values():
            cleared = frozenset(
                part
                for part in entry.parts & answered_ms.keys()
                if entry.at_ms <= answered_ms[part]
            )
            if entry.pool == pool and not cleared <= entry.cleared:
                entry.cleared |= cleared
                self.version = entry.version = self.version + 1
        if self.version == before:
            return False
        self._notify_listeners()
        return True

    def crashes(self) -> list[Crash]:
        """Return the crashes that are not explained by cleared parts alone."""
        self._drop_old()
        return [
            Crash(crash_id, entry.at_ms, suspects)
            for crash_id, entry in self._entries.items()
            if (suspects := entry.parts - entry.cleared)
        ]

    def suspects(self, min_crashes: int) -> dict[str, frozenset[str]]:
        """Return the parts by pool that are not cleared of so many crashes there."""
        counts: dict[str, Counter[str]] = {}
        for entry in self._entries.values():
            found = counts.setdefault(entry.pool, Counter())
            found.update(entry.parts - entry.cleared)
        return {
            pool: frozenset(p for p, count in found.items() if count >= min_crashes)
            for pool, found in counts.items()
        }

    def changes_since(self, version: int) -> list[CrashRecord]:
        """Return the records that changed after ``version``."""
        self._drop_old()
        now = self._timers.now_ms()
        return [
            CrashRecord(
                crash_id, entry.pool, now - entry.at_ms, entry.parts, entry.cleared
            )
            for crash_id, entry in self._entries.items()
            if entry.version > version
        ]

    def _merge_record(self, record: CrashRecord) -> None:
        at_ms = self._timers.now_ms() - record.age_ms
        entry = self._entries.get(record.crash)
        if entry is None:
            entry = _Entry(record.pool, at_ms, frozenset(), frozenset(), 0)
            self._entries[record.crash] = entry
        # The age grows by the time on the way, so the earliest time is the best one.
        entry.at_ms = min(entry.at_ms, at_ms)
        parts = _limit_parts(record.crash, entry.parts | record.parts)
        cleared = (entry.cleared | record.cleared) & parts
        if (parts, cleared) != (entry.parts, entry.cleared):
            entry.parts, entry.cleared = parts, cleared
            self.version = entry.version = self.version + 1

    def _drop_old(self) -> None:
        oldest_ms = self._timers.now_ms() - RETENTION_MS
        newest_first = sorted(
            self._entries, key=lambda crash_id: -self._entries[crash_id].at_ms
        )
        for number, crash_id in enumerate(newest_first):
            if number >= MAX_CRASHES or self._entries[crash_id].at_ms <= oldest_ms:
                del self._entries[crash_id]

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
        self._changed.notify_all()


def _limit_parts(crash: str, parts: frozenset[str]) -> frozenset[str]:
    """Return the parts to keep, the same whatever the order of the records.

    The order differs from crash to crash, so that no suspect is dropped from all.
    """
    if len(parts) <= MAX_PARTS:
        return parts
    ranked = sorted(
        parts,
        key=lambda part: (xxhash.xxh64_intdigest(f"{crash} {part}".encode()), part),
    )
    return frozenset(ranked[:MAX_PARTS])
