"""In-memory keepers of what began each stream."""

from __future__ import annotations

from collections.abc import Sequence

from copperrun.embedded.clock import ManualTimers
from copperrun.ports.origins import OriginNews
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.routing.origins import OriginRecord
from copperrun.routing.origins import OriginTable

LATENCY_MS = 20  # one way


class OriginKeepers:
    """One keeper for each host.

    Attributes:
        tables: What each keeper knows.
        unreachable: Hosts whose keepers answer nothing.
        calls: Number of calls by host.
        sent_records: Number of records sent to all keepers.
    """

    def __init__(self, timers: ManualTimers) -> None:
        self.tables: dict[str, OriginTable] = {}
        self.unreachable: set[str] = set()
        self.calls: dict[str, int] = {}
        self.sent_records = 0
        self._starts: dict[str, int] = {}
        self._timers = timers

    def restart(self, host: str) -> None:
        """Start a keeper again, without what it knew."""
        self.tables[host] = OriginTable(self._timers)
        self._starts[host] = self._starts.get(host, 0) + 1

    async def exchange_origins(
        self,
        host: str,
        records: Sequence[OriginRecord],
        wanted: Sequence[bytes],
        timeout_ms: int,
    ) -> OriginNews | SideError:
        self.calls[host] = self.calls.get(host, 0) + 1
        self.sent_records += len(records)
        if host not in self.tables:
            self.restart(host)
        if host in self.unreachable:
            await self._timers.sleep_ms(timeout_ms)
            return SideError(SideErrorReason.UNREACHABLE, "no reply")
        await self._timers.sleep_ms(LATENCY_MS)
        self.tables[host].merge(records)
        found = [r for r in map(self.tables[host].find, wanted) if r is not None]
        start = str(self._starts[host])
        await self._timers.sleep_ms(LATENCY_MS)
        return OriginNews(start, found)
