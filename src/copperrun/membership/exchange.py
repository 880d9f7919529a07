"""Shares an entry's crash log with the other entries."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import xxhash
from loguru import logger

from copperrun.ports.crashes import CrashNews
from copperrun.ports.crashes import CrashRelays
from copperrun.ports.crashes import LogPosition
from copperrun.ports.sides import SideError
from copperrun.ports.timers import Timers
from copperrun.routing.crashes import CrashLog
from copperrun.routing.servers import ServerRecord

# Sides through which each entry exchanges records. All entries prefer the same ones, so
# that they meet there even if each reaches only some of them.
RELAYS = 3
BATCH_MS = 50  # records that come together share a message
RETRY_DELAY_MS = 2_000  # before the next try of a side that did not reply
# How long a side may hold its reply, and so how long news may wait on a connection that
# went silent. It grows with the pool, since all its entries use the same sides.
MIN_HOLD_MS = 2_000
MAX_HOLD_MS = 20_000
HOLD_PER_ENGINE_MS = 20


class CrashExchange:
    """Keeps an exchange open with some of the sides."""

    def __init__(self, log: CrashLog, relays: CrashRelays, timers: Timers) -> None:
        self._log = log
        self._relays = relays
        self._timers = timers
        self._ranked: list[ServerRecord] = []
        self._retry_at_ms: dict[str, int] = {}
        self._failing: set[str] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._hold_ms = MIN_HOLD_MS
        self._first_reply = asyncio.Event()

    async def wait_first_reply(self, timeout_ms: int) -> None:
        """Wait until one side has told what it knows, at most ``timeout_ms``."""
        if not self._tasks:
            return
        try:
            async with self._timers.timeout_ms(timeout_ms):
                await self._first_reply.wait()
        except TimeoutError:
            logger.info("crash log not received from any side yet")

    def set_engines(self, engines: Iterable[ServerRecord]) -> None:
        """Use the sides beside these engines; also tries lost ones again."""
        # A machine's engine may be listed under several starts.
        by_address = {engine.address: engine for engine in engines}
        if by_address.keys() != {engine.address for engine in self._ranked}:
            self._ranked = sorted(by_address.values(), key=_rank)
            hold_ms = HOLD_PER_ENGINE_MS * len(self._ranked)
            self._hold_ms = min(max(hold_ms, MIN_HOLD_MS), MAX_HOLD_MS)
            self._failing &= by_address.keys()
            self._retry_at_ms = {
                address: at_ms
                for address, at_ms in self._retry_at_ms.items()
                if address in by_address
            }
        self._update_tasks()

    def close(self) -> None:
        """End all exchanges."""
        for task in self._tasks.values():
            task.cancel()

    def _update_tasks(self) -> None:
        now = self._timers.now_ms()
        usable = [
            engine
            for engine in self._ranked
            if now >= self._retry_at_ms.get(engine.address, 0)
        ]
        chosen = {engine.address: engine for engine in usable[:RELAYS]}
        for address in self._tasks.keys() - chosen.keys():
            self._tasks.pop(address).cancel()
        for address in chosen.keys() - self._tasks.keys():
            self._tasks[address] = asyncio.create_task(self._follow(chosen[address]))

    async def _follow(self, engine: ServerRecord) -> None:
        """Exchange records with the side beside an engine until it fails."""
        seen = LogPosition()
        sent_version = 0
        while True:
            version = self._log.version
            # The first reply is not held, so that a process that starts gets it soon.
            hold_ms = self._hold_ms if seen.origin else 0
            news = await self._exchange(engine, sent_version, seen, hold_ms)
            match news:
                case None:
                    await self._timers.sleep_ms(BATCH_MS)
                case SideError(_, detail):
                    self._log_failure(engine, detail)
                    del self._tasks[engine.address]
                    self._retry_at_ms[engine.address] = (
                        self._timers.now_ms() + RETRY_DELAY_MS
                    )
                    self._update_tasks()
                    return
                case CrashNews(position, records):
                    # A side that started again has lost what it was told.
                    is_restart = seen.origin not in ("", position.origin)
                    sent_version = 0 if is_restart else version
                    seen = position
                    self._log.merge(records)
                    self._first_reply.set()
                    self._failing.discard(engine.address)

    def _log_failure(self, engine: ServerRecord, detail: str) -> None:
        """Log the first failure of a side after a success."""
        if engine.address in self._failing:
            return
        self._failing.add(engine.address)
        logger.info(
            "side does not exchange crash records", server=engine.id, detail=detail
        )

    async def _exchange(
        self, engine: ServerRecord, sent_version: int, seen: LogPosition, hold_ms: int
    ) -> CrashNews | SideError | None:
        """Return the side's news, or None if there is something to tell it first."""
        version = self._log.version
        call = asyncio.create_task(
            self._relays.exchange_crashes(
                engine, self._log.changes_since(sent_version), seen, hold_ms
            )
        )
        changed = asyncio.create_task(self._log.wait_newer(version, 2 * MAX_HOLD_MS))
        try:
            await asyncio.wait({call, changed}, return_when=asyncio.FIRST_COMPLETED)
            if not hold_ms:
                return await call
            return call.result() if call.done() else None
        finally:
            call.cancel()
            changed.cancel()


def _rank(engine: ServerRecord) -> int:
    return xxhash.xxh32_intdigest(engine.address.encode())
