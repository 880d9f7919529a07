"""Stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from copperrun.ports.timers import Timers
from copperrun.ports.weights import WeightObject
from copperrun.ports.weights import WeightsError

GIB = 2**30
ADAPTER_SIZE_LIMIT_BYTES = 1 * GIB  # smaller objects are adapters


@dataclass
class WeightsFaults:
    """Faults that tests inject.

    Attributes:
        down: Reads fail.
        slowdown: Factor on the duration of each load.
    """

    down: bool = False
    slowdown: float = 1.0


class WeightsStandIn:
    """Objects by name; model loads share a rate limit and a concurrency limit."""

    def __init__(
        self,
        timers: Timers,
        objects: Mapping[str, int] | None = None,
        *,
        loads_per_second: float = 2.0,
        concurrent_loads: int = 7,
        load_ms: int = 2_000,
        adapter_ms: int = 10,
        adapters_in_transit: int = 55,
    ) -> None:
        self.faults = WeightsFaults()
        self.objects = dict(objects or {})
        self.loads = 0
        self._timers = timers
        self._interval_ms = 1000 / loads_per_second
        self._load_slots = asyncio.Semaphore(concurrent_loads)
        self._next_load_ms = 0.0
        self._load_ms = load_ms
        self._adapter_ms = adapter_ms
        self._adapters_in_transit = adapters_in_transit
        self._adapters_loading = 0

    async def describe(self, name: str) -> WeightObject | WeightsError:
        """Return the size of an object without loading it."""
        if self.faults.down:
            return WeightsError(False, "weight store is down")
        size = self.objects.get(name)
        if size is None:
            return WeightsError(True, f"no object {name!r} in the weight store")
        return WeightObject(name, size)

    async def fetch(self, name: str, size_bytes: int) -> bool:
        """Wait as long as a load takes; return False when the store is down."""
        if self.faults.down:
            return False
        self.loads += 1
        if size_bytes < ADAPTER_SIZE_LIMIT_BYTES:
            await self._fetch_adapter()
        else:
            await self._fetch_model()
        return True

    async def _fetch_model(self) -> None:
        async with self._load_slots:
            now = self._timers.now_ms()
            due = max(self._next_load_ms, now)
            self._next_load_ms = due + self._interval_ms * self.faults.slowdown
            delay = due - now + self._load_ms * self.faults.slowdown
            await self._timers.sleep_ms(delay)

    async def _fetch_adapter(self) -> None:
        self._adapters_loading += 1
        # Loads beyond the limit slow each other down; the total throughput stays.
        contention = max(1.0, self._adapters_loading / self._adapters_in_transit)
        try:
            delay = self._adapter_ms * contention * self.faults.slowdown
            await self._timers.sleep_ms(delay)
        finally:
            self._adapters_loading -= 1


class PermissiveWeights(WeightsStandIn):
    """A store that has every object; for the embedded role."""

    async def describe(self, name: str) -> WeightObject | WeightsError:
        """Return the object; an unknown one has size 0 and fits any configured size."""
        if self.faults.down:
            return WeightsError(False, "weight store is down")
        return WeightObject(name, self.objects.get(name, 0))
