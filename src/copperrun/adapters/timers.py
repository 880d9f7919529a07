"""Timer service on the system clock and the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

# The event loop's clock, and so each sleep, stands still while a machine is suspended;
# leases of others and records of the store expire meanwhile.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Reading that clock costs a system call on some machines, so it is read no more often.
_SUSPENSION_CHECK_NS = 1_000_000
_MIN_SUSPENSION_NS = 1_000_000  # less is the time between two readings


class SystemTimers:
    """Timers of a running process."""

    def __init__(self) -> None:
        self._suspended_ns = 0
        self._next_check_ns = 0

    def now_ms(self) -> int:
        """Return monotonic milliseconds, with the time of suspensions."""
        now_ns = time.monotonic_ns()
        if now_ns >= self._next_check_ns:
            self._next_check_ns = now_ns + _SUSPENSION_CHECK_NS
            suspended_ns = time.clock_gettime_ns(_CLOCK) - now_ns
            if abs(suspended_ns - self._suspended_ns) > _MIN_SUSPENSION_NS:
                self._suspended_ns = suspended_ns
        return (now_ns + self._suspended_ns) // 1_000_000

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, delay_ms: float) -> None:
        """Suspend the task for ``delay_ms`` milliseconds."""
        await asyncio.sleep(delay_ms / 1000)

    def timeout_ms(self, delay_ms: float) -> asyncio.Timeout:
        """Return a context that raises ``TimeoutError`` after ``delay_ms``."""
        return asyncio.timeout(max(delay_ms, 0) / 1000)

    def subscribe(
        self, period_ms: int, callback: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        """Call ``callback`` every ``period_ms`` milliseconds until cancelled."""
        return asyncio.create_task(self._repeat(period_ms, callback))

    async def _repeat(
        self, period_ms: int, callback: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await asyncio.sleep(period_ms / 1000)
            try:
                await callback()
            except Exception:
                # A failed call must not cancel the subscription.
                logger.exception("periodic callback failed")
