"""Reads what is new in a keyed topic, when somebody asks for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicStore

MAX_SNAPSHOTS = 2  # of one read, while eras change


class TopicReader:
    """Reads a topic from its newest records on; callers at a time share a read.

    Args:
        topic: The topic.
        store: The platform's store.
        timers: Timer service.
        on_snapshot: Called with the newest record of each key, in place of all before.
        on_records: Called with later records, in their order.

    Attributes:
        position: Where the next read begins; None before the first one.
    """

    def __init__(
        self,
        topic: str,
        store: TopicStore,
        timers: Timers,
        *,
        on_snapshot: Callable[[Mapping[str, bytes]], None],
        on_records: Callable[[Sequence[TopicRecord]], None],
    ) -> None:
        self.position: TopicPosition | None = None
        self._topic = topic
        self._store = store
        self._timers = timers
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._reading = asyncio.Lock()
        self._reads_begun = 0
        self._last_read = 0  # number of the latest read that succeeded

    async def read(self, limit_ms: int) -> bool:
        """Return whether a read that began after the call has succeeded."""
        wanted_read = self._reads_begun + 1
        try:
            async with self._timers.timeout_ms(limit_ms), self._reading:
                if self._last_read < wanted_read:
                    await self._read()
        except TimeoutError:
            return False
        return self._last_read >= wanted_read

    async def _read(self) -> None:
        """Read all that is new; ``_last_read`` tells whether the store answered."""
        self._reads_begun += 1
        snapshots = 0
        while self.position is not None or snapshots < MAX_SNAPSHOTS:
            if self.position is None:
                snapshots += 1
                snapshot = await self._store.read_snapshot(self._topic)
                if isinstance(snapshot, TopicError):
                    return
                self.position = snapshot.position
                self._on_snapshot(snapshot.items)
            era, offset = self.position
            page = await self._store.read(self._topic, offset, wait_ms=0)
            if isinstance(page, TopicError) or page.era != era:
                # The offset may be valid and name other records in another era.
                self.position = None
                is_away = isinstance(page, TopicError) and (
                    page.reason is not TopicErrorReason.TRIMMED
                )
                if is_away:
                    return
                continue
            if not page.records:
                self._last_read = self._reads_begun
                return
            self.position = TopicPosition(era, page.end)
            self._on_records(page.records)
