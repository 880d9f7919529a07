"""Limits the rate at which one process appends to the log."""

from __future__ import annotations

from copperrun.ports.timers import Timers


class AppendBudget:
    """Token bucket shared by all partitions of one side.

    While tokens remain, a record is appended at once; after that, records wait and
    share the next append.
    """

    def __init__(self, timers: Timers, appends_per_second: float) -> None:
        self._timers = timers
        self._interval_ms = 1000 / appends_per_second
        self._burst_ms = 1000.0  # the appends of one second may be made at once
        self._next_ms = 0.0

    async def acquire(self) -> None:
        """Wait until one append is allowed."""
        now = self._timers.now_ms()
        self._next_ms = max(self._next_ms, now - self._burst_ms) + self._interval_ms
        if self._next_ms > now:
            await self._timers.sleep_ms(self._next_ms - now)
