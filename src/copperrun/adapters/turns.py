"""Work that takes its turn, so that others are served in between."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable


class Turns:
    """Runs one callback in each round of the event loop, in the order of asking."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()

    def wait(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` when it is its turn."""
        self._waiting.append(callback)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        try:
            self._waiting[0]()
        finally:
            self._waiting.popleft()
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._run_next)
