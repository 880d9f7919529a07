"""Tells crashes of backend servers from answers that were lost on the way."""

from __future__ import annotations

import asyncio

from loguru import logger

from copperrun.ports.backends import Backends
from copperrun.ports.timers import Timers
from copperrun.routing.catalog import BackendPool
from copperrun.routing.quarantine import Quarantine
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.servers import ServerRecord

CHECK_TIMEOUT_MS = 250  # a repeat waits for the result


class CrashDetector:
    """Checks a server that lost a request before it began the answer."""

    def __init__(
        self, backends: Backends, quarantine: Quarantine, timers: Timers
    ) -> None:
        self._backends = backends
        self._quarantine = quarantine
        self._timers = timers
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._records: set[asyncio.Task[None]] = set()

    async def check(self, request: RoutedRequest, server: ServerRecord) -> None:
        """Record a crash if the server has ended, even if the caller leaves meanwhile.

        Args:
            request: Request whose answer had not begun.
            server: Record of the server when the request was sent.
        """
        record = asyncio.create_task(self._check(request, server))
        self._records.add(record)
        record.add_done_callback(self._records.discard)
        await asyncio.shield(record)

    async def _check(self, request: RoutedRequest, server: ServerRecord) -> None:
        lost_ms = self._timers.now_ms()
        if not await self._has_ended(request.pool, server):
            return
        logger.info(
            "server ended before an answer began",
            request=request.call.id,
            server=server.id,
            prompt_parts=request.call.prompt_parts,
            fingerprint=request.fingerprint,
        )
        self._quarantine.record_crash(
            server.start_id,
            request.pool.name,
            request.suspects,
            age_ms=self._timers.now_ms() - lost_ms,
        )

    async def _has_ended(self, pool: BackendPool, server: ServerRecord) -> bool:
        """Check a server once for all requests that it lost at the same time."""
        start = server.start_id
        check = self._checks.get(start)
        if check is None:
            health_path = pool.health_path if pool.engine is None else ""
            check = asyncio.create_task(
                self._backends.has_ended(
                    server, health_path=health_path, timeout_ms=CHECK_TIMEOUT_MS
                )
            )
            self._checks[start] = check
            check.add_done_callback(lambda _: self._checks.pop(start))
        return await asyncio.shield(check)
