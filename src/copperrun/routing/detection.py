"""Tells crashes of backend servers from answers that were lost on the way."""

from __future__ import annotations

import asyncio

from loguru import logger

from copperrun.ports.backends import Backends
from copperrun.ports.timers import Timers
from copperrun.routing.quarantine import PromptQuarantine
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.servers import ServerRecord

CHECK_TIMEOUT_MS = 250  # a repeat waits for the result


class CrashDetector:
    """Checks a server that lost a request before it began the answer."""

    def __init__(
        self, backends: Backends, quarantine: PromptQuarantine, timers: Timers
    ) -> None:
        self._backends = backends
        self._quarantine = quarantine
        self._timers = timers
        self._checks: dict[str, asyncio.Task[bool]] = {}

    async def check(self, request: RoutedRequest, server: ServerRecord) -> None:
        """Record a crash if the server has ended.

        Args:
            request: Request whose answer had not begun.
            server: Record of the server when the request was sent.
        """
        pool, parts = request.pool.name, request.call.prompt_parts
        lost_ms = self._timers.now_ms()
        if parts and await self._has_ended(server):
            logger.info(
                "server ended before an answer began",
                request=request.call.id,
                server=server.id,
                prompt_parts=parts,
            )
            self._quarantine.record_crash(
                server.start_id, pool, parts, age_ms=self._timers.now_ms() - lost_ms
            )

    async def _has_ended(self, server: ServerRecord) -> bool:
        """Check a server once for all requests that it lost at the same time."""
        start = server.start_id
        check = self._checks.get(start)
        if check is None:
            check = asyncio.create_task(
                self._backends.has_ended(server, timeout_ms=CHECK_TIMEOUT_MS)
            )
            self._checks[start] = check
            check.add_done_callback(lambda _: self._checks.pop(start))
        return await asyncio.shield(check)
