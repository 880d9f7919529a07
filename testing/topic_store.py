"""In-memory topics whose store may be unavailable."""

from __future__ import annotations

from copperrun.embedded.clock import ManualTimers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicSnapshot

CALL_TIMEOUT_MS = 1_500


class MemoryTopicStore:
    """Newest record of each key by topic."""

    def __init__(self, timers: ManualTimers) -> None:
        self.items: dict[str, dict[str, bytes]] = {}
        self.is_available = True
        self.puts = 0
        self._timers = timers

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        if not self.is_available:
            return await self._time_out()
        await self._timers.sleep_ms(4)
        return TopicSnapshot(dict(self.items.get(topic, {})), self.puts)

    async def put(
        self, topic: str, key: str, value: bytes
    ) -> TopicPosition | TopicError:
        if not self.is_available:
            return await self._time_out()
        await self._timers.sleep_ms(4)
        self.puts += 1
        items = self.items.setdefault(topic, {})
        items[key] = value
        if not value:
            del items[key]
        return TopicPosition(0, self.puts - 1)

    async def _time_out(self) -> TopicError:
        await self._timers.sleep_ms(CALL_TIMEOUT_MS)
        return TopicError(TopicErrorReason.UNAVAILABLE, "no response")
