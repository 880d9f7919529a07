"""Keeps what began streams in the platform's store while a pool has two versions.

The keepers' memory goes when their machines lose power together with the entries.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from itertools import islice
from typing import Any

from loguru import logger

from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import printable_text
from copperrun.membership.health import StoreHealth
from copperrun.membership.keepers import FoundOrigin
from copperrun.membership.keepers import UnknownOrigin
from copperrun.membership.reader import TopicReader
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicStore
from copperrun.routing.origins import OriginRecord
from copperrun.routing.origins import OriginTable
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.origins import stream_key

BATCH_MS = 250  # what begins within this time shares a record, and is lost together
# Records of one entry; in this many batches, streams and attempts to take them up end.
SLOTS = 200
MAX_STREAMS_PER_RECORD = 1_000
RETRY_DELAY_MS = 1_000
READ_TIMEOUT_MS = 5_000  # of all that there is
STORE = "store"  # where an origin was learned, beside hosts


class OriginJournal:
    """Writes the origins of this entry's streams, and reads those of all entries.

    Nothing is written or read while each pool has servers of one version.

    Args:
        instance: Name of this entry.
        own: Origins that this entry knows.
        is_mixed: Returns whether a pool has, or had lately, servers of two versions.
        health: News of the store's eras.
        store: The platform's store.
        topic: Topic of the records.
        timers: Timer service.
    """

    def __init__(
        self,
        instance: str,
        own: OriginTable,
        is_mixed: Callable[[str], bool],
        health: StoreHealth,
        store: TopicStore,
        topic: str,
        timers: Timers,
    ) -> None:
        self._instance = instance
        self._own = own
        self._is_mixed = is_mixed
        self._store = store
        self._topic = topic
        self._timers = timers
        self._pools: frozenset[str] = frozenset()
        self._untold: dict[bytes, None] = {}
        self._changed = asyncio.Event()
        self._table = OriginTable(timers)
        self._reader = TopicReader(
            topic,
            store,
            timers,
            on_snapshot=lambda items: self._merge(items.values()),
            on_records=lambda records: self._merge(item.value for item in records),
        )
        health.subscribe(self._tell_all)

    @property
    def is_active(self) -> bool:
        """Whether any pool has servers of two versions."""
        return bool(self._pools)

    def set_pools(self, pools: Iterable[str]) -> None:
        """Set the pools that there are; streams of one that becomes mixed are told."""
        mixed = frozenset(pool for pool in pools if self._is_mixed(pool))
        added = mixed - self._pools
        self._pools = mixed
        if added:
            logger.info("stream origins are kept in the store", pools=sorted(added))
            self._tell_all()

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """Write the origin of a stream soon, if its pool has two versions."""
        if origin.pool in self._pools:
            self._untold[stream_key(request_id)] = None
            self._changed.set()

    def _tell_all(self) -> None:
        """Write all origins soon that are kept, also those that the store has had.

        What it is just acknowledging may be gone, so no key leaves the new set for it.
        """
        self._untold = {
            record.key: None
            for record in self._own.records()
            if record.origin.pool in self._pools
        }
        self._changed.set()

    async def run(self) -> None:
        """Write what there is until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._reader.position is None and self.is_active:
                # So that a caller does not wait for all of it.
                await self._reader.read(READ_TIMEOUT_MS)
            await self._timers.sleep_ms(BATCH_MS)
            while self._untold:
                delay_ms = BATCH_MS if await self._write() else RETRY_DELAY_MS
                await self._timers.sleep_ms(delay_ms)

    async def find(self, request_id: str, limit_ms: int) -> FoundOrigin | UnknownOrigin:
        """Return the origin of a stream, by a read that begins after the call."""
        if not self.is_active:
            return UnknownOrigin(0)
        has_read = await self._reader.read(limit_ms)
        record = self._table.find(stream_key(request_id))
        if record is not None:
            return FoundOrigin(record, STORE)
        return UnknownOrigin(int(not has_read))

    async def _write(self) -> bool:
        """Write one record; return whether the store took it."""
        untold = self._untold
        keys = list(islice(untold, MAX_STREAMS_PER_RECORD))
        records = [record for record in map(self._own.find, keys) if record is not None]
        slot = self._timers.wall_ms() // BATCH_MS % SLOTS
        position = await self._store.put(
            self._topic, f"{self._instance}/{slot}", _encode(records)
        )
        if isinstance(position, TopicError):
            logger.warning("stream origins not written", detail=position.detail)
            return False
        for key in keys:
            untold.pop(key, None)
        return True

    def _merge(self, values: Iterable[bytes | None]) -> None:
        for value in values:
            records = decode(value or b"[]", lambda items: list(_records(items)))
            if isinstance(records, DecodeError):
                logger.warning("stream origins skipped", detail=records.detail)
                continue
            self._table.merge(records)


def _encode(records: Iterable[OriginRecord]) -> bytes:
    """Encode streams by what began them: each origin with the keys of its streams."""
    keys: dict[StreamOrigin, list[str]] = {}
    for record in records:
        keys.setdefault(record.origin, []).append(record.key.hex())
    return json.dumps(
        [[*origin, *streams] for origin, streams in keys.items()]
    ).encode()


def _records(items: Any) -> Iterator[OriginRecord]:
    for pool, start_id, software_version, *keys in items:
        origin = StreamOrigin(
            printable_text(pool), _text(start_id), _text(software_version)
        )
        for key in keys:
            yield OriginRecord(bytes.fromhex(key), origin, 0)


def _text(value: Any) -> str:
    """Return a text that may be empty, where something is not known."""
    return "" if value == "" else printable_text(value)
