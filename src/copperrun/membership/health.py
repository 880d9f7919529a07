"""News of store outages, shared by the topic followers of one process."""

from __future__ import annotations

import asyncio

from copperrun.ports.timers import Timers
from copperrun.signals import ChangeSignal


class StoreHealth:
    """Announces failed reads of the store and its recoveries."""

    def __init__(self, timers: Timers) -> None:
        self._failed = asyncio.Event()
        self._recovered = ChangeSignal(timers)

    def announce_failure(self) -> None:
        """Wake tasks in ``wait_failure``: a read failed after earlier successes."""
        self._failed.set()
        self._failed = asyncio.Event()

    def announce_recovery(self) -> None:
        """Wake tasks in ``wait_recovery``: a read succeeded after failures."""
        self._recovered.notify_all()

    async def wait_failure(self) -> None:
        """Wait for the next failure."""
        await self._failed.wait()

    async def wait_recovery(self, timeout_ms: float) -> None:
        """Wait for the next recovery, at most ``timeout_ms`` milliseconds."""
        await self._recovered.wait(timeout_ms)
