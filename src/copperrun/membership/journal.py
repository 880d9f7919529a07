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
from copperrun.membership.keepers import FoundOrigin
from copperrun.membership.keepers import UnknownOrigin
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
STORE = "store"  # where an origin was learned, beside hosts


class OriginJournal:
    """Writes the origins of this entry's streams, and reads those of all entries.

    Nothing is written or read while each pool has servers of one version.

    Args:
        instance: Name of this entry.
        own: Origins that this entry knows.
        is_mixed: Returns whether a pool has, or had lately, servers of two versions.
        store: The platform's store.
        topic: Topic of the records.
        timers: Timer service.
    """

    def __init__(
        self,
        instance: str,
        own: OriginTable,
        is_mixed: Callable[[str], bool],
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
        self._position: tuple[int, int] | None = None  # era and offset to read from
        self._reading = asyncio.Lock()
        self._reads_begun = 0
        self._last_read = 0  # number of the latest read that succeeded

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
            for record in self._own.records():
                if record.origin.pool in added:
                    self._untold[record.key] = None
            self._changed.set()

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """Write the origin of a stream soon, if its pool has two versions."""
        if origin.pool in self._pools:
            self._untold[stream_key(request_id)] = None
            self._changed.set()

    async def run(self) -> None:
        """Write what there is until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._position is None:
                # So that a caller does not wait for all of it.
                await self._read_anew()
            await self._timers.sleep_ms(BATCH_MS)
            while self._untold:
                delay_ms = BATCH_MS if await self._write() else RETRY_DELAY_MS
                await self._timers.sleep_ms(delay_ms)

    async def find(self, request_id: str, limit_ms: int) -> FoundOrigin | UnknownOrigin:
        """Return the origin of a stream, by a read that begins after the call."""
        if not self.is_active:
            return UnknownOrigin(0)
        key = stream_key(request_id)
        wanted_read = self._reads_begun + 1
        try:
            async with self._timers.timeout_ms(limit_ms), self._reading:
                if self._last_read < wanted_read:
                    await self._read()
        except TimeoutError:
            return UnknownOrigin(1)
        record = self._table.find(key)
        if record is not None:
            return FoundOrigin(record, STORE)
        return UnknownOrigin(int(self._last_read < wanted_read))

    async def _write(self) -> bool:
        """Write one record; return whether the store took it."""
        keys = list(islice(self._untold, MAX_STREAMS_PER_RECORD))
        records = [record for record in map(self._own.find, keys) if record is not None]
        slot = self._timers.wall_ms() // BATCH_MS % SLOTS
        position = await self._store.put(
            self._topic, f"{self._instance}/{slot}", _encode(records)
        )
        if isinstance(position, TopicError):
            logger.warning("stream origins not written", detail=position.detail)
            return False
        for key in keys:
            self._untold.pop(key, None)
        return True

    async def _read_anew(self) -> None:
        async with self._reading:
            await self._read()

    async def _read(self) -> None:
        """Read what is new; ``_last_read`` tells whether the store answered."""
        self._reads_begun += 1
        if self._position is None:
            snapshot = await self._store.read_snapshot(self._topic)
            if isinstance(snapshot, TopicError):
                return
            self._position = snapshot.era, snapshot.end
            self._merge(snapshot.items.values())
        while True:
            era, offset = self._position
            page = await self._store.read(self._topic, offset, wait_ms=0)
            if isinstance(page, TopicError) or page.era != era:
                # The next read begins with a snapshot.
                self._position = None
                return
            if not page.records:
                self._last_read = self._reads_begun
                return
            self._position = era, page.end
            self._merge(record.value for record in page.records)

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
