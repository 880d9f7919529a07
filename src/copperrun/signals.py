"""Wakes all tasks that wait for a change."""

from __future__ import annotations

import asyncio

from copperrun.ports.timers import Timers


class ChangeSignal:
    """Wakes all waiting tasks; later waits are for the next change."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._changed = asyncio.Event()

    def notify_all(self) -> None:
        """Wake the tasks that wait now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, timeout_ms: float) -> None:
        """Wait for a change, at most ``timeout_ms`` milliseconds."""
        event = self._changed
        try:
            async with self._timers.timeout_ms(timeout_ms):
                await event.wait()
        except TimeoutError:
            return
