"""In-memory topics whose store may be unavailable."""

from __future__ import annotations

from copperrun.embedded.clock import ManualTimers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicSnapshot

CALL_TIMEOUT_MS = 1_500


class MemoryTopicStore:
    """Records by topic.

    Attributes:
        items: Newest record of each key, by topic.
        is_available: Whether calls are answered.
        refuses_writes: Whether it turns writes away.
        puts: Number of records written.
        reads: Number of reads.
    """

    def __init__(self, timers: ManualTimers) -> None:
        self.items: dict[str, dict[str, bytes]] = {}
        self.is_available = True
        self.refuses_writes = False
        self.puts = 0
        self.reads = 0
        self.era = 0
        self._records: dict[str, list[TopicRecord]] = {}
        self._timers = timers

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        if not self.is_available:
            return await self._time_out()
        self.reads += 1
        await self._timers.sleep_ms(4)
        items = dict(self.items.get(topic, {}))
        return TopicSnapshot(items, len(self._records.get(topic, ())), self.era)

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        if not self.is_available:
            return await self._time_out()
        self.reads += 1
        await self._timers.sleep_ms(4)
        records = self._records.get(topic, [])
        if offset > len(records):
            return TopicError(TopicErrorReason.TRIMMED, "beyond the end")
        return TopicPage(records[offset:], len(records), self.era)

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> TopicPosition | TopicError:
        if not self.is_available:
            return await self._time_out()
        await self._timers.sleep_ms(4)
        if self.refuses_writes:
            return TopicError(TopicErrorReason.UNAVAILABLE, "refused")
        return self.append(topic, key, value, at)

    def append(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> TopicPosition | TopicError:
        """Write a record at once."""
        records = self._records.setdefault(topic, [])
        if at is not None and at != len(records):
            return TopicError(TopicErrorReason.CONFLICT, "other end")
        self.puts += 1
        records.append(TopicRecord(key, value or None))
        items = self.items.setdefault(topic, {})
        items[key] = value
        if not value:
            del items[key]
        return TopicPosition(self.era, len(records) - 1)

    def fall_back(self, topic: str, end: int) -> None:
        """Come back from a copy that has the first records only."""
        self.era += 1
        records = self._records.pop(topic, [])[:end]
        self.items[topic] = {}
        for record in records:
            self.append(topic, record.key, record.value or b"")

    async def _time_out(self) -> TopicError:
        await self._timers.sleep_ms(CALL_TIMEOUT_MS)
        return TopicError(TopicErrorReason.UNAVAILABLE, "no response")
