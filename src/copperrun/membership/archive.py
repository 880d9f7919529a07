"""Keeps blamed crashes in the platform's store, for when all processes are lost."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any

from loguru import logger

from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import printable_text
from copperrun.decoding import whole_number
from copperrun.membership.health import StoreHealth
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicStore
from copperrun.routing.crashes import CrashRecord
from copperrun.routing.quarantine import Quarantine

RETRY_DELAY_MS = 1_000  # doubles with each failure
MAX_RETRY_DELAY_MS = 30_000


class CrashArchive:
    """Writes the crashes that this entry saw and that put a part into quarantine.

    The store is read once, at the start: running entries share their crashes directly.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        health: StoreHealth,
        store: TopicStore,
        topic: str,
        timers: Timers,
    ) -> None:
        self._quarantine = quarantine
        self._store = store
        self._topic = topic
        self._timers = timers
        # What the store has of each crash; None when that is not known.
        self._written: dict[str, frozenset[str] | None] = {}
        self._changed = asyncio.Event()
        self._restored = asyncio.Event()
        quarantine.subscribe(self._changed.set)
        health.subscribe(self._write_again)

    async def wait_restored(self, timeout_ms: int) -> None:
        """Wait until the store has been read, at most ``timeout_ms``."""
        try:
            async with self._timers.timeout_ms(timeout_ms):
                await self._restored.wait()
        except TimeoutError:
            logger.info("archived crashes not read yet")

    def _write_again(self) -> None:
        """Write all that was written before, and delete again what was deleted."""
        self._written = dict.fromkeys(self._written)
        self._changed.set()

    async def run(self) -> None:
        """Read the archive, then write what changes, until cancelled."""
        delay_ms = RETRY_DELAY_MS
        while not await self._restore():
            await self._timers.sleep_ms(delay_ms)
            delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)
        self._restored.set()
        delay_ms = RETRY_DELAY_MS
        while True:
            await self._changed.wait()
            self._changed.clear()
            while not await self._write():
                await self._timers.sleep_ms(delay_ms)
                delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)
            delay_ms = RETRY_DELAY_MS

    async def _restore(self) -> bool:
        snapshot = await self._store.read_snapshot(self._topic)
        if isinstance(snapshot, TopicError):
            logger.warning("archived crashes not read", detail=snapshot.detail)
            return False
        now_ms = self._timers.wall_ms()
        self._quarantine.log.merge(
            record
            for crash, value in snapshot.items.items()
            if (record := _decode(crash, value, now_ms)) is not None
        )
        return True

    async def _write(self) -> bool:
        """Bring the store up to date; return whether it took all of it."""
        wanted, written = self._quarantine.own_blamed_crashes(), self._written
        for crash in wanted.keys() | written.keys():
            record = wanted.get(crash)
            parts = record.parts if record is not None else frozenset()
            if parts == written.get(crash, frozenset()):
                continue
            value = b"" if record is None else self._encode(record)
            position = await self._store.put(self._topic, crash, value)
            if isinstance(position, TopicError):
                logger.warning("crash not archived", detail=position.detail)
                return False
            # Not in what a new era has put in its place meanwhile.
            written[crash] = parts
        return True

    def _encode(self, record: CrashRecord) -> bytes:
        at_ms = self._timers.wall_ms() - record.age_ms
        fields = {"pool": record.pool, "at": at_ms, "parts": sorted(record.parts)}
        return json.dumps(fields).encode()


def _decode(crash: str, value: bytes, now_ms: int) -> CrashRecord | None:
    record = decode(value, lambda fields: _record(crash, fields, now_ms))
    if isinstance(record, DecodeError):
        logger.warning("archived crash skipped", crash=crash, detail=record.detail)
        return None
    return record


def _record(crash: str, fields: Mapping[str, Any], now_ms: int) -> CrashRecord:
    # The clocks of two machines may differ.
    age_ms = max(now_ms - whole_number(fields["at"]), 0)
    parts = frozenset(printable_text(part) for part in list(fields["parts"]))
    return CrashRecord(crash, printable_text(fields["pool"]), age_ms, parts)
