"""In-memory sides that pass crash records on between entries."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from copperrun.adapters.crashes import BATCH_MS
from copperrun.adapters.crashes import REPLY_MARGIN_MS
from copperrun.embedded.clock import ManualTimers
from copperrun.ports.crashes import CrashNews
from copperrun.ports.crashes import LogPosition
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.routing.crashes import CrashLog
from copperrun.routing.crashes import CrashRecord
from copperrun.routing.servers import ServerRecord

LATENCY_MS = 20


class CrashRelays:
    """One side for each address of an engine.

    Attributes:
        logs: Log of each side.
        unreachable: Addresses whose sides answer nothing.
        calls: Number of calls by address.
        on_call: Called as each call begins.
    """

    def __init__(self, timers: ManualTimers) -> None:
        self.logs: dict[str, CrashLog] = {}
        self.unreachable: set[str] = set()
        self.calls: dict[str, int] = {}
        self.on_call: Callable[[], None] = lambda: None
        self._starts: dict[str, int] = {}
        self._timers = timers

    def restart(self, address: str) -> None:
        """Start a side again, without what it knew."""
        self.logs[address] = CrashLog(self._timers)
        self._starts[address] = self._starts.get(address, 0) + 1

    async def exchange_crashes(
        self,
        server: ServerRecord,
        records: Sequence[CrashRecord],
        seen: LogPosition,
        hold_ms: int,
    ) -> CrashNews | SideError:
        address = server.address
        self.calls[address] = self.calls.get(address, 0) + 1
        self.on_call()
        if address not in self.logs:
            self.restart(address)
        if address in self.unreachable:
            await self._timers.sleep_ms(hold_ms + REPLY_MARGIN_MS)
            return SideError(SideErrorReason.UNREACHABLE, "no reply")
        await self._timers.sleep_ms(LATENCY_MS)
        log, origin = self.logs[address], str(self._starts[address])
        log.merge(records)
        version = seen.version if seen.origin == origin else 0
        if hold_ms and log.version <= version:
            await log.wait_newer(version, hold_ms)
            await self._timers.sleep_ms(BATCH_MS)
        await self._timers.sleep_ms(LATENCY_MS)
        return CrashNews(LogPosition(origin, log.version), log.changes_since(version))
