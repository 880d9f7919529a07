"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from copperrun.model import LogRecord
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason
from copperrun.ports.log import LogPage
from copperrun.ports.timers import Timers

PAGE_RECORDS = 1_000
RETENTION_MS = 24 * 3_600_000


@dataclass
class LogFaults:
    """Faults that tests inject.

    Attributes:
        down: Appends and reads fail; nothing is appended.
        delay_ms: Time that each call takes.
        lose_answers: Number of next appends that take effect without an answer.
        late_appends: Number of next appends whose answers are lost and that take
            effect ``late_ms`` later.
        late_ms: Delay of late appends.
        late_match: Text in the first record of late appends; empty for any.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    late_appends: int = 0
    late_ms: int = 1_000
    late_match: str = ""


class _StoredRecord(NamedTuple):
    record: LogRecord
    at_ms: int


@dataclass
class _StreamState:
    records: list[_StoredRecord] = field(default_factory=list)
    start: int = 0
    end: int = 0
    appended: asyncio.Event = field(default_factory=asyncio.Event)


class LogStandIn:
    """In-memory streams with retention, an append rate limit and faults."""

    def __init__(
        self,
        timers: Timers,
        *,
        retention_ms: int = RETENTION_MS,
        appends_per_second: int = 400,
    ) -> None:
        self.faults = LogFaults()
        self.appends = 0
        self._timers = timers
        self._retention_ms = retention_ms
        self._append_interval_ms = 1000 / appends_per_second
        self._next_append_ms = 0.0
        self._streams: dict[str, _StreamState] = {}
        self._late_tasks: set[asyncio.Task[None]] = set()

    async def append(self, stream: str, records: Sequence[str]) -> int | LogError:
        """Append ``records`` together and return the offset of the first."""
        if self.faults.down:
            return LogError(LogErrorReason.UNAVAILABLE, "log is down")
        await self._wait_for_rate()
        if self.faults.late_appends > 0 and self.faults.late_match in records[0]:
            self.faults.late_appends -= 1
            task = asyncio.create_task(self._append_late(stream, list(records)))
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)
            return LogError(LogErrorReason.ANSWER_LOST, "append timed out")
        first = self._append(stream, records)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return LogError(LogErrorReason.ANSWER_LOST, "append timed out")
        return first

    async def read(
        self, stream: str, offset: int, *, wait_ms: int = 0
    ) -> LogPage | LogError:
        """Read from ``offset``; wait up to ``wait_ms`` when there is nothing new."""
        state = self._state_of(stream)
        if wait_ms and offset >= state.end and not self.faults.down:
            await self._wait_for_append(state, wait_ms)
        if self.faults.down:
            return LogError(LogErrorReason.UNAVAILABLE, "log is down")
        if self.faults.delay_ms:
            await self._timers.sleep_ms(self.faults.delay_ms)
        self._expire(state)
        if offset < state.start:
            return LogError(LogErrorReason.TRIMMED, "offset trimmed", state.start)
        first = offset - state.start
        page = [item.record for item in state.records[first : first + PAGE_RECORDS]]
        return LogPage(page, state.start, state.end)

    def records(self, stream: str) -> list[str]:
        """Return every record that the stream retains."""
        return [item.record.data for item in self._state_of(stream).records]

    def trim(self, stream: str, start: int) -> None:
        """Drop the records below ``start``, as an early expiry would."""
        state = self._state_of(stream)
        start = min(start, state.end)
        del state.records[: start - state.start]
        state.start = start

    def _state_of(self, name: str) -> _StreamState:
        return self._streams.setdefault(name, _StreamState())

    def _append(self, stream: str, records: Sequence[str]) -> int:
        state = self._state_of(stream)
        first = state.end
        for data in records:
            record = LogRecord(state.end, data)
            state.records.append(_StoredRecord(record, self._timers.wall_ms()))
            state.end += 1
        self.appends += 1
        state.appended.set()
        state.appended = asyncio.Event()
        return first

    async def _append_late(self, stream: str, records: Sequence[str]) -> None:
        await self._timers.sleep_ms(self.faults.late_ms)
        self._append(stream, records)

    async def _wait_for_rate(self) -> None:
        now = self._timers.now_ms()
        due = max(self._next_append_ms, now)
        self._next_append_ms = due + self._append_interval_ms
        delay = due - now + self.faults.delay_ms
        if delay > 0:
            await self._timers.sleep_ms(delay)

    async def _wait_for_append(self, state: _StreamState, wait_ms: int) -> None:
        appended = state.appended
        try:
            async with self._timers.timeout_ms(wait_ms):
                await appended.wait()
        except TimeoutError:
            return

    def _expire(self, state: _StreamState) -> None:
        limit = self._timers.wall_ms() - self._retention_ms
        expired = 0
        for item in state.records:
            if item.at_ms >= limit:
                break
            expired += 1
        self._drop_oldest(state, expired)

    def _drop_oldest(self, state: _StreamState, count: int) -> None:
        if count:
            del state.records[:count]
            state.start += count
