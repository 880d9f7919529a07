"""Timer service: the only source of time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol


class Subscription(Protocol):
    """A periodic callback that can be stopped."""

    def cancel(self) -> object:
        """Stop further calls."""


class Timers(Protocol):
    """Clock, sleeps, timeouts and periodic subscriptions."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds; they go on while the machine is suspended.

        Sleeps, timeouts and subscriptions do not.
        """

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""

    async def sleep_ms(self, delay_ms: float) -> None:
        """Suspend the task for ``delay_ms`` milliseconds."""

    def timeout_ms(
        self, delay_ms: float
    ) -> AbstractAsyncContextManager[asyncio.Timeout]:
        """Return a context that raises ``TimeoutError`` after ``delay_ms``."""

    def subscribe(
        self, period_ms: int, callback: Callable[[], Awaitable[None]]
    ) -> Subscription:
        """Call ``callback`` every ``period_ms`` milliseconds until cancelled."""
