"""The shutdown request that a daemon waits for while it works."""

from __future__ import annotations

import asyncio


class Shutdown:
    """Shutdown requested by a signal or an operator and awaited by the daemon."""

    def __init__(self) -> None:
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Request the shutdown; may be called again."""
        self._requested.set()

    async def wait(self, work: asyncio.Task[None]) -> None:
        """Wait for the request; a failure of ``work`` is raised at once."""
        requested = asyncio.create_task(self._requested.wait())
        await asyncio.wait({requested, work}, return_when=asyncio.FIRST_COMPLETED)
        if not requested.done():
            requested.cancel()
            work.result()
