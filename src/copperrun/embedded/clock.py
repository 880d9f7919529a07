"""Timer service with a manually advanced clock."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager

from loguru import logger

START_WALL_MS = 1_790_000_000_000


class ManualTimers:
    """Timers that fire only while the clock is advanced."""

    def __init__(self) -> None:
        self.wall_offset_ms = 0
        self._now_ms = 0.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._advance_lock = asyncio.Lock()
        self._event_count = 0
        self._watchers: list[tuple[int, Callable[[], None]]] = []

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return int(self._now_ms)

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return START_WALL_MS + self.wall_offset_ms + int(self._now_ms)

    async def sleep_ms(self, delay_ms: float) -> None:
        """Suspend the task until the clock has moved by ``delay_ms``."""
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.call_later(delay_ms, lambda: _wake(fut))
        await fut

    @asynccontextmanager
    async def timeout_ms(self, delay_ms: float) -> AsyncIterator[asyncio.Timeout]:
        """Raise ``TimeoutError`` when the body outlives ``delay_ms``."""
        loop = asyncio.get_running_loop()
        timeout = asyncio.Timeout(None)
        done = False

        def expire() -> None:
            if not done:
                timeout.reschedule(loop.time())

        try:
            async with timeout:
                self.call_later(max(delay_ms, 0), expire)
                yield timeout
        finally:
            done = True

    def subscribe(
        self, period_ms: int, callback: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        """Call ``callback`` every ``period_ms`` milliseconds until cancelled."""
        return asyncio.create_task(self._repeat(period_ms, callback))

    def suspend(self, duration_ms: float) -> None:
        """Let time pass as in a suspension: no timer comes nearer."""
        self._now_ms += duration_ms
        self._scheduled = [
            (due + duration_ms, number, callback)
            for due, number, callback in self._scheduled
        ]

    async def advance(self, delay_ms: float) -> None:
        """Move the clock and run every timer that becomes due."""
        await self._advance_until(self._now_ms + delay_ms)

    async def advance_to_next(self, limit_ms: float) -> None:
        """Move the clock to the next timer, at most by ``limit_ms``."""
        end = self._now_ms + limit_ms
        if self._scheduled:
            # The exact time; a rounded delay could end just before it again and again.
            end = min(end, max(self._now_ms, self._scheduled[0][0]))
        await self._advance_until(end)

    async def _advance_until(self, end: float) -> None:
        # Concurrent calls would each wait for the other's task to become idle.
        async with self._advance_lock:
            await run_until_idle()
            while self._scheduled and self._scheduled[0][0] <= end:
                due, _, callback = heapq.heappop(self._scheduled)
                self._now_ms = max(self._now_ms, due)
                callback()
                await run_until_idle()
                self._on_event()
            self._now_ms = max(self._now_ms, end)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the clock has moved by ``delay_ms``."""
        due = self._now_ms + delay_ms
        heapq.heappush(self._scheduled, (due, next(self._sequence), callback))

    def call_after_events(self, count: int, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``count`` more timers have fired."""
        if count == 0:
            callback()
            return
        self._watchers.append((self._event_count + count, callback))

    def _on_event(self) -> None:
        self._event_count += 1
        due = [item for item in self._watchers if item[0] <= self._event_count]
        for item in due:
            self._watchers.remove(item)
            item[1]()

    async def _repeat(
        self, period_ms: int, callback: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await self.sleep_ms(period_ms)
            try:
                await callback()
            except Exception:
                logger.exception("periodic callback failed")


def _wake(fut: asyncio.Future[None]) -> None:
    if not fut.done():
        fut.set_result(None)


async def run_until_idle() -> None:
    """Run the event loop until every task waits for the clock."""
    loop = asyncio.get_running_loop()
    idle_passes = 0
    while idle_passes < 2:
        # The loop has no public API for whether its ready queue is empty.
        idle_passes = 0 if loop._ready else idle_passes + 1  # type: ignore[attr-defined]
        await asyncio.sleep(0)  # noqa: TID251  # yields; takes no time


async def run_until(timers: ManualTimers, fut: asyncio.Future, limit_ms: int) -> None:
    """Advance the clock until ``fut`` is done.

    Raises:
        TimeoutError: It was not done after ``limit_ms``.
    """
    end = timers.now_ms() + limit_ms
    await timers.advance(0)
    while not fut.done():
        if timers.now_ms() >= end:
            raise TimeoutError(f"not done after {limit_ms} ms")
        await timers.advance_to_next(limit_ms)
