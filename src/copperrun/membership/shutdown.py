"""The request to leave that a daemon waits for while it works."""

from __future__ import annotations

import asyncio


class Shutdown:
    """Asked for by a signal or an operator, waited for by the daemon."""

    def __init__(self) -> None:
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Ask the daemon to leave; may be called again."""
        self._requested.set()

    async def wait(self, work: asyncio.Task[None]) -> None:
        """Wait for the request; a failure of ``work`` is raised at once."""
        requested = asyncio.create_task(self._requested.wait())
        await asyncio.wait({requested, work}, return_when=asyncio.FIRST_COMPLETED)
        if not requested.done():
            requested.cancel()
            work.result()
