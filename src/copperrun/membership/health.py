"""News of store outages, shared by the topic followers of one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from copperrun.ports.timers import Timers
from copperrun.signals import ChangeSignal


class StoreHealth:
    """Announces failed reads of the store, its recoveries and its new eras.

    Attributes:
        era: Newest era in an answer of the store, which rises by one each time the
            store comes back from an older copy; 0 before the first answer.
    """

    def __init__(self, timers: Timers) -> None:
        self.era = 0
        self._listeners: list[Callable[[], None]] = []
        self._failed = asyncio.Event()
        self._recovered = ChangeSignal(timers)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` at each new era, in which records may be missing.

        Whoever writes records that must last writes again then what it still holds,
        also what the store is just acknowledging.
        """
        self._listeners.append(listener)

    def announce_failure(self) -> None:
        """Wake tasks in ``wait_failure``: a read failed after earlier successes."""
        self._failed.set()
        self._failed = asyncio.Event()

    def announce_recovery(self) -> None:
        """Wake tasks in ``wait_recovery``: a read succeeded after failures."""
        self._recovered.notify_all()

    def record_era(self, era: int) -> None:
        """Record the era of an answer; tell of a newer one."""
        if era <= self.era:
            return
        if self.era:
            logger.warning(
                "store came back from an older copy", era=era, previous=self.era
            )
        self.era = era
        for listener in self._listeners:
            listener()

    async def wait_failure(self) -> None:
        """Wait for the next failure."""
        await self._failed.wait()

    async def wait_recovery(self, timeout_ms: float) -> None:
        """Wait for the next recovery, at most ``timeout_ms`` milliseconds."""
        await self._recovered.wait(timeout_ms)
